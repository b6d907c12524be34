package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the host poller. Together they deliver a host's change to "leaving"
// within 1 s of its appearance in the list, also at the end of an outage, while
// the platform answers within hostPollTimeout.
const (
	// DefaultHostPollPeriod is the delay between an answer and the next poll.
	DefaultHostPollPeriod = 400 * time.Millisecond
	hostPollTimeout       = 500 * time.Millisecond // a slower poll is abandoned and repeated
	minHostRetryDelay     = 100 * time.Millisecond
	maxHostRetryDelay     = 400 * time.Millisecond
	hostRingCapacity      = 64 // results, those of abandoned polls included
)

// HostListUpdate is a changed host list. Hosts is immutable once delivered.
type HostListUpdate struct {
	Hosts   []Host
	Changed []Host   // new, or different from the previous list
	Removed []string // names of hosts no longer listed
}

// HostOptions sets the limits of a host poller. Zero values take the defaults.
type HostOptions struct {
	Budget        *Budget // shared with the store duty; nil is no limit
	Period        time.Duration
	StartInactive bool       // start without polling until SetActive(true)
	Random        *rand.Rand // for jitter
}

// HostStats are the counters of a host poller.
type HostStats struct {
	Polls    int64
	Failed   int64
	TimedOut int64 // polls abandoned at hostPollTimeout
}

type pollResult struct {
	number uint64
	hosts  []Host
	err    error
}

// HostPoller is the duty that reads the host list. While the platform is down the
// last list stays valid.
type HostPoller struct {
	loop        *duty.Loop
	list        HostList
	pool        Pool
	options     HostOptions
	deliver     func(HostListUpdate)
	results     *ring.Ring[pollResult]
	activations *ring.Ring[bool]

	polls, failed, timedOut metrics.Counter

	isActive     bool
	isPolling    bool
	pollNumber   uint64
	isPaused     bool // a timer will start the next poll
	hasDelivered bool // the first list was delivered
	hosts        map[string]Host
	retryDelay   *retryDelay
}

// NewHostPoller returns the duty that reads the list. deliver is called on the
// duty's goroutine with the first list and with each change, and must not block.
func NewHostPoller(clock duty.Clock, list HostList, pool Pool, o HostOptions, deliver func(HostListUpdate)) *HostPoller {
	if o.Period <= 0 {
		o.Period = DefaultHostPollPeriod
	}
	p := &HostPoller{
		loop:        duty.New("hosts", clock),
		list:        list,
		pool:        pool,
		options:     o,
		deliver:     deliver,
		results:     ring.New[pollResult]("hosts.results", hostRingCapacity),
		activations: ring.New[bool]("hosts.switches", 1),
		polls:       metrics.NewCounter(),
		failed:      metrics.NewCounter(),
		timedOut:    metrics.NewCounter(),
		isActive:    !o.StartInactive,
		retryDelay:  newRetryDelay(minHostRetryDelay, maxHostRetryDelay, o.Random),
	}
	duty.On(p.loop, p.results, p.handleResult)
	duty.On(p.loop, p.activations, p.handleActivation)
	p.loop.After(0, p.poll)
	return p
}

// Loop returns the duty's loop.
func (p *HostPoller) Loop() *duty.Loop { return p.loop }

// SetActive starts or stops polling. Any goroutine may call it.
func (p *HostPoller) SetActive(active bool) { p.activations.PutLatest(active) }

// Stats returns the counters. Any goroutine may call it.
func (p *HostPoller) Stats() HostStats {
	return HostStats{Polls: p.polls.Count(), Failed: p.failed.Count(), TimedOut: p.timedOut.Count()}
}

func (p *HostPoller) handleActivation(active bool) {
	p.isActive = active
	if active {
		p.poll()
	}
}

func (p *HostPoller) poll() {
	if p.isPolling || p.isPaused || !p.isActive {
		return
	}
	if b := p.options.Budget; b != nil {
		if wait := b.TakeRead(p.loop.Clock().Now()); wait > 0 {
			p.pause(wait)
			return
		}
	}
	p.pollNumber++
	number := p.pollNumber
	started := p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hostPollTimeout)
		defer cancel()
		hosts, err := p.list.Hosts(ctx)
		p.results.TryPut(pollResult{number: number, hosts: hosts, err: err})
	})
	if !started {
		p.pause(p.retryDelay.next())
		return
	}
	p.isPolling = true
	p.polls.Inc(1)
	p.loop.After(hostPollTimeout, func() { p.checkTimeout(number) })
}

func (p *HostPoller) pause(d time.Duration) {
	p.isPaused = true
	p.loop.After(d, func() {
		p.isPaused = false
		p.poll()
	})
}

// checkTimeout abandons a poll that was not answered in time and starts the next.
func (p *HostPoller) checkTimeout(pollNumber uint64) {
	if !p.isPolling || p.pollNumber != pollNumber {
		return
	}
	p.timedOut.Inc(1)
	p.isPolling = false
	p.poll()
}

func (p *HostPoller) handleResult(r pollResult) {
	if !p.isPolling || r.number != p.pollNumber {
		return
	}
	p.isPolling = false
	if r.err != nil {
		p.failed.Inc(1)
		p.pause(p.retryDelay.next())
		return
	}
	p.retryDelay.reset()
	p.apply(r.hosts)
	p.pause(p.options.Period)
}

func (p *HostPoller) apply(hosts []Host) {
	next := make(map[string]Host, len(hosts))
	update := HostListUpdate{Hosts: hosts}
	for _, h := range hosts {
		next[h.Name] = h
		if previous, listed := p.hosts[h.Name]; !listed || previous != h {
			update.Changed = append(update.Changed, h)
		}
	}
	for name := range p.hosts {
		if _, listed := next[name]; !listed {
			update.Removed = append(update.Removed, name)
		}
	}
	p.hosts = next
	if p.hasDelivered && len(update.Changed) == 0 && len(update.Removed) == 0 {
		return
	}
	p.hasDelivered = true
	p.deliver(update)
}
