package backend

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Poll timings and budgets.
const (
	pollTick   = 100 * time.Millisecond
	listPeriod = 500 * time.Millisecond
	pollPeriod = 500 * time.Millisecond
	// remotePollPeriod is for servers of other data centres, which serve only
	// when the own ones cannot.
	remotePollPeriod = 10 * time.Second
	// missedReports is the number of periods without a report after which a
	// daemon polls a server that another daemon should poll.
	missedReports = 6
	// describePeriod is longer than pollPeriod, since descriptions are larger
	// and change seldom.
	describePeriod = time.Second
	pollTimeout    = 2 * time.Second
	// pollBudget bounds the polls that one tick starts. Servers that are polled
	// late by it come first in the next tick.
	pollBudget = 32
	// publishPeriod bounds how often new load reports are published. Changes of
	// the servers themselves are published at once.
	publishPeriod = 100 * time.Millisecond
	// unreachableAfter is the number of failed polls in a row after which a
	// server is marked unreachable.
	unreachableAfter = 3
	// forgetAfter is how long a server stays known that is not listed and of
	// which nothing is heard.
	forgetAfter = 10 * time.Second
)

// ServerSource reads the backend servers that the platform lists. It blocks.
type ServerSource interface {
	BackendHosts(ctx context.Context) ([]Server, error)
}

// AssignmentFunc reports whether this daemon polls a server. It must not wait.
type AssignmentFunc func(core.ServerID) bool

type pollResult struct {
	id          core.ServerID
	ok          bool
	described   bool
	description Description
	load        Load
	cache       CacheEvents
}

type hostResult struct {
	servers []Server
	err     error
}

// tracked is one server with the state of its polls.
type tracked struct {
	server      Server
	listed      bool
	knownAt     time.Time // when it was first listed
	polling     bool
	failures    int // in a row
	polledAt    time.Time
	describedAt time.Time
	heardAt     time.Time // of the newest report
	cacheAfter  int64     // sequence of the newest cache event read
}

// Poller is the duty that keeps the table of backend servers.
type Poller struct {
	loop    *duty.Loop
	hosts   ServerSource
	prober  Prober
	tryGo   func(func()) bool // runs a blocking call on the pool
	deliver func([]Server)

	cacheSource    CacheSource
	deliverCache   func(CacheEvents)
	deliverReports func([]ServerReport)

	results     *ring.Ring[pollResult]
	hostResults *ring.Ring[hostResult]
	reports     *ring.Ring[[]ServerReport]
	assignments *ring.Ring[AssignmentFunc]

	known      map[core.ServerID]*tracked
	order      []*tracked // by server
	next       int        // index in order where the next tick begins
	isAssigned AssignmentFunc
	dataCentre string
	fresh      []ServerReport // polled since the last publication
	listing    bool
	listedAt   time.Time
	publishDue bool
}

// NewPoller returns the poller duty. deliver must not wait. A nil hosts means
// that the list comes through SetHosts.
func NewPoller(clock duty.Clock, hosts ServerSource, prober Prober, pool *duty.Pool, deliver func([]Server)) *Poller {
	p := &Poller{
		loop:        duty.New("loadpoll", clock),
		hosts:       hosts,
		prober:      prober,
		tryGo:       pool.TryGo,
		deliver:     deliver,
		results:     ring.New[pollResult]("loadpoll.results", serverRingCapacity*8),
		hostResults: ring.New[hostResult]("loadpoll.hosts", 4),
		reports:     ring.New[[]ServerReport]("loadpoll.reports", serverRingCapacity),
		assignments: ring.New[AssignmentFunc]("loadpoll.assignments", 1),
		known:       map[core.ServerID]*tracked{},
		isAssigned:  func(core.ServerID) bool { return true },
	}
	duty.On(p.loop, p.hostResults, p.handleHosts)
	duty.On(p.loop, p.assignments, func(a AssignmentFunc) { p.isAssigned = a })
	duty.On(p.loop, p.results, p.handleResult)
	duty.On(p.loop, p.reports, p.handleReports)
	p.loop.After(0, p.tick)
	return p
}

// Loop returns the duty's loop.
func (p *Poller) Loop() *duty.Loop { return p.loop }

// SetServers takes the listed backend servers.
func (p *Poller) SetServers(servers []Server) { p.hostResults.PutLatest(hostResult{servers: servers}) }

// SetDataCentre names the daemon's own data centre. It is set before the duty starts.
func (p *Poller) SetDataCentre(name string) { p.dataCentre = name }

// SetAssignments sets which servers this daemon polls; by default all.
func (p *Poller) SetAssignments(a AssignmentFunc) { p.assignments.PutLatest(a) }

// SetCacheSource makes the poller read cache events of engines. deliver must
// not wait, and it is set before the duty starts.
func (p *Poller) SetCacheSource(source CacheSource, deliver func(CacheEvents)) {
	p.cacheSource, p.deliverCache = source, deliver
}

func (p *Poller) tick() {
	p.loop.After(pollTick, p.tick)
	now := p.loop.Clock().Now()
	p.list(now)
	p.forget(now)
	p.pollDue(now)
}

func (p *Poller) list(now time.Time) {
	if p.hosts == nil || p.listing || (!p.listedAt.IsZero() && now.Sub(p.listedAt) < listPeriod) {
		return
	}
	p.listedAt = now
	p.listing = p.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		servers, err := p.hosts.BackendHosts(ctx)
		p.hostResults.TryPut(hostResult{servers: servers, err: err})
	})
}

