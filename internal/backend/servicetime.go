package backend

import (
	"math/bits"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// fleetWeight is the minimum weight of the newest attempt in the mean of
	// the fleet.
	fleetWeight = 0.02
	// serverWeight is the weight of the newest attempt in a server's relative
	// service time.
	serverWeight = 0.2
	// maxMeanMultiple bounds the effect of one attempt on the mean of the
	// fleet, so that a few slow servers do not raise the mean against which
	// they are compared.
	maxMeanMultiple = 3
	// maxRelativeTime and minRelativeTime bound a server's relative service
	// time.
	maxRelativeTime = 50
	minRelativeTime = 0.05
	// maxWorkKeys bounds the kinds of work that are tracked separately.
	maxWorkKeys = 1024
)

// workKey identifies a kind of work whose requests have similar service times.
type workKey struct {
	service, operation, model string
	class                     core.Class
	size                      int // bit length of the tokens or of the body's KiB
}

func workKeyOf(r *core.Request) workKey {
	size := len(r.Body) >> 10
	if r.IsModelCall() {
		size = r.MaxTokens + len(r.Prompt)/(bytesPerToken*8)
	}
	return workKey{r.Service, r.Operation, r.Model, r.Class, bits.Len(uint(size))}
}

// workTimes holds the durations of one kind of work across the fleet.
type workTimes struct {
	mean    float64 // seconds of a complete attempt
	samples int
	// hedgeDelay estimates the p95 after which a hedge is useful: of a complete
	// plain call, or of the time to the first token of a model call.
	hedgeDelay quantile
}

// serviceTimes holds the durations of each kind of work.
type serviceTimes struct {
	work map[workKey]*workTimes
}

func newServiceTimes() *serviceTimes { return &serviceTimes{work: map[workKey]*workTimes{}} }

func (s *serviceTimes) timesFor(r *core.Request) *workTimes {
	key := workKeyOf(r)
	times := s.work[key]
	if times == nil {
		if len(s.work) >= maxWorkKeys {
			clear(s.work)
		}
		times = &workTimes{mean: defaultServiceTime.Seconds()}
		s.work[key] = times
	}
	return times
}

// observe adds the duration of a complete attempt.
func (w *workTimes) observe(d time.Duration) {
	seconds := d.Seconds()
	w.samples++
	if w.samples == 1 {
		w.mean = seconds
		return
	}
	weight := max(fleetWeight, 1/float64(w.samples))
	w.mean += weight * (min(seconds, maxMeanMultiple*w.mean) - w.mean)
}

// relativeServiceTime is a server's service time as a multiple of the fleet's
// mean.
type relativeServiceTime struct {
	factor  float64 // 1 is the mean of the fleet and the initial value of a new server
	samples int
}

func newRelativeServiceTime() relativeServiceTime { return relativeServiceTime{factor: 1} }

// observe adds an attempt that took the given multiple of the fleet's mean.
func (s *relativeServiceTime) observe(multiple float64) {
	s.samples++
	s.factor += serverWeight * (multiple - s.factor)
	s.factor = min(max(s.factor, minRelativeTime), maxRelativeTime)
}

// observeAtLeast adds an attempt that has already lasted the given multiple and
// was cancelled or is still running. It never lowers the factor.
func (s *relativeServiceTime) observeAtLeast(multiple float64) {
	if multiple > s.factor {
		s.observe(multiple)
	}
}
