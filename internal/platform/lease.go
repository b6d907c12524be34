package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// LeasePrefix is the prefix of lease objects in the object API. Lease objects are
// never deleted, so that fencing numbers never restart.
const LeasePrefix = "leases/"

// Timing rules of leases, as parts of the duration. A holder stops before another
// daemon takes over; the difference covers clocks that run at different speeds.
const (
	// DefaultLeaseDuration is used when LeaseOptions gives none.
	DefaultLeaseDuration = 10 * time.Second
	// MinLeaseDuration leaves time to repeat a renewal after a short outage.
	MinLeaseDuration = time.Second
	// MaxLeaseDuration bounds the duration of a lease record. A contender waits for at
	// most this time and an eighth for a holder that does not renew.
	MaxLeaseDuration       = time.Hour
	usableShareNumerator   = 3 // a holder uses a lease for 3/4 of the duration
	usableShareDenominator = 4
	renewDivisor           = 4 // renewals are sent each quarter of the duration
	driftDivisor           = 8 // a contender waits the duration and another eighth
	pollDivisor            = 3 // a contender reads the lease three times in a duration
	// overdueRenewals is the number of renewals missing since a contender's last read
	// from which it reads the lease at least overduePollDivisor times in a duration.
	overdueRenewals    = 2
	overduePollDivisor = 2
)

// ErrLeaseNotFound means that the lease manager does not follow the lease.
var ErrLeaseNotFound = errors.New("platform: lease not found")

// Lease is the right to act as the holder of a lease until a deadline. It is
// immutable: other duties keep the newest one and check it before each use.
type Lease struct {
	Name     string
	Fence    int64     // fencing number, larger than that of every earlier holder
	Deadline time.Time // on the lease manager's clock
}

// IsValidAt reports whether the lease may be used at now, which must be read from
// the lease manager's clock right before the use.
func (l Lease) IsValidAt(now time.Time) bool { return l.Fence > 0 && now.Before(l.Deadline) }

// LeaseEventKind is the kind of a change of a lease.
type LeaseEventKind int

// Kinds of lease event.
const (
	LeaseGained   LeaseEventKind = iota // Lease is valid and has a new fencing number
	LeaseRenewed                        // Lease has the same fencing number and a later deadline
	LeaseLost                           // Lease must no longer be used
	LeaseObserved                       // Holder or the fencing number has changed
)

// String returns the kind as it is written in logs.
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
	Lease  Lease  // this daemon's; for LeaseObserved only Name and Fence are set
	Holder string // last known holder; empty after a release
	// PreviousHolder is the holder that a LeaseGained replaced.
	PreviousHolder string
	// TakeoverWaitDone is set for LeaseGained and LeaseRenewed when this host has
	// held the lease for LeaseOptions.TakeoverWait, earlier runs included.
	TakeoverWaitDone bool
}

// LeaseOptions are the settings of one lease.
type LeaseOptions struct {
	Duration time.Duration // 0 takes DefaultLeaseDuration; from MinLeaseDuration to MaxLeaseDuration
	// Listener is called on the lease manager's goroutine and must not block.
	Listener func(LeaseEvent)
	// PollPeriod returns the time between a contender's reads of the lease; nil
	// is a third of the duration. It is called on the lease manager's goroutine.
	PollPeriod func() time.Duration
	// IsEarlierRun reports whether a holder is an earlier run of this daemon
	// that has certainly ended. Its lease is taken without a wait. Nil means that
	// no holder is.
	IsEarlierRun func(holder string) bool
	// TakeoverWait is how long a holder waits before it first uses the lease. A
	// later run on the host skips the wait only if an earlier one completed it.
	TakeoverWait time.Duration
}

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder           string `json:"holder"` // empty after a release
	Fence            int64  `json:"fence"`
	DurationMs       int64  `json:"durationMs"`
	Renewals         int64  `json:"renewals"`
	TakeoverWaitDone bool   `json:"settled,omitempty"` // see LeaseEvent
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
		return r, fmt.Errorf("lease object %s has the fencing number %d; it must be above 0", o.Key, r.Fence)
	}
	// An entry by another writer may name any number.
	r.DurationMs = min(max(0, r.DurationMs), MaxLeaseDuration.Milliseconds())
	return r, nil
}

