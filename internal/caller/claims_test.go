package caller

import (
	"fmt"
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
		d.claims.MarkDaemonDead(dead)
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
		{"release fails for a time", 1, func(b *booking) {
			c := b.at(0)
			b.w.store.onPuts(faultUnavailable, faultLostBefore, faultLostAfter)
			b.finish(0, notRunEnd)
			wantEnd(b.t, c, core.NotRun, core.CodeBackendFailure)
			b.runsOnce(1)
		}},
		{"attempt may have run", 1, func(b *booking) {
			c := b.at(0)
			b.finish(0, mayHaveRunEnd)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeBackendFailure)
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
			wantEnd(b.t, first, core.NotRun, core.CodeBackendFailure)
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
			b.finish(0, ranEnd(strings.Repeat("x", MaxStoredAnswerBytes+1)))
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

// Guards against a repeat that is never sent because its service was forgotten
// with the contract while it waited for the first call.
func TestRepeatOutlivesItsContract(t *testing.T) {
	for daemon := range 2 {
		b := &booking{t: t, w: newWorld(2, 1, contractOf("c", core.Limits{}))}
		first, repeat := b.at(0), b.at(daemon)
		for _, d := range b.w.daemons {
			d.admission.SetContracts(&core.ContractSet{})
		}
		b.w.run()
		b.finish(0, notRunEnd)
		wantEnd(t, first, core.NotRun, core.CodeBackendFailure)
		b.w.advance(4 * time.Second)
		b.finish(daemon, ranEnd("booked"))
		wantEnd(t, repeat, core.Ran, "")
		if n := b.w.daemons[daemon].runningCalls(); n != 0 {
			t.Errorf("daemon %d keeps %d slots", daemon, n)
		}
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
