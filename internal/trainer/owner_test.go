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
	r := &harness{
		t: t, clock: duty.NewManualClock(simulationStart), objects: map[string]platform.Object{},
		listeners: map[string]func(platform.LeaseEvent){},
	}
	r.manager = trainer.New(r.clock, trainer.Options{
		RedirectAddress: func() string { return "10.0.0.1:7300" }, Runner: r, Store: r, Leases: r, Scorer: fakeScorer{r}, MaxInFlight: limit, MaxSampleBytes: 4000,
	})
	r.manager.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		contract.Customer: {Customer: contract.Customer, Version: 1, Contract: &contract},
	}})
	return r
}

type fakeScorer struct{ harness *harness }

func (s fakeScorer) Submit(r scorer.Request) bool {
	s.harness.scoreRequests = append(s.harness.scoreRequests, r)
	return true
}

func (r *harness) Start(j trainer.SampleRun) (func(), bool) {
	if r.refuseRuns {
		return nil, false
	}
	r.runs = append(r.runs, j)
	return func() {}, true
}

func (r *harness) Acquire(name string, o platform.LeaseOptions) bool {
	r.listeners[name] = o.Listener
	return true
}

func (r *harness) Release(name string) bool {
	r.released = append(r.released, name)
	return true
}

func (r *harness) Submit(op platform.Op) bool {
	o, found := r.objects[op.Key]
	switch {
	case op.Kind == platform.OpGet && !found:
		op.Reply(platform.Result{Err: platform.ErrNotFound})
	case op.Kind == platform.OpGet:
		op.Reply(platform.Result{Object: o})
	case op.IfVersion != o.Version:
		op.Reply(platform.Result{Err: platform.ErrConflict})
	case op.Kind == platform.OpDelete:
		delete(r.objects, op.Key)
		op.Reply(platform.Result{})
	default:
		r.writes++
		next := platform.Object{Key: op.Key, Version: o.Version + 1, Value: op.Value}
		r.objects[op.Key] = next
		err := r.nextWriteErr
		r.nextWriteErr = nil
		op.Reply(platform.Result{Object: next, Err: err})
	}
	return true
}

func (r *harness) gainLease(name string, fence int64) {
	r.listeners["trainers/prairie/"+name](platform.LeaseEvent{
		Kind: platform.LeaseGained, Lease: platform.Lease{Name: name, Fence: fence, Deadline: r.clock.Now().Add(time.Hour)},
	})
	r.advance(3 * time.Second)
}

func (r *harness) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		r.clock.Advance(time.Second)
		r.manager.Loop().RunPending()
	}
}

// submit submits a query. The slice that it returns receives the first reply.
func (r *harness) submit(ctx context.Context, q trainer.Query) *[]trainer.Reply {
	replies := &[]trainer.Reply{}
	r.manager.Submit(ctx, q, func(reply trainer.Reply) {
		if len(*replies) == 0 {
			*replies = append(*replies, reply)
		}
	})
	r.manager.Loop().RunPending()
	return replies
}

func (r *harness) open(name string, step int64, groups, samples int) *[]trainer.Reply {
	spec := trainer.StepSpec{Customer: "prairie", Step: step, Model: model, MaxTokens: 16}
	for i := range groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint(name, step, i), Samples: samples})
	}
	replies := r.submit(context.Background(), trainer.Query{Open: &trainer.OpenRequest{Trainer: name, Spec: spec}})
	r.advance(2 * time.Second)
	return replies
}

