package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Candidate is a backend server with the routing state that this daemon keeps
// for it.
type Candidate struct {
	Server        Server
	Outstanding   int // attempts of this daemon in progress
	indexPosition int // in the class index, if the server is listed there
	load          serverLoad
	rate          rateLimitState
	relativeTime  relativeServiceTime
	ejection      ejectionState
	tableVersion  uint64 // version of the last table update that listed the server
	// entry is the right to rely on the server's entry; nil if it needs none.
	entry *core.Lease
}

// hasRoomFor reports whether a request of the class may be sent to the server now.
// Work that no user waits for waits in the daemon rather than in the server's queue,
// where it would delay users. A server without work of this daemon always has room,
// because the estimate of other daemons' work may be stale.
func (c *Candidate) hasRoomFor(class core.Class, now time.Time) bool {
	switch {
	case c.Outstanding == 0:
		return true
	case class == core.ClassRollout:
		// A slow engine gets fewer items, because a step waits for its last item.
		return c.depth()*c.slowdownFactor(now) < maxRolloutDepth
	case class == core.ClassBackground:
		return c.depth() < maxBackgroundDepth
	default:
		return true
	}
}
