package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// crashingServers are backend servers that crash when they begin to run a request whose
// body says so. A server that crashed is replaced by one with another ID.
type crashingServers struct {
	t     *testing.T
	fleet *fleet

	mu        sync.Mutex
	started   int
	crashes   int
	listeners []net.Listener
}

func (s *crashingServers) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	s.started++
	id := fmt.Sprint("advice-", s.started)
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	go s.accept(l, id)
	if err := s.fleet.store.Put(adapter.KindServers, id, map[string]any{
		"service": "advice", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 4, "state": "ready", "born": time.Now().UnixMilli(),
	}); err != nil {
		s.t.Error(err)
	}
}

func (s *crashingServers) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c, l, id)
	}
}

func (s *crashingServers) serve(c net.Conn, l net.Listener, id string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(string(body), "crash") {
			_ = l.Close()
			s.mu.Lock()
			s.crashes++
			s.mu.Unlock()
			time.AfterFunc(200*time.Millisecond, s.start)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *crashingServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// Guards against a request that crashes servers at each daemon to which it comes, because
// the daemons do not tell each other, and at one that has just started.
func TestCrashingRequestIsRefusedByAllFronts(t *testing.T) {
	f, _, _ := newServingFleet(t, 3)
	servers := &crashingServers{t: t, fleet: f}
	t.Cleanup(servers.close)
	for range 5 {
		servers.start()
	}
	waitFor(t, "servers at each daemon", func() bool {
		return len(f.linesOf(t, "backend server changed", "service", "advice")) >= 5*len(f.daemons)
	})
	send := func(daemon int, body string) int {
		text := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-%d\r\nContent-Length: %d\r\n\r\n%s", standin.StreamPrefix, time.Now().UnixNano(), len(body), body)
		return sendRaw(t, f.callers[daemon], text, false)
	}
	for i := range 9 {
		_ = send(i%3, "crash")
		time.Sleep(time.Second)
	}
	servers.mu.Lock()
	crashes := servers.crashes
	servers.mu.Unlock()
	if crashes > 3 {
		t.Errorf("%d crashes by one request that came nine times to three daemons, want at most 3", crashes)
	}
	f.startDaemon(t, f.store.Address())
	waitFor(t, "the new daemon", f.daemons[3].isReady)
	f.awaitLine(t, "backend server changed", "host", "front-3")
	time.Sleep(time.Second)
	if status := send(3, "crash"); status != http.StatusServiceUnavailable {
		t.Errorf("a daemon that has just started answers %d, want a refusal", status)
	}
	if status := send(3, "sound"); status != http.StatusOK {
		t.Errorf("another request is answered with %d", status)
	}
	f.stop(t)
}