func (r leaseRecord) encode() []byte {
	// A struct of strings and integers always encodes.
	value, _ := json.Marshal(r)
	return value
}

// leaseState is what the lease manager knows of one lease.
type leaseState struct {
	name             string
	duration         time.Duration
	listener         func(LeaseEvent)
	pollPeriodOption func() time.Duration
	isEarlierRun     func(holder string) bool
	takeoverWait     time.Duration
	previousHolder   string // holder that the claim in progress replaces
	isWanted         bool   // to be acquired; otherwise only observed
	isReleasing      bool   // to be released and removed

	// The last state read or written.
	isKnown       bool
	record        leaseRecord
	version       int64
	versionSeenAt time.Time // when this version was first read or written
	lastReadAt    time.Time // when the lease was last read
	isOverdue     bool      // the last read showed that renewals are missing

	lease    Lease // zero unless isHeld
	isHeld   bool
	gainedAt time.Time // when the lease was gained
	renewAt  time.Time

	isBusy      bool // an operation is in progress
	retryAt     time.Time
	retry       *retryDelay
	timerNumber uint64 // number of the current timer; older ones are ignored

	stopTimer func() bool
}

// claimAllowedAt returns the time from which this daemon may claim the lease.
func (s *leaseState) claimAllowedAt(daemonRun string) time.Time {
	isFree := s.record.Holder == ""
	// The holder's name is unique to this run of the daemon, and isHeld is false:
	// nothing in this run uses the lease, whatever it wrote before.
	isOwn := s.record.Holder == daemonRun
	if isFree || isOwn || (s.isEarlierRun != nil && s.isEarlierRun(s.record.Holder)) {
		return s.versionSeenAt
	}
	duration := max(s.duration, time.Duration(s.record.DurationMs)*time.Millisecond)
	return s.versionSeenAt.Add(duration + duration/driftDivisor)
}

// isClaimConfirmed reports whether a claim at the time is worth a write. A
// contender that polls slowly must read once more first, since its last read may
// be older than the holder's last renewals.
func (s *leaseState) isClaimConfirmed(claimAt time.Time) bool {
	return !claimAt.After(s.versionSeenAt) || s.lastReadAt.After(s.versionSeenAt)
}

// pollPeriod is the time between a contender's reads of the lease. A contender that
// reads it rarely does so more often once renewals are missing. Otherwise it would need
// two of its long periods to see that the holder has failed.
func (s *leaseState) pollPeriod() time.Duration {
	period := s.duration / pollDivisor
	if s.pollPeriodOption != nil {
		period = s.pollPeriodOption()
	}
	if s.isOverdue {
		return min(period, s.duration/overduePollDivisor)
	}
	return period
}

// updateOverdue compares the renewals since the last read with those that a live holder
// makes. It is called before the new record is stored.
func (s *leaseState) updateOverdue(read leaseRecord, now time.Time) {
	isSameHolder := s.isKnown && read.Holder != "" && read.Holder == s.record.Holder && read.Fence == s.record.Fence
	interval := time.Duration(read.DurationMs) * time.Millisecond / renewDivisor
	if !isSameHolder || interval <= 0 {
		s.isOverdue = false
		return
	}
	expected := int64(now.Sub(s.lastReadAt) / interval)
	s.isOverdue = expected-(read.Renewals-s.record.Renewals) >= overdueRenewals
}

// MinTakeoverGap is the minimum time between the last use of a lease that expires
// and its next acquisition.
func MinTakeoverGap(duration time.Duration) time.Duration {
	return duration + duration/driftDivisor - usableDuration(duration)
}

func usableDuration(duration time.Duration) time.Duration {
	return duration / usableShareDenominator * usableShareNumerator
}
