package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against programs that fill the queue of the one server that still takes
// requests, so that it refuses users, when the others are limited or down.
func TestBackgroundRequestsWaitForRoom(t *testing.T) {
	const calls = 20
	b := newDispatchHarness(t, 1, completed)
	slots := b.servers[0].Description.Slots
	submit := func(i int, class core.Class) *core.Call {
		c := core.NewCall(context.Background(), &core.Request{
			ID: core.RequestID(fmt.Sprint(class, i)), Service: "desk", Operation: "look", Class: class, Repeatable: true, Fingerprint: uint64(i),
		})
		b.dispatch.Submit(c)
		b.dispatch.loop.RunPending()
		return c
	}
	var background []*core.Call
	for i := range calls {
		background = append(background, submit(i, core.ClassBackground))
	}
	if len(b.pending) != slots {
		t.Fatalf("%d background requests were sent to a server with %d slots", len(b.pending), slots)
	}
	submit(0, core.ClassInteractive)
	if len(b.pending) != slots+1 {
		t.Errorf("a user's request waits behind background requests")
	}
	b.runPending()
	b.advance(time.Second)
	for i, c := range background {
		if e := endOf(c); e == nil || e.Verdict != core.Ran {
			t.Errorf("background request %d ended with %+v, want an answer", i, e)
		}
	}
}

// Guards against a user's request that is held until its time is over, though it is known
// that the rate limits of the servers leave no room for it.
func TestUserIsRefusedWhenRateLimitsLeaveNoRoom(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	b.dispatch.handleRateLimit(rateLimitReport{server: "s0", limit: RateLimit{Declared: true, PerSecond: 1}, observedAt: b.clock.Now()})
	const calls, timeout = 60, 8 * time.Second
	refusedAt := map[*core.Call]time.Duration{}
	var submitted []*core.Call
	for i := range calls {
		r := lookup(uint64(i))
		r.Class, r.Deadline = core.ClassInteractive, b.clock.Now().Add(timeout)
		c := core.NewCall(context.Background(), r)
		begin := b.clock.Now()
		c.OnEnd = func(c *core.Call, e core.End) {
			if e.Err != nil {
				refusedAt[c] = b.clock.Now().Sub(begin)
			}
		}
		b.dispatch.Submit(c)
		b.dispatch.loop.RunPending()
		submitted = append(submitted, c)
		b.advance(200 * time.Millisecond)
	}
	b.advance(timeout)
	served, atOnce := 0, 0
	for _, c := range submitted {
		e := endOf(c)
		switch {
		case e == nil:
			t.Fatal("a request has no answer")
		case e.Err == nil:
			served++
		case e.Err.Verdict != core.NotRun || e.Err.RetryAfter <= 0:
			t.Errorf("refusal %+v, want a proof that it did not run and a time to come back", e.Err)
		case refusedAt[c] > timeout/maxLimitWaitDivisor+2*routingPeriod:
			t.Errorf("a request was refused after %v of its %v", refusedAt[c], timeout)
		case refusedAt[c] < routingPeriod:
			atOnce++
		}
	}
	if served < 10 || atOnce < 20 {
		t.Errorf("of %d requests %d were served and %d refused at once", calls, served, atOnce)
	}
}
