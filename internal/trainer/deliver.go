package trainer

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// prove takes note of groups that the trainer holds. This is the only way in
// which a group counts as delivered.
func (t *Manager) prove(s *stream, held []HeldGroup) {
	for _, h := range held {
		g := s.find(h)
		if g == nil || g.acked() {
			continue
		}
		g.step.record.Acked.add(g.id)
		s.cursor = max(s.cursor, min(h.Sequence, maxSequence))
		s.ledger.dirty = true
		t.counters.acknowledged.Inc(1)
		t.settle(s, g)
	}
}

// acknowledge answers once the ledger holds what the trainer holds.
func (t *Manager) acknowledge(s *stream, a ask) {
	t.prove(s, a.Query.Ack.Ack.Groups)
	if len(s.ledger.waiters) >= maxPending {
		a.Reply(unavailable("%d acknowledgements wait for the ledger", maxPending))
		return
	}
	s.ledger.waiters = append(s.ledger.waiters, a)
	t.expire(a)
	t.flush(s)
	t.answerWaiters(s)
	t.startSamples()
}

// fetch answers with deliveries, or keeps the newest fetch until there are some.
func (t *Manager) fetch(s *stream, a ask) {
	f := a.Query.Fetch
	if f.After < 0 || f.After > maxSequence {
		a.Reply(Reply{Err: core.InvalidError("after", itoa(f.After), "0 to 2^53", "is not a sequence number")})
		return
	}
	t.prove(s, f.HeldGroups)
	t.flush(s)
	s.sequence = max(s.sequence, f.After)
	if s.poll != nil {
		s.poll.Reply(Reply{Epoch: s.epoch})
	}
	s.poll = &a
	t.loop.After(deliveryWait, func() {
		if s.poll != nil && s.poll.Query.Fetch == f {
			s.poll = nil
		}
		a.Reply(Reply{Epoch: s.epoch})
	})
	t.answerPoll(s)
	t.startSamples()
}

// answerPoll hands out what is ready, if the trainer waits for it.
func (t *Manager) answerPoll(s *stream) {
	if s.poll == nil {
		return
	}
	if s.poll.Context != nil && s.poll.Context.Err() != nil {
		s.poll = nil
		return
	}
	if !t.isOwner(s) {
		return
	}
	deliveries := t.collect(s, s.poll.Query.Fetch)
	if len(deliveries) == 0 {
		return
	}
	s.poll.Reply(Reply{Epoch: s.epoch, Deliveries: deliveries})
	s.poll = nil
}

// collect returns the ready groups that the trainer does not hold. Each is
// checked here, also when it is handed out again.
func (t *Manager) collect(s *stream, f *FetchRequest) []Delivery {
	now := t.now()
	_, bound := t.terms(s.key)
	var deliveries []Delivery
	size := 0
	for _, g := range append([]*group(nil), s.ready...) {
		latest := t.latest[g.step.record.Model]
		if !t.verify(s, g, bound, latest, now) {
			continue
		}
		if g.disk.away() {
			t.readDisk(s, g)
			continue
		}
		if len(deliveries) >= maxDeliveries || (size > 0 && size+g.bytes > maxAnswer) {
			break
		}
		deliveries = append(deliveries, t.handOut(s, g, f, latest, now))
		size += g.bytes
	}
	return deliveries
}

// handOut gives the group its place in the stream. A number at or below the
// trainer's cursor is not used again: the trainer does not hold the group.
func (t *Manager) handOut(s *stream, g *group, f *FetchRequest, latest core.Version, now time.Time) Delivery {
	if g.sequence > 0 {
		t.counters.repeated.Inc(1)
	}
	if g.sequence <= f.After {
		s.sequence++
		g.sequence = s.sequence
	}
	t.counters.handedOut.Inc(1)
	return Delivery{
		Epoch:     s.epoch,
		Sequence:  g.sequence,
		Step:      g.step.record.Step,
		Group:     core.Group{ID: g.id, Samples: g.samples},
		Freshness: g.facts.at(latest, now),
	}
}

// verify reports whether the ready group may be handed over now. What may not
// be is discarded and run again.
func (t *Manager) verify(s *stream, g *group, bound core.Freshness, latest core.Version, now time.Time) bool {
	if g.facts.isFresh(bound, latest, now) && g.isLabelled() {
		return true
	}
	t.counters.staleGroups.Inc(1)
	t.unready(s, g)
	kept := make([]core.Sample, 0, len(g.samples))
	for i := range g.samples {
		if isFresh(bound, latest, &g.samples[i], now) && isLabelled(&g.samples[i]) {
			kept = append(kept, g.samples[i])
			continue
		}
		t.counters.staleSamples.Inc(1)
	}
	g.samples = kept
	t.settle(s, g)
	return false
}

// isLabelled checks the samples in memory; those on disk were checked before
// they were written, and are checked again once they are read.
func (g *group) isLabelled() bool {
	if g.disk.away() {
		return true
	}
	for i := range g.samples {
		if !isLabelled(&g.samples[i]) {
			return false
		}
	}
	return len(g.samples) == g.spec.Samples
}

// sweep runs again what has grown stale while it waited, so that the trainer
// does not wait for it later. What was handed out already is checked when it is
// asked for again, because the trainer may hold it.
func (t *Manager) sweep(s *stream, now time.Time) {
	_, bound := t.terms(s.key)
	for _, g := range append([]*group(nil), s.ready...) {
		if g.sequence == 0 {
			t.verify(s, g, bound, t.latest[g.step.record.Model], now)
		}
	}
	for _, st := range s.steps {
		for _, g := range st.groups {
			t.sweepRuns(g, bound)
			t.sweepPart(s, g, bound, now)
		}
	}
}

// sweepRuns cancels the runs that have reported a version which is too old now.
func (t *Manager) sweepRuns(g *group, bound core.Freshness) {
	least := oldestAllowed(bound, t.latest[g.step.record.Model])
	for _, a := range append([]*attempt(nil), g.attempts...) {
		if a.oldest.IsKnown() && a.oldest < least {
			t.cancelStale(a)
		}
	}
}

// sweepPart drops the stale samples of a group that is not complete.
func (t *Manager) sweepPart(s *stream, g *group, bound core.Freshness, now time.Time) {
	if g.ready || len(g.samples) == 0 {
		return
	}
	latest := t.latest[g.step.record.Model]
	kept := g.samples[:0]
	for i := range g.samples {
		if isFresh(bound, latest, &g.samples[i], now) {
			kept = append(kept, g.samples[i])
			continue
		}
		t.counters.staleSamples.Inc(1)
	}
	clear(g.samples[len(kept):])
	g.samples = kept
	t.settle(s, g)
}

// handleVersion takes a new version and cancels what cannot be in time.
func (t *Manager) handleVersion(v modelVersion) {
	if v.version <= t.latest[v.model] {
		return
	}
	t.latest[v.model] = v.version
	now := t.now()
	for _, s := range t.order {
		t.sweep(s, now)
	}
	t.startSamples()
}
