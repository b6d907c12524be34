package caller

import (
	"math"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Sizes and times of the reserve for short work on plain services.
const (
	// maxReserveShare is the largest share of the slots that is reserved for short
	// work, and the initial one, while the demand is not known.
	maxReserveShare = 0.5
	// minReserveShare is the share that stays reserved after a long time without
	// short work.
	minReserveShare = 0.125
	// reserveHalfLife is the time in which the reserve halves without short work.
	// It shrinks slowly and grows at once, because a slot that long work occupies is
	// not free again for many service times of short work.
	reserveHalfLife = 5 * time.Minute
	// minDecayInterval is the shortest time between two reductions of the reserve.
	minDecayInterval = time.Second
)

// UnknownSlots as the number of slots means that the number is not known. Only
// MaxInFlightCalls then bounds the calls of the service.
const UnknownSlots = -1

// workKind classifies a call for queues and slots: by its class and by whether its
// expected service time is short or long.
type workKind int

const (
	workInteractive workKind = iota
	workInteractiveLong
	workBackground
	workBackgroundLong
	workRollout // always long
	workKindCount
)

// workKindOf returns the kind of a request with the expected service time.
func workKindOf(r *core.Request, estimate time.Duration) workKind {
	kind := min(workKind(2*r.Class.Rank()), workRollout)
	if kind != workRollout && estimate >= longServiceTime {
		kind++
	}
	return kind
}

// rank returns the rank of the class, by which engines order their work.
func (k workKind) rank() int { return int(k) / 2 }

func (k workKind) isLong() bool { return k == workRollout || k%2 == 1 }

// callCounts holds the number of calls of each kind.
type callCounts [workKindCount]int

// sum returns the number of calls of the kinds that match.
func (c *callCounts) sum(match func(workKind) bool) int {
	n := 0
	for kind, calls := range c {
		if match(workKind(kind)) {
			n += calls
		}
	}
	return n
}

func (c *callCounts) total() int { return c.sum(func(workKind) bool { return true }) }

func (c *callCounts) short() int { return c.sum(func(kind workKind) bool { return !kind.isLong() }) }

// slotLimiter bounds the calls of one service that are sent to dispatch.
type slotLimiter struct {
	limit int // UnknownSlots for no limit
	// isPreemptive is set for engines, which pause work for more urgent work. A
	// call then may take a slot that less urgent work occupies.
	isPreemptive bool
	running      callCounts
	// shortPeak is the largest number of slots that short work has used or waited
	// for. It decays over time, most recently at decayedAt.
	shortPeak float64
	decayedAt time.Time
}

func newSlotLimiter(kind core.ServiceKind, now time.Time) slotLimiter {
	return slotLimiter{limit: UnknownSlots, isPreemptive: kind == core.KindEngine, decayedAt: now}
}

// setLimit sets the number of slots. A service whose slots were unknown or 0 starts
// with the largest reserve, since its recent use of slots is no guide.
func (s *slotLimiter) setLimit(n int) {
	if n < 0 {
		s.limit = UnknownSlots
		return
	}
	if s.limit <= 0 {
		s.shortPeak = max(s.shortPeak, maxReserveShare*float64(n))
	}
	s.limit = min(n, MaxInFlightCalls)
}

// recordShortDemand raises the peak to the short calls that run and wait.
func (s *slotLimiter) recordShortDemand(waiting int, now time.Time) {
	s.decayPeak(now)
	s.shortPeak = max(s.shortPeak, float64(s.running.short()+waiting))
}

func (s *slotLimiter) decayPeak(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed < minDecayInterval {
		return
	}
	s.shortPeak *= math.Exp2(-float64(elapsed) / float64(reserveHalfLife))
	s.decayedAt = now
}

// reservedSlots returns the slots that are reserved for short work.
func (s *slotLimiter) reservedSlots(now time.Time) int {
	s.decayPeak(now)
	minReserve := max(1, int(minReserveShare*float64(s.limit)))
	maxReserve := int(maxReserveShare * float64(s.limit))
	return min(max(minReserve, int(math.Ceil(s.shortPeak))), maxReserve)
}

// hasRoomFor reports whether one more call of this kind may start.
func (s *slotLimiter) hasRoomFor(kind workKind, now time.Time) bool {
	switch {
	case s.limit == UnknownSlots:
		return true
	case s.occupiedFor(kind) >= s.limit:
		return false
	case !s.isReserveLimited(kind):
		return true
	default:
		return s.occupiedByLong() < s.limit-s.reservedSlots(now)
	}
}

// occupiedFor returns the slots that are occupied from the point of view of work of
// this kind. On engines less urgent work is not counted, since it is paused.
func (s *slotLimiter) occupiedFor(kind workKind) int {
	if !s.isPreemptive {
		return s.running.total()
	}
	return s.running.sum(func(other workKind) bool { return other.rank() <= kind.rank() })
}

// isReserveLimited reports whether work of this kind must leave the reserve free.
// It does not apply to rollouts on engines, because all other work pauses them.
func (s *slotLimiter) isReserveLimited(kind workKind) bool {
	return kind.isLong() && (kind != workRollout || !s.isPreemptive)
}

// occupiedByLong returns the slots that reserve-limited work occupies.
func (s *slotLimiter) occupiedByLong() int {
	return s.running.sum(s.isReserveLimited)
}
