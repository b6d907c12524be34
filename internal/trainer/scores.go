package trainer

import (
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/scorer"
)

// scoreJob is a sample that is to be scored.
type scoreJob struct {
	stream  *stream
	group   *group
	url     string
	request core.RequestID
	sample  core.Sample
}

type scoreDone struct {
	job   scoreJob
	score float64
	err   *core.Error
}

func (t *Manager) score(s *stream, g *group, url string, id core.RequestID, sample core.Sample) {
	g.scoring++
	t.unscored = append(t.unscored, scoreJob{stream: s, group: g, url: url, request: id, sample: sample})
	t.submitScores()
}

// submitScores hands samples to the scorer duty while it has room.
func (t *Manager) submitScores() {
	for len(t.unscored) > 0 && t.scoring < maxScoring {
		job := t.unscored[0]
		ok := t.options.Scorer.Submit(scorer.Request{
			URL:       job.url,
			Sample:    scorer.Sample{ID: scorer.SampleID(job.request), Prompt: job.sample.Prompt, Text: job.sample.Text},
			OnScore:   func(v scorer.Score) { t.scores.TryPut(scoreDone{job: job, score: v.Value}) },
			OnFailure: func(err *core.Error) { t.scores.TryPut(scoreDone{job: job, err: err}) },
		})
		if !ok {
			// The next tick tries again.
			return
		}
		t.scoring++
		t.unscored[0] = scoreJob{}
		t.unscored = t.unscored[1:]
	}
}

// handleScore completes a sample. One that grew stale while it waited for its
// score is run again.
func (t *Manager) handleScore(d scoreDone) {
	t.scoring--
	s, g := d.job.stream, d.job.group
	g.scoring--
	_, bound := t.terms(s.key)
	sample := d.job.sample
	switch {
	case d.err != nil:
		t.counters.failed.Inc(1)
		t.pause(s, g)
	case !isFresh(bound, t.latest[g.step.record.Model], &sample, t.now()):
		t.counters.staleSamples.Inc(1)
		t.settle(s, g)
	default:
		value := d.score
		sample.Score = &value
		t.add(s, g, sample)
	}
	t.submitScores()
	t.startSamples()
}
