package platform

import (
	"context"
	"errors"
	"time"
)

type callResult struct {
	task    *task
	started time.Time
	outcome Result
}

func (s *Store) handleResult(result callResult) {
	s.callsInProgress--
	e := CallEnd{Started: result.started, Ended: s.loop.Clock().Now(), Err: result.outcome.Err}
	s.recordCallEnd(e)
	s.onCallEnd(e)
	s.handleCallResult(result.task, result.outcome)
	s.startCalls()
}

// recordCallEnd updates the view of the store and the retry delay by a call of this duty.
func (s *Store) recordCallEnd(e CallEnd) {
	s.recordAvailability(e)
	if !isOutage(e.Err) {
		s.endPause()
		s.retryDelay.reset()
		return
	}
	s.counters.failed.Inc(1)
	if e.isSilent() && s.availability.answeredSince(e.Started) {
		// The answer was lost, but the store answers other calls.
		return
	}
	s.pause(e)
}

// handleReport updates the view of the store by a call of another duty. An answer ends
// the pause only if it ends an outage: the store may answer others and refuse this duty.
func (s *Store) handleReport(e CallEnd) {
	wasDown := s.availability.isDown
	s.recordAvailability(e)
	switch {
	case wasDown && !s.availability.isDown && !s.isRateLimited:
		s.endPause()
		s.retryDelay.reset()
		s.startCalls()
	case e.isAnswer() || !s.availability.isDown:
		// Only the failures of an outage delay the next call.
	case !s.isFailing:
		s.pause(e)
	case e.IsPing:
		s.extendPause(e.Ended)
	}
}

// extendPause leaves it to the pings to find the end of an outage, which saves calls. A
// call of this duty still checks it after the longest retry delay, in case only pings fail.
func (s *Store) extendPause(now time.Time) {
	until := now.Add(ProbePeriod)
	if last := s.lastFailureAt.Add(s.options.MaxRetryDelay); last.Before(until) {
		until = last
	}
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (s *Store) handleWaitingReports() {
	for {
		e, ok := s.reports.TryTake()
		if !ok {
			return
		}
		s.handleReport(e)
	}
}

func (s *Store) recordAvailability(e CallEnd) {
	if len(s.availability.record(e)) == 0 {
		return
	}
	since := int64(0)
	if s.availability.isDown {
		since = s.availability.since.UnixNano()
	}
	s.counters.downSince.Update(since)
}

// pause delays the next call. Calls that were sent before the last pause began belong to
// the same outage and do not increase the delay.
func (s *Store) pause(e CallEnd) {
	if e.Started.After(s.lastFailureFrom) {
		s.lastFailureFrom = e.Started
	}
	if s.isFailing && e.Started.Before(s.lastFailureAt) {
		return
	}
	s.isFailing = true
	s.isRateLimited = errors.Is(e.Err, ErrRateLimited)
	s.lastFailureAt = e.Ended
	s.pausedUntil = e.Ended.Add(s.retryDelay.next())
}

func (s *Store) endPause() {
	s.isFailing, s.isRateLimited = false, false
	s.pausedUntil = time.Time{}
}

// call makes the next call of the task on a pool goroutine.
func (s *Store) call(t *task) Result {
	ctx, cancel := context.WithTimeout(context.Background(), s.callTimeout(t))
	defer cancel()
	var r Result
	switch {
	case t.phase == phaseReadBack && t.needsTombstone():
		r.Object, r.Err = s.api.Find(ctx, t.op.Key)
	case t.phase == phaseReadBack || t.phase == phaseResolveVersion:
		r.Object, r.Err = s.api.Get(ctx, t.op.Key)
	case t.op.Kind == OpList:
		r.Listing, r.Err = s.api.List(ctx, t.op.Key)
	case t.op.Kind == OpGet:
		r.Object, r.Err = s.api.Get(ctx, t.op.Key)
	case t.op.Kind == OpPut:
		r.Object, r.Err = s.api.Put(ctx, t.writeRequest())
	default:
		r.Object, r.Err = s.api.Delete(ctx, t.writeRequest())
	}
	return r
}

// callTimeout returns the longest time for the next call of the task.
func (s *Store) callTimeout(t *task) time.Duration {
	if t.phase == phaseCall && t.op.isWrite() {
		return s.options.CallTimeout + transferTime(len(t.op.Value))
	}
	return s.options.ReadTimeout
}

// transferTime returns the longest time that a write of so many bytes takes: the value is
// sent, and the answer brings it back.
func transferTime(bytes int) time.Duration {
	return 2 * time.Duration(bytes) * time.Second / minTransferRate
}

func (t *task) writeRequest() Write {
	return Write{Key: t.op.Key, IfVersion: t.expectedVersion, Token: t.token, Value: t.op.Value}
}
