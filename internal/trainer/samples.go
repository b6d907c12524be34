package trainer

import (
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
)

// Constants of the schedule.
const (
	// leastShare is used for trainers whose contract gives none, and keeps the
	// number of rounds until a start small.
	leastShare      = 0.01
	longestPause    = 30 * time.Second
	bytesPerToken   = 4
	bytesPerSample  = 256 // of the structs and identifiers of one sample
	maxPauseDoubles = 5
)

// settle queues what the group still misses and drops what it no longer needs.
func (t *Manager) settle(s *stream, g *group) {
	if !g.open() {
		t.unready(s, g)
		t.cancelRest(g)
		t.deleteDisk(s, g)
		g.samples = nil
		return
	}
	if g.ready {
		return
	}
	if len(g.samples) >= g.spec.Samples {
		t.complete(s, g)
		return
	}
	t.enqueue(s, g, g.missing(), g.runs > 0)
}

func (t *Manager) enqueue(s *stream, g *group, count int, urgent bool) {
	if count <= 0 {
		return
	}
	record := &g.step.record
	if g.fingerprint == 0 {
		r := core.Request{Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter, Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens}
		g.fingerprint = r.ComputeFingerprint()
	}
	predicted := t.predict.predict(g.fingerprint, record.MaxTokens)
	for range count {
		s.push(task{group: g, predicted: predicted, urgent: urgent})
	}
}

// drop closes a step: its work is cancelled.
func (t *Manager) drop(s *stream, st *step) {
	st.dropped = true
	for _, g := range st.groups {
		t.settle(s, g)
	}
}

// startSamples starts work while there is room, by deficit round robin over the
// trainers: each gets its contract's share of the predicted tokens started.
func (t *Manager) startSamples() {
	for t.running < t.options.MaxInFlight {
		s := t.nextStream()
		if s == nil {
			return
		}
		next := s.pop()
		if !t.start(s, next) {
			s.push(next)
			t.retryStart()
			return
		}
	}
}

// retryStart tries again later: the runner had no room.
func (t *Manager) retryStart() {
	if t.retrying {
		return
	}
	t.retrying = true
	t.loop.After(retryPeriod, func() {
		t.retrying = false
		t.startSamples()
	})
}

// quantum is what a trainer with the whole share may start in one round, in
// predicted tokens: the longest sample that is next, so that the number of
// rounds until a start is at most 1/leastShare.
func (t *Manager) quantum() float64 {
	longest := 1.0
	for _, s := range t.order {
		if next, ok := s.head(); ok {
			longest = max(longest, next.predicted)
		}
	}
	return longest
}

// nextStream returns the trainer whose next sample may start, or nil.
func (t *Manager) nextStream() *stream {
	idle := 0
	quantum := t.quantum()
	for len(t.order) > 0 && idle < len(t.order) {
		t.turn %= len(t.order)
		s := t.order[t.turn]
		next, ok := s.head()
		if !ok || !t.mayStart(s) {
			s.deficit = 0
			idle++
			t.turn++
			continue
		}
		idle = 0
		if s.deficit >= next.predicted {
			s.deficit -= next.predicted
			return s
		}
		s.deficit += quantum * t.share(s)
		t.turn++
	}
	return nil
}

func (t *Manager) share(s *stream) float64 {
	entry, _ := t.terms(s.key)
	if entry == nil {
		return leastShare
	}
	return max(leastShare, entry.Share)
}

// mayStart reports whether the trainer's samples may be started at all.
func (t *Manager) mayStart(s *stream) bool {
	return t.isOwner(s) && s.waitingBytes < t.options.MaxSampleBytes/max(1, len(t.order))
}

// start runs one sample of the task's group.
func (t *Manager) start(s *stream, next task) bool {
	g := next.group
	record := &g.step.record
	_, bound := t.terms(s.key)
	now := t.now()
	t.nextID++
	a := &attempt{
		id: t.nextID, stream: s, group: g, started: now, predicted: next.predicted,
		request: core.RequestID(uuid.NewString()),
	}
	cancel, ok := t.options.Runner.Start(SampleRun{
		Request: &core.Request{
			ID: a.request, Customer: s.key.customer, Model: record.Model, Adapter: record.Adapter,
			MinVersion: oldestAllowed(bound, t.latest[record.Model]),
			Class:      core.ClassRollout, Repeatable: true, Deadline: deadlineOf(bound, now),
			Prompt: g.spec.Prompt, MaxTokens: record.MaxTokens, Fingerprint: g.fingerprint,
		},
		OnVersion: func(v core.Version) { t.progress.TryPut(sampleProgress{a, v}) },
		OnDone:    func(o SampleOutcome) { t.ends.TryPut(sampleEnd{a, o}) },
	})
	if !ok {
		return false
	}
	a.cancel = cancel
	t.running++
	s.running++
	g.attempts = append(g.attempts, a)
	t.counters.started.Inc(1)
	return true
}

// handleProgress cancels a run whose first version is too old already.
func (t *Manager) handleProgress(p sampleProgress) {
	g := p.attempt.group
	_, bound := t.terms(p.attempt.stream.key)
	if p.attempt.cancelled || p.version >= oldestAllowed(bound, t.latest[g.step.record.Model]) {
		p.attempt.oldest = lowest(p.attempt.oldest, p.version)
		return
	}
	t.cancelStale(p.attempt)
}

func lowest(a, b core.Version) core.Version {
	if !a.IsKnown() || b < a {
		return b
	}
	return a
}

