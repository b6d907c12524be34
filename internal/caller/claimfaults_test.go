package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

const claimSeedCount = 200

// Guards against a second run and against a wrong verdict under random sequences of
// lost replies, delayed writes, outages, daemon failures and repeats.
func TestClaimsUnderRandomFaults(t *testing.T) {
	t.Logf("seeds 1 to %d", claimSeedCount)
	for seed := uint64(1); seed <= claimSeedCount; seed++ {
		f := newFaultRun(t, seed)
		for range 400 {
			f.doRandomAction()
		}
		f.stopFaults()
		f.checkResults()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

type submission struct {
	daemon *testDaemon
	hasRun bool
	end    *core.End
}

type faultRun struct {
	t         *testing.T
	cluster   *testCluster
	random    *rand.Rand
	calls     map[*core.Call]*submission
	submitted []*core.Call
	answers   map[string]string // by idempotency key
	runs      map[string]int
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	f := &faultRun{
		t: t, cluster: newTestCluster(3, seed, newContract("c", core.Limits{})), random: rand.New(rand.NewPCG(seed, 3)),
		calls: map[*core.Call]*submission{}, answers: map[string]string{}, runs: map[string]int{},
	}
	f.cluster.store.faultFor = func(platform.Op) storeFault {
		if f.random.IntN(3) > 0 {
			return faultNone
		}
		return storeFault(f.random.IntN(faultCount))
	}
	return f
}

func (f *faultRun) doRandomAction() {
	d := f.cluster.daemons[f.random.IntN(len(f.cluster.daemons))]
	switch n := f.random.IntN(100); {
	case n < 15:
		c := newCall(f.cluster, "c", "book", fmt.Sprint("k", f.random.IntN(6)), fmt.Sprint("content", f.random.IntN(12)/11))
		s := &submission{daemon: d}
		c.OnEnd = func(_ *core.Call, end core.End) { s.end = &end }
		f.calls[c] = s
		f.submitted = append(f.submitted, c)
		d.admission.Submit(c)
	case n < 30:
		d.admission.Loop().RunPending()
	case n < 43:
		d.claims.Loop().RunPending()
	case n < 45:
		f.cancelRandomCall()
	case n < 65 && len(f.cluster.store.queue) > 0:
		f.cluster.store.deliver(f.random.IntN(len(f.cluster.store.queue)))
	case n < 75:
		f.runOldestCall(d)
	case n < 90:
		f.cluster.clock.Advance(time.Duration(f.random.IntN(800)) * time.Millisecond)
	case n < 94:
		f.cluster.store.executeDelayed()
	case n < 96:
		d.dispatch.rejectsAll = !d.dispatch.rejectsAll
	case n < 97:
		f.cluster.store.rejectsAll = !f.cluster.store.rejectsAll
	case n < 98:
		f.replaceDaemon(f.random.IntN(len(f.cluster.daemons)))
	}
}

// cancelRandomCall cancels a call as if its caller had disconnected.
func (f *faultRun) cancelRandomCall() {
	if len(f.submitted) == 0 {
		return
	}
	c := f.submitted[f.random.IntN(len(f.submitted))]
	if s := f.calls[c]; s != nil {
		if active := s.daemon.admission.activeCalls[requestKeyOf(c.Request)]; active != nil {
			s.daemon.admission.cancelUnsent(active)
		}
	}
}

// runOldestCall ends the oldest call at the daemon's dispatch with a random outcome.
func (f *faultRun) runOldestCall(d *testDaemon) {
	if len(d.dispatch.calls) == 0 {
		return
	}
	c := d.dispatch.removeOldest()
	switch f.random.IntN(4) {
	case 0:
		c.End(notRunEnd)
	case 1:
		c.End(mayHaveRunEnd)
	case 2:
		f.recordRun(c)
		c.End(mayHaveRunEnd)
	default:
		c.End(newRanEnd(f.recordRun(c)))
	}
}

func (f *faultRun) recordRun(c *core.Call) string {
	key := c.Request.IdempotencyKey
	f.runs[key]++
	f.calls[c].hasRun = true
	f.answers[key] = "answer to " + string(c.Request.ID)
	return f.answers[key]
}

// replaceDaemon replaces a daemon by a new one. Calls at its dispatch may still run.
func (f *faultRun) replaceDaemon(i int) {
	dead := f.cluster.daemons[i]
	for _, c := range dead.dispatch.calls {
		if f.random.IntN(2) == 0 {
			f.recordRun(c)
		}
	}
	dead.dispatch.calls = nil
	for c, s := range f.calls {
		if s.daemon == dead && s.end == nil {
			delete(f.calls, c)
		}
	}
	f.cluster.daemons[i] = f.cluster.newDaemon()
	if f.random.IntN(2) == 0 {
		for _, d := range f.cluster.daemons {
			d.claims.MarkDaemonDead(dead.id)
		}
	}
}

// stopFaults ends all faults and lets every call end.
func (f *faultRun) stopFaults() {
	f.cluster.store.rejectsAll = false
	f.cluster.store.setPutFaults()
	f.cluster.store.executeDelayed()
	for range 40 {
		f.cluster.advanceClock(500 * time.Millisecond)
		for _, d := range f.cluster.daemons {
			d.dispatch.rejectsAll = false
			f.runOldestCall(d)
		}
	}
	f.cluster.runUntilIdle()
}

func (f *faultRun) checkResults() {
	for key, runs := range f.runs {
		if runs > 1 {
			f.t.Errorf("key %s ran %d times", key, runs)
		}
	}
	for c, s := range f.calls {
		end := s.end
		switch {
		case end == nil:
			f.t.Errorf("request %s has not ended", c.Request.ID)
		case end.Verdict == core.NotRun && s.hasRun:
			f.t.Errorf("request %s ran and was answered not run", c.Request.ID)
		case end.Verdict == core.Ran && string(end.Body) != f.answers[c.Request.IdempotencyKey]:
			f.t.Errorf("request %s got %q, want %q", c.Request.ID, end.Body, f.answers[c.Request.IdempotencyKey])
		}
	}
	for _, d := range f.cluster.daemons {
		if n := len(d.admission.localClaims); n != 0 || d.admission.inFlightCalls != 0 || d.runningCalls() != 0 {
			f.t.Errorf("%s has %d claims, %d calls and %d slots left", d.id, n, d.admission.inFlightCalls, d.runningCalls())
		}
	}
}
