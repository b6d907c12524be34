package backend

import "time"

const (
	// hedgeQuantile is the quantile after which an attempt counts as overdue.
	hedgeQuantile = 0.95
	// quantileStep is the relative step of the estimate. It follows a change
	// of ten times within 50 attempts above the estimate.
	quantileStep = 0.05
	// quantileSamples is the number of attempts before the estimate is used.
	quantileSamples = 20
	// minHedgeDelay keeps timers from being set for less than they can resolve.
	minHedgeDelay = time.Millisecond
)

// quantile estimates hedgeQuantile of a stream in constant memory, from whether
// each value was above the estimate. A histogram needs the values themselves,
// and for an attempt that was stopped only a lower bound is known.
type quantile struct {
	seconds float64
	samples int
}

// observe takes a value. The first ones raise the estimate to their maximum.
func (q *quantile) observe(d time.Duration) {
	if q.samples < quantileSamples {
		q.samples++
		q.seconds = max(q.seconds, d.Seconds())
		return
	}
	q.move(d.Seconds() > q.seconds)
}

// move takes a value of which only the comparison with the estimate is known.
func (q *quantile) move(above bool) {
	if above {
		q.seconds *= 1 + quantileStep*hedgeQuantile
	} else {
		q.seconds *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// delay returns the estimate; ok is false until enough was seen.
func (q *quantile) delay() (d time.Duration, ok bool) {
	if q.samples < quantileSamples {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(q.seconds*float64(time.Second))), true
}
