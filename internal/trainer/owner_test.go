package trainer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/scorer"
	"github.com/berylfall/berylfall/internal/trainer"
)

// harness is one trainer duty with fakes for its interfaces.
type harness struct {
	t             testing.TB
	clock         *duty.ManualClock
	suspended     time.Duration // for which the host stood still; clock does not count it
	manager       *trainer.Manager
	objects       map[string]platform.Object
	nextWriteErr  error // error of the next write, which still takes effect
	writes        int
	listeners     map[string]func(platform.LeaseEvent)
	released      []string
	runs          []trainer.SampleRun
	refuseRuns    bool // the runner has no room
	scoreRequests []scorer.Request
}

func newHarness(t testing.TB, contract core.Contract, limit int) *harness {
	h := &harness{
		t: t, clock: duty.NewManualClock(simulationStart), objects: map[string]platform.Object{},
		listeners: map[string]func(platform.LeaseEvent){},
	}
	h.manager = trainer.New(h.clock, trainer.Options{
		RedirectAddress: func() string { return "10.0.0.1:7300" }, Runner: h, Store: h, Leases: h, Scorer: fakeScorer{h}, MaxInFlight: limit, MaxSampleBytes: 4000,
		LeaseNow: func() time.Time { return h.clock.Now().Add(h.suspended) },
	})
	h.manager.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		contract.Customer: {Customer: contract.Customer, Version: 1, Contract: &contract},
	}})
	return h
}

type fakeScorer struct{ harness *harness }

func (s fakeScorer) Submit(r scorer.Request) bool {
	s.harness.scoreRequests = append(s.harness.scoreRequests, r)
	return true
}

func (h *harness) Start(run trainer.SampleRun) (func(), bool) {
	if h.refuseRuns {
		return nil, false
	}
	h.runs = append(h.runs, run)
	return func() {}, true
}

func (h *harness) Acquire(name string, o platform.LeaseOptions) bool {
	h.listeners[name] = o.Listener
	return true
}

func (h *harness) Release(name string) bool {
	h.released = append(h.released, name)
	return true
}

func (h *harness) Submit(op platform.Op) bool {
	o, found := h.objects[op.Key]
	switch {
	case op.Kind == platform.OpGet && !found:
		op.Reply(platform.Result{Err: platform.ErrNotFound})
	case op.Kind == platform.OpGet:
		op.Reply(platform.Result{Object: o})
	case op.IfVersion != o.Version:
		op.Reply(platform.Result{Err: platform.ErrConflict})
	case op.Kind == platform.OpDelete:
		delete(h.objects, op.Key)
		op.Reply(platform.Result{})
	default:
		h.writes++
		next := platform.Object{Key: op.Key, Version: o.Version + 1, Value: op.Value}
		h.objects[op.Key] = next
		err := h.nextWriteErr
		h.nextWriteErr = nil
		op.Reply(platform.Result{Object: next, Err: err})
	}
	return true
}

func (h *harness) gainLease(name string, fence int64) {
	h.listeners["trainers/prairie/"+name](platform.LeaseEvent{
		Kind: platform.LeaseGained, Lease: platform.Lease{Name: name, Fence: fence, Deadline: h.clock.Now().Add(time.Hour)},
	})
	h.advance(3 * time.Second)
}

func (h *harness) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		h.clock.Advance(time.Second)
		h.manager.Loop().RunPending()
	}
}

// submit submits a query. The slice that it returns receives the first reply.
func (h *harness) submit(ctx context.Context, q trainer.Query) *[]trainer.Reply {
	replies := &[]trainer.Reply{}
	h.manager.Submit(ctx, q, func(reply trainer.Reply) {
		if len(*replies) == 0 {
			*replies = append(*replies, reply)
		}
	})
	h.manager.Loop().RunPending()
	return replies
}

func (h *harness) open(name string, step int64, groups, samples int) *[]trainer.Reply {
	spec := trainer.StepSpec{Customer: "prairie", Step: step, Model: model, MaxTokens: 16}
	for i := range groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint(name, step, i), Samples: samples})
	}
	replies := h.submit(context.Background(), trainer.Query{Open: &trainer.OpenRequest{Trainer: name, Spec: spec}})
	h.advance(2 * time.Second)
	return replies
}

