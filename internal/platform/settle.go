package platform

import "errors"

// advance decides what follows the answer to one call of a task.
func (s *Store) advance(t *task, r Result) {
	switch {
	case t.phase == phaseResolve:
		s.resolve(t, r)
	case t.phase == phaseReadBack:
		s.settle(t, r)
	case t.op.isWrite():
		s.afterWrite(t, r)
	case isOutage(r.Err):
		s.again(t, phaseCall)
	default:
		s.finish(t, r)
	}
}

// again makes the next call of the task, or ends the task at its deadline.
func (s *Store) again(t *task, next phase) {
	if t.expired(s.loop.Clock().Now()) {
		s.giveUp(t)
		return
	}
	t.phase = next
	s.enqueue(t)
}

// resolve turns an unconditional write into one on the version just read. A
// write without a condition that is delayed on its way could replace a newer
// value at any later time, and no read would show that it is still to come.
func (s *Store) resolve(t *task, r Result) {
	switch {
	case r.Err == nil:
		t.ifVersion = r.Object.Version
		s.again(t, phaseCall)
	case errors.Is(r.Err, ErrNotFound) && t.op.Kind == OpPut:
		t.ifVersion = Absent
		s.again(t, phaseCall)
	case isOutage(r.Err):
		s.again(t, phaseResolve)
	default:
		s.finish(t, r)
	}
}

func (s *Store) afterWrite(t *task, r Result) {
	conflict := errors.Is(r.Err, ErrConflict)
	switch {
	case r.Err == nil:
		s.finish(t, r)
	case errors.Is(r.Err, ErrUnknownOutcome):
		s.markLost(t)
		s.again(t, phaseReadBack)
	case t.lost && (conflict || errors.Is(r.Err, ErrNotFound) || isOutage(r.Err)):
		// The refusal is of the last copy sent; an earlier one may have taken effect.
		s.again(t, phaseReadBack)
	case conflict && t.op.IfVersion == AnyVersion:
		s.again(t, phaseResolve)
	case isOutage(r.Err):
		s.again(t, phaseCall)
	default:
		s.finish(t, r)
	}
}

func (s *Store) markLost(t *task) {
	if t.lost {
		return
	}
	t.lost = true
	t.settleBy = s.loop.Clock().Now().Add(s.options.ReconcileTimeout)
	s.counters.lost.Inc(1)
	s.counters.unsettled.Inc(1)
}

// settle judges the state that was read after an answer was lost.
//
//   - The token of the write: it took effect.
//   - The version that the write expects: it has not taken effect, but may
//     still be on its way. The same write is sent again with the same token and
//     condition. At most one copy can meet the condition, so the late copy is
//     harmless and the outcome becomes definite.
//   - Another version: the write took effect and was replaced, or it never did.
//     The outcome is reported as unknown. A tombstone counts as this, since a
//     create that took effect may have been followed by a delete.
func (s *Store) settle(t *task, r Result) {
	if isOutage(r.Err) {
		s.again(t, phaseReadBack)
		return
	}
	if r.Err != nil && !errors.Is(r.Err, ErrNotFound) {
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Err: ErrUnknownOutcome})
		return
	}
	current := r.Object
	if t.readsTombstone() {
		current = findObject(r.Listing, t.op.Key)
	}
	switch {
	case current.Token == t.token:
		s.finish(t, Result{Object: current})
	case current.Version == t.ifVersion && !current.Deleted:
		s.again(t, phaseCall)
	default:
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Object: current, Err: ErrUnknownOutcome})
	}
}

// readsTombstone reports whether the read-back is a list, which shows
// tombstones, in place of a get, which does not.
func (t *task) readsTombstone() bool { return t.op.Kind == OpDelete || t.ifVersion == Absent }

// findObject returns the object with exactly the key, or the zero Object.
func findObject(l Listing, key string) Object {
	for _, o := range l.Objects {
		if o.Key == key {
			return o
		}
	}
	return Object{}
}
