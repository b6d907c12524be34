package batch

import (
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against the end of a run of an earlier ownership that is taken for the end of a
// run of the present one: the numbers of runs start again at 1.
func TestRunOfEarlierOwnershipIsIgnored(t *testing.T) {
	cluster := newCluster(t, 2, 6)
	d, other := cluster.daemons[0], cluster.daemons[1]
	d.callsStall = true
	cluster.query(d, submitQuery("a", 1))
	cluster.wait(100 * time.Millisecond)
	oldCalls, oldCollections := d.calls, d.collections
	d.calls, d.collections = nil, nil
	if len(oldCalls) != 1 {
		t.Fatalf("%d calls", len(oldCalls))
	}
	// Another daemon takes the job over, and this one takes it back.
	reload := func(who *testDaemon, from Owner) {
		cluster.query(who, Query{Kind: QueryItemBody, ID: "a", Item: "a.0", Reload: true, ReplaceOwner: from})
	}
	other.callsStall = true
	reload(other, d.manager.self)
	cluster.wait(2 * time.Second) // d learns that the job is owned elsewhere
	if d.manager.jobs["a"].phase == phaseOwned {
		t.Fatal("the former owner did not stop")
	}
	reload(d, other.manager.self)
	cluster.wait(100 * time.Millisecond)
	e := d.manager.jobs["a"]
	if e.phase != phaseOwned || len(d.calls) != 1 {
		t.Fatalf("phase %v, %d calls", e.phase, len(d.calls))
	}
	if oldCalls[0].Context.Err() == nil {
		t.Fatal("the old run was not cancelled")
	}
	// The end of the old run arrives only now.
	oldCalls[0].Fail(&core.Error{Code: core.CodeCancelled, Verdict: core.MayHaveRun, Reason: "cancelled"})
	oldCollections[0]()
	d.manager.loop.RunPending()
	if r := e.items["a.0"]; !r.running || r.cancel == nil {
		t.Errorf("the end of the old run ended the new one: running %v, cancel function %v", r.running, r.cancel != nil)
	}
	cluster.wait(time.Second)
	if n := len(d.calls); n != 1 {
		t.Errorf("%d runs of the item at the same time", n)
	}
	newCall := d.calls[0]
	// The job ends at the owner: all its runs must be cancelled.
	cluster.query(d, Query{Kind: QueryEndJob, ID: "a"})
	if newCall.Context.Err() == nil {
		t.Error("a run of the ended job is not cancelled")
	}
}

// Guards against a text that joins parts of runs of two ownerships.
func TestTextOfTwoOwnerships(t *testing.T) {
	cluster := newCluster(t, 2, 7)
	d, other := cluster.daemons[0], cluster.daemons[1]
	d.callsStall, other.callsStall = true, true
	cluster.query(d, submitQuery("a", 1))
	chunk := func(c *core.Call, at int) {
		c.Answer.Append(t.Context(), core.Chunk{Attempt: 1, Position: at, Tokens: []int32{int32(at + 1)}, Text: string(rune('1' + at)), Version: 2})
	}
	takeCall := func() (*core.Call, func()) {
		for range 200 {
			if len(d.calls) > 0 {
				break
			}
			cluster.step()
		}
		if len(d.calls) != 1 {
			t.Fatalf("%d calls", len(d.calls))
		}
		c, f := d.calls[0], d.collections[0]
		d.calls, d.collections = nil, nil
		return c, f
	}
	broken := core.MayHaveRunError(core.CodeBackendFailure, "broken")
	c1, f1 := takeCall()
	chunk(c1, 0)
	c1.Fail(broken)
	f1()
	c2, f2 := takeCall() // run 2 resumes after event 1
	if len(c2.Request.Resume.Tokens) != 1 {
		t.Fatal("run 2 does not resume")
	}
	chunk(c2, 1)
	reload := func(who *testDaemon, from Owner) {
		cluster.query(who, Query{Kind: QueryItemBody, ID: "a", Item: "a.0", Reload: true, ReplaceOwner: from})
	}
	reload(other, d.manager.self)
	cluster.wait(2 * time.Second)
	reload(d, other.manager.self)
	c3, f3 := takeCall() // run 1 of the new ownership, without an event
	c3.Fail(broken)
	f3()
	takeCall() // run 2 of the new ownership
	c2.Fail(&core.Error{Code: core.CodeCancelled, Verdict: core.MayHaveRun, Reason: "cancelled"})
	f2()
	d.manager.loop.RunPending()
	r := d.manager.jobs["a"].items["a.0"]
	if len(r.texts) != len(r.progress.Tokens) {
		t.Errorf("the item has the texts %q and the events %v: its text will miss events", r.texts, r.progress.Tokens)
	}
}
