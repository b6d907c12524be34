package backend

import (
	"math"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// historyStep and historySteps set how far back this daemon knows its own
	// work on a server: 6.4 s, which covers the longest lag that is counted.
	historyStep  = 25 * time.Millisecond
	historySteps = 256
	// maxReportLag bounds the estimated lag of reports. A larger difference
	// between the clocks of server and daemon is taken for a clock error.
	maxReportLag = 5 * time.Second
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 3 * time.Second
	// slownessLife is how long a server's word on its host is used. Hosts are
	// shared and change several times a second, or for some seconds.
	slownessLife = 1500 * time.Millisecond
	// otherWorkLife is how long the counts of other daemons are used.
	otherWorkLife = 6 * time.Second
	// offsetForget raises the smallest delay seen of a server's reports at each
	// report, so that a clock that was set is followed.
	offsetForget = 2 * time.Millisecond
)

// PeerWork is the work that the other daemons have on a server.
type PeerWork struct {
	Server      core.ServerID
	Outstanding int
	Age         time.Duration // since the other daemons counted
}

// ownHistory holds this daemon's own outstanding work at the end of past steps.
type ownHistory struct {
	counts [historySteps]int32
	last   int64 // number of the newest step
}

func stepOf(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

// record notes the outstanding work now; previous was the count until now.
func (h *ownHistory) record(now time.Time, previous, current int) {
	step := stepOf(now)
	for n := max(h.last, step-historySteps); n < step; n++ {
		h.counts[n%historySteps] = int32(previous)
	}
	h.last = max(h.last, step)
	h.counts[h.last%historySteps] = int32(current)
}

// at returns the outstanding work at a past time; current is the count now.
func (h *ownHistory) at(t time.Time, current int) int {
	step := stepOf(t)
	if step >= h.last {
		return current
	}
	step = max(step, h.last-historySteps+1)
	return int(h.counts[step%historySteps])
}

// serverLoad is the load view of one server.
type serverLoad struct {
	own ownHistory

	reportAt  time.Time     // stamp of the last report, by the server's clock
	arrived   time.Time     // of the last report, by this daemon's clock
	offset    time.Duration // smallest arrival minus stamp seen, forgotten slowly
	reported  float64       // work of other daemons in the report
	digest    float64       // work of other daemons by their own counts
	digestAt  time.Time
	others    float64 // work of other daemons as it is estimated now
	hasReport bool
}

// loadView estimates the load of all servers.
type loadView struct {
	lag     time.Duration // estimated lag of reports, common to the servers
	offsets []time.Duration
}

// takeReport takes the newest report of a server.
func (v *loadView) takeReport(c *Candidate, now time.Time) {
	load, l := c.Server.Load, &c.load
	if load.MeasuredAt.IsZero() || load.MeasuredAt.Equal(l.reportAt) {
		return
	}
	arrived := load.ReceivedAt
	if arrived.IsZero() || arrived.After(now) {
		arrived = now
	}
	delay := arrived.Sub(load.MeasuredAt)
	if !l.hasReport || delay < l.offset+offsetForget {
		l.offset = delay
	} else {
		l.offset += offsetForget
	}
	l.hasReport = true
	l.reportAt, l.arrived = load.MeasuredAt, arrived
	measured := arrived.Add(-v.reportLag(delay, l.offset))
	own := l.own.at(measured, c.Outstanding)
	l.reported = float64(max(0, load.Running+load.Waiting-own))
}

// reportLag is the common lag plus what this report took longer than the
// server's fastest one. The difference of the two clocks cancels out.
func (v *loadView) reportLag(delay, offset time.Duration) time.Duration {
	return min(max(0, v.lag+delay-offset), maxReportLag)
}

// estimateLag takes the median of the servers' smallest delays as the common
// lag: a few servers with wrong clocks do not move it. When the median itself
// is impossible, the daemon's own clock is wrong and the lag is unknown.
func (v *loadView) estimateLag(servers []*Candidate) {
	v.offsets = v.offsets[:0]
	for _, c := range servers {
		if c.load.hasReport {
			v.offsets = append(v.offsets, c.load.offset)
		}
	}
	v.lag = 0
	if len(v.offsets) == 0 {
		return
	}
	slices.Sort(v.offsets)
	if median := v.offsets[len(v.offsets)/2]; median > 0 && median <= maxReportLag {
		v.lag = median
	}
}

// refresh estimates the work of other daemons on each server of a service. A
// report loses weight with its age; the rest of the weight goes to the mean of
// the service, since an old report says nothing about this server.
func (v *loadView) refresh(servers []*Candidate, now time.Time) {
	mean, weights := 0.0, 0.0
	for _, c := range servers {
		value, weight := c.load.evidence(now)
		mean += value * weight
		weights += weight
	}
	if weights > 0 {
		mean /= weights
	}
	for _, c := range servers {
		value, weight := c.load.evidence(now)
		c.load.others = weight*value + (1-weight)*mean
	}
}

// evidence combines the report with the digest of the other daemons' counts.
// The fresher of the two counts more; weight is that of the fresher one.
func (l *serverLoad) evidence(now time.Time) (value, weight float64) {
	var report, digest float64
	if l.hasReport {
		report = ageWeight(now.Sub(l.arrived))
	}
	if age := now.Sub(l.digestAt); !l.digestAt.IsZero() && age < otherWorkLife {
		digest = ageWeight(age)
	}
	if report+digest == 0 {
		return 0, 0
	}
	return (report*l.reported + digest*l.digest) / (report + digest), max(report, digest)
}

func ageWeight(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(reportHalfLife))
}

// depth is the estimated work on the server per slot.
func (c *Candidate) depth() float64 {
	return (float64(c.Outstanding) + c.load.others) / float64(max(1, c.Server.Description.Slots))
}

// slowness is how many times longer than usual work takes on the server, as it
// told lately; 1 if it did not.
func (c *Candidate) slowness(now time.Time) float64 {
	l := &c.Server.Load
	if l.SlowdownFactor <= 0 || now.Sub(l.ReceivedAt) > slownessLife {
		return 1
	}
	return l.SlowdownFactor
}
