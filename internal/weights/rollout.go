package weights

import (
	"context"
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
	// MaxOrderDuration bounds one order from its check against the lease to its
	// last byte. A new owner waits that long before it orders engines that do
	// not check fencing numbers, so that an order of the old owner is not
	// carried out after one of the new owner, unless the old owner was paused;
	// read-back repairs that case.
	MaxOrderDuration = 30 * time.Second
	latestTimeout    = 2 * time.Second
	ringCapacity     = 4096
	// staleAfter is how long a worker may go without a report before its
	// version counts as unknown.
	staleAfter = 10 * time.Second
	// firstOrderPause and maxOrderPause bound the pause after failed orders to
	// a worker, which doubles with each. Meanwhile the other workers go first.
	firstOrderPause = time.Second
	maxOrderPause   = 8 * time.Second
)

// Loader gives orders to engines. Its methods block.
type Loader interface {
	// Load returns once the engine has loaded the version or the load has
	// failed. held is the version that was read back from the engine
	// afterwards; 0 if it was not.
	Load(ctx context.Context, w Engine, o Order, source string, fence int64) (held core.Version, err error)
}

// Store is the weight store. Its methods block.
type Store interface {
	// Latest returns the newest version of the model.
	Latest(ctx context.Context, model string) (core.Version, error)
}

// Report is what an engine says of itself.
type Report struct {
	Engine Engine // State is not used
	At     time.Time
}

// Lease is this daemon's lease on the roll-outs of its data centre.
type Lease struct {
	Fence      int64
	ValidUntil time.Time // on this host's monotonic clock
	// TakeoverWaitDone means that the holder before was an earlier run on this host
	// that had waited for the orders of others, so that none can be on its way.
	TakeoverWaitDone bool
}

type orderEnd struct {
	order Order
	model string // that the order was for; the worker's may have changed since
	held  core.Version
	err   error
}

type latestResult struct {
	model   string
	version core.Version
	err     error
}

// workerState is a worker with what the duty knows beyond its reports.
type workerState struct {
	Engine
	reported time.Time
	// loadEnded is when the last order to the worker ended. A report from
	// before that says nothing about what the worker holds now.
	loadEnded time.Time
	failures  int       // orders that failed in a row
	notUntil  time.Time // of the next order, after a failure
}

// reportList is what the engines say of themselves. A complete list names all
// engines there are.
type reportList struct {
	reports  []Report
	complete bool
}

// Rollout is the duty that brings new versions to the workers of a data centre.
// It gives orders only while its daemon holds the lease.
type Rollout struct {
	loop    *duty.Loop
	log     *logrus.Entry
	orderer Loader
	store   Store
	pool    platform.Pool
	limits  Limits

	reports  *ring.Ring[reportList]
	holdings *ring.Ring[Lease]
	ends     *ring.Ring[orderEnd]
	latest   *ring.Ring[latestResult]

	workers    map[core.ServerID]*workerState
	targets    map[string]core.Version // by model
	asking     map[string]bool         // models whose latest version is being read
	inProgress map[core.ServerID]Order
	holding    Lease
	heldSince  time.Time // first moment of the holding's fencing number
	listeners  []func(model string, v core.Version)
	onWorker   func(LoadEvent)

	failures uint64
	repairs  uint64
}

// NewRollout returns the weights duty. listeners are told of each new version
// and must not wait.
func NewRollout(clock duty.Clock, log *logrus.Entry, o Loader, s Store, pool platform.Pool, l Limits, listeners ...func(string, core.Version)) *Rollout {
	r := &Rollout{
		loop:       duty.New("weights", clock),
		log:        log,
		orderer:    o,
		store:      s,
		pool:       pool,
		limits:     l,
		reports:    ring.New[reportList]("weights.reports", 16),
		holdings:   ring.New[Lease]("weights.holdings", 16),
		ends:       ring.New[orderEnd]("weights.ends", ringCapacity),
		latest:     ring.New[latestResult]("weights.latest", ringCapacity),
		workers:    map[core.ServerID]*workerState{},
		targets:    map[string]core.Version{},
		asking:     map[string]bool{},
		inProgress: map[core.ServerID]Order{},
		listeners:  listeners,
	}
	duty.On(r.loop, r.holdings, r.handleHolding)
	duty.On(r.loop, r.reports, r.handleReports)
	duty.On(r.loop, r.ends, r.handleEnd)
	duty.On(r.loop, r.latest, r.handleLatest)
	r.loop.Every(tickPeriod, r.tick)
	return r
}

