package backend

import "time"

// Rules for requests that may crash servers; see docs/notes/crash-suspects.md.
const (
	// convictingCrashes is the number of crashes alone after which a request
	// counts as their confirmed cause.
	convictingCrashes = 2
	// ConvictionDuration is how long a convicted request is refused.
	ConvictionDuration = 10 * time.Minute
	// suspicionTime is how long a suspicion lasts after the last crash.
	suspicionTime = 10 * time.Minute
	// maxSuspects bounds the memory for suspicions; the oldest is dropped.
	maxSuspects = 4096
)

// SuspectRequest is a request that was in flight on a server when it crashed.
// Times are durations, since daemons' clocks differ.
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

// SuspectReport is what one daemon tells the others.
type SuspectReport struct {
	Suspects        []SuspectRequest
	ConfirmedCauses []ConfirmedCause
}

type suspicion struct {
	crashesAlone int
	until        time.Time
}

// SuspectSet holds the requests that are suspected or convicted of crashing
// servers, by fingerprint. One duty owns it.
type SuspectSet struct {
	suspected map[uint64]suspicion
	convicted map[uint64]time.Time
}

// NewSuspectSet returns an empty set.
func NewSuspectSet() *SuspectSet {
	return &SuspectSet{suspected: map[uint64]suspicion{}, convicted: map[uint64]time.Time{}}
}

// IsSuspected reports whether the request was in flight at a recent crash.
func (s *SuspectSet) IsSuspected(fingerprint uint64, now time.Time) bool {
	if len(s.suspected) == 0 {
		return false
	}
	known, ok := s.suspected[fingerprint]
	return ok && now.Before(known.until)
}

// Convicted returns how long the request is still refused; 0 is not at all.
func (s *SuspectSet) Convicted(fingerprint uint64, now time.Time) time.Duration {
	if len(s.convicted) == 0 {
		return 0
	}
	return max(0, s.convicted[fingerprint].Sub(now))
}

// Crashed records a crash of a server with the given requests in flight.
func (s *SuspectSet) Crashed(inFlight []uint64, now time.Time) {
	inFlight = distinct(inFlight)
	var before []uint64
	for _, f := range inFlight {
		if s.IsSuspected(f, now) {
			before = append(before, f)
		}
	}
	if len(before) == 0 && len(inFlight) == 1 {
		before = inFlight
	}
	for _, f := range inFlight {
		s.suspect(f, 0, now.Add(suspicionTime))
	}
	if len(before) == 1 {
		s.crashedAlone(before[0], now)
	}
}

func (s *SuspectSet) crashedAlone(fingerprint uint64, now time.Time) {
	known := s.suspected[fingerprint]
	known.crashesAlone++
	s.suspected[fingerprint] = known
	if known.crashesAlone >= convictingCrashes {
		s.convict(fingerprint, now.Add(ConvictionDuration))
	}
}

func (s *SuspectSet) suspect(fingerprint uint64, crashesAlone int, until time.Time) {
	known, ok := s.suspected[fingerprint]
	if !ok && len(s.suspected) >= maxSuspects {
		s.dropOldest()
	}
	known.crashesAlone = max(known.crashesAlone, crashesAlone)
	if until.After(known.until) {
		known.until = until
	}
	s.suspected[fingerprint] = known
}

func (s *SuspectSet) convict(fingerprint uint64, until time.Time) {
	if until.After(s.convicted[fingerprint]) {
		s.convicted[fingerprint] = until
	}
	delete(s.suspected, fingerprint)
}

func (s *SuspectSet) dropOldest() {
	var oldest uint64
	var at time.Time
	for f, known := range s.suspected {
		if at.IsZero() || known.until.Before(at) {
			oldest, at = f, known.until
		}
	}
	delete(s.suspected, oldest)
}

// Finished clears a request that a server ran to its end.
func (s *SuspectSet) Finished(fingerprint uint64) {
	if len(s.suspected) > 0 {
		delete(s.suspected, fingerprint)
	}
}

// Expire forgets what is out of date.
func (s *SuspectSet) Expire(now time.Time) {
	for f, known := range s.suspected {
		if !now.Before(known.until) {
			delete(s.suspected, f)
		}
	}
	for f, until := range s.convicted {
		if !now.Before(until) {
			delete(s.convicted, f)
		}
	}
}

// Merge takes what another daemon knows. A report never shortens or clears
// what is known here, so reports may arrive late, twice and in any order.
func (s *SuspectSet) Merge(r SuspectReport, now time.Time) {
	for _, c := range r.ConfirmedCauses {
		s.convict(c.Fingerprint, now.Add(min(c.Remaining, ConvictionDuration)))
	}
	for _, p := range r.Suspects {
		if p.Remaining > 0 && s.Convicted(p.Fingerprint, now) == 0 {
			s.suspect(p.Fingerprint, p.CrashesAlone, now.Add(min(p.Remaining, suspicionTime)))
		}
	}
}

// Report returns what is known now.
func (s *SuspectSet) Report(now time.Time) SuspectReport {
	var r SuspectReport
	for f, known := range s.suspected {
		if now.Before(known.until) {
			r.Suspects = append(r.Suspects, SuspectRequest{Fingerprint: f, CrashesAlone: known.crashesAlone, Remaining: known.until.Sub(now)})
		}
	}
	for f, until := range s.convicted {
		if now.Before(until) {
			r.ConfirmedCauses = append(r.ConfirmedCauses, ConfirmedCause{Fingerprint: f, Remaining: until.Sub(now)})
		}
	}
	return r
}

// distinct drops repeated fingerprints: copies of one request are one suspect.
func distinct(fingerprints []uint64) []uint64 {
	seen := make(map[uint64]bool, len(fingerprints))
	kept := make([]uint64, 0, len(fingerprints))
	for _, f := range fingerprints {
		if !seen[f] {
			seen[f] = true
			kept = append(kept, f)
		}
	}
	return kept
}
