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
func (t *Manager) openStep(s *stream, a pendingQuery) {
	spec := a.Query.Open.Spec
	if err := spec.check(); err != nil {
		a.Reply(Reply{Err: err})
		return
	}
	switch {
	case s.opening != nil && s.opening.step.record.Step == spec.Step && s.opening.restart == spec.Restart:
		s.opening.queries = append(s.opening.queries, a)
		t.replyOnTimeout(a)
	case s.opening != nil:
		a.Reply(unavailable("step %d is being opened", s.opening.step.record.Step))
	case spec.Restart < s.restart:
		a.Reply(Reply{Err: core.InvalidError("restart", formatInt(spec.Restart), formatInt(s.restart)+" or more", "is older than the trainer's last restart")})
	case spec.Restart == s.restart && spec.Step <= s.lastStep:
		// A repeated request: the step is open or complete.
		a.Reply(Reply{Epoch: s.epoch})
	case spec.Restart == s.restart && len(s.steps) >= maxOpenSteps:
		err := core.NotRunError(core.CodeConflict, "%d steps are open, the oldest is %d", len(s.steps), s.steps[0].record.Step)
		err.RetryAfter = retryDelay
		a.Reply(Reply{Err: err})
	default:
		t.startOpening(s, a)
	}
}

func (t *Manager) startOpening(s *stream, a pendingQuery) {
	spec := a.Query.Open.Spec
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
	s.opening = &opening{step: st, restart: spec.Restart, parts: parts, queries: []pendingQuery{a}}
	t.replyOnTimeout(a)
	for i, value := range parts {
		t.storePromptPart(s, s.opening, i, value)
	}
}

func (t *Manager) storePromptPart(s *stream, o *opening, i int, value []byte) {
	op := platform.Op{
		Kind: platform.OpPut, IfVersion: platform.Absent, Value: value,
		Key: s.key.promptPartKey(o.step.record.Step, o.step.record.Opening, i),
	}
	if !t.submitToStore(op, storeReply{kind: opStorePrompts, stream: s, opening: o, index: i}) {
		t.failOpening(s, unavailable("too many store operations are in flight"))
	}
}

func (t *Manager) handlePromptPartStored(s *stream, d storeReply) {
	if s.opening != d.opening {
		return
	}
	if d.result.Err != nil {
		// The next request opens the step again, under other keys.
		t.failOpening(s, unavailable("the prompts of step %d could not be stored: %v", d.opening.step.record.Step, d.result.Err))
		return
	}
	d.opening.storedParts++
	d.opening.step.partVersions[d.index] = d.result.Object.Version
	if d.opening.isStored() {
		s.ledger.dirty = true
		t.flushLedger(s)
	}
}

func (t *Manager) failOpening(s *stream, r Reply) {
	if s.opening == nil {
		return
	}
	for _, a := range s.opening.queries {
		a.Reply(r)
	}
	s.opening.failed = true
	s.opening = nil
}

// finishOpening starts the step, which is now recorded in the ledger.
func (t *Manager) finishOpening(s *stream) {
	o := s.opening
	s.opening = nil
	number := o.step.record.Step
	s.lastStep = number
	restarted := o.restart > s.restart
	s.restart = o.restart
	switch {
	case s.step(number) == o.step:
	case restarted:
		t.replaceSteps(s, []*step{o.step})
	default:
		t.replaceSteps(s, append(append([]*step(nil), s.steps...), o.step))
	}
	for _, a := range o.queries {
		a.Reply(Reply{Epoch: s.epoch})
	}
	t.startSamples()
}

// replyOnTimeout answers a query that has waited for the ledger for ledgerWait.
func (t *Manager) replyOnTimeout(a pendingQuery) {
	t.loop.After(ledgerWait, func() {
		a.Reply(unavailable("the ledger was not written in time; retry the request"))
	})
}

