package platform

import (
	"context"
	"errors"
	"maps"
	"strings"
	"testing"
	"time"
)

func onlyResult(t *testing.T, results *[]Result) Result {
	t.Helper()
	if len(*results) != 1 {
		t.Fatalf("%d results, want exactly 1", len(*results))
	}
	return (*results)[0]
}

// Guards against a wrong outcome of a write with a lost answer.
func TestStoreReconcilesLostAnswers(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []callOutcome
		want     error
		version  int64 // of the object afterwards
	}{
		{"took effect", []callOutcome{applyAndLoseAnswer}, nil, 2},
		{"never arrived", []callOutcome{dropCall}, nil, 2},
		{"still in flight", []callOutcome{applyLate}, nil, 2},
		{"lost twice", []callOutcome{dropCall, applyAndLoseAnswer}, nil, 2},
		{"rejected after a loss", []callOutcome{applyAndLoseAnswer, rejectUnavailable}, nil, 2},
		{"rejected before a loss", []callOutcome{rejectUnavailable, rejectRateLimited, dropCall}, nil, 2},
	}
	for _, c := range cases {
		for _, ifVersion := range []int64{1, AnyVersion} {
			f := newStoreFixture(StoreOptions{})
			_, _ = f.api.apply(Write{Key: "k", IfVersion: Absent, Token: "first"}, false)
			f.api.scriptWrites(c.outcomes...)
			results := f.submit(Op{Kind: OpPut, Key: "k", Value: []byte("new"), IfVersion: ifVersion})
			f.advance(2 * time.Second)
			f.api.applyDelayed()
			if r := onlyResult(t, results); !errors.Is(r.Err, c.want) {
				t.Errorf("%s, condition %d: error %v, want %v", c.name, ifVersion, r.Err, c.want)
			}
			if o := f.api.objects["k"]; o.Version != c.version || string(o.Value) != "new" {
				t.Errorf("%s, condition %d: object at version %d with %q", c.name, ifVersion, o.Version, o.Value)
			}
			if s := f.store.Stats(); s.Reconciling != 0 || s.Waiting != 0 {
				t.Errorf("%s: counters %+v", c.name, s)
			}
		}
	}
}

// Guards against a definite outcome of a write with a lost answer when another
// write has replaced the object.
func TestStoreReportsSupersededWriteAsUnknown(t *testing.T) {
	for _, lost := range []callOutcome{applyAndLoseAnswer, dropCall} {
		f := newStoreFixture(StoreOptions{})
		_, _ = f.api.apply(Write{Key: "k", IfVersion: Absent}, false)
		f.api.scriptWrites(lost)
		results := f.submit(Op{Kind: OpPut, Key: "k", IfVersion: 1})
		f.pool.run()
		_, _ = f.api.apply(Write{Key: "k", IfVersion: AnyVersion, Token: "other"}, false)
		f.advance(time.Second)
		if r := onlyResult(t, results); !errors.Is(r.Err, ErrUnknownOutcome) {
			t.Errorf("outcome %d: error %v, want unknown", lost, r.Err)
		}
	}
}

// Guards against a create that is executed twice because the object was deleted in
// between, and against a delete whose tombstone is not recognised.
func TestStoreReconcilesCreateAndDelete(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	f.api.scriptWrites(applyAndLoseAnswer)
	created := f.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent})
	f.pool.run()
	_, _ = f.api.apply(Write{Key: "k", IfVersion: AnyVersion, Token: "other"}, true)
	f.advance(time.Second)
	if r := onlyResult(t, created); !errors.Is(r.Err, ErrUnknownOutcome) || !f.api.objects["k"].Deleted {
		t.Fatalf("create: %v, object %+v", r.Err, f.api.objects["k"])
	}
	_, _ = f.api.apply(Write{Key: "k", IfVersion: Absent}, false)
	f.api.scriptWrites(applyAndLoseAnswer)
	deleted := f.submit(Op{Kind: OpDelete, Key: "k", IfVersion: 3})
	f.advance(time.Second)
	if r := onlyResult(t, deleted); r.Err != nil || !r.Object.Deleted {
		t.Fatalf("delete: %+v", r)
	}
}

// contradictingAPI loses the answer to a create, then says that the object exists and that
// it does not.
type contradictingAPI struct{ *fakeAPI }

