package trainer

import (
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
)

// Limits and weights of the scheduling of samples.
const (
	// minShare is the least share of a trainer, also of one whose contract gives
	// none. It bounds the number of rounds until a sample starts.
	minShare          = 0.01
	maxRetryDelay     = 30 * time.Second
	bytesPerToken     = 4
	bytesPerSample    = 256 // structs and identifiers of one sample
	maxRetryDoublings = 5
)

// reconcileGroup queues the samples that the group still needs and cancels the runs
// that it no longer needs.
func (m *Manager) reconcileGroup(s *stream, g *group) {
	if !g.isOpen() {
		m.removeReady(s, g)
		m.cancelAllRuns(g)
		m.deleteGroup(s, g)
		g.samples = nil
		return
	}
	if g.ready {
		return
	}
	if len(g.samples) >= g.spec.Samples {
		m.completeGroup(s, g)
		return
	}
	m.enqueueSamples(s, g, g.missingSamples(), g.completions > 0)
}

func (m *Manager) enqueueSamples(s *stream, g *group, count int, urgent bool) {
	if count <= 0 {
		return
	}
	record := &g.step.record
	if g.fingerprint == 0 {
		r := core.Request{Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter, Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens}
		g.fingerprint = r.ComputeFingerprint()
	}
	predicted := m.predictor.predictLength(g.fingerprint, record.MaxTokens)
	for range count {
		s.pushTask(task{group: g, predicted: predicted, urgent: urgent})
	}
}

// closeStep cancels the work of a step that is no longer open.
func (m *Manager) closeStep(s *stream, st *step) {
	st.closed = true
	for _, g := range st.groups {
		m.reconcileGroup(s, g)
	}
}

// startSamples starts samples while there is room, by deficit round robin over
// the trainers: each gets its contract's share of the predicted tokens.
func (m *Manager) startSamples() {
	for m.runsInFlight < m.options.MaxInFlight {
		s := m.nextStream()
		if s == nil {
			return
		}
		next := s.popTask()
		if !m.startSample(s, next) {
			s.pushTask(next)
			m.scheduleStartRetry()
			return
		}
	}
}

// scheduleStartRetry starts samples again after retryDelay, because the runner
// had no room.
func (m *Manager) scheduleStartRetry() {
	if m.startRetryScheduled {
		return
	}
	m.startRetryScheduled = true
	m.loop.After(retryDelay, func() {
		m.startRetryScheduled = false
		m.startSamples()
	})
}

// quantum returns the predicted tokens that a trainer with a share of 1 may start
// in one round. It is the longest sample at the head of a queue, so that a sample
// starts after at most 1/minShare rounds.
func (m *Manager) quantum() float64 {
	longest := 1.0
	for _, s := range m.roundRobin {
		if next, ok := s.nextTask(); ok {
			longest = max(longest, next.predicted)
		}
	}
	return longest
}

// nextStream returns the trainer whose next sample starts now, or nil if none may
// start.
func (m *Manager) nextStream() *stream {
	idle := 0
	quantum := m.quantum()
	for len(m.roundRobin) > 0 && idle < len(m.roundRobin) {
		m.nextTurn %= len(m.roundRobin)
		s := m.roundRobin[m.nextTurn]
		next, ok := s.nextTask()
		if !ok || !m.mayStart(s) {
			s.deficit = 0
			idle++
			m.nextTurn++
			continue
		}
		idle = 0
		if s.deficit >= next.predicted {
			s.deficit -= next.predicted
			return s
		}
		s.deficit += quantum * m.shareOf(s)
		m.nextTurn++
	}
	return nil
}

func (m *Manager) shareOf(s *stream) float64 {
	terms, _ := m.contractTerms(s.key)
	if terms == nil {
		return minShare
	}
	return max(minShare, terms.Share)
}

// mayStart reports whether this daemon owns the trainer and its finished samples
// are within its part of the memory.
func (m *Manager) mayStart(s *stream) bool {
	return m.isOwner(s) && s.readyBytes < m.options.MaxSampleBytes/max(1, len(m.roundRobin))
}