// flushLedger writes the ledger if it has changed, at most once per
// ledgerWritePeriod.
func (t *Manager) flushLedger(s *stream) {
	l := &s.ledger
	if !l.dirty || l.writing || l.reloading || !t.isOwner(s) {
		return
	}
	if wait := l.notBefore.Sub(t.now()); wait > 0 {
		t.flushLedgerAfter(s, wait)
		return
	}
	record := s.newLedgerRecord(t.options.RedirectAddress())
	op := platform.Op{Kind: platform.OpPut, Key: s.key.ledgerKey(), Value: record.encode(), IfVersion: s.ledgerVersion}
	done := storeReply{kind: opWriteLedger, stream: s, record: record}
	if s.opening.isStored() {
		done.opening = s.opening
	}
	sent := t.submitToStore(op, done)
	l.notBefore = t.now().Add(ledgerWritePeriod)
	if !sent {
		t.flushLedgerAfter(s, ledgerWritePeriod)
		return
	}
	t.counters.ledgerWrites.Inc(1)
	l.dirty = false
	l.writing = true
	l.waitersInWrite, l.waiters = l.waiters, nil
}

func (t *Manager) flushLedgerAfter(s *stream, d time.Duration) {
	if s.ledger.flushScheduled {
		return
	}
	s.ledger.flushScheduled = true
	t.loop.After(d, func() {
		s.ledger.flushScheduled = false
		t.flushLedger(s)
	})
}

func (t *Manager) handleLedgerWritten(s *stream, d storeReply) {
	l := &s.ledger
	if !l.writing || d.record.Epoch != s.epoch {
		return
	}
	l.writing = false
	if d.result.Err != nil {
		t.handleLedgerWriteFailure(s, d.result.Err)
		return
	}
	s.ledgerVersion = d.result.Object.Version
	for _, a := range l.waitersInWrite {
		a.Reply(Reply{Epoch: s.epoch})
	}
	l.waitersInWrite = nil
	if d.opening != nil && s.opening == d.opening {
		t.finishOpening(s)
	}
	t.closeCompleteSteps(s, d.record)
	t.answerAcknowledgements(s)
	t.flushLedger(s)
}

// answerAcknowledgements answers the waiting acknowledgements if the ledger is up
// to date.
func (t *Manager) answerAcknowledgements(s *stream) {
	if s.ledger.dirty || s.ledger.writing || s.ledger.reloading {
		return
	}
	for _, a := range s.ledger.waiters {
		a.Reply(Reply{Epoch: s.epoch})
	}
	s.ledger.waiters = nil
}

// handleLedgerWriteFailure schedules another write. If a write may have changed
// the object, the ledger is read first.
func (t *Manager) handleLedgerWriteFailure(s *stream, err error) {
	l := &s.ledger
	l.dirty = true
	l.waiters = append(l.waitersInWrite, l.waiters...)
	l.waitersInWrite = nil
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
		l.reloading = true
		t.loadLedger(s)
		return
	}
	t.flushLedgerAfter(s, ledgerWritePeriod)
}

// closeCompleteSteps closes the complete steps that the written ledger no longer
// contains.
func (t *Manager) closeCompleteSteps(s *stream, record ledgerRecord) {
	listed := map[string]bool{}
	for _, ledgerEntry := range record.Steps {
		listed[ledgerEntry.Opening] = true
	}
	var kept, closed []*step
	for _, st := range s.steps {
		if listed[st.record.Opening] || !st.isComplete() {
			kept = append(kept, st)
			continue
		}
		closed = append(closed, st)
	}
	if len(closed) == 0 {
		return
	}
	t.replaceSteps(s, kept)
	for _, st := range closed {
		t.deletePrompts(s, st)
	}
}

// deletePrompts deletes the prompt objects of a step. It does not retry: an object
// that cannot be deleted, and the objects of a failed opening, stay until an
// operator removes them.
func (t *Manager) deletePrompts(s *stream, st *step) {
	for i, version := range st.partVersions {
		op := platform.Op{
			Kind: platform.OpDelete, IfVersion: version,
			Key: s.key.promptPartKey(st.record.Step, st.record.Opening, i),
		}
		t.submitToStore(op, storeReply{kind: opDeletePrompts, stream: s})
	}
}