// handleHosts takes the host list. It only adds information: a server that is
// missing from it stays known while it is heard of.
func (p *Poller) handleHosts(r hostResult) {
	p.listing = false
	if r.err != nil {
		return
	}
	for _, t := range p.order {
		t.listed = false
	}
	changed := false
	for _, s := range r.servers {
		changed = p.listed(s) || changed
	}
	if changed {
		p.sort()
		p.publish()
		p.pollDue(p.loop.Clock().Now())
	}
}

// listed takes one entry of the host list and reports whether it was news.
func (p *Poller) listed(s Server) bool {
	t := p.known[s.ID]
	if t == nil {
		p.known[s.ID] = &tracked{server: s, listed: true, knownAt: p.loop.Clock().Now()}
		return true
	}
	t.listed = true
	same := t.server.Address == s.Address && t.server.Leaving == s.Leaving && t.server.DataCentre == s.DataCentre
	t.server.Address, t.server.Leaving, t.server.DataCentre = s.Address, s.Leaving, s.DataCentre
	return !same
}

func (p *Poller) sort() {
	p.order = p.order[:0]
	for _, t := range p.known {
		p.order = append(p.order, t)
	}
	slices.SortFunc(p.order, func(a, b *tracked) int { return strings.Compare(string(a.server.ID), string(b.server.ID)) })
}

// forget drops servers that are neither listed nor heard of.
func (p *Poller) forget(now time.Time) {
	changed := false
	for id, t := range p.known {
		if !t.listed && now.Sub(t.heardAt) >= forgetAfter {
			delete(p.known, id)
			changed = true
		}
	}
	if changed {
		p.sort()
		p.publish()
	}
}

// pollDue starts the polls that are due, within the budget.
func (p *Poller) pollDue(now time.Time) {
	started, visited := 0, 0
	for ; visited < len(p.order) && started < pollBudget; visited++ {
		t := p.order[(p.next+visited)%len(p.order)]
		if t.polling || !p.isDue(t, now) {
			continue
		}
		p.poll(t, now)
		started++
	}
	if len(p.order) > 0 {
		p.next = (p.next + visited) % len(p.order)
	}
}

// isDue reports whether this daemon polls the server now: its own servers each
// period, and those of other daemons once their reports have stopped.
func (p *Poller) isDue(t *tracked, now time.Time) bool {
	period := pollPeriod
	if t.server.DataCentre != p.dataCentre {
		period = remotePollPeriod
	}
	if !t.polledAt.IsZero() && now.Sub(t.polledAt) < period {
		return false
	}
	lastNews := t.knownAt
	if t.heardAt.After(lastNews) {
		lastNews = t.heardAt
	}
	return p.isAssigned(t.server.ID) || now.Sub(lastNews) >= missedReports*period
}

func (p *Poller) poll(t *tracked, now time.Time) {
	server, after := t.server, t.cacheAfter
	describe := t.failures > 0 || t.describedAt.IsZero() || now.Sub(t.describedAt) >= describePeriod
	t.polling = p.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		p.results.TryPut(p.probe(ctx, server, describe, after))
	})
	if t.polling {
		t.polledAt = now
	}
}

// probe runs on the pool.
func (p *Poller) probe(ctx context.Context, s Server, describe bool, after int64) pollResult {
	result := pollResult{id: s.ID, described: describe, description: s.Description}
	var err error
	if describe {
		if result.description, err = p.prober.Describe(ctx, s.Address); err != nil {
			return result
		}
	}
	if result.load, err = p.prober.Load(ctx, s.Address); err != nil {
		return result
	}
	result.ok = true
	if p.cacheSource == nil || len(result.description.Models) == 0 {
		return result
	}
	if result.description.Incarnation != s.Description.Incarnation {
		after = 0
	}
	events, err := p.cacheSource.CacheEvents(ctx, s.Address, after)
	if err == nil {
		result.cache = CacheEvents{Server: s.ID, Incarnation: result.description.Incarnation, After: after, Events: events}
	}
	return result
}

func (p *Poller) handleResult(r pollResult) {
	t := p.known[r.id]
	if t == nil {
		return
	}
	t.polling = false
	now := p.loop.Clock().Now()
	if !r.ok {
		p.failed(t)
		return
	}
	if r.described {
		t.describedAt = now
		t.server.DescribedAt = now
	}
	r.load.ReceivedAt = now
	p.heard(t, r.description, r.load, now)
	p.report(t)
	p.readCache(t, r.cache)
}

func (p *Poller) failed(t *tracked) {
	t.failures++
	if t.failures != unreachableAfter {
		return
	}
	t.server.Unreachable = true
	p.report(t)
	p.publish()
}

// heard takes a report of a server, polled here or by another daemon.
func (p *Poller) heard(t *tracked, description Description, load Load, at time.Time) {
	isNews := t.server.Unreachable || t.server.Description.Incarnation != description.Incarnation
	if t.server.Description.Incarnation != description.Incarnation {
		t.cacheAfter = 0
	}
	t.failures = 0
	t.heardAt = at
	t.server.Unreachable = false
	t.server.Description, t.server.Load = description, load
	if isNews {
		p.publish()
		return
	}
	p.publishSoon()
}

func (p *Poller) readCache(t *tracked, events CacheEvents) {
	if len(events.Events) == 0 {
		return
	}
	t.cacheAfter = events.Events[len(events.Events)-1].Sequence
	p.deliverCache(events)
}
