package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// maxCrashBackoff is the longest time that a crashed server receives no
// requests while the poller reports no new incarnation of it.
const maxCrashBackoff = 2 * time.Second

// unreachableBackoff is the time that a server that refuses connections
// receives no requests. Without it a dead server appears idle and attracts
// requests for a whole poll period.
const unreachableBackoff = 500 * time.Millisecond

// baseRefusalBackoff is the first delay before another request is sent to a
// server that refused one without a Retry-After. An engine that loads weights
// refuses requests for about a second and appears idle meanwhile, so it would
// attract every retry.
const baseRefusalBackoff = 100 * time.Millisecond

// maxRefusalBackoff bounds the refusal backoff, which doubles with each
// consecutive refusal.
const maxRefusalBackoff = 400 * time.Millisecond

// attemptKey identifies an attempt among all attempts of this daemon.
type attemptKey struct {
	request core.RequestID
	number  int
}

// inFlightAttempt is an attempt in progress on a server.
type inFlightAttempt struct {
	fingerprint uint64
	isAccepted  bool // a part of an accepted job
	incarnation string
	startOrder  uint64 // position in the order of all attempts that this daemon started
}

// serverHealth is the health of one server as observed through attempts and
// polls.
type serverHealth struct {
	inFlight            map[attemptKey]inFlightAttempt
	incarnation         string    // last observed by an attempt or the poller
	polledIncarnation   string    // last reported by the poller
	crashedIncarnation  string    // incarnation that crashed last
	crashBackoffUntil   time.Time // end of the backoff after a crash
	retryAt             time.Time // end of the backoff after a refusal or a failed dial
	consecutiveRefusals int       // refusal backoffs since the last success, without Retry-After
	isUnreachable       bool      // the last attempt opened no connection
	replacedRun         string    // described run that an attempt found replaced
	replacedUntil       time.Time // end of the backoff after that
}

// health is the observed health of all servers. The dispatch duty owns it.
type health struct {
	suspects             *SuspectSet
	now                  func() time.Time
	servers              map[core.ServerID]*serverHealth
	runningByFingerprint map[uint64]int // attempts in progress, by request fingerprint
	startCount           uint64
	copiesToCancel       []attemptKey  // surplus attempts of new suspects, to be cancelled
	onCrash              func(CrashID) // receives each crash that this daemon saw
}

func newHealth(now func() time.Time) *health {
	return &health{suspects: NewSuspectSet(), now: now, onCrash: func(CrashID) {}, servers: map[core.ServerID]*serverHealth{}, runningByFingerprint: map[uint64]int{}}
}

func (h *health) stateOf(id core.ServerID) *serverHealth {
	state := h.servers[id]
	if state == nil {
		state = &serverHealth{inFlight: map[attemptKey]inFlightAttempt{}}
		h.servers[id] = state
	}
	return state
}

// recordPoll records the poller's description of a server.
func (h *health) recordPoll(s Server) {
	state := h.stateOf(s.ID)
	if incarnation := s.Description.Incarnation; incarnation != state.polledIncarnation {
		state.polledIncarnation = incarnation
		state.recordIncarnation(incarnation)
	}
}

// removeUnknown removes servers that are no longer known and have no attempt in
// progress.
func (h *health) removeUnknown(isKnown func(core.ServerID) bool) {
	for id, state := range h.servers {
		if len(state.inFlight) == 0 && !isKnown(id) {
			delete(h.servers, id)
		}
	}
}

func (s *serverHealth) recordIncarnation(incarnation string) {
	if incarnation == "" || incarnation == s.crashedIncarnation {
		return
	}
	s.incarnation = incarnation
	s.crashBackoffUntil = time.Time{}
}

func (h *health) incarnationOf(s Server) string {
	if known := h.stateOf(s.ID).incarnation; known != "" {
		return known
	}
	return s.Description.Incarnation
}

func (h *health) recordStart(a Attempt, fingerprint uint64) {
	h.runningByFingerprint[fingerprint]++
	h.startCount++
	h.stateOf(a.Server).inFlight[attemptKey{a.Call.Request.ID, a.Number}] = inFlightAttempt{fingerprint, a.Call.Request.Accepted, a.Incarnation, h.startCount}
}

