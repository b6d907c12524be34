package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Errors of the store duty. All wrap ErrUnavailable: nothing changed.
var (
	// ErrQueueFull means that too many operations are queued.
	ErrQueueFull = fmt.Errorf("%w: store queue is full", ErrUnavailable)
	// ErrStoreDown means that the store does not answer, or not the calls of this duty.
	ErrStoreDown = fmt.Errorf("%w: store does not answer", ErrUnavailable)
	// ErrQueueDeadline means that the operation was not executed before its deadline.
	ErrQueueDeadline = fmt.Errorf("%w: deadline passed before the call was carried out", ErrUnavailable)
)

// Defaults and limits of the store duty. Capacities count operations or calls.
const (
	storeRingCapacity       = 4096
	defaultQueueCapacity    = 4096
	defaultOpTimeout        = 2 * time.Second
	defaultCallTimeout      = 2 * time.Second
	defaultMaxCalls         = 32
	defaultReconcileTimeout = 10 * time.Second
	minStoreRetryDelay      = 50 * time.Millisecond
	maxStoreRetryDelay      = 2 * time.Second
	expirePeriod            = 100 * time.Millisecond
	poolRetryDelay          = 5 * time.Millisecond
	urgentCallDivisor       = 4 // one in this many concurrent calls is reserved for urgent operations
	// minTransferRate is the rate in bytes per second at which a value is sent and received
	// at least.
	minTransferRate = 512 << 10
)

// Pool runs blocking calls; duty.Pool implements it.
type Pool interface {
	// TryGo runs f on another goroutine and reports whether one was free.
	TryGo(f func()) bool
}

// StoreOptions sets the limits of the store duty. Zero values take the defaults.
type StoreOptions struct {
	Budget           *Budget
	QueueCapacity    int           // operations waiting or in progress
	MaxCalls         int           // calls in progress
	OpTimeout        time.Duration // for an Op without a Timeout
	CallTimeout      time.Duration // for one call; a write has transferTime in addition
	ReadTimeout      time.Duration // for one read, if the API bounds the pauses of its answer; 0 takes CallTimeout
	ReconcileTimeout time.Duration // for reconciling a lost answer; after it the outcome is unknown
	Random           *rand.Rand    // for jitter
	MaxRetryDelay    time.Duration // largest delay between calls while the store is down
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.Budget == nil {
		o.Budget = NewBudget(BudgetOptions{})
	}
	if o.QueueCapacity <= 0 || o.QueueCapacity > defaultQueueCapacity {
		o.QueueCapacity = defaultQueueCapacity
	}
	if o.MaxCalls <= 0 || o.MaxCalls > storeRingCapacity {
		o.MaxCalls = defaultMaxCalls
	}
	if o.OpTimeout <= 0 {
		o.OpTimeout = defaultOpTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = o.CallTimeout
	}
	if o.ReconcileTimeout <= 0 {
		o.ReconcileTimeout = defaultReconcileTimeout
	}
	if o.MaxRetryDelay <= 0 {
		o.MaxRetryDelay = maxStoreRetryDelay
	}
	return o
}

// StoreStats are the counters of the store duty.
type StoreStats struct {
	Calls       int64 // sent to the object API
	Refused     int64 // operations rejected or expired without effect
	RefusedBy   map[RefusalReason]int64
	DownFor     time.Duration // how long the store has not answered; 0 if it answers
	Failed      int64         // calls that failed by an outage or the platform's rate limit
	Lost        int64         // writes with a lost answer
	Unknown     int64         // writes whose outcome remained unknown
	Reconciling int64         // writes with a lost answer being reconciled now
	Waiting     int64         // operations waiting or in progress now
}

type storeCounters struct {
	calls, failed, lost, unknown, reconciling, waiting metrics.Counter
	refused                                            refusalCounters
	downSince                                          metrics.Gauge // in nanoseconds since 1970; 0 if the store answers
}

type phase int

const (
	phaseCall           phase = iota // the operation itself
	phaseResolveVersion              // read the version that an unconditional write replaces
	phaseReadBack                    // read the object after the answer to its write was lost
)

