package platform

import (
	"context"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the probe.
const (
	// ProbePeriod is the longest time without an answer after which the store is
	// pinged. A shorter outage may go undetected.
	ProbePeriod = time.Second
	// downProbePeriod is the time between two pings while the store does not answer.
	// With the answer of a slow store it leaves time for another call within 1.2 s of
	// the store's return.
	downProbePeriod = 500 * time.Millisecond
	// pingTimeout bounds one ping; a slow store answers within 250 ms.
	pingTimeout = 800 * time.Millisecond
	// pingRingCapacity is above the number of pings in flight, of which one starts in
	// each downProbePeriod and ends after pingTimeout.
	pingRingCapacity = 16
	// callEndRingCapacity bounds the ends of other duties' calls that wait. The oldest
	// are dropped, since the newest show whether the store answers.
	callEndRingCapacity = 256
)

var errPingUnanswered = errors.New("ping was not answered in time")

// Pinger checks whether the store answers. Its method blocks.
type Pinger interface {
	Ping(ctx context.Context) error
}

// Probe is the duty that knows whether the store answers, from the ends of other
// duties' calls and, when there are none, from pings. A watch that was sent
// while the store did not answer may wait forever on an open connection, so
// watches must be restarted once the store answers again.
type Probe struct {
	loop      *duty.Loop
	pinger    Pinger
	pool      Pool
	onChange  func(AvailabilityChange)
	onPingEnd func(CallEnd)
	results   *ring.Ring[CallEnd]
	callEnds  *ring.Ring[CallEnd]

	store      availability
	lastPingAt time.Time
	isWaiting  bool // the last ping has no result
	isInDoubt  bool // a call was refused and nothing was answered since
	stopTimer  func() bool
}

// NewProbe returns the duty. onChange is called on the duty's goroutine when the
// store stops and starts answering; it must not block.
func NewProbe(clock duty.Clock, pinger Pinger, pool Pool, onChange func(AvailabilityChange)) *Probe {
	p := &Probe{
		loop: duty.New("probe", clock), pinger: pinger, pool: pool, onChange: onChange, onPingEnd: func(CallEnd) {},
		results:    ring.New[CallEnd]("probe.ends", pingRingCapacity),
		callEnds:   ring.New[CallEnd]("probe.calls", callEndRingCapacity),
		store:      newAvailability(clock.Now()),
		lastPingAt: clock.Now(),
		stopTimer:  func() bool { return false },
	}
	duty.On(p.loop, p.results, p.handlePingEnd)
	duty.On(p.loop, p.callEnds, p.handleCallEnd)
	p.schedulePing()
	return p
}

// Loop returns the duty's loop.
func (p *Probe) Loop() *duty.Loop { return p.loop }

// ReportCall passes the end of another duty's call of the store. Any goroutine may
// call it.
func (p *Probe) ReportCall(e CallEnd) { p.callEnds.PutLatest(e) }

// OnPingEnd sets the function that receives the end of each ping on the duty's
// goroutine; it must not block. It is set before the duty starts.
func (p *Probe) OnPingEnd(f func(CallEnd)) { p.onPingEnd = f }

// schedulePing replaces the timer of the next ping.
func (p *Probe) schedulePing() {
	p.stopTimer()
	p.stopTimer = p.loop.After(p.nextPingAt().Sub(p.loop.Clock().Now()), p.pingIfDue)
}

// nextPingAt returns when the store is pinged if nothing is answered until then.
func (p *Probe) nextPingAt() time.Time {
	switch {
	case p.store.isDown || p.isInDoubt:
		return p.lastPingAt.Add(downProbePeriod)
	case p.store.answeredSince(p.lastPingAt):
		return p.store.lastAnswerAt.Add(ProbePeriod)
	}
	return p.lastPingAt.Add(ProbePeriod)
}

// pingIfDue starts a ping unless an answer has made it unnecessary meanwhile.
func (p *Probe) pingIfDue() {
	now := p.loop.Clock().Now()
	if !now.Before(p.nextPingAt()) {
		p.ping(now)
	}
	p.schedulePing()
}

func (p *Probe) ping(now time.Time) {
	if p.isWaiting && now.Sub(p.lastPingAt) >= pingTimeout {
		p.record(CallEnd{Started: p.lastPingAt, Ended: now, Err: errPingUnanswered, IsPing: true})
	}
	p.lastPingAt = now
	p.isWaiting = p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		p.results.TryPut(CallEnd{Started: now, Err: p.pinger.Ping(ctx), IsPing: true})
	})
}

func (p *Probe) handlePingEnd(e CallEnd) {
	e.Ended = p.loop.Clock().Now()
	if e.Started.Equal(p.lastPingAt) {
		p.isWaiting = false
	}
	// The store duty learns of an answer before others submit operations because of it.
	p.onPingEnd(e)
	p.record(e)
}

// handleCallEnd records the end of another duty's call. After a refused call the store
// is pinged soon, since a ping decides whether it answers.
func (p *Probe) handleCallEnd(e CallEnd) {
	p.record(e)
	if !e.isAnswer() && !p.isInDoubt && !p.store.isDown && !p.store.answeredSince(e.Started) {
		p.isInDoubt = true
		p.schedulePing()
	}
}

func (p *Probe) record(e CallEnd) {
	if e.isAnswer() {
		p.isInDoubt = false
	}
	for _, c := range p.store.record(e) {
		p.onChange(c)
		if !c.Up {
			p.schedulePing()
		}
	}
}
