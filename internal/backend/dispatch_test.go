package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against a second execution of a call that must not be repeated, and
// against a call that is abandoned although it provably did not run.
func TestNonRepeatableCalls(t *testing.T) {
	cases := []struct {
		name     string
		exchange func(Attempt) AttemptEnd
		attempts int
		want     core.Verdict
	}{
		{"may have run", broken, 1, core.MayHaveRun},
		{"not run", refused, defaultMaxAttempts, core.NotRun},
		{"not run, then may have run", func(a Attempt) AttemptEnd {
			if a.Number == 1 {
				return refused(a)
			}
			return broken(a)
		}, 2, core.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newDispatchHarness(t, 5, c.exchange)
			call := b.submit(context.Background(), 1, false)
			b.runPending()
			b.advance(10 * time.Second)
			e := endOf(call)
			if e == nil || len(b.attempts) != c.attempts || e.Verdict != c.want || e.Err.Verdict != c.want {
				t.Fatalf("%d attempts, end %+v; want %d, %v", len(b.attempts), e, c.attempts, c.want)
			}
		})
	}
}

// Guards against a retry storm: when every server fails, retries are limited to
// a share of the first attempts after an initial burst.
func TestRetryBudget(t *testing.T) {
	b := newDispatchHarness(t, 10, broken)
	const calls = 5000
	startedAt := b.clock.Now()
	for i := range calls {
		b.submit(context.Background(), uint64(i), true)
		b.runPending()
		if i%100 == 0 {
			b.advance(100 * time.Millisecond)
		}
	}
	b.advance(10 * time.Second)
	allowed := retryBurst + retryShare*calls + retryRefillPerSecond*b.clock.Now().Sub(startedAt).Seconds() + 1
	if retries := len(b.attempts) - calls; float64(retries) > allowed || retries < retryBurst {
		t.Fatalf("%d calls made %d retries, want %d to %.0f", calls, retries, retryBurst, allowed)
	}
}

// Guards against an attempt on a server before the Retry-After of its refusal
// has passed, when there is no other server.
func TestRetryAfterIsHonoured(t *testing.T) {
	const wait = 3 * time.Second
	b := newDispatchHarness(t, 1, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.Number > 1 {
			return completed(a)
		}
		e := refused(a)
		e.Err.RetryAfter = wait
		return e
	}
	call := b.submit(context.Background(), 1, true)
	b.runPending()
	b.advance(wait - 100*time.Millisecond)
	if len(b.attempts) != 1 {
		t.Fatalf("%d attempts before the Retry-After, want 1", len(b.attempts))
	}
	b.advance(200 * time.Millisecond)
	if e := endOf(call); e == nil || e.Verdict != core.Ran {
		t.Fatalf("end %+v, want an answer after the wait", e)
	}
}

// Guards against a call that keeps waiting after its caller has cancelled, and
// against a further attempt for it.
func TestCallerCancelsWhileWaiting(t *testing.T) {
	b := newDispatchHarness(t, 1, broken)
	ctx, cancel := context.WithCancel(context.Background())
	call := b.submit(ctx, 1, true)
	b.runPending()
	cancel()
	for bound := time.Now().Add(30 * time.Second); b.dispatch.cancels.Len() == 0 && time.Now().Before(bound); {
		time.Sleep(time.Millisecond) // the goroutine of context.AfterFunc puts the cancellation
	}
	b.dispatch.loop.RunPending()
	if e := endOf(call); e == nil || e.Err.Code != core.CodeCancelled || e.Verdict != core.MayHaveRun {
		t.Fatalf("end %+v, want cancelled and may-have-run", e)
	}
	b.advance(5 * time.Second)
	if len(b.attempts) != 1 {
		t.Fatalf("%d attempts, want no more after the cancellation", len(b.attempts))
	}
}

// Guards against an attempt after the deadline, and against a verdict that
// implies one.
func TestDeadlineBeforeFirstAttempt(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	e := endOf(b.submit(ctx, 1, true))
	if e == nil || e.Err.Code != core.CodeDeadline || e.Verdict != core.NotRun || len(b.pending) != 0 {
		t.Fatalf("end %+v, want the deadline, not-run and no attempt", e)
	}
}

