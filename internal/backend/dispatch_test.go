package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against a second run of a call that must not be repeated, and
// against a call given up although it provably did not run.
func TestNonRepeatableCalls(t *testing.T) {
	cases := []struct {
		name     string
		exchange func(Attempt) AttemptEnd
		attempts int
		want     core.Verdict
	}{
		{"may have run", broken, 1, core.MayHaveRun},
		{"not run", refused, maxAttempts, core.NotRun},
		{"not run, then may have run", func(a Attempt) AttemptEnd {
			if a.Number == 1 {
				return refused(a)
			}
			return broken(a)
		}, 2, core.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 5, c.exchange)
			call := b.submit(context.Background(), 1, false)
			b.run()
			b.advance(10 * time.Second)
			e := end(call)
			if e == nil || len(b.attempts) != c.attempts || e.Verdict != c.want || e.Err.Verdict != c.want {
				t.Fatalf("%d attempts, end %+v; want %d, %v", len(b.attempts), e, c.attempts, c.want)
			}
		})
	}
}

// Guards against a retry storm: with every server failing, retries stay a
// share of the first attempts, after a burst.
func TestRetryBudget(t *testing.T) {
	b := newBench(t, 10, broken)
	const calls = 5000
	began := b.clock.Now()
	for i := range calls {
		b.submit(context.Background(), uint64(i), true)
		b.run()
		if i%100 == 0 {
			b.advance(100 * time.Millisecond)
		}
	}
	b.advance(10 * time.Second)
	allowed := retryBurst + retryShare*calls + retryRefill*b.clock.Now().Sub(began).Seconds() + 1
	if retries := len(b.attempts) - calls; float64(retries) > allowed || retries < retryBurst {
		t.Fatalf("%d calls made %d retries, want %d to %.0f", calls, retries, retryBurst, allowed)
	}
}

// Guards against an attempt at a server before the time that its refusal
// asked for, while no other server is left.
func TestRetryAfterIsKept(t *testing.T) {
	const wait = 3 * time.Second
	b := newBench(t, 1, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.Number > 1 {
			return answered(a)
		}
		e := refused(a)
		e.Err.RetryAfter = wait
		return e
	}
	call := b.submit(context.Background(), 1, true)
	b.run()
	b.advance(wait - 100*time.Millisecond)
	if len(b.attempts) != 1 {
		t.Fatalf("%d attempts before the time, want 1", len(b.attempts))
	}
	b.advance(200 * time.Millisecond)
	if e := end(call); e == nil || e.Verdict != core.Ran {
		t.Fatalf("end %+v, want an answer after the wait", e)
	}
}

// Guards against a call that waits on after its caller has gone, and against
// an attempt for it.
func TestCallerGoneWhileWaiting(t *testing.T) {
	b := newBench(t, 1, broken)
	ctx, leave := context.WithCancel(context.Background())
	call := b.submit(ctx, 1, true)
	b.run()
	leave()
	for bound := time.Now().Add(30 * time.Second); b.dispatch.cancels.Len() == 0 && time.Now().Before(bound); {
		time.Sleep(time.Millisecond) // the context's own goroutine puts the cancel
	}
	b.dispatch.loop.RunPending()
	if e := end(call); e == nil || e.Err.Code != core.CodeCancelled || e.Verdict != core.MayHaveRun {
		t.Fatalf("end %+v, want cancelled and may-have-run", e)
	}
	b.advance(5 * time.Second)
	if len(b.attempts) != 1 {
		t.Fatalf("%d attempts, want no more after the caller left", len(b.attempts))
	}
}

// Guards against an attempt, or a claim that one was made, after the deadline.
func TestDeadlineBeforeTheAttempt(t *testing.T) {
	b := newBench(t, 1, answered)
	ctx, stop := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer stop()
	e := end(b.submit(ctx, 1, true))
	if e == nil || e.Err.Code != core.CodeDeadline || e.Verdict != core.NotRun || len(b.pending) != 0 {
		t.Fatalf("end %+v, want the deadline, not-run and no attempt", e)
	}
}

