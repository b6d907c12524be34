package backend

import (
	"math/bits"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// fleetWeight is the weight of the newest attempt in the mean of the fleet.
	fleetWeight = 0.02
	// serverWeight is the weight of the newest attempt in a server's factor.
	serverWeight = 0.2
	// maxMeanMultiple bounds one attempt's effect on the mean of the fleet, so that
	// a few slow servers do not hide themselves in it.
	maxMeanMultiple = 3
	// maxFactor and minFactor bound a server's factor.
	maxFactor = 50
	minFactor = 0.05
	// maxWorkKeys bounds the kinds of work that are told apart.
	maxWorkKeys = 1024
)

// workKey is a kind of work with about one service time.
type workKey struct {
	service, operation, model string
	class                     core.Class
	size                      int // power of two of the tokens or of the body's bytes
}

func keyOf(r *core.Request) workKey {
	size := len(r.Body) >> 10
	if r.IsModelCall() {
		size = r.MaxTokens + len(r.Prompt)/(bytesPerToken*8)
	}
	return workKey{r.Service, r.Operation, r.Model, r.Class, bits.Len(uint(size))}
}

// workTimes is what is known of one kind of work across the fleet.
type workTimes struct {
	mean  float64 // seconds of a whole attempt
	count int
	// delay is the time after which a hedge helps: the p95 of a whole plain
	// call, or of the first token of a model call.
	delay quantile
}

// serviceTimes learns how long each kind of work takes.
type serviceTimes struct {
	work map[workKey]*workTimes
}

func newServiceTimes() *serviceTimes { return &serviceTimes{work: map[workKey]*workTimes{}} }

func (s *serviceTimes) of(r *core.Request) *workTimes {
	key := keyOf(r)
	w := s.work[key]
	if w == nil {
		if len(s.work) >= maxWorkKeys {
			clear(s.work)
		}
		w = &workTimes{mean: defaultServiceTime.Seconds()}
		s.work[key] = w
	}
	return w
}

// observe takes the duration of a whole attempt.
func (w *workTimes) observe(d time.Duration) {
	seconds := d.Seconds()
	w.count++
	if w.count == 1 {
		w.mean = seconds
		return
	}
	weight := max(fleetWeight, 1/float64(w.count))
	w.mean += weight * (min(seconds, maxMeanMultiple*w.mean) - w.mean)
}

// serverSpeed is a server's service time in relation to the fleet's.
type serverSpeed struct {
	factor  float64 // 1 is the mean of the fleet, the prior of a new server
	samples int
}

func newSpeed() serverSpeed { return serverSpeed{factor: 1} }

// observe takes an attempt that took the given multiple of the fleet's mean.
func (s *serverSpeed) observe(multiple float64) {
	s.samples++
	s.factor += serverWeight * (multiple - s.factor)
	s.factor = min(max(s.factor, minFactor), maxFactor)
}

// atLeast takes an attempt that has already lasted the given multiple and goes
// on. It never makes the server look faster.
func (s *serverSpeed) atLeast(multiple float64) {
	if multiple > s.factor {
		s.observe(multiple)
	}
}
