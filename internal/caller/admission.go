// Package caller decides which requests of callers run and when: admission,
// limits, queues, deadlines, idempotency and routes.
//
// The Admission duty owns the queues, the limits and the calls in flight. The
// Claims duty owns the idempotency claims, which are stored in the platform's
// object API. RouteTable holds immutable versions of the routing configuration and
// may be read from any goroutine.
//
// A request that is not idempotent is sent only after its claim is stored, so that
// it runs at most once on all daemons while the claim is kept. A request that may
// have run is never answered "not run". The version of a RouteTable never
// decreases. The wire encoding is in package callerhttp.
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
	callRingCapacity     = 4096
	queryRingCapacity    = 1024
	contractRingCapacity = 4 // only the newest set is used
	// shareRingCapacity holds a grant of each limit for many customers. A dropped
	// grant is replaced by the next one within seconds.
	shareRingCapacity = 4096
	drainRingCapacity = 16
	// slotRingCapacity holds one update for each of many services. A dropped
	// update is replaced when the number of slots is reported again.
	slotRingCapacity = 1024
	// MaxInFlightCalls bounds the calls that a daemon has accepted and not yet
	// ended, including waiting ones. The rings of ended calls, of cancelled calls
	// and of claim results have room for all of them and never reject an entry.
	MaxInFlightCalls = 16384
	// claimResultRingCapacity covers a "waiting" result, an answer and a settled
	// result for each call in flight.
	claimResultRingCapacity = 3 * MaxInFlightCalls
	// maxWaitingRepeats bounds the calls that wait for one earlier call with the
	// same idempotency key.
	maxWaitingRepeats = 64
	// maxRecentRequests bounds the ended requests whose state can be queried.
	maxRecentRequests = 4096
)

// Times of admission.
const (
	// limitCheckInterval is how often waiting calls are checked against limits
	// that change with time.
	limitCheckInterval = 100 * time.Millisecond
	// drainRetryAfter is the shortest delay before a caller of a draining daemon
	// should retry at another one.
	drainRetryAfter = time.Second
	// overloadRetryAfter is the shortest delay before a rejected caller should
	// retry.
	overloadRetryAfter = time.Second
	// maxClaimedCallTime bounds a claimed call without a deadline, since such a
	// call continues when its caller disconnects.
	maxClaimedCallTime = 10 * time.Minute
)

type endedCall struct {
	active *activeCall
	end    core.End
}

type limitShareUpdate struct {
	customer   core.CustomerID
	limit      Limit
	amount     float64
	validUntil time.Time
}

type slotUpdate struct {
	service string
	slots   int
}

// Admission is the duty that decides which calls are sent to backend servers,
// and when.
type Admission struct {
	loop     *duty.Loop
	dispatch core.Submitter
	claims   *Claims
	random   *rand.Rand

	calls          *ring.Ring[*core.Call]
	endedCalls     *ring.Ring[endedCall]
	cancelledCalls *ring.Ring[*activeCall]
	contractSets   *ring.Ring[*core.ContractSet]
	limitShares    *ring.Ring[limitShareUpdate]
	slotUpdates    *ring.Ring[slotUpdate]
	claimResults   *ring.Ring[*claimResult]
	drainSignals   *ring.Ring[struct{}]
	queries        *duty.QueryRing[Query, Reply]
	idleSignals    *ring.Ring[struct{}]

	// ready and draining are written by the duty or by Drain and read by handlers.
	ready    atomic.Bool
	draining atomic.Bool

	contracts      *core.ContractSet
	customers      map[core.CustomerID]*customerState
	demandListener DemandListener // nil unless limits are shared between daemons
	shareNow       func() time.Time
	services       serviceTable
	inFlightCalls  int
	localClaims    map[claimKey]*localClaim
	activeCalls    map[requestKey]*activeCall
	recentStates   *simplelru.LRU[requestKey, RequestState]
	idleSignalled  bool // the idle signal has been sent
}

// NewAdmission returns the admission duty, which submits admitted calls to
// dispatch. claims must not be used by another admission duty.
func NewAdmission(clock duty.Clock, dispatch core.Submitter, claims *Claims, random *rand.Rand) *Admission {
	a := &Admission{
		loop:           duty.New("admission", clock),
		dispatch:       dispatch,
		claims:         claims,
		random:         random,
		shareNow:       clock.Now,
		calls:          ring.New[*core.Call]("admission.calls", callRingCapacity),
		endedCalls:     ring.New[endedCall]("admission.ended", MaxInFlightCalls),
		cancelledCalls: ring.New[*activeCall]("admission.gone", MaxInFlightCalls),
		contractSets:   ring.New[*core.ContractSet]("admission.config", contractRingCapacity),
		limitShares:    ring.New[limitShareUpdate]("admission.shares", shareRingCapacity),
		slotUpdates:    ring.New[slotUpdate]("admission.slots", slotRingCapacity),
		claimResults:   ring.New[*claimResult]("admission.claims", claimResultRingCapacity),
		drainSignals:   ring.New[struct{}]("admission.drain", drainRingCapacity),
		queries:        duty.NewQueryRing[Query, Reply]("admission.queries", queryRingCapacity),
		idleSignals:    ring.New[struct{}]("admission.idle", 1),
		customers:      map[core.CustomerID]*customerState{},
		services:       newServiceTable(),
		localClaims:    map[claimKey]*localClaim{},
		activeCalls:    map[requestKey]*activeCall{},
	}
	// NewLRU fails only for sizes below 1.
	a.recentStates, _ = simplelru.NewLRU[requestKey, RequestState](maxRecentRequests, nil)
	claims.reportResult = func(r claimResult) { a.claimResults.TryPut(&r) }
	a.registerHandlers()
	return a
}

