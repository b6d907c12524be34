package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// dialPair returns a pooled connection and the server's side of it.
func dialPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := DialConn(context.Background(), l.Addr().String(), time.Minute)
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

// Guards against a request on an idle connection that the server has closed, or
// that has been idle for longer than the limit.
func TestPoolClosesUnusableConnections(t *testing.T) {
	now := time.Now()
	p := NewPool(time.Minute)
	p.now = func() time.Time { return now }
	open, _ := dialPair(t)
	p.Put(open)
	if c, err := p.Get(context.Background(), open.address); err != nil || c != open {
		t.Fatalf("open connection: got %p, %v, want the pooled one", c, err)
	}
	p.Put(open)
	now = now.Add(defaultMaxIdleTime)
	if c, err := p.Get(context.Background(), open.address); err == nil {
		t.Fatalf("connection idle for %v: got %p, want a dial, which is refused", defaultMaxIdleTime, c)
	}
	closed, server := dialPair(t)
	p.Put(closed)
	_ = server.Close()
	if _, err := closed.Read(make([]byte, 1)); err == nil {
		t.Fatal("the client did not see the close")
	}
	if c, err := p.Get(context.Background(), closed.address); err == nil {
		t.Fatalf("closed connection: got %p, want a dial, which is refused", c)
	}
}

// Guards against a response that is truncated at the end of the read buffer.
func TestReadBinaryGrowsTheBuffer(t *testing.T) {
	c, server := dialPair(t)
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

// Guards against a request that is abandoned during a network partition and
// delivered by the operating system when the partition has healed.
func TestAbortResetsTheConnection(t *testing.T) {
	for _, abort := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		socket, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := NewConn(socket, time.Second)
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if abort {
			c.Abort()
		} else {
			c.Close()
		}
		if err := peer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		_, err = peer.Read(make([]byte, 1))
		if errors.Is(err, syscall.ECONNRESET) != abort {
			t.Errorf("abort %v: the peer reads %v", abort, err)
		}
	}
}

// Guards against a time-out before the first byte of a response that is reported as a
// connection that the server closed: the HTTP library turns each error there into EOF.
func TestReadTimeoutBeforeTheResponseKeepsItsError(t *testing.T) {
	errIdle := errors.New("no byte in time")
	c, _ := dialPair(t)
	c.NextReadTimeout = time.Millisecond
	c.OnReadTimeout = func() error { return errIdle }
	if err := c.ReadResponseHeader(&protocol.Response{}); !errors.Is(err, errIdle) {
		t.Errorf("the response ended with %v, want %v", err, errIdle)
	}
}
