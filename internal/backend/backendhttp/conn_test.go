package backendhttp

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

var errWrite = errors.New("write failed")

// limitedWriteConn accepts a limited number of bytes and then fails.
type limitedWriteConn struct {
	net.Conn
	remaining int
}

func (c *limitedWriteConn) SetWriteDeadline(time.Time) error { return nil }

func (c *limitedWriteConn) Write(b []byte) (int, error) {
	n := min(c.remaining, len(b))
	c.remaining -= n
	if n < len(b) {
		return n, errWrite
	}
	return n, nil
}

// Guards against a not-run verdict for a request of which some bytes were
// written, and against a may-have-run verdict for one of which none were.
func TestVerdictByBytesWritten(t *testing.T) {
	for limit, want := range map[int]core.Verdict{0: core.NotRun, 1: core.MayHaveRun, 40: core.MayHaveRun} {
		c := transport.NewConn(&limitedWriteConn{remaining: limit}, time.Second)
		req := protocol.NewRequest("POST", "http://server/v1/ops/book", nil)
		err := c.Send(context.Background(), req)
		if !errors.Is(err, errWrite) {
			t.Fatalf("limit of %d bytes: send returned %v", limit, err)
		}
		if got := backend.ConnectionError(context.Background(), c.BytesWritten, err).Verdict; got != want {
			t.Errorf("limit of %d bytes: verdict %v, want %v", limit, got, want)
		}
	}
}
