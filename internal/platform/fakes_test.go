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

// heldPool keeps calls until the test runs them, so that the test decides when
// a call reaches the store.
type heldPool struct{ calls []func() }

func (p *heldPool) TryGo(f func()) bool {
	p.calls = append(p.calls, f)
	return true
}

// run makes the calls that wait and returns how many there were.
func (p *heldPool) run() int {
	calls := p.calls
	p.calls = nil
	for _, f := range calls {
		f()
	}
	return len(calls)
}

// outcome is what the fake store does with a call.
type outcome int

const (
	carryOut outcome = iota
	loseAnswer
	loseCall
	carryOutLate // the answer is lost, the call takes effect at the next late()
	refuse
	limitRate
)

// fakeAPI is an object API in memory. choose decides on each call.
type fakeAPI struct {
	objects   map[string]Object
	changes   []Object
	revision  int64
	compacted int64
	delayed   []func()
	choose    func(write bool) outcome
	calls     []string
	sent      []Write
	watch     func(after int64) (Listing, error)
}

func newFakeAPI() *fakeAPI {
	return &fakeAPI{objects: map[string]Object{}, choose: func(bool) outcome { return carryOut }}
}

// script makes the next writes end as listed and every other call be carried out.
func (f *fakeAPI) script(outcomes ...outcome) {
	f.choose = func(write bool) outcome {
		if !write || len(outcomes) == 0 {
			return carryOut
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
}

// late carries out the writes that were delayed on their way.
func (f *fakeAPI) late() {
	for _, apply := range f.delayed {
		apply()
	}
	f.delayed = nil
}

func (f *fakeAPI) Get(_ context.Context, key string) (Object, error) {
	f.calls = append(f.calls, "get "+key)
	if err := readError(f.choose(false)); err != nil {
		return Object{}, err
	}
	if o, ok := f.objects[key]; ok && !o.Deleted {
		return o, nil
	}
	return Object{}, ErrNotFound
}

func (f *fakeAPI) List(_ context.Context, prefix string) (Listing, error) {
	f.calls = append(f.calls, "list "+prefix)
	if err := readError(f.choose(false)); err != nil {
		return Listing{}, err
	}
	l := Listing{Revision: f.revision}
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

func readError(o outcome) error {
	switch o {
	case refuse:
		return ErrUnavailable
	case limitRate:
		return ErrRateLimited
	case loseAnswer, loseCall, carryOutLate:
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
	switch o := f.choose(true); o {
	case carryOut:
		return f.apply(w, deleted)
	case loseAnswer:
		_, _ = f.apply(w, deleted)
	case carryOutLate:
		f.delayed = append(f.delayed, func() { _, _ = f.apply(w, deleted) })
	case refuse, limitRate:
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
	if err := readError(f.choose(false)); err != nil {
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

// storeRig is a store duty whose calls, clock and steps the test controls.
type storeRig struct {
	api   *fakeAPI
	clock *duty.ManualClock
	pool  *heldPool
	store *Store
}

func newStoreRig(o StoreOptions) *storeRig {
	rig := &storeRig{api: newFakeAPI(), clock: duty.NewManualClock(testStart), pool: &heldPool{}}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
	if o.Budget == nil {
		o.Budget = NewBudget(BudgetOptions{ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	}
	rig.store = NewStoreWithOptions(rig.clock, rig.api, rig.pool, o)
	return rig
}

// submit returns where the result will be.
func (rig *storeRig) submit(op Op) *[]Result {
	results := &[]Result{}
	op.Reply = func(r Result) { *results = append(*results, r) }
	rig.store.Submit(op)
	rig.store.Loop().RunPending()
	return results
}

// settle runs calls and steps until nothing is left to do at this time.
func (rig *storeRig) settle() {
	for rig.store.Loop().RunPending()+rig.pool.run() > 0 {
	}
}

// advance moves the clock in small steps, with all calls made.
func (rig *storeRig) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for ; d > 0; d -= step {
		rig.settle()
		rig.clock.Advance(step)
	}
	rig.settle()
}
