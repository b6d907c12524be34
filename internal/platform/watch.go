package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Watch timings.
const (
	// DefaultWatchTimeout is the longest wait for the answer to one watch. A watch
	// that is quiet for this long is replaced whether it hangs or has nothing to
	// tell, so a hung one delays a change by at most this bound. It is below the
	// 4 s within which an accepted contract is in force.
	DefaultWatchTimeout = 3 * time.Second
	defaultListBound    = 5 * time.Second
	// callGrace is how long after its bound an abandoned call may still hold a
	// worker of the pool.
	callGrace         = time.Second
	watchRetryFirst   = 100 * time.Millisecond
	watchRetryLongest = 2 * time.Second
	watchRing         = 64 // answers of abandoned calls included
)

// Snapshot is the state of a prefix, or the newest changes of it.
type Snapshot struct {
	// Objects are ordered by revision, tombstones included. When a full
	// snapshot lacks an object that was delivered before, it holds a tombstone
	// for it, with a version above the last one delivered.
	Objects  []Object
	Revision int64
	Full     bool // Objects is the whole prefix, not only changes
}

// WatcherOptions sets the limits of a watcher. Zero values take the defaults.
type WatcherOptions struct {
	Budget        *Budget       // shared with the store duty; nil is no limit
	WatchTimeout  time.Duration // longest wait for one watch
	StartInactive bool          // start without watching until SetActive(true)
	Random        *rand.Rand    // for jitter
	// RelistAfterFailure lists again after every failed call. A store that drops
	// its history may let a watch that comes right after wait without hearing
	// of the changes before.
	RelistAfterFailure bool
	// MaxRetryDelay bounds the pause between failed calls; 0 is the default.
	MaxRetryDelay time.Duration
	// BatchDelay returns the pause after an answer with changes, in which further
	// changes collect. It saves calls at the price of delay. Nil is no pause.
	BatchDelay func() time.Duration
	// OnCallEnd is told on the duty's goroutine how each call ended; nil means
	// that the store answered. It must not wait.
	OnCallEnd func(err error)
}

// WatcherStats are the counters of a watcher.
type WatcherStats struct {
	Lists    int64
	Watches  int64
	TimedOut int64 // calls abandoned at their bound
	Failed   int64
	Revision int64
}

type watcherCounters struct {
	lists, watches, replaced, failed metrics.Counter
	revision                         metrics.Gauge
}

type watchResult struct {
	call    uint64 // number of the call that this answers
	listing Listing
	full    bool
	err     error
}

// held is what the reader has been told about a key.
type held struct {
	version int64
	deleted bool
}

// Watcher is the duty that follows one prefix of the object API.
type Watcher struct {
	loop     *duty.Loop
	api      ObjectAPI
	pool     Pool
	prefix   string
	options  WatcherOptions
	deliver  func(Snapshot)
	results  *ring.Ring[watchResult]
	switches *ring.Ring[bool]
	relists  *ring.Ring[struct{}]
	counters watcherCounters

	revision int64
	listed   bool
	active   bool
	call     uint64 // number of the call in progress
	calling  bool
	pausing  bool // a timer will call next
	cancel   context.CancelFunc
	known    map[string]held
	retry    *retryDelay
}

