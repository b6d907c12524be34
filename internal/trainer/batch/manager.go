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

// Key prefixes of the objects in the store.
const (
	jobPrefix    = "jobs/"
	statePrefix  = "jobstates/"
	resultPrefix = "results/"
)

// Limits and timings of the jobs duty.
const (
	queryRingCapacity  = 1024
	storeReplyCapacity = 4096 // store operations in flight
	runEndCapacity     = 16384
	maxKnownJobs       = 4096 // in memory at once; most belong to other daemons

	// tickPeriod is the interval at which due items are launched, open jobs have
	// their ownership checked if that is due, and inactive jobs are removed from
	// memory.
	tickPeriod = 200 * time.Millisecond
	// publishDelay batches results before they are written, once a group is
	// complete, and slowPublishDelay while no group is: trainers wait for
	// complete groups, and each write costs a call of the store.
	publishDelay     = 250 * time.Millisecond
	slowPublishDelay = 800 * time.Millisecond
	// ownershipCheckPeriod is the time between an owner's reads of the state of an
	// open job. The items of a job that was ended through another daemon must not
	// start some seconds later, whatever queries this daemon answers meanwhile.
	ownershipCheckPeriod = 1200 * time.Millisecond
	// confirmationTTL is how long the result list is considered complete after it
	// was read or written. It is well below the time within which every daemon
	// must return a published result.
	confirmationTTL = 600 * time.Millisecond
	// inactiveJobTTL is how long a job that has ended, or what a failed load has read of
	// one, stays in memory after its last query.
	inactiveJobTTL = 10 * time.Second
	// knownOwnerTTL is how long a daemon remembers the owner of another daemon's job.
	// It covers the time for which trainers read the results, so that a read at any
	// daemon is relayed instead of loading the job from the store.
	knownOwnerTTL = 2 * time.Minute
	// storeTimeout bounds a store operation that a caller waits for.
	storeTimeout = 1500 * time.Millisecond
	// maxReplyTextBytes bounds the texts of one reply.
	maxReplyTextBytes = 900 << 10
	// maxResultPartBytes bounds the texts of one object of the result list.
	maxResultPartBytes = 600 << 10
)

// Store accepts operations for the store duty. Submit never waits.
type Store interface {
	Submit(op platform.Op) bool
}

// Pool runs the collection of engine answers; duty.Pool implements it.
type Pool interface {
	TryGo(f func()) bool
}

// phase is the role of this daemon for a job.
type phase int

const (
	phaseUnloaded phase = iota // nothing of it is in memory, or what a failed load has read
	phaseStoring               // its object is being created
	phaseLoading               // it is being read from the store
	phaseOwned                 // this daemon owns it and runs its items
	phaseNotOwner              // another daemon owns it or may own it
	phaseEnded                 // it has ended and its results are in memory
)

// pendingQuery is a query that waits for its reply.
type pendingQuery struct {
	request   duty.Query[Query, Reply]
	arrivedAt time.Time
	deadline  time.Time // of a wait for results
}

func (m *Manager) newPendingQuery(request duty.Query[Query, Reply]) pendingQuery {
	return pendingQuery{request: request, arrivedAt: m.now()}
}

// jobEntry is the state of one job in memory.
type jobEntry struct {
	id    JobID
	phase phase
	job   *Job
	// customer is the job's, once the job was read or its owner announced it. It stays when
	// the job is removed from memory.
	customer core.CustomerID
	state    state
	// stateVersion is the version of the state object, platform.Absent if there is none.
	stateVersion         int64
	replaceOwner         Owner // owner that the load in progress takes the job over from
	loadStep             loadStep
	loadStartedAt        time.Time
	loadedItems          *Job // a large job of which loadedItemParts are in memory; nil without one
	loadedItemParts      int
	loadOps              int // operations of loads sent; only the reply to the newest one counts
	awaitingLoad         []pendingQuery
	awaitingResults      []pendingQuery
	awaitingConfirmation []pendingQuery // queries that wait until the result list is known to be complete
	confirmedAt          time.Time      // when the result list was last known to be complete
	lastQueryAt          time.Time
	// lease is the right to run the items: the ownership as last confirmed by the store.
	// Each ownership has a lease of its own.
	lease             *core.Lease
	checkingOwnership bool          // the state is being read from the store
	recheckOwnership  bool          // it is to be read again, since the store may answer again
	checkFailures     checkFailures // since the last successful check

	items            map[ItemID]*itemRun
	launchOrder      []ItemID
	published        []Result
	resultParts      int            // objects of the result list
	groupRemaining   map[string]int // items without a result, by group
	unpublished      []Result
	completedGroups  int       // groups that the unpublished results complete
	inherited        []Result  // results that the former owner could not publish
	storeUnreachable bool      // the last write or ownership check failed
	nextPartInUse    bool      // the next part of the result list is being written or read
	generation       int       // counts the starts and stops of the job at this daemon
	publishAt        time.Time // time of the next write; zero if none is scheduled
	remainingItems   int       // items without a published or unpublished result
}