// task is an operation in progress.
type task struct {
	op              Op
	phase           phase
	token           string
	expectedVersion int64     // condition of the write
	deadline        time.Time // end of Op.Timeout
	isAnswerLost    bool      // a sent write has no known outcome
	reconcileBy     time.Time
	resendPause     time.Duration // before the write is sent again
}

func (t *task) isExpired(now time.Time) bool {
	if t.isAnswerLost {
		return !now.Before(t.reconcileBy)
	}
	return !now.Before(t.deadline)
}

func (t *task) usesWriteRate() bool { return t.op.isWrite() && t.phase == phaseCall }

// queue holds the tasks that are ready for their next call. Urgent ones go first.
type queue struct {
	urgent []*task
	normal []*task
}

func (q *queue) add(t *task) {
	// A lost answer is reconciled first, since later writes to its key wait for it.
	if t.op.Urgent || t.isAnswerLost {
		q.urgent = append(q.urgent, t)
		return
	}
	q.normal = append(q.normal, t)
}

// Store is the duty through which all other duties use the object API. It decides
// which call is made when; pool goroutines make the calls.
type Store struct {
	loop     *duty.Loop
	api      ObjectAPI
	pool     Pool
	options  StoreOptions
	ops      *ring.Ring[Op]
	results  *ring.Ring[callResult]
	reports  *ring.Ring[CallEnd]
	counters storeCounters
	// onCallEnd receives the end of each call of this duty.
	onCallEnd func(CallEnd)
	// onRefusals receives the refused operations.
	onRefusals       func(Refusals)
	reportedRefusals map[RefusalReason]int64

	reads           queue
	writes          queue
	writesByKey     map[string][]*task // writes that wait for the write in progress to the same key
	accepted        int                // operations waiting or in progress
	callsInProgress int

	availability    availability
	retryDelay      *retryDelay
	isFailing       bool      // the last call failed; calls are made one at a time
	isRateLimited   bool      // it failed by the platform's rate limit
	lastFailureFrom time.Time // when the newest failed call started
	lastFailureAt   time.Time // when the retry delay last grew
	pausedUntil     time.Time // no call starts before
	nextTimerAt     time.Time // of the earliest timer that calls startCalls
}

// NewStore returns the store duty with the default options.
func NewStore(clock duty.Clock, api ObjectAPI, pool Pool) *Store {
	return NewStoreWithOptions(clock, api, pool, StoreOptions{})
}

// NewStoreWithOptions returns the store duty. The pool bounds the calls in progress.
func NewStoreWithOptions(clock duty.Clock, api ObjectAPI, pool Pool, o StoreOptions) *Store {
	o = o.withDefaults()
	s := &Store{
		loop:         duty.New("store", clock),
		api:          api,
		pool:         pool,
		options:      o,
		ops:          ring.New[Op]("store.ops", storeRingCapacity),
		results:      ring.New[callResult]("store.results", storeRingCapacity),
		reports:      ring.New[CallEnd]("store.reports", callEndRingCapacity),
		onCallEnd:    func(CallEnd) {},
		onRefusals:   func(Refusals) {},
		availability: newAvailability(clock.Now()),
		writesByKey:  map[string][]*task{},
		retryDelay:   newRetryDelay(minStoreRetryDelay, o.MaxRetryDelay, o.Random),
		counters: storeCounters{
			calls: metrics.NewCounter(), failed: metrics.NewCounter(),
			lost: metrics.NewCounter(), unknown: metrics.NewCounter(), reconciling: metrics.NewCounter(),
			waiting: metrics.NewCounter(), refused: newRefusalCounters(), downSince: metrics.NewGauge(),
		},
	}
	duty.On(s.loop, s.ops, s.handleOp)
	duty.On(s.loop, s.results, s.handleResult)
	duty.On(s.loop, s.reports, s.handleReport)
	s.loop.Every(expirePeriod, s.removeExpired)
	s.loop.Every(refusalPeriod, s.reportRefusals)
	return s
}

// Loop returns the duty's loop.
func (s *Store) Loop() *duty.Loop { return s.loop }

