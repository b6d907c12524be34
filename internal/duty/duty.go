// Package duty runs the duties of the system: goroutines that each own their
// state and read from their rings and timers.
//
// Loop is the event loop of one duty; it binds rings to handler functions. Runner
// starts and stops loops on a goroutine pool. Pool runs blocking calls, whose
// results come back to the duty through a ring. Query is a request to a duty of
// the same process with one reply.
//
// The package decides the order in which a duty handles its inputs, and owns no
// other state. It guarantees that handlers and timers of a loop run one at a time
// on one goroutine, that each accepted entry is handled once, also those accepted
// before Stop, that no busy ring starves the others, and that a loop blocks while
// it has nothing to do.
package duty

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/ring"
)

// maxBatchPerRing is the largest number of entries that a loop takes from one ring
// before it checks the next, so that a busy ring does not starve the others.
const maxBatchPerRing = 64

// timerRingCapacity is the largest number of timers of one loop that are due and
// not yet handled.
const timerRingCapacity = 4096

// source is one input of a loop.
type source interface {
	// drain handles up to limit entries and returns how many it handled.
	drain(limit int) int
	stats() ring.Stats
}

// Loop is the event loop of one duty. Rings and periodic functions are registered
// before Run.
type Loop struct {
	name       string
	clock      Clock
	sources    []source
	timers     *ring.Ring[func()]
	wake       chan struct{}
	stop       chan struct{}
	stopped    atomic.Bool
	done       chan struct{}
	handled    atomic.Uint64
	lockThread bool
	onStop     []func()
}

// Options are the settings of a loop.
type Options struct {
	// LockThread locks the loop to one operating system thread. It exists for the
	// benchmark that compares both variants; see docs/notes/duties.md.
	LockThread bool
}

// New returns a loop for the duty with the given name.
func New(name string, clock Clock) *Loop {
	l := &Loop{
		name:   name,
		clock:  clock,
		wake:   make(chan struct{}, 1),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		timers: ring.New[func()](name+".timers", timerRingCapacity),
	}
	On(l, l.timers, func(f func()) { f() })
	return l
}

// WithOptions applies options and returns the loop.
func (l *Loop) WithOptions(o Options) *Loop {
	l.lockThread = o.LockThread
	return l
}

// Name returns the duty's name.
func (l *Loop) Name() string { return l.name }

// Clock returns the time source of the loop's timers.
func (l *Loop) Clock() Clock { return l.clock }

// Handled returns the number of entries handled so far. Any goroutine may call it.
func (l *Loop) Handled() uint64 { return l.handled.Load() }

type binding[T any] struct {
	in     *ring.Ring[T]
	handle func(T)
}

func (b binding[T]) drain(limit int) int {
	for n := range limit {
		v, ok := b.in.TryTake()
		if !ok {
			return n
		}
		b.handle(v)
	}
	return limit
}

func (b binding[T]) stats() ring.Stats { return b.in.Stats() }

// RingStats returns the counters of the rings that the loop reads. Any goroutine
// may call it once the rings are bound.
func (l *Loop) RingStats() []ring.Stats {
	list := make([]ring.Stats, 0, len(l.sources))
	for _, s := range l.sources {
		list = append(list, s.stats())
	}
	return list
}

// On registers handle for the entries of r. The loop calls it on its goroutine.
func On[T any](l *Loop, r *ring.Ring[T], handle func(T)) {
	l.sources = append(l.sources, binding[T]{in: r, handle: handle})
	r.Bind(l.Wake)
}

// After calls f on the loop's goroutine after d. The returned function cancels
// the call; a timer that is already due may still run, so f must check that it
// still applies.
func (l *Loop) After(d time.Duration, f func()) (stop func() bool) {
	return l.clock.AfterFunc(d, func() { l.enqueueTimer(f) })
}

// enqueueTimer puts a due timer into the timer ring. If the ring is full it tries
// again after 1 ms, since a timer must never be lost.
func (l *Loop) enqueueTimer(f func()) {
	if l.stopped.Load() {
		return
	}
	if !l.timers.TryPut(f) {
		l.clock.AfterFunc(time.Millisecond, func() { l.enqueueTimer(f) })
	}
}

// Every calls f on the loop's goroutine once per period, until the loop stops.
func (l *Loop) Every(period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.After(period, tick)
	}
	l.After(period, tick)
}

// OnStop registers f to run on the loop's goroutine after its last entry.
func (l *Loop) OnStop(f func()) { l.onStop = append(l.onStop, f) }

// Wake makes the loop check its rings. It never blocks.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run handles entries until Stop. It blocks while there is nothing to do.
func (l *Loop) Run() {
	if l.lockThread {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	defer close(l.done)
	for {
		select {
		case <-l.wake:
			l.drainAll()
		case <-l.stop:
			l.drainAll()
			for _, f := range l.onStop {
				f()
			}
			return
		}
	}
}

// RunPending handles all waiting entries on the caller's goroutine and returns
// their number. Tests use it in place of Run.
func (l *Loop) RunPending() int { return l.drainAll() }

func (l *Loop) drainAll() int {
	total := 0
	for {
		n := 0
		for _, s := range l.sources {
			n += s.drain(maxBatchPerRing)
		}
		if n == 0 {
			return total
		}
		total += n
		l.handled.Add(uint64(n))
	}
}

// Stop ends Run once the waiting entries are handled. It does not block.
func (l *Loop) Stop() {
	if l.stopped.CompareAndSwap(false, true) {
		close(l.stop)
	}
}

// Wait blocks until Run has returned or ctx ends, and reports whether it has.
func (l *Loop) Wait(ctx context.Context) bool {
	select {
	case <-l.done:
		return true
	case <-ctx.Done():
		return false
	}
}
