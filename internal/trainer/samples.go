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
func (t *Manager) reconcileGroup(s *stream, g *group) {
	if !g.isOpen() {
		t.removeReady(s, g)
		t.cancelAllRuns(g)
		t.deleteGroup(s, g)
		g.samples = nil
		return
	}
	if g.ready {
		return
	}
	if len(g.samples) >= g.spec.Samples {
		t.completeGroup(s, g)
		return
	}
	t.enqueueSamples(s, g, g.missingSamples(), g.completions > 0)
}

func (t *Manager) enqueueSamples(s *stream, g *group, count int, urgent bool) {
	if count <= 0 {
		return
	}
	record := &g.step.record
	if g.fingerprint == 0 {
		r := core.Request{Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter, Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens}
		g.fingerprint = r.ComputeFingerprint()
	}
	predicted := t.predictor.predictLength(g.fingerprint, record.MaxTokens)
	for range count {
		s.pushTask(task{group: g, predicted: predicted, urgent: urgent})
	}
}

// closeStep cancels the work of a step that is no longer open.
func (t *Manager) closeStep(s *stream, st *step) {
	st.closed = true
	for _, g := range st.groups {
		t.reconcileGroup(s, g)
	}
}

// startSamples starts samples while there is room, by deficit round robin over
// the trainers: each gets its contract's share of the predicted tokens.
func (t *Manager) startSamples() {
	for t.runsInFlight < t.options.MaxInFlight {
		s := t.nextStream()
		if s == nil {
			return
		}
		next := s.popTask()
		if !t.startSample(s, next) {
			s.pushTask(next)
			t.scheduleStartRetry()
			return
		}
	}
}

// scheduleStartRetry starts samples again after retryDelay, because the runner
// had no room.
func (t *Manager) scheduleStartRetry() {
	if t.startRetryScheduled {
		return
	}
	t.startRetryScheduled = true
	t.loop.After(retryDelay, func() {
		t.startRetryScheduled = false
		t.startSamples()
	})
}

// quantum returns the predicted tokens that a trainer with a share of 1 may start
// in one round. It is the longest sample at the head of a queue, so that a sample
// starts after at most 1/minShare rounds.
func (t *Manager) quantum() float64 {
	longest := 1.0
	for _, s := range t.roundRobin {
		if next, ok := s.nextTask(); ok {
			longest = max(longest, next.predicted)
		}
	}
	return longest
}

// nextStream returns the trainer whose next sample starts now, or nil if none may
// start.
func (t *Manager) nextStream() *stream {
	idle := 0
	quantum := t.quantum()
	for len(t.roundRobin) > 0 && idle < len(t.roundRobin) {
		t.nextTurn %= len(t.roundRobin)
		s := t.roundRobin[t.nextTurn]
		next, ok := s.nextTask()
		if !ok || !t.mayStart(s) {
			s.deficit = 0
			idle++
			t.nextTurn++
			continue
		}
		idle = 0
		if s.deficit >= next.predicted {
			s.deficit -= next.predicted
			return s
		}
		s.deficit += quantum * t.shareOf(s)
		t.nextTurn++
	}
	return nil
}

func (t *Manager) shareOf(s *stream) float64 {
	terms, _ := t.contractTerms(s.key)
	if terms == nil {
		return minShare
	}
	return max(minShare, terms.Share)
}

// mayStart reports whether this daemon owns the trainer and its finished samples
// are within its part of the memory.
func (t *Manager) mayStart(s *stream) bool {
	return t.isOwner(s) && s.readyBytes < t.options.MaxSampleBytes/max(1, len(t.roundRobin))
}

// startSample runs one sample of the task's group.
func (t *Manager) startSample(s *stream, next task) bool {
	g := next.group
	record := &g.step.record
	_, freshness := t.contractTerms(s.key)
	now := t.now()
	t.lastRunID++
	a := &activeRun{
		id: t.lastRunID, stream: s, group: g, started: now, predicted: next.predicted,
		request: core.RequestID(uuid.NewString()),
	}
	cancel, ok := t.options.Runner.Start(SampleRun{
		Request: &core.Request{
			ID: a.request, Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter,
			MinVersion: oldestAllowed(freshness, t.latestVersions[record.Model]),
			Class:      core.ClassRollout, Repeatable: true, Deadline: deadlineOf(freshness, now),
			Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens, Fingerprint: g.fingerprint,
		},
		OnVersion: func(v core.Version) { t.versionReports.TryPut(versionReport{a, v}) },
		OnDone:    func(o SampleOutcome) { t.runEnds.TryPut(runEnd{a, o}) },
	})
	if !ok {
		return false
	}
	a.cancel = cancel
	t.runsInFlight++
	s.runsInFlight++
	g.activeRuns = append(g.activeRuns, a)
	t.counters.runsStarted.Inc(1)
	return true
}

// handleVersionReport cancels a run that reports a weight version which is too old.
func (t *Manager) handleVersionReport(p versionReport) {
	g := p.run.group
	_, freshness := t.contractTerms(p.run.stream.key)
	if p.run.cancelled || p.version >= oldestAllowed(freshness, t.latestVersions[g.step.record.Model]) {
		p.run.oldest = lowerKnownVersion(p.run.oldest, p.version)
		return
	}
	t.cancelStaleRun(p.run)
}

