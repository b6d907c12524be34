package backend

import (
	"math/rand/v2"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// routingPeriod is how often the figures of all servers are recalculated.
	routingPeriod = 100 * time.Millisecond
	// remoteDepth is the work per slot of the best local server above which
	// servers of other data centres are compared.
	remoteDepth = 1
	// remoteGain is how many times faster than the best local server one of
	// another data centre must be.
	remoteGain = 2
	// scanLimit is the number of servers up to which a scan costs no more than
	// the draws.
	scanLimit = 16
	// rolloutDepth is the work per slot of an engine beyond which no item of a
	// step is sent to it. Items wait here in place of the engine's queue, so
	// that they can go to the engine that has room first.
	rolloutDepth = 1.25
	// firstTokenPart divides the duration of whole model calls for the first
	// estimate of the time to the first token. A low estimate is corrected in
	// a few calls, a high one in thousands.
	firstTokenPart = 10
)

// Candidate is a backend server with what this daemon knows of it.
type Candidate struct {
	Server      Server
	Outstanding int // attempts of this daemon in progress
	position    int // in the class index, if it is listed there
	load        serverLoad
	speed       serverSpeed
	use         use
	round       uint64 // of the table update that listed it last
}

// permission is how far a pick goes when the best servers are out of use.
type permission int

const (
	healthyUntried permission = iota
	inUseUntried              // also those with overdue work or in their slow start
	anyUntried                // also ejected and unreachable ones
	anyButLast                // also those that were tried, but for the last one
	anyServer                 // also the one that was tried last
)

// attempted are the servers that a call has tried. The nil value has none.
type attempted struct {
	servers map[core.ServerID]bool
	last    core.ServerID
}

func (a *attempted) add(id core.ServerID) {
	a.servers[id] = true
	a.last = id
}

func (a *attempted) isEmpty() bool { return a == nil || len(a.servers) == 0 }

// excludes reports whether the server is left out at the permission. A server
// that has just failed the call, for example by going silent, comes last.
func (a *attempted) excludes(id core.ServerID, p permission) bool {
	switch {
	case a == nil:
		return false
	case p < anyButLast:
		return a.servers[id]
	default:
		return p == anyButLast && id == a.last
	}
}

// router chooses servers. The dispatch duty owns it.
type router struct {
	now      func() time.Time
	random   *rand.Rand
	accepts  func(*core.Request, *Candidate, time.Time) bool // whether a server takes the request at that time
	isUp     func(*Candidate, time.Time) bool                // whether it takes any
	picker   Picker
	index    *classIndex
	view     loadView
	times    *serviceTimes
	locality *locality
	scorer   completionScorer
	groups   map[string]*serviceGroup
	paces    map[string]*pace // of streams, by service
	table    func(core.ServerID) *Candidate

	// The decision in progress; fields, so that no closure is allocated.
	request    *core.Request
	class      *serverClass
	tried      *attempted
	permission permission
	at         time.Time
	usable     func(*Candidate) bool

	overdueAttempts map[attemptKey]bool // in progress
}

func newRouter(now func() time.Time, random *rand.Rand) *router {
	rt := &router{
		now:      now,
		random:   random,
		picker:   TwoChoicePicker{Random: random},
		index:    newClassIndex(CapabilityFilters()),
		times:    newServiceTimes(),
		locality: newLocality(),
		groups:   map[string]*serviceGroup{},
		paces:    map[string]*pace{},

		overdueAttempts: map[attemptKey]bool{},
	}
	rt.scorer.locality = rt.locality
	rt.usable = rt.isUsable
	return rt
}

// setDataCentre sets the daemon's own data centre.
func (rt *router) setDataCentre(name string) {
	rt.index.dataCentre, rt.scorer.dataCentre = name, name
}

