package caller

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds and weights of the queues.
const (
	// defaultQueue bounds the calls of one customer, service and class that wait
	// at a daemon when the contract sets no bound.
	defaultQueue = 1024
	// maxQueued bounds the waiting calls of all services; above it the work
	// with the lowest shed rank is refused.
	maxQueued = 8192
	// longWork is the expected service time from which work counts as long.
	longWork = time.Second
	// estimateDelay multiplies the expected service time to a delay in the
	// order, so that short work overtakes long work that came a little earlier.
	estimateDelay = 4
	// maxEstimateDelay bounds that delay, and with it how long work is overtaken.
	maxEstimateDelay = 20 * time.Second
	// priorityStep is the advance in the order for one step of priority.
	priorityStep = 100 * time.Millisecond
	maxPriority  = 10
	// quantum is the service time that one round gives a customer of weight 1.
	quantum = 10 * time.Millisecond
	// minCost keeps work without history from being free.
	minCost = time.Millisecond
)

// classDelay places later classes behind earlier ones in the order. A call that
// has waited this much longer than an interactive call goes first.
var classDelay = map[core.Class]time.Duration{
	core.ClassInteractive: 0,
	core.ClassBackground:  2 * time.Second,
	core.ClassRollout:     10 * time.Second,
}

// order returns a call's place in its customer's queue. The place depends on
// the arrival, so that calls that arrive much later never overtake it.
func order(r *core.Request, arrived time.Time, estimate time.Duration) time.Time {
	priority := min(max(r.Priority, -maxPriority), maxPriority)
	delay := min(estimateDelay*estimate, maxEstimateDelay)
	return arrived.Add(classDelay[r.Class] + delay - time.Duration(priority)*priorityStep)
}

// entryHeap orders waiting entries by their place.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}

func (h entryHeap) first() *entry {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// last returns the entry that would be served last, which is one of the leaves.
func (h entryHeap) last() *entry {
	var last *entry
	for _, e := range h[len(h)/2:] {
		if last == nil || last.before(e) {
			last = e
		}
	}
	return last
}

// push adds a call to its lane.
func (q *services) push(e *entry, now time.Time) {
	l := e.lane
	s := l.service
	if l.waiting() == 0 {
		s.active = append(s.active, l)
	}
	l.queued[e.call.Request.Class]++
	s.waiting[e.work]++
	q.size++
	q.pushed++
	e.sequence = q.pushed
	heap.Push(&l.heaps[e.work], e)
	if !e.work.isLong() {
		s.slots.demand(s.waiting.short(), now)
	}
}

func (q *services) remove(e *entry) {
	l := e.lane
	heap.Remove(&l.heaps[e.work], e.index)
	l.queued[e.call.Request.Class]--
	l.service.waiting[e.work]--
	q.size--
	if l.waiting() == 0 {
		l.deficit = 0
		l.service.deactivate(l)
	}
}

func (s *service) deactivate(l *lane) {
	i := slices.Index(s.active, l)
	s.active = slices.Delete(s.active, i, i+1)
	if i < s.cursor {
		s.cursor--
	}
}

// next returns the service's call to start next, or nil when none may start.
// Lanes share the slots by deficit round robin.
func (s *service) next(now time.Time) *entry {
	for {
		rounds := math.MaxInt
		for i := range s.active {
			at := (s.cursor + i) % len(s.active)
			l := s.active[at]
			e := l.head(now)
			if e == nil {
				continue
			}
			if l.deficit >= e.cost {
				l.deficit -= e.cost
				s.cursor = at
				return e
			}
			rounds = min(rounds, l.roundsUntil(e.cost))
		}
		if rounds == math.MaxInt {
			return nil
		}
		s.addRounds(rounds, now)
	}
}

// addRounds gives each lane that may start work its share of several rounds at
// once, which spares empty rounds when all waiting work is long.
func (s *service) addRounds(rounds int, now time.Time) {
	for _, l := range s.active {
		if l.head(now) != nil {
			l.deficit += time.Duration(rounds) * l.customer.quantum()
		}
	}
}

func (l *lane) roundsUntil(cost time.Duration) int {
	quantum := l.customer.quantum()
	return int((cost - l.deficit + quantum - 1) / quantum)
}

// head returns the call of the lane that may start now, if there is one. While
// the customer's concurrency is limited, its services take turns by the order
// of their first calls, so that none of them keeps the others waiting.
func (l *lane) head(now time.Time) *entry {
	c := l.customer
	if !c.limits.hasRoom(c.running, now) {
		return nil
	}
	e := l.startable(now)
	if e == nil || len(c.lanes) == 1 {
		return e
	}
	if _, limited := c.limits.amount(LimitConcurrency, now); !limited {
		return e
	}
	for _, other := range c.lanes {
		if first := other.startable(now); first != nil && first.before(e) {
			return nil
		}
	}
	return e
}

// startable returns the first call for which the service has a slot.
func (l *lane) startable(now time.Time) *entry {
	var first *entry
	for w := range workCount {
		e := l.heaps[w].first()
		if e == nil || first != nil && first.before(e) {
			continue
		}
		if l.service.slots.allows(w, now) && (w != workRollout || l.rolloutRoom(now)) {
			first = e
		}
	}
	return first
}

// rolloutRoom reports whether the trainers' share has room for one more rollout.
// One may always run, since a step without any would never end.
func (l *lane) rolloutRoom(now time.Time) bool {
	amount, limited := l.customer.limits.amount(LimitConcurrency, now)
	if l.trainerShare == 0 || !limited {
		return true
	}
	const rounding = 1e-9 // 0.29 times 100 is below 29 in floating point
	return l.running[workRollout] < max(1, int(l.trainerShare*amount+rounding))
}

// shedBefore returns the waiting call that is shed before one with the given
// rank and class, or nil. Among customers of the lowest rank it is the call of
// the latest class, in any service.
func (q *services) shedBefore(rank int, class core.Class) *entry {
	var victim *lane
	for _, s := range q.order {
		for _, l := range s.active {
			if l.customer.shedRank <= rank && (victim == nil || l.shedsBefore(victim)) {
				victim = l
			}
		}
	}
	if victim == nil {
		return nil
	}
	if victim.customer.shedRank < rank || victim.latest().rank() > class.Rank() {
		return victim.heaps[victim.latest()].last()
	}
	return nil
}

func (l *lane) shedsBefore(other *lane) bool {
	if l.customer.shedRank != other.customer.shedRank {
		return l.customer.shedRank < other.customer.shedRank
	}
	return l.latest().rank() > other.latest().rank()
}

// latest returns the kind of the lane's waiting work that is shed first: of the
// latest class, long work before short work. The lane must have waiting calls.
func (l *lane) latest() work {
	w := workCount - 1
	for w > 0 && len(l.heaps[w]) == 0 {
		w--
	}
	return w
}
