package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/usage"
	"github.com/berylfall/berylfall/platform/standin"
)

const (
	usageWindow = 5 * time.Second
	usageLate   = 10 * time.Second
	usageHosts  = 5
	usageStep   = 50 * time.Millisecond
	// usagePollPeriod lets holders take turns faster than those of a deployment.
	usagePollPeriod = 200 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// submitted keeps an operation of the store.
type submitted struct{ op platform.Op }

func (s *submitted) Submit(op platform.Op) bool {
	s.op = op
	return true
}

// keyedStore is an object API with a faulty store for each object.
type keyedStore struct {
	faultyLeaseStore // of keys that are not used; its faults are those of all objects
	objects          map[string]*faultyLeaseStore
}

func (s *keyedStore) of(key string) *faultyLeaseStore {
	if s.objects[key] == nil {
		s.objects[key] = &faultyLeaseStore{random: s.random}
	}
	s.objects[key].losesCalls = s.losesCalls
	return s.objects[key]
}

func (s *keyedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	return s.of(key).Get(ctx, key)
}

func (s *keyedStore) Put(ctx context.Context, w platform.Write) (platform.Object, error) {
	return s.of(w.Key).Put(ctx, w)
}

func (s *keyedStore) Find(ctx context.Context, key string) (platform.Object, error) {
	return s.of(key).Find(ctx, key)
}

// applyLateWrites lets writes take effect whose senders have given up.
func (s *keyedStore) applyLateWrites() {
	for _, o := range s.objects {
		late := o.delayedWrites
		o.delayedWrites = nil
		for _, apply := range late {
			apply()
		}
	}
}

// usageSimulation is a set of hosts that report usage.
type usageSimulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	objects *keyedStore
	hosts   []*usageHost
	rules   standin.UsageRules
	counted map[usage.Window]int64 // requests that began
	// apiFault is a failure of calls: before they take effect, or afterwards.
	apiFault  string
	restarts  []*usageHost // that are due
	hasFaults bool
}

// usageHost is a simulated host with the duties that count and report.
type usageHost struct {
	simulation    *usageSimulation
	number, run   int
	clock         *duty.ManualClock
	isPartitioned bool // from the store
	isCutOff      bool // from the other hosts
	frozenSteps   int
	isStopping    bool // a planned stop is in progress
	received      []usage.Totals
	requests      int
	store         *platform.Store
	leaseManager  *platform.LeaseManager
	reporter      *usage.Reporter
	counts        *usage.Counts
	pool          *deferredPool
}

func (h *usageHost) address() string { return fmt.Sprintf("host-%d", h.number) }

func (h *usageHost) restart() {
	w := h.simulation
	h.run++
	h.received, h.isStopping = nil, false
	h.clock, h.pool = duty.NewManualClock(w.now), &deferredPool{}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 1))
	h.store = platform.NewStoreWithOptions(h.clock, partitionedStore{w.objects, &h.isPartitioned}, h.pool, platform.StoreOptions{Random: random})
	h.leaseManager = platform.NewLeaseManager(h.clock, h.store, fmt.Sprintf("%s/%d", h.address(), h.run), random)
	wait := orderLimits(orderTurn).TakeoverWait
	reporter := usage.NewReporter(usage.ReporterOptions{
		Clock: h.clock, Wall: h.clock.Now, Window: usageWindow, Late: usageLate, TakeoverWait: wait, Self: h.address(),
		Store: usageStore{store: h.store}, Sender: h, Peers: h, TryGo: h.tryGo, Observer: h,
	})
	h.reporter = reporter
	h.counts = usage.NewCounts(usage.CountsOptions{
		Clock: h.clock, Window: usageWindow, Run: fmt.Sprintf("%s/%d", h.address(), h.run), Self: h.address(), Peers: h,
		Deliver: h.receive, TryGo: h.pool.TryGo, OnDropped: func() { w.t.Error("a request is not counted") },
	})
	h.leaseManager.Acquire(usageLease, platform.LeaseOptions{
		Duration: usageLeaseDuration, TakeoverWait: wait,
		IsEarlierRun: func(holder string) bool { return strings.HasPrefix(holder, h.address()+"/") },
		PollPeriod:   func() time.Duration { return usagePollPeriod },
		Listener: func(e platform.LeaseEvent) {
			switch {
			case e.Kind == platform.LeaseObserved:
			case e.Kind == platform.LeaseLost || h.isStopping:
				reporter.SetLease(usage.Lease{})
			default:
				reporter.SetLease(newUsageLease(e))
			}
		},
	})
	reporter.ReportDaemons()
}

