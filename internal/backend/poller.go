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

// Poll periods and limits.
const (
	pollTick   = 100 * time.Millisecond
	listPeriod = 500 * time.Millisecond
	pollPeriod = 500 * time.Millisecond
	// remotePollPeriod is the poll period for servers of other data centres,
	// which serve requests only when the local ones cannot.
	remotePollPeriod = 10 * time.Second
	// maxMissedReports is the number of periods without a report after which a
	// daemon polls a server that is assigned to another daemon.
	maxMissedReports = 6
	// describePeriod is longer than pollPeriod because descriptions are larger
	// and change rarely.
	describePeriod = time.Second
	pollTimeout    = 2 * time.Second
	// maxPollsPerTick bounds the polls that one tick starts. Servers that it
	// delays come first in the next tick.
	maxPollsPerTick = 32
	// publishPeriod bounds how often new load reports are published. Changes of
	// the servers themselves are published immediately.
	publishPeriod = 100 * time.Millisecond
	// unreachableFailures is the number of consecutive failed polls after which
	// a server is marked unreachable.
	unreachableFailures = 3
	// absentServerTTL is the time after the last report for which a server that
	// is no longer listed is kept.
	absentServerTTL = 10 * time.Second
)

// ServerSource reads the backend servers that the platform lists. It blocks.
type ServerSource interface {
	BackendServers(ctx context.Context) ([]Server, error)
}

// AssignmentFunc reports whether this daemon polls a server. It must not block.
type AssignmentFunc func(core.ServerID) bool

type pollResult struct {
	id          core.ServerID
	succeeded   bool
	isDescribed bool
	description Description
	load        Load
	cache       CacheEvents
}

type listResult struct {
	servers []Server
	err     error
}

// polledServer is one server with the state of its polls.
type polledServer struct {
	server              Server
	isListed            bool
	firstListedAt       time.Time // when it was first listed
	isPolling           bool
	consecutiveFailures int // consecutive failed polls
	polledAt            time.Time
	describedAt         time.Time
	reportedAt          time.Time // time of the newest report
	cacheSequence       int64     // sequence number of the newest cache event read
}

// Poller is the duty that maintains the table of backend servers from polls and
// from reports of peers.
type Poller struct {
	loop    *duty.Loop
	source  ServerSource
	prober  Prober
	tryGo   func(func()) bool // runs a blocking function on the pool
	deliver func([]Server)

	cacheSource    CacheSource
	deliverCache   func(CacheEvents)
	deliverReports func([]ServerReport)

	results     *ring.Ring[pollResult]
	listResults *ring.Ring[listResult]
	reports     *ring.Ring[[]ServerReport]
	assignments *ring.Ring[AssignmentFunc]

	servers        map[core.ServerID]*polledServer
	order          []*polledServer // by server ID
	nextIndex      int             // index in order at which the next tick begins
	isAssigned     AssignmentFunc
	dataCentre     string
	unsentReports  []ServerReport // polled since the last publication
	isListing      bool
	listedAt       time.Time
	publishPending bool
}

// NewPoller returns the poller duty. deliver must not block. If source is nil,
// the list comes through SetServers.
func NewPoller(clock duty.Clock, source ServerSource, prober Prober, pool *duty.Pool, deliver func([]Server)) *Poller {
	p := &Poller{
		loop:        duty.New("loadpoll", clock),
		source:      source,
		prober:      prober,
		tryGo:       pool.TryGo,
		deliver:     deliver,
		results:     ring.New[pollResult]("loadpoll.results", serverRingCapacity*8),
		listResults: ring.New[listResult]("loadpoll.hosts", 4),
		reports:     ring.New[[]ServerReport]("loadpoll.reports", serverRingCapacity),
		assignments: ring.New[AssignmentFunc]("loadpoll.assignments", 1),
		servers:     map[core.ServerID]*polledServer{},
		isAssigned:  func(core.ServerID) bool { return true },
	}
	duty.On(p.loop, p.listResults, p.handleList)
	duty.On(p.loop, p.assignments, func(a AssignmentFunc) { p.isAssigned = a })
	duty.On(p.loop, p.results, p.handleResult)
	duty.On(p.loop, p.reports, p.handleReports)
	p.loop.After(0, p.tick)
	return p
}

// Loop returns the duty's loop, which the caller runs.
func (p *Poller) Loop() *duty.Loop { return p.loop }

// SetServers replaces the listed backend servers.
func (p *Poller) SetServers(servers []Server) { p.listResults.PutLatest(listResult{servers: servers}) }

// SetDataCentre sets the daemon's own data centre. It must be called before the
// duty starts.
func (p *Poller) SetDataCentre(name string) { p.dataCentre = name }

// SetAssignments sets which servers this daemon polls; the default is all.
func (p *Poller) SetAssignments(a AssignmentFunc) { p.assignments.PutLatest(a) }

// SetCacheSource makes the poller read cache events of engines. deliver must
// not block. SetCacheSource must be called before the duty starts.
func (p *Poller) SetCacheSource(source CacheSource, deliver func(CacheEvents)) {
	p.cacheSource, p.deliverCache = source, deliver
}

func (p *Poller) tick() {
	p.loop.After(pollTick, p.tick)
	now := p.loop.Clock().Now()
	p.startListing(now)
	p.removeAbsent(now)
	p.startDuePolls(now)
}

func (p *Poller) startListing(now time.Time) {
	if p.source == nil || p.isListing || (!p.listedAt.IsZero() && now.Sub(p.listedAt) < listPeriod) {
		return
	}
	p.listedAt = now
	p.isListing = p.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		servers, err := p.source.BackendServers(ctx)
		p.listResults.TryPut(listResult{servers: servers, err: err})
	})
}

