package trainer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	standin "github.com/berylfall/berylfall/internal/standin/trainer"
	"github.com/berylfall/berylfall/internal/trainer"
)

const (
	model        = "wear"
	tickDuration = 200 * time.Millisecond
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeStore is the platform's object API in memory, with outages, lost replies and
// writes that take effect late.
type fakeStore struct {
	random     *rand.Rand
	objects    map[string]platform.Object
	revision   int64
	faultRate  float64 // probability of a fault per call
	down       bool
	delayedOps []func()
	writes     int
}

func (s *fakeStore) fault() error {
	switch {
	case s.down:
		return platform.ErrUnavailable
	case s.random.Float64() >= s.faultRate:
		return nil
	case s.random.IntN(2) == 0:
		return platform.ErrUnavailable
	}
	return platform.ErrUnknownOutcome
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	if err := s.fault(); err != nil {
		return platform.Object{}, err
	}
	if o, ok := s.objects[key]; ok && !o.Deleted {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Listing, error) {
	l := platform.Listing{Revision: s.revision}
	if err := s.fault(); err != nil {
		return l, err
	}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

func (s *fakeStore) Put(_ context.Context, w platform.Write) (platform.Object, error) {
	return s.change(w, false)
}

func (s *fakeStore) Delete(_ context.Context, w platform.Write) (platform.Object, error) {
	return s.change(w, true)
}

func (s *fakeStore) change(w platform.Write, deleted bool) (platform.Object, error) {
	s.writes++
	err := s.fault()
	if err == nil {
		return s.apply(w, deleted)
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		switch s.random.IntN(3) {
		case 0:
			_, _ = s.apply(w, deleted)
		case 1:
			s.delayedOps = append(s.delayedOps, func() { _, _ = s.apply(w, deleted) })
		}
	}
	return platform.Object{}, err
}

func (s *fakeStore) apply(w platform.Write, deleted bool) (platform.Object, error) {
	o := s.objects[w.Key]
	live := o.Version
	if o.Deleted {
		live = platform.Absent
	}
	if w.IfVersion != platform.AnyVersion && w.IfVersion != live {
		return platform.Object{}, platform.ErrConflict
	}
	s.revision++
	next := platform.Object{Key: w.Key, Version: o.Version + 1, Revision: s.revision, Token: w.Token, Value: w.Value, Deleted: deleted}
	s.objects[w.Key] = next
	return next, nil
}

func (s *fakeStore) Watch(context.Context, string, int64) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

// manualPool is a pool whose calls run when the simulation calls run.
type manualPool struct{ calls []func() }

func (p *manualPool) TryGo(f func()) bool {
	p.calls = append(p.calls, f)
	return true
}

func (p *manualPool) run() int {
	calls := p.calls
	p.calls = nil
	for _, f := range calls {
		f()
	}
	return len(calls)
}

// fakeEngine runs samples in virtual time. The text of a sample names the weight
// version of each token, so that labels can be checked.
type fakeEngine struct {
	sim     *simulation
	slots   int
	running int
}

func (e *fakeEngine) Start(run trainer.SampleRun) (func(), bool) {
	if e.running >= e.slots {
		return nil, false
	}
	e.running++
	random := e.sim.random
	over := false
	end := func(o trainer.SampleOutcome) {
		if !over {
			over = true
			e.running--
			run.OnDone(o)
		}
	}
	first := e.sim.version
	if random.IntN(4) == 0 {
		first = max(1, first-1) // an engine that still has the previous version
	}
	took := time.Duration(200+random.IntN(3000)) * time.Millisecond
	if random.IntN(20) == 0 {
		took *= 8
	}
	faulty := random.Float64() < e.sim.engineFaults
	unlabelled := random.IntN(2) == 0
	e.sim.clock.AfterFunc(took/4, func() {
		if !over {
			run.OnVersion(first)
		}
	})
	e.sim.clock.AfterFunc(took, func() {
		o := trainer.SampleOutcome{Tokens: []int32{1, 2, 3, 4}}
		versions := []core.Version{first, first, e.sim.version, e.sim.version}
		for i, v := range versions {
			o.Text += fmt.Sprintf("%d ", v)
			o.Spans = core.AppendSpan(o.Spans, core.Span{Version: v, From: i, To: i + 1})
		}
		if faulty && unlabelled {
			o.Spans[0].Version = 0
		} else if faulty {
			o = trainer.SampleOutcome{Err: core.MayHaveRunError(core.CodeBackendFailure, "engine crashed")}
		}
		end(o)
	})
	return func() {
		e.sim.clock.AfterFunc(0, func() {
			end(trainer.SampleOutcome{Err: core.MayHaveRunError(core.CodeCancelled, "cancelled")})
		})
	}, true
}

// testDaemon is one daemon of a simulation.
type testDaemon struct {
	address     string
	pool        manualPool
	disk        manualPool
	store       *platform.Store
	leases      *platform.LeaseManager
	manager     *trainer.Manager
	pausedUntil time.Time
	latest      core.Version
}

// simulation runs daemons, the store and trainers on one clock and one goroutine.
type simulation struct {
	t              testing.TB
	random         *rand.Rand
	clock          *duty.ManualClock
	store          *fakeStore
	daemons        []*testDaemon
	trainers       []*simTrainer
	contract       core.Contract
	version        core.Version
	engineFaults   float64
	injectFaults   bool
	slots          int
	records        map[string][]byte
	daemonsStarted int
	totalStats     trainer.Stats
}

func newSimulation(t testing.TB, seed uint64, daemons int, contract core.Contract) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		t: t, random: random, clock: duty.NewManualClock(simulationStart), version: 1, contract: contract, slots: 24,
		store: &fakeStore{random: random, objects: map[string]platform.Object{}},
	}
	for range daemons {
		sim.daemons = append(sim.daemons, sim.newDaemon())
	}
	return sim
}

func (sim *simulation) newDaemon() *testDaemon {
	sim.daemonsStarted++
	daemon := &testDaemon{address: fmt.Sprintf("10.0.0.%d:7300", sim.daemonsStarted), latest: sim.version}
	daemon.store = platform.NewStoreWithOptions(sim.clock, sim.store, &daemon.pool, platform.StoreOptions{
		Random: rand.New(rand.NewPCG(sim.random.Uint64(), 2)),
		// Operations outlast a pause, so that writes of a former owner arrive late.
		OpTimeout: time.Minute,
		Budget:    platform.NewBudget(platform.BudgetOptions{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}),
	})
	daemon.leases = platform.NewLeaseManager(sim.clock, daemon.store, daemon.address, rand.New(rand.NewPCG(sim.random.Uint64(), 3)))
	o := trainer.Options{
		RedirectAddress: func() string { return daemon.address }, Runner: &fakeEngine{sim: sim, slots: sim.slots}, Store: daemon.store, Leases: daemon.leases, MaxInFlight: sim.slots,
	}
	if sim.records != nil {
		o.BulkStore, o.DiskPool, o.MaxSampleBytes = fakeBulkStore{sim}, &daemon.disk, 4000
	}
	daemon.manager = trainer.New(sim.clock, o)
	daemon.manager.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		sim.contract.Customer: {Customer: sim.contract.Customer, Version: 1, Contract: &sim.contract},
	}})
	daemon.manager.SetLatestVersion(model, sim.version)
	return daemon
}

