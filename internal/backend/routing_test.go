package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against work on a server that cannot do it, and against a refusal
// that names the wrong reason.
func TestCapabilities(t *testing.T) {
	able := Description{
		Service: "wear", Kind: "gpu", Role: RoleServe, ContextTokens: 1000, Incarnation: "1",
		Models: []ModelDescription{{Name: "wear", Version: 5, Adapters: []string{"a"}}},
	}
	request := core.Request{Service: "wear", Model: "wear", Adapter: "a", MinVersion: 4, MaxTokens: 900, Prompt: string(make([]byte, 300)), BackendKinds: []string{"tpu", "gpu"}}
	cases := []struct {
		reason string
		change func(*core.Request, *Server)
	}{
		{"", func(*core.Request, *Server) {}},
		{"service", func(r *core.Request, _ *Server) { r.Service = "desk" }},
		{"permitted kind", func(r *core.Request, _ *Server) { r.BackendKinds = []string{"cpu"} }},
		{"model", func(r *core.Request, _ *Server) { r.Model = "other" }},
		{"adapter", func(r *core.Request, _ *Server) { r.Adapter = "b" }},
		{"known weight version", func(r *core.Request, s *Server) { s.Description.Models[0].Version, r.MinVersion = 0, 0 }},
		{"weight version", func(r *core.Request, _ *Server) { r.MinVersion = 6 }},
		{"role", func(_ *core.Request, s *Server) { s.Description.Role = RolePrefill }},
		{"context length", func(r *core.Request, _ *Server) { r.Prompt += "!" }},
		{"operation", func(r *core.Request, _ *Server) { r.Model, r.Adapter, r.Operation = "", "", "look" }},
		{"server that is not leaving", func(_ *core.Request, s *Server) { s.Leaving = true }},
	}
	b := newBench(t, 0, answered)
	for _, c := range cases {
		r, s := request, Server{ID: "s", Description: able}
		s.Description.Models = []ModelDescription{able.Models[0]}
		c.change(&r, &s)
		b.servers = []Server{s}
		b.publish()
		for range 2 { // the second decision uses the class of the first
			if chosen, missing := b.dispatch.router.pick(&r, nil); missing != c.reason || (chosen == nil) != (c.reason != "") {
				t.Errorf("missing %q, want %q", missing, c.reason)
			}
		}
	}
	call := b.submit(context.Background(), 1, true)
	if e := end(call); e == nil || e.Err.Code != core.CodeNoCapability || e.Verdict != core.NotRun {
		t.Errorf("end %+v, want an immediate refusal with not-run", e)
	}
}

// Guards against a daemon that sends work to another data centre without need,
// or that stops when only its own or only another one is left.
func TestDataCentres(t *testing.T) {
	b := newBench(t, 6, answered)
	b.dispatch.SetDataCentre("regina")
	for i := range b.servers {
		b.servers[i].DataCentre = []string{"regina", "brandon"}[i/3]
	}
	remote := func() (percent int) {
		b.publish()
		b.advance(slowStart + time.Second)
		for range 100 {
			if c, _ := b.dispatch.router.pick(lookup(1), nil); c.Server.DataCentre == "brandon" {
				percent++
			}
		}
		return percent
	}
	mark := func(from, to int, unreachable bool) {
		for i := from; i < to; i++ {
			b.servers[i].Unreachable = unreachable
		}
	}
	if share := remote(); share != 0 {
		t.Errorf("%d%% of the work went elsewhere with idle servers here", share)
	}
	mark(3, 6, true)
	if share := remote(); share != 0 {
		t.Errorf("%d%% of the work went to servers that are cut off", share)
	}
	mark(3, 6, false)
	mark(0, 3, true)
	if share := remote(); share != 100 {
		t.Errorf("%d%% of the work went elsewhere with none reachable here, want all", share)
	}
	mark(0, 3, false)
	b.publish()
	for _, c := range b.dispatch.order[:3] {
		c.Outstanding = 40
	}
	if share := remote(); share != 100 {
		t.Errorf("%d%% of the work went elsewhere with ten times the slots in use here, want all", share)
	}
}

