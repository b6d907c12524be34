package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	hertzreq "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	hertzresp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

const (
	readBufferSize = 8 << 10
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, which the
	// package syscall does not name. It bounds how long sent data may stay
	// unacknowledged; the operating system's own bound is about 15 minutes.
	tcpUserTimeoutOption = 18
	// keepAliveProbes lost in a row end a connection without data.
	keepAliveProbes = 3
)

// Conn is a connection to a backend server. It counts the bytes that it handed
// to the operating system, which is the proof that a request was not sent, and
// asks OnSilence whenever no byte arrived for the silence bound.
//
// It implements network.Conn's reading half, since the library's own
// connection reports neither the bytes of a failed write nor the socket.
type Conn struct {
	net.Conn
	address  string
	readTimeout  time.Duration
	NextReadTimeout time.Duration // bound of the next read only; 0 is silence
	lastUsed time.Time
	// ServerIdleTimeout is how long the server keeps the connection open without a
	// request; 0 is unknown.
	ServerIdleTimeout time.Duration

	BytesWritten   int          // bytes of the current request
	OnReadTimeout func() error // nil ends the read with the time-out
	buffer    []byte
	start     int // of the unread part of buffer
}

var _ network.Reader = (*Conn)(nil)

// DialConn opens a connection; ctx ends the attempt to. A connection in use may
// bring no byte for the silence bound before OnSilence is asked.
func DialConn(ctx context.Context, address string, readTimeout time.Duration) (*Conn, error) {
	return dialWithKeepAlive(ctx, address, readTimeout, readTimeout)
}

// NewConn returns a connection over an open socket.
func NewConn(c net.Conn, readTimeout time.Duration) *Conn { return &Conn{Conn: c, readTimeout: readTimeout} }

// dialWithKeepAlive opens a connection whose peer is probed once it has been quiet
// for the keepAlive time.
func dialWithKeepAlive(ctx context.Context, address string, silence, keepAlive time.Duration) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         DefaultDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: time.Second, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option the read's silence bound still holds.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int((keepAlive + (keepAliveProbes-1)*time.Second).Milliseconds()))
			})
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, address: address, readTimeout: silence}, nil
}

// Write counts what the operating system took.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.BytesWritten += n
	return n, err
}

// Send writes the request. Written tells how much of it was sent.
func (c *Conn) Send(req *protocol.Request) error {
	c.BytesWritten, c.NextReadTimeout = 0, 0
	var encoded bytes.Buffer
	w := network.NewWriter(&encoded)
	if err := hertzreq.Write(req, w); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return err
	}
	_, err := c.Write(encoded.Bytes())
	return err
}

// ReadResponseHeader reads the status and the headers of the answer.
func (c *Conn) ReadResponseHeader(resp *protocol.Response) error {
	return hertzresp.ReadHeaders(resp, c)
}

// ReadResponseBody reads the whole body of the answer.
func (c *Conn) ReadResponseBody(resp *protocol.Response) error {
	return hertzresp.ReadRespBody(resp, c, DefaultMaxBodyBytes)
}

// fill reads more bytes, waiting for as long as OnSilence allows.
func (c *Conn) fill(n int) error {
	for len(c.buffer)-c.start < n {
		c.reserve(n)
		if err := c.SetReadDeadline(time.Now().Add(c.takeReadTimeout())); err != nil {
			return err
		}
		used := len(c.buffer)
		read, err := c.Conn.Read(c.buffer[used:cap(c.buffer)])
		c.buffer = c.buffer[:used+read]
		if errors.Is(err, os.ErrDeadlineExceeded) && c.OnReadTimeout != nil {
			err = c.OnReadTimeout()
		}
		if err != nil && len(c.buffer)-c.start < n {
			return err
		}
	}
	return nil
}

func (c *Conn) takeReadTimeout() time.Duration {
	timeout := c.NextReadTimeout
	c.NextReadTimeout = 0
	if timeout == 0 {
		return c.readTimeout
	}
	return timeout
}

// reserve makes the buffer large enough for n unread bytes. It never moves
// bytes that a caller of Peek may still hold.
func (c *Conn) reserve(n int) {
	unread := len(c.buffer) - c.start
	if c.start+n <= cap(c.buffer) && len(c.buffer) < cap(c.buffer) {
		return
	}
	larger := make([]byte, unread, max(readBufferSize, n, 2*unread))
	copy(larger, c.buffer[c.start:])
	c.buffer, c.start = larger, 0
}

// Peek returns the next n bytes and leaves them unread.
func (c *Conn) Peek(n int) ([]byte, error) {
	err := c.fill(n)
	return c.buffer[c.start:min(c.start+n, len(c.buffer))], err
}

// Read returns the next bytes, at least one.
func (c *Conn) Read(p []byte) (int, error) {
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
func (c *Conn) Skip(n int) error {
	err := c.fill(n)
	c.start = min(c.start+n, len(c.buffer))
	return err
}

// Release does nothing: the buffer is kept for the connection's next answer.
func (c *Conn) Release() error { return nil }

// Abort closes the connection and drops what the peer has not received. A plain
// close leaves that to the operating system, which delivers a request that was
// given up during a partition seconds later, when the links are back.
func (c *Conn) Abort() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the socket is closed already.
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// Len returns the number of bytes that can be read without waiting.
func (c *Conn) Len() int { return len(c.buffer) - c.start }

// ReadByte returns the next byte.
func (c *Conn) ReadByte() (byte, error) {
	b, err := c.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary returns a copy of the next n bytes.
func (c *Conn) ReadBinary(n int) ([]byte, error) {
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
func (c *Conn) isIdle() bool {
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

// RoundTrip sends the request and reads the whole answer.
func (c *Conn) RoundTrip(req *protocol.Request, resp *protocol.Response) error {
	if err := c.Send(req); err != nil {
		return err
	}
	if err := c.ReadResponseHeader(resp); err != nil {
		return err
	}
	return c.ReadResponseBody(resp)
}

// StreamResponseBody makes the body readable as it arrives. The library reads ahead in
// a body without chunks, which would hold events back until it ends.
func (c *Conn) StreamResponseBody(resp *protocol.Response) error {
	const chunked, untilClose = -1, -2 // content lengths of the library
	length := resp.Header.ContentLength()
	if length == chunked {
		return hertzresp.ReadRespBodyStream(resp, c, 0, func(bool) error { return nil })
	}
	limit := int64(length)
	if length == untilClose {
		limit = math.MaxInt64
	}
	resp.SetBodyStream(io.LimitReader(c, limit), length)
	return nil
}
