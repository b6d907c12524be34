package trainer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

type storeOpKind int

const (
	opReadLedger    storeOpKind = iota // read of the ledger, at a takeover or after an unknown outcome
	opReadPrompts                      // read of a prompt object during a ledger load
	opClaimLedger                      // first ledger write of an owner
	opWriteLedger                      // later ledger write
	opStorePrompts                     // write of a prompt object of a step being opened
	opReadOwner                        // read of the ledger for the owner's address
	opDeletePrompts                    // deletion of a prompt object
)

// storeReply is the reply to a store operation.
type storeReply struct {
	kind    storeOpKind
	stream  *stream
	load    *ledgerLoad
	opening *opening
	index   int
	record  ledgerRecord
	sentAt  time.Time
	result  platform.Result
}

// ledgerLoad is one read of the ledger and of the prompts that are not in memory.
type ledgerLoad struct {
	record       ledgerRecord
	version      int64
	missingSteps []*loadedStep
	pendingReads int // prompt objects being read
	failed       bool
	diskScanned  bool // the bulk data has been scanned, or the scan is running
	diskRecords  []diskRecord
}

type loadedStep struct {
	record   ledgerStep
	parts    []promptPart
	versions []int64
}

// submitToStore submits an operation to the store duty. If it reports false,
// nothing was sent and no reply follows.
func (m *Manager) submitToStore(op platform.Op, reply storeReply) bool {
	if m.storeOpsInFlight >= maxStoreOps {
		return false
	}
	reply.sentAt = m.now()
	op.Reply = func(r platform.Result) {
		reply.result = r
		m.storeReplies.TryPut(reply)
	}
	if !m.options.Store.Submit(op) {
		return false
	}
	m.storeOpsInFlight++
	m.counters.storeOperations.Inc(1)
	return true
}

func (m *Manager) handleStoreReply(reply storeReply) {
	m.storeOpsInFlight--
	s := reply.stream
	switch reply.kind {
	case opReadLedger:
		m.handleLedgerRead(s, reply)
	case opReadPrompts:
		m.handlePromptsRead(s, reply)
	case opClaimLedger:
		m.handleLedgerClaimed(s, reply)
	case opWriteLedger:
		m.handleLedgerWritten(s, reply)
	case opStorePrompts:
		m.handlePromptPartStored(s, reply)
	case opReadOwner:
		m.handleOwnerRead(s, reply)
	case opDeletePrompts:
	}
}

// isOwner reports whether this daemon holds a valid lease on the trainer and has
// claimed its ledger.
func (m *Manager) isOwner(s *stream) bool {
	return s.phase == phaseOwner && s.lease.IsValidAt(m.options.LeaseNow())
}

// awaitOwner keeps a query until this daemon is the owner or knows the owner's
// address.
func (m *Manager) awaitOwner(s *stream, q pendingQuery) {
	if len(s.awaitingOwner) >= maxWaitingQueries {
		q.Reply(unavailable("%d requests of trainer %q wait for its owner", maxWaitingQueries, s.key.trainer))
		return
	}
	s.awaitingOwner = append(s.awaitingOwner, waitingQuery{query: q, deadline: m.now().Add(ownerWait)})
	if s.phase == phaseIdle {
		m.requestLease(s)
		return
	}
	m.findOwner(s)
}

func (m *Manager) requestLease(s *stream) {
	options := platform.LeaseOptions{Listener: func(e platform.LeaseEvent) {
		m.leaseChanges.TryPut(leaseChange{stream: s, event: e})
	}}
	if m.options.Leases.Acquire(s.key.leaseName(), options) {
		s.phase = phaseCandidate
	}
}

func (m *Manager) expireAwaitingOwner(s *stream, now time.Time) {
	kept := s.awaitingOwner[:0]
	for _, p := range s.awaitingOwner {
		if now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		p.query.Reply(unavailable("the owner of trainer %q is not known yet", s.key.trainer))
	}
	clear(s.awaitingOwner[len(kept):])
	s.awaitingOwner = kept
	switch {
	case len(s.awaitingOwner) == 0:
	case s.phase == phaseIdle:
		m.requestLease(s)
	default:
		m.findOwner(s)
	}
}

func (m *Manager) handleLease(c leaseChange) {
	s := c.stream
	if m.streams[s.key] != s {
		return
	}
	switch c.event.Kind {
	case platform.LeaseGained, platform.LeaseRenewed:
		m.applyLease(s, c.event.Lease)
	case platform.LeaseLost:
		m.loseOwnership(s)
	case platform.LeaseObserved:
		m.handleObservedLease(s, c.event)
	}
}

// applyLease records a lease that this daemon holds. A new fencing number starts a
// takeover, also with a renewal event, because a full ring may have dropped the
// event that the lease was gained.
func (m *Manager) applyLease(s *stream, lease platform.Lease) {
	if lease.Fence == s.lease.Fence {
		s.lease = lease
		return
	}
	m.loseOwnership(s)
	s.lease = lease
	s.phase = phaseLoading
	m.loadLedger(s)
}