// stop makes a planned stop in the order of the daemon, after which the host starts again.
func (h *usageHost) stop() {
	if h.isStopping {
		return
	}
	h.isStopping = true
	h.reporter.SetLease(usage.Lease{})
	loop, leases := h.leaseManager.Loop(), h.leaseManager
	loop.After(leaseReleaseDelay, func() { leases.Release(usageLease) })
	run := h.run
	h.clock.AfterFunc(leaseReleaseDelay+200*time.Millisecond, func() {
		if h.run == run {
			h.simulation.restarts = append(h.simulation.restarts, h)
		}
	})
}

func (h *usageHost) receive(totals []usage.Totals) bool {
	h.received = append(h.received, totals...)
	return h.reporter.Receive(totals)
}

// tryGo starts a call of the reporter. Its host may be frozen before the call begins.
func (h *usageHost) tryGo(call func()) bool {
	if w := h.simulation; w.hasFaults && w.random.IntN(20) == 0 {
		h.frozenSteps = w.random.IntN(160)
	}
	return h.pool.TryGo(call)
}

// Ranked implements usage.Peers.
func (h *usageHost) Ranked() []string {
	var list []string
	for _, other := range h.simulation.hosts {
		list = append(list, other.address())
	}
	return list
}

// peer returns the host at the address if it answers this one.
func (h *usageHost) peer(address string) (*usageHost, error) {
	for _, other := range h.simulation.hosts {
		if other.address() == address && other.frozenSteps == 0 && !other.isCutOff && !h.isCutOff {
			return other, nil
		}
	}
	return nil, errNoAnswer
}

// SendTotals implements usage.Peers. Some messages arrive though no answer does.
func (h *usageHost) SendTotals(_ context.Context, address string, totals []usage.Totals) error {
	other, err := h.peer(address)
	if err != nil {
		return err
	}
	other.receive(totals)
	if h.simulation.random.IntN(10) == 0 {
		return errNoAnswer
	}
	return nil
}

// PullTotals implements usage.Peers.
func (h *usageHost) PullTotals(_ context.Context, address string) ([]usage.Totals, error) {
	other, err := h.peer(address)
	if err != nil {
		return nil, err
	}
	return other.received, nil
}

// Send implements usage.Sender with the same check as the adapter.
func (h *usageHost) Send(_ context.Context, r usage.Report, fence int64, mayStart func() bool) error {
	w := h.simulation
	if !mayStart() {
		return usage.ErrNotSent
	}
	if w.apiFault == "before" {
		return errNoAnswer
	}
	counts := map[string]int64{}
	for customer, n := range r.Counts {
		counts[string(customer)] = n
	}
	w.rules.Add(standin.UsageCall{At: w.now, Holder: h.address(), Fence: fence, Window: int64(r.Window), Counts: counts})
	if w.hasFaults && w.random.IntN(6) == 0 {
		h.stop()
	}
	if w.apiFault == "after" {
		return errNoAnswer
	}
	return nil
}

func (h *usageHost) ObserveCall(usage.Window, error)     {}
func (h *usageHost) ObserveReport(usage.Outcome)         {}
func (h *usageHost) ObserveMissing(usage.Window, int64)  {}
func (h *usageHost) ObservePull(address string, _ error) {}

