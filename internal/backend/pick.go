package backend

import (
	"github.com/berylfall/berylfall/internal/core"
)

// pick returns the server for the next attempt. If it returns nil, missing
// names the requirement that no server meets, or is empty if the call has to
// wait for a server.
func (rt *router) pick(r *core.Request, progress core.Progress, tried *attemptedServers) (chosen *Candidate, missing string) {
	class := rt.index.classFor(r)
	if class.missingRequirement != "" {
		return nil, class.missingRequirement
	}
	rt.beginDecision(r, class, progress, tried)
	for level := healthyUntried; level <= anyServer; level++ {
		if level > anyUntried && tried.isEmpty() {
			break
		}
		rt.fallback = level
		if chosen = rt.pickNearest(class); chosen != nil {
			return chosen, ""
		}
	}
	return nil, ""
}

// pickHedgeServer returns a healthy server with a free slot that was not tried,
// or nil.
func (rt *router) pickHedgeServer(r *core.Request, progress core.Progress, tried *attemptedServers) *Candidate {
	class := rt.index.classFor(r)
	rt.beginDecision(r, class, progress, tried)
	rt.fallback = healthyUntried
	c := rt.pickNearest(class)
	if c == nil || c.depth() >= 1 {
		return nil
	}
	return c
}

// beginDecision prepares a decision. It reads the clock once for all checks of
// the decision.
func (rt *router) beginDecision(r *core.Request, class *serverClass, progress core.Progress, tried *attemptedServers) {
	rt.request, rt.class, rt.progress, rt.tried = r, class, progress, tried
	rt.decisionTime = rt.now()
	rt.decisionCount++
	rt.scorer.now = rt.decisionTime
	rt.scorer.expectedSeconds = rt.serviceTimes.timesFor(r).mean
	rt.scorer.prefixes.count = 0
	if r.IsModelCall() {
		rt.scorer.prefixes.set(r.Prompt)
	}
}

// pickNearest prefers servers of the daemon's own data centre unless there are
// none or a remote one is much faster. The items of a step arrive together and
// are not urgent individually, so they are spread over all data centres.
func (rt *router) pickNearest(class *serverClass) *Candidate {
	if rt.request.Class == core.ClassRollout {
		return rt.pickFrom(class.all)
	}
	local := rt.pickFrom(class.local)
	if len(class.remote) == 0 || (local != nil && local.depth() < remoteDepthThreshold) {
		return local
	}
	remote := rt.pickFrom(class.remote)
	if local == nil {
		return remote
	}
	if remote == nil {
		return local
	}
	if rt.scorer.Score(rt.request, remote)*minRemoteSpeedup < rt.scorer.Score(rt.request, local) {
		return remote
	}
	return local
}

// pickFrom compares the picker's choice with the engine that has the prompt's
// prefix cached.
func (rt *router) pickFrom(servers []*Candidate) *Candidate {
	if rt.request.Class == core.ClassRollout && len(servers) <= maxScanServers {
		return rt.bestScored(servers)
	}
	chosen := rt.picker.Pick(rt.request, servers, rt.isUsableFunc, &rt.scorer)
	if chosen == nil && (rt.fallback > healthyUntried || len(servers) <= maxScanServers) {
		chosen = rt.firstUsable(servers)
	}
	if chosen == nil || rt.scorer.prefixes.count == 0 {
		return chosen
	}
	cached := rt.findPrefixHolder(chosen)
	if cached != nil && cached != chosen && rt.scorer.Score(rt.request, cached) < rt.scorer.Score(rt.request, chosen) {
		return cached
	}
	return chosen
}

// bestScored returns the usable server with the lowest score. Many items of a
// step arrive at one daemon together, and random draws would spread them less
// evenly.
func (rt *router) bestScored(servers []*Candidate) *Candidate {
	if len(servers) == 0 {
		return nil
	}
	var best *Candidate
	var lowest float64
	start := rt.random.IntN(len(servers))
	for i := range servers {
		c := servers[(start+i)%len(servers)]
		if !rt.isUsableFunc(c) {
			continue
		}
		if score := rt.scorer.Score(rt.request, c); best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	return best
}

// firstUsable returns the first usable server after a random start position. It
// runs only when all random draws missed, that is, when there are few servers
// or few are usable.
func (rt *router) firstUsable(servers []*Candidate) *Candidate {
	if len(servers) == 0 {
		return nil
	}
	start := rt.random.IntN(len(servers))
	for i := range servers {
		if c := servers[(start+i)%len(servers)]; rt.isUsableFunc(c) {
			return c
		}
	}
	return nil
}

// findPrefixHolder returns the engine in chosen's data centre that has the
// longest prefix of the prompt cached, if it can run the request.
func (rt *router) findPrefixHolder(chosen *Candidate) *Candidate {
	id, ok := rt.locality.latestHolder(&rt.scorer.prefixes)
	if !ok {
		return nil
	}
	c := rt.candidateByID(id)
	if c == nil || c == chosen {
		return c
	}
	if c.Server.DataCentre != chosen.Server.DataCentre || !rt.index.contains(rt.class, c) || !rt.isUsableFunc(c) {
		return nil
	}
	return c
}

// mayContinueOn reports whether the server may continue what the caller has received.
func (rt *router) mayContinueOn(c *Candidate) bool {
	return rt.progress.IsEmpty() || (rt.progress.MayContinueOn(c.Server.Description.Software) && !rt.isRunReplaced(c, rt.decisionTime))
}

// isUsable checks the conditions that change between table updates.
func (rt *router) isUsable(c *Candidate) bool {
	if !rt.mayContinueOn(c) || !rt.acceptsRequest(rt.request, c, rt.decisionTime) {
		return false
	}
	if !c.hasRoomFor(rt.request.Class, rt.decisionTime) {
		return false
	}
	if rt.tried.excludes(c.Server.ID, rt.fallback) {
		return false
	}
	if rt.fallback >= anyUntried {
		return true
	}
	if c.Server.Unreachable || !c.ejection.ejectedUntil.IsZero() {
		return false
	}
	if rt.fallback == notEjectedUntried {
		return true
	}
	if c.ejection.overdueInFlight*overdueShareDivisor > c.Outstanding || rt.decisionTime.Before(c.ejection.overdueBackoffUntil) {
		return false
	}
	weight := c.ejection.slowStartWeight(rt.decisionTime)
	return weight >= 1 || rt.random.Float64() < weight
}
