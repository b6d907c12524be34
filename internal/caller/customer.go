package caller

import (
	"maps"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// customerState is what admission knows of one customer's work.
type customerState struct {
	limits    *limiter
	weight    int
	shedRank  int
	queue     int // bound on waiting calls of each service and class
	running   int // of all services
	lanes     []*lane
	estimates map[workKey]time.Duration
}

func newCustomerState(shared bool, now time.Time) *customerState {
	c := &customerState{limits: newLimiter(now), estimates: map[workKey]time.Duration{}}
	c.limits.shared = shared
	return c
}

// waiting returns the number of the customer's waiting calls.
func (c *customerState) waiting() int {
	n := 0
	for _, l := range c.lanes {
		n += l.waiting()
	}
	return n
}

// setContract takes what the contract in force says; nil leaves the amounts as
// they are for the work that is still in flight.
func (c *customerState) setContract(contract *core.Contract, now time.Time) {
	if contract == nil {
		c.queue = defaultQueue
		return
	}
	c.limits.setContract(contract.Limits, now)
	c.weight = contract.Weight
	c.shedRank = contract.ShedRank
	c.queue = contract.Limits.Queue
	if c.queue == 0 {
		c.queue = defaultQueue
	}
	maps.DeleteFunc(c.estimates, func(key workKey, _ time.Duration) bool { return contract.Service(key.service) == nil })
	for _, l := range c.lanes {
		l.trainerShare = trainerShare(contract, l.service.name)
	}
}

func (c *customerState) dropLane(l *lane) {
	c.lanes = slices.DeleteFunc(c.lanes, func(other *lane) bool { return other == l })
}

func (c *customerState) quantum() time.Duration { return quantum * time.Duration(max(1, c.weight)) }

// workKey names work with a common service time. The class is part of it, so
// that rollouts do not make interactive calls of their model count as long.
type workKey struct {
	service string
	work    string // operation or model
	class   core.Class
}

func keyOf(r *core.Request) workKey {
	if r.IsModelCall() {
		return workKey{r.Service, r.Model, r.Class}
	}
	return workKey{r.Service, r.Operation, r.Class}
}

// estimateWeight is the weight of the newest call in the mean service time.
const estimateWeight = 0.2

// estimate returns the expected service time; 0 without history.
func (c *customerState) estimate(r *core.Request) time.Duration { return c.estimates[keyOf(r)] }

// observe adds a finished call to the history. The contract in force names the
// services, operations and models, which bounds the number of keys.
func (c *customerState) observe(r *core.Request, took time.Duration) {
	key := keyOf(r)
	mean, known := c.estimates[key]
	if !known {
		c.estimates[key] = took
		return
	}
	c.estimates[key] = mean + time.Duration(estimateWeight*float64(took-mean))
}
