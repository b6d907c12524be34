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

func (t *Manager) scoreSample(s *stream, g *group, url string, id core.RequestID, sample core.Sample) {
	g.awaitingScore++
	t.scoreQueue = append(t.scoreQueue, scoreTask{stream: s, group: g, url: url, request: id, sample: sample})
	t.submitScoreTasks()
}

// submitScoreTasks submits samples to the scorer duty while it has room.
func (t *Manager) submitScoreTasks() {
	for len(t.scoreQueue) > 0 && t.scoresInFlight < maxScoresInFlight {
		task := t.scoreQueue[0]
		ok := t.options.Scorer.Submit(scorer.Request{
			URL:       task.url,
			Sample:    scorer.Sample{ID: scorer.SampleID(task.request), Prompt: task.sample.Prompt, Text: task.sample.Text},
			OnScore:   func(v scorer.Score) { t.scoreReplies.TryPut(scoreReply{task: task, score: v.Value}) },
			OnFailure: func(err *core.Error) { t.scoreReplies.TryPut(scoreReply{task: task, err: err}) },
		})
		if !ok {
			// The next tick retries.
			return
		}
		t.scoresInFlight++
		t.scoreQueue[0] = scoreTask{}
		t.scoreQueue = t.scoreQueue[1:]
	}
}

// handleScoreReply completes a scored sample. A sample that became stale while it
// waited for its score is run again.
func (t *Manager) handleScoreReply(d scoreReply) {
	t.scoresInFlight--
	s, g := d.task.stream, d.task.group
	g.awaitingScore--
	_, freshness := t.contractTerms(s.key)
	sample := d.task.sample
	switch {
	case d.err != nil:
		t.counters.runsFailed.Inc(1)
		t.retryLater(s, g)
	case !isFresh(freshness, t.latestVersions[g.step.record.Model], &sample, t.now()):
		t.counters.staleSamples.Inc(1)
		t.reconcileGroup(s, g)
	default:
		value := d.score
		sample.Score = &value
		t.addSample(s, g, sample)
	}
	t.submitScoreTasks()
	t.startSamples()
}