// Manager is the duty that owns the batch jobs of this daemon.
type Manager struct {
	loop   *duty.Loop
	log    *logrus.Entry
	calls  core.Submitter
	pool   Pool
	routes Routes
	self   Owner
	// leaseNow is the clock of the leases.
	leaseNow func() time.Time
	// onOwned is called for each job that this daemon starts to own.
	onOwned func(Ownership)
	// maxObjectBytes bounds the size of one store object of a job.
	maxObjectBytes int

	queries       *duty.QueryRing[Query, Reply]
	openJobCounts *duty.QueryRing[struct{}, int]
	storeOps      *storeOps
	releases      *ring.Ring[struct{}] // requests of ReleaseJobs
	rechecks      *ring.Ring[struct{}] // requests of RecheckOwnership
	runEnds       *ring.Ring[runEnd]
	ownerUpdates  *ring.Ring[[]Ownership]

	jobs     map[JobID]*jobEntry
	released bool
}

// Options configure a Manager.
type Options struct {
	Clock  duty.Clock
	Log    *logrus.Entry
	Store  Store
	Calls  core.Submitter
	Pool   Pool
	Routes Routes
	Self   Owner
	// LeaseNow returns the time by which the age of an ownership is measured. It must
	// include the time for which the host is suspended; nil takes Clock.
	LeaseNow func() time.Time
	// OnOwned is called on the duty's goroutine for each job that this daemon
	// starts to own. It must not wait.
	OnOwned func(Ownership)
	// MaxObjectBytes bounds the size of one store object of a job; 0 selects the
	// default.
	MaxObjectBytes int
}

// NewManager returns a duty whose loop has yet to be run.
func NewManager(o Options) *Manager {
	if o.MaxObjectBytes <= 0 {
		o.MaxObjectBytes = defaultObjectBytes
	}
	if o.LeaseNow == nil {
		o.LeaseNow = o.Clock.Now
	}
	m := &Manager{
		loop:    duty.New("jobs", o.Clock),
		log:     o.Log,
		calls:   o.Calls,
		pool:    o.Pool,
		routes:  o.Routes,
		self:    o.Self,
		onOwned: o.OnOwned,

		leaseNow:       o.LeaseNow,
		maxObjectBytes: o.MaxObjectBytes,

		ownerUpdates:  ring.New[[]Ownership]("jobs.owners", queryRingCapacity),
		queries:       duty.NewQueryRing[Query, Reply]("jobs.queries", queryRingCapacity),
		openJobCounts: duty.NewQueryRing[struct{}, int]("jobs.counts", queryRingCapacity),
		releases:      ring.New[struct{}]("jobs.releases", 1),
		rechecks:      ring.New[struct{}]("jobs.rechecks", 1),
		runEnds:       ring.New[runEnd]("jobs.ends", runEndCapacity),
		jobs:          map[JobID]*jobEntry{},
	}
	m.storeOps = newStoreOps(m.loop, o.Store, "jobs.results", storeReplyCapacity)
	duty.On(m.loop, m.releases, func(struct{}) { m.releaseOwnedJobs() })
	duty.On(m.loop, m.rechecks, func(struct{}) { m.recheckAllOwnerships() })
	duty.On(m.loop, m.runEnds, m.handleRunEnd)
	duty.OnQuery(m.loop, m.queries, m.handleQuery)
	duty.On(m.loop, m.ownerUpdates, m.handleOwnerUpdates)
	duty.OnQuery(m.loop, m.openJobCounts, func(a duty.Query[struct{}, int]) { a.Reply(m.countOpenJobs()) })
	m.loop.Every(tickPeriod, m.tick)
	return m
}