// fakeBulkStore is a bulk store in memory. Under fault injection some writes fail
// and some records cannot be read.
type fakeBulkStore struct{ sim *simulation }

func (b fakeBulkStore) Put(key string, v []byte) error {
	if b.sim.injectFaults && b.sim.random.IntN(10) == 0 {
		return errors.New("disk full")
	}
	b.sim.records[key] = v
	return nil
}

func (b fakeBulkStore) Delete(key string) error {
	delete(b.sim.records, key)
	return nil
}

func (b fakeBulkStore) Get(key string) ([]byte, error) {
	v, ok := b.sim.records[key]
	if !ok || (b.sim.injectFaults && b.sim.random.IntN(10) == 0) {
		return nil, fmt.Errorf("record %q is missing or corrupt", key)
	}
	return v, nil
}

func (b fakeBulkStore) Scan(prefix string, f func(string, []byte)) error {
	keys := make([]string, 0, len(b.sim.records))
	for key := range b.sim.records {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key, b.sim.records[key])
		}
	}
	return nil
}

// step runs the duties of the daemon until all are idle. Under fault injection it
// stops between any two steps, so that pauses and crashes happen there.
func (sim *simulation) step(daemon *testDaemon) {
	steps := []func() int{daemon.manager.Loop().RunPending, daemon.leases.Loop().RunPending, daemon.store.Loop().RunPending, daemon.pool.run, daemon.disk.run}
	for idle := 0; idle < len(steps); {
		if sim.injectFaults && sim.random.IntN(30) == 0 {
			return
		}
		idle++
		if steps[0]() > 0 {
			idle = 0
		}
		steps = append(steps[1:], steps[0])
	}
}

