// Package duty runs the threads of the system.
//
// A duty is one goroutine that owns its state and reads from its rings and
// timers. Loop binds rings to handler functions; Runner starts loops on an ants
// pool; Pool runs blocking calls, whose results come back through a ring.
package duty

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/ring"
)

// batchPerRing is how many entries a loop takes from one ring before it looks
// at the next, so that a busy ring does not starve the others.
const batchPerRing = 64

// timerRingCapacity bounds the timers of one loop that are due and not yet handled.
const timerRingCapacity = 4096

// source is one input of a loop.
type source interface {
	// drain handles up to limit entries and returns how many it handled.
	drain(limit int) int
	stats() ring.Stats
}

// Loop is the event loop of one duty. Rings and tickers are bound before Run.
type Loop struct {
	name    string
	clock   Clock
	sources []source
	timers  *ring.Ring[func()]
	wake    chan struct{}
	stop    chan struct{}
	stopped atomic.Bool
	done    chan struct{}
	handled atomic.Uint64
	lock    bool
	onStop  []func()
}

// Options changes how a loop runs.
type Options struct {
	// LockThread ties the loop to one operating system thread. It exists for
	// the benchmark that compares both ways; see docs/notes/duties.md.
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

// With applies options and returns the loop.
func (l *Loop) With(o Options) *Loop {
	l.lock = o.LockThread
	return l
}

// Name returns the duty's name.
func (l *Loop) Name() string { return l.name }

// Clock returns the clock that the loop uses.
func (l *Loop) Clock() Clock { return l.clock }

// Handled returns the number of entries handled so far.
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

// Rings returns the counters of the rings that the loop reads. Any goroutine
// may call it once the rings are bound.
func (l *Loop) Rings() []ring.Stats {
	list := make([]ring.Stats, 0, len(l.sources))
	for _, s := range l.sources {
		list = append(list, s.stats())
	}
	return list
}

// On makes handle the reader of r within the loop's goroutine.
func On[T any](l *Loop, r *ring.Ring[T], handle func(T)) {
	l.sources = append(l.sources, binding[T]{in: r, handle: handle})
	r.Bind(l.Wake)
}

// After calls f on the loop's goroutine once d has passed. The returned
// function cancels the call; cancelling is best effort, so f must check that it
// still applies.
func (l *Loop) After(d time.Duration, f func()) (stop func() bool) {
	return l.clock.AfterFunc(d, func() { l.fire(f) })
}

// fire hands a due timer to the loop. A full timer ring is retried by a new
// timer, since a timer must never be lost.
func (l *Loop) fire(f func()) {
	if l.stopped.Load() {
		return
	}
	if !l.timers.TryPut(f) {
		l.clock.AfterFunc(time.Millisecond, func() { l.fire(f) })
	}
}

// Every calls f on the loop's goroutine each period, until the loop stops.
func (l *Loop) Every(period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.After(period, tick)
	}
	l.After(period, tick)
}

// OnStop registers f to run on the loop's goroutine after its last event.
func (l *Loop) OnStop(f func()) { l.onStop = append(l.onStop, f) }

// Wake makes the loop look at its rings.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run handles events until Stop. It blocks while there is nothing to do.
func (l *Loop) Run() {
	if l.lock {
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

// Step handles all waiting events on the caller's goroutine and returns how
// many there were. Tests use it in place of Run.
func (l *Loop) Step() int { return l.drainAll() }

func (l *Loop) drainAll() int {
	total := 0
	for {
		n := 0
		for _, s := range l.sources {
			n += s.drain(batchPerRing)
		}
		if n == 0 {
			return total
		}
		total += n
		l.handled.Add(uint64(n))
	}
}

// Stop ends Run after the events already waiting. It does not wait.
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
