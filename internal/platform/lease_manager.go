package platform

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the lease duty.
const (
	maxLeases             = 4096 // at most one operation of each is in progress
	leaseRequestCapacity  = 1024
	leaseSnapshotCapacity = 64
	minLeaseRetryDelay    = 50 * time.Millisecond
	maxLeaseRetryDelay    = time.Second
	renewJitterShare      = 0.2 // random share of the time between renewals
)

// Submitter is the part of the store duty that the lease manager uses.
type Submitter interface {
	Submit(op Op) bool
}

// LeaseStats are the counters of a lease manager.
type LeaseStats struct {
	Gained, Lost, Renewed, Failed int64
	Held                          int64 // leases held now
}

type leaseCounters struct {
	gained, lost, renewed, failed, held metrics.Counter
}

type leaseRequest struct {
	kind    leaseRequestKind
	name    string
	options LeaseOptions
}

type leaseRequestKind int

const (
	requestAcquire leaseRequestKind = iota
	requestObserve
	requestRelease
)

// leaseOpKind is the purpose of a store operation.
type leaseOpKind int

const (
	leaseRead leaseOpKind = iota
	leaseAcquire
	leaseRenew
	leaseRelease
)

type leaseResult struct {
	state   *leaseState
	kind    leaseOpKind
	sentAt  time.Time
	record  leaseRecord // record written; zero if kind is leaseRead
	outcome Result
}

// LeaseManager is the duty that acquires, renews, releases and observes leases.
//
// At most one lease manager has a valid Lease of a name at any time, as long as
// the speeds of the clocks differ by less than a quarter. Fencing numbers grow
// with every gain, also when the same daemon gains the lease again.
type LeaseManager struct {
	loop      *duty.Loop
	store     Submitter
	daemonRun string
	requests  *ring.Ring[leaseRequest]
	results   *ring.Ring[leaseResult]
	snapshots *ring.Ring[Snapshot]
	random    *rand.Rand
	counters  leaseCounters

	leases map[string]*leaseState
	// opsInProgress is the number of operations in progress. It never exceeds the
	// capacity of results, so that no result is rejected.
	opsInProgress int
}

// NewLeaseManager returns the lease duty. daemonRun identifies this run of the
// daemon; a restarted daemon must use another value. random is used for jitter
// and may be nil.
func NewLeaseManager(clock duty.Clock, store Submitter, daemonRun string, random *rand.Rand) *LeaseManager {
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := &LeaseManager{
		loop:      duty.New("leases", clock),
		store:     store,
		daemonRun: daemonRun,
		requests:  ring.New[leaseRequest]("leases.requests", leaseRequestCapacity),
		results:   ring.New[leaseResult]("leases.results", maxLeases),
		snapshots: ring.New[Snapshot]("leases.snapshots", leaseSnapshotCapacity),
		random:    random,
		leases:    map[string]*leaseState{},
		counters: leaseCounters{
			gained: metrics.NewCounter(), lost: metrics.NewCounter(), renewed: metrics.NewCounter(),
			failed: metrics.NewCounter(), held: metrics.NewCounter(),
		},
	}
	duty.On(l.loop, l.results, l.handleResult)
	duty.On(l.loop, l.requests, l.handleRequest)
	duty.On(l.loop, l.snapshots, l.handleSnapshot)
	return l
}

// Loop returns the duty's loop.
func (l *LeaseManager) Loop() *duty.Loop { return l.loop }

// Stats returns the counters. Any goroutine may call it.
func (l *LeaseManager) Stats() LeaseStats {
	c := l.counters
	return LeaseStats{
		Gained: c.gained.Count(), Lost: c.lost.Count(), Renewed: c.renewed.Count(),
		Failed: c.failed.Count(), Held: c.held.Count(),
	}
}

// Acquire claims the lease as soon as it is free and renews it until Release. Any
// goroutine may call it. False means that the request was rejected.
func (l *LeaseManager) Acquire(name string, o LeaseOptions) bool {
	return l.requests.TryPut(leaseRequest{kind: requestAcquire, name: name, options: o})
}

