package backendhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	hertzreq "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	hertzresp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/berylfall/berylfall/internal/transport"
)

const (
	readBufferSize = 8 << 10
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which the
	// package syscall does not name. It bounds how long sent data may stay
	// unacknowledged; the operating system's own bound is about 15 minutes.
	tcpUserTimeout = 18
	// keepAliveProbes lost in a row end a connection without data.
	keepAliveProbes = 3
)

// conn is a connection to a backend server. It counts the bytes that it handed
// to the operating system, which is the proof that a request was not sent, and
// asks onSilence whenever no byte arrived for the silence bound.
//
// It implements network.Conn's reading half, since the library's own
// connection reports neither the bytes of a failed write nor the socket.
type conn struct {
	net.Conn
	address  string
	silence  time.Duration
	patience time.Duration // bound of the next read only; 0 is silence
	lastUsed time.Time

	written   int          // bytes of the current request
	onSilence func() error // nil ends the read with the time-out
	buffer    []byte
	start     int // of the unread part of buffer
}

var _ network.Reader = (*conn)(nil)

// dial opens a connection; ctx ends the attempt to.
func dial(ctx context.Context, address string, silence time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         transport.DefaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: time.Second, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option the read's silence bound still holds.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, address: address, silence: silence}, nil
}

// Write counts what the operating system took.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// send writes the request. written tells how much of it was sent.
func (c *conn) send(req *protocol.Request) error {
	c.written, c.patience = 0, 0
	var encoded bytes.Buffer
	w := network.NewWriter(&encoded)
	if err := hertzreq.Write(req, w); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return err
	}
	_, err := c.Write(encoded.Bytes())
	return err
}

// receiveHead reads the status and the headers of the answer.
func (c *conn) receiveHead(resp *protocol.Response) error {
	return hertzresp.ReadHeaders(resp, c)
}

// receiveBody reads the whole body of the answer.
func (c *conn) receiveBody(resp *protocol.Response) error {
	return hertzresp.ReadRespBody(resp, c, transport.DefaultMaxBody)
}

// fill reads more bytes, waiting for as long as onSilence allows.
func (c *conn) fill(n int) error {
	for len(c.buffer)-c.start < n {
		c.makeRoom(n)
		if err := c.SetReadDeadline(time.Now().Add(c.nextPatience())); err != nil {
			return err
		}
		used := len(c.buffer)
		read, err := c.Conn.Read(c.buffer[used:cap(c.buffer)])
		c.buffer = c.buffer[:used+read]
		if errors.Is(err, os.ErrDeadlineExceeded) && c.onSilence != nil {
			err = c.onSilence()
		}
		if err != nil && len(c.buffer)-c.start < n {
			return err
		}
	}
	return nil
}

func (c *conn) nextPatience() time.Duration {
	p := c.patience
	c.patience = 0
	if p == 0 {
		return c.silence
	}
	return p
}

// makeRoom makes the buffer large enough for n unread bytes. It never moves
// bytes that a caller of Peek may still hold.
func (c *conn) makeRoom(n int) {
	unread := len(c.buffer) - c.start
	if c.start+n <= cap(c.buffer) && len(c.buffer) < cap(c.buffer) {
		return
	}
	larger := make([]byte, unread, max(readBufferSize, n, 2*unread))
	copy(larger, c.buffer[c.start:])
	c.buffer, c.start = larger, 0
}

// Peek returns the next n bytes and leaves them unread.
func (c *conn) Peek(n int) ([]byte, error) {
	err := c.fill(n)
	return c.buffer[c.start:min(c.start+n, len(c.buffer))], err
}

// Read returns the next bytes, at least one.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := c.fill(1); err != nil {
		return 0, err
	}
	n := copy(p, c.buffer[c.start:])
	c.start += n
	return n, nil
}

// Skip drops the next n bytes.
func (c *conn) Skip(n int) error {
	err := c.fill(n)
	c.start = min(c.start+n, len(c.buffer))
	return err
}

// Release does nothing: the buffer is kept for the connection's next answer.
func (c *conn) Release() error { return nil }

// Len returns the number of bytes that can be read without waiting.
func (c *conn) Len() int { return len(c.buffer) - c.start }

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	b, err := c.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	b = bytes.Clone(b)
	return b, c.Skip(n)
}

// isIdle reports whether an unused connection is open and has nothing to read.
// A server that has closed it, or has sent something unasked, cannot take a
// request on it. The check does not wait.
func (c *conn) isIdle() bool {
	if c.Len() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
