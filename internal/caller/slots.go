package caller

import (
	"math"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Sizes and times of the reserve for short work on plain services.
const (
	// reserveMax is the largest share of the slots that long work may not take,
	// and the reserve of a service whose use is not known yet.
	reserveMax = 0.5
	// reserveFloor is the share that stays free after a long time without short work.
	reserveFloor = 0.125
	// reserveHalfLife is the time in which the reserve falls to half without
	// short work. A slot that long work takes is not free again for many service
	// times of short work, so the reserve falls slowly and grows at once.
	reserveHalfLife = 5 * time.Minute
	// reserveStep is the shortest time between two reductions of the reserve.
	reserveStep = time.Second
)

// UnknownSlots as a number of slots means that the number is not known. The
// service's calls are then bounded by MaxInFlight only.
const UnknownSlots = -1

// work is the kind of work that a call is for queues and slots: its class, and
// whether it is short or long.
type work int

const (
	workInteractive work = iota
	workInteractiveLong
	workBackground
	workBackgroundLong
	workRollout // always long
	workCount
)

// workOf returns the kind of a request with the expected service time.
func workOf(r *core.Request, estimate time.Duration) work {
	w := min(work(2*r.Class.Rank()), workRollout)
	if w != workRollout && estimate >= longWork {
		w++
	}
	return w
}

// rank returns the rank of the class, by which engines order their work.
func (w work) rank() int { return int(w) / 2 }

func (w work) isLong() bool { return w == workRollout || w%2 == 1 }

// workCounts counts calls by kind.
type workCounts [workCount]int

// sum counts the calls of the kinds for which match holds.
func (c *workCounts) sum(match func(work) bool) int {
	n := 0
	for w, calls := range c {
		if match(work(w)) {
			n += calls
		}
	}
	return n
}

func (c *workCounts) total() int { return c.sum(func(work) bool { return true }) }

func (c *workCounts) short() int { return c.sum(func(w work) bool { return !w.isLong() }) }

// slots bounds the calls of one service that are handed on.
type slots struct {
	limit int // UnknownSlots for no limit
	// pausable is set for engines, which pause work for work of a more urgent
	// class. A call then may take a slot that a less urgent one holds.
	pausable bool
	running  workCounts
	// peak is the most slots that short work has used or waited for, reduced
	// with time; it was last reduced at peakAt.
	peak   float64
	peakAt time.Time
}

func newSlots(kind core.ServiceKind, now time.Time) slots {
	return slots{limit: UnknownSlots, pausable: kind == core.KindEngine, peakAt: now}
}

// setLimit takes a new number of slots. A service that had none starts with the
// largest reserve, since its recent use of slots says nothing.
func (s *slots) setLimit(n int) {
	if n < 0 {
		s.limit = UnknownSlots
		return
	}
	if s.limit <= 0 {
		s.peak = max(s.peak, reserveMax*float64(n))
	}
	s.limit = min(n, MaxInFlightCalls)
}

// demand takes note of short calls that wait, beside those that run.
func (s *slots) demand(waiting int, now time.Time) {
	s.reduce(now)
	s.peak = max(s.peak, float64(s.running.short()+waiting))
}

func (s *slots) reduce(now time.Time) {
	passed := now.Sub(s.peakAt)
	if passed < reserveStep {
		return
	}
	s.peak *= math.Exp2(-float64(passed) / float64(reserveHalfLife))
	s.peakAt = now
}

// reserve returns the slots that long work may not take.
func (s *slots) reserve(now time.Time) int {
	s.reduce(now)
	least := max(1, int(reserveFloor*float64(s.limit)))
	most := int(reserveMax * float64(s.limit))
	return min(max(least, int(math.Ceil(s.peak))), most)
}

// allows reports whether one more call of this kind may start.
func (s *slots) allows(w work, now time.Time) bool {
	switch {
	case s.limit == UnknownSlots:
		return true
	case s.held(w) >= s.limit:
		return false
	case !s.isReserveBound(w):
		return true
	default:
		return s.heldForLong() < s.limit-s.reserve(now)
	}
}

// held returns the slots that work of this kind cannot take. Engines pause less
// urgent work for it, so that this work holds no slot.
func (s *slots) held(w work) int {
	if !s.pausable {
		return s.running.total()
	}
	return s.running.sum(func(other work) bool { return other.rank() <= w.rank() })
}

// isReserveBound reports whether the reserve bounds work of this kind. On engines
// it does not bound rollouts, because all other work pauses them.
func (s *slots) isReserveBound(w work) bool {
	return w.isLong() && (w != workRollout || !s.pausable)
}

// heldForLong returns the slots held by the long work that the reserve bounds.
func (s *slots) heldForLong() int {
	return s.running.sum(s.isReserveBound)
}
