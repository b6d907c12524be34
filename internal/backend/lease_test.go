package backend

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const testLeaseTerm = time.Second

// submitLeased submits a repeatable request with a lease that is confirmed now.
func (b *dispatchHarness) submitLeased() (*core.Call, *core.Lease) {
	lease := core.NewLease(testLeaseTerm, b.clock.Now)
	lease.Confirm(b.clock.Now())
	c := core.NewCall(context.Background(), &core.Request{ID: "leased", Service: "desk", Operation: "look", Class: core.ClassBackground, Repeatable: true, Lease: lease, HedgeShare: maxHedgeShare})
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	return c, lease
}

func wantLeaseExpired(t *testing.T, c *core.Call, verdict core.Verdict) {
	t.Helper()
	end := endOf(c)
	if end == nil || end.Err == nil || end.Err.Code != core.CodeLeaseExpired || end.Verdict != verdict || end.Err.Verdict != verdict {
		t.Errorf("the call ended with %+v, want %s and the verdict %v", end, core.CodeLeaseExpired, verdict)
	}
}

// Guards against an item that is sent when its job has long been owned or ended by
// another daemon, because it waited for a free slot meanwhile.
func TestWaitingRequestIsNotSentAfterItsLease(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	for i := range 2 * b.servers[0].Description.Slots {
		r := lookup(uint64(i))
		r.Class = core.ClassBackground
		b.dispatch.Submit(core.NewCall(context.Background(), r))
	}
	b.dispatch.loop.RunPending()
	occupied := len(b.pending)
	c, _ := b.submitLeased()
	if len(b.pending) != occupied {
		t.Fatal("the request did not wait for a slot")
	}
	b.clock.Advance(testLeaseTerm + 1)
	b.runPending()
	b.advance(time.Second)
	for _, a := range b.attempts {
		if a.Call == c {
			t.Error("the request was sent after its lease")
		}
	}
	wantLeaseExpired(t, c, core.NotRun)
}

// Guards against an item that is sent to the next server after its lease, because its
// first attempt failed late or its stream was slow.
func TestRequestIsNotRetriedAfterItsLease(t *testing.T) {
	b := newDispatchHarness(t, 3, broken)
	c, _ := b.submitLeased()
	b.clock.Advance(testLeaseTerm + 1)
	b.runPending()
	b.advance(5 * time.Second)
	if len(b.attempts) != 1 {
		t.Errorf("%d attempts, want the one that was sent in time", len(b.attempts))
	}
	wantLeaseExpired(t, c, core.MayHaveRun)
}

// Guards against an attempt that was started in time and is written after its lease was
// revoked, or after its request was cancelled: its goroutine ran late.
func TestAttemptIsNotWrittenAfterItsLease(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	ctx, cancel := context.WithCancel(context.Background())
	for _, c := range []struct {
		name string
		end  func(*core.Lease)
		code core.Code
	}{
		{"lease revoked", (*core.Lease).Revoke, core.CodeLeaseExpired},
		{"lease expired", func(*core.Lease) { b.clock.Advance(testLeaseTerm + 1) }, core.CodeLeaseExpired},
		{"request cancelled", func(*core.Lease) { cancel() }, core.CodeCancelled},
	} {
		lease := core.NewLease(testLeaseTerm, b.clock.Now)
		lease.Confirm(b.clock.Now())
		a := Attempt{Context: ctx, Call: core.NewCall(ctx, &core.Request{Lease: lease})}
		if err := a.CheckSend(); err != nil {
			t.Errorf("%s: refused before: %v", c.name, err)
		}
		c.end(lease)
		if err := a.CheckSend(); err == nil || err.Code != c.code || err.Verdict != core.NotRun {
			t.Errorf("%s: %+v, want %s as not run", c.name, err, c.code)
		}
	}
}

// Guards against a slow stream that is stopped although no other server may take it.
func TestSlowStreamStaysAfterItsLease(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	lease := core.NewLease(testLeaseTerm, b.clock.Now)
	lease.Confirm(b.clock.Now())
	r := &core.Request{Service: "desk", Lease: lease}
	b.dispatch.router.paceOf(r.Service, "").limitNanos.Store(1)
	isTooSlow := b.dispatch.slowStreamCheck(r, "")
	if !isTooSlow(minPaceEvents, time.Minute) {
		t.Fatal("a slow stream is not moved")
	}
	lease.Revoke()
	if isTooSlow(minPaceEvents, time.Minute) {
		t.Error("the stream is moved after its lease")
	}
}

// Guards against a hedge of a request whose lease has ended since its first attempt.
func TestNoHedgeAfterTheLease(t *testing.T) {
	if _, started := startHedgedCall(t, func(b *dispatchHarness, c *core.Call) {
		c.Request.Lease = core.NewLease(time.Hour, b.clock.Now)
		c.Request.Lease.Confirm(b.clock.Now())
	}); started != 2 {
		t.Fatalf("%d attempts with a lease, want a hedge", started)
	}
	if _, started := startHedgedCall(t, func(b *dispatchHarness, c *core.Call) {
		// The call is hedged 10 ms after its start at the earliest.
		c.Request.Lease = core.NewLease(time.Millisecond, b.clock.Now)
		c.Request.Lease.Confirm(b.clock.Now())
	}); started != 1 {
		t.Errorf("%d attempts after the lease, want no hedge", started)
	}
}
