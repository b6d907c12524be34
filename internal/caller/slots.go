package caller

import "math"

// Shares of the slots that are kept free of long work.
const (
	leastShortShare = 1.0 / 8
	mostShortShare  = 1.0 / 2
	// peakHeadroom is the multiple of the recent peak of short work that is
	// kept free, for bursts above the peak.
	peakHeadroom = 2
	// peakDecay lowers the remembered peak each tick; it halves in about 7 s.
	peakDecay = 0.99
)

// slots bounds the calls that are handed on. Long work may not take the slots
// that short work needed recently, because a slot that long work takes is not
// free again while short work waits.
type slots struct {
	limit     int
	running   int
	long      int
	shortPeak float64
}

func (s *slots) free() bool { return s.running < s.limit }

// allowLong reports whether one more long call may start.
func (s *slots) allowLong() bool { return s.long < s.limit-s.reserve() }

// reserve returns the number of slots kept free of long work.
func (s *slots) reserve() int {
	if s.limit < 2 {
		return 0
	}
	least := math.Max(1, leastShortShare*float64(s.limit))
	most := math.Max(1, mostShortShare*float64(s.limit))
	return int(math.Min(math.Max(peakHeadroom*s.shortPeak, least), most))
}

func (s *slots) take(long bool) {
	s.running++
	if long {
		s.long++
		return
	}
	s.shortPeak = math.Max(s.shortPeak, float64(s.running-s.long))
}

func (s *slots) give(long bool) {
	s.running--
	if long {
		s.long--
	}
}

func (s *slots) decay() { s.shortPeak *= peakDecay }
