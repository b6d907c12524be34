package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// waitLimit ends a test that hangs; the awaited events take microseconds.
const waitLimit = 30 * time.Second

type sentOrder struct {
	order Order
	fence int64
}

// fakeEngines fakes the engines and the weight store.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[core.ServerID]*Engine
	sent    []sentOrder
	failing map[core.ServerID]bool
}

func (f *fakeEngines) Load(_ context.Context, e Engine, o Order, _ string, fence int64) (core.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, sentOrder{order: o, fence: fence})
	if f.failing[e.ID] {
		f.engines[e.ID].Version = 0
		return 0, errors.New("load failed partway")
	}
	f.engines[e.ID].Version = o.Version
	return 0, nil
}

func (f *fakeEngines) Latest(context.Context, string) (core.Version, error) { return 2, nil }

func (f *fakeEngines) sentOrders() []sentOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentOrder{}, f.sent...)
}

type rolloutFixture struct {
	t       *testing.T
	clock   *duty.ManualClock
	fake    *fakeEngines
	rollout *Rollout
}

func newRolloutFixture(t *testing.T, n int, checksFence bool) *rolloutFixture {
	t.Helper()
	pool, err := duty.NewPool("test", 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	log := logrus.New()
	log.SetOutput(io.Discard)
	fake := &fakeEngines{engines: map[core.ServerID]*Engine{}, failing: map[core.ServerID]bool{}}
	for _, engine := range newEngines(n, 1) {
		engine.ChecksFence = checksFence
		fake.engines[engine.ID] = &engine
	}
	clock := duty.NewManualClock(time.Unix(1000, 0))
	return &rolloutFixture{
		t:       t,
		clock:   clock,
		fake:    fake,
		rollout: NewRollout(clock, logrus.NewEntry(log), fake, fake, pool, DefaultLimits()),
	}
}

// report passes the engines' reports to the duty.
func (f *rolloutFixture) report() {
	f.fake.mu.Lock()
	var reports []Report
	for _, engine := range f.fake.engines {
		reports = append(reports, Report{Engine: *engine})
	}
	f.fake.mu.Unlock()
	f.rollout.AddReports(reports)
	f.rollout.Loop().RunPending()
}

// step runs one tick with fresh reports, and the pool calls that it starts.
func (f *rolloutFixture) step() {
	f.report()
	f.clock.Advance(tickPeriod)
	f.rollout.Loop().RunPending()
	time.Sleep(time.Millisecond) // lets the pool goroutines finish their calls
	f.rollout.Loop().RunPending()
}

func (f *rolloutFixture) setLease(fence int64) {
	f.rollout.SetLease(Lease{Fence: fence, ValidUntil: f.clock.Now().Add(time.Hour)})
	f.rollout.Loop().RunPending()
}

func (f *rolloutFixture) runUntil(condition string, isReached func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitLimit); !isReached(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not reached: %s", condition)
		}
		f.step()
	}
}

func (f *rolloutFixture) allEnginesAt(v core.Version) func() bool {
	return func() bool {
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		for _, engine := range f.fake.engines {
			if engine.Version != v {
				return false
			}
		}
		return true
	}
}

// Guards against a rollout that stops before every engine has the version.
func TestRolloutReachesEveryEngine(t *testing.T) {
	f := newRolloutFixture(t, 12, true)
	f.setLease(7)
	f.runUntil("version 2 on every engine", f.allEnginesAt(2))
	for _, s := range f.fake.sentOrders() {
		if s.fence != 7 {
			t.Errorf("order to %s carries fencing number %d, want 7", s.order.Engine, s.fence)
		}
	}
}

// Guards against an engine that gets work after a load that failed partway, while
// its version is unknown.
func TestFailedLoadExcludesEngineUntilReadBack(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	f.fake.failing["w000"] = true
	f.setLease(1)
	f.runUntil("an order", func() bool { return len(f.fake.sentOrders()) > 0 })
	f.runUntil("the order's end", func() bool { return f.rollout.engines["w000"].State == StateUnknown })
	f.step()
	if f.rollout.engines["w000"].State == StateReady {
		t.Error("the engine is ready although its version is unknown")
	}
	f.fake.mu.Lock()
	f.fake.failing["w000"] = false
	f.fake.mu.Unlock()
	f.runUntil("repair", f.allEnginesAt(2))
	f.runUntil("ready", func() bool { return f.rollout.engines["w000"].State == StateReady })
}

