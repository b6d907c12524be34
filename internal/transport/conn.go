package transport

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
	"golang.org/x/sync/semaphore"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	readBufferSize = 8 << 10 // bytes
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, for
	// which package syscall has no constant. It limits how long sent data may
	// stay unacknowledged; the default limit of Linux is about 15 minutes.
	tcpUserTimeoutOption = 18
	// keepAliveProbes is the number of consecutive unanswered keep-alive probes
	// after which the operating system closes an idle connection.
	keepAliveProbes = 3
)

// Conn is a connection to a backend server. It counts the bytes that it passed
// to the operating system: a count of 0 proves that a request was not sent. It
// calls OnReadTimeout whenever no byte has arrived within the read time-out.
//
// It implements network.Reader because the HTTP library's own connection
// exposes neither the byte count of a failed write nor the socket.
type Conn struct {
	net.Conn
	address         string
	readTimeout     time.Duration
	NextReadTimeout time.Duration // of the next read only; 0 is readTimeout
	lastUsed        time.Time
	// ServerIdleTimeout is how long the server keeps an idle connection open; 0
	// is unknown.
	ServerIdleTimeout time.Duration
	// AckTimeout is how long a request may stay unacknowledged until it ends with
	// ErrUnacknowledged; 0 is no bound. It applies until the first byte of the answer, and
	// not to a system that does not report unacknowledged bytes.
	AckTimeout time.Duration
	acks       ackWatch

	// PeerRun is the run of the server at the other end, as it said on this connection;
	// empty if it has not been asked. A connection does not outlive the server's process.
	PeerRun string

	BytesWritten  int          // bytes of the current request
	bytesRead     int          // bytes received since the current request
	OnReadTimeout func() error // nil makes the read fail with the time-out error
	buffer        []byte
	start         int // index of the first unread byte of buffer

	guard       progressGuard
	fatalErr    error               // after it the connection cannot be used any more
	largeBodies *semaphore.Weighted // of the pool; nil is no limit
}

var _ network.Reader = (*Conn)(nil)

// DialConn opens a connection. The end of ctx aborts the dial, not the open
// connection. The keep-alive time equals readTimeout.
func DialConn(ctx context.Context, address string, readTimeout time.Duration) (*Conn, error) {
	return dialWithKeepAlive(ctx, address, readTimeout, readTimeout, DefaultDialTimeout)
}

// NewConn returns a Conn over an open socket. It changes no socket options.
func NewConn(c net.Conn, readTimeout time.Duration) *Conn {
	return &Conn{Conn: c, readTimeout: readTimeout}
}

// dialWithKeepAlive opens a connection on which TCP keep-alive probes start after
// the keepAlive time without data; 0 sends none and lets sent data stay unacknowledged.
// However the connection ends, also with the process, it is reset.
func dialWithKeepAlive(ctx context.Context, address string, readTimeout, keepAlive, dialTimeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: keepAlive > 0, Idle: keepAlive, Interval: time.Second, Count: keepAliveProbes},
		KeepAlive:       -1, // only KeepAliveConfig counts
		Control: func(_, _ string, raw syscall.RawConn) error {
			if keepAlive == 0 {
				return nil
			}
			return raw.Control(func(fd uintptr) {
				// The error is ignored, since the read time-out applies without
				// the option as well.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int((keepAlive + (keepAliveProbes-1)*time.Second).Milliseconds()))
			})
		},
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	discardOnClose(c)
	return &Conn{Conn: c, address: address, readTimeout: readTimeout}, nil
}

// Write adds the number of bytes that the operating system accepted to
// BytesWritten, also when it returns an error.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.BytesWritten += n
	return n, err
}

