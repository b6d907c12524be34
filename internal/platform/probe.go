package platform

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Timings of the probe.
const (
	// ProbePeriod is how often the store is asked whether it answers. An outage
	// that is shorter may go unseen.
	ProbePeriod = time.Second
	// probeBound is how long one answer may take; a slow store answers in a
	// quarter of a second.
	probeBound = 800 * time.Millisecond
	probeRing  = 16
)

// Pinger asks the store for any answer. Its method blocks.
type Pinger interface {
	Ping(ctx context.Context) error
}

type pingEnd struct {
	number uint64
	err    error
}

// Probe is the duty that finds out whether the store answers. A watch that was
// sent while the store was silent may wait for ever, though its connection
// lives, so watches are to be made anew once the store answers again.
type Probe struct {
	loop     *duty.Loop
	pinger   Pinger
	pool     Pool
	onChange func(up bool)
	ends     *ring.Ring[pingEnd]

	number  uint64 // of the newest ping
	waiting bool
	down    bool
}

// NewProbe returns the duty. onChange is called on the duty's goroutine when
// the store stops and starts to answer; it must not wait.
func NewProbe(clock duty.Clock, pinger Pinger, pool Pool, onChange func(up bool)) *Probe {
	p := &Probe{
		loop: duty.New("probe", clock), pinger: pinger, pool: pool, onChange: onChange,
		ends: ring.New[pingEnd]("probe.ends", probeRing),
	}
	duty.On(p.loop, p.ends, p.handleEnd)
	p.loop.Every(ProbePeriod, p.ping)
	return p
}

// Loop returns the duty's loop.
func (p *Probe) Loop() *duty.Loop { return p.loop }

func (p *Probe) ping() {
	if p.waiting {
		p.set(false)
	}
	p.number++
	number := p.number
	p.waiting = p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeBound)
		defer cancel()
		p.ends.TryPut(pingEnd{number: number, err: p.pinger.Ping(ctx)})
	})
}

func (p *Probe) handleEnd(e pingEnd) {
	if e.number != p.number {
		return
	}
	p.waiting = false
	p.set(e.err == nil)
}

func (p *Probe) set(up bool) {
	if up == !p.down {
		return
	}
	p.down = !up
	p.onChange(up)
}
