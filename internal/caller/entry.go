package caller

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// phase is how far a call has come.
type phase int

const (
	phaseArrived   phase = iota // not placed yet
	phaseQueued                 // waits for a slot
	phaseClaiming               // holds a slot; its claim is being stored
	phaseElsewhere              // another daemon started its key
	phaseSent                   // handed to dispatch
	phaseRepeat                 // waits for an earlier call with its key
	phaseEnded
)

// String returns the phase as callers read it.
func (p phase) String() string {
	return [...]string{"queued", "queued", "claiming", "waiting-for-first", "running", "waiting-for-first", "ended"}[p]
}

// entry is one call from its arrival at admission until its end.
type entry struct {
	call     *core.Call
	customer *customerState
	lane     *lane
	phase    phase
	ending   bool // admission has ended the call; its end is in the ring

	place    time.Time // in the lane
	sequence uint64    // of arrival in the queues; first in, first out at equal places
	index    int       // in the lane's heap
	cost     time.Duration
	work     work
	reserved int       // tokens
	queued   time.Time // when it was put into the queue
	heldBy   hold      // what kept it there at first
	sent     time.Time

	claim *localClaim
	// stops cancels the timer and the watch on the caller's context.
	stops []func() bool
	// release frees the context that replaced the caller's.
	release context.CancelFunc
}

// before reports whether e is served before other.
func (e *entry) before(other *entry) bool {
	if e.place.Equal(other.place) {
		return e.sequence < other.sequence
	}
	return e.place.Before(other.place)
}

// countRunning counts the call among those that hold a slot, or with -1 no longer.
func (e *entry) countRunning(n int) {
	e.customer.running += n
	e.lane.running[e.work] += n
	e.lane.service.slots.running[e.work] += n
}

func (e *entry) stopWatches() {
	for _, stop := range e.stops {
		stop()
	}
	e.stops = nil
}

// localClaim is the claim of a call at this daemon, from its arrival until the
// store holds its outcome.
type localClaim struct {
	name        claimKey
	id          string
	fingerprint string
	first       *entry // nil once it has ended
	submitted   bool   // the claims duty knows of it
	held        bool   // the store is proven to hold it
	started     bool   // something was or may have been sent, here or by another daemon
	// outcome is the end of the first call once something may have run.
	outcome *core.End
	waiters []*entry
}
