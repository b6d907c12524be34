package caller

import (
	"fmt"
	"time"
)

// traceReason is a line that admission adds to a call's trace. Admission adds a
// bounded number of lines, and only while no other duty has the call.
type traceReason string

const (
	reasonShed         traceReason = "admission: shed for work that ranks higher"
	reasonClaimWritten traceReason = "admission: claim written"
	reasonClaimFound   traceReason = "admission: claim of an earlier submission found"
	reasonRepeat       traceReason = "admission: waits for an earlier call with its key"
)

// maxTraceLines bounds the lines that admission adds to a call. A repeat adds a few
// lines each time its predecessor is known not to have run.
const maxTraceLines = 8

// blockReason is the limit that kept a call in the queue.
type blockReason string

const (
	blockedByConcurrency  blockReason = "the customer's concurrency"
	blockedByTrainerShare blockReason = "the trainers' share"
	blockedByReserve      blockReason = "the reserve for short work"
	blockedBySlots        blockReason = "the service's slots"
	blockedByEarlierCalls blockReason = "earlier calls"
)

func (active *activeCall) trace(r traceReason) { active.traceLine(string(r)) }

func (active *activeCall) traceLine(line string) {
	if len(active.call.RoutingTrace) < maxTraceLines {
		active.call.RoutingTrace = append(active.call.RoutingTrace, line)
	}
}

// traceQueued records how long the call was queued and which limit kept it there.
func (active *activeCall) traceQueued(now time.Time) {
	waited := now.Sub(active.queuedAt).Round(time.Millisecond)
	if active.blockedBy != "" && waited > 0 {
		active.traceLine(fmt.Sprintf("admission: queued %v, held by %s", waited, active.blockedBy))
	}
	active.blockedBy = ""
}

// recordBlockReason stores the limit that keeps the call in the queue.
func (active *activeCall) recordBlockReason(now time.Time) {
	active.blockedBy = active.queue.blockReasonFor(active.kind, now)
}

// blockReasonFor returns the limit that keeps work of the queue waiting.
func (q *customerQueue) blockReasonFor(kind workKind, now time.Time) blockReason {
	c := q.customer
	s := &q.service.slots
	switch {
	case !c.limits.hasConcurrencyRoom(c.runningCalls):
		return blockedByConcurrency
	case kind == workRollout && !q.hasRolloutRoom():
		return blockedByTrainerShare
	case s.hasRoomFor(kind, now):
		return blockedByEarlierCalls
	case s.occupiedFor(kind) < s.limit:
		return blockedByReserve
	default:
		return blockedBySlots
	}
}
