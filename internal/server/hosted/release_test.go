package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// breakableLink passes connections on to an address until it is cut.
type breakableLink struct {
	address string

	mu          sync.Mutex
	isCut       bool
	connections []net.Conn
}

func newBreakableLink(t *testing.T, target string) *breakableLink {
	t.Helper()
	l := &breakableLink{}
	l.address = transporttest.Serve(t, func(c net.Conn) {
		onward, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = onward.Close() }()
		if !l.add(c, onward) {
			return
		}
		go func() {
			_, _ = io.Copy(onward, c)
			_ = onward.Close()
		}()
		_, _ = io.Copy(c, onward)
	})
	t.Cleanup(l.cut)
	return l
}

// add reports whether the link is not cut.
func (l *breakableLink) add(connections ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = append(l.connections, connections...)
	return !l.isCut
}

func (l *breakableLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	for _, c := range l.connections {
		_ = c.Close()
	}
}

// versionedServer is a backend server of streams that may start again under its ID with
// another software version. A new stream stays open after its first event.
type versionedServer struct {
	id, address string

	mu          sync.Mutex
	software    string
	born        int64
	connections []net.Conn
	reports     int
}

func newVersionedServer(t *testing.T, id, software string) *versionedServer {
	t.Helper()
	s := &versionedServer{id: id}
	s.start(software)
	s.address = transporttest.Serve(t, s.serve)
	t.Cleanup(func() { s.start("") })
	return s
}

// start ends the run of the server with its connections and begins the next.
func (s *versionedServer) start(software string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.software, s.born = software, max(s.born+1, time.Now().UnixMilli())
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
}

// entry returns the entry of the current run.
func (s *versionedServer) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": "advice", "address": s.address, "zone": "a", "version": s.software, "slots": 64, "state": "ready", "born": s.born,
	}
}

// accept returns the run that a new connection reaches.
func (s *versionedServer) accept(c net.Conn) (software, report string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = append(s.connections, c)
	return s.software, fmt.Sprintf(`{"models":[],"born":%d}`, s.born)
}

func (s *versionedServer) reportCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}

func (s *versionedServer) countReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
}

func (s *versionedServer) serve(c net.Conn) {
	software, report := s.accept(c)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get(adapter.HeaderLastEvent))
		switch {
		case r.URL.Path == adapter.PathReport:
			s.countReport()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		case last > 0:
			_, _ = io.WriteString(c, streamHead)
			writeChunk(c, eventsFrom(software, last, streamEvents))
			endChunks(c)
		default:
			_, _ = io.WriteString(c, streamHead)
			writeChunk(c, event(software, 1))
			_, _ = in.ReadByte() // until the connection ends
			return
		}
	}
}

// releaseFleet is a fleet with servers of a service of streams. The first daemon reaches
// the store through a link that can be cut, so that it falls behind the others.
type releaseFleet struct {
	*fleet
	link    *breakableLink
	servers []*versionedServer
}

// newReleaseFleet starts two daemons, and a server for each software version.
func newReleaseFleet(t *testing.T, software ...string) *releaseFleet {
	t.Helper()
	f := &releaseFleet{fleet: newFleet(t, 0)}
	f.link = newBreakableLink(t, f.store.Address())
	f.startDaemon(t, f.link.address)
	f.startDaemon(t, f.store.Address())
	for _, d := range f.daemons {
		waitFor(t, "a configuration", d.isReady)
	}
	for i, v := range software {
		s := newVersionedServer(t, fmt.Sprint("advice-", i), v)
		f.servers = append(f.servers, s)
		f.register(t, s)
		f.awaitRun(t, s, 0)
		f.awaitRun(t, s, 1)
	}
	return f
}

func (f *releaseFleet) register(t *testing.T, s *versionedServer) {
	t.Helper()
	if err := f.store.Put(adapter.KindServers, s.id, s.entry()); err != nil {
		t.Fatal(err)
	}
}

// awaitRun waits until the daemon knows the current run of the server.
func (f *releaseFleet) awaitRun(t *testing.T, s *versionedServer, daemon int) {
	t.Helper()
	software := s.entry()["version"]
	waitFor(t, "server at a daemon", func() bool {
		for _, line := range f.linesOf(t, "backend server changed", "backend_server", s.id) {
			if line["host"] == fmt.Sprint("front-", daemon) && line["software"] == software {
				return true
			}
		}
		return false
	})
}

