package batch

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
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
