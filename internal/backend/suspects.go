package backend

import "time"

// Limits for requests that may crash servers; see docs/notes/crash-suspects.md.
const (
	// confirmingCrashes is the number of crashes as the only suspect after
	// which a request is the confirmed cause.
	confirmingCrashes = 2
	// QuarantineDuration is how long a request that is a confirmed cause of
	// crashes is refused.
	QuarantineDuration = 10 * time.Minute
	// suspicionDuration is how long a request stays a suspect after the last
	// crash.
	suspicionDuration = 10 * time.Minute
	// maxSuspects bounds the memory for suspects; when it is reached, the
	// oldest is removed.
	maxSuspects = 4096
)

// SuspectRequest is a request that was in flight on a server when the server
// crashed. Times are durations, because the clocks of daemons differ.
type SuspectRequest struct {
	Fingerprint  uint64
	CrashesAlone int // crashes while it was the only suspect on the server
	Remaining    time.Duration
}

// ConfirmedCause is a request that is the confirmed cause of crashes.
type ConfirmedCause struct {
	Fingerprint uint64
	Remaining   time.Duration
}

// SuspectReport holds the crash suspects of one daemon and the crashes that it saw, for the
// other daemons.
type SuspectReport struct {
	Crashes         []CrashReport
	Suspects        []SuspectRequest
	ConfirmedCauses []ConfirmedCause
}

// IsEmpty reports whether the report holds nothing.
func (r *SuspectReport) IsEmpty() bool {
	return len(r.Crashes)+len(r.Suspects)+len(r.ConfirmedCauses) == 0
}

// Add appends another report.
func (r *SuspectReport) Add(other SuspectReport) {
	r.Crashes = append(r.Crashes, other.Crashes...)
	r.Suspects = append(r.Suspects, other.Suspects...)
	r.ConfirmedCauses = append(r.ConfirmedCauses, other.ConfirmedCauses...)
}

type suspectState struct {
	crashesAlone int
	until        time.Time
}

// SuspectSet holds the requests that are suspected or confirmed causes of
// server crashes, by fingerprint. One duty owns it.
type SuspectSet struct {
	suspected map[uint64]suspectState
	confirmed map[uint64]time.Time
	crashes   []*crash // oldest first
}

// NewSuspectSet returns an empty set.
func NewSuspectSet() *SuspectSet {
	return &SuspectSet{suspected: map[uint64]suspectState{}, confirmed: map[uint64]time.Time{}}
}

// IsSuspected reports whether the request was in flight at a recent crash and
// has not completed since.
func (s *SuspectSet) IsSuspected(fingerprint uint64, now time.Time) bool {
	if len(s.suspected) == 0 {
		return false
	}
	suspect, ok := s.suspected[fingerprint]
	return ok && now.Before(suspect.until)
}

// QuarantineRemaining returns how long the request will still be refused; 0 if
// it is not refused.
func (s *SuspectSet) QuarantineRemaining(fingerprint uint64, now time.Time) time.Duration {
	if len(s.confirmed) == 0 {
		return 0
	}
	return max(0, s.confirmed[fingerprint].Sub(now))
}

func (s *SuspectSet) recordSoleSuspectCrash(fingerprint uint64, now time.Time) {
	suspect := s.suspected[fingerprint]
	suspect.crashesAlone++
	s.suspected[fingerprint] = suspect
	if suspect.crashesAlone >= confirmingCrashes {
		s.confirm(fingerprint, now.Add(QuarantineDuration))
	}
}

func (s *SuspectSet) addSuspect(fingerprint uint64, crashesAlone int, until time.Time) {
	suspect, ok := s.suspected[fingerprint]
	if !ok && len(s.suspected) >= maxSuspects {
		s.removeOldest()
	}
	suspect.crashesAlone = max(suspect.crashesAlone, crashesAlone)
	if until.After(suspect.until) {
		suspect.until = until
	}
	s.suspected[fingerprint] = suspect
}

func (s *SuspectSet) confirm(fingerprint uint64, until time.Time) {
	if until.After(s.confirmed[fingerprint]) {
		s.confirmed[fingerprint] = until
	}
	delete(s.suspected, fingerprint)
}

func (s *SuspectSet) removeOldest() {
	var oldest uint64
	var at time.Time
	for f, suspect := range s.suspected {
		if at.IsZero() || suspect.until.Before(at) {
			oldest, at = f, suspect.until
		}
	}
	delete(s.suspected, oldest)
}

// ClearSuspicion removes a request from the suspects after a server has
// completed it. It is not the cause of a crash that is not judged yet either.
func (s *SuspectSet) ClearSuspicion(fingerprint uint64) {
	if len(s.suspected) == 0 {
		return
	}
	delete(s.suspected, fingerprint)
	for _, c := range s.crashes {
		if !c.isJudged {
			delete(c.inFlight, fingerprint)
		}
	}
}

// RemoveExpired removes suspects and confirmed causes whose time has passed.
func (s *SuspectSet) RemoveExpired(now time.Time) {
	for f, suspect := range s.suspected {
		if !now.Before(suspect.until) {
			delete(s.suspected, f)
		}
	}
	for f, until := range s.confirmed {
		if !now.Before(until) {
			delete(s.confirmed, f)
		}
	}
}

// Merge adds the suspects of another daemon, and its reports of crashes. A report never
// shortens or removes a known entry, so reports may arrive late, repeatedly and in any order.
func (s *SuspectSet) Merge(r SuspectReport, now time.Time) {
	for _, cause := range r.ConfirmedCauses {
		if cause.Remaining > 0 {
			s.confirm(cause.Fingerprint, now.Add(min(cause.Remaining, QuarantineDuration)))
		}
	}
	for _, c := range r.Crashes {
		s.RecordCrash(c, now)
	}
	for _, suspect := range r.Suspects {
		if suspect.Remaining > 0 && s.QuarantineRemaining(suspect.Fingerprint, now) == 0 {
			s.addSuspect(suspect.Fingerprint, suspect.CrashesAlone, now.Add(min(suspect.Remaining, suspicionDuration)))
		}
	}
}

// Report returns the current suspects and confirmed causes.
func (s *SuspectSet) Report(now time.Time) SuspectReport {
	var r SuspectReport
	for f, suspect := range s.suspected {
		if now.Before(suspect.until) {
			r.Suspects = append(r.Suspects, SuspectRequest{Fingerprint: f, CrashesAlone: suspect.crashesAlone, Remaining: suspect.until.Sub(now)})
		}
	}
	for f, until := range s.confirmed {
		if now.Before(until) {
			r.ConfirmedCauses = append(r.ConfirmedCauses, ConfirmedCause{Fingerprint: f, Remaining: until.Sub(now)})
		}
	}
	return r
}

// distinct removes repeated fingerprints: copies of one request are one
// suspect.
func distinct(fingerprints []uint64) []uint64 {
	seen := make(map[uint64]bool, len(fingerprints))
	unique := make([]uint64, 0, len(fingerprints))
	for _, f := range fingerprints {
		if !seen[f] {
			seen[f] = true
			unique = append(unique, f)
		}
	}
	return unique
}
