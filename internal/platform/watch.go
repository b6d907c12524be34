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

// Limits of a watcher.
const (
	// DefaultWatchTimeout bounds the wait for the answer to one watch. A watch
	// without an answer is then replaced, whether it hangs or there is no change,
	// so a hung watch delays a change by at most this time. It is below the 4 s
	// within which an accepted contract must be in force.
	DefaultWatchTimeout = 3 * time.Second
	listTimeout         = 5 * time.Second
	// abandonedCallGrace is the time for which an abandoned call may still occupy a
	// pool goroutine after its timeout.
	abandonedCallGrace = time.Second
	// minWatchTimeout leaves a watch that is due for confirmation the time for its answer.
	minWatchTimeout    = watchAnswerTime + 100*time.Millisecond
	minWatchRetryDelay = 100 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second
	watchRingCapacity  = 64 // results, those of abandoned calls included
)

// Snapshot is the state of a prefix at one revision, or its newest changes up to
// that revision.
type Snapshot struct {
	// Objects are ordered by revision and include tombstones. A full snapshot
	// has a tombstone for each object that was delivered before and no longer
	// exists, with a version above the last one delivered.
	Objects  []Object
	Revision int64
	Full     bool // Objects is the whole prefix, not only changes
}

// WatcherOptions sets the limits of a watcher. Zero values take the defaults.
type WatcherOptions struct {
	Budget       *Budget       // shared with the store duty; nil is no limit
	WatchTimeout time.Duration // for one watch; 0 takes DefaultWatchTimeout
	// MaxAge returns the age that the last confirmed state may reach; nil or 0 is no bound
	// but WatchTimeout. Only an answer to this watcher's own calls confirms the state: an
	// answer to any other call does not show that a waiting watch is still alive. Watches
	// are held by the store so shortly that the next answer is due before that age, and a
	// watch without one is replaced then.
	MaxAge        func() time.Duration
	StartInactive bool       // start without watching until SetActive(true)
	Random        *rand.Rand // for jitter
	// RelistAfterFailure lists again after every failed call. A store that has
	// dropped its history may keep the next watch waiting without reporting the
	// changes before it.
	RelistAfterFailure bool
	// MaxRetryDelay bounds the delay after a failed call; 0 takes the default.
	MaxRetryDelay time.Duration
	// BatchDelay returns the delay of the next watch after an answer with
	// changes, so that further changes are read in one call. Nil is no delay.
	BatchDelay func() time.Duration
	// OnCallEnd, if set, is called on the duty's goroutine with the error of each
	// call; a nil error means that the store answered. It must not block.
	OnCallEnd func(err error)
	// OnRead, if set, is called on the duty's goroutine after the changes of an answer
	// were delivered. All changes up to the time have then been delivered. It must not
	// block.
	OnRead func(upTo time.Time)
}

// WatcherStats are the counters of a watcher.
type WatcherStats struct {
	Lists    int64
	Watches  int64
	TimedOut int64 // calls abandoned at their timeout
	Failed   int64
	Revision int64
}

type watcherCounters struct {
	lists, watches, timedOut, failed metrics.Counter
	revision                         metrics.Gauge
}

type watchResult struct {
	number  uint64 // number of the call
	sentAt  time.Time
	listing Listing
	isFull  bool
	err     error
}

// deliveredVersion is the version of a key that was delivered last.
type deliveredVersion struct {
	version   int64
	isDeleted bool
}

// Watcher is the duty that follows one prefix of the object API.
type Watcher struct {
	loop        *duty.Loop
	api         ObjectAPI
	pool        Pool
	prefix      string
	options     WatcherOptions
	deliver     func(Snapshot)
	results     *ring.Ring[watchResult]
	activations *ring.Ring[bool]
	relists     *ring.Ring[struct{}]
	positions   *ring.Ring[Position]
	counters    watcherCounters

	revision   int64
	isListed   bool
	isActive   bool
	callNumber uint64    // number of the call in progress
	callSentAt time.Time // of the call in progress
	isCalling  bool
	isPaused   bool // a timer will start the next call
	stopPause  func() bool
	cancel     context.CancelFunc
	delivered  map[string]deliveredVersion
	retryDelay *retryDelay
	oversight  oversight
	reached    reachedPosition
}

