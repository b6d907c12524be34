package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// OwnWork is the work that this daemon has on a server.
type OwnWork struct {
	Server      core.ServerID
	Outstanding int
}

// SetDataCentre names the daemon's own data centre, whose servers are
// preferred. It is set before the duty starts.
func (d *Dispatcher) SetDataCentre(name string) { d.router.setDataCentre(name) }

// SetOwnWorkHandler sets the function that takes this daemon's work each
// routingPeriod, for the other daemons. It must not wait, and it is set before
// the duty starts.
func (d *Dispatcher) SetOwnWorkHandler(deliver func([]OwnWork)) { d.deliverWork = deliver }

// UpdatePeerWork takes the work of the other daemons of the data centre on the
// servers, summed per server. Servers that are not named keep their last count.
func (d *Dispatcher) UpdatePeerWork(w []PeerWork) { d.others.PutLatest(w) }

// AddCacheEvents takes changes of an engine's prefix cache. A dropped entry is
// a gap, which the next one shows.
func (d *Dispatcher) AddCacheEvents(e CacheEvents) { d.cache.PutLatest(e) }

// bindRouter connects the router with what attempts have shown.
func (d *Dispatcher) bindRouter() {
	d.router.table = func(id core.ServerID) *Candidate { return d.table[id] }
	d.router.isUp = d.health.isAccepting
	d.router.accepts = func(r *core.Request, c *Candidate, now time.Time) bool {
		return d.health.isAccepting(c, now) && d.health.mayRunSuspect(r, c, now)
	}
}

// handleServers takes the table. Only a change of the servers or of what they
// can do runs the filters again; a load report does not.
func (d *Dispatcher) handleServers(servers []Server) {
	now := d.loop.Clock().Now()
	if d.listedAt.IsZero() {
		d.listedAt = now
	}
	d.round++
	changed := len(servers) != len(d.order)
	d.order = d.order[:0]
	for i := range servers {
		c := d.table[servers[i].ID]
		if c == nil {
			c = &Candidate{speed: newSpeed()}
			d.table[servers[i].ID] = c
			// At the daemon's start all servers are new, and none needs a slow start.
			if now.Sub(d.listedAt) > slowStart {
				c.use.restart(now)
			}
			changed = true
		}
		changed = d.update(c, &servers[i]) || changed
		d.order = append(d.order, c)
		d.health.polled(servers[i])
	}
	if changed {
		d.dropUnlisted()
		d.router.rebuild(d.order)
	}
	d.router.refresh()
	d.health.forget(func(id core.ServerID) bool { return d.table[id] != nil })
	d.slotsChanged()
	if changed {
		d.unpark()
	}
}

// update takes the newest state of a server and reports whether the classes of
// servers must be built again.
func (d *Dispatcher) update(c *Candidate, s *Server) (changed bool) {
	now := d.loop.Clock().Now()
	before := &c.Server
	isListed := c.round == d.round-1
	changed = !isListed || !sameCapability(before, s)
	restarted := before.Description.Incarnation != "" && before.Description.Incarnation != s.Description.Incarnation
	recovered := before.Unreachable && !s.Unreachable
	if restarted {
		c.speed = newSpeed()
	}
	if restarted || recovered {
		c.use.restart(now)
	}
	c.Server = *s
	c.round = d.round
	d.router.view.takeReport(c, now)
	return changed
}

// dropUnlisted forgets servers that are no longer listed, once they have
// nothing in progress.
func (d *Dispatcher) dropUnlisted() {
	for id, c := range d.table {
		if c.round != d.round && c.Outstanding == 0 {
			delete(d.table, id)
		}
	}
}

func (d *Dispatcher) handleOtherWork(work []PeerWork) {
	now := d.loop.Clock().Now()
	for _, w := range work {
		if c := d.table[w.Server]; c != nil {
			c.load.digest, c.load.digestAt = float64(w.Outstanding), now.Add(-w.Age)
		}
	}
}

func (d *Dispatcher) handleCacheEvents(e CacheEvents) {
	if c := d.table[e.Server]; c != nil {
		d.router.locality.take(e)
	}
}

func (d *Dispatcher) routingTick() {
	d.router.refresh()
	d.unpark()
	if d.deliverWork == nil {
		return
	}
	var work []OwnWork
	for _, c := range d.order {
		if c.Outstanding > 0 {
			work = append(work, OwnWork{Server: c.Server.ID, Outstanding: c.Outstanding})
		}
	}
	d.deliverWork(work)
}

// observeStart updates the load view and the free slots when an attempt starts.
func (d *Dispatcher) observeStart(c *Candidate) {
	d.router.started(c)
	d.slotsChanged()
}

// toldLoad is what a server says of its load when its answer begins.
type toldLoad struct {
	server core.ServerID
	load   Load
}

// takeLoad takes a load unless a newer one is known.
func (d *Dispatcher) takeLoad(c *Candidate, load Load) {
	if c == nil || load.MeasuredAt.Before(c.Server.Load.MeasuredAt) {
		return
	}
	c.Server.Load = load
	d.router.view.takeReport(c, d.loop.Clock().Now())
}

// observeEnd updates the load view and the free slots when an attempt has ended.
func (d *Dispatcher) observeEnd(e AttemptEnd) {
	c := d.table[e.Attempt.Server]
	if c == nil {
		return
	}
	stopped := d.inProgress[e.Attempt.Call.Request.ID] == nil || e.Attempt.Call.Context.Err() != nil
	d.router.ended(c, &e, stopped)
	if e.Load != nil {
		d.takeLoad(c, *e.Load)
	}
	if c.Outstanding == 0 && c.round != d.round {
		delete(d.table, e.Attempt.Server)
	}
	d.slotsChanged()
}
