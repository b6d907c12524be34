package caller

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func (a *Admission) handleCall(c *core.Call) {
	if err := a.checkAdmissible(c); err != nil {
		if a.isStartedLocally(c.Request) {
			err.Verdict = core.MayHaveRun
		}
		c.Fail(err)
		return
	}
	active := a.registerCall(c)
	if a.joinEarlierCall(active) {
		return
	}
	if err := a.enqueue(active); err != nil {
		a.failCall(active, err)
		return
	}
	a.startWaitingCalls()
	if active.phase == phaseQueued && !active.isEnding {
		active.recordBlockReason(a.now())
		a.watchCancellation(active)
	}
}

// checkAdmissible returns the error for a call that the daemon must not accept.
func (a *Admission) checkAdmissible(c *core.Call) *core.Error {
	r := c.Request
	now := a.now()
	if a.draining.Load() {
		err := core.NotRunError(core.CodeDraining, "the daemon is stopping; send the request again")
		err.RetryAfter = a.randomRetryAfter(drainRetryAfter)
		return err
	}
	contract := a.contracts.Lookup(r.Customer)
	if contract == nil {
		return core.NotRunError(core.CodeNotFound, "no contract is in force for customer %q", r.Customer)
	}
	if err := applyContract(contract, r, now); err != nil {
		return err
	}
	if c.Context.Err() != nil || deadlinePassed(r, now) {
		return notStartedError(c)
	}
	if a.inFlightCalls >= MaxInFlightCalls {
		return a.overloadedError("the daemon has %d requests in flight", a.inFlightCalls)
	}
	if r.Repeatable && a.activeCalls[requestKeyOf(r)] != nil {
		return core.MayHaveRunError(core.CodeConflict, "request %s is already in progress", r.ID)
	}
	return nil
}

