package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// chooseServer returns the server for the next attempt. If it returns nil,
// missing names the requirement that no server meets, or is empty if capable
// servers exist but none is available yet.
func (d *Dispatcher) chooseServer(s *callState) (chosen *Candidate, missing string) {
	return d.router.pick(s.call.Request, s.progress, s.tried)
}

// waitForServer makes the call wait until a capable server is available again.
// A call whose request is a crash suspect waits until another suspect has
// finished.
//
// If no connection to any capable server can be opened, as in a data centre that is cut
// off, a caller's request is refused at once, so that it can come back through another
// daemon within its time.
func (d *Dispatcher) waitForServer(s *callState) {
	now := d.loop.Clock().Now()
	var earliest time.Time
	isAnyReachable := false
	for _, c := range d.listed {
		if !d.isCapable(s.call.Request, c) {
			continue
		}
		isAnyReachable = isAnyReachable || !d.health.isUnreachable(c.Server.ID, now)
		availableAt := d.health.availableAt(c.Server.ID, now)
		if availableAt.IsZero() {
			continue
		}
		if earliest.IsZero() || availableAt.Before(earliest) {
			earliest = availableAt
		}
	}
	if d.refuseOverRateLimits(s, now) {
		return
	}
	if !isAnyReachable && !earliest.IsZero() && s.call.Request.Class == core.ClassInteractive {
		d.fail(s, &core.Error{Code: core.CodeUnavailable, Reason: "no connection to any backend server", RetryAfter: unreachableRetryAfter})
		return
	}
	if d.isContinuationOverdue(s, now) {
		d.fail(s, notContinuedError(s.progress, "no backend server of its software version %q has room"))
		return
	}
	if earliest.IsZero() || d.health.isSuspect(s.call.Request, now) {
		d.enqueueWaiting(s)
		return
	}
	delay := earliest.Sub(now)
	if left := s.interruptedAt.Add(maxContinuationWait).Sub(now); left > 0 {
		delay = min(delay, left)
	}
	d.scheduleAttempt(s, delay)
}

func (d *Dispatcher) isCapable(r *core.Request, c *Candidate) bool {
	for _, f := range d.filters {
		if !f.Matches(r, c) {
			return false
		}
	}
	return true
}

// isContinuationOverdue reports whether the call's answer, which has begun, has waited too
// long for a server that may continue it. An item that could not start anew either keeps
// waiting: nothing would be gained by discarding its events.
func (d *Dispatcher) isContinuationOverdue(s *callState, now time.Time) bool {
	if s.progress.IsEmpty() || now.Sub(s.interruptedAt) < maxContinuationWait {
		return false
	}
	if s.call.Request.Class != core.ClassRollout {
		return true
	}
	anew, _ := d.router.pick(s.call.Request, core.Progress{}, nil)
	return anew != nil
}
