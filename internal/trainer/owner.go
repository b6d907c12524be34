package trainer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

type storeKind int

const (
	storeLoad  storeKind = iota // the ledger, to take over or after an unknown outcome
	storePart                   // a part object, during a load
	storeClaim                  // the first ledger write of an owner
	storeWrite                  // a later ledger write
	storeOpen                   // a part object of a step being opened
	storeOwner                  // the ledger, for the owner's address
	storeClean                  // delete of a part object
)

// storeDone is the result of a store operation.
type storeDone struct {
	kind    storeKind
	stream  *stream
	load    *load
	opening *opening
	index   int
	record  ledgerRecord
	sentAt  time.Time
	result  platform.Result
}

// load is one reading of the ledger and of the prompts that are not in memory.
type load struct {
	record  ledgerRecord
	version int64
	missing []*loadedStep
	waiting int // part objects on their way
	failed  bool
	disk    bool // the bulk data has been looked through
	found   []diskRecord
}

type loadedStep struct {
	record   ledgerStep
	parts    []partRecord
	versions []int64
}

// submit gives an operation to the store duty. When it reports false nothing
// was sent and no result follows.
func (t *Manager) submit(op platform.Op, d storeDone) bool {
	if t.storeOps >= maxStoreOps {
		return false
	}
	d.sentAt = t.now()
	op.Reply = func(r platform.Result) {
		d.result = r
		t.store.TryPut(d)
	}
	if !t.options.Store.Submit(op) {
		return false
	}
	t.storeOps++
	t.counters.storeCalls.Inc(1)
	return true
}

func (t *Manager) handleStore(d storeDone) {
	t.storeOps--
	s := d.stream
	switch d.kind {
	case storeLoad:
		t.afterLoad(s, d)
	case storePart:
		t.afterPart(s, d)
	case storeClaim:
		t.afterClaim(s, d)
	case storeWrite:
		t.afterWrite(s, d)
	case storeOpen:
		t.afterOpenPart(s, d)
	case storeOwner:
		t.afterOwner(s, d)
	case storeClean:
	}
}

// isOwner reports whether this daemon may act for the trainer now.
func (t *Manager) isOwner(s *stream) bool {
	return s.phase == phaseOwner && s.holding.IsValidAt(t.now())
}

// hold keeps a query until this daemon is the owner or knows who is.
func (t *Manager) hold(s *stream, a ask) {
	if len(s.pending) >= maxPending {
		a.Reply(unavailable("%d requests of trainer %q wait for its owner", maxPending, s.key.trainer))
		return
	}
	s.pending = append(s.pending, heldAsk{ask: a, until: t.now().Add(pendingWait)})
	if s.phase == phaseIdle {
		t.contend(s)
		return
	}
	t.findOwner(s)
}

func (t *Manager) contend(s *stream) {
	options := platform.LeaseOptions{Listener: func(e platform.LeaseEvent) {
		t.leases.TryPut(leaseChange{stream: s, event: e})
	}}
	if t.options.Leases.Acquire(s.key.leaseName(), options) {
		s.phase = phaseContending
	}
}

func (t *Manager) prunePending(s *stream, now time.Time) {
	kept := s.pending[:0]
	for _, p := range s.pending {
		if now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		p.ask.Reply(unavailable("the owner of trainer %q is not known yet", s.key.trainer))
	}
	clear(s.pending[len(kept):])
	s.pending = kept
	switch {
	case len(s.pending) == 0:
	case s.phase == phaseIdle:
		t.contend(s)
	default:
		t.findOwner(s)
	}
}

func (t *Manager) handleLease(c leaseChange) {
	s := c.stream
	if t.streams[s.key] != s {
		return
	}
	switch c.event.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		t.gain(s, c.event.Lease)
	case platform.LeaseLost:
		t.loseOwnership(s)
	case platform.LeaseObserved:
		t.observe(s, c.event)
	}
}

// gain takes a holding. A new fencing number starts a takeover, whichever event
// brings it, because a full ring may have refused earlier events.
func (t *Manager) gain(s *stream, h platform.Lease) {
	if h.Fence == s.holding.Fence {
		s.holding = h
		return
	}
	t.loseOwnership(s)
	s.holding = h
	s.phase = phaseLoading
	t.startLoad(s)
}

