package duty

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/ring"
)

// Ask is a question that a handler or worker puts to a duty, with the place
// for the answer. The duty answers at once or later; it never waits to answer.
type Ask[Q, A any] struct {
	Context context.Context
	Query   Q
	reply   *ring.Ring[A]
}

// Reply answers the question. Only the first answer counts.
func (a Ask[Q, A]) Reply(v A) { a.reply.TryPut(v) }

// AskRing is a ring of questions to one duty.
type AskRing[Q, A any] struct {
	ring *ring.Ring[Ask[Q, A]]
}

// NewAskRing returns a ring for at most capacity waiting questions.
func NewAskRing[Q, A any](name string, capacity int) *AskRing[Q, A] {
	return &AskRing[Q, A]{ring: ring.New[Ask[Q, A]](name, capacity)}
}

// Stats returns the counters of the ring.
func (r *AskRing[Q, A]) Stats() ring.Stats { return r.ring.Stats() }

// OnAsk makes handle the reader of the questions within the loop's goroutine.
func OnAsk[Q, A any](l *Loop, r *AskRing[Q, A], handle func(Ask[Q, A])) {
	On(l, r.ring, handle)
}

// Ask puts the question and waits for the answer until ctx ends. Duties must
// not call it. A full ring is an error with verdict NotRun; an end of ctx
// leaves open whether the duty handled the question.
func (r *AskRing[Q, A]) Ask(ctx context.Context, q Q) (A, error) {
	ask := Ask[Q, A]{Context: ctx, Query: q, reply: ring.New[A]("reply", 1)}
	if !r.ring.TryPut(ask) {
		var zero A
		return zero, core.NotRunError(core.CodeOverloaded, "ring %s is full", r.ring.Name())
	}
	answer, ok := ask.reply.Take(ctx)
	if !ok {
		return answer, &core.Error{Code: core.CodeDeadline, Verdict: core.MayHaveRun, Reason: "no answer in time", Err: ctx.Err()}
	}
	return answer, nil
}
