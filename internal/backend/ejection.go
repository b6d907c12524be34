package backend

import (
	"slices"
	"time"
)

// Parameters of outlier ejection and recovery.
const (
	// slowServerFactor is the multiple of the median service time above which a
	// server is ejected.
	slowServerFactor = 3
	// minSlowSamples is the number of attempts needed to classify a server as
	// slow.
	minSlowSamples = 3
	// consecutiveOverdueLimit ejects a server after this many consecutive
	// overdue attempts. One in 20 attempts is overdue, so four in a row occur
	// on a healthy server once in 160,000.
	consecutiveOverdueLimit = 4
	// recoveringOverdueLimit is the same limit for a server in slow start after
	// an ejection.
	recoveringOverdueLimit = 2
	// consecutiveFailureLimit ejects a server after this many consecutive
	// failures.
	consecutiveFailureLimit = 5
	// recoveringFailureLimit is the same limit for a server in slow start after
	// an ejection.
	recoveringFailureLimit = 2

	// overdueShareDivisor excludes a server from new requests while more than
	// one in this many of its attempts in progress is overdue. On a healthy
	// server about 1 in 30 is overdue.
	overdueShareDivisor = 4
	// overdueBackoffFactor times the p95 is the backoff after two consecutive
	// overdue attempts; each further one doubles it.
	overdueBackoffFactor = 4
	maxOverdueBackoff    = time.Second

	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// ejectionDecayPeriod is the time without ejection after which one ejection
	// is removed from a server's count.
	ejectionDecayPeriod = 30 * time.Second
	// slowStartPeriod is the time in which the share of a new or recovered
	// server grows from minSlowStartWeight to 1.
	slowStartPeriod    = 5 * time.Second
	minSlowStartWeight = 0.1
	// minActiveShare is the share of a service's servers in a data centre that
	// must not be ejected.
	minActiveShare = 0.5
)

// ejectionState holds the ejection, backoff and slow start of one server. It
// determines whether the server receives requests and which share of them.
type ejectionState struct {
	ejectedUntil        time.Time // zero when the server is not ejected
	slowStartAt         time.Time // start of the slow start; zero outside a slow start
	ejectionsChangedAt  time.Time // time of the last ejection or of the last decay of the count
	ejections           int       // recent ejections; each doubles the duration of the next
	consecutiveOverdue  int       // consecutive overdue attempts
	overdueInFlight     int       // overdue attempts in progress
	overdueBackoffUntil time.Time // end of the backoff after consecutive overdue attempts
	consecutiveFailures int       // consecutive failed attempts
}

// slowStartWeight returns the share of its normal requests that the server
// receives, between minSlowStartWeight and 1.
func (e *ejectionState) slowStartWeight(now time.Time) float64 {
	if e.slowStartAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(e.slowStartAt)
	return minSlowStartWeight + (1-minSlowStartWeight)*min(1, elapsed.Seconds()/slowStartPeriod.Seconds())
}

// recordOverdue counts an overdue attempt and starts a backoff after two in a
// row. The backoff covers servers that are slow for a moment, before there is
// enough evidence for an ejection: a server that receives few requests of this
// daemon would need a whole second to collect it.
func (e *ejectionState) recordOverdue(now time.Time, p95 time.Duration) {
	e.consecutiveOverdue++
	if e.consecutiveOverdue >= 2 {
		e.overdueBackoffUntil = now.Add(min(maxOverdueBackoff, p95*overdueBackoffFactor<<min(e.consecutiveOverdue-2, 10)))
	}
}

func (e *ejectionState) beginSlowStart(now time.Time) {
	e.slowStartAt = now
	e.consecutiveOverdue, e.consecutiveFailures = 0, 0
}

// isRecovering reports whether the server is in slow start after an ejection.
func (e *ejectionState) isRecovering() bool { return !e.slowStartAt.IsZero() && e.ejections > 0 }

