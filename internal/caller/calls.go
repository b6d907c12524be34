package caller

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

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
		e.noteHold(a.now())
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
	if a.inFlight >= MaxInFlightCalls {
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

// laneOf returns the customer's lane at the request's service.
func (a *Admission) laneOf(r *core.Request, c *customerState) *lane {
	s := a.services.byName[r.Service]
	if s == nil {
		// The contract names the service, so the set in force has made it.
		s = a.services.add(r.Service, core.KindPlain, a.now())
	}
	l := s.laneOf(r.Customer, c)
	if contract := a.contracts.Lookup(r.Customer); contract != nil {
		l.trainerShare = trainerShare(contract, r.Service)
	}
	return l
}

// enqueue charges the limits and puts the call into its customer's queue.
func (a *Admission) enqueue(e *entry) *core.Error {
	r := e.call.Request
	c := e.customer
	now := a.now()
	if !r.Repeatable {
		a.claimLocally(e)
	}
	// A lane can be forgotten while none of its calls waits for a slot or has one.
	e.lane = a.laneOf(r, c)
	if e.lane.queued[r.Class] >= c.queue {
		return a.overloaded("customer %q has %d %s requests waiting for service %q, its bound", r.Customer, c.queue, r.Class, r.Service)
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
	e.work = workOf(r, estimate)
	e.place = order(r, now, estimate)
	e.queued = now
	e.phase = phaseQueued
	a.services.push(e, now)
	return nil
}

// makeRoom sheds the waiting work that ranks lowest when the daemon's queues
// are full, or refuses the new call when that is it.
func (a *Admission) makeRoom(c *customerState, r *core.Request) *core.Error {
	if a.services.size < maxQueued {
		return nil
	}
	victim := a.services.shedBefore(c.shedRank, r.Class)
	if victim == nil {
		return a.overloaded("the daemon has %d requests waiting", a.services.size)
	}
	victim.trace(reasonShed)
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

// pump starts waiting calls while there are slots. The services take turns, one
// call at a time, because they share the concurrency of their customers.
func (a *Admission) pump() {
	now := a.now()
	for started := true; started && a.services.size > 0; {
		started = false
		for _, s := range a.services.order {
			e := s.next(now)
			if e == nil {
				continue
			}
			a.services.remove(e)
			a.start(e)
			started = true
		}
	}
}

// start gives the call a slot.
func (a *Admission) start(e *entry) {
	e.phase = phaseClaiming
	e.countRunning(1)
	e.traceQueued(a.now())
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
		a.services.remove(e)
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
		e.countRunning(-1)
	}
	a.account(e, reached, ended.end)
	a.endClaim(e, reached, ended.end)
	a.pump()
	a.reportIdle()
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
