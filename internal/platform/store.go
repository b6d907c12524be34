package platform

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

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

// Op is one operation on the object API.
type Op struct {
	Kind      OpKind
	Key       string // or prefix, for OpList
	Value     []byte
	IfVersion int64
	// Reply takes the result on the store duty's goroutine. It must not wait:
	// it puts the result into a ring of the asking duty.
	Reply func(Result)

	token string
}

// Result is the outcome of an Op. Err wraps one of the errors of this package.
type Result struct {
	Object  Object
	Listing Listing
	Err     error
}

// Limits of the store duty.
const (
	storeRingCapacity = 4096
	storeCallTimeout  = 2 * time.Second
	// settleAttempts bounds the reads that settle a lost answer. With
	// settleDelay it covers a short outage; after that the outcome stays unknown.
	settleAttempts = 10
	settleDelay    = 100 * time.Millisecond
)

type storeDone struct {
	op     Op
	result Result
}

// Store is the duty through which all other duties use the object API.
type Store struct {
	loop    *duty.Loop
	api     ObjectAPI
	pool    *duty.Pool
	ops     *ring.Ring[Op]
	results *ring.Ring[storeDone]
	running int
}

// NewStore returns the store duty. The pool bounds the calls in progress.
func NewStore(clock duty.Clock, api ObjectAPI, pool *duty.Pool) *Store {
	s := &Store{
		loop:    duty.New("store", clock),
		api:     api,
		pool:    pool,
		ops:     ring.New[Op]("store.ops", storeRingCapacity),
		results: ring.New[storeDone]("store.results", storeRingCapacity),
	}
	duty.On(s.loop, s.ops, s.handleOp)
	duty.On(s.loop, s.results, s.handleDone)
	return s
}

// Loop returns the duty's loop.
func (s *Store) Loop() *duty.Loop { return s.loop }

// Submit queues the operation. When it reports false nothing was done.
func (s *Store) Submit(op Op) bool { return s.ops.TryPut(op) }

// Do carries out the operation and waits for its result. Only handlers and
// pool workers may call it.
func (s *Store) Do(ctx context.Context, op Op) Result {
	reply := ring.New[Result]("store.reply", 1)
	op.Reply = func(r Result) { reply.TryPut(r) }
	if !s.Submit(op) {
		return Result{Err: ErrUnavailable}
	}
	r, ok := reply.Take(ctx)
	if !ok {
		return Result{Err: ErrUnknownOutcome}
	}
	return r
}

func (s *Store) handleOp(op Op) {
	op.token = uuid.NewString()
	if s.running >= storeRingCapacity {
		op.Reply(Result{Err: ErrUnavailable})
		return
	}
	started := s.pool.TryGo(func() {
		s.results.TryPut(storeDone{op: op, result: s.call(op)})
	})
	if !started {
		op.Reply(Result{Err: ErrUnavailable})
		return
	}
	s.running++
}

func (s *Store) handleDone(d storeDone) {
	s.running--
	d.op.Reply(d.result)
}

// call runs on the pool.
func (s *Store) call(op Op) Result {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	var r Result
	switch op.Kind {
	case OpGet:
		r.Object, r.Err = s.api.Get(ctx, op.Key)
	case OpList:
		r.Listing, r.Err = s.api.List(ctx, op.Key)
	case OpPut:
		r.Object, r.Err = s.api.Put(ctx, op.write())
	case OpDelete:
		r.Object, r.Err = s.api.Delete(ctx, op.write())
	}
	if errors.Is(r.Err, ErrUnknownOutcome) && (op.Kind == OpPut || op.Kind == OpDelete) {
		return s.settle(op)
	}
	return r
}

func (op Op) write() Write {
	return Write{Key: op.Key, IfVersion: op.IfVersion, Token: op.token, Value: op.Value}
}

// settle reads the object back to learn whether a write with a lost answer took
// effect. It runs on the pool.
func (s *Store) settle(op Op) Result {
	for range settleAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
		current, err := s.api.Get(ctx, op.Key)
		cancel()
		if err == nil && current.Token == op.token {
			return Result{Object: current}
		}
		superseded := err == nil && op.IfVersion != AnyVersion && current.Version > op.IfVersion
		if superseded {
			// Another write came after the expected version. Ours may have been
			// between the two, so the outcome stays unknown.
			return Result{Object: current, Err: ErrUnknownOutcome}
		}
		if err == nil || errors.Is(err, ErrNotFound) {
			return Result{Object: current, Err: ErrUnavailable}
		}
		time.Sleep(settleDelay)
	}
	return Result{Err: ErrUnknownOutcome}
}
