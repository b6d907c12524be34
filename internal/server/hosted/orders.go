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
	// orderGroups is the number of groups of engines. Each group has its own lease, so
	// that the loss of one daemon delays new versions in one group only. An engine
	// never changes its group.
	orderGroups = 2
	// orderLeaseDuration bounds the time until a holder's failure is detected.
	orderLeaseDuration = 3 * time.Second
	// closeCandidates is the number of daemons that poll a lease twice per lease
	// duration. The others poll it each distantPollPeriod, in case all of the close
	// candidates fail. Beyond rank distantPollPeriod/distantPollStep the period grows
	// with the rank, so that the calls of the store hardly grow with the number of
	// daemons.
	closeCandidates   = 3
	distantPollPeriod = 8 * time.Second
	distantPollStep   = 4 * time.Second
	// candidateDelay per rank lets the daemons that rank first for a lease acquire it
	// first.
	candidateDelay = time.Second
	// groupDelay per group lets a daemon know that it holds the lease of one group
	// before it acquires that of the next.
	groupDelay = 250 * time.Millisecond
	// orderPoolSize is the number of concurrent orders.
	orderPoolSize = 64
	// maxLoadingShare is the share of a group's engines that may load at the same time.
	// The weight store slows down if more than about a quarter of the engines load.
	maxLoadingShare = 0.25
	// takeoverMargin is added to the minimum time between the orders of two holders.
	takeoverMargin = 300 * time.Millisecond
)

// leaseReleaseDelay is the time between the last order and the release of a lease, so
// that the next holder waits as long after a release as after an expiry.
var leaseReleaseDelay = platform.MinTakeoverGap(orderLeaseDuration)

// engineOrders orders engines to load the published versions.
type engineOrders struct {
	leaseManager   *platform.LeaseManager
	groups         [orderGroups]*orderGroup
	versionWatcher *platform.Watcher
	latestVersions *versionTable
	isStopping     atomic.Bool
}

// orderGroup orders the engines of one group while this daemon holds the group's
// lease.
type orderGroup struct {
	lease    string
	rollout  *weights.Rollout
	assigner *weights.Assigner // used on the directory's goroutine only; nil without the lease
	isHolder atomic.Bool
	// firstDelay is the time from the first start of all daemons until this one reads
	// its rank.
	firstDelay time.Duration
}

func (d *frontDaemon) buildOrders() error {
	pool, err := d.pool("orders", orderPoolSize)
	if err != nil {
		return err
	}
	clock := duty.NewBootClock()
	o := &engineOrders{latestVersions: &versionTable{}, leaseManager: platform.NewLeaseManager(clock, d.store, d.runName(), d.random())}
	limits := orderLimits(d.hostSettings.Bounds.LeaseTurn)
	orders := adapter.NewOrders(d.hostSettings.Host, clock)
	d.loops = append(d.loops, o.leaseManager.Loop())
	for i := range o.groups {
		g := &orderGroup{lease: fmt.Sprintf("orders-%d", i)}
		g.rollout = weights.NewRollout(clock, d.log, orders, o.latestVersions, pool, limits)
		g.rollout.SetOnLoad(d.notifier.addLoadEvent)
		g.firstDelay = candidateDelay + time.Duration(i)*groupDelay
		o.groups[i] = g
		d.loops = append(d.loops, g.rollout.Loop())
		d.becomeCandidate(o, g, limits.TakeoverWait)
	}
	o.versionWatcher = d.watchKind(adapter.KindVersions, platform.WatcherOptions{StartInactive: true, MaxAge: fixedAge(maxVersionsAge)}, func(s platform.Snapshot) { d.handleVersions(o, s) })
	d.orders = o
	return nil
}

// orderLimits returns the limits of a roll-out whose engines require at least turn
// between the orders of two holders.
func orderLimits(turn time.Duration) weights.Limits {
	return weights.Limits{
		MaxStoreLoadShare: maxLoadingShare, MinReadyShare: weights.DefaultLimits().MinReadyShare, MaxServingLag: 1,
		TakeoverWait: max(0, turn-platform.MinTakeoverGap(orderLeaseDuration)) + takeoverMargin,
	}
}

