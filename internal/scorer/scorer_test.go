package scorer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// waitLimit bounds the wait for events that usually take microseconds.
const waitLimit = 30 * time.Second

// fakeClient answers each batch by a function.
type fakeClient func(url string, b Batch) ([]Score, error)

func (f fakeClient) Score(_ context.Context, url string, b Batch) ([]Score, error) { return f(url, b) }

// testScorer steps a scorer duty on a manual clock.
type testScorer struct {
	t      *testing.T
	clock  *duty.ManualClock
	scorer *Scorer
	scores map[SampleID]int
}

func newTestScorer(t *testing.T, client Client) *testScorer {
	t.Helper()
	pool, err := duty.NewPool("test", 16)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	clock := duty.NewManualClock(time.Unix(0, 0))
	return &testScorer{t: t, clock: clock, scorer: New(clock, client, pool), scores: map[SampleID]int{}}
}

func (b *testScorer) submit(url string, n int) {
	for i := range n {
		b.scorer.Submit(Request{
			URL:       url,
			Sample:    Sample{ID: SampleID(fmt.Sprintf("%s/%d", url, i))},
			OnScore:   func(s Score) { b.scores[s.ID]++ },
			OnFailure: func(e *core.Error) { b.t.Errorf("sample refused: %v", e) },
		})
		b.scorer.Loop().RunPending()
	}
}

// runUntil advances the clock until the number of scored samples is reached.
func (b *testScorer) runUntil(scored int) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for len(b.scores) < scored && time.Now().Before(deadline) {
		b.clock.Advance(maxRetryDelay)
		b.scorer.Loop().RunPending()
		time.Sleep(100 * time.Microsecond) // lets pool goroutines finish their calls
	}
	if len(b.scores) != scored {
		b.t.Fatalf("%d samples have a score, want %d", len(b.scores), scored)
	}
	for id, n := range b.scores {
		if n != 1 {
			b.t.Errorf("sample %s took %d scores, want 1", id, n)
		}
	}
}

func scoreAll(b Batch) []Score {
	var scores []Score
	for _, sample := range b.Samples {
		scores = append(scores, Score{ID: sample.ID})
	}
	return scores
}

// Guards against delivering two scores for a sample when the service answers
// twice, or when it scores a retried batch after its first answer was lost.
func TestSampleTakesOneScore(t *testing.T) {
	failures := 3
	b := newTestScorer(t, fakeClient(func(_ string, batch Batch) ([]Score, error) {
		if failures > 0 {
			failures--
			return nil, errors.New("answer lost")
		}
		return append(scoreAll(batch), scoreAll(batch)...), nil
	}))
	b.submit("a", 50)
	b.runUntil(50)
	if c := b.scorer.Counters(); c.UnknownSamples != 50 {
		t.Errorf("ignored scores = %d, want 50", c.UnknownSamples)
	}
}

// Guards against losing samples when a service scores only part of a batch.
func TestPartOfABatchIsSentAgain(t *testing.T) {
	b := newTestScorer(t, fakeClient(func(_ string, batch Batch) ([]Score, error) {
		return scoreAll(batch)[:(len(batch.Samples)+1)/2], nil
	}))
	b.submit("a", MaxBatchSamples)
	b.runUntil(MaxBatchSamples)
}

// Guards against a service that is down delaying the samples of another service.
func TestServiceThatIsDownDelaysOnlyItsOwnSamples(t *testing.T) {
	b := newTestScorer(t, fakeClient(func(url string, batch Batch) ([]Score, error) {
		if url == "down" {
			return nil, errors.New("connection refused")
		}
		return scoreAll(batch), nil
	}))
	b.submit("down", 3*MaxBatchSamples)
	b.submit("up", 3*MaxBatchSamples)
	b.runUntil(3 * MaxBatchSamples)
	for id := range b.scores {
		if id[:2] != "up" {
			t.Errorf("sample %s has a score from a service that is down", id)
		}
	}
}

// BenchmarkBatches reports the requests to the service for 8,192 samples as a
// ratio to the baseline of one request per sample.
func BenchmarkBatches(b *testing.B) {
	const samples = 8192
	pool, err := duty.NewPool("bench", 16)
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Release()
	for range b.N {
		clock := duty.NewManualClock(time.Unix(0, 0))
		s := New(clock, fakeClient(func(_ string, batch Batch) ([]Score, error) { return scoreAll(batch), nil }), pool)
		scored := 0
		for i := range samples {
			s.Submit(Request{URL: "a", Sample: Sample{ID: SampleID(fmt.Sprint(i))}, OnScore: func(Score) { scored++ }})
			s.Loop().RunPending()
		}
		for scored < samples {
			clock.Advance(batchDelay)
			s.Loop().RunPending()
		}
		b.ReportMetric(float64(s.Counters().BatchesSent)/samples, "calls-ratio")
	}
}
