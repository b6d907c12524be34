package caller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// eventTimeout bounds the wait for events of other goroutines.
const eventTimeout = 30 * time.Second

func (cluster *testCluster) firstDaemon() *testDaemon { return cluster.daemons[0] }

// endOldest ends the oldest call at the first daemon's dispatch.
func (cluster *testCluster) endOldest(end core.End) *core.Call {
	c := cluster.firstDaemon().dispatch.removeOldest()
	c.End(end)
	cluster.runUntilIdle()
	return c
}

func wantSent(t *testing.T, cluster *testCluster, want int) {
	t.Helper()
	if got := len(cluster.firstDaemon().dispatch.calls); got != want {
		t.Fatalf("dispatch holds %d calls, want %d", got, want)
	}
}

func wantRetryAfter(t *testing.T, end *core.End) {
	t.Helper()
	if end.Err.RetryAfter <= 0 {
		t.Errorf("error %v has no retry time", end.Err)
	}
}

// Guards against admitting more requests per second than the contract allows, and
// against a bucket that does not refill.
func TestRequestRate(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{RequestsPerSecond: 2}))
	for range 2 {
		cluster.submit(newLookCall(cluster, "c", ""))
	}
	refused := newLookCall(cluster, "c", "")
	cluster.submit(refused)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeLimited))
	cluster.advanceClock(500 * time.Millisecond)
	cluster.submit(newLookCall(cluster, "c", ""))
	wantSent(t, cluster, 3)
}

// Guards against reserved tokens that are not returned, and against a request
// larger than the bucket that never runs.
func TestTokenRate(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{TokensPerSecond: 100}))
	cluster.submit(newModelCall(cluster, "c", 80))
	refused := newModelCall(cluster, "c", 80)
	cluster.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeLimited)

	c := cluster.firstDaemon().dispatch.calls[0]
	c.Answer.Append(context.Background(), core.Chunk{Attempt: 1, Tokens: make([]int32, 10)})
	cluster.endOldest(core.End{Verdict: core.Ran})
	cluster.submit(newModelCall(cluster, "c", 80)) // 90 tokens are left
	wantSent(t, cluster, 1)
	cluster.endOldest(notRunEnd) // returns all 80 tokens

	cluster.advanceClock(time.Second)
	cluster.submit(newModelCall(cluster, "c", 250))
	wantSent(t, cluster, 1)
	cluster.advanceClock(time.Second)
	inDebt := newModelCall(cluster, "c", 1)
	cluster.submit(inDebt)
	wantEnd(t, inDebt, core.NotRun, core.CodeLimited)
	cluster.advanceClock(time.Second)
	cluster.submit(newModelCall(cluster, "c", 1))
	wantSent(t, cluster, 2)
}

// Guards against using an expired grant, against falling back to the whole amount of
// the contract after it, and against starting calls above a limit that was lowered.
func TestLimitShares(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{Concurrency: 8}))
	a := cluster.firstDaemon().admission
	submit := func(n int) {
		for range n {
			cluster.submit(newLookCall(cluster, "c", ""))
		}
	}
	submit(4)
	wantSent(t, cluster, 4)
	a.SetLimitShare("c", LimitConcurrency, 2, time.Time{})
	submit(2)
	wantSent(t, cluster, 4)
	cluster.endOldest(newRanEnd(""))
	cluster.endOldest(newRanEnd(""))
	wantSent(t, cluster, 2) // two calls run, which is the limit
	cluster.endOldest(newRanEnd(""))
	wantSent(t, cluster, 2)
	a.SetLimitShare("c", LimitConcurrency, 3, cluster.clock.Now().Add(3*time.Second))
	cluster.runUntilIdle()
	wantSent(t, cluster, 3)
	submit(1)
	cluster.endOldest(newRanEnd(""))
	wantSent(t, cluster, 3)
	cluster.advanceClock(4 * time.Second)
	submit(2)
	cluster.endOldest(newRanEnd(""))
	wantSent(t, cluster, 2) // the grant has expired
	a.SetLimitShare("c", LimitConcurrency, NoShare, time.Time{})
	cluster.runUntilIdle()
	wantSent(t, cluster, 4)

	a.SetLimitShare("c", LimitRequests, 5, cluster.clock.Now().Add(time.Second))
	submit(1)
	cluster.advanceClock(time.Second)
	expired := newLookCall(cluster, "c", "")
	cluster.submit(expired)
	wantEnd(t, expired, core.NotRun, core.CodeLimited)
}