// Send writes the request and sets BytesWritten to the number of its bytes that
// were sent. It writes nothing if ctx is over: the reset that ends a connection in use
// with its context runs on another goroutine, which may be later than the write.
func (c *Conn) Send(ctx context.Context, req *protocol.Request) error {
	c.BytesWritten, c.bytesRead, c.NextReadTimeout = 0, 0, 0
	c.startAckWatch()
	first, rest, err := encodeRequest(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := core.ContextCause(ctx); err != nil {
		return err
	}
	if err := c.writeAll(first); err != nil {
		return err
	}
	return c.writeAll(rest)
}

// encodeRequest returns the bytes of the request in two parts. The second one is the body
// itself if that is large, so that it is not copied.
func encodeRequest(req *protocol.Request) (first, rest []byte, err error) {
	body := req.BodyBytes()
	if len(body) >= smallBodyBytes && len(req.Header.Host()) > 0 && !req.IsURIParsed() {
		req.Header.SetContentLength(len(body))
		return req.Header.Header(), body, nil
	}
	var encoded bytes.Buffer
	w := network.NewWriter(&encoded)
	if err := hertzreq.Write(req, w); err != nil {
		return nil, nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, nil, err
	}
	return encoded.Bytes(), nil, nil
}

// writeAll writes the bytes within the read time-out.
func (c *Conn) writeAll(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	return c.operate(c.readTimeout, func(limit time.Duration) error {
		if err := c.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		n, err := c.Write(b)
		b = b[n:]
		return err
	})
}

// fill blocks until n unread bytes are buffered, a read fails, or a read times
// out and OnReadTimeout is nil or returns an error.
func (c *Conn) fill(n int) error {
	for len(c.buffer)-c.start < n {
		if c.fatalErr != nil {
			return c.fatalErr
		}
		c.reserve(n)
		read, err := c.receive()
		if guardErr := c.guard.receive(read, time.Now()); guardErr != nil {
			// The HTTP library ignores an error of Peek that comes with bytes.
			c.buffer, c.start = nil, 0
			c.fatalErr = guardErr
			return guardErr
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.OnReadTimeout != nil {
			// The HTTP library replaces an error before the first byte of a response.
			err = c.OnReadTimeout()
			c.fatalErr = err
		}
		if err != nil && len(c.buffer)-c.start < n {
			return err
		}
	}
	return nil
}

// receive appends the bytes of one read to the buffer, which must have room.
func (c *Conn) receive() (read int, err error) {
	used := len(c.buffer)
	err = c.operate(c.takeReadTimeout(), func(limit time.Duration) error {
		if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		var err error
		read, err = c.Conn.Read(c.buffer[used:cap(c.buffer)])
		return err
	})
	c.buffer = c.buffer[:used+read]
	c.bytesRead += read
	if read > 0 {
		c.acks = ackWatch{}
	}
	return read, err
}

// takeReadTimeout returns the time-out of the next read and resets
// NextReadTimeout.
func (c *Conn) takeReadTimeout() time.Duration {
	timeout := c.NextReadTimeout
	c.NextReadTimeout = 0
	if timeout == 0 {
		return c.readTimeout
	}
	return timeout
}

// reserve makes the buffer large enough for n unread bytes. It copies them to a
// new buffer if need be and leaves the old one unchanged, since a caller of Peek
// may still refer to it.
func (c *Conn) reserve(n int) {
	unreadBytes := len(c.buffer) - c.start
	if c.start+n <= cap(c.buffer) && len(c.buffer) < cap(c.buffer) {
		return
	}
	larger := make([]byte, unreadBytes, max(readBufferSize, n, 2*unreadBytes))
	copy(larger, c.buffer[c.start:])
	c.buffer, c.start = larger, 0
}

// Peek returns the next n bytes without consuming them, or fewer with an error.
func (c *Conn) Peek(n int) ([]byte, error) {
	err := c.fill(n)
	return c.buffer[c.start:min(c.start+n, len(c.buffer))], err
}

// Read blocks until at least one byte is available, unless p is empty.
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

// Skip discards the next n bytes.
func (c *Conn) Skip(n int) error {
	err := c.fill(n)
	c.start = min(c.start+n, len(c.buffer))
	return err
}

// Release does nothing: the buffer is reused for the connection's next response.
func (c *Conn) Release() error { return nil }

// Abort closes the connection with a reset and discards data that the peer has
// not received.
func (c *Conn) Abort() {
	resetConnection(c.Conn)
}

// Len returns the number of bytes that can be read without blocking.
func (c *Conn) Len() int { return len(c.buffer) - c.start }

// ReadByte returns the next byte and blocks until it arrives.
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

// isIdle reports whether an unused connection is open and has no data to read. A
// connection that the server has closed, or on which it has sent data without a
// request, must not be reused. The check does not block.
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

// RoundTrip sends the request and reads the whole response, whose body may have
// maxBodyBytes.
func (c *Conn) RoundTrip(ctx context.Context, req *protocol.Request, resp *protocol.Response, maxBodyBytes int) error {
	if err := c.Send(ctx, req); err != nil {
		return err
	}
	if err := c.ReadResponseHeader(resp); err != nil {
		return err
	}
	return c.ReadResponseBody(ctx, resp, maxBodyBytes)
}
