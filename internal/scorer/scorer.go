// Package scorer decides how samples are batched for scoring services and when
// a batch is retried.
//
// The scorer duty owns all state. A sample gets at most one score: further
// scores for it are ignored. Samples are retried until they have a score, and a
// service that is down delays only its own samples. The wire encoding is in
// package scorerhttp.
package scorer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the scorer duty.
const (
	// MaxWaitingSamples bounds the samples without a score for each scoring service.
	MaxWaitingSamples = 65536
	// MaxBatchSamples bounds the samples of one batch.
	MaxBatchSamples = 128
	// batchDelay is how long a sample waits for others to share its batch.
	batchDelay = 20 * time.Millisecond
	// maxBatchesInFlight bounds the unanswered batches at one scoring service.
	maxBatchesInFlight = 2
	scoreTimeout       = 30 * time.Second
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 10 * time.Second
	ringCapacity       = 4096
)

// SampleID is unique among the unscored samples of a scoring service.
type SampleID string

// Sample is one sample to score.
type Sample struct {
	ID     SampleID
	Prompt string
	Text   string
}

// Score is the score of one sample.
type Score struct {
	ID    SampleID
	Value float64
}

// Batch is one request to a scoring service. A retried batch keeps its ID, so
// that the service can return scores that it has already computed.
type Batch struct {
	ID      string
	Samples []Sample
}

// Client sends a batch to the scoring service at the URL and blocks until the
// answer or an error.
type Client interface {
	Score(ctx context.Context, url string, b Batch) ([]Score, error)
}

// Request asks for the score of one sample.
type Request struct {
	URL    string // base URL of the scoring service
	Sample Sample
	// OnScore receives the score on the scorer duty's goroutine. It must not block.
	OnScore func(Score)
	// OnFailure receives the reason when the sample is not queued. It must not block.
	OnFailure func(*core.Error)
}

type batchResult struct {
	url    string
	batch  Batch
	scores []Score
	err    error
}

// serviceState is the queue and the retry state of one scoring service.
type serviceState struct {
	queued       []SampleID // not in a batch yet
	unscored     map[SampleID]Request
	inFlight     int
	isTimerSet   bool // a timer for the next batch is running
	retryBackoff *backoff.ExponentialBackOff
}

// Scorer is the duty that sends samples to scoring services.
type Scorer struct {
	loop         *duty.Loop
	client       Client
	pool         *duty.Pool
	requests     *ring.Ring[Request]
	batchResults *ring.Ring[batchResult]
	services     map[string]*serviceState

	batchesSent    uint64
	batchesRetried uint64
	unknownSamples uint64
}

// Counters are totals since the start of the duty.
type Counters struct {
	BatchesSent    uint64 // including retries
	Retried        uint64 // batches sent again after a failure
	UnknownSamples uint64 // ignored scores, for samples that were not waiting for one
}

// New returns the scorer duty, which runs blocking calls of client on the pool.
func New(clock duty.Clock, client Client, pool *duty.Pool) *Scorer {
	s := &Scorer{
		loop:         duty.New("scorer", clock),
		client:       client,
		pool:         pool,
		requests:     ring.New[Request]("scorer.requests", ringCapacity),
		batchResults: ring.New[batchResult]("scorer.ends", ringCapacity),
		services:     map[string]*serviceState{},
	}
	duty.On(s.loop, s.batchResults, s.handleBatchResult)
	duty.On(s.loop, s.requests, s.handleRequest)
	return s
}

// Loop returns the duty's loop.
func (s *Scorer) Loop() *duty.Loop { return s.loop }

// Submit queues the request and reports false when the ring is full. OnFailure
// is not called in that case.
func (s *Scorer) Submit(r Request) bool { return s.requests.TryPut(r) }

// Counters returns the current totals. It is not synchronized: only callbacks of
// the duty and tests that step the loop may call it.
func (s *Scorer) Counters() Counters {
	return Counters{BatchesSent: s.batchesSent, Retried: s.batchesRetried, UnknownSamples: s.unknownSamples}
}

