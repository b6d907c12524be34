package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// readLimit bounds the wait of a peer for an event that normally takes milliseconds.
const readLimit = 30 * time.Second

// isReset reports whether the peer of a connection learns that it was reset.
func isReset(t *testing.T, peer net.Conn) bool {
	t.Helper()
	if err := peer.SetReadDeadline(time.Now().Add(readLimit)); err != nil {
		t.Fatal(err)
	}
	for {
		_, err := peer.Read(make([]byte, 1<<10))
		if err != nil {
			return errors.Is(err, syscall.ECONNRESET)
		}
	}
}

// closeSocket closes the connection as the operating system does when the process ends.
func closeSocket(c *Conn) {
	socket := c.Conn
	_ = socket.Close()
}

// Guards against a request that is abandoned during a network partition and delivered by
// the operating system when the partition has healed: each way in which a connection to
// a server ends has to discard what the server has not received.
func TestEveryEndOfAConnectionIsAReset(t *testing.T) {
	ctx := context.Background()
	stopped, stop := context.WithCancel(ctx)
	stop()
	for name, end := range map[string]func(*Pool, *Conn){
		"aborted":        func(_ *Pool, c *Conn) { c.Abort() },
		"closed":         func(_ *Pool, c *Conn) { c.Close() },
		"process killed": func(_ *Pool, c *Conn) { closeSocket(c) },
		"not reusable":   func(p *Pool, c *Conn) { p.Use(ctx, c, func() bool { return false }) },
		"context over":   func(p *Pool, c *Conn) { p.Use(stopped, c, func() bool { return true }) },
		"bytes after the answer": func(p *Pool, c *Conn) {
			p.Use(ctx, c, func() bool {
				c.buffer = []byte("HTTP/1.1")
				return true
			})
		},
		"idle for too long": func(p *Pool, c *Conn) {
			p.Put(c)
			p.now = func() time.Time { return time.Now().Add(defaultMaxIdleTime) }
			if _, err := p.Get(ctx, c.address); err == nil {
				t.Error("the connection is used again")
			}
		},
		"bytes without a request": func(p *Pool, c *Conn) {
			c.buffer = []byte("HTTP/1.1")
			p.Put(c)
			if _, err := p.Get(ctx, c.address); err == nil {
				t.Error("the connection is used again")
			}
		},
		"one idle connection too many": func(p *Pool, c *Conn) {
			p.Put(c)
			for range maxIdlePerServer {
				p.Put(&Conn{address: c.address})
			}
		},
		"idle connections closed": func(p *Pool, c *Conn) {
			p.Put(c)
			p.CloseIdle(c.address)
		},
	} {
		c, peer := dialPair(t)
		end(NewPool(time.Minute), c)
		if !isReset(t, peer) {
			t.Errorf("%s: the peer sees no reset", name)
		}
	}
}
