package platform

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryJitter is the part of a delay that is random, so that daemons that lost
// the store together do not return together.
const retryJitter = 0.5

// retryDelay yields growing delays with jitter from the duty's own random
// source. The library's jitter is off, because it uses a shared source without
// a seed.
type retryDelay struct {
	steps  *backoff.ExponentialBackOff
	random *rand.Rand
}

func newRetryDelay(first, longest time.Duration, random *rand.Rand) *retryDelay {
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	steps := backoff.NewExponentialBackOff()
	steps.InitialInterval = first
	steps.MaxInterval = longest
	steps.Multiplier = 2
	steps.RandomizationFactor = 0
	steps.Reset()
	return &retryDelay{steps: steps, random: random}
}

// next returns a delay between half of the current step and the whole of it.
func (r *retryDelay) next() time.Duration {
	step := r.steps.NextBackOff()
	return time.Duration(float64(step) * (1 - retryJitter*r.random.Float64()))
}

func (r *retryDelay) reset() { r.steps.Reset() }

// isOutage reports whether the call failed because the store was down, slow or
// over its rate, as opposed to an answer about the object.
func isOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited) || errors.Is(err, ErrUnknownOutcome)
}
