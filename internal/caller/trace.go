package caller

import (
	"fmt"
	"time"
)

// traceReason is a line that admission adds to a call's trace. Admission adds
// lines only while no other duty holds the call, and a bounded number of them.
type traceReason string

const (
	reasonShed         traceReason = "admission: shed for work that ranks higher"
	reasonClaimWritten traceReason = "admission: claim written"
	reasonClaimFound   traceReason = "admission: claim of an earlier submission found"
	reasonRepeat       traceReason = "admission: waits for an earlier call with its key"
)

// maxTrace bounds the lines that admission adds to a call. A repeat adds a few
// lines each time its predecessor is proven not run.
const maxTrace = 8

// hold is what kept a call in the queue.
type hold string

const (
	holdConcurrency  hold = "the customer's concurrency"
	holdTrainerShare hold = "the trainers' share"
	holdReserve      hold = "the reserve for short work"
	holdSlots        hold = "the service's slots"
	holdOrder        hold = "earlier calls"
)

func (e *entry) trace(r traceReason) { e.traceLine(string(r)) }

func (e *entry) traceLine(line string) {
	if len(e.call.RoutingTrace) < maxTrace {
		e.call.RoutingTrace = append(e.call.RoutingTrace, line)
	}
}

// traceQueued notes what kept the call in the queue, and for how long.
func (e *entry) traceQueued(now time.Time) {
	waited := now.Sub(e.queued).Round(time.Millisecond)
	if e.heldBy != "" && waited > 0 {
		e.traceLine(fmt.Sprintf("admission: queued %v, held by %s", waited, e.heldBy))
	}
	e.heldBy = ""
}

// noteHold remembers what keeps the call in the queue.
func (e *entry) noteHold(now time.Time) { e.heldBy = e.lane.heldBy(e.work, now) }

// heldBy returns the limit that keeps work of the lane waiting.
func (l *lane) heldBy(w work, now time.Time) hold {
	c := l.customer
	s := &l.service.slots
	switch {
	case !c.limits.hasRoom(c.running, now):
		return holdConcurrency
	case w == workRollout && !l.rolloutRoom(now):
		return holdTrainerShare
	case s.allows(w, now):
		return holdOrder
	case s.held(w) < s.limit:
		return holdReserve
	default:
		return holdSlots
	}
}
