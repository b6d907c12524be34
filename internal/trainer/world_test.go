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
	model   = "wear"
	tickLen = 200 * time.Millisecond
)

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// api is the platform's object API in memory, with outages, lost answers and
// writes that take effect late.
type api struct {
	random   *rand.Rand
	objects  map[string]platform.Object
	revision int64
	faults   float64 // chance of a fault per call
	down     bool
	late     []func()
	writes   int
}

func (a *api) fault() error {
	switch {
	case a.down:
		return platform.ErrUnavailable
	case a.random.Float64() >= a.faults:
		return nil
	case a.random.IntN(2) == 0:
		return platform.ErrUnavailable
	}
	return platform.ErrUnknownOutcome
}

func (a *api) Get(_ context.Context, key string) (platform.Object, error) {
	if err := a.fault(); err != nil {
		return platform.Object{}, err
	}
	if o, ok := a.objects[key]; ok && !o.Deleted {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (a *api) List(_ context.Context, prefix string) (platform.Listing, error) {
	l := platform.Listing{Revision: a.revision}
	if err := a.fault(); err != nil {
		return l, err
	}
	for key, o := range a.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

func (a *api) Put(_ context.Context, w platform.Write) (platform.Object, error) {
	return a.change(w, false)
}

func (a *api) Delete(_ context.Context, w platform.Write) (platform.Object, error) {
	return a.change(w, true)
}

func (a *api) change(w platform.Write, deleted bool) (platform.Object, error) {
	a.writes++
	err := a.fault()
	if err == nil {
		return a.apply(w, deleted)
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		switch a.random.IntN(3) {
		case 0:
			_, _ = a.apply(w, deleted)
		case 1:
			a.late = append(a.late, func() { _, _ = a.apply(w, deleted) })
		}
	}
	return platform.Object{}, err
}

func (a *api) apply(w platform.Write, deleted bool) (platform.Object, error) {
	o := a.objects[w.Key]
	live := o.Version
	if o.Deleted {
		live = platform.Absent
	}
	if w.IfVersion != platform.AnyVersion && w.IfVersion != live {
		return platform.Object{}, platform.ErrConflict
	}
	a.revision++
	next := platform.Object{Key: w.Key, Version: o.Version + 1, Revision: a.revision, Token: w.Token, Value: w.Value, Deleted: deleted}
	a.objects[w.Key] = next
	return next, nil
}

func (a *api) Watch(context.Context, string, int64) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

// calls is a pool whose calls the world makes when it wants.
type calls struct{ list []func() }

func (c *calls) TryGo(f func()) bool {
	c.list = append(c.list, f)
	return true
}

func (c *calls) run() int {
	list := c.list
	c.list = nil
	for _, f := range list {
		f()
	}
	return len(list)
}

// engine runs samples in virtual time. The text of a sample names the version
// that made each token, so that labels can be checked.
type engine struct {
	w       *world
	slots   int
	running int
}

func (e *engine) Start(j trainer.SampleRun) (func(), bool) {
	if e.running >= e.slots {
		return nil, false
	}
	e.running++
	r := e.w.random
	over := false
	end := func(o trainer.SampleOutcome) {
		if !over {
			over = true
			e.running--
			j.OnDone(o)
		}
	}
	first := e.w.version
	if r.IntN(4) == 0 {
		first = max(1, first-1) // a server that lags behind
	}
	took := time.Duration(200+r.IntN(3000)) * time.Millisecond
	if r.IntN(20) == 0 {
		took *= 8
	}
	faulty := r.Float64() < e.w.engineFaults
	unlabelled := r.IntN(2) == 0
	e.w.clock.AfterFunc(took/4, func() {
		if !over {
			j.OnVersion(first)
		}
	})
	e.w.clock.AfterFunc(took, func() {
		o := trainer.SampleOutcome{Tokens: []int32{1, 2, 3, 4}}
		versions := []core.Version{first, first, e.w.version, e.w.version}
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
		e.w.clock.AfterFunc(0, func() {
			end(trainer.SampleOutcome{Err: core.MayHaveRunError(core.CodeCancelled, "cancelled")})
		})
	}, true
}

// node is one daemon.
type node struct {
	address string
	pool    calls
	disk    calls
	store   *platform.Store
	lessor  *platform.LeaseManager
	trainer *trainer.Manager
	paused  time.Time // until
	latest  core.Version
}

// world runs daemons, the store and trainers on one clock and one goroutine.
type world struct {
	t            testing.TB
	random       *rand.Rand
	clock        *duty.ManualClock
	api          *api
	nodes        []*node
	trainers     []*sim
	contract     core.Contract
	version      core.Version
	engineFaults float64
	chaos        bool
	limit        int
	bulk         map[string][]byte
	started      int
	total        trainer.Stats
}

func newWorld(t testing.TB, seed uint64, nodes int, contract core.Contract) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		t: t, random: random, clock: duty.NewManualClock(worldStart), version: 1, contract: contract, limit: 24,
		api: &api{random: random, objects: map[string]platform.Object{}},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

func (w *world) newNode() *node {
	w.started++
	n := &node{address: fmt.Sprintf("10.0.0.%d:7300", w.started), latest: w.version}
	n.store = platform.NewStoreWithOptions(w.clock, w.api, &n.pool, platform.StoreOptions{
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
		// Operations outlive a pause, so that a former owner's write comes late.
		OpTimeout: time.Minute,
		Budget:    platform.NewBudget(platform.BudgetOptions{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}),
	})
	n.lessor = platform.NewLeaseManager(w.clock, n.store, n.address, rand.New(rand.NewPCG(w.random.Uint64(), 3)))
	o := trainer.Options{
		RedirectAddress: func() string { return n.address }, Runner: &engine{w: w, slots: w.limit}, Store: n.store, Leases: n.lessor, MaxInFlight: w.limit,
	}
	if w.bulk != nil {
		o.BulkStore, o.DiskPool, o.MaxSampleBytes = bulk{w}, &n.disk, 4000
	}
	n.trainer = trainer.New(w.clock, o)
	n.trainer.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		w.contract.Customer: {Customer: w.contract.Customer, Version: 1, Contract: &w.contract},
	}})
	n.trainer.SetLatestVersion(model, w.version)
	return n
}

// bulk is bulk data in memory whose disk is full now and then, and which loses
// records.
type bulk struct{ w *world }

func (b bulk) Put(key string, v []byte) error {
	if b.w.chaos && b.w.random.IntN(10) == 0 {
		return errors.New("disk full")
	}
	b.w.bulk[key] = v
	return nil
}

func (b bulk) Delete(key string) error {
	delete(b.w.bulk, key)
	return nil
}

func (b bulk) Get(key string) ([]byte, error) {
	v, ok := b.w.bulk[key]
	if !ok || (b.w.chaos && b.w.random.IntN(10) == 0) {
		return nil, fmt.Errorf("record %q is missing or corrupt", key)
	}
	return v, nil
}

func (b bulk) Scan(prefix string, f func(string, []byte)) error {
	keys := make([]string, 0, len(b.w.bulk))
	for key := range b.w.bulk {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key, b.w.bulk[key])
		}
	}
	return nil
}

