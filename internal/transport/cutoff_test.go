package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

// Guards against a response that its server breaks off in the head or the body and that
// passes for a complete one, for all clients of the pool.
func TestCutOffResponseIsAnError(t *testing.T) {
	for name, whole := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 4\r\n\r\nbody",
		"empty":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: s\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\nServer: s\r\n\r\n",
	} {
		n := 0
		address := transporttest.Serve(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, whole[:n])
			}
		})
		pool := NewPool(5 * time.Second)
		for n = range len(whole) + 1 {
			req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
			req.SetRequestURI("http://h/")
			err := pool.Do(context.Background(), address, req, resp)
			if (err == nil) != (n == len(whole)) {
				t.Errorf("%s: %q gives status %d with %d bytes, %v", name, whole[:n], resp.StatusCode(), len(resp.Body()), err)
			}
			protocol.ReleaseRequest(req)
			protocol.ReleaseResponse(resp)
		}
	}
}
