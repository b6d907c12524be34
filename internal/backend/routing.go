package backend

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// routingPeriod is the interval at which load estimates and medians of all
	// servers are recalculated.
	routingPeriod = 100 * time.Millisecond
	// remoteDepthThreshold is the work per slot of the best local server above
	// which servers of other data centres are considered.
	remoteDepthThreshold = 1
	// minRemoteSpeedup is the factor by which a remote server must be faster
	// than the best local one.
	minRemoteSpeedup = 2
	// maxScanServers is the number of servers up to which a full scan costs no
	// more than random draws.
	maxScanServers = 16
	// maxRolloutDepth is the work per slot of an engine above which no item of
	// a step is sent to it. Items wait in the daemon rather than in the
	// engine's queue, so that they can go to whichever engine has room first.
	maxRolloutDepth = 1.25
	// maxBackgroundDepth is the work per slot of a server above which no background
	// request is sent to it.
	maxBackgroundDepth = 1
	// firstTokenDivisor divides the duration of whole model calls to seed the
	// estimate of the time to the first token. An estimate that is too low is
	// corrected within a few calls, one that is too high only within thousands.
	firstTokenDivisor = 10
)

// fallbackLevel widens the set of eligible servers step by step when the
// preferred ones are not available.
type fallbackLevel int

const (
	healthyUntried    fallbackLevel = iota
	notEjectedUntried               // adds servers with overdue work or in slow start
	anyUntried                      // adds ejected and unreachable servers
	anyExceptLast                   // adds servers that were tried, except the last one
	anyServer                       // adds the server that was tried last
)

// attemptedServers are the servers that a call has tried. A nil pointer is the
// empty set.
type attemptedServers struct {
	servers map[core.ServerID]bool
	last    core.ServerID
}

func (a *attemptedServers) record(id core.ServerID) {
	a.servers[id] = true
	a.last = id
}

func (a *attemptedServers) isEmpty() bool { return a == nil || len(a.servers) == 0 }

// excludes reports whether the server is not eligible at the level. The server
// that failed the call last, for example because its stream stalled, is
// eligible only at the last level.
func (a *attemptedServers) excludes(id core.ServerID, level fallbackLevel) bool {
	switch {
	case a == nil:
		return false
	case level < anyExceptLast:
		return a.servers[id]
	default:
		return level == anyExceptLast && id == a.last
	}
}

// router chooses servers. The dispatch duty owns it.
type router struct {
	now            func() time.Time
	random         *rand.Rand
	acceptsRequest func(*core.Request, *Candidate, time.Time) bool // whether the server may run this request at that time
	isAvailable    func(*Candidate, time.Time) bool                // whether the server may run any request at that time
	isRunReplaced  func(*Candidate, time.Time) bool                // whether the server is another run than its entry describes
	picker         Picker
	index          *classIndex
	loads          loadView
	serviceTimes   *serviceTimes
	locality       *locality
	scorer         completionScorer
	groups         map[string]*serviceGroup
	streamPaces    map[paceKey]*streamPace
	candidateByID  func(core.ServerID) *Candidate

	// Fields of the decision in progress. They are fields so that a decision
	// allocates no closure.
	request       *core.Request
	class         *serverClass
	progress      core.Progress // what the caller has received
	tried         *attemptedServers
	fallback      fallbackLevel
	decisionTime  time.Time
	decisionCount uint64 // number of the decision
	isUsableFunc  func(*Candidate) bool

	overdueAttempts map[attemptKey]bool // in progress
}

func newRouter(now func() time.Time, random *rand.Rand) *router {
	rt := &router{
		now:          now,
		random:       random,
		picker:       TwoChoicePicker{Random: random},
		index:        newClassIndex(CapabilityFilters()),
		serviceTimes: newServiceTimes(),
		locality:     newLocality(),
		groups:       map[string]*serviceGroup{},
		streamPaces:  map[paceKey]*streamPace{},

		overdueAttempts: map[attemptKey]bool{},
	}
	rt.scorer.locality = rt.locality
	rt.isUsableFunc = rt.isUsable
	return rt
}

func (rt *router) setDataCentre(name string) {
	rt.index.dataCentre, rt.scorer.dataCentre = name, name
}

// rebuild replaces the class index and the service groups after a server was
// added or removed or a capability changed.
func (rt *router) rebuild(servers []*Candidate) {
	rt.index.rebuild(servers)
	for _, g := range rt.groups {
		g.members = g.members[:0]
	}
	for _, c := range servers {
		service := c.Server.Description.Service
		g := rt.groups[service]
		if g == nil {
			g = &serviceGroup{medianFactor: 1}
			rt.groups[service] = g
		}
		if !c.Server.Leaving {
			g.members = append(g.members, c)
		}
	}
	for service, g := range rt.groups {
		if len(g.members) == 0 {
			delete(rt.groups, service)
		}
	}
	maps.DeleteFunc(rt.streamPaces, func(key paceKey, _ *streamPace) bool { return !rt.groups[key.service].runs(key.software) })
	rt.locality.removeUnknown(func(id core.ServerID) bool { return rt.candidateByID(id) != nil })
}

// refresh recalculates the load estimates, the medians and the ejection state
// of all servers.
func (rt *router) refresh() {
	now := rt.now()
	rt.loads.estimateLag(rt.index.servers)
	for _, g := range rt.groups {
		rt.loads.refresh(g.members, now)
		g.refresh(now)
	}
	for key, p := range rt.streamPaces {
		g := rt.groups[key.service]
		p.setMoveAllowed(g != nil && g.hasMoveTarget(key.software, now))
	}
}