// Observe reports changes of the holder without claiming the lease. Any goroutine
// may call it. False means that the request was rejected.
func (l *LeaseManager) Observe(name string, o LeaseOptions) bool {
	return l.requests.TryPut(leaseRequest{kind: requestObserve, name: name, options: o})
}

// Release releases the lease and stops following it. The caller must first stop
// all use of the Lease, because the next holder does not wait for the deadline of
// a released lease. False means that the request was rejected.
func (l *LeaseManager) Release(name string) bool {
	return l.requests.TryPut(leaseRequest{kind: requestRelease, name: name})
}

// PutSnapshot passes a snapshot of LeasePrefix from a Watcher to the duty. It is
// optional: without it leases are only read by polling.
func (l *LeaseManager) PutSnapshot(s Snapshot) { l.snapshots.PutLatest(s) }

// Check returns the fencing number of the lease and whether it may be used now.
// Only code on the duty's goroutine, such as a listener, may call it; other duties
// keep a Lease.
func (l *LeaseManager) Check(name string) (fence int64, ok bool) {
	lease, err := l.Lease(name)
	if err != nil || !lease.IsValidAt(l.loop.Clock().Now()) {
		return 0, false
	}
	return lease.Fence, true
}

// Lease returns the current lease, which is invalid if this daemon does not hold
// it. Only code on the duty's goroutine may call it.
func (l *LeaseManager) Lease(name string) (Lease, error) {
	s, ok := l.leases[name]
	if !ok {
		return Lease{Name: name}, ErrLeaseNotFound
	}
	if !s.isHeld {
		return Lease{Name: name}, nil
	}
	return s.lease, nil
}

func (l *LeaseManager) handleRequest(r leaseRequest) {
	s, isFollowed := l.leases[r.name]
	if r.kind == requestRelease {
		if isFollowed {
			l.startReleasing(s)
		}
		return
	}
	if !isFollowed {
		if len(l.leases) >= maxLeases {
			l.counters.failed.Inc(1)
			l.notify(r.options.Listener, LeaseEvent{Kind: LeaseLost, Lease: Lease{Name: r.name}})
			return
		}
		s = &leaseState{
			name:      r.name,
			retry:     newRetryDelay(minLeaseRetryDelay, maxLeaseRetryDelay, l.random),
			stopTimer: func() bool { return false },
		}
		l.leases[r.name] = s
	}
	s.duration = min(max(r.options.Duration, MinLeaseDuration), MaxLeaseDuration)
	if r.options.Duration <= 0 {
		s.duration = DefaultLeaseDuration
	}
	s.listener, s.pollPeriodOption, s.isEarlierRun = r.options.Listener, r.options.PollPeriod, r.options.IsEarlierRun
	s.takeoverWait = r.options.TakeoverWait
	s.isWanted = r.kind == requestAcquire
	s.isReleasing = false
	l.advance(s)
}

func (l *LeaseManager) startReleasing(s *leaseState) {
	s.isWanted = false
	s.isReleasing = true
	l.advance(s)
}

func (l *LeaseManager) notify(listener func(LeaseEvent), e LeaseEvent) {
	if listener != nil {
		listener(e)
	}
}

// advance takes the next action that is due for the lease and sets the timer for
// the one after it.
func (l *LeaseManager) advance(s *leaseState) {
	now := l.loop.Clock().Now()
	if s.isHeld && !s.lease.IsValidAt(now) {
		l.endLease(s)
	}
	switch {
	case s.isBusy:
		l.wakeAtDeadline(s)
	case now.Before(s.retryAt):
		l.wakeAtRetry(s)
	case s.isReleasing:
		l.releaseAndRemove(s)
	case s.isHeld:
		l.renewOrWait(s, now)
	default:
		l.readOrClaim(s, now)
	}
}

func (l *LeaseManager) wakeAtDeadline(s *leaseState) {
	if s.isHeld {
		l.wakeAt(s, s.lease.Deadline)
	}
}