// step lets the daemon do what it can. In chaos it stops between any two steps,
// so that a pause or a death finds it there.
func (w *world) step(n *node) {
	steps := []func() int{n.trainer.Loop().RunPending, n.lessor.Loop().RunPending, n.store.Loop().RunPending, n.pool.run, n.disk.run}
	for idle := 0; idle < len(steps); {
		if w.chaos && w.random.IntN(30) == 0 {
			return
		}
		idle++
		if steps[0]() > 0 {
			idle = 0
		}
		steps = append(steps[1:], steps[0])
	}
}

func (w *world) setVersion(v core.Version) {
	w.version = v
	for _, n := range w.nodes {
		n.latest = v
		n.trainer.SetLatestVersion(model, v)
	}
}

// tick lets everything happen that can, then moves the clock.
func (w *world) tick() {
	if w.chaos {
		w.disturb()
	}
	for _, s := range w.trainers {
		s.act()
	}
	for _, n := range w.nodes {
		if !w.clock.Now().Before(n.paused) {
			w.step(n)
		}
	}
	for _, s := range w.trainers {
		s.check()
	}
	w.clock.Advance(tickLen)
}

// disturb makes failures, each every few seconds on average.
func (w *world) disturb() {
	r := w.random
	chance := func(seconds float64) bool { return r.Float64() < tickLen.Seconds()/seconds }
	if chance(4) {
		w.nodes[r.IntN(len(w.nodes))].paused = w.clock.Now().Add(time.Duration(r.IntN(20)) * time.Second)
	}
	if chance(25) {
		i := r.IntN(len(w.nodes))
		w.count(w.nodes[i])
		// What the daemon has sent may still take effect.
		w.api.late = append(w.api.late, w.nodes[i].pool.list...)
		w.nodes[i] = w.newNode()
	}
	if chance(20) {
		w.api.down = !w.api.down
	}
	if chance(5) && len(w.api.late) > 0 {
		i := r.IntN(len(w.api.late))
		w.api.late[i]()
		w.api.late = append(w.api.late[:i], w.api.late[i+1:]...)
	}
	if chance(8) {
		w.setVersion(w.version + 1)
	}
}

