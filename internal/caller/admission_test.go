package caller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// eventLimit is a generous bound on events of other goroutines.
const eventLimit = 30 * time.Second

func (w *world) first() *testDaemon { return w.daemons[0] }

// end lets the first daemon's dispatch end its oldest call.
func (w *world) end(e core.End) *core.Call {
	c := w.first().dispatch.take()
	c.End(e)
	w.run()
	return c
}

func wantSent(t *testing.T, w *world, want int) {
	t.Helper()
	if got := len(w.first().dispatch.calls); got != want {
		t.Fatalf("dispatch holds %d calls, want %d", got, want)
	}
}

func wantRetryAfter(t *testing.T, end *core.End) {
	t.Helper()
	if end.Err.RetryAfter <= 0 {
		t.Errorf("refusal %v has no time for a retry", end.Err)
	}
}

// Guards against more requests per second than the contract allows, and against
// a bucket that does not fill again.
func TestRequestRate(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{RequestsPerSecond: 2}))
	for range 2 {
		w.submit(lookCall(w, "c", ""))
	}
	refused := lookCall(w, "c", "")
	w.submit(refused)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeLimited))
	w.advance(500 * time.Millisecond)
	w.submit(lookCall(w, "c", ""))
	wantSent(t, w, 3)
}

// Guards against tokens that are reserved and not given back, and against a
// request larger than the bucket that never runs.
func TestTokenRate(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{TokensPerSecond: 100}))
	w.submit(modelCall(w, "c", 80))
	refused := modelCall(w, "c", 80)
	w.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeLimited)

	c := w.first().dispatch.calls[0]
	c.Answer.Append(context.Background(), core.Chunk{Attempt: 1, Tokens: make([]int32, 10)})
	w.end(core.End{Verdict: core.Ran})
	w.submit(modelCall(w, "c", 80)) // 90 are left
	wantSent(t, w, 1)
	w.end(notRunEnd) // all 80 come back

	w.advance(time.Second)
	w.submit(modelCall(w, "c", 250))
	wantSent(t, w, 1)
	w.advance(time.Second)
	inDebt := modelCall(w, "c", 1)
	w.submit(inDebt)
	wantEnd(t, inDebt, core.NotRun, core.CodeLimited)
	w.advance(time.Second)
	w.submit(modelCall(w, "c", 1))
	wantSent(t, w, 2)
}

// Guards against use of an expired grant, against falling back to the whole
// contract after it, and against starting work above a limit that has shrunk.
func TestLimitShares(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{Concurrency: 8}))
	a := w.first().admission
	submit := func(n int) {
		for range n {
			w.submit(lookCall(w, "c", ""))
		}
	}
	submit(4)
	wantSent(t, w, 4)
	a.SetLimitShare("c", LimitConcurrency, 2, time.Time{})
	submit(2)
	wantSent(t, w, 4)
	w.end(ranEnd(""))
	w.end(ranEnd(""))
	wantSent(t, w, 2) // two run, the limit is two
	w.end(ranEnd(""))
	wantSent(t, w, 2)
	a.SetLimitShare("c", LimitConcurrency, 3, w.clock.Now().Add(3*time.Second))
	w.run()
	wantSent(t, w, 3)
	submit(1)
	w.end(ranEnd(""))
	wantSent(t, w, 3)
	w.advance(4 * time.Second)
	submit(2)
	w.end(ranEnd(""))
	wantSent(t, w, 2) // the grant has expired
	a.SetLimitShare("c", LimitConcurrency, NoShare, time.Time{})
	w.run()
	wantSent(t, w, 4)

	a.SetLimitShare("c", LimitRequests, 5, w.clock.Now().Add(time.Second))
	submit(1)
	w.advance(time.Second)
	expired := lookCall(w, "c", "")
	w.submit(expired)
	wantEnd(t, expired, core.NotRun, core.CodeLimited)
}

// Guards against an unbounded queue and against a bound shared between classes.
func TestQueueBound(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{Queue: 2}))
	w.first().admission.SetSlots("desk", 0)
	waiting := []*core.Call{lookCall(w, "c", ""), lookCall(w, "c", ""), lookCall(w, "c", core.ClassBackground)}
	w.submit(waiting...)
	refused := lookCall(w, "c", "")
	w.submit(refused)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeOverloaded))
	wantOpen(t, waiting...)
	w.first().admission.SetSlots("desk", 3)
	w.run()
	wantSent(t, w, 3)
}

