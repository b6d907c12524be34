package server

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
)

func (b *builder) buildPlatform() error {
	b.incarnation = daemon.Incarnation{Start: b.clock.Now().UnixNano(), Random: rand.Uint64()}
	b.platformClient = platformhttp.NewClient(b.settings.PlatformURL)
	var err error
	b.storePool, err = b.pool("store", b.settings.StoreCalls)
	if err != nil {
		return err
	}
	b.server.storePool = b.storePool
	b.budget = platform.NewBudget(platform.BudgetOptions{
		ReadsPerSecond:  b.settings.StoreReads,
		WritesPerSecond: b.settings.StoreWrites,
		ReservedWatches: 1,
	})
	b.store = platform.NewStoreWithOptions(b.clock, b.platformClient, b.storePool, platform.StoreOptions{
		Budget: b.budget,
		Random: b.random(),
	})
	b.leaseManager = platform.NewLeaseManager(b.leaseClock, b.store, string(b.daemonID()), b.random())
	b.leaseReporter = &leaseStatusReporter{status: b.status, leaseClock: b.leaseClock, held: map[string]operator.LeaseStatus{}}
	b.start(b.store.Loop(), b.leaseManager.Loop())
	return nil
}

// daemonID returns the ID of this daemon. It differs for each run, so that the
// claims and leases of an earlier run are not mistaken for those of this one.
func (b *builder) daemonID() core.DaemonID {
	return daemonIDOf(daemon.Identity{
		Name: b.settings.Name, DataCentre: b.settings.DataCentre, Incarnation: b.incarnation,
	})
}

func daemonIDOf(i daemon.Identity) core.DaemonID {
	return core.DaemonID(fmt.Sprintf("%s/%s/%x-%x", i.DataCentre, i.Name, i.Incarnation.Start, i.Incarnation.Random))
}

// leaseStatusReporter reports the leases that this daemon holds to the status duty.
// It is used on the lease manager's goroutine only.
type leaseStatusReporter struct {
	status     *operator.Status
	leaseClock duty.Clock
	held       map[string]operator.LeaseStatus
}

func (h *leaseStatusReporter) handleEvent(e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		h.held[e.Lease.Name] = leaseStatus(e.Lease, h.leaseClock.Now(), time.Now())
	case platform.LeaseLost:
		delete(h.held, e.Lease.Name)
	default:
		return
	}
	h.status.SetLeases(slices.Collect(maps.Values(h.held)))
}

// leaseStatus returns the status of a lease at the time leaseNow of the lease's clock and
// wallNow of the wall clock, which differ after a step of the latter.
func leaseStatus(l platform.Lease, leaseNow, wallNow time.Time) operator.LeaseStatus {
	return operator.LeaseStatus{Name: l.Name, Fencing: l.Fence, Until: wallNow.Add(l.Deadline.Sub(leaseNow))}
}

// leaseCandidate keeps this daemon a candidate for a lease while it is one of the
// daemons of its data centre that watch the store. The others do not compete for
// the lease, so that the calls to the platform grow with the number of data
// centres, not of daemons. A daemon that holds the lease keeps it when it is no
// longer a candidate.
type leaseCandidate struct {
	leaseManager *platform.LeaseManager
	name         string
	onEvent      func(platform.LeaseEvent)
	reporter     *leaseStatusReporter
	isHolder     atomic.Bool
	isCandidate  atomic.Bool
}

func (c *leaseCandidate) setActive(active bool) {
	if c.isCandidate.Swap(active) == active {
		return
	}
	if active {
		c.leaseManager.Acquire(c.name, platform.LeaseOptions{Listener: c.handleEvent})
		return
	}
	if !c.isHolder.Load() {
		c.leaseManager.Release(c.name)
	}
}

// releaseLease ends the candidacy and releases the lease. The candidacy must not be
// resumed afterwards.
func (c *leaseCandidate) releaseLease() {
	c.isCandidate.Store(false)
	c.leaseManager.Release(c.name)
}

// handleEvent runs on the lease manager's goroutine.
func (c *leaseCandidate) handleEvent(e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		c.isHolder.Store(true)
	case platform.LeaseLost:
		c.isHolder.Store(false)
		if !c.isCandidate.Load() {
			c.leaseManager.Release(c.name)
		}
	}
	c.reporter.handleEvent(e)
	c.onEvent(e)
}