// wakeAtRetry sets the timer for the retry, at the latest for the lease's
// deadline.
func (l *LeaseManager) wakeAtRetry(s *leaseState) {
	at := s.retryAt
	if s.isHeld && s.lease.Deadline.Before(at) {
		at = s.lease.Deadline
	}
	l.wakeAt(s, at)
}

func (l *LeaseManager) renewOrWait(s *leaseState, now time.Time) {
	if now.Before(s.renewAt) {
		l.wakeAt(s, s.renewAt)
		return
	}
	next := s.record
	next.Renewals++
	next.DurationMs = s.duration.Milliseconds()
	next.TakeoverWaitDone = next.TakeoverWaitDone || now.Sub(s.gainedAt) >= s.takeoverWait
	l.write(s, leaseRenew, next)
}

func (l *LeaseManager) readOrClaim(s *leaseState, now time.Time) {
	pollAt := s.lastReadAt.Add(s.pollPeriod())
	if !s.isKnown || !now.Before(pollAt) {
		l.send(s, leaseResult{kind: leaseRead}, Op{Kind: OpGet, Key: LeasePrefix + s.name})
		return
	}
	claimAt := s.claimAllowedAt(l.daemonRun)
	canClaim := s.isWanted && s.isClaimConfirmed(claimAt)
	if canClaim && !now.Before(claimAt) {
		s.previousHolder = s.record.Holder
		l.write(s, leaseAcquire, leaseRecord{
			Holder:           l.daemonRun,
			Fence:            s.record.Fence + 1,
			DurationMs:       s.duration.Milliseconds(),
			TakeoverWaitDone: s.record.TakeoverWaitDone && s.isEarlierRun != nil && s.isEarlierRun(s.record.Holder),
		})
		return
	}
	if canClaim && claimAt.Before(pollAt) {
		l.wakeAt(s, claimAt)
		return
	}
	l.wakeAt(s, pollAt)
}

// releaseAndRemove releases the lease if it is held, then removes it.
func (l *LeaseManager) releaseAndRemove(s *leaseState) {
	if !s.isHeld {
		delete(l.leases, s.name)
		return
	}
	// The use must end before the write is sent, because another daemon may claim
	// the lease as soon as the write takes effect.
	l.endLease(s)
	next := s.record
	next.Holder, next.TakeoverWaitDone = "", false
	l.write(s, leaseRelease, next)
}

// wakeAt calls advance at the time. It replaces the previous timer.
func (l *LeaseManager) wakeAt(s *leaseState, at time.Time) {
	s.stopTimer()
	s.timerNumber++
	number := s.timerNumber
	s.stopTimer = l.loop.After(at.Sub(l.loop.Clock().Now()), func() {
		if s.timerNumber == number && l.leases[s.name] == s {
			l.advance(s)
		}
	})
}

func (l *LeaseManager) write(s *leaseState, kind leaseOpKind, next leaseRecord) {
	l.send(s, leaseResult{kind: kind, record: next}, Op{
		Kind:      OpPut,
		Key:       LeasePrefix + s.name,
		Value:     next.encode(),
		IfVersion: s.version,
	})
}

// send submits the operation. The lease's validity counts from now, before the
// operation is sent.
func (l *LeaseManager) send(s *leaseState, result leaseResult, op Op) {
	now := l.loop.Clock().Now()
	result.state = s
	result.sentAt = now
	op.Urgent = true
	op.Timeout = s.duration / renewDivisor
	op.Reply = func(r Result) {
		result.outcome = r
		l.results.TryPut(result)
	}
	if l.opsInProgress >= maxLeases || !l.store.Submit(op) {
		l.counters.failed.Inc(1)
		l.backOff(s, now)
		return
	}
	l.opsInProgress++
	s.isBusy = true
	l.wakeAtDeadline(s)
}

// backOff delays the next operation by the retry delay.
func (l *LeaseManager) backOff(s *leaseState, now time.Time) {
	s.retryAt = now.Add(s.retry.next())
	l.wakeAtRetry(s)
}