// Loop returns the duty's loop, which the caller runs.
func (m *Manager) Loop() *duty.Loop { return m.loop }

// UpdateOwners records the owners of jobs that peers have announced. It never
// waits. An update that the ring discards does no harm: the owner is read from
// the store when the job is queried.
func (m *Manager) UpdateOwners(list []Ownership) { m.ownerUpdates.PutLatest(list) }

func (m *Manager) handleOwnerUpdates(updates []Ownership) {
	for _, o := range updates {
		e := m.jobs[o.Job]
		switch {
		case e == nil && len(m.jobs) < maxKnownJobs:
			m.jobs[o.Job] = &jobEntry{id: o.Job, phase: phaseNotOwner, customer: o.Customer, state: state{Owner: o.Owner}, lastQueryAt: m.now()}
		case e != nil && e.phase == phaseNotOwner:
			e.state.Owner = o.Owner
			if o.Customer != "" {
				e.customer = o.Customer
			}
		}
	}
}

func (m *Manager) now() time.Time { return m.loop.Clock().Now() }

// ReleaseJobs releases all owned jobs, so that other daemons take them over.
// Any goroutine may call it.
func (m *Manager) ReleaseJobs() { m.releases.PutLatest(struct{}{}) }

// RecheckOwnership checks the ownership of all jobs in the store. It is called
// when the store is reachable again, since a job may have ended or been taken
// over meanwhile. Any goroutine may call it.
func (m *Manager) RecheckOwnership() { m.rechecks.PutLatest(struct{}{}) }

func (m *Manager) recheckAllOwnerships() {
	for _, e := range m.jobs {
		e.recheckOwnership = e.checkingOwnership
		m.checkOwnership(e)
	}
}

// submitToStore sends an operation to the store duty; reply runs on the duty's
// goroutine.
func (m *Manager) submitToStore(op platform.Op, reply func(platform.Result)) {
	op.Timeout, op.FailFast = storeTimeout, true
	m.storeOps.submit(op, reply)
}

func (m *Manager) handleQuery(request duty.Query[Query, Reply]) {
	q := request.Params
	e := m.jobs[q.ID]
	if m.released || (e == nil && len(m.jobs) >= maxKnownJobs) {
		request.Reply(Reply{Status: StatusUnavailable})
		return
	}
	if q.Kind == QueryRelinquish {
		m.relinquishJob(e, request)
		return
	}
	if e == nil {
		e = &jobEntry{id: q.ID, stateVersion: platform.Absent}
		m.jobs[q.ID] = e
	}
	e.lastQueryAt = m.now()
	switch e.phase {
	case phaseUnloaded:
		m.acceptOrLoadJob(e, request)
	case phaseStoring, phaseLoading:
		if e.canAnswerEarly(q) && e.replaceOwner == (Owner{}) {
			request.Reply(e.resultsFrom(q.FromPosition))
			return
		}
		e.awaitingLoad = append(e.awaitingLoad, m.newPendingQuery(request))
		if q.ReplaceOwner != (Owner{}) {
			e.replaceOwner = q.ReplaceOwner
		}
		e.inherited = append(e.inherited, q.Unpublished...)
	case phaseNotOwner:
		m.answerNotOwned(e, request)
	default:
		m.answerQuery(e, m.newPendingQuery(request))
	}
}

// acceptJob stores a new job. The job is accepted once its object has been created.
func (m *Manager) acceptJob(e *jobEntry, job *Job) {
	e.phase = phaseStoring
	job.AcceptedBy = m.self
	value, err := json.Marshal(job)
	switch {
	case err != nil:
		m.handleAccepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
	case len(value) > m.maxObjectBytes:
		m.storeItemParts(e, job)
	default:
		m.createJob(e, job, value)
	}
}

// createJob creates the job's object. value is the encoded job, without its items if
// these have objects of their own.
func (m *Manager) createJob(e *jobEntry, job *Job, value []byte) {
	op := platform.Op{Kind: platform.OpPut, Key: jobPrefix + string(e.id), Value: value, IfVersion: platform.Absent}
	e.lease = m.newLease(m.leaseNow())
	m.submitToStore(op, func(r platform.Result) { m.handleAccepted(e, job, r) })
}