func (w *world) count(n *node) {
	s := n.trainer.Stats()
	w.total.Takeovers += s.Takeovers
	w.total.UnlabelledSamples += s.UnlabelledSamples
	w.total.StaleGroups += s.StaleGroups
	w.total.StaleSamples += s.StaleSamples
	w.total.Redeliveries += s.Redeliveries
	w.total.StaleRuns += s.StaleRuns
	w.total.SpareRuns += s.SpareRuns
	w.total.RecoveredGroups += s.RecoveredGroups
	w.total.UnreadableGroups += s.UnreadableGroups
	w.total.DiskWriteFailures += s.DiskWriteFailures
}

// sim is a trainer that keeps the stand-in's rules. It loses requests and
// answers, goes back to what it saved, and keeps one request of each kind.
type sim struct {
	w          *world
	name       string
	state      *standin.State
	saved      *standin.State
	checkpoint *standin.State
	target     string
	next       int64 // step to open
	steps      int64
	groups     int
	samples    int
	restart    bool // the next open goes back to the checkpoint
	restarts   int64
	requests   [3]*request

	epoch     int64                     // highest in the ledger
	confirmed map[trainer.GroupRef]bool // acknowledgements answered since the last restart
	places    map[[2]int64]trainer.GroupRef
}

type request struct {
	until time.Time
	query trainer.Query
}

const (
	requestTimeout = 15 * time.Second
	stepsAhead     = 2
)

func newSim(w *world, name string, steps int64, groups, samples int) *sim {
	s := &sim{w: w, name: name, state: standin.NewState(), next: 1, steps: steps, groups: groups, samples: samples}
	s.saved, s.checkpoint = s.state.Clone(), s.state.Clone()
	s.confirmed, s.places = map[trainer.GroupRef]bool{}, map[[2]int64]trainer.GroupRef{}
	w.trainers = append(w.trainers, s)
	return s
}

func (s *sim) done() bool {
	return s.next > s.steps && !s.restart && len(s.state.Held) == int(s.steps)*s.groups && len(s.state.Unconfirmed) == 0
}

func (s *sim) spec(number int64) trainer.StepSpec {
	spec := trainer.StepSpec{Customer: s.w.contract.Customer, Step: number, Model: model, MaxTokens: 64, Restart: s.restarts}
	for i := range s.groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprintf("%s %d %d", s.name, number, i), Samples: s.samples})
	}
	if s.restart {
		spec.HeldGroups = s.state.HeldIn(number)
	}
	return spec
}

