package batch

import (
	"errors"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// pendingStore accepts operations and answers none until the test does.
type pendingStore struct{ ops []platform.Op }

func (s *pendingStore) Submit(op platform.Op) bool {
	s.ops = append(s.ops, op)
	return true
}

// Guards against a reply of the store that finds its ring full: a check of ownership
// would then be under way for ever, and the job would run on old knowledge.
func TestNoStoreReplyIsLost(t *testing.T) {
	const capacity = 4
	store := &pendingStore{}
	loop := duty.New("test", duty.NewManualClock(time.Unix(1e9, 0)))
	ops := newStoreOps(loop, store, "test.replies", capacity)
	handled, refused := 0, 0
	for range 2 * capacity {
		ops.submit(platform.Op{}, func(r platform.Result) {
			handled++
			if errors.Is(r.Err, platform.ErrQueueFull) {
				refused++
			}
		})
	}
	for _, op := range store.ops {
		op.Reply(platform.Result{})
	}
	loop.RunPending()
	if handled != 2*capacity || refused != capacity {
		t.Errorf("%d of %d operations were answered, %d refused, want all and %d", handled, 2*capacity, refused, capacity)
	}
	ops.submit(platform.Op{}, func(platform.Result) {})
	if len(store.ops) != capacity+1 {
		t.Error("no operation is accepted after the replies")
	}
}