// OnCallEnd sets the function that receives the end of each call on the duty's
// goroutine; it must not block. It is set before the duty starts.
func (s *Store) OnCallEnd(f func(CallEnd)) { s.onCallEnd = f }

// OnRefusals sets the function that receives the operations refused in each second with
// any, on the duty's goroutine; it must not block. It is set before the duty starts.
func (s *Store) OnRefusals(f func(Refusals)) { s.onRefusals = f }

// ReportCall passes the end of another duty's call of the store. Any goroutine may
// call it.
func (s *Store) ReportCall(e CallEnd) { s.reports.PutLatest(e) }

// Stats returns the counters. Any goroutine may call it.
func (s *Store) Stats() StoreStats {
	c := s.counters
	refusedBy := c.refused.counts()
	refused := int64(0)
	for _, n := range refusedBy {
		refused += n
	}
	downFor := time.Duration(0)
	if since := c.downSince.Value(); since != 0 {
		downFor = s.loop.Clock().Now().Sub(time.Unix(0, since))
	}
	return StoreStats{
		Calls: c.calls.Count(), Refused: refused, RefusedBy: refusedBy, DownFor: downFor, Failed: c.failed.Count(), Lost: c.lost.Count(),
		Unknown: c.unknown.Count(), Reconciling: c.reconciling.Count(), Waiting: c.waiting.Count(),
	}
}

// Submit queues the operation. False means that it was rejected without effect.
// It never blocks.
func (s *Store) Submit(op Op) bool {
	if s.ops.TryPut(op) {
		return true
	}
	s.counters.refused[RefusedQueueFull].Inc(1)
	return false
}

// Do executes the operation and blocks until its result arrives or ctx ends; then
// the outcome is unknown. Only handlers and pool goroutines may call it.
func (s *Store) Do(ctx context.Context, op Op) Result {
	reply := ring.New[Result]("store.reply", 1)
	op.Reply = func(r Result) { reply.TryPut(r) }
	if !s.Submit(op) {
		return Result{Err: ErrQueueFull}
	}
	r, ok := reply.Take(ctx)
	if !ok {
		return Result{Err: ErrUnknownOutcome}
	}
	return r
}

func (s *Store) handleOp(op Op) {
	if s.accepted >= s.options.QueueCapacity {
		op.Reply(s.refuse(RefusedQueueFull))
		return
	}
	if op.FailFast && s.isRefusing() {
		// A report that arrived before the operation may show that the store answers.
		s.handleWaitingReports()
	}
	if op.FailFast && s.isRefusing() {
		op.Reply(s.refuse(RefusedStoreDown))
		return
	}
	if len(op.Value) > MaxValueBytes {
		op.Reply(s.refuse(RefusedTooLarge))
		return
	}
	timeout := op.Timeout
	if timeout <= 0 {
		timeout = s.options.OpTimeout
	}
	t := &task{op: op, expectedVersion: op.IfVersion, deadline: s.loop.Clock().Now().Add(timeout)}
	s.accepted++
	s.counters.waiting.Inc(1)
	if !op.isWrite() {
		s.reads.add(t)
		s.startCalls()
		return
	}
	t.token = uuid.NewString()
	if op.IfVersion == AnyVersion {
		t.phase = phaseResolveVersion
	}
	if waiting, busy := s.writesByKey[op.Key]; busy {
		s.writesByKey[op.Key] = append(waiting, t)
		return
	}
	s.writesByKey[op.Key] = nil
	s.enqueue(t)
	s.startCalls()
}

// isRefusing reports whether the store does not answer, or not the calls of this duty, and
// no operation is needed to check whether it does again.
func (s *Store) isRefusing() bool {
	isChecking := s.callsInProgress > 0 || s.loop.Clock().Now().Before(s.pausedUntil)
	return (s.availability.isDown || s.isFailing) && isChecking
}

func (s *Store) enqueue(t *task) {
	if t.usesWriteRate() {
		s.writes.add(t)
		return
	}
	s.reads.add(t)
}