// Guards against a refusal for lack of workers that claims more or less than
// what is proven.
func TestNoWorkerIsFree(t *testing.T) {
	b := newBench(t, 1, broken)
	full := func(func()) bool { return false }
	free := b.dispatch.tryGo
	b.dispatch.tryGo = full
	if e := end(b.submit(context.Background(), 1, true)); e == nil || e.Verdict != core.NotRun || e.Err.RetryAfter == 0 {
		t.Errorf("first attempt: end %+v, want not-run with a time to retry", e)
	}
	b.dispatch.tryGo = free
	call := b.submit(context.Background(), 2, true)
	b.run()
	b.dispatch.tryGo = full
	b.advance(time.Second)
	if e := end(call); e == nil || e.Verdict != core.MayHaveRun || e.Err.Verdict != core.MayHaveRun {
		t.Errorf("after an attempt: end %+v, want may-have-run", e)
	}
}

// Guards against new work on a leaving server, against work there that is cut
// short, and against its slots counted as free.
func TestLeavingServer(t *testing.T) {
	b := newBench(t, 2, answered)
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
	b.run()
	for _, a := range b.attempts[started:] {
		if a.Server == b.servers[0].ID {
			t.Errorf("request %s went to the leaving server", a.Call.Request.ID)
		}
	}
	for i, c := range calls {
		if e := end(c); e == nil || e.Verdict != core.Ran || e.Attempts != 1 {
			t.Errorf("call %d ended with %+v, want one whole attempt", i, e)
		}
	}
	b.advance(time.Second)
	if len(slots) != 1 || slots[0] != (ServiceSlots{Service: "desk", Free: 4, Total: 4}) {
		t.Errorf("slots %+v, want the 4 of the server that stays", slots)
	}
}

// Guards against attempts that go on once another has answered the call, and
// against the end of a call whose other attempt can still answer it.
func TestFirstWholeAnswerEndsTheOtherAttempt(t *testing.T) {
	b := newBench(t, 3, nil)
	stopped := map[int]bool{}
	b.exchange = func(a Attempt) AttemptEnd {
		stopped[a.Number] = a.Context.Err() != nil
		if a.Number == 1 {
			return broken(a)
		}
		return answered(a)
	}
	call := b.submit(context.Background(), 1, true)
	s := b.dispatch.inProgress[call.Request.ID]
	for range 2 {
		if !b.dispatch.startAttempt(s, b.dispatch.order[0]) {
			t.Fatal("the further attempt did not start")
		}
	}
	first, second := b.pending[0], b.pending[1]
	first()
	b.dispatch.loop.RunPending()
	if e := end(call); e != nil || s.waiting {
		t.Fatalf("end %+v, waiting for a retry %v, while two attempts are in progress", e, s.waiting)
	}
	second()
	b.dispatch.loop.RunPending()
	if e := end(call); e == nil || e.Verdict != core.Ran || e.Err != nil {
		t.Fatalf("end %+v, want the answer of the second attempt", e)
	}
	b.pending[2]()
	if !stopped[3] || stopped[2] {
		t.Errorf("attempts stopped: %v, want only the third", stopped)
	}
}

// Guards against a dead server that looks idle and draws all the work.
func TestUnreachableServerIsLeftOut(t *testing.T) {
	b := newBench(t, 2, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.Server != b.servers[0].ID {
			return answered(a)
		}
		e := refused(a)
		e.Unreachable = true
		return e
	}
	dials := 0
	for i := range 50 {
		b.submit(context.Background(), uint64(i), true)
		b.run()
	}
	for _, a := range b.attempts {
		if a.Server == b.servers[0].ID {
			dials++
		}
	}
	if dials > 1 {
		t.Errorf("%d attempts at the dead server without time passing, want at most 1", dials)
	}
}
