package batch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// readAll reads until all results of the job are published.
func (cluster *testCluster) readAll(d *testDaemon, id string, total int) []Result {
	cluster.t.Helper()
	var all []Result
	for range 400 {
		a := cluster.queryViaOwner(d, Query{Kind: QueryResults, ID: JobID(id), FromPosition: len(all), MaxWait: 200 * time.Millisecond})
		all = append(all, a.Results...)
		if len(all) == total {
			return all
		}
	}
	cluster.t.Fatalf("job %s has %d of %d results", id, len(all), total)
	return nil
}

// Guards against results that are lost, published twice or of another item.
func TestJobPublishesEveryResultOnce(t *testing.T) {
	cluster := newCluster(t, 2, 1)
	if a := cluster.queryViaOwner(cluster.daemons[0], submitQuery("a", 20)); a.Status != StatusOK {
		t.Fatalf("submission answered %v", a.Status)
	}
	seen := map[ItemID]bool{}
	for _, r := range cluster.readAll(cluster.daemons[1], "a", 20) {
		if err := checkResult(r); err != nil || !r.Done || seen[r.Item] {
			t.Errorf("result %+v: %v", r, err)
		}
		seen[r.Item] = true
	}
	if a := cluster.queryViaOwner(cluster.daemons[1], submitQuery("a", 20)); a.Status != StatusOK || len(cluster.runs) != 20 {
		t.Errorf("repeated submission: %v, %d items ran", a.Status, len(cluster.runs))
	}
}

// Guards against a job that is accepted although the store refused it.
func TestRefusedJobDoesNotRun(t *testing.T) {
	cluster := newCluster(t, 1, 2)
	cluster.daemons[0].disconnected = true
	if a := cluster.query(cluster.daemons[0], submitQuery("a", 3)); a.Status != StatusUnavailable {
		t.Fatalf("submission answered %v, want a refusal", a.Status)
	}
	cluster.daemons[0].disconnected = false
	for range 50 {
		cluster.step()
	}
	if len(cluster.runs) != 0 || len(cluster.store.objects) != 0 {
		t.Errorf("a refused job ran %d items and left %d objects", len(cluster.runs), len(cluster.store.objects))
	}
}

// Guards against a job that no daemon runs after its owner has crashed, and
// against a restarted daemon that considers its earlier start a live owner.
func TestOwnerDies(t *testing.T) {
	for _, reader := range []int{0, 1} {
		cluster := newCluster(t, 2, 3)
		cluster.query(cluster.daemons[0], submitQuery("a", 10))
		cluster.daemons[0].start() // the restarted daemon has no state of the job
		if got := cluster.readAll(cluster.daemons[reader], "a", 10); len(got) != 10 {
			t.Errorf("reader %d: %d results", reader, len(got))
		}
	}
}

// Guards against an owner that cannot reach the store and replies that there are
// no results at positions that another daemon has published.
func TestCutOffOwnerDoesNotDenyResults(t *testing.T) {
	cluster := newCluster(t, 2, 4)
	owner, other := cluster.daemons[0], cluster.daemons[1]
	cluster.query(owner, submitQuery("a", 10))
	owner.disconnected = true
	got := cluster.readAll(other, "a", 10)
	a := cluster.query(owner, Query{Kind: QueryResults, ID: "a", FromPosition: len(got) - 1})
	if a.Status == StatusOK && len(a.Results) == 0 {
		t.Errorf("the former owner returns no result at a position that was read")
	}
	if cluster.runs["a.0"] > 2 {
		t.Errorf("an item ran %d times", cluster.runs["a.0"])
	}
}

// Guards against an owner that denies a published position: the former owner, which
// has not learned of the takeover yet, publishes results after the new owner has
// read the list, and the new owner has nothing to publish itself.
func TestNewOwnerFindsLateResultsOfFormerOwner(t *testing.T) {
	cluster := newCluster(t, 2, 10)
	former, owner := cluster.daemons[0], cluster.daemons[1]
	cluster.callStatus = func(*core.Call) int { return 503 } // no item finishes yet
	cluster.query(former, submitQuery("a", 4))
	takeOver := Query{Kind: QueryResults, ID: "a", Reload: true, ReplaceOwner: former.manager.self}
	if a := cluster.query(owner, takeOver); a.Status == StatusNotOwner {
		cluster.query(owner, takeOver)
	}
	if owner.manager.countOpenJobs() != 1 {
		t.Fatal("the job was not taken over")
	}
	owner.callsStall = true
	cluster.callStatus = func(c *core.Call) int {
		if strings.HasSuffix(c.Request.Forward.ID, "a.0") { // the item and its reward call
			return 0
		}
		return 503
	}
	a := cluster.query(former, Query{Kind: QueryResults, ID: "a", MaxWait: 2 * time.Second})
	if len(a.Results) != 1 {
		t.Fatalf("the former owner answers %v with %d results, want 1", a.Status, len(a.Results))
	}
	for at := time.Duration(0); at < 2*visibilityDelay; at += stepDuration {
		cluster.step()
	}
	a = cluster.query(owner, Query{Kind: QueryResults, ID: "a", Relayed: true})
	if a.Status == StatusOK && len(a.Results) == 0 {
		t.Error("the new owner returns no result at a position that was read")
	}
}