// loseOwnership fails all waiting queries of the trainer. Its samples are kept: they
// are used again if no other daemon claims the ledger before this one does.
func (m *Manager) loseOwnership(s *stream) {
	s.lease = platform.Lease{}
	s.phase = phaseCandidate
	s.load = nil
	lost := unavailable("this daemon no longer owns trainer %q", s.key.trainer)
	if s.longPoll != nil {
		s.longPoll.Reply(lost)
		s.longPoll = nil
	}
	for _, q := range append(s.ledger.waiters, s.ledger.waitersInWrite...) {
		q.Reply(lost)
	}
	s.ledger = ledgerState{}
	m.failOpening(s, lost)
}

func (m *Manager) handleObservedLease(s *stream, e platform.LeaseEvent) {
	if s.phase == phaseOwner || s.phase == phaseLoading {
		return
	}
	s.observedLease = e
	if e.Holder != "" && len(s.awaitingOwner) > 0 {
		m.findOwner(s)
	}
}

// findOwner reads the owner's address from the ledger, for the waiting queries.
func (m *Manager) findOwner(s *stream) {
	if s.phase != phaseCandidate || s.readingOwner || s.observedLease.Holder == "" {
		return
	}
	s.readingOwner = m.submitToStore(platform.Op{Kind: platform.OpGet, Key: s.key.ledgerKey()}, storeReply{kind: opReadOwner, stream: s})
}

// handleOwnerRead redirects the waiting queries to the owner. A ledger whose epoch
// differs from the lease's was written by a former owner, so its address is not
// used.
func (m *Manager) handleOwnerRead(s *stream, reply storeReply) {
	s.readingOwner = false
	if reply.result.Err != nil || s.phase != phaseCandidate {
		return
	}
	record, err := decodeLedger(reply.result)
	if err != nil || record.Epoch != s.observedLease.Lease.Fence || record.Owner == m.options.RedirectAddress() {
		return
	}
	if record.Epoch > s.epoch {
		m.discardWork(s)
	}
	for _, p := range s.awaitingOwner {
		p.query.Reply(Reply{Redirect: record.Owner})
	}
	s.awaitingOwner = nil
}

// loadLedger starts to read the ledger.
func (m *Manager) loadLedger(s *stream) {
	l := &ledgerLoad{}
	s.load = l
	if !m.submitToStore(platform.Op{Kind: platform.OpGet, Key: s.key.ledgerKey()}, storeReply{kind: opReadLedger, stream: s, load: l}) {
		m.retryLoad(s, l)
	}
}

// retryLoad loads the ledger again after retryDelay, unless the lease was lost or
// another load has started.
func (m *Manager) retryLoad(s *stream, l *ledgerLoad) {
	m.loop.After(retryDelay, func() {
		if s.load == l {
			m.loadLedger(s)
		}
	})
}

func (m *Manager) handleLedgerRead(s *stream, reply storeReply) {
	l := reply.load
	if s.load != l {
		return
	}
	err := reply.result.Err
	if err == nil {
		l.version = reply.result.Object.Version
		l.record, err = decodeLedger(reply.result)
	} else if errors.Is(err, platform.ErrNotFound) {
		l.version, err = platform.Absent, nil
	}
	if err != nil || l.record.Epoch > s.lease.Fence {
		// A higher epoch means that a later owner has claimed the ledger. The
		// lease is lost then, and the lease manager reports it.
		m.retryLoad(s, l)
		return
	}
	m.readMissingPrompts(s, l)
}

// readMissingPrompts reads the prompts of the steps that are not in memory.
func (m *Manager) readMissingPrompts(s *stream, l *ledgerLoad) {
	for _, record := range l.record.Steps {
		if s.knownStep(record) != nil {
			continue
		}
		missing := &loadedStep{record: record, parts: make([]promptPart, record.Parts), versions: make([]int64, record.Parts)}
		l.missingSteps = append(l.missingSteps, missing)
		for i := range record.Parts {
			op := platform.Op{Kind: platform.OpGet, Key: s.key.promptPartKey(record.Step, record.Opening, i)}
			if !m.submitToStore(op, storeReply{kind: opReadPrompts, stream: s, load: l, index: len(l.missingSteps)<<16 | i}) {
				l.failed = true
				continue
			}
			l.pendingReads++
		}
	}
	m.finishLoad(s, l)
}

// knownStep returns the step in memory that the ledger's entry describes, or nil.
func (s *stream) knownStep(record ledgerStep) *step {
	if st := s.step(record.Step); st != nil && st.record.Opening == record.Opening {
		return st
	}
	if o := s.opening; o != nil && o.step.record.Opening == record.Opening {
		return o.step
	}
	return nil
}

func (m *Manager) handlePromptsRead(s *stream, reply storeReply) {
	l := reply.load
	if s.load != l {
		return
	}
	l.pendingReads--
	err := reply.result.Err
	if err == nil {
		target := l.missingSteps[reply.index>>16-1]
		target.versions[reply.index&0xffff] = reply.result.Object.Version
		err = json.Unmarshal(reply.result.Object.Value, &target.parts[reply.index&0xffff])
	}
	l.failed = l.failed || err != nil
	m.finishLoad(s, l)
}

