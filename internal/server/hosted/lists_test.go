package hosted

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// silentDoor passes the connections of one daemon on to the store. While it is silent, a
// call that arrives gets no answer, and its connection stays open for good; what waits on
// other connections is answered.
type silentDoor struct {
	address string

	mu       sync.Mutex
	isSilent bool
	isDead   map[net.Conn]bool
}

func newSilentDoor(t *testing.T, store string) *silentDoor {
	t.Helper()
	d := &silentDoor{isDead: map[net.Conn]bool{}}
	d.address = transporttest.Serve(t, func(c net.Conn) {
		onward, err := net.Dial("tcp", store)
		if err != nil {
			return
		}
		defer func() { _ = onward.Close() }()
		go d.copy(onward, c, c)
		d.copy(c, onward, c)
	})
	return d
}

// copy passes bytes on unless the daemon's connection is dead. Bytes of the daemon that
// arrive in the silence make it so.
func (d *silentDoor) copy(to, from, daemon net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !d.drops(daemon, from == daemon) {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (d *silentDoor) drops(daemon net.Conn, isCall bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSilent && isCall {
		d.isDead[daemon] = true
	}
	return d.isDead[daemon]
}

func (d *silentDoor) setSilent(isSilent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = isSilent
}

// Guards against a daemon that follows an old list of servers or an old configuration for
// as long as a watch may last, after the store was silent to it for a moment in which it
// sent its watches: their connections stay open, and all other calls are answered.
func TestListsAreCurrentSoonAfterASilenceOfTheStore(t *testing.T) {
	const (
		silence    = 400 * time.Millisecond
		inTouch    = 3 * time.Second // after a disturbance
		drainBound = 2 * time.Second
	)
	f, _, _ := newServingFleet(t, 1)
	door := newSilentDoor(t, f.store.Address())
	f.startDaemon(t, door.address)
	d := f.daemons[1]
	waitFor(t, "a configuration", d.isReady)
	var requests atomic.Int64
	addresses := map[string]string{}
	for _, id := range []string{"advice-0", "advice-1"} {
		addresses[id] = f.addServer(t, "advice", id, "v1", func(_ *http.Request, _ int, c net.Conn) {
			if id == "advice-0" {
				requests.Add(1)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		})
	}
	// The changes end the watches. The next ones are sent within the silence: that of the
	// configuration at once, that of the servers after the delay that collects changes.
	f.addServer(t, "other", "other-0", "v1", func(*http.Request, int, net.Conn) {})
	time.Sleep(time.Duration(directDelayShare*float64(drainBound)) - silence/2)
	door.setSilent(true)
	if err := deployment.Configure(f.store, 5); err != nil {
		t.Fatal(err)
	}
	time.Sleep(silence)
	door.setSilent(false)
	time.Sleep(inTouch)
	if err := f.store.Put(adapter.KindServers, "advice-0", map[string]any{
		"service": "advice", "zone": "a", "version": "v1", "slots": 4, "state": "draining", "address": addresses["advice-0"],
	}); err != nil {
		t.Fatal(err)
	}
	if err := deployment.Configure(f.store, 6); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainBound)
	if got := d.routes.Current().Version; got != 6 {
		t.Errorf("%v after version 6 was stored, version %d is in force", drainBound, got)
	}
	before := requests.Load()
	for range 20 {
		if status := sendRaw(t, f.callers[1], "POST "+standin.StreamPrefix+"x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n", false); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := requests.Load() - before; n > 0 {
		t.Errorf("%d of 20 requests reached a server that had been draining for %v", n, drainBound)
	}
	f.stop(t)
}
