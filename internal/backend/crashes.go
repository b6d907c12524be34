package backend

import (
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// crashPartDelay is how long a daemon collects the ends of its attempts at a crashed
	// server before it reports them to the other daemons.
	crashPartDelay = 100 * time.Millisecond
	// crashSettleTime is the time after which the reports of all daemons of a crash are
	// expected to have arrived. Only then it is judged.
	crashSettleTime = time.Second
	// crashMemory is how long a judged crash is remembered, so that a late report of it is
	// not taken for another one.
	crashMemory = time.Minute
	// maxCrashes bounds the memory for crashes; the oldest are removed.
	maxCrashes = 1024
)

// CrashID identifies one crash: a run of a server crashes once.
type CrashID struct {
	Server core.ServerID
	Run    string // incarnation; empty if it is not known
}

// CrashReport is what one daemon knows of a crash: its own requests that were in flight on
// the server. Other daemons may have had others there, so no daemon can tell the cause by
// itself.
type CrashReport struct {
	CrashID
	Daemon   string   // that reports; empty for this one
	InFlight []uint64 // fingerprints of requests that may be the cause
	Accepted int      // number of parts of accepted jobs, which are never suspects
}

// crash is the merged knowledge of one crash.
type crash struct {
	id       CrashID
	at       time.Time // of the first report
	daemons  map[string]bool
	inFlight map[uint64]bool // true if the request was a suspect before this crash
	accepted int
	isJudged bool
}

// soleSuspect returns the request that the crash counts against: the only earlier suspect,
// or the only request that was in flight at all.
func (c *crash) soleSuspect() (fingerprint uint64, ok bool) {
	suspects := 0
	for f, wasSuspect := range c.inFlight {
		if wasSuspect {
			fingerprint = f
			suspects++
		}
	}
	if suspects > 0 {
		return fingerprint, suspects == 1
	}
	if len(c.inFlight) != 1 || c.accepted > 0 {
		return 0, false
	}
	for f := range c.inFlight {
		fingerprint = f
	}
	return fingerprint, true
}

// RecordCrash merges a daemon's report of a crash. All requests in it become suspects at
// once. The crash is judged by Judge, when the reports of the other daemons have arrived.
func (s *SuspectSet) RecordCrash(r CrashReport, now time.Time) {
	c := s.findCrash(r.CrashID)
	if c == nil {
		c = &crash{id: r.CrashID, at: now, daemons: map[string]bool{}, inFlight: map[uint64]bool{}}
		s.crashes = append(s.crashes, c)
		if len(s.crashes) > maxCrashes {
			s.crashes = s.crashes[1:]
		}
	}
	if c.daemons[r.Daemon] {
		return
	}
	c.daemons[r.Daemon] = true
	c.accepted += r.Accepted
	for _, f := range r.InFlight {
		if _, ok := c.inFlight[f]; !ok {
			c.inFlight[f] = s.IsSuspected(f, now)
		}
	}
	for _, f := range r.InFlight {
		s.addSuspect(f, 0, now.Add(suspicionDuration))
	}
}

// findCrash returns the crash, or nil. Without a run, only a crash that has not been judged
// yet is the same.
func (s *SuspectSet) findCrash(id CrashID) *crash {
	for _, c := range s.crashes {
		if c.id == id && (id.Run != "" || !c.isJudged) {
			return c
		}
	}
	return nil
}

// Exonerate removes a request from a crash of this daemon: the server had begun to answer
// it, so it does not crash the servers that begin to run it.
func (s *SuspectSet) Exonerate(id CrashID, fingerprint uint64) {
	if c := s.findCrash(id); c != nil && !c.isJudged {
		if wasSuspect := c.inFlight[fingerprint]; !wasSuspect {
			delete(s.suspected, fingerprint)
		}
		delete(c.inFlight, fingerprint)
	}
}

// ownPart returns the report of this daemon of a crash that it has recorded.
func (s *SuspectSet) ownPart(id CrashID) (CrashReport, bool) {
	c := s.findCrash(id)
	if c == nil || !c.daemons[""] {
		return CrashReport{}, false
	}
	r := CrashReport{CrashID: id, Accepted: c.accepted}
	for f := range c.inFlight {
		r.InFlight = append(r.InFlight, f)
	}
	slices.Sort(r.InFlight)
	return r, true
}

// Judge counts the crashes whose reports have arrived, and returns the causes that were
// confirmed by those that this daemon saw. Each daemon judges all crashes; only those that
// saw one tell the others, which may have missed a report of it.
func (s *SuspectSet) Judge(now time.Time) (confirmed []ConfirmedCause) {
	for _, c := range s.crashes {
		if c.isJudged || now.Sub(c.at) < crashSettleTime {
			continue
		}
		c.isJudged = true
		f, ok := c.soleSuspect()
		if !ok || s.QuarantineRemaining(f, now) > 0 {
			continue
		}
		s.recordSoleSuspectCrash(f, now)
		if remaining := s.QuarantineRemaining(f, now); remaining > 0 && c.daemons[""] {
			confirmed = append(confirmed, ConfirmedCause{Fingerprint: f, Remaining: remaining})
		}
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return c.isJudged && now.Sub(c.at) >= crashMemory })
	return confirmed
}

// MustAwaitJudgement reports whether crashes that are not judged yet may confirm the request
// as their cause. Another run of it could crash one more server for nothing.
func (s *SuspectSet) MustAwaitJudgement(fingerprint uint64) bool {
	suspect, ok := s.suspected[fingerprint]
	if !ok {
		return false
	}
	count := suspect.crashesAlone
	for _, c := range s.crashes {
		if c.isJudged {
			continue
		}
		if f, isSole := c.soleSuspect(); isSole && f == fingerprint {
			count++
		}
	}
	return count >= confirmingCrashes
}
