package caller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// bookingScript submits calls with one idempotency key to two daemons and counts
// how often the booking runs.
type bookingScript struct {
	t       *testing.T
	cluster *testCluster
	runs    int
}

func (b *bookingScript) newCall(body string) *core.Call {
	return newCall(b.cluster, "c", "book", "k", body)
}

// submitAt submits the booking to a daemon and runs the cluster until it is idle.
func (b *bookingScript) submitAt(daemon int) *core.Call {
	c := b.newCall("slot")
	b.cluster.daemons[daemon].admission.Submit(c)
	b.cluster.runUntilIdle()
	return c
}

// endAt ends the only call at the daemon's dispatch.
func (b *bookingScript) endAt(daemon int, end core.End) {
	b.t.Helper()
	d := b.cluster.daemons[daemon].dispatch
	if len(d.calls) != 1 {
		b.t.Fatalf("dispatch of daemon %d holds %d calls, want 1", daemon, len(d.calls))
	}
	if end.Verdict == core.Ran || end.Err.Code == mayHaveRunEnd.Err.Code && end.Verdict == core.MayHaveRun {
		b.runs++
	}
	d.removeOldest().End(end)
	b.cluster.runUntilIdle()
	b.cluster.advanceClock(outcomeWriteDelay)
}

// replaceDaemon replaces a daemon by a new one and reports the old one as dead.
func (b *bookingScript) replaceDaemon(daemon int) {
	dead := b.cluster.daemons[daemon].id
	b.cluster.daemons[daemon] = b.cluster.newDaemon()
	for _, d := range b.cluster.daemons {
		d.claims.MarkDaemonDead(dead)
	}
	b.cluster.runUntilIdle()
}

// submitAndRun submits the booking again and runs it, which fails unless the key is
// free.
func (b *bookingScript) submitAndRun(daemon int) {
	b.t.Helper()
	c := b.submitAt(daemon)
	b.cluster.advanceClock(4 * time.Second)
	b.endAt(daemon, newRanEnd("booked"))
	wantEnd(b.t, c, core.Ran, "")
}

