package backend

import (
	"sync/atomic"
	"time"
)

const (
	// slowPace is how many times longer than usual the events of a stream may
	// take before it goes on at another server.
	slowPace = 2
	// pacedEvents is how many events the pace of a stream is taken from at least.
	pacedEvents = 4
	// paceWeight is the weight of a stream in the usual pace.
	paceWeight = 0.05
	// movableDepth is the work per slot of an engine below which it has room for
	// a stream from a slow one.
	movableDepth = 0.75
	// movableSlowness is the slowness of a host up to which its engine may take
	// such a stream.
	movableSlowness = 1.3
	// maxMoves bounds the servers that a run of an item leaves for their pace.
	maxMoves = 2
)

// pace is what streams of one service are compared with. The dispatch duty
// writes it and the workers that read streams use it.
type pace struct {
	usual time.Duration // per event; 0 if it is not known
	limit atomic.Int64  // nanoseconds per event beyond which a stream moves; 0 is none
}

// observe takes a whole stream.
func (p *pace) observe(events int, took time.Duration) {
	if events < pacedEvents {
		return
	}
	per := took / time.Duration(events)
	if p.usual == 0 {
		p.usual = per
		return
	}
	p.usual += time.Duration(paceWeight * float64(per-p.usual))
}

// allow sets whether streams may move: there is room for them elsewhere.
func (p *pace) allow(room bool) {
	limit := int64(0)
	if room {
		limit = int64(slowPace * p.usual)
	}
	p.limit.Store(limit)
}

// isTooSlow reports whether a stream should go on elsewhere. took is the time
// between its first and its last event so far.
func (p *pace) isTooSlow(events int, took time.Duration) bool {
	limit := p.limit.Load()
	return limit > 0 && events >= pacedEvents && int64(took)/int64(events-1) > limit
}

// hasRoomToMove reports whether an engine of the group can take a stream from a
// slow one.
func (g *serviceGroup) hasRoomToMove(now time.Time) bool {
	for _, c := range g.members {
		if c.use.outUntil.IsZero() && !c.Server.Unreachable && c.depth() < movableDepth && c.slowness(now) <= movableSlowness {
			return true
		}
	}
	return false
}
