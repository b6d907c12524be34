package platform

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// endAfter returns the end of a call that started and ended at the times in
// milliseconds after the start of the test.
func endAfter(startMs, endMs int, err error) CallEnd {
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	return CallEnd{Started: at(startMs), Ended: at(endMs), Err: err}
}

func ping(e CallEnd) CallEnd {
	e.IsPing = true
	return e
}

// Guards against a store that counts as down by one lost or refused call while it
// answers others, against an outage or its end that is not seen, and against a short
// outage that is missed because no call was made in it but lost ones.
func TestAvailabilityFollowsCallEnds(t *testing.T) {
	silent := fmt.Errorf("%w: %w", ErrUnavailable, ErrUnknownOutcome)
	cases := []struct {
		name string
		ends []CallEnd
		want string // states that the changes lead to
	}{
		{"call times out", []CallEnd{endAfter(0, 800, silent)}, "[down]"},
		{"ping fails at once", []CallEnd{ping(endAfter(0, 5, ErrUnavailable))}, "[down]"},
		{"call is refused", []CallEnd{endAfter(0, 5, ErrUnavailable)}, "[]"},
		{"rate limit", []CallEnd{endAfter(0, 5, ErrRateLimited), ping(endAfter(6, 8, ErrRateLimited))}, "[]"},
		{"conflict is an answer", []CallEnd{endAfter(0, 800, silent), endAfter(810, 815, ErrConflict)}, "[down up]"},
		{"others are answered meanwhile", []CallEnd{endAfter(100, 105, nil), endAfter(110, 400, nil), endAfter(110, 910, silent)}, "[]"},
		{"ping is lost, others are answered", []CallEnd{endAfter(100, 300, nil), ping(endAfter(100, 900, silent))}, "[]"},
		{"answer from before the failed call", []CallEnd{ping(endAfter(100, 900, silent)), endAfter(10, 50, nil)}, "[down]"},
		{"failed twice", []CallEnd{endAfter(0, 800, silent), ping(endAfter(100, 900, silent)), ping(endAfter(950, 955, nil))}, "[down up]"},
		{"one call is lost in a quiet time", []CallEnd{endAfter(0, 5, nil), endAfter(700, 705, nil), endAfter(50, 850, silent)}, "[]"},
		{"two calls are lost in quiet times of their own", []CallEnd{endAfter(0, 5, nil), endAfter(700, 705, nil), endAfter(50, 850, silent), endAfter(1400, 1405, nil), endAfter(750, 1550, silent)}, "[]"},
		{"call is lost, and no ping was answered", []CallEnd{endAfter(0, 5, nil), endAfter(1600, 1605, nil), endAfter(1000, 1800, silent)}, "[down up]"},
		{"call and ping are lost", []CallEnd{endAfter(0, 5, nil), endAfter(1200, 1205, nil), endAfter(900, 1700, silent), ping(endAfter(1005, 1805, silent))}, "[down up]"},
		{"short outage", []CallEnd{endAfter(0, 5, nil), endAfter(700, 705, nil), endAfter(50, 850, silent), endAfter(60, 860, silent)}, "[down up]"},
	}
	for _, c := range cases {
		a := newAvailability(testStart)
		got := []string{}
		for _, e := range c.ends {
			for _, change := range a.record(e) {
				if change.Lasted < 0 {
					t.Errorf("%s: former state lasted %v", c.name, change.Lasted)
				}
				got = append(got, map[bool]string{true: "up", false: "down"}[change.Up])
			}
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: changes %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against pings that cost calls of the store although other calls show that it
// answers, against an outage that is found late after such calls, and against one that
// a refused call does not bring to light.
func TestProbePingsOnlyWithoutAnswers(t *testing.T) {
	clock, pool, pinger := duty.NewManualClock(testStart), &manualPool{}, &fakePinger{}
	var changes []AvailabilityChange
	p := NewProbe(clock, pinger, pool, func(c AvailabilityChange) { changes = append(changes, c) })
	// pings advances the clock and returns the number of pings.
	pings := func(d time.Duration, report func()) (n int) {
		for ; d > 0; d -= 50 * time.Millisecond {
			clock.Advance(50 * time.Millisecond)
			report()
			p.Loop().RunPending()
			n += pool.run()
			p.Loop().RunPending()
		}
		return n
	}
	answered := func() { p.ReportCall(CallEnd{Started: clock.Now(), Ended: clock.Now()}) }
	nothing := func() {}
	if n := pings(10*time.Second, answered); n != 0 {
		t.Errorf("%d pings while other calls were answered, want none", n)
	}
	if n := pings(10*time.Second, nothing); n != 10 {
		t.Errorf("%d pings in 10 s without other calls, want 10", n)
	}
	pinger.err = errors.New("refused")
	refused := func() { p.ReportCall(CallEnd{Started: clock.Now(), Ended: clock.Now(), Err: ErrUnavailable}) }
	if n := pings(downProbePeriod, refused); n != 1 || len(changes) != 1 {
		t.Errorf("%d pings and changes %+v after a refused call, want one each", n, changes)
	}
	if n := pings(10*time.Second, refused); n != int(10*time.Second/downProbePeriod) {
		t.Errorf("%d pings in 10 s of an outage", n)
	}
	if p.ReportCall(CallEnd{Started: clock.Now(), Ended: clock.Now()}); p.Loop().RunPending() == 0 || len(changes) != 2 || !changes[1].Up {
		t.Errorf("changes %+v, want the end of the outage by another duty's call", changes)
	}
}

// Guards against an outage that is reported, and watches that are listed again, because
// one answer was lost between two answered pings.
func TestOneLostAnswerOfAQuietDaemonIsNoOutage(t *testing.T) {
	for _, answerMs := range []int{3, 250} {
		a := newAvailability(testStart)
		changes, pingMs := 0, 0
		for second := range 10 {
			// Pings are answered and sent a second later; once a call in between is lost.
			changes += len(a.record(ping(endAfter(pingMs, pingMs+answerMs, nil))))
			if second == 5 {
				changes += len(a.record(endAfter(pingMs-700, pingMs+answerMs+50, ErrUnavailable)))
			}
			pingMs += 1000 + answerMs
		}
		if changes != 0 {
			t.Errorf("answers after %d ms: %d changes of the store's state by one lost answer between answered pings", answerMs, changes)
		}
	}
}

// Guards against operations that are refused because pings fail although the duty's own
// calls succeed, and against an unbounded call rate when only pings succeed.
func TestStoreTrustsItsOwnCalls(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	for range 10 {
		read := f.submit(Op{Kind: OpGet, Key: "k", FailFast: true})
		f.runAll()
		if r := onlyResult(t, read); !errors.Is(r.Err, ErrNotFound) {
			t.Fatalf("read returned %v", r.Err)
		}
		f.clock.Advance(100 * time.Millisecond)
		now := f.clock.Now()
		f.store.ReportCall(CallEnd{Started: now.Add(-800 * time.Millisecond), Ended: now, Err: ErrUnavailable, IsPing: true})
	}
	f.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
	f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute})
	before := len(f.api.calls)
	for range 10 {
		f.store.ReportCall(CallEnd{Started: f.clock.Now(), Ended: f.clock.Now(), IsPing: true})
		f.advance(time.Second)
	}
	if calls := len(f.api.calls) - before; calls > 30 {
		t.Errorf("%d calls in 10 s of refusals, want at most 30", calls)
	}
}

// Guards against a call for each answer to a watch while the store refuses this duty's calls.
func TestAnswersToWatchesDoNotRemoveTheRetryDelay(t *testing.T) {
	f := newStoreFixture(StoreOptions{})
	f.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
	f.submit(Op{Kind: OpGet, Key: "k", Timeout: time.Minute})
	before := len(f.api.calls)
	for range 200 {
		f.store.ReportCall(CallEnd{Started: f.clock.Now(), Ended: f.clock.Now()})
		f.advance(50 * time.Millisecond)
	}
	if calls := len(f.api.calls) - before; calls > 30 {
		t.Errorf("%d calls in 10 s of refusals with a watch answer each 50 ms, want at most 30", calls)
	}
}
