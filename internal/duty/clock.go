package duty

import (
	"context"
	"sync"
	"time"
)

// Clock is the time source of duties. Tests use ManualClock.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// AfterFunc calls f once after d. f must not block. The returned function
	// cancels the call and reports whether it did.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemClock is the host's clock.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc wraps time.AfterFunc.
func (SystemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// ManualClock is a clock that moves only when Advance is called. Any goroutine
// may use it.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	nextID uint64
	timers map[uint64]manualTimer
}

type manualTimer struct {
	at time.Time
	f  func()
}

// NewManualClock returns a clock set to start.
func NewManualClock(start time.Time) *ManualClock {
	return &ManualClock{now: start, timers: map[uint64]manualTimer{}}
}

// Now returns the time that the last Advance reached.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc registers f to be called by the Advance that reaches now + d.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	id := c.nextID
	c.timers[id] = manualTimer{at: c.now.Add(d), f: f}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, waiting := c.timers[id]
		delete(c.timers, id)
		return waiting
	}
}

// Advance moves the clock by d and runs the timers that become due, earliest
// first, on the caller's goroutine.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	target := c.now.Add(d)
	c.mu.Unlock()
	for {
		f := c.nextDue(target)
		if f == nil {
			return
		}
		f()
	}
}

// nextDue removes the earliest timer due by target, moves the clock to its time
// and returns its function. Without such a timer it moves the clock to target
// and returns nil.
func (c *ManualClock) nextDue(target time.Time) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var earliestID uint64
	var earliest manualTimer
	for id, t := range c.timers {
		if t.at.After(target) {
			continue
		}
		isEarlier := earliestID == 0 || t.at.Before(earliest.at) || (t.at.Equal(earliest.at) && id < earliestID)
		if isEarlier {
			earliestID, earliest = id, t
		}
	}
	if earliestID == 0 {
		c.now = target
		return nil
	}
	delete(c.timers, earliestID)
	if earliest.at.After(c.now) {
		c.now = earliest.at
	}
	return earliest.f
}

// Sleep blocks for d or until ctx ends; then it returns the error of ctx. Duties
// must not call it.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
