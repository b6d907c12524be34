package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/weights"
)

const (
	orderTurn  = 3 * time.Second        // between the orders of two hosts
	thawGrace  = 300 * time.Millisecond // after a freeze, during which late orders are ignored
	orderStep  = 20 * time.Millisecond
	orderHosts = 4
	orderSeeds = 200
)

var orderStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// faultyLeaseStore is an object API with one object that may lose calls and answers.
type faultyLeaseStore struct {
	random        *rand.Rand
	object        platform.Object
	stored        bool
	losesCalls    bool // calls may be lost
	delayedWrites []func()
}

func (s *faultyLeaseStore) Get(context.Context, string) (platform.Object, error) {
	if s.losesCalls && s.random.IntN(3) == 0 {
		return platform.Object{}, platform.ErrUnavailable
	}
	if !s.stored {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *faultyLeaseStore) apply(w platform.Write) (platform.Object, error) {
	if s.stored != (w.IfVersion != platform.Absent) || (s.stored && w.IfVersion != s.object.Version) {
		return platform.Object{}, platform.ErrConflict
	}
	s.stored = true
	s.object = platform.Object{Key: w.Key, Version: s.object.Version + 1, Revision: s.object.Revision + 1, Token: w.Token, Value: w.Value}
	return s.object, nil
}

func (s *faultyLeaseStore) Put(_ context.Context, w platform.Write) (platform.Object, error) {
	if s.losesCalls {
		switch s.random.IntN(6) {
		case 0:
			return platform.Object{}, platform.ErrUnknownOutcome // request lost
		case 1:
			_, _ = s.apply(w)
			return platform.Object{}, platform.ErrUnknownOutcome // applied, answer lost
		case 2:
			s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.apply(w) })
			return platform.Object{}, platform.ErrUnknownOutcome // applied later
		}
	}
	return s.apply(w)
}

func (s *faultyLeaseStore) Find(ctx context.Context, key string) (platform.Object, error) {
	o, err := s.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, nil
	}
	return o, err
}

func (s *faultyLeaseStore) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

func (s *faultyLeaseStore) Delete(context.Context, platform.Write) (platform.Object, error) {
	return platform.Object{}, platform.ErrRejected
}

func (s *faultyLeaseStore) Watch(context.Context, string, int64) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

// partitionedStore is the store as seen by a host that may be cut off from it.
type partitionedStore struct {
	platform.ObjectAPI
	isPartitioned *bool
}

func (c partitionedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if *c.isPartitioned {
		return platform.Object{}, platform.ErrUnavailable
	}
	return c.ObjectAPI.Get(ctx, key)
}

func (c partitionedStore) Put(ctx context.Context, w platform.Write) (platform.Object, error) {
	if *c.isPartitioned {
		return platform.Object{}, platform.ErrUnknownOutcome
	}
	return c.ObjectAPI.Put(ctx, w)
}

// deferredPool defers work until the next step of its host, so that a freeze may
// happen between a decision and its call.
type deferredPool struct{ work []func() }

func (p *deferredPool) TryGo(f func()) bool {
	p.work = append(p.work, f)
	return true
}

func (p *deferredPool) run() {
	work := p.work
	p.work = nil
	for _, f := range work {
		f()
	}
}

// sentOrder is an order as received by an engine.
type sentOrder struct {
	at        time.Time
	host      int
	fence     int64
	afterThaw bool // the host was frozen shortly before
}

// orderHost is a simulated host with the duties that order engines.
type orderHost struct {
	simulation    *orderSimulation
	number        int
	run           int
	clock         *duty.ManualClock
	isPartitioned bool
	frozenSteps   int // steps until the end of a freeze
	thawedAt      time.Time
	store         *platform.Store
	leaseManager  *platform.LeaseManager
	rollout       *weights.Rollout
	pool          *deferredPool
}

type orderSimulation struct {
	random  *rand.Rand
	now     time.Time
	objects *faultyLeaseStore
	hosts   []*orderHost
	engines map[core.ServerID]core.Version
	orders  map[core.ServerID][]sentOrder
	version core.Version
}

func (h *orderHost) name() string { return fmt.Sprintf("host-%d", h.number) }

// restart restarts the duties of the host, as a restart of its process does.
func (h *orderHost) restart() {
	w := h.simulation
	h.run++
	h.clock = duty.NewManualClock(w.now)
	h.pool = &deferredPool{}
	random := rand.New(rand.NewPCG(w.random.Uint64(), 1))
	h.store = platform.NewStoreWithOptions(h.clock, partitionedStore{w.objects, &h.isPartitioned}, h.pool, platform.StoreOptions{Random: random})
	h.leaseManager = platform.NewLeaseManager(h.clock, h.store, fmt.Sprintf("%s/%d", h.name(), h.run), random)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.rollout = weights.NewRollout(h.clock, logrus.NewEntry(log), h, h, h.pool, orderLimits(orderTurn))
	isEarlierRun := func(holder string) bool { return strings.HasPrefix(holder, h.name()+"/") }
	rollout := h.rollout
	h.leaseManager.Acquire("orders", platform.LeaseOptions{
		Duration: orderLeaseDuration, IsEarlierRun: isEarlierRun, TakeoverWait: orderLimits(orderTurn).TakeoverWait,
		PollPeriod: func() time.Duration { return orderLeaseDuration / 2 },
		Listener: func(e platform.LeaseEvent) {
			if e.Kind != platform.LeaseObserved {
				rollout.SetLease(rolloutLease(e))
			}
		},
	})
}

