package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Host list timings. Together they keep the time from "leaving" appearing in
// the list to its delivery below 1 s while the platform answers within
// defaultHostBound, also at the end of an outage.
const (
	DefaultHostPollPeriod = 400 * time.Millisecond
	defaultHostBound      = 500 * time.Millisecond // a slower poll is replaced
	hostRetryFirst        = 100 * time.Millisecond
	hostRetryLongest      = 400 * time.Millisecond
	hostRing              = 64 // answers of abandoned polls included
)

// HostListUpdate is a new host list. Hosts is immutable once delivered.
type HostListUpdate struct {
	Hosts   []Host
	Changed []Host   // new, or different from before
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
	TimedOut int64 // polls abandoned at their bound
}

type hostResult struct {
	call  uint64
	hosts []Host
	err   error
}

// HostPoller is the duty that reads the host list. It keeps the last list
// while the platform is down.
type HostPoller struct {
	loop     *duty.Loop
	list     HostList
	pool     Pool
	options  HostOptions
	deliver  func(HostListUpdate)
	results  *ring.Ring[hostResult]
	switches *ring.Ring[bool]

	polls, failed, replaced metrics.Counter

	active  bool
	calling bool
	call    uint64
	pausing bool // a timer will call poll
	polled  bool // a list has been delivered
	hosts   map[string]Host
	retry   *retryDelay
}

// NewHostPoller returns the duty that reads the list. deliver is called on the
// duty's goroutine with the first list and with each change, and must not wait.
func NewHostPoller(clock duty.Clock, list HostList, pool Pool, o HostOptions, deliver func(HostListUpdate)) *HostPoller {
	if o.Period <= 0 {
		o.Period = DefaultHostPollPeriod
	}
	p := &HostPoller{
		loop:     duty.New("hosts", clock),
		list:     list,
		pool:     pool,
		options:  o,
		deliver:  deliver,
		results:  ring.New[hostResult]("hosts.results", hostRing),
		switches: ring.New[bool]("hosts.switches", 1),
		polls:    metrics.NewCounter(),
		failed:   metrics.NewCounter(),
		replaced: metrics.NewCounter(),
		active:   !o.StartInactive,
		retry:    newRetryDelay(hostRetryFirst, hostRetryLongest, o.Random),
	}
	duty.On(p.loop, p.results, p.handleResult)
	duty.On(p.loop, p.switches, p.handleSwitch)
	p.loop.After(0, p.poll)
	return p
}

// Loop returns the duty's loop.
func (p *HostPoller) Loop() *duty.Loop { return p.loop }

// SetActive starts or stops the polling. Any goroutine may call it.
func (p *HostPoller) SetActive(active bool) { p.switches.PutLatest(active) }

// Stats returns the counters. Any goroutine may call it.
func (p *HostPoller) Stats() HostStats {
	return HostStats{Polls: p.polls.Count(), Failed: p.failed.Count(), TimedOut: p.replaced.Count()}
}

func (p *HostPoller) handleSwitch(active bool) {
	p.active = active
	if active {
		p.poll()
	}
}

func (p *HostPoller) poll() {
	if p.calling || p.pausing || !p.active {
		return
	}
	if b := p.options.Budget; b != nil {
		if wait := b.TakeRead(p.loop.Clock().Now()); wait > 0 {
			p.pause(wait)
			return
		}
	}
	p.call++
	number := p.call
	started := p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), defaultHostBound)
		defer cancel()
		hosts, err := p.list.Hosts(ctx)
		p.results.TryPut(hostResult{call: number, hosts: hosts, err: err})
	})
	if !started {
		p.pause(p.retry.next())
		return
	}
	p.calling = true
	p.polls.Inc(1)
	p.loop.After(defaultHostBound, func() { p.checkBound(number) })
}

func (p *HostPoller) pause(d time.Duration) {
	p.pausing = true
	p.loop.After(d, func() {
		p.pausing = false
		p.poll()
	})
}

// checkBound replaces a poll that has not been answered.
func (p *HostPoller) checkBound(number uint64) {
	if !p.calling || p.call != number {
		return
	}
	p.replaced.Inc(1)
	p.calling = false
	p.poll()
}

func (p *HostPoller) handleResult(r hostResult) {
	if !p.calling || r.call != p.call {
		return
	}
	p.calling = false
	if r.err != nil {
		p.failed.Inc(1)
		p.pause(p.retry.next())
		return
	}
	p.retry.reset()
	p.apply(r.hosts)
	p.pause(p.options.Period)
}

func (p *HostPoller) apply(hosts []Host) {
	next := make(map[string]Host, len(hosts))
	change := HostListUpdate{Hosts: hosts}
	for _, h := range hosts {
		next[h.Name] = h
		if before, listed := p.hosts[h.Name]; !listed || before != h {
			change.Changed = append(change.Changed, h)
		}
	}
	for name := range p.hosts {
		if _, listed := next[name]; !listed {
			change.Removed = append(change.Removed, name)
		}
	}
	p.hosts = next
	if p.polled && len(change.Changed) == 0 && len(change.Removed) == 0 {
		return
	}
	p.polled = true
	p.deliver(change)
}
