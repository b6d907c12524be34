package batch

import (
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// storeOps submits the store operations of one duty and runs their replies on the
// duty's goroutine. At most as many operations are in flight as the ring of replies has
// room for, so no reply is lost: the state of a job waits for it.
type storeOps struct {
	store    Store
	replies  *ring.Ring[storeReply]
	capacity int
	inFlight int
}

// storeReply is the result of one operation and the function that handles it.
type storeReply struct {
	result platform.Result
	handle func(platform.Result)
}

// newStoreOps binds the replies to the duty's loop. capacity bounds the operations in
// flight.
func newStoreOps(loop *duty.Loop, store Store, ringName string, capacity int) *storeOps {
	s := &storeOps{store: store, replies: ring.New[storeReply](ringName, capacity), capacity: capacity}
	duty.On(loop, s.replies, func(r storeReply) {
		s.inFlight--
		r.handle(r.result)
	})
	return s
}

// submit sends the operation to the store duty. If too many operations are in flight or
// the store's ring is full, handle is called at once with platform.ErrQueueFull.
func (s *storeOps) submit(op platform.Op, handle func(platform.Result)) {
	if s.inFlight >= s.capacity {
		handle(platform.Result{Err: platform.ErrQueueFull})
		return
	}
	s.inFlight++
	op.Reply = func(r platform.Result) { s.replies.TryPut(storeReply{result: r, handle: handle}) }
	if !s.store.Submit(op) {
		s.inFlight--
		handle(platform.Result{Err: platform.ErrQueueFull})
	}
}
