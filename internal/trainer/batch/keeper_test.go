package batch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// readAll reads until the job is whole.
func (w *world) readAll(n *node, id string, total int) []Result {
	w.t.Helper()
	var all []Result
	for range 400 {
		a := w.desk(n, Query{Kind: QueryResults, ID: JobID(id), FromPosition: len(all), MaxWait: 200 * time.Millisecond})
		all = append(all, a.Results...)
		if len(all) == total {
			return all
		}
	}
	w.t.Fatalf("job %s has %d of %d results", id, len(all), total)
	return nil
}

// Guards against results that are lost, doubled or not the item's own text.
func TestJobRunsToTheEnd(t *testing.T) {
	w := newWorld(t, 2, 1)
	if a := w.desk(w.nodes[0], submit("a", 20)); a.Status != StatusOK {
		t.Fatalf("submission answered %v", a.Status)
	}
	seen := map[ItemID]bool{}
	for _, r := range w.readAll(w.nodes[1], "a", 20) {
		if err := checkResult(r); err != nil || !r.Done || seen[r.Item] {
			t.Errorf("result %+v: %v", r, err)
		}
		seen[r.Item] = true
	}
	if a := w.desk(w.nodes[1], submit("a", 20)); a.Status != StatusOK || len(w.runs) != 20 {
		t.Errorf("repeated submission: %v, %d items ran", a.Status, len(w.runs))
	}
}

// Guards against a job that is accepted although the store has refused it.
func TestRefusedJobDoesNotRun(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.nodes[0].cut = true
	if a := w.ask(w.nodes[0], submit("a", 3)); a.Status != StatusUnavailable {
		t.Fatalf("submission answered %v, want a refusal", a.Status)
	}
	w.nodes[0].cut = false
	for range 50 {
		w.step()
	}
	if len(w.runs) != 0 || len(w.store.objects) != 0 {
		t.Errorf("a refused job ran %d items and left %d objects", len(w.runs), len(w.store.objects))
	}
}

// Guards against a job that nobody runs after its owner has died, and against
// a daemon that takes its own earlier run for a living owner.
func TestOwnerDies(t *testing.T) {
	for _, reader := range []int{0, 1} {
		w := newWorld(t, 2, 3)
		w.ask(w.nodes[0], submit("a", 10))
		w.nodes[0].start() // a new run knows nothing of the job
		if got := w.readAll(w.nodes[reader], "a", 10); len(got) != 10 {
			t.Errorf("reader %d: %d results", reader, len(got))
		}
	}
}

// Guards against an owner that is cut off from the store and says that there
// are no results at positions that another daemon has listed.
func TestCutOffOwnerDoesNotDenyResults(t *testing.T) {
	w := newWorld(t, 2, 4)
	owner, other := w.nodes[0], w.nodes[1]
	w.ask(owner, submit("a", 10))
	owner.cut = true
	got := w.readAll(other, "a", 10)
	a := w.ask(owner, Query{Kind: QueryResults, ID: "a", FromPosition: len(got) - 1})
	if a.Status == StatusOK && len(a.Results) == 0 {
		t.Errorf("the former owner denies a result that was read")
	}
	if w.runs["a.0"] > 2 {
		t.Errorf("an item ran %d times", w.runs["a.0"])
	}
}

// Guards against a reader that waits for a cut off owner which has no result to
// write and so never noticed the cut.
func TestIdleCutOffOwnerIsReplaced(t *testing.T) {
	w := newWorld(t, 2, 8)
	owner, other := w.nodes[0], w.nodes[1]
	w.fail = func(*core.Call) int { return 503 } // nothing ends yet
	w.ask(owner, submit("a", 4))
	owner.cut = true
	for range 50 {
		w.step()
	}
	a := w.ask(owner, Query{Kind: QueryResults, ID: "a", Relayed: true})
	if a.Status != StatusUnavailable || !a.StoreUnreachable {
		t.Fatalf("the cut off owner answers %v, cut off %v", a.Status, a.StoreUnreachable)
	}
	w.fail = func(*core.Call) int { return 0 }
	if got := w.readAll(other, "a", 4); len(got) != 4 || other.keeper.openJobs() != 1 {
		t.Errorf("%d results, %d jobs at the reader's daemon", len(got), other.keeper.openJobs())
	}
}

