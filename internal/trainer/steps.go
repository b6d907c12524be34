package trainer

import (
	"errors"
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// open stores the prompts of a step, then the step in the ledger, then answers.
func (t *Manager) open(s *stream, a ask) {
	spec := a.Query.Open.Spec
	if err := spec.check(); err != nil {
		a.Reply(Reply{Err: err})
		return
	}
	switch {
	case s.opening != nil && s.opening.step.record.Step == spec.Step && s.opening.restart == spec.Restart:
		s.opening.asks = append(s.opening.asks, a)
		t.expire(a)
	case s.opening != nil:
		a.Reply(unavailable("step %d is being opened", s.opening.step.record.Step))
	case spec.Restart < s.restart:
		a.Reply(Reply{Err: core.InvalidError("restart", itoa(spec.Restart), itoa(s.restart)+" or more", "is from before the trainer's last restart")})
	case spec.Restart == s.restart && spec.Step <= s.lastStep:
		// The step is open or complete: this is a repeated request.
		a.Reply(Reply{Epoch: s.epoch})
	case spec.Restart == s.restart && len(s.steps) >= maxOpenSteps:
		err := core.NotRunError(core.CodeConflict, "%d steps are open, the oldest is %d", len(s.steps), s.steps[0].record.Step)
		err.RetryAfter = retryPeriod
		a.Reply(Reply{Err: err})
	default:
		t.startOpening(s, a)
	}
}

func (t *Manager) startOpening(s *stream, a ask) {
	spec := a.Query.Open.Spec
	s.openings++
	parts := splitParts(spec.Groups)
	st := newStep(ledgerStep{
		Step: spec.Step, Model: spec.Model, Adapter: spec.Adapter, MaxTokens: spec.MaxTokens,
		Groups:  len(spec.Groups),
		Opening: fmt.Sprintf("%d.%d", s.epoch, s.openings),
		Since:   place{s.epoch, s.sequence},
		Parts:   len(parts),
		Acked:   newBitmap(len(spec.Groups)),
	}, spec.Groups)
	for _, id := range spec.HeldGroups {
		if id >= 0 && id < len(st.groups) {
			st.record.Acked.add(id)
		}
	}
	s.opening = &opening{step: st, restart: spec.Restart, parts: parts, asks: []ask{a}}
	t.expire(a)
	for i, value := range parts {
		t.storePart(s, s.opening, i, value)
	}
}

func (t *Manager) storePart(s *stream, o *opening, i int, value []byte) {
	op := platform.Op{
		Kind: platform.OpPut, IfVersion: platform.Absent, Value: value,
		Key: s.key.partKey(o.step.record.Step, o.step.record.Opening, i),
	}
	if !t.submit(op, storeDone{kind: storeOpen, stream: s, opening: o, index: i}) {
		t.failOpening(s, unavailable("the store takes no more operations"))
	}
}

func (t *Manager) afterOpenPart(s *stream, d storeDone) {
	if s.opening != d.opening {
		return
	}
	if d.result.Err != nil {
		// The next request opens the step again, under other part objects.
		t.failOpening(s, unavailable("the prompts of step %d were not stored: %v", d.opening.step.record.Step, d.result.Err))
		return
	}
	d.opening.stored++
	d.opening.step.versions[d.index] = d.result.Object.Version
	if d.opening.isStored() {
		s.ledger.dirty = true
		t.flush(s)
	}
}

func (t *Manager) failOpening(s *stream, r Reply) {
	if s.opening == nil {
		return
	}
	for _, a := range s.opening.asks {
		a.Reply(r)
	}
	s.opening.failed = true
	s.opening = nil
}

// finishOpening runs the step, which the ledger now holds.
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
	for _, a := range o.asks {
		a.Reply(Reply{Epoch: s.epoch})
	}
	t.startSamples()
}

// expire answers a query that waits for the ledger when this takes too long.
func (t *Manager) expire(a ask) {
	t.loop.After(ackWait, func() {
		a.Reply(unavailable("the ledger could not be written in time; ask again"))
	})
}

// flush writes the ledger if it has changed, at most once per ledgerPeriod.
func (t *Manager) flush(s *stream) {
	l := &s.ledger
	if !l.dirty || l.writing || l.reloading || !t.isOwner(s) {
		return
	}
	if wait := l.notBefore.Sub(t.now()); wait > 0 {
		t.flushAfter(s, wait)
		return
	}
	record := s.record(t.options.RedirectAddress())
	op := platform.Op{Kind: platform.OpPut, Key: s.key.ledgerKey(), Value: record.encode(), IfVersion: s.version}
	done := storeDone{kind: storeWrite, stream: s, record: record}
	if s.opening.isStored() {
		done.opening = s.opening
	}
	sent := t.submit(op, done)
	l.notBefore = t.now().Add(ledgerPeriod)
	if !sent {
		t.flushAfter(s, ledgerPeriod)
		return
	}
	t.counters.ledgerWrites.Inc(1)
	l.dirty = false
	l.writing = true
	l.inWrite, l.waiters = l.waiters, nil
}

func (t *Manager) flushAfter(s *stream, d time.Duration) {
	if s.ledger.timer {
		return
	}
	s.ledger.timer = true
	t.loop.After(d, func() {
		s.ledger.timer = false
		t.flush(s)
	})
}

func (t *Manager) afterWrite(s *stream, d storeDone) {
	l := &s.ledger
	if !l.writing || d.record.Epoch != s.epoch {
		return
	}
	l.writing = false
	if d.result.Err != nil {
		t.writeFailed(s, d.result.Err)
		return
	}
	s.version = d.result.Object.Version
	for _, a := range l.inWrite {
		a.Reply(Reply{Epoch: s.epoch})
	}
	l.inWrite = nil
	if d.opening != nil && s.opening == d.opening {
		t.finishOpening(s)
	}
	t.closeSteps(s, d.record)
	t.answerWaiters(s)
	t.flush(s)
}

// answerWaiters answers acknowledgements that the ledger holds already.
func (t *Manager) answerWaiters(s *stream) {
	if s.ledger.dirty || s.ledger.writing || s.ledger.reloading {
		return
	}
	for _, a := range s.ledger.waiters {
		a.Reply(Reply{Epoch: s.epoch})
	}
	s.ledger.waiters = nil
}

// writeFailed keeps what has to be written. When another write may have
// changed the object, it is read before the next one.
func (t *Manager) writeFailed(s *stream, err error) {
	l := &s.ledger
	l.dirty = true
	l.waiters = append(l.inWrite, l.waiters...)
	l.inWrite = nil
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
		l.reloading = true
		t.startLoad(s)
		return
	}
	t.flushAfter(s, ledgerPeriod)
}

// closeSteps forgets the steps that the ledger no longer lists.
func (t *Manager) closeSteps(s *stream, record ledgerRecord) {
	listed := map[string]bool{}
	for _, entry := range record.Steps {
		listed[entry.Opening] = true
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
		t.cleanUp(s, st)
	}
}

// cleanUp deletes the part objects of a step. One that cannot be deleted now
// stays until an operator removes it; so do those of an opening that failed.
func (t *Manager) cleanUp(s *stream, st *step) {
	for i, version := range st.versions {
		op := platform.Op{
			Kind: platform.OpDelete, IfVersion: version,
			Key: s.key.partKey(st.record.Step, st.record.Opening, i),
		}
		t.submit(op, storeDone{kind: storeClean, stream: s})
	}
}
