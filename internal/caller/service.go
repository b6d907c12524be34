package caller

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// maxUncontractedServices bounds the services that have slots but that no contract
// names yet. The contracts bound the number of the services that they name.
const maxUncontractedServices = 256

// service holds the queues and slots of one service.
type service struct {
	name         string
	slots        slotLimiter
	queues       map[core.CustomerID]*customerQueue
	backlogged   []*customerQueue // queues with waiting calls
	lastServed   int              // index in backlogged of the queue that was served last
	waitingCalls callCounts
}

// customerQueue holds the calls of one customer for one service.
type customerQueue struct {
	customer       *customerState
	service        *service
	waitingCalls   [workKindCount]callHeap
	waitingByClass map[core.Class]int
	deficit        time.Duration // unused service time of deficit round robin
	runningCalls   callCounts
	// trainerShare bounds the rollouts as a share of the customer's concurrency; 0
	// is unlimited.
	trainerShare float64
}

func (q *customerQueue) waitingCount() int {
	n := 0
	for _, h := range q.waitingCalls {
		n += len(h)
	}
	return n
}

// queueOf returns the customer's queue at the service and creates it if needed.
func (s *service) queueOf(id core.CustomerID, c *customerState) *customerQueue {
	queue := s.queues[id]
	if queue == nil {
		queue = &customerQueue{customer: c, service: s, waitingByClass: map[core.Class]int{}}
		s.queues[id] = queue
		c.queues = append(c.queues, queue)
	}
	return queue
}

// isIdle reports whether the service has neither waiting nor running calls.
func (s *service) isIdle() bool { return len(s.backlogged) == 0 && s.slots.running.total() == 0 }

// removeIdleQueues removes the queues without calls of customers whose contract
// does not name the service.
func (s *service) removeIdleQueues(contracts *core.ContractSet) {
	for id, queue := range s.queues {
		contract := contracts.Lookup(id)
		isContracted := contract != nil && contract.Service(s.name) != nil
		if !isContracted && queue.runningCalls.total() == 0 && queue.waitingCount() == 0 {
			delete(s.queues, id)
			queue.customer.removeQueue(queue)
		}
	}
}

// serviceTable holds the services by name and in a fixed order.
type serviceTable struct {
	byName       map[string]*service
	ordered      []*service
	uncontracted int    // services that no contract names
	waitingCalls int    // of all services
	lastSequence uint64 // of the enqueued calls
}

func newServiceTable() serviceTable { return serviceTable{byName: map[string]*service{}} }

func (t *serviceTable) add(name string, kind core.ServiceKind, now time.Time) *service {
	s := &service{name: name, slots: newSlotLimiter(kind, now), queues: map[core.CustomerID]*customerQueue{}}
	t.byName[name] = s
	t.ordered = append(t.ordered, s)
	return s
}

// setSlots sets the number of slots of a service. The slots of a service may be
// known before its contract, so up to maxUncontractedServices are kept.
func (t *serviceTable) setSlots(name string, n int, now time.Time) {
	s := t.byName[name]
	if s == nil {
		if n < 0 || t.uncontracted >= maxUncontractedServices {
			return
		}
		t.uncontracted++
		s = t.add(name, core.KindPlain, now)
	}
	s.slots.setLimit(n)
}

// setContracts adds and removes services according to the contracts in force. A
// service that contracts name with different kinds counts as plain, which keeps the
// reserve for short work.
func (t *serviceTable) setContracts(set *core.ContractSet, now time.Time) {
	kinds := serviceKinds(set)
	t.uncontracted = 0
	remaining := t.ordered[:0]
	for _, s := range t.ordered {
		kind, isContracted := kinds[s.name]
		delete(kinds, s.name)
		if isContracted {
			s.slots.isPreemptive = kind == core.KindEngine
		}
		s.removeIdleQueues(set)
		if !isContracted && s.isIdle() && (s.slots.limit == UnknownSlots || t.uncontracted >= maxUncontractedServices) {
			delete(t.byName, s.name)
			continue
		}
		if !isContracted {
			t.uncontracted++
		}
		remaining = append(remaining, s)
	}
	clear(t.ordered[len(remaining):])
	t.ordered = remaining
	for name, kind := range kinds {
		t.add(name, kind, now)
	}
}

// serviceKinds returns the kind of each service that a contract names.
func serviceKinds(set *core.ContractSet) map[string]core.ServiceKind {
	kinds := map[string]core.ServiceKind{}
	if set == nil {
		return kinds
	}
	for _, stored := range set.Contracts {
		if stored.Contract == nil {
			continue
		}
		for _, s := range stored.Contract.Services {
			if kinds[s.Name] != core.KindPlain {
				kinds[s.Name] = s.Kind
			}
		}
	}
	return kinds
}

// rolloutShare returns the share of the concurrency that rollouts of a service may
// use: the sum of its trainers' shares, or 0 when one of them is unlimited.
func rolloutShare(contract *core.Contract, service string) float64 {
	total := 0.0
	for _, t := range contract.Trainers {
		if t.Service != service {
			continue
		}
		if t.Share <= 0 {
			return 0
		}
		total += t.Share
	}
	return total
}