func lowerKnownVersion(a, b core.Version) core.Version {
	if !a.IsKnown() || b < a {
		return b
	}
	return a
}

// cancelStaleRun cancels a run whose sample would be stale and queues another.
func (t *Manager) cancelStaleRun(a *activeRun) {
	t.counters.staleRuns.Inc(1)
	t.cancelRun(a)
	t.reconcileGroup(a.stream, a.group)
}

func (t *Manager) cancelRun(a *activeRun) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	a.cancel()
	a.group.removeRun(a)
}

func (g *group) removeRun(a *activeRun) {
	for i, other := range g.activeRuns {
		if other == a {
			g.activeRuns = append(g.activeRuns[:i:i], g.activeRuns[i+1:]...)
			return
		}
	}
}

// cancelAllRuns cancels the runs of a group that needs no more samples.
func (t *Manager) cancelAllRuns(g *group) {
	for _, a := range append([]*activeRun(nil), g.activeRuns...) {
		t.counters.surplusRuns.Inc(1)
		t.cancelRun(a)
	}
}

// handleRunEnd evaluates the outcome of a run that was not cancelled.
func (t *Manager) handleRunEnd(e runEnd) {
	a := e.run
	s, g := a.stream, a.group
	t.runsInFlight--
	s.runsInFlight--
	a.cancel()
	if !a.cancelled {
		g.removeRun(a)
		t.evaluateSample(s, g, a, e.outcome)
	}
	t.startSamples()
}

// evaluateSample checks the labels and the freshness of a sample, and then scores it
// or adds it to its group.
func (t *Manager) evaluateSample(s *stream, g *group, a *activeRun, o SampleOutcome) {
	if !g.isOpen() || g.ready {
		t.counters.surplusRuns.Inc(1)
		return
	}
	if o.Err != nil {
		t.counters.runsFailed.Inc(1)
		t.retryLater(s, g)
		return
	}
	now := t.now()
	terms, freshness := t.contractTerms(s.key)
	sample := core.Sample{Group: g.id, Prompt: g.spec.Prompt, Text: o.Text, Tokens: o.Tokens, Spans: o.Spans, Started: a.started}
	switch {
	case !isLabelled(&sample):
		t.counters.unlabelledSamples.Inc(1)
		t.retryLater(s, g)
		return
	case !isFresh(freshness, t.latestVersions[g.step.record.Model], &sample, now):
		t.counters.staleSamples.Inc(1)
		t.reconcileGroup(s, g)
		return
	}
	g.failures = 0
	t.predictor.observeLength(g.fingerprint, len(o.Tokens), now.Sub(a.started))
	if terms != nil && terms.Scorer != "" && t.options.Scorer != nil {
		t.scoreSample(s, g, terms.Scorer, a.request, sample)
		return
	}
	t.addSample(s, g, sample)
}

// retryLater runs a sample again after a delay that doubles with each consecutive
// failure. Meanwhile the sample counts as queued.
func (t *Manager) retryLater(s *stream, g *group) {
	wait := min(maxRetryDelay, retryDelay<<min(g.failures, maxRetryDoublings))
	g.failures++
	g.queued++
	t.loop.After(wait, func() {
		g.queued--
		if t.streams[s.key] == s {
			t.reconcileGroup(s, g)
			t.startSamples()
		}
	})
}

// addSample adds a complete sample to its group.
func (t *Manager) addSample(s *stream, g *group, sample core.Sample) {
	if !g.isOpen() || g.ready || len(g.samples) >= g.spec.Samples {
		t.counters.surplusRuns.Inc(1)
		return
	}
	g.samples = append(g.samples, sample)
	t.reconcileGroup(s, g)
}

// completeGroup makes the group ready for delivery and cancels its other runs.
func (t *Manager) completeGroup(s *stream, g *group) {
	t.cancelAllRuns(g)
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
	t.answerLongPoll(s)
	if g.sequence == 0 && g.ready {
		t.writeGroup(s, g)
	}
}

func sampleBytes(s *core.Sample) int {
	return bytesPerSample + len(s.Text) + bytesPerToken*len(s.Tokens)
}

// removeReady removes the group from those that wait for delivery.
func (t *Manager) removeReady(s *stream, g *group) {
	if !g.ready {
		return
	}
	g.ready = false
	if !g.disk.isOnDiskOnly() {
		s.readyBytes -= g.bytes
	}
	t.deleteGroup(s, g)
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
func (t *Manager) startSpares(s *stream, terms *core.Trainer, now time.Time) {
	if terms.SpareSamples <= 0 {
		return
	}
	_, waiting := s.nextTask()
	for _, st := range s.steps {
		for _, g := range st.groups {
			if waiting {
				t.startSpare(s, g, terms.SpareSamples, stragglerFactor, now)
			} else {
				t.startSpare(s, g, max(terms.SpareSamples, g.spec.Samples), stragglerFactorAtEnd, now)
			}
		}
	}
}

func (t *Manager) startSpare(s *stream, g *group, allowed int, factor float64, now time.Time) {
	for _, a := range g.activeRuns {
		if g.spares >= allowed {
			return
		}
		if a.overdue || now.Sub(a.started) < t.predictor.stragglerAfter(a.predicted, factor) {
			continue
		}
		a.overdue = true
		g.spares++
		t.counters.spareRuns.Inc(1)
		t.enqueueSamples(s, g, 1, true)
	}
}
