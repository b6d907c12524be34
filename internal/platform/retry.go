package platform

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryJitterShare is the random share of a delay. It spreads the retries of daemons
// that lost the store at the same time.
const retryJitterShare = 0.5

// retryDelay returns exponentially growing delays with jitter from the duty's own
// random source. The library's jitter is off, because it uses a shared source
// that cannot be seeded.
type retryDelay struct {
	backOff *backoff.ExponentialBackOff
	random  *rand.Rand
}

func newRetryDelay(minDelay, maxDelay time.Duration, random *rand.Rand) *retryDelay {
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = minDelay
	backOff.MaxInterval = maxDelay
	backOff.Multiplier = 2
	backOff.RandomizationFactor = 0
	backOff.Reset()
	return &retryDelay{backOff: backOff, random: random}
}

// next returns a random delay between half of the current backoff and all of it.
func (r *retryDelay) next() time.Duration {
	delay := r.backOff.NextBackOff()
	return time.Duration(float64(delay) * (1 - retryJitterShare*r.random.Float64()))
}

func (r *retryDelay) reset() { r.backOff.Reset() }

// isOutage reports whether the call failed because the store was down, slow or
// over its rate limit, as opposed to an answer about the object.
func isOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited) || errors.Is(err, ErrUnknownOutcome)
}
