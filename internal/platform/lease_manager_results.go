package platform

import (
	"errors"
	"strings"
	"time"
)

func (l *LeaseManager) handleResult(result leaseResult) {
	l.opsInProgress--
	s := result.state
	s.isBusy = false
	if l.leases[s.name] != s {
		return
	}
	now := l.loop.Clock().Now()
	if s.isHeld && !s.lease.IsValidAt(now) {
		l.endLease(s)
	}
	if result.kind == leaseRead {
		l.handleReadResult(s, result, now)
	} else {
		l.handleWriteResult(s, result, now)
	}
}

func (l *LeaseManager) handleReadResult(s *leaseState, result leaseResult, now time.Time) {
	switch {
	case result.outcome.Err == nil:
		l.updateState(s, result.outcome.Object, now)
	case errors.Is(result.outcome.Err, ErrNotFound):
		l.updateAbsent(s, now)
	default:
		l.counters.failed.Inc(1)
		l.backOff(s, now)
		return
	}
	s.lastReadAt = now
	if s.isKnown {
		s.retry.reset()
	}
	l.advance(s)
}

// updateState updates the lease from its stored object.
func (l *LeaseManager) updateState(s *leaseState, o Object, now time.Time) {
	record, err := decodeLease(o)
	if err != nil {
		// A lease that cannot be decoded is neither claimed nor renewed, since its
		// fencing number is unknown.
		s.isKnown = false
		l.counters.failed.Inc(1)
		s.retryAt = now.Add(s.retry.next())
		return
	}
	s.updateOverdue(record, now)
	if s.isKnown && o.Version <= s.version {
		return
	}
	changed := record.Holder != s.record.Holder || record.Fence != s.record.Fence
	s.isKnown = true
	s.record = record
	s.version = o.Version
	s.versionSeenAt = now
	if s.isHeld && (record.Holder != l.daemonRun || record.Fence != s.lease.Fence) {
		l.endLease(s)
	}
	if changed {
		l.notify(s.listener, LeaseEvent{
			Kind:   LeaseObserved,
			Lease:  Lease{Name: s.name, Fence: record.Fence},
			Holder: record.Holder,
		})
	}
}

// updateAbsent records that there is no lease object. The last record stays in
// force: a deleted object neither ends a lease nor restarts fencing numbers.
func (l *LeaseManager) updateAbsent(s *leaseState, now time.Time) {
	if s.isKnown && s.version == Absent {
		return
	}
	s.isKnown = true
	s.version = Absent
	s.versionSeenAt = now
}

func (l *LeaseManager) handleWriteResult(s *leaseState, result leaseResult, now time.Time) {
	if result.outcome.Err != nil {
		l.counters.failed.Inc(1)
		// The version may have changed, by this write or by another daemon's, so
		// it is read next, also by a holder that can still renew.
		l.readAfterFailure(s, now)
		return
	}
	if s.isKnown && result.outcome.Object.Version < s.version {
		// A snapshot has already delivered a later state.
		l.advance(s)
		return
	}
	s.record = result.record
	s.version = result.outcome.Object.Version
	s.versionSeenAt = now
	s.lastReadAt = now
	s.renewAt = result.sentAt.Add(l.renewalDelay(s.duration))
	granted := Lease{Name: s.name, Fence: result.record.Fence, Deadline: result.sentAt.Add(usableDuration(s.duration))}
	l.applyGrant(s, result, granted, now)
	l.advance(s)
}

// renewalDelay returns the delay until a renewal with jitter, so that leases
// gained at the same time are not always renewed at the same time.
func (l *LeaseManager) renewalDelay(duration time.Duration) time.Duration {
	delay := duration / renewDivisor
	return delay - time.Duration(renewJitterShare*l.random.Float64()*float64(delay))
}

// applyGrant starts or extends the lease after a successful write.
func (l *LeaseManager) applyGrant(s *leaseState, result leaseResult, granted Lease, now time.Time) {
	switch {
	case result.kind == leaseRelease:
		return
	case !granted.IsValidAt(now):
		// The answer came too late to be used; the lease is claimed again with a
		// new fencing number. The delay limits the rate of writes to a store
		// slower than the lease.
		s.retryAt = now.Add(s.retry.next())
		return
	case result.kind == leaseAcquire:
		s.retry.reset()
		s.lease = granted
		s.isHeld, s.gainedAt = true, now
		l.counters.gained.Inc(1)
		l.counters.held.Inc(1)
		l.notify(s.listener, LeaseEvent{Kind: LeaseGained, Lease: granted, Holder: l.daemonRun, PreviousHolder: s.previousHolder, TakeoverWaitDone: s.record.TakeoverWaitDone})
	case s.isHeld:
		// A renewal does not restore a lease that was lost meanwhile, since its
		// users have been notified of the loss.
		s.retry.reset()
		s.lease = granted
		l.counters.renewed.Inc(1)
		l.notify(s.listener, LeaseEvent{Kind: LeaseRenewed, Lease: granted, Holder: l.daemonRun, TakeoverWaitDone: s.record.TakeoverWaitDone})
	}
}

// readAfterFailure reads the lease after a failed write: at once if it is held,
// otherwise after a delay.
func (l *LeaseManager) readAfterFailure(s *leaseState, now time.Time) {
	if s.isReleasing && !s.isHeld {
		// A failed release is not repeated; the lease expires.
		delete(l.leases, s.name)
		return
	}
	s.lastReadAt = time.Time{}
	if !s.isHeld {
		l.backOff(s, now)
		return
	}
	s.retryAt = now.Add(s.retry.next())
	l.send(s, leaseResult{kind: leaseRead}, Op{Kind: OpGet, Key: LeasePrefix + s.name})
}

func (l *LeaseManager) endLease(s *leaseState) {
	lease := s.lease
	s.isHeld = false
	s.lease = Lease{}
	l.counters.lost.Inc(1)
	l.counters.held.Dec(1)
	l.notify(s.listener, LeaseEvent{Kind: LeaseLost, Lease: lease, Holder: s.record.Holder})
}

func (l *LeaseManager) handleSnapshot(snapshot Snapshot) {
	now := l.loop.Clock().Now()
	for _, o := range snapshot.Objects {
		s, isFollowed := l.leases[strings.TrimPrefix(o.Key, LeasePrefix)]
		if !isFollowed || s.isBusy {
			// The result of the operation in progress contains a newer state.
			continue
		}
		l.updateState(s, o, now)
		l.advance(s)
	}
}
