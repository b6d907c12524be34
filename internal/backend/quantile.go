package backend

import "time"

const (
	// hedgeQuantile is the quantile of the durations after which an attempt is
	// overdue.
	hedgeQuantile = 0.95
	// quantileStep is the relative step of the estimate. The estimate follows a
	// tenfold increase within 50 attempts above it.
	quantileStep = 0.05
	// minQuantileSamples is the number of attempts after which the estimate is
	// used.
	minQuantileSamples = 20
	// minHedgeDelay keeps timers above the resolution of the clock.
	minHedgeDelay = time.Millisecond
)

// quantile estimates hedgeQuantile of a stream of durations in constant memory,
// from whether each one was above the estimate. A histogram needs the values
// themselves, and for a cancelled attempt only a lower bound is known.
type quantile struct {
	seconds float64
	samples int
}

// observe adds a duration. The first minQuantileSamples durations set the
// estimate to their maximum.
func (q *quantile) observe(d time.Duration) {
	if q.samples < minQuantileSamples {
		q.samples++
		q.seconds = max(q.seconds, d.Seconds())
		return
	}
	q.adjust(d.Seconds() > q.seconds)
}

// adjust adds a duration of which it is only known whether it was above the
// estimate.
func (q *quantile) adjust(isAbove bool) {
	if isAbove {
		q.seconds *= 1 + quantileStep*hedgeQuantile
	} else {
		q.seconds *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// estimate returns the quantile; ok is false until minQuantileSamples durations
// were observed.
func (q *quantile) estimate() (d time.Duration, ok bool) {
	if q.samples < minQuantileSamples {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(q.seconds*float64(time.Second))), true
}
