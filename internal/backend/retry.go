package backend

import (
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/berylfall/berylfall/internal/core"
)

// Limits of retries.
const (
	// defaultMaxAttempts bounds the attempts of a request that sets no limit.
	defaultMaxAttempts = 4
	// maxUnreached bounds the attempts of a request that open no connection. They
	// cost the servers nothing and do not count as attempts.
	maxUnreached = 6
	// retryShare is the number of retries that each first attempt adds to the
	// budget, so that a failure of all servers does not multiply the load.
	retryShare = 0.1
	// retryBurst is the capacity of the budget. It lets all requests of one
	// crashed server be retried at once.
	retryBurst = 256
	// retryRefillPerSecond is the number of retries added per second, so that a
	// daemon with little traffic can retry at all.
	retryRefillPerSecond = 2

	initialBackOff = 10 * time.Millisecond
	maxBackOff     = time.Second
	backOffFactor  = 2
	backOffJitter  = 0.5
	// unreachableRetryAfter is the Retry-After of a refusal because no backend
	// server can be reached from this daemon.
	unreachableRetryAfter = 50 * time.Millisecond
	// maxContinuationWait bounds how long a stream that has begun waits for a server
	// that may continue it. Its reader waits for the next event meanwhile.
	maxContinuationWait = 2 * time.Second
	// overloadedRetryAfter is the Retry-After of a refusal for lack of
	// capacity.
	overloadedRetryAfter = time.Second
)

// retryBudget is a token bucket that first attempts fill and retries drain.
type retryBudget struct {
	tokens   float64
	filledAt time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: retryBurst, filledAt: now}
}

func (b *retryBudget) add(tokens float64) { b.tokens = min(b.tokens+tokens, retryBurst) }

func (b *retryBudget) creditFirstAttempt() { b.add(retryShare) }

// tryConsume takes one retry from the budget and reports whether there was one.
func (b *retryBudget) tryConsume(now time.Time) bool {
	b.add(now.Sub(b.filledAt).Seconds() * retryRefillPerSecond)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// notContinuedError returns the error for an answer that no server can continue. format
// contains the software version that began it.
func notContinuedError(p core.Progress, format string) *core.Error {
	return &core.Error{Code: core.CodeNotContinued, Reason: fmt.Sprintf("the stream cannot continue: "+format, p.Software), RetryAfter: overloadedRetryAfter}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackOff
	b.MaxInterval = maxBackOff
	b.Multiplier = backOffFactor
	b.RandomizationFactor = backOffJitter
	return b
}

func (s *callState) maxAttempts() int {
	if limit := s.call.Request.MaxAttempts; limit > 0 {
		return limit
	}
	return defaultMaxAttempts
}

// canRetry reports whether a further attempt is safe and may succeed.
func (s *callState) canRetry(e AttemptEnd) bool {
	if s.attempts-s.unreached >= s.maxAttempts() || s.unreached > maxUnreached || s.call.Context.Err() != nil {
		return false
	}
	return e.Verdict == core.NotRun || s.call.Request.Repeatable
}

// retry schedules the next attempt after a backoff, or ends the call.
func (d *Dispatcher) retry(s *callState, e AttemptEnd) {
	if !s.canRetry(e) {
		d.failWithAttempt(s, e)
		return
	}
	if !d.retryBudget.tryConsume(d.loop.Clock().Now()) {
		e.Err.RetryAfter = max(e.Err.RetryAfter, overloadedRetryAfter)
		d.failWithAttempt(s, e)
		return
	}
	if s.backOff == nil {
		s.backOff = newBackOff()
	}
	d.scheduleAttempt(s, s.backOff.NextBackOff())
}
