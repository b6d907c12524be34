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
	// MaxInFlight bounds the calls that a daemon has accepted and not yet
	// ended, waiting ones included. The rings of ends, of cancelled callers and
	// of claim results have capacities to match, so none of them refuses.
	MaxInFlight = 16384
	// claimResultCapacity covers a "waiting" result, an answer and a settled
	// result for each call in flight.
	claimResultCapacity = 3 * MaxInFlight
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
	slotChanges  *ring.Ring[int]
	claimResults *ring.Ring[*claimResult]
	drains       *ring.Ring[struct{}]
	queries      *duty.AskRing[Query, Reply]
	idle         *ring.Ring[struct{}]

	// ready and draining are published for handlers, which only read them.
	ready    atomic.Bool
	draining atomic.Bool

	contracts *core.ContractSet
	customers map[core.CustomerID]*customerState
	queues    queues
	slots     slots
	inFlight  int
	local     map[claimKey]*localClaim
	active    map[requestKey]*entry
	recent    *simplelru.LRU[requestKey, RequestState]
	drained   bool // the idle notification was given
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
		ended:        ring.New[endedCall]("admission.ended", MaxInFlight),
		gone:         ring.New[*entry]("admission.gone", MaxInFlight),
		configs:      ring.New[*core.ContractSet]("admission.config", configRingCapacity),
		shares:       ring.New[shareChange]("admission.shares", shareRingCapacity),
		slotChanges:  ring.New[int]("admission.slots", 1),
		claimResults: ring.New[*claimResult]("admission.claims", claimResultCapacity),
		drains:       ring.New[struct{}]("admission.drain", controlRingCapacity),
		queries:      duty.NewAskRing[Query, Reply]("admission.queries", queryRingCapacity),
		idle:         ring.New[struct{}]("admission.idle", 1),
		customers:    map[core.CustomerID]*customerState{},
		slots:        slots{limit: MaxInFlight},
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
	duty.OnAsk(a.loop, a.queries, a.handleQuery)
	a.loop.Every(tickPeriod, a.tick)
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

// SetSlots bounds the calls that are handed to dispatch and have not ended.
func (a *Admission) SetSlots(n int) { a.slotChanges.PutLatest(n) }

// Drain refuses all new calls from now on. Calls accepted before, waiting ones
// included, run to their end; Idle tells when they have.
func (a *Admission) Drain() {
	a.draining.Store(true)
	a.drains.PutLatest(struct{}{})
}

// Draining reports whether Drain was called.
func (a *Admission) Draining() bool { return a.draining.Load() }

// Ready reports whether the daemon should be sent calls.
func (a *Admission) Ready() bool { return a.ready.Load() && !a.draining.Load() }

// Idle waits, after Drain, until every call has ended and every claim is
// settled in the store, or ctx ends. It is for one reader that is not a duty.
func (a *Admission) Idle(ctx context.Context) bool {
	_, ok := a.idle.Take(ctx)
	return ok
}

func (a *Admission) now() time.Time { return a.loop.Clock().Now() }

