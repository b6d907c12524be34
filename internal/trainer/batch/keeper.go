package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// Prefixes of the objects in the store.
const (
	jobPrefix    = "jobs/"
	statePrefix  = "jobstates/"
	resultPrefix = "results/"
)

// Limits and timings of the jobs duty.
const (
	queryCapacity  = 1024
	resultCapacity = 4096 // store answers in flight
	itemCapacity   = 16384
	maxJobs        = 512 // that this daemon knows at once

	// tickPeriod is how often waiting items, checks of ownership and forgotten
	// jobs are looked at.
	tickPeriod = 200 * time.Millisecond
	// listDelay lets results collect before they are written once a group is
	// whole, and slowListDelay while none is: a trainer waits for groups, and
	// each write is a call of the store.
	listDelay     = 250 * time.Millisecond
	slowListDelay = 800 * time.Millisecond
	// unreadCheck is how long an owner goes without a question about an open
	// job before it reads in the store whether it still owns it.
	unreadCheck = 1200 * time.Millisecond
	// confirmTime is how long the list of results counts as complete after it
	// was read or written, well below the time in which every daemon must show it.
	confirmTime = 600 * time.Millisecond
	// keepEnded is how long a job that has ended or that is owned elsewhere
	// stays in memory after its last question.
	keepEnded = 10 * time.Second
	// storeTimeout bounds the wait for the store while a client waits.
	storeTimeout = 1500 * time.Millisecond
	// maxAnswerBytes bounds the texts of one answer.
	maxAnswerBytes = 900 << 10
	// maxPartBytes bounds the texts of one object of results.
	maxPartBytes = 600 << 10
)

// Store is what the duty needs of the store duty.
type Store interface {
	Submit(op platform.Op) bool
}

// Pool runs the collection of answers; duty.Pool implements it.
type Pool interface {
	TryGo(f func()) bool
}

// phase is what this daemon knows of a job.
type phase int

const (
	phaseStoring   phase = iota // the acceptance is being written
	phaseLoading                // it is being read from the store
	phaseOwned                  // this daemon runs it
	phaseElsewhere              // another daemon owns it
	phaseEnded                  // it has ended; its results are final here
)

// question is a query that waits for its answer.
type question struct {
	ask duty.Query[Query, Reply]
	due time.Time // of a wait for results
}

// entry is one job that this daemon knows.
type entry struct {
	id    JobID
	phase phase
	job   *Job
	state state
	// stateVersion is the version of the state object, platform.Absent if there is none.
	stateVersion int64
	replace      Owner // the load in progress is to end in ownership in place of this one
	waiting      []question
	readers      []question
	unconfirmed  []question // that wait for the check of ownership
	confirmedAt  time.Time  // when the list was surely complete
	usedAt       time.Time  // of the last question
	checking     bool       // the state is being read

	items    map[ItemID]*itemRun
	order    []ItemID // in which items are launched
	listed   []Result
	parts    int            // objects of results
	groups   map[string]int // items of each group without a result
	pending  []Result
	wholes   int       // groups that the pending results complete
	handover []Result  // of the former owner
	cutOff   bool      // the store did not answer the last write or check
	writing  int       // results in the write in progress
	listAt   time.Time // of the next write; zero if none is planned
	unlisted int       // items without a listed or pending result
}

// Manager is the duty that keeps batch jobs.
type Manager struct {
	loop   *duty.Loop
	log    *logrus.Entry
	store  Store
	calls  core.Submitter
	pool   Pool
	routes Routes
	self   Owner
	// onOwner is told of each job that this daemon owns now.
	onOwner func(Ownership)
	// objectBytes bounds an object of a job.
	objectBytes int

	queries *duty.QueryRing[Query, Reply]
	counts  *duty.QueryRing[struct{}, int]
	results *ring.Ring[func()]
	ends    *ring.Ring[itemEnd]
	owners  *ring.Ring[[]Ownership]

	jobs     map[JobID]*entry
	released bool
}

// Options are the parts that a Keeper works with.
type Options struct {
	Clock  duty.Clock
	Log    *logrus.Entry
	Store  Store
	Calls  core.Submitter
	Pool   Pool
	Routes Routes
	Self   Owner
	// OnOwned is told of each job that the daemon becomes the owner of, on the
	// duty's goroutine. It must not wait.
	OnOwned func(Ownership)
	// MaxObjectBytes bounds an object of a job; 0 takes the default.
	MaxObjectBytes int
}

