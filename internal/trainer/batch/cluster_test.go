package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

const (
	eventsPerItem = 3
	stepDuration  = 20 * time.Millisecond
)

// fakeStore is the store, shared by all daemons of a cluster.
type fakeStore struct {
	objects  map[string]platform.Object
	revision int64
}

func (s *fakeStore) apply(op platform.Op) platform.Result {
	current, exists := s.objects[op.Key]
	switch op.Kind {
	case platform.OpGet:
		if !exists {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	case platform.OpList:
		var l platform.Listing
		for i := 0; ; i++ {
			o, ok := s.objects[fmt.Sprintf("%s%05d", op.Key, i)]
			if !ok {
				return platform.Result{Listing: l}
			}
			l.Objects = append(l.Objects, o)
		}
	}
	if (op.IfVersion == platform.Absent) == exists || (exists && op.IfVersion != current.Version) {
		return platform.Result{Err: platform.ErrConflict, Object: current}
	}
	s.revision++
	o := platform.Object{Key: op.Key, Version: s.revision, Value: op.Value}
	s.objects[op.Key] = o
	return platform.Result{Object: o}
}

// testDaemon is one daemon of a cluster.
type testDaemon struct {
	cluster      *testCluster
	address      string
	starts       int
	manager      *Manager
	disconnected bool                      // from the store
	hangs        bool                      // while disconnected, operations end at their timeout
	callsStall   bool                      // the calls of the daemon's items do not end
	holds        func(op platform.Op) bool // replies to these operations are held back; nil holds none
	heldReplies  []func()
	// fails, if not nil, reports whether the operation ends at its deadline.
	fails       func(op platform.Op, r platform.Result) bool
	dropsOp     func(op platform.Op) bool // reports whether the operation gets no reply
	storeOps    int
	suspended   time.Duration // for which the host stood still; the cluster's clock does not count it
	lastSubmit  time.Time     // of a call
	calls       []*core.Call
	collections []func()
}

// testCluster is a set of daemons with one store and one manual clock.
type testCluster struct {
	t          *testing.T
	random     *rand.Rand
	clock      *duty.ManualClock
	store      *fakeStore
	daemons    []*testDaemon
	delayedOps []func() // store operations in flight
	// maxObjectBytes bounds one store object of a job; 0 selects the default.
	maxObjectBytes int
	faultRate      float64 // fraction of store operations and runs that fail
	rules          JobRules
	rewardRules    RewardRules
	runs           map[string]int // by item
	rewards        map[string]int
	firstReadAt    map[int]time.Time       // time of the first read, by position
	callStatus     func(c *core.Call) int  // HTTP status of a call; 0 is success
	endOverride    func(c *core.Call) bool // ends an item's call and returns true; nil ends none
}

func newCluster(t *testing.T, daemons int, seed uint64) *testCluster {
	return newClusterWithObjectSize(t, daemons, seed, 0)
}

// newClusterWithObjectSize is newCluster with a bound on the store objects of
// a job.
func newClusterWithObjectSize(t *testing.T, daemons int, seed uint64, maxObjectBytes int) *testCluster {
	cluster := &testCluster{
		maxObjectBytes: maxObjectBytes,
		t:              t, random: rand.New(rand.NewPCG(seed, 1)), clock: duty.NewManualClock(time.Unix(1e9, 0)),
		store: &fakeStore{objects: map[string]platform.Object{}},
		rules: JobRules{Service: "s", MaxAttempts: 3, AbandonAfter: time.Minute}, rewardRules: RewardRules{Service: "r", MaxAttempts: 2, Timeout: time.Second},
		runs: map[string]int{}, rewards: map[string]int{}, firstReadAt: map[int]time.Time{}, callStatus: func(*core.Call) int { return 0 },
	}
	for i := range daemons {
		d := &testDaemon{cluster: cluster, address: fmt.Sprintf("10.0.0.%d:1", i)}
		cluster.daemons = append(cluster.daemons, d)
		d.start()
	}
	return cluster
}

func (d *testDaemon) start() {
	d.starts++
	d.calls, d.collections = nil, nil
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.manager = NewManager(Options{
		Clock: d.cluster.clock, Log: logrus.NewEntry(log), Store: d, Calls: callRecorder{d}, Pool: d, Routes: d.cluster,
		MaxObjectBytes: d.cluster.maxObjectBytes,
		LeaseNow:       func() time.Time { return d.cluster.clock.Now().Add(d.suspended) },
		Self:           Owner{Address: d.address, Run: fmt.Sprintf("%s/%d", d.address, d.starts)},
	})
}

func (cluster *testCluster) JobRules(string, string, core.CustomerID) (JobRules, bool) {
	return cluster.rules, true
}
func (cluster *testCluster) RewardRules(string, string) (RewardRules, bool) {
	return cluster.rewardRules, true
}

// Submit implements Store. Depending on faultRate it delays the operation, refuses
// it, loses its reply, or loses the reply and executes the write later.
func (d *testDaemon) Submit(op platform.Op) bool {
	cluster := d.cluster
	d.storeOps++
	if d.disconnected && d.hangs {
		cluster.clock.AfterFunc(op.Timeout, func() { op.Reply(platform.Result{Err: platform.ErrQueueDeadline}) })
		return true
	}
	if d.disconnected {
		op.Reply(platform.Result{Err: platform.ErrStoreDown})
		return true
	}
	if d.holds != nil && d.holds(op) {
		r := cluster.store.apply(op)
		d.heldReplies = append(d.heldReplies, func() { op.Reply(r) })
		return true
	}
	if d.dropsOp != nil && d.dropsOp(op) {
		return true
	}
	if d.fails != nil && d.fails(op, cluster.store.apply(op)) {
		op.Reply(platform.Result{Err: platform.ErrQueueDeadline})
		return true
	}
	draw := cluster.random.Float64() / max(cluster.faultRate, 1e-9)
	execute := func() {
		r := cluster.store.apply(op)
		if draw < 0.3 && op.Kind == platform.OpPut {
			r = platform.Result{Err: platform.ErrUnknownOutcome}
		}
		op.Reply(r)
	}
	switch {
	case draw < 0.3 || draw > 0.6:
		cluster.delayedOps = append(cluster.delayedOps, execute)
	case draw < 0.5:
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	default:
		// The reply is lost and the write is executed later.
		cluster.delayedOps = append(cluster.delayedOps, func() {})
		cluster.delayedOps = append(cluster.delayedOps, func() { cluster.store.apply(op) })
		if op.Kind == platform.OpPut {
			op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
		} else {
			op.Reply(platform.Result{Err: platform.ErrUnavailable})
		}
	}
	return true
}

// TryGo defers the collection of an answer until its call has ended.
func (d *testDaemon) TryGo(f func()) bool {
	d.collections = append(d.collections, f)
	return true
}

// callRecorder records calls in place of the dispatch duty.
type callRecorder struct{ *testDaemon }

func (s callRecorder) Submit(c *core.Call) bool {
	s.lastSubmit = s.cluster.clock.Now()
	s.calls = append(s.calls, c)
	return true
}

// expectedText is the text that the engine generates for an item.
func expectedText(id string) string {
	var pieces []string
	for i := range eventsPerItem {
		pieces = append(pieces, fmt.Sprintf("%s-%d", id, i+1))
	}
	return strings.Join(pieces, "\n")
}

// endCalls ends the calls of a daemon and collects their answers.
func (d *testDaemon) endCalls() {
	calls, collect := d.calls, d.collections
	d.calls, d.collections = nil, nil
	for i, c := range calls {
		d.endCall(c)
		collect[i]()
	}
}

func (d *testDaemon) endCall(c *core.Call) {
	cluster := d.cluster
	r := c.Request
	id := r.Forward.ID
	if status := cluster.callStatus(c); status != 0 {
		c.End(core.End{Verdict: core.Ran, Status: status})
		return
	}
	if r.Operation != "" {
		cluster.rewards[id]++
		c.End(core.End{Verdict: core.Ran, Status: 200, Signature: "score-" + id})
		return
	}
	if cluster.endOverride != nil && cluster.endOverride(c) {
		return
	}
	cluster.runs[id]++
	from := len(r.Resume.Tokens)
	broken := cluster.random.Float64() < cluster.faultRate/2
	for at := from; at < eventsPerItem; at++ {
		if broken && at > from {
			c.Fail(core.MayHaveRunError(core.CodeBackendFailure, "broken"))
			return
		}
		c.Answer.Append(context.Background(), core.Chunk{Attempt: 1, Position: at, Tokens: []int32{int32(at + 1)}, Text: fmt.Sprintf("%s-%d", id, at+1), Version: 2})
	}
	c.End(core.End{Verdict: core.Ran, Status: 200})
}

// step advances the clock, executes delayed store operations and runs the daemons.
func (cluster *testCluster) step() {
	cluster.clock.Advance(stepDuration)
	late := cluster.delayedOps
	cluster.delayedOps = nil
	for _, f := range late {
		if cluster.random.Float64() < cluster.faultRate {
			cluster.delayedOps = append(cluster.delayedOps, f)
			continue
		}
		f()
	}
	for _, d := range cluster.daemons {
		if !d.callsStall {
			d.endCalls()
		}
		d.manager.loop.RunPending()
	}
}

// wait steps the cluster for d.
func (cluster *testCluster) wait(d time.Duration) {
	for end := cluster.clock.Now().Add(d); cluster.clock.Now().Before(end); {
		cluster.step()
	}
}

// maxReplySteps bounds the simulated time until a query is answered.
const maxReplySteps = 2000

// query sends a query to a daemon and steps the cluster until it is answered. It
// uses no other goroutine, so the number of steps does not depend on scheduling.
func (cluster *testCluster) query(d *testDaemon, q Query) Reply {
	cluster.t.Helper()
	replies, err := d.manager.queries.Send(context.Background(), q)
	if err != nil {
		cluster.t.Fatalf("daemon %s: %v", d.address, err)
	}
	for range maxReplySteps {
		cluster.step()
		if a, ok := replies.TryTake(); ok {
			return a
		}
	}
	cluster.t.Fatalf("daemon %s does not answer", d.address)
	return Reply{}
}

// queryViaOwner does what Router does, without blocking: it relays the query to the
// owner and takes the job over if the owner does not respond.
func (cluster *testCluster) queryViaOwner(d *testDaemon, q Query) Reply {
	a := cluster.query(d, q)
	if a.Status != StatusNotOwner {
		return a
	}
	for _, other := range cluster.daemons {
		if other.address != a.Owner.Address {
			continue
		}
		relayed := q
		relayed.Relayed = true
		answer := cluster.query(other, relayed)
		if answer.Status == StatusOK && !answer.StoreUnreachable {
			return answer
		}
		q.Unpublished = answer.Unpublished
	}
	q.ReplaceOwner, q.Reload = a.Owner, true
	return cluster.query(d, q)
}

func testJob(id string, items int) *Job {
	job := &Job{ID: JobID(id), Host: "h", Target: "/t/x", Model: "m", MinVersion: 1, WantedGroups: 1, AcceptedAt: time.Unix(1e9, 0)}
	for i := range items {
		name := fmt.Sprintf("%s.%d", id, i)
		job.Items = append(job.Items, Item{ID: ItemID(name), Target: "/t/x", Model: "m", Body: []byte(name), Group: "g", Reward: &RewardRequest{ID: "r" + name, Host: "h", Target: "/r/"}})
	}
	return job
}

func submitQuery(id string, items int) Query {
	return Query{Kind: QuerySubmit, ID: JobID(id), Job: testJob(id, items)}
}

func checkResult(r Result) error {
	if !r.Done {
		return nil
	}
	if r.Text != expectedText(string(r.Item)) {
		return fmt.Errorf("item %s has the text %q", r.Item, r.Text)
	}
	if r.Score != "score-r"+string(r.Item) || len(r.Versions) != 1 || r.Versions[0] != 2 {
		return fmt.Errorf("item %s has score %q and versions %v", r.Item, r.Score, r.Versions)
	}
	return nil
}

var errPositionChanged = errors.New("a position changed")
