package trainer

import (
	"errors"
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// openStep stores the prompts of a step, then records the step in the ledger, and
// then answers.
func (m *Manager) openStep(s *stream, q pendingQuery) {
	spec := q.Query.Open.Spec
	if err := spec.check(); err != nil {
		q.Reply(Reply{Err: err})
		return
	}
	switch {
	case s.opening != nil && s.opening.step.record.Step == spec.Step && s.opening.restart == spec.Restart:
		s.opening.queries = append(s.opening.queries, q)
		m.replyOnTimeout(q)
	case s.opening != nil:
		q.Reply(unavailable("step %d is being opened", s.opening.step.record.Step))
	case spec.Restart < s.restart:
		q.Reply(Reply{Err: core.InvalidError("restart", formatInt(spec.Restart), formatInt(s.restart)+" or more", "is older than the trainer's last restart")})
	case spec.Restart == s.restart && spec.Step <= s.lastStep:
		// A repeated request: the step is open or complete.
		q.Reply(Reply{Epoch: s.epoch})
	case spec.Restart == s.restart && len(s.steps) >= maxOpenSteps:
		err := core.NotRunError(core.CodeConflict, "%d steps are open, the oldest is %d", len(s.steps), s.steps[0].record.Step)
		err.RetryAfter = retryDelay
		q.Reply(Reply{Err: err})
	default:
		m.startOpening(s, q)
	}
}

func (m *Manager) startOpening(s *stream, q pendingQuery) {
	spec := q.Query.Open.Spec
	s.openingCount++
	parts := splitPrompts(spec.Groups)
	st := newStep(ledgerStep{
		Step: spec.Step, Model: spec.Model, Adapter: spec.Adapter, MaxTokens: spec.MaxTokens,
		Groups:  len(spec.Groups),
		Opening: fmt.Sprintf("%d.%d", s.epoch, s.openingCount),
		Since:   streamPosition{s.epoch, s.sequence},
		Parts:   len(parts),
		Acked:   newBitmap(len(spec.Groups)),
	}, spec.Groups)
	for _, id := range spec.HeldGroups {
		if id >= 0 && id < len(st.groups) {
			st.record.Acked.add(id)
		}
	}
	s.opening = &opening{step: st, restart: spec.Restart, parts: parts, queries: []pendingQuery{q}}
	m.replyOnTimeout(q)
	for i, value := range parts {
		m.storePromptPart(s, s.opening, i, value)
	}
}

func (m *Manager) storePromptPart(s *stream, o *opening, i int, value []byte) {
	op := platform.Op{
		Kind: platform.OpPut, IfVersion: platform.Absent, Value: value,
		Key: s.key.promptPartKey(o.step.record.Step, o.step.record.Opening, i),
	}
	if !m.submitToStore(op, storeReply{kind: opStorePrompts, stream: s, opening: o, index: i}) {
		m.failOpening(s, unavailable("the store accepts no more operations now"))
	}
}

func (m *Manager) handlePromptPartStored(s *stream, reply storeReply) {
	if s.opening != reply.opening {
		return
	}
	if reply.result.Err != nil {
		// The next request opens the step again, under other keys.
		m.failOpening(s, unavailable("the prompts of step %d could not be stored: %v", reply.opening.step.record.Step, reply.result.Err))
		return
	}
	reply.opening.storedParts++
	reply.opening.step.partVersions[reply.index] = reply.result.Object.Version
	if reply.opening.isStored() {
		s.ledger.dirty = true
		m.flushLedger(s)
	}
}

func (m *Manager) failOpening(s *stream, r Reply) {
	if s.opening == nil {
		return
	}
	for _, q := range s.opening.queries {
		q.Reply(r)
	}
	s.opening.failed = true
	s.opening = nil
}

// finishOpening starts the step, which is now recorded in the ledger.
func (m *Manager) finishOpening(s *stream) {
	o := s.opening
	s.opening = nil
	number := o.step.record.Step
	s.lastStep = number
	restarted := o.restart > s.restart
	s.restart = o.restart
	switch {
	case s.step(number) == o.step:
	case restarted:
		m.replaceSteps(s, []*step{o.step})
	default:
		m.replaceSteps(s, append(append([]*step(nil), s.steps...), o.step))
	}
	for _, q := range o.queries {
		q.Reply(Reply{Epoch: s.epoch})
	}
	m.startSamples()
}

// replyOnTimeout answers a query that has waited for the ledger for ledgerWait.
func (m *Manager) replyOnTimeout(q pendingQuery) {
	m.loop.After(ledgerWait, func() {
		q.Reply(unavailable("the ledger was not written in time; retry the request"))
	})
}

// flushLedger writes the ledger if it has changed, at most once per
// ledgerWritePeriod.
func (m *Manager) flushLedger(s *stream) {
	l := &s.ledger
	if !l.dirty || l.writing || l.reloading || !m.isOwner(s) {
		return
	}
	if wait := l.notBefore.Sub(m.now()); wait > 0 {
		m.flushLedgerAfter(s, wait)
		return
	}
	record := s.newLedgerRecord(m.options.RedirectAddress())
	op := platform.Op{Kind: platform.OpPut, Key: s.key.ledgerKey(), Value: record.encode(), IfVersion: s.ledgerVersion}
	reply := storeReply{kind: opWriteLedger, stream: s, record: record}
	if s.opening.isStored() {
		reply.opening = s.opening
	}
	sent := m.submitToStore(op, reply)
	l.notBefore = m.now().Add(ledgerWritePeriod)
	if !sent {
		m.flushLedgerAfter(s, ledgerWritePeriod)
		return
	}
	m.counters.ledgerWrites.Inc(1)
	l.dirty = false
	l.writing = true
	l.waitersInWrite, l.waiters = l.waiters, nil
}

func (m *Manager) flushLedgerAfter(s *stream, d time.Duration) {
	if s.ledger.flushScheduled {
		return
	}
	s.ledger.flushScheduled = true
	m.loop.After(d, func() {
		s.ledger.flushScheduled = false
		m.flushLedger(s)
	})
}

func (m *Manager) handleLedgerWritten(s *stream, reply storeReply) {
	l := &s.ledger
	if !l.writing || reply.record.Epoch != s.epoch {
		return
	}
	l.writing = false
	if reply.result.Err != nil {
		m.handleLedgerWriteFailure(s, reply.result.Err)
		return
	}
	s.ledgerVersion = reply.result.Object.Version
	for _, q := range l.waitersInWrite {
		q.Reply(Reply{Epoch: s.epoch})
	}
	l.waitersInWrite = nil
	if reply.opening != nil && s.opening == reply.opening {
		m.finishOpening(s)
	}
	m.closeCompleteSteps(s, reply.record)
	m.answerAcknowledgements(s)
	m.flushLedger(s)
}

// answerAcknowledgements answers the waiting acknowledgements if the ledger is up
// to date.
func (m *Manager) answerAcknowledgements(s *stream) {
	if s.ledger.dirty || s.ledger.writing || s.ledger.reloading {
		return
	}
	for _, q := range s.ledger.waiters {
		q.Reply(Reply{Epoch: s.epoch})
	}
	s.ledger.waiters = nil
}

// handleLedgerWriteFailure schedules another write. If a write may have changed
// the object, the ledger is read first.
func (m *Manager) handleLedgerWriteFailure(s *stream, err error) {
	l := &s.ledger
	l.dirty = true
	l.waiters = append(l.waitersInWrite, l.waiters...)
	l.waitersInWrite = nil
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
		l.reloading = true
		m.loadLedger(s)
		return
	}
	m.flushLedgerAfter(s, ledgerWritePeriod)
}

// closeCompleteSteps closes the complete steps that the written ledger no longer
// contains.
func (m *Manager) closeCompleteSteps(s *stream, record ledgerRecord) {
	recorded := map[string]bool{}
	for _, ledgerEntry := range record.Steps {
		recorded[ledgerEntry.Opening] = true
	}
	var kept, closed []*step
	for _, st := range s.steps {
		if recorded[st.record.Opening] || !st.isComplete() {
			kept = append(kept, st)
			continue
		}
		closed = append(closed, st)
	}
	if len(closed) == 0 {
		return
	}
	m.replaceSteps(s, kept)
	for _, st := range closed {
		m.deletePrompts(s, st)
	}
}

// deletePrompts deletes the prompt objects of a step. It does not retry: an object
// that cannot be deleted, and the objects of a failed opening, stay until an
// operator removes them.
func (m *Manager) deletePrompts(s *stream, st *step) {
	for i, version := range st.partVersions {
		op := platform.Op{
			Kind: platform.OpDelete, IfVersion: version,
			Key: s.key.promptPartKey(st.record.Step, st.record.Opening, i),
		}
		m.submitToStore(op, storeReply{kind: opDeletePrompts, stream: s})
	}
}
