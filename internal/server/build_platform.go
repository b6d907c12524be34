package server

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
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
	b.budget = platform.NewBudget(platform.BudgetOptions{
		ReadsPerSecond:  b.settings.StoreReads,
		WritesPerSecond: b.settings.StoreWrites,
		WaitingWatches:  1,
	})
	b.store = platform.NewStoreWith(b.clock, b.platformClient, b.storePool, platform.StoreOptions{
		Budget: b.budget,
		Random: b.random(),
	})
	b.lessor = platform.NewLessor(b.clock, b.store, string(b.daemonID()), b.random())
	return b.start(b.store.Loop(), b.lessor.Loop())
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

// candidacy keeps this daemon a candidate for a lease while it is one of the
// daemons of its data centre that watch the store. All others leave the lease
// alone, so that the calls to the platform grow with data centres. A daemon
// that holds the lease keeps it when it is no longer a candidate.
type candidacy struct {
	lessor   *platform.Lessor
	name     string
	listener func(platform.LeaseEvent)
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
	c.listener(e)
}
