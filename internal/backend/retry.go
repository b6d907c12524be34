package backend

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds of retries.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// retryShare is the share of first attempts that retries may add, so that
	// a failure of every server does not multiply the load.
	retryShare = 0.1
	// retryBurst lets all requests of one crashed server move at once.
	retryBurst = 256
	// retryRefill lets a daemon with little traffic retry at all, in retries
	// per second.
	retryRefill = 2

	firstBackOff  = 10 * time.Millisecond
	maxBackOff    = time.Second
	backOffFactor = 2
	backOffJitter = 0.5
	// overloadedWait is the Retry-After of a refusal for lack of room.
	overloadedWait = time.Second
)

// retryBudget is a token bucket that first attempts fill and retries empty.
type retryBudget struct {
	tokens float64
	filled time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: retryBurst, filled: now}
}

func (b *retryBudget) add(tokens float64) { b.tokens = min(b.tokens+tokens, retryBurst) }

func (b *retryBudget) firstAttempt() { b.add(retryShare) }

// take reports whether another retry is within the budget.
func (b *retryBudget) take(now time.Time) bool {
	b.add(now.Sub(b.filled).Seconds() * retryRefill)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackOff
	b.MaxInterval = maxBackOff
	b.Multiplier = backOffFactor
	b.RandomizationFactor = backOffJitter
	return b
}

func (s *callState) maxAttempts() int {
	if limit := s.call.Request.MaxAttempts; limit > 0 {
		return limit
	}
	return maxAttempts
}

// canRetry reports whether a further attempt does no harm and can help.
func (s *callState) canRetry(e AttemptEnd) bool {
	if s.attempts >= s.maxAttempts() || s.call.Context.Err() != nil {
		return false
	}
	return e.Verdict == core.NotRun || s.call.Request.Repeatable
}

// retry starts the next attempt after a back-off, or ends the call.
func (d *Dispatcher) retry(s *callState, e AttemptEnd) {
	if !s.canRetry(e) {
		d.failWith(s, e)
		return
	}
	if !d.budget.take(d.loop.Clock().Now()) {
		e.Err.RetryAfter = max(e.Err.RetryAfter, overloadedWait)
		d.failWith(s, e)
		return
	}
	if s.backOff == nil {
		s.backOff = newBackOff()
	}
	d.pause(s, s.backOff.NextBackOff())
}
