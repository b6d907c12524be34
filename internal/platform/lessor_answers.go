package platform

import (
	"errors"
	"strings"
	"time"
)

func (l *LeaseManager) handleDone(d leaseDone) {
	l.inFlight--
	s := d.state
	s.busy = false
	if l.leases[s.name] != s {
		return
	}
	now := l.loop.Clock().Now()
	if s.held && !s.holding.IsValidAt(now) {
		l.lose(s)
	}
	if d.op == leaseRead {
		l.afterRead(s, d, now)
	} else {
		l.afterWrite(s, d, now)
	}
}

func (l *LeaseManager) afterRead(s *leaseState, d leaseDone, now time.Time) {
	switch {
	case d.result.Err == nil:
		l.see(s, d.result.Object, now)
	case errors.Is(d.result.Err, ErrNotFound):
		l.seeAbsent(s, now)
	default:
		l.counters.failed.Inc(1)
		l.backOff(s, now)
		return
	}
	s.readAt = now
	if s.known {
		s.retry.reset()
	}
	l.step(s)
}

// see takes note of the stored state of the lease.
func (l *LeaseManager) see(s *leaseState, o Object, now time.Time) {
	record, err := decodeLease(o)
	if err != nil {
		// A lease that cannot be read is neither taken nor held: its fencing
		// number is not known.
		s.known = false
		l.counters.failed.Inc(1)
		s.retryAt = now.Add(s.retry.next())
		return
	}
	if s.known && o.Version <= s.version {
		return
	}
	changed := record.Holder != s.record.Holder || record.Fence != s.record.Fence
	s.known = true
	s.record = record
	s.version = o.Version
	s.seenAt = now
	if s.held && (record.Holder != l.self || record.Fence != s.holding.Fence) {
		l.lose(s)
	}
	if changed {
		l.notify(s.listener, LeaseEvent{
			Kind:   LeaseObserved,
			Lease:  Lease{Name: s.name, Fence: record.Fence},
			Holder: record.Holder,
		})
	}
}

// seeAbsent takes note that there is no lease object. A record seen before
// stays in force: a deleted object neither ends a holding nor starts fencing
// numbers again.
func (l *LeaseManager) seeAbsent(s *leaseState, now time.Time) {
	if s.known && s.version == Absent {
		return
	}
	s.known = true
	s.version = Absent
	s.seenAt = now
}

func (l *LeaseManager) afterWrite(s *leaseState, d leaseDone, now time.Time) {
	if d.result.Err != nil {
		l.counters.failed.Inc(1)
		// The version may have changed, by this write or by another's; the next
		// step reads it. A holder that can still renew reads it as well.
		l.reread(s, now)
		return
	}
	if s.known && d.result.Object.Version < s.version {
		// A snapshot has already told of a later state.
		l.step(s)
		return
	}
	s.record = d.record
	s.version = d.result.Object.Version
	s.seenAt = now
	s.readAt = now
	s.renewAt = d.sentAt.Add(l.renewalDelay(s.duration))
	granted := Lease{Name: s.name, Fence: d.record.Fence, Deadline: d.sentAt.Add(usable(s.duration))}
	l.grant(s, d, granted, now)
	l.step(s)
}

// renewalDelay is spread a little, so that leases gained together are not
// renewed together for ever.
func (l *LeaseManager) renewalDelay(duration time.Duration) time.Duration {
	delay := duration / renewDivisor
	return delay - time.Duration(renewJitter*l.random.Float64()*float64(delay))
}

// grant starts or extends the holding that a write has brought.
func (l *LeaseManager) grant(s *leaseState, d leaseDone, granted Lease, now time.Time) {
	switch {
	case d.op == leaseRelease:
		return
	case !granted.IsValidAt(now):
		// The answer came too late to be used; the lease is taken again with a
		// new fencing number. The delay keeps a store slower than the lease from
		// being written all the time.
		s.retryAt = now.Add(s.retry.next())
		return
	case d.op == leaseAcquire:
		s.retry.reset()
		s.holding = granted
		s.held, s.heldAt = true, now
		l.counters.gained.Inc(1)
		l.counters.held.Inc(1)
		l.notify(s.listener, LeaseEvent{Kind: LeaseGained, Lease: granted, Holder: l.self, PreviousHolder: s.before, TakeoverWaitDone: s.record.Settled})
	case s.held:
		// A renewal whose holding was lost meanwhile does not bring it back,
		// since its users were told to stop.
		s.retry.reset()
		s.holding = granted
		l.counters.renewed.Inc(1)
		l.notify(s.listener, LeaseEvent{Kind: LeaseRenewed, Lease: granted, Holder: l.self, TakeoverWaitDone: s.record.Settled})
	}
}

// reread reads the lease after a failed write, at once or after a delay.
func (l *LeaseManager) reread(s *leaseState, now time.Time) {
	if s.leaving && !s.held {
		// A release that failed is not repeated; the lease ends by its duration.
		delete(l.leases, s.name)
		return
	}
	s.readAt = time.Time{}
	if !s.held {
		l.backOff(s, now)
		return
	}
	s.retryAt = now.Add(s.retry.next())
	l.send(s, leaseDone{op: leaseRead}, Op{Kind: OpGet, Key: LeasePrefix + s.name})
}

func (l *LeaseManager) lose(s *leaseState) {
	ended := s.holding
	s.held = false
	s.holding = Lease{}
	l.counters.lost.Inc(1)
	l.counters.held.Dec(1)
	l.notify(s.listener, LeaseEvent{Kind: LeaseLost, Lease: ended, Holder: s.record.Holder})
}

func (l *LeaseManager) handleSnapshot(snapshot Snapshot) {
	now := l.loop.Clock().Now()
	for _, o := range snapshot.Objects {
		s, followed := l.leases[strings.TrimPrefix(o.Key, LeasePrefix)]
		if !followed || s.busy {
			// The result of the operation in progress tells the newest state.
			continue
		}
		l.see(s, o, now)
		l.step(s)
	}
}