func (sim *simulation) setVersion(v core.Version) {
	sim.version = v
	for _, daemon := range sim.daemons {
		daemon.latest = v
		daemon.manager.SetLatestVersion(model, v)
	}
}

// tick runs all trainers and daemons and then advances the clock.
func (sim *simulation) tick() {
	if sim.injectFaults {
		sim.injectFault()
	}
	for _, s := range sim.trainers {
		s.sendDue()
	}
	for _, daemon := range sim.daemons {
		if !sim.clock.Now().Before(daemon.pausedUntil) {
			sim.step(daemon)
		}
	}
	for _, s := range sim.trainers {
		s.checkLedger()
	}
	sim.clock.Advance(tickDuration)
}

// injectFault injects random faults: pauses and crashes of daemons, store outages,
// late writes and new weight versions.
func (sim *simulation) injectFault() {
	random := sim.random
	chance := func(seconds float64) bool { return random.Float64() < tickDuration.Seconds()/seconds }
	if chance(4) {
		sim.daemons[random.IntN(len(sim.daemons))].pausedUntil = sim.clock.Now().Add(time.Duration(random.IntN(20)) * time.Second)
	}
	if chance(25) {
		i := random.IntN(len(sim.daemons))
		sim.addStats(sim.daemons[i])
		// Operations that the daemon has sent may still take effect.
		sim.store.delayedOps = append(sim.store.delayedOps, sim.daemons[i].pool.calls...)
		sim.daemons[i] = sim.newDaemon()
	}
	if chance(20) {
		sim.store.down = !sim.store.down
	}
	if chance(5) && len(sim.store.delayedOps) > 0 {
		i := random.IntN(len(sim.store.delayedOps))
		sim.store.delayedOps[i]()
		sim.store.delayedOps = append(sim.store.delayedOps[:i], sim.store.delayedOps[i+1:]...)
	}
	if chance(8) {
		sim.setVersion(sim.version + 1)
	}
}

func (sim *simulation) addStats(daemon *testDaemon) {
	s := daemon.manager.Stats()
	sim.totalStats.Takeovers += s.Takeovers
	sim.totalStats.UnlabelledSamples += s.UnlabelledSamples
	sim.totalStats.StaleGroups += s.StaleGroups
	sim.totalStats.StaleSamples += s.StaleSamples
	sim.totalStats.Redeliveries += s.Redeliveries
	sim.totalStats.StaleRuns += s.StaleRuns
	sim.totalStats.SpareRuns += s.SpareRuns
	sim.totalStats.RecoveredGroups += s.RecoveredGroups
	sim.totalStats.UnreadableGroups += s.UnreadableGroups
	sim.totalStats.DiskWriteFailures += s.DiskWriteFailures
}

