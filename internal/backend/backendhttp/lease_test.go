package backendhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

// Guards against a request that is written after its lease was revoked: the attempt was
// started before.
func TestRequestIsNotWrittenAfterItsLease(t *testing.T) {
	var received atomic.Int64
	address := transporttest.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			received.Add(1)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := plainAttempt(ctx, address, nil, true)
	a.Call.Request.Lease = core.NewLease(time.Minute, time.Now)
	a.Call.Request.Lease.Revoke()
	end := newClientWithIdleTimeout(t, backendhttp.DefaultReadIdleTimeout).Exchange(a)
	if end.Verdict != core.NotRun || end.Err == nil || end.Err.Code != core.CodeLeaseExpired || received.Load() != 0 {
		t.Errorf("attempt ended with %+v, %d requests arrived", end, received.Load())
	}
}
