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

// OpKind is the kind of a store operation.
type OpKind int

// Kinds of operation.
const (
	OpGet OpKind = iota
	OpList
	OpPut
	OpDelete
)

// Errors of the store duty. All wrap ErrUnavailable: nothing changed.
var (
	// ErrQueueFull means that too many operations wait.
	ErrQueueFull = fmt.Errorf("%w: store queue is full", ErrUnavailable)
	// ErrStoreDown means that the store does not answer.
	ErrStoreDown = fmt.Errorf("%w: store does not answer", ErrUnavailable)
	// ErrQueueDeadline means that the operation was not carried out before its deadline.
	ErrQueueDeadline = fmt.Errorf("%w: deadline passed before the call was carried out", ErrUnavailable)
)

// Op is one operation on the object API.
type Op struct {
	Kind      OpKind
	Key       string // or prefix, for OpList
	Value     []byte
	IfVersion int64
	// Timeout is how long the operation may wait for the budget, for an earlier
	// write to its key and for the end of an outage. 0 takes the store's default.
	Timeout time.Duration
	// Urgent operations go before others and may use the reserved part of the
	// budget. It is meant for leases.
	Urgent bool
	// FailFast refuses the operation at once while the store does not answer,
	// but for the one call that finds out whether it does again.
	FailFast bool
	// Reply takes the result on the store duty's goroutine. It must not wait:
	// it puts the result into a ring of the asking duty.
	Reply func(Result)
}

func (op Op) isWrite() bool { return op.Kind == OpPut || op.Kind == OpDelete }

// Result is the outcome of an Op. Err wraps one of the errors of this package.
type Result struct {
	Object  Object
	Listing Listing
	Err     error
}