// Guards against "may have run" for calls that never left the queue, and
// against places in the queue that are not freed.
func TestQueuedCallsEndAsNotRun(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	w.first().admission.SetSlots("desk", 0)
	expired, cancelled := lookCall(w, "c", ""), newCall(w, "c", "book", "k", "")
	ctx, cancel := context.WithCancel(context.Background())
	cancelled.Context = ctx
	w.submit(expired, cancelled)
	cancel()
	var end *core.End
	for limit := time.Now().Add(eventLimit); end == nil && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		w.run()
		end = endOf(cancelled)
	}
	if end == nil || end.Verdict != core.NotRun || end.Err.Code != core.CodeCancelled {
		t.Fatalf("cancelled call ended %+v, want not run", end)
	}
	wantOpen(t, expired)
	w.advance(10 * time.Second)
	wantEnd(t, expired, core.NotRun, core.CodeDeadline)
	w.first().admission.SetSlots("desk", 1)
	w.run()
	wantSent(t, w, 0)
	if a := w.first().admission; a.inFlight != 0 || a.services.size != 0 || len(a.local) != 0 {
		t.Errorf("%d calls in flight, %d queued and %d claims are left", a.inFlight, a.services.size, len(a.local))
	}
}

// Guards against sending a call that ended in the moment its claim was stored.
func TestHeldClaimOfEndedCallIsNotSent(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	d := w.first()
	c := newCall(w, "c", "book", "k", "")
	d.admission.Submit(c)
	d.admission.Loop().RunPending()
	claim := d.admission.local[claimKey{"c", "k"}]
	w.clock.Advance(time.Nanosecond)
	d.admission.handleGone(claim.first)
	d.admission.handleClaim(claimResult{name: claim.name, id: claim.id, outcome: claimHeld})
	w.run()
	wantSent(t, w, 0)
	wantEnd(t, c, core.NotRun, core.CodeDeadline)
	w.submit(newCall(w, "c", "book", "k", ""))
	wantSent(t, w, 1)
}

// Guards against long work that goes before short work, by class or by history,
// and against background work that starves behind interactive work.
func TestQueueOrder(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	a := w.first().admission
	w.submit(newCall(w, "c", "look", "", ""))
	w.clock.Advance(2 * time.Second)
	w.end(ranEnd("")) // a look takes 2 s
	a.SetSlots("desk", 0)
	rollout, background := listCall(w, "c", core.ClassRollout), listCall(w, "c", core.ClassBackground)
	slow, fast := lookCall(w, "c", ""), listCall(w, "c", "")
	w.submit(rollout, background, slow, fast)
	w.advance(3 * time.Second)
	late := listCall(w, "c", "")
	w.submit(late)
	a.SetSlots("desk", 1)
	w.run()
	for i, want := range []*core.Call{fast, background, late, slow, rollout} {
		if got := w.end(ranEnd("")); got != want {
			t.Fatalf("call %d to start is %+v, want %+v", i, got.Request, want.Request)
		}
	}
}

// Guards against customers that get other shares than their weights while all
// have work, and against cost that is not counted.
func TestWeightedSharing(t *testing.T) {
	heavy, light := contractOf("heavy", core.Limits{}), contractOf("light", core.Limits{})
	heavy.Weight = 3
	w := newWorld(1, 1, heavy, light)
	a := w.first().admission
	a.SetSlots("desk", 0)
	for range 200 {
		w.submit(lookCall(w, "heavy", ""), lookCall(w, "light", ""))
	}
	a.SetSlots("desk", 80)
	w.run()
	started := map[core.CustomerID]int{}
	for _, c := range w.first().dispatch.calls {
		started[c.Request.Customer]++
	}
	if started["heavy"] != 60 || started["light"] != 20 {
		t.Errorf("started %v, want heavy 60 and light 20", started)
	}
}

// Guards against long work that takes the slots that short work needs.
func TestShortWorkKeepsSlots(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	w.first().admission.SetSlots("desk", 16)
	for range 32 {
		w.submit(listCall(w, "c", core.ClassRollout))
	}
	wantSent(t, w, 8)
	for range 9 {
		w.submit(lookCall(w, "c", ""))
	}
	wantSent(t, w, 16)
	w.end(ranEnd("")) // a slot of long work goes to the waiting short call
	if got := w.first().dispatch.calls[15].Request.Class; got != core.ClassInteractive {
		t.Errorf("the free slot went to class %s, want interactive", got)
	}
}