// simTrainer is a trainer that follows the protocol of the stand-in trainer. It
// loses requests and answers, crashes back to its saved state, and has at most one
// outstanding request of each kind.
type simTrainer struct {
	sim        *simulation
	name       string
	state      *standin.State
	saved      *standin.State
	checkpoint *standin.State
	target     string
	next       int64 // next step to open
	steps      int64
	groups     int
	samples    int
	restart    bool // the next open request reports a restart from the checkpoint
	restarts   int64
	requests   [3]*pendingRequest

	epoch       int64                     // highest epoch seen in the ledger
	confirmed   map[trainer.GroupRef]bool // groups with a confirmed acknowledgement since the last restart
	deliveredAt map[[2]int64]trainer.GroupRef
}

type pendingRequest struct {
	deadline time.Time
	query    trainer.Query
}

const (
	requestTimeout = 15 * time.Second
	stepsAhead     = 2
)

func newSimTrainer(sim *simulation, name string, steps int64, groups, samples int) *simTrainer {
	s := &simTrainer{sim: sim, name: name, state: standin.NewState(), next: 1, steps: steps, groups: groups, samples: samples}
	s.saved, s.checkpoint = s.state.Clone(), s.state.Clone()
	s.confirmed, s.deliveredAt = map[trainer.GroupRef]bool{}, map[[2]int64]trainer.GroupRef{}
	sim.trainers = append(sim.trainers, s)
	return s
}

func (s *simTrainer) done() bool {
	return s.next > s.steps && !s.restart && len(s.state.Held) == int(s.steps)*s.groups && len(s.state.Unacknowledged) == 0
}

func (s *simTrainer) spec(number int64) trainer.StepSpec {
	spec := trainer.StepSpec{Customer: s.sim.contract.Customer, Step: number, Model: model, MaxTokens: 64, Restart: s.restarts}
	for i := range s.groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprintf("%s %d %d", s.name, number, i), Samples: s.samples})
	}
	if s.restart {
		spec.HeldGroups = s.state.HeldGroupIDs(number)
	}
	return spec
}

// sendDue sends the requests that are due.
func (s *simTrainer) sendDue() {
	random := s.sim.random
	if s.sim.injectFaults && random.Float64() < tickDuration.Seconds()/30 {
		s.crash()
	}
	customer := s.sim.contract.Customer
	complete := func(step int64) bool { return len(s.state.HeldGroupIDs(step)) == s.groups }
	mayOpen := s.next == 1 || s.restart || complete(s.next-1) || (random.IntN(20) == 0 && (s.next < 3 || complete(s.next-stepsAhead)))
	if s.next <= s.steps && mayOpen {
		s.send(0, trainer.Query{Open: &trainer.OpenRequest{Trainer: s.name, Spec: s.spec(s.next)}})
	}
	if s.restart {
		return
	}
	if s.next > 1 {
		s.saved = s.state.Clone()
		s.send(1, trainer.Query{Fetch: s.state.NewFetchRequest(s.name, customer)})
	}
	if len(s.state.Unacknowledged) > 0 {
		s.saved = s.state.Clone()
		s.send(2, trainer.Query{Ack: s.state.NewAckRequest(s.name, customer)})
	}
	if random.IntN(40) == 0 && s.requests[0] == nil {
		s.checkpoint = s.state.Clone()
	}
}