// rolloutLease converts a lease event to the lease of a roll-out.
func rolloutLease(e platform.LeaseEvent) weights.Lease {
	if e.Kind == platform.LeaseLost {
		return weights.Lease{}
	}
	return weights.Lease{
		Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline,
		TakeoverWaitDone: e.Kind == platform.LeaseGained && e.TakeoverWaitDone,
	}
}

// becomeCandidate makes this daemon a candidate for the group's lease. If all daemons
// start for the first time, it waits candidateDelay before its rank is read from the
// list of peers, and then candidateDelay per rank. takeoverWait is how long a new
// holder waits for orders of the previous holder.
func (d *frontDaemon) becomeCandidate(o *engineOrders, g *orderGroup, takeoverWait time.Duration) {
	options := platform.LeaseOptions{
		Duration:   orderLeaseDuration,
		Listener:   func(e platform.LeaseEvent) { d.handleLease(o, g, e) },
		PollPeriod: func() time.Duration { return d.pollPeriod(o, g) },
		// The platform starts a process on a host only after the previous one has ended.
		IsEarlierRun: d.isEarlierRun,
		TakeoverWait: takeoverWait,
	}
	var acquire func()
	acquire = func() {
		switch {
		case o.isStopping.Load():
		case o.holdsAnother(g) && len(d.peerList.otherAddresses()) > 0:
			o.leaseManager.Loop().After(distantPollPeriod, acquire)
		case !o.leaseManager.Acquire(g.lease, options):
			d.log.WithField("lease", g.lease).Error("daemon cannot become a candidate: ring of the lease manager is full")
		}
	}
	if !d.hostSettings.Bootstrap {
		acquire()
		return
	}
	o.leaseManager.Loop().After(g.firstDelay, func() {
		o.leaseManager.Loop().After(time.Duration(d.leaseRank(g.lease))*candidateDelay, acquire)
	})
}

func (d *frontDaemon) isEarlierRun(holder string) bool {
	return strings.HasPrefix(holder, d.hostSettings.Host+"/")
}

// leaseRank returns this daemon's rank among the candidates for the lease, from 0.
func (d *frontDaemon) leaseRank(lease string) int {
	others := d.peerList.otherAddresses()
	ranked := rendezvous.RendezvousRank(lease, append(slices.Clone(others), d.hostSettings.PeerAddress), len(others)+1)
	return slices.Index(ranked, d.hostSettings.PeerAddress)
}

// pollPeriod returns the period at which this daemon reads the group's lease as a
// candidate. The holder of another group's lease leaves it to others, because the loss
// of a daemon that holds both would delay new versions in all groups.
func (d *frontDaemon) pollPeriod(o *engineOrders, g *orderGroup) time.Duration {
	return candidatePollPeriod(d.leaseRank(g.lease), o.holdsAnother(g))
}

func candidatePollPeriod(rank int, holdsAnother bool) time.Duration {
	if rank < closeCandidates && !holdsAnother {
		return orderLeaseDuration / 2
	}
	return max(distantPollPeriod, time.Duration(rank)*distantPollStep)
}

// handleLease applies a lease event to the group's roll-out. It runs on the lease
// manager's goroutine.
func (d *frontDaemon) handleLease(o *engineOrders, g *orderGroup, e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		if o.isStopping.Load() {
			return
		}
		g.rollout.SetLease(rolloutLease(e))
	case platform.LeaseLost:
		g.rollout.SetLease(rolloutLease(e))
	}
	if e.Kind == platform.LeaseRenewed {
		return
	}
	d.logLeaseChange(e)
	g.isHolder.Store(e.Kind == platform.LeaseGained)
	o.versionWatcher.SetActive(o.holdsAny())
	// The empty update makes the directory deliver the engines to a new holder.
	d.directory.UpdateModelStatus(nil)
}

