package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// LeasePrefix is the prefix of lease objects in the object API. Lease objects
// are never deleted, so that fencing numbers never start again.
const LeasePrefix = "leases/"

// Rules of leases, as parts of the duration. The difference between the time
// until a holder stops and the time until another daemon takes over covers
// clocks that run at different speeds.
const (
	// DefaultLeaseDuration is used when LeaseOptions gives none.
	DefaultLeaseDuration = 10 * time.Second
	// MinLeaseDuration leaves time for a renewal that meets a short outage.
	MinLeaseDuration  = time.Second
	usableNumerator   = 3 // a holder uses 3/4 of the duration
	usableDenominator = 4
	renewDivisor      = 4 // renewals are sent each quarter of the duration
	driftDivisor      = 8 // a contender waits the duration and another eighth
	pollDivisor       = 3 // a contender reads the lease three times in a duration
)

// ErrLeaseNotFound means that the lessor does not follow the lease.
var ErrLeaseNotFound = errors.New("platform: lease not found")

// Lease is the right to act as the holder of a lease until a deadline. It is
// immutable: another duty keeps the newest one and checks it before each use.
type Lease struct {
	Name     string
	Fence    int64     // fencing number, larger than that of every earlier holder
	Deadline time.Time // on the clock of the lessor, with a monotonic reading
}

// IsValidAt reports whether the lease may be used at now. now comes from the
// same clock as the lessor's and is read right before the use.
func (h Lease) IsValidAt(now time.Time) bool { return h.Fence > 0 && now.Before(h.Deadline) }

// LeaseEventKind says what happened to a lease.
type LeaseEventKind int

// Kinds of lease event.
const (
	LeaseGained   LeaseEventKind = iota // Holding is valid and its fencing number is new
	LeaseRenewed                        // Holding has the same number and a later deadline
	LeaseLost                           // Holding must no longer be used
	LeaseObserved                       // Holder or its fencing number was seen to change
)

// String returns the name of the kind.
func (k LeaseEventKind) String() string {
	switch k {
	case LeaseGained:
		return "gained"
	case LeaseRenewed:
		return "renewed"
	case LeaseLost:
		return "lost"
	case LeaseObserved:
		return "observed"
	default:
		return fmt.Sprintf("LeaseEventKind(%d)", int(k))
	}
}

// LeaseEvent is one change of a lease.
type LeaseEvent struct {
	Kind   LeaseEventKind
	Lease  Lease  // of this daemon; for LeaseObserved only Name and Fence are set
	Holder string // who holds the lease as far as known; empty after a release
	// PreviousHolder is who held it before, for LeaseGained.
	PreviousHolder string
	// TakeoverWaitDone says of a lease gained or renewed that this host has held it for
	// LeaseOptions.SettleAfter, earlier runs included.
	TakeoverWaitDone bool
}

// LeaseOptions says how a lease is held.
type LeaseOptions struct {
	Duration time.Duration // 0 takes DefaultLeaseDuration; less than MinLeaseDuration is raised to it
	// Listener is called on the lessor's goroutine and must not wait.
	Listener func(LeaseEvent)
	// PollPeriod returns how often a contender reads the lease; nil is a third of
	// the duration. It is called on the lessor's goroutine.
	PollPeriod func() time.Duration
	// IsEarlierRun reports whether a holder is an earlier run of this daemon
	// that has ended for sure. Its lease is taken without waiting. Nil is never.
	IsEarlierRun func(holder string) bool
	// TakeoverWait is how long a holder waits before it first uses the lease. A
	// later run on the host goes on at once only if an earlier one had waited.
	TakeoverWait time.Duration
}

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder     string `json:"holder"` // empty after a release
	Fence      int64  `json:"fence"`
	DurationMs int64  `json:"durationMs"`
	Renewals   int64  `json:"renewals"`
	Settled    bool   `json:"settled,omitempty"` // see LeaseOptions.SettleAfter
}

func decodeLease(o Object) (leaseRecord, error) {
	var r leaseRecord
	if o.Deleted {
		return r, fmt.Errorf("lease object %s was deleted; its fencing number is lost", o.Key)
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, fmt.Errorf("decode lease object %s: %w", o.Key, err)
	}
	if r.Fence <= 0 {
		return r, fmt.Errorf("lease object %s has the fencing number %d; it is above 0 in every lease", o.Key, r.Fence)
	}
	return r, nil
}

func (r leaseRecord) encode() []byte {
	// A struct of strings and integers always encodes.
	value, _ := json.Marshal(r)
	return value
}

// leaseState is what the lessor knows of one lease.
type leaseState struct {
	name     string
	duration time.Duration
	listener func(LeaseEvent)
	poll     func() time.Duration
	earlier  func(holder string) bool
	settle   time.Duration
	before   string // holder that the acquisition in progress replaces
	wanted   bool   // acquire it; otherwise only observe
	leaving  bool   // release it, then forget it

	// Last state read or written.
	known   bool
	record  leaseRecord
	version int64
	seenAt  time.Time // when this version was first seen
	readAt  time.Time // when the lease was last read

	holding Lease // valid while held
	held    bool
	heldAt  time.Time // when the holding began
	renewAt time.Time

	busy    bool // an operation is in progress
	retryAt time.Time
	retry   *retryDelay
	timer   uint64 // number of the timer in force

	stopTimer func() bool
}

// claimableAt returns when this daemon may take the lease.
func (s *leaseState) claimableAt(self string) time.Time {
	free := s.record.Holder == ""
	// The holder's name is unique to this run of the daemon, and s.held is
	// false: whatever this daemon wrote before, nothing here uses it.
	own := s.record.Holder == self
	if free || own || (s.earlier != nil && s.earlier(s.record.Holder)) {
		return s.seenAt
	}
	duration := max(s.duration, time.Duration(s.record.DurationMs)*time.Millisecond)
	return s.seenAt.Add(duration + duration/driftDivisor)
}

// isConfirmed reports whether a claim at the time is worth a write. A contender
// that reads seldom reads once more first: its last look may be older than the
// holder's last renewals.
func (s *leaseState) isConfirmed(claimAt time.Time) bool {
	return !claimAt.After(s.seenAt) || s.readAt.After(s.seenAt)
}

// pollPeriod is how often a contender reads the lease.
func (s *leaseState) pollPeriod() time.Duration {
	if s.poll != nil {
		return s.poll()
	}
	return s.duration / pollDivisor
}

// MinTakeoverGap is the least time between the last use of a lease that lapses and
// its next holder.
func MinTakeoverGap(duration time.Duration) time.Duration {
	return duration + duration/driftDivisor - usable(duration)
}

func usable(duration time.Duration) time.Duration {
	return duration / usableDenominator * usableNumerator
}
