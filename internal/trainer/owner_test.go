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

// rig is one trainer duty on fakes at its interfaces.
type rig struct {
	t         testing.TB
	clock     *duty.ManualClock
	duty      *trainer.Manager
	objects   map[string]platform.Object
	err       error // of the next write, which takes effect
	writes    int
	listeners map[string]func(platform.LeaseEvent)
	released  []string
	jobs      []trainer.SampleRun
	refuse    bool // no room at the engines
	scores    []scorer.Request
}

func newRig(t testing.TB, contract core.Contract, limit int) *rig {
	r := &rig{
		t: t, clock: duty.NewManualClock(worldStart), objects: map[string]platform.Object{},
		listeners: map[string]func(platform.LeaseEvent){},
	}
	r.duty = trainer.New(r.clock, trainer.Options{
		RedirectAddress: func() string { return "10.0.0.1:7300" }, Runner: r, Store: r, Leases: r, Scorer: scoreRig{r}, MaxInFlight: limit, MaxSampleBytes: 4000,
	})
	r.duty.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		contract.Customer: {Customer: contract.Customer, Version: 1, Contract: &contract},
	}})
	return r
}

type scoreRig struct{ r *rig }

func (s scoreRig) Submit(r scorer.Request) bool {
	s.r.scores = append(s.r.scores, r)
	return true
}

func (r *rig) Start(j trainer.SampleRun) (func(), bool) {
	if r.refuse {
		return nil, false
	}
	r.jobs = append(r.jobs, j)
	return func() {}, true
}

func (r *rig) Acquire(name string, o platform.LeaseOptions) bool {
	r.listeners[name] = o.Listener
	return true
}

func (r *rig) Release(name string) bool {
	r.released = append(r.released, name)
	return true
}

func (r *rig) Submit(op platform.Op) bool {
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
		err := r.err
		r.err = nil
		op.Reply(platform.Result{Object: next, Err: err})
	}
	return true
}

func (r *rig) own(name string, fence int64) {
	r.listeners["trainers/prairie/"+name](platform.LeaseEvent{
		Kind: platform.LeaseGained, Lease: platform.Lease{Name: name, Fence: fence, Deadline: r.clock.Now().Add(time.Hour)},
	})
	r.advance(3 * time.Second)
}

func (r *rig) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		r.clock.Advance(time.Second)
		r.duty.Loop().RunPending()
	}
}

// ask returns where the first reply will be.
func (r *rig) ask(ctx context.Context, q trainer.Query) *[]trainer.Reply {
	replies := &[]trainer.Reply{}
	r.duty.Submit(ctx, q, func(reply trainer.Reply) {
		if len(*replies) == 0 {
			*replies = append(*replies, reply)
		}
	})
	r.duty.Loop().RunPending()
	return replies
}

func (r *rig) open(name string, step int64, groups, samples int) *[]trainer.Reply {
	spec := trainer.StepSpec{Customer: "prairie", Step: step, Model: model, MaxTokens: 16}
	for i := range groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint(name, step, i), Samples: samples})
	}
	replies := r.ask(context.Background(), trainer.Query{Open: &trainer.OpenRequest{Trainer: name, Spec: spec}})
	r.advance(2 * time.Second)
	return replies
}

