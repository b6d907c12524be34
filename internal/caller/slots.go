package caller

// shortShare is the share of the slots that long work may not take. A slot that
// long work takes is not free again for many service times of short work. A
// reserve that followed the recent use of short work was tried: when short work
// came back, long work held the slots for its whole service time.
const shortShare = 0.5

// slots bounds the calls that are handed on.
type slots struct {
	limit   int
	running int
	long    int
}

func (s *slots) free() bool { return s.running < s.limit }

// allowLong reports whether one more long call may start. A single slot is
// open to all work, or long work would never run.
func (s *slots) allowLong() bool {
	return s.long < max(1, s.limit-int(shortShare*float64(s.limit)))
}

func (s *slots) take(long bool) {
	s.running++
	if long {
		s.long++
	}
}

func (s *slots) give(long bool) {
	s.running--
	if long {
		s.long--
	}
}