// handleList applies the platform's list. The list only adds servers: a server
// that is missing from it is kept while reports of it arrive.
func (p *Poller) handleList(r listResult) {
	p.isListing = false
	if r.err != nil {
		return
	}
	for _, t := range p.order {
		t.isListed = false
	}
	changed := false
	for _, s := range r.servers {
		changed = p.updateListed(s) || changed
	}
	if changed {
		p.sortServers()
		p.publish()
		p.startDuePolls(p.loop.Clock().Now())
	}
}

// updateListed applies one listed server and reports whether it changed
// anything.
func (p *Poller) updateListed(s Server) bool {
	t := p.servers[s.ID]
	if t == nil {
		p.servers[s.ID] = &polledServer{server: s, isListed: true, firstListedAt: p.loop.Clock().Now()}
		return true
	}
	t.isListed = true
	isUnchanged := t.server.Address == s.Address && t.server.Leaving == s.Leaving && t.server.DataCentre == s.DataCentre
	t.server.Address, t.server.Leaving, t.server.DataCentre = s.Address, s.Leaving, s.DataCentre
	return !isUnchanged
}

func (p *Poller) sortServers() {
	p.order = p.order[:0]
	for _, t := range p.servers {
		p.order = append(p.order, t)
	}
	slices.SortFunc(p.order, func(a, b *polledServer) int { return strings.Compare(string(a.server.ID), string(b.server.ID)) })
}

// removeAbsent removes servers that are not listed and of which no reports
// arrive.
func (p *Poller) removeAbsent(now time.Time) {
	changed := false
	for id, t := range p.servers {
		if !t.isListed && now.Sub(t.reportedAt) >= absentServerTTL {
			delete(p.servers, id)
			changed = true
		}
	}
	if changed {
		p.sortServers()
		p.publish()
	}
}

// startDuePolls starts the polls that are due, at most maxPollsPerTick.
func (p *Poller) startDuePolls(now time.Time) {
	started, visited := 0, 0
	for ; visited < len(p.order) && started < maxPollsPerTick; visited++ {
		t := p.order[(p.nextIndex+visited)%len(p.order)]
		if t.isPolling || !p.isDue(t, now) {
			continue
		}
		p.startPoll(t, now)
		started++
	}
	if len(p.order) > 0 {
		p.nextIndex = (p.nextIndex + visited) % len(p.order)
	}
}

// isDue reports whether this daemon polls the server now: the servers assigned
// to it in each period, and those of other daemons once their reports have
// stopped. A server without a description cannot be used, and other daemons may
// not send its description again for minutes, so it is polled as soon as a server
// of this data centre.
func (p *Poller) isDue(t *polledServer, now time.Time) bool {
	period := pollPeriod
	if t.server.DataCentre != p.dataCentre && t.server.Description.Incarnation != "" {
		period = remotePollPeriod
	}
	if !t.polledAt.IsZero() && now.Sub(t.polledAt) < period {
		return false
	}
	lastReport := t.firstListedAt
	if t.reportedAt.After(lastReport) {
		lastReport = t.reportedAt
	}
	return p.isAssigned(t.server.ID) || now.Sub(lastReport) >= maxMissedReports*period
}

func (p *Poller) startPoll(t *polledServer, now time.Time) {
	server, after := t.server, t.cacheSequence
	describe := t.consecutiveFailures > 0 || t.describedAt.IsZero() || now.Sub(t.describedAt) >= describePeriod
	t.isPolling = p.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		p.results.TryPut(p.probe(ctx, server, describe, after))
	})
	if t.isPolling {
		t.polledAt = now
	}
}

// probe runs on a pool goroutine.
func (p *Poller) probe(ctx context.Context, s Server, describe bool, after int64) pollResult {
	result := pollResult{id: s.ID, isDescribed: describe, description: s.Description}
	var err error
	if describe {
		if result.description, err = p.prober.Describe(ctx, s.Address); err != nil {
			return result
		}
	}
	if result.load, err = p.prober.Load(ctx, s.Address); err != nil {
		return result
	}
	result.succeeded = true
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
	t := p.servers[r.id]
	if t == nil {
		return
	}
	t.isPolling = false
	now := p.loop.Clock().Now()
	if !r.succeeded {
		p.recordFailure(t)
		return
	}
	if r.isDescribed {
		t.describedAt = now
		t.server.DescribedAt = now
	}
	r.load.ReceivedAt = now
	p.applyReport(t, r.description, r.load, now)
	p.queueReport(t)
	p.handleCacheEvents(t, r.cache)
}

func (p *Poller) recordFailure(t *polledServer) {
	t.consecutiveFailures++
	if t.consecutiveFailures != unreachableFailures {
		return
	}
	t.server.Unreachable = true
	p.queueReport(t)
	p.publish()
}

// applyReport applies a report of a server that was polled here or by a peer.
func (p *Poller) applyReport(t *polledServer, description Description, load Load, at time.Time) {
	isChanged := t.server.Unreachable || t.server.Description.Incarnation != description.Incarnation
	if t.server.Description.Incarnation != description.Incarnation {
		t.cacheSequence = 0
	}
	t.consecutiveFailures = 0
	t.reportedAt = at
	t.server.Unreachable = false
	t.server.Description, t.server.Load = description, load
	if isChanged {
		p.publish()
		return
	}
	p.schedulePublish()
}

func (p *Poller) handleCacheEvents(t *polledServer, events CacheEvents) {
	if len(events.Events) == 0 {
		return
	}
	t.cacheSequence = events.Events[len(events.Events)-1].Sequence
	p.deliverCache(events)
}