// Defaults and limits of the store duty.
const (
	storeRingCapacity     = 4096
	defaultQueueCapacity  = 4096
	defaultOpTimeout      = 2 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultConcurrent     = 32
	defaultSettleTimeout  = 10 * time.Second
	storeRetryFirst       = 50 * time.Millisecond
	storeRetryLongest     = 2 * time.Second
	expirePeriod          = 100 * time.Millisecond
	poolRetryDelay        = 5 * time.Millisecond
	concurrentUrgentShare = 4 // one of so many calls is reserved for urgent operations
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
	CallTimeout      time.Duration // for one call
	ReconcileTimeout time.Duration // for settling a lost answer; after it the outcome is unknown
	Random           *rand.Rand    // for jitter
	MaxRetryDelay    time.Duration // longest pause between calls while the store does not answer
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.Budget == nil {
		o.Budget = NewBudget(BudgetOptions{})
	}
	if o.QueueCapacity <= 0 || o.QueueCapacity > defaultQueueCapacity {
		o.QueueCapacity = defaultQueueCapacity
	}
	if o.MaxCalls <= 0 || o.MaxCalls > storeRingCapacity {
		o.MaxCalls = defaultConcurrent
	}
	if o.OpTimeout <= 0 {
		o.OpTimeout = defaultOpTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.ReconcileTimeout <= 0 {
		o.ReconcileTimeout = defaultSettleTimeout
	}
	if o.MaxRetryDelay <= 0 {
		o.MaxRetryDelay = storeRetryLongest
	}
	return o
}

// StoreStats are the counters of the store duty.
type StoreStats struct {
	Calls       int64 // sent to the object API
	Refused     int64 // operations refused for a full queue or a passed deadline
	Failed      int64 // calls that met an outage or the platform's rate limit
	Lost        int64 // writes with a lost answer
	Unknown     int64 // writes whose outcome stayed unknown
	Reconciling int64 // writes being settled now
	Waiting     int64 // operations waiting or in progress now
}

type storeCounters struct {
	calls, refused, failed, lost, unknown, unsettled, waiting metrics.Counter
}

type phase int

const (
	phaseCall     phase = iota // the operation itself
	phaseResolve               // read the version that an unconditional write replaces
	phaseReadBack              // read what became of a write with a lost answer
)

// task is an operation on its way through the duty.
type task struct {
	op        Op
	phase     phase
	token     string
	ifVersion int64     // condition of the write
	due       time.Time // end of Op.Timeout
	lost      bool      // a sent write has no known outcome
	settleBy  time.Time
}

func (t *task) expired(now time.Time) bool {
	if t.lost {
		return !now.Before(t.settleBy)
	}
	return !now.Before(t.due)
}

func (t *task) usesWriteRate() bool { return t.op.isWrite() && t.phase == phaseCall }

type storeDone struct {
	task    *task
	started time.Time
	result  Result
}

// queue holds the tasks that may start, lease operations apart.
type queue struct {
	urgent []*task
	normal []*task
}

func (q *queue) put(t *task) {
	// A lost answer is settled first, since later writes to its key wait for it.
	if t.op.Urgent || t.lost {
		q.urgent = append(q.urgent, t)
		return
	}
	q.normal = append(q.normal, t)
}

// Store is the duty through which all other duties use the object API. Calls
// are made on the pool; the duty decides which call is made when.
type Store struct {
	loop     *duty.Loop
	api      ObjectAPI
	pool     Pool
	options  StoreOptions
	ops      *ring.Ring[Op]
	results  *ring.Ring[storeDone]
	counters storeCounters

	reads   queue
	writes  queue
	keys    map[string][]*task // writes that wait for the write in progress to the same key
	held    int                // operations waiting or in progress
	running int

	retry     *retryDelay
	failing   bool      // the last answer was an outage; one call at a time probes the store
	failedAt  time.Time // of the last step of retry
	gateUntil time.Time // no call starts before
	wakeAt    time.Time // of the earliest timer that calls pump
}

// NewStore returns the store duty with the default options.
func NewStore(clock duty.Clock, api ObjectAPI, pool Pool) *Store {
	return NewStoreWithOptions(clock, api, pool, StoreOptions{})
}

// NewStoreWithOptions returns the store duty. The pool bounds the calls in progress.
func NewStoreWithOptions(clock duty.Clock, api ObjectAPI, pool Pool, o StoreOptions) *Store {
	o = o.withDefaults()
	s := &Store{
		loop:    duty.New("store", clock),
		api:     api,
		pool:    pool,
		options: o,
		ops:     ring.New[Op]("store.ops", storeRingCapacity),
		results: ring.New[storeDone]("store.results", storeRingCapacity),
		keys:    map[string][]*task{},
		retry:   newRetryDelay(storeRetryFirst, o.MaxRetryDelay, o.Random),
		counters: storeCounters{
			calls: metrics.NewCounter(), refused: metrics.NewCounter(), failed: metrics.NewCounter(),
			lost: metrics.NewCounter(), unknown: metrics.NewCounter(), unsettled: metrics.NewCounter(),
			waiting: metrics.NewCounter(),
		},
	}
	duty.On(s.loop, s.ops, s.handleOp)
	duty.On(s.loop, s.results, s.handleDone)
	s.loop.Every(expirePeriod, s.expire)
	return s
}

// Loop returns the duty's loop.
func (s *Store) Loop() *duty.Loop { return s.loop }

// Stats returns the counters. Any goroutine may call it.
func (s *Store) Stats() StoreStats {
	c := s.counters
	return StoreStats{
		Calls: c.calls.Count(), Refused: c.refused.Count(), Failed: c.failed.Count(), Lost: c.lost.Count(),
		Unknown: c.unknown.Count(), Reconciling: c.unsettled.Count(), Waiting: c.waiting.Count(),
	}
}

// Submit queues the operation. When it reports false nothing was done.
func (s *Store) Submit(op Op) bool { return s.ops.TryPut(op) }

// Do carries out the operation and waits for its result. Only handlers and
// pool workers may call it.
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
	if s.held >= s.options.QueueCapacity {
		s.counters.refused.Inc(1)
		op.Reply(Result{Err: ErrQueueFull})
		return
	}
	if op.FailFast && s.failing && (s.running > 0 || s.loop.Clock().Now().Before(s.gateUntil)) {
		s.counters.refused.Inc(1)
		op.Reply(Result{Err: ErrStoreDown})
		return
	}
	if len(op.Value) > MaxValueBytes {
		s.counters.refused.Inc(1)
		op.Reply(Result{Err: ErrTooLarge})
		return
	}
	timeout := op.Timeout
	if timeout <= 0 {
		timeout = s.options.OpTimeout
	}
	t := &task{op: op, ifVersion: op.IfVersion, due: s.loop.Clock().Now().Add(timeout)}
	s.held++
	s.counters.waiting.Inc(1)
	if !op.isWrite() {
		s.reads.put(t)
		s.pump()
		return
	}
	t.token = uuid.NewString()
	if op.IfVersion == AnyVersion {
		t.phase = phaseResolve
	}
	if waiting, busy := s.keys[op.Key]; busy {
		s.keys[op.Key] = append(waiting, t)
		return
	}
	s.keys[op.Key] = nil
	s.enqueue(t)
	s.pump()
}

func (s *Store) enqueue(t *task) {
	if t.usesWriteRate() {
		s.writes.put(t)
		return
	}
	s.reads.put(t)
}

// finish replies and lets the next write to the same key start.
func (s *Store) finish(t *task, r Result) {
	s.held--
	s.counters.waiting.Dec(1)
	if t.lost {
		s.counters.unsettled.Dec(1)
	}
	if t.op.isWrite() {
		s.unlock(t.op.Key)
	}
	t.op.Reply(r)
}

func (s *Store) unlock(key string) {
	waiting := s.keys[key]
	if len(waiting) == 0 {
		delete(s.keys, key)
		return
	}
	s.keys[key] = waiting[1:]
	s.enqueue(waiting[0])
}

