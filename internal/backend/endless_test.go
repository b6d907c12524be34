package backend

import (
	"context"
	"testing"
	"time"
)

// Guards against sending more calls to a server whose answers never end: one such
// answer, which costs megabytes, must eject it, while a call that may be repeated is
// answered by another server.
func TestEndlessAnswerEjectsServer(t *testing.T) {
	answered := map[string]int{}
	f := newDispatchHarness(t, 4, func(a Attempt) AttemptEnd {
		answered[string(a.Server)]++
		if a.Server == "s0" {
			end := broken(a)
			end.Endless = true
			return end
		}
		return completed(a)
	})
	for i := range 40 {
		c := f.submit(context.Background(), uint64(i), true)
		f.runPending()
		f.advance(20 * time.Millisecond)
		if e := endOf(c); e == nil || e.Err != nil {
			t.Fatalf("call %d ended with %+v", i, e)
		}
	}
	if answered["s0"] != 1 {
		t.Errorf("the endless server got %d calls in %v, want 1", answered["s0"], 40*20*time.Millisecond)
	}
}
