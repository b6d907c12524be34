package weights

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// waitLimit is a generous bound on events that take microseconds.
const waitLimit = 30 * time.Second

type sentOrder struct {
	order Order
	fence int64
}

// engines is a fake of the workers and of the weight store.
type engines struct {
	mu      sync.Mutex
	workers map[core.ServerID]*Engine
	sent    []sentOrder
	fail    map[core.ServerID]bool
}

func (e *engines) Load(_ context.Context, w Engine, o Order, _ string, fence int64) (core.Version, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, sentOrder{order: o, fence: fence})
	if e.fail[w.ID] {
		e.workers[w.ID].Version = 0
		return 0, errors.New("load failed partway")
	}
	e.workers[w.ID].Version = o.Version
	return 0, nil
}

func (e *engines) Latest(context.Context, string) (core.Version, error) { return 2, nil }

func (e *engines) orders() []sentOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]sentOrder{}, e.sent...)
}

type bench struct {
	t       *testing.T
	clock   *duty.ManualClock
	engines *engines
	rollout *Rollout
}

func newBench(t *testing.T, n int, checksFence bool) *bench {
	t.Helper()
	pool, err := duty.NewPool("test", 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &engines{workers: map[core.ServerID]*Engine{}, fail: map[core.ServerID]bool{}}
	for _, w := range newWorkers(n, 1) {
		w.ChecksFence = checksFence
		e.workers[w.ID] = &w
	}
	clock := duty.NewManualClock(time.Unix(1000, 0))
	return &bench{
		t:       t,
		clock:   clock,
		engines: e,
		rollout: NewRollout(clock, logrus.NewEntry(log), e, e, pool, DefaultLimits()),
	}
}

// report hands the engines' own reports to the duty.
func (b *bench) report() {
	b.engines.mu.Lock()
	var reports []Report
	for _, w := range b.engines.workers {
		reports = append(reports, Report{Engine: *w, At: b.clock.Now()})
	}
	b.engines.mu.Unlock()
	b.rollout.AddReports(reports)
	b.rollout.Loop().RunPending()
}

// step lets one tick pass, with reports and with the calls on the pool ended.
func (b *bench) step() {
	b.report()
	b.clock.Advance(tickPeriod)
	b.rollout.Loop().RunPending()
	time.Sleep(time.Millisecond) // lets pool workers finish their calls
	b.rollout.Loop().RunPending()
}

func (b *bench) hold(fence int64) {
	b.rollout.SetLease(Lease{Fence: fence, ValidUntil: b.clock.Now().Add(time.Hour)})
	b.rollout.Loop().RunPending()
}

func (b *bench) until(what string, reached func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(waitLimit); !reached(); {
		if time.Now().After(deadline) {
			b.t.Fatalf("not reached: %s", what)
		}
		b.step()
	}
}

func (b *bench) allAt(v core.Version) func() bool {
	return func() bool {
		b.engines.mu.Lock()
		defer b.engines.mu.Unlock()
		for _, w := range b.engines.workers {
			if w.Version != v {
				return false
			}
		}
		return true
	}
}

// Guards against a roll-out that stops before every worker has the version.
func TestRolloutReachesEveryWorker(t *testing.T) {
	b := newBench(t, 12, true)
	b.hold(7)
	b.until("version 2 on every worker", b.allAt(2))
	for _, s := range b.engines.orders() {
		if s.fence != 7 {
			t.Errorf("order to %s carries fencing number %d, want 7", s.order.Engine, s.fence)
		}
	}
}

// Guards against a worker that gets work while it is unknown what it holds
// after a load that failed partway.
func TestFailedLoadKeepsTheWorkerOutUntilReadBack(t *testing.T) {
	b := newBench(t, 1, true)
	b.engines.fail["w000"] = true
	b.hold(1)
	b.until("an order", func() bool { return len(b.engines.orders()) > 0 })
	b.until("the order's end", func() bool { return b.rollout.workers["w000"].State == StateUnknown })
	b.step()
	if b.rollout.workers["w000"].State == StateReady {
		t.Error("the worker is ready though its version is unknown")
	}
	b.engines.mu.Lock()
	b.engines.fail["w000"] = false
	b.engines.mu.Unlock()
	b.until("repair", b.allAt(2))
	b.until("ready", func() bool { return b.rollout.workers["w000"].State == StateReady })
}

// Guards against orders by a daemon whose lease has lapsed.
func TestNoOrdersWithoutTheLease(t *testing.T) {
	b := newBench(t, 4, true)
	b.rollout.SetLease(Lease{Fence: 1, ValidUntil: b.clock.Now().Add(tickPeriod / 2)})
	for range 20 {
		b.step()
	}
	if sent := b.engines.orders(); len(sent) > 0 {
		t.Errorf("%d orders were sent without a valid lease", len(sent))
	}
}

// Guards against an order that is sent by a worker that was paused past the
// end of the lease.
func TestPausedWorkerDoesNotSend(t *testing.T) {
	b := newBench(t, 1, true)
	h := Lease{Fence: 1, ValidUntil: b.clock.Now().Add(time.Second)}
	b.clock.Advance(2 * time.Second)
	if _, err := b.rollout.carryOut(b.clock, h, Engine{ID: "w000"}, Order{Engine: "w000", Version: 2}, ""); err == nil {
		t.Error("an order was sent after the lease had lapsed")
	}
}

// Guards against a new owner whose orders cross those of the old owner at
// engines that do not check fencing numbers.
func TestNewOwnerWaitsForEnginesThatDoNotCheck(t *testing.T) {
	b := newBench(t, 2, false)
	b.hold(5)
	for passed := tickPeriod; passed < MaxOrderDuration; passed += tickPeriod {
		b.step()
	}
	if sent := b.engines.orders(); len(sent) > 0 {
		t.Fatalf("%d orders were sent before %v had passed", len(sent), MaxOrderDuration)
	}
	b.until("version 2 on every worker", b.allAt(2))
}

// Guards against a late order of a paused former owner that takes a version
// back at an engine that does not check fencing numbers.
func TestLateOrderIsRepaired(t *testing.T) {
	b := newBench(t, 4, false)
	b.hold(5)
	b.until("version 2 on every worker", b.allAt(2))
	b.until("all ready", func() bool { return unavailable(b.rollout.workersOf("wear"), 2, b.rollout.limits) == 0 })
	b.engines.mu.Lock()
	b.engines.workers["w001"].Version = 1
	b.engines.mu.Unlock()
	b.step()
	b.until("repair", b.allAt(2))
	if b.rollout.repairs != 1 {
		t.Errorf("repairs = %d, want 1", b.rollout.repairs)
	}
}

// Guards against a restarted owner that waits for orders of another host, of
// which there are none.
func TestContinuedHoldingOrdersAtOnce(t *testing.T) {
	b := newBench(t, 2, false)
	b.rollout.SetLease(Lease{Fence: 5, ValidUntil: b.clock.Now().Add(time.Hour), TakeoverWaitDone: true})
	for range 4 {
		b.step()
	}
	if len(b.engines.orders()) == 0 {
		t.Error("no order was sent within 4 steps")
	}
}

// Guards against an engine that is gone or unreachable and keeps the others
// from their orders.
func TestFailedOrderDoesNotBlockOthers(t *testing.T) {
	b := newBench(t, 4, true)
	b.engines.mu.Lock()
	b.engines.fail["w000"] = true
	b.engines.mu.Unlock()
	b.hold(5)
	b.until("version 2 on the others", func() bool {
		b.engines.mu.Lock()
		defer b.engines.mu.Unlock()
		return b.engines.workers["w001"].Version == 2 && b.engines.workers["w002"].Version == 2 && b.engines.workers["w003"].Version == 2
	})
}

// Guards against engines that are forgotten late once the list no longer names them.
func TestUnlistedEnginesAreForgotten(t *testing.T) {
	b := newBench(t, 1, true)
	report := func(id core.ServerID) Report {
		return Report{At: b.clock.Now(), Engine: Engine{ID: id, Model: "wear", Version: 1}}
	}
	b.rollout.ReplaceReports([]Report{report("a"), report("b")})
	b.rollout.ReplaceReports([]Report{report("b")})
	b.rollout.Loop().RunPending()
	if b.rollout.workers["a"] != nil || b.rollout.workers["b"] == nil {
		t.Errorf("known workers %v", b.rollout.workers)
	}
}

// Guards against an engine that is said to hold a version of another model,
// because its model was changed while its load was in progress.
func TestModelChangesDuringALoad(t *testing.T) {
	b := newBench(t, 1, true)
	var notices []LoadEvent
	b.rollout.SetOnLoad(func(n LoadEvent) { notices = append(notices, n) })
	b.rollout.workers["e"] = &workerState{Engine: Engine{ID: "e", Model: "wear", Version: 1, State: StateLoading}}
	order := Order{Engine: "e", Version: 12}
	b.rollout.inProgress["e"] = order
	b.rollout.ReplaceReports([]Report{{At: b.clock.Now(), Engine: Engine{ID: "e", Model: "crack", Version: 3}}})
	b.rollout.ends.TryPut(orderEnd{order: order, model: "wear", held: 12})
	b.rollout.Loop().RunPending()
	if len(notices) != 1 || notices[0].Model != "wear" || notices[0].Version != 12 {
		t.Errorf("told %+v", notices)
	}
	if w := b.rollout.workers["e"]; w.Version == 12 || w.State == StateReady {
		t.Errorf("the engine counts as %+v", w.Engine)
	}
}