// Load implements weights.Loader with the same check as the adapter.
func (h *orderHost) Load(_ context.Context, engine weights.Engine, o weights.Order, _ string, fence int64) (core.Version, error) {
	w := h.simulation
	if !h.clock.Now().Before(o.ValidUntil) {
		return 0, core.NotRunError(core.CodeConflict, "the lease for orders has expired")
	}
	thawed := !h.thawedAt.IsZero() && w.now.Sub(h.thawedAt) < thawGrace
	w.orders[engine.ID] = append(w.orders[engine.ID], sentOrder{at: w.now, host: h.number, fence: fence, afterThaw: thawed})
	w.engines[engine.ID] = max(w.engines[engine.ID], o.Version)
	return w.engines[engine.ID], nil
}

// Latest implements weights.Store.
func (h *orderHost) Latest(context.Context, string) (core.Version, error) {
	return h.simulation.version, nil
}

func (h *orderHost) step() {
	h.clock.Advance(orderStep)
	if h.frozenSteps > 0 {
		if h.frozenSteps--; h.frozenSteps == 0 {
			h.thawedAt = h.simulation.now
		}
		return
	}
	h.pool.run()
	for h.store.Loop().RunPending()+h.leaseManager.Loop().RunPending()+h.rollout.Loop().RunPending() > 0 {
	}
}

func (h *orderHost) report() {
	var reports []weights.Report
	for id, v := range h.simulation.engines {
		reports = append(reports, weights.Report{Engine: weights.Engine{ID: id, Service: "s", Model: "m", Version: v}})
	}
	h.rollout.ReplaceReports(reports)
}

// injectFault changes a random fault of the store or of a host.
func (w *orderSimulation) injectFault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(6) {
	case 0:
		h.restart()
	case 1:
		h.frozenSteps = w.random.IntN(400)
	case 2, 3:
		h.isPartitioned = !h.isPartitioned
	case 4:
		w.objects.losesCalls = !w.objects.losesCalls
	case 5:
		late := w.objects.delayedWrites
		w.objects.delayedWrites = nil
		for _, apply := range late {
			apply()
		}
	}
}

func newOrderWorld(seed uint64) *orderSimulation {
	w := &orderSimulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: orderStart, version: 2,
		engines: map[core.ServerID]core.Version{"e1": 1, "e2": 1}, orders: map[core.ServerID][]sentOrder{},
	}
	w.objects = &faultyLeaseStore{random: w.random}
	for i := range orderHosts {
		h := &orderHost{simulation: w, number: i}
		h.restart()
		w.hosts = append(w.hosts, h)
	}
	return w
}

func (w *orderSimulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(orderStep) {
		if w.random.IntN(60) == 0 {
			w.injectFault()
		}
		if w.random.IntN(50) == 0 {
			w.version++
		}
		for _, h := range w.hosts {
			if w.random.IntN(25) == 0 {
				h.report()
			}
			h.step()
		}
	}
}

// findViolation returns the first violation among the orders at an engine: two hosts
// with the same fencing number, a fencing number that decreases, or too little time
// between the orders of two hosts. It returns "" if there is none.
func findViolation(orders []sentOrder) string {
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		switch {
		case b.afterThaw || a.afterThaw || a.host == b.host:
		case b.fence == a.fence:
			return fmt.Sprintf("hosts %d and %d order under fence %d", a.host, b.host, a.fence)
		case b.fence < a.fence:
			return fmt.Sprintf("fence %d of host %d comes after %d of host %d", b.fence, b.host, a.fence, a.host)
		case b.at.Sub(a.at) < orderTurn:
			return fmt.Sprintf("host %d orders %v after host %d", b.host, b.at.Sub(a.at), a.host)
		}
	}
	return ""
}

// Guards against two holders that order one engine at the same time, despite frozen
// hosts, partitions, restarts, lost answers of the store and delayed writes. It also
// guards against orders that never resume after the faults.
func TestOneHolderAtEachEngine(t *testing.T) {
	for seed := range uint64(orderSeeds) {
		w := newOrderWorld(seed)
		w.run(90 * time.Second)
		for id, orders := range w.orders {
			if violation := findViolation(orders); violation != "" {
				t.Fatalf("seed %d, engine %s: %s", seed, id, violation)
			}
		}
		w.objects.losesCalls = false
		for _, h := range w.hosts {
			h.isPartitioned, h.frozenSteps = false, 0
		}
		before := len(w.orders["e1"])
		faultless := rand.New(rand.NewPCG(seed, 8))
		w.random = faultless
		for range 1000 {
			w.now = w.now.Add(orderStep)
			if faultless.IntN(50) == 0 {
				w.version++
			}
			for _, h := range w.hosts {
				if faultless.IntN(25) == 0 {
					h.report()
				}
				h.step()
			}
		}
		if len(w.orders["e1"]) == before {
			t.Fatalf("seed %d: no order within 20 s without faults", seed)
		}
	}
}