// startSample runs one sample of the task's group.
func (m *Manager) startSample(s *stream, task task) bool {
	g := task.group
	record := &g.step.record
	_, freshness := m.contractTerms(s.key)
	now := m.now()
	m.lastRunID++
	run := &activeRun{
		id: m.lastRunID, stream: s, group: g, started: now, predicted: task.predicted,
		request: core.RequestID(uuid.NewString()),
	}
	cancel, ok := m.options.Runner.Start(SampleRun{
		Request: &core.Request{
			ID: run.request, Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter,
			MinVersion: oldestAllowed(freshness, m.latestVersions[record.Model]),
			Class:      core.ClassRollout, Repeatable: true, Accepted: true, Deadline: deadlineOf(freshness, now),
			Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens, Fingerprint: g.fingerprint,
		},
		OnVersion: func(v core.Version) { m.versionReports.TryPut(versionReport{run, v}) },
		OnDone:    func(o SampleOutcome) { m.runEnds.TryPut(runEnd{run, o}) },
	})
	if !ok {
		return false
	}
	run.cancel = cancel
	m.runsInFlight++
	s.runsInFlight++
	g.activeRuns = append(g.activeRuns, run)
	m.counters.runsStarted.Inc(1)
	return true
}

// handleVersionReport cancels a run that reports a weight version which is too old.
func (m *Manager) handleVersionReport(report versionReport) {
	g := report.run.group
	_, freshness := m.contractTerms(report.run.stream.key)
	if report.run.cancelled || report.version >= oldestAllowed(freshness, m.latestVersions[g.step.record.Model]) {
		report.run.oldest = lowerKnownVersion(report.run.oldest, report.version)
		return
	}
	m.cancelStaleRun(report.run)
}

func lowerKnownVersion(a, b core.Version) core.Version {
	if !a.IsKnown() || b < a {
		return b
	}
	return a
}

// cancelStaleRun cancels a run whose sample would be stale and queues another.
func (m *Manager) cancelStaleRun(run *activeRun) {
	m.counters.staleRuns.Inc(1)
	m.cancelRun(run)
	m.reconcileGroup(run.stream, run.group)
}

func (m *Manager) cancelRun(run *activeRun) {
	if run.cancelled {
		return
	}
	run.cancelled = true
	run.cancel()
	run.group.removeRun(run)
}

func (g *group) removeRun(run *activeRun) {
	for i, other := range g.activeRuns {
		if other == run {
			g.activeRuns = append(g.activeRuns[:i:i], g.activeRuns[i+1:]...)
			return
		}
	}
}

// cancelAllRuns cancels the runs of a group that needs no more samples.
func (m *Manager) cancelAllRuns(g *group) {
	for _, run := range append([]*activeRun(nil), g.activeRuns...) {
		m.counters.surplusRuns.Inc(1)
		m.cancelRun(run)
	}
}

// handleRunEnd evaluates the outcome of a run that was not cancelled.
func (m *Manager) handleRunEnd(e runEnd) {
	run := e.run
	s, g := run.stream, run.group
	m.runsInFlight--
	s.runsInFlight--
	run.cancel()
	if !run.cancelled {
		g.removeRun(run)
		m.evaluateSample(s, g, run, e.outcome)
	}
	m.startSamples()
}

