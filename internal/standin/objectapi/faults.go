package objectapi

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// Faults selects the failures to inject. The zero value injects none. A count is
// decremented by each write that it affects.
type Faults struct {
	Down        bool          // every call is rejected with 503; pending watches end
	Hang        bool          // calls get no response before hangLimit and have no effect
	Delay       time.Duration // added to every response except those of watches
	LoseAnswers int           // the next LoseAnswers writes take effect, but the response is 500
	LoseWrites  int           // the next LoseWrites writes have no effect, and the response is 500
	LateWrites  int           // the next LateWrites writes get the response 500 and are applied after LateBy
	LateBy      time.Duration
	HangWatches bool // watches are not notified of changes

	FreezeHosts bool          // the host list is not updated
	HostLag     time.Duration // delay of updates of the host list

	// Calls above a rate are rejected with 429; 0 is no limit. Each pending watch
	// reduces RatePerSecond and ReadsPerSecond by one call per second.
	RatePerSecond   float64
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// tokenBucket limits a rate, with a burst of one second's calls.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// tryTake takes one token, if there is one, and reports whether it did.
func (b *tokenBucket) tryTake(now time.Time, rate float64) bool {
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

// setFaults replaces all faults. The token buckets start full, the end of
// FreezeHosts updates the host list, and Down ends pending watches.
func (s *Server) setFaults(f Faults) {
	now := s.loop.Clock().Now()
	unfreezes := s.faults.FreezeHosts && !f.FreezeHosts
	s.faults = f
	s.totalLimit = tokenBucket{tokens: f.RatePerSecond, refilled: now}
	s.readLimit = tokenBucket{tokens: f.ReadsPerSecond, refilled: now}
	s.writeLimit = tokenBucket{tokens: f.WritesPerSecond, refilled: now}
	if unfreezes {
		s.listedHosts = s.hosts
	}
	if f.Down {
		s.endWatches()
	}
}

func (s *Server) endWatches() {
	for id, w := range s.watchers {
		delete(s.watchers, id)
		w.query.Reply(reply{status: consts.StatusServiceUnavailable})
	}
}

// checkRateLimits takes a token for the call from each bucket that applies to it and
// reports whether all had one.
func (s *Server) checkRateLimits(m method) bool {
	now := s.loop.Clock().Now()
	waiting := float64(len(s.watchers))
	write := m == methodPut || m == methodDelete
	if write && s.faults.WritesPerSecond > 0 && !s.writeLimit.tryTake(now, s.faults.WritesPerSecond) {
		return false
	}
	if !write && s.faults.ReadsPerSecond > 0 && !s.readLimit.tryTake(now, s.faults.ReadsPerSecond-waiting) {
		return false
	}
	return s.faults.RatePerSecond <= 0 || s.totalLimit.tryTake(now, s.faults.RatePerSecond-waiting)
}

// delayReply leaves the query without a reply for hangLimit.
func (s *Server) delayReply(query duty.Query[params, reply]) {
	s.counts.Rejected++
	s.loop.After(hangLimit, func() {
		query.Reply(reply{status: consts.StatusInternalServerError})
	})
}

// writeWithFaults applies the write, unless a fault drops or delays it.
func (s *Server) writeWithFaults(p params) reply {
	lost := reply{status: consts.StatusInternalServerError}
	switch {
	case s.faults.LoseWrites > 0:
		s.faults.LoseWrites--
		return lost
	case s.faults.LateWrites > 0:
		s.faults.LateWrites--
		s.loop.After(s.faults.LateBy, func() { s.write(p) })
		return lost
	}
	a := s.write(p)
	if a.status == consts.StatusOK && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return lost
	}
	return a
}

// compact discards changes and hides tombstones from listings. Writes still need the
// tombstones, since the version of a key must also increase across deletions.
func (s *Server) compact() {
	s.compacted = s.revision
	s.changes = nil
	for key, o := range s.objects {
		if o.Deleted {
			s.compactedTombstones[key] = true
		}
	}
}

// setHosts replaces the host list, immediately or after HostLag.
func (s *Server) setHosts(hosts []platform.Host) {
	s.hosts = hosts
	if s.faults.FreezeHosts {
		return
	}
	if s.faults.HostLag <= 0 {
		s.listedHosts = hosts
		return
	}
	s.loop.After(s.faults.HostLag, func() {
		if !s.faults.FreezeHosts {
			s.listedHosts = hosts
		}
	})
}
