// Package ring provides the bounded queues that connect duties.
//
// A ring has a fixed capacity, many writers and one reader. The writer decides
// what happens when the ring is full: reject the new entry (TryPut), drop the
// oldest entry (PutLatest) or block until there is room (PutWait). No call polls.
//
// The duty that reads a ring owns the entries that it takes; a mutex guards the
// queue itself. Entries of one writer keep their order, none is duplicated, and
// only PutLatest discards accepted entries, which it counts.
package ring

import (
	"context"
	"sync"
)

// initialBufferEntries is the number of entries for which a ring allocates memory
// at first. Most rings stay nearly empty, and a daemon has many.
const initialBufferEntries = 8

// Stats is a snapshot of a ring's counters.
type Stats struct {
	Name     string
	Capacity int
	Depth    int    // entries waiting now
	Peak     int    // largest depth seen
	Put      uint64 // entries accepted
	Refused  uint64 // TryPut calls that found the ring full or closed
	Dropped  uint64 // entries that PutLatest discarded
}

// Ring is a bounded first-in first-out queue for many writers and one reader.
type Ring[T any] struct {
	name string

	mu       sync.Mutex
	capacity int
	buf      []T // grows up to the capacity
	head     int
	size     int
	peak     int
	put      uint64
	refused  uint64
	dropped  uint64
	closed   bool
	waiting  int // writers in PutWait

	// notify is called after an entry is added; it wakes the reader.
	notify func()
	// ready holds one token when a reader without a notify function should check
	// the ring again.
	ready chan struct{}
	// room holds one token when a waiting writer should check for room again.
	room chan struct{}
}

// New returns a ring with the given name. A capacity below 1 is raised to 1.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity < 1 {
		capacity = 1
	}
	return &Ring[T]{
		name:     name,
		capacity: capacity,
		buf:      make([]T, min(capacity, initialBufferEntries)),
		ready:    make(chan struct{}, 1),
		room:     make(chan struct{}, 1),
	}
}

// Name returns the name given to New.
func (r *Ring[T]) Name() string { return r.name }

// Bind sets the function that wakes the reader. The duty loop that reads the ring
// calls it once, before the loop starts.
func (r *Ring[T]) Bind(notify func()) {
	r.mu.Lock()
	r.notify = notify
	pending := r.size > 0
	r.mu.Unlock()
	if pending {
		notify()
	}
}

// TryPut adds v and reports whether it did: a full or closed ring rejects v. It
// never blocks.
func (r *Ring[T]) TryPut(v T) bool {
	r.mu.Lock()
	if r.closed || r.size == r.capacity {
		r.refused++
		r.mu.Unlock()
		return false
	}
	r.push(v)
	notify := r.notify
	r.mu.Unlock()
	r.wakeReader(notify)
	return true
}

// PutLatest adds v and discards the oldest entry when the ring is full. It is for
// values of which only the newest matters. A closed ring ignores v.
func (r *Ring[T]) PutLatest(v T) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	if r.size == r.capacity {
		r.pop()
		r.dropped++
	}
	r.push(v)
	notify := r.notify
	r.mu.Unlock()
	r.wakeReader(notify)
}

// PutWait adds v and blocks while the ring is full, until ctx ends. It reports
// whether v was added. Duties must not call it; see docs/design.md, section 2.2.
func (r *Ring[T]) PutWait(ctx context.Context, v T) bool {
	for {
		r.mu.Lock()
		if r.closed {
			r.refused++
			r.mu.Unlock()
			return false
		}
		if r.size < r.capacity {
			r.push(v)
			more := r.waiting > 0 && r.size < r.capacity
			notify := r.notify
			r.mu.Unlock()
			if more {
				signal(r.room)
			}
			r.wakeReader(notify)
			return true
		}
		r.waiting++
		r.mu.Unlock()

		var ended bool
		select {
		case <-r.room:
		case <-ctx.Done():
			ended = true
		}

		r.mu.Lock()
		r.waiting--
		wakeNext := ended && r.waiting > 0 && r.size < r.capacity
		r.mu.Unlock()
		if wakeNext {
			signal(r.room)
		}
		if ended {
			return false
		}
	}
}

// TryTake removes and returns the oldest entry, if there is one. It never blocks.
func (r *Ring[T]) TryTake() (T, bool) {
	r.mu.Lock()
	if r.size == 0 {
		r.mu.Unlock()
		var zero T
		return zero, false
	}
	v := r.pop()
	wake := r.waiting > 0
	r.mu.Unlock()
	if wake {
		signal(r.room)
	}
	return v, true
}

// Take removes and returns the oldest entry. It blocks while the ring is empty,
// until ctx ends or the ring is closed. It is for readers that are not duties,
// such as an HTTP handler that waits for its answer.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	for {
		if v, ok := r.TryTake(); ok {
			return v, true
		}
		r.mu.Lock()
		closed := r.closed && r.size == 0
		r.mu.Unlock()
		if closed {
			var zero T
			return zero, false
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return r.TryTake()
		}
	}
}

// Close makes the ring reject further entries and wakes its reader and writers.
// Entries already in the ring can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	notify := r.notify
	r.mu.Unlock()
	r.wakeReader(notify)
	signal(r.room)
}

// Len returns the number of entries waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Stats returns a consistent snapshot of the ring's counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{
		Name:     r.name,
		Capacity: r.capacity,
		Depth:    r.size,
		Peak:     r.peak,
		Put:      r.put,
		Refused:  r.refused,
		Dropped:  r.dropped,
	}
}

func (r *Ring[T]) push(v T) {
	if r.size == len(r.buf) {
		r.grow()
	}
	tail := r.head + r.size
	if tail >= len(r.buf) {
		tail -= len(r.buf)
	}
	r.buf[tail] = v
	r.size++
	r.put++
	if r.size > r.peak {
		r.peak = r.size
	}
}

// grow doubles the buffer up to the capacity.
func (r *Ring[T]) grow() {
	larger := make([]T, min(r.capacity, 2*len(r.buf)))
	n := copy(larger, r.buf[r.head:])
	copy(larger[n:], r.buf[:r.head])
	r.buf, r.head = larger, 0
}

func (r *Ring[T]) pop() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head++
	if r.head == len(r.buf) {
		r.head = 0
	}
	r.size--
	return v
}

func (r *Ring[T]) wakeReader(notify func()) {
	if notify != nil {
		notify()
		return
	}
	signal(r.ready)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