// finish replies and queues the next write to the same key.
func (s *Store) finish(t *task, r Result) {
	s.accepted--
	s.counters.waiting.Dec(1)
	if t.isAnswerLost {
		s.counters.reconciling.Dec(1)
	}
	if t.op.isWrite() {
		s.startNextWrite(t.op.Key)
	}
	t.op.Reply(r)
}

func (s *Store) startNextWrite(key string) {
	waiting := s.writesByKey[key]
	if len(waiting) == 0 {
		delete(s.writesByKey, key)
		return
	}
	s.writesByKey[key] = waiting[1:]
	s.enqueue(waiting[0])
}

// startCalls starts the calls that the retry delay, the budget and the pool allow.
func (s *Store) startCalls() {
	now := s.loop.Clock().Now()
	if now.Before(s.pausedUntil) {
		s.scheduleStart(s.pausedUntil.Sub(now))
		return
	}
	for s.startNext(&s.reads, now) || s.startNext(&s.writes, now) {
	}
}

// startNext starts the first call of the queue and reports whether it did.
func (s *Store) startNext(q *queue, now time.Time) bool {
	tasks, urgent := &q.normal, false
	if len(q.urgent) > 0 {
		tasks, urgent = &q.urgent, true
	}
	if len(*tasks) == 0 || !s.hasCallSlot(urgent) {
		return false
	}
	t := (*tasks)[0]
	if t.isExpired(now) {
		*tasks = (*tasks)[1:]
		s.endAtDeadline(t)
		return true
	}
	limiter := s.options.Budget.reads
	if t.usesWriteRate() {
		limiter = s.options.Budget.writes
	}
	if wait := reserve(limiter, now, urgent); wait > 0 {
		s.scheduleStart(wait)
		return false
	}
	started := s.pool.TryGo(func() {
		s.results.TryPut(callResult{task: t, started: now, outcome: s.call(t)})
	})
	if !started {
		s.scheduleStart(poolRetryDelay)
		return false
	}
	*tasks = (*tasks)[1:]
	s.callsInProgress++
	s.counters.calls.Inc(1)
	return true
}

func (s *Store) hasCallSlot(urgent bool) bool {
	if s.isFailing || s.availability.isDown {
		return s.callsInProgress == 0
	}
	limit := s.options.MaxCalls
	if !urgent {
		limit -= limit / urgentCallDivisor
	}
	return s.callsInProgress < limit
}

// scheduleStart calls startCalls after d, unless an earlier timer does.
func (s *Store) scheduleStart(d time.Duration) {
	now := s.loop.Clock().Now()
	at := now.Add(d)
	if s.nextTimerAt.After(now) && !s.nextTimerAt.After(at) {
		return
	}
	s.nextTimerAt = at
	s.loop.After(d, s.startCalls)
}

// removeExpired ends the waiting operations whose deadline has passed.
func (s *Store) removeExpired() {
	if s.accepted == 0 {
		return
	}
	now := s.loop.Clock().Now()
	var ended []*task
	for _, q := range []*queue{&s.reads, &s.writes} {
		q.urgent, ended = splitExpired(q.urgent, now, ended)
		q.normal, ended = splitExpired(q.normal, now, ended)
	}
	var blocked []*task
	for key, waiting := range s.writesByKey {
		s.writesByKey[key], blocked = splitExpired(waiting, now, blocked)
	}
	for _, t := range blocked {
		s.accepted--
		s.counters.waiting.Dec(1)
		t.op.Reply(s.refuse(RefusedDeadline))
	}
	for _, t := range ended {
		s.endAtDeadline(t)
	}
	s.startCalls()
}

func splitExpired(tasks []*task, now time.Time, ended []*task) (kept, out []*task) {
	for _, t := range tasks {
		if t.isExpired(now) {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
	}
	return kept, ended
}

// endAtDeadline ends an operation at its deadline. It had no effect, unless an
// answer was lost.
func (s *Store) endAtDeadline(t *task) {
	if t.isAnswerLost {
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Err: ErrUnknownOutcome})
		return
	}
	s.finish(t, s.refuse(RefusedDeadline))
}