func (a *Admission) registerHandlers() {
	duty.On(a.loop, a.contractSets, a.handleContracts)
	duty.On(a.loop, a.limitShares, a.handleLimitShare)
	duty.On(a.loop, a.slotUpdates, a.handleSlotUpdate)
	duty.On(a.loop, a.endedCalls, a.handleEnd)
	duty.On(a.loop, a.cancelledCalls, a.cancelUnsent)
	duty.On(a.loop, a.claimResults, func(r *claimResult) { a.handleClaimResult(*r) })
	duty.On(a.loop, a.calls, a.handleCall)
	duty.On(a.loop, a.drainSignals, func(struct{}) { a.signalIfIdle() })
	duty.OnQuery(a.loop, a.queries, a.handleQuery)
	a.loop.Every(limitCheckInterval, a.recheckLimits)
	a.loop.Every(demandReportInterval, a.reportDemand)
}

// Loop returns the loop that runs the duty.
func (a *Admission) Loop() *duty.Loop { return a.loop }

// Submit queues the call. It reports false, and does not end the call, when the
// ring is full.
func (a *Admission) Submit(c *core.Call) bool { return a.calls.TryPut(c) }

// SetContracts replaces the contracts in force. The first set makes the daemon
// ready.
func (a *Admission) SetContracts(s *core.ContractSet) { a.contractSets.PutLatest(s) }

// SetLimitShare sets this daemon's share of a customer's limit. With a zero
// validUntil, amount is the base share, which applies whenever no grant is
// valid. Otherwise amount is a grant, which replaces the base share until
// validUntil, a time of the clock that EnableLimitSharing was given. When a grant
// has expired and there is no base share, nothing is admitted. NoShare restores the
// whole amount of the contract.
func (a *Admission) SetLimitShare(customer core.CustomerID, limit Limit, amount float64, validUntil time.Time) {
	if limit < 0 || limit >= limitCount {
		return
	}
	a.limitShares.PutLatest(limitShareUpdate{customer: customer, limit: limit, amount: amount, validUntil: validUntil})
}

// SetSlots bounds the calls of a service that are sent to dispatch and have not
// ended; UnknownSlots removes the bound. With 0 slots the service's calls wait
// until their deadlines. On an engine service up to n short calls run beside the
// long ones, because engines preempt long calls for them. The caller should
// report the number repeatedly, because a full ring drops the oldest update.
func (a *Admission) SetSlots(service string, n int) {
	a.slotUpdates.PutLatest(slotUpdate{service: service, slots: n})
}

// Drain rejects all new calls from now on. Calls accepted before, including
// waiting ones, continue to their end; WaitIdle waits for them.
func (a *Admission) Drain() {
	a.draining.Store(true)
	a.drainSignals.PutLatest(struct{}{})
}

// IsDraining reports whether Drain has been called.
func (a *Admission) IsDraining() bool { return a.draining.Load() }

// IsReady reports whether the daemon has contracts and is not draining.
func (a *Admission) IsReady() bool { return a.ready.Load() && !a.draining.Load() }

// WaitIdle waits, after Drain, until every call has ended and every claim is
// settled in the store. It reports false if ctx ends first. Only one goroutine
// may call it, and no duty.
func (a *Admission) WaitIdle(ctx context.Context) bool {
	_, ok := a.idleSignals.Take(ctx)
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
	a.startWaitingCalls()
}

func (a *Admission) handleLimitShare(u limitShareUpdate) {
	a.customerOf(u.customer).limits.setShare(u.limit, u.amount, u.validUntil, a.now())
	a.startWaitingCalls()
}

func (a *Admission) handleSlotUpdate(u slotUpdate) {
	a.services.setSlots(u.service, u.slots, a.now())
	a.startWaitingCalls()
}

func (a *Admission) recheckLimits() {
	a.startWaitingCalls()
	a.signalIfIdle()
}

func (a *Admission) signalIfIdle() {
	if !a.draining.Load() || a.idleSignalled || a.inFlightCalls > 0 || len(a.localClaims) > 0 || a.calls.Len() > 0 {
		return
	}
	a.idleSignalled = true
	a.idleSignals.TryPut(struct{}{})
}

func (a *Admission) customerOf(id core.CustomerID) *customerState {
	state := a.customers[id]
	if state == nil {
		state = newCustomerState(a.demandListener != nil, a.shareNow, a.now())
		state.setContract(a.contracts.Lookup(id), a.now())
		a.customers[id] = state
	}
	return state
}
