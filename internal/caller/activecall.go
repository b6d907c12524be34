package caller

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// phase is the progress of a call.
type phase int

const (
	phaseArrived             phase = iota // not queued yet
	phaseQueued                           // waits for a slot
	phaseClaiming                         // occupies a slot while its claim is being stored
	phaseAwaitingOtherDaemon              // another daemon has started a call with its key
	phaseSent                             // submitted to dispatch
	phaseAwaitingFirst                    // waits for an earlier call with its key at this daemon
	phaseEnded
)

// String returns the name of the phase in the answer to a state query.
func (p phase) String() string {
	return [...]string{"queued", "queued", "claiming", "waiting-for-first", "running", "waiting-for-first", "ended"}[p]
}

// activeCall is admission's state for one call, from its arrival to its end.
type activeCall struct {
	call     *core.Call
	customer *customerState
	queue    *customerQueue
	phase    phase
	isEnding bool // the call has been ended, and its end is in the endedCalls ring

	orderTime      time.Time     // position in the queue; earlier is served first
	sequence       uint64        // order of arrival, which breaks ties of orderTime
	heapIndex      int           // position in the queue's heap
	cost           time.Duration // expected service time that the call is charged for
	kind           workKind
	reservedTokens int // taken from the token bucket
	queuedAt       time.Time
	blockedBy      blockReason // why the call could not start when it was queued
	sentAt         time.Time

	claim *localClaim
	// stopFuncs cancel the deadline timer and the watch on the caller's context.
	stopFuncs []func() bool
	// releaseContext cancels the context that replaced the caller's.
	releaseContext context.CancelFunc
}

// precedes reports whether e is served before other.
func (active *activeCall) precedes(other *activeCall) bool {
	if active.orderTime.Equal(other.orderTime) {
		return active.sequence < other.sequence
	}
	return active.orderTime.Before(other.orderTime)
}

// addRunning adds n to the counts of running calls that include this call.
func (active *activeCall) addRunning(n int) {
	active.customer.runningCalls += n
	active.queue.runningCalls[active.kind] += n
	active.queue.service.slots.running[active.kind] += n
}

func (active *activeCall) stopWatches() {
	for _, stop := range active.stopFuncs {
		stop()
	}
	active.stopFuncs = nil
}

// localClaim is the state of an idempotency key at this daemon, from the arrival
// of the first call until the store has its outcome.
type localClaim struct {
	key         claimKey
	id          string
	fingerprint string
	firstCall   *activeCall // nil once it has ended
	isSubmitted bool        // the claims duty has received the claim
	isStored    bool        // the claim is known to be in the store
	isStarted   bool        // a call with the key was sent or may have been, by any daemon
	// outcome is the end of the first call, set when that call may have run.
	outcome *core.End
	waiters []*activeCall
}