// crash resets the trainer to its saved state. In one of three crashes its disk
// is lost as well, and it restarts from a checkpoint that is older than its
// acknowledgements.
func (s *simTrainer) crash() {
	s.requests = [3]*pendingRequest{}
	if s.sim.random.IntN(3) > 0 {
		s.state = s.saved.Clone()
		return
	}
	s.state = s.checkpoint.Clone()
	s.restart = true
	s.restarts++
	s.next = 1
	for s.next < s.steps && len(s.state.HeldGroupIDs(s.next)) == s.groups {
		s.next++
	}
	// Later steps than the one that is opened again are not part of the checkpoint.
	for ref := range s.state.Held {
		if ref.Step > s.next {
			delete(s.state.Held, ref)
		}
	}
	s.state.Unacknowledged = nil
	s.confirmed = map[trainer.GroupRef]bool{}
	s.saved = s.state.Clone()
	s.checkpoint = s.state.Clone()
}

func (s *simTrainer) send(kind int, q trainer.Query) {
	now := s.sim.clock.Now()
	if s.requests[kind] != nil && now.Before(s.requests[kind].deadline) {
		return
	}
	if s.requests[kind] != nil {
		s.target = "" // the last daemon did not answer
	}
	request := &pendingRequest{deadline: now.Add(requestTimeout), query: q}
	s.requests[kind] = request
	lost := s.sim.injectFaults && s.sim.random.IntN(20) == 0
	answerLost := s.sim.injectFaults && s.sim.random.IntN(20) == 0
	daemon := s.targetDaemon()
	if lost {
		return
	}
	delay := time.Duration(0)
	if s.sim.injectFaults && s.sim.random.IntN(10) == 0 {
		delay = time.Duration(s.sim.random.IntN(20)) * time.Second
	}
	s.sim.clock.AfterFunc(delay, func() { s.deliver(daemon, kind, request, answerLost) })
}

func (s *simTrainer) deliver(daemon *testDaemon, kind int, request *pendingRequest, answerLost bool) {
	q := request.query
	daemon.manager.Submit(context.Background(), q, func(r trainer.Reply) {
		s.checkReply(daemon, q, r)
		if answerLost || s.requests[kind] != request {
			return
		}
		s.requests[kind] = nil
		s.handleReply(q, r)
	})
}

func (s *simTrainer) targetDaemon() *testDaemon {
	for _, daemon := range s.sim.daemons {
		if daemon.address == s.target {
			return daemon
		}
	}
	daemon := s.sim.daemons[s.sim.random.IntN(len(s.sim.daemons))]
	s.target = daemon.address
	return daemon
}

// checkReply checks every reply of a daemon, whether or not it reaches the trainer.
func (s *simTrainer) checkReply(daemon *testDaemon, q trainer.Query, r trainer.Reply) {
	now := s.sim.clock.Now()
	freshness := s.sim.contract.Freshness
	for _, d := range r.Deliveries {
		s.checkPosition(daemon, q.Fetch, d)
		for _, sample := range d.Group.Samples {
			age := now.Sub(sample.Started)
			behind := int(daemon.latest - core.OldestVersion(sample.Spans))
			if age >= time.Duration(freshness.MaxAge) || behind > freshness.MaxVersionsBehind {
				s.sim.t.Errorf("%v: %s got a sample of age %v, %d versions behind", now.Sub(simulationStart), s.name, age, behind)
			}
			if label := versionsText(sample.Spans); label != sample.Text {
				s.sim.t.Errorf("%s got a sample with label %q, made by %q", s.name, label, sample.Text)
			}
		}
		if len(d.Group.Samples) != s.samples {
			s.sim.t.Errorf("%s got group %d with %d samples, want %d", s.name, d.Group.ID, len(d.Group.Samples), s.samples)
		}
	}
}