// Guards against overload that is met by refusing the work that ranks highest.
func TestShedding(t *testing.T) {
	low, high := contractOf("low", core.Limits{Queue: maxQueued}), contractOf("high", core.Limits{Queue: maxQueued})
	low.ShedRank, high.ShedRank = 1, 2
	w := newWorld(1, 1, low, high)
	w.first().admission.SetSlots("desk", 0)
	calls := make([]*core.Call, maxQueued)
	for i := range calls {
		calls[i] = lookCall(w, "low", "")
		w.submit(calls[i])
	}
	refused, taken := lookCall(w, "low", ""), lookCall(w, "high", "")
	w.submit(refused, taken)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeOverloaded))
	wantOpen(t, taken)
	wantRetryAfter(t, wantEnd(t, calls[len(calls)-1], core.NotRun, core.CodeOverloaded))
	wantOpen(t, calls[0])
	if got := calls[len(calls)-1].RoutingTrace; len(got) != 1 || got[0] != string(reasonShed) {
		t.Errorf("trace of the call that was shed is %q", got)
	}

	last := lookCall(w, "high", core.ClassBackground)
	for w.first().admission.services.byName["desk"].lanes["low"].waiting() > 0 {
		w.submit(lookCall(w, "high", core.ClassBackground))
	}
	w.submit(last)
	wantEnd(t, last, core.NotRun, core.CodeOverloaded)
	urgent := lookCall(w, "high", "")
	w.submit(urgent)
	wantOpen(t, urgent)
}

// Guards against callers that are all told to come back at the same moment.
func TestRetryTimesAreSpread(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	w.first().admission.Drain()
	seen := map[time.Duration]bool{}
	for range 20 {
		c := lookCall(w, "c", "")
		w.submit(c)
		end := wantEnd(t, c, core.NotRun, core.CodeDraining)
		if end.Err.RetryAfter < drainRetryAfter || end.Err.RetryAfter > 2*drainRetryAfter {
			t.Errorf("retry after %v, want %v to %v", end.Err.RetryAfter, drainRetryAfter, 2*drainRetryAfter)
		}
		seen[end.Err.RetryAfter] = true
	}
	if len(seen) < 10 {
		t.Errorf("20 refusals have %d different times, want 10 or more", len(seen))
	}
}

// Guards against a stop that drops queued calls, or that is reported as
// complete before every call has ended and every claim is settled.
func TestDrain(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}))
	a := w.first().admission
	if !a.IsReady() {
		t.Error("daemon with contracts is not ready")
	}
	a.SetSlots("desk", 1)
	running, queued := newCall(w, "c", "book", "k", ""), lookCall(w, "c", "")
	w.submit(running, queued)
	a.Drain()
	w.run()
	if a.IsReady() {
		t.Error("draining daemon is ready")
	}
	refused := lookCall(w, "c", "")
	w.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeDraining)
	repeat := newCall(w, "c", "book", "k", "")
	w.submit(repeat)
	wantEnd(t, repeat, core.MayHaveRun, core.CodeDraining)
	w.store.onPuts(faultUnavailable)
	w.end(ranEnd(""))
	w.end(ranEnd(""))
	wantEnd(t, queued, core.Ran, "")
	if a.idle.Len() != 0 {
		t.Fatal("daemon is idle while a claim is not settled")
	}
	w.advance(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), eventLimit)
	defer cancel()
	if !a.WaitIdle(ctx) {
		t.Error("daemon is not idle after the last call")
	}
}

// Guards against a caller that comes back and cannot learn what its request did,
// and against one that reads another customer's request.
func TestRequestState(t *testing.T) {
	w := newWorld(1, 1, contractOf("c", core.Limits{}), contractOf("d", core.Limits{}))
	a := w.first().admission
	a.SetSlots("desk", 1)
	running, queued := lookCall(w, "c", ""), lookCall(w, "c", "")
	w.submit(running, queued)
	state := func(customer core.CustomerID, c *core.Call) string {
		key := requestKey{customer, c.Request.ID}
		if e := a.active[key]; e != nil {
			return e.phase.String()
		}
		if s, ok := a.recent.Get(key); ok {
			return fmt.Sprint(s.Phase, " ", s.Verdict)
		}
		return "unknown"
	}
	got := []string{state("c", running), state("c", queued), state("d", running)}
	w.end(ranEnd(""))
	got = append(got, state("c", running))
	if want := "[running queued unknown ended ran]"; fmt.Sprint(got) != want {
		t.Errorf("states are %v, want %v", got, want)
	}
	again := lookCall(w, "c", "")
	again.Request.ID = queued.Request.ID
	w.submit(again)
	wantEnd(t, again, core.MayHaveRun, core.CodeConflict)
}
