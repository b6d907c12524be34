package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// pause starts the call's next attempt once delay has passed. When the caller
// goes away first, the call ends at once.
func (d *Dispatcher) pause(s *callState, delay time.Duration) {
	generation := d.wait(s)
	s.stopTimer = d.loop.After(delay, func() { d.resume(s, generation) })
}

// park keeps the call until a suspect has ended, or its caller goes away.
func (d *Dispatcher) park(s *callState) {
	d.wait(s)
	d.parked = append(d.parked, s)
}

// wait marks the call as waiting and watches its context.
func (d *Dispatcher) wait(s *callState) (generation int) {
	s.waits++
	s.waiting = true
	id := s.call.Request.ID
	s.stopWatch = context.AfterFunc(s.call.Context, func() { d.cancels.TryPut(id) })
	return s.waits
}

// resume continues a waiting call, unless it was continued already.
func (d *Dispatcher) resume(s *callState, generation int) {
	if !s.waiting || s.waits != generation {
		return
	}
	s.waiting = false
	s.stopWatch()
	if s.stopTimer != nil {
		s.stopTimer()
		s.stopTimer = nil
	}
	d.start(s)
}

// handleCancel ends a waiting call whose context has ended.
func (d *Dispatcher) handleCancel(id core.RequestID) {
	if s := d.inProgress[id]; s != nil && s.waiting {
		d.resume(s, s.waits)
	}
}

// unparkSome lets the calls that have been parked longest try again.
func (d *Dispatcher) unparkSome(n int) {
	n = min(n, len(d.parked))
	some := d.parked[:n:n]
	d.parked = d.parked[n:]
	for _, s := range some {
		d.resume(s, s.waits)
	}
}

// unpark lets the parked calls try again.
func (d *Dispatcher) unpark() {
	parked := d.parked
	d.parked = nil
	for _, s := range parked {
		d.resume(s, s.waits)
	}
}
