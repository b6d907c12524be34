package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// startHedgedCall submits a call after the p95 is known, lets it become
// overdue, and returns the number of attempts that were started for it.
func startHedgedCall(t *testing.T, change func(*dispatchHarness, *core.Call)) (b *dispatchHarness, started int) {
	t.Helper()
	b = newDispatchHarness(t, 3, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		e := completed(a)
		e.Duration = 10 * time.Millisecond
		return e
	}
	newCall := func(i int) *core.Call {
		r := lookup(uint64(i))
		r.HedgeShare = 1
		return core.NewCall(context.Background(), r)
	}
	for i := range 500 {
		b.dispatch.Submit(newCall(i))
		b.dispatch.loop.RunPending()
		b.runPending()
	}
	c := newCall(1000)
	change(b, c)
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	b.clock.Advance(50 * time.Millisecond)
	b.dispatch.loop.RunPending()
	return b, len(b.pending)
}

// Guards against a hedge of a call that must not be repeated, a hedge on the
// same server, a losing attempt that is not cancelled, and hedges that
// aggravate an overload.
func TestHedging(t *testing.T) {
	b, started := startHedgedCall(t, func(*dispatchHarness, *core.Call) {})
	if started != 2 {
		t.Fatalf("%d attempts, want a hedge", started)
	}
	b.pending[1]()
	b.dispatch.loop.RunPending()
	b.pending[0]()
	first, second := b.attempts[len(b.attempts)-1], b.attempts[len(b.attempts)-2]
	if first.Server == second.Server || first.Context.Err() == nil {
		t.Errorf("servers %s and %s, losing attempt cancelled: %v", first.Server, second.Server, first.Context.Err() != nil)
	}
	for range 100 {
		if c := b.dispatch.router.pickHedgeServer(lookup(1), core.Progress{}, &attemptedServers{servers: map[core.ServerID]bool{"s0": true, "s1": true}}); c == nil || c.Server.ID != "s2" {
			t.Fatalf("a hedge after attempts on s0 and s1 went to %+v, want s2", c)
		}
	}
	refusals := map[string]func(*dispatchHarness, *core.Call){
		"not repeatable": func(_ *dispatchHarness, c *core.Call) { c.Request.Repeatable = false },
		"no budget":      func(b *dispatchHarness, _ *core.Call) { clear(b.dispatch.hedgeBudget.tokens) },
		"first token arrived": func(_ *dispatchHarness, c *core.Call) {
			c.Answer.Append(c.Context, core.Chunk{Attempt: 1, Tokens: []int32{1}})
		},
		"no free slot elsewhere": func(b *dispatchHarness, _ *core.Call) {
			for _, c := range b.dispatch.listed {
				c.Outstanding = c.Server.Description.Slots
			}
		},
		"overload": func(b *dispatchHarness, _ *core.Call) {
			b.dispatch.UpdatePeerWork([]PeerWork{{Server: "s0", Outstanding: 3}, {Server: "s1", Outstanding: 3}, {Server: "s2", Outstanding: 3}})
			b.dispatch.loop.RunPending()
			b.dispatch.routingTick()
		},
	}
	for name, change := range refusals {
		if _, started := startHedgedCall(t, change); started != 1 {
			t.Errorf("%s: %d attempts, want 1", name, started)
		}
	}
}

// Guards against spending the whole budget on attempts that are only just
// overdue, which leaves nothing when a server slows down.
func TestHedgeReserve(t *testing.T) {
	b, started := startHedgedCall(t, func(b *dispatchHarness, _ *core.Call) { b.dispatch.hedgeBudget.tokens[""] = 1 })
	if started != 1 {
		t.Errorf("%d attempts after the p95 with only the reserve left, want 1", started)
	}
	b.clock.Advance(50 * time.Millisecond)
	b.dispatch.loop.RunPending()
	if len(b.pending) != 2 {
		t.Errorf("%d attempts after twice the p95, want a hedge from the reserve", len(b.pending))
	}
}