// LoadEvent says that a load has started or ended.
type LoadEvent struct {
	Engine  core.ServerID
	Model   string
	Version core.Version // that the worker holds; 0 if it is not known
	Loading bool
}

// SetOnLoad sets a function that is told when a load starts and ends. It must
// not wait, and it is set before the duty starts.
func (r *Rollout) SetOnLoad(f func(LoadEvent)) { r.onWorker = f }

// SetLatestVersion takes the newest version of a model as soon as it is known, ahead
// of the next question to the weight store.
func (r *Rollout) SetLatestVersion(model string, v core.Version) {
	r.latest.TryPut(latestResult{model: model, version: v})
}

func (r *Rollout) notify(n LoadEvent) {
	if r.onWorker != nil {
		r.onWorker(n)
	}
}

// Loop returns the duty's loop.
func (r *Rollout) Loop() *duty.Loop { return r.loop }

// AddReports takes what the engines of the data centre say of themselves.
func (r *Rollout) AddReports(reports []Report) { r.reports.PutLatest(reportList{reports: reports}) }

// ReplaceReports takes what all engines that there are say of themselves. Others
// are forgotten at once.
func (r *Rollout) ReplaceReports(reports []Report) {
	r.reports.PutLatest(reportList{reports: reports, complete: true})
}

// SetLease takes the lease of this daemon; the zero Holding says that it has none.
func (r *Rollout) SetLease(h Lease) { r.holdings.PutLatest(h) }

func (r *Rollout) handleHolding(h Lease) {
	if h.Fence != r.holding.Fence {
		r.heldSince = r.loop.Clock().Now()
		if h.TakeoverWaitDone {
			r.heldSince = r.heldSince.Add(-r.takeoverWait())
		}
	}
	r.holding = h
	r.order()
}

// handleReports takes over what the engines hold. A worker is ready again only
// by a report from after its last order ended.
func (r *Rollout) handleReports(list reportList) {
	if list.complete {
		r.dropUnlisted(list.reports)
	}
	for _, report := range list.reports {
		w := r.workers[report.Engine.ID]
		if w == nil {
			w = &workerState{}
			r.workers[report.Engine.ID] = w
		}
		r.applyReport(w, report)
	}
	r.order()
}

func (r *Rollout) applyReport(w *workerState, report Report) {
	state := w.State
	target := r.targets[report.Engine.Model]
	if w.State == StateReady && w.Version == target && target.IsKnown() && report.Engine.Version < target {
		// Another owner's late order, or a restart, took the version away.
		r.repairs++
	}
	if state != StateLoading && report.At.After(w.loadEnded) {
		state = StateReady
		if !report.Engine.Version.IsKnown() {
			state = StateUnknown
		}
	}
	w.Engine = report.Engine
	w.State = state
	w.reported = report.At
}

func (r *Rollout) tick() {
	r.dropSilent()
	for _, model := range r.models() {
		r.askLatest(model)
	}
	r.order()
}

// dropSilent forgets workers whose reports have stopped.
func (r *Rollout) dropSilent() {
	now := r.loop.Clock().Now()
	for id, w := range r.workers {
		if w.State != StateLoading && now.Sub(w.reported) > staleAfter {
			delete(r.workers, id)
		}
	}
}

// dropUnlisted forgets workers that are gone. An order in progress to one ends
// by itself.
func (r *Rollout) dropUnlisted(reports []Report) {
	listed := make(map[core.ServerID]bool, len(reports))
	for _, report := range reports {
		listed[report.Engine.ID] = true
	}
	for id := range r.workers {
		if !listed[id] {
			delete(r.workers, id)
		}
	}
}

func (r *Rollout) models() []string {
	seen := map[string]bool{}
	var models []string
	for _, w := range r.workers {
		if !seen[w.Model] {
			seen[w.Model] = true
			models = append(models, w.Model)
		}
	}
	return models
}

// askLatest reads the newest version, which only the owner needs.
func (r *Rollout) askLatest(model string) {
	if r.asking[model] || !r.isOwner() {
		return
	}
	r.asking[model] = r.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), latestTimeout)
		defer cancel()
		version, err := r.store.Latest(ctx, model)
		r.latest.TryPut(latestResult{model: model, version: version, err: err})
	})
}