// paceOf returns the stream pace of the servers of the software version.
func (rt *router) paceOf(service string, software core.SoftwareVersion) *streamPace {
	key := paceKey{service, software}
	p := rt.streamPaces[key]
	if p == nil {
		p = &streamPace{}
		rt.streamPaces[key] = p
	}
	return p
}

// canContinue reports whether a capable server may continue an answer of which the
// caller has received the progress. It is true for a request that no server can run, and
// while the new entry of a server that has started again is awaited.
func (rt *router) canContinue(r *core.Request, progress core.Progress) bool {
	if progress.IsEmpty() {
		return true
	}
	class := rt.index.classFor(r)
	return class.missingRequirement != "" || slices.ContainsFunc(class.all, func(c *Candidate) bool {
		return progress.MayContinueOn(c.Server.Description.Software) && (c.entry.IsValid() || !rt.isRunReplaced(c, rt.now()))
	})
}

// hasHedgeRoom reports whether the request's service has capacity for extra
// attempts.
func (rt *router) hasHedgeRoom(r *core.Request) bool {
	g := rt.groups[r.Service]
	return g != nil && g.meanDepth < maxHedgeDepth
}

// recordStart adds an attempt to the load of its server.
func (rt *router) recordStart(c *Candidate) {
	c.Outstanding++
	c.load.own.record(rt.now(), c.Outstanding-1, c.Outstanding)
}

// recordOverdue records that an attempt has exceeded p95, the 95th percentile of
// its kind of work.
func (rt *router) recordOverdue(r *core.Request, number int, c *Candidate, p95 time.Duration) {
	rt.overdueAttempts[attemptKey{r.ID, number}] = true
	c.ejection.overdueInFlight++
	c.ejection.recordOverdue(rt.now(), p95)
	if !r.IsModelCall() {
		c.relativeTime.observeAtLeast(p95.Seconds() / rt.serviceTimes.timesFor(r).mean)
	}
	rt.ejectIfOutlier(c)
}

// recordEnd updates the load, the service time and the ejection state of the
// server. isCancelled is true for an attempt that was cancelled because it was no
// longer needed.
func (rt *router) recordEnd(c *Candidate, e *AttemptEnd, isCancelled bool) {
	now := rt.now()
	c.Outstanding--
	c.load.own.record(now, c.Outstanding+1, c.Outstanding)
	r := e.Attempt.Call.Request
	w := rt.serviceTimes.timesFor(r)
	if key := (attemptKey{r.ID, e.Attempt.Number}); rt.overdueAttempts[key] {
		delete(rt.overdueAttempts, key)
		c.ejection.overdueInFlight--
	}
	switch {
	case e.Err == nil:
		rt.recordAnswer(c, w, e)
	case isCancelled:
		c.relativeTime.observeAtLeast(e.Duration.Seconds() / w.mean)
	case e.Endless:
		c.ejection.consecutiveFailures = consecutiveFailureLimit
	case isServerFailure(e):
		c.ejection.consecutiveFailures++
	}
	rt.ejectIfOutlier(c)
}

// recordAnswer updates the statistics from a complete answer. A resumed attempt
// produced only a part of the answer, so its duration is left out of the
// service times; a later attempt may have been a hedge, so its duration is left
// out of the p95.
func (rt *router) recordAnswer(c *Candidate, w *workTimes, e *AttemptEnd) {
	c.ejection.consecutiveFailures = 0
	p95, known := w.hedgeDelay.estimate()
	if known && e.Duration <= p95 && !e.Attempt.Call.Request.IsModelCall() {
		c.ejection.consecutiveOverdue = 0
	}
	isResumed := len(e.Attempt.Resume.Tokens) > 0
	if isResumed {
		return
	}
	w.observe(e.Duration)
	if r := e.Attempt.Call.Request; r.Class == core.ClassRollout {
		rt.paceOf(r.Service, e.Attempt.Software).observe(len(e.Tokens), e.Duration)
	}
	// The relative service time is that of the host's normal state, so the
	// slowdown that the server itself reports is divided out.
	slowness := 1.0
	if e.Load != nil && e.Load.SlowdownFactor > 0 {
		slowness = e.Load.SlowdownFactor
	}
	c.relativeTime.observe(e.Duration.Seconds() / w.mean / slowness)
	if e.Attempt.Number > 1 {
		return
	}
	if !e.Attempt.Call.Request.IsModelCall() {
		w.hedgeDelay.observe(e.Duration)
	} else if w.hedgeDelay.samples < minQuantileSamples {
		w.hedgeDelay.observe(e.Duration / firstTokenDivisor)
	}
}

// isServerFailure excludes errors that say nothing about the server: a refusal
// for lack of capacity, a passed deadline, a cancelled request.
func isServerFailure(e *AttemptEnd) bool {
	return e.Err.Code == core.CodeBackendFailure || e.Err.Code == core.CodeInternal || e.Unreachable
}

func (rt *router) ejectIfOutlier(c *Candidate) {
	if g := rt.groups[c.Server.Description.Service]; g != nil {
		g.ejectIfOutlier(c, rt.isAvailable, rt.now())
	}
}
