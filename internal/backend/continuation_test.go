package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// runTwoReleases sets the software version of each second server to "v2" and of the
// others to "v1".
func (b *dispatchHarness) runTwoReleases() {
	for i := range b.servers {
		b.servers[i].Description.Software = core.SoftwareVersion(fmt.Sprint("v", 1+i%2))
	}
	b.publish()
}

// breakAfterEvent returns an exchange whose attempts bring one event and break, and
// are complete from the given attempt of a request on.
func breakAfterEvent(complete int) func(Attempt) AttemptEnd {
	return func(a Attempt) AttemptEnd {
		if a.Number >= complete {
			return completed(a)
		}
		end := broken(a)
		end.Tokens = []int32{int32(len(a.Resume.Tokens) + 1)}
		return end
	}
}

// Guards against a stream with events of servers of two software versions.
func TestStreamContinuesOnlyOnItsSoftwareVersion(t *testing.T) {
	const calls, attemptsPerCall = 40, 3
	b := newDispatchHarness(t, 8, breakAfterEvent(attemptsPerCall))
	b.runTwoReleases()
	for range calls {
		b.submit(context.Background(), 0, true)
		b.runPending()
	}
	b.advance(5 * maxBackOff)
	if len(b.attempts) != calls*attemptsPerCall {
		t.Errorf("%d attempts, want %d", len(b.attempts), calls*attemptsPerCall)
	}
	crossed, first := 0, map[core.RequestID]core.SoftwareVersion{}
	for _, a := range b.attempts {
		id := a.Call.Request.ID
		if a.Number == 1 {
			first[id] = a.Software
		}
		if a.Software != first[id] {
			crossed++
		}
	}
	if crossed > 0 {
		t.Errorf("%d of %d further attempts went to a server of another software version", crossed, calls*(attemptsPerCall-1))
	}
}

// submitContinuation submits a request whose caller has an event of a stream of the
// software version.
func (b *dispatchHarness) submitContinuation(software core.SoftwareVersion, class core.Class) *core.Call {
	b.nextID++
	c := core.NewCall(context.Background(), &core.Request{
		ID: core.RequestID(fmt.Sprint("r", b.nextID)), Service: "desk", Operation: "look", Repeatable: true, Class: class,
		Resume: core.Progress{Tokens: []int32{1}, Software: software},
	})
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	return c
}

// requireNotContinued fails the test unless the call ended because nothing can continue
// its stream, with the proof that no server ran it.
func requireNotContinued(t *testing.T, c *core.Call) {
	t.Helper()
	end := endOf(c)
	if end == nil || end.Err == nil || end.Err.Code != core.CodeNotContinued || end.Verdict != core.NotRun || end.Err.Verdict != core.NotRun {
		t.Errorf("the call ended with %+v, want %s and the verdict not run", end, core.CodeNotContinued)
	}
}

// Guards against a caller that waits until its deadline for the rest of a stream whose
// software version no server runs, and against another version that continues it.
func TestStreamEndsWhenItsSoftwareVersionIsGone(t *testing.T) {
	b := newDispatchHarness(t, 4, completed)
	b.runTwoReleases()
	requireNotContinued(t, b.submitContinuation("v0", core.ClassInteractive))
	b.servers = b.servers[1:2] // one server of v2
	b.servers[0].Leaving = true
	b.servers = append(b.servers, Server{ID: "new", Description: b.servers[0].Description})
	b.servers[1].Description.Software = "v3"
	b.publish()
	requireNotContinued(t, b.submitContinuation("v2", core.ClassInteractive))
	if len(b.attempts)+len(b.pending) > 0 {
		t.Errorf("%d attempts were made", len(b.attempts)+len(b.pending))
	}
}

// Guards against an item that waits for a full server of the version that began its
// text, while it could start anew at another one.
func TestStreamWaitsBrieflyForRoomOnItsSoftwareVersion(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	b.runTwoReleases()
	const full = 100 // requests, far above the slots
	b.dispatch.candidates["s0"].Outstanding = full
	call := b.submitContinuation("v1", core.ClassRollout)
	b.advance(maxContinuationWait / 2)
	if end := endOf(call); end != nil {
		t.Fatalf("the call ended with %+v before the wait is over", end)
	}
	b.advance(maxContinuationWait)
	requireNotContinued(t, call)
	call = b.submitContinuation("v1", core.ClassRollout)
	b.dispatch.candidates["s0"].Outstanding = 0
	b.advance(maxContinuationWait / 2)
	if end := endOf(call); end == nil || end.Err != nil || len(b.attempts) != 1 || b.attempts[0].Server != "s0" {
		t.Errorf("the call ended with %+v after %d attempts, want an answer of s0", end, len(b.attempts))
	}
}