// Guards against a grant that is used after it was given to others, or is not used at all,
// because admission measures its end by a clock that is stepped or stands still while the
// host is suspended.
func TestGrantEndsByTheClockOfTheShares(t *testing.T) {
	const grant = 3 * time.Second
	for _, ahead := range []time.Duration{0, 10 * time.Second, -10 * time.Second} {
		cluster := newTestCluster(1, 1, newContract("c", core.Limits{Concurrency: 8, RequestsPerSecond: 100}))
		a := cluster.firstDaemon().admission
		// The shares' clock counts the time of a suspension, and admission's does not.
		suspended := time.Duration(0)
		sharesNow := func() time.Time { return cluster.clock.Now().Add(ahead + suspended) }
		a.EnableLimitSharing(sharesNow, func(core.CustomerID, Limit, float64) {})
		a.SetLimitShare("c", LimitRequests, 100, time.Time{})
		a.SetLimitShare("c", LimitConcurrency, 1, time.Time{})
		a.SetLimitShare("c", LimitConcurrency, 2, sharesNow().Add(grant))
		submit := func() int {
			cluster.submit(newLookCall(cluster, "c", ""), newLookCall(cluster, "c", ""))
			return cluster.firstDaemon().dispatch.sent
		}
		cluster.advanceClock(time.Second) // the bucket of the requests starts empty
		if sent := submit(); sent != 2 {
			t.Errorf("clock of the shares %v ahead: %d calls sent within the grant, want 2", ahead, sent)
		}
		suspended = time.Hour
		submit()
		cluster.endOldest(newRanEnd(""))
		if sent := cluster.firstDaemon().dispatch.sent; sent != 2 {
			t.Errorf("clock of the shares %v ahead: %d calls sent, want 2 since the grant ended in a suspension", ahead, sent)
		}
	}
}

// Guards against an unlimited queue, and against a limit that the classes share.
func TestQueueBound(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{Queue: 2}))
	cluster.firstDaemon().admission.SetSlots("desk", 0)
	waiting := []*core.Call{newLookCall(cluster, "c", ""), newLookCall(cluster, "c", ""), newLookCall(cluster, "c", core.ClassBackground)}
	cluster.submit(waiting...)
	refused := newLookCall(cluster, "c", "")
	cluster.submit(refused)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeOverloaded))
	wantNotEnded(t, waiting...)
	cluster.firstDaemon().admission.SetSlots("desk", 3)
	cluster.runUntilIdle()
	wantSent(t, cluster, 3)
}

// Guards against the verdict "may have run" for calls that never left the queue,
// and against queue entries that are not removed.
func TestQueuedCallsEndAsNotRun(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	cluster.firstDaemon().admission.SetSlots("desk", 0)
	expired, cancelled := newLookCall(cluster, "c", ""), newCall(cluster, "c", "book", "k", "")
	ctx, cancel := context.WithCancel(context.Background())
	cancelled.Context = ctx
	cluster.submit(expired, cancelled)
	cancel()
	var end *core.End
	for limit := time.Now().Add(eventTimeout); end == nil && time.Now().Before(limit); time.Sleep(time.Millisecond) {
		cluster.runUntilIdle()
		end = endOf(cancelled)
	}
	if end == nil || end.Verdict != core.NotRun || end.Err.Code != core.CodeCancelled {
		t.Fatalf("cancelled call ended %+v, want not run", end)
	}
	wantNotEnded(t, expired)
	cluster.advanceClock(10 * time.Second)
	wantEnd(t, expired, core.NotRun, core.CodeDeadline)
	cluster.firstDaemon().admission.SetSlots("desk", 1)
	cluster.runUntilIdle()
	wantSent(t, cluster, 0)
	if a := cluster.firstDaemon().admission; a.inFlightCalls != 0 || a.services.waitingCalls != 0 || len(a.localClaims) != 0 {
		t.Errorf("%d calls in flight, %d queued and %d claims are left", a.inFlightCalls, a.services.waitingCalls, len(a.localClaims))
	}
}

