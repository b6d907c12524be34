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
	// defaultQueueLimit bounds the waiting calls of each customer, service and
	// class when the contract sets no limit.
	defaultQueueLimit = 1024
	// maxWaitingCalls bounds the waiting calls of all services. Above it the work
	// with the lowest shed rank is rejected.
	maxWaitingCalls = 8192
	// longServiceTime is the expected service time from which work counts as long.
	longServiceTime = time.Second
	// serviceTimeFactor is the delay in the queue order per unit of expected
	// service time. It lets short work overtake long work that arrived shortly
	// before it.
	serviceTimeFactor = 4
	// maxServiceTimeDelay bounds that delay, and so how far long work is overtaken.
	maxServiceTimeDelay = 20 * time.Second
	// priorityStep is the advance in the queue order for one step of priority.
	priorityStep = 100 * time.Millisecond
	maxPriority  = 10 // in both directions
	// baseQuantum is the service time that a customer of weight 1 gets per round.
	baseQuantum = 10 * time.Millisecond
	// minCost is the cost of work without history, which must not be free.
	minCost = time.Millisecond
)

// classDelays delay less urgent classes in the queue order. A call goes before an
// interactive call that arrived later than it by more than its class delay.
var classDelays = map[core.Class]time.Duration{
	core.ClassInteractive: 0,
	core.ClassBackground:  2 * time.Second,
	core.ClassRollout:     10 * time.Second,
}

// orderTimeOf returns a call's position in its customer's queue. It is relative to
// the arrival, so that calls that arrive much later never overtake it.
func orderTimeOf(r *core.Request, arrived time.Time, estimate time.Duration) time.Time {
	priority := min(max(r.Priority, -maxPriority), maxPriority)
	delay := min(serviceTimeFactor*estimate, maxServiceTimeDelay)
	return arrived.Add(classDelays[r.Class] + delay - time.Duration(priority)*priorityStep)
}

// callHeap is a heap of waiting calls in queue order.
type callHeap []*activeCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	active := x.(*activeCall)
	active.heapIndex = len(*h)
	*h = append(*h, active)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	last := len(old) - 1
	active := old[last]
	old[last] = nil
	*h = old[:last]
	return active
}

