package server

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

func (b *builder) buildPlatform() error {
	b.incarnation = daemon.Incarnation{Start: b.clock.Now().UnixNano(), Random: rand.Uint64()}
	var err error
	b.platformClient, err = platformhttp.NewClient(b.settings.PlatformURL, transport.ClientOptions{})
	if err != nil {
		return err
	}
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
	b.lessor = platform.NewLeaseManager(b.clock, b.store, string(b.daemonID()), b.random())
	b.leases = &heldLeases{status: b.status, held: map[string]operator.LeaseStatus{}}
	b.start(b.store.Loop(), b.lessor.Loop())
	return nil
}

// daemonID differs for each run, so that claims and leases of an earlier run of
// this daemon are not taken for those of this one.
func (b *builder) daemonID() core.DaemonID {
	return daemonIDOf(daemon.Identity{
		Name: b.settings.Name, DataCentre: b.settings.DataCentre, Incarnation: b.incarnation,
	})
}

func daemonIDOf(i daemon.Identity) core.DaemonID {
	return core.DaemonID(fmt.Sprintf("%s/%s/%x-%x", i.DataCentre, i.Name, i.Incarnation.Start, i.Incarnation.Random))
}

// heldLeases tells the status duty which leases this daemon competes for and
// holds. It is used on the lessor's goroutine only.
type heldLeases struct {
	status *operator.Status
	held   map[string]operator.LeaseStatus
}

func (h *heldLeases) handle(e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		h.held[e.Lease.Name] = operator.LeaseStatus{Name: e.Lease.Name, Fencing: e.Lease.Fence, Until: e.Lease.Deadline}
	case platform.LeaseLost:
		delete(h.held, e.Lease.Name)
	default:
		return
	}
	h.status.SetLeases(slices.Collect(maps.Values(h.held)))
}

// candidacy keeps this daemon a candidate for a lease while it is one of the
// daemons of its data centre that watch the store. All others leave the lease
// alone, so that the calls to the platform grow with data centres. A daemon
// that holds the lease keeps it when it is no longer a candidate.
type candidacy struct {
	lessor   *platform.LeaseManager
	name     string
	listener func(platform.LeaseEvent)
	leases   *heldLeases
	held     atomic.Bool
	active   atomic.Bool
}

func (c *candidacy) setActive(active bool) {
	if c.active.Swap(active) == active {
		return
	}
	if active {
		c.lessor.Acquire(c.name, platform.LeaseOptions{Listener: c.handle})
		return
	}
	if !c.held.Load() {
		c.lessor.Release(c.name)
	}
}

// leave gives the lease up for good.
func (c *candidacy) leave() {
	c.active.Store(false)
	c.lessor.Release(c.name)
}

// handle runs on the lessor's goroutine.
func (c *candidacy) handle(e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		c.held.Store(true)
	case platform.LeaseLost:
		c.held.Store(false)
		if !c.active.Load() {
			c.lessor.Release(c.name)
		}
	}
	c.leases.handle(e)
	c.listener(e)
}