func (r *rig) fetch(ctx context.Context, name string) *[]trainer.Reply {
	return r.ask(ctx, trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
}

func (r *rig) ack(name string, d ...trainer.Delivery) *[]trainer.Reply {
	a := trainer.Acknowledgement{Customer: "prairie"}
	for _, x := range d {
		a.Groups = append(a.Groups, trainer.HeldGroup{Epoch: x.Epoch, Sequence: x.Sequence, GroupRef: trainer.GroupRef{Step: x.Step, Group: x.Group.ID}})
	}
	return r.ask(context.Background(), trainer.Query{Ack: &trainer.AckRequest{Trainer: name, Ack: a}})
}

// finish ends the runs that were started, with the number of tokens.
func (r *rig) finish(tokens int) {
	jobs := r.jobs
	r.jobs = nil
	for _, j := range jobs {
		j.OnDone(trainer.SampleOutcome{
			Text: "x", Tokens: make([]int32, tokens), Spans: []core.Span{{Version: 1, From: 0, To: tokens}},
		})
	}
	r.duty.Loop().RunPending()
}

func (r *rig) want(what string, replies *[]trainer.Reply) trainer.Reply {
	r.t.Helper()
	if len(*replies) == 0 {
		r.t.Fatalf("%s: no reply", what)
	}
	if err := (*replies)[0].Err; err != nil {
		r.t.Fatalf("%s: %v", what, err)
	}
	return (*replies)[0]
}

// Guards against a ledger that cannot be written any more once the outcome of a
// write is unknown, and against a former owner that comes back and overwrites
// acknowledgements made with another owner in between.
func TestLedgerIsReadAgain(t *testing.T) {
	r := newRig(t, testContract("t1"), 8)
	opened := r.open("t1", 1, 3, 1)
	r.own("t1", 1)
	r.want("open", opened)
	r.finish(4)
	first := r.want("fetch", r.fetch(context.Background(), "t1")).Deliveries
	if len(first) != 3 {
		t.Fatalf("%d deliveries, want 3", len(first))
	}
	r.advance(2 * time.Second)
	r.err = platform.ErrUnknownOutcome
	acked := r.ack("t1", first[0])
	r.advance(3 * time.Second)
	r.want("acknowledgement after a lost answer", acked)

	key := "rollouts/prairie/t1"
	var other map[string]any
	o := r.objects[key]
	if err := json.Unmarshal(o.Value, &other); err != nil {
		t.Fatal(err)
	}
	other["epoch"] = 2
	other["steps"].([]any)[0].(map[string]any)["acked"] = []byte{0b011} // another owner adds group 1
	o.Value, _ = json.Marshal(other)
	o.Version++
	r.objects[key] = o
	r.own("t1", 3)
	again := r.want("fetch", r.fetch(context.Background(), "t1")).Deliveries
	if len(again) != 1 || again[0].Group.ID != 2 || again[0].Epoch != 3 {
		t.Errorf("deliveries after coming back: %+v, want only group 2 in epoch 3", again)
	}
	r.want("acknowledgement", r.ack("t1", again...))
	if parts := len(r.objects) - 1; parts != 0 {
		t.Errorf("%d part objects are left of a complete step", parts)
	}
}

// Guards against a redirect to a former owner: its ledger has an older epoch
// than the lease's.
func TestRedirectNamesTheOwner(t *testing.T) {
	for _, c := range []struct {
		epoch int64
		want  string
	}{{7, "10.0.0.9:7300"}, {6, ""}} {
		r := newRig(t, testContract("t1"), 8)
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

// Guards against store writes that grow with samples: a step of 8,192 samples
// may cost its part objects and one ledger write per second.
func TestStoreWritesOfAStep(t *testing.T) {
	r := newRig(t, testContract("t1"), 4096)
	opened := r.open("t1", 1, 1024, 8)
	r.own("t1", 1)
	r.want("open", opened)
	const seconds = 40
	for range seconds {
		r.finish(4)
		for range 10 {
			if got := r.fetch(context.Background(), "t1"); len(*got) > 0 {
				r.ack("t1", (*got)[0].Deliveries...)
			}
		}
		r.advance(time.Second)
	}
	if s := r.duty.Stats(); s.AcknowledgedGroups != 1024 || r.writes > seconds+4 {
		t.Errorf("%d groups acknowledged with %d writes, want 1024 with at most %d", s.AcknowledgedGroups, r.writes, seconds+4)
	}
}

// Guards against a trainer that takes more than its share, memory that grows
// while a trainer does not fetch, and work for a trainer that has left.
func TestSharesAndFlow(t *testing.T) {
	c := testContract("t1", "t2")
	c.Trainers[0].SpareSamples, c.Trainers[1].SpareSamples = 0, 0
	c.Trainers[0].Share, c.Trainers[1].Share = 0.75, 0.25
	c.Freshness = core.Freshness{}
	r := newRig(t, c, 400)
	r.refuse = true // until both trainers have work
	for i, name := range []string{"t1", "t2"} {
		r.ask(context.Background(), trainer.Query{Fetch: &trainer.FetchRequest{Trainer: name, Customer: "prairie"}})
		r.own(name, int64(i+1))
		r.want("open", r.open(name, 1, 500, 1))
	}
	r.refuse = false
	r.advance(2 * time.Second)
	count := map[string]int{}
	for _, j := range r.jobs {
		count[j.Request.Prompt[:2]]++
	}
	if count["t1"] < 280 || count["t1"] > 320 || count["t1"]+count["t2"] != 400 {
		t.Errorf("samples started: %v, want 300 and 100", count)
	}
	before := r.duty.Stats().RunsStarted
	// 7 samples of 16 tokens fill a trainer's half of the 4,000 bytes. The 7th of
	// t2 is the 28th to end, and each end before it makes room for one start.
	r.finish(16)
	if started := r.duty.Stats().RunsStarted - before; started > 28 {
		t.Errorf("%d samples started while nobody fetches the finished ones", started)
	}
	gone, leave := context.WithCancel(context.Background())
	leave()
	if got := r.fetch(gone, "t1"); len(*got) != 0 {
		t.Errorf("a trainer that went away got %d deliveries", len((*got)[0].Deliveries))
	}
	r.advance(11 * time.Minute)
	if len(r.released) != 2 {
		t.Errorf("leases released: %v, want both", r.released)
	}
}

// Guards against samples delivered without the score that the contract asks for.
func TestScoresAreDelivered(t *testing.T) {
	c := testContract("t1")
	c.Trainers[0].SpareSamples = 0
	c.Trainers[0].Scorer = "http://scorer"
	r := newRig(t, c, 8)
	opened := r.open("t1", 1, 1, 2)
	r.own("t1", 1)
	r.want("open", opened)
	r.finish(4)
	fetched := r.fetch(context.Background(), "t1")
	if len(*fetched) != 0 || len(r.scores) != 2 {
		t.Fatalf("%d replies and %d samples to score, want 0 and 2", len(*fetched), len(r.scores))
	}
	r.scores[0].OnScore(scorer.Score{Value: 0.5})
	r.scores[1].OnFailure(core.NotRunError(core.CodeOverloaded, "full"))
	r.advance(2 * time.Second)
	r.finish(4) // the sample that was refused is run again
	r.scores[2].OnScore(scorer.Score{Value: 0.25})
	r.duty.Loop().RunPending()
	for _, sample := range r.want("fetch", fetched).Deliveries[0].Group.Samples {
		if sample.Score == nil || (*sample.Score != 0.5 && *sample.Score != 0.25) {
			t.Errorf("sample %d has score %v", sample.Index, sample.Score)
		}
	}
}