func lookup(fingerprint uint64) *core.Request {
	return &core.Request{ID: core.RequestID(fmt.Sprint(fingerprint)), Service: "desk", Operation: "look", Fingerprint: fingerprint, Repeatable: true}
}

// Guards against daemons that start together, see the same report, and send
// all their work to the one server that looked idle. Two draws out of n give a
// server at most 2/n of the decisions.
func TestHerd(t *testing.T) {
	const daemons, servers, picks = 9, 10, 1000
	counts := map[core.ServerID]int{}
	for range daemons {
		b := newBench(t, servers, answered)
		for i := range b.servers {
			b.servers[i].Load = Load{At: b.clock.Now(), Running: min(i, 1) * 20}
		}
		b.publish()
		for i := range picks {
			c, _ := b.dispatch.router.pick(lookup(uint64(i)), nil)
			counts[c.Server.ID]++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	share := float64(most) * servers / (daemons * picks)
	t.Logf("busiest server against the mean: %.2f", share)
	if share > 2 {
		t.Errorf("the busiest server got %.2f times the mean, want at most 2", share)
	}
	o := prairie()
	o.reportLag, o.duration, o.slowdown = time.Second, 4*time.Second, nil
	s := newSim(t, o)
	s.run()
	t.Logf("the same over 2 s of work with reports of 1 s lag: %.2f", s.busiest())
	if s.busiest() > 2 {
		t.Errorf("the busiest server got %.2f times the mean, want at most 2", s.busiest())
	}
}

// Guards against a report that counts this daemon's own work twice, against a
// wrong clock of a server that changes the estimate, and against an old report
// that keeps its weight.
func TestReports(t *testing.T) {
	b := newBench(t, 5, answered)
	skews := []time.Duration{0, 0, 0, time.Hour, -time.Hour}
	report := func(running int) {
		for i := range b.servers {
			b.servers[i].Load = Load{At: b.clock.Now().Add(skews[i] - 400*time.Millisecond), Running: running + i, Arrived: b.clock.Now()}
		}
		b.publish()
	}
	for range 10 { // until the lag is known
		report(0)
		b.clock.Advance(500 * time.Millisecond)
		b.dispatch.loop.Step()
	}
	for _, c := range b.dispatch.order {
		for range 3 {
			b.dispatch.router.started(c)
		}
	}
	b.clock.Advance(200 * time.Millisecond) // less than the lag: the report is older than the work
	report(2)
	for i, c := range b.dispatch.order {
		if want := float64(2 + i); c.load.others != want || c.Outstanding != 3 {
			t.Errorf("server %d: others %.1f, own %d; want %.1f and 3", i, c.load.others, c.Outstanding, want)
		}
	}
	b.clock.Advance(time.Second) // more than the lag: the report includes the work
	report(5)
	for i, c := range b.dispatch.order {
		if want := float64(2 + i); c.load.others != want {
			t.Errorf("server %d: others %.1f, want %.1f without this daemon's work", i, c.load.others, want)
		}
	}
	b.clock.Advance(time.Minute)
	b.dispatch.loop.Step()
	first, last := b.dispatch.order[0].load.others, b.dispatch.order[4].load.others
	if last-first > 0.01 {
		t.Errorf("others %.2f and %.2f by reports of a minute ago, want no difference", first, last)
	}
	b.dispatch.SetOtherWork([]OtherWork{{Server: "s0", Outstanding: 9}})
	b.dispatch.loop.Step()
	b.dispatch.routingTick()
	if others := b.dispatch.order[0].load.others; others < 8.9 {
		t.Errorf("others %.2f, want the 9 that other daemons told", others)
	}
}

// Guards against ejection that leaves less than half of a service in use,
// whether servers fail or are slow, and against a server that comes back to
// its full share at once.
func TestEjectionFloorAndReturn(t *testing.T) {
	failing := true
	b := newBench(t, 10, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if failing && a.Server != "s8" && a.Server != "s9" {
			return broken(a)
		}
		return answered(a)
	}
	inUse := func() (n int) {
		for _, c := range b.dispatch.order {
			if c.use.outUntil.IsZero() {
				n++
			}
		}
		return n
	}
	for i := range 400 {
		b.submit(context.Background(), uint64(i), false)
		b.run()
		if n := inUse(); n < 5 {
			t.Fatalf("%d of 10 servers in use, want at least 5", n)
		}
	}
	if n := inUse(); n != 5 {
		t.Fatalf("%d of 10 servers in use with 8 failing, want the floor of 5", n)
	}
	failing = false
	share := func() float64 {
		back := 0
		for i := range 1000 {
			if c, _ := b.dispatch.router.pick(lookup(uint64(i)), nil); c.use.ejections > 0 {
				back++
			}
		}
		return float64(back) / 1000
	}
	if s := share(); s != 0 {
		t.Errorf("ejected servers got %.2f of the work", s)
	}
	b.advance(firstEjection + 2*routingPeriod)
	if s := share(); s == 0 || s > 0.25 {
		t.Errorf("servers that just came back got %.2f of the work, want some and less than half of the full 0.5", s)
	}
	b.advance(slowStart + routingPeriod)
	if s := share(); s < 0.4 {
		t.Errorf("servers got %.2f of the work after their slow start, want about 0.5", s)
	}
}

// Guards against a server that is new, or that restarted, and is flooded.
func TestSlowStart(t *testing.T) {
	b := newBench(t, 4, answered)
	b.advance(slowStart + time.Second)
	b.servers[0].Description.Incarnation = "1"
	b.publish()
	n := 0
	for i := range 1000 {
		if c, _ := b.dispatch.router.pick(lookup(uint64(i)), nil); c.Server.ID == "s0" {
			n++
		}
	}
	if n == 0 || n > 125 {
		t.Errorf("the restarted server got %d of 1000 requests, want some and less than half of 250", n)
	}
}

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
		b.dispatch.loop.Step()
		b.run()
	}
	c := call(1000)
	change(b, c)
	b.dispatch.Submit(c)
	b.dispatch.loop.Step()
	b.clock.Advance(50 * time.Millisecond)
	b.dispatch.loop.Step()
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
	b.dispatch.loop.Step()
	b.pending[0]()
	first, second := b.attempts[len(b.attempts)-1], b.attempts[len(b.attempts)-2]
	if first.Server == second.Server || first.Context.Err() == nil {
		t.Errorf("servers %s and %s, loser stopped: %v", first.Server, second.Server, first.Context.Err() != nil)
	}
	for range 100 {
		if c := b.dispatch.router.pickOther(lookup(1), map[core.ServerID]bool{"s0": true, "s1": true}); c == nil || c.Server.ID != "s2" {
			t.Fatalf("a hedge after attempts at s0 and s1 went to %+v, want s2", c)
		}
	}
	refusals := map[string]func(*bench, *core.Call){
		"not repeatable": func(_ *bench, c *core.Call) { c.Request.Repeatable = false },
		"no budget":      func(b *bench, _ *core.Call) { clear(b.dispatch.hedges.tokens) },
		"first token arrived": func(_ *bench, c *core.Call) {
			c.Answer.Offer(c.Context, core.Chunk{Attempt: 1, Tokens: []int32{1}})
		},
		"overload": func(b *bench, _ *core.Call) {
			b.dispatch.SetOtherWork([]OtherWork{{Server: "s0", Outstanding: 3}, {Server: "s1", Outstanding: 3}, {Server: "s2", Outstanding: 3}})
			b.dispatch.loop.Step()
			b.dispatch.routingTick()
		},
	}
	for name, change := range refusals {
		if _, started := hedged(t, change); started != 1 {
			t.Errorf("%s: %d attempts, want 1", name, started)
		}
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
		slow.use.wasOverdue(b.clock.Now(), 10*time.Millisecond)
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

// Guards against a decision that allocates memory.
func TestDecisionAllocatesNothing(t *testing.T) {
	d := newLargeTable(t, 1000)
	r := &core.Request{Service: "wear", Model: "wear", Adapter: "b", Prompt: string(make([]byte, 2000)), BackendKinds: []string{"gpu"}}
	if n := testing.AllocsPerRun(1000, func() { d.router.pick(r, nil) }); n != 0 {
		t.Errorf("%.1f allocations in a decision, want none", n)
	}
}