// Guards against sending a call that ended while its claim was being stored.
func TestEndedCallIsNotSentWhenItsClaimIsStored(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	d := cluster.firstDaemon()
	c := newCall(cluster, "c", "book", "k", "")
	d.admission.Submit(c)
	d.admission.Loop().RunPending()
	claim := d.admission.localClaims[claimKey{"c", "k"}]
	cluster.clock.Advance(time.Nanosecond)
	d.admission.cancelUnsent(claim.firstCall)
	d.admission.handleClaimResult(claimResult{key: claim.key, id: claim.id, outcome: claimAcquired})
	cluster.runUntilIdle()
	wantSent(t, cluster, 0)
	wantEnd(t, c, core.NotRun, core.CodeDeadline)
	cluster.submit(newCall(cluster, "c", "book", "k", ""))
	wantSent(t, cluster, 1)
}

// Guards against serving long work (by class or by measured service time) before
// short work, and against starving background work behind interactive work.
func TestQueueOrder(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	a := cluster.firstDaemon().admission
	cluster.submit(newCall(cluster, "c", "look", "", ""))
	cluster.clock.Advance(2 * time.Second)
	cluster.endOldest(newRanEnd("")) // the measured service time of "look" is 2 s
	a.SetSlots("desk", 0)
	rollout, background := newListCall(cluster, "c", core.ClassRollout), newListCall(cluster, "c", core.ClassBackground)
	slow, fast := newLookCall(cluster, "c", ""), newListCall(cluster, "c", "")
	cluster.submit(rollout, background, slow, fast)
	cluster.advanceClock(3 * time.Second)
	late := newListCall(cluster, "c", "")
	cluster.submit(late)
	a.SetSlots("desk", 1)
	cluster.runUntilIdle()
	for i, want := range []*core.Call{fast, background, late, slow, rollout} {
		if got := cluster.endOldest(newRanEnd("")); got != want {
			t.Fatalf("call %d to start is %+v, want %+v", i, got.Request, want.Request)
		}
	}
}

// Guards against customers that do not share the slots by weight while all of them
// have work.
func TestWeightedSharing(t *testing.T) {
	heavy, light := newContract("heavy", core.Limits{}), newContract("light", core.Limits{})
	heavy.Weight = 3
	cluster := newTestCluster(1, 1, heavy, light)
	a := cluster.firstDaemon().admission
	a.SetSlots("desk", 0)
	for range 200 {
		cluster.submit(newLookCall(cluster, "heavy", ""), newLookCall(cluster, "light", ""))
	}
	a.SetSlots("desk", 80)
	cluster.runUntilIdle()
	started := map[core.CustomerID]int{}
	for _, c := range cluster.firstDaemon().dispatch.calls {
		started[c.Request.Customer]++
	}
	if started["heavy"] != 60 || started["light"] != 20 {
		t.Errorf("started %v, want heavy 60 and light 20", started)
	}
}

// Guards against long work that occupies the slots reserved for short work.
func TestLongWorkLeavesReservedSlots(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	cluster.firstDaemon().admission.SetSlots("desk", 16)
	for range 32 {
		cluster.submit(newListCall(cluster, "c", core.ClassRollout))
	}
	wantSent(t, cluster, 8)
	for range 9 {
		cluster.submit(newLookCall(cluster, "c", ""))
	}
	wantSent(t, cluster, 16)
	cluster.endOldest(newRanEnd("")) // the slot of a long call goes to the waiting short call
	if got := cluster.firstDaemon().dispatch.calls[15].Request.Class; got != core.ClassInteractive {
		t.Errorf("the free slot went to class %s, want interactive", got)
	}
}

// Guards against shedding the work with the highest rank on overload.
func TestShedding(t *testing.T) {
	low, high := newContract("low", core.Limits{Queue: maxWaitingCalls}), newContract("high", core.Limits{Queue: maxWaitingCalls})
	low.ShedRank, high.ShedRank = 1, 2
	cluster := newTestCluster(1, 1, low, high)
	cluster.firstDaemon().admission.SetSlots("desk", 0)
	calls := make([]*core.Call, maxWaitingCalls)
	for i := range calls {
		calls[i] = newLookCall(cluster, "low", "")
		cluster.submit(calls[i])
	}
	refused, accepted := newLookCall(cluster, "low", ""), newLookCall(cluster, "high", "")
	cluster.submit(refused, accepted)
	wantRetryAfter(t, wantEnd(t, refused, core.NotRun, core.CodeOverloaded))
	wantNotEnded(t, accepted)
	wantRetryAfter(t, wantEnd(t, calls[len(calls)-1], core.NotRun, core.CodeOverloaded))
	wantNotEnded(t, calls[0])
	if got := calls[len(calls)-1].RoutingTrace; len(got) != 1 || got[0] != string(reasonShed) {
		t.Errorf("trace of the call that was shed is %q", got)
	}

	last := newLookCall(cluster, "high", core.ClassBackground)
	for cluster.firstDaemon().admission.services.byName["desk"].queues["low"].waitingCount() > 0 {
		cluster.submit(newLookCall(cluster, "high", core.ClassBackground))
	}
	cluster.submit(last)
	wantEnd(t, last, core.NotRun, core.CodeOverloaded)
	urgent := newLookCall(cluster, "high", "")
	cluster.submit(urgent)
	wantNotEnded(t, urgent)
}

