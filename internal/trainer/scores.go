package trainer

import (
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/scorer"
)

// scoreTask is a sample that waits for its score.
type scoreTask struct {
	stream  *stream
	group   *group
	url     string
	request core.RequestID
	sample  core.Sample
}

type scoreReply struct {
	task  scoreTask
	score float64
	err   *core.Error
}

func (m *Manager) scoreSample(s *stream, g *group, url string, id core.RequestID, sample core.Sample) {
	g.awaitingScore++
	m.scoreQueue = append(m.scoreQueue, scoreTask{stream: s, group: g, url: url, request: id, sample: sample})
	m.submitScoreTasks()
}

// submitScoreTasks submits samples to the scorer duty while it has room.
func (m *Manager) submitScoreTasks() {
	for len(m.scoreQueue) > 0 && m.scoresInFlight < maxScoresInFlight {
		task := m.scoreQueue[0]
		ok := m.options.Scorer.Submit(scorer.Request{
			URL:       task.url,
			Sample:    scorer.Sample{ID: scorer.SampleID(task.request), Prompt: task.sample.Prompt, Text: task.sample.Text},
			OnScore:   func(v scorer.Score) { m.scoreReplies.TryPut(scoreReply{task: task, score: v.Value}) },
			OnFailure: func(err *core.Error) { m.scoreReplies.TryPut(scoreReply{task: task, err: err}) },
		})
		if !ok {
			// The next tick retries.
			return
		}
		m.scoresInFlight++
		m.scoreQueue[0] = scoreTask{}
		m.scoreQueue = m.scoreQueue[1:]
	}
}

// handleScoreReply completes a scored sample. A sample that became stale while it
// waited for its score is run again.
func (m *Manager) handleScoreReply(reply scoreReply) {
	m.scoresInFlight--
	s, g := reply.task.stream, reply.task.group
	g.awaitingScore--
	_, freshness := m.contractTerms(s.key)
	sample := reply.task.sample
	switch {
	case reply.err != nil:
		m.counters.runsFailed.Inc(1)
		m.retryLater(s, g)
	case !isFresh(freshness, m.latestVersions[g.step.record.Model], &sample, m.now()):
		m.counters.staleSamples.Inc(1)
		m.reconcileGroup(s, g)
	default:
		value := reply.score
		sample.Score = &value
		m.addSample(s, g, sample)
	}
	m.submitScoreTasks()
	m.startSamples()
}