// Guards against a second run and against a wrong verdict after a failure at each
// point at which the claim, the store, the daemon or dispatch can fail.
func TestClaimAtEachPointOfFailure(t *testing.T) {
	cases := []struct {
		name   string
		runs   int
		script func(*bookingScript)
	}{
		{"nothing fails", 1, func(b *bookingScript) {
			b.submitAndRun(0)
			for d := range b.cluster.daemons {
				if end := wantEnd(b.t, b.submitAt(d), core.Ran, ""); string(end.Body) != "booked" {
					b.t.Errorf("repeat at daemon %d got %q, want the first answer", d, end.Body)
				}
			}
		}},
		{"store accepts no operation", 1, func(b *bookingScript) {
			b.cluster.store.rejectsAll = true
			wantEnd(b.t, b.submitAt(0), core.NotRun, core.CodeUnavailable)
			b.cluster.store.rejectsAll = false
			b.submitAndRun(0)
		}},
		{"read fails", 1, func(b *bookingScript) {
			b.cluster.store.faultFor = func(platform.Op) storeFault { return faultUnavailable }
			wantEnd(b.t, b.submitAt(0), core.NotRun, core.CodeUnavailable)
			b.cluster.store.setPutFaults()
			b.submitAndRun(0)
		}},
		{"write reported as failed takes effect later", 1, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultErrorThenExecuted)
			wantEnd(b.t, b.submitAt(0), core.NotRun, core.CodeUnavailable)
			b.cluster.advanceClock(time.Second)
			b.cluster.store.executeDelayed()
			b.submitAndRun(1)
		}},
		{"write reported as failed took effect", 1, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultErrorThenExecuted)
			wantEnd(b.t, b.submitAt(0), core.NotRun, core.CodeUnavailable)
			b.cluster.store.executeDelayed()
			b.submitAndRun(1)
		}},
		{"reply to the write is lost after the change", 1, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultExecutedReplyLost)
			b.submitAndRun(0)
			wantEnd(b.t, b.submitAt(1), core.Ran, "")
		}},
		{"reply to the write is lost before the change", 1, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultDroppedReplyLost)
			b.submitAndRun(0)
			wantEnd(b.t, b.submitAt(1), core.Ran, "")
		}},
		{"write with lost reply takes effect after the retry", 1, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultReplyLostThenExecuted)
			b.submitAndRun(0)
			b.cluster.store.executeDelayed()
			wantEnd(b.t, b.submitAt(1), core.Ran, "")
		}},
		{"store never answers", 0, func(b *bookingScript) {
			b.cluster.store.setPutFaults(faultNeverAnswers)
			c := b.submitAt(0)
			b.cluster.advanceClock(11 * time.Second)
			wantEnd(b.t, c, core.NotRun, core.CodeDeadline)
		}},
		{"deadline passes while the claim is written", 1, func(b *bookingScript) {
			c := b.newCall("slot")
			d := b.cluster.daemons[0]
			d.admission.Submit(c)
			d.runPending()
			b.cluster.store.deliver(0) // the read
			d.runPending()
			b.cluster.clock.Advance(11 * time.Second)
			d.runPending()
			wantEnd(b.t, c, core.NotRun, core.CodeDeadline)
			b.cluster.runUntilIdle()
			b.submitAndRun(1)
		}},
		{"another daemon writes the bucket first", 1, func(b *bookingScript) {
			first, second := b.newCall("slot"), b.newCall("slot")
			b.cluster.daemons[0].admission.Submit(first)
			b.cluster.daemons[1].admission.Submit(second)
			b.cluster.runUntilIdle()
			b.endAt(0, newRanEnd("booked"))
			b.cluster.advanceClock(4 * time.Second)
			wantEnd(b.t, first, core.Ran, "")
			wantEnd(b.t, second, core.Ran, "")
		}},
		{"dispatch accepts no call", 1, func(b *bookingScript) {
			b.cluster.daemons[0].dispatch.rejectsAll = true
			wantEnd(b.t, b.submitAt(0), core.NotRun, core.CodeOverloaded)
			b.submitAndRun(1)
		}},
		{"release fails temporarily", 1, func(b *bookingScript) {
			c := b.submitAt(0)
			b.cluster.store.setPutFaults(faultUnavailable, faultDroppedReplyLost, faultExecutedReplyLost)
			b.endAt(0, notRunEnd)
			wantEnd(b.t, c, core.NotRun, core.CodeBackendFailure)
			b.submitAndRun(1)
		}},
		{"attempt may have run", 1, func(b *bookingScript) {
			c := b.submitAt(0)
			b.endAt(0, mayHaveRunEnd)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeBackendFailure)
			wantEnd(b.t, b.submitAt(0), core.MayHaveRun, core.CodeAlreadyStarted)
			wantEnd(b.t, b.submitAt(1), core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"write of the outcome fails temporarily", 1, func(b *bookingScript) {
			first := b.submitAt(0)
			b.cluster.store.setPutFaults(faultUnavailable, faultDroppedReplyLost, faultUnavailable, faultExecutedReplyLost)
			b.endAt(0, newRanEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
			here, there := b.submitAt(0), b.submitAt(1)
			wantEnd(b.t, here, core.Ran, "")
			wantNotEnded(b.t, there)
			b.cluster.advanceClock(6 * time.Second)
			wantEnd(b.t, there, core.Ran, "")
		}},
		{"daemon dies before it sends", 0, func(b *bookingScript) {
			b.cluster.daemons[0].admission.Submit(b.newCall("slot"))
			for len(b.cluster.store.objects) == 0 {
				b.cluster.daemons[0].runPending()
				b.cluster.store.deliver(0)
			}
			b.replaceDaemon(0)
			wantEnd(b.t, b.submitAt(0), core.MayHaveRun, core.CodeAlreadyStarted)
			wantEnd(b.t, b.submitAt(1), core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies while the call runs", 1, func(b *bookingScript) {
			b.submitAt(0)
			b.runs++
			waiting := b.submitAt(1)
			wantNotEnded(b.t, waiting)
			b.replaceDaemon(0)
			b.cluster.advanceClock(3 * time.Second)
			wantEnd(b.t, waiting, core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies and is not reported as dead", 1, func(b *bookingScript) {
			b.submitAt(0)
			b.runs++
			b.cluster.daemons[0] = b.cluster.newDaemon()
			c := b.submitAt(1)
			b.cluster.advanceClock(11 * time.Second)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeAlreadyStarted)
		}},
		{"daemon dies after the answer is stored", 1, func(b *bookingScript) {
			b.submitAndRun(0)
			b.replaceDaemon(0)
			wantEnd(b.t, b.submitAt(0), core.Ran, "")
			wantEnd(b.t, b.submitAt(1), core.Ran, "")
		}},
		{"store fails while a repeat waits for another daemon", 1, func(b *bookingScript) {
			b.submitAt(0)
			c := b.submitAt(1)
			b.cluster.store.faultFor = func(platform.Op) storeFault { return faultUnavailable }
			b.cluster.advanceClock(3 * time.Second)
			wantEnd(b.t, c, core.MayHaveRun, core.CodeAlreadyStarted)
			b.endAt(0, newRanEnd("booked"))
		}},
		{"repeat at the same daemon waits for the first", 1, func(b *bookingScript) {
			first, repeat := b.submitAt(0), b.submitAt(0)
			wantNotEnded(b.t, first, repeat)
			b.endAt(0, newRanEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
			wantEnd(b.t, repeat, core.Ran, "")
		}},
		{"repeat at the same daemon runs after a rejected first call", 1, func(b *bookingScript) {
			first, repeat := b.submitAt(0), b.submitAt(0)
			b.endAt(0, notRunEnd)
			wantEnd(b.t, first, core.NotRun, core.CodeBackendFailure)
			b.endAt(0, newRanEnd("booked"))
			wantEnd(b.t, repeat, core.Ran, "")
		}},
		{"same key with other content", 1, func(b *bookingScript) {
			first := b.submitAt(0)
			for d := range b.cluster.daemons {
				other := b.newCall("another slot")
				b.cluster.daemons[d].admission.Submit(other)
				b.cluster.runUntilIdle()
				wantEnd(b.t, other, core.NotRun, core.CodeConflict)
			}
			b.endAt(0, newRanEnd("booked"))
			wantEnd(b.t, first, core.Ran, "")
		}},
		{"answer is too large to store", 1, func(b *bookingScript) {
			first := b.submitAt(0)
			b.endAt(0, newRanEnd(strings.Repeat("x", MaxStoredAnswerBytes+1)))
			wantEnd(b.t, first, core.Ran, "")
			if end := wantEnd(b.t, b.submitAt(1), core.Ran, core.CodeAlreadyStarted); !strings.Contains(end.Err.Reason, "SHA-256") {
				b.t.Errorf("reason %q has no digest", end.Err.Reason)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &bookingScript{t: t, cluster: newTestCluster(2, 1, newContract("c", core.Limits{}))}
			c.script(b)
			if b.runs != c.runs {
				t.Errorf("the booking ran %d times, want %d", b.runs, c.runs)
			}
		})
	}
}

// Guards against a repeat that is never sent because its service was removed with
// the contract while it waited for the first call.
func TestRepeatOutlivesItsContract(t *testing.T) {
	for daemon := range 2 {
		b := &bookingScript{t: t, cluster: newTestCluster(2, 1, newContract("c", core.Limits{}))}
		first, repeat := b.submitAt(0), b.submitAt(daemon)
		for _, d := range b.cluster.daemons {
			d.admission.SetContracts(&core.ContractSet{})
		}
		b.cluster.runUntilIdle()
		b.endAt(0, notRunEnd)
		wantEnd(t, first, core.NotRun, core.CodeBackendFailure)
		b.cluster.advanceClock(4 * time.Second)
		b.endAt(daemon, newRanEnd("booked"))
		wantEnd(t, repeat, core.Ran, "")
		if n := b.cluster.daemons[daemon].runningCalls(); n != 0 {
			t.Errorf("daemon %d has %d occupied slots left", daemon, n)
		}
	}
}

// Guards against removing claims for space or too early, and against buckets above
// the size limit of the object API.
func TestClaimSetBounds(t *testing.T) {
	s := newClaimSet()
	now := testStart
	add := func(i int, state claimState, body int) bool {
		c := &storedClaim{Key: fmt.Sprint("key-", i), ID: fmt.Sprint(i), State: state, StartedMs: now.UnixMilli(), Body: make([]byte, body)}
		if err := c.encode(); err != nil {
			t.Fatal(err)
		}
		fits := s.makeRoom(len(c.encoded) + 1)
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
	s.removeExpired(now.Add(ClaimRetention))
	if len(s.claims) != n {
		t.Fatalf("%d of %d claims are left when the retention ends, want all", len(s.claims), n)
	}
	s.removeExpired(now.Add(ClaimRetention + retentionMargin + time.Second))
	if len(s.claims) != 0 || s.bytes != 0 {
		t.Fatalf("%d claims and %d bytes are left after the retention, want none", len(s.claims), s.bytes)
	}
}
