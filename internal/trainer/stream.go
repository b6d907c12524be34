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

// phase is the role of this daemon for a trainer.
type phase int

const (
	phaseIdle      phase = iota // the lease has not been requested
	phaseCandidate              // the lease is requested; another daemon holds it, or none does
	phaseLoading                // the lease is held; the ledger is being read and claimed
	phaseOwner                  // the lease is held and the ledger is claimed with its fencing number
)

// pendingQuery is a query with the function that takes its reply.
type pendingQuery struct {
	Context context.Context
	Query   Query
	reply   func(Reply)
}

// Reply answers the query. It may be called more than once; only the first call
// counts.
func (q pendingQuery) Reply(r Reply) { q.reply(r) }

// waitingQuery is a query that waits until the owner is known.
type waitingQuery struct {
	query    pendingQuery
	deadline time.Time
}

// stream is the state of one trainer.
type stream struct {
	key           streamKey
	phase         phase
	lease         platform.Lease
	observedLease platform.LeaseEvent // of another holder, if one was observed
	lastQueryAt   time.Time           // time of the trainer's last request
	awaitingOwner []waitingQuery
	longPoll      *pendingQuery // newest fetch, waiting for a delivery
	readingOwner  bool          // the ledger is being read for the owner's address

	// State confirmed by the ledger or by the trainer.
	epoch         int64 // fencing number of the last claim of the ledger
	ledgerVersion int64 // of the ledger object
	cursor        int64
	lastStep      int64
	restart       int64
	steps         []*step

	sequence     int64 // highest sequence number delivered in this epoch
	ready        []*group
	opening      *opening
	openingCount int64
	ledger       ledgerState
	load         *ledgerLoad

	queue        taskQueue
	deficit      float64 // of the deficit round robin, in tokens
	runsInFlight int
	readyBytes   int // samples in memory that wait for delivery
}

// ledgerState is the progress of writes to the ledger object.
type ledgerState struct {
	dirty          bool // the state has changed since the last write was sent
	writing        bool
	reloading      bool // the object is being read after a write with an unknown outcome
	flushScheduled bool
	notBefore      time.Time
	waiters        []pendingQuery // acknowledgements that wait for the next write
	waitersInWrite []pendingQuery // acknowledgements that wait for the write in flight
}

// opening is a step whose prompts are being stored.
type opening struct {
	step        *step
	restart     int64
	parts       [][]byte
	storedParts int
	failed      bool
	queries     []pendingQuery
}

// step is an open step.
type step struct {
	record ledgerStep // Acked holds the groups that the trainer has acknowledged
	groups []*group
	closed bool // no longer open
	// partVersions are the versions of the prompt objects, for their deletion.
	partVersions []int64
}

// group is one prompt with its samples.
type group struct {
	id          int
	step        *step
	spec        GroupSpec
	fingerprint uint64

	samples     []core.Sample  // complete samples, at most spec.Samples
	freshness   groupFreshness // once ready
	ready       bool
	sequence    int64 // of its delivery in this epoch; 0 if it was not delivered
	bytes       int   // size of the samples, once ready
	completions int64 // number of times it became ready
	disk        diskState

	queued        int
	awaitingScore int
	spares        int
	failures      int
	activeRuns    []*activeRun
}

// activeRun is one run of a sample in flight.
type activeRun struct {
	id        uint64
	stream    *stream
	group     *group
	request   core.RequestID
	started   time.Time
	predicted float64
	oldest    core.Version // lowest version reported; 0 before the first report
	overdue   bool         // a spare was queued for it
	cancelled bool
	cancel    func()
}

func newStep(record ledgerStep, specs []GroupSpec) *step {
	s := &step{record: record, partVersions: make([]int64, record.Parts)}
	for id, spec := range specs {
		s.groups = append(s.groups, &group{id: id, step: s, spec: spec})
	}
	return s
}

func (s *step) isComplete() bool { return s.record.Acked.Count() >= len(s.groups) }

func (g *group) isAcked() bool { return g.step.record.Acked.Contains(g.id) }

func (g *group) isOpen() bool { return !g.step.closed && !g.isAcked() }

// missingSamples returns how many samples have yet to be queued.
func (g *group) missingSamples() int {
	if g.ready || !g.isOpen() {
		return 0
	}
	return max(0, g.spec.Samples-len(g.samples)-g.queued-g.awaitingScore-len(g.activeRuns))
}

func (s *stream) step(number int64) *step {
	for _, st := range s.steps {
		if st.record.Step == number {
			return st
		}
	}
	return nil
}

// findGroup returns the group of an open step, or nil if there is none or the group
// was delivered under an earlier opening of the step.
func (s *stream) findGroup(h HeldGroup) *group {
	st := s.step(h.Step)
	if st == nil || h.Group < 0 || h.Group >= len(st.groups) {
		return nil
	}
	if !st.record.Since.isBefore(streamPosition{h.Epoch, h.Sequence}) {
		return nil
	}
	return st.groups[h.Group]
}

// newLedgerRecord returns the value of the ledger object for the current state.
func (s *stream) newLedgerRecord(owner string) ledgerRecord {
	r := ledgerRecord{Epoch: s.lease.Fence, Owner: owner, Cursor: s.cursor, LastStep: s.lastStep, Restart: s.restart}
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

func (o *opening) isStored() bool { return o != nil && !o.failed && o.storedParts == len(o.parts) }

// task is a queued sample.
type task struct {
	group     *group
	predicted float64
	urgent    bool // its group was complete before, or it is a spare
}

// taskQueue is a heap of tasks: urgent ones first, then the lower step, then the
// longer prediction, so that the longest samples do not start last. Tasks of one
// group are adjacent.
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

// nextTask returns the next task whose group still needs samples, and removes those
// before it.
func (s *stream) nextTask() (task, bool) {
	for len(s.queue) > 0 {
		t := s.queue[0]
		if !t.group.ready && t.group.isOpen() {
			return t, true
		}
		s.popTask()
	}
	return task{}, false
}

func (s *stream) popTask() task {
	t := heap.Pop(&s.queue).(task)
	t.group.queued--
	return t
}

func (s *stream) pushTask(t task) {
	t.group.queued++
	heap.Push(&s.queue, t)
}
