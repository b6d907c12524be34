package caller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// booking is a script with one key over two daemons.
type booking struct {
	t    *testing.T
	w    *world
	runs int
}

func (b *booking) call(body string) *core.Call { return newCall(b.w, "c", "book", "k", body) }

// at submits a booking at a daemon and runs the world.
func (b *booking) at(daemon int) *core.Call {
	c := b.call("slot")
	b.w.daemons[daemon].admission.Submit(c)
	b.w.run()
	return c
}

// finish ends the call that the daemon's dispatch holds.
func (b *booking) finish(daemon int, end core.End) {
	b.t.Helper()
	d := b.w.daemons[daemon].dispatch
	if len(d.calls) != 1 {
		b.t.Fatalf("dispatch of daemon %d holds %d calls, want 1", daemon, len(d.calls))
	}
	if end.Verdict == core.Ran || end.Err.Code == mayHaveRunEnd.Err.Code && end.Verdict == core.MayHaveRun {
		b.runs++
	}
	d.take().End(end)
	b.w.run()
	b.w.advance(finishLinger)
}

// kill drops a daemon and puts a new one in its place.
func (b *booking) kill(daemon int) {
	dead := b.w.daemons[daemon].id
	b.w.daemons[daemon] = b.w.newDaemon()
	for _, d := range b.w.daemons {
		d.claims.SetDead(dead)
	}
	b.w.run()
}

// runsOnce books again and lets it run, as proof that the key is free.
func (b *booking) runsOnce(daemon int) {
	b.t.Helper()
	c := b.at(daemon)
	b.w.advance(4 * time.Second)
	b.finish(daemon, ranEnd("booked"))
	wantEnd(b.t, c, core.Ran, "")
}

