package backend

import (
	"math"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// historyStep and historySteps set the length of the history of this
	// daemon's own work on a server: 6.4 s, which covers maxReportLag.
	historyStep  = 25 * time.Millisecond
	historySteps = 256
	// maxReportLag bounds the estimated lag of reports. A larger difference
	// between the clocks of server and daemon is treated as a clock error.
	maxReportLag = 5 * time.Second
	// reportHalfLife is the age at which the weight of a report is one half.
	reportHalfLife = 3 * time.Second
	// slowdownFactorTTL is how long the slowdown factor that a server reported
	// is used. Hosts are shared, and their load changes several times a second
	// or lasts some seconds.
	slowdownFactorTTL = 1500 * time.Millisecond
	// peerWorkTTL is how long the counts of other daemons are used.
	peerWorkTTL = 6 * time.Second
	// minDelayIncrease is added to the smallest observed delay of a server's
	// reports with each report, so that the estimate follows a clock
	// adjustment.
	minDelayIncrease = 2 * time.Millisecond
)

// PeerWork is the outstanding work that the other daemons have on a server.
type PeerWork struct {
	Server      core.ServerID
	Outstanding int
	Age         time.Duration // since the other daemons counted
}

// ownHistory records this daemon's outstanding work on a server at the end of
// past steps.
type ownHistory struct {
	counts   [historySteps]int32
	lastStep int64 // number of the newest step
}

func stepOf(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

// record stores the current count; previous is the count that was valid until
// now.
func (h *ownHistory) record(now time.Time, previous, current int) {
	step := stepOf(now)
	for n := max(h.lastStep, step-historySteps); n < step; n++ {
		h.counts[n%historySteps] = int32(previous)
	}
	h.lastStep = max(h.lastStep, step)
	h.counts[h.lastStep%historySteps] = int32(current)
}

// countAt returns the outstanding work at a past time; current is the count
// now.
func (h *ownHistory) countAt(t time.Time, current int) int {
	step := stepOf(t)
	if step >= h.lastStep {
		return current
	}
	step = max(step, h.lastStep-historySteps+1)
	return int(h.counts[step%historySteps])
}

// serverLoad is the estimated load of one server.
type serverLoad struct {
	own ownHistory

	reportMeasuredAt  time.Time     // timestamp of the last report, by the server's clock
	reportReceivedAt  time.Time     // time of receipt of the last report, by this daemon's clock
	minDelay          time.Duration // smallest difference of receipt and timestamp, increased with each report
	reportedPeerWork  float64       // work of other daemons according to the report
	peerWork          float64       // work of other daemons according to their own counts
	peerWorkAt        time.Time
	estimatedPeerWork float64 // current estimate of the work of other daemons
	hasReport         bool
}

// loadView estimates the load of all servers.
type loadView struct {
	lag       time.Duration // estimated lag of reports, common to all servers
	minDelays []time.Duration
}

// applyReport applies the newest report of a server.
func (v *loadView) applyReport(c *Candidate, now time.Time) {
	load, l := c.Server.Load, &c.load
	if load.MeasuredAt.IsZero() || load.MeasuredAt.Equal(l.reportMeasuredAt) {
		return
	}
	receivedAt := load.ReceivedAt
	if receivedAt.IsZero() || receivedAt.After(now) {
		receivedAt = now
	}
	delay := receivedAt.Sub(load.MeasuredAt)
	if !l.hasReport || delay < l.minDelay+minDelayIncrease {
		l.minDelay = delay
	} else {
		l.minDelay += minDelayIncrease
	}
	l.hasReport = true
	l.reportMeasuredAt, l.reportReceivedAt = load.MeasuredAt, receivedAt
	measuredAt := receivedAt.Add(-v.reportLag(delay, l.minDelay))
	own := l.own.countAt(measuredAt, c.Outstanding)
	l.reportedPeerWork = float64(max(0, load.Running+load.Waiting-own))
}

// reportLag returns the common lag plus the excess of this report's delay over
// the server's smallest delay. The difference of the two clocks cancels out.
func (v *loadView) reportLag(delay, minDelay time.Duration) time.Duration {
	return min(max(0, v.lag+delay-minDelay), maxReportLag)
}

// estimateLag uses the median of the servers' smallest delays as the common
// lag, so that a few servers with wrong clocks do not affect it. If the median
// itself is out of range, the daemon's own clock is wrong and the lag is
// unknown.
func (v *loadView) estimateLag(servers []*Candidate) {
	v.minDelays = v.minDelays[:0]
	for _, c := range servers {
		if c.load.hasReport {
			v.minDelays = append(v.minDelays, c.load.minDelay)
		}
	}
	v.lag = 0
	if len(v.minDelays) == 0 {
		return
	}
	slices.Sort(v.minDelays)
	if median := v.minDelays[len(v.minDelays)/2]; median > 0 && median <= maxReportLag {
		v.lag = median
	}
}

// refresh estimates the work of other daemons on each server of a service. The
// weight of a report decays with its age, and the remaining weight goes to the
// mean of the service, because an old report says nothing about its server.
func (v *loadView) refresh(servers []*Candidate, now time.Time) {
	mean, weights := 0.0, 0.0
	for _, c := range servers {
		value, weight := c.load.weightedPeerWork(now)
		mean += value * weight
		weights += weight
	}
	if weights > 0 {
		mean /= weights
	}
	for _, c := range servers {
		value, weight := c.load.weightedPeerWork(now)
		c.load.estimatedPeerWork = weight*value + (1-weight)*mean
	}
}

// weightedPeerWork combines the server's report with the counts of the other
// daemons, each weighted by its freshness. weight is that of the fresher one.
func (l *serverLoad) weightedPeerWork(now time.Time) (value, weight float64) {
	var reportWeight, peerWorkWeight float64
	if l.hasReport {
		reportWeight = ageWeight(now.Sub(l.reportReceivedAt))
	}
	if age := now.Sub(l.peerWorkAt); !l.peerWorkAt.IsZero() && age < peerWorkTTL {
		peerWorkWeight = ageWeight(age)
	}
	if reportWeight+peerWorkWeight == 0 {
		return 0, 0
	}
	return (reportWeight*l.reportedPeerWork + peerWorkWeight*l.peerWork) / (reportWeight + peerWorkWeight), max(reportWeight, peerWorkWeight)
}

func ageWeight(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(reportHalfLife))
}

// depth returns the estimated work on the server per slot.
func (c *Candidate) depth() float64 {
	return (float64(c.Outstanding) + c.load.estimatedPeerWork) / float64(max(1, c.Server.Description.Slots))
}

// slowdownFactor returns how many times longer than usual work takes on the
// server's host according to a recent report; 1 if there is none.
func (c *Candidate) slowdownFactor(now time.Time) float64 {
	l := &c.Server.Load
	if l.SlowdownFactor <= 0 || now.Sub(l.ReceivedAt) > slowdownFactorTTL {
		return 1
	}
	return l.SlowdownFactor
}