func (h *usageHost) step() {
	h.clock.Advance(usageStep)
	if h.frozenSteps > 0 {
		h.frozenSteps--
		return
	}
	if h.simulation.random.IntN(16) == 0 {
		h.requests++
		h.counts.Record(usage.Begun{Request: core.RequestID(fmt.Sprintf("%s-%d", h.address(), h.requests)), Customer: "c", SentAt: h.simulation.now})
		h.simulation.counted[usage.WindowAt(h.simulation.now, usageWindow)]++
	}
	h.pool.run()
	for h.store.Loop().RunPending()+h.leaseManager.Loop().RunPending()+h.reporter.Loop().RunPending()+h.counts.Loop().RunPending() > 0 {
	}
}

func (w *usageSimulation) injectFault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(9) {
	case 0:
		h.restart()
	case 1:
		h.frozenSteps = w.random.IntN(160)
	case 2, 3:
		h.isPartitioned = !h.isPartitioned
	case 4:
		w.objects.losesCalls = !w.objects.losesCalls
	case 5:
		w.objects.applyLateWrites()
	case 6:
		h.isCutOff = !h.isCutOff
	case 7:
		w.apiFault = []string{"", "before", "after"}[w.random.IntN(3)]
	case 8:
		h.stop()
	}
}

func (w *usageSimulation) run(d time.Duration, withFaults bool) {
	w.hasFaults = withFaults
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(usageStep) {
		if withFaults && w.random.IntN(24) == 0 {
			w.injectFault()
		}
		for _, h := range w.hosts {
			h.step()
		}
		for _, h := range w.restarts {
			h.restart()
		}
		w.restarts = nil
	}
}

// check fails the test if a rule is violated or a report names requests that did not
// begin.
func (w *usageSimulation) check(seed uint64) {
	w.t.Helper()
	for _, v := range w.rules.Violations {
		w.t.Fatalf("seed %d: %s", seed, v)
	}
	for number, c := range w.rules.Accepted {
		if began := w.counted[usage.Window(number)]; c.Counts["c"] > began {
			w.t.Fatalf("seed %d: window %d is reported with %d of %d requests", seed, number, c.Counts["c"], began)
		}
	}
}

// Guards against two different reports of one window, fencing numbers that fall, and
// holders that take turns too fast, despite frozen hosts, partitions, restarts, lost
// answers of the store and of the accounting API, and delayed writes. It also guards
// against reports that are missing or wrong after the faults.
func TestReportsOfUsageNeverDiffer(t *testing.T) {
	for seed := range uint64(orderSeeds) {
		w := &usageSimulation{
			t: t, random: rand.New(rand.NewPCG(seed, 11)), now: orderStart, counted: map[usage.Window]int64{},
			rules: standin.UsageRules{LeaseTurn: orderTurn},
		}
		w.objects = &keyedStore{objects: map[string]*faultyLeaseStore{}}
		w.objects.random = w.random
		for i := range usageHosts {
			w.hosts = append(w.hosts, &usageHost{simulation: w, number: i})
		}
		for _, h := range w.hosts {
			h.restart()
		}
		w.run(90*time.Second, true)
		w.check(seed)
		w.objects.losesCalls, w.apiFault = false, ""
		for _, h := range w.hosts {
			h.isPartitioned, h.isCutOff, h.frozenSteps = false, false, 0
		}
		w.run(20*time.Second, false)
		healthy := usage.WindowAt(w.now, usageWindow) + 1
		w.run(30*time.Second, false)
		w.check(seed)
		for number := healthy; number < healthy+4; number++ {
			if c, ok := w.rules.Accepted[int64(number)]; !ok || c.Counts["c"] != w.counted[number] {
				t.Fatalf("seed %d: window %d is reported (%v) with %d of %d requests", seed, number, ok, c.Counts["c"], w.counted[number])
			}
		}
	}
}
