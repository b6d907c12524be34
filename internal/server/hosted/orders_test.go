package hosted

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/weights"
)

// Guards against calls of the store that grow with the number of daemons: each daemon
// is a candidate for each lease and reads it.
func TestLeaseReadsHardlyGrowWithDaemons(t *testing.T) {
	readsPerSecond := func(daemons int) float64 {
		sum := 0.0
		for rank := range daemons {
			sum += 1 / candidatePollPeriod(rank, false).Seconds()
		}
		return sum
	}
	const maxGrowth = 1.3 // from 30 to 300 daemons
	few, many := readsPerSecond(30), readsPerSecond(300)
	if many > maxGrowth*few {
		t.Errorf("%.2f reads a second of 30 daemons and %.2f of 300, want at most %v times as many", few, many, maxGrowth)
	}
}

// Guards against one daemon that holds the leases of all groups: a candidate that holds
// another lease leaves this one to the others.
func TestHolderLeavesOtherLeases(t *testing.T) {
	if p := candidatePollPeriod(0, true); p < distantPollPeriod {
		t.Errorf("a holder polls another lease each %v, want at least %v", p, distantPollPeriod)
	}
}

// countingLoader counts the orders to each engine and reads no version back.
type countingLoader map[core.ServerID]int

func (l countingLoader) Load(_ context.Context, e weights.Engine, _ weights.Order, _ string, _ int64) (core.Version, error) {
	l[e.ID]++
	return 0, nil
}

// Guards against engines that get no order, or the next one before their version is known,
// after a step of the wall clock: their reports must be timed by the clock of the roll-out.
func TestOrdersDoNotDependOnTheWallClock(t *testing.T) {
	const (
		step  = 500 * time.Millisecond
		steps = 16 // less than the age at which a report is ignored
	)
	servers := make([]backend.Server, 8)
	for i := range servers {
		servers[i] = backend.Server{ID: core.ServerID(fmt.Sprintf("e%d", i)), Description: backend.Description{
			Service: "s", Models: []backend.ModelDescription{{Name: "m", Version: 1}},
		}}
	}
	routes := caller.NewRouteSet(1, nil, map[string]caller.Service{"s": {Name: "s", Models: []string{"m"}}}, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, aheadOfWallClock := range []time.Duration{-15 * time.Second, 0, 15 * time.Second} {
		orders := countingLoader{}
		clock, pool := duty.NewManualClock(time.Now().Add(aheadOfWallClock)), &deferredPool{}
		o := &engineOrders{latestVersions: &versionTable{}}
		for i := range o.groups {
			rollout := weights.NewRollout(clock, logrus.NewEntry(log), orders, o.latestVersions, pool, orderLimits(orderTurn))
			o.groups[i] = &orderGroup{rollout: rollout}
			o.groups[i].isHolder.Store(true)
			rollout.SetLease(weights.Lease{Fence: 1, ValidUntil: clock.Now().Add(time.Hour)})
			rollout.SetLatestVersion("m", 2)
		}
		o.reportServers(servers, routes, nil)
		for range steps {
			for _, g := range o.groups {
				g.rollout.Loop().RunPending()
				pool.run()
				g.rollout.Loop().RunPending()
			}
			clock.Advance(step)
		}
		if len(orders) == 0 {
			t.Errorf("clock %v ahead of the wall clock: no orders", aheadOfWallClock)
		}
		for engine, n := range orders {
			if n > 1 {
				t.Errorf("clock %v ahead of the wall clock: %d orders to %s without a report in between", aheadOfWallClock, n, engine)
			}
		}
	}
}
