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

// testStart is far in the future, because dispatch's contexts end by the host's
// clock and must outlive every test.
var testStart = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// storeFault is what the fake store does with one operation.
type storeFault int

const (
	faultNone         storeFault = iota
	faultUnavailable             // not carried out
	faultLostAfter               // carried out, answer lost
	faultLostBefore              // not carried out, answer lost
	faultLate                    // reported as failed, carried out later
	faultLostLate                // answer lost, carried out later
	faultCount        = int(faultLostLate) + 1
	faultNeverAnswers = storeFault(100)
)

// fakeStore is an object API whose operations wait until deliver.
type fakeStore struct {
	objects map[string]platform.Object
	queue   []platform.Op
	late    []platform.Op
	refuse  bool // Submit reports false
	fault   func(platform.Op) storeFault
	writes  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]platform.Object{}, fault: func(platform.Op) storeFault { return faultNone }}
}

func (s *fakeStore) Submit(op platform.Op) bool {
	if !s.refuse {
		s.queue = append(s.queue, op)
	}
	return !s.refuse
}

func (s *fakeStore) apply(op platform.Op) platform.Result {
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
	switch s.fault(op) {
	case faultNone:
		op.Reply(s.apply(op))
	case faultUnavailable:
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	case faultLostAfter:
		s.apply(op)
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	case faultLostBefore:
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	case faultLate:
		s.late = append(s.late, op)
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	case faultLostLate:
		s.late = append(s.late, op)
		op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
	}
}

// applyLate carries out the operations that were reported as failed.
func (s *fakeStore) applyLate() {
	for _, op := range s.late {
		s.apply(op)
	}
	s.late = nil
}

// onPuts applies the faults to the next writes in order.
func (s *fakeStore) onPuts(faults ...storeFault) {
	s.fault = func(op platform.Op) storeFault {
		if op.Kind != platform.OpPut || len(faults) == 0 {
			return faultNone
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

// fakeDispatch holds the calls handed to it until a test ends them.
type fakeDispatch struct {
	refuse bool
	calls  []*core.Call
	sent   int
}

func (d *fakeDispatch) Submit(c *core.Call) bool {
	if d.refuse {
		return false
	}
	d.calls = append(d.calls, c)
	d.sent++
	return true
}

func (d *fakeDispatch) take() *core.Call {
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

func (d *testDaemon) step() int {
	return d.admission.Loop().RunPending() + d.claims.Loop().RunPending()
}

// runningCalls counts the calls that hold a slot of any service.
func (d *testDaemon) runningCalls() int {
	n := 0
	for _, s := range d.admission.services.order {
		n += s.slots.running.total()
	}
	return n
}

// world is a set of daemons with one store and one clock.
type world struct {
	clock   *duty.ManualClock
	store   *fakeStore
	daemons []*testDaemon
	set     *core.ContractSet
	made    int
	random  *rand.Rand
}

func newWorld(daemons int, seed uint64, contracts ...*core.Contract) *world {
	w := &world{
		clock:  duty.NewManualClock(testStart),
		store:  newFakeStore(),
		set:    &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{}},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, c := range contracts {
		w.set.Contracts[c.Customer] = core.StoredContract{Customer: c.Customer, Contract: c}
	}
	for range daemons {
		w.daemons = append(w.daemons, w.newDaemon())
	}
	w.run()
	return w
}

func (w *world) newDaemon() *testDaemon {
	w.made++
	d := &testDaemon{id: core.DaemonID(fmt.Sprint("daemon-", w.made)), dispatch: &fakeDispatch{}}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	d.claims = NewClaims(w.clock, w.store, random, d.id)
	d.admission = NewAdmission(w.clock, d.dispatch, d.claims, random)
	d.admission.SetContracts(w.set)
	return d
}

// run steps the duties and the store until nothing is left to do.
func (w *world) run() {
	for {
		n := len(w.store.queue)
		for range n {
			w.store.deliver(0)
		}
		for _, d := range w.daemons {
			n += d.step()
		}
		if n == 0 {
			return
		}
	}
}

// advance moves the clock in small steps, so that timers set by timers run.
func (w *world) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		w.clock.Advance(min(d, step))
		w.run()
	}
}

func contractOf(customer core.CustomerID, limits core.Limits) *core.Contract {
	return &core.Contract{Customer: customer, Weight: 1, Limits: limits, Services: []core.Service{
		{Name: "desk", Kind: core.KindPlain, Operations: []core.Operation{
			{Name: "book"}, {Name: "look", Idempotent: true}, {Name: "list", Idempotent: true},
		}},
		{Name: "engine", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}},
	}}
}

var requestCount int

func newCall(w *world, customer core.CustomerID, operation, key, body string) *core.Call {
	requestCount++
	r := &core.Request{
		ID: core.RequestID(fmt.Sprint("r", requestCount)), Customer: customer, Service: "desk", Operation: operation,
		IdempotencyKey: key, Body: []byte(body), Deadline: w.clock.Now().Add(10 * time.Second),
	}
	r.Fingerprint = r.ComputeFingerprint()
	return core.NewCall(context.Background(), r)
}

func lookCall(w *world, customer core.CustomerID, class core.Class) *core.Call {
	c := newCall(w, customer, "look", "", "x")
	c.Request.Class = class
	return c
}

// listCall is work of the plain service with a service time of its own.
func listCall(w *world, customer core.CustomerID, class core.Class) *core.Call {
	c := lookCall(w, customer, class)
	c.Request.Operation = "list"
	return c
}

func modelCall(w *world, customer core.CustomerID, maxTokens int) *core.Call {
	c := newCall(w, customer, "", "", "")
	c.Request.Service, c.Request.Model, c.Request.MaxTokens = "", "wear", maxTokens
	return c
}

// submit hands calls to the first daemon and runs the world.
func (w *world) submit(calls ...*core.Call) {
	for _, c := range calls {
		w.daemons[0].admission.Submit(c)
	}
	w.run()
}

// endOf returns the end of the call, or nil while there is none.
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

func wantOpen(t *testing.T, calls ...*core.Call) {
	t.Helper()
	for _, c := range calls {
		if end := endOf(c); end != nil {
			t.Fatalf("request %s ended %v (%v), want it open", c.Request.ID, end.Verdict, end.Err)
		}
	}
}

func ranEnd(body string) core.End {
	return core.End{Verdict: core.Ran, Status: 200, Body: []byte(body)}
}

var notRunEnd = failedEnd(core.NotRunError(core.CodeBackendFailure, "the server refused it"))
var mayHaveRunEnd = failedEnd(core.MayHaveRunError(core.CodeBackendFailure, "the connection broke"))