// Guards against items that run on after the end of their job, also at an
// owner that did not get the end itself.
func TestEndStopsTheOwner(t *testing.T) {
	w := newWorld(t, 2, 5)
	owner, other := w.nodes[0], w.nodes[1]
	w.fail = func(*core.Call) int { return 503 } // nothing ever succeeds
	w.ask(owner, submit("a", 4))
	q := Query{Kind: QueryEndJob, ID: "a", Reload: true, ReplaceOwner: owner.keeper.self}
	if a := w.ask(other, q); a.Status == StatusNotOwner {
		a = w.ask(other, q)
		if a.Status != StatusOK {
			t.Fatalf("end answered %v", a.Status)
		}
	}
	for at := time.Duration(0); at < 2500*time.Millisecond; at += stepTime {
		w.step()
	}
	for _, n := range w.nodes {
		n.calls = nil
	}
	for range 50 {
		w.clock.Advance(stepTime)
		for _, n := range w.nodes {
			n.keeper.loop.RunPending()
			if len(n.calls) > 0 {
				t.Fatalf("daemon %s runs items of an ended job", n.address)
			}
		}
	}
}

// Guards against items of a job that has ended while its owner had no store.
func TestRecheckStopsEndedJobs(t *testing.T) {
	w := newWorld(t, 2, 9)
	owner, other := w.nodes[0], w.nodes[1]
	w.fail = func(*core.Call) int { return 503 }
	w.ask(owner, submit("a", 4))
	owner.cut = true
	w.ask(other, Query{Kind: QueryResults, ID: "a"})
	if a := w.ask(other, Query{Kind: QueryEndJob, ID: "a", Reload: true, ReplaceOwner: owner.keeper.self}); a.Status != StatusOK {
		t.Fatalf("end answered %v", a.Status)
	}
	owner.cut = false
	owner.keeper.RecheckOwnership()
	for range 3 {
		w.step()
	}
	if owner.keeper.openJobs() != 0 {
		t.Error("the owner runs the items of an ended job after a recheck")
	}
}

// Guards against items that are given up before they failed often enough, and
// against items that run for ever.
func TestItemsAreGivenUp(t *testing.T) {
	cases := []struct {
		name   string
		status int
		reward bool
		runs   int
	}{
		{"server fails", statusFailed, false, 3},
		{"impossible", statusImpossible, false, 1},
		{"reward fails", statusFailed, true, 2},
	}
	for _, c := range cases {
		w := newWorld(t, 1, 6)
		failed := 0
		w.fail = func(call *core.Call) int {
			if (call.Request.Operation != "") == c.reward {
				failed++
				return c.status
			}
			return 0
		}
		w.ask(w.nodes[0], submit("a", 1))
		got := w.readAll(w.nodes[0], "a", 1)
		if got[0].Done || failed != c.runs {
			t.Errorf("%s: done %v after %d runs, want %d", c.name, got[0].Done, failed, c.runs)
		}
	}
}

// Guards against items that are tried past the time of their job.
func TestItemsExpire(t *testing.T) {
	w := newWorld(t, 1, 7)
	w.rules.AbandonAfter = time.Second
	w.fail = func(call *core.Call) int { return 503 }
	w.ask(w.nodes[0], submit("a", 2))
	if got := w.readAll(w.nodes[0], "a", 2); got[0].Done || got[1].Done {
		t.Errorf("results %+v of items that never ran", got)
	}
}

// Guards against events of versions that are too old for the job.
func TestStaleVersionIsNotTaken(t *testing.T) {
	c := collector{oldest: 3, stop: func() {}}
	c.take(core.Chunk{Version: 2, Tokens: []int32{1}})
	if !c.end.mixed || len(c.end.events) != 0 {
		t.Errorf("an event of version 2 was taken for a job that wants 3: %+v", c.end)
	}
	c = collector{single: true, stop: func() {}}
	c.take(core.Chunk{Version: 2, Tokens: []int32{1}})
	c.take(core.Chunk{Version: 3, Tokens: []int32{2}})
	if !c.end.mixed {
		t.Error("two versions were taken for a sample of one")
	}
}

// Guards against an item that runs again at once, many times a second, at an
// engine whose version is not the one that it is believed to hold.
func TestRunUnderAnotherVersionWaits(t *testing.T) {
	w := newWorld(t, 1, 1)
	if a := w.ask(w.nodes[0], submit("a", 1)); a.Status != StatusOK {
		t.Fatal(a.Status)
	}
	k := w.nodes[0].keeper
	e := k.jobs["a"]
	const run = 5
	r := &itemRun{item: &e.job.Items[0], run: run, running: true}
	e.phase, e.items = phaseOwned, map[ItemID]*itemRun{"a.0": r}
	k.handleItemEnd(itemEnd{job: "a", item: "a.0", run: run, mixed: true})
	if r.running || r.run != run || !r.notUntil.Equal(k.now().Add(rerunDelay)) {
		t.Errorf("running %v, run %d after %d, next at %v", r.running, r.run, run, r.notUntil)
	}
}

