package platform

import "errors"

// handleCallResult decides the next step of a task after one of its calls.
func (s *Store) handleCallResult(t *task, r Result) {
	switch {
	case t.phase == phaseResolveVersion:
		s.resolveVersion(t, r)
	case t.phase == phaseReadBack:
		s.reconcile(t, r)
	case t.op.isWrite():
		s.handleWriteResult(t, r)
	case isOutage(r.Err):
		s.callAgain(t, phaseCall)
	default:
		s.finish(t, r)
	}
}

// callAgain makes the next call of the task, or ends the task at its deadline.
func (s *Store) callAgain(t *task, nextPhase phase) {
	if t.isExpired(s.loop.Clock().Now()) {
		s.endAtDeadline(t)
		return
	}
	t.phase = nextPhase
	s.enqueue(t)
}

// resolveVersion makes an unconditional write conditional on the version just read.
// An unconditional write that is delayed in the network could replace a newer
// value at any later time, and no read would show that it is still in flight.
func (s *Store) resolveVersion(t *task, r Result) {
	switch {
	case r.Err == nil:
		t.expectedVersion = r.Object.Version
		s.callAgain(t, phaseCall)
	case errors.Is(r.Err, ErrNotFound) && t.op.Kind == OpPut:
		t.expectedVersion = Absent
		s.callAgain(t, phaseCall)
	case isOutage(r.Err):
		s.callAgain(t, phaseResolveVersion)
	default:
		s.finish(t, r)
	}
}

func (s *Store) handleWriteResult(t *task, r Result) {
	conflict := errors.Is(r.Err, ErrConflict)
	switch {
	case r.Err == nil:
		s.finish(t, r)
	case errors.Is(r.Err, ErrUnknownOutcome):
		s.markAnswerLost(t)
		s.callAgain(t, phaseReadBack)
	case t.isAnswerLost && (conflict || errors.Is(r.Err, ErrNotFound) || isOutage(r.Err)):
		// Only the last copy sent was rejected; an earlier one may have taken effect.
		s.callAgain(t, phaseReadBack)
	case conflict && t.op.IfVersion == AnyVersion:
		s.callAgain(t, phaseResolveVersion)
	case isOutage(r.Err):
		s.callAgain(t, phaseCall)
	default:
		s.finish(t, r)
	}
}

// sendAgain sends a write with a lost answer again. It does so at once the first time; a
// store that keeps losing answers, or whose answers contradict each other, is left a
// growing pause.
func (s *Store) sendAgain(t *task) {
	pause := t.resendPause
	t.resendPause = min(max(2*pause, minStoreRetryDelay), maxStoreRetryDelay)
	if pause == 0 {
		s.callAgain(t, phaseCall)
		return
	}
	s.loop.After(min(pause, t.reconcileBy.Sub(s.loop.Clock().Now())), func() {
		s.callAgain(t, phaseCall)
		s.startCalls()
	})
}

func (s *Store) markAnswerLost(t *task) {
	if t.isAnswerLost {
		return
	}
	t.isAnswerLost = true
	t.reconcileBy = s.loop.Clock().Now().Add(s.options.ReconcileTimeout)
	s.counters.lost.Inc(1)
	s.counters.reconciling.Inc(1)
}

// reconcile determines the outcome of a write with a lost answer from the object
// that was read afterwards. The object has:
//
//   - The token of the write: it took effect.
//   - The version that the write expects: it has not taken effect, but may
//     still be in flight. The same write is sent again with the same token and
//     condition. At most one copy can meet the condition, so the late copy has
//     no effect and the outcome becomes definite.
//   - Another version: the write took effect and was replaced, or it never did.
//     The outcome is reported as unknown. A tombstone counts as this, since a
//     create that took effect may have been followed by a delete.
func (s *Store) reconcile(t *task, r Result) {
	if isOutage(r.Err) {
		s.callAgain(t, phaseReadBack)
		return
	}
	if r.Err != nil && !errors.Is(r.Err, ErrNotFound) {
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Err: ErrUnknownOutcome})
		return
	}
	current := r.Object
	switch {
	case current.Token == t.token:
		s.finish(t, Result{Object: current})
	case current.Version == t.expectedVersion && !current.Deleted:
		s.sendAgain(t)
	default:
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Object: current, Err: ErrUnknownOutcome})
	}
}

// needsTombstone reports whether a tombstone shows the outcome of the task's write.
func (t *task) needsTombstone() bool { return t.op.Kind == OpDelete || t.expectedVersion == Absent }
