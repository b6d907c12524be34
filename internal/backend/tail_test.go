package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// hedged submits a call after the p95 is known, lets it become overdue, and
// returns the attempts that were started for it.
func hedged(t *testing.T, change func(*bench, *core.Call)) (b *bench, started int) {
	t.Helper()
	b = newBench(t, 3, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		e := answered(a)
		e.Duration = 10 * time.Millisecond
		return e
	}
	call := func(i int) *core.Call {
		r := lookup(uint64(i))
		r.HedgeShare = 1
		return core.NewCall(context.Background(), r)
	}
	for i := range 500 {
		b.dispatch.Submit(call(i))
		b.dispatch.loop.RunPending()
		b.run()
	}
	c := call(1000)
	change(b, c)
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	b.clock.Advance(50 * time.Millisecond)
	b.dispatch.loop.RunPending()
	return b, len(b.pending)
}

// Guards against a hedge that runs work twice which must not be, that goes to
// the same server, whose loser goes on, or that adds to an overload.
func TestHedging(t *testing.T) {
	b, started := hedged(t, func(*bench, *core.Call) {})
	if started != 2 {
		t.Fatalf("%d attempts, want a hedge", started)
	}
	b.pending[1]()
	b.dispatch.loop.RunPending()
	b.pending[0]()
	first, second := b.attempts[len(b.attempts)-1], b.attempts[len(b.attempts)-2]
	if first.Server == second.Server || first.Context.Err() == nil {
		t.Errorf("servers %s and %s, loser stopped: %v", first.Server, second.Server, first.Context.Err() != nil)
	}
	for range 100 {
		if c := b.dispatch.router.pickOther(lookup(1), &attempted{servers: map[core.ServerID]bool{"s0": true, "s1": true}}); c == nil || c.Server.ID != "s2" {
			t.Fatalf("a hedge after attempts at s0 and s1 went to %+v, want s2", c)
		}
	}
	refusals := map[string]func(*bench, *core.Call){
		"not repeatable": func(_ *bench, c *core.Call) { c.Request.Repeatable = false },
		"no budget":      func(b *bench, _ *core.Call) { clear(b.dispatch.hedges.tokens) },
		"first token arrived": func(_ *bench, c *core.Call) {
			c.Answer.Append(c.Context, core.Chunk{Attempt: 1, Tokens: []int32{1}})
		},
		"no free slot elsewhere": func(b *bench, _ *core.Call) {
			for _, c := range b.dispatch.order {
				c.Outstanding = c.Server.Description.Slots
			}
		},
		"overload": func(b *bench, _ *core.Call) {
			b.dispatch.UpdatePeerWork([]PeerWork{{Server: "s0", Outstanding: 3}, {Server: "s1", Outstanding: 3}, {Server: "s2", Outstanding: 3}})
			b.dispatch.loop.RunPending()
			b.dispatch.routingTick()
		},
	}
	for name, change := range refusals {
		if _, started := hedged(t, change); started != 1 {
			t.Errorf("%s: %d attempts, want 1", name, started)
		}
	}
}

// Guards against a budget that is spent on attempts that are barely overdue, so
// that nothing is left when a server slows down.
func TestHedgeReserve(t *testing.T) {
	b, started := hedged(t, func(b *bench, _ *core.Call) { b.dispatch.hedges.tokens[""] = 1 })
	if started != 1 {
		t.Errorf("%d attempts after the p95 with only the reserve left, want 1", started)
	}
	b.clock.Advance(50 * time.Millisecond)
	b.dispatch.loop.RunPending()
	if len(b.pending) != 2 {
		t.Errorf("%d attempts after twice the p95, want a hedge from the reserve", len(b.pending))
	}
}

