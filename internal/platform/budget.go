package platform

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Default shares of one daemon. Nine daemons, the most that a customer has
// today, stay below 2,000 reads and 300 writes per second together.
const (
	DefaultReadsPerSecond  = 200.0
	DefaultWritesPerSecond = 30.0
	// burstSeconds is how many seconds of an unused rate may be made up for at once.
	burstSeconds = 2.0
	// urgentShare is the part of a burst that only lease operations may use.
	urgentShare = 0.125
)

// BudgetOptions sets the rates of a Budget. Zero values take the defaults.
type BudgetOptions struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReservedWatches is the number of watches that may wait at once. The
	// platform counts each as a call, so it is taken off ReadsPerSecond.
	ReservedWatches int
}

// Budget limits the calls of one daemon to the platform, reads and writes
// apart. The store, watch and host list duties share it; the limiters of the
// library are safe for concurrent use.
type Budget struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewBudget returns a budget with the rates of o.
func NewBudget(o BudgetOptions) *Budget {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	// At least one read per second is left, so that the daemon is never cut off
	// by its own settings.
	reads := max(1, o.ReadsPerSecond-float64(o.ReservedWatches))
	return &Budget{reads: newLimiter(reads), writes: newLimiter(o.WritesPerSecond)}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// TakeRead takes one read. A result above zero means that nothing was taken
// and is the time until it is worth asking again.
func (b *Budget) TakeRead(now time.Time) time.Duration { return take(b.reads, now, true) }

// take leaves the urgent share of the burst to urgent callers.
func take(l *rate.Limiter, now time.Time, urgent bool) time.Duration {
	need := 1.0
	if !urgent {
		need += math.Floor(urgentShare * float64(l.Burst()))
	}
	have := l.TokensAt(now)
	if have >= need && l.AllowN(now, 1) {
		return 0
	}
	missing := math.Max(need-have, 0)
	wait := time.Duration(missing / float64(l.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}
