package caller

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// maxUnnamedServices bounds the services that have slots but are named by no
// contract yet. Services that contracts name are bounded by the contracts.
const maxUnnamedServices = 256

// service holds the queues and slots of one service.
type service struct {
	name  string
	slots slots
	lanes map[core.CustomerID]*lane
	// active lists the lanes with waiting calls.
	active  []*lane
	cursor  int // lane of active that was served last
	waiting workCounts
}

// lane is the work of one customer for one service.
type lane struct {
	customer *customerState
	service  *service
	heaps    [workCount]entryHeap
	queued   map[core.Class]int
	deficit  time.Duration
	running  workCounts
	// trainerShare bounds the rollouts as a share of the customer's
	// concurrency; 0 means no bound.
	trainerShare float64
}

func (l *lane) waiting() int {
	n := 0
	for _, h := range l.heaps {
		n += len(h)
	}
	return n
}

// laneOf returns the customer's lane at the service, which is made if needed.
func (s *service) laneOf(id core.CustomerID, c *customerState) *lane {
	l := s.lanes[id]
	if l == nil {
		l = &lane{customer: c, service: s, queued: map[core.Class]int{}}
		s.lanes[id] = l
		c.lanes = append(c.lanes, l)
	}
	return l
}

// idle reports whether the service has neither waiting nor running calls.
func (s *service) idle() bool { return len(s.active) == 0 && s.slots.running.total() == 0 }

// dropIdleLanes forgets the lanes without calls of customers whose contract does
// not name the service.
func (s *service) dropIdleLanes(contracts *core.ContractSet) {
	for id, l := range s.lanes {
		contract := contracts.Lookup(id)
		inUse := contract != nil && contract.Service(s.name) != nil
		if !inUse && l.running.total() == 0 && l.waiting() == 0 {
			delete(s.lanes, id)
			l.customer.dropLane(l)
		}
	}
}

// services holds the services by name, and in a fixed order.
type services struct {
	byName  map[string]*service
	order   []*service
	unnamed int
	size    int // waiting calls of all services
	pushed  uint64
}

func newServices() services { return services{byName: map[string]*service{}} }

func (q *services) add(name string, kind core.ServiceKind, now time.Time) *service {
	s := &service{name: name, slots: newSlots(kind, now), lanes: map[core.CustomerID]*lane{}}
	q.byName[name] = s
	q.order = append(q.order, s)
	return s
}

// setSlots takes the number of slots of a service. A service that no contract
// names is remembered within a bound, since slots may be known first.
func (q *services) setSlots(name string, n int, now time.Time) {
	s := q.byName[name]
	if s == nil {
		if n < 0 || q.unnamed >= maxUnnamedServices {
			return
		}
		q.unnamed++
		s = q.add(name, core.KindPlain, now)
	}
	s.slots.setLimit(n)
}

// setContracts brings the services to the contracts in force. A service that
// contracts name with different kinds counts as plain, which keeps the reserve.
func (q *services) setContracts(set *core.ContractSet, now time.Time) {
	kinds := kindsOf(set)
	q.unnamed = 0
	kept := q.order[:0]
	for _, s := range q.order {
		kind, named := kinds[s.name]
		delete(kinds, s.name)
		if named {
			s.slots.pausable = kind == core.KindEngine
		}
		s.dropIdleLanes(set)
		if !named && s.idle() && (s.slots.limit == UnknownSlots || q.unnamed >= maxUnnamedServices) {
			delete(q.byName, s.name)
			continue
		}
		if !named {
			q.unnamed++
		}
		kept = append(kept, s)
	}
	clear(q.order[len(kept):])
	q.order = kept
	for name, kind := range kinds {
		q.add(name, kind, now)
	}
}

// kindsOf returns the kind of each service that a contract names.
func kindsOf(set *core.ContractSet) map[string]core.ServiceKind {
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

// trainerShare returns the share of the concurrency that rollouts of a service
// may use: the sum of its trainers' shares, or 0 when one of them has no bound.
func trainerShare(contract *core.Contract, service string) float64 {
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