// Guards against a result part that is listed twice: the reply to its write arrives
// after the job was ended and its result list was read from the store.
func TestLateReplyDoesNotRepeatResults(t *testing.T) {
	cluster := newCluster(t, 1, 11)
	d := cluster.daemons[0]
	cluster.callStatus = func(c *core.Call) int {
		if strings.HasSuffix(c.Request.Forward.ID, "a.0") {
			return 0
		}
		return 503
	}
	d.holds = func(op platform.Op) bool { return op.Kind == platform.OpPut && strings.HasPrefix(op.Key, resultPrefix) }
	cluster.query(d, submitQuery("a", 4))
	for range 200 {
		if len(d.heldReplies) == 0 {
			cluster.step()
		}
	}
	if a := cluster.query(d, Query{Kind: QueryEndJob, ID: "a"}); a.Status != StatusOK || len(d.heldReplies) != 1 {
		t.Fatalf("end answered %v with %d writes in progress", a.Status, len(d.heldReplies))
	}
	for at := time.Duration(0); at < 2*confirmationTTL; at += stepDuration {
		cluster.step()
	}
	cluster.query(d, Query{Kind: QueryResults, ID: "a"})
	d.heldReplies[0]()
	for at := time.Duration(0); at < 2*confirmationTTL; at += stepDuration {
		cluster.step()
	}
	if a := cluster.query(d, Query{Kind: QueryResults, ID: "a"}); len(a.Results) != 1 {
		t.Errorf("%d results are listed, want 1: %+v", len(a.Results), a.Results)
	}
}

// Guards against a reader that waits for a disconnected owner. An owner without
// results to write detects the disconnection only by an ownership check.
func TestIdleCutOffOwnerIsReplaced(t *testing.T) {
	cluster := newCluster(t, 2, 8)
	owner, other := cluster.daemons[0], cluster.daemons[1]
	cluster.callStatus = func(*core.Call) int { return 503 } // no item finishes yet
	cluster.query(owner, submitQuery("a", 4))
	owner.disconnected = true
	for range 50 {
		cluster.step()
	}
	a := cluster.query(owner, Query{Kind: QueryResults, ID: "a", Relayed: true})
	if a.Status != StatusUnavailable || !a.StoreUnreachable {
		t.Fatalf("the disconnected owner answers %v, store unreachable %v", a.Status, a.StoreUnreachable)
	}
	cluster.callStatus = func(*core.Call) int { return 0 }
	if got := cluster.readAll(other, "a", 4); len(got) != 4 || other.manager.countOpenJobs() != 1 {
		t.Errorf("%d results, %d jobs at the reader's daemon", len(got), other.manager.countOpenJobs())
	}
}

// Guards against a load from the store at each daemon that a trainer reads from: a
// daemon that was told the owner relays reads to it, also long after the job has begun.
func TestReadsAreRelayedToKnownOwner(t *testing.T) {
	cluster := newCluster(t, 2, 13)
	owner, other := cluster.daemons[0], cluster.daemons[1]
	cluster.query(owner, submitQuery("a", 4))
	other.manager.UpdateOwners([]Ownership{{Job: "a", Owner: owner.manager.self}})
	for range int(30 * time.Second / stepDuration) {
		cluster.step()
	}
	a := cluster.queryViaOwner(other, Query{Kind: QueryResults, ID: "a"})
	if a.Status != StatusOK || len(a.Results) != 4 || other.storeOps != 0 {
		t.Errorf("%v with %d results after %d store operations of the reader's daemon, want 4 after 0", a.Status, len(a.Results), other.storeOps)
	}
}

// Guards against a query of a peer that makes the jobs duty panic or wait for ever: a
// submission without a job, an unknown kind, a position or wait out of range.
func TestMalformedQueriesAreRefused(t *testing.T) {
	cluster := newCluster(t, 1, 12)
	log := logrus.New()
	log.SetOutput(io.Discard)
	router := NewRouter(cluster.daemons[0].manager, nil, logrus.NewEntry(log))
	for _, q := range []Query{
		{Kind: QuerySubmit, ID: "a"}, {Kind: 99, ID: "a"}, {Kind: -1, ID: "a"},
		{Kind: QueryResults, ID: "a", FromPosition: -1}, {Kind: QueryResults, ID: "a", MaxWait: -1}, {Kind: QueryResults, ID: "a", MaxWait: time.Hour},
	} {
		if a := router.HandleRelayed(t.Context(), q); a.Status != StatusUnavailable || cluster.daemons[0].manager.queries.Stats().Put != 0 {
			t.Errorf("query %+v is answered %v", q, a.Status)
		}
	}
}

