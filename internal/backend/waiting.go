package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// scheduleAttempt starts the call's next attempt after the delay. If the caller
// cancels first, the call ends immediately.
func (d *Dispatcher) scheduleAttempt(s *callState, delay time.Duration) {
	generation := d.beginWait(s)
	s.stopTimer = d.loop.After(delay, func() { d.endWait(s, generation) })
}

// enqueueWaiting keeps the call in the wait queue until it is retried or its
// caller cancels.
func (d *Dispatcher) enqueueWaiting(s *callState) {
	d.beginWait(s)
	d.waitQueue = append(d.waitQueue, s)
}

// beginWait marks the call as waiting and watches its context. The returned
// generation identifies this wait, so that a timer of an earlier wait has no
// effect.
func (d *Dispatcher) beginWait(s *callState) (generation int) {
	s.waitGeneration++
	s.isWaiting = true
	if s.waitingSince.IsZero() {
		s.waitingSince = d.loop.Clock().Now()
	}
	id := s.call.Request.ID
	s.stopContextWatch = context.AfterFunc(s.call.Context, func() { d.cancels.TryPut(id) })
	return s.waitGeneration
}

// endWait starts the next attempt of a waiting call. It does nothing if the
// wait of that generation has already ended.
func (d *Dispatcher) endWait(s *callState, generation int) {
	if !s.isWaiting || s.waitGeneration != generation {
		return
	}
	s.isWaiting = false
	s.stopContextWatch()
	if s.stopTimer != nil {
		s.stopTimer()
		s.stopTimer = nil
	}
	d.startNextAttempt(s)
}

// handleCancel ends a waiting call whose context has ended.
func (d *Dispatcher) handleCancel(id core.RequestID) {
	if s := d.callsInProgress[id]; s != nil && s.isWaiting {
		d.endWait(s, s.waitGeneration)
	}
}

// retryOldestWaiting starts the next attempt of the n calls that have waited
// longest.
func (d *Dispatcher) retryOldestWaiting(n int) {
	n = min(n, len(d.waitQueue))
	oldest := d.waitQueue[:n:n]
	d.waitQueue = d.waitQueue[n:]
	for _, s := range oldest {
		d.endWait(s, s.waitGeneration)
	}
}

// retryAllWaiting starts the next attempt of every call in the wait queue.
func (d *Dispatcher) retryAllWaiting() {
	waiting := d.waitQueue
	d.waitQueue = nil
	for _, s := range waiting {
		d.endWait(s, s.waitGeneration)
	}
}