func (r *Rollout) handleLatest(l latestResult) {
	r.asking[l.model] = false
	if l.err != nil || l.version <= r.targets[l.model] {
		return
	}
	r.targets[l.model] = l.version
	for _, listener := range r.listeners {
		listener(l.model, l.version)
	}
	r.order()
}

func (r *Rollout) isOwner() bool {
	return r.holding.Fence > 0 && r.loop.Clock().Now().Before(r.holding.ValidUntil)
}

// order starts the orders that the plan allows now.
func (r *Rollout) order() {
	if !r.isOwner() {
		return
	}
	for model, target := range r.targets {
		orders := r.ordersOf(model)
		limits := r.limits
		limits.MaxStoreLoads = limits.fetches(len(r.workers))
		if limits.MaxStoreLoadShare > 0 {
			limits.MaxStoreLoads -= len(r.inProgress) - len(orders)
		}
		for _, o := range Plan(r.workersOf(model), orders, target, limits) {
			r.start(o)
		}
	}
}

// workersOf returns the model's workers that may be ordered now.
func (r *Rollout) workersOf(model string) []Engine {
	now := r.loop.Clock().Now()
	var list []Engine
	for _, w := range r.workers {
		if w.Model != model || !r.mayOrder(w) || now.Before(w.notUntil) {
			continue
		}
		worker := w.Engine
		if w.State == StateUnknown && !w.reported.After(w.loadEnded) {
			// Not read back yet: it counts as down and gets no order.
			worker.State = StateLoading
		}
		list = append(list, worker)
	}
	return list
}

// mayOrder keeps a new owner from ordering engines that do not check fencing
// numbers while an order of the old owner may still be on its way.
func (r *Rollout) mayOrder(w *workerState) bool {
	return w.ChecksFence || r.loop.Clock().Now().Sub(r.heldSince) >= r.takeoverWait()
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
		if w := r.workers[id]; w != nil && w.Model == model {
			list = append(list, o)
		}
	}
	return list
}

func (r *Rollout) start(o Order) {
	w := r.workers[o.Engine]
	source := ""
	if s := r.workers[o.Source]; s != nil {
		source = s.Address
	}
	worker, holding, clock := w.Engine, r.holding, r.loop.Clock()
	started := r.pool.TryGo(func() {
		held, err := r.carryOut(clock, holding, worker, o, source)
		r.ends.TryPut(orderEnd{order: o, model: worker.Model, held: held, err: err})
	})
	if !started {
		return
	}
	w.State = StateLoading
	r.inProgress[o.Engine] = o
	r.notify(LoadEvent{Engine: o.Engine, Model: worker.Model, Loading: true})
}

// carryOut runs on the pool. It checks the lease again right before the order
// is sent, since the worker may have waited.
func (r *Rollout) carryOut(clock duty.Clock, h Lease, w Engine, o Order, source string) (core.Version, error) {
	if !clock.Now().Before(h.ValidUntil) {
		return 0, core.NotRunError(core.CodeConflict, "the lease on roll-outs has lapsed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), MaxOrderDuration)
	defer cancel()
	o.ValidUntil = h.ValidUntil
	return r.orderer.Load(ctx, w, o, source, h.Fence)
}

// handleEnd leaves the worker out of work until a later report says what it
// holds, whether the load seems to have succeeded or not.
func (r *Rollout) handleEnd(e orderEnd) {
	delete(r.inProgress, e.order.Engine)
	if e.err != nil {
		r.failures++
		r.log.WithError(e.err).WithField("backend_server", e.order.Engine).Warn("order to load a version failed")
	}
	if w := r.workers[e.order.Engine]; w != nil {
		r.notify(LoadEvent{Engine: e.order.Engine, Model: e.model, Version: e.held})
		w.State = StateUnknown
		w.loadEnded = r.loop.Clock().Now()
		w.orderEnded(e.err, w.loadEnded)
		if e.held.IsKnown() && w.Model == e.model {
			w.State, w.Version, w.reported = StateReady, e.held, w.loadEnded
		}
	}
	r.order()
}

// orderEnded sets the pause after a failed order.
func (w *workerState) orderEnded(err error, now time.Time) {
	if err == nil {
		w.failures, w.notUntil = 0, time.Time{}
		return
	}
	w.notUntil = now.Add(min(maxOrderPause, firstOrderPause<<min(w.failures, 8)))
	w.failures++
}
