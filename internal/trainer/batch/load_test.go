package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	storedItems = 40
	// itemsPerPart is the number of items, and of results, in one object of storeEndedJob.
	itemsPerPart = 4
)

// put stores a value under the key.
func (s *fakeStore) put(t *testing.T, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if r := s.apply(platform.Op{Kind: platform.OpPut, Key: key, Value: encoded}); r.Err != nil {
		t.Fatal(r.Err)
	}
}

// storeEndedJob stores a job that has ended, with all its results, as daemons that are gone
// have left it: its items and its results are in several objects.
func (cluster *testCluster) storeEndedJob(t *testing.T, id string) {
	t.Helper()
	job := testJob(id, storedItems)
	job.AcceptedBy = Owner{Address: "10.0.0.99:1", Run: "gone"}
	parts := storedItems / itemsPerPart
	job.ItemParts, job.ItemsDigest = parts, "d"
	for part := range parts {
		items := job.Items[part*itemsPerPart : (part+1)*itemsPerPart]
		results := resultPart{From: part * itemsPerPart}
		for _, item := range items {
			results.Results = append(results.Results, Result{Item: item.ID, Done: true, Text: expectedText(string(item.ID)), Versions: []core.Version{2}, Score: "score-r" + string(item.ID)})
		}
		cluster.store.put(t, job.itemPartKey(part), items)
		cluster.store.put(t, resultPartKey(job.ID, part), results)
	}
	header := *job
	header.Items = nil
	cluster.store.put(t, jobPrefix+id, header)
	cluster.store.put(t, statePrefix+id, state{Owner: job.AcceptedBy, Ended: true})
}

// answerSize returns the bytes of the values in an answer of the store.
func answerSize(r platform.Result) int {
	size := len(r.Object.Value)
	for _, o := range r.Listing.Objects {
		size += len(o.Value)
	}
	return size
}

// Guards against an ended job that no daemon can read once all memory is lost: its objects
// together do not arrive within one operation, or the store fails now and then.
func TestEndedJobIsReadableByDaemonsWithoutMemory(t *testing.T) {
	const failurePeriod = 5 // operations
	operations := 0
	cases := map[string]func(op platform.Op, r platform.Result) bool{
		"answers of one object only": func(_ platform.Op, r platform.Result) bool {
			const largestObject = 2000 // bytes
			return answerSize(r) > largestObject
		},
		"operations that fail now and then": func(platform.Op, platform.Result) bool {
			operations++
			return operations%failurePeriod == 0
		},
	}
	for name, fails := range cases {
		cluster := newCluster(t, 1, 1)
		cluster.storeEndedJob(t, "a")
		d := cluster.daemons[0]
		d.fails = fails
		reply := Reply{}
		for range 2 * storedItems / failurePeriod {
			if reply = cluster.query(d, Query{Kind: QueryResults, ID: "a", FromPosition: storedItems - 1}); reply.Status == StatusOK {
				break
			}
		}
		if reply.Status != StatusOK || reply.Total != storedItems || len(reply.Results) != 1 {
			t.Errorf("%s: status %v with %d of %d results", name, reply.Status, len(reply.Results), reply.Total)
			continue
		}
		for i, r := range cluster.query(d, Query{Kind: QueryResults, ID: "a"}).Results {
			if err := checkResult(r); err != nil || r.Item != ItemID(fmt.Sprintf("a.%d", i)) {
				t.Errorf("%s: position %d has item %s, %v", name, i, r.Item, err)
			}
		}
	}
}

// Guards against a reader that gets nothing although the results at its position were
// read before the load failed.
func TestFailedLoadAnswersReadersWithWhatItHasRead(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.storeEndedJob(t, "a")
	d := cluster.daemons[0]
	last := resultPartKey("a", storedItems/itemsPerPart-1)
	d.fails = func(op platform.Op, _ platform.Result) bool { return op.Key == last }
	reply := cluster.query(d, Query{Kind: QueryResults, ID: "a"})
	if reply.Status != StatusOK || reply.Total != storedItems || len(reply.Results) != storedItems-itemsPerPart {
		t.Errorf("status %v with %d of %d results", reply.Status, len(reply.Results), reply.Total)
	}
	if r := cluster.query(d, Query{Kind: QueryResults, ID: "a", FromPosition: storedItems - 1}); r.Status != StatusUnavailable {
		t.Errorf("a position that was not read: %v", r.Status)
	}
}

// releaseReplies passes on the replies that were held back, and returns how many they were.
func (d *testDaemon) releaseReplies() int {
	held := d.heldReplies
	d.heldReplies = nil
	for _, reply := range held {
		reply()
	}
	return len(held)
}

