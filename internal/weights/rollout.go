package weights

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// Timings of the weights duty.
const (
	tickPeriod = 500 * time.Millisecond
	// MaxOrderDuration bounds one order from the check of the lease to the last
	// byte of the response. A new owner waits this long before it sends orders to
	// engines that do not check fencing numbers, so that no order of the previous
	// owner is executed after one of the new owner. A previous owner that was
	// paused can still send a late order; the reports reveal it and the rollout
	// repairs it.
	MaxOrderDuration     = 30 * time.Second
	latestVersionTimeout = 2 * time.Second
	resultRingCapacity   = 4096
	// maxReportAge is the age of an engine's last report after which the engine
	// is removed and its version counts as unknown.
	maxReportAge = 10 * time.Second
	// minOrderBackoff and maxOrderBackoff bound the backoff after failed orders
	// to an engine, which doubles with each failure. Meanwhile the other engines
	// are served first.
	minOrderBackoff = time.Second
	maxOrderBackoff = 8 * time.Second
)

// Loader sends orders to engines. Its methods block.
type Loader interface {
	// Load returns once the engine has loaded the version or the load has
	// failed. source is the address of the engine to copy from; empty is the
	// weight store. readBack is the version that was read back from the engine
	// afterwards; 0 if none was.
	Load(ctx context.Context, e Engine, o Order, source string, fence int64) (readBack core.Version, err error)
}

// Store is the weight store. Its methods block.
type Store interface {
	// Latest returns the newest version of the model.
	Latest(ctx context.Context, model string) (core.Version, error)
}

// Report is an engine's own report of its state.
type Report struct {
	Engine Engine        // its State is ignored
	Age    time.Duration // how long ago the engine was in this state
}

// Lease is this daemon's lease on the rollouts of its data centre.
type Lease struct {
	Fence      int64
	ValidUntil time.Time // by the duty's clock
	// TakeoverWaitDone means that the previous holder was an earlier run on this
	// host that had completed the takeover wait, so that no order of another host
	// can be in flight.
	TakeoverWaitDone bool
}

type orderResult struct {
	order    Order
	model    string // model of the order; the engine's may have changed since
	readBack core.Version
	err      error
}

type latestVersionResult struct {
	model   string
	version core.Version
	err     error
}

// trackedEngine is an engine with what the duty knows beyond its reports.
type trackedEngine struct {
	Engine
	reportedAt time.Time
	// loadEndedAt is the end of the last order to the engine. An earlier report
	// does not show which version the engine holds now.
	loadEndedAt         time.Time
	consecutiveFailures int       // of orders
	backoffUntil        time.Time // no order is sent earlier
}

// reportList is a set of engine reports. A complete list contains all engines.
type reportList struct {
	reports    []Report
	receivedAt time.Time // by the duty's clock
	isComplete bool
}

// Rollout is the duty that rolls new versions out to the engines of a data
// centre. It sends orders only while its daemon holds the lease.
type Rollout struct {
	loop   *duty.Loop
	log    *logrus.Entry
	loader Loader
	store  Store
	pool   platform.Pool
	limits Limits

	reports        *ring.Ring[reportList]
	leases         *ring.Ring[Lease]
	results        *ring.Ring[orderResult]
	latestVersions *ring.Ring[latestVersionResult]

	engines         map[core.ServerID]*trackedEngine
	targets         map[string]core.Version // by model
	isReadingLatest map[string]bool         // models whose latest version is being read
	inProgress      map[core.ServerID]Order
	lease           Lease
	leaseSince      time.Time       // when the lease with this fencing number began
	leaseContext    context.Context // ends when the lease with this fencing number is lost or released
	endLease        context.CancelFunc
	listeners       []func(model string, v core.Version)
	onLoad          func(LoadEvent)

	failures uint64
	repairs  uint64
}