func (a *Admission) handleContracts(s *core.ContractSet) {
	a.contracts = s
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

func (a *Admission) handleSlots(n int) {
	a.slots.limit = min(max(n, 0), MaxInFlight)
	a.pump()
}

func (a *Admission) tick() {
	a.pump()
	a.reportIdle()
}

func (a *Admission) handleCall(c *core.Call) {
	if err := a.check(c); err != nil {
		if a.startedHere(c.Request) {
			err.Verdict = core.MayHaveRun
		}
		c.Fail(err)
		return
	}
	e := a.accept(c)
	if a.joinEarlier(e) {
		return
	}
	if err := a.enqueue(e); err != nil {
		a.end(e, err)
		return
	}
	a.pump()
	if e.phase == phaseQueued && !e.ending {
		a.watch(e)
	}
}

// check decides whether the daemon takes the call at all.
func (a *Admission) check(c *core.Call) *core.Error {
	r := c.Request
	now := a.now()
	if a.draining.Load() {
		err := core.NotRunError(core.CodeDraining, "the daemon is stopping; send the request again")
		err.RetryAfter = a.retryAfter(drainRetryAfter)
		return err
	}
	contract := a.contracts.Lookup(r.Customer)
	if contract == nil {
		return core.NotRunError(core.CodeNotFound, "no contract is in force for customer %q", r.Customer)
	}
	if err := applyContract(contract, r, now); err != nil {
		return err
	}
	if c.Context.Err() != nil || expired(r, now) {
		return notStartedError(c)
	}
	if a.inFlight >= MaxInFlight {
		return a.overloaded("the daemon has %d requests in flight", a.inFlight)
	}
	if r.Repeatable && a.active[keyOfRequest(r)] != nil {
		return core.MayHaveRunError(core.CodeConflict, "request %s is in progress already", r.ID)
	}
	return nil
}

func expired(r *core.Request, now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// accept takes the call into the accounts. From here on it leaves them through
// handleEnd only.
func (a *Admission) accept(c *core.Call) *entry {
	r := c.Request
	e := &entry{call: c, customer: a.customer(r.Customer)}
	previous := c.OnEnd
	c.OnEnd = func(call *core.Call, end core.End) {
		a.ended.TryPut(endedCall{entry: e, end: end})
		if previous != nil {
			previous(call, end)
		}
	}
	a.inFlight++
	if a.active[keyOfRequest(r)] == nil {
		a.active[keyOfRequest(r)] = e
	}
	return e
}

// enqueue charges the limits and puts the call into its customer's queue.
func (a *Admission) enqueue(e *entry) *core.Error {
	r := e.call.Request
	c := e.customer
	now := a.now()
	if !r.Repeatable {
		a.claimLocally(e)
	}
	if c.queued[r.Class] >= c.queue {
		return a.overloaded("customer %q has %d %s requests waiting, its bound", r.Customer, c.queue, r.Class)
	}
	if err := a.makeRoom(c, r); err != nil {
		return err
	}
	limit, wait, ok := c.limits.admit(r.MaxTokens, now)
	if !ok {
		return a.limited(r, limit, wait)
	}
	e.reserved = r.MaxTokens
	estimate := c.estimate(r)
	e.cost = max(estimate, minCost)
	e.long = estimate >= longWork || r.Class == core.ClassRollout
	e.place = order(r, now, estimate)
	e.phase = phaseQueued
	a.queues.push(e)
	return nil
}

// makeRoom sheds the waiting work that ranks lowest when the daemon's queues
// are full, or refuses the new call when that is it.
func (a *Admission) makeRoom(c *customerState, r *core.Request) *core.Error {
	if a.queues.size < maxQueued {
		return nil
	}
	victim := a.queues.shedBefore(c.shedRank, r.Class)
	if victim == nil {
		return a.overloaded("the daemon has %d requests waiting", a.queues.size)
	}
	a.end(victim, a.overloaded("shed for work that ranks higher"))
	return nil
}

func (a *Admission) overloaded(format string, args ...any) *core.Error {
	err := core.NotRunError(core.CodeOverloaded, format, args...)
	err.RetryAfter = a.retryAfter(overloadRetryAfter)
	return err
}

func (a *Admission) limited(r *core.Request, limit Limit, wait time.Duration) *core.Error {
	name := [...]string{LimitRequests: "requests", LimitTokens: "tokens"}[limit]
	err := core.NotRunError(core.CodeLimited, "customer %q has used its %s per second", r.Customer, name)
	err.RetryAfter = a.retryAfter(max(wait, time.Millisecond))
	return err
}

// retryAfter spreads retries between once and twice the base, so that callers
// refused together do not come back together.
func (a *Admission) retryAfter(base time.Duration) time.Duration {
	return base + time.Duration(a.random.Int64N(int64(base)))
}

// watch ends the waiting call when its deadline passes or its caller leaves.
func (a *Admission) watch(e *entry) {
	if d := e.call.Request.Deadline; !d.IsZero() {
		e.stops = append(e.stops, a.loop.After(d.Sub(a.now()), func() { a.handleGone(e) }))
	}
	if e.call.Context.Done() != nil {
		e.stops = append(e.stops, context.AfterFunc(e.call.Context, func() { a.gone.TryPut(e) }))
	}
}

// handleGone ends a call that nobody waits for any more, unless dispatch has it.
func (a *Admission) handleGone(e *entry) {
	if e.ending || e.phase == phaseSent || e.phase == phaseEnded {
		return
	}
	err := notStartedError(e.call)
	if e.claim != nil && (e.claim.started || e.phase == phaseRepeat) {
		err = earlierAttemptError()
	}
	a.end(e, err)
	a.pump()
}

func notStartedError(c *core.Call) *core.Error {
	if c.Context.Err() != nil && !isDeadline(c.Context) {
		return core.NotRunError(core.CodeCancelled, "the caller went away before the request was sent to a backend server")
	}
	return core.NotRunError(core.CodeDeadline, "the deadline passed before the request was sent to a backend server")
}

func isDeadline(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }

// pump starts waiting calls while there are slots.
func (a *Admission) pump() {
	for a.slots.free() && a.queues.size > 0 {
		e := a.queues.next(a.slots.allowLong(), a.now())
		if e == nil {
			return
		}
		a.start(e)
	}
}

// start gives the call a slot.
func (a *Admission) start(e *entry) {
	e.phase = phaseClaiming
	a.slots.take(e.long)
	e.customer.running++
	if e.call.Context.Err() != nil || expired(e.call.Request, a.now()) {
		a.end(e, notStartedError(e.call))
		return
	}
	if e.call.Request.Repeatable || e.claim.held {
		a.send(e)
		return
	}
	a.acquire(e)
	if len(e.stops) == 0 {
		a.watch(e)
	}
}

// send hands the call to dispatch. The context that dispatch sees ends with the
// contract's deadline. A call under a claim runs on when its caller leaves, so
// that a repeat finds the answer.
func (a *Admission) send(e *entry) {
	e.stopWatches()
	c := e.call
	parent := c.Context
	deadline := c.Request.Deadline
	if !c.Request.Repeatable {
		parent = context.WithoutCancel(parent)
		if deadline.IsZero() {
			deadline = a.now().Add(unboundedDeadline)
		}
	}
	if current, ok := parent.Deadline(); !deadline.IsZero() && (!ok || deadline.Before(current)) {
		c.Context, e.release = context.WithDeadline(parent, deadline)
	}
	if e.claim != nil {
		e.claim.started = true
	}
	e.phase = phaseSent
	e.sent = a.now()
	if !a.dispatch.Submit(c) {
		a.end(e, a.overloaded("the dispatch queue is full"))
	}
}

// end ends the call with an error. The accounts follow in handleEnd.
func (a *Admission) end(e *entry, err *core.Error) {
	if e.ending {
		return
	}
	e.ending = true
	if e.phase == phaseQueued {
		a.queues.remove(e)
	}
	e.call.Fail(err)
}

func (a *Admission) handleEnd(ended endedCall) {
	e := ended.entry
	reached := e.phase
	if reached == phaseEnded {
		return
	}
	e.phase = phaseEnded
	e.stopWatches()
	if e.release != nil {
		e.release()
	}
	a.inFlight--
	a.forget(e, ended.end)
	if reached == phaseClaiming || reached == phaseSent {
		a.giveSlot(e)
	}
	a.account(e, reached, ended.end)
	a.endClaim(e, reached, ended.end)
	a.pump()
	a.reportIdle()
}

func (a *Admission) giveSlot(e *entry) {
	a.slots.give(e.long)
	e.customer.running--
}

// account gives unused tokens back and learns from the service time.
func (a *Admission) account(e *entry, reached phase, end core.End) {
	now := a.now()
	used := 0
	if end.Verdict != core.NotRun {
		used = min(e.call.Answer.Tokens(), e.reserved)
	}
	e.customer.limits.giveBack(e.reserved-used, now)
	if reached == phaseSent && end.Verdict == core.Ran {
		e.customer.observe(e.call.Request, now.Sub(e.sent))
	}
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
		state = &customerState{
			limits:    newLimiter(a.now()),
			queued:    map[core.Class]int{},
			estimates: map[workKey]time.Duration{},
		}
		state.setContract(a.contracts.Lookup(id), a.now())
		a.customers[id] = state
	}
	return state
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
}