func (a contradictingAPI) Put(_ context.Context, w Write) (Object, error) {
	a.calls = append(a.calls, "put "+w.Key)
	if len(a.calls) == 1 {
		return Object{}, ErrUnknownOutcome
	}
	return Object{}, ErrConflict
}

// Guards against writing and reading without a pause while the answers of the store
// contradict each other.
func TestContradictingAnswersAreNotAskedForWithoutAPause(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	f.store.api = contradictingAPI{f.api}
	results := f.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent})
	f.advance(defaultReconcileTimeout + time.Second)
	if r := onlyResult(t, results); !errors.Is(r.Err, ErrUnknownOutcome) {
		t.Errorf("outcome: %v", r.Err)
	}
	if n := len(f.api.calls); n > 30 {
		t.Errorf("%d calls of the store in %v", n, defaultReconcileTimeout)
	}
}

// Guards against a write that overtakes an earlier write to its key whose outcome
// is unknown.
func TestStoreOrdersWritesOfOneKey(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	f.api.scriptWrites(applyLate)
	first := f.submit(Op{Kind: OpPut, Key: "k", Value: []byte("1"), IfVersion: Absent})
	second := f.submit(Op{Kind: OpPut, Key: "k", Value: []byte("2"), IfVersion: 1})
	other := f.submit(Op{Kind: OpPut, Key: "other", IfVersion: Absent})
	f.pool.run()
	f.store.Loop().RunPending()
	if len(*second) != 0 || onlyResult(t, other).Err != nil {
		t.Fatal("the second write did not wait, or a write to another key did")
	}
	f.advance(time.Second)
	if onlyResult(t, first).Err != nil || onlyResult(t, second).Err != nil || string(f.api.objects["k"].Value) != "2" {
		t.Fatalf("first %v, second %v, value %q", (*first)[0].Err, (*second)[0].Err, f.api.objects["k"].Value)
	}
}

// Guards against operations that wait forever, and against ErrUnavailable for a
// write that was sent and may have taken effect.
func TestStoreDeadlines(t *testing.T) {
	f := newStoreFixture(StoreOptions{ReconcileTimeout: 3 * time.Second})
	f.api.scriptWrites(dropCall)
	lost := f.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent})
	f.runAll()
	f.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
	queued := f.submit(Op{Kind: OpPut, Key: "k", IfVersion: Absent, Timeout: time.Second})
	read := f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Second})
	f.advance(1200 * time.Millisecond)
	for _, results := range []*[]Result{queued, read} {
		if r := onlyResult(t, results); !errors.Is(r.Err, ErrQueueDeadline) || !errors.Is(r.Err, ErrUnavailable) {
			t.Errorf("error %v, want the deadline", r.Err)
		}
	}
	f.advance(6 * time.Second)
	if r := onlyResult(t, lost); !errors.Is(r.Err, ErrUnknownOutcome) {
		t.Errorf("lost write: %v, want unknown", r.Err)
	}
	if s := f.store.Stats(); s.Waiting != 0 || s.Unknown != 1 || s.Refused != 2 {
		t.Errorf("counters %+v", s)
	}
}

// Guards against a high call rate to a store that is down, and against a store that
// is not used after it has recovered.
func TestStoreBacksOffAndRecovers(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	f.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
	var all []*[]Result
	for range 100 {
		all = append(all, f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute}))
	}
	f.runAll()
	first := len(f.api.calls)
	f.advance(10 * time.Second)
	// Delays grow to at least 1 s, so 10 s have at most 5 short and 10 long delays.
	if probes := len(f.api.calls) - first; probes < 5 || probes > 15 {
		t.Errorf("%d calls in 10 s of outage, want 5 to 15", probes)
	}
	f.api.chooseOutcome = func(bool) callOutcome { return applyCall }
	f.advance(maxStoreRetryDelay + time.Second)
	for _, results := range all {
		if r := onlyResult(t, results); !errors.Is(r.Err, ErrNotFound) {
			t.Fatalf("after the outage: %v", r.Err)
		}
	}
}

