package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func unreachable(Attempt) AttemptEnd {
	end := FailedAttempt(core.NotRunError(core.CodeBackendFailure, "no connection"))
	end.Unreachable = true
	return end
}

// Guards against a request that fails although a sound server is there, because the
// connections to others were refused: a partition or a crash of most servers. A route
// may allow two attempts only.
func TestUnreachableServersCostNoAttempts(t *testing.T) {
	f := newDispatchHarness(t, 4, func(a Attempt) AttemptEnd {
		if a.Server != "s3" {
			return unreachable(a)
		}
		return completed(a)
	})
	for i := range 20 {
		c := core.NewCall(context.Background(), &core.Request{
			ID: core.RequestID(string(rune('a' + i))), Service: "desk", Operation: "look", Fingerprint: uint64(i), MaxAttempts: 2, Class: core.ClassInteractive,
		})
		f.dispatch.Submit(c)
		f.dispatch.loop.RunPending()
		f.runPending()
		f.advance(500 * time.Millisecond) // three backoffs, in steps of 100 ms
		if e := endOf(c); e == nil || e.Err != nil {
			t.Fatalf("call %d ended with %+v", i, e)
		}
	}
}

// Guards against a caller that waits for its deadline at a daemon that reaches no
// server, as in a data centre that is cut off: the refusal comes at once and says that
// nothing ran, so that the caller can come back through another daemon.
func TestRequestsWithoutReachableServerAreRefusedAtOnce(t *testing.T) {
	f := newDispatchHarness(t, 3, unreachable)
	refused := func() (after time.Duration) {
		c := core.NewCall(context.Background(), &core.Request{
			ID: "r" + core.RequestID(f.clock.Now().String()), Service: "desk", Operation: "look", Repeatable: true, MaxAttempts: 2, Class: core.ClassInteractive,
		})
		f.dispatch.Submit(c)
		f.dispatch.loop.RunPending()
		started := f.clock.Now()
		for range 20 {
			f.runPending()
			if e := endOf(c); e != nil {
				if e.Verdict != core.NotRun || e.Err == nil || e.Err.RetryAfter <= 0 {
					t.Errorf("end %+v, want a refusal with a time to come back", e)
				}
				return f.clock.Now().Sub(started)
			}
			f.clock.Advance(10 * time.Millisecond)
			f.dispatch.loop.RunPending()
		}
		t.Fatal("the request has no end")
		return 0
	}
	refused() // finds out that the servers cannot be reached
	if after := refused(); after != 0 {
		t.Errorf("refused after %v, want at once", after)
	}
}