// loseOwnership stops everything towards the trainer. The work is kept: when no
// other daemon claims the ledger in between, it goes on.
func (t *Manager) loseOwnership(s *stream) {
	s.holding = platform.Lease{}
	s.phase = phaseContending
	s.load = nil
	lost := unavailable("this daemon no longer owns trainer %q", s.key.trainer)
	if s.poll != nil {
		s.poll.Reply(lost)
		s.poll = nil
	}
	for _, a := range append(s.ledger.waiters, s.ledger.inWrite...) {
		a.Reply(lost)
	}
	s.ledger = ledgerState{}
	t.failOpening(s, lost)
}

func (t *Manager) observe(s *stream, e platform.LeaseEvent) {
	if s.phase == phaseOwner || s.phase == phaseLoading {
		return
	}
	s.observed = e
	if e.Holder != "" && len(s.pending) > 0 {
		t.findOwner(s)
	}
}

// findOwner reads the ledger for the owner's address, for the queries that wait.
func (t *Manager) findOwner(s *stream) {
	if s.phase != phaseContending || s.reading || s.observed.Holder == "" {
		return
	}
	s.reading = t.submit(platform.Op{Kind: platform.OpGet, Key: s.key.ledgerKey()}, storeDone{kind: storeOwner, stream: s})
}

// afterOwner redirects the queries that wait. A ledger of another epoch than
// the lease's was written by a former owner, so its address is not used.
func (t *Manager) afterOwner(s *stream, d storeDone) {
	s.reading = false
	if d.result.Err != nil || s.phase != phaseContending {
		return
	}
	record, err := decodeLedger(d.result)
	if err != nil || record.Epoch != s.observed.Lease.Fence || record.Owner == t.options.RedirectAddress() {
		return
	}
	if record.Epoch > s.epoch {
		t.reset(s)
	}
	for _, p := range s.pending {
		p.ask.Reply(Reply{Redirect: record.Owner})
	}
	s.pending = nil
}

// startLoad reads the ledger.
func (t *Manager) startLoad(s *stream) {
	l := &load{}
	s.load = l
	if !t.submit(platform.Op{Kind: platform.OpGet, Key: s.key.ledgerKey()}, storeDone{kind: storeLoad, stream: s, load: l}) {
		t.loadAgain(s, l)
	}
}

// loadAgain starts over after a pause, unless the lease was lost meanwhile.
func (t *Manager) loadAgain(s *stream, l *load) {
	t.loop.After(retryPeriod, func() {
		if s.load == l {
			t.startLoad(s)
		}
	})
}

func (t *Manager) afterLoad(s *stream, d storeDone) {
	l := d.load
	if s.load != l {
		return
	}
	err := d.result.Err
	if err == nil {
		l.version = d.result.Object.Version
		l.record, err = decodeLedger(d.result)
	} else if errors.Is(err, platform.ErrNotFound) {
		l.version, err = platform.Absent, nil
	}
	if err != nil || l.record.Epoch > s.holding.Fence {
		// A later owner has claimed the ledger, so the lease is lost as well; the
		// lessor will say so.
		t.loadAgain(s, l)
		return
	}
	t.readParts(s, l)
}

// readParts asks for the prompts of the steps that are not in memory.
func (t *Manager) readParts(s *stream, l *load) {
	for _, record := range l.record.Steps {
		if s.known(record) != nil {
			continue
		}
		missing := &loadedStep{record: record, parts: make([]partRecord, record.Parts), versions: make([]int64, record.Parts)}
		l.missing = append(l.missing, missing)
		for i := range record.Parts {
			op := platform.Op{Kind: platform.OpGet, Key: s.key.partKey(record.Step, record.Opening, i)}
			if !t.submit(op, storeDone{kind: storePart, stream: s, load: l, index: len(l.missing)<<16 | i}) {
				l.failed = true
				continue
			}
			l.waiting++
		}
	}
	t.finishLoad(s, l)
}

// known returns the step in memory that the ledger's entry is about.
func (s *stream) known(record ledgerStep) *step {
	if st := s.step(record.Step); st != nil && st.record.Opening == record.Opening {
		return st
	}
	if o := s.opening; o != nil && o.step.record.Opening == record.Opening {
		return o.step
	}
	return nil
}

func (t *Manager) afterPart(s *stream, d storeDone) {
	l := d.load
	if s.load != l {
		return
	}
	l.waiting--
	err := d.result.Err
	if err == nil {
		target := l.missing[d.index>>16-1]
		target.versions[d.index&0xffff] = d.result.Object.Version
		err = json.Unmarshal(d.result.Object.Value, &target.parts[d.index&0xffff])
	}
	l.failed = l.failed || err != nil
	t.finishLoad(s, l)
}

