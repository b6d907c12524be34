package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a clock that goes on while the host is suspended. A lease is
// checked against it, because the steady clock stands still meanwhile.
type BootClock struct {
	SystemClock
	start time.Time
	boot  time.Duration
}

// NewBootClock returns a clock that starts at the time of day.
func NewBootClock() *BootClock {
	return &BootClock{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time without a monotonic reading.
func (c *BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// sinceBoot falls back to the steady clock where the system lacks the other.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