// Guards against a short item that delays a long one.
func TestLongItemsGoFirst(t *testing.T) {
	got := launchOrder([]Item{{ID: "a", LengthHint: 5}, {ID: "b", LengthHint: 90}, {ID: "c"}, {ID: "d", LengthHint: 90}})
	if fmt.Sprint(got) != "[b d a c]" {
		t.Errorf("order %v", got)
	}
}

// chaosSeeds is the number of runs with deaths, cuts, lost answers and late writes.
const chaosSeeds = 200

// Guards against positions that change, results that vanish, items that stand
// twice and accepted jobs that are lost, whatever fails.
func TestChaosKeepsPositions(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		if err := runChaos(t, seed, 0); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a job in several objects that is accepted without all of its
// items, or that is read in parts.
func TestChaosKeepsLargeJobs(t *testing.T) {
	const objectBytes = 700 // about four items
	for seed := range uint64(chaosSeeds) {
		if err := runChaos(t, seed, objectBytes); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a job above the size of an object that is refused for ever,
// and against items that change when they are read from several objects.
func TestLargeJobIsSplit(t *testing.T) {
	w := newWorld(t, 2, 1)
	q := submit("a", 6)
	for i := range q.Job.Items {
		q.Job.Items[i].Body = bytes.Repeat([]byte{byte('a' + i)}, 300<<10)
	}
	if a := w.ask(w.nodes[0], q); a.Status != StatusOK {
		t.Fatalf("job of 1.8 MB: %v", a.Status)
	}
	for key, o := range w.store.objects {
		if len(o.Value) >= platform.MaxValueBytes {
			t.Errorf("object %s has %d bytes", key, len(o.Value))
		}
	}
	w.nodes[0].cut = true
	w.nodes[0].start()
	for i := range 6 {
		a := w.desk(w.nodes[1], Query{Kind: QueryItemBody, ID: "a", Item: ItemID(fmt.Sprintf("a.%d", i))})
		if a.Status == StatusOK && !bytes.Equal(a.Body, bytes.Repeat([]byte{byte('a' + i)}, 300<<10)) {
			t.Errorf("item %d has another body", i)
		}
	}
	if got := w.readAll(w.nodes[1], "a", 6); len(got) != 6 {
		t.Errorf("%d results", len(got))
	}
}

func runChaos(t *testing.T, seed uint64, objectBytes int) error {
	const items = 12
	w := newWorldOf(t, 3, seed, objectBytes)
	w.chaos = 0.25
	accepted := false
	for range 20 {
		if w.ask(w.nodes[w.random.IntN(3)], submit("a", items)).Status == StatusOK {
			accepted = true
			break
		}
	}
	if !accepted {
		return nil
	}
	known := map[int]Result{}
	for range 60 {
		n := w.nodes[w.random.IntN(3)]
		switch w.random.IntN(10) {
		case 0:
			n.start()
		case 1:
			n.cut = true
		case 2, 3:
			n.cut = false
		}
		if err := w.readSome(w.nodes[w.random.IntN(3)], known, items); err != nil {
			return err
		}
	}
	w.chaos = 0
	for _, n := range w.nodes {
		n.cut = false
	}
	for i, r := range w.readAll(w.nodes[0], "a", items) {
		if old, ok := known[i]; ok && (old.Item != r.Item || old.Text != r.Text) {
			return fmt.Errorf("%w: position %d", errMoved, i)
		}
	}
	return nil
}

// settleTime is how long after a position was read another daemon may still
// say that it is empty.
const settleTime = time.Second

// readSome reads from a random position and compares with what was read before.
func (w *world) readSome(n *node, known map[int]Result, items int) error {
	after := w.random.IntN(items)
	asked := w.clock.Now()
	a := w.desk(n, Query{Kind: QueryResults, ID: "a", FromPosition: after})
	if a.Status == StatusNotFound {
		return fmt.Errorf("the job is unknown at %s", n.address)
	}
	isSettled := asked.Sub(w.readAt[after]) > settleTime
	if _, read := known[after]; read && isSettled && a.Status == StatusOK && len(a.Results) == 0 {
		return fmt.Errorf("position %d was read and is empty at %s", after, n.address)
	}
	at := map[ItemID]int{}
	for i, r := range known {
		at[r.Item] = i
	}
	for i, r := range a.Results {
		old, read := known[after+i]
		if read && (old.Item != r.Item || old.Text != r.Text) {
			return fmt.Errorf("%w: position %d", errMoved, after+i)
		}
		if p, twice := at[r.Item]; twice && p != after+i {
			return fmt.Errorf("item %s stands at %d and %d", r.Item, p, after+i)
		}
		if err := checkResult(r); err != nil {
			return err
		}
		if !read {
			w.readAt[after+i] = w.clock.Now()
		}
		known[after+i] = r
	}
	return nil
}