func (h callHeap) first() *activeCall {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// last returns the call that would be served last. It is one of the leaves.
func (h callHeap) last() *activeCall {
	var last *activeCall
	for _, active := range h[len(h)/2:] {
		if last == nil || last.precedes(active) {
			last = active
		}
	}
	return last
}

// enqueue adds a call to its customer's queue.
func (t *serviceTable) enqueue(active *activeCall, now time.Time) {
	queue := active.queue
	s := queue.service
	if queue.waitingCount() == 0 {
		s.backlogged = append(s.backlogged, queue)
	}
	queue.waitingByClass[active.call.Request.Class]++
	s.waitingCalls[active.kind]++
	t.waitingCalls++
	t.lastSequence++
	active.sequence = t.lastSequence
	heap.Push(&queue.waitingCalls[active.kind], active)
	if !active.kind.isLong() {
		s.slots.recordShortDemand(s.waitingCalls.short(), now)
	}
}

func (t *serviceTable) remove(active *activeCall) {
	queue := active.queue
	heap.Remove(&queue.waitingCalls[active.kind], active.heapIndex)
	queue.waitingByClass[active.call.Request.Class]--
	queue.service.waitingCalls[active.kind]--
	t.waitingCalls--
	if queue.waitingCount() == 0 {
		queue.deficit = 0
		queue.service.deactivate(queue)
	}
}

func (s *service) deactivate(queue *customerQueue) {
	i := slices.Index(s.backlogged, queue)
	s.backlogged = slices.Delete(s.backlogged, i, i+1)
	if i < s.lastServed {
		s.lastServed--
	}
}

// nextCall returns the call to start next, or nil when none may start. The queues
// share the slots by deficit round robin.
func (s *service) nextCall(now time.Time) *activeCall {
	for {
		rounds := math.MaxInt
		for i := range s.backlogged {
			index := (s.lastServed + i) % len(s.backlogged)
			queue := s.backlogged[index]
			active := queue.nextCall(now)
			if active == nil {
				continue
			}
			if queue.deficit >= active.cost {
				queue.deficit -= active.cost
				s.lastServed = index
				return active
			}
			rounds = min(rounds, queue.roundsUntil(active.cost))
		}
		if rounds == math.MaxInt {
			return nil
		}
		s.addDeficit(rounds, now)
	}
}

// addDeficit adds the quanta of several rounds at once to each queue that may
// start a call. This avoids empty rounds when all waiting work is long.
func (s *service) addDeficit(rounds int, now time.Time) {
	for _, queue := range s.backlogged {
		if queue.nextCall(now) != nil {
			queue.deficit += time.Duration(rounds) * queue.customer.quantum()
		}
	}
}

func (q *customerQueue) roundsUntil(cost time.Duration) int {
	quantum := q.customer.quantum()
	return int((cost - q.deficit + quantum - 1) / quantum)
}

// nextCall returns the queue's next call, or nil when none may start. While the
// customer's concurrency is limited, its services take turns in the order of their
// first calls, so that none of them starves the others.
func (q *customerQueue) nextCall(now time.Time) *activeCall {
	c := q.customer
	if !c.limits.hasConcurrencyRoom(c.runningCalls) {
		return nil
	}
	active := q.firstStartable(now)
	if active == nil || len(c.queues) == 1 {
		return active
	}
	if _, limited := c.limits.amountInForce(LimitConcurrency); !limited {
		return active
	}
	for _, other := range c.queues {
		if first := other.firstStartable(now); first != nil && first.precedes(active) {
			return nil
		}
	}
	return active
}

// firstStartable returns the first call for which the service has a slot, or nil.
func (q *customerQueue) firstStartable(now time.Time) *activeCall {
	var first *activeCall
	for kind := range workKindCount {
		active := q.waitingCalls[kind].first()
		if active == nil || first != nil && first.precedes(active) {
			continue
		}
		if q.service.slots.hasRoomFor(kind, now) && (kind != workRollout || q.hasRolloutRoom()) {
			first = active
		}
	}
	return first
}

// hasRolloutRoom reports whether the trainers' share permits one more rollout. One
// rollout is always permitted, since a step without any would never end.
func (q *customerQueue) hasRolloutRoom() bool {
	amount, limited := q.customer.limits.amountInForce(LimitConcurrency)
	if q.trainerShare == 0 || !limited {
		return true
	}
	const rounding = 1e-9 // 0.29 times 100 is below 29 in floating point
	return q.runningCalls[workRollout] < max(1, int(q.trainerShare*amount+rounding))
}

// shedCandidate returns the waiting call to shed in favour of a call with the given
// rank and class, or nil. It has the lowest rank and, among these, the least urgent
// class of any service.
func (t *serviceTable) shedCandidate(rank int, class core.Class) *activeCall {
	var candidate *customerQueue
	for _, s := range t.ordered {
		for _, queue := range s.backlogged {
			if queue.customer.shedRank <= rank && (candidate == nil || queue.isShedBefore(candidate)) {
				candidate = queue
			}
		}
	}
	if candidate == nil {
		return nil
	}
	if candidate.customer.shedRank < rank || candidate.leastUrgentKind().rank() > class.Rank() {
		return candidate.waitingCalls[candidate.leastUrgentKind()].last()
	}
	return nil
}

func (q *customerQueue) isShedBefore(other *customerQueue) bool {
	if q.customer.shedRank != other.customer.shedRank {
		return q.customer.shedRank < other.customer.shedRank
	}
	return q.leastUrgentKind().rank() > other.leastUrgentKind().rank()
}

// leastUrgentKind returns the kind of the queue's waiting work that is shed first:
// of the least urgent class, long work before short work. The queue must not be
// empty.
func (q *customerQueue) leastUrgentKind() workKind {
	kind := workKindCount - 1
	for kind > 0 && len(q.waitingCalls[kind]) == 0 {
		kind--
	}
	return kind
}
