package platform

import (
	"errors"
	"testing"
	"time"
)

func one(t *testing.T, results *[]Result) Result {
	t.Helper()
	if len(*results) != 1 {
		t.Fatalf("%d results, want exactly 1", len(*results))
	}
	return (*results)[0]
}

// Guards against a wrong verdict on a write with a lost answer.
func TestStoreSettlesLostAnswers(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []outcome
		want     error
		version  int64 // of the object afterwards
	}{
		{"took effect", []outcome{loseAnswer}, nil, 2},
		{"never arrived", []outcome{loseCall}, nil, 2},
		{"still on its way", []outcome{carryOutLate}, nil, 2},
		{"lost twice", []outcome{loseCall, loseAnswer}, nil, 2},
		{"refused after a loss", []outcome{loseAnswer, refuse}, nil, 2},
		{"refused before a loss", []outcome{refuse, limitRate, loseCall}, nil, 2},
	}
	for _, c := range cases {
		for _, ifVersion := range []int64{1, AnyVersion} {
			rig := newStoreRig(StoreOptions{})
			_, _ = rig.api.apply(Write{Key: "k", IfVersion: Absent, Token: "first"}, false)
			rig.api.script(c.outcomes...)
			results := rig.submit(Op{Kind: OpPut, Key: "k", Value: []byte("new"), IfVersion: ifVersion})
			rig.advance(2 * time.Second)
			rig.api.late()
			if r := one(t, results); !errors.Is(r.Err, c.want) {
				t.Errorf("%s, condition %d: error %v, want %v", c.name, ifVersion, r.Err, c.want)
			}
			if o := rig.api.objects["k"]; o.Version != c.version || string(o.Value) != "new" {
				t.Errorf("%s, condition %d: object at version %d with %q", c.name, ifVersion, o.Version, o.Value)
			}
			if s := rig.store.Stats(); s.Reconciling != 0 || s.Waiting != 0 {
				t.Errorf("%s: counters %+v", c.name, s)
			}
		}
	}
}

// Guards against a claim that a write had no effect, or had one, when another
// write hides the answer.
func TestStoreReportsSupersededWriteAsUnknown(t *testing.T) {
	for _, lost := range []outcome{loseAnswer, loseCall} {
		rig := newStoreRig(StoreOptions{})
		_, _ = rig.api.apply(Write{Key: "k", IfVersion: Absent}, false)
		rig.api.script(lost)
		results := rig.submit(Op{Kind: OpPut, Key: "k", IfVersion: 1})
		rig.pool.run()
		_, _ = rig.api.apply(Write{Key: "k", IfVersion: AnyVersion, Token: "other"}, false)
		rig.advance(time.Second)
		if r := one(t, results); !errors.Is(r.Err, ErrUnknownOutcome) {
			t.Errorf("outcome %d: error %v, want unknown", lost, r.Err)
		}
	}
}

// Guards against a create that is carried out twice because a delete came
// between, and against a delete whose tombstone is not recognised.
func TestStoreSettlesCreateAndDelete(t *testing.T) {
	rig := newStoreRig(StoreOptions{})
	rig.api.script(loseAnswer)
	created := rig.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent})
	rig.pool.run()
	_, _ = rig.api.apply(Write{Key: "k", IfVersion: AnyVersion, Token: "other"}, true)
	rig.advance(time.Second)
	if r := one(t, created); !errors.Is(r.Err, ErrUnknownOutcome) || !rig.api.objects["k"].Deleted {
		t.Fatalf("create: %v, object %+v", r.Err, rig.api.objects["k"])
	}
	_, _ = rig.api.apply(Write{Key: "k", IfVersion: Absent}, false)
	rig.api.script(loseAnswer)
	deleted := rig.submit(Op{Kind: OpDelete, Key: "k", IfVersion: 3})
	rig.advance(time.Second)
	if r := one(t, deleted); r.Err != nil || !r.Object.Deleted {
		t.Fatalf("delete: %+v", r)
	}
}

