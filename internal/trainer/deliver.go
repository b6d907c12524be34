package trainer

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// recordAcknowledged marks groups as delivered that the trainer reports to
// hold. No other event marks a group as delivered.
func (m *Manager) recordAcknowledged(s *stream, held []HeldGroup) {
	for _, h := range held {
		g := s.findGroup(h)
		if g == nil || g.isAcked() {
			continue
		}
		g.step.record.Acked.add(g.id)
		s.cursor = max(s.cursor, min(h.Sequence, maxSequence))
		s.ledger.dirty = true
		m.counters.acknowledgedGroups.Inc(1)
		m.reconcileGroup(s, g)
	}
}

// acknowledge answers once the ledger records the acknowledged groups.
func (m *Manager) acknowledge(s *stream, q pendingQuery) {
	m.recordAcknowledged(s, q.Query.Ack.Ack.Groups)
	if len(s.ledger.waiters) >= maxWaitingQueries {
		q.Reply(unavailable("%d acknowledgements wait for the ledger", maxWaitingQueries))
		return
	}
	s.ledger.waiters = append(s.ledger.waiters, q)
	m.replyOnTimeout(q)
	m.flushLedger(s)
	m.answerAcknowledgements(s)
	m.startSamples()
}

// fetch answers with deliveries, or waits for some. A newer fetch ends the wait of
// an older one.
func (m *Manager) fetch(s *stream, q pendingQuery) {
	f := q.Query.Fetch
	if f.After < 0 || f.After > maxSequence {
		q.Reply(Reply{Err: core.InvalidError("after", formatInt(f.After), "0 to 2^53", "is not a sequence number")})
		return
	}
	m.recordAcknowledged(s, f.HeldGroups)
	m.flushLedger(s)
	s.sequence = max(s.sequence, f.After)
	if s.longPoll != nil {
		s.longPoll.Reply(Reply{Epoch: s.epoch})
	}
	s.longPoll = &q
	m.loop.After(longPollWait, func() {
		if s.longPoll != nil && s.longPoll.Query.Fetch == f {
			s.longPoll = nil
		}
		q.Reply(Reply{Epoch: s.epoch})
	})
	m.answerLongPoll(s)
	m.startSamples()
}

// answerLongPoll answers the trainer's waiting fetch if groups are ready.
func (m *Manager) answerLongPoll(s *stream) {
	if s.longPoll == nil {
		return
	}
	if s.longPoll.Context != nil && s.longPoll.Context.Err() != nil {
		s.longPoll = nil
		return
	}
	if !m.isOwner(s) {
		return
	}
	deliveries := m.collectDeliveries(s, s.longPoll.Query.Fetch)
	if len(deliveries) == 0 {
		return
	}
	s.longPoll.Reply(Reply{Epoch: s.epoch, Deliveries: deliveries})
	s.longPoll = nil
}

// collectDeliveries returns the ready groups that the trainer has not
// acknowledged. It checks each of them, also before a repeated delivery.
func (m *Manager) collectDeliveries(s *stream, f *FetchRequest) []Delivery {
	now := m.now()
	_, freshness := m.contractTerms(s.key)
	var deliveries []Delivery
	size := 0
	for _, g := range append([]*group(nil), s.ready...) {
		latest := m.latestVersions[g.step.record.Model]
		if !m.checkReadyGroup(s, g, freshness, latest, now) {
			continue
		}
		if g.disk.isOnDiskOnly() {
			m.readGroup(s, g)
			continue
		}
		if len(deliveries) >= maxGroupsPerAnswer || (size > 0 && size+g.bytes > maxAnswerBytes) {
			break
		}
		deliveries = append(deliveries, m.deliverGroup(s, g, f, latest, now))
		size += g.bytes
	}
	return deliveries
}

