package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

const claimSeeds = 200

// Guards against a second run and a false verdict under any order of lost
// answers, late writes, outages, deaths and repeats.
func TestClaimsUnderRandomFaults(t *testing.T) {
	t.Logf("seeds 1 to %d", claimSeeds)
	for seed := uint64(1); seed <= claimSeeds; seed++ {
		f := newFaultRun(t, seed)
		for range 400 {
			f.act()
		}
		f.heal()
		f.check()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

type submission struct {
	daemon *testDaemon
	ran    bool
	end    *core.End
}

type faultRun struct {
	t      *testing.T
	w      *world
	random *rand.Rand
	calls  map[*core.Call]*submission
	order  []*core.Call
	bodies map[string]string // answers by key
	runs   map[string]int
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	f := &faultRun{
		t: t, w: newWorld(3, seed, contractOf("c", core.Limits{})), random: rand.New(rand.NewPCG(seed, 3)),
		calls: map[*core.Call]*submission{}, bodies: map[string]string{}, runs: map[string]int{},
	}
	f.w.store.fault = func(platform.Op) storeFault {
		if f.random.IntN(3) > 0 {
			return faultNone
		}
		return storeFault(f.random.IntN(faultCount))
	}
	return f
}

func (f *faultRun) act() {
	d := f.w.daemons[f.random.IntN(len(f.w.daemons))]
	switch n := f.random.IntN(100); {
	case n < 15:
		c := newCall(f.w, "c", "book", fmt.Sprint("k", f.random.IntN(6)), fmt.Sprint("content", f.random.IntN(12)/11))
		s := &submission{daemon: d}
		c.OnEnd = func(_ *core.Call, end core.End) { s.end = &end }
		f.calls[c] = s
		f.order = append(f.order, c)
		d.admission.Submit(c)
	case n < 30:
		d.admission.Loop().RunPending()
	case n < 43:
		d.claims.Loop().RunPending()
	case n < 45:
		f.leave()
	case n < 65 && len(f.w.store.queue) > 0:
		f.w.store.deliver(f.random.IntN(len(f.w.store.queue)))
	case n < 75:
		f.runOne(d)
	case n < 90:
		f.w.clock.Advance(time.Duration(f.random.IntN(800)) * time.Millisecond)
	case n < 94:
		f.w.store.applyLate()
	case n < 96:
		d.dispatch.refuse = !d.dispatch.refuse
	case n < 97:
		f.w.store.refuse = !f.w.store.refuse
	case n < 98:
		f.kill(f.random.IntN(len(f.w.daemons)))
	}
}

// leave lets the caller of one call go away.
func (f *faultRun) leave() {
	if len(f.order) == 0 {
		return
	}
	c := f.order[f.random.IntN(len(f.order))]
	if s := f.calls[c]; s != nil {
		if e := s.daemon.admission.active[keyOfRequest(c.Request)]; e != nil {
			s.daemon.admission.handleGone(e)
		}
	}
}

// runOne lets a backend server take one call, with any outcome.
func (f *faultRun) runOne(d *testDaemon) {
	if len(d.dispatch.calls) == 0 {
		return
	}
	c := d.dispatch.take()
	switch f.random.IntN(4) {
	case 0:
		c.End(notRunEnd)
	case 1:
		c.End(mayHaveRunEnd)
	case 2:
		f.ran(c)
		c.End(mayHaveRunEnd)
	default:
		c.End(ranEnd(f.ran(c)))
	}
}

func (f *faultRun) ran(c *core.Call) string {
	key := c.Request.IdempotencyKey
	f.runs[key]++
	f.calls[c].ran = true
	f.bodies[key] = "answer to " + string(c.Request.ID)
	return f.bodies[key]
}

// kill ends a daemon. Calls that its dispatch holds may run all the same.
func (f *faultRun) kill(i int) {
	dead := f.w.daemons[i]
	for _, c := range dead.dispatch.calls {
		if f.random.IntN(2) == 0 {
			f.ran(c)
		}
	}
	dead.dispatch.calls = nil
	for c, s := range f.calls {
		if s.daemon == dead && s.end == nil {
			delete(f.calls, c)
		}
	}
	f.w.daemons[i] = f.w.newDaemon()
	if f.random.IntN(2) == 0 {
		for _, d := range f.w.daemons {
			d.claims.MarkDaemonDead(dead.id)
		}
	}
}

// heal ends all faults and lets every call come to its end.
func (f *faultRun) heal() {
	f.w.store.refuse = false
	f.w.store.onPuts()
	f.w.store.applyLate()
	for range 40 {
		f.w.advance(500 * time.Millisecond)
		for _, d := range f.w.daemons {
			d.dispatch.refuse = false
			f.runOne(d)
		}
	}
	f.w.run()
}

func (f *faultRun) check() {
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
		case end.Verdict == core.NotRun && s.ran:
			f.t.Errorf("request %s ran and was answered not run", c.Request.ID)
		case end.Verdict == core.Ran && string(end.Body) != f.bodies[c.Request.IdempotencyKey]:
			f.t.Errorf("request %s got %q, want %q", c.Request.ID, end.Body, f.bodies[c.Request.IdempotencyKey])
		}
	}
	for _, d := range f.w.daemons {
		if n := len(d.admission.local); n != 0 || d.admission.inFlight != 0 || d.runningCalls() != 0 {
			f.t.Errorf("%s keeps %d claims, %d calls and %d slots", d.id, n, d.admission.inFlight, d.runningCalls())
		}
	}
}