// Guards against a write that overtakes an earlier unsettled write to its key.
func TestStoreOrdersWritesOfOneKey(t *testing.T) {
	rig := newStoreRig(StoreOptions{})
	rig.api.script(carryOutLate)
	first := rig.submit(Op{Kind: OpPut, Key: "k", Value: []byte("1"), IfVersion: Absent})
	second := rig.submit(Op{Kind: OpPut, Key: "k", Value: []byte("2"), IfVersion: 1})
	other := rig.submit(Op{Kind: OpPut, Key: "other", IfVersion: Absent})
	rig.pool.run()
	rig.store.Loop().RunPending()
	if len(*second) != 0 || one(t, other).Err != nil {
		t.Fatal("the second write did not wait, or a write to another key did")
	}
	rig.advance(time.Second)
	if one(t, first).Err != nil || one(t, second).Err != nil || string(rig.api.objects["k"].Value) != "2" {
		t.Fatalf("first %v, second %v, value %q", (*first)[0].Err, (*second)[0].Err, rig.api.objects["k"].Value)
	}
}

// Guards against operations that wait for ever, and against a claim of "nothing
// changed" while a sent write is unsettled.
func TestStoreDeadlines(t *testing.T) {
	rig := newStoreRig(StoreOptions{ReconcileTimeout: 3 * time.Second})
	rig.api.script(loseCall)
	lost := rig.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent})
	rig.settle()
	rig.api.choose = func(bool) outcome { return refuse }
	behind := rig.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent, Timeout: time.Second})
	read := rig.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Second})
	rig.advance(1200 * time.Millisecond)
	for _, results := range []*[]Result{behind, read} {
		if r := one(t, results); !errors.Is(r.Err, ErrQueueDeadline) || !errors.Is(r.Err, ErrUnavailable) {
			t.Errorf("error %v, want the deadline", r.Err)
		}
	}
	rig.advance(6 * time.Second)
	if r := one(t, lost); !errors.Is(r.Err, ErrUnknownOutcome) {
		t.Errorf("lost write: %v, want unknown", r.Err)
	}
	if s := rig.store.Stats(); s.Waiting != 0 || s.Unknown != 1 || s.Refused != 2 {
		t.Errorf("counters %+v", s)
	}
}

// Guards against a flood of calls on a store that is down, and against a store
// that stays unused after it is back.
func TestStoreBacksOffAndReturns(t *testing.T) {
	rig := newStoreRig(StoreOptions{})
	rig.api.choose = func(bool) outcome { return refuse }
	var all []*[]Result
	for range 100 {
		all = append(all, rig.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute}))
	}
	rig.settle()
	first := len(rig.api.calls)
	rig.advance(10 * time.Second)
	// Delays grow to at least 1 s, so 10 s hold at most 5 short steps and 10 long ones.
	if probes := len(rig.api.calls) - first; probes < 5 || probes > 15 {
		t.Errorf("%d calls in 10 s of outage, want 5 to 15", probes)
	}
	rig.api.choose = func(bool) outcome { return carryOut }
	rig.advance(storeRetryLongest + time.Second)
	for _, results := range all {
		if r := one(t, results); !errors.Is(r.Err, ErrNotFound) {
			t.Fatalf("after the outage: %v", r.Err)
		}
	}
}

// Guards against calls above the budget, writes that hold up reads, leases
// that wait behind other work, and a queue without bound.
func TestStoreBudgetPriorityAndBound(t *testing.T) {
	rig := newStoreRig(StoreOptions{
		Budget:        NewBudget(BudgetOptions{ReadsPerSecond: 100, WritesPerSecond: 10}),
		QueueCapacity: 200,
	})
	var all []*[]Result
	for range 200 {
		all = append(all, rig.submit(Op{Kind: OpPut, Key: "k" + string(rune(len(all))), IfVersion: Absent, Timeout: time.Minute}))
	}
	if r := one(t, rig.submit(Op{Kind: OpGet, Key: "x"})); !errors.Is(r.Err, ErrQueueFull) {
		t.Fatalf("queue over its bound: %v", r.Err)
	}
	rig.settle()
	burst := len(rig.api.calls)
	rig.advance(10 * time.Second)
	if writes := len(rig.api.calls) - burst; burst > 20 || writes < 95 || writes > 101 {
		t.Fatalf("%d writes at once and %d in 10 s, want at most 20 and about 100", burst, writes)
	}
	read := rig.submit(Op{Kind: OpGet, Key: "x"})
	lease := rig.submit(Op{Kind: OpPut, Key: "leases/a", IfVersion: Absent, Urgent: true})
	rig.settle()
	if len(*read) != 1 || len(*lease) != 1 {
		t.Fatal("a read or a lease waits behind writes")
	}
}