func (s *Scorer) handleRequest(r Request) {
	target := s.serviceAt(r.URL)
	if _, known := target.unscored[r.Sample.ID]; known {
		r.OnFailure(core.NotRunError(core.CodeConflict, "sample %s is already waiting for its score", r.Sample.ID))
		return
	}
	if len(target.unscored) >= MaxWaitingSamples {
		r.OnFailure(core.NotRunError(core.CodeOverloaded, "%d samples wait for the scoring service %s", len(target.unscored), r.URL))
		return
	}
	target.unscored[r.Sample.ID] = r
	target.queued = append(target.queued, r.Sample.ID)
	if len(target.queued) >= MaxBatchSamples {
		s.sendQueued(r.URL)
		return
	}
	s.scheduleNext(r.URL, batchDelay)
}

func (s *Scorer) serviceAt(url string) *serviceState {
	target := s.services[url]
	if target != nil {
		return target
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	target = &serviceState{unscored: map[SampleID]Request{}, retryBackoff: retry}
	s.services[url] = target
	return target
}

// scheduleNext sends the next batch after d, unless a timer is running already.
func (s *Scorer) scheduleNext(url string, d time.Duration) {
	target := s.serviceAt(url)
	if target.isTimerSet {
		return
	}
	target.isTimerSet = true
	s.loop.After(d, func() {
		target.isTimerSet = false
		s.sendQueued(url)
	})
}

// sendQueued sends the queued samples in batches until maxBatchesInFlight is
// reached.
func (s *Scorer) sendQueued(url string) {
	target := s.serviceAt(url)
	for len(target.queued) > 0 && target.inFlight < maxBatchesInFlight {
		batch := target.dequeueBatch()
		if !s.startBatch(url, batch) {
			target.requeueBatch(batch)
			s.scheduleNext(url, minRetryDelay)
			return
		}
	}
}

func (t *serviceState) dequeueBatch() Batch {
	n := min(len(t.queued), MaxBatchSamples)
	batch := Batch{ID: uuid.NewString(), Samples: make([]Sample, 0, n)}
	for _, id := range t.queued[:n] {
		batch.Samples = append(batch.Samples, t.unscored[id].Sample)
	}
	t.queued = t.queued[n:]
	return batch
}

func (t *serviceState) requeueBatch(b Batch) {
	ids := make([]SampleID, 0, len(b.Samples)+len(t.queued))
	for _, sample := range b.Samples {
		ids = append(ids, sample.ID)
	}
	t.queued = append(ids, t.queued...)
}

func (s *Scorer) startBatch(url string, b Batch) bool {
	started := s.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), scoreTimeout)
		defer cancel()
		scores, err := s.client.Score(ctx, url, b)
		s.batchResults.TryPut(batchResult{url: url, batch: b, scores: scores, err: err})
	})
	if started {
		s.batchesSent++
		s.serviceAt(url).inFlight++
	}
	return started
}

func (s *Scorer) handleBatchResult(result batchResult) {
	target := s.serviceAt(result.url)
	target.inFlight--
	s.deliverScores(target, result.scores)
	remaining := target.withoutScored(result.batch)
	if len(remaining.Samples) == 0 {
		target.retryBackoff.Reset()
		s.sendQueued(result.url)
		return
	}
	s.scheduleRetry(result.url, remaining)
}

// deliverScores passes each unscored sample its score. Scores for other samples
// are counted and ignored.
func (s *Scorer) deliverScores(target *serviceState, scores []Score) {
	for _, score := range scores {
		r, isUnscored := target.unscored[score.ID]
		if !isUnscored {
			s.unknownSamples++
			continue
		}
		delete(target.unscored, score.ID)
		r.OnScore(score)
	}
}

// withoutScored returns the batch reduced to the samples that have no score yet.
func (t *serviceState) withoutScored(b Batch) Batch {
	remaining := Batch{ID: b.ID}
	for _, sample := range b.Samples {
		if _, isUnscored := t.unscored[sample.ID]; isUnscored {
			remaining.Samples = append(remaining.Samples, sample)
		}
	}
	return remaining
}

// scheduleRetry resends the unscored samples of a batch after an exponential
// backoff.
func (s *Scorer) scheduleRetry(url string, b Batch) {
	target := s.serviceAt(url)
	target.inFlight++ // a batch that waits for its retry still counts as in flight
	s.loop.After(target.retryBackoff.NextBackOff(), func() {
		target.inFlight--
		remaining := target.withoutScored(b)
		if len(remaining.Samples) == 0 {
			s.sendQueued(url)
			return
		}
		s.batchesRetried++
		if !s.startBatch(url, remaining) {
			s.scheduleRetry(url, remaining)
		}
	})
}
