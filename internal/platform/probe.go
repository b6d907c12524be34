package platform

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the probe.
const (
	// ProbePeriod is the time between two pings of the store. A shorter outage
	// may go undetected.
	ProbePeriod = time.Second
	// pingTimeout bounds one ping; a slow store answers within 250 ms.
	pingTimeout      = 800 * time.Millisecond
	pingRingCapacity = 16
)

// Pinger checks whether the store answers. Its method blocks.
type Pinger interface {
	Ping(ctx context.Context) error
}

type pingResult struct {
	number uint64
	err    error
}

// Probe is the duty that detects whether the store answers. A watch that was sent
// while the store did not answer may wait forever on an open connection, so
// watches must be restarted once the store answers again.
type Probe struct {
	loop     *duty.Loop
	pinger   Pinger
	pool     Pool
	onChange func(up bool)
	results  *ring.Ring[pingResult]

	lastPing  uint64 // number of the newest ping
	isWaiting bool
	isDown    bool
}

// NewProbe returns the duty. onChange is called on the duty's goroutine when the
// store stops and starts answering; it must not block.
func NewProbe(clock duty.Clock, pinger Pinger, pool Pool, onChange func(up bool)) *Probe {
	p := &Probe{
		loop: duty.New("probe", clock), pinger: pinger, pool: pool, onChange: onChange,
		results: ring.New[pingResult]("probe.ends", pingRingCapacity),
	}
	duty.On(p.loop, p.results, p.handleResult)
	p.loop.Every(ProbePeriod, p.ping)
	return p
}

// Loop returns the duty's loop.
func (p *Probe) Loop() *duty.Loop { return p.loop }

func (p *Probe) ping() {
	if p.isWaiting {
		p.setUp(false)
	}
	p.lastPing++
	number := p.lastPing
	p.isWaiting = p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		p.results.TryPut(pingResult{number: number, err: p.pinger.Ping(ctx)})
	})
}

func (p *Probe) handleResult(r pingResult) {
	if r.number != p.lastPing {
		return
	}
	p.isWaiting = false
	p.setUp(r.err == nil)
}

func (p *Probe) setUp(up bool) {
	if up == !p.isDown {
		return
	}
	p.isDown = !up
	p.onChange(up)
}
