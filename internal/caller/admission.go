// Package caller holds the decisions about callers' requests: admission, limits,
// queues, deadlines and idempotency records. The wire encoding is in callerhttp.
package caller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Capacities of the admission duty's rings.
const (
	callRingCapacity   = 4096
	queryRingCapacity  = 1024
	configRingCapacity = 4 // only the newest set counts
	// shareRingCapacity holds a grant of each limit for many customers; a
	// dropped grant is replaced by the next one within seconds.
	shareRingCapacity   = 4096
	controlRingCapacity = 16
	// slotRingCapacity holds a change for each of many services. A dropped
	// change is replaced when the number of slots is reported again.
	slotRingCapacity = 1024
	// MaxInFlightCalls bounds the calls that a daemon has accepted and not yet
	// ended, waiting ones included. The rings of ends, of cancelled callers and
	// of claim results have capacities to match, so none of them refuses.
	MaxInFlightCalls = 16384
	// claimResultCapacity covers a "waiting" result, an answer and a settled
	// result for each call in flight.
	claimResultCapacity = 3 * MaxInFlightCalls
	// maxRepeats bounds the calls that wait for one earlier call with their key.
	maxRepeats = 64
	// maxRecent bounds the ended requests whose state can be read.
	maxRecent = 4096
)

// Times of admission.
const (
	// tickPeriod is how often limits that change with time are looked at again.
	tickPeriod = 100 * time.Millisecond
	// drainRetryAfter is when a caller of a stopping daemon should try another.
	drainRetryAfter = time.Second
	// overloadRetryAfter is the shortest time until a caller should try again.
	overloadRetryAfter = time.Second
	// unboundedDeadline bounds a claimed call that has no deadline of its own, since it
	// does not end with its caller.
	unboundedDeadline = 10 * time.Minute
)

type endedCall struct {
	entry *entry
	end   core.End
}

type shareChange struct {
	customer   core.CustomerID
	limit      Limit
	amount     float64
	validUntil time.Time
}

type slotChange struct {
	service string
	slots   int
}

// Admission is the duty that decides which calls may go on to a backend server,
// and when.
type Admission struct {
	loop     *duty.Loop
	dispatch core.Submitter
	claims   *Claims
	random   *rand.Rand

	calls        *ring.Ring[*core.Call]
	ended        *ring.Ring[endedCall]
	gone         *ring.Ring[*entry]
	configs      *ring.Ring[*core.ContractSet]
	shares       *ring.Ring[shareChange]
	slotChanges  *ring.Ring[slotChange]
	claimResults *ring.Ring[*claimResult]
	drains       *ring.Ring[struct{}]
	queries      *duty.QueryRing[Query, Reply]
	idle         *ring.Ring[struct{}]

	// ready and draining are published for handlers, which only read them.
	ready    atomic.Bool
	draining atomic.Bool

	contracts    *core.ContractSet
	customers    map[core.CustomerID]*customerState
	deliverUsage DemandListener // nil without shared limits
	services     services
	inFlight     int
	local        map[claimKey]*localClaim
	active       map[requestKey]*entry
	recent       *simplelru.LRU[requestKey, RequestState]
	drained      bool // the idle notification was given
}

// NewAdmission returns the admission duty, which hands admitted calls to
// dispatch. The claims duty must have been made for this admission duty alone.
func NewAdmission(clock duty.Clock, dispatch core.Submitter, claims *Claims, random *rand.Rand) *Admission {
	a := &Admission{
		loop:         duty.New("admission", clock),
		dispatch:     dispatch,
		claims:       claims,
		random:       random,
		calls:        ring.New[*core.Call]("admission.calls", callRingCapacity),
		ended:        ring.New[endedCall]("admission.ended", MaxInFlightCalls),
		gone:         ring.New[*entry]("admission.gone", MaxInFlightCalls),
		configs:      ring.New[*core.ContractSet]("admission.config", configRingCapacity),
		shares:       ring.New[shareChange]("admission.shares", shareRingCapacity),
		slotChanges:  ring.New[slotChange]("admission.slots", slotRingCapacity),
		claimResults: ring.New[*claimResult]("admission.claims", claimResultCapacity),
		drains:       ring.New[struct{}]("admission.drain", controlRingCapacity),
		queries:      duty.NewQueryRing[Query, Reply]("admission.queries", queryRingCapacity),
		idle:         ring.New[struct{}]("admission.idle", 1),
		customers:    map[core.CustomerID]*customerState{},
		services:     newServices(),
		local:        map[claimKey]*localClaim{},
		active:       map[requestKey]*entry{},
	}
	// NewLRU fails only for sizes below 1.
	a.recent, _ = simplelru.NewLRU[requestKey, RequestState](maxRecent, nil)
	claims.report = func(r claimResult) { a.claimResults.TryPut(&r) }
	a.bind()
	return a
}