// NewRollout returns the weights duty. The listeners are called on the duty's
// goroutine with each new version and must not block.
func NewRollout(clock duty.Clock, log *logrus.Entry, loader Loader, store Store, pool platform.Pool, limits Limits, listeners ...func(string, core.Version)) *Rollout {
	r := &Rollout{
		loop:            duty.New("weights", clock),
		log:             log,
		loader:          loader,
		store:           store,
		pool:            pool,
		limits:          limits,
		reports:         ring.New[reportList]("weights.reports", 16),
		leases:          ring.New[Lease]("weights.holdings", 16),
		results:         ring.New[orderResult]("weights.ends", resultRingCapacity),
		latestVersions:  ring.New[latestVersionResult]("weights.latest", resultRingCapacity),
		engines:         map[core.ServerID]*trackedEngine{},
		targets:         map[string]core.Version{},
		isReadingLatest: map[string]bool{},
		inProgress:      map[core.ServerID]Order{},
		listeners:       listeners,
	}
	r.leaseContext, r.endLease = context.WithCancel(context.Background())
	duty.On(r.loop, r.leases, r.handleLease)
	duty.On(r.loop, r.reports, r.handleReports)
	duty.On(r.loop, r.results, r.handleResult)
	duty.On(r.loop, r.latestVersions, r.handleLatest)
	r.loop.Every(tickPeriod, r.tick)
	return r
}

// LoadEvent says that a load has started or ended.
type LoadEvent struct {
	Engine  core.ServerID
	Model   string
	Version core.Version // version on the engine; 0 if unknown
	Loading bool
}

// SetOnLoad sets a function that is called on the duty's goroutine when a load
// starts and ends. It must not block and must be set before the duty starts.
func (r *Rollout) SetOnLoad(f func(LoadEvent)) { r.onLoad = f }

// SetLatestVersion passes a new version of a model to the duty before the next
// read of the weight store. Any goroutine may call it.
func (r *Rollout) SetLatestVersion(model string, v core.Version) {
	r.latestVersions.TryPut(latestVersionResult{model: model, version: v})
}

func (r *Rollout) notify(e LoadEvent) {
	if r.onLoad != nil {
		r.onLoad(e)
	}
}

// Loop returns the duty's loop.
func (r *Rollout) Loop() *duty.Loop { return r.loop }

// AddReports passes reports of engines of the data centre to the duty. Engines
// without a report are kept. Any goroutine may call it.
func (r *Rollout) AddReports(reports []Report) {
	r.reports.PutLatest(reportList{reports: reports, receivedAt: r.loop.Clock().Now()})
}

// ReplaceReports passes the reports of all engines to the duty. Engines without a
// report are removed at once. Any goroutine may call it.
func (r *Rollout) ReplaceReports(reports []Report) {
	r.reports.PutLatest(reportList{reports: reports, receivedAt: r.loop.Clock().Now(), isComplete: true})
}

// SetLease passes the daemon's current lease to the duty; the zero Lease means
// none. Any goroutine may call it.
func (r *Rollout) SetLease(l Lease) { r.leases.PutLatest(l) }

func (r *Rollout) handleLease(l Lease) {
	if l.Fence != r.lease.Fence {
		// Orders in progress may be waiting for their engine. They must not be sent any more,
		// since the next holder counts from the end of this lease.
		r.endLease()
		r.leaseContext, r.endLease = context.WithCancel(context.Background())
		r.leaseSince = r.loop.Clock().Now()
		if l.TakeoverWaitDone {
			r.leaseSince = r.leaseSince.Add(-r.takeoverWait())
		}
	}
	r.lease = l
	r.startOrders()
}

// handleReports applies the reports. After an order an engine is ready again only
// by a report from after the order's end.
func (r *Rollout) handleReports(list reportList) {
	if list.isComplete {
		r.removeUnlisted(list.reports)
	}
	for _, report := range list.reports {
		e := r.engines[report.Engine.ID]
		if e == nil {
			e = &trackedEngine{}
			r.engines[report.Engine.ID] = e
		}
		r.applyReport(e, report, list.receivedAt.Add(-report.Age))
	}
	r.startOrders()
}

func (r *Rollout) applyReport(e *trackedEngine, report Report, at time.Time) {
	state := e.State
	target := r.targets[report.Engine.Model]
	if e.State == StateReady && e.Version == target && target.IsKnown() && report.Engine.Version < target {
		// A late order of another owner, or a restart, replaced the version.
		r.repairs++
	}
	if state != StateLoading && at.After(e.loadEndedAt) {
		state = StateReady
		if !report.Engine.Version.IsKnown() {
			state = StateUnknown
		}
	}
	e.Engine = report.Engine
	e.State = state
	e.reportedAt = at
}

