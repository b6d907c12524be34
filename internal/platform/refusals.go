package platform

import (
	"fmt"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
)

// refusalPeriod is the time in which refused operations are reported together.
const refusalPeriod = time.Second

// RefusalReason is what refused an operation without effect.
type RefusalReason string

// Reasons of a refusal.
const (
	RefusedQueueFull RefusalReason = "queue_full"
	RefusedStoreDown RefusalReason = "store_down"
	RefusedDeadline  RefusalReason = "deadline"
	RefusedTooLarge  RefusalReason = "too_large"
)

// refusalErrors are the errors of refused operations by reason.
var refusalErrors = map[RefusalReason]error{
	RefusedQueueFull: ErrQueueFull,
	RefusedStoreDown: ErrStoreDown,
	RefusedDeadline:  ErrQueueDeadline,
	RefusedTooLarge:  ErrTooLarge,
}

// Refusals are the operations that were refused in one refusalPeriod.
type Refusals struct {
	Counts  map[RefusalReason]int64
	DownFor time.Duration // how long the store has not answered; 0 if it answers
	Outage  OutageReason  // what showed the current or last outage
}

// refusalCounters count refused operations by reason. Any goroutine may use them.
type refusalCounters map[RefusalReason]metrics.Counter

func newRefusalCounters() refusalCounters {
	c := refusalCounters{}
	for reason := range refusalErrors {
		c[reason] = metrics.NewCounter()
	}
	return c
}

func (c refusalCounters) counts() map[RefusalReason]int64 {
	counts := make(map[RefusalReason]int64, len(c))
	for reason, counter := range c {
		counts[reason] = counter.Count()
	}
	return counts
}

// refuse counts a refused operation and returns its result. The error says how long the
// store has not answered.
func (s *Store) refuse(reason RefusalReason) Result {
	s.counters.refused[reason].Inc(1)
	err := refusalErrors[reason]
	if down := s.availability.downFor(s.loop.Clock().Now()); down > 0 {
		err = fmt.Errorf("%w; no answer known for %v (%s)", err, down, s.availability.reason)
	}
	return Result{Err: err}
}

// reportRefusals reports the operations that were refused since its last call.
func (s *Store) reportRefusals() {
	counts := s.counters.refused.counts()
	since := maps.Clone(counts)
	maps.DeleteFunc(since, func(r RefusalReason, _ int64) bool {
		since[r] -= s.reportedRefusals[r]
		return since[r] == 0
	})
	s.reportedRefusals = counts
	if len(since) > 0 {
		s.onRefusals(Refusals{Counts: since, DownFor: s.availability.downFor(s.loop.Clock().Now()), Outage: s.availability.reason})
	}
}
