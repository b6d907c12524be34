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
		c := transport.NewConn(&limitedConn{room: room}, time.Second)
		req := protocol.NewRequest("POST", "http://server/v1/ops/book", nil)
		err := c.Send(req)
		if !errors.Is(err, errWrite) {
			t.Fatalf("room for %d bytes: send returned %v", room, err)
		}
		if got := backend.ConnectionError(context.Background(), c.Written, err).Verdict; got != want {
			t.Errorf("room for %d bytes: verdict %v, want %v", room, got, want)
		}
	}
}