// Guards against a second run and against a false verdict at each point at
// which the claim, the store, the daemon or the dispatch can fail.
func TestClaimAtEachPointOfFailure(t *testing.T) {
	cases := []struct {
		name   string
		runs   int
		script func(*booking)
	}{
		{"nothing fails", 1, func(b *booking) {
			b.runsOnce(0)
			for d := range b.w.daemons {
				if end := wantEnd(b.t, b.at(d), core.Ran, ""); string(end.Body) != "booked" {
					b.t.Errorf("repeat at daemon %d got %q, want the first answer", d, end.Body)
				}
			}
		}},
		{"store takes no operation", 1, func(b *booking) {
			b.w.store.refuse = true
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeUnavailable)
			b.w.store.refuse = false
			b.runsOnce(0)
		}},
		{"read fails", 1, func(b *booking) {
			b.w.store.fault = func(platform.Op) storeFault { return faultUnavailable }
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeUnavailable)
			b.w.store.onPuts()
			b.runsOnce(0)
		}},
		{"write fails", 1, func(b *booking) {
			b.w.store.onPuts(faultUnavailable)
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeUnavailable)
			b.runsOnce(1)
		}},
		{"write is reported as failed and takes effect later", 1, func(b *booking) {
			b.w.store.onPuts(faultLate)
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeUnavailable)
			b.w.advance(time.Second)
			b.w.store.applyLate()
			b.runsOnce(1)
		}},
		{"write is reported as failed and has taken effect", 1, func(b *booking) {
			b.w.store.onPuts(faultLate)
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeUnavailable)
			b.w.store.applyLate()
			b.runsOnce(1)
		}},
		{"answer to the write is lost after the change", 1, func(b *booking) {
			b.w.store.onPuts(faultLostAfter)
			b.runsOnce(0)
			wantEnd(b.t, b.at(1), core.Ran, "")
		}},
		{"answer to the write is lost before the change", 1, func(b *booking) {
			b.w.store.onPuts(faultLostBefore)
			b.runsOnce(0)
			wantEnd(b.t, b.at(1), core.Ran, "")
		}},
		{"write with lost answer takes effect after the retry", 1, func(b *booking) {
			b.w.store.onPuts(faultLostLate)
			b.runsOnce(0)
			b.w.store.applyLate()
			wantEnd(b.t, b.at(1), core.Ran, "")
		}},
		{"store never answers", 0, func(b *booking) {
			b.w.store.onPuts(faultNeverAnswers)
			c := b.at(0)
			b.w.advance(11 * time.Second)
			wantEnd(b.t, c, core.NotRun, core.CodeDeadline)
		}},
		{"deadline passes while the claim is written", 1, func(b *booking) {
			c := b.call("slot")
			d := b.w.daemons[0]
			d.admission.Submit(c)
			d.step()
			b.w.store.deliver(0) // the read
			d.step()
			b.w.clock.Advance(11 * time.Second)
			d.step()
			wantEnd(b.t, c, core.NotRun, core.CodeDeadline)
			b.w.run()
			b.runsOnce(1)
		}},
		{"another daemon writes the bucket first", 1, func(b *booking) {
			first, second := b.call("slot"), b.call("slot")
			b.w.daemons[0].admission.Submit(first)
			b.w.daemons[1].admission.Submit(second)
			b.w.run()
			b.finish(0, ranEnd("booked"))
			b.w.advance(4 * time.Second)
			wantEnd(b.t, first, core.Ran, "")
			wantEnd(b.t, second, core.Ran, "")
		}},
		{"dispatch takes no call", 1, func(b *booking) {
			b.w.daemons[0].dispatch.refuse = true
			wantEnd(b.t, b.at(0), core.NotRun, core.CodeOverloaded)
			b.runsOnce(1)
		}},
		{"attempt is proven not run", 1, func(b *booking) {
			c := b.at(0)
			b.finish(0, notRunEnd)
			wantEnd(b.t, c, core.NotRun, core.CodeBroken)
			b.runsOnce(1)
		}},
		{"release fails for a time", 1, func(b *booking) {
			c := b.at(0)
			b.w.store.onPuts(faultUnavailable, faultLostBefore, faultLostAfter)
			b.finish(0, notRunEnd)
			wantEnd(b.t, c, core.NotRun, core.CodeBroken)
			b.runsOnce(1)
		}},
		{"attempt may have run", 1, func(b *booking) {
			c := b.at(0)
			b.finish(0, mayHaveRunEnd)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeBroken)
			wantEnd(b.t, b.at(0), core.MayHaveRun, core.CodeAlreadyStarted)
			wantEnd(b.t, b.at(1), core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"done write fails for a time", 1, func(b *booking) {
			first := b.at(0)
			b.w.store.onPuts(faultUnavailable, faultLostBefore, faultUnavailable, faultLostAfter)
			b.finish(0, ranEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
			here, there := b.at(0), b.at(1)
			wantEnd(b.t, here, core.Ran, "")
			wantOpen(b.t, there)
			b.w.advance(6 * time.Second)
			wantEnd(b.t, there, core.Ran, "")
		}},
		{"daemon dies before it sends", 0, func(b *booking) {
			b.w.daemons[0].admission.Submit(b.call("slot"))
			for len(b.w.store.objects) == 0 {
				b.w.daemons[0].step()
				b.w.store.deliver(0)
			}
			b.kill(0)
			wantEnd(b.t, b.at(0), core.MayHaveRun, core.CodeAlreadyStarted)
			wantEnd(b.t, b.at(1), core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies while the call runs", 1, func(b *booking) {
			b.at(0)
			b.runs++
			waiting := b.at(1)
			wantOpen(b.t, waiting)
			b.kill(0)
			b.w.advance(3 * time.Second)
			wantEnd(b.t, waiting, core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies and no one notices", 1, func(b *booking) {
			b.at(0)
			b.runs++
			b.w.daemons[0] = b.w.newDaemon()
			c := b.at(1)
			b.w.advance(11 * time.Second)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies after the answer is stored", 1, func(b *booking) {
			b.runsOnce(0)
			b.kill(0)
			wantEnd(b.t, b.at(0), core.Ran, "")
			wantEnd(b.t, b.at(1), core.Ran, "")
		}},
		{"store fails while a repeat waits for another daemon", 1, func(b *booking) {
			b.at(0)
			c := b.at(1)
			b.w.store.fault = func(platform.Op) storeFault { return faultUnavailable }
			b.w.advance(3 * time.Second)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeAlreadyStarted)
			b.finish(0, ranEnd("booked"))
		}},
		{"repeat at the same daemon waits for the first", 1, func(b *booking) {
			first, repeat := b.at(0), b.at(0)
			wantOpen(b.t, first, repeat)
			b.finish(0, ranEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
			wantEnd(b.t, repeat, core.Ran, "")
		}},
		{"repeat at the same daemon follows a proven refusal", 1, func(b *booking) {
			first, repeat := b.at(0), b.at(0)
			b.finish(0, notRunEnd)
			wantEnd(b.t, first, core.NotRun, core.CodeBroken)
			b.finish(0, ranEnd("booked"))
			wantEnd(b.t, repeat, core.Ran, "")
		}},
		{"same key with other content", 1, func(b *booking) {
			first := b.at(0)
			for d := range b.w.daemons {
				other := b.call("another slot")
				b.w.daemons[d].admission.Submit(other)
				b.w.run()
				wantEnd(b.t, other, core.NotRun, core.CodeConflict)
			}
			b.finish(0, ranEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
		}},
		{"answer is too large to keep", 1, func(b *booking) {
			first := b.at(0)
			b.finish(0, ranEnd(strings.Repeat("x", MaxStoredAnswer+1)))
			wantEnd(b.t, first, core.Ran, "")
			if end := wantEnd(b.t, b.at(1), core.Ran, core.CodeAlreadyStarted); !strings.Contains(end.Err.Reason, "SHA-256") {
				b.t.Errorf("reason %q has no digest", end.Err.Reason)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &booking{t: t, w: newWorld(2, 1, contractOf("c", core.Limits{}))}
			c.script(b)
			if b.runs != c.runs {
				t.Errorf("the booking ran %d times, want %d", b.runs, c.runs)
			}
		})
	}
}

// Guards against claims that are dropped for space or too early, and against
// buckets above the limit of the object API.
func TestClaimSetBounds(t *testing.T) {
	s := newClaimSet()
	now := testStart
	add := func(i int, state claimState, body int) bool {
		c := &storedClaim{Key: fmt.Sprint("key-", i), ID: fmt.Sprint(i), State: state, StartedMs: now.UnixMilli(), Body: make([]byte, body)}
		if err := c.encode(); err != nil {
			t.Fatal(err)
		}
		fits := s.fit(len(c.encoded) + 1)
		if fits {
			s.put(c)
		}
		return fits
	}
	n := 0
	for add(n, claimDone, 4<<10) && n < 1000 {
		n++
	}
	for add(n, claimStarted, 0) {
		n++
	}
	if value := s.encode(); len(value) > platform.MaxValueBytes || len(s.claims) != n {
		t.Fatalf("bucket has %d bytes and %d claims, want at most %d and %d", len(value), len(s.claims), platform.MaxValueBytes, n)
	}
	read, err := decodeClaimSet(s.encode())
	if err != nil || len(read.claims) != n || read.bytes != s.bytes {
		t.Fatalf("read back %d claims, %d bytes, error %v, want %d and %d", len(read.claims), read.bytes, err, n, s.bytes)
	}
	s.prune(now.Add(ClaimRetention))
	if len(s.claims) != n {
		t.Fatalf("%d of %d claims are left at the end of the retention, want all", len(s.claims), n)
	}
	s.prune(now.Add(ClaimRetention + retentionMargin + time.Second))
	if len(s.claims) != 0 || s.bytes != 0 {
		t.Fatalf("%d claims and %d bytes are left after the retention, want none", len(s.claims), s.bytes)
	}
}

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
		d.admission.Loop().Step()
	case n < 43:
		d.claims.Loop().Step()
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
			d.claims.SetDead(dead.id)
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