// finishLoad applies the load once all prompts have been read and the disk has been
// scanned.
func (m *Manager) finishLoad(s *stream, l *ledgerLoad) {
	switch {
	case l.pendingReads > 0:
	case l.failed || !l.isComplete():
		m.retryLoad(s, l)
	case !l.diskScanned && len(l.missingSteps) > 0 && m.scanGroups(s, l):
		// The reply to the scan calls finishLoad again.
	default:
		s.load = nil
		m.applyLoad(s, l)
	}
}

func (l *ledgerLoad) isComplete() bool {
	for _, m := range l.missingSteps {
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

// applyLoad merges the acknowledgements in the ledger with those that the trainer
// has sent to this daemon.
func (m *Manager) applyLoad(s *stream, l *ledgerLoad) {
	s.ledgerVersion = l.version
	s.cursor = max(s.cursor, l.record.Cursor)
	s.sequence = max(s.sequence, s.cursor)
	s.lastStep = l.record.LastStep
	s.restart = l.record.Restart
	steps := make([]*step, 0, len(l.record.Steps))
	for _, record := range l.record.Steps {
		if st := s.knownStep(record); st != nil {
			st.mergeAcked(record.Acked)
			steps = append(steps, st)
		}
	}
	for _, missing := range l.missingSteps {
		var specs []GroupSpec
		for _, p := range missing.parts {
			specs = append(specs, p.Groups...)
		}
		st := newStep(missing.record, specs)
		st.partVersions = missing.versions
		steps = append(steps, st)
	}
	m.replaceSteps(s, steps)
	m.recoverGroups(s, l)
	if o := s.opening; o != nil && s.step(o.step.record.Step) == o.step {
		m.finishOpening(s)
	}
	if s.phase == phaseOwner {
		s.ledger.reloading = false
		m.flushLedger(s)
		return
	}
	m.claimLedger(s)
}

func (s *step) mergeAcked(acked Bitmap) {
	for i := range s.groups {
		if acked.Contains(i) {
			s.record.Acked.add(i)
		}
	}
}

// replaceSteps replaces the open steps, closes those that are not in the list and
// queues the samples of the others.
func (m *Manager) replaceSteps(s *stream, steps []*step) {
	kept := map[*step]bool{}
	for _, st := range steps {
		kept[st] = true
	}
	for _, st := range s.steps {
		if !kept[st] {
			m.closeStep(s, st)
		}
	}
	s.steps = steps
	for _, st := range steps {
		for _, g := range st.groups {
			m.reconcileGroup(s, g)
		}
	}
}

// discardWork discards the steps of the trainer, because another daemon owns it or
// it is removed.
func (m *Manager) discardWork(s *stream) {
	m.replaceSteps(s, nil)
	s.ready = nil
	s.epoch = 0
	s.sequence = 0
}

// claimLedger writes the ledger with the new fencing number. From then on the
// conditional writes of a former owner fail.
func (m *Manager) claimLedger(s *stream) {
	record := s.newLedgerRecord(m.options.RedirectAddress())
	op := platform.Op{Kind: platform.OpPut, Key: s.key.ledgerKey(), Value: record.encode(), IfVersion: s.ledgerVersion}
	l := &ledgerLoad{record: record}
	s.load = l
	if !m.submitToStore(op, storeReply{kind: opClaimLedger, stream: s, load: l, record: record}) {
		m.retryLoad(s, l)
		return
	}
	m.counters.ledgerWrites.Inc(1)
}

func (m *Manager) handleLedgerClaimed(s *stream, reply storeReply) {
	if s.load != reply.load {
		return
	}
	if reply.result.Err != nil {
		m.retryLoad(s, reply.load)
		return
	}
	s.load = nil
	s.ledgerVersion = reply.result.Object.Version
	s.ledger.notBefore = reply.sentAt.Add(ledgerWritePeriod)
	if s.epoch != s.lease.Fence {
		// Sequence numbers of the former epoch are not valid in this one.
		for _, g := range s.ready {
			g.sequence = 0
		}
	}
	s.epoch = s.lease.Fence
	s.phase = phaseOwner
	m.counters.takeovers.Inc(1)
	pending := s.awaitingOwner
	s.awaitingOwner = nil
	for _, p := range pending {
		m.serveQuery(s, p.query)
	}
	m.startSamples()
}

// removeTrainer releases a trainer that sends no requests any more or that the
// contract no longer names. Its next request is served from the ledger, at any
// daemon.
func (m *Manager) removeTrainer(s *stream) {
	m.loseOwnership(s)
	m.discardWork(s)
	for _, p := range s.awaitingOwner {
		p.query.Reply(unavailable("trainer %q was released: it sent no request for too long, or the contract no longer names it", s.key.trainer))
	}
	m.options.Leases.Release(s.key.leaseName())
	delete(m.streams, s.key)
	for i, other := range m.roundRobin {
		if other == s {
			m.roundRobin = append(m.roundRobin[:i:i], m.roundRobin[i+1:]...)
			break
		}
	}
}
