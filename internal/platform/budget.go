package platform

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Default rates of one daemon. Nine daemons, the largest number of a customer
// today, stay below 2,000 reads and 300 writes per second together.
const (
	DefaultReadsPerSecond  = 200.0
	DefaultWritesPerSecond = 30.0
	// burstSeconds is the burst, in seconds of unused rate.
	burstSeconds = 2.0
	// urgentBurstShare is the share of a burst that is reserved for lease operations.
	urgentBurstShare = 0.125
)

// BudgetOptions sets the rates of a Budget. Zero values take the defaults.
type BudgetOptions struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReservedWatches is the number of concurrent watches. The platform counts
	// each waiting watch as a call, so it is subtracted from ReadsPerSecond.
	ReservedWatches int
}

// Budget limits the rates of one daemon's calls to the platform, separately for
// reads and writes. The store, watch and host list duties share it; it is safe for
// concurrent use.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns a budget with at least one read per second.
func NewBudget(o BudgetOptions) *Budget {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	// At least one read per second remains, so that no setting cuts the daemon
	// off from the platform.
	reads := max(1, o.ReadsPerSecond-float64(o.ReservedWatches))
	return &Budget{reads: newLimiter(reads), writes: newLimiter(o.WritesPerSecond)}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// TakeRead takes one read. A result above zero means that none was taken and is
// the time after which to try again.
func (b *Budget) TakeRead(now time.Time) time.Duration { return reserve(b.reads, now, true) }

// reserve takes one call from the limiter and returns 0, or returns the time after
// which to try again. Calls that are not urgent leave the reserved share of the
// burst.
func reserve(l *rate.Limiter, now time.Time, urgent bool) time.Duration {
	required := 1.0
	if !urgent {
		required += math.Floor(urgentBurstShare * float64(l.Burst()))
	}
	available := l.TokensAt(now)
	if available >= required && l.AllowN(now, 1) {
		return 0
	}
	missing := math.Max(required-available, 0)
	wait := time.Duration(missing / float64(l.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}
