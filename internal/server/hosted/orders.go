package hosted

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/weights"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// ordersLease is held by the daemon that gives orders to the engines.
	ordersLease = "orders"
	// ordersLeaseTime is how long that daemon's death holds up new versions.
	ordersLeaseTime = 3 * time.Second
	// orderWorkers bounds the orders in progress.
	orderWorkers = 64
	// loadShare is the share of the engines that loads at once. The weight store
	// slows down beyond about a quarter of the engines.
	loadShare = 0.25
	// takeoverMargin is added to the time that must lie between the orders of
	// two holders.
	takeoverMargin = 400 * time.Millisecond
)

// releaseWait lies between the last order and the release of the lease, so that
// a release leaves as much time as a lapse.
var releaseWait = platform.LapseGap(ordersLeaseTime)

// orderParts bring named versions to the engines.
type orderParts struct {
	lessor   *platform.Lessor
	rollout  *weights.Rollout
	versions *platform.Watcher
	named    *namedVersions
	assigner *weights.Assigner // used on the directory's goroutine
	stopping atomic.Bool
	held     atomic.Bool
}

func (d *frontDaemon) buildOrders() error {
	pool, err := d.pool("orders", orderWorkers)
	if err != nil {
		return err
	}
	clock := duty.NewBootClock()
	o := &orderParts{named: &namedVersions{}, assigner: weights.NewAssigner()}
	limits := weights.Limits{
		StoreShare: loadShare, MinReady: weights.DefaultLimits().MinReady,
		UsefulLag:    1,
		TakeoverWait: max(0, d.set.Bounds.LeaseTurn-platform.LapseGap(ordersLeaseTime)) + takeoverMargin,
	}
	o.rollout = weights.NewRollout(clock, d.log, adapter.NewOrders(d.set.Host, clock), o.named, pool, limits)
	o.lessor = platform.NewLessor(clock, d.store, d.runName(), d.random())
	o.rollout.SetOnWorker(d.notices.add)
	o.versions = d.follow(adapter.KindVersions, platform.WatcherOptions{Inactive: true}, func(s platform.Snapshot) { d.handleVersions(o, s) })
	d.loops = append(d.loops, o.rollout.Loop(), o.lessor.Loop())
	o.lessor.Acquire(ordersLease, platform.LeaseOptions{Duration: ordersLeaseTime, Listener: func(e platform.LeaseEvent) { d.handleLease(o, e) }})
	d.orders = o
	return nil
}

// handleLease runs on the lessor's goroutine.
func (d *frontDaemon) handleLease(o *orderParts, e platform.LeaseEvent) {
	switch e.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		if o.stopping.Load() {
			return
		}
		o.rollout.SetHolding(weights.Holding{Fence: e.Holding.Fence, ValidUntil: e.Holding.Deadline})
	case platform.LeaseLost:
		o.rollout.SetHolding(weights.Holding{})
	}
	if e.Kind != platform.LeaseRenewed {
		d.log.WithFields(logrus.Fields{"lease": e.Holding.Name, "event": e.Kind.String(), "fence": e.Holding.Fence, "holder": e.Holder}).Info("lease changed")
		o.held.Store(e.Kind == platform.LeaseGained)
		o.versions.SetActive(e.Kind == platform.LeaseGained)
	}
}

// release gives the lease up at a planned stop, some time after the last order.
func (o *orderParts) release(ctx context.Context) {
	o.stopping.Store(true)
	o.rollout.SetHolding(weights.Holding{})
	_ = duty.Sleep(ctx, releaseWait)
	o.lessor.Release(ordersLease)
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
		o.rollout.SetLatest(v.Model, v.Version)
	}
}

// setServers tells the roll-out what the engines hold. It runs on the
// directory's goroutine.
func (o *orderParts) setServers(servers []backend.Server, routes *caller.RouteSet) {
	if routes == nil {
		return
	}
	if !o.held.Load() {
		// The assignment of another holder shows in the versions alone.
		o.assigner = weights.NewAssigner()
	}
	now := time.Now()
	var reports []weights.Report
	for name, service := range routes.Services {
		if len(service.Models) == 0 {
			continue
		}
		engines := enginesOf(servers, name)
		models := o.assigner.Assign(engines, service.Models)
		for _, e := range engines {
			model := models[e.ID]
			reports = append(reports, weights.Report{At: now, Worker: weights.Worker{
				ID: e.ID, Address: e.Address, Service: name, Model: model, Version: e.Versions[model],
			}})
		}
	}
	o.rollout.SetEngines(reports)
}

func enginesOf(servers []backend.Server, service string) []weights.Engine {
	var engines []weights.Engine
	for _, s := range servers {
		if s.Description.Service != service || s.Leaving {
			continue
		}
		e := weights.Engine{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Service: service, Versions: map[string]core.Version{}}
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