// Guards against a wrong verdict when no pool goroutine is free: not-run before
// the first attempt, may-have-run after one that may have run.
func TestPoolExhausted(t *testing.T) {
	b := newDispatchHarness(t, 1, broken)
	full := func(func()) bool { return false }
	free := b.dispatch.tryGo
	b.dispatch.tryGo = full
	if e := endOf(b.submit(context.Background(), 1, true)); e == nil || e.Verdict != core.NotRun || e.Err.RetryAfter == 0 {
		t.Errorf("first attempt: end %+v, want not-run with a Retry-After", e)
	}
	b.dispatch.tryGo = free
	call := b.submit(context.Background(), 2, true)
	b.runPending()
	b.dispatch.tryGo = full
	b.advance(time.Second)
	if e := endOf(call); e == nil || e.Verdict != core.MayHaveRun || e.Err.Verdict != core.MayHaveRun {
		t.Errorf("after an attempt: end %+v, want may-have-run", e)
	}
}

// Guards against new requests to a leaving server, against the interruption of
// its requests in progress, and against its slots being counted as free.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	var slots []ServiceSlots
	b.dispatch.SetSlotsHandler(func(s []ServiceSlots) { slots = s })
	var calls []*core.Call
	for i := range 20 {
		calls = append(calls, b.submit(context.Background(), uint64(i), true))
	}
	b.servers[0].Leaving = true
	b.publish()
	started := len(b.pending)
	for i := range 20 {
		calls = append(calls, b.submit(context.Background(), uint64(100+i), true))
	}
	b.runPending()
	for _, a := range b.attempts[started:] {
		if a.Server == b.servers[0].ID {
			t.Errorf("request %s went to the leaving server", a.Call.Request.ID)
		}
	}
	for i, c := range calls {
		if e := endOf(c); e == nil || e.Verdict != core.Ran || e.Attempts != 1 {
			t.Errorf("call %d ended with %+v, want one complete attempt", i, e)
		}
	}
	b.advance(time.Second)
	if len(slots) != 1 || slots[0] != (ServiceSlots{Service: "desk", Free: 4, Total: 4}) {
		t.Errorf("slots %+v, want the 4 of the server that is not leaving", slots)
	}
}

// Guards against attempts that continue after another one has answered the
// call, and against ending a call whose other attempt can still answer it.
func TestFirstCompleteAnswerCancelsOtherAttempts(t *testing.T) {
	b := newDispatchHarness(t, 3, nil)
	cancelled := map[int]bool{}
	b.exchange = func(a Attempt) AttemptEnd {
		cancelled[a.Number] = a.Context.Err() != nil
		if a.Number == 1 {
			return broken(a)
		}
		return completed(a)
	}
	call := b.submit(context.Background(), 1, true)
	s := b.dispatch.callsInProgress[call.Request.ID]
	for range 2 {
		if !b.dispatch.startAttempt(s, b.dispatch.listed[0]) {
			t.Fatal("another attempt did not start")
		}
	}
	first, second := b.pending[0], b.pending[1]
	first()
	b.dispatch.loop.RunPending()
	if e := endOf(call); e != nil || s.isWaiting {
		t.Fatalf("end %+v, waiting for a retry %v, while two attempts are in progress", e, s.isWaiting)
	}
	second()
	b.dispatch.loop.RunPending()
	if e := endOf(call); e == nil || e.Verdict != core.Ran || e.Err != nil {
		t.Fatalf("end %+v, want the answer of the second attempt", e)
	}
	b.pending[2]()
	if !cancelled[3] || cancelled[2] {
		t.Errorf("attempts cancelled: %v, want only the third", cancelled)
	}
}

// Guards against a dead server that appears idle and attracts all requests.
func TestUnreachableServerIsExcluded(t *testing.T) {
	b := newDispatchHarness(t, 2, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.Server != b.servers[0].ID {
			return completed(a)
		}
		e := refused(a)
		e.Unreachable = true
		return e
	}
	dials := 0
	for i := range 50 {
		b.submit(context.Background(), uint64(i), true)
		b.runPending()
	}
	for _, a := range b.attempts {
		if a.Server == b.servers[0].ID {
			dials++
		}
	}
	if dials > 1 {
		t.Errorf("%d attempts on the dead server during its backoff, want at most 1", dials)
	}
}
