package duty

import (
	"context"
	"fmt"
	"time"

	"github.com/panjf2000/ants/v2"
)

// Runner starts duties and library servers on one goroutine pool and stops them
// in reverse order.
type Runner struct {
	pool  *ants.Pool
	loops []*Loop
	stops []func(context.Context)
}

// NewRunner returns a runner for at most capacity duties and servers.
func NewRunner(capacity int) (*Runner, error) {
	pool, err := ants.NewPool(capacity, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("create duty pool: %w", err)
	}
	return &Runner{pool: pool}, nil
}

// Start runs the loop on its own goroutine. It returns an error when the runner is
// full.
func (r *Runner) Start(l *Loop) error {
	if err := r.pool.Submit(l.Run); err != nil {
		return fmt.Errorf("start duty %s: %w", l.Name(), err)
	}
	r.loops = append(r.loops, l)
	r.stops = append(r.stops, func(ctx context.Context) {
		l.Stop()
		l.Wait(ctx)
	})
	return nil
}

// Serve runs a library's server on its own goroutine. serve must return once
// shutdown is called.
func (r *Runner) Serve(name string, serve func() error, shutdown func(context.Context) error) error {
	if err := r.pool.Submit(func() { _ = serve() }); err != nil {
		return fmt.Errorf("start server %s: %w", name, err)
	}
	r.stops = append(r.stops, func(ctx context.Context) { _ = shutdown(ctx) })
	return nil
}

// Stop stops duties and servers, the last started first, and waits for each
// until ctx ends.
func (r *Runner) Stop(ctx context.Context) {
	for i := len(r.stops) - 1; i >= 0; i-- {
		r.stops[i](ctx)
	}
	r.stops = nil
	r.pool.Release()
}

// Loops returns the duties in the order of their start.
func (r *Runner) Loops() []*Loop { return r.loops }

// Pool runs blocking calls on a bounded number of goroutines.
type Pool struct {
	name string
	pool *ants.Pool
}

// NewPool returns a pool of at most size goroutines.
func NewPool(name string, size int) (*Pool, error) {
	pool, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("create pool %s: %w", name, err)
	}
	return &Pool{name: name, pool: pool}, nil
}

// TryGo runs f on a pool goroutine and reports whether one was free. It never blocks.
func (p *Pool) TryGo(f func()) bool { return p.pool.Submit(f) == nil }

// Running returns the number of calls in progress.
func (p *Pool) Running() int { return p.pool.Running() }

// Release closes the pool; calls in progress finish.
func (p *Pool) Release() { p.pool.Release() }

// ReleaseWait closes the pool and blocks until the calls in progress finish, at
// most for limit.
func (p *Pool) ReleaseWait(limit time.Duration) { _ = p.pool.ReleaseTimeout(limit) }