// recordEnd records the end of an attempt and reports whether waiting suspects
// may be able to run now.
func (h *health) recordEnd(e AttemptEnd) (maySuspectsRun bool) {
	now := h.now()
	state := h.stateOf(e.Attempt.Server)
	key := attemptKey{e.Attempt.Call.Request.ID, e.Attempt.Number}
	fingerprint := state.inFlight[key].fingerprint
	if e.Crashed {
		id := CrashID{Server: e.Attempt.Server, Run: e.Attempt.Incarnation}
		h.recordCrash(state, id, now)
		if len(e.Tokens) > 0 {
			h.suspects.Exonerate(id, fingerprint)
		}
	}
	state.recordIncarnation(e.Incarnation)
	state.recordReplacedRun(&e.Attempt, now)
	delete(state.inFlight, key)
	h.runningByFingerprint[fingerprint]--
	if h.runningByFingerprint[fingerprint] == 0 {
		delete(h.runningByFingerprint, fingerprint)
	}
	state.isUnreachable = e.Unreachable
	suspected := h.suspects.IsSuspected(fingerprint, now)
	switch {
	case e.Err == nil:
		state.consecutiveRefusals = 0
		h.suspects.ClearSuspicion(fingerprint)
	case e.Unreachable:
		state.retryAt = now.Add(unreachableBackoff)
	case e.Verdict == core.NotRun && e.Err.RetryAfter > 0:
		state.retryAt = now.Add(e.Err.RetryAfter)
	case e.Verdict == core.NotRun && e.Err.Code == core.CodeOverloaded && e.Attempt.Call.Request.IsModelCall():
		state.recordRefusal(now)
	}
	return suspected || e.Crashed
}

// recordRefusal starts a refusal backoff. Refusals during a backoff, of requests
// that were sent before it began, do not extend it.
func (s *serverHealth) recordRefusal(now time.Time) {
	if now.Before(s.retryAt) {
		return
	}
	s.retryAt = now.Add(min(maxRefusalBackoff, baseRefusalBackoff<<min(s.consecutiveRefusals, 8)))
	s.consecutiveRefusals++
}

// recordCrash counts one crash per incarnation, however many attempts report
// it.
func (h *health) recordCrash(state *serverHealth, id CrashID, now time.Time) {
	incarnation := id.Run
	if incarnation != "" && state.crashedIncarnation == incarnation {
		return
	}
	state.crashedIncarnation = incarnation
	state.crashBackoffUntil = now.Add(maxCrashBackoff)
	var inFlight []uint64
	accepted := 0
	for _, f := range state.inFlight {
		switch {
		case f.incarnation != incarnation:
		case f.isAccepted:
			accepted++
		default:
			inFlight = append(inFlight, f.fingerprint)
		}
	}
	h.suspects.RecordCrash(CrashReport{CrashID: id, InFlight: inFlight, Accepted: accepted}, now)
	h.onCrash(id)
	for _, fingerprint := range distinct(inFlight) {
		h.collectCopies(fingerprint, state)
	}
}

// collectCopies marks the attempts of a new suspect on other servers for
// cancellation, except the one that started first: each further copy would
// crash another server.
func (h *health) collectCopies(fingerprint uint64, crashed *serverHealth) {
	if h.runningByFingerprint[fingerprint] <= 1 {
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
				kept, earliest = key, f.startOrder
			case f.startOrder < earliest:
				h.copiesToCancel = append(h.copiesToCancel, kept)
				kept, earliest = key, f.startOrder
			default:
				h.copiesToCancel = append(h.copiesToCancel, key)
			}
		}
	}
}

// isAvailable reports whether the server has no backoff in effect.
func (h *health) isAvailable(c *Candidate, now time.Time) bool {
	return h.availableAt(c.Server.ID, now).IsZero()
}

// availableAt returns the time at which the server's backoff ends; zero means
// now.
func (h *health) availableAt(id core.ServerID, now time.Time) time.Time {
	state := h.servers[id]
	if state == nil {
		return time.Time{}
	}
	at := state.retryAt
	if state.crashBackoffUntil.After(at) {
		at = state.crashBackoffUntil
	}
	if !at.After(now) {
		return time.Time{}
	}
	return at
}

// isUnreachable reports whether no connection to the server could be opened and the
// backoff after that is in effect.
func (h *health) isUnreachable(id core.ServerID, now time.Time) bool {
	state := h.servers[id]
	return state != nil && state.isUnreachable && now.Before(state.retryAt)
}

// isSuspect reports whether the request may be the cause of a crash.
func (h *health) isSuspect(r *core.Request, now time.Time) bool {
	return !r.Accepted && h.suspects.IsSuspected(r.Fingerprint, now)
}

// mayRunSuspect isolates crash suspects: a suspect runs once at a time, not while crashes
// that may confirm it are not judged, and a server runs at most one suspect at a time.
// Requests that are not suspects always pass.
func (h *health) mayRunSuspect(r *core.Request, c *Candidate, now time.Time) bool {
	if !h.isSuspect(r, now) {
		return true
	}
	if h.runningByFingerprint[r.Fingerprint] > 0 || h.suspects.MustAwaitJudgement(r.Fingerprint) {
		return false
	}
	state := h.servers[c.Server.ID]
	if state == nil {
		return true
	}
	for _, f := range state.inFlight {
		if !f.isAccepted && h.suspects.IsSuspected(f.fingerprint, now) {
			return false
		}
	}
	return true
}