func deadlinePassed(r *core.Request, now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// registerCall counts the call as in flight. From here on only handleEnd removes
// it.
func (a *Admission) registerCall(c *core.Call) *activeCall {
	r := c.Request
	active := &activeCall{call: c, customer: a.customerOf(r.Customer)}
	previous := c.OnEnd
	c.OnEnd = func(call *core.Call, end core.End) {
		a.endedCalls.TryPut(endedCall{active: active, end: end})
		if previous != nil {
			previous(call, end)
		}
	}
	a.inFlightCalls++
	if a.activeCalls[requestKeyOf(r)] == nil {
		a.activeCalls[requestKeyOf(r)] = active
	}
	return active
}

// queueOf returns the customer's queue at the request's service.
func (a *Admission) queueOf(r *core.Request, c *customerState) *customerQueue {
	s := a.services.byName[r.Service]
	if s == nil {
		// Needed only for a call that outlives its contract: setContracts adds the
		// services that contracts name.
		s = a.services.add(r.Service, core.KindPlain, a.now())
	}
	queue := s.queueOf(r.Customer, c)
	if contract := a.contracts.Lookup(r.Customer); contract != nil {
		queue.trainerShare = rolloutShare(contract, r.Service)
	}
	return queue
}

// enqueue charges the limits and puts the call into its customer's queue.
func (a *Admission) enqueue(active *activeCall) *core.Error {
	r := active.call.Request
	c := active.customer
	now := a.now()
	if !r.Repeatable {
		a.createLocalClaim(active)
	}
	// Looked up now, because a queue may be removed while it has no calls.
	active.queue = a.queueOf(r, c)
	if active.queue.waitingByClass[r.Class] >= c.queueLimit {
		return a.overloadedError("customer %q has %d %s requests waiting for service %q, which is its limit", r.Customer, c.queueLimit, r.Class, r.Service)
	}
	if err := a.shedIfFull(c, r); err != nil {
		return err
	}
	limit, wait, ok := c.limits.admit(r.MaxTokens, now)
	if !ok {
		return a.rateLimitedError(r, limit, wait)
	}
	active.reservedTokens = r.MaxTokens
	estimate := c.expectedServiceTime(r)
	active.cost = max(estimate, minCost)
	active.kind = workKindOf(r, estimate)
	active.orderTime = orderTimeOf(r, now, estimate)
	active.queuedAt = now
	active.phase = phaseQueued
	a.services.enqueue(active, now)
	return nil
}

// shedIfFull makes room when the daemon's queues are full: it ends the waiting
// call with the lowest rank, or returns an error if the new call has that rank.
func (a *Admission) shedIfFull(c *customerState, r *core.Request) *core.Error {
	if a.services.waitingCalls < maxWaitingCalls {
		return nil
	}
	candidate := a.services.shedCandidate(c.shedRank, r.Class)
	if candidate == nil {
		return a.overloadedError("the daemon has %d requests waiting", a.services.waitingCalls)
	}
	candidate.trace(reasonShed)
	a.failCall(candidate, a.overloadedError("shed for work of a higher rank"))
	return nil
}

func (a *Admission) overloadedError(format string, args ...any) *core.Error {
	err := core.NotRunError(core.CodeOverloaded, format, args...)
	err.RetryAfter = a.randomRetryAfter(overloadRetryAfter)
	return err
}

func (a *Admission) rateLimitedError(r *core.Request, limit Limit, wait time.Duration) *core.Error {
	name := [...]string{LimitRequests: "requests", LimitTokens: "tokens"}[limit]
	err := core.NotRunError(core.CodeLimited, "customer %q has reached its limit of %s per second", r.Customer, name)
	err.RetryAfter = a.randomRetryAfter(max(wait, time.Millisecond))
	return err
}

// randomRetryAfter returns a random time between base and twice base, so that
// callers rejected at the same time do not retry at the same time.
func (a *Admission) randomRetryAfter(base time.Duration) time.Duration {
	return base + time.Duration(a.random.Int64N(int64(base)))
}

// watchCancellation ends the waiting call when its deadline passes or its
// caller's context is cancelled.
func (a *Admission) watchCancellation(active *activeCall) {
	if d := active.call.Request.Deadline; !d.IsZero() {
		active.stopFuncs = append(active.stopFuncs, a.loop.After(d.Sub(a.now()), func() { a.cancelUnsent(active) }))
	}
	if active.call.Context.Done() != nil {
		active.stopFuncs = append(active.stopFuncs, context.AfterFunc(active.call.Context, func() { a.cancelledCalls.TryPut(active) }))
	}
}

// cancelUnsent ends a call whose deadline has passed or whose caller has
// disconnected, unless dispatch has it already.
func (a *Admission) cancelUnsent(active *activeCall) {
	if active.isEnding || active.phase == phaseSent || active.phase == phaseEnded {
		return
	}
	err := notStartedError(active.call)
	if active.claim != nil && (active.claim.isStarted || active.phase == phaseAwaitingFirst) {
		err = earlierAttemptError()
	}
	a.failCall(active, err)
	a.startWaitingCalls()
}

func notStartedError(c *core.Call) *core.Error {
	if c.Context.Err() != nil && !deadlineExceeded(c.Context) {
		return core.NotRunError(core.CodeCancelled, "the caller disconnected before the request was sent to a backend server")
	}
	return core.NotRunError(core.CodeDeadline, "the deadline passed before the request was sent to a backend server")
}

func deadlineExceeded(ctx context.Context) bool { return ctx.Err() == context.DeadlineExceeded }

// startWaitingCalls starts waiting calls while there are free slots. The services
// take turns, one call at a time, because they share the concurrency of their
// customers.
func (a *Admission) startWaitingCalls() {
	now := a.now()
	for started := true; started && a.services.waitingCalls > 0; {
		started = false
		for _, s := range a.services.ordered {
			active := s.nextCall(now)
			if active == nil {
				continue
			}
			a.services.remove(active)
			a.startCall(active)
			started = true
		}
	}
}

// startCall gives the call a slot. A call that is not idempotent is sent once its
// claim is stored, all others at once.
func (a *Admission) startCall(active *activeCall) {
	active.phase = phaseClaiming
	active.addRunning(1)
	active.traceQueued(a.now())
	if active.call.Context.Err() != nil || deadlinePassed(active.call.Request, a.now()) {
		a.failCall(active, notStartedError(active.call))
		return
	}
	if active.call.Request.Repeatable || active.claim.isStored {
		a.submitToDispatch(active)
		return
	}
	a.acquireClaim(active)
	if len(active.stopFuncs) == 0 {
		a.watchCancellation(active)
	}
}

// submitToDispatch sends the call to dispatch, with a context that ends at the
// contract's deadline. A claimed call continues when its caller disconnects, so
// that a repeat can receive the answer.
func (a *Admission) submitToDispatch(active *activeCall) {
	active.stopWatches()
	c := active.call
	parent := c.Context
	deadline := c.Request.Deadline
	if !c.Request.Repeatable {
		parent = context.WithoutCancel(parent)
		if deadline.IsZero() {
			deadline = a.now().Add(maxClaimedCallTime)
		}
	}
	if current, ok := parent.Deadline(); !deadline.IsZero() && (!ok || deadline.Before(current)) {
		c.Context, active.releaseContext = context.WithDeadline(parent, deadline)
	}
	if active.claim != nil {
		active.claim.isStarted = true
	}
	active.phase = phaseSent
	active.sentAt = a.now()
	if !a.dispatch.Submit(c) {
		a.failCall(active, a.overloadedError("the dispatch queue is full"))
	}
}

// failCall ends the call with an error. handleEnd then updates the counts.
func (a *Admission) failCall(active *activeCall, err *core.Error) {
	if active.isEnding {
		return
	}
	active.isEnding = true
	if active.phase == phaseQueued {
		a.services.remove(active)
	}
	active.call.Fail(err)
}

func (a *Admission) handleEnd(ended endedCall) {
	active := ended.active
	lastPhase := active.phase
	if lastPhase == phaseEnded {
		return
	}
	active.phase = phaseEnded
	active.stopWatches()
	if active.releaseContext != nil {
		active.releaseContext()
	}
	a.inFlightCalls--
	a.moveToRecent(active, ended.end)
	if lastPhase == phaseClaiming || lastPhase == phaseSent {
		active.addRunning(-1)
	}
	a.recordOutcome(active, lastPhase, ended.end)
	a.settleEndedCall(active, lastPhase, ended.end)
	a.startWaitingCalls()
	a.signalIfIdle()
}

// recordOutcome returns unused tokens to the limit and updates the expected
// service time.
func (a *Admission) recordOutcome(active *activeCall, lastPhase phase, end core.End) {
	now := a.now()
	usedTokens := 0
	if end.Verdict != core.NotRun {
		usedTokens = min(active.call.Answer.Tokens(), active.reservedTokens)
	}
	active.customer.limits.returnTokens(active.reservedTokens-usedTokens, now)
	if lastPhase == phaseSent && end.Verdict == core.Ran {
		active.customer.recordServiceTime(active.call.Request, now.Sub(active.sentAt))
	}
}
