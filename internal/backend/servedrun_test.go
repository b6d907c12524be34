package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func serverName(i int) core.ServerID { return core.ServerID(fmt.Sprint("s", i)) }

// newRunHarness returns a harness whose entries of servers, of runs "s0@1" and so on, are
// relied upon for EntryTerm and confirmed now.
func newRunHarness(t *testing.T, servers int, exchange func(Attempt) AttemptEnd) *dispatchHarness {
	t.Helper()
	b := newDispatchHarness(t, servers, exchange)
	b.dispatch.SetEntryTerm(EntryTerm, b.clock.Now)
	for i := range b.servers {
		b.servers[i].Description.Software = "v1"
		b.servers[i].Description.Incarnation = fmt.Sprintf("s%d@1", i)
	}
	b.publish()
	b.confirm()
	return b
}

func (b *dispatchHarness) confirm() {
	b.dispatch.ConfirmServers(b.clock.Now())
	b.dispatch.loop.RunPending()
}

// submitStream submits a caller's resumable stream.
func (b *dispatchHarness) submitStream(resume core.Progress) *core.Call {
	b.nextID++
	c := core.NewCall(context.Background(), &core.Request{
		ID: core.RequestID(fmt.Sprint("r", b.nextID)), Service: "desk", Operation: "look", Repeatable: true, Stream: true,
		Class: core.ClassInteractive, Resume: resume,
	})
	b.dispatch.Submit(c)
	b.dispatch.loop.RunPending()
	return c
}

// Guards against an answer that begins on knowledge of a server that is too old, or that
// was replaced after the request was on its way, as when a daemon stands still between the
// choice of a server and the sending; and against servers that are asked for nothing.
func TestEntryIsReliedUponForItsTerm(t *testing.T) {
	b := newRunHarness(t, 1, completed)
	needsRun := func(when string, a Attempt, want bool) {
		t.Helper()
		if a.NeedsRun() != want {
			t.Errorf("%s: needs the run %v, want %v", when, !want, want)
		}
	}
	start := func() Attempt {
		b.submitStream(core.Progress{})
		b.runPending()
		return b.attempts[len(b.attempts)-1]
	}
	a := start()
	needsRun("entry is up to date", a, false)
	b.clock.Advance(EntryTerm + time.Millisecond)
	needsRun("the daemon stood still", a, true)
	b.servers[0].Description.Incarnation = "s0@2"
	b.publish()
	b.confirm()
	needsRun("the entry names another run by now", a, true)
	needsRun("another attempt", start(), false)
	b.servers[0].Description.Software = ""
	b.publish()
	b.clock.Advance(2 * EntryTerm)
	needsRun("server without software version", start(), false)
}

// Guards against a stream that continues on a server that started again, and against one
// that is refused although the server is the described run.
func TestContinuationReachesTheDescribedRun(t *testing.T) {
	b := newRunHarness(t, 1, completed)
	b.submitStream(core.Progress{Tokens: []int32{1}, Software: "v1"})
	b.runPending()
	first := b.attempts[0]
	if !first.NeedsRun() {
		t.Fatal("a stream continues without the run of its server")
	}
	for run, isRefused := range map[string]bool{"s0@1": false, "s0@2": true, "": false} {
		a := first
		err := a.ReachRun(run)
		if (err != nil) != isRefused || (isRefused && (err.Verdict != core.NotRun || err.Code != core.CodeNotContinued || !a.IsRunReplaced)) {
			t.Errorf("run %q: %v, attempt %+v", run, err, a)
		}
	}
	b.clock.Advance(2 * EntryTerm)
	if err := first.ReachRun(""); err == nil {
		t.Error("a stream continues on a server that does not name its run, by an old entry")
	}
}

