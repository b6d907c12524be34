package platform

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the lessor duty.
const (
	maxLeases         = 4096 // one operation each may be in progress
	lessorRequests    = 1024
	lessorSnapshots   = 64
	leaseRetryFirst   = 50 * time.Millisecond
	leaseRetryLongest = time.Second
	renewJitter       = 0.2 // part of the time between renewals
)

// Submitter is what the lessor needs of the store duty.
type Submitter interface {
	Submit(op Op) bool
}

// LeaseStats are the counters of a lessor.
type LeaseStats struct {
	Gained, Lost, Renewed, Failed int64
	Held                          int64 // leases held now
}

type lessorCounters struct {
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

// leaseOp is what a store operation was sent for.
type leaseOp int

const (
	leaseRead leaseOp = iota
	leaseAcquire
	leaseRenew
	leaseRelease
)

type leaseDone struct {
	state  *leaseState
	op     leaseOp
	sentAt time.Time
	record leaseRecord // written, unless op is leaseRead
	result Result
}

// LeaseManager is the duty that acquires, renews, releases and observes leases.
//
// At most one lessor has a valid Holding of a lease at any time, as long as
// clocks run at speeds that differ by less than a quarter. Fencing numbers grow
// with every holding gained, also when the same lessor gains it again.
type LeaseManager struct {
	loop      *duty.Loop
	store     Submitter
	self      string
	requests  *ring.Ring[leaseRequest]
	results   *ring.Ring[leaseDone]
	snapshots *ring.Ring[Snapshot]
	random    *rand.Rand
	counters  lessorCounters

	leases map[string]*leaseState
	// inFlight counts operations in progress. It stays below the capacity of
	// results, so that no result is refused.
	inFlight int
}

// NewLeaseManager returns the lessor duty. self names this run of the daemon; a
// daemon that starts again uses another name. random is used for jitter and
// may be nil.
func NewLeaseManager(clock duty.Clock, store Submitter, self string, random *rand.Rand) *LeaseManager {
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := &LeaseManager{
		loop:      duty.New("leases", clock),
		store:     store,
		self:      self,
		requests:  ring.New[leaseRequest]("leases.requests", lessorRequests),
		results:   ring.New[leaseDone]("leases.results", maxLeases),
		snapshots: ring.New[Snapshot]("leases.snapshots", lessorSnapshots),
		random:    random,
		leases:    map[string]*leaseState{},
		counters: lessorCounters{
			gained: metrics.NewCounter(), lost: metrics.NewCounter(), renewed: metrics.NewCounter(),
			failed: metrics.NewCounter(), held: metrics.NewCounter(),
		},
	}
	duty.On(l.loop, l.results, l.handleDone)
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

// Acquire takes the lease as soon as it is free and holds it until Release.
// Any goroutine may call it. False means that nothing was done.
func (l *LeaseManager) Acquire(name string, o LeaseOptions) bool {
	return l.requests.TryPut(leaseRequest{kind: requestAcquire, name: name, options: o})
}

// Observe reports the changes of the holder without taking the lease.
func (l *LeaseManager) Observe(name string, o LeaseOptions) bool {
	return l.requests.TryPut(leaseRequest{kind: requestObserve, name: name, options: o})
}

// Release gives the lease up and stops following it. The caller first makes
// sure that nobody uses its Holding any more, because the next holder does not
// wait for the deadline of a released one.
func (l *LeaseManager) Release(name string) bool {
	return l.requests.TryPut(leaseRequest{kind: requestRelease, name: name})
}

// PutSnapshot takes a snapshot of LeasePrefix from a Watcher. It is optional:
// without it leases are read on a timer.
func (l *LeaseManager) PutSnapshot(s Snapshot) { l.snapshots.PutLatest(s) }

// Check returns the fencing number of the lease and whether it may be used
// now. Only the lessor's goroutine, such as a listener, may call it; other
// duties keep a Holding.
func (l *LeaseManager) Check(name string) (fence int64, ok bool) {
	h, err := l.Lease(name)
	if err != nil || !h.IsValidAt(l.loop.Clock().Now()) {
		return 0, false
	}
	return h.Fence, true
}

// Lease returns the current holding; it is invalid if there is none. The
// same rule as for Check applies to callers.
func (l *LeaseManager) Lease(name string) (Lease, error) {
	s, ok := l.leases[name]
	if !ok {
		return Lease{Name: name}, ErrLeaseNotFound
	}
	if !s.held {
		return Lease{Name: name}, nil
	}
	return s.holding, nil
}

func (l *LeaseManager) handleRequest(r leaseRequest) {
	s, followed := l.leases[r.name]
	if r.kind == requestRelease {
		if followed {
			l.startRelease(s)
		}
		return
	}
	if !followed {
		if len(l.leases) >= maxLeases {
			l.counters.failed.Inc(1)
			l.notify(r.options.Listener, LeaseEvent{Kind: LeaseLost, Lease: Lease{Name: r.name}})
			return
		}
		s = &leaseState{
			name:      r.name,
			retry:     newRetryDelay(leaseRetryFirst, leaseRetryLongest, l.random),
			stopTimer: func() bool { return false },
		}
		l.leases[r.name] = s
	}
	s.duration = max(r.options.Duration, MinLeaseDuration)
	if r.options.Duration <= 0 {
		s.duration = DefaultLeaseDuration
	}
	s.listener, s.poll, s.earlier = r.options.Listener, r.options.PollPeriod, r.options.IsEarlierRun
	s.settle = r.options.TakeoverWait
	s.wanted = r.kind == requestAcquire
	s.leaving = false
	l.step(s)
}

func (l *LeaseManager) startRelease(s *leaseState) {
	s.wanted = false
	s.leaving = true
	l.step(s)
}

func (l *LeaseManager) notify(listener func(LeaseEvent), e LeaseEvent) {
	if listener != nil {
		listener(e)
	}
}

// step does what is due for the lease and sets the timer for what comes next.
func (l *LeaseManager) step(s *leaseState) {
	now := l.loop.Clock().Now()
	if s.held && !s.holding.IsValidAt(now) {
		l.lose(s)
	}
	switch {
	case s.busy:
		l.waitWhileBusy(s)
	case now.Before(s.retryAt):
		l.waitForRetry(s)
	case s.leaving:
		l.leave(s)
	case s.held:
		l.renewOrWait(s, now)
	default:
		l.readOrClaim(s, now)
	}
}

func (l *LeaseManager) waitWhileBusy(s *leaseState) {
	if s.held {
		l.wakeAt(s, s.holding.Deadline)
	}
}

// waitForRetry sets the timer, but not past the end of a holding.
func (l *LeaseManager) waitForRetry(s *leaseState) {
	at := s.retryAt
	if s.held && s.holding.Deadline.Before(at) {
		at = s.holding.Deadline
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
	next.Settled = next.Settled || now.Sub(s.heldAt) >= s.settle
	l.write(s, leaseRenew, next)
}

func (l *LeaseManager) readOrClaim(s *leaseState, now time.Time) {
	pollAt := s.readAt.Add(s.pollPeriod())
	if !s.known || !now.Before(pollAt) {
		l.send(s, leaseDone{op: leaseRead}, Op{Kind: OpGet, Key: LeasePrefix + s.name})
		return
	}
	claimAt := s.claimableAt(l.self)
	claims := s.wanted && s.isConfirmed(claimAt)
	if claims && !now.Before(claimAt) {
		s.before = s.record.Holder
		l.write(s, leaseAcquire, leaseRecord{
			Holder:     l.self,
			Fence:      s.record.Fence + 1,
			DurationMs: s.duration.Milliseconds(),
			Settled:    s.record.Settled && s.earlier != nil && s.earlier(s.record.Holder),
		})
		return
	}
	if claims && claimAt.Before(pollAt) {
		l.wakeAt(s, claimAt)
		return
	}
	l.wakeAt(s, pollAt)
}

// leave releases the lease if it is held, then forgets it.
func (l *LeaseManager) leave(s *leaseState) {
	if !s.held {
		delete(l.leases, s.name)
		return
	}
	// The use ends before the write is sent, because another daemon may take
	// the lease as soon as the write takes effect.
	l.lose(s)
	next := s.record
	next.Holder, next.Settled = "", false
	l.write(s, leaseRelease, next)
}

// wakeAt calls step at the time, in place of the timer set before.
func (l *LeaseManager) wakeAt(s *leaseState, at time.Time) {
	s.stopTimer()
	s.timer++
	number := s.timer
	s.stopTimer = l.loop.After(at.Sub(l.loop.Clock().Now()), func() {
		if s.timer == number && l.leases[s.name] == s {
			l.step(s)
		}
	})
}

func (l *LeaseManager) write(s *leaseState, kind leaseOp, next leaseRecord) {
	l.send(s, leaseDone{op: kind, record: next}, Op{
		Kind:      OpPut,
		Key:       LeasePrefix + s.name,
		Value:     next.encode(),
		IfVersion: s.version,
	})
}

// send submits the operation. Validity counts from now, before anything is sent.
func (l *LeaseManager) send(s *leaseState, d leaseDone, op Op) {
	now := l.loop.Clock().Now()
	d.state = s
	d.sentAt = now
	op.Urgent = true
	op.Timeout = s.duration / renewDivisor
	op.Reply = func(r Result) {
		d.result = r
		l.results.TryPut(d)
	}
	if l.inFlight >= maxLeases || !l.store.Submit(op) {
		l.counters.failed.Inc(1)
		l.backOff(s, now)
		return
	}
	l.inFlight++
	s.busy = true
	l.waitWhileBusy(s)
}

// backOff delays the next operation.
func (l *LeaseManager) backOff(s *leaseState, now time.Time) {
	s.retryAt = now.Add(s.retry.next())
	l.waitForRetry(s)
}
