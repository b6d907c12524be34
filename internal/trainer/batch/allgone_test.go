package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// lossKind says what becomes of the write at which all daemons are lost.
type lossKind string

const (
	lossBeforeWrite lossKind = "the write is not carried out"
	lossAfterWrite  lossKind = "the write is carried out"
	lossLateWrite   lossKind = "the write is carried out 3 s later"
)

const (
	lateWriteDelay    = 3 * time.Second
	statusUnavailable = 503
)

// lossTrial loses all daemons of a cluster at one of their writes.
type lossTrial struct {
	cluster  *testCluster
	kind     lossKind
	readsAll bool // the job is ended once all its results are read, not half of them
	lossAt   int  // number of the write; writes count from 1
	writes   int
	isLost   bool
	late     func() // the write that is carried out late; nil without one
	accepted bool
	known    map[int]Result // read before the loss
}

// onWrite decides about a write. It reports whether the daemon gets no answer.
func (l *lossTrial) onWrite(op platform.Op) bool {
	if op.Kind != platform.OpPut {
		return l.isLost
	}
	l.writes++
	if l.isLost || l.writes != l.lossAt {
		return l.isLost
	}
	l.isLost = true
	switch l.kind {
	case lossAfterWrite:
		l.cluster.store.apply(op)
	case lossLateWrite:
		l.late = func() { l.cluster.store.apply(op) }
	}
	return true
}

// query sends a query and returns its answer; ok is false if all daemons are lost first.
func (l *lossTrial) query(d *testDaemon, q Query) (reply Reply, ok bool) {
	replies, err := d.manager.queries.Send(context.Background(), q)
	if err != nil {
		l.cluster.t.Fatal(err)
	}
	for range maxReplySteps {
		l.cluster.step()
		if l.isLost {
			return Reply{}, false
		}
		if reply, ok = replies.TryTake(); ok {
			return reply, true
		}
	}
	l.cluster.t.Fatalf("no answer to a query of kind %v", q.Kind)
	return Reply{}, false
}

// work submits a job, reads its results and ends it, until all daemons are lost.
func (l *lossTrial) work(items int) {
	d := l.cluster.daemons[0]
	reply, ok := l.query(d, submitQuery("a", items))
	l.accepted = ok && reply.Status == StatusOK
	for ok && len(l.known) < items {
		if reply, ok = l.query(d, Query{Kind: QueryResults, ID: "a", FromPosition: len(l.known), MaxWait: time.Second}); !ok {
			return
		}
		for _, r := range reply.Results {
			l.known[len(l.known)] = r
		}
		if !l.readsAll && len(l.known) >= items/2 {
			break
		}
	}
	if ok {
		_, _ = l.query(d, Query{Kind: QueryEndJob, ID: "a"})
	}
}

// check reads the job at a daemon that has lost its memory.
func (l *lossTrial) check(d *testDaemon, items int) error {
	reply := l.cluster.queryViaOwner(d, Query{Kind: QueryResults, ID: "a"})
	if !l.accepted && reply.Status == StatusNotFound {
		return nil
	}
	if reply.Status != StatusOK || reply.Total != items {
		return fmt.Errorf("the job is not readable: %v with %d items", reply.Status, reply.Total)
	}
	for position, r := range l.known {
		if position >= len(reply.Results) || reply.Results[position].Item != r.Item || reply.Results[position].Text != r.Text {
			return fmt.Errorf("position %d was read and has changed or is empty", position)
		}
	}
	for i := range items {
		id := fmt.Sprintf("a.%d", i)
		if body := l.cluster.queryViaOwner(d, Query{Kind: QueryItemBody, ID: "a", Item: ItemID(id)}); body.Status != StatusOK || string(body.Body) != id {
			return fmt.Errorf("item %s: %v with body %q", id, body.Status, body.Body)
		}
	}
	return nil
}

// run reports whether the daemons were lost, that is whether there are so many writes.
func (l *lossTrial) run(items int) (isLost bool, err error) {
	for _, d := range l.cluster.daemons {
		d.dropsOp = l.onWrite
	}
	// The second half of the items ends a second later, so that the results are in two parts.
	isSecondHalf := map[string]bool{}
	for i := items / 2; i < items; i++ {
		isSecondHalf[fmt.Sprintf("a.%d", i)] = true
	}
	start := l.cluster.clock.Now()
	l.cluster.callStatus = func(c *core.Call) int {
		if isSecondHalf[c.Request.Forward.ID] && l.cluster.clock.Now().Sub(start) < time.Second {
			return statusUnavailable
		}
		return 0
	}
	l.work(items)
	if !l.isLost {
		return false, nil
	}
	l.cluster.delayedOps = nil
	for _, d := range l.cluster.daemons {
		d.dropsOp = nil
		d.start()
	}
	if l.late != nil {
		l.cluster.clock.AfterFunc(lateWriteDelay, l.late)
	}
	for _, d := range l.cluster.daemons {
		if err := l.check(d, items); err != nil {
			return true, fmt.Errorf("daemon %s: %w", d.address, err)
		}
		l.cluster.wait(lateWriteDelay)
	}
	return true, nil
}

// Guards against an accepted job that cannot be read, or whose results or bodies are gone,
// when all daemons lose their memory at any of their writes.
func TestAcceptedJobSurvivesTheLossOfAllMemoryAtEachWrite(t *testing.T) {
	const items = 12
	const smallObject = 700 // bytes; about four items
	for _, objectBytes := range []int{0, smallObject} {
		for _, kind := range []lossKind{lossBeforeWrite, lossAfterWrite, lossLateWrite} {
			for _, readsAll := range []bool{false, true} {
				what := fmt.Sprintf("objects of %d bytes, %s, all results read: %v", objectBytes, kind, readsAll)
				isLost, lossAt := true, 0
				for isLost {
					lossAt++
					cluster := newClusterWithObjectSize(t, 3, uint64(lossAt), objectBytes)
					trial := &lossTrial{cluster: cluster, kind: kind, readsAll: readsAll, lossAt: lossAt, known: map[int]Result{}}
					var err error
					if isLost, err = trial.run(items); err != nil {
						t.Errorf("%s: all daemons lost at write %d: %v", what, lossAt, err)
					}
				}
				const minWrites = 3 // the job, a part of the results, the end
				if lossAt <= minWrites {
					t.Errorf("%s: %d writes only", what, lossAt-1)
				}
			}
		}
	}
}