func (r *Rollout) tick() {
	r.removeStale()
	for _, model := range r.models() {
		r.readLatest(model)
	}
	r.startOrders()
}

// removeStale removes engines whose reports have stopped.
func (r *Rollout) removeStale() {
	now := r.loop.Clock().Now()
	for id, e := range r.engines {
		if e.State != StateLoading && now.Sub(e.reportedAt) > maxReportAge {
			delete(r.engines, id)
		}
	}
}

// removeUnlisted removes engines that are no longer listed. Orders in progress to
// them are not cancelled.
func (r *Rollout) removeUnlisted(reports []Report) {
	listed := make(map[core.ServerID]bool, len(reports))
	for _, report := range reports {
		listed[report.Engine.ID] = true
	}
	for id := range r.engines {
		if !listed[id] {
			delete(r.engines, id)
		}
	}
}

func (r *Rollout) models() []string {
	seen := map[string]bool{}
	var models []string
	for _, e := range r.engines {
		if !seen[e.Model] {
			seen[e.Model] = true
			models = append(models, e.Model)
		}
	}
	return models
}

// readLatest reads the newest version from the weight store. Only the owner needs
// it.
func (r *Rollout) readLatest(model string) {
	if r.isReadingLatest[model] || !r.isOwner() {
		return
	}
	r.isReadingLatest[model] = r.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), latestVersionTimeout)
		defer cancel()
		version, err := r.store.Latest(ctx, model)
		r.latestVersions.TryPut(latestVersionResult{model: model, version: version, err: err})
	})
}

func (r *Rollout) handleLatest(l latestVersionResult) {
	r.isReadingLatest[l.model] = false
	if l.err != nil || l.version <= r.targets[l.model] {
		return
	}
	r.targets[l.model] = l.version
	for _, listener := range r.listeners {
		listener(l.model, l.version)
	}
	r.startOrders()
}

func (r *Rollout) isOwner() bool {
	return r.lease.Fence > 0 && r.loop.Clock().Now().Before(r.lease.ValidUntil)
}

// startOrders starts the orders that Plan returns, one at a time for the model that
// has the fewest engines for its newest version. Without this order, a model whose
// work waits for an engine would wait until the loads of the others have ended.
func (r *Rollout) startOrders() {
	if !r.isOwner() {
		return
	}
	for r.startMostUrgentOrder() {
	}
}

// startMostUrgentOrder starts at most one order and reports whether it did.
func (r *Rollout) startMostUrgentOrder() bool {
	for _, model := range r.modelsByServingShare() {
		for _, o := range r.plan(model) {
			if r.startOrder(o) {
				return true
			}
		}
	}
	return false
}

// plan returns the orders that may start now for one model.
func (r *Rollout) plan(model string) []Order {
	orders := r.ordersOf(model)
	limits := r.limits
	limits.MaxStoreLoads = limits.storeLoads(len(r.engines))
	if limits.MaxStoreLoadShare > 0 {
		limits.MaxStoreLoads -= len(r.inProgress) - len(orders)
	}
	return Plan(r.orderableEngines(model), orders, r.targets[model], limits)
}

// modelsByServingShare returns the models, beginning with the one that has the
// smallest share of engines that serve its newest version or are loading it.
func (r *Rollout) modelsByServingShare() []string {
	engines, serving := map[string]float64{}, map[string]float64{}
	for _, e := range r.engines {
		engines[e.Model]++
		if e.State == StateLoading || r.limits.isServing(e.Engine, r.targets[e.Model]) {
			serving[e.Model]++
		}
	}
	models := slices.Sorted(maps.Keys(r.targets))
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Compare(serving[a]/max(1, engines[a]), serving[b]/max(1, engines[b]))
	})
	return models
}

