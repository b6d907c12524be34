package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// choose returns the server for the next attempt. With none it returns what no
// server has, or "" when servers with all of it exist and one is to be waited for.
func (d *Dispatch) choose(s *callState) (chosen *Candidate, missing string) {
	r := s.call.Request
	d.eligible = append(d.eligible[:0], d.order...)
	for _, f := range d.filters {
		if d.keep(r, f); len(d.eligible) == 0 {
			return nil, f.Reason()
		}
	}
	for _, f := range d.guards {
		if d.keep(r, f); len(d.eligible) == 0 {
			return nil, ""
		}
	}
	d.eligible = preferUntried(d.eligible, s.tried)
	return d.eligible[d.picker.Pick(r, d.eligible, d.scorer)], ""
}

// keep drops the eligible servers that the filter does not keep.
func (d *Dispatch) keep(r *core.Request, f Filter) {
	kept := d.eligible[:0]
	for _, c := range d.eligible {
		if f.Keep(r, c) {
			kept = append(kept, c)
		}
	}
	d.eligible = kept
}

// waitForServer lets the call wait until a server takes work again, or, for a
// suspect, until another one has ended.
func (d *Dispatch) waitForServer(s *callState) {
	var earliest time.Time
	for _, c := range d.order {
		at := d.health.acceptsAt(c.Server.ID)
		if at.IsZero() || !d.isCapable(s.call.Request, c) {
			continue
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	if earliest.IsZero() || d.health.suspects.IsSuspected(s.call.Request.Fingerprint, d.loop.Clock().Now()) {
		d.park(s)
		return
	}
	d.pause(s, earliest.Sub(d.loop.Clock().Now()))
}

func (d *Dispatch) isCapable(r *core.Request, c *Candidate) bool {
	for _, f := range d.filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

// preferUntried drops the servers that were tried, unless all were.
func preferUntried(candidates []*Candidate, tried map[core.ServerID]bool) []*Candidate {
	if len(tried) == 0 {
		return candidates
	}
	untried := make([]*Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !tried[c.Server.ID] {
			untried = append(untried, c)
		}
	}
	if len(untried) == 0 {
		return candidates
	}
	return untried
}
