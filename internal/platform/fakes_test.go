package platform

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// manualPool keeps calls until the test runs them, so that the test controls when a
// call reaches the store.
type manualPool struct{ calls []func() }

func (p *manualPool) TryGo(f func()) bool {
	p.calls = append(p.calls, f)
	return true
}

// run makes the waiting calls and returns their number.
func (p *manualPool) run() int {
	calls := p.calls
	p.calls = nil
	for _, f := range calls {
		f()
	}
	return len(calls)
}

// callOutcome is the effect of a call on the fake store.
type callOutcome int

const (
	applyCall callOutcome = iota
	applyAndLoseAnswer
	dropCall
	applyLate // the answer is lost, the call takes effect at the next applyDelayed
	rejectUnavailable
	rejectRateLimited
)

// fakeAPI is an in-memory object API. chooseOutcome decides each call.
type fakeAPI struct {
	objects       map[string]Object
	changes       []Object
	revision      int64
	compacted     int64
	delayed       []func()
	chooseOutcome func(write bool) callOutcome
	calls         []string
	sent          []Write
	watch         func(after int64) (Listing, error)
}

func newFakeAPI() *fakeAPI {
	return &fakeAPI{objects: map[string]Object{}, chooseOutcome: func(bool) callOutcome { return applyCall }}
}

// scriptWrites sets the outcomes of the next writes. All other calls succeed.
func (f *fakeAPI) scriptWrites(outcomes ...callOutcome) {
	f.chooseOutcome = func(write bool) callOutcome {
		if !write || len(outcomes) == 0 {
			return applyCall
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
}

// applyDelayed applies the writes that were delayed in the network.
func (f *fakeAPI) applyDelayed() {
	for _, apply := range f.delayed {
		apply()
	}
	f.delayed = nil
}

func (f *fakeAPI) Get(_ context.Context, key string) (Object, error) {
	f.calls = append(f.calls, "get "+key)
	if err := readError(f.chooseOutcome(false)); err != nil {
		return Object{}, err
	}
	if o, ok := f.objects[key]; ok && !o.Deleted {
		return o, nil
	}
	return Object{}, ErrNotFound
}

func (f *fakeAPI) Find(_ context.Context, key string) (Object, error) {
	f.calls = append(f.calls, "find "+key)
	if err := readError(f.chooseOutcome(false)); err != nil {
		return Object{}, err
	}
	return f.objects[key], nil
}

func (f *fakeAPI) List(_ context.Context, prefix string) (Listing, error) {
	f.calls = append(f.calls, "list "+prefix)
	if err := readError(f.chooseOutcome(false)); err != nil {
		return Listing{}, err
	}
	l := Listing{Revision: f.revision}
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) && key != prefix {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

func readError(o callOutcome) error {
	switch o {
	case rejectUnavailable:
		return ErrUnavailable
	case rejectRateLimited:
		return ErrRateLimited
	case applyAndLoseAnswer, dropCall, applyLate:
		return ErrUnknownOutcome
	default:
		return nil
	}
}

func (f *fakeAPI) Put(_ context.Context, w Write) (Object, error) {
	f.calls = append(f.calls, "put "+w.Key)
	return f.change(w, false)
}

func (f *fakeAPI) Delete(_ context.Context, w Write) (Object, error) {
	f.calls = append(f.calls, "delete "+w.Key)
	return f.change(w, true)
}

func (f *fakeAPI) change(w Write, deleted bool) (Object, error) {
	f.sent = append(f.sent, w)
	switch o := f.chooseOutcome(true); o {
	case applyCall:
		return f.apply(w, deleted)
	case applyAndLoseAnswer:
		_, _ = f.apply(w, deleted)
	case applyLate:
		f.delayed = append(f.delayed, func() { _, _ = f.apply(w, deleted) })
	case rejectUnavailable, rejectRateLimited:
		return Object{}, readError(o)
	}
	return Object{}, ErrUnknownOutcome
}

func (f *fakeAPI) apply(w Write, deleted bool) (Object, error) {
	current := f.objects[w.Key]
	live := current.Version
	if current.Deleted {
		live = Absent
	}
	if w.IfVersion != AnyVersion && w.IfVersion != live {
		return Object{}, ErrConflict
	}
	f.revision++
	next := Object{
		Key: w.Key, Version: current.Version + 1, Revision: f.revision,
		Token: w.Token, Value: w.Value, Deleted: deleted,
	}
	f.objects[w.Key] = next
	f.changes = append(f.changes, next)
	return next, nil
}

func (f *fakeAPI) Watch(_ context.Context, prefix string, after int64) (Listing, error) {
	f.calls = append(f.calls, "watch "+prefix)
	if f.watch != nil {
		return f.watch(after)
	}
	if err := readError(f.chooseOutcome(false)); err != nil {
		return Listing{}, err
	}
	if after < f.compacted {
		return Listing{}, ErrCompacted
	}
	l := Listing{Revision: f.revision}
	for _, o := range f.changes {
		if o.Revision > after && strings.HasPrefix(o.Key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

// storeFixture is a store duty whose calls, clock and loop the test controls.
type storeFixture struct {
	api   *fakeAPI
	clock *duty.ManualClock
	pool  *manualPool
	store *Store
}

func newStoreFixture(o StoreOptions) *storeFixture {
	f := &storeFixture{api: newFakeAPI(), clock: duty.NewManualClock(testStart), pool: &manualPool{}}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
	if o.Budget == nil {
		o.Budget = NewBudget(BudgetOptions{ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	}
	f.store = NewStoreWithOptions(f.clock, f.api, f.pool, o)
	return f
}

// submit returns the slice that the result is appended to.
func (f *storeFixture) submit(op Op) *[]Result {
	results := &[]Result{}
	op.Reply = func(r Result) { *results = append(*results, r) }
	f.store.Submit(op)
	f.store.Loop().RunPending()
	return results
}

// runAll runs the loop and the calls until nothing is left to do at this time.
func (f *storeFixture) runAll() {
	for f.store.Loop().RunPending()+f.pool.run() > 0 {
	}
}

// advance moves the clock in small steps and makes all calls at each.
func (f *storeFixture) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for ; d > 0; d -= step {
		f.runAll()
		f.clock.Advance(step)
	}
	f.runAll()
}
