package caller

import (
	"slices"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
)

func claimKeyOf(r *core.Request) claimKey { return claimKey{r.Customer, r.IdempotencyKey} }

// joinEarlier lets a repeat wait for the call with its key that this daemon
// has, and reports whether there is one.
func (a *Admission) joinEarlier(e *entry) bool {
	r := e.call.Request
	if r.Repeatable {
		return false
	}
	claim := a.local[claimKeyOf(r)]
	if claim == nil {
		return false
	}
	e.phase = phaseRepeat
	e.claim = claim
	switch {
	case claim.fingerprint != formatFingerprint(r.Fingerprint):
		e.claim = nil
		a.end(e, otherContentError())
	case claim.outcome != nil:
		e.claim = nil
		e.ending = true
		e.call.End(repeatEnd(*claim.outcome))
	case len(claim.waiters) >= maxRepeats:
		e.claim = nil
		err := earlierAttemptError()
		err.RetryAfter = a.retryAfter(overloadRetryAfter)
		a.end(e, err)
	default:
		e.trace(reasonRepeat)
		claim.waiters = append(claim.waiters, e)
		a.watch(e)
	}
	return true
}

// startedHere reports whether the request repeats a call that this daemon has
// started, so that "not run" would mislead.
func (a *Admission) startedHere(r *core.Request) bool {
	claim := a.local[claimKeyOf(r)]
	return claim != nil && claim.started
}

// claimLocally makes the call the first with its key at this daemon.
func (a *Admission) claimLocally(e *entry) {
	r := e.call.Request
	e.claim = &localClaim{
		name:        claimKeyOf(r),
		id:          uuid.NewString(),
		fingerprint: formatFingerprint(r.Fingerprint),
		first:       e,
	}
	a.local[e.claim.name] = e.claim
}

// acquire asks for the claim to be stored. The call is sent only after the
// claims duty has reported it as held.
func (a *Admission) acquire(e *entry) {
	op := &claimOp{kind: opAcquire, name: e.claim.name, id: e.claim.id, fingerprint: e.claim.fingerprint}
	e.claim.submitted = a.claims.submit(op)
	if !e.claim.submitted {
		a.end(e, a.overloaded("too many claims wait"))
	}
}

func (a *Admission) handleClaim(r claimResult) {
	claim := a.local[r.name]
	if claim == nil || claim.id != r.id {
		return
	}
	e := claim.first
	switch {
	case r.outcome == claimSettled:
		a.dropClaim(claim)
	case e == nil || e.ending:
		// The call ended first; the claim was abandoned with it.
	case r.outcome == claimWaiting:
		// A call that waits for another daemon needs no slot.
		claim.started = true
		e.trace(reasonClaimFound)
		e.phase = phaseElsewhere
		e.countRunning(-1)
		a.pump()
	case r.outcome == claimHeld:
		a.held(e)
	case r.outcome == claimEnded:
		claim.started = claim.started || r.end.Verdict != core.NotRun
		a.endFromStore(e, r.end)
	}
}

// held goes on with a call whose claim is proven stored.
func (a *Admission) held(e *entry) {
	e.claim.held = true
	e.trace(reasonClaimWritten)
	if e.phase != phaseElsewhere {
		a.send(e)
		return
	}
	// The other daemon has proven that it ran nothing, and the slot was given back.
	e.claim.started = false
	e.phase = phaseQueued
	e.queued = a.now()
	e.lane = a.laneOf(e.call.Request, e.customer)
	a.services.push(e, e.queued)
	e.noteHold(e.queued)
	a.pump()
}

// endFromStore ends a call whose key the store answers.
func (a *Admission) endFromStore(e *entry, end core.End) {
	if end.Verdict != core.NotRun {
		e.trace(reasonClaimFound)
	}
	e.ending = true
	e.claim.id = "" // nothing to settle: the stored claim belongs to another call
	e.call.End(end)
}

// endClaim settles the claim of a call that has ended and serves its repeats.
func (a *Admission) endClaim(e *entry, reached phase, end core.End) {
	claim := e.claim
	if claim == nil {
		return
	}
	if claim.first != e {
		claim.removeWaiter(e)
		return
	}
	claim.first = nil
	if end.Verdict != core.NotRun && (reached == phaseSent || claim.id == "") {
		claim.outcome = &end
		a.answerWaiters(claim, end)
	}
	if !a.settle(claim, end) {
		a.dropClaim(claim)
	}
}

// settle brings the stored claim up to date and reports whether a result will
// follow. Until then repeats wait, so that none of them is sent.
func (a *Admission) settle(claim *localClaim, end core.End) bool {
	op := &claimOp{name: claim.name, id: claim.id}
	switch {
	case claim.id == "" || !claim.submitted:
		return false
	case !claim.held:
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
	for _, w := range waiters {
		w.ending = true
		w.call.End(repeatEnd(end))
	}
}

// repeatEnd returns what a repeat is answered when the first call ended so.
func repeatEnd(end core.End) core.End {
	if end.Err == nil {
		return end
	}
	err := *end.Err
	return core.End{Verdict: end.Verdict, Err: &err}
}

// dropClaim forgets the claim. The first repeat that still waits goes its own
// way, and the others wait for it.
func (a *Admission) dropClaim(claim *localClaim) {
	delete(a.local, claim.name)
	waiters := claim.waiters
	claim.waiters = nil
	for _, w := range waiters {
		if w.ending {
			continue
		}
		a.restart(w)
	}
	a.pump()
	a.reportIdle()
}

func (a *Admission) restart(e *entry) {
	e.stopWatches()
	e.claim = nil
	e.phase = phaseArrived
	if a.joinEarlier(e) {
		return
	}
	if err := a.enqueue(e); err != nil {
		a.end(e, err)
		return
	}
	e.noteHold(e.queued)
	a.watch(e)
}

func (c *localClaim) removeWaiter(e *entry) {
	if i := slices.Index(c.waiters, e); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	}
}
