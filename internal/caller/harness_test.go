package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// testStart is far in the future, because the contexts that dispatch receives end
// by the system clock and must not expire during a test.
var testStart = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// storeFault determines how the fake store handles one operation.
type storeFault int

const (
	faultNone                  storeFault = iota
	faultUnavailable                      // not executed, reported as unavailable
	faultExecutedReplyLost                // executed, reported as unknown outcome
	faultDroppedReplyLost                 // not executed, reported as unknown outcome
	faultErrorThenExecuted                // reported as unavailable, executed later
	faultReplyLostThenExecuted            // reported as unknown outcome, executed later
	faultCount                 = int(faultReplyLostThenExecuted) + 1
	faultNeverAnswers          = storeFault(100)
)

// fakeStore is an object API whose operations are queued until deliver is called.
type fakeStore struct {
	objects    map[string]platform.Object
	queue      []platform.Op
	delayedOps []platform.Op
	rejectsAll bool // makes Submit report false
	faultFor   func(platform.Op) storeFault
	writes     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]platform.Object{}, faultFor: func(platform.Op) storeFault { return faultNone }}
}

func (s *fakeStore) Submit(op platform.Op) bool {
	if !s.rejectsAll {
		s.queue = append(s.queue, op)
	}
	return !s.rejectsAll
}

