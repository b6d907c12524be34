package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// crashHold is the longest time that a crashed server is left out while the
// poller reports no new incarnation of it.
const crashHold = 2 * time.Second

// unreachableHold is how long a server that refuses connections is left out.
// Without it a dead server looks idle and draws the work of a whole poll period.
const unreachableHold = 500 * time.Millisecond

// refusalHold is how long a server that refuses work without naming a time is
// left out. An engine that loads weights refuses for about a second; it looks
// idle meanwhile and would draw every retry.
const refusalHold = 100 * time.Millisecond

// maxRefusalHold bounds the hold, which doubles with each refusal in a row.
const maxRefusalHold = 400 * time.Millisecond

// attemptKey names an attempt among all attempts of this daemon.
type attemptKey struct {
	request core.RequestID
	number  int
}

// flight is an attempt in progress on a server.
type flight struct {
	fingerprint uint64
	incarnation string
	order       uint64 // of the start, among all attempts of this daemon
}

// serverHealth is what attempts have shown about one server.
type serverHealth struct {
	inFlight    map[attemptKey]flight
	incarnation string    // last seen by an attempt or the poller
	polled      string    // last reported by the poller
	crashed     string    // incarnation that crashed last
	holdUntil   time.Time // after a crash
	retryAt     time.Time // asked for by a refusal with Retry-After, or after a failed dial
	refusals    int       // holds in a row after refusals without a time
}

// health is what attempts have shown about the servers. The dispatch duty owns it.
type health struct {
	suspects *SuspectSet
	now      func() time.Time
	servers  map[core.ServerID]*serverHealth
	running  map[uint64]int // attempts in progress, by fingerprint
	starts   uint64
	copies   []attemptKey // further copies of new suspects, which are to be stopped
}

func newHealth(now func() time.Time) *health {
	return &health{suspects: NewSuspectSet(), now: now, servers: map[core.ServerID]*serverHealth{}, running: map[uint64]int{}}
}

func (h *health) server(id core.ServerID) *serverHealth {
	state := h.servers[id]
	if state == nil {
		state = &serverHealth{inFlight: map[attemptKey]flight{}}
		h.servers[id] = state
	}
	return state
}

// polled takes the poller's description of a server.
func (h *health) polled(s Server) {
	state := h.server(s.ID)
	if incarnation := s.Description.Incarnation; incarnation != state.polled {
		state.polled = incarnation
		state.seen(incarnation)
	}
}

// forget drops servers that are gone and have nothing in progress.
func (h *health) forget(isKnown func(core.ServerID) bool) {
	for id, state := range h.servers {
		if len(state.inFlight) == 0 && !isKnown(id) {
			delete(h.servers, id)
		}
	}
}

func (s *serverHealth) seen(incarnation string) {
	if incarnation == "" || incarnation == s.crashed {
		return
	}
	s.incarnation = incarnation
	s.holdUntil = time.Time{}
}

func (h *health) incarnation(s Server) string {
	if known := h.server(s.ID).incarnation; known != "" {
		return known
	}
	return s.Description.Incarnation
}

func (h *health) started(a Attempt, fingerprint uint64) {
	h.running[fingerprint]++
	h.starts++
	h.server(a.Server).inFlight[attemptKey{a.Call.Request.ID, a.Number}] = flight{fingerprint, a.Incarnation, h.starts}
}

// ended takes the end of an attempt and reports whether waiting suspects may
// have room now.
func (h *health) ended(e AttemptEnd) (roomForSuspects bool) {
	now := h.now()
	state := h.server(e.Attempt.Server)
	key := attemptKey{e.Attempt.Call.Request.ID, e.Attempt.Number}
	fingerprint := state.inFlight[key].fingerprint
	if e.Crashed {
		h.crashed(state, e.Attempt.Incarnation, now)
	}
	state.seen(e.Incarnation)
	delete(state.inFlight, key)
	h.running[fingerprint]--
	if h.running[fingerprint] == 0 {
		delete(h.running, fingerprint)
	}
	suspected := h.suspects.IsSuspected(fingerprint, now)
	switch {
	case e.Err == nil:
		state.refusals = 0
		h.suspects.Finished(fingerprint)
	case e.Unreachable:
		state.retryAt = now.Add(unreachableHold)
	case e.Verdict == core.NotRun && e.Err.RetryAfter > 0:
		state.retryAt = now.Add(e.Err.RetryAfter)
	case e.Verdict == core.NotRun && e.Err.Code == core.CodeOverloaded && e.Attempt.Call.Request.IsModelCall():
		state.refused(now)
	}
	return suspected || e.Crashed
}

// refused holds the server. Refusals of requests that were sent before the
// hold began do not lengthen it.
func (s *serverHealth) refused(now time.Time) {
	if now.Before(s.retryAt) {
		return
	}
	s.retryAt = now.Add(min(maxRefusalHold, refusalHold<<min(s.refusals, 8)))
	s.refusals++
}

// crashed counts one crash per incarnation, however many attempts report it.
func (h *health) crashed(state *serverHealth, incarnation string, now time.Time) {
	if incarnation != "" && state.crashed == incarnation {
		return
	}
	state.crashed = incarnation
	state.holdUntil = now.Add(crashHold)
	var inFlight []uint64
	for _, f := range state.inFlight {
		if f.incarnation == incarnation {
			inFlight = append(inFlight, f.fingerprint)
		}
	}
	h.suspects.Crashed(inFlight, now)
	for _, fingerprint := range distinct(inFlight) {
		h.findCopies(fingerprint, state)
	}
}

// findCopies notes the copies of a new suspect on the other servers, but for
// the one that started first: each further copy would crash one more server.
func (h *health) findCopies(fingerprint uint64, crashed *serverHealth) {
	if h.running[fingerprint] <= 1 {
		return
	}
	var kept attemptKey
	var earliest uint64
	for _, state := range h.servers {
		if state == crashed {
			continue
		}
		for key, f := range state.inFlight {
			switch {
			case f.fingerprint != fingerprint:
			case earliest == 0:
				kept, earliest = key, f.order
			case f.order < earliest:
				h.copies = append(h.copies, kept)
				kept, earliest = key, f.order
			default:
				h.copies = append(h.copies, key)
			}
		}
	}
}

// isAccepting reports whether the server is neither crashed nor asked for a wait.
func (h *health) isAccepting(c *Candidate, now time.Time) bool {
	return h.acceptsAt(c.Server.ID, now).IsZero()
}

// acceptsAt returns when the server takes work again; zero is now.
func (h *health) acceptsAt(id core.ServerID, now time.Time) time.Time {
	state := h.servers[id]
	if state == nil {
		return time.Time{}
	}
	at := state.retryAt
	if state.holdUntil.After(at) {
		at = state.holdUntil
	}
	if !at.After(now) {
		return time.Time{}
	}
	return at
}

// mayRunSuspect keeps suspects alone: one run of a suspect at a time, and no
// other suspect beside it on a server. Other requests pass.
func (h *health) mayRunSuspect(r *core.Request, c *Candidate, now time.Time) bool {
	if !h.suspects.IsSuspected(r.Fingerprint, now) {
		return true
	}
	if h.running[r.Fingerprint] > 0 {
		return false
	}
	state := h.servers[c.Server.ID]
	if state == nil {
		return true
	}
	for _, f := range state.inFlight {
		if h.suspects.IsSuspected(f.fingerprint, now) {
			return false
		}
	}
	return true
}
