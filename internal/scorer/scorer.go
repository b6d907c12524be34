// Package scorer holds the decisions about scoring services: how samples are
// put into batches, when a batch is sent again, and that a sample takes at most
// one score. The wire encoding is in scorerhttp.
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
	// MaxWaitingSamples bounds the samples that wait for one scoring service.
	MaxWaitingSamples = 65536
	// MaxBatchSamples bounds the samples of one batch.
	MaxBatchSamples = 128
	// batchDelay lets samples that end close together share a batch.
	batchDelay = 20 * time.Millisecond
	// batchesInFlight bounds the batches at one scoring service.
	batchesInFlight = 2
	callTimeout     = 30 * time.Second
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
	ringCapacity    = 4096
)

// SampleID identifies a sample at a scoring service.
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

// Batch is sent to a scoring service. A batch that is sent again keeps its ID,
// so that the service can return the scores it already has.
type Batch struct {
	ID      string
	Samples []Sample
}

// Client sends a batch to the scoring service at the URL. It blocks.
type Client interface {
	Score(ctx context.Context, url string, b Batch) ([]Score, error)
}

// Request asks for the score of one sample.
type Request struct {
	URL    string // base URL of the scoring service
	Sample Sample
	// OnScore takes the score on the scorer duty's goroutine. It must not wait.
	OnScore func(Score)
	// OnFailure takes the reason when the sample was not queued. It must not wait.
	OnFailure func(*core.Error)
}

type batchEnd struct {
	url    string
	batch  Batch
	scores []Score
	err    error
}

// service is the state of one scoring service. A service that is down holds up
// only its own samples.
type service struct {
	waiting  []SampleID // queued, not in a batch
	open     map[SampleID]Request
	inFlight int
	delayed  bool // a timer will start the next batch
	retry    *backoff.ExponentialBackOff
}

// Scorer is the duty that has samples scored.
type Scorer struct {
	loop     *duty.Loop
	client   Client
	pool     *duty.Pool
	requests *ring.Ring[Request]
	ends     *ring.Ring[batchEnd]
	services map[string]*service

	sent     uint64
	repeated uint64
	unknown  uint64
}

// Counters of the duty.
type Counters struct {
	BatchesSent    uint64 // sent, repeats included
	Retried        uint64 // sent again after a failure
	UnknownSamples uint64 // scores for samples that were not open, which are dropped
}

// New returns the scorer duty.
func New(clock duty.Clock, client Client, pool *duty.Pool) *Scorer {
	s := &Scorer{
		loop:     duty.New("scorer", clock),
		client:   client,
		pool:     pool,
		requests: ring.New[Request]("scorer.requests", ringCapacity),
		ends:     ring.New[batchEnd]("scorer.ends", ringCapacity),
		services: map[string]*service{},
	}
	duty.On(s.loop, s.ends, s.handleEnd)
	duty.On(s.loop, s.requests, s.handleRequest)
	return s
}

// Loop returns the duty's loop.
func (s *Scorer) Loop() *duty.Loop { return s.loop }

// Submit queues the request. When it reports false the request was not taken.
func (s *Scorer) Submit(r Request) bool { return s.requests.TryPut(r) }

// Counters returns the counters. Only the duty's own callbacks and tests that
// step the loop may call it.
func (s *Scorer) Counters() Counters {
	return Counters{BatchesSent: s.sent, Retried: s.repeated, UnknownSamples: s.unknown}
}

func (s *Scorer) handleRequest(r Request) {
	target := s.service(r.URL)
	if _, known := target.open[r.Sample.ID]; known {
		r.OnFailure(core.NotRunError(core.CodeConflict, "sample %s waits for its score already", r.Sample.ID))
		return
	}
	if len(target.open) >= MaxWaitingSamples {
		r.OnFailure(core.NotRunError(core.CodeOverloaded, "%d samples wait for the scoring service %s", len(target.open), r.URL))
		return
	}
	target.open[r.Sample.ID] = r
	target.waiting = append(target.waiting, r.Sample.ID)
	if len(target.waiting) >= MaxBatchSamples {
		s.sendNext(r.URL)
		return
	}
	s.delay(r.URL, batchDelay)
}

func (s *Scorer) service(url string) *service {
	target := s.services[url]
	if target != nil {
		return target
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetryDelay
	retry.MaxInterval = maxRetryDelay
	target = &service{open: map[SampleID]Request{}, retry: retry}
	s.services[url] = target
	return target
}

// delay starts the next batch after d, unless a timer is set.
func (s *Scorer) delay(url string, d time.Duration) {
	target := s.service(url)
	if target.delayed {
		return
	}
	target.delayed = true
	s.loop.After(d, func() {
		target.delayed = false
		s.sendNext(url)
	})
}

// sendNext puts waiting samples into a batch, while the service takes batches.
func (s *Scorer) sendNext(url string) {
	target := s.service(url)
	for len(target.waiting) > 0 && target.inFlight < batchesInFlight {
		batch := target.nextBatch()
		if !s.send(url, batch) {
			target.putBack(batch)
			s.delay(url, firstRetryDelay)
			return
		}
	}
}

func (t *service) nextBatch() Batch {
	n := min(len(t.waiting), MaxBatchSamples)
	batch := Batch{ID: uuid.NewString(), Samples: make([]Sample, 0, n)}
	for _, id := range t.waiting[:n] {
		batch.Samples = append(batch.Samples, t.open[id].Sample)
	}
	t.waiting = t.waiting[n:]
	return batch
}

func (t *service) putBack(b Batch) {
	ids := make([]SampleID, 0, len(b.Samples)+len(t.waiting))
	for _, item := range b.Samples {
		ids = append(ids, item.ID)
	}
	t.waiting = append(ids, t.waiting...)
}

func (s *Scorer) send(url string, b Batch) bool {
	started := s.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		scores, err := s.client.Score(ctx, url, b)
		s.ends.TryPut(batchEnd{url: url, batch: b, scores: scores, err: err})
	})
	if started {
		s.sent++
		s.service(url).inFlight++
	}
	return started
}

func (s *Scorer) handleEnd(e batchEnd) {
	target := s.service(e.url)
	target.inFlight--
	s.apply(target, e.scores)
	left := target.remaining(e.batch)
	if len(left.Samples) == 0 {
		target.retry.Reset()
		s.sendNext(e.url)
		return
	}
	s.repeat(e.url, left)
}

// apply gives each open sample its score once; a second score for a sample is dropped.
func (s *Scorer) apply(target *service, scores []Score) {
	for _, score := range scores {
		r, open := target.open[score.ID]
		if !open {
			s.unknown++
			continue
		}
		delete(target.open, score.ID)
		r.OnScore(score)
	}
}

// remaining returns the batch without the samples that have their score.
func (t *service) remaining(b Batch) Batch {
	left := Batch{ID: b.ID}
	for _, item := range b.Samples {
		if _, open := t.open[item.ID]; open {
			left.Samples = append(left.Samples, item)
		}
	}
	return left
}

// repeat sends the rest of a batch again after a pause that grows with each failure.
func (s *Scorer) repeat(url string, b Batch) {
	target := s.service(url)
	target.inFlight++ // the place is kept while the batch waits
	s.loop.After(target.retry.NextBackOff(), func() {
		target.inFlight--
		left := target.remaining(b)
		if len(left.Samples) == 0 {
			s.sendNext(url)
			return
		}
		s.repeated++
		if !s.send(url, left) {
			s.repeat(url, left)
		}
	})
}
