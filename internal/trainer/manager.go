// Package trainer serves the trainers that open steps. It decides when the
// samples of a step run and run again, which samples are fresh enough and
// labelled, and which complete groups are delivered. The trainer duty (Manager)
// owns all of this state. The wire encoding is in trainerhttp.
//
// Guarantees: each group of a step reaches its trainer exactly once. One daemon
// owns a trainer by lease, the ledger object in the store records the groups
// that the trainer has acknowledged, and the trainer recognises a group that it
// already has. docs/notes/exactly-once.md has the argument. Each delivered sample
// names the weight version of every token and is within the contract's bound on
// freshness at the time of its delivery.
package trainer

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
	"github.com/berylfall/berylfall/internal/scorer"
)

// Limits and timings of the trainer duty.
const (
	queryRingCapacity = 1024
	leaseRingCapacity = 1024
	// maxSamplesInFlight bounds the samples that run at once. The rings for
	// their results have the same capacity, so no result is ever refused.
	maxSamplesInFlight = 4096
	maxScoresInFlight  = 4096
	maxStoreOps        = 4096
	maxDiskOps         = 256

	longPollWait       = 10 * time.Second // longest wait of a fetch
	ownerWait          = 5 * time.Second  // longest wait of a query until the owner is known
	ledgerWait         = 5 * time.Second  // longest wait of a query for a ledger write
	maxWaitingQueries  = 64
	ledgerWritePeriod  = time.Second // least interval between ledger writes of a trainer
	retryDelay         = time.Second
	tickPeriod         = time.Second
	idleTrainerTimeout = 10 * time.Minute // without a request from the trainer
	maxOpenSteps       = 4
	maxGroupsPerAnswer = 64      // deliveries in one answer
	maxAnswerBytes     = 8 << 20 // of samples in one answer, unless one group is larger
)

// Store accepts operations for the store duty; platform.Store implements it.
type Store interface {
	Submit(op platform.Op) bool
}

// Leases acquires and releases leases; platform.LeaseManager implements it.
type Leases interface {
	Acquire(name string, o platform.LeaseOptions) bool
	Release(name string) bool
}

// Scorer accepts requests for the scorer duty; scorer.Scorer implements it.
type Scorer interface {
	Submit(r scorer.Request) bool
}

// Options configure a Manager. Scorer and BulkStore may be nil.
type Options struct {
	// LeaseNow is the clock of Leases, which must include the time for which the host is
	// suspended; nil takes the duty's clock.
	LeaseNow func() time.Time
	// RedirectAddress returns the address of this daemon for redirects. It is
	// called only after the first request from a trainer.
	RedirectAddress func() string
	Runner          Runner
	Store           Store
	Leases          Leases
	Scorer          Scorer
	BulkStore       BulkStore
	DiskPool        Pool // runs the calls of BulkStore
	MaxInFlight     int  // samples in flight
	// MaxSampleBytes bounds the bytes of finished samples in memory. A trainer
	// above its part of the bound starts no more samples; 0 selects the default.
	MaxSampleBytes int
}

// defaultMaxSampleBytes leaves most of a daemon's 256 MB of memory to its
// other duties.
const defaultMaxSampleBytes = 64 << 20

type runEnd struct {
	run     *activeRun
	outcome SampleOutcome
}

type versionReport struct {
	run     *activeRun
	version core.Version
}

type leaseChange struct {
	stream *stream
	event  platform.LeaseEvent
}

type modelVersion struct {
	model   string
	version core.Version
}

// Manager is the duty that owns the state of the trainers of this daemon.
type Manager struct {
	loop            *duty.Loop
	options         Options
	queries         *ring.Ring[pendingQuery]
	runEnds         *ring.Ring[runEnd]
	versionReports  *ring.Ring[versionReport]
	leaseChanges    *ring.Ring[leaseChange]
	storeReplies    *ring.Ring[storeReply]
	scoreReplies    *ring.Ring[scoreReply]
	diskReplies     *ring.Ring[diskReply]
	contractUpdates *ring.Ring[*core.ContractSet]
	versionUpdates  *ring.Ring[modelVersion]
	counters        counters

	contracts           *core.ContractSet
	latestVersions      map[string]core.Version
	streams             map[streamKey]*stream
	roundRobin          []*stream // order of the round robin
	nextTurn            int
	runsInFlight        int
	lastRunID           uint64
	storeOpsInFlight    int
	diskOpsInFlight     int
	scoresInFlight      int
	scoreQueue          []scoreTask // samples that wait for room at the scorer
	startRetryScheduled bool
	predictor           *predictor
}

