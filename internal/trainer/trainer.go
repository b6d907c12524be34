// Package trainer holds the decisions about trainers: steps, groups, labels,
// freshness and delivery. The wire encoding is in trainerhttp.
//
// Each group of a step reaches its trainer exactly once. One daemon owns a
// trainer by lease; the ledger object holds what the trainer has acknowledged;
// the trainer recognises a group that it holds. docs/notes/exactly-once.md has
// the argument.
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

// Limits of the trainer duty.
const (
	askRingCapacity   = 1024
	leaseRingCapacity = 1024
	// maxSamplesInFlight bounds the samples that run at once. The rings of
	// results have the same capacity, so a result is never refused.
	maxSamplesInFlight = 4096
	maxScoring         = 4096
	maxStoreOps        = 4096
	maxDiskOps         = 256

	deliveryWait  = 10 * time.Second // of a long poll
	pendingWait   = 5 * time.Second  // for the ownership to be known
	ackWait       = 5 * time.Second  // for the ledger to hold an acknowledgement
	maxPending    = 64
	ledgerPeriod  = time.Second // at most one ledger write per trainer in it
	retryPeriod   = time.Second
	tickPeriod    = time.Second
	leaveAfter    = 10 * time.Minute // without a request of the trainer
	maxOpenSteps  = 4
	maxDeliveries = 64      // groups in one answer
	maxAnswer     = 8 << 20 // bytes of samples in one answer, unless one group is larger
)

// Store is what the duty needs of the store duty; platform.Store implements it.
type Store interface {
	Submit(op platform.Op) bool
}

// Leases is what the duty needs of the lessor; platform.Lessor implements it.
type Leases interface {
	Acquire(name string, o platform.LeaseOptions) bool
	Release(name string) bool
}

// Scorer is what the duty needs of the scorer duty; scorer.Scorer implements it.
type Scorer interface {
	Submit(r scorer.Request) bool
}

// Options are the parts that the duty works with. Scores and Bulk may be nil.
type Options struct {
	// RedirectAddress returns the address of this daemon for redirects. It is called
	// only after the first request of a trainer.
	RedirectAddress func() string
	Runner          Runner
	Store           Store
	Leases          Leases
	Scorer          Scorer
	BulkStore       BulkStore
	DiskPool        Pool // runs calls of Bulk
	MaxInFlight     int  // samples in flight
	// MaxSampleBytes bounds the bytes of finished samples in memory. Trainers with
	// samples waiting start no more work above it; 0 takes the default.
	MaxSampleBytes int
}

// defaultMemoryLimit leaves most of the 256 MB of a daemon to other work.
const defaultMemoryLimit = 64 << 20

type sampleEnd struct {
	attempt *attempt
	outcome SampleOutcome
}