func (r *harness) fetch(ctx context.Context, name string) *[]trainer.Reply {
	return r.submit(ctx, trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
}

func (r *harness) ack(name string, d ...trainer.Delivery) *[]trainer.Reply {
	a := trainer.Acknowledgement{Customer: "prairie"}
	for _, x := range d {
		a.Groups = append(a.Groups, trainer.HeldGroup{Epoch: x.Epoch, Sequence: x.Sequence, GroupRef: trainer.GroupRef{Step: x.Step, Group: x.Group.ID}})
	}
	return r.submit(context.Background(), trainer.Query{Ack: &trainer.AckRequest{Trainer: name, Ack: a}})
}

// finishRuns ends the runs in flight with the given number of tokens.
func (r *harness) finishRuns(tokens int) {
	jobs := r.runs
	r.runs = nil
	for _, j := range jobs {
		j.OnDone(trainer.SampleOutcome{
			Text: "x", Tokens: make([]int32, tokens), Spans: []core.Span{{Version: 1, From: 0, To: tokens}},
		})
	}
	r.manager.Loop().RunPending()
}

func (r *harness) requireReply(what string, replies *[]trainer.Reply) trainer.Reply {
	r.t.Helper()
	if len(*replies) == 0 {
		r.t.Fatalf("%s: no reply", what)
	}
	if err := (*replies)[0].Err; err != nil {
		r.t.Fatalf("%s: %v", what, err)
	}
	return (*replies)[0]
}

// Guards against a ledger that can no longer be written after a write with an
// unknown outcome, and against a former owner that gains the lease again and
// overwrites acknowledgements that another owner recorded meanwhile.
func TestLedgerIsReadAgain(t *testing.T) {
	r := newHarness(t, testContract("t1"), 8)
	opened := r.open("t1", 1, 3, 1)
	r.gainLease("t1", 1)
	r.requireReply("open", opened)
	r.finishRuns(4)
	first := r.requireReply("fetch", r.fetch(context.Background(), "t1")).Deliveries
	if len(first) != 3 {
		t.Fatalf("%d deliveries, want 3", len(first))
	}
	r.advance(2 * time.Second)
	r.nextWriteErr = platform.ErrUnknownOutcome
	acked := r.ack("t1", first[0])
	r.advance(3 * time.Second)
	r.requireReply("acknowledgement after a lost reply", acked)

	key := "rollouts/prairie/t1"
	var other map[string]any
	o := r.objects[key]
	if err := json.Unmarshal(o.Value, &other); err != nil {
		t.Fatal(err)
	}
	other["epoch"] = 2
	other["steps"].([]any)[0].(map[string]any)["acked"] = []byte{0b011} // another owner records group 1
	o.Value, _ = json.Marshal(other)
	o.Version++
	r.objects[key] = o
	r.gainLease("t1", 3)
	again := r.requireReply("fetch", r.fetch(context.Background(), "t1")).Deliveries
	if len(again) != 1 || again[0].Group.ID != 2 || again[0].Epoch != 3 {
		t.Errorf("deliveries after the lease was regained: %+v, want only group 2 in epoch 3", again)
	}
	r.requireReply("acknowledgement", r.ack("t1", again...))
	if parts := len(r.objects) - 1; parts != 0 {
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
		r := newHarness(t, testContract("t1"), 8)
		value := fmt.Sprintf(`{"epoch":%d,"owner":"10.0.0.9:7300"}`, c.epoch)
		r.objects["rollouts/prairie/t1"] = platform.Object{Version: 1, Value: []byte(value)}
		replies := r.fetch(context.Background(), "t1")
		r.listeners["trainers/prairie/t1"](platform.LeaseEvent{
			Kind: platform.LeaseObserved, Holder: "other", Lease: platform.Lease{Fence: 7},
		})
		r.advance(10 * time.Second)
		if len(*replies) != 1 || (*replies)[0].Redirect != c.want || (c.want == "") != ((*replies)[0].Err != nil) {
			t.Errorf("ledger of epoch %d, lease of 7: %+v, want redirect to %q", c.epoch, *replies, c.want)
		}
	}
}

// Guards against store writes that grow with the number of samples: a step of
// 8,192 samples may cost its prompt objects and one ledger write per second.
func TestStoreWritesOfAStep(t *testing.T) {
	r := newHarness(t, testContract("t1"), 4096)
	opened := r.open("t1", 1, 1024, 8)
	r.gainLease("t1", 1)
	r.requireReply("open", opened)
	const seconds = 40
	for range seconds {
		r.finishRuns(4)
		for range 10 {
			if got := r.fetch(context.Background(), "t1"); len(*got) > 0 {
				r.ack("t1", (*got)[0].Deliveries...)
			}
		}
		r.advance(time.Second)
	}
	if s := r.manager.Stats(); s.AcknowledgedGroups != 1024 || r.writes > seconds+4 {
		t.Errorf("%d groups acknowledged with %d writes, want 1024 with at most %d", s.AcknowledgedGroups, r.writes, seconds+4)
	}
}

// Guards against a trainer that uses more than its share, memory that grows while
// a trainer does not fetch, and leases that are kept for an idle trainer.
func TestSharesAndMemoryLimit(t *testing.T) {
	c := testContract("t1", "t2")
	c.Trainers[0].SpareSamples, c.Trainers[1].SpareSamples = 0, 0
	c.Trainers[0].Share, c.Trainers[1].Share = 0.75, 0.25
	c.Freshness = core.Freshness{}
	r := newHarness(t, c, 400)
	r.refuseRuns = true // until both trainers have queued samples
	for i, name := range []string{"t1", "t2"} {
		r.submit(context.Background(), trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
		r.gainLease(name, int64(i+1))
		r.requireReply("open", r.open(name, 1, 500, 1))
	}
	r.refuseRuns = false
	r.advance(2 * time.Second)
	count := map[string]int{}
	for _, j := range r.runs {
		count[j.Request.Prompt[:2]]++
	}
	if count["t1"] < 280 || count["t1"] > 320 || count["t1"]+count["t2"] != 400 {
		t.Errorf("samples started: %v, want 300 and 100", count)
	}
	before := r.manager.Stats().RunsStarted
	// 7 samples of 16 tokens fill a trainer's half of the 4,000 bytes. The 7th of
	// t2 is the 28th to end, and each end before it makes room for one start.
	r.finishRuns(16)
	if started := r.manager.Stats().RunsStarted - before; started > 28 {
		t.Errorf("%d samples started while nobody fetches the finished ones", started)
	}
	gone, leave := context.WithCancel(context.Background())
	leave()
	if got := r.fetch(gone, "t1"); len(*got) != 0 {
		t.Errorf("a cancelled fetch received %d deliveries", len((*got)[0].Deliveries))
	}
	r.advance(11 * time.Minute)
	if len(r.released) != 2 {
		t.Errorf("leases released: %v, want both", r.released)
	}
}

// Guards against samples that are delivered without the score that the contract
// requires.
func TestScoresAreDelivered(t *testing.T) {
	c := testContract("t1")
	c.Trainers[0].SpareSamples = 0
	c.Trainers[0].Scorer = "http://scorer"
	r := newHarness(t, c, 8)
	opened := r.open("t1", 1, 1, 2)
	r.gainLease("t1", 1)
	r.requireReply("open", opened)
	r.finishRuns(4)
	fetched := r.fetch(context.Background(), "t1")
	if len(*fetched) != 0 || len(r.scoreRequests) != 2 {
		t.Fatalf("%d replies and %d samples to score, want 0 and 2", len(*fetched), len(r.scoreRequests))
	}
	r.scoreRequests[0].OnScore(scorer.Score{Value: 0.5})
	r.scoreRequests[1].OnFailure(core.NotRunError(core.CodeOverloaded, "full"))
	r.advance(2 * time.Second)
	r.finishRuns(4) // the sample whose scoring failed is run again
	r.scoreRequests[2].OnScore(scorer.Score{Value: 0.25})
	r.manager.Loop().RunPending()
	for _, sample := range r.requireReply("fetch", fetched).Deliveries[0].Group.Samples {
		if sample.Score == nil || (*sample.Score != 0.5 && *sample.Score != 0.25) {
			t.Errorf("sample %d has score %v", sample.Index, sample.Score)
		}
	}
}
