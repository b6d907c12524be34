package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	permitGrantRingCapacity = 4096
	// permitTTL is how long a permit may be used. Permits that were not used are lost,
	// so that a daemon does not save them up for a burst.
	permitTTL = 500 * time.Millisecond
	// permitRequestDelay is how long wishes for permits are collected.
	permitRequestDelay = 2 * time.Millisecond
	// permitReplyTimeout is the time after which a request without a reply is given up.
	permitReplyTimeout = 3 * time.Second
	// permitRetryJitter is the share by which the time until the next request is
	// increased at random, so that waiting daemons take turns.
	permitRetryJitter = 0.5
	// maxLimitWaitDivisor divides the time of a user's request into the part that it
	// waits for a permit. The rest is for another daemon or a later attempt.
	maxLimitWaitDivisor = 4
	// limitOverloadPeriod is how long users' requests are refused at once after one
	// waited for a permit in vain.
	limitOverloadPeriod = 500 * time.Millisecond
	// minLimitRetryAfter is the smallest Retry-After of such a refusal.
	minLimitRetryAfter = 50 * time.Millisecond
	// MaxWantedPermits bounds the permits of each kind of one request.
	MaxWantedPermits = 64
)

// PermitSource obtains permits for requests to servers with a rate limit.
type PermitSource interface {
	// Request asks for permits. It passes the outcome to reply once, on any
	// goroutine. It must not block.
	Request(r PermitRequest, reply func(PermitGrant))
}

// localPermits grants the whole rate limit of each server to this daemon. It is the
// source of a deployment with one daemon.
type localPermits struct {
	now     func() time.Time
	buckets rateBuckets
}

// Request implements PermitSource. It must be called on the dispatch duty's goroutine.
func (p *localPermits) Request(r PermitRequest, reply func(PermitGrant)) {
	reply(p.buckets.grant(p.now(), r, 1))
}

// permit allows one request to a server.
type permit struct {
	from, until time.Time
}

// permitState is what this daemon holds and wants of the rate limit of one server.
type permitState struct {
	permits      []permit
	wantedUrgent int // decisions since the last request that lacked a permit
	wantedOther  int
	lastDecision uint64 // that wanted a permit
	isRequested  bool
	requestedAt  time.Time
	retryAt      time.Time // earliest time of the next request
}

// hasPermit reports whether a request may be sent now. It drops permits that are over.
func (p *permitState) hasPermit(now time.Time) bool {
	p.permits = slices.DeleteFunc(p.permits, func(held permit) bool { return !now.Before(held.until) })
	return len(p.permits) > 0 && !now.Before(p.permits[0].from)
}

// use takes the permit that hasPermit reported.
func (p *permitState) use(now time.Time) {
	if p.hasPermit(now) {
		p.permits = p.permits[1:]
	}
}

// add adds the permits of a grant.
func (p *permitState) add(now time.Time, g PermitGrant) {
	for _, delay := range g.Delays {
		from := now.Add(delay)
		p.permits = append(p.permits, permit{from: from, until: from.Add(permitTTL)})
	}
	slices.SortFunc(p.permits, func(a, b permit) int { return a.from.Compare(b.from) })
}

// SetPermitSource sets where permits for servers with a rate limit come from. It must
// be called before the duty starts. Without it this daemon uses the whole limits.
func (d *Dispatcher) SetPermitSource(s PermitSource) { d.permitSource = s }

// isWithinRateLimit reports whether the server has no rate limit or this daemon holds
// a permit for it. Otherwise the decision in progress counts as a wish for a permit.
func (d *Dispatcher) isWithinRateLimit(r *core.Request, c *Candidate, now time.Time) bool {
	if !c.rate.limit.Declared || c.rate.hasPermit(now) {
		return true
	}
	if c.rate.lastDecision != d.router.decisionCount {
		c.rate.lastDecision = d.router.decisionCount
		d.wantPermit(r, c)
	}
	return false
}

func (d *Dispatcher) wantPermit(r *core.Request, c *Candidate) {
	if r.Class == core.ClassInteractive {
		c.rate.wantedUrgent++
	} else {
		c.rate.wantedOther++
	}
	if !d.permitRequestsScheduled {
		d.permitRequestsScheduled = true
		d.loop.After(permitRequestDelay, d.requestPermits)
	}
}

// requestPermits asks for the wanted permits of all servers whose last request has its
// reply and was not too short a time ago.
func (d *Dispatcher) requestPermits() {
	d.permitRequestsScheduled = false
	now := d.loop.Clock().Now()
	for _, c := range d.listed {
		p := &c.rate.permitState
		isPending := p.isRequested && now.Sub(p.requestedAt) < permitReplyTimeout
		if p.wantedUrgent+p.wantedOther == 0 || isPending || now.Before(p.retryAt) {
			continue
		}
		d.requestPermitsOf(c, min(p.wantedUrgent, MaxWantedPermits), min(p.wantedOther, MaxWantedPermits))
	}
}