// holdUntil steps the cluster until the daemon holds back replies to n operations.
func (cluster *testCluster) holdUntil(d *testDaemon, n int) {
	cluster.t.Helper()
	for range maxReplySteps {
		if len(d.heldReplies) >= n {
			return
		}
		cluster.step()
	}
	cluster.t.Fatalf("%d replies are held back, want %d", len(d.heldReplies), n)
}

// Guards against results that are listed twice when the answers to a part of them and to the
// end of the job come late, after the owner has read that the job has ended.
func TestLateAnswersBesideAnEndListNoResultTwice(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	d := cluster.daemons[0]
	cluster.callStatus = func(c *core.Call) int {
		if id := c.Request.Forward.ID; id == "a.2" || id == "a.3" {
			return statusUnavailable
		}
		return 0
	}
	d.holds = func(op platform.Op) bool { return strings.HasPrefix(op.Key, resultPrefix) }
	cluster.query(d, submitQuery("a", 4))
	cluster.holdUntil(d, 1) // a part of the results
	d.heldReplies = nil
	d.holds = func(op platform.Op) bool {
		return strings.HasPrefix(op.Key, resultPrefix) || (op.Kind == platform.OpPut && strings.HasPrefix(op.Key, statePrefix))
	}
	if _, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryEndJob, ID: "a"}); err != nil {
		t.Fatal(err)
	}
	cluster.holdUntil(d, 2) // the end, and the list that is read once the end is found
	if _, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryResults, ID: "a", MaxWait: time.Second}); err != nil {
		t.Fatal(err)
	}
	cluster.step()
	end := d.heldReplies[0]
	d.heldReplies = d.heldReplies[1:]
	end()
	cluster.step()
	d.holds = nil
	d.releaseReplies()
	cluster.wait(time.Second)
	var items []ItemID
	for _, r := range cluster.query(d, Query{Kind: QueryResults, ID: "a"}).Results {
		items = append(items, r.Item)
	}
	if !slices.Equal(items, []ItemID{"a.0", "a.1"}) {
		t.Errorf("listed items: %v", items)
	}
}

// Guards against a position below 0 that ends the daemon when the job cannot be read.
func TestNegativePositionOfAnUnreadableJob(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	d := cluster.daemons[0]
	d.fails = func(platform.Op, platform.Result) bool { return true }
	if r := cluster.query(d, Query{Kind: QueryResults, ID: "a", FromPosition: -1}); r.Status != StatusUnavailable {
		t.Errorf("status %v", r.Status)
	}
}

// Guards against results that another customer gets while their job is loaded, or when its
// load fails.
func TestLoadingJobAnswersItsCustomerOnly(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.storeEndedJob(t, "a")
	d := cluster.daemons[0]
	d.fails = func(op platform.Op, _ platform.Result) bool { return op.Key == resultPartKey("a", 1) }
	cluster.query(d, Query{Kind: QueryResults, ID: "a"})
	d.manager.jobs["a"].customer = "one"
	for customer, want := range map[core.CustomerID]Status{"one": StatusOK, "another": StatusNotFound} {
		if r := cluster.query(d, Query{Kind: QueryResults, ID: "a", Customer: customer}); r.Status != want {
			t.Errorf("customer %s: %v, want %v", customer, r.Status, want)
		}
	}
	d.fails, d.holds = nil, func(platform.Op) bool { return true }
	if _, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryResults, ID: "a", FromPosition: storedItems, Customer: "one"}); err != nil {
		t.Fatal(err)
	}
	cluster.holdUntil(d, 1)
	replies, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryResults, ID: "a", Customer: "another"})
	if err != nil {
		t.Fatal(err)
	}
	cluster.step()
	if r, ok := replies.TryTake(); ok {
		t.Errorf("another customer is answered while the job is loaded: %v", r.Status)
	}
}