// rebuild takes the servers after a change of their number or capability.
func (rt *router) rebuild(servers []*Candidate) {
	rt.index.rebuild(servers)
	for _, g := range rt.groups {
		g.members = g.members[:0]
	}
	for _, c := range servers {
		service := c.Server.Description.Service
		g := rt.groups[service]
		if g == nil {
			g = &serviceGroup{median: 1}
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
	rt.locality.forget(func(id core.ServerID) bool { return rt.table(id) != nil })
}

// refresh recalculates the load, the medians and the use of all servers.
func (rt *router) refresh() {
	now := rt.now()
	rt.view.estimateLag(rt.index.servers)
	for service, g := range rt.groups {
		rt.view.refresh(g.members, now)
		g.refresh(now)
		if p := rt.paces[service]; p != nil {
			p.allow(g.hasRoomToMove(now))
		}
	}
}

// paceOf returns the usual pace of the service's streams.
func (rt *router) paceOf(service string) *pace {
	p := rt.paces[service]
	if p == nil {
		p = &pace{}
		rt.paces[service] = p
	}
	return p
}

// pick returns the server for the next attempt. With none it returns what no
// server has, or "" when one is to be waited for.
func (rt *router) pick(r *core.Request, tried *attempted) (chosen *Candidate, missing string) {
	class := rt.index.find(r)
	if class.missing != "" {
		return nil, class.missing
	}
	rt.begin(r, class, tried)
	for p := healthyUntried; p <= anyServer; p++ {
		if p > anyUntried && tried.isEmpty() {
			break
		}
		rt.permission = p
		if chosen = rt.pickNearest(class); chosen != nil {
			return chosen, ""
		}
	}
	return nil, ""
}

// pickOther returns a healthy server with a free slot that was not tried, or nil.
func (rt *router) pickOther(r *core.Request, tried *attempted) *Candidate {
	class := rt.index.find(r)
	rt.begin(r, class, tried)
	rt.permission = healthyUntried
	c := rt.pickNearest(class)
	if c == nil || c.depth() >= 1 {
		return nil
	}
	return c
}

// begin prepares a decision. The clock is read once for all of its checks.
func (rt *router) begin(r *core.Request, class *serverClass, tried *attempted) {
	rt.request, rt.class, rt.tried = r, class, tried
	rt.at = rt.now()
	rt.scorer.now = rt.at
	rt.scorer.expected = rt.times.of(r).mean
	rt.scorer.prefixes.n = 0
	if r.IsModelCall() {
		rt.scorer.prefixes.set(r.Prompt)
	}
}

// pickNearest prefers the servers of the own data centre, unless they are
// missing or one elsewhere is much faster. The items of a step come all at once
// and are not urgent one by one, so they are spread over all data centres.
func (rt *router) pickNearest(class *serverClass) *Candidate {
	if rt.request.Class == core.ClassRollout {
		return rt.pickFrom(class.all)
	}
	local := rt.pickFrom(class.local)
	if len(class.remote) == 0 || (local != nil && local.depth() < remoteDepth) {
		return local
	}
	remote := rt.pickFrom(class.remote)
	if local == nil {
		return remote
	}
	if remote == nil {
		return local
	}
	if rt.scorer.Score(rt.request, remote)*remoteGain < rt.scorer.Score(rt.request, local) {
		return remote
	}
	return local
}

// pickFrom compares the picker's choice with the engine that holds the prompt.
func (rt *router) pickFrom(from []*Candidate) *Candidate {
	if rt.request.Class == core.ClassRollout && len(from) <= scanLimit {
		return rt.best(from)
	}
	chosen := rt.picker.Pick(rt.request, from, rt.usable, &rt.scorer)
	if chosen == nil && (rt.permission > healthyUntried || len(from) <= scanLimit) {
		chosen = rt.scan(from)
	}
	if chosen == nil || rt.scorer.prefixes.n == 0 {
		return chosen
	}
	holder := rt.findHolder(chosen)
	if holder != nil && holder != chosen && rt.scorer.Score(rt.request, holder) < rt.scorer.Score(rt.request, chosen) {
		return holder
	}
	return chosen
}

// best returns the usable server with the best score. Many items of one daemon
// come together, and draws would spread them less evenly.
func (rt *router) best(from []*Candidate) *Candidate {
	if len(from) == 0 {
		return nil
	}
	var best *Candidate
	var lowest float64
	start := rt.random.IntN(len(from))
	for i := range from {
		c := from[(start+i)%len(from)]
		if !rt.usable(c) {
			continue
		}
		if score := rt.scorer.Score(rt.request, c); best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	return best
}

// scan returns the first usable server from a random place on. It runs only
// when the draws missed, so when there are few servers or few in use.
func (rt *router) scan(from []*Candidate) *Candidate {
	if len(from) == 0 {
		return nil
	}
	start := rt.random.IntN(len(from))
	for i := range from {
		if c := from[(start+i)%len(from)]; rt.usable(c) {
			return c
		}
	}
	return nil
}

// findHolder returns the engine of the same data centre that holds the prompt,
// if it can run the request.
func (rt *router) findHolder(beside *Candidate) *Candidate {
	id, ok := rt.locality.holder(&rt.scorer.prefixes)
	if !ok {
		return nil
	}
	c := rt.table(id)
	if c == nil || c == beside {
		return c
	}
	if c.Server.DataCentre != beside.Server.DataCentre || !rt.index.contains(rt.class, c) || !rt.usable(c) {
		return nil
	}
	return c
}

// isUsable applies what changes between two table updates.
func (rt *router) isUsable(c *Candidate) bool {
	if !rt.accepts(rt.request, c, rt.at) {
		return false
	}
	if rt.request.Class == core.ClassRollout && !c.hasRoom(rt.at) {
		return false
	}
	if rt.tried.excludes(c.Server.ID, rt.permission) {
		return false
	}
	if rt.permission >= anyUntried {
		return true
	}
	if c.Server.Unreachable || !c.use.outUntil.IsZero() {
		return false
	}
	if rt.permission == inUseUntried {
		return true
	}
	if c.use.overdueNow*overdueDivisor > c.Outstanding || rt.at.Before(c.use.holdUntil) {
		return false
	}
	weight := c.use.weight(rt.at)
	return weight >= 1 || rt.random.Float64() < weight
}

// hasRoom reports whether an item of a step may be sent to the engine. An
// engine without work of this daemon always has room, since what is known of
// the others' work may be old. A slow engine has room for fewer items, since a
// step waits for the last of them.
func (c *Candidate) hasRoom(now time.Time) bool {
	return c.Outstanding == 0 || c.depth()*c.slowness(now) < rolloutDepth
}

// hasRoom reports whether the request's service can take extra work.
func (rt *router) hasRoom(r *core.Request) bool {
	g := rt.groups[r.Service]
	return g != nil && g.depth < maxHedgeDepth
}

// started counts an attempt in the load of its server.
func (rt *router) started(c *Candidate) {
	c.Outstanding++
	c.load.own.record(rt.now(), c.Outstanding-1, c.Outstanding)
}

// overdue counts an attempt that goes on after the p95 of its kind of work against its server.
func (rt *router) overdue(r *core.Request, number int, c *Candidate, lasted time.Duration) {
	rt.overdueAttempts[attemptKey{r.ID, number}] = true
	c.use.overdueNow++
	c.use.countOverdue(rt.now(), lasted)
	if !r.IsModelCall() {
		c.speed.atLeast(lasted.Seconds() / rt.times.of(r).mean)
	}
	rt.judge(c)
}

// ended updates the load, speed and use of the server. stopped is true for an
// attempt that was stopped because it was no longer wanted.
func (rt *router) ended(c *Candidate, e *AttemptEnd, stopped bool) {
	now := rt.now()
	c.Outstanding--
	c.load.own.record(now, c.Outstanding+1, c.Outstanding)
	r := e.Attempt.Call.Request
	w := rt.times.of(r)
	if key := (attemptKey{r.ID, e.Attempt.Number}); rt.overdueAttempts[key] {
		delete(rt.overdueAttempts, key)
		c.use.overdueNow--
	}
	switch {
	case e.Err == nil:
		rt.answered(c, w, e)
	case stopped:
		c.speed.atLeast(e.Duration.Seconds() / w.mean)
	case countsAsFailure(e):
		c.use.failureRow++
	}
	rt.judge(c)
}

// answered learns from a whole answer. A resumed attempt made only a part of
// it and a later attempt may have been a hedge, so their durations are left out
// of the service times or of the p95.
func (rt *router) answered(c *Candidate, w *workTimes, e *AttemptEnd) {
	c.use.failureRow = 0
	delay, known := w.delay.delay()
	if known && e.Duration <= delay && !e.Attempt.Call.Request.IsModelCall() {
		c.use.overdueRow = 0
	}
	isResumed := len(e.Attempt.ResumeTokens) > 0
	if isResumed {
		return
	}
	w.observe(e.Duration)
	if r := e.Attempt.Call.Request; r.Class == core.ClassRollout {
		rt.paceOf(r.Service).observe(len(e.Tokens), e.Duration)
	}
	// The speed is that of the usual state; the server tells its state itself.
	slowness := 1.0
	if e.Load != nil && e.Load.SlowdownFactor > 0 {
		slowness = e.Load.SlowdownFactor
	}
	c.speed.observe(e.Duration.Seconds() / w.mean / slowness)
	if e.Attempt.Number > 1 {
		return
	}
	if !e.Attempt.Call.Request.IsModelCall() {
		w.delay.observe(e.Duration)
	} else if w.delay.samples < quantileSamples {
		w.delay.observe(e.Duration / firstTokenPart)
	}
}

// countsAsFailure leaves out what says nothing about the server: a refusal for
// lack of room, a deadline, a caller who went away.
func countsAsFailure(e *AttemptEnd) bool {
	return e.Err.Code == core.CodeBackendFailure || e.Err.Code == core.CodeInternal || e.Unreachable
}

func (rt *router) judge(c *Candidate) {
	if g := rt.groups[c.Server.Description.Service]; g != nil {
		g.judge(c, rt.isUp, rt.now())
	}
}
