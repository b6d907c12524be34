package backend

import (
	"slices"
	"time"
)

// Rules of outlier ejection and of the return to use.
const (
	// slowFactor is the multiple of the median service time above which a
	// server is ejected.
	slowFactor = 3
	// slowSamples is the number of attempts that show a server to be slow.
	slowSamples = 3
	// overdueInRow ejects a server whose last attempts were all overdue. One
	// in 20 attempts is, so a healthy server meets four in a row once in
	// 160,000.
	overdueInRow = 4
	// overdueOnReturn is the same for a server that was ejected just before.
	overdueOnReturn = 2
	// failuresInRow ejects a server by failures.
	failuresInRow = 5
	// failuresOnReturn is the same for a server that was ejected just before.
	failuresOnReturn = 2

	// overdueDivisor: a server gets no work while more than one in this many of
	// its attempts in progress is overdue. In a healthy server about 1 in 30 is.
	overdueDivisor = 4
	// holdFactor times the p95 is how long a server gets no work after two
	// overdue attempts in a row; each further one doubles it.
	holdFactor = 4
	maxHold    = time.Second

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectionForgetTime in use takes one ejection off a server's record.
	ejectionForgetTime = 30 * time.Second
	// slowStart is the time in which the share of a server that is new or back
	// from a fault grows from firstWeight to 1.
	slowStart   = 5 * time.Second
	firstWeight = 0.1
	// minInUse is the share of a service's servers in a data centre that stay
	// in use.
	minInUse = 0.5
)

// use is the state of ejection, holds and slow start of one server: whether it
// gets work, and which share.
type use struct {
	outUntil   time.Time // zero when it is not ejected
	rampFrom   time.Time // start of its slow start; zero when it is over
	changed    time.Time // of the last ejection, or of the last one forgiven
	ejections  int       // recent ones; each doubles the next
	overdueRow int       // overdue attempts in a row
	overdueNow int       // overdue attempts in progress
	holdUntil  time.Time // until when it gets no work after overdue attempts in a row
	failureRow int       // failed attempts in a row
}

// weight is the share of its normal work that the server gets.
func (u *use) weight(now time.Time) float64 {
	if u.rampFrom.IsZero() {
		return 1
	}
	elapsed := now.Sub(u.rampFrom)
	return firstWeight + (1-firstWeight)*min(1, elapsed.Seconds()/slowStart.Seconds())
}

// countOverdue counts an overdue attempt. A server that is slow for a moment is
// left out before there is enough evidence to eject it: one that gets few
// requests of this daemon would need a whole second to collect it.
func (u *use) countOverdue(now time.Time, p95 time.Duration) {
	u.overdueRow++
	if u.overdueRow >= 2 {
		u.holdUntil = now.Add(min(maxHold, p95*holdFactor<<min(u.overdueRow-2, 10)))
	}
}

// restart begins a slow start.
func (u *use) restart(now time.Time) {
	u.rampFrom = now
	u.overdueRow, u.failureRow = 0, 0
}

// isOnTrial reports whether the server came back from an ejection just before.
func (u *use) isOnTrial() bool { return !u.rampFrom.IsZero() && u.ejections > 0 }

// serviceGroup holds the servers of one service, in all data centres, that are
// not leaving. Ejection compares a server with its group.
type serviceGroup struct {
	members []*Candidate
	factors []float64 // scratch space
	median  float64   // of the members' speed factors
	depth   float64   // mean work per slot of the members in use
}

// refresh recalculates the figures of the group and lets servers return.
func (g *serviceGroup) refresh(now time.Time) {
	g.factors = g.factors[:0]
	depth, inUse := 0.0, 0
	for _, c := range g.members {
		c.use.advance(c, g, now)
		if c.speed.samples > 0 {
			g.factors = append(g.factors, c.speed.factor)
		}
		if c.use.outUntil.IsZero() {
			depth += c.depth()
			inUse++
		}
	}
	g.depth = depth / float64(max(1, inUse))
	g.median = 1
	if len(g.factors) > 0 {
		slices.Sort(g.factors)
		// The lower median holds with half of the servers slowed.
		g.median = g.factors[(len(g.factors)-1)/2]
	}
}

// advance ends the phases of a server's use that are over.
func (u *use) advance(c *Candidate, g *serviceGroup, now time.Time) {
	switch {
	case !u.outUntil.IsZero() && !now.Before(u.outUntil):
		u.outUntil = time.Time{}
		u.restart(now)
		c.speed = serverSpeed{factor: g.median}
	case !u.rampFrom.IsZero() && now.Sub(u.rampFrom) >= slowStart:
		u.rampFrom = time.Time{}
	case u.ejections > 0 && u.outUntil.IsZero() && now.Sub(u.changed) >= ejectionForgetTime:
		u.ejections--
		u.changed = now
	}
}

// isOutlier reports whether the server is much slower than its group or fails.
func (g *serviceGroup) isOutlier(c *Candidate) bool {
	samples, overdue, failures := slowSamples, overdueInRow, failuresInRow
	if c.use.isOnTrial() {
		samples, overdue, failures = 1, overdueOnReturn, failuresOnReturn
	}
	slow := c.speed.samples >= samples && c.speed.factor > slowFactor*g.median
	return slow || c.use.overdueRow >= overdue || c.use.failureRow >= failures
}

// judge ejects the server if it is an outlier and enough others stay in use.
func (g *serviceGroup) judge(c *Candidate, accepts func(*Candidate, time.Time) bool, now time.Time) {
	if !c.use.outUntil.IsZero() || !g.isOutlier(c) || !g.canSpare(c, accepts, now) {
		return
	}
	length := min(maxEjection, firstEjection<<min(c.use.ejections, 10))
	c.use.ejections++
	c.use.outUntil, c.use.changed, c.use.rampFrom = now.Add(length), now, time.Time{}
}

// canSpare reports whether the floor of the server's data centre holds without
// it. Servers elsewhere do not count: they may be cut off or have no room for
// the work of a whole data centre. Servers that crashed or cannot be reached do
// not count as in use.
func (g *serviceGroup) canSpare(without *Candidate, accepts func(*Candidate, time.Time) bool, now time.Time) bool {
	members, inUse := 0, 0
	for _, c := range g.members {
		if c.Server.DataCentre != without.Server.DataCentre {
			continue
		}
		members++
		if c != without && c.use.outUntil.IsZero() && !c.Server.Unreachable && accepts(c, now) {
			inUse++
		}
	}
	return float64(inUse) >= minInUse*float64(members)
}
