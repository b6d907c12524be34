package backend

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// slowPaceFactor is the multiple of the mean time per event above which a
	// stream continues on another server.
	slowPaceFactor = 2
	// minPaceEvents is the minimum number of events from which the pace of a
	// stream is calculated.
	minPaceEvents = 4
	// paceWeight is the weight of one stream in the moving average of the time
	// per event.
	paceWeight = 0.05
	// maxMoveTargetDepth is the work per slot of an engine below which it can
	// take over a stream from a slow engine.
	maxMoveTargetDepth = 0.75
	// maxMoveTargetSlowdown is the slowdown factor of a host up to which its
	// engine can take over such a stream.
	maxMoveTargetSlowdown = 1.3
	// maxPaceMoves bounds how often one run of an item moves to another server
	// because of its pace.
	maxPaceMoves = 2
)

// paceKey identifies the servers whose streams have a common pace: a stream moves only
// between servers of one software version.
type paceKey struct {
	service  string
	software core.SoftwareVersion
}

// streamPace is the usual pace of the streams of one paceKey. The dispatch duty
// writes it, and the pool goroutines that read streams read the limit.
type streamPace struct {
	meanPerEvent time.Duration // 0 if unknown
	limitNanos   atomic.Int64  // nanoseconds per event above which a stream moves; 0 disables moves
}

// observe adds a complete stream to the moving average.
func (p *streamPace) observe(events int, took time.Duration) {
	if events < minPaceEvents {
		return
	}
	perEvent := took / time.Duration(events)
	if p.meanPerEvent == 0 {
		p.meanPerEvent = perEvent
		return
	}
	p.meanPerEvent += time.Duration(paceWeight * float64(perEvent-p.meanPerEvent))
}

// setMoveAllowed sets whether streams may move, which requires an engine with
// room for them.
func (p *streamPace) setMoveAllowed(allowed bool) {
	limit := int64(0)
	if allowed {
		limit = int64(slowPaceFactor * p.meanPerEvent)
	}
	p.limitNanos.Store(limit)
}

// isTooSlow reports whether a stream should continue on another server. took is
// the time between its first and its last event so far.
func (p *streamPace) isTooSlow(events int, took time.Duration) bool {
	limit := p.limitNanos.Load()
	return limit > 0 && events >= minPaceEvents && int64(took)/int64(events-1) > limit
}

// runs reports whether a server of the group runs the software version. A nil group has
// no servers.
func (g *serviceGroup) runs(software core.SoftwareVersion) bool {
	return g != nil && slices.ContainsFunc(g.members, func(c *Candidate) bool { return c.Server.Description.Software == software })
}

// hasMoveTarget reports whether an engine of the software version can take over a
// stream from a slow engine.
func (g *serviceGroup) hasMoveTarget(software core.SoftwareVersion, now time.Time) bool {
	for _, c := range g.members {
		if c.Server.Description.Software != software {
			continue
		}
		if c.ejection.ejectedUntil.IsZero() && !c.Server.Unreachable && c.depth() < maxMoveTargetDepth && c.slowdownFactor(now) <= maxMoveTargetSlowdown {
			return true
		}
	}
	return false
}