// handleAccepted starts a job whose object was written. A conflict means that
// the job was accepted before; any other definite failure means that it was not
// accepted.
func (m *Manager) handleAccepted(e *jobEntry, job *Job, r platform.Result) {
	log := m.log.WithFields(logrus.Fields{"job": e.id, "items": len(job.Items), "min_version": job.MinVersion})
	switch {
	case r.Err == nil:
		log.Info("job accepted")
		e.setJob(job)
		e.state = state{Owner: m.self}
		m.startJob(e)
	case errors.Is(r.Err, platform.ErrConflict):
		log.Info("job was accepted before")
		m.loadJob(e)
	case errors.Is(r.Err, platform.ErrUnknownOutcome):
		log.WithError(r.Err).Warn("job acceptance has an unknown outcome")
		m.removeJob(e, StatusUnknownOutcome)
	default:
		log.WithError(r.Err).Warn("job refused")
		m.removeJob(e, StatusUnavailable)
	}
}

// removeJob removes a job from memory and answers all queries that wait for it.
func (m *Manager) removeJob(e *jobEntry, status Status) {
	if m.jobs[e.id] == e {
		delete(m.jobs, e.id)
	}
	m.replyToAll(e, Reply{Status: status})
}

func (m *Manager) replyToAll(e *jobEntry, reply Reply) {
	waiting := slices.Concat(e.awaitingLoad, e.awaitingResults, e.removeAwaitingConfirmation())
	e.awaitingLoad, e.awaitingResults = nil, nil
	for _, w := range waiting {
		w.request.Reply(reply)
	}
}

// answerAwaitingLoad answers the queries that waited until the job was loaded.
func (m *Manager) answerAwaitingLoad(e *jobEntry) {
	waiting := e.awaitingLoad
	e.awaitingLoad = nil
	for _, w := range waiting {
		if e.phase == phaseNotOwner {
			w.request.Reply(e.replyNotOwned(&w.request.Params))
			continue
		}
		m.answerQuery(e, w)
	}
}

// stopJob revokes the lease of a job, cancels the runs of its items and moves the queries that wait for
// results to awaitingLoad.
func (m *Manager) stopJob(e *jobEntry, next phase) {
	e.lease.Revoke()
	e.abandonLoad()
	for _, item := range e.items {
		item.cancelRun()
	}
	e.items, e.unpublished = nil, nil
	e.nextPartInUse = false
	e.generation++
	e.phase = next
	e.awaitingLoad = append(e.awaitingLoad, e.awaitingResults...)
	e.awaitingLoad = append(e.awaitingLoad, e.removeAwaitingConfirmation()...)
	e.awaitingResults = nil
}

// releaseOwnedJobs removes this daemon as the owner of its open jobs, at a planned
// stop.
func (m *Manager) releaseOwnedJobs() {
	m.released = true
	for _, e := range m.jobs {
		if e.phase != phaseOwned {
			continue
		}
		m.stopJob(e, phaseNotOwner)
		e.state.Owner = Owner{}
		m.answerAwaitingLoad(e)
		m.writeState(e, e.state, func(err error) {
			if err != nil {
				m.log.WithError(err).WithField("job", e.id).Warn("job could not be released")
			}
		})
	}
}

// countOpenJobs returns the number of open jobs that this daemon owns.
func (m *Manager) countOpenJobs() int {
	n := 0
	for _, e := range m.jobs {
		if e.phase == phaseOwned {
			n++
		}
	}
	return n
}

func (m *Manager) tick() {
	now := m.now()
	for id, e := range m.jobs {
		switch e.phase {
		case phaseOwned:
			m.launchDueItems(e)
			if m.isOwnershipCheckDue(e) {
				m.checkOwnership(e)
			}
		case phaseEnded, phaseUnloaded:
			if now.Sub(e.lastQueryAt) > inactiveJobTTL {
				delete(m.jobs, id)
			}
		case phaseNotOwner:
			e.job, e.published, e.resultParts = nil, nil, 0
			if now.Sub(e.lastQueryAt) > knownOwnerTTL {
				delete(m.jobs, id)
			}
		}
	}
}

// WaitIdle blocks until this daemon owns no open job or ctx ends.
func (m *Manager) WaitIdle(ctx context.Context) {
	for {
		n, err := m.openJobCounts.Do(ctx, struct{}{})
		if err != nil || n == 0 {
			return
		}
		if duty.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}