// checkPosition guards against deliveries without a valid lease, sequence numbers at
// or below the trainer's cursor, and sequence numbers that are used for two groups.
func (s *simTrainer) checkPosition(daemon *testDaemon, f *trainer.FetchRequest, d trainer.Delivery) {
	fence, held := daemon.leases.Check("trainers/" + string(s.sim.contract.Customer) + "/" + s.name)
	if !held || fence != d.Epoch {
		s.sim.t.Errorf("%s got epoch %d, the daemon's lease has number %d, valid %v", s.name, d.Epoch, fence, held)
	}
	if d.Sequence <= f.After {
		s.sim.t.Errorf("%s got sequence %d of epoch %d after %d", s.name, d.Sequence, d.Epoch, f.After)
	}
	at := [2]int64{d.Epoch, d.Sequence}
	ref := trainer.GroupRef{Step: d.Step, Group: d.Group.ID}
	if old, ok := s.deliveredAt[at]; ok && old != ref {
		s.sim.t.Errorf("%s got %+v and %+v under one sequence %v", s.name, old, ref, at)
	}
	s.deliveredAt[at] = ref
}

func versionsText(spans []core.Span) string {
	text := ""
	for _, span := range spans {
		for range span.To - span.From {
			text += fmt.Sprintf("%d ", span.Version)
		}
	}
	return text
}

func (s *simTrainer) handleReply(q trainer.Query, r trainer.Reply) {
	if r.Redirect != "" {
		s.target = r.Redirect
		return
	}
	if r.Err != nil {
		return
	}
	switch {
	case q.Open != nil:
		s.restart = false
		s.next = q.Open.Spec.Step + 1
	case q.Ack != nil:
		s.checkConfirmed(q.Ack)
		s.state.MarkAcknowledged(q.Ack)
	}
	for _, d := range r.Deliveries {
		s.state.Accept(d)
	}
}

type ledgerObject struct {
	Epoch    int64
	LastStep int64
	Steps    []struct {
		Step  int64
		Acked trainer.Bitmap
	}
}

func (s *simTrainer) ledger() (l ledgerObject) {
	o, ok := s.sim.store.objects["rollouts/"+string(s.sim.contract.Customer)+"/"+s.name]
	if ok {
		if err := json.Unmarshal(o.Value, &l); err != nil {
			s.sim.t.Fatal(err)
		}
	}
	return l
}

// isDelivered reports whether the ledger records the group as delivered.
func (l ledgerObject) isDelivered(ref trainer.GroupRef) bool {
	for _, st := range l.Steps {
		if st.Step == ref.Step {
			return st.Acked.Contains(ref.Group)
		}
	}
	return ref.Step <= l.LastStep
}

// checkConfirmed guards against an acknowledgement that is confirmed before the
// ledger records it.
func (s *simTrainer) checkConfirmed(a *trainer.AckRequest) {
	l := s.ledger()
	for _, h := range a.Ack.Groups {
		s.confirmed[h.GroupRef] = true
		if !l.isDelivered(h.GroupRef) {
			s.sim.t.Errorf("%s: acknowledgement of %+v was confirmed, the ledger does not record it", s.name, h)
		}
	}
}

// checkLedger guards against a group that is recorded as delivered while the
// trainer has not stored it durably, and would therefore be lost.
func (s *simTrainer) checkLedger() {
	if s.restart {
		return // the ledger is ahead of the checkpoint until the step is opened again
	}
	l := s.ledger()
	if l.Epoch < s.epoch {
		s.sim.t.Errorf("the ledger of %s went back from epoch %d to %d", s.name, s.epoch, l.Epoch)
	}
	s.epoch = l.Epoch
	for ref := range s.confirmed {
		if !l.isDelivered(ref) {
			s.sim.t.Errorf("the ledger of %s lost the acknowledgement of %+v", s.name, ref)
		}
	}
	for step := int64(1); step <= min(l.LastStep, s.next-1); step++ {
		for id := range s.groups {
			ref := trainer.GroupRef{Step: step, Group: id}
			if l.isDelivered(ref) && !s.saved.Held[ref] {
				s.sim.t.Errorf("%v: the ledger of %s records %+v as delivered, the trainer has not stored it", s.sim.clock.Now().Sub(simulationStart), s.name, ref)
			}
		}
	}
}