// cancelStale cancels a run early and queues another.
func (t *Manager) cancelStale(a *attempt) {
	t.counters.cancelledEarly.Inc(1)
	t.cancelAttempt(a)
	t.settle(a.stream, a.group)
}

func (t *Manager) cancelAttempt(a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	a.cancel()
	a.group.forget(a)
}

func (g *group) forget(a *attempt) {
	for i, other := range g.attempts {
		if other == a {
			g.attempts = append(g.attempts[:i:i], g.attempts[i+1:]...)
			return
		}
	}
}

// cancelRest cancels the runs of a group that needs no more samples.
func (t *Manager) cancelRest(g *group) {
	for _, a := range append([]*attempt(nil), g.attempts...) {
		t.counters.losers.Inc(1)
		t.cancelAttempt(a)
	}
}

// handleEnd takes the end of a run.
func (t *Manager) handleEnd(e sampleEnd) {
	a := e.attempt
	s, g := a.stream, a.group
	t.running--
	s.running--
	a.cancel()
	if !a.cancelled {
		g.forget(a)
		t.judge(s, g, a, e.outcome)
	}
	t.startSamples()
}

// judge decides what becomes of a sample: label, freshness, score, place in its group.
func (t *Manager) judge(s *stream, g *group, a *attempt, o SampleOutcome) {
	if !g.open() || g.ready {
		t.counters.losers.Inc(1)
		return
	}
	if o.Err != nil {
		t.counters.failed.Inc(1)
		t.pause(s, g)
		return
	}
	now := t.now()
	entry, bound := t.terms(s.key)
	sample := core.Sample{Group: g.id, Prompt: g.spec.Prompt, Text: o.Text, Tokens: o.Tokens, Spans: o.Spans, Started: a.started}
	switch {
	case !isLabelled(&sample):
		t.counters.unlabelled.Inc(1)
		t.pause(s, g)
		return
	case !isFresh(bound, t.latest[g.step.record.Model], &sample, now):
		t.counters.staleSamples.Inc(1)
		t.settle(s, g)
		return
	}
	g.failures = 0
	t.predict.learn(g.fingerprint, len(o.Tokens), now.Sub(a.started))
	if entry != nil && entry.Scorer != "" && t.options.Scorer != nil {
		t.score(s, g, entry.Scorer, a.request, sample)
		return
	}
	t.add(s, g, sample)
}

// pause runs the sample again after a time that grows with each failure. The
// place stays queued for the group meanwhile.
func (t *Manager) pause(s *stream, g *group) {
	wait := min(longestPause, retryPeriod<<min(g.failures, maxPauseDoubles))
	g.failures++
	g.queued++
	t.loop.After(wait, func() {
		g.queued--
		if t.streams[s.key] == s {
			t.settle(s, g)
			t.startSamples()
		}
	})
}

// add puts a whole sample into its group.
func (t *Manager) add(s *stream, g *group, sample core.Sample) {
	if !g.open() || g.ready || len(g.samples) >= g.spec.Samples {
		t.counters.losers.Inc(1)
		return
	}
	g.samples = append(g.samples, sample)
	t.settle(s, g)
}

// complete makes the group ready for delivery and cancels its other runs.
func (t *Manager) complete(s *stream, g *group) {
	t.cancelRest(g)
	g.ready = true
	g.runs++
	g.sequence = 0
	g.facts = factsOf(g.samples)
	g.bytes = 0
	for i := range g.samples {
		g.samples[i].Index = i
		g.bytes += sampleBytes(&g.samples[i])
	}
	s.waitingBytes += g.bytes
	s.ready = append(s.ready, g)
	t.answerPoll(s)
	if g.sequence == 0 && g.ready {
		t.writeDisk(s, g)
	}
}

func sampleBytes(s *core.Sample) int {
	return bytesPerSample + len(s.Text) + bytesPerToken*len(s.Tokens)
}

// unready takes the group off the list of those that wait for delivery.
func (t *Manager) unready(s *stream, g *group) {
	if !g.ready {
		return
	}
	g.ready = false
	if !g.disk.away() {
		s.waitingBytes -= g.bytes
	}
	t.deleteDisk(s, g)
	for i, other := range s.ready {
		if other == g {
			s.ready = append(s.ready[:i:i], s.ready[i+1:]...)
			return
		}
	}
}

// startSpares runs spare samples beside stragglers, if the contract allows any.
// The first complete samples of the group win. While other work of the trainer
// waits, a group gets at most the contract's number. At the end of a step, when
// slots would stay empty, each straggler is started again once.
func (t *Manager) startSpares(s *stream, entry *core.Trainer, now time.Time) {
	if entry.SpareSamples <= 0 {
		return
	}
	_, waiting := s.head()
	for _, st := range s.steps {
		for _, g := range st.groups {
			if waiting {
				t.startSpare(s, g, entry.SpareSamples, overdueFactor, now)
			} else {
				t.startSpare(s, g, max(entry.SpareSamples, g.spec.Samples), overdueAtEnd, now)
			}
		}
	}
}

func (t *Manager) startSpare(s *stream, g *group, allowed int, factor float64, now time.Time) {
	for _, a := range g.attempts {
		if g.spares >= allowed {
			return
		}
		if a.overdue || now.Sub(a.started) < t.predict.overdueAfter(a.predicted, factor) {
			continue
		}
		a.overdue = true
		g.spares++
		t.counters.spares.Inc(1)
		t.enqueue(s, g, 1, true)
	}
}