type sampleProgress struct {
	attempt *attempt
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

// Manager is the duty that serves trainers.
type Manager struct {
	loop     *duty.Loop
	options  Options
	asks     *ring.Ring[ask]
	ends     *ring.Ring[sampleEnd]
	progress *ring.Ring[sampleProgress]
	leases   *ring.Ring[leaseChange]
	store    *ring.Ring[storeDone]
	scores   *ring.Ring[scoreDone]
	disk     *ring.Ring[diskDone]
	configs  *ring.Ring[*core.ContractSet]
	versions *ring.Ring[modelVersion]
	counters counters

	contracts *core.ContractSet
	latest    map[string]core.Version
	streams   map[streamKey]*stream
	order     []*stream // of the round robin
	turn      int
	running   int
	nextID    uint64
	storeOps  int
	diskOps   int
	scoring   int
	unscored  []scoreJob // wait for room at the scorer
	retrying  bool
	predict   *predictor
}

// New returns the trainer duty.
func New(clock duty.Clock, o Options) *Manager {
	o.MaxInFlight = min(max(o.MaxInFlight, 1), maxSamplesInFlight)
	if o.MaxSampleBytes <= 0 {
		o.MaxSampleBytes = defaultMemoryLimit
	}
	t := &Manager{
		loop:     duty.New("trainer", clock),
		options:  o,
		asks:     ring.New[ask]("trainer.asks", askRingCapacity),
		ends:     ring.New[sampleEnd]("trainer.ends", maxSamplesInFlight),
		progress: ring.New[sampleProgress]("trainer.progress", maxSamplesInFlight),
		leases:   ring.New[leaseChange]("trainer.leases", leaseRingCapacity),
		store:    ring.New[storeDone]("trainer.store", maxStoreOps),
		scores:   ring.New[scoreDone]("trainer.scores", maxScoring),
		disk:     ring.New[diskDone]("trainer.disk", maxDiskOps),
		configs:  ring.New[*core.ContractSet]("trainer.config", 4),
		versions: ring.New[modelVersion]("trainer.versions", leaseRingCapacity),
		counters: newCounters(),
		latest:   map[string]core.Version{},
		streams:  map[streamKey]*stream{},
		predict:  newPredictor(),
	}
	duty.On(t.loop, t.configs, func(s *core.ContractSet) { t.contracts = s })
	duty.On(t.loop, t.versions, t.handleVersion)
	duty.On(t.loop, t.leases, t.handleLease)
	duty.On(t.loop, t.store, t.handleStore)
	duty.On(t.loop, t.progress, t.handleProgress)
	duty.On(t.loop, t.ends, t.handleEnd)
	duty.On(t.loop, t.scores, t.handleScore)
	duty.On(t.loop, t.disk, t.handleDisk)
	duty.On(t.loop, t.asks, t.handleAsk)
	t.loop.Every(tickPeriod, t.tick)
	t.loop.OnStop(t.release)
	return t
}

// release hands the trainers over at a planned stop. Bulk data stays on disk
// for the next run of this daemon.
func (t *Manager) release() {
	for _, s := range t.order {
		t.loseOwnership(s)
		for _, st := range s.steps {
			for _, g := range st.groups {
				t.cancelRest(g)
			}
		}
		t.options.Leases.Release(s.key.leaseName())
	}
}

// Loop returns the duty's loop.
func (t *Manager) Loop() *duty.Loop { return t.loop }

// SetContracts takes the contract set that is in force.
func (t *Manager) SetContracts(s *core.ContractSet) { t.configs.PutLatest(s) }

// SetLatestVersion takes the newest version known of a model. Lower versions
// than the one known are ignored. Any goroutine may call it.
func (t *Manager) SetLatestVersion(model string, v core.Version) {
	t.versions.PutLatest(modelVersion{model, v})
}

// Ask puts a query to the duty and waits for the reply. Only handlers may call it.
func (t *Manager) Ask(ctx context.Context, q Query) Reply {
	reply := ring.New[Reply]("reply", 1)
	if !t.Submit(ctx, q, func(r Reply) { reply.TryPut(r) }) {
		return Reply{Err: core.NotRunError(core.CodeOverloaded, "ring %s is full", t.asks.Name())}
	}
	r, ok := reply.Take(ctx)
	if !ok {
		return Reply{Err: core.MayHaveRunError(core.CodeDeadline, "no answer in time")}
	}
	return r
}

// Submit puts a query to the duty. reply takes the answer on the duty's goroutine
// and must not wait; only its first call counts. When Submit reports false the
// query was not taken.
func (t *Manager) Submit(ctx context.Context, q Query, reply func(Reply)) bool {
	return t.asks.TryPut(ask{Context: ctx, Query: q, reply: reply})
}

func (t *Manager) now() time.Time { return t.loop.Clock().Now() }

// terms returns the contract's entry for the trainer and its bound on freshness.
func (t *Manager) terms(k streamKey) (*core.Trainer, core.Freshness) {
	contract := t.contracts.Lookup(k.customer)
	if contract == nil {
		return nil, core.Freshness{}
	}
	return contract.Trainer(k.trainer), contract.Freshness
}

func (t *Manager) handleAsk(a ask) {
	key := a.Query.key()
	if entry, _ := t.terms(key); entry == nil {
		a.Reply(Reply{Err: core.NotRunError(core.CodeNotFound, "the contract of customer %q in force names no trainer %q", key.customer, key.trainer)})
		return
	}
	s := t.streams[key]
	if s == nil {
		s = &stream{key: key}
		t.streams[key] = s
		t.order = append(t.order, s)
	}
	s.asked = t.now()
	if t.isOwner(s) {
		t.serve(s, a)
		return
	}
	t.hold(s, a)
}

func (t *Manager) serve(s *stream, a ask) {
	q := a.Query
	switch {
	case q.Open != nil:
		t.open(s, a)
	case q.Fetch != nil:
		t.fetch(s, a)
	default:
		t.acknowledge(s, a)
	}
}

// tick looks for work that is overdue, stale or no longer wanted.
func (t *Manager) tick() {
	now := t.now()
	for _, s := range append([]*stream(nil), t.order...) {
		t.prunePending(s, now)
		entry, _ := t.terms(s.key)
		if now.Sub(s.asked) > leaveAfter || entry == nil {
			t.leave(s)
			continue
		}
		t.sweep(s, now)
		t.startSpares(s, entry, now)
	}
	t.submitScores()
	t.startSamples()
}