func (s *fakeStore) execute(op platform.Op) platform.Result {
	current, found := s.objects[op.Key]
	if op.Kind == platform.OpGet {
		if !found {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	}
	s.writes++
	if current.Version != op.IfVersion {
		return platform.Result{Err: platform.ErrConflict}
	}
	current = platform.Object{Key: op.Key, Version: current.Version + 1, Value: op.Value}
	s.objects[op.Key] = current
	return platform.Result{Object: current}
}

func (s *fakeStore) deliver(i int) {
	op := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	switch s.faultFor(op) {
	case faultNone:
		op.Reply(s.execute(op))
	case faultUnavailable:
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	case faultExecutedReplyLost:
		s.execute(op)
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	case faultDroppedReplyLost:
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	case faultErrorThenExecuted:
		s.delayedOps = append(s.delayedOps, op)
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	case faultReplyLostThenExecuted:
		s.delayedOps = append(s.delayedOps, op)
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	}
}

// executeDelayed executes the operations that were reported as failed.
func (s *fakeStore) executeDelayed() {
	for _, op := range s.delayedOps {
		s.execute(op)
	}
	s.delayedOps = nil
}

// setPutFaults applies the faults to the next writes in order, and none afterwards.
func (s *fakeStore) setPutFaults(faults ...storeFault) {
	s.faultFor = func(op platform.Op) storeFault {
		if op.Kind != platform.OpPut || len(faults) == 0 {
			return faultNone
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// fakeDispatch keeps the submitted calls until a test ends them.
type fakeDispatch struct {
	rejectsAll bool
	calls      []*core.Call
	sent       int
}

func (d *fakeDispatch) Submit(c *core.Call) bool {
	if d.rejectsAll {
		return false
	}
	d.calls = append(d.calls, c)
	d.sent++
	return true
}

func (d *fakeDispatch) removeOldest() *core.Call {
	c := d.calls[0]
	d.calls = d.calls[1:]
	return c
}

type testDaemon struct {
	id        core.DaemonID
	dispatch  *fakeDispatch
	claims    *Claims
	admission *Admission
}

func (d *testDaemon) runPending() int {
	return d.admission.Loop().RunPending() + d.claims.Loop().RunPending()
}

// runningCalls returns the number of calls that occupy a slot of any service.
func (d *testDaemon) runningCalls() int {
	n := 0
	for _, s := range d.admission.services.ordered {
		n += s.slots.running.total()
	}
	return n
}

// testCluster is a set of daemons with a common store and a manual clock.
type testCluster struct {
	clock          *duty.ManualClock
	store          *fakeStore
	daemons        []*testDaemon
	contracts      *core.ContractSet
	daemonsCreated int
	random         *rand.Rand
}

func newTestCluster(daemons int, seed uint64, contracts ...*core.Contract) *testCluster {
	cluster := &testCluster{
		clock:     duty.NewManualClock(testStart),
		store:     newFakeStore(),
		contracts: &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{}},
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
	for _, c := range contracts {
		cluster.contracts.Contracts[c.Customer] = core.StoredContract{Customer: c.Customer, Contract: c}
	}
	for range daemons {
		cluster.daemons = append(cluster.daemons, cluster.newDaemon())
	}
	cluster.runUntilIdle()
	return cluster
}

func (cluster *testCluster) newDaemon() *testDaemon {
	cluster.daemonsCreated++
	d := &testDaemon{id: core.DaemonID(fmt.Sprint("daemon-", cluster.daemonsCreated)), dispatch: &fakeDispatch{}}
	random := rand.New(rand.NewPCG(cluster.random.Uint64(), 2))
	d.claims = NewClaims(cluster.clock, cluster.store, random, d.id)
	d.admission = NewAdmission(cluster.clock, d.dispatch, d.claims, random)
	d.admission.SetContracts(cluster.contracts)
	return d
}

// runUntilIdle steps the duties and the store until nothing is left to do.
func (cluster *testCluster) runUntilIdle() {
	for {
		n := len(cluster.store.queue)
		for range n {
			cluster.store.deliver(0)
		}
		for _, d := range cluster.daemons {
			n += d.runPending()
		}
		if n == 0 {
			return
		}
	}
}

// advanceClock advances the clock in small steps, so that timers set by timers run.
func (cluster *testCluster) advanceClock(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		cluster.clock.Advance(min(d, step))
		cluster.runUntilIdle()
	}
}

func newContract(customer core.CustomerID, limits core.Limits) *core.Contract {
	return &core.Contract{Customer: customer, Weight: 1, Limits: limits, Services: []core.Service{
		{Name: "desk", Kind: core.KindPlain, Operations: []core.Operation{
			{Name: "book"}, {Name: "look", Idempotent: true}, {Name: "list", Idempotent: true},
		}},
		{Name: "engine", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}},
	}}
}

var requestCount int

func newCall(cluster *testCluster, customer core.CustomerID, operation, key, body string) *core.Call {
	requestCount++
	r := &core.Request{
		ID: core.RequestID(fmt.Sprint("r", requestCount)), Customer: customer, Service: "desk", Operation: operation,
		IdempotencyKey: key, Body: []byte(body), Deadline: cluster.clock.Now().Add(10 * time.Second),
	}
	r.Fingerprint = r.ComputeFingerprint()
	return core.NewCall(context.Background(), r)
}

func newLookCall(cluster *testCluster, customer core.CustomerID, class core.Class) *core.Call {
	c := newCall(cluster, customer, "look", "", "x")
	c.Request.Class = class
	return c
}

// newListCall returns a call whose service time is measured separately from that
// of newLookCall.
func newListCall(cluster *testCluster, customer core.CustomerID, class core.Class) *core.Call {
	c := newLookCall(cluster, customer, class)
	c.Request.Operation = "list"
	return c
}

func newModelCall(cluster *testCluster, customer core.CustomerID, maxTokens int) *core.Call {
	c := newCall(cluster, customer, "", "", "")
	c.Request.Service, c.Request.Model, c.Request.MaxTokens = "", "wear", maxTokens
	return c
}

// submit submits calls to the first daemon and runs the cluster until it is idle.
func (cluster *testCluster) submit(calls ...*core.Call) {
	for _, c := range calls {
		cluster.daemons[0].admission.Submit(c)
	}
	cluster.runUntilIdle()
}

// endOf returns the end of the call, or nil if it has not ended.
func endOf(c *core.Call) *core.End {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, end, _ := c.Answer.Next(ctx)
	return end
}

func wantEnd(t *testing.T, c *core.Call, verdict core.Verdict, code core.Code) *core.End {
	t.Helper()
	end := endOf(c)
	if end == nil {
		t.Fatalf("request %s has not ended, want verdict %v", c.Request.ID, verdict)
	}
	var got core.Code
	if end.Err != nil {
		got = end.Err.Code
	}
	if end.Verdict != verdict || got != code {
		t.Fatalf("request %s ended %v %q (%v), want %v %q", c.Request.ID, end.Verdict, got, end.Err, verdict, code)
	}
	return end
}

func wantNotEnded(t *testing.T, calls ...*core.Call) {
	t.Helper()
	for _, c := range calls {
		if end := endOf(c); end != nil {
			t.Fatalf("request %s ended %v (%v), want no end yet", c.Request.ID, end.Verdict, end.Err)
		}
	}
}

func newRanEnd(body string) core.End {
	return core.End{Verdict: core.Ran, Status: 200, Body: []byte(body)}
}

var notRunEnd = errorEnd(core.NotRunError(core.CodeBackendFailure, "the server refused it"))
var mayHaveRunEnd = errorEnd(core.MayHaveRunError(core.CodeBackendFailure, "the connection broke"))