// NewWatcher returns the duty that follows prefix. deliver is called on the
// duty's goroutine and must not wait. At most one WatcherOptions is used.
func NewWatcher(clock duty.Clock, api ObjectAPI, pool Pool, prefix string, deliver func(Snapshot), options ...WatcherOptions) *Watcher {
	var o WatcherOptions
	if len(options) > 0 {
		o = options[0]
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.MaxRetryDelay <= 0 {
		o.MaxRetryDelay = watchRetryLongest
	}
	w := &Watcher{
		loop:     duty.New("watch."+prefix, clock),
		api:      api,
		pool:     pool,
		prefix:   prefix,
		options:  o,
		deliver:  deliver,
		results:  ring.New[watchResult]("watch.results", watchRing),
		switches: ring.New[bool]("watch.switches", 1),
		relists:  ring.New[struct{}]("watch.relists", 1),
		counters: watcherCounters{
			lists: metrics.NewCounter(), watches: metrics.NewCounter(),
			replaced: metrics.NewCounter(), failed: metrics.NewCounter(), revision: metrics.NewGauge(),
		},
		active: !o.StartInactive,
		cancel: func() {},
		known:  map[string]held{},
		retry:  newRetryDelay(watchRetryFirst, o.MaxRetryDelay, o.Random),
	}
	duty.On(w.loop, w.results, w.handleResult)
	duty.On(w.loop, w.switches, w.handleSwitch)
	duty.On(w.loop, w.relists, func(struct{}) { w.relist() })
	w.loop.After(0, w.next)
	w.loop.OnStop(func() { w.cancel() })
	return w
}

// Loop returns the duty's loop.
func (w *Watcher) Loop() *duty.Loop { return w.loop }

// SetActive starts or stops the watching. Any goroutine may call it. A watcher
// that starts again continues after the last revision that it has seen.
func (w *Watcher) SetActive(active bool) { w.switches.PutLatest(active) }

// Relist abandons the call in progress and lists anew. Any goroutine may call it.
func (w *Watcher) Relist() { w.relists.PutLatest(struct{}{}) }

func (w *Watcher) relist() {
	w.listed = false
	w.abandon()
	w.next()
}

// Stats returns the counters. Any goroutine may call it.
func (w *Watcher) Stats() WatcherStats {
	c := w.counters
	return WatcherStats{
		Lists: c.lists.Count(), Watches: c.watches.Count(), TimedOut: c.replaced.Count(),
		Failed: c.failed.Count(), Revision: c.revision.Value(),
	}
}

func (w *Watcher) handleSwitch(active bool) {
	w.active = active
	if !active {
		w.abandon()
		return
	}
	w.next()
}

// abandon ends the wait for the call in progress; its answer is ignored.
func (w *Watcher) abandon() {
	w.calling = false
	w.call++
	w.cancel()
}

func (w *Watcher) next() {
	if w.calling || w.pausing || !w.active {
		return
	}
	if b := w.options.Budget; b != nil {
		if wait := b.TakeRead(w.loop.Clock().Now()); wait > 0 {
			w.pause(wait)
			return
		}
	}
	w.call++
	number, listed, after := w.call, w.listed, w.revision
	bound := w.options.WatchTimeout
	if !listed {
		bound = defaultListBound
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound+callGrace)
	started := w.pool.TryGo(func() {
		defer cancel()
		r := w.ask(ctx, listed, after)
		r.call = number
		// The ring can be full only of answers to abandoned calls. A lost answer
		// is then found by the bound.
		w.results.TryPut(r)
	})
	if !started {
		cancel()
		w.pause(w.retry.next())
		return
	}
	w.calling = true
	w.cancel = cancel
	w.loop.After(bound, func() { w.checkBound(number) })
}

// pause calls next after d.
func (w *Watcher) pause(d time.Duration) {
	w.pausing = true
	w.loop.After(d, func() {
		w.pausing = false
		w.next()
	})
}

// checkBound replaces the call if it has not been answered.
func (w *Watcher) checkBound(number uint64) {
	if !w.calling || w.call != number {
		return
	}
	w.counters.replaced.Inc(1)
	w.abandon()
	w.next()
}

// ask runs on the pool.
func (w *Watcher) ask(ctx context.Context, listed bool, after int64) watchResult {
	if !listed {
		w.counters.lists.Inc(1)
		listing, err := w.api.List(ctx, w.prefix)
		return watchResult{listing: listing, full: true, err: err}
	}
	w.counters.watches.Inc(1)
	listing, err := w.api.Watch(ctx, w.prefix, after)
	return watchResult{listing: listing, err: err}
}

func (w *Watcher) handleResult(r watchResult) {
	if !w.calling || r.call != w.call {
		return
	}
	w.calling = false
	if w.options.OnCallEnd != nil {
		w.options.OnCallEnd(r.err)
	}
	if r.err != nil {
		// A compacted revision needs a list. The delay keeps a store that
		// compacts all the time from being listed all the time.
		w.listed = w.listed && !errors.Is(r.err, ErrCompacted) && !w.options.RelistAfterFailure
		w.counters.failed.Inc(1)
		w.pause(w.retry.next())
		return
	}
	if r.listing.Revision < w.revision {
		// A store that answers from an older state is asked again; an older
		// state is never delivered.
		w.listed = false
		w.counters.failed.Inc(1)
		w.pause(w.retry.next())
		return
	}
	w.retry.reset()
	w.listed = true
	w.revision = r.listing.Revision
	w.counters.revision.Update(w.revision)
	if r.full {
		w.publishFull(r.listing)
	} else {
		w.publishChanges(r.listing)
	}
	if w.options.BatchDelay != nil && len(r.listing.Objects) > 0 {
		w.pause(w.options.BatchDelay())
		return
	}
	w.next()
}

// publishFull delivers a list, with tombstones for the objects that were
// deleted while nobody watched.
func (w *Watcher) publishFull(l Listing) {
	objects := append([]Object{}, l.Objects...)
	listed := make(map[string]held, len(objects))
	for _, o := range objects {
		listed[o.Key] = held{version: o.Version, deleted: o.Deleted}
	}
	for key, h := range w.known {
		if _, present := listed[key]; present {
			continue
		}
		if !h.deleted {
			// Versions grow over deletes, so the true tombstone has at least this version.
			h = held{version: h.version + 1, deleted: true}
		}
		listed[key] = h
		objects = append(objects, Object{Key: key, Version: h.version, Revision: l.Revision, Deleted: true})
	}
	w.known = listed
	w.send(Snapshot{Objects: objects, Revision: l.Revision, Full: true})
}

// publishChanges delivers the changes that the reader does not know.
func (w *Watcher) publishChanges(l Listing) {
	var objects []Object
	for _, o := range l.Objects {
		if h, ok := w.known[o.Key]; ok && o.Version <= h.version {
			continue
		}
		w.known[o.Key] = held{version: o.Version, deleted: o.Deleted}
		objects = append(objects, o)
	}
	if len(objects) > 0 {
		w.send(Snapshot{Objects: objects, Revision: l.Revision})
	}
}

func (w *Watcher) send(s Snapshot) {
	sort.SliceStable(s.Objects, func(i, j int) bool { return s.Objects[i].Revision < s.Objects[j].Revision })
	w.deliver(s)
}
