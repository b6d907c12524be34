package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// seed is fixed so that every run makes the same random choices.
const seed = 11

// dispatchHarness runs a dispatch duty on a manual clock. Attempts wait in
// pending until the test runs them, so that nothing depends on scheduling.
type dispatchHarness struct {
	t        *testing.T
	clock    *duty.ManualClock
	dispatch *Dispatcher
	exchange func(Attempt) AttemptEnd
	pending  []func()
	attempts []Attempt // in the order of execution
	cancels  []Attempt
	servers  []Server
	nextID   int

	sentSuspects []SuspectReport
}

func newDispatchHarness(t *testing.T, servers int, exchange func(Attempt) AttemptEnd) *dispatchHarness {
	t.Helper()
	t.Logf("seed %d", seed)
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	pool, err := duty.NewPool("unused", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	b := &dispatchHarness{t: t, clock: clock, exchange: exchange}
	b.dispatch = NewDispatcher(clock, rand.New(rand.NewPCG(seed, seed)), b, pool, func(r SuspectReport) { b.sentSuspects = append(b.sentSuspects, r) })
	b.dispatch.tryGo = func(f func()) bool {
		b.pending = append(b.pending, f)
		return true
	}
	for i := range servers {
		b.servers = append(b.servers, Server{ID: core.ServerID(fmt.Sprint("s", i)), Description: Description{
			Service: "desk", Incarnation: "0", Operations: []string{"look", "book"}, Slots: 4,
		}})
	}
	b.publish()
	return b
}

func (b *dispatchHarness) Exchange(a Attempt) AttemptEnd {
	b.attempts = append(b.attempts, a)
	end := b.exchange(a)
	if end.Attempt.Call == nil {
		end.Attempt = a
	}
	return end
}

func (b *dispatchHarness) Cancel(a Attempt) { b.cancels = append(b.cancels, a) }

func (b *dispatchHarness) publish() {
	b.dispatch.SetServers(append([]Server{}, b.servers...))
	b.dispatch.loop.RunPending()
}

func (b *dispatchHarness) submit(ctx context.Context, fingerprint uint64, repeatable bool) *core.Call {
	b.nextID++
	c := core.NewCall(ctx, &core.Request{
		ID: core.RequestID(fmt.Sprint("r", b.nextID)), Service: "desk", Operation: "look",
		Fingerprint: fingerprint, Repeatable: repeatable,
	})
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	return c
}

// runPending runs the pending attempts, including those that they cause.
func (b *dispatchHarness) runPending() {
	for len(b.pending) > 0 {
		f := b.pending[0]
		b.pending = b.pending[1:]
		f()
		b.dispatch.loop.RunPending()
	}
}

// advance moves the clock in small steps and runs what becomes due.
func (b *dispatchHarness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		b.clock.Advance(min(step, d))
		b.dispatch.loop.RunPending()
		b.runPending()
	}
}

// endOf returns the end of the call, or nil while it is in progress.
func endOf(c *core.Call) *core.End {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, e, _ := c.Answer.Next(ctx)
	return e
}

func completed(Attempt) AttemptEnd {
	return AttemptEnd{Verdict: core.Ran, End: core.End{Verdict: core.Ran}}
}

func broken(Attempt) AttemptEnd {
	return AttemptEnd{Verdict: core.MayHaveRun, Err: core.MayHaveRunError(core.CodeBackendFailure, "broken")}
}

func refused(Attempt) AttemptEnd {
	return AttemptEnd{Verdict: core.NotRun, Err: core.NotRunError(core.CodeOverloaded, "refused")}
}