// orderableEngines returns the model's engines that may get an order now.
func (r *Rollout) orderableEngines(model string) []Engine {
	now := r.loop.Clock().Now()
	var list []Engine
	for _, e := range r.engines {
		if e.Model != model || !r.mayOrder(e) || now.Before(e.backoffUntil) {
			continue
		}
		engine := e.Engine
		if e.State == StateUnknown && !e.reportedAt.After(e.loadEndedAt) {
			// The version is not read back yet: the engine counts as unavailable
			// and gets no order.
			engine.State = StateLoading
		}
		list = append(list, engine)
	}
	return list
}

// mayOrder reports whether the engine may get orders from this owner. An engine
// that does not check fencing numbers may not while an order of the previous
// owner can still be in flight.
func (r *Rollout) mayOrder(e *trackedEngine) bool {
	return e.ChecksFence || r.loop.Clock().Now().Sub(r.leaseSince) >= r.takeoverWait()
}

func (r *Rollout) takeoverWait() time.Duration {
	if r.limits.TakeoverWait > 0 {
		return r.limits.TakeoverWait
	}
	return MaxOrderDuration
}

func (r *Rollout) ordersOf(model string) []Order {
	var list []Order
	for id, o := range r.inProgress {
		if e := r.engines[id]; e != nil && e.Model == model {
			list = append(list, o)
		}
	}
	return list
}

// startOrder reports whether the order was started.
func (r *Rollout) startOrder(o Order) bool {
	e := r.engines[o.Engine]
	source := ""
	if s := r.engines[o.Source]; s != nil {
		source = s.Address
	}
	engine, lease, leaseContext, clock := e.Engine, r.lease, r.leaseContext, r.loop.Clock()
	started := r.pool.TryGo(func() {
		readBack, err := r.sendOrder(leaseContext, clock, lease, engine, o, source)
		r.results.TryPut(orderResult{order: o, model: engine.Model, readBack: readBack, err: err})
	})
	if !started {
		return false
	}
	e.State = StateLoading
	r.inProgress[o.Engine] = o
	r.notify(LoadEvent{Engine: o.Engine, Model: engine.Model, Loading: true})
	return true
}

// sendOrder runs on a pool goroutine. It checks the lease again right before the
// order is sent, since the goroutine may have been paused. leaseContext ends when the
// lease is lost or released.
func (r *Rollout) sendOrder(leaseContext context.Context, clock duty.Clock, l Lease, e Engine, o Order, source string) (core.Version, error) {
	if !clock.Now().Before(l.ValidUntil) {
		return 0, core.NotRunError(core.CodeConflict, "the lease on rollouts has expired")
	}
	ctx, cancel := context.WithTimeout(leaseContext, MaxOrderDuration)
	defer cancel()
	o.ValidUntil = l.ValidUntil
	return r.loader.Load(ctx, e, o, source, l.Fence)
}

// handleResult handles the end of an order. Whether the load succeeded or not,
// the engine gets no work until its version was read back or a later report
// contains it.
func (r *Rollout) handleResult(result orderResult) {
	delete(r.inProgress, result.order.Engine)
	if result.err != nil {
		r.failures++
		r.log.WithError(result.err).WithField("backend_server", result.order.Engine).Warn("order to load a version failed")
	}
	if engine := r.engines[result.order.Engine]; engine != nil {
		r.notify(LoadEvent{Engine: result.order.Engine, Model: result.model, Version: result.readBack})
		engine.State = StateUnknown
		engine.loadEndedAt = r.loop.Clock().Now()
		engine.updateBackoff(result.err, engine.loadEndedAt)
		if result.readBack.IsKnown() && engine.Model == result.model {
			engine.State, engine.Version, engine.reportedAt = StateReady, result.readBack, engine.loadEndedAt
		}
	}
	r.startOrders()
}

// updateBackoff sets the backoff after a failed order and clears it after a
// successful one.
func (e *trackedEngine) updateBackoff(err error, now time.Time) {
	if err == nil {
		e.consecutiveFailures, e.backoffUntil = 0, time.Time{}
		return
	}
	e.backoffUntil = now.Add(min(maxOrderBackoff, minOrderBackoff<<min(e.consecutiveFailures, 8)))
	e.consecutiveFailures++
}