// serviceGroup holds the servers of one service in all data centres that are
// not leaving. Outlier detection compares a server with its group.
type serviceGroup struct {
	members      []*Candidate
	factors      []float64 // reused buffer
	medianFactor float64   // median relative service time of the members
	meanDepth    float64   // mean work per slot of the members that are not ejected
}

// refresh recalculates the statistics of the group and ends ejections that are
// over.
func (g *serviceGroup) refresh(now time.Time) {
	g.factors = g.factors[:0]
	depth, active := 0.0, 0
	for _, c := range g.members {
		c.ejection.advancePhase(c, g, now)
		if c.relativeTime.samples > 0 {
			g.factors = append(g.factors, c.relativeTime.factor)
		}
		if c.ejection.ejectedUntil.IsZero() {
			depth += c.depth()
			active++
		}
	}
	g.meanDepth = depth / float64(max(1, active))
	g.medianFactor = 1
	if len(g.factors) > 0 {
		slices.Sort(g.factors)
		// The lower median is not affected when half of the servers are slow.
		g.medianFactor = g.factors[(len(g.factors)-1)/2]
	}
}

// advancePhase ends an ejection or a slow start that is over, and lets the
// ejection count decay.
func (e *ejectionState) advancePhase(c *Candidate, g *serviceGroup, now time.Time) {
	switch {
	case !e.ejectedUntil.IsZero() && !now.Before(e.ejectedUntil):
		e.ejectedUntil = time.Time{}
		e.beginSlowStart(now)
		c.relativeTime = relativeServiceTime{factor: g.medianFactor}
	case !e.slowStartAt.IsZero() && now.Sub(e.slowStartAt) >= slowStartPeriod:
		e.slowStartAt = time.Time{}
	case e.ejections > 0 && e.ejectedUntil.IsZero() && now.Sub(e.ejectionsChangedAt) >= ejectionDecayPeriod:
		e.ejections--
		e.ejectionsChangedAt = now
	}
}

// isOutlier reports whether the server is much slower than its group or fails
// repeatedly.
func (g *serviceGroup) isOutlier(c *Candidate) bool {
	samples, overdue, failures := minSlowSamples, consecutiveOverdueLimit, consecutiveFailureLimit
	if c.ejection.isRecovering() {
		samples, overdue, failures = 1, recoveringOverdueLimit, recoveringFailureLimit
	}
	isSlow := c.relativeTime.samples >= samples && c.relativeTime.factor > slowServerFactor*g.medianFactor
	return isSlow || c.ejection.consecutiveOverdue >= overdue || c.ejection.consecutiveFailures >= failures
}

// ejectIfOutlier ejects the server if it is an outlier and enough other servers
// remain active.
func (g *serviceGroup) ejectIfOutlier(c *Candidate, isAvailable func(*Candidate, time.Time) bool, now time.Time) {
	if !c.ejection.ejectedUntil.IsZero() || !g.isOutlier(c) || !g.mayEject(c, isAvailable, now) {
		return
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(c.ejection.ejections, 10))
	c.ejection.ejections++
	c.ejection.ejectedUntil, c.ejection.ejectionsChangedAt, c.ejection.slowStartAt = now.Add(duration), now, time.Time{}
}

// mayEject reports whether the data centre of the server keeps its minimum
// share of active servers without it. Servers of other data centres do not
// count: they may be unreachable or may not have the capacity for the requests
// of a whole data centre. Crashed and unreachable servers do not count as
// active.
func (g *serviceGroup) mayEject(ejected *Candidate, isAvailable func(*Candidate, time.Time) bool, now time.Time) bool {
	members, active := 0, 0
	for _, c := range g.members {
		if c.Server.DataCentre != ejected.Server.DataCentre {
			continue
		}
		members++
		if c != ejected && c.ejection.ejectedUntil.IsZero() && !c.Server.Unreachable && isAvailable(c, now) {
			active++
		}
	}
	return float64(active) >= minActiveShare*float64(members)
}
