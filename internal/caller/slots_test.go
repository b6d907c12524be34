package caller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func newRolloutCall(cluster *testCluster) *core.Call {
	c := newModelCall(cluster, "c", 1)
	c.Request.Class = core.ClassRollout
	return c
}

func submitMany(cluster *testCluster, n int, call func() *core.Call) {
	for range n {
		cluster.submit(call())
	}
}

// Guards against a service without free slots or queue space that blocks the calls
// of another service or makes the daemon reject them.
func TestFullServiceDoesNotBlockOthers(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{Queue: 2}))
	a := cluster.firstDaemon().admission
	a.SetSlots("engine", 0)
	a.SetSlots("desk", 1)
	waiting := []*core.Call{newModelCall(cluster, "c", 1), newModelCall(cluster, "c", 1)}
	cluster.submit(waiting...)
	refused := newModelCall(cluster, "c", 1)
	cluster.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeOverloaded)
	cluster.submit(newLookCall(cluster, "c", ""), newLookCall(cluster, "c", ""))
	wantSent(t, cluster, 1)
	a.SetSlots("desk", UnknownSlots)
	cluster.runUntilIdle()
	wantSent(t, cluster, 2)
	cluster.advanceClock(10 * time.Second)
	for _, c := range waiting {
		wantEnd(t, c, core.NotRun, core.CodeDeadline)
	}
}

// Guards against one service that uses all of a customer's concurrency while an
// earlier call waits for another service.
func TestServicesShareConcurrency(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{Concurrency: 1}))
	first := newModelCall(cluster, "c", 1)
	cluster.submit(first)
	var want []*core.Call
	for i := range 6 {
		c := newModelCall(cluster, "c", 1)
		if i%2 == 0 {
			c = newLookCall(cluster, "c", "")
		}
		cluster.clock.Advance(time.Millisecond)
		cluster.submit(c)
		want = append(want, c)
	}
	cluster.endOldest(newRanEnd(""))
	for i := range want {
		if got := cluster.endOldest(newRanEnd("")); got != want[i] {
			t.Fatalf("call %d to start goes to service %s, want the order of arrival", i, got.Request.Service)
		}
	}
}

// Guards against unlimited state for service names, and against losing the slots of
// a service before its contract arrives.
func TestServicesAreBounded(t *testing.T) {
	cluster := newTestCluster(1, 1)
	a := cluster.firstDaemon().admission
	a.SetSlots("desk", 1)
	for i := range 2 * maxUncontractedServices {
		a.SetSlots(fmt.Sprint("service-", i), 1)
	}
	cluster.runUntilIdle()
	if n := len(a.services.byName); n != maxUncontractedServices || len(a.services.ordered) != n {
		t.Fatalf("%d services are kept, want %d", n, maxUncontractedServices)
	}
	contract := newContract("c", core.Limits{})
	set := &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{"c": {Customer: "c", Contract: contract}}}
	a.SetContracts(set)
	cluster.runUntilIdle()
	running := newLookCall(cluster, "c", "")
	cluster.submit(running, newLookCall(cluster, "c", ""))
	wantSent(t, cluster, 1)
	for i := range 5 {
		renamed := *contract
		renamed.Services = []core.Service{{Name: fmt.Sprint("new-", i), Kind: core.KindPlain, Operations: contract.Services[0].Operations}}
		a.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{"c": {Customer: "c", Contract: &renamed}}})
		cluster.runUntilIdle()
		c := newLookCall(cluster, "c", "")
		c.Request.Service = renamed.Services[0].Name
		cluster.submit(c)
		d := cluster.firstDaemon().dispatch
		d.calls = slices.DeleteFunc(d.calls, func(sent *core.Call) bool { return sent == c })
		c.End(newRanEnd(""))
		cluster.runUntilIdle()
	}
	if n := len(a.customers["c"].queues); n != 2 {
		t.Errorf("the customer keeps %d lanes, want those of the running and of the newest service", n)
	}
	if n := len(a.services.byName); n > maxUncontractedServices+1 {
		t.Fatalf("%d services are kept after changes of the contract, want at most %d", n, maxUncontractedServices+1)
	}
	cluster.endOldest(newRanEnd(""))
	cluster.endOldest(newRanEnd(""))
	wantEnd(t, running, core.Ran, "")
}