// deliverGroup assigns the group a sequence number. If its former number is at or
// below the trainer's cursor, it gets a new one, because the trainer has passed
// that number without holding the group.
func (m *Manager) deliverGroup(s *stream, g *group, f *FetchRequest, latest core.Version, now time.Time) Delivery {
	if g.sequence > 0 {
		m.counters.redeliveries.Inc(1)
	}
	if g.sequence <= f.After {
		s.sequence++
		g.sequence = s.sequence
	}
	m.counters.deliveries.Inc(1)
	return Delivery{
		Epoch:     s.epoch,
		Sequence:  g.sequence,
		Step:      g.step.record.Step,
		Group:     core.Group{ID: g.id, Samples: g.samples},
		Freshness: g.freshness.report(latest, now),
	}
}

// checkReadyGroup reports whether the ready group may be delivered now. If not,
// its stale and unlabelled samples are discarded and run again.
func (m *Manager) checkReadyGroup(s *stream, g *group, freshness core.Freshness, latest core.Version, now time.Time) bool {
	if g.freshness.isWithin(freshness, latest, now) && g.hasLabels() {
		return true
	}
	m.counters.staleGroups.Inc(1)
	m.removeReady(s, g)
	fresh := make([]core.Sample, 0, len(g.samples))
	for i := range g.samples {
		if isFresh(freshness, latest, &g.samples[i], now) && isLabelled(&g.samples[i]) {
			fresh = append(fresh, g.samples[i])
			continue
		}
		m.counters.staleSamples.Inc(1)
	}
	g.samples = fresh
	m.reconcileGroup(s, g)
	return false
}

// hasLabels checks the samples in memory. Samples on disk were checked before they
// were written and are checked again once they are read.
func (g *group) hasLabels() bool {
	if g.disk.isOnDiskOnly() {
		return true
	}
	for i := range g.samples {
		if !isLabelled(&g.samples[i]) {
			return false
		}
	}
	return len(g.samples) == g.spec.Samples
}

// replaceStale discards samples that have become stale while they waited and runs
// them again, so that the trainer does not wait for this later. Groups that were
// already delivered are checked only before a repeated delivery, because the
// trainer may hold them.
func (m *Manager) replaceStale(s *stream, now time.Time) {
	_, freshness := m.contractTerms(s.key)
	for _, g := range append([]*group(nil), s.ready...) {
		if g.sequence == 0 {
			m.checkReadyGroup(s, g, freshness, m.latestVersions[g.step.record.Model], now)
		}
	}
	for _, st := range s.steps {
		for _, g := range st.groups {
			m.cancelStaleRuns(g, freshness)
			m.removeStaleSamples(s, g, freshness, now)
		}
	}
}

// cancelStaleRuns cancels the runs that have reported a weight version which is
// too old now.
func (m *Manager) cancelStaleRuns(g *group, freshness core.Freshness) {
	oldest := oldestAllowed(freshness, m.latestVersions[g.step.record.Model])
	for _, run := range append([]*activeRun(nil), g.activeRuns...) {
		if run.oldest.IsKnown() && run.oldest < oldest {
			m.cancelStaleRun(run)
		}
	}
}

// removeStaleSamples discards the stale samples of a group that is not complete.
func (m *Manager) removeStaleSamples(s *stream, g *group, freshness core.Freshness, now time.Time) {
	if g.ready || len(g.samples) == 0 {
		return
	}
	latest := m.latestVersions[g.step.record.Model]
	fresh := g.samples[:0]
	for i := range g.samples {
		if isFresh(freshness, latest, &g.samples[i], now) {
			fresh = append(fresh, g.samples[i])
			continue
		}
		m.counters.staleSamples.Inc(1)
	}
	clear(g.samples[len(fresh):])
	g.samples = fresh
	m.reconcileGroup(s, g)
}

// handleVersion records a new weight version and replaces what it makes stale.
func (m *Manager) handleVersion(v modelVersion) {
	if v.version <= m.latestVersions[v.model] {
		return
	}
	m.latestVersions[v.model] = v.version
	now := m.now()
	for _, s := range m.roundRobin {
		m.replaceStale(s, now)
	}
	m.startSamples()
}