// act sends what is due.
func (s *sim) act() {
	r := s.w.random
	if s.w.chaos && r.Float64() < tickLen.Seconds()/30 {
		s.crash()
	}
	customer := s.w.contract.Customer
	complete := func(step int64) bool { return len(s.state.HeldIn(step)) == s.groups }
	mayOpen := s.next == 1 || s.restart || complete(s.next-1) || (r.IntN(20) == 0 && (s.next < 3 || complete(s.next-stepsAhead)))
	if s.next <= s.steps && mayOpen {
		s.send(0, trainer.Query{Open: &trainer.OpenRequest{Trainer: s.name, Spec: s.spec(s.next)}})
	}
	if s.restart {
		return
	}
	if s.next > 1 {
		s.saved = s.state.Clone()
		s.send(1, trainer.Query{Fetch: s.state.Fetch(s.name, customer)})
	}
	if len(s.state.Unconfirmed) > 0 {
		s.saved = s.state.Clone()
		s.send(2, trainer.Query{Ack: s.state.Ack(s.name, customer)})
	}
	if r.IntN(40) == 0 && s.requests[0] == nil {
		s.checkpoint = s.state.Clone()
	}
}

// crash loses what is not saved; now and then the disk is lost as well and the
// trainer goes back to a checkpoint that is older than its acknowledgements.
func (s *sim) crash() {
	s.requests = [3]*request{}
	if s.w.random.IntN(3) > 0 {
		s.state = s.saved.Clone()
		return
	}
	s.state = s.checkpoint.Clone()
	s.restart = true
	s.restarts++
	s.next = 1
	for s.next < s.steps && len(s.state.HeldIn(s.next)) == s.groups {
		s.next++
	}
	// Steps after the one that is opened again are not in the checkpoint's past.
	for ref := range s.state.Held {
		if ref.Step > s.next {
			delete(s.state.Held, ref)
		}
	}
	s.state.Unconfirmed = nil
	s.confirmed = map[trainer.GroupRef]bool{}
	s.saved = s.state.Clone()
	s.checkpoint = s.state.Clone()
}

func (s *sim) send(kind int, q trainer.Query) {
	now := s.w.clock.Now()
	if s.requests[kind] != nil && now.Before(s.requests[kind].until) {
		return
	}
	if s.requests[kind] != nil {
		s.target = "" // the last target did not answer
	}
	mine := &request{until: now.Add(requestTimeout), query: q}
	s.requests[kind] = mine
	lost := s.w.chaos && s.w.random.IntN(20) == 0
	answerLost := s.w.chaos && s.w.random.IntN(20) == 0
	n := s.node()
	if lost {
		return
	}
	delay := time.Duration(0)
	if s.w.chaos && s.w.random.IntN(10) == 0 {
		delay = time.Duration(s.w.random.IntN(20)) * time.Second
	}
	s.w.clock.AfterFunc(delay, func() { s.post(n, kind, mine, answerLost) })
}

func (s *sim) post(n *node, kind int, mine *request, answerLost bool) {
	q := mine.query
	n.trainer.Submit(context.Background(), q, func(r trainer.Reply) {
		s.inspect(n, q, r)
		if answerLost || s.requests[kind] != mine {
			return
		}
		s.requests[kind] = nil
		s.answer(q, r)
	})
}

func (s *sim) node() *node {
	for _, n := range s.w.nodes {
		if n.address == s.target {
			return n
		}
	}
	n := s.w.nodes[s.w.random.IntN(len(s.w.nodes))]
	s.target = n.address
	return n
}

// inspect checks what leaves a daemon, whether or not it reaches the trainer.
func (s *sim) inspect(n *node, q trainer.Query, r trainer.Reply) {
	now := s.w.clock.Now()
	bound := s.w.contract.Freshness
	for _, d := range r.Deliveries {
		s.inspectPlace(n, q.Fetch, d)
		for _, sample := range d.Group.Samples {
			age := now.Sub(sample.Started)
			behind := int(n.latest - core.OldestVersion(sample.Spans))
			if age >= time.Duration(bound.MaxAge) || behind > bound.MaxVersionsBehind {
				s.w.t.Errorf("%v: %s got a sample of age %v, %d versions behind", now.Sub(worldStart), s.name, age, behind)
			}
			if label := labelOf(sample.Spans); label != sample.Text {
				s.w.t.Errorf("%s got a sample with label %q, made by %q", s.name, label, sample.Text)
			}
		}
		if len(d.Group.Samples) != s.samples {
			s.w.t.Errorf("%s got group %d with %d samples, want %d", s.name, d.Group.ID, len(d.Group.Samples), s.samples)
		}
	}
}