// Guards against slots of a plain service that long work never gets, and against a
// reserve that does not grow again with short work.
func TestReserveFollowsShortWork(t *testing.T) {
	now := testStart
	s := newSlotLimiter(core.KindPlain, now)
	s.setLimit(32)
	want := func(reserve int) {
		t.Helper()
		if got := s.reservedSlots(now); got != reserve {
			t.Errorf("after %v the reserve is %d, want %d", now.Sub(testStart), got, reserve)
		}
	}
	want(16)
	now = now.Add(reserveHalfLife)
	want(8)
	now = now.Add(10 * reserveHalfLife)
	want(4)
	s.recordShortDemand(10, now)
	want(10)
	s.recordShortDemand(100, now)
	want(16)
	s.setLimit(2)
	want(1)
	s.setLimit(1)
	want(0) // or long work would never run
}

// Guards against engine slots that stay free beside long work, and against urgent
// work that waits for a slot of work that the engine pauses for it.
func TestEngineSlots(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	cluster.firstDaemon().admission.SetSlots("engine", 4)
	submitMany(cluster, 8, func() *core.Call { return newRolloutCall(cluster) })
	wantSent(t, cluster, 4)
	submitMany(cluster, 8, func() *core.Call { return newModelCall(cluster, "c", 1) })
	wantSent(t, cluster, 8)
	cluster.endOldest(newRanEnd("")) // ends a rollout; interactive work occupies its slot
	wantSent(t, cluster, 7)
	for _, c := range cluster.firstDaemon().dispatch.calls[3:] {
		if c.Request.Class != core.ClassInteractive {
			t.Errorf("class %s was started while interactive work fills the slots", c.Request.Class)
		}
	}

	// Long calls of the same class are not paused for short ones.
	cluster = newTestCluster(1, 1, newContract("c", core.Limits{}))
	cluster.submit(newModelCall(cluster, "c", 1))
	cluster.clock.Advance(2 * time.Second)
	cluster.endOldest(newRanEnd(""))
	cluster.firstDaemon().admission.SetSlots("engine", 4)
	submitMany(cluster, 8, func() *core.Call { return newModelCall(cluster, "c", 1) })
	wantSent(t, cluster, 2)
}

// Guards against rollouts that use more of the customer's concurrency than their
// trainers' share, and against a share that permits none at all.
func TestTrainerShare(t *testing.T) {
	contract := newContract("c", core.Limits{Concurrency: 8})
	contract.Trainers = []core.Trainer{{Name: "a", Service: "engine", Share: 0.125}, {Name: "b", Service: "engine", Share: 0.25}}
	cluster := newTestCluster(1, 1, contract)
	submitMany(cluster, 8, func() *core.Call { return newRolloutCall(cluster) })
	wantSent(t, cluster, 3)
	submitMany(cluster, 8, func() *core.Call { return newModelCall(cluster, "c", 1) })
	wantSent(t, cluster, 8)

	for _, c := range []struct {
		share float64
		sent  int
	}{{0, 8}, {0.01, 1}} {
		contract := newContract("c", core.Limits{Concurrency: 8})
		contract.Trainers = []core.Trainer{{Name: "a", Service: "engine", Share: c.share}}
		cluster := newTestCluster(1, 1, contract)
		submitMany(cluster, 8, func() *core.Call { return newRolloutCall(cluster) })
		wantSent(t, cluster, c.sent)
	}
}

// Guards against traces that do not show why a call waited, and against a trace of
// unlimited length.
func TestTrace(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{Concurrency: 2}))
	a := cluster.firstDaemon().admission
	a.SetSlots("desk", 1)
	direct, queued := newCall(cluster, "c", "book", "k", ""), newLookCall(cluster, "c", "")
	cluster.submit(direct, queued)
	other := newModelCall(cluster, "c", 1)
	cluster.submit(other)
	limited := newModelCall(cluster, "c", 1)
	cluster.submit(limited)
	repeat := newCall(cluster, "c", "book", "k", "")
	cluster.submit(repeat)
	cluster.advanceClock(time.Second)
	for len(cluster.firstDaemon().dispatch.calls) > 0 {
		cluster.endOldest(newRanEnd(""))
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
	second := newTestCluster(2, 1, newContract("c", core.Limits{}))
	second.submit(newCall(second, "c", "book", "k", ""))
	elsewhere := newCall(second, "c", "book", "k", "")
	second.daemons[1].admission.Submit(elsewhere)
	second.runUntilIdle()
	if len(elsewhere.RoutingTrace) != 1 || elsewhere.RoutingTrace[0] != string(reasonClaimFound) {
		t.Errorf("trace of a repeat at another daemon is %q", elsewhere.RoutingTrace)
	}
	active := &activeCall{call: direct}
	for range 2 * maxTraceLines {
		active.trace(reasonRepeat)
	}
	if len(direct.RoutingTrace) != maxTraceLines {
		t.Errorf("trace has %d lines, want at most %d", len(direct.RoutingTrace), maxTraceLines)
	}
}
