package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// choose returns the server for the next attempt. With none it returns what no
// server has, or "" when servers with all of it exist and one is to be waited for.
func (d *Dispatcher) choose(s *callState) (chosen *Candidate, missing string) {
	return d.router.pick(s.call.Request, s.tried)
}

// waitForServer lets the call wait until a server takes work again, or, for a
// suspect, until another one has ended.
func (d *Dispatcher) waitForServer(s *callState) {
	now := d.loop.Clock().Now()
	var earliest time.Time
	for _, c := range d.order {
		at := d.health.acceptsAt(c.Server.ID, now)
		if at.IsZero() || !d.isCapable(s.call.Request, c) {
			continue
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	if earliest.IsZero() || d.health.suspects.IsSuspected(s.call.Request.Fingerprint, now) {
		d.park(s)
		return
	}
	d.pause(s, earliest.Sub(now))
}

func (d *Dispatcher) isCapable(r *core.Request, c *Candidate) bool {
	for _, f := range d.filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}
