package hosted

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/weights"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// orderGroups is the number of groups of engines. Each group has its own
	// lease, so that the loss of one daemon holds up the new versions of one
	// group only. An engine never changes its group.
	orderGroups = 2
	// ordersLeaseTime is how long the death of a holder goes unnoticed.
	ordersLeaseTime = 3 * time.Second
	// contenders are the daemons that follow a lease closely. The others read it
	// each idlePoll, in case all of these are lost, and those of a rank beyond
	// idlePoll/idlePollStep more seldom still, so that the calls of the store
	// hardly grow with the number of daemons.
	contenders   = 2
	idlePoll     = 8 * time.Second
	idlePollStep = time.Second
	// candidateDelay lets the daemons that rank first for a lease take it first.
	candidateDelay = time.Second
	// orderWorkers bounds the orders in progress.
	orderWorkers = 64
	// loadShare is the share of a group's engines that loads at once. The weight
	// store slows down beyond about a quarter of the engines.
	loadShare = 0.25
	// takeoverMargin is added to the time that must lie between the orders of
	// two holders.
	takeoverMargin = 300 * time.Millisecond
)

// releaseWait lies between the last order and the release of a lease, so that a
// release leaves as much time as a lapse.
var releaseWait = platform.MinTakeoverGap(ordersLeaseTime)

// orderParts bring named versions to the engines.
type orderParts struct {
	lessor   *platform.LeaseManager
	groups   [orderGroups]*orderGroup
	versions *platform.Watcher
	named    *namedVersions
	stopping atomic.Bool
}

// orderGroup orders the engines of one group while this daemon holds its lease.
type orderGroup struct {
	lease    string
	rollout  *weights.Rollout
	assigner *weights.Assigner // used on the directory's goroutine; nil without the lease
	held     atomic.Bool
}

func (d *frontDaemon) buildOrders() error {
	pool, err := d.pool("orders", orderWorkers)
	if err != nil {
		return err
	}
	clock := duty.NewBootClock()
	o := &orderParts{named: &namedVersions{}, lessor: platform.NewLeaseManager(clock, d.store, d.runName(), d.random())}
	limits := orderLimits(d.set.Bounds.LeaseTurn)
	orders := adapter.NewOrders(d.set.Host, clock)
	d.loops = append(d.loops, o.lessor.Loop())
	for i := range o.groups {
		g := &orderGroup{lease: fmt.Sprintf("orders-%d", i)}
		g.rollout = weights.NewRollout(clock, d.log, orders, o.named, pool, limits)
		g.rollout.SetOnLoad(d.notices.add)
		o.groups[i] = g
		d.loops = append(d.loops, g.rollout.Loop())
		d.compete(o, g, limits.TakeoverWait)
	}
	o.versions = d.follow(adapter.KindVersions, platform.WatcherOptions{StartInactive: true}, func(s platform.Snapshot) { d.handleVersions(o, s) })
	d.orders = o
	return nil
}

// orderLimits returns the limits of a roll-out whose engines want the time turn
// between the orders of two holders.
func orderLimits(turn time.Duration) weights.Limits {
	return weights.Limits{
		MaxStoreLoadShare: loadShare, MinReadyShare: weights.DefaultLimits().MinReadyShare, MaxServingLag: 1,
		TakeoverWait: max(0, turn-platform.MinTakeoverGap(ordersLeaseTime)) + takeoverMargin,
	}
}

// holdingOf returns the right to order that a lease event gives.
func holdingOf(e platform.LeaseEvent) weights.Lease {
	if e.Kind == platform.LeaseLost {
		return weights.Lease{}
	}
	return weights.Lease{
		Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline,
		TakeoverWaitDone: e.Kind == platform.LeaseGained && e.TakeoverWaitDone,
	}
}

// compete makes this daemon a candidate for the group's lease. When the whole
// system starts, it does so the later the lower it ranks. settle is how long a new
// holder waits for the orders of the one before.
func (d *frontDaemon) compete(o *orderParts, g *orderGroup, settle time.Duration) {
	options := platform.LeaseOptions{
		Duration:   ordersLeaseTime,
		Listener:   func(e platform.LeaseEvent) { d.handleLease(o, g, e) },
		PollPeriod: func() time.Duration { return d.pollPeriod(g) },
		// The platform starts a process on a host only after the one before has ended.
		IsEarlierRun: d.isEarlierRun,
		TakeoverWait: settle,
	}
	acquire := func() {
		if !o.stopping.Load() && !o.lessor.Acquire(g.lease, options) {
			d.log.WithField("lease", g.lease).Error("daemon is no candidate: the ring of the lessor is full")
		}
	}
	if !d.set.Bootstrap {
		acquire()
		return
	}
	o.lessor.Loop().After(candidateDelay, func() {
		o.lessor.Loop().After(time.Duration(d.rank(g))*candidateDelay, acquire)
	})
}

func (d *frontDaemon) isEarlierRun(holder string) bool {
	return strings.HasPrefix(holder, d.set.Host+"/")
}

// rank is this daemon's place among the candidates for the group's lease.
func (d *frontDaemon) rank(g *orderGroup) int {
	others := d.roster.others()
	ranked := rendezvous.RendezvousRank(g.lease, append(slices.Clone(others), d.set.PeerAddress), len(others)+1)
	return slices.Index(ranked, d.set.PeerAddress)
}

