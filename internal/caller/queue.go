package caller

import (
	"container/heap"
	"math"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds and weights of the queues.
const (
	// defaultQueue bounds the calls of one customer and class that wait at a
	// daemon when the contract sets no bound.
	defaultQueue = 1024
	// maxQueued bounds the waiting calls of all customers; above it the work
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

// last returns the entry that would be served last.
func (h entryHeap) last() *entry {
	var last *entry
	for _, e := range h {
		if last == nil || last.before(e) {
			last = e
		}
	}
	return last
}

// queues holds the waiting calls of all customers and shares slots between the
// customers by deficit round robin.
type queues struct {
	active []*customerState // customers with waiting calls
	cursor int
	size   int
	pushed uint64
}

func (q *queues) push(e *entry) {
	c := e.customer
	if c.waiting() == 0 {
		q.active = append(q.active, c)
	}
	c.queued[e.call.Request.Class]++
	q.size++
	q.pushed++
	e.sequence = q.pushed
	heap.Push(c.heapOf(e), e)
}

func (q *queues) remove(e *entry) {
	c := e.customer
	heap.Remove(c.heapOf(e), e.index)
	c.queued[e.call.Request.Class]--
	q.size--
	if c.waiting() > 0 {
		return
	}
	c.deficit = 0
	for i, other := range q.active {
		if other != c {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
}

// next removes and returns the call to start next, or nil when none may start.
func (q *queues) next(allowLong bool, now time.Time) *entry {
	for {
		rounds := math.MaxInt
		for i := range q.active {
			at := (q.cursor + i) % len(q.active)
			c := q.active[at]
			e := c.head(allowLong, now)
			if e == nil {
				continue
			}
			if c.deficit >= e.cost {
				c.deficit -= e.cost
				q.cursor = at
				q.remove(e)
				return e
			}
			rounds = min(rounds, c.roundsUntil(e.cost))
		}
		if rounds == math.MaxInt {
			return nil
		}
		q.addRounds(rounds, allowLong, now)
	}
}

// addRounds gives each customer that may start work its share of several
// rounds at once, which spares empty rounds when all waiting work is long.
func (q *queues) addRounds(rounds int, allowLong bool, now time.Time) {
	for _, c := range q.active {
		if c.head(allowLong, now) != nil {
			c.deficit += time.Duration(rounds) * c.quantum()
		}
	}
}

// shedBefore returns the waiting call that is shed before one with the given
// rank and class, or nil. Among customers of the lowest rank it is the call of
// the latest class.
func (q *queues) shedBefore(rank int, class core.Class) *entry {
	var victim *entry
	for _, c := range q.active {
		if c.shedRank > rank {
			continue
		}
		if e := c.lastWaiting(); victim == nil || e.shedsBefore(victim) {
			victim = e
		}
	}
	if victim == nil {
		return nil
	}
	if victim.customer.shedRank < rank || victim.call.Request.Class.Rank() > class.Rank() {
		return victim
	}
	return nil
}

func (e *entry) shedsBefore(other *entry) bool {
	if e.customer.shedRank != other.customer.shedRank {
		return e.customer.shedRank < other.customer.shedRank
	}
	return e.call.Request.Class.Rank() > other.call.Request.Class.Rank()
}

// customerState is what admission knows of one customer's work.
type customerState struct {
	limits    *limiter
	weight    int
	shedRank  int
	queue     int // bound on waiting calls of each class
	running   int
	short     entryHeap
	long      entryHeap
	queued    map[core.Class]int
	deficit   time.Duration
	estimates map[workKey]time.Duration
}

func (c *customerState) heapOf(e *entry) *entryHeap {
	if e.long {
		return &c.long
	}
	return &c.short
}

func (c *customerState) waiting() int { return len(c.short) + len(c.long) }

// head returns the call that goes next if the customer may start one.
func (c *customerState) head(allowLong bool, now time.Time) *entry {
	if !c.limits.hasRoom(c.running, now) {
		return nil
	}
	short, long := c.short.first(), c.long.first()
	if long == nil || !allowLong {
		return short
	}
	if short == nil || long.before(short) {
		return long
	}
	return short
}

func (c *customerState) lastWaiting() *entry {
	if e := c.long.last(); e != nil {
		return e
	}
	return c.short.last()
}

func (c *customerState) quantum() time.Duration { return quantum * time.Duration(max(1, c.weight)) }

func (c *customerState) roundsUntil(cost time.Duration) int {
	missing := cost - c.deficit
	return int((missing + c.quantum() - 1) / c.quantum())
}

// workKey names work with a common service time.
type workKey struct {
	service string
	work    string // operation or model
}

func keyOf(r *core.Request) workKey {
	if r.IsModelCall() {
		return workKey{r.Service, r.Model}
	}
	return workKey{r.Service, r.Operation}
}

// estimateWeight is the weight of the newest call in the mean service time.
const estimateWeight = 0.2

// estimate returns the expected service time; 0 without history.
func (c *customerState) estimate(r *core.Request) time.Duration { return c.estimates[keyOf(r)] }

// observe adds a finished call to the history. The contract names the services,
// operations and models, which bounds the number of keys.
func (c *customerState) observe(r *core.Request, took time.Duration) {
	key := keyOf(r)
	mean, known := c.estimates[key]
	if !known {
		c.estimates[key] = took
		return
	}
	c.estimates[key] = mean + time.Duration(estimateWeight*float64(took-mean))
}