// Guards against calls above the budget, writes that delay reads, lease operations
// that wait behind others, and an unbounded queue.
func TestStoreBudgetPriorityAndCapacity(t *testing.T) {
	f := newStoreFixture(StoreOptions{
		Budget:        NewBudget(BudgetOptions{ReadsPerSecond: 100, WritesPerSecond: 10}),
		QueueCapacity: 200,
	})
	var all []*[]Result
	for range 200 {
		all = append(all, f.submit(Op{Kind: OpPut, Key: "k" + string(rune(len(all))), IfVersion: Absent, Timeout: time.Minute}))
	}
	if r := onlyResult(t, f.submit(Op{Kind: OpGet, Key: "x"})); !errors.Is(r.Err, ErrQueueFull) {
		t.Fatalf("queue above its capacity: %v", r.Err)
	}
	f.runAll()
	burst := len(f.api.calls)
	f.advance(10 * time.Second)
	if writes := len(f.api.calls) - burst; burst > 20 || writes < 95 || writes > 101 {
		t.Fatalf("%d writes at once and %d in 10 s, want at most 20 and about 100", burst, writes)
	}
	read := f.submit(Op{Kind: OpGet, Key: "x"})
	lease := f.submit(Op{Kind: OpPut, Key: "leases/a", IfVersion: Absent, Urgent: true})
	f.runAll()
	if len(*read) != 1 || len(*lease) != 1 {
		t.Fatal("a read or a lease operation waits behind writes")
	}
}

// Guards against refused operations of which neither the error nor the counters nor the
// report say what refused them, and against a report for each of them.
func TestStoreSaysWhatRefusedAnOperation(t *testing.T) {
	f := newStoreFixture(StoreOptions{QueueCapacity: 2})
	var reports []Refusals
	f.store.OnRefusals(func(r Refusals) { reports = append(reports, r) })
	f.submit(Op{Kind: OpPut, Key: "k", Value: make([]byte, MaxValueBytes+1)})
	f.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
	now := f.clock.Now()
	f.store.ReportCall(CallEnd{Started: now, Ended: now, Err: ErrUnavailable, IsPing: true})
	f.submit(Op{Kind: OpGet, Key: "k", Timeout: 500 * time.Millisecond})
	f.clock.Advance(20 * time.Millisecond)
	for range 3 {
		r := onlyResult(t, f.submit(Op{Kind: OpGet, Key: "k", FailFast: true}))
		if !errors.Is(r.Err, ErrStoreDown) || !strings.Contains(r.Err.Error(), "20ms (ping failed)") {
			t.Errorf("error %v, want that the store is down for 20 ms by a failed ping", r.Err)
		}
	}
	f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute})
	f.submit(Op{Kind: OpGet, Key: "k"})
	f.advance(1100 * time.Millisecond)
	want := map[RefusalReason]int64{RefusedTooLarge: 1, RefusedStoreDown: 3, RefusedQueueFull: 1, RefusedDeadline: 1}
	if len(reports) != 1 || !maps.Equal(reports[0].Counts, want) || reports[0].DownFor <= 0 || reports[0].Outage != ReasonPingFailed {
		t.Errorf("reports %+v, want one with %v", reports, want)
	}
	if s := f.store.Stats(); !maps.Equal(s.RefusedBy, want) || s.Refused != 6 || s.DownFor != f.clock.Now().Sub(now) {
		t.Errorf("counters %+v", s)
	}
}

// Guards against operations that fail fast and yet wait for their whole time while the
// store refuses this daemon's calls and answers only its pings.
func TestFailFastWhileOnlyPingsAreAnswered(t *testing.T) {
	for name, outcome := range map[string]callOutcome{"unavailable": rejectUnavailable, "rate limit": rejectRateLimited} {
		f := newStoreFixture(StoreOptions{})
		f.api.chooseOutcome = func(bool) callOutcome { return outcome }
		f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute})
		f.advance(3 * time.Second)
		longest := time.Duration(0)
		for range 50 {
			f.store.ReportCall(CallEnd{Started: f.clock.Now(), Ended: f.clock.Now(), IsPing: true})
			started := f.clock.Now()
			read := f.submit(Op{Kind: OpGet, Key: "x", FailFast: true, Timeout: 1500 * time.Millisecond})
			for len(*read) == 0 && f.clock.Now().Sub(started) < 5*time.Second {
				f.advance(10 * time.Millisecond)
			}
			longest = max(longest, f.clock.Now().Sub(started))
			f.advance(200 * time.Millisecond)
		}
		t.Logf("%s: longest wait %v", name, longest)
		if longest > time.Second {
			t.Errorf("%s: an operation that fails fast waited for %v", name, longest)
		}
	}
}
