package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const crashingFingerprint = 666

// crashingFleet is a fleet in which a request with crashingFingerprint crashes
// each server that runs it.
type crashingFleet struct {
	harness *dispatchHarness
	crashes map[core.ServerID]int
	total   int
}

func newCrashingFleet(t *testing.T) *crashingFleet {
	f := &crashingFleet{crashes: map[core.ServerID]int{}}
	f.harness = newDispatchHarness(t, 10, f.exchange)
	return f
}

func (f *crashingFleet) incarnation(id core.ServerID) string { return fmt.Sprint(f.crashes[id]) }

func (f *crashingFleet) exchange(a Attempt) AttemptEnd {
	if a.Context.Err() != nil {
		return broken(a)
	}
	if a.Call.Request.Fingerprint == crashingFingerprint {
		f.total++
		f.crashes[a.Server]++
	}
	if a.Incarnation != f.incarnation(a.Server) {
		e := broken(a)
		e.Crashed, e.Incarnation = true, f.incarnation(a.Server)
		return e
	}
	return completed(a)
}

// Guards against one request, sent again every second, that crashes the whole
// fleet, and against other requests that fail because of it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newCrashingFleet(t)
	b := f.harness
	var others []*core.Call
	for second := range 120 {
		b.submit(context.Background(), crashingFingerprint, true)
		for i := range 8 {
			others = append(others, b.submit(context.Background(), uint64(1000+second*10+i), true))
		}
		b.runPending()
		b.advance(time.Second)
	}
	if f.total > 3 {
		t.Fatalf("%d crashes on %d servers, want at most 3", f.total, len(f.crashes))
	}
	for i, c := range others {
		if e := endOf(c); e == nil || e.Verdict != core.Ran {
			t.Errorf("other request %d ended with %+v, want an answer", i, e)
		}
	}
	e := endOf(b.submit(context.Background(), crashingFingerprint, true))
	if e == nil || e.Err.Code != core.CodeQuarantined || e.Verdict != core.NotRun {
		t.Fatalf("the quarantined request ended with %+v, want quarantined and not-run", e)
	}
	for _, s := range b.dispatch.health.suspects.Report(b.clock.Now()).Suspects {
		t.Errorf("request %d is still suspected after it finished", s.Fingerprint)
	}
	b.advance(QuarantineDuration)
	s := b.dispatch.health.suspects
	if s.QuarantineRemaining(crashingFingerprint, b.clock.Now()) != 0 || len(s.confirmed)+len(s.suspected) != 0 {
		t.Errorf("entries remain after the quarantine: %+v", s)
	}
}

// Guards against copies of a request that crash one server each because all of
// them started before the first crash.
func TestCopiesInFlightAreCancelled(t *testing.T) {
	f := newCrashingFleet(t)
	var calls []*core.Call
	for range 8 {
		calls = append(calls, f.harness.submit(context.Background(), crashingFingerprint, true))
	}
	f.harness.runPending()
	f.harness.advance(10 * time.Second)
	if f.total > 3 {
		t.Fatalf("%d crashes on %d servers, want at most 3", f.total, len(f.crashes))
	}
	for i, c := range calls {
		if e := endOf(c); e == nil || e.Err.Code != core.CodeQuarantined {
			t.Errorf("copy %d ended with %+v, want quarantined", i, e)
		}
	}
}

// Guards against a wrong verdict for a request that ran before it was
// quarantined.
func TestVerdictOfQuarantinedRequestThatRan(t *testing.T) {
	f := newCrashingFleet(t)
	call := f.harness.submit(context.Background(), crashingFingerprint, true)
	f.harness.runPending()
	f.harness.advance(5 * time.Second)
	e := endOf(call)
	if e == nil || e.Err.Code != core.CodeQuarantined || e.Verdict != core.MayHaveRun {
		t.Fatalf("end %+v, want quarantined and may-have-run", e)
	}
}

// Guards against two suspects on one server, and against two copies of one
// suspect at the same time: a crash could then not be attributed.
func TestOneSuspectRunsPerServer(t *testing.T) {
	b := newDispatchHarness(t, 3, completed)
	now := b.clock.Now()
	b.dispatch.health.suspects.RecordCrash(CrashReport{InFlight: []uint64{1, 2, 3, 4, 5}}, now)
	var calls []*core.Call
	for i := range 10 {
		calls = append(calls, b.submit(context.Background(), uint64(1+i/2), true))
	}
	if len(b.pending) != 3 {
		t.Fatalf("%d suspects run concurrently on 3 servers, want one on each", len(b.pending))
	}
	for id, s := range b.dispatch.health.servers {
		if len(s.inFlight) != 1 {
			t.Errorf("server %s runs %d suspects, want 1", id, len(s.inFlight))
		}
	}
	for fingerprint, copies := range b.dispatch.health.runningByFingerprint {
		if copies != 1 {
			t.Errorf("%d copies of suspect %d run concurrently, want 1", copies, fingerprint)
		}
	}
	b.runPending()
	b.advance(time.Second)
	for i, c := range calls {
		if e := endOf(c); e == nil || e.Verdict != core.Ran {
			t.Errorf("suspect %d ended with %+v, want an answer", i, e)
		}
	}
}