// Guards against a takeover that fails and is answered with results: the former owner then
// gives up the job, which nobody runs, and what it could not publish.
func TestFailedTakeoverIsNotAnsweredWithResults(t *testing.T) {
	cluster := newCluster(t, 2, 1)
	former, next := cluster.daemons[0], cluster.daemons[1]
	cluster.callStatus = func(c *core.Call) int {
		if c.Request.Forward.ID == "a.3" {
			return statusUnavailable
		}
		return 0
	}
	cluster.query(former, submitQuery("a", 4))
	cluster.wait(2 * time.Second)
	parts := former.manager.jobs["a"].resultParts
	former.disconnected = true
	takeover := Query{
		Kind: QueryResults, ID: "a", Reload: true, ReplaceOwner: former.manager.self,
		Unpublished: []Result{{Item: "a.3", Done: true, Text: expectedText("a.3"), Versions: []core.Version{2}, Score: "score-ra.3"}},
	}
	for _, key := range []string{resultPartKey("a", parts), statePrefix + "a"} {
		next.fails = func(op platform.Op, _ platform.Result) bool { return op.Key == key }
		if r := cluster.query(next, takeover); r.Status != StatusUnavailable {
			t.Errorf("takeover that fails at %s: %v with %d results", key, r.Status, len(r.Results))
		}
	}
	next.fails = nil
	cluster.query(next, Query{Kind: QueryResults, ID: "a"})
	cluster.wait(2 * time.Second)
	r := cluster.query(next, Query{Kind: QueryResults, ID: "a"})
	if len(r.Results) != 4 || cluster.runs["a.3"] != 0 {
		t.Errorf("%d results, and the item that the former owner had finished ran %d times", len(r.Results), cluster.runs["a.3"])
	}
}

// Guards against readers at the end of the list that a slow store never lets go: each
// confirmation counts as too old when it arrives.
func TestReadersAreAnsweredWhileTheStoreIsSlow(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.storeEndedJob(t, "a")
	const listed = storedItems / 2
	for part := listed / itemsPerPart; part < storedItems/itemsPerPart; part++ {
		delete(cluster.store.objects, resultPartKey("a", part))
	}
	d := cluster.daemons[0]
	d.holds = func(platform.Op) bool { return true }
	var replies []*ring.Ring[Reply]
	for range 3 {
		r, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryResults, ID: "a", FromPosition: listed})
		if err != nil {
			t.Fatal(err)
		}
		replies = append(replies, r)
	}
	for range storedItems {
		cluster.wait(confirmationTTL + 5*stepDuration)
		d.releaseReplies()
	}
	for i, r := range replies {
		if reply, ok := r.TryTake(); !ok || reply.Status != StatusOK || len(reply.Results) != 0 {
			t.Errorf("reader %d: answered %v, status %v with %d results", i, ok, reply.Status, len(reply.Results))
		}
	}
}

// Guards against items of a large job that are forgotten, when it is submitted again after
// they were read in part.
func TestRepeatedSubmissionKeepsItemsThatWereRead(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.storeEndedJob(t, "a")
	d := cluster.daemons[0]
	reads := 0
	d.fails = func(platform.Op, platform.Result) bool {
		reads++
		return reads > storedItems/itemsPerPart/2
	}
	cluster.query(d, Query{Kind: QueryResults, ID: "a"})
	before := d.manager.jobs["a"].loadedItemParts
	if r := cluster.query(d, submitQuery("a", 2)); r.Status != StatusUnknownOutcome || before == 0 {
		t.Fatalf("the job submitted again: %v, %d parts were read before", r.Status, before)
	}
	if e := d.manager.jobs["a"]; e == nil || e.loadedItemParts != before {
		t.Errorf("%d parts of the items were read; they are forgotten", before)
	}
}

// Guards against a submission that is refused as not run, although the job was stored before
// and its items run: what is stored cannot be read at the moment.
func TestSubmissionOfAStoredJobIsNotRefusedAsNotRun(t *testing.T) {
	cluster := newCluster(t, 2, 1)
	cluster.query(cluster.daemons[0], submitQuery("a", 2))
	d := cluster.daemons[1]
	for _, key := range []string{jobPrefix + "a", statePrefix + "a"} {
		d.fails = func(op platform.Op, _ platform.Result) bool { return op.Kind == platform.OpGet && op.Key == key }
		if r := cluster.query(d, submitQuery("a", 2)); r.Status != StatusUnknownOutcome {
			t.Errorf("%s cannot be read: %v", key, r.Status)
		}
	}
}

// Guards against a job that is stored again, with other items, where it was read in part.
func TestJobReadInPartIsNotAcceptedAgain(t *testing.T) {
	cluster := newCluster(t, 1, 1)
	cluster.storeEndedJob(t, "a")
	d := cluster.daemons[0]
	d.fails = func(op platform.Op, _ platform.Result) bool { return op.Key == statePrefix+"a" }
	if r := cluster.query(d, Query{Kind: QueryResults, ID: "a"}); r.Status != StatusUnavailable {
		t.Fatalf("a job whose state cannot be read: %v", r.Status)
	}
	d.fails = nil
	if r := cluster.query(d, submitQuery("a", 2)); r.Status != StatusOK {
		t.Errorf("the job submitted again: %v", r.Status)
	}
	if r := cluster.query(d, Query{Kind: QueryResults, ID: "a"}); r.Total != storedItems {
		t.Errorf("%d items after the second submission", r.Total)
	}
}
