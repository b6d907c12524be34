package caller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func rolloutCall(w *world) *core.Call {
	c := modelCall(w, "c", 1)
	c.Request.Class = core.ClassRollout
	return c
}

func submitMany(w *world, n int, call func() *core.Call) {
	for range n {
		w.submit(call())
	}
}

// Guards against a service without free slots or queue that holds up, or makes
// the daemon refuse, the calls of another service.
func TestFullServiceLeavesOthersAlone(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{Queue: 2}))
	a := w.first().admission
	a.SetSlots("engine", 0)
	a.SetSlots("desk", 1)
	waiting := []*core.Call{modelCall(w, "c", 1), modelCall(w, "c", 1)}
	w.submit(waiting...)
	refused := modelCall(w, "c", 1)
	w.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeOverloaded)
	w.submit(lookCall(w, "c", ""), lookCall(w, "c", ""))
	wantSent(t, w, 1)
	a.SetSlots("desk", UnknownSlots)
	w.run()
	wantSent(t, w, 2)
	w.advance(10 * time.Second)
	for _, c := range waiting {
		wantEnd(t, c, core.NotRun, core.CodeDeadline)
	}
}

// Guards against one service that takes all of a customer's concurrency while
// an earlier call waits for another service.
func TestServicesShareConcurrency(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{Concurrency: 1}))
	first := modelCall(w, "c", 1)
	w.submit(first)
	var want []*core.Call
	for i := range 6 {
		c := modelCall(w, "c", 1)
		if i%2 == 0 {
			c = lookCall(w, "c", "")
		}
		w.clock.Advance(time.Millisecond)
		w.submit(c)
		want = append(want, c)
	}
	w.end(ranEnd(""))
	for i := range want {
		if got := w.end(ranEnd("")); got != want[i] {
			t.Fatalf("call %d to start goes to service %s, want the order of arrival", i, got.Request.Service)
		}
	}
}

// Guards against state that grows with the names of services, and against
// forgetting the slots of a service before its contract arrives.
func TestServicesAreBounded(t *testing.T) {
	w := newWorld(1, 1)
	a := w.first().admission
	a.SetSlots("desk", 1)
	for i := range 2 * maxUnnamedServices {
		a.SetSlots(fmt.Sprint("service-", i), 1)
	}
	w.run()
	if n := len(a.services.byName); n != maxUnnamedServices || len(a.services.order) != n {
		t.Fatalf("%d services are kept, want %d", n, maxUnnamedServices)
	}
	contract := contractOf("c", core.Limits{})
	set := &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{"c": {Customer: "c", Contract: contract}}}
	a.SetContracts(set)
	w.run()
	running := lookCall(w, "c", "")
	w.submit(running, lookCall(w, "c", ""))
	wantSent(t, w, 1)
	for i := range 5 {
		renamed := *contract
		renamed.Services = []core.Service{{Name: fmt.Sprint("new-", i), Kind: core.KindPlain, Operations: contract.Services[0].Operations}}
		a.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{"c": {Customer: "c", Contract: &renamed}}})
		w.run()
		c := lookCall(w, "c", "")
		c.Request.Service = renamed.Services[0].Name
		w.submit(c)
		d := w.first().dispatch
		d.calls = slices.DeleteFunc(d.calls, func(sent *core.Call) bool { return sent == c })
		c.End(ranEnd(""))
		w.run()
	}
	if n := len(a.customers["c"].lanes); n != 2 {
		t.Errorf("the customer keeps %d lanes, want those of the running and of the newest service", n)
	}
	if n := len(a.services.byName); n > maxUnnamedServices+1 {
		t.Fatalf("%d services are kept after changes of the contract, want at most %d", n, maxUnnamedServices+1)
	}
	w.end(ranEnd(""))
	w.end(ranEnd(""))
	wantEnd(t, running, core.Ran, "")
}

// Guards against slots of a plain service that long work never gets, and
// against a reserve that does not come back with short work.
func TestReserveFollowsShortWork(t *testing.T) {
	now := testStart
	s := newSlots(core.KindPlain, now)
	s.setLimit(32)
	want := func(reserve int) {
		t.Helper()
		if got := s.reserve(now); got != reserve {
			t.Errorf("after %v the reserve is %d, want %d", now.Sub(testStart), got, reserve)
		}
	}
	want(16)
	now = now.Add(reserveHalfLife)
	want(8)
	now = now.Add(10 * reserveHalfLife)
	want(4)
	s.demand(10, now)
	want(10)
	s.demand(100, now)
	want(16)
	s.setLimit(2)
	want(1)
	s.setLimit(1)
	want(0) // or long work would never run
}