// Guards against items that are abandoned before they reach the maximum number of
// failures, and against items that are retried for ever.
func TestItemsAreAbandoned(t *testing.T) {
	cases := []struct {
		name   string
		status int
		reward bool
		runs   int
	}{
		{"server fails", statusItemFailed, false, 3},
		{"impossible", statusItemImpossible, false, 1},
		{"reward fails", statusItemFailed, true, 2},
	}
	for _, c := range cases {
		cluster := newCluster(t, 1, 6)
		failed := 0
		cluster.callStatus = func(call *core.Call) int {
			if (call.Request.Operation != "") == c.reward {
				failed++
				return c.status
			}
			return 0
		}
		cluster.query(cluster.daemons[0], submitQuery("a", 1))
		got := cluster.readAll(cluster.daemons[0], "a", 1)
		if got[0].Done || failed != c.runs {
			t.Errorf("%s: done %v after %d runs, want %d", c.name, got[0].Done, failed, c.runs)
		}
	}
}

// Guards against items that are retried after the time limit of their job.
func TestItemsExpire(t *testing.T) {
	cluster := newCluster(t, 1, 7)
	cluster.rules.AbandonAfter = time.Second
	cluster.callStatus = func(call *core.Call) int { return 503 }
	cluster.query(cluster.daemons[0], submitQuery("a", 2))
	if got := cluster.readAll(cluster.daemons[0], "a", 2); got[0].Done || got[1].Done {
		t.Errorf("results %+v of items that never ran", got)
	}
}

// Guards against results with tokens of weight versions that the job does not
// allow: older than its minimum, or mixed where it wants a single version.
func TestStaleVersionIsRejected(t *testing.T) {
	c := answerCollector{minVersion: 3, cancel: func() {}}
	c.acceptChunk(core.Chunk{Version: 2, Tokens: []int32{1}})
	if !c.result.versionMismatch || !c.result.progress.IsEmpty() {
		t.Errorf("tokens of version 2 were accepted for a job with minimum version 3: %+v", c.result)
	}
	c = answerCollector{singleVersion: true, cancel: func() {}}
	c.acceptChunk(core.Chunk{Version: 2, Tokens: []int32{1}})
	c.acceptChunk(core.Chunk{Version: 3, Tokens: []int32{2}})
	if !c.result.versionMismatch {
		t.Error("tokens of two versions were accepted for an item with a single version")
	}
}

// Guards against an item that is retried many times a second at an engine whose
// reported weight version is out of date: each run ends with a version mismatch.
func TestRunUnderAnotherVersionWaits(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	if a := cluster.query(cluster.daemons[0], submitQuery("a", 1)); a.Status != StatusOK {
		t.Fatal(a.Status)
	}
	m := cluster.daemons[0].manager
	e := m.jobs["a"]
	const number = 5
	r := &itemRun{item: &e.job.Items[0], number: number, running: true}
	e.phase, e.items = phaseOwned, map[ItemID]*itemRun{"a.0": r}
	m.handleRunEnd(runEnd{job: "a", item: "a.0", generation: e.generation, run: number, versionMismatch: true})
	if r.running || r.number != number || !r.notBefore.Equal(m.now().Add(itemRetryDelay)) {
		t.Errorf("running %v, run %d after %d, next at %v", r.running, r.number, number, r.notBefore)
	}
}

// Guards against a result whose text joins events of two software versions, and
// against an item that waits for a version that no server runs any more.
func TestItemStartsAnewWhenItsSoftwareVersionIsGone(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	var resumed []core.Progress
	cluster.endOverride = func(c *core.Call) bool {
		resumed = append(resumed, c.Request.Resume)
		switch len(resumed) {
		case 1:
			c.Answer.Append(context.Background(), core.Chunk{Attempt: 1, Tokens: []int32{1}, Text: "old", Version: 2, Software: "v1"})
			c.Fail(core.MayHaveRunError(core.CodeBackendFailure, "broken"))
		case 2:
			c.Fail(core.NotRunError(core.CodeNotContinued, "no server"))
		default:
			return false
		}
		return true
	}
	if a := cluster.query(cluster.daemons[0], submitQuery("a", 1)); a.Status != StatusOK {
		t.Fatal(a.Status)
	}
	r := cluster.readAll(cluster.daemons[0], "a", 1)[0]
	if err := checkResult(r); err != nil {
		t.Errorf("result %+v: %v", r, err)
	}
	if len(resumed) != 3 || len(resumed[1].Tokens) != 1 || resumed[1].Software != "v1" || !resumed[2].IsEmpty() {
		t.Errorf("runs resumed %+v, want none, one event of v1, none", resumed)
	}
}

// Guards against a long item that starts after shorter ones and delays the step.
func TestLongItemsLaunchFirst(t *testing.T) {
	got := launchOrder([]Item{{ID: "a", LengthHint: 5}, {ID: "b", LengthHint: 90}, {ID: "c"}, {ID: "d", LengthHint: 90}})
	if fmt.Sprint(got) != "[b d a c]" {
		t.Errorf("order %v", got)
	}
}

// faultSeeds is the number of random runs with crashes, disconnections, lost
// replies and late writes.
const faultSeeds = 200

// visibilityDelay is how long after the first read of a position another daemon may
// still reply that it is empty.
const visibilityDelay = time.Second