// Guards against a slow server that stays hidden because its attempts lose
// against hedges and never end with an answer.
func TestStoppedAttemptCounts(t *testing.T) {
	b, _ := hedged(t, func(*bench, *core.Call) {})
	c := b.dispatch.order[0]
	stopped := func(d time.Duration) float64 {
		b.dispatch.router.started(c)
		e := AttemptEnd{
			Attempt: Attempt{Number: 1, Call: core.NewCall(context.Background(), lookup(2000))}, Duration: d,
			Err: core.MayHaveRunError(core.CodeCancelled, "stopped"),
		}
		b.dispatch.router.ended(c, &e, true)
		return c.speed.factor
	}
	before := c.speed.factor
	if factor := stopped(time.Millisecond); factor != before {
		t.Errorf("factor %.2f after a short stopped attempt, want %.2f as before", factor, before)
	}
	if factor := stopped(100 * time.Millisecond); factor < 2*before {
		t.Errorf("factor %.2f after an attempt stopped at ten times the mean, want above %.2f", factor, 2*before)
	}
}

// Guards against more work for a server whose work in progress is overdue, or
// was several times in a row, before the evidence for an ejection is complete.
func TestOverdueServerIsLeftOut(t *testing.T) {
	b, _ := hedged(t, func(_ *bench, c *core.Call) { c.Request.Repeatable = false })
	var slow *Candidate
	for _, c := range b.dispatch.order {
		if c.Outstanding == 1 {
			slow = c
		} else {
			c.Outstanding = 2 // so that the server is the best by its load
		}
	}
	picks := func() (n int) {
		for i := range 100 {
			if c, _ := b.dispatch.router.pick(lookup(uint64(i)), nil); c == slow {
				n++
			}
		}
		return n
	}
	if n := picks(); n != 0 {
		t.Errorf("%d of 100 requests went to the server with overdue work", n)
	}
	b.run()
	if n := picks(); n == 0 {
		t.Error("the server got no work after its overdue work had ended")
	}
	for range 2 {
		slow.use.countOverdue(b.clock.Now(), 10*time.Millisecond)
	}
	if n := picks(); n != 0 {
		t.Errorf("%d of 100 requests went to the server after two overdue attempts in a row", n)
	}
	b.advance(maxHold)
	if n := picks(); n == 0 {
		t.Error("the server got no work after the hold")
	}
}

// Guards against hedges beyond their budget while every server slows down
// again and again.
func TestHedgeBudgetInStorm(t *testing.T) {
	o := prairie()
	o.hedgeShare, o.duration, o.warmUp, o.utilisation = 0.5, 20*time.Second, 0, 0.1
	o.slowdown = func(s *sim, _ int) float64 {
		if s.random.IntN(3) == 0 {
			return 10
		}
		return 1
	}
	s := newSim(t, o)
	s.run()
	t.Logf("%.2f%% extra attempts", 100*s.extra())
	if s.extra() > maxHedgeShare || s.extra() == 0 {
		t.Errorf("%.2f%% extra attempts, want some and at most 5%%", 100*s.extra())
	}
}

// Guards against a tail that follows the slowed servers: the stated aims are a
// p99 of at most 1.5 times the p99 with none slowed, and 5% extra work.
func TestTailWithSlowedServers(t *testing.T) {
	p99 := func(slowdown func(*sim, int) float64) float64 {
		o := prairie()
		o.hedgeShare, o.duration, o.slowdown = maxHedgeShare, 20*time.Second, slowdown
		s := newSim(t, o)
		s.run()
		if s.extra() > maxHedgeShare || s.failed > 0 {
			t.Errorf("%.2f%% extra work, %d calls failed", 100*s.extra(), s.failed)
		}
		return s.percentile(99)
	}
	none, some := p99(nil), p99(slowed)
	t.Logf("p99 %.1f ms with none slowed, %.1f ms with 2 of 10", none, some)
	if some > 1.5*none {
		t.Errorf("p99 %.1f ms with 2 of 10 servers slowed, %.1f ms with none; want at most 1.5 times", some, none)
	}
	if moving := p99(movingMoments); moving > 1.5*none {
		t.Errorf("p99 %.1f ms with moments of slowness, %.1f ms with none; want at most 1.5 times", moving, none)
	}
}