// NewWatcher returns the duty that follows prefix. deliver is called on the
// duty's goroutine and must not block. Only the first WatcherOptions is used.
func NewWatcher(clock duty.Clock, api ObjectAPI, pool Pool, prefix string, deliver func(Snapshot), options ...WatcherOptions) *Watcher {
	var o WatcherOptions
	if len(options) > 0 {
		o = options[0]
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.MaxRetryDelay <= 0 {
		o.MaxRetryDelay = maxWatchRetryDelay
	}
	w := &Watcher{
		loop:        duty.New("watch."+prefix, clock),
		api:         api,
		pool:        pool,
		prefix:      prefix,
		options:     o,
		deliver:     deliver,
		results:     ring.New[watchResult]("watch.results", watchRingCapacity),
		activations: ring.New[bool]("watch.switches", 1),
		relists:     ring.New[struct{}]("watch.relists", 1),
		positions:   ring.New[Position]("watch.positions", 1),
		counters: watcherCounters{
			lists: metrics.NewCounter(), watches: metrics.NewCounter(),
			timedOut: metrics.NewCounter(), failed: metrics.NewCounter(), revision: metrics.NewGauge(),
		},
		isActive:   !o.StartInactive,
		cancel:     func() {},
		stopPause:  func() bool { return false },
		delivered:  map[string]deliveredVersion{},
		retryDelay: newRetryDelay(minWatchRetryDelay, o.MaxRetryDelay, o.Random),
	}
	duty.On(w.loop, w.results, w.handleResult)
	duty.On(w.loop, w.activations, w.handleActivation)
	duty.On(w.loop, w.relists, func(struct{}) { w.relist() })
	duty.On(w.loop, w.positions, w.handlePosition)
	if o.MaxAge != nil {
		w.loop.Every(ageCheckPeriod, w.checkAge)
	}
	w.loop.After(0, w.startCall)
	w.loop.OnStop(func() { w.cancel() })
	return w
}

// Loop returns the duty's loop.
func (w *Watcher) Loop() *duty.Loop { return w.loop }

// Prefix returns the prefix that the watcher follows.
func (w *Watcher) Prefix() string { return w.prefix }

// SetActive starts or stops watching. Any goroutine may call it. A restarted
// watcher continues after the last revision that it received.
func (w *Watcher) SetActive(active bool) { w.activations.PutLatest(active) }

// Relist abandons the call in progress and lists the prefix again, without waiting for
// the delay after a failed call. Any goroutine may call it.
func (w *Watcher) Relist() { w.relists.PutLatest(struct{}{}) }

func (w *Watcher) relist() {
	w.isListed = false
	w.abandonCall()
	w.stopPause()
	w.isPaused = false
	w.startCall()
}

// Stats returns the counters. Any goroutine may call it.
func (w *Watcher) Stats() WatcherStats {
	c := w.counters
	return WatcherStats{
		Lists: c.lists.Count(), Watches: c.watches.Count(), TimedOut: c.timedOut.Count(),
		Failed: c.failed.Count(), Revision: c.revision.Value(),
	}
}

func (w *Watcher) handleActivation(active bool) {
	w.isActive = active
	if !active {
		w.abandonCall()
		return
	}
	w.startCall()
}

// abandonCall cancels the call in progress; its result is ignored.
func (w *Watcher) abandonCall() {
	w.isCalling = false
	w.callNumber++
	w.cancel()
}

func (w *Watcher) startCall() {
	if w.isCalling || w.isPaused || !w.isActive {
		return
	}
	if b := w.options.Budget; b != nil {
		if wait := b.TakeRead(w.loop.Clock().Now()); wait > 0 {
			w.pause(wait)
			return
		}
	}
	w.callNumber++
	number, isListed, after := w.callNumber, w.isListed, w.revision
	sentAt := w.loop.Clock().Now()
	timeout := w.callTimeout(sentAt)
	ctx, cancel := context.WithTimeout(context.Background(), timeout+abandonedCallGrace)
	started := w.pool.TryGo(func() {
		defer cancel()
		r := w.callStore(ctx, isListed, after)
		r.number, r.sentAt = number, sentAt
		// The ring can be full only of results of abandoned calls. A result lost
		// here is handled like a timeout.
		w.results.TryPut(r)
	})
	if !started {
		cancel()
		w.pause(w.retryDelay.next())
		return
	}
	w.isCalling, w.callSentAt = true, sentAt
	w.cancel = cancel
	w.loop.After(timeout, func() { w.checkTimeout(number) })
}

// callTimeout returns the time within which the next call must be answered.
func (w *Watcher) callTimeout(now time.Time) time.Duration {
	if !w.isListed {
		return listTimeout
	}
	maxAge := w.maxAge()
	if maxAge <= 0 || w.isOverseen(now) {
		return w.options.WatchTimeout
	}
	return min(w.options.WatchTimeout, max(minWatchTimeout, maxAge-now.Sub(w.reached.upTo())))
}

// pause starts the next call after d.
func (w *Watcher) pause(d time.Duration) {
	w.isPaused = true
	w.stopPause()
	w.stopPause = w.loop.After(d, func() {
		w.isPaused = false
		w.startCall()
	})
}

// checkTimeout abandons the call if it was not answered in time and starts the next. A
// bounded age needs a delay, since the next call may be due at once again.
func (w *Watcher) checkTimeout(number uint64) {
	if !w.isCalling || w.callNumber != number {
		return
	}
	w.counters.timedOut.Inc(1)
	w.abandonCall()
	if w.options.RelistAfterFailure {
		w.isListed = false
	}
	if w.options.MaxAge != nil {
		w.pause(w.retryDelay.next())
		return
	}
	w.startCall()
}

// callStore makes one call on a pool goroutine.
func (w *Watcher) callStore(ctx context.Context, listed bool, after int64) watchResult {
	if !listed {
		w.counters.lists.Inc(1)
		listing, err := w.api.List(ctx, w.prefix)
		return watchResult{listing: listing, isFull: true, err: err}
	}
	w.counters.watches.Inc(1)
	listing, err := w.api.Watch(ctx, w.prefix, after)
	return watchResult{listing: listing, err: err}
}

func (w *Watcher) handleResult(r watchResult) {
	if !w.isCalling || r.number != w.callNumber {
		return
	}
	w.isCalling = false
	if w.options.OnCallEnd != nil {
		w.options.OnCallEnd(r.err)
	}
	if r.err != nil {
		// A compacted revision requires a list. The delay limits the rate of
		// lists on a store that compacts all the time.
		w.isListed = w.isListed && !errors.Is(r.err, ErrCompacted) && !w.options.RelistAfterFailure
		w.counters.failed.Inc(1)
		w.pause(w.retryDelay.next())
		return
	}
	if r.listing.Revision < w.revision {
		// The store answered from an older state, which is never delivered: list
		// again after a delay.
		w.isListed = false
		w.counters.failed.Inc(1)
		w.pause(w.retryDelay.next())
		return
	}
	w.retryDelay.reset()
	w.isListed = true
	w.revision = r.listing.Revision
	w.counters.revision.Update(w.revision)
	w.reached.advance(r.sentAt, &r.listing)
	if r.isFull {
		w.deliverList(r.listing)
	} else {
		w.deliverChanges(r.listing)
	}
	if w.options.OnRead != nil {
		w.options.OnRead(w.reached.upTo())
	}
	if delay := w.batchDelay(); delay > 0 && len(r.listing.Objects) > 0 {
		w.pause(delay)
		return
	}
	w.startCall()
}

// deliverList delivers a list, with tombstones for the objects that were deleted
// while no watch was active.
func (w *Watcher) deliverList(l Listing) {
	objects := append([]Object{}, l.Objects...)
	listed := make(map[string]deliveredVersion, len(objects))
	for _, o := range objects {
		listed[o.Key] = deliveredVersion{version: o.Version, isDeleted: o.Deleted}
	}
	for key, last := range w.delivered {
		if _, present := listed[key]; present {
			continue
		}
		if !last.isDeleted {
			// Versions grow with deletes, so the actual tombstone has at least this
			// version.
			last = deliveredVersion{version: last.version + 1, isDeleted: true}
		}
		listed[key] = last
		objects = append(objects, Object{Key: key, Version: last.version, Revision: l.Revision, Deleted: true})
	}
	w.delivered = listed
	w.deliverSnapshot(Snapshot{Objects: objects, Revision: l.Revision, Full: true})
}

// deliverChanges delivers the changes that were not delivered before.
func (w *Watcher) deliverChanges(l Listing) {
	var objects []Object
	for _, o := range l.Objects {
		if last, ok := w.delivered[o.Key]; ok && o.Version <= last.version {
			continue
		}
		w.delivered[o.Key] = deliveredVersion{version: o.Version, isDeleted: o.Deleted}
		objects = append(objects, o)
	}
	if len(objects) > 0 {
		w.deliverSnapshot(Snapshot{Objects: objects, Revision: l.Revision})
	}
}

func (w *Watcher) deliverSnapshot(s Snapshot) {
	sort.SliceStable(s.Objects, func(i, j int) bool { return s.Objects[i].Revision < s.Objects[j].Revision })
	w.deliver(s)
}
