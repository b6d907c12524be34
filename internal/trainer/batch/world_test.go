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
	itemEvents = 3
	stepTime   = 20 * time.Millisecond
)

// fakeStore is the platform's store, shared by all daemons of a world.
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

// node is one daemon of a world.
type node struct {
	world   *world
	address string
	run     int
	keeper  *Manager
	cut     bool // from the store
	calls   []*core.Call
	collect []func()
}

// world is some daemons with one store and one manual clock.
type world struct {
	t      *testing.T
	random *rand.Rand
	clock  *duty.ManualClock
	store  *fakeStore
	nodes  []*node
	late   []func() // store operations on their way
	// objectBytes bounds an object of a job; 0 is the default.
	objectBytes int
	chaos       float64 // part of the store operations and runs that go wrong
	rules       JobRules
	reward      RewardRules
	runs        map[string]int // of each item
	rewards     map[string]int
	readAt      map[int]time.Time      // of each position, when it was read first
	fail        func(c *core.Call) int // status of a call; 0 is success
}

func newWorld(t *testing.T, nodes int, seed uint64) *world { return newWorldOf(t, nodes, seed, 0) }

// newWorldOf is newWorld with a bound on the objects of a job.
func newWorldOf(t *testing.T, nodes int, seed uint64, objectBytes int) *world {
	w := &world{
		objectBytes: objectBytes,
		t:           t, random: rand.New(rand.NewPCG(seed, 1)), clock: duty.NewManualClock(time.Unix(1e9, 0)),
		store: &fakeStore{objects: map[string]platform.Object{}},
		rules: JobRules{Service: "s", MaxAttempts: 3, AbandonAfter: time.Minute}, reward: RewardRules{Service: "r", MaxAttempts: 2, Timeout: time.Second},
		runs: map[string]int{}, rewards: map[string]int{}, readAt: map[int]time.Time{}, fail: func(*core.Call) int { return 0 },
	}
	for i := range nodes {
		n := &node{world: w, address: fmt.Sprintf("10.0.0.%d:1", i)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

func (n *node) start() {
	n.run++
	n.calls, n.collect = nil, nil
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.keeper = NewManager(Options{
		Clock: n.world.clock, Log: logrus.NewEntry(log), Store: n, Calls: callSink{n}, Pool: n, Routes: n.world,
		MaxObjectBytes: n.world.objectBytes,
		Self:           Owner{Address: n.address, Run: fmt.Sprintf("%s/%d", n.address, n.run)},
	})
}

func (w *world) JobRules(string, string) (JobRules, bool)       { return w.rules, true }
func (w *world) RewardRules(string, string) (RewardRules, bool) { return w.reward, true }

// Submit takes an operation for the store. Some are lost, late or refused.
func (n *node) Submit(op platform.Op) bool {
	w := n.world
	if n.cut {
		op.Reply(platform.Result{Err: platform.ErrStoreDown})
		return true
	}
	fate := w.random.Float64() / max(w.chaos, 1e-9)
	carryOut := func() {
		r := w.store.apply(op)
		if fate < 0.3 && op.Kind == platform.OpPut {
			r = platform.Result{Err: platform.ErrUnknownOutcome}
		}
		op.Reply(r)
	}
	switch {
	case fate < 0.3 || fate > 0.6:
		w.late = append(w.late, carryOut)
	case fate < 0.5:
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	default:
		// The answer is lost and the write is carried out later.
		w.late = append(w.late, func() {})
		w.late = append(w.late, func() { w.store.apply(op) })
		if op.Kind == platform.OpPut {
			op.Reply(platform.Result{Err: platform.ErrUnknownOutcome})
		} else {
			op.Reply(platform.Result{Err: platform.ErrUnavailable})
		}
	}
	return true
}

// TryGo keeps the collection of an answer until the call has ended.
func (n *node) TryGo(f func()) bool {
	n.collect = append(n.collect, f)
	return true
}

// callSink takes calls in place of the dispatch duty.
type callSink struct{ *node }

func (s callSink) Submit(c *core.Call) bool {
	s.calls = append(s.calls, c)
	return true
}

// textOf is the text that the engine makes of an item.
func textOf(id string) string {
	var pieces []string
	for i := range itemEvents {
		pieces = append(pieces, fmt.Sprintf("%s-%d", id, i+1))
	}
	return strings.Join(pieces, "\n")
}

// serve ends the calls of a daemon and runs their collections.
func (n *node) serve() {
	calls, collect := n.calls, n.collect
	n.calls, n.collect = nil, nil
	for i, c := range calls {
		n.end(c)
		collect[i]()
	}
}

func (n *node) end(c *core.Call) {
	w := n.world
	r := c.Request
	id := r.Forward.ID
	if status := w.fail(c); status != 0 {
		c.End(core.End{Verdict: core.Ran, Status: status})
		return
	}
	if r.Operation != "" {
		w.rewards[id]++
		c.End(core.End{Verdict: core.Ran, Status: 200, Signature: "score-" + id})
		return
	}
	w.runs[id]++
	from := len(r.Resume)
	broken := w.random.Float64() < w.chaos/2
	for at := from; at < itemEvents; at++ {
		if broken && at > from {
			c.Fail(core.MayHaveRunError(core.CodeBackendFailure, "broken"))
			return
		}
		c.Answer.Append(context.Background(), core.Chunk{Attempt: 1, Position: at, Tokens: []int32{int32(at + 1)}, Text: fmt.Sprintf("%s-%d", id, at+1), Version: 2})
	}
	c.End(core.End{Verdict: core.Ran, Status: 200})
}

// step lets some time pass and everything in reach happen.
func (w *world) step() {
	w.clock.Advance(stepTime)
	late := w.late
	w.late = nil
	for _, f := range late {
		if w.random.Float64() < w.chaos {
			w.late = append(w.late, f)
			continue
		}
		f()
	}
	for _, n := range w.nodes {
		n.serve()
		n.keeper.loop.RunPending()
	}
}

// ask puts a query to a daemon and steps until it is answered.
func (w *world) ask(n *node, q Query) Reply {
	w.t.Helper()
	got := make(chan Reply, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		a, err := n.keeper.queries.Do(ctx, q)
		if err == nil {
			got <- a
		}
	}()
	for n.keeper.queries.Stats().Depth == 0 && n.keeper.queries.Stats().Put == 0 {
		time.Sleep(time.Microsecond)
	}
	return w.await(n, got)
}

func (w *world) await(n *node, got chan Reply) Reply {
	w.t.Helper()
	for range 2000 {
		w.step()
		select {
		case a := <-got:
			return a
		default:
			time.Sleep(time.Microsecond)
		}
	}
	w.t.Fatalf("daemon %s does not answer", n.address)
	return Reply{}
}

// desk is a Desk for tests: it relays through the world.
func (w *world) desk(n *node, q Query) Reply {
	a := w.ask(n, q)
	if a.Status != StatusNotOwner {
		return a
	}
	for _, other := range w.nodes {
		if other.address != a.Owner.Address {
			continue
		}
		relayed := q
		relayed.Relayed = true
		answer := w.ask(other, relayed)
		if answer.Status == StatusOK && !answer.StoreUnreachable {
			return answer
		}
		q.Unpublished = answer.Unpublished
	}
	q.ReplaceOwner, q.Reload = a.Owner, true
	return w.ask(n, q)
}

func testJob(id string, items int) *Job {
	job := &Job{ID: JobID(id), Host: "h", Target: "/t/x", Model: "m", MinVersion: 1, WantedGroups: 1, AcceptedAt: time.Unix(1e9, 0)}
	for i := range items {
		name := fmt.Sprintf("%s.%d", id, i)
		job.Items = append(job.Items, Item{ID: ItemID(name), Target: "/t/x", Model: "m", Body: []byte(name), Group: "g", Reward: &RewardRequest{ID: "r" + name, Host: "h", Target: "/r/"}})
	}
	return job
}

func submit(id string, items int) Query {
	return Query{Kind: QuerySubmit, ID: JobID(id), Job: testJob(id, items)}
}

func checkResult(r Result) error {
	if !r.Done {
		return nil
	}
	if r.Text != textOf(string(r.Item)) {
		return fmt.Errorf("item %s has the text %q", r.Item, r.Text)
	}
	if r.Score != "score-r"+string(r.Item) || len(r.Versions) != 1 || r.Versions[0] != 2 {
		return fmt.Errorf("item %s has score %q and versions %v", r.Item, r.Score, r.Versions)
	}
	return nil
}

var errMoved = errors.New("a position changed")
