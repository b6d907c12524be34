package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// OwnWork is the outstanding work that this daemon has on a server.
type OwnWork struct {
	Server      core.ServerID
	Outstanding int
}

// SetDataCentre sets the daemon's own data centre, whose servers are preferred.
// It must be called before the duty starts.
func (d *Dispatcher) SetDataCentre(name string) { d.router.setDataCentre(name) }

// SetOwnWorkHandler sets the function that receives this daemon's outstanding
// work each routingPeriod, for the other daemons. The function must not block.
// SetOwnWorkHandler must be called before the duty starts.
func (d *Dispatcher) SetOwnWorkHandler(deliver func([]OwnWork)) { d.deliverOwnWork = deliver }

// UpdatePeerWork queues the work of the other daemons of the data centre,
// summed per server. Servers that are not named keep their last count.
func (d *Dispatcher) UpdatePeerWork(w []PeerWork) { d.peerWork.PutLatest(w) }

// AddCacheEvents queues changes of an engine's prefix cache. A discarded entry
// leaves a gap in the sequence, which the next entry reveals.
func (d *Dispatcher) AddCacheEvents(e CacheEvents) { d.cacheEvents.PutLatest(e) }

// bindRouter connects the router to the table and to the health of the servers.
func (d *Dispatcher) bindRouter() {
	d.router.candidateByID = func(id core.ServerID) *Candidate { return d.candidates[id] }
	d.router.isAvailable = d.health.isAvailable
	d.router.isRunReplaced = d.health.isRunReplaced
	d.router.acceptsRequest = func(r *core.Request, c *Candidate, now time.Time) bool {
		return d.health.isAvailable(c, now) && d.health.mayRunSuspect(r, c, now) && d.isWithinRateLimit(r, c, now)
	}
}

func (d *Dispatcher) handleTable(t serverTable) {
	if t.confirmedAt.IsZero() {
		d.handleServers(t.servers)
		return
	}
	d.confirmEntries(t.confirmedAt)
}

// handleServers replaces the table. Only a change of the set of servers or of a
// capability evaluates the filters again; a load report does not.
func (d *Dispatcher) handleServers(servers []Server) {
	now := d.loop.Clock().Now()
	if d.firstTableAt.IsZero() {
		d.firstTableAt = now
	}
	d.tableVersion++
	changed := len(servers) != len(d.listed)
	d.listed = d.listed[:0]
	for i := range servers {
		c := d.candidates[servers[i].ID]
		if c == nil {
			c = &Candidate{relativeTime: newRelativeServiceTime()}
			d.candidates[servers[i].ID] = c
			d.restoreLimit(c, servers[i].ID)
			// When the daemon starts, all servers are new and none needs a slow
			// start.
			if now.Sub(d.firstTableAt) > slowStartPeriod {
				c.ejection.beginSlowStart(now)
			}
			changed = true
		}
		changed = d.updateCandidate(c, &servers[i]) || changed
		d.listed = append(d.listed, c)
		d.health.recordPoll(servers[i])
	}
	if changed {
		d.removeUnlisted()
		d.router.rebuild(d.listed)
	}
	d.router.refresh()
	d.health.removeUnknown(func(id core.ServerID) bool { return d.candidates[id] != nil })
	d.scheduleSlotsUpdate()
	if changed {
		d.retryAllWaiting()
	}
}

// updateCandidate applies the newest state of a server and reports whether the
// class index must be rebuilt.
func (d *Dispatcher) updateCandidate(c *Candidate, s *Server) (isRebuildNeeded bool) {
	now := d.loop.Clock().Now()
	previous := &c.Server
	isListed := c.tableVersion == d.tableVersion-1
	isRebuildNeeded = !isListed || !hasSameCapability(previous, s)
	restarted := previous.Description.Incarnation != "" && previous.Description.Incarnation != s.Description.Incarnation
	recovered := previous.Unreachable && !s.Unreachable
	if restarted {
		c.relativeTime = newRelativeServiceTime()
	}
	if restarted || recovered {
		c.ejection.beginSlowStart(now)
	}
	if !isListed || c.entry == nil || restarted || previous.Description.Software != s.Description.Software {
		d.renewEntryLease(c)
	}
	c.Server = *s
	c.tableVersion = d.tableVersion
	d.router.loads.applyReport(c, now)
	return isRebuildNeeded
}

// removeUnlisted removes servers that are no longer listed and have no attempt
// in progress.
func (d *Dispatcher) removeUnlisted() {
	for _, c := range d.candidates {
		if c.tableVersion != d.tableVersion && c.Outstanding == 0 {
			d.removeCandidate(c)
		}
	}
}

// removeCandidate removes a server and keeps its rate limit for its return.
func (d *Dispatcher) removeCandidate(c *Candidate) {
	delete(d.candidates, c.Server.ID)
	if c.rate.limit.Declared {
		d.rememberLimit(c.Server.ID, c.rate.limit, c.rate.observedAt)
	}
}

func (d *Dispatcher) handlePeerWork(work []PeerWork) {
	now := d.loop.Clock().Now()
	for _, w := range work {
		if c := d.candidates[w.Server]; c != nil {
			c.load.peerWork, c.load.peerWorkAt = float64(w.Outstanding), now.Add(-w.Age)
		}
	}
}

func (d *Dispatcher) handleCacheEvents(e CacheEvents) {
	if c := d.candidates[e.Server]; c != nil {
		d.router.locality.applyEvents(e)
	}
}

func (d *Dispatcher) routingTick() {
	d.router.refresh()
	d.retryAllWaiting()
	if d.deliverOwnWork == nil {
		return
	}
	var work []OwnWork
	for _, c := range d.listed {
		if c.Outstanding > 0 {
			work = append(work, OwnWork{Server: c.Server.ID, Outstanding: c.Outstanding})
		}
	}
	d.deliverOwnWork(work)
}

// recordStart updates the load estimate and the free slots when an attempt
// starts.
func (d *Dispatcher) recordStart(c *Candidate) {
	d.router.recordStart(c)
	d.scheduleSlotsUpdate()
}

// answerLoad is the load that a server reports when its answer begins.
type answerLoad struct {
	server core.ServerID
	load   Load
}

// applyLoad applies a load report unless a newer one is known.
func (d *Dispatcher) applyLoad(c *Candidate, load Load) {
	if c == nil || load.MeasuredAt.Before(c.Server.Load.MeasuredAt) {
		return
	}
	c.Server.Load = load
	d.router.loads.applyReport(c, d.loop.Clock().Now())
}

// recordEnd updates the load estimate and the free slots when an attempt has
// ended.
func (d *Dispatcher) recordEnd(e AttemptEnd) {
	c := d.candidates[e.Attempt.Server]
	if c == nil {
		return
	}
	isCancelled := d.callsInProgress[e.Attempt.Call.Request.ID] == nil || e.Attempt.Call.Context.Err() != nil
	d.router.recordEnd(c, &e, isCancelled)
	if e.Load != nil {
		d.applyLoad(c, *e.Load)
	}
	if c.Outstanding == 0 && c.tableVersion != d.tableVersion {
		d.removeCandidate(c)
	}
	d.scheduleSlotsUpdate()
}