// Guards against a slow server that is not detected because its attempts are
// cancelled when a hedge answers first, and so never end with an answer.
func TestCancelledAttemptUpdatesServiceTime(t *testing.T) {
	b, _ := startHedgedCall(t, func(*dispatchHarness, *core.Call) {})
	c := b.dispatch.listed[0]
	recordCancelled := func(d time.Duration) float64 {
		b.dispatch.router.recordStart(c)
		e := AttemptEnd{
			Attempt: Attempt{Number: 1, Call: core.NewCall(context.Background(), lookup(2000))}, Duration: d,
			Err: core.MayHaveRunError(core.CodeCancelled, "stopped"),
		}
		b.dispatch.router.recordEnd(c, &e, true)
		return c.relativeTime.factor
	}
	before := c.relativeTime.factor
	if factor := recordCancelled(time.Millisecond); factor != before {
		t.Errorf("factor %.2f after a short cancelled attempt, want %.2f as before", factor, before)
	}
	if factor := recordCancelled(100 * time.Millisecond); factor < 2*before {
		t.Errorf("factor %.2f after an attempt cancelled at ten times the mean, want above %.2f", factor, 2*before)
	}
}

// Guards against new requests to a server whose attempt in progress is overdue,
// or was several times in a row, before there is enough evidence for an
// ejection.
func TestOverdueServerIsExcluded(t *testing.T) {
	b, _ := startHedgedCall(t, func(_ *dispatchHarness, c *core.Call) { c.Request.Repeatable = false })
	var slow *Candidate
	for _, c := range b.dispatch.listed {
		if c.Outstanding == 1 {
			slow = c
		} else {
			c.Outstanding = 2 // so that the server has the best score
		}
	}
	countPicks := func() (n int) {
		for i := range 100 {
			if c, _ := b.dispatch.router.pick(lookup(uint64(i)), core.Progress{}, nil); c == slow {
				n++
			}
		}
		return n
	}
	if n := countPicks(); n != 0 {
		t.Errorf("%d of 100 requests went to the server with an overdue attempt", n)
	}
	b.runPending()
	if n := countPicks(); n == 0 {
		t.Error("the server got no requests after its overdue attempt had ended")
	}
	for range 2 {
		slow.ejection.recordOverdue(b.clock.Now(), 10*time.Millisecond)
	}
	if n := countPicks(); n != 0 {
		t.Errorf("%d of 100 requests went to the server after two consecutive overdue attempts", n)
	}
	b.advance(maxOverdueBackoff)
	if n := countPicks(); n == 0 {
		t.Error("the server got no requests after the backoff")
	}
}

// Guards against exceeding the hedge budget when every server slows down again
// and again.
func TestHedgeBudgetUnderFleetSlowdown(t *testing.T) {
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
	t.Logf("%.2f%% extra attempts", 100*s.extraShare())
	if s.extraShare() > maxHedgeShare || s.extraShare() == 0 {
		t.Errorf("%.2f%% extra attempts, want some and at most 5%%", 100*s.extraShare())
	}
}

// Guards against a tail latency that follows the slow servers. The targets are
// a p99 of at most 1.5 times the p99 without slow servers, and at most 5% extra
// attempts.
func TestTailWithSlowedServers(t *testing.T) {
	p99 := func(slowdown func(*sim, int) float64) float64 {
		o := prairie()
		o.hedgeShare, o.duration, o.slowdown = maxHedgeShare, 20*time.Second, slowdown
		s := newSim(t, o)
		s.run()
		if s.extraShare() > maxHedgeShare || s.failed > 0 {
			t.Errorf("%.2f%% extra work, %d calls failed", 100*s.extraShare(), s.failed)
		}
		return s.percentile(99)
	}
	none, some := p99(nil), p99(slowFifth)
	t.Logf("p99 %.1f ms with none slowed, %.1f ms with 2 of 10", none, some)
	if some > 1.5*none {
		t.Errorf("p99 %.1f ms with 2 of 10 servers slowed, %.1f ms with none; want at most 1.5 times", some, none)
	}
	if moving := p99(movingSlowFifth); moving > 1.5*none {
		t.Errorf("p99 %.1f ms with a moving fifth slowed, %.1f ms with none; want at most 1.5 times", moving, none)
	}
}