func (a *Admission) bind() {
	duty.On(a.loop, a.configs, a.handleContracts)
	duty.On(a.loop, a.shares, a.handleShare)
	duty.On(a.loop, a.slotChanges, a.handleSlots)
	duty.On(a.loop, a.ended, a.handleEnd)
	duty.On(a.loop, a.gone, a.handleGone)
	duty.On(a.loop, a.claimResults, func(r *claimResult) { a.handleClaim(*r) })
	duty.On(a.loop, a.calls, a.handleCall)
	duty.On(a.loop, a.drains, func(struct{}) { a.reportIdle() })
	duty.OnQuery(a.loop, a.queries, a.handleQuery)
	a.loop.Every(tickPeriod, a.tick)
	a.loop.Every(usagePeriod, a.reportUsage)
}

// Loop returns the duty's loop.
func (a *Admission) Loop() *duty.Loop { return a.loop }

// Submit queues the call. When it reports false the call was not taken.
func (a *Admission) Submit(c *core.Call) bool { return a.calls.TryPut(c) }

// SetContracts takes the contract set that is in force.
func (a *Admission) SetContracts(s *core.ContractSet) { a.configs.PutLatest(s) }

// SetLimitShare sets this daemon's part of a customer's limit. A zero
// validUntil makes amount the base, which is in force whenever no grant is; a
// grant replaces it until validUntil. After an expired grant without a base
// nothing is admitted. NoShare returns to the contract's amount.
func (a *Admission) SetLimitShare(customer core.CustomerID, limit Limit, amount float64, validUntil time.Time) {
	if limit < 0 || limit >= limitCount {
		return
	}
	a.shares.PutLatest(shareChange{customer: customer, limit: limit, amount: amount, validUntil: validUntil})
}

// SetSlots bounds the calls of a service that are handed to dispatch and have
// not ended; UnknownSlots removes the bound. At 0 the service's calls wait until
// their deadlines. An engine service gets short calls up to n beside its long
// calls, since engines pause long calls for them. The number should be reported
// again from time to time, because a full ring drops the oldest change.
func (a *Admission) SetSlots(service string, n int) {
	a.slotChanges.PutLatest(slotChange{service: service, slots: n})
}

// Drain refuses all new calls from now on. Calls accepted before, waiting ones
// included, run to their end; Idle tells when they have.
func (a *Admission) Drain() {
	a.draining.Store(true)
	a.drains.PutLatest(struct{}{})
}

// IsDraining reports whether Drain was called.
func (a *Admission) IsDraining() bool { return a.draining.Load() }

// IsReady reports whether the daemon should be sent calls.
func (a *Admission) IsReady() bool { return a.ready.Load() && !a.draining.Load() }

// WaitIdle waits, after Drain, until every call has ended and every claim is
// settled in the store, or ctx ends. It is for one reader that is not a duty.
func (a *Admission) WaitIdle(ctx context.Context) bool {
	_, ok := a.idle.Take(ctx)
	return ok
}

func (a *Admission) now() time.Time { return a.loop.Clock().Now() }

func (a *Admission) handleContracts(s *core.ContractSet) {
	a.contracts = s
	a.services.setContracts(s, a.now())
	a.ready.Store(true)
	for id, state := range a.customers {
		state.setContract(s.Lookup(id), a.now())
	}
	a.pump()
}

func (a *Admission) handleShare(s shareChange) {
	a.customer(s.customer).limits.setShare(s.limit, s.amount, s.validUntil, a.now())
	a.pump()
}

func (a *Admission) handleSlots(c slotChange) {
	a.services.setSlots(c.service, c.slots, a.now())
	a.pump()
}

func (a *Admission) tick() {
	a.pump()
	a.reportIdle()
}

func (a *Admission) reportIdle() {
	if !a.draining.Load() || a.drained || a.inFlight > 0 || len(a.local) > 0 || a.calls.Len() > 0 {
		return
	}
	a.drained = true
	a.idle.TryPut(struct{}{})
}

func (a *Admission) customer(id core.CustomerID) *customerState {
	state := a.customers[id]
	if state == nil {
		state = newCustomerState(a.deliverUsage != nil, a.now())
		state.setContract(a.contracts.Lookup(id), a.now())
		a.customers[id] = state
	}
	return state
}