// NewManager returns the duty.
func NewManager(o Options) *Manager {
	if o.MaxObjectBytes <= 0 {
		o.MaxObjectBytes = defaultObjectBytes
	}
	k := &Manager{
		loop:    duty.New("jobs", o.Clock),
		log:     o.Log,
		store:   o.Store,
		calls:   o.Calls,
		pool:    o.Pool,
		routes:  o.Routes,
		self:    o.Self,
		onOwner: o.OnOwned,

		objectBytes: o.MaxObjectBytes,

		owners:  ring.New[[]Ownership]("jobs.owners", queryCapacity),
		queries: duty.NewQueryRing[Query, Reply]("jobs.queries", queryCapacity),
		counts:  duty.NewQueryRing[struct{}, int]("jobs.counts", queryCapacity),
		results: ring.New[func()]("jobs.results", resultCapacity),
		ends:    ring.New[itemEnd]("jobs.ends", itemCapacity),
		jobs:    map[JobID]*entry{},
	}
	duty.On(k.loop, k.results, func(f func()) { f() })
	duty.On(k.loop, k.ends, k.handleItemEnd)
	duty.OnQuery(k.loop, k.queries, k.handleQuery)
	duty.On(k.loop, k.owners, k.handleOwners)
	duty.OnQuery(k.loop, k.counts, func(a duty.Query[struct{}, int]) { a.Reply(k.openJobs()) })
	k.loop.Every(tickPeriod, k.tick)
	return k
}

// Loop returns the duty's loop.
func (k *Manager) Loop() *duty.Loop { return k.loop }

// UpdateOwners takes who owns jobs, as other daemons tell. It never waits; what is
// dropped is read in the store when it is asked for.
func (k *Manager) UpdateOwners(list []Ownership) { k.owners.PutLatest(list) }

func (k *Manager) handleOwners(list []Ownership) {
	for _, o := range list {
		e := k.jobs[o.Job]
		switch {
		case e == nil && len(k.jobs) < maxJobs:
			k.jobs[o.Job] = &entry{id: o.Job, phase: phaseElsewhere, state: state{Owner: o.Owner}, usedAt: k.now()}
		case e != nil && e.phase == phaseElsewhere:
			e.state.Owner = o.Owner
		}
	}
}

func (k *Manager) now() time.Time { return k.loop.Clock().Now() }

// ReleaseJobs gives all jobs up, so that other daemons go on with them. Any
// goroutine may call it.
func (k *Manager) ReleaseJobs() { k.results.TryPut(k.release) }

// RecheckOwnership has the ownership of all jobs checked, since the store answers again
// and a job may have ended or been taken over meanwhile. Any goroutine may call it.
func (k *Manager) RecheckOwnership() {
	k.results.TryPut(func() {
		for _, e := range k.jobs {
			k.checkOwner(e)
		}
	})
}

// submit sends an operation to the store; reply runs on the duty's goroutine.
func (k *Manager) submit(op platform.Op, reply func(platform.Result)) {
	op.Timeout, op.FailFast = storeTimeout, true
	submitTo(k.store, k.results, op, reply)
}

// submitTo sends an operation to the store and has the reply run by the reader
// of the ring. A full store replies at once.
func submitTo(store Store, answers *ring.Ring[func()], op platform.Op, reply func(platform.Result)) {
	op.Reply = func(r platform.Result) { answers.TryPut(func() { reply(r) }) }
	if !store.Submit(op) {
		reply(platform.Result{Err: platform.ErrQueueFull})
	}
}

func (k *Manager) handleQuery(ask duty.Query[Query, Reply]) {
	q := ask.Params
	e := k.jobs[q.ID]
	if k.released || (e == nil && len(k.jobs) >= maxJobs) {
		ask.Reply(Reply{Status: StatusUnavailable})
		return
	}
	if e == nil {
		e = &entry{id: q.ID, stateVersion: platform.Absent}
		k.jobs[q.ID] = e
		e.usedAt = k.now()
		e.waiting = append(e.waiting, question{ask: ask})
		if q.Kind == QuerySubmit {
			k.accept(e, q.Job)
			return
		}
		e.replace, e.handover = q.ReplaceOwner, q.Unpublished
		k.load(e)
		return
	}
	if q.Kind == QueryRelinquish {
		k.yield(e, ask)
		return
	}
	e.usedAt = k.now()
	switch e.phase {
	case phaseStoring, phaseLoading:
		e.waiting = append(e.waiting, question{ask: ask})
		if q.ReplaceOwner != (Owner{}) {
			e.replace = q.ReplaceOwner
		}
		e.handover = append(e.handover, q.Unpublished...)
	case phaseElsewhere:
		k.askElsewhere(e, ask)
	default:
		k.answer(e, question{ask: ask})
	}
}