// finishLoad goes on once every part has been read.
func (t *Manager) finishLoad(s *stream, l *load) {
	switch {
	case l.waiting > 0:
	case l.failed || !l.isWhole():
		t.loadAgain(s, l)
	case !l.disk && len(l.missing) > 0 && t.scanDisk(s, l):
		// The scan goes on here.
	default:
		s.load = nil
		t.adopt(s, l)
	}
}

func (l *load) isWhole() bool {
	for _, m := range l.missing {
		groups := 0
		for _, p := range m.parts {
			groups += len(p.Groups)
		}
		if groups != m.record.Groups {
			return false
		}
	}
	return true
}

// adopt merges what the ledger proves with what the trainer has proven to this
// daemon.
func (t *Manager) adopt(s *stream, l *load) {
	s.version = l.version
	s.cursor = max(s.cursor, l.record.Cursor)
	s.sequence = max(s.sequence, s.cursor)
	s.lastStep = l.record.LastStep
	s.restart = l.record.Restart
	steps := make([]*step, 0, len(l.record.Steps))
	for _, record := range l.record.Steps {
		if st := s.known(record); st != nil {
			st.merge(record.Acked)
			steps = append(steps, st)
		}
	}
	for _, m := range l.missing {
		var specs []GroupSpec
		for _, p := range m.parts {
			specs = append(specs, p.Groups...)
		}
		st := newStep(m.record, specs)
		st.versions = m.versions
		steps = append(steps, st)
	}
	t.replaceSteps(s, steps)
	t.adoptDisk(s, l)
	if o := s.opening; o != nil && s.step(o.step.record.Step) == o.step {
		t.finishOpening(s)
	}
	if s.phase == phaseOwner {
		s.ledger.reloading = false
		t.flush(s)
		return
	}
	t.claim(s)
}

func (s *step) merge(acked Bitmap) {
	for i := range s.groups {
		if acked.Contains(i) {
			s.record.Acked.add(i)
		}
	}
}

// replaceSteps makes the list the open steps and queues their work.
func (t *Manager) replaceSteps(s *stream, steps []*step) {
	kept := map[*step]bool{}
	for _, st := range steps {
		kept[st] = true
	}
	for _, st := range s.steps {
		if !kept[st] {
			t.drop(s, st)
		}
	}
	s.steps = steps
	for _, st := range steps {
		for _, g := range st.groups {
			t.settle(s, g)
		}
	}
}

// reset forgets the work for the trainer, because another daemon owns it.
func (t *Manager) reset(s *stream) {
	t.replaceSteps(s, nil)
	s.ready = nil
	s.epoch = 0
	s.sequence = 0
}

// claim writes the ledger under the new fencing number. From then on a former
// owner's conditional writes fail.
func (t *Manager) claim(s *stream) {
	record := s.record(t.options.RedirectAddress())
	op := platform.Op{Kind: platform.OpPut, Key: s.key.ledgerKey(), Value: record.encode(), IfVersion: s.version}
	l := &load{record: record}
	s.load = l
	if !t.submit(op, storeDone{kind: storeClaim, stream: s, load: l, record: record}) {
		t.loadAgain(s, l)
		return
	}
	t.counters.ledgerWrites.Inc(1)
}

func (t *Manager) afterClaim(s *stream, d storeDone) {
	if s.load != d.load {
		return
	}
	if d.result.Err != nil {
		t.loadAgain(s, d.load)
		return
	}
	s.load = nil
	s.version = d.result.Object.Version
	s.ledger.notBefore = d.sentAt.Add(ledgerPeriod)
	if s.epoch != s.holding.Fence {
		// Numbers of the former epoch are not used in this one.
		for _, g := range s.ready {
			g.sequence = 0
		}
	}
	s.epoch = s.holding.Fence
	s.phase = phaseOwner
	t.counters.takeovers.Inc(1)
	pending := s.pending
	s.pending = nil
	for _, p := range pending {
		t.serve(s, p.ask)
	}
	t.startSamples()
}

// leave gives the trainer up: it has not asked for long, or the contract no
// longer names it. The next request starts from the ledger, at any daemon.
func (t *Manager) leave(s *stream) {
	t.loseOwnership(s)
	t.reset(s)
	for _, p := range s.pending {
		p.ask.Reply(unavailable("trainer %q is given up", s.key.trainer))
	}
	t.options.Leases.Release(s.key.leaseName())
	delete(t.streams, s.key)
	for i, other := range t.order {
		if other == s {
			t.order = append(t.order[:i:i], t.order[i+1:]...)
			break
		}
	}
}