// Guards against counting one crash several times, because each request in
// flight reports it.
func TestCrashIsCountedOncePerIncarnation(t *testing.T) {
	b := newDispatchHarness(t, 1, func(a Attempt) AttemptEnd {
		e := broken(a)
		e.Crashed = true
		return e
	})
	for i := range 6 {
		b.submit(context.Background(), uint64(1+i%2), false)
	}
	b.runPending()
	r := b.dispatch.health.suspects.Report(b.clock.Now())
	if len(r.ConfirmedCauses) != 0 || len(r.Suspects) != 2 {
		t.Fatalf("report %+v, want two suspects and no confirmed cause", r)
	}
	for _, s := range r.Suspects {
		if s.CrashesAlone != 0 {
			t.Errorf("request %d has %d crashes as the only suspect, want 0", s.Fingerprint, s.CrashesAlone)
		}
	}
}

// Guards against a suspect that is forgotten because another daemon reports the end
// of a quarantine: the next crash as the only suspect must count.
func TestExpiredCauseKeepsSuspect(t *testing.T) {
	s := NewSuspectSet()
	now := time.Unix(1e9, 0)
	s.RecordCrash(CrashReport{InFlight: []uint64{8}}, now)
	s.Merge(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 8}}}, now)
	if !s.IsSuspected(8, now) {
		t.Error("the request is no longer a suspect")
	}
}

// Guards against a report of another daemon that has no effect, shortens a
// known entry, or outlives its time.
func TestMergeSuspectReport(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	report := SuspectReport{
		ConfirmedCauses: []ConfirmedCause{{Fingerprint: 7, Remaining: time.Hour}},
		Suspects:        []SuspectRequest{{Fingerprint: 8, CrashesAlone: 1, Remaining: time.Minute}},
	}
	b.dispatch.MergeSuspectReport(report)
	b.dispatch.MergeSuspectReport(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 7, Remaining: time.Second}}})
	b.dispatch.loop.RunPending()
	if e := endOf(b.submit(context.Background(), 7, true)); e == nil || e.Err.Code != core.CodeQuarantined {
		t.Fatalf("end %+v, want quarantined", e)
	}
	s := b.dispatch.health.suspects
	if got := s.QuarantineRemaining(7, b.clock.Now()); got != QuarantineDuration {
		t.Errorf("the quarantine lasts %v, want %v", got, QuarantineDuration)
	}
	s.RecordCrash(CrashReport{InFlight: []uint64{8}}, b.clock.Now())
	s.Judge(b.clock.Now().Add(crashSettleTime))
	if s.QuarantineRemaining(8, b.clock.Now()) == 0 {
		t.Error("one crash as the only suspect here and one on another daemon did not quarantine the request")
	}
}

// newItem returns a run of an item of an accepted job on the harness's service.
func newItem(fingerprint uint64, run int) *core.Call {
	return core.NewCall(context.Background(), &core.Request{
		ID: core.RequestID(fmt.Sprintf("item-%d/%d", fingerprint, run)), Service: "desk", Operation: "look",
		Class: core.ClassRollout, Accepted: true, Repeatable: true, MaxAttempts: 6, Fingerprint: fingerprint,
	})
}

// Guards against an item of an accepted job that is never placed again because several
// servers crashed while they ran it: such an item is sound and still owed.
func TestItemOfAcceptedJobIsPlacedAfterCrashes(t *testing.T) {
	crashes := 0
	b := newDispatchHarness(t, 4, func(a Attempt) AttemptEnd {
		e := broken(a)
		e.Crashed, e.Incarnation = true, fmt.Sprint(crashes)
		crashes++
		return e
	})
	burst := newItem(5, 1)
	b.dispatch.Submit(burst)
	b.dispatch.loop.RunPending()
	b.runPending()
	b.advance(30 * time.Second)
	if crashes < confirmingCrashes {
		t.Fatalf("the servers crashed %d times under the item, want %d or more", crashes, confirmingCrashes)
	}
	b.exchange = completed
	calm := newItem(5, 2)
	b.dispatch.Submit(calm)
	b.dispatch.loop.RunPending()
	b.runPending()
	b.advance(5 * time.Second)
	if e := endOf(calm); e == nil || e.Verdict != core.Ran {
		t.Errorf("after the burst the item ended with %+v, want an answer", e)
	}
}

// Guards against a burst of crashes after which each server runs one item at a time:
// the steps of all trainers would wait for it.
func TestItemsRunTogetherAfterCrash(t *testing.T) {
	b := newDispatchHarness(t, 2, func(a Attempt) AttemptEnd {
		e := broken(a)
		e.Crashed, e.Incarnation = true, "1"
		return e
	})
	for i := range 4 {
		b.dispatch.Submit(newItem(uint64(i), 1))
	}
	b.dispatch.loop.RunPending()
	b.runPending()
	b.exchange = completed
	b.clock.Advance(3 * time.Second)
	b.dispatch.loop.RunPending()
	if len(b.pending) != 4 {
		t.Errorf("%d of 4 items run on 2 servers with 4 slots each", len(b.pending))
	}
}

// Guards against a crashing request that escapes its quarantine because items of jobs
// run beside it.
func TestCrashingRequestBesideItemsIsQuarantined(t *testing.T) {
	f := newCrashingFleet(t)
	for second := range 20 {
		for i := range 5 {
			f.harness.dispatch.Submit(newItem(uint64(1000+i), second))
		}
		f.harness.submit(context.Background(), crashingFingerprint, true)
		f.harness.runPending()
		f.harness.advance(time.Second)
	}
	if f.total > 3 {
		t.Errorf("%d crashes, want at most 3", f.total)
	}
}
