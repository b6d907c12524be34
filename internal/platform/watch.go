package platform

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Watch timings.
const (
	watchTimeout    = 30 * time.Second
	watchRetryDelay = 250 * time.Millisecond
)

// Snapshot is the state of a prefix, or the newest changes of it.
type Snapshot struct {
	Objects  []Object // tombstones included
	Revision int64
	Full     bool // Objects is the whole prefix, not only changes
}

type watchResult struct {
	listing Listing
	full    bool
	err     error
}

// Watcher is the duty that follows one prefix of the object API.
type Watcher struct {
	loop    *duty.Loop
	api     ObjectAPI
	pool    *duty.Pool
	prefix  string
	deliver func(Snapshot)
	results *ring.Ring[watchResult]

	revision int64
	listed   bool
	active   bool
	calling  bool
	cancel   context.CancelFunc
}

// NewWatcher returns the duty that follows prefix. deliver is called on the
// duty's goroutine and must not wait.
func NewWatcher(clock duty.Clock, api ObjectAPI, pool *duty.Pool, prefix string, deliver func(Snapshot)) *Watcher {
	w := &Watcher{
		loop:    duty.New("watch."+prefix, clock),
		api:     api,
		pool:    pool,
		prefix:  prefix,
		deliver: deliver,
		results: ring.New[watchResult]("watch.results", 4),
		active:  true,
		cancel:  func() {},
	}
	duty.On(w.loop, w.results, w.handleResult)
	w.loop.After(0, w.next)
	w.loop.OnStop(func() { w.cancel() })
	return w
}

// Loop returns the duty's loop.
func (w *Watcher) Loop() *duty.Loop { return w.loop }

func (w *Watcher) next() {
	if w.calling || !w.active {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	listed, after := w.listed, w.revision
	started := w.pool.TryGo(func() {
		defer cancel()
		w.results.TryPut(w.call(ctx, listed, after))
	})
	if !started {
		cancel()
		w.loop.After(watchRetryDelay, w.next)
		return
	}
	w.calling = true
	w.cancel = cancel
}

// call runs on the pool.
func (w *Watcher) call(ctx context.Context, listed bool, after int64) watchResult {
	if !listed {
		listing, err := w.api.List(ctx, w.prefix)
		return watchResult{listing: listing, full: true, err: err}
	}
	listing, err := w.api.Watch(ctx, w.prefix, after)
	return watchResult{listing: listing, err: err}
}

func (w *Watcher) handleResult(r watchResult) {
	w.calling = false
	if errors.Is(r.err, ErrCompacted) {
		w.listed = false
		w.next()
		return
	}
	if r.err != nil {
		w.loop.After(watchRetryDelay, w.next)
		return
	}
	w.listed = true
	if r.listing.Revision >= w.revision {
		w.revision = r.listing.Revision
		w.publish(r)
	}
	w.next()
}

func (w *Watcher) publish(r watchResult) {
	if len(r.listing.Objects) == 0 && !r.full {
		return
	}
	sort.Slice(r.listing.Objects, func(i, j int) bool {
		return r.listing.Objects[i].Revision < r.listing.Objects[j].Revision
	})
	w.deliver(Snapshot{Objects: r.listing.Objects, Revision: r.listing.Revision, Full: r.full})
}
