package duty

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/ring"
)

// Query is a request of a handler or pool goroutine to a duty of the same
// process. The duty sends the single reply at once or later and never blocks on it.
type Query[P, R any] struct {
	Context context.Context
	Params  P
	reply   *ring.Ring[R]
}

// Reply sends the reply. Only the first call has an effect. It never blocks.
func (q Query[P, R]) Reply(v R) { q.reply.TryPut(v) }

// QueryRing is a bounded ring of queries to one duty.
type QueryRing[P, R any] struct {
	ring *ring.Ring[Query[P, R]]
}

// NewQueryRing returns a ring that holds at most capacity queries.
func NewQueryRing[P, R any](name string, capacity int) *QueryRing[P, R] {
	return &QueryRing[P, R]{ring: ring.New[Query[P, R]](name, capacity)}
}

// Stats returns the ring's counters. Any goroutine may call it.
func (r *QueryRing[P, R]) Stats() ring.Stats { return r.ring.Stats() }

// OnQuery registers handle for the queries of r. The loop calls it on its goroutine.
func OnQuery[P, R any](l *Loop, r *QueryRing[P, R], handle func(Query[P, R])) {
	On(l, r.ring, handle)
}

// Send puts a query in the ring and returns the ring that its single reply arrives
// in. A full ring is an error with verdict NotRun. It never blocks.
func (r *QueryRing[P, R]) Send(ctx context.Context, params P) (*ring.Ring[R], error) {
	query := Query[P, R]{Context: ctx, Params: params, reply: ring.New[R]("reply", 1)}
	if !r.ring.TryPut(query) {
		return nil, core.NotRunError(core.CodeOverloaded, "ring %s is full", r.ring.Name())
	}
	return query.reply, nil
}

// Do sends a query and blocks until its reply arrives or ctx ends. Duties must not
// call it. A full ring is an error with verdict NotRun; when ctx ends first, the
// verdict is MayHaveRun, since the duty may have handled the query.
func (r *QueryRing[P, R]) Do(ctx context.Context, params P) (R, error) {
	replies, err := r.Send(ctx, params)
	if err != nil {
		var zero R
		return zero, err
	}
	reply, ok := replies.Take(ctx)
	if !ok {
		return reply, &core.Error{Code: core.CodeDeadline, Verdict: core.MayHaveRun, Reason: "no reply before the deadline", Err: ctx.Err()}
	}
	return reply, nil
}