// Guards against an engine's slots that stay free beside long work, and against
// urgent work that waits for a slot of work that the engine pauses for it.
func TestEngineSlots(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	w.first().admission.SetSlots("engine", 4)
	submitMany(w, 8, func() *core.Call { return rolloutCall(w) })
	wantSent(t, w, 4)
	submitMany(w, 8, func() *core.Call { return modelCall(w, "c", 1) })
	wantSent(t, w, 8)
	w.end(ranEnd("")) // a rollout; its slot is held by interactive work
	wantSent(t, w, 7)
	for _, c := range w.first().dispatch.calls[3:] {
		if c.Request.Class != core.ClassInteractive {
			t.Errorf("class %s was started while interactive work fills the slots", c.Request.Class)
		}
	}

	// Long calls of the same class are not paused for short ones.
	w = newWorld(1, 1, contractOf("c", core.Limits{}))
	w.submit(modelCall(w, "c", 1))
	w.clock.Advance(2 * time.Second)
	w.end(ranEnd(""))
	w.first().admission.SetSlots("engine", 4)
	submitMany(w, 8, func() *core.Call { return modelCall(w, "c", 1) })
	wantSent(t, w, 2)
}

// Guards against rollouts that take more of the customer's concurrency than
// their trainers' share, and against a share that stops them altogether.
func TestTrainerShare(t *testing.T) {
	contract := contractOf("c", core.Limits{Concurrency: 8})
	contract.Trainers = []core.Trainer{{Name: "a", Service: "engine", Share: 0.125}, {Name: "b", Service: "engine", Share: 0.25}}
	w := newWorld(1, 1, contract)
	submitMany(w, 8, func() *core.Call { return rolloutCall(w) })
	wantSent(t, w, 3)
	submitMany(w, 8, func() *core.Call { return modelCall(w, "c", 1) })
	wantSent(t, w, 8)

	for _, c := range []struct {
		share float64
		sent  int
	}{{0, 8}, {0.01, 1}} {
		contract := contractOf("c", core.Limits{Concurrency: 8})
		contract.Trainers = []core.Trainer{{Name: "a", Service: "engine", Share: c.share}}
		w := newWorld(1, 1, contract)
		submitMany(w, 8, func() *core.Call { return rolloutCall(w) })
		wantSent(t, w, c.sent)
	}
}

// Guards against calls whose trace does not tell what held them, and against a
// trace that grows without bound.
func TestTrace(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{Concurrency: 2}))
	a := w.first().admission
	a.SetSlots("desk", 1)
	direct, queued := newCall(w, "c", "book", "k", ""), lookCall(w, "c", "")
	w.submit(direct, queued)
	other := modelCall(w, "c", 1)
	w.submit(other)
	limited := modelCall(w, "c", 1)
	w.submit(limited)
	repeat := newCall(w, "c", "book", "k", "")
	w.submit(repeat)
	w.advance(time.Second)
	for len(w.first().dispatch.calls) > 0 {
		w.end(ranEnd(""))
	}
	for _, c := range []struct {
		call *core.Call
		want string
	}{
		{direct, "admission: claim written"},
		{queued, "admission: queued 1s, held by the service's slots"},
		{other, ""},
		{limited, "admission: queued 1s, held by the customer's concurrency"},
		{repeat, "admission: waits for an earlier call with its key"},
	} {
		if got := strings.Join(c.call.RoutingTrace, "\n"); got != c.want {
			t.Errorf("trace of %s is %q, want %q", c.call.Request.ID, got, c.want)
		}
	}
	second := newWorld(2, 1, contractOf("c", core.Limits{}))
	second.submit(newCall(second, "c", "book", "k", ""))
	elsewhere := newCall(second, "c", "book", "k", "")
	second.daemons[1].admission.Submit(elsewhere)
	second.run()
	if len(elsewhere.RoutingTrace) != 1 || elsewhere.RoutingTrace[0] != string(reasonClaimFound) {
		t.Errorf("trace of a repeat at another daemon is %q", elsewhere.RoutingTrace)
	}
	e := &entry{call: direct}
	for range 2 * maxTrace {
		e.trace(reasonRepeat)
	}
	if len(direct.RoutingTrace) != maxTrace {
		t.Errorf("trace has %d lines, want at most %d", len(direct.RoutingTrace), maxTrace)
	}
}