// logLeaseChange logs that a lease was gained or lost, or that its holder has changed.
func (d *frontDaemon) logLeaseChange(e platform.LeaseEvent) {
	d.log.WithFields(logrus.Fields{"lease": e.Lease.Name, "event": e.Kind.String(), "fence": e.Lease.Fence, "holder": e.Holder, "holder_before": e.PreviousHolder}).Info("lease changed")
}

// holdsAnother reports whether this daemon holds the lease of a group other than g,
// which may be nil.
func (o *engineOrders) holdsAnother(g *orderGroup) bool {
	return slices.ContainsFunc(o.groups[:], func(other *orderGroup) bool { return other != nil && other != g && other.isHolder.Load() })
}

func (o *engineOrders) holdsAny() bool {
	return o.holdsAnother(nil)
}

// releaseLeases releases the leases at a planned stop, leaseReleaseDelay after the
// last order.
func (o *engineOrders) releaseLeases(ctx context.Context) {
	o.isStopping.Store(true)
	for _, g := range o.groups {
		g.rollout.SetLease(weights.Lease{})
	}
	_ = duty.Sleep(ctx, leaseReleaseDelay)
	for _, g := range o.groups {
		o.leaseManager.Release(g.lease)
	}
}

func (d *frontDaemon) handleVersions(o *engineOrders, s platform.Snapshot) {
	for _, object := range s.Objects {
		if object.Deleted {
			d.oddVersions.remove(object.Key)
			continue
		}
		v, err := adapter.DecodeVersion(strings.TrimPrefix(object.Key, adapter.KindVersions+"/"), object.Value)
		if err != nil {
			d.reportOddEntry(&d.oddVersions, object.Key, "weight version cannot be decoded", err)
			continue
		}
		d.oddVersions.remove(object.Key)
		d.log.WithFields(logrus.Fields{"model": v.Model, "version": v.Version}).Info("weight version received")
		o.latestVersions.set(v)
		for _, g := range o.groups {
			g.rollout.SetLatestVersion(v.Model, v.Version)
		}
	}
}

// reportServers reports the versions that the engines hold to the roll-outs whose leases
// this daemon holds. It runs on the directory's goroutine.
func (o *engineOrders) reportServers(servers []backend.Server, routes *caller.RouteSet, demand map[string]float64) {
	if routes == nil {
		return
	}
	for i, g := range o.groups {
		if !g.isHolder.Load() {
			// Another holder's assignment is visible only in the engines' versions.
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
				reports = append(reports, g.reports(engines, service, routes.RequiresSingleVersion(name), demand)...)
			}
		}
		g.rollout.ReplaceReports(reports)
	}
}

func (g *orderGroup) reports(engines []weights.MultiModelEngine, service caller.Service, requiresSingleVersion bool, demand map[string]float64) []weights.Report {
	reports := make([]weights.Report, 0, len(engines))
	models := g.assigner.Assign(engines, service.Models, demand)
	for _, e := range engines {
		model := models[e.ID]
		reports = append(reports, weights.Report{Engine: weights.Engine{
			ID: e.ID, Address: e.Address, Service: service.Name, Model: model, Version: e.Versions[model], RequiresSingleVersion: requiresSingleVersion,
		}})
	}
	return reports
}

// groupOf returns the index of the engine's group, which depends on its ID only.
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

// versionTable holds the latest published version of each model. One duty writes it,
// and any goroutine may read it.
type versionTable struct {
	list atomic.Pointer[[]adapter.NamedVersion]
}

var _ weights.Store = (*versionTable)(nil)

func (n *versionTable) set(v adapter.NamedVersion) {
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

// Latest implements weights.Store. It returns 0 for a model without a published
// version.
func (n *versionTable) Latest(_ context.Context, model string) (core.Version, error) {
	if current := n.list.Load(); current != nil {
		for _, v := range *current {
			if v.Model == model {
				return v.Version, nil
			}
		}
	}
	return 0, nil
}