// Guards against a model that waits for the loads of others, while none of its engines
// can serve its newest version: the first orders must go to it, and then to all alike.
func TestModelWithoutEnginesIsFirst(t *testing.T) {
	f := newRolloutFixture(t, 12, true)
	f.rollout.limits = Limits{MaxStoreLoadShare: 0.25, MinReadyShare: 0, MaxServingLag: 1}
	f.fake.mu.Lock()
	for i := range 12 {
		e := f.fake.engines[core.ServerID(fmt.Sprintf("w%03d", i))]
		e.Model = [...]string{"a", "b", "c"}[i%3]
		e.Version = 4
		if e.Model == "b" {
			e.Version = 3
		}
	}
	f.fake.mu.Unlock()
	f.report()
	for _, model := range []string{"a", "b", "c"} {
		f.rollout.SetLatestVersion(model, 5)
	}
	f.rollout.Loop().RunPending()
	f.setLease(1)
	for len(f.fake.sentOrders()) < 3 {
		time.Sleep(time.Millisecond)
	}
	for i, s := range f.fake.sentOrders()[:3] {
		if f.fake.engines[s.order.Engine].Model != "b" {
			t.Errorf("order %d goes to %s, an engine of another model", i, s.order.Engine)
		}
	}
}

// Guards against orders of a daemon whose lease has expired.
func TestNoOrdersWithoutLease(t *testing.T) {
	f := newRolloutFixture(t, 4, true)
	f.rollout.SetLease(Lease{Fence: 1, ValidUntil: f.clock.Now().Add(tickPeriod / 2)})
	for range 20 {
		f.step()
	}
	if sent := f.fake.sentOrders(); len(sent) > 0 {
		t.Errorf("%d orders were sent without a valid lease", len(sent))
	}
}

// Guards against an order that is sent by a pool goroutine that was paused past
// the end of the lease.
func TestPausedPoolGoroutineDoesNotSend(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	lease := Lease{Fence: 1, ValidUntil: f.clock.Now().Add(time.Second)}
	f.clock.Advance(2 * time.Second)
	if _, err := f.rollout.sendOrder(t.Context(), f.clock, lease, Engine{ID: "w000"}, Order{Engine: "w000", Version: 2}, ""); err == nil {
		t.Error("an order was sent after the lease had expired")
	}
}

// waitingLoader waits for the engine of each order until the order's context ends.
type waitingLoader struct{ started, ended chan struct{} }

func (l waitingLoader) Load(ctx context.Context, _ Engine, _ Order, _ string, _ int64) (core.Version, error) {
	l.started <- struct{}{}
	<-ctx.Done()
	l.ended <- struct{}{}
	return 0, ctx.Err()
}

