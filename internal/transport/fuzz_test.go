package transport

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// bytesConn is the client's side of a connection whose server has sent data and has
// closed it.
type bytesConn struct {
	net.Conn
	data *bytes.Reader
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.data.Read(p) }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }
func (c bytesConn) Close() error                    { return nil }

// Guards against a response that makes the decoder of heads and bodies panic, that
// never ends, or whose body exceeds its limit.
func FuzzResponse(f *testing.F) {
	for _, r := range endlessResponses {
		f.Add([]byte(r.start + r.repeated + r.repeated))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 404 Not Found\r\nRetry-After: 0.5\r\n\r\nnothing"))
	const maxBody = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewConn(bytesConn{data: bytes.NewReader(data)}, time.Second)
		resp := protocol.AcquireResponse()
		defer protocol.ReleaseResponse(resp)
		if err := c.ReadResponseHeader(resp); err != nil {
			return
		}
		if resp.StatusCode() < 200 {
			t.Errorf("status %d is the final one", resp.StatusCode())
		}
		if err := c.ReadResponseBody(context.Background(), resp, maxBody); err != nil {
			return
		}
		if len(resp.Body()) > maxBody || len(resp.Body()) > len(data) {
			t.Errorf("a body of %d bytes from %d bytes", len(resp.Body()), len(data))
		}
	})
}
