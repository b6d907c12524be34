package caller

import (
	"slices"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
)

func claimKeyOf(r *core.Request) claimKey { return claimKey{r.Customer, r.IdempotencyKey} }

// joinEarlierCall handles a call whose key already has a call at this daemon: it
// waits for that call or ends at once. It reports whether there is such a call.
func (a *Admission) joinEarlierCall(active *activeCall) bool {
	r := active.call.Request
	if r.Repeatable {
		return false
	}
	claim := a.localClaims[claimKeyOf(r)]
	if claim == nil {
		return false
	}
	active.phase = phaseAwaitingFirst
	active.claim = claim
	switch {
	case claim.fingerprint != formatFingerprint(r.Fingerprint):
		active.claim = nil
		a.failCall(active, keyReusedError())
	case claim.outcome != nil:
		active.claim = nil
		active.isEnding = true
		active.call.End(copyEnd(*claim.outcome))
	case len(claim.waiters) >= maxWaitingRepeats:
		active.claim = nil
		err := earlierAttemptError()
		err.RetryAfter = a.randomRetryAfter(overloadRetryAfter)
		a.failCall(active, err)
	default:
		active.trace(reasonRepeat)
		claim.waiters = append(claim.waiters, active)
		a.watchCancellation(active)
	}
	return true
}

// isStartedLocally reports whether a call with the request's key was started, so that
// the verdict "not run" could be wrong.
func (a *Admission) isStartedLocally(r *core.Request) bool {
	claim := a.localClaims[claimKeyOf(r)]
	return claim != nil && claim.isStarted
}

// createLocalClaim makes the call the first one with its key at this daemon.
func (a *Admission) createLocalClaim(active *activeCall) {
	r := active.call.Request
	active.claim = &localClaim{
		key:         claimKeyOf(r),
		id:          uuid.NewString(),
		fingerprint: formatFingerprint(r.Fingerprint),
		firstCall:   active,
	}
	a.localClaims[active.claim.key] = active.claim
}

// acquireClaim requests that the claim be stored. The call is sent only after the
// claims duty has reported the claim as stored.
func (a *Admission) acquireClaim(active *activeCall) {
	op := &claimOp{kind: opAcquire, key: active.claim.key, id: active.claim.id, fingerprint: active.claim.fingerprint}
	active.claim.isSubmitted = a.claims.submit(op)
	if !active.claim.isSubmitted {
		a.failCall(active, a.overloadedError("too many claims are waiting"))
	}
}

func (a *Admission) handleClaimResult(r claimResult) {
	claim := a.localClaims[r.key]
	if claim == nil || claim.id != r.id {
		return
	}
	active := claim.firstCall
	switch {
	case r.outcome == claimSettled:
		a.removeLocalClaim(claim)
	case active == nil || active.isEnding:
		// The call ended first; the claim was abandoned with it.
	case r.outcome == claimWaiting:
		// The call gives its slot back while it waits for the other daemon.
		claim.isStarted = true
		active.trace(reasonClaimFound)
		active.phase = phaseAwaitingOtherDaemon
		active.addRunning(-1)
		a.startWaitingCalls()
	case r.outcome == claimAcquired:
		a.continueWithClaim(active)
	case r.outcome == claimAnswered:
		claim.isStarted = claim.isStarted || r.end.Verdict != core.NotRun
		a.endWithStoredOutcome(active, r.end)
	}
}

// continueWithClaim sends a call whose claim is stored, or queues it again if it has
// given its slot back.
func (a *Admission) continueWithClaim(active *activeCall) {
	active.claim.isStored = true
	active.trace(reasonClaimWritten)
	if active.phase != phaseAwaitingOtherDaemon {
		a.submitToDispatch(active)
		return
	}
	// The other daemon has reported that nothing ran.
	active.claim.isStarted = false
	active.phase = phaseQueued
	active.queuedAt = a.now()
	active.queue = a.queueOf(active.call.Request, active.customer)
	a.services.enqueue(active, active.queuedAt)
	active.recordBlockReason(active.queuedAt)
	a.startWaitingCalls()
}

// endWithStoredOutcome ends a call whose key has a claim of another call.
func (a *Admission) endWithStoredOutcome(active *activeCall, end core.End) {
	if end.Verdict != core.NotRun {
		active.trace(reasonClaimFound)
	}
	active.isEnding = true
	active.claim.id = "" // nothing to settle: the stored claim belongs to another call
	active.call.End(end)
}

// settleEndedCall settles the claim of a call that has ended and answers its repeats.
func (a *Admission) settleEndedCall(active *activeCall, lastPhase phase, end core.End) {
	claim := active.claim
	if claim == nil {
		return
	}
	if claim.firstCall != active {
		claim.removeWaiter(active)
		return
	}
	claim.firstCall = nil
	if end.Verdict != core.NotRun && (lastPhase == phaseSent || claim.id == "") {
		claim.outcome = &end
		a.answerWaiters(claim, end)
	}
	if !a.submitSettlement(claim, end) {
		a.removeLocalClaim(claim)
	}
}

// submitSettlement updates the stored claim and reports whether a result will follow.
// Until the result arrives repeats wait, so that none of them is sent.
func (a *Admission) submitSettlement(claim *localClaim, end core.End) bool {
	op := &claimOp{key: claim.key, id: claim.id}
	switch {
	case claim.id == "" || !claim.isSubmitted:
		return false
	case !claim.isStored:
		op.kind = opAbandon
	case end.Verdict == core.NotRun:
		op.kind = opRelease
	default:
		op.kind = opFinish
		op.end = end
	}
	return a.claims.submit(op)
}

func (a *Admission) answerWaiters(claim *localClaim, end core.End) {
	waiters := claim.waiters
	claim.waiters = nil
	for _, waiter := range waiters {
		waiter.isEnding = true
		waiter.call.End(copyEnd(end))
	}
}

// copyEnd returns a copy of the end for a repeat, with an error of its own.
func copyEnd(end core.End) core.End {
	if end.Err == nil {
		return end
	}
	err := *end.Err
	return core.End{Verdict: end.Verdict, Err: &err}
}

// removeLocalClaim removes the claim. The first repeat that still waits becomes the
// first call with the key, and the others wait for it.
func (a *Admission) removeLocalClaim(claim *localClaim) {
	delete(a.localClaims, claim.key)
	waiters := claim.waiters
	claim.waiters = nil
	for _, waiter := range waiters {
		if waiter.isEnding {
			continue
		}
		a.resubmitRepeat(waiter)
	}
	a.startWaitingCalls()
	a.signalIfIdle()
}

func (a *Admission) resubmitRepeat(active *activeCall) {
	active.stopWatches()
	active.claim = nil
	active.phase = phaseArrived
	if a.joinEarlierCall(active) {
		return
	}
	if err := a.enqueue(active); err != nil {
		a.failCall(active, err)
		return
	}
	active.recordBlockReason(active.queuedAt)
	a.watchCancellation(active)
}

func (c *localClaim) removeWaiter(active *activeCall) {
	if i := slices.Index(c.waiters, active); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	}
}