// New returns the trainer duty, whose loop has yet to be run.
func New(clock duty.Clock, o Options) *Manager {
	o.MaxInFlight = min(max(o.MaxInFlight, 1), maxSamplesInFlight)
	if o.MaxSampleBytes <= 0 {
		o.MaxSampleBytes = defaultMaxSampleBytes
	}
	if o.LeaseNow == nil {
		o.LeaseNow = clock.Now
	}
	t := &Manager{
		loop:            duty.New("trainer", clock),
		options:         o,
		queries:         ring.New[pendingQuery]("trainer.asks", queryRingCapacity),
		runEnds:         ring.New[runEnd]("trainer.ends", maxSamplesInFlight),
		versionReports:  ring.New[versionReport]("trainer.progress", maxSamplesInFlight),
		leaseChanges:    ring.New[leaseChange]("trainer.leases", leaseRingCapacity),
		storeReplies:    ring.New[storeReply]("trainer.store", maxStoreOps),
		scoreReplies:    ring.New[scoreReply]("trainer.scores", maxScoresInFlight),
		diskReplies:     ring.New[diskReply]("trainer.disk", maxDiskOps),
		contractUpdates: ring.New[*core.ContractSet]("trainer.config", 4),
		versionUpdates:  ring.New[modelVersion]("trainer.versions", leaseRingCapacity),
		counters:        newCounters(),
		latestVersions:  map[string]core.Version{},
		streams:         map[streamKey]*stream{},
		predictor:       newPredictor(),
	}
	duty.On(t.loop, t.contractUpdates, func(s *core.ContractSet) { t.contracts = s })
	duty.On(t.loop, t.versionUpdates, t.handleVersion)
	duty.On(t.loop, t.leaseChanges, t.handleLease)
	duty.On(t.loop, t.storeReplies, t.handleStoreReply)
	duty.On(t.loop, t.versionReports, t.handleVersionReport)
	duty.On(t.loop, t.runEnds, t.handleRunEnd)
	duty.On(t.loop, t.scoreReplies, t.handleScoreReply)
	duty.On(t.loop, t.diskReplies, t.handleDiskReply)
	duty.On(t.loop, t.queries, t.handleQuery)
	t.loop.Every(tickPeriod, t.tick)
	t.loop.OnStop(t.handOverTrainers)
	return t
}

// handOverTrainers releases the leases of all trainers at a planned stop. Bulk
// data stays on disk for the next start of this daemon.
func (m *Manager) handOverTrainers() {
	for _, s := range m.roundRobin {
		m.loseOwnership(s)
		for _, st := range s.steps {
			for _, g := range st.groups {
				m.cancelAllRuns(g)
			}
		}
		m.options.Leases.Release(s.key.leaseName())
	}
}

// Loop returns the duty's loop, which the caller runs.
func (m *Manager) Loop() *duty.Loop { return m.loop }

// SetContracts replaces the contract set in force. Any goroutine may call it.
func (m *Manager) SetContracts(s *core.ContractSet) { m.contractUpdates.PutLatest(s) }

// SetLatestVersion sets the newest known weight version of a model. A version
// at or below the known one is ignored. Any goroutine may call it.
func (m *Manager) SetLatestVersion(model string, v core.Version) {
	m.versionUpdates.PutLatest(modelVersion{model, v})
}

// Query sends a query to the duty and waits for the reply. It blocks, so only
// request handlers may call it.
func (m *Manager) Query(ctx context.Context, q Query) Reply {
	reply := ring.New[Reply]("reply", 1)
	if !m.Submit(ctx, q, func(r Reply) { reply.TryPut(r) }) {
		return Reply{Err: core.NotRunError(core.CodeOverloaded, "ring %s is full", m.queries.Name())}
	}
	r, ok := reply.Take(ctx)
	if !ok {
		return Reply{Err: core.MayHaveRunError(core.CodeDeadline, "no answer before the deadline")}
	}
	return r
}

// Submit sends a query to the duty. It reports false if the ring is full and the
// query was not accepted. reply is called on the duty's goroutine and must not
// wait. It may be called more than once; only the first call counts.
func (m *Manager) Submit(ctx context.Context, q Query, reply func(Reply)) bool {
	return m.queries.TryPut(pendingQuery{Context: ctx, Query: q, reply: reply})
}

func (m *Manager) now() time.Time { return m.loop.Clock().Now() }

// contractTerms returns the contract's entry for the trainer, or nil, and its
// bound on freshness.
func (m *Manager) contractTerms(k streamKey) (*core.Trainer, core.Freshness) {
	contract := m.contracts.Lookup(k.customer)
	if contract == nil {
		return nil, core.Freshness{}
	}
	return contract.Trainer(k.trainer), contract.Freshness
}

func (m *Manager) handleQuery(q pendingQuery) {
	key := q.Query.key()
	if terms, _ := m.contractTerms(key); terms == nil {
		q.Reply(Reply{Err: core.NotRunError(core.CodeNotFound, "the contract of customer %q in force names no trainer %q", key.customer, key.trainer)})
		return
	}
	s := m.streams[key]
	if s == nil {
		s = &stream{key: key}
		m.streams[key] = s
		m.roundRobin = append(m.roundRobin, s)
	}
	s.lastQueryAt = m.now()
	if m.isOwner(s) {
		m.serveQuery(s, q)
		return
	}
	m.awaitOwner(s, q)
}

func (m *Manager) serveQuery(s *stream, q pendingQuery) {
	query := q.Query
	switch {
	case query.Open != nil:
		m.openStep(s, q)
	case query.Fetch != nil:
		m.fetch(s, q)
	default:
		m.acknowledge(s, q)
	}
}

// tick removes idle trainers, replaces stale samples and starts spare samples.
func (m *Manager) tick() {
	now := m.now()
	for _, s := range append([]*stream(nil), m.roundRobin...) {
		m.expireAwaitingOwner(s, now)
		terms, _ := m.contractTerms(s.key)
		if now.Sub(s.lastQueryAt) > idleTrainerTimeout || terms == nil {
			m.removeTrainer(s)
			continue
		}
		m.replaceStale(s, now)
		m.startSpares(s, terms, now)
	}
	m.submitScoreTasks()
	m.startSamples()
}
