package objectapi

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// Faults switch on failures. The zero value has none. A count goes down with
// each write that it affects.
type Faults struct {
	Down        bool          // every call is refused with 503; waiting watches end
	Hang        bool          // calls get no answer and have no effect
	Delay       time.Duration // added to every answer
	LoseAnswers int           // this many next writes take effect and answer 500
	LoseWrites  int           // this many next writes have no effect and answer 500
	LateWrites  int           // this many next writes answer 500 and are carried out after LateBy
	LateBy      time.Duration
	HangWatches bool // watches are never told of a change

	FreezeHosts bool          // the host list stops following changes
	HostLag     time.Duration // the host list follows changes this much later

	// Calls above a rate are refused with 429; 0 is no limit. Each waiting watch
	// takes one call per second off RatePerSecond and ReadsPerSecond.
	RatePerSecond   float64
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// bucket limits a rate to one second of unused calls.
type bucket struct {
	tokens   float64
	refilled time.Time
}

// take takes one call of the rate and reports whether there was one.
func (b *bucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return false
	}
	b.tokens = min(max(rate, 1), b.tokens+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setFaults replaces the faults. The buckets start full, and what waits for a
// fault to end is ended.
func (s *Server) setFaults(f Faults) {
	now := s.loop.Clock().Now()
	thaw := s.faults.FreezeHosts && !f.FreezeHosts
	s.faults = f
	s.total = bucket{tokens: f.RatePerSecond, refilled: now}
	s.reads = bucket{tokens: f.ReadsPerSecond, refilled: now}
	s.writes = bucket{tokens: f.WritesPerSecond, refilled: now}
	if thaw {
		s.listed = s.hosts
	}
	if f.Down {
		s.endWatches()
	}
}

func (s *Server) endWatches() {
	for id, w := range s.waiters {
		delete(s.waiters, id)
		w.ask.Reply(answer{status: consts.StatusServiceUnavailable})
	}
}

// takeToken counts the call against the rates.
func (s *Server) takeToken(m method) bool {
	now := s.loop.Clock().Now()
	waiting := float64(len(s.waiters))
	write := m == methodPut || m == methodDelete
	if write && s.faults.WritesPerSecond > 0 && !s.writes.take(now, s.faults.WritesPerSecond) {
		return false
	}
	if !write && s.faults.ReadsPerSecond > 0 && !s.reads.take(now, s.faults.ReadsPerSecond-waiting) {
		return false
	}
	return s.faults.RatePerSecond <= 0 || s.total.take(now, s.faults.RatePerSecond-waiting)
}

// hang leaves the call without an answer for hangBound.
func (s *Server) hang(ask duty.Query[query, answer]) {
	s.counts.Refused++
	s.loop.After(hangBound, func() {
		ask.Reply(answer{status: consts.StatusInternalServerError})
	})
}

// writeWithFaults carries out the write, unless a fault drops or delays it.
func (s *Server) writeWithFaults(q query) answer {
	lost := answer{status: consts.StatusInternalServerError}
	switch {
	case s.faults.LoseWrites > 0:
		s.faults.LoseWrites--
		return lost
	case s.faults.LateWrites > 0:
		s.faults.LateWrites--
		s.loop.After(s.faults.LateBy, func() { s.write(q) })
		return lost
	}
	a := s.write(q)
	if a.status == consts.StatusOK && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return lost
	}
	return a
}

// compact forgets changes and tombstones. Versions of deleted objects must
// still grow, so the tombstones stay known to writes.
func (s *Server) compact() {
	s.compacted = s.revision
	s.changes = nil
	for key, o := range s.objects {
		if o.Deleted {
			s.forgotten[key] = true
		}
	}
}

// setHosts replaces the host list, at once or after the lag.
func (s *Server) setHosts(hosts []platform.Host) {
	s.hosts = hosts
	if s.faults.FreezeHosts {
		return
	}
	if s.faults.HostLag <= 0 {
		s.listed = hosts
		return
	}
	s.loop.After(s.faults.HostLag, func() {
		if !s.faults.FreezeHosts {
			s.listed = hosts
		}
	})
}