func (h *harness) fetch(ctx context.Context, name string) *[]trainer.Reply {
	return h.submit(ctx, trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
}

func (h *harness) ack(name string, d ...trainer.Delivery) *[]trainer.Reply {
	a := trainer.Acknowledgement{Customer: "prairie"}
	for _, x := range d {
		a.Groups = append(a.Groups, trainer.HeldGroup{Epoch: x.Epoch, Sequence: x.Sequence, GroupRef: trainer.GroupRef{Step: x.Step, Group: x.Group.ID}})
	}
	return h.submit(context.Background(), trainer.Query{Ack: &trainer.AckRequest{Trainer: name, Ack: a}})
}

// finishRuns ends the runs in flight with the given number of tokens.
func (h *harness) finishRuns(tokens int) {
	runs := h.runs
	h.runs = nil
	for _, run := range runs {
		run.OnDone(trainer.SampleOutcome{
			Text: "x", Tokens: make([]int32, tokens), Spans: []core.Span{{Version: 1, From: 0, To: tokens}},
		})
	}
	h.manager.Loop().RunPending()
}

func (h *harness) requireReply(what string, replies *[]trainer.Reply) trainer.Reply {
	h.t.Helper()
	if len(*replies) == 0 {
		h.t.Fatalf("%s: no reply", what)
	}
	if err := (*replies)[0].Err; err != nil {
		h.t.Fatalf("%s: %v", what, err)
	}
	return (*replies)[0]
}

// Guards against an owner that hands out deliveries or starts samples after its host was
// suspended for longer than its lease: another daemon owns the trainer since.
func TestSuspendedOwnerDoesNotUseItsLease(t *testing.T) {
	h := newHarness(t, testContract("t1"), 1)
	opened := h.open("t1", 1, 3, 1)
	h.gainLease("t1", 1)
	h.requireReply("open", opened)
	h.suspended = 2 * time.Hour
	if len(h.runs) != 1 {
		t.Fatalf("%d samples in progress, want 1", len(h.runs))
	}
	h.finishRuns(1)
	replies := h.fetch(context.Background(), "t1")
	h.advance(5 * time.Second)
	if len(h.runs) > 0 {
		t.Errorf("%d samples were started after the lease", len(h.runs))
	}
	if len(*replies) > 0 && len((*replies)[0].Deliveries) > 0 {
		t.Errorf("%d deliveries were handed out after the lease", len((*replies)[0].Deliveries))
	}
}

// Guards against a ledger that can no longer be written after a write with an
// unknown outcome, and against a former owner that gains the lease again and
// overwrites acknowledgements that another owner recorded meanwhile.
func TestLedgerIsReadAgain(t *testing.T) {
	h := newHarness(t, testContract("t1"), 8)
	opened := h.open("t1", 1, 3, 1)
	h.gainLease("t1", 1)
	h.requireReply("open", opened)
	h.finishRuns(4)
	first := h.requireReply("fetch", h.fetch(context.Background(), "t1")).Deliveries
	if len(first) != 3 {
		t.Fatalf("%d deliveries, want 3", len(first))
	}
	h.advance(2 * time.Second)
	h.nextWriteErr = platform.ErrUnknownOutcome
	acked := h.ack("t1", first[0])
	h.advance(3 * time.Second)
	h.requireReply("acknowledgement after a lost reply", acked)

	key := "rollouts/prairie/t1"
	var other map[string]any
	o := h.objects[key]
	if err := json.Unmarshal(o.Value, &other); err != nil {
		t.Fatal(err)
	}
	other["epoch"] = 2
	other["steps"].([]any)[0].(map[string]any)["acked"] = []byte{0b011} // another owner records group 1
	o.Value, _ = json.Marshal(other)
	o.Version++
	h.objects[key] = o
	h.gainLease("t1", 3)
	again := h.requireReply("fetch", h.fetch(context.Background(), "t1")).Deliveries
	if len(again) != 1 || again[0].Group.ID != 2 || again[0].Epoch != 3 {
		t.Errorf("deliveries after the lease was regained: %+v, want only group 2 in epoch 3", again)
	}
	h.requireReply("acknowledgement", h.ack("t1", again...))
	if parts := len(h.objects) - 1; parts != 0 {
		t.Errorf("%d prompt objects of a complete step were not deleted", parts)
	}
}

// Guards against a redirect to a former owner, whose ledger has an older epoch
// than the observed lease.
func TestRedirectNamesTheOwner(t *testing.T) {
	for _, c := range []struct {
		epoch int64
		want  string
	}{{7, "10.0.0.9:7300"}, {6, ""}} {
		h := newHarness(t, testContract("t1"), 8)
		value := fmt.Sprintf(`{"epoch":%d,"owner":"10.0.0.9:7300"}`, c.epoch)
		h.objects["rollouts/prairie/t1"] = platform.Object{Version: 1, Value: []byte(value)}
		replies := h.fetch(context.Background(), "t1")
		h.listeners["trainers/prairie/t1"](platform.LeaseEvent{
			Kind: platform.LeaseObserved, Holder: "other", Lease: platform.Lease{Fence: 7},
		})
		h.advance(10 * time.Second)
		if len(*replies) != 1 || (*replies)[0].Redirect != c.want || (c.want == "") != ((*replies)[0].Err != nil) {
			t.Errorf("ledger of epoch %d, lease of 7: %+v, want redirect to %q", c.epoch, *replies, c.want)
		}
	}
}

// Guards against store writes that grow with the number of samples: a step of
// 8,192 samples may cost its prompt objects and one ledger write per second.
func TestStoreWritesOfAStep(t *testing.T) {
	h := newHarness(t, testContract("t1"), 4096)
	opened := h.open("t1", 1, 1024, 8)
	h.gainLease("t1", 1)
	h.requireReply("open", opened)
	const seconds = 40
	for range seconds {
		h.finishRuns(4)
		for range 10 {
			if got := h.fetch(context.Background(), "t1"); len(*got) > 0 {
				h.ack("t1", (*got)[0].Deliveries...)
			}
		}
		h.advance(time.Second)
	}
	if s := h.manager.Stats(); s.AcknowledgedGroups != 1024 || h.writes > seconds+4 {
		t.Errorf("%d groups acknowledged with %d writes, want 1024 with at most %d", s.AcknowledgedGroups, h.writes, seconds+4)
	}
}

// Guards against a trainer that uses more than its share, memory that grows while
// a trainer does not fetch, and leases that are kept for an idle trainer.
func TestSharesAndMemoryLimit(t *testing.T) {
	c := testContract("t1", "t2")
	c.Trainers[0].SpareSamples, c.Trainers[1].SpareSamples = 0, 0
	c.Trainers[0].Share, c.Trainers[1].Share = 0.75, 0.25
	c.Freshness = core.Freshness{}
	h := newHarness(t, c, 400)
	h.refuseRuns = true // until both trainers have queued samples
	for i, name := range []string{"t1", "t2"} {
		h.submit(context.Background(), trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
		h.gainLease(name, int64(i+1))
		h.requireReply("open", h.open(name, 1, 500, 1))
	}
	h.refuseRuns = false
	h.advance(2 * time.Second)
	count := map[string]int{}
	for _, j := range h.runs {
		count[j.Request.Prompt[:2]]++
	}
	if count["t1"] < 280 || count["t1"] > 320 || count["t1"]+count["t2"] != 400 {
		t.Errorf("samples started: %v, want 300 and 100", count)
	}
	before := h.manager.Stats().RunsStarted
	// 7 samples of 16 tokens fill a trainer's half of the 4,000 bytes. The 7th of
	// t2 is the 28th to end, and each end before it makes room for one start.
	h.finishRuns(16)
	if started := h.manager.Stats().RunsStarted - before; started > 28 {
		t.Errorf("%d samples started while nobody fetches the finished ones", started)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if got := h.fetch(cancelled, "t1"); len(*got) != 0 {
		t.Errorf("a cancelled fetch received %d deliveries", len((*got)[0].Deliveries))
	}
	h.advance(11 * time.Minute)
	if len(h.released) != 2 {
		t.Errorf("leases released: %v, want both", h.released)
	}
}

// Guards against samples that are delivered without the score that the contract
// requires.
func TestScoresAreDelivered(t *testing.T) {
	c := testContract("t1")
	c.Trainers[0].SpareSamples = 0
	c.Trainers[0].Scorer = "http://scorer"
	h := newHarness(t, c, 8)
	opened := h.open("t1", 1, 1, 2)
	h.gainLease("t1", 1)
	h.requireReply("open", opened)
	h.finishRuns(4)
	fetched := h.fetch(context.Background(), "t1")
	if len(*fetched) != 0 || len(h.scoreRequests) != 2 {
		t.Fatalf("%d replies and %d samples to score, want 0 and 2", len(*fetched), len(h.scoreRequests))
	}
	h.scoreRequests[0].OnScore(scorer.Score{Value: 0.5})
	h.scoreRequests[1].OnFailure(core.NotRunError(core.CodeOverloaded, "full"))
	h.advance(2 * time.Second)
	h.finishRuns(4) // the sample whose scoring failed is run again
	h.scoreRequests[2].OnScore(scorer.Score{Value: 0.25})
	h.manager.Loop().RunPending()
	for _, sample := range h.requireReply("fetch", fetched).Deliveries[0].Group.Samples {
		if sample.Score == nil || (*sample.Score != 0.5 && *sample.Score != 0.25) {
			t.Errorf("sample %d has score %v", sample.Index, sample.Score)
		}
	}
}
