package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

// newRequest returns a request with a body of the size in bytes.
func newRequest(size int) *protocol.Request {
	req := protocol.NewRequest("POST", "http://server/", nil)
	req.SetBody(make([]byte, size))
	return req
}

// Guards against a request that waits on a broken path until its first byte is overdue,
// and that the operating system delivers when the path is whole again.
func TestUnacknowledgedRequestIsGivenUp(t *testing.T) {
	t.Parallel()
	const size = 1 << 10
	for name, bodyBytes := range map[string]int{"small": size, "larger than the send buffer": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, peer := dialPair(t)
			heal := transporttest.Partition(t, peer)
			c.AckTimeout = DefaultAckTimeout
			err := c.RoundTrip(context.Background(), newRequest(bodyBytes), &protocol.Response{}, size)
			if !errors.Is(err, ErrUnacknowledged) {
				t.Fatalf("the round trip ended with %v", err)
			}
			c.Abort()
			heal()
			if err := peer.SetReadDeadline(time.Now().Add(3 * DefaultAckTimeout)); err != nil {
				t.Fatal(err)
			}
			if n, err := peer.Read(make([]byte, size)); n > 0 || errors.Is(err, io.EOF) {
				t.Errorf("the peer received %d bytes (%v) after the request was given up", n, err)
			}
		})
	}
}

// Guards against a server that is taken for unreachable although its operating system
// acknowledges what it can: one that takes long to answer, one that does not read a
// large body for a time, and one whose receive buffer becomes smaller.
func TestSlowServerIsNotTakenForABrokenPath(t *testing.T) {
	t.Parallel()
	const (
		pause       = 3 * DefaultAckTimeout
		smallBuffer = 8 << 10 // bytes
	)
	cases := []struct {
		name          string
		bodyBytes     int
		shrinksBuffer bool // the rest of the body takes minutes then, and is not read
	}{
		{"late answer", 1 << 10, false},
		{"body larger than all buffers", 32 << 20, false},
		{"smaller buffer", 32 << 20, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := transporttest.Serve(t, func(c net.Conn) {
				if test.shrinksBuffer {
					_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
				}
				time.Sleep(pause)
				if test.shrinksBuffer {
					return
				}
				_, _ = io.CopyN(io.Discard, c, int64(test.bodyBytes))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			c, err := DialConn(context.Background(), address, time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Abort()
			c.AckTimeout = DefaultAckTimeout
			err = c.RoundTrip(context.Background(), newRequest(test.bodyBytes), &protocol.Response{}, 0)
			if errors.Is(err, ErrUnacknowledged) || (err == nil) == test.shrinksBuffer {
				t.Errorf("the round trip ended with %v", err)
			}
		})
	}
}

// Guards against a kept connection with bytes of a request that was answered before the
// server had received it: they would reach the server later, before the next request.
func TestConnectionWithUnacknowledgedBytesIsNotKept(t *testing.T) {
	ctx, p := context.Background(), NewPool(time.Minute)
	for name, isPartitioned := range map[string]bool{"whole path": false, "broken path": true} {
		c, peer := dialPair(t)
		if isPartitioned {
			transporttest.Partition(t, peer)
		}
		answered := make(chan error, 1)
		go func() {
			if !isPartitioned {
				_, _ = peer.Read(make([]byte, readBufferSize))
			}
			_, err := io.WriteString(peer, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			answered <- err
		}()
		p.Use(ctx, c, func() (reusable bool) {
			err := c.RoundTrip(ctx, newRequest(1), &protocol.Response{}, 0)
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			return err == nil
		})
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
		if kept := p.popIdle(c.address); (kept == nil) != isPartitioned {
			t.Errorf("%s: kept %p", name, kept)
		}
	}
}

// Guards against a read time-out that the looks at the send queue prolong, shorten or
// swallow.
func TestReadTimeoutWithAckTimeout(t *testing.T) {
	t.Parallel()
	c, _ := dialPair(t)
	c.readTimeout, c.AckTimeout = DefaultAckTimeout, DefaultAckTimeout
	var timeouts atomic.Int64
	c.OnReadTimeout = func() error {
		if timeouts.Add(1) < 3 {
			return nil
		}
		return os.ErrDeadlineExceeded
	}
	started := time.Now()
	err := c.RoundTrip(context.Background(), newRequest(1), &protocol.Response{}, 0)
	if took := time.Since(started); err == nil || timeouts.Load() != 3 || took < 3*DefaultAckTimeout {
		t.Errorf("%d time-outs in %v: %v", timeouts.Load(), took, err)
	}
}

// Guards against connections without sockets, or sockets that do not report their send
// queue, whose exchanges end differently.
func TestUnknownSendQueueIsNoFailure(t *testing.T) {
	t.Parallel()
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	c := NewConn(client, 3*DefaultAckTimeout)
	c.AckTimeout = DefaultAckTimeout
	started := time.Now()
	err := c.RoundTrip(context.Background(), newRequest(1), &protocol.Response{}, 0)
	if took := time.Since(started); err == nil || errors.Is(err, ErrUnacknowledged) || took < 3*DefaultAckTimeout {
		t.Errorf("the round trip ended with %v after %v", err, took)
	}
}
