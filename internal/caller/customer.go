package caller

import (
	"maps"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// customerState is admission's state for one customer.
type customerState struct {
	limits       *customerLimiter
	weight       int
	shedRank     int
	queueLimit   int // waiting calls of each service and class
	runningCalls int // of all services
	queues       []*customerQueue
	serviceTimes map[serviceTimeKey]time.Duration
}

func newCustomerState(isLimitShared bool, shareNow func() time.Time, now time.Time) *customerState {
	c := &customerState{limits: newCustomerLimiter(shareNow, now), serviceTimes: map[serviceTimeKey]time.Duration{}}
	c.limits.isShared = isLimitShared
	return c
}

// waitingCalls returns the number of waiting calls at all services.
func (c *customerState) waitingCalls() int {
	n := 0
	for _, queue := range c.queues {
		n += queue.waitingCount()
	}
	return n
}

// setContract applies the contract in force. With nil the limits stay as they are
// for the calls that are still in flight.
func (c *customerState) setContract(contract *core.Contract, now time.Time) {
	if contract == nil {
		c.queueLimit = defaultQueueLimit
		return
	}
	c.limits.setContract(contract.Limits, now)
	c.weight = contract.Weight
	c.shedRank = contract.ShedRank
	c.queueLimit = contract.Limits.Queue
	if c.queueLimit == 0 {
		c.queueLimit = defaultQueueLimit
	}
	maps.DeleteFunc(c.serviceTimes, func(key serviceTimeKey, _ time.Duration) bool { return contract.Service(key.service) == nil })
	for _, queue := range c.queues {
		queue.trainerShare = rolloutShare(contract, queue.service.name)
	}
}

func (c *customerState) removeQueue(queue *customerQueue) {
	c.queues = slices.DeleteFunc(c.queues, func(other *customerQueue) bool { return other == queue })
}

func (c *customerState) quantum() time.Duration { return baseQuantum * time.Duration(max(1, c.weight)) }

// serviceTimeKey identifies work with a common service time. It includes the
// class, so that rollouts do not raise the expected service time of interactive
// calls to the same model.
type serviceTimeKey struct {
	service string
	target  string // operation or model
	class   core.Class
}

func serviceTimeKeyOf(r *core.Request) serviceTimeKey {
	if r.IsModelCall() {
		return serviceTimeKey{r.Service, r.Model, r.Class}
	}
	return serviceTimeKey{r.Service, r.Operation, r.Class}
}

// newestCallWeight is the weight of the newest call in the moving average of the
// service time.
const newestCallWeight = 0.2

// expectedServiceTime returns the average service time of such requests, or 0
// without history.
func (c *customerState) expectedServiceTime(r *core.Request) time.Duration {
	return c.serviceTimes[serviceTimeKeyOf(r)]
}

// recordServiceTime adds an ended call to the average. The number of keys is
// bounded, because the contract names the services, operations and models.
func (c *customerState) recordServiceTime(r *core.Request, measured time.Duration) {
	key := serviceTimeKeyOf(r)
	mean, known := c.serviceTimes[key]
	if !known {
		c.serviceTimes[key] = measured
		return
	}
	c.serviceTimes[key] = mean + time.Duration(newestCallWeight*float64(measured-mean))
}
