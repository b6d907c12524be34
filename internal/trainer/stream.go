package trainer

import (
	"container/heap"
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

type streamKey struct {
	customer core.CustomerID
	trainer  string
}

// phase says what this daemon is to a trainer.
type phase int

const (
	phaseIdle       phase = iota // the lease is not asked for
	phaseContending              // another daemon is the owner, or nobody is yet
	phaseLoading                 // the lease is held, the ledger is being read and claimed
	phaseOwner                   // the ledger names this daemon under the fencing number held
)

// ask is a query with the place for its answer.
type ask struct {
	Context context.Context
	Query   Query
	reply   func(Reply)
}

// Reply answers the query. Only the first answer counts.
func (a ask) Reply(r Reply) { a.reply(r) }

// heldAsk is a query that waits for the ownership to be known.
type heldAsk struct {
	ask   ask
	until time.Time
}

// stream is the state of one trainer.
type stream struct {
	key      streamKey
	phase    phase
	holding  platform.Lease
	observed platform.LeaseEvent // of another holder, if one is known
	asked    time.Time           // when the trainer last asked for anything
	pending  []heldAsk
	poll     *ask // the newest fetch that waits for a delivery
	reading  bool // the ledger is being read for the owner's address

	// State proven by the ledger or by the trainer.
	epoch    int64 // of the last claim of the ledger
	version  int64 // of the ledger object
	cursor   int64
	lastStep int64
	restart  int64
	steps    []*step

	sequence int64 // highest number handed out in this epoch
	ready    []*group
	opening  *opening
	openings int64
	ledger   ledgerState
	load     *load

	queue        taskQueue
	deficit      float64 // of the deficit round robin, in tokens
	running      int
	waitingBytes int // of samples in memory that wait for delivery
}

// ledgerState is what is under way with the ledger object.
type ledgerState struct {
	dirty     bool // the state has changed since the last write was sent
	writing   bool
	reloading bool // the outcome of a write is unknown, the object is being read
	timer     bool
	notBefore time.Time
	waiters   []ask // acknowledgements for the next write
	inWrite   []ask // acknowledgements in the write that was sent
}

// opening is a step whose prompts are being stored.
type opening struct {
	step    *step
	restart int64
	parts   [][]byte
	stored  int
	failed  bool
	asks    []ask
}

// step is an open step.
type step struct {
	record  ledgerStep // Acked is the proven set
	groups  []*group
	dropped bool // no longer open
	// versions of the part objects, for their deletion.
	versions []int64
}

// group is one prompt with its samples.
type group struct {
	id          int
	step        *step
	spec        GroupSpec
	fingerprint uint64

	samples  []core.Sample // complete, at most spec.Samples
	facts    groupFacts    // once ready
	ready    bool
	sequence int64 // under which it was handed out in this epoch; 0 is never
	bytes    int   // size of the samples, once ready
	runs     int64 // how often it became ready
	disk     diskState

	queued   int
	scoring  int
	spares   int
	failures int
	attempts []*attempt
}

// attempt is one run of a sample.
type attempt struct {
	id        uint64
	stream    *stream
	group     *group
	request   core.RequestID
	started   time.Time
	predicted float64
	oldest    core.Version // reported so far; 0 before the first report
	overdue   bool         // a spare was started for it
	cancelled bool
	cancel    func()
}

func newStep(record ledgerStep, specs []GroupSpec) *step {
	s := &step{record: record, versions: make([]int64, record.Parts)}
	for id, spec := range specs {
		s.groups = append(s.groups, &group{id: id, step: s, spec: spec})
	}
	return s
}

func (s *step) isComplete() bool { return s.record.Acked.Count() >= len(s.groups) }

func (g *group) acked() bool { return g.step.record.Acked.Contains(g.id) }

func (g *group) open() bool { return !g.step.dropped && !g.acked() }

// missing returns how many runs have yet to be queued.
func (g *group) missing() int {
	if g.ready || !g.open() {
		return 0
	}
	return max(0, g.spec.Samples-len(g.samples)-g.queued-g.scoring-len(g.attempts))
}

func (s *stream) step(number int64) *step {
	for _, st := range s.steps {
		if st.record.Step == number {
			return st
		}
	}
	return nil
}

// find returns the open group that the entry names, or nil when the entry is
// of another opening of the step.
func (s *stream) find(h HeldGroup) *group {
	st := s.step(h.Step)
	if st == nil || h.Group < 0 || h.Group >= len(st.groups) {
		return nil
	}
	if !st.record.Since.isBefore(place{h.Epoch, h.Sequence}) {
		return nil
	}
	return st.groups[h.Group]
}

// record returns the value of the ledger object for the present state.
func (s *stream) record(owner string) ledgerRecord {
	r := ledgerRecord{Epoch: s.holding.Fence, Owner: owner, Cursor: s.cursor, LastStep: s.lastStep, Restart: s.restart}
	restart := false
	if o := s.opening; o.isStored() {
		restart = o.restart > s.restart
		r.Restart = max(r.Restart, o.restart)
		r.LastStep = o.step.record.Step
	}
	for _, st := range s.steps {
		if !restart && !st.isComplete() {
			r.Steps = append(r.Steps, st.record.clone())
		}
	}
	if s.opening.isStored() && !s.opening.step.isComplete() {
		r.Steps = append(r.Steps, s.opening.step.record.clone())
	}
	return r
}

func (l ledgerStep) clone() ledgerStep {
	l.Acked = append(Bitmap(nil), l.Acked...)
	return l
}

func (o *opening) isStored() bool { return o != nil && !o.failed && o.stored == len(o.parts) }

// task is a sample that waits to be started.
type task struct {
	group     *group
	predicted float64
	urgent    bool // holds up a group that has run before
}

// taskQueue orders tasks: repeated work first, then the older step, then the
// longest predicted, so that the longest do not start last. Tasks of one group
// stay together.
type taskQueue []task

func (q taskQueue) Len() int      { return len(q) }
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q taskQueue) Less(i, j int) bool {
	a, b := &q[i], &q[j]
	if a.urgent != b.urgent {
		return a.urgent
	}
	if n, m := a.group.step.record.Step, b.group.step.record.Step; n != m {
		return n < m
	}
	if a.predicted != b.predicted {
		return a.predicted > b.predicted
	}
	return a.group.id < b.group.id
}

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) { *q = append(*q, x.(task)) }

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = task{}
	*q = (*q)[:last]
	return t
}

// head returns the next task that is still wanted.
func (s *stream) head() (task, bool) {
	for len(s.queue) > 0 {
		t := s.queue[0]
		if !t.group.ready && t.group.open() {
			return t, true
		}
		s.pop()
	}
	return task{}, false
}

func (s *stream) pop() task {
	t := heap.Pop(&s.queue).(task)
	t.group.queued--
	return t
}

func (s *stream) push(t task) {
	t.group.queued++
	heap.Push(&s.queue, t)
}
