package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against requests to a server that cannot run them, and against a
// refusal that names the wrong reason.
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
	b := newDispatchHarness(t, 0, completed)
	for _, c := range cases {
		r, s := request, Server{ID: "s", Description: able}
		s.Description.Models = []ModelDescription{able.Models[0]}
		c.change(&r, &s)
		b.servers = []Server{s}
		b.publish()
		for range 2 { // the second decision uses the cached class of the first
			if chosen, missing := b.dispatch.router.pick(&r, core.Progress{}, nil); missing != c.reason || (chosen == nil) != (c.reason != "") {
				t.Errorf("missing %q, want %q", missing, c.reason)
			}
		}
	}
	call := b.submit(context.Background(), 1, true)
	if e := endOf(call); e == nil || e.Err.Code != core.CodeNoCapability || e.Verdict != core.NotRun {
		t.Errorf("end %+v, want an immediate refusal with not-run", e)
	}
}

// Guards against a daemon that sends requests to another data centre without
// need, or that stops serving when only local or only remote servers are left.
func TestDataCentres(t *testing.T) {
	b := newDispatchHarness(t, 6, completed)
	b.dispatch.SetDataCentre("regina")
	for i := range b.servers {
		b.servers[i].DataCentre = []string{"regina", "brandon"}[i/3]
	}
	remote := func() (percent int) {
		b.publish()
		b.advance(slowStartPeriod + time.Second)
		for range 100 {
			if c, _ := b.dispatch.router.pick(lookup(1), core.Progress{}, nil); c.Server.DataCentre == "brandon" {
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
		t.Errorf("%d%% of the requests went to the remote data centre with idle local servers", share)
	}
	mark(3, 6, true)
	if share := remote(); share != 0 {
		t.Errorf("%d%% of the requests went to unreachable servers", share)
	}
	mark(3, 6, false)
	mark(0, 3, true)
	if share := remote(); share != 100 {
		t.Errorf("%d%% of the requests went to the remote data centre with no reachable local server, want all", share)
	}
	mark(0, 3, false)
	b.publish()
	for _, c := range b.dispatch.listed[:3] {
		c.Outstanding = 40
	}
	if share := remote(); share != 100 {
		t.Errorf("%d%% of the requests went to the remote data centre with local work of ten times the slots, want all", share)
	}
}

func lookup(fingerprint uint64) *core.Request {
	return &core.Request{ID: core.RequestID(fmt.Sprint(fingerprint)), Service: "desk", Operation: "look", Fingerprint: fingerprint, Repeatable: true}
}

// Guards against a thundering herd: daemons that start together and have
// received the same report must not send all their requests to the one server
// that appeared idle. Two draws out of n give a server at most 2/n of the
// decisions.
func TestHerd(t *testing.T) {
	const daemons, servers, picks = 9, 10, 1000
	counts := map[core.ServerID]int{}
	for range daemons {
		b := newDispatchHarness(t, servers, completed)
		for i := range b.servers {
			b.servers[i].Load = Load{MeasuredAt: b.clock.Now(), Running: min(i, 1) * 20}
		}
		b.publish()
		for i := range picks {
			c, _ := b.dispatch.router.pick(lookup(uint64(i)), core.Progress{}, nil)
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
	t.Logf("the same over 2 s of work with reports of 1 s lag: %.2f", s.busiestToMean())
	if s.busiestToMean() > 2 {
		t.Errorf("the busiest server got %.2f times the mean, want at most 2", s.busiestToMean())
	}
}

// Guards against counting this daemon's own work twice, against a wrong clock
// of a server that distorts the estimate, and against an old report that keeps
// its weight.
func TestLoadReportEstimates(t *testing.T) {
	b := newDispatchHarness(t, 5, completed)
	skews := []time.Duration{0, 0, 0, time.Hour, -time.Hour}
	report := func(running int) {
		for i := range b.servers {
			b.servers[i].Load = Load{MeasuredAt: b.clock.Now().Add(skews[i] - 400*time.Millisecond), Running: running + i, ReceivedAt: b.clock.Now()}
		}
		b.publish()
	}
	for range 10 { // until the lag is estimated
		report(0)
		b.clock.Advance(500 * time.Millisecond)
		b.dispatch.loop.RunPending()
	}
	for _, c := range b.dispatch.listed {
		for range 3 {
			b.dispatch.router.recordStart(c)
		}
	}
	b.clock.Advance(200 * time.Millisecond) // less than the lag: the report is older than the work
	report(2)
	for i, c := range b.dispatch.listed {
		if want := float64(2 + i); c.load.estimatedPeerWork != want || c.Outstanding != 3 {
			t.Errorf("server %d: peer work %.1f, own %d; want %.1f and 3", i, c.load.estimatedPeerWork, c.Outstanding, want)
		}
	}
	b.clock.Advance(time.Second) // more than the lag: the report includes the work
	report(5)
	for i, c := range b.dispatch.listed {
		if want := float64(2 + i); c.load.estimatedPeerWork != want {
			t.Errorf("server %d: peer work %.1f, want %.1f without this daemon's work", i, c.load.estimatedPeerWork, want)
		}
	}
	b.clock.Advance(time.Minute)
	b.dispatch.loop.RunPending()
	first, last := b.dispatch.listed[0].load.estimatedPeerWork, b.dispatch.listed[4].load.estimatedPeerWork
	if last-first > 0.01 {
		t.Errorf("peer work %.2f and %.2f from reports a minute old, want no difference", first, last)
	}
	b.dispatch.UpdatePeerWork([]PeerWork{{Server: "s0", Outstanding: 9}})
	b.dispatch.loop.RunPending()
	b.dispatch.routingTick()
	if others := b.dispatch.listed[0].load.estimatedPeerWork; others < 8.9 {
		t.Errorf("peer work %.2f, want the 9 that the other daemons counted", others)
	}
	b.clock.Advance(peerWorkTTL)
	b.dispatch.loop.RunPending()
	if others := b.dispatch.listed[0].load.estimatedPeerWork; others > 6 {
		t.Errorf("peer work %.2f after the counts expired, want at most 6, the largest report", others)
	}
}

// Guards against ejecting more than half of a service's servers, whether they
// fail or are slow, and against a recovered server that receives its full share
// immediately.
func TestEjectionFloorAndReturn(t *testing.T) {
	failing := true
	b := newDispatchHarness(t, 10, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if failing && a.Server != "s8" && a.Server != "s9" {
			return broken(a)
		}
		return completed(a)
	}
	countActive := func() (n int) {
		for _, c := range b.dispatch.listed {
			if c.ejection.ejectedUntil.IsZero() {
				n++
			}
		}
		return n
	}
	for i := range 400 {
		b.submit(context.Background(), uint64(i), false)
		b.runPending()
		if n := countActive(); n < 5 {
			t.Fatalf("%d of 10 servers active, want at least 5", n)
		}
	}
	if n := countActive(); n != 5 {
		t.Fatalf("%d of 10 servers active with 8 failing, want the minimum of 5", n)
	}
	failing = false
	share := func() float64 {
		recovered := 0
		for i := range 1000 {
			if c, _ := b.dispatch.router.pick(lookup(uint64(i)), core.Progress{}, nil); c.ejection.ejections > 0 {
				recovered++
			}
		}
		return float64(recovered) / 1000
	}
	if s := share(); s != 0 {
		t.Errorf("ejected servers got a share of %.2f", s)
	}
	b.advance(baseEjectionTime + 2*routingPeriod)
	if s := share(); s == 0 || s > 0.25 {
		t.Errorf("recovered servers got a share of %.2f, want some and less than half of the full 0.5", s)
	}
	b.advance(slowStartPeriod + routingPeriod)
	if s := share(); s < 0.4 {
		t.Errorf("servers got a share of %.2f after their slow start, want about 0.5", s)
	}
}

// Guards against counting unreachable or crashed servers as active, which would
// leave less than half of a service for new requests.
func TestEjectionFloorExcludesUnavailableServers(t *testing.T) {
	b := newDispatchHarness(t, 10, broken)
	b.servers[0].Unreachable, b.servers[1].Unreachable = true, true
	b.publish()
	for _, id := range []core.ServerID{"s2", "s3"} {
		b.dispatch.health.stateOf(id).crashBackoffUntil = b.clock.Now().Add(maxCrashBackoff)
	}
	for i := range 400 {
		b.submit(context.Background(), uint64(i), false)
		b.runPending()
	}
	active := 0
	for _, c := range b.dispatch.listed[4:] {
		if c.ejection.ejectedUntil.IsZero() {
			active++
		}
	}
	if active != 5 {
		t.Errorf("%d of the 6 available servers active, want the minimum of 5", active)
	}
}

// Guards against ejecting all servers of one data centre while the minimum
// share holds over all data centres together.
func TestEjectionFloorPerDataCentre(t *testing.T) {
	b := newDispatchHarness(t, 10, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.Server < "s4" {
			return broken(a)
		}
		return completed(a)
	}
	b.dispatch.SetDataCentre("regina")
	for i := range b.servers {
		b.servers[i].DataCentre = "brandon"
		if i < 4 {
			b.servers[i].DataCentre = "regina"
		}
	}
	b.publish()
	countActive := func(servers []*Candidate) (n int) {
		for _, c := range servers {
			if c.ejection.ejectedUntil.IsZero() {
				n++
			}
		}
		return n
	}
	for i := range 400 {
		b.submit(context.Background(), uint64(i), false)
		b.runPending()
	}
	if n := countActive(b.dispatch.listed[:4]); n != 2 {
		t.Errorf("%d of the 4 failing servers of one data centre active, want the minimum of 2", n)
	}
	if n := countActive(b.dispatch.listed[4:]); n != 6 {
		t.Errorf("%d of the 6 servers of the other data centre active, want all", n)
	}
}

// Guards against a new or restarted server that receives its full share of
// requests immediately.
func TestSlowStart(t *testing.T) {
	b := newDispatchHarness(t, 4, completed)
	b.advance(slowStartPeriod + time.Second)
	b.servers[0].Description.Incarnation = "1"
	b.publish()
	n := 0
	for i := range 1000 {
		if c, _ := b.dispatch.router.pick(lookup(uint64(i)), core.Progress{}, nil); c.Server.ID == "s0" {
			n++
		}
	}
	if n == 0 || n > 125 {
		t.Errorf("the restarted server got %d of 1000 requests, want some and less than half of 250", n)
	}
}

// Guards against a routing decision that allocates memory.
func TestDecisionAllocatesNothing(t *testing.T) {
	d := newDispatcherWithEngines(t, 1000)
	r := &core.Request{Service: "wear", Model: "wear", Adapter: "b", Prompt: string(make([]byte, 2000)), BackendKinds: []string{"gpu"}}
	if n := testing.AllocsPerRun(1000, func() { d.router.pick(r, core.Progress{}, nil) }); n != 0 {
		t.Errorf("%.1f allocations in a decision, want none", n)
	}
}

// Guards against a call whose next attempt goes to the server that has just
// failed it, for example by stalling, while another server is available.
func TestLastTriedServerComesLast(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	b.publish()
	b.advance(slowStartPeriod + time.Second)
	r := lookup(1)
	servers := map[core.ServerID]bool{}
	for _, c := range b.dispatch.listed {
		servers[c.Server.ID] = true
	}
	for last := range servers {
		tried := &attemptedServers{servers: servers, last: last}
		for range 100 {
			if c, _ := b.dispatch.router.pick(r, core.Progress{}, tried); c == nil || c.Server.ID == last {
				t.Fatalf("picked %v after an attempt on %s had just failed", c, last)
			}
		}
	}
}

// Guards against items of a step that wait in the queue of one engine while
// another one has room, and against items that wait forever.
func TestItemsWaitForEngineRoom(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	c := &Candidate{}
	c.Server.Description.Slots = 4
	for c.Outstanding = range 5 {
		if !c.hasRoomFor(core.ClassRollout, time.Time{}) {
			t.Errorf("an engine with %d of 4 slots in use has no room", c.Outstanding)
		}
	}
	c.Outstanding = 5
	if c.hasRoomFor(core.ClassRollout, time.Time{}) {
		t.Error("an engine with 5 items on 4 slots has room")
	}
	c.Outstanding, c.load.estimatedPeerWork = 0, 100
	if !c.hasRoomFor(core.ClassRollout, time.Time{}) {
		t.Error("an engine without own work has no room because of peer work")
	}
	const items = 40
	var calls []*core.Call
	for i := range items {
		call := core.NewCall(context.Background(), &core.Request{
			ID: core.RequestID(fmt.Sprint("i", i)), Service: "desk", Operation: "look",
			Fingerprint: uint64(i + 1), Repeatable: true, Class: core.ClassRollout,
		})
		b.dispatch.Submit(call)
		b.dispatch.loop.RunPending()
		calls = append(calls, call)
	}
	if sent := b.dispatch.attemptsInProgress; sent >= items {
		t.Fatalf("all %d items were sent immediately", sent)
	}
	b.runPending()
	b.advance(time.Second)
	for i, call := range calls {
		if endOf(call) == nil {
			t.Fatalf("item %d of %d never ended", i, items)
		}
	}
}

// Guards against sending items of a step to an engine whose host is slow for
// some seconds while others have room, and against avoiding an engine forever.
func TestSlowHostsGetFewerItems(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	d := b.dispatch
	for _, c := range d.listed {
		c.Outstanding = 1
	}
	slow, now := d.listed[0], b.clock.Now()
	slow.Server.Load = Load{ReceivedAt: now, SlowdownFactor: 3.5}
	item := &core.Request{ID: "i", Service: "desk", Operation: "look", Class: core.ClassRollout, Repeatable: true}
	for range 20 {
		if c, _ := d.router.pick(item, core.Progress{}, nil); c == nil || c == slow {
			t.Fatalf("picked %+v, want the engine on the normal host", c)
		}
	}
	slow.Outstanding = 2 // of 4 slots: 0.5 x 3.5 exceeds maxRolloutDepth
	if slow.hasRoomFor(core.ClassRollout, now) {
		t.Error("a half-full engine on a slow host has room")
	}
	later := now.Add(slowdownFactorTTL + time.Millisecond)
	if !slow.hasRoomFor(core.ClassRollout, later) || slow.slowdownFactor(later) != 1 {
		t.Error("an engine with an expired slowdown report is avoided")
	}
}