func (d *frontDaemon) pollPeriod(g *orderGroup) time.Duration {
	rank := d.rank(g)
	if rank < contenders {
		return ordersLeaseTime / 2
	}
	return max(idlePoll, time.Duration(rank)*idlePollStep)
}

// handleLease runs on the lessor's goroutine.
func (d *frontDaemon) handleLease(o *orderParts, g *orderGroup, e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		if o.stopping.Load() {
			return
		}
		g.rollout.SetLease(holdingOf(e))
	case platform.LeaseLost:
		g.rollout.SetLease(holdingOf(e))
	}
	if e.Kind == platform.LeaseRenewed {
		return
	}
	d.log.WithFields(logrus.Fields{"lease": e.Lease.Name, "event": e.Kind.String(), "fence": e.Lease.Fence, "holder": e.Holder, "holder_before": e.PreviousHolder}).Info("lease changed")
	g.held.Store(e.Kind == platform.LeaseGained)
	o.versions.SetActive(o.holdsAny())
	// A new holder has the engines from the next delivery of the directory.
	d.directory.UpdateModelStatus(nil)
}

func (o *orderParts) holdsAny() bool {
	return slices.ContainsFunc(o.groups[:], func(g *orderGroup) bool { return g.held.Load() })
}

// release gives the leases up at a planned stop, some time after the last order.
func (o *orderParts) release(ctx context.Context) {
	o.stopping.Store(true)
	for _, g := range o.groups {
		g.rollout.SetLease(weights.Lease{})
	}
	_ = duty.Sleep(ctx, releaseWait)
	for _, g := range o.groups {
		o.lessor.Release(g.lease)
	}
}

func (d *frontDaemon) handleVersions(o *orderParts, s platform.Snapshot) {
	for _, object := range s.Objects {
		if object.Deleted {
			continue
		}
		v, err := adapter.DecodeVersion(object.Value)
		if err != nil {
			d.log.WithError(err).WithField("object", object.Key).Warn("object names no version")
			continue
		}
		d.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version}).Info("version named")
		o.named.set(v)
		for _, g := range o.groups {
			g.rollout.SetLatestVersion(v.Model, v.Version)
		}
	}
}

// setServers tells the roll-outs whose leases this daemon holds what the engines
// hold. It runs on the directory's goroutine.
func (o *orderParts) setServers(servers []backend.Server, routes *caller.RouteSet, demand map[string]float64) {
	if routes == nil {
		return
	}
	now := time.Now()
	for i, g := range o.groups {
		if !g.held.Load() {
			// The assignment of another holder shows in the versions alone.
			g.assigner = nil
			continue
		}
		if g.assigner == nil {
			g.assigner = weights.NewAssigner()
		}
		var reports []weights.Report
		for name, service := range routes.Services {
			if len(service.Models) > 0 {
				engines := enginesOf(servers, name, i)
				reports = append(reports, g.reports(engines, service, routes.RequiresSingleVersion(name), demand, now)...)
			}
		}
		g.rollout.ReplaceReports(reports)
	}
}

func (g *orderGroup) reports(engines []weights.MultiModelEngine, service caller.Service, finishRuns bool, demand map[string]float64, now time.Time) []weights.Report {
	reports := make([]weights.Report, 0, len(engines))
	models := g.assigner.Assign(engines, service.Models, demand)
	for _, e := range engines {
		model := models[e.ID]
		reports = append(reports, weights.Report{At: now, Engine: weights.Engine{
			ID: e.ID, Address: e.Address, Service: service.Name, Model: model, Version: e.Versions[model], RequiresSingleVersion: finishRuns,
		}})
	}
	return reports
}

// groupOf returns the group that orders the engine.
func groupOf(id core.ServerID) int { return int(xxhash.Sum64String(string(id)) % orderGroups) }

// enginesOf returns the engines of a service that belong to the group.
func enginesOf(servers []backend.Server, service string, group int) []weights.MultiModelEngine {
	var engines []weights.MultiModelEngine
	for _, s := range servers {
		if s.Description.Service != service || s.Leaving || groupOf(s.ID) != group {
			continue
		}
		e := weights.MultiModelEngine{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Service: service, Versions: map[string]core.Version{}}
		for _, m := range s.Description.Models {
			e.Versions[m.Name] = m.Version
		}
		engines = append(engines, e)
	}
	return engines
}

// namedVersions holds the newest version of each model. One duty writes it.
type namedVersions struct {
	list atomic.Pointer[[]adapter.NamedVersion]
}

var _ weights.Store = (*namedVersions)(nil)

func (n *namedVersions) set(v adapter.NamedVersion) {
	var list []adapter.NamedVersion
	if current := n.list.Load(); current != nil {
		list = slices.Clone(*current)
	}
	for i := range list {
		if list[i].Model == v.Model {
			list[i].Version = max(list[i].Version, v.Version)
			n.list.Store(&list)
			return
		}
	}
	list = append(list, v)
	n.list.Store(&list)
}

// Latest implements weights.Store. A model without a named version has none to load.
func (n *namedVersions) Latest(_ context.Context, model string) (core.Version, error) {
	if current := n.list.Load(); current != nil {
		for _, v := range *current {
			if v.Model == model {
				return v.Version, nil
			}
		}
	}
	return 0, nil
}