// release restarts the servers under their IDs with another software version, which only
// the second daemon learns.
func (f *releaseFleet) release(t *testing.T, software string, servers ...*versionedServer) {
	t.Helper()
	for _, s := range servers {
		s.start(software)
		f.register(t, s)
		f.awaitRun(t, s, 1)
	}
}

// begunStream is a stream whose caller has received its first event and lost the rest.
type begunStream struct{ id, first string }

// begin begins a stream at the daemon.
func (f *releaseFleet) begin(t *testing.T, daemon int, id string) begunStream {
	t.Helper()
	s := openStream(t, f.callers[daemon], standin.StreamPrefix, id)
	first, err := s.readEvent()
	if err != nil {
		t.Fatalf("stream %s: status %d, %v", id, s.status, err)
	}
	_ = s.conn.Close()
	return begunStream{id, first}
}

func (b begunStream) isOf(software string) bool { return b.first == event(software, 1) }

// takeUp takes the stream up again at the daemon. It returns whether the stream went on,
// and reports an error unless it then is a whole stream of one software version, and a
// refusal otherwise.
func (f *releaseFleet) takeUp(t *testing.T, daemon int, b begunStream) (goesOn bool) {
	t.Helper()
	s := openStream(t, f.callers[daemon], standin.StreamPrefix, b.id+"-again", "Resumes: "+b.id, "Last-Event-Id: 1")
	if s.status == http.StatusServiceUnavailable && s.header.Get("Retry-After") != "" {
		return false
	}
	rest, err := io.ReadAll(s.body)
	software, _, _ := strings.Cut(strings.TrimPrefix(b.first, "id: 1\ndata: "), "-")
	if s.status != http.StatusOK || err != nil || string(rest) != eventsFrom(software, 1, streamEvents) {
		t.Errorf("stream %s began with %q and goes on with status %d, %q, %v", b.id, b.first, s.status, rest, err)
	}
	return true
}

// Guards against a daemon that is out of step in a release (its list of servers is behind)
// and joins a stream, which began at a server of one version through another daemon, with
// the answer of a server that started again under its ID with another version. Streams of
// versions that it can reach must go on, and those of servers that it does not know are
// refused as not run. A daemon that is in step must not ask servers for new streams.
func TestDaemonOutOfStepInReleaseJoinsNoStreams(t *testing.T) {
	f := newReleaseFleet(t, "v1", "v1", "v1", "v1")
	f.awaitLine(t, "entries of backend servers are up to date", "host", "front-1")
	var old []begunStream
	for i := range 12 {
		old = append(old, f.begin(t, 1, fmt.Sprint("old-", i)))
	}
	for _, s := range f.servers {
		if n := s.reportCount(); n > 0 {
			t.Errorf("a daemon that is in step asked %s for its run %d times for new streams", s.id, n)
		}
	}
	f.link.cut()
	f.release(t, "v2", f.servers[:2]...)
	for _, b := range old {
		if !f.takeUp(t, 0, b) {
			t.Errorf("stream %s is refused although two servers of its version serve", b.id)
		}
	}
	unknown := newVersionedServer(t, "advice-new", "v3")
	f.register(t, unknown)
	f.awaitRun(t, unknown, 1)
	for i := 0; ; i++ {
		if b := f.begin(t, 1, fmt.Sprint("new-", i)); b.isOf("v3") {
			if f.takeUp(t, 0, b) {
				t.Error("a stream goes on at a daemon that knows no server of its version")
			}
			break
		}
	}
	f.stop(t)
}

// Guards against a stream whose recorded origin is the former version of a server that
// started again: the daemon that began it was out of step in a release, and another one
// continues it on the former version.
func TestDaemonOutOfStepInReleaseRecordsNoWrongOrigin(t *testing.T) {
	f := newReleaseFleet(t, "v1", "v1", "v1", "v1")
	f.link.cut()
	f.awaitLine(t, "entries of backend servers are out of date", "host", "front-0")
	f.release(t, "v2", f.servers[:2]...)
	continued := map[bool]int{}
	for i := range 16 {
		b := f.begin(t, 0, fmt.Sprint("s", i))
		if f.takeUp(t, 1, b) {
			continued[b.isOf("v2")]++
		} else if b.isOf("v1") {
			t.Errorf("stream %s is refused although two servers of its version serve", b.id)
		}
	}
	if continued[false] == 0 {
		t.Error("no stream of the version that was not replaced went on")
	}
	f.stop(t)
}