// evaluateSample checks the labels and the freshness of a sample, and then scores it
// or adds it to its group.
func (m *Manager) evaluateSample(s *stream, g *group, run *activeRun, o SampleOutcome) {
	if !g.isOpen() || g.ready {
		m.counters.surplusRuns.Inc(1)
		return
	}
	if o.Err != nil {
		m.counters.runsFailed.Inc(1)
		m.retryLater(s, g)
		return
	}
	now := m.now()
	terms, freshness := m.contractTerms(s.key)
	sample := core.Sample{Group: g.id, Prompt: g.spec.Prompt, Text: o.Text, Tokens: o.Tokens, Spans: o.Spans, Started: run.started}
	switch {
	case !isLabelled(&sample):
		m.counters.unlabelledSamples.Inc(1)
		m.retryLater(s, g)
		return
	case !isFresh(freshness, m.latestVersions[g.step.record.Model], &sample, now):
		m.counters.staleSamples.Inc(1)
		m.reconcileGroup(s, g)
		return
	}
	g.failures = 0
	m.predictor.observeLength(g.fingerprint, len(o.Tokens), now.Sub(run.started))
	if terms != nil && terms.Scorer != "" && m.options.Scorer != nil {
		m.scoreSample(s, g, terms.Scorer, run.request, sample)
		return
	}
	m.addSample(s, g, sample)
}

// retryLater runs a sample again after a delay that doubles with each consecutive
// failure. Meanwhile the sample counts as queued.
func (m *Manager) retryLater(s *stream, g *group) {
	wait := min(maxRetryDelay, retryDelay<<min(g.failures, maxRetryDoublings))
	g.failures++
	g.queued++
	m.loop.After(wait, func() {
		g.queued--
		if m.streams[s.key] == s {
			m.reconcileGroup(s, g)
			m.startSamples()
		}
	})
}

// addSample adds a complete sample to its group.
func (m *Manager) addSample(s *stream, g *group, sample core.Sample) {
	if !g.isOpen() || g.ready || len(g.samples) >= g.spec.Samples {
		m.counters.surplusRuns.Inc(1)
		return
	}
	g.samples = append(g.samples, sample)
	m.reconcileGroup(s, g)
}

// completeGroup makes the group ready for delivery and cancels its other runs.
func (m *Manager) completeGroup(s *stream, g *group) {
	m.cancelAllRuns(g)
	g.ready = true
	g.completions++
	g.sequence = 0
	g.freshness = freshnessOf(g.samples)
	g.bytes = 0
	for i := range g.samples {
		g.samples[i].Index = i
		g.bytes += sampleBytes(&g.samples[i])
	}
	s.readyBytes += g.bytes
	s.ready = append(s.ready, g)
	m.answerLongPoll(s)
	if g.sequence == 0 && g.ready {
		m.writeGroup(s, g)
	}
}

func sampleBytes(s *core.Sample) int {
	return bytesPerSample + len(s.Text) + bytesPerToken*len(s.Tokens)
}

// removeReady removes the group from those that wait for delivery.
func (m *Manager) removeReady(s *stream, g *group) {
	if !g.ready {
		return
	}
	g.ready = false
	if !g.disk.isOnDiskOnly() {
		s.readyBytes -= g.bytes
	}
	m.deleteGroup(s, g)
	for i, other := range s.ready {
		if other == g {
			s.ready = append(s.ready[:i:i], s.ready[i+1:]...)
			return
		}
	}
}

// startSpares queues spare samples for stragglers, if the contract allows any. The
// group uses the samples that complete first. While other samples of the trainer
// wait, a group gets at most the contract's number of spares. At the end of a
// step, when slots would stay idle, each straggler gets one spare.
func (m *Manager) startSpares(s *stream, terms *core.Trainer, now time.Time) {
	if terms.SpareSamples <= 0 {
		return
	}
	_, waiting := s.nextTask()
	for _, st := range s.steps {
		for _, g := range st.groups {
			if waiting {
				m.startSpare(s, g, terms.SpareSamples, stragglerFactor, now)
			} else {
				m.startSpare(s, g, max(terms.SpareSamples, g.spec.Samples), stragglerFactorAtEnd, now)
			}
		}
	}
}

func (m *Manager) startSpare(s *stream, g *group, allowed int, factor float64, now time.Time) {
	for _, run := range g.activeRuns {
		if g.spares >= allowed {
			return
		}
		if run.overdue || now.Sub(run.started) < m.predictor.stragglerAfter(run.predicted, factor) {
			continue
		}
		run.overdue = true
		g.spares++
		m.counters.spareRuns.Inc(1)
		m.enqueueSamples(s, g, 1, true)
	}
}