// pump starts the calls that the gate, the budget and the pool allow.
func (s *Store) pump() {
	now := s.loop.Clock().Now()
	if now.Before(s.gateUntil) {
		s.wakeAfter(s.gateUntil.Sub(now))
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
	if len(*tasks) == 0 || !s.mayRun(urgent) {
		return false
	}
	t := (*tasks)[0]
	if t.expired(now) {
		*tasks = (*tasks)[1:]
		s.giveUp(t)
		return true
	}
	limiter := s.options.Budget.reads
	if t.usesWriteRate() {
		limiter = s.options.Budget.writes
	}
	if wait := take(limiter, now, urgent); wait > 0 {
		s.wakeAfter(wait)
		return false
	}
	started := s.pool.TryGo(func() {
		s.results.TryPut(storeDone{task: t, started: now, result: s.call(t)})
	})
	if !started {
		s.wakeAfter(poolRetryDelay)
		return false
	}
	*tasks = (*tasks)[1:]
	s.running++
	s.counters.calls.Inc(1)
	return true
}

func (s *Store) mayRun(urgent bool) bool {
	if s.failing {
		return s.running == 0
	}
	limit := s.options.MaxCalls
	if !urgent {
		limit -= limit / concurrentUrgentShare
	}
	return s.running < limit
}

// wakeAfter calls pump after d, unless an earlier timer will.
func (s *Store) wakeAfter(d time.Duration) {
	now := s.loop.Clock().Now()
	at := now.Add(d)
	if s.wakeAt.After(now) && !s.wakeAt.After(at) {
		return
	}
	s.wakeAt = at
	s.loop.After(d, s.pump)
}

// expire ends the operations whose deadline has passed while they waited.
func (s *Store) expire() {
	if s.held == 0 {
		return
	}
	now := s.loop.Clock().Now()
	var ended []*task
	for _, q := range []*queue{&s.reads, &s.writes} {
		q.urgent, ended = splitExpired(q.urgent, now, ended)
		q.normal, ended = splitExpired(q.normal, now, ended)
	}
	var blocked []*task
	for key, waiting := range s.keys {
		s.keys[key], blocked = splitExpired(waiting, now, blocked)
	}
	for _, t := range blocked {
		s.held--
		s.counters.waiting.Dec(1)
		s.counters.refused.Inc(1)
		t.op.Reply(Result{Err: ErrQueueDeadline})
	}
	for _, t := range ended {
		s.giveUp(t)
	}
	s.pump()
}

func splitExpired(tasks []*task, now time.Time, ended []*task) (kept, out []*task) {
	for _, t := range tasks {
		if t.expired(now) {
			ended = append(ended, t)
			continue
		}
		kept = append(kept, t)
	}
	return kept, ended
}

// giveUp ends an operation at its deadline. Nothing of it was carried out,
// unless an answer was lost.
func (s *Store) giveUp(t *task) {
	if t.lost {
		s.counters.unknown.Inc(1)
		s.finish(t, Result{Err: ErrUnknownOutcome})
		return
	}
	s.counters.refused.Inc(1)
	s.finish(t, Result{Err: ErrQueueDeadline})
}

func (s *Store) handleDone(d storeDone) {
	s.running--
	if isOutage(d.result.Err) {
		s.noteOutage(d.started)
	} else {
		s.failing = false
		s.gateUntil = time.Time{}
		s.retry.reset()
	}
	s.advance(d.task, d.result)
	s.pump()
}

// noteOutage delays the next call. Calls that were sent before the last outage
// was noted belong to the same outage and do not lengthen the delay.
func (s *Store) noteOutage(started time.Time) {
	s.counters.failed.Inc(1)
	if s.failing && started.Before(s.failedAt) {
		return
	}
	now := s.loop.Clock().Now()
	s.failing = true
	s.failedAt = now
	s.gateUntil = now.Add(s.retry.next())
}

// call runs on the pool.
func (s *Store) call(t *task) Result {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CallTimeout)
	defer cancel()
	var r Result
	switch {
	case t.phase == phaseResolve || (t.phase == phaseReadBack && !t.readsTombstone()):
		r.Object, r.Err = s.api.Get(ctx, t.op.Key)
	case t.phase == phaseReadBack || t.op.Kind == OpList:
		r.Listing, r.Err = s.api.List(ctx, t.op.Key)
	case t.op.Kind == OpGet:
		r.Object, r.Err = s.api.Get(ctx, t.op.Key)
	case t.op.Kind == OpPut:
		r.Object, r.Err = s.api.Put(ctx, t.write())
	default:
		r.Object, r.Err = s.api.Delete(ctx, t.write())
	}
	return r
}

func (t *task) write() Write {
	return Write{Key: t.op.Key, IfVersion: t.ifVersion, Token: t.token, Value: t.op.Value}
}
