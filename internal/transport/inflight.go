package transport

import (
	"context"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/berylfall/berylfall/internal/ring"
)

// countedKey marks a request that requestCounter has counted.
const countedKey = "berylfall.in-flight"

// requestCounter counts requests from the call of their handler until the last
// byte of the response has been written. The HTTP library's own shutdown also
// counts idle connections and does not wait for responses on persistent ones.
type requestCounter struct {
	active   atomic.Int64
	draining atomic.Bool
	idle     *ring.Ring[struct{}]
}

func newRequestCounter() *requestCounter {
	return &requestCounter{idle: ring.New[struct{}]("http.idle", 1)}
}

// handle counts the request and, while the server drains, sets "Connection:
// close" on the response.
func (r *requestCounter) handle(ctx context.Context, c *app.RequestContext) {
	r.active.Add(1)
	c.Set(countedKey, true)
	if r.draining.Load() {
		c.Response.SetConnectionClose()
	}
	c.Next(ctx)
}

// Start implements the HTTP library's tracer and does nothing.
func (r *requestCounter) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// Finish implements the HTTP library's tracer. The library calls it after the
// response has been written, and again when the connection closes.
func (r *requestCounter) Finish(_ context.Context, c *app.RequestContext) {
	if !c.GetBool(countedKey) {
		return
	}
	c.Set(countedKey, false)
	if r.active.Add(-1) == 0 {
		r.idle.TryPut(struct{}{})
	}
}

// waitIdle blocks until no request is in flight or ctx ends, and reports whether
// none is.
func (r *requestCounter) waitIdle(ctx context.Context) bool {
	for r.active.Load() > 0 {
		if _, ok := r.idle.Take(ctx); !ok {
			return r.active.Load() == 0
		}
	}
	return true
}