// inspectPlace guards against deliveries without a valid lease, numbers at or
// below the trainer's cursor, and numbers that name two groups.
func (s *sim) inspectPlace(n *node, f *trainer.FetchRequest, d trainer.Delivery) {
	fence, held := n.lessor.Check("trainers/" + string(s.w.contract.Customer) + "/" + s.name)
	if !held || fence != d.Epoch {
		s.w.t.Errorf("%s got epoch %d, the daemon's lease has number %d, valid %v", s.name, d.Epoch, fence, held)
	}
	if d.Sequence <= f.After {
		s.w.t.Errorf("%s got sequence %d of epoch %d after %d", s.name, d.Sequence, d.Epoch, f.After)
	}
	at := [2]int64{d.Epoch, d.Sequence}
	ref := trainer.GroupRef{Step: d.Step, Group: d.Group.ID}
	if old, ok := s.places[at]; ok && old != ref {
		s.w.t.Errorf("%s got %+v and %+v under one sequence %v", s.name, old, ref, at)
	}
	s.places[at] = ref
}

func labelOf(spans []core.Span) string {
	text := ""
	for _, span := range spans {
		for range span.To - span.From {
			text += fmt.Sprintf("%d ", span.Version)
		}
	}
	return text
}

func (s *sim) answer(q trainer.Query, r trainer.Reply) {
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
		s.checkAnswered(q.Ack)
		s.state.Confirm(q.Ack)
	}
	for _, d := range r.Deliveries {
		s.state.Take(d)
	}
}

type ledger struct {
	Epoch    int64
	LastStep int64
	Steps    []struct {
		Step  int64
		Acked trainer.Bitmap
	}
}

func (s *sim) ledger() (l ledger) {
	o, ok := s.w.api.objects["rollouts/"+string(s.w.contract.Customer)+"/"+s.name]
	if ok {
		if err := json.Unmarshal(o.Value, &l); err != nil {
			s.w.t.Fatal(err)
		}
	}
	return l
}

// holds reports whether the ledger says that the group was delivered.
func (l ledger) holds(ref trainer.GroupRef) bool {
	for _, st := range l.Steps {
		if st.Step == ref.Step {
			return st.Acked.Contains(ref.Group)
		}
	}
	return ref.Step <= l.LastStep
}

// checkAnswered guards against an acknowledgement that is answered before the
// ledger holds it.
func (s *sim) checkAnswered(a *trainer.AckRequest) {
	l := s.ledger()
	for _, h := range a.Ack.Groups {
		s.confirmed[h.GroupRef] = true
		if !l.holds(h.GroupRef) {
			s.w.t.Errorf("%s: acknowledgement of %+v was answered, the ledger does not hold it", s.name, h)
		}
	}
}

// check guards against a group that counts as delivered while the trainer does
// not hold it durably: it would be lost.
func (s *sim) check() {
	if s.restart {
		return // the ledger is ahead of the checkpoint until the step is opened again
	}
	l := s.ledger()
	if l.Epoch < s.epoch {
		s.w.t.Errorf("the ledger of %s went back from epoch %d to %d", s.name, s.epoch, l.Epoch)
	}
	s.epoch = l.Epoch
	for ref := range s.confirmed {
		if !l.holds(ref) {
			s.w.t.Errorf("the ledger of %s lost the acknowledgement of %+v", s.name, ref)
		}
	}
	for step := int64(1); step <= min(l.LastStep, s.next-1); step++ {
		for id := range s.groups {
			ref := trainer.GroupRef{Step: step, Group: id}
			if l.holds(ref) && !s.saved.Held[ref] {
				s.w.t.Errorf("%v: the ledger of %s says that %+v was delivered, the trainer does not hold it", s.w.clock.Now().Sub(worldStart), s.name, ref)
			}
		}
	}
}