// Guards against rejected callers that all retry at the same time.
func TestRetryTimesAreSpread(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	cluster.firstDaemon().admission.Drain()
	retryTimes := map[time.Duration]bool{}
	for range 20 {
		c := newLookCall(cluster, "c", "")
		cluster.submit(c)
		end := wantEnd(t, c, core.NotRun, core.CodeDraining)
		if end.Err.RetryAfter < drainRetryAfter || end.Err.RetryAfter > 2*drainRetryAfter {
			t.Errorf("retry after %v, want %v to %v", end.Err.RetryAfter, drainRetryAfter, 2*drainRetryAfter)
		}
		retryTimes[end.Err.RetryAfter] = true
	}
	if len(retryTimes) < 10 {
		t.Errorf("20 refusals have %d different times, want 10 or more", len(retryTimes))
	}
}

// Guards against a drain that loses queued calls, or that ends before every call has
// ended and every claim is settled.
func TestDrain(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}))
	a := cluster.firstDaemon().admission
	if !a.IsReady() {
		t.Error("daemon with contracts is not ready")
	}
	a.SetSlots("desk", 1)
	running, queued := newCall(cluster, "c", "book", "k", ""), newLookCall(cluster, "c", "")
	cluster.submit(running, queued)
	a.Drain()
	cluster.runUntilIdle()
	if a.IsReady() {
		t.Error("draining daemon is ready")
	}
	refused := newLookCall(cluster, "c", "")
	cluster.submit(refused)
	wantEnd(t, refused, core.NotRun, core.CodeDraining)
	repeat := newCall(cluster, "c", "book", "k", "")
	cluster.submit(repeat)
	wantEnd(t, repeat, core.MayHaveRun, core.CodeDraining)
	cluster.store.setPutFaults(faultUnavailable)
	cluster.endOldest(newRanEnd(""))
	cluster.endOldest(newRanEnd(""))
	wantEnd(t, queued, core.Ran, "")
	if a.idleSignals.Len() != 0 {
		t.Fatal("daemon is idle while a claim is not settled")
	}
	cluster.advanceClock(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if !a.WaitIdle(ctx) {
		t.Error("daemon is not idle after the last call")
	}
}

// Guards against a caller that reconnects and cannot query its request, and against
// one that reads another customer's request.
func TestRequestState(t *testing.T) {
	cluster := newTestCluster(1, 1, newContract("c", core.Limits{}), newContract("d", core.Limits{}))
	a := cluster.firstDaemon().admission
	a.SetSlots("desk", 1)
	running, queued := newLookCall(cluster, "c", ""), newLookCall(cluster, "c", "")
	cluster.submit(running, queued)
	state := func(customer core.CustomerID, c *core.Call) string {
		key := requestKey{customer, c.Request.ID}
		if active := a.activeCalls[key]; active != nil {
			return active.phase.String()
		}
		if s, ok := a.recentStates.Get(key); ok {
			return fmt.Sprint(s.Phase, " ", s.Verdict)
		}
		return "unknown"
	}
	got := []string{state("c", running), state("c", queued), state("d", running)}
	cluster.endOldest(newRanEnd(""))
	got = append(got, state("c", running))
	if want := "[running queued unknown ended ran]"; fmt.Sprint(got) != want {
		t.Errorf("states are %v, want %v", got, want)
	}
	again := newLookCall(cluster, "c", "")
	again.Request.ID = queued.Request.ID
	cluster.submit(again)
	wantEnd(t, again, core.MayHaveRun, core.CodeConflict)
}