// Guards against an item whose events are discarded although it could not start anew, as
// all servers are full; a caller does not wait as long.
func TestItemKeepsItsEventsWhileAllServersAreFull(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	b.runTwoReleases()
	const full = 100 // requests, far above the slots
	b.dispatch.candidates["s0"].Outstanding, b.dispatch.candidates["s1"].Outstanding = full, full
	call := b.submitContinuation("v1", core.ClassRollout)
	b.advance(3 * maxContinuationWait)
	if end := endOf(call); end != nil {
		t.Fatalf("the call ended with %+v", end)
	}
	b.dispatch.candidates["s0"].Outstanding = 0
	b.advance(maxContinuationWait)
	if end := endOf(call); end == nil || end.Err != nil || len(b.attempts) != 1 || b.attempts[0].Server != "s0" {
		t.Errorf("the call ended with %+v after %d attempts, want an answer of s0", end, len(b.attempts))
	}
}

// Guards against a caller whose stream is tried for long at the only server of its
// version, which cannot be reached: each attempt would begin the wait again.
func TestStreamIsGivenUpWhenItsServerCannotBeReached(t *testing.T) {
	b := newDispatchHarness(t, 2, func(a Attempt) AttemptEnd {
		end := refused(a)
		end.Unreachable = true
		return end
	})
	b.runTwoReleases()
	call := b.submitContinuation("v1", core.ClassInteractive)
	b.advance(maxContinuationWait + maxBackOff)
	if end := endOf(call); end == nil || end.Err == nil || end.Verdict != core.NotRun {
		t.Errorf("the call ended with %+v", end)
	}
}

// Guards against a hedge at a server of another software version for a stream whose
// first events the caller has.
func TestHedgeOfContinuedStreamKeepsItsSoftwareVersion(t *testing.T) {
	b := newDispatchHarness(t, 8, completed)
	b.runTwoReleases()
	progress := core.Progress{Tokens: []int32{1}, Software: "v2"}
	for range 50 {
		c := b.dispatch.router.pickHedgeServer(lookup(1), progress, nil)
		if c == nil || c.Server.Description.Software != "v2" {
			t.Fatalf("the hedge goes to %+v", c)
		}
	}
}

// Guards against a slow stream that is broken off although no engine of its software
// version has room for it.
func TestMoveTargetRunsTheSameSoftware(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	b.runTwoReleases()
	now := b.clock.Now()
	g := b.dispatch.router.groups["desk"]
	if !g.hasMoveTarget("v1", now) || g.hasMoveTarget("v3", now) {
		t.Error("the move targets are not those of the software version")
	}
	b.dispatch.candidates["s0"].Outstanding = 4 // of 4 slots
	if g.hasMoveTarget("v1", now) {
		t.Error("an engine of another software version is a move target")
	}
}

// Guards against any path that continues a stream on another software version, while
// servers crash, leave, are replaced and refuse in random order, and against streams that
// are given up although servers of their version serve.
func TestRandomFaultsNeverJoinSoftwareVersions(t *testing.T) {
	const seeds, steps, servers = 20, 150, 8
	continued, givenUp := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 25))
		received := map[core.RequestID]core.Progress{}
		b := newDispatchHarness(t, servers, func(a Attempt) AttemptEnd {
			id := a.Call.Request.ID
			if p := received[id]; len(p.Tokens) != len(a.Resume.Tokens) || (len(p.Tokens) > 0 && p.Software != a.Software) {
				t.Errorf("seed %d: %s has %+v and goes on at %s (%s) after %+v", seed, id, p, a.Server, a.Software, a.Resume)
			}
			if len(a.Resume.Tokens) > 0 {
				continued++
			}
			switch random.IntN(4) {
			case 0:
				return refused(a)
			case 1:
				return completed(a)
			default:
				end := broken(a)
				end.Tokens = []int32{1}
				end.Crashed = random.IntN(4) == 0
				received[id] = received[id].Append(a.Software, 1)
				return end
			}
		})
		b.runTwoReleases()
		var calls []*core.Call
		for step := range steps {
			i := random.IntN(servers)
			switch random.IntN(4) {
			case 0:
				b.servers[i].Leaving = !b.servers[i].Leaving
			case 1:
				b.servers[i].ID = core.ServerID(fmt.Sprintf("s%d-%d", i, step))
				b.servers[i].Description.Software = core.SoftwareVersion(fmt.Sprint("v", 1+random.IntN(2)))
			default:
				class := []core.Class{core.ClassInteractive, core.ClassRollout}[random.IntN(2)]
				c := core.NewCall(context.Background(), &core.Request{
					ID: core.RequestID(fmt.Sprint("r", step)), Service: "desk", Operation: "look", Repeatable: true, Class: class, MaxAttempts: 6,
				})
				b.dispatch.Submit(c)
				calls = append(calls, c)
			}
			b.publish()
			b.advance(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		b.advance(2 * maxContinuationWait)
		for _, c := range calls {
			end := endOf(c)
			if end == nil {
				t.Fatalf("seed %d: %s has not ended", seed, c.Request.ID)
			}
			if end.Err != nil && end.Err.Code == core.CodeNotContinued {
				givenUp++
			}
		}
	}
	t.Logf("%d attempts continued a stream, %d streams were given up for their version", continued, givenUp)
	if continued < givenUp {
		t.Errorf("%d streams were given up and %d attempts continued one", givenUp, continued)
	}
}