func (d *Dispatcher) requestPermitsOf(c *Candidate, urgent, other int) {
	now := d.loop.Clock().Now()
	p := &c.rate.permitState
	p.isRequested, p.requestedAt = true, now
	p.wantedUrgent, p.wantedOther = 0, 0
	d.permitSource.Request(PermitRequest{
		Server: c.Server.ID, Limit: c.rate.limit, LimitAge: now.Sub(c.rate.observedAt), Urgent: urgent, Other: other,
	}, func(g PermitGrant) { d.permitGrants.TryPut(g) })
}

// handlePermitGrant applies the reply to a permit request and starts calls that waited
// for permits.
func (d *Dispatcher) handlePermitGrant(g PermitGrant) {
	c := d.candidates[g.Server]
	if c == nil {
		return
	}
	now := d.loop.Clock().Now()
	p := &c.rate.permitState
	p.isRequested = false
	p.retryAt = now.Add(g.RetryAfter + time.Duration(permitRetryJitter*d.router.random.Float64()*float64(g.RetryAfter)))
	p.add(now, g)
	d.applyRateLimit(c, g.Limit, now.Add(-g.LimitAge))
	d.runWaitingForPermits(c.Server.Description.Service, len(g.Delays))
	for _, delay := range g.Delays {
		if delay > 0 {
			d.loop.After(delay, func() { d.runWaitingForPermits(c.Server.Description.Service, 1) })
		}
	}
}

// refuseOverRateLimits ends a user's request that the rate limits of all available
// servers keep waiting for too long, and reports whether it did. Once one has waited
// that long, later ones are refused at once while others still wait before them.
func (d *Dispatcher) refuseOverRateLimits(s *callState, now time.Time) bool {
	r := s.call.Request
	if r.Class != core.ClassInteractive || r.Deadline.IsZero() {
		return false
	}
	retryAt, areAllLimited := d.nextPermit(r, now)
	if !areAllLimited {
		return false
	}
	isNew := s.waitingSince.IsZero()
	switch {
	case isNew && now.Before(d.limitOverload[r.Service]) && d.hasWaitingUser(r.Service):
	case !isNew && now.Sub(s.waitingSince) >= r.Deadline.Sub(s.waitingSince)/maxLimitWaitDivisor:
		d.limitOverload[r.Service] = now.Add(limitOverloadPeriod)
	default:
		return false
	}
	d.fail(s, &core.Error{
		Code: core.CodeOverloaded, Reason: "the rate limits of the backend servers leave no room", RetryAfter: max(minLimitRetryAfter, retryAt.Sub(now)),
	})
	return true
}

// nextPermit returns the earliest time at which a permit for the request can be asked
// for. areAllLimited is false if a server without a rate limit is available.
func (d *Dispatcher) nextPermit(r *core.Request, now time.Time) (retryAt time.Time, areAllLimited bool) {
	for _, c := range d.listed {
		if !d.isCapable(r, c) || !d.health.isAvailable(c, now) {
			continue
		}
		if !c.rate.limit.Declared {
			return time.Time{}, false
		}
		if !areAllLimited || c.rate.retryAt.Before(retryAt) {
			retryAt, areAllLimited = c.rate.retryAt, true
		}
	}
	return retryAt, areAllLimited
}

func (d *Dispatcher) hasWaitingUser(service string) bool {
	return slices.ContainsFunc(d.waitQueue, func(s *callState) bool {
		return s.call.Request.Service == service && s.call.Request.Class == core.ClassInteractive
	})
}

// runWaitingForPermits starts the next attempt of the n most urgent calls of the
// service that wait, those of one class in the order of their arrival.
func (d *Dispatcher) runWaitingForPermits(service string, n int) {
	var waiting []*callState
	for _, s := range d.waitQueue {
		if s.call.Request.Service == service {
			waiting = append(waiting, s)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *callState) int {
		if byClass := cmp.Compare(a.call.Request.Class.Rank(), b.call.Request.Class.Rank()); byClass != 0 {
			return byClass
		}
		return a.waitingSince.Compare(b.waitingSince)
	})
	for _, s := range waiting[:min(n, len(waiting))] {
		d.waitQueue = slices.DeleteFunc(d.waitQueue, func(other *callState) bool { return other == s })
		d.endWait(s, s.waitGeneration)
	}
}