// askElsewhere answers a query about a job of another daemon. A daemon that
// is taken for the owner or asked to take over reads the store again.
func (k *Manager) askElsewhere(e *entry, ask duty.Query[Query, Reply]) {
	q := ask.Params
	switch {
	case q.Kind == QuerySubmit:
		ask.Reply(Reply{Status: StatusOK})
	case q.Relayed || q.Reload:
		e.replace, e.handover = q.ReplaceOwner, q.Unpublished
		e.waiting = append(e.waiting, question{ask: ask})
		k.load(e)
	default:
		ask.Reply(Reply{Status: StatusNotOwner, Owner: e.state.Owner})
	}
}

// accept writes a new job. The creation of its object is the acceptance.
func (k *Manager) accept(e *entry, job *Job) {
	e.phase = phaseStoring
	job.AcceptedBy = k.self
	value, err := json.Marshal(job)
	switch {
	case err != nil:
		k.accepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
	case len(value) > k.objectBytes:
		k.storeParts(e, job)
	default:
		k.createJob(e, job, job)
	}
}

// createJob creates the job's object from its stored form.
func (k *Manager) createJob(e *entry, job, stored *Job) {
	value, err := json.Marshal(stored)
	if err != nil {
		k.accepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: jobPrefix + string(e.id), Value: value, IfVersion: platform.Absent}
	k.submit(op, func(r platform.Result) { k.accepted(e, job, r) })
}

// accepted opens a job that was stored. A conflict means that the job was
// accepted before. A refusal by the store proves that it was not.
func (k *Manager) accepted(e *entry, job *Job, r platform.Result) {
	log := k.log.WithFields(logrus.Fields{"job": e.id, "items": len(job.Items), "min_version": job.MinVersion})
	switch {
	case r.Err == nil:
		log.Info("job accepted")
		e.job, e.state = job, state{Owner: k.self}
		k.open(e)
	case errors.Is(r.Err, platform.ErrConflict):
		log.Info("job was accepted before")
		k.load(e)
	case errors.Is(r.Err, platform.ErrUnknownOutcome):
		log.WithError(r.Err).Warn("job acceptance has an unknown outcome")
		k.drop(e, StatusUnknownOutcome)
	default:
		log.WithError(r.Err).Warn("job refused")
		k.drop(e, StatusUnavailable)
	}
}

// drop forgets a job and answers everybody who waits for it.
func (k *Manager) drop(e *entry, status Status) {
	if k.jobs[e.id] == e {
		delete(k.jobs, e.id)
	}
	k.reply(e, Reply{Status: status})
}

func (k *Manager) reply(e *entry, a Reply) {
	waiting := slices.Concat(e.waiting, e.readers, e.takeUnconfirmed())
	e.waiting, e.readers = nil, nil
	for _, w := range waiting {
		w.ask.Reply(a)
	}
}

// settleWaiting answers the questions that waited for the job to be known.
func (k *Manager) settleWaiting(e *entry) {
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		if e.phase == phaseElsewhere {
			answer := Reply{Status: StatusNotOwner, Owner: e.state.Owner}
			if w.ask.Params.Kind == QuerySubmit {
				answer = Reply{Status: StatusOK}
			}
			w.ask.Reply(answer)
			continue
		}
		k.answer(e, w)
	}
}

// closeJob stops the runs of a job.
func (k *Manager) closeJob(e *entry, next phase) {
	for _, item := range e.items {
		item.stop()
	}
	e.items, e.pending = nil, nil
	e.phase = next
	e.waiting = append(e.waiting, e.readers...)
	e.waiting = append(e.waiting, e.takeUnconfirmed()...)
	e.readers = nil
}

// release gives up the open jobs at a planned stop.
func (k *Manager) release() {
	k.released = true
	for _, e := range k.jobs {
		if e.phase != phaseOwned {
			continue
		}
		k.closeJob(e, phaseElsewhere)
		e.state.Owner = Owner{}
		k.settleWaiting(e)
		k.writeState(e, e.state, func(err error) {
			if err != nil {
				k.log.WithError(err).WithField("job", e.id).Warn("job could not be released")
			}
		})
	}
}

// openJobs returns the number of jobs that this daemon runs.
func (k *Manager) openJobs() int {
	n := 0
	for _, e := range k.jobs {
		if e.phase == phaseOwned {
			n++
		}
	}
	return n
}

func (k *Manager) tick() {
	now := k.now()
	for id, e := range k.jobs {
		switch e.phase {
		case phaseOwned:
			k.launchWaiting(e)
			if now.Sub(e.usedAt) > unreadCheck {
				k.checkOwner(e)
			}
		case phaseElsewhere, phaseEnded:
			if now.Sub(e.usedAt) > keepEnded {
				delete(k.jobs, id)
			}
		}
	}
}

// WaitIdle blocks until this daemon runs no job or ctx ends.
func (k *Manager) WaitIdle(ctx context.Context) {
	for {
		n, err := k.counts.Do(ctx, struct{}{})
		if err != nil || n == 0 {
			return
		}
		if duty.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}
