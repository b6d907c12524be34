package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const poison = 666

// fleet lets the poisonous request crash each server that runs it.
type fleet struct {
	bench   *bench
	crashes map[core.ServerID]int
	total   int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{crashes: map[core.ServerID]int{}}
	f.bench = newBench(t, 10, f.exchange)
	return f
}

func (f *fleet) incarnation(id core.ServerID) string { return fmt.Sprint(f.crashes[id]) }

func (f *fleet) exchange(a Attempt) AttemptEnd {
	if a.Context.Err() != nil {
		return broken(a)
	}
	if a.Call.Request.Fingerprint == poison {
		f.total++
		f.crashes[a.Server]++
	}
	if a.Incarnation != f.incarnation(a.Server) {
		e := broken(a)
		e.Crashed, e.Incarnation = true, f.incarnation(a.Server)
		return e
	}
	return answered(a)
}

// Guards against one request that is sent again every second and takes down
// the fleet, and against innocent requests that suffer for it.
func TestPoisonousRequestIsContained(t *testing.T) {
	f := newFleet(t)
	b := f.bench
	var innocent []*core.Call
	for second := range 120 {
		b.submit(context.Background(), poison, true)
		for i := range 8 {
			innocent = append(innocent, b.submit(context.Background(), uint64(1000+second*10+i), true))
		}
		b.run()
		b.advance(time.Second)
	}
	if f.total > 3 {
		t.Fatalf("%d crashes on %d servers, want at most 3", f.total, len(f.crashes))
	}
	for i, c := range innocent {
		if e := end(c); e == nil || e.Verdict != core.Ran {
			t.Errorf("innocent request %d ended with %+v, want an answer", i, e)
		}
	}
	e := end(b.submit(context.Background(), poison, true))
	if e == nil || e.Err.Code != core.CodeQuarantined || e.Verdict != core.NotRun {
		t.Fatalf("the convicted request ended with %+v, want quarantined and not-run", e)
	}
	for _, s := range b.dispatch.health.suspects.Report(b.clock.Now()).Suspects {
		t.Errorf("request %d is still suspected after it finished", s.Fingerprint)
	}
	b.advance(ConvictionDuration)
	s := b.dispatch.health.suspects
	if s.Convicted(poison, b.clock.Now()) != 0 || len(s.convicted)+len(s.suspected) != 0 {
		t.Errorf("after its time the conviction is still held: %+v", s)
	}
}

// Guards against copies of a request that crash one server each, because they
// all started before the first crash.
func TestCopiesInFlightAreStopped(t *testing.T) {
	f := newFleet(t)
	var calls []*core.Call
	for range 8 {
		calls = append(calls, f.bench.submit(context.Background(), poison, true))
	}
	f.bench.run()
	f.bench.advance(10 * time.Second)
	if f.total > 3 {
		t.Fatalf("%d crashes on %d servers, want at most 3", f.total, len(f.crashes))
	}
	for i, c := range calls {
		if e := end(c); e == nil || e.Err.Code != core.CodeQuarantined {
			t.Errorf("copy %d ended with %+v, want quarantined", i, e)
		}
	}
}

// Guards against a false verdict for the copies of a request that ran before
// it was convicted.
func TestVerdictOfConvictedRequestThatRan(t *testing.T) {
	f := newFleet(t)
	call := f.bench.submit(context.Background(), poison, true)
	f.bench.run()
	f.bench.advance(5 * time.Second)
	e := end(call)
	if e == nil || e.Err.Code != core.CodeQuarantined || e.Verdict != core.MayHaveRun {
		t.Fatalf("end %+v, want quarantined and may-have-run", e)
	}
}

// Guards against two suspects on one server, or two copies of one suspect at
// the same time: a crash would then name no cause.
func TestSuspectsRunAlone(t *testing.T) {
	b := newBench(t, 3, answered)
	now := b.clock.Now()
	b.dispatch.health.suspects.Crashed([]uint64{1, 2, 3, 4, 5}, now)
	var calls []*core.Call
	for i := range 10 {
		calls = append(calls, b.submit(context.Background(), uint64(1+i/2), true))
	}
	if len(b.pending) != 3 {
		t.Fatalf("%d suspects run at once on 3 servers, want one on each", len(b.pending))
	}
	for id, s := range b.dispatch.health.servers {
		if len(s.inFlight) != 1 {
			t.Errorf("server %s runs %d suspects, want 1", id, len(s.inFlight))
		}
	}
	for fingerprint, copies := range b.dispatch.health.running {
		if copies != 1 {
			t.Errorf("%d copies of suspect %d run at once, want 1", copies, fingerprint)
		}
	}
	b.run()
	b.advance(time.Second)
	for i, c := range calls {
		if e := end(c); e == nil || e.Verdict != core.Ran {
			t.Errorf("suspect %d ended with %+v, want an answer", i, e)
		}
	}
}

// Guards against several crashes counted for one: each request in flight
// reports the same crash.
func TestOneCrashCountsOnce(t *testing.T) {
	b := newBench(t, 1, func(a Attempt) AttemptEnd {
		e := broken(a)
		e.Crashed = true
		return e
	})
	for i := range 6 {
		b.submit(context.Background(), uint64(1+i%2), false)
	}
	b.run()
	r := b.dispatch.health.suspects.Report(b.clock.Now())
	if len(r.ConfirmedCauses) != 0 || len(r.Suspects) != 2 {
		t.Fatalf("report %+v, want two suspects and no conviction", r)
	}
	for _, s := range r.Suspects {
		if s.CrashesAlone != 0 {
			t.Errorf("request %d has %d crashes alone, want 0", s.Fingerprint, s.CrashesAlone)
		}
	}
}

// Guards against a report of another daemon that is lost, shortens what is
// known, or outlives its time.
func TestMergeConvictions(t *testing.T) {
	b := newBench(t, 2, answered)
	report := SuspectReport{
		ConfirmedCauses: []ConfirmedCause{{Fingerprint: 7, Remaining: time.Hour}},
		Suspects:        []SuspectRequest{{Fingerprint: 8, CrashesAlone: 1, Remaining: time.Minute}},
	}
	b.dispatch.MergeSuspectReport(report)
	b.dispatch.MergeSuspectReport(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 7, Remaining: time.Second}}})
	b.dispatch.loop.RunPending()
	if e := end(b.submit(context.Background(), 7, true)); e == nil || e.Err.Code != core.CodeQuarantined {
		t.Fatalf("end %+v, want quarantined", e)
	}
	s := b.dispatch.health.suspects
	if got := s.Convicted(7, b.clock.Now()); got != ConvictionDuration {
		t.Errorf("the conviction lasts %v, want %v", got, ConvictionDuration)
	}
	s.Crashed([]uint64{8}, b.clock.Now())
	if s.Convicted(8, b.clock.Now()) == 0 {
		t.Error("a crash alone here and one elsewhere did not convict")
	}
}
