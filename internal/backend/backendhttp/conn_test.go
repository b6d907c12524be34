package backendhttp

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/berylfall/berylfall/internal/core"
)

var errWrite = errors.New("write failed")

// limitedConn takes only so many bytes and then fails.
type limitedConn struct {
	net.Conn
	room int
}

func (c *limitedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *limitedConn) Write(b []byte) (int, error) {
	n := min(c.room, len(b))
	c.room -= n
	if n < len(b) {
		return n, errWrite
	}
	return n, nil
}

// Guards against "not run" for a request of which a part left the host, and
// against "may have run" for one of which nothing did.
func TestVerdictByBytesWritten(t *testing.T) {
	for room, want := range map[int]core.Verdict{0: core.NotRun, 1: core.MayHaveRun, 40: core.MayHaveRun} {
		c := &conn{Conn: &limitedConn{room: room}, silence: time.Second}
		req := protocol.NewRequest("POST", "http://server/v1/ops/book", nil)
		err := c.send(req)
		if !errors.Is(err, errWrite) {
			t.Fatalf("room for %d bytes: send returned %v", room, err)
		}
		if got := classifyBroken(context.Background(), c.written, err).Verdict; got != want {
			t.Errorf("room for %d bytes: verdict %v, want %v", room, got, want)
		}
	}
}

// pair returns a pooled connection and the server's side of it.
func pair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := dial(context.Background(), l.Addr().String(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), server.Close() })
	return c, server
}

// Guards against a request on an idle connection that the server has closed,
// or on one that has been idle for longer than the bound.
func TestPoolDropsUnfitConnections(t *testing.T) {
	now := time.Now()
	p := newPool(time.Minute)
	p.now = func() time.Time { return now }
	open, _ := pair(t)
	p.put(open)
	if c, err := p.get(context.Background(), open.address); err != nil || c != open {
		t.Fatalf("open connection: got %p, %v, want it back", c, err)
	}
	p.put(open)
	now = now.Add(maxIdleAge)
	if c, err := p.get(context.Background(), open.address); err == nil {
		t.Fatalf("connection idle for %v: got %p, want a dial, which is refused", maxIdleAge, c)
	}
	closed, server := pair(t)
	p.put(closed)
	_ = server.Close()
	if _, err := closed.Read(make([]byte, 1)); err == nil {
		t.Fatal("the close has not arrived")
	}
	if c, err := p.get(context.Background(), closed.address); err == nil {
		t.Fatalf("closed connection: got %p, want a dial, which is refused", c)
	}
}

// Guards against an answer that is cut where the read buffer ends.
func TestReaderGrowsPastItsBuffer(t *testing.T) {
	c, server := pair(t)
	const size = 5 * readBufferSize
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	go func() { _, _ = server.Write(sent) }()
	for at := 0; at < size; {
		n := min(size-at, readBufferSize/3+at)
		b, err := c.ReadBinary(n)
		if err != nil || string(b) != string(sent[at:at+n]) {
			t.Fatalf("bytes %d to %d differ: %v", at, at+n, err)
		}
		at += n
	}
}
