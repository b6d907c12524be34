package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a clock that includes the time for which the host is suspended.
// Leases are checked against it, because the monotonic clock stops meanwhile. Its times
// must not be compared with those of another clock: they differ by each step of the wall
// clock, and each suspension of the host, since the clock was created.
type BootClock struct {
	SystemClock
	start time.Time
	boot  time.Duration
}

// NewBootClock returns a clock that starts at the wall-clock time of the call.
func NewBootClock() *BootClock {
	return &BootClock{start: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the time without a monotonic reading.
func (c *BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the host booted. Without CLOCK_BOOTTIME it
// returns the monotonic time since the process started.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