// Guards against two runs of unknown versions that count as one version, and against an
// answer of one run that counts as two.
func TestUnknownVersionsDiffer(t *testing.T) {
	b := newRunHarness(t, 2, completed)
	b.clock.Advance(2 * EntryTerm)
	seen := map[core.SoftwareVersion]string{"v1": "the entry"}
	for i, run := range []string{"s0@2", "s0@3", "s1@2", "", ""} {
		b.submitStream(core.Progress{})
		b.runPending()
		a := b.attempts[i]
		if err := a.ReachRun(run); err != nil {
			t.Errorf("a new stream is refused: %v", err)
		}
		if other, found := seen[a.Software]; found {
			t.Errorf("run %q has the version %q of %s", run, a.Software, other)
		}
		seen[a.Software] = run
		p := core.Progress{}.Append(a.Software, 1)
		if !p.MayContinueOn(a.Software) || p.MayContinueOn("v1") || p.MayContinueOn("") {
			t.Errorf("an answer of version %q goes on elsewhere, or not at all", a.Software)
		}
	}
}

// replaced returns the end of an attempt at a server that is another run.
func replaced(a Attempt) AttemptEnd {
	err := a.ReachRun("another")
	if err == nil {
		return completed(a)
	}
	end := FailedAttempt(err)
	end.Attempt, end.Unsent = a, true
	return end
}

// Guards against a stream that is given up after a few servers that started again, while
// others of its version serve, and against a server that is asked over and over.
func TestContinuationPassesOverReplacedServers(t *testing.T) {
	const servers, current = 6, 5
	b := newRunHarness(t, servers, nil)
	asked := map[core.ServerID]int{}
	b.exchange = func(a Attempt) AttemptEnd {
		asked[a.Server]++
		if a.Server == serverName(current) {
			return completed(a)
		}
		return replaced(a)
	}
	for range 20 {
		c := b.submitStream(core.Progress{Tokens: []int32{1}, Software: "v1"})
		b.advance(maxContinuationWait / 2)
		if end := endOf(c); end == nil || end.Err != nil {
			t.Fatalf("the stream ended with %+v", end)
		}
	}
	for server, n := range asked {
		if limit := int(20*maxContinuationWait/2/replacedRunBackoff) + 1; server != serverName(current) && n > limit {
			t.Errorf("%s was asked %d times, want at most %d", server, n, limit)
		}
	}
}

// Guards against a caller that waits for a server that started again while the daemon is
// out of step, and against a stream that is given up before the new entry of its server,
// with the version of before, has arrived at a daemon that is in step.
func TestContinuationWaitsForNewEntryInStepOnly(t *testing.T) {
	b := newRunHarness(t, 1, nil)
	b.exchange = func(a Attempt) AttemptEnd {
		if a.DescribedRun == "s0@2" {
			return completed(a)
		}
		return replaced(a)
	}
	waiting := b.submitStream(core.Progress{Tokens: []int32{1}, Software: "v1"})
	b.advance(maxContinuationWait / 2)
	if end := endOf(waiting); end != nil {
		t.Fatalf("the stream ended with %+v", end)
	}
	b.servers[0].Description.Incarnation = "s0@2"
	b.publish()
	b.advance(maxContinuationWait / 4)
	if end := endOf(waiting); end == nil || end.Err != nil {
		t.Errorf("the stream ended with %+v", end)
	}
	b.exchange = replaced
	b.clock.Advance(2 * EntryTerm)
	refused := b.submitStream(core.Progress{Tokens: []int32{1}, Software: "v1"})
	b.advance(maxContinuationWait / 4)
	requireNotContinued(t, refused)
}

// Guards against a stream that is refused although the entry of the run that began it has
// arrived since, and against one of a run that is still not known.
func TestOriginOfUnknownVersionIsResolved(t *testing.T) {
	b := newRunHarness(t, 2, completed)
	b.servers[1].Description.Incarnation, b.servers[1].Description.Software = "s1@2", "v2"
	b.publish()
	c := b.submitStream(core.Progress{Tokens: []int32{1}, Software: core.UnknownSoftware("s1@2")})
	b.runPending()
	if end := endOf(c); end == nil || end.Err != nil || b.attempts[0].Server != "s1" {
		t.Errorf("the stream ended with %+v after %+v", end, b.attempts)
	}
	requireNotContinued(t, b.submitStream(core.Progress{Tokens: []int32{1}, Software: core.UnknownSoftware("s1@3")}))
}