// Guards against an order that waits for a busy engine and is sent after its lease was
// released, when the next holder may order the same engine.
func TestReleasedLeaseEndsOrdersThatWait(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	loader := waitingLoader{started: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
	f.rollout.loader = loader
	f.setLease(5)
	f.runUntil("an order waits", func() bool { return len(loader.started) == 1 })
	f.rollout.SetLease(Lease{Fence: 5, ValidUntil: f.clock.Now().Add(2 * time.Hour)})
	f.step()
	if len(loader.ended) > 0 {
		t.Fatal("the renewal of the lease ended the order")
	}
	f.rollout.SetLease(Lease{})
	f.rollout.Loop().RunPending()
	select {
	case <-loader.ended:
	case <-time.After(MaxOrderDuration / 3):
		t.Error("the order still waits after the release")
	}
}

// Guards against a new owner whose orders reach engines that do not check fencing
// numbers before those of the previous owner.
func TestNewOwnerWaitsForEnginesWithoutFencing(t *testing.T) {
	f := newRolloutFixture(t, 2, false)
	f.setLease(5)
	for elapsed := tickPeriod; elapsed < MaxOrderDuration; elapsed += tickPeriod {
		f.step()
	}
	if sent := f.fake.sentOrders(); len(sent) > 0 {
		t.Fatalf("%d orders were sent before %v had passed", len(sent), MaxOrderDuration)
	}
	f.runUntil("version 2 on every engine", f.allEnginesAt(2))
}

// Guards against a late order of a previous owner that was paused. It rolls back
// the version of an engine that does not check fencing numbers.
func TestLateOrderIsRepaired(t *testing.T) {
	f := newRolloutFixture(t, 4, false)
	f.setLease(5)
	f.runUntil("version 2 on every engine", f.allEnginesAt(2))
	f.runUntil("all ready", func() bool { return countUnavailable(f.rollout.orderableEngines("wear"), 2, f.rollout.limits) == 0 })
	f.fake.mu.Lock()
	f.fake.engines["w001"].Version = 1
	f.fake.mu.Unlock()
	f.step()
	f.runUntil("repair", f.allEnginesAt(2))
	if f.rollout.repairs != 1 {
		t.Errorf("repairs = %d, want 1", f.rollout.repairs)
	}
}

// Guards against a restarted owner that repeats the takeover wait, although no
// other host can have orders in flight.
func TestOwnerOrdersAtOnceAfterTakeoverWait(t *testing.T) {
	f := newRolloutFixture(t, 2, false)
	f.rollout.SetLease(Lease{Fence: 5, ValidUntil: f.clock.Now().Add(time.Hour), TakeoverWaitDone: true})
	for range 4 {
		f.step()
	}
	if len(f.fake.sentOrders()) == 0 {
		t.Error("no order was sent within 4 steps")
	}
}

// Guards against an engine that was removed or is unreachable and blocks the
// orders of the others.
func TestFailedOrderDoesNotBlockOthers(t *testing.T) {
	f := newRolloutFixture(t, 4, true)
	f.fake.mu.Lock()
	f.fake.failing["w000"] = true
	f.fake.mu.Unlock()
	f.setLease(5)
	f.runUntil("version 2 on the others", func() bool {
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		return f.fake.engines["w001"].Version == 2 && f.fake.engines["w002"].Version == 2 && f.fake.engines["w003"].Version == 2
	})
}

// Guards against an engine that is ready by a report of its state before the end of its last
// load, and against one that is kept by reports of ever older states.
func TestReportsCountFromTheStateOfTheEngine(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	engine := Engine{ID: "e", Model: "wear", Version: 1}
	report := func(age time.Duration) *trackedEngine {
		f.rollout.AddReports([]Report{{Engine: engine, Age: age}})
		f.rollout.Loop().RunPending()
		return f.rollout.engines["e"]
	}
	report(0)
	f.rollout.results.TryPut(orderResult{order: Order{Engine: "e", Version: 2}, model: "wear"})
	f.rollout.Loop().RunPending()
	f.clock.Advance(tickPeriod)
	if e := report(tickPeriod); e.State != StateUnknown {
		t.Errorf("the engine is in state %v by a report from before the end of its load", e.State)
	}
	if e := report(tickPeriod - time.Millisecond); e.State != StateReady {
		t.Errorf("the engine is in state %v by a report from after the end of its load", e.State)
	}
	report(maxReportAge)
	f.clock.Advance(tickPeriod)
	f.rollout.Loop().RunPending()
	if f.rollout.engines["e"] != nil {
		t.Errorf("the engine is kept by a report of its state more than %v ago", maxReportAge)
	}
}

// Guards against engines that are removed late after the list no longer contains
// them.
func TestUnlistedEnginesAreRemoved(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	report := func(id core.ServerID) Report {
		return Report{Engine: Engine{ID: id, Model: "wear", Version: 1}}
	}
	f.rollout.ReplaceReports([]Report{report("a"), report("b")})
	f.rollout.ReplaceReports([]Report{report("b")})
	f.rollout.Loop().RunPending()
	if f.rollout.engines["a"] != nil || f.rollout.engines["b"] == nil {
		t.Errorf("tracked engines %v", f.rollout.engines)
	}
}

// Guards against an engine that is reported with a version of another model,
// because its model changed while a load was in progress.
func TestModelChangeDuringLoad(t *testing.T) {
	f := newRolloutFixture(t, 1, true)
	var events []LoadEvent
	f.rollout.SetOnLoad(func(n LoadEvent) { events = append(events, n) })
	f.rollout.engines["e"] = &trackedEngine{Engine: Engine{ID: "e", Model: "wear", Version: 1, State: StateLoading}}
	order := Order{Engine: "e", Version: 12}
	f.rollout.inProgress["e"] = order
	f.rollout.ReplaceReports([]Report{{Engine: Engine{ID: "e", Model: "crack", Version: 3}}})
	f.rollout.results.TryPut(orderResult{order: order, model: "wear", readBack: 12})
	f.rollout.Loop().RunPending()
	if len(events) != 1 || events[0].Model != "wear" || events[0].Version != 12 {
		t.Errorf("load events %+v", events)
	}
	if engine := f.rollout.engines["e"]; engine.Version == 12 || engine.State == StateReady {
		t.Errorf("the engine is tracked as %+v", engine.Engine)
	}
}
