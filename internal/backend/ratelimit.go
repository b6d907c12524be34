package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// rateLimitRingCapacity bounds the queued rate limits of answers; a discarded
	// one is superseded by that of the server's next answer.
	rateLimitRingCapacity = 4096
	// rememberedLimitTTL is how long the rate limit of a server that is not in the table is
	// kept after the server's last answer with it.
	rememberedLimitTTL = time.Minute
	// rateUsagePeriod is the period over which the requests to a server with a
	// rate limit are counted for the logs.
	rateUsagePeriod = time.Second
)

// RateLimit is the number of requests per second that a backend server accepts
// from all daemons together. A server in trouble declares it with each answer and
// stops declaring it when the limit no longer applies.
type RateLimit struct {
	Declared  bool    // false: the server declares no limit
	PerSecond float64 // 0 or more
}

// ServerRateLimit is the rate limit of one server, as daemons tell each other. Ages are
// durations, because the clocks of daemons differ.
type ServerRateLimit struct {
	Server core.ServerID
	Limit  RateLimit
	Age    time.Duration // since the server's answer with the limit
}

// RateLimitChange is a change of the limit that this daemon knows for a server.
type RateLimitChange struct {
	Server            core.ServerID
	Previous, Current RateLimit
}

// RateUsage counts the requests that this daemon sent to a server with a rate limit
// during one period.
type RateUsage struct {
	Server        core.ServerID
	Limit         RateLimit
	Period        time.Duration
	FirstAttempts int // first attempts of calls
	Retries       int // later attempts and hedges
}

// RateLimitObserver receives what happens to rate limits, for logs and metrics. Its
// functions run on the dispatch duty's goroutine and must not block.
type RateLimitObserver struct {
	OnChange func(RateLimitChange)
	OnUsage  func(RateUsage)
}

// rateLimitReport is the rate limit that a server declared with one answer.
type rateLimitReport struct {
	server     core.ServerID
	limit      RateLimit
	observedAt time.Time
}

// observedLimit is the newest known rate limit of one server.
type observedLimit struct {
	limit      RateLimit
	observedAt time.Time // of the server's answer with the limit
}

// observe applies a limit that the server declared at the given time, and reports whether
// it did. It does not if a later one is known.
func (o *observedLimit) observe(l RateLimit, at time.Time) bool {
	if at.Before(o.observedAt) {
		return false
	}
	o.limit, o.observedAt = l, at
	return true
}

// rateLimitState is what this daemon knows of the rate limit of one server.
type rateLimitState struct {
	permitState
	observedLimit
	firstAttempts, retries int // since the last usage was reported
}

// SetRateLimitObserver sets the observer. It must be called before the duty starts.
func (d *Dispatcher) SetRateLimitObserver(o RateLimitObserver) { d.rateLimitObserver = o }

// rateLimitHandler returns the function that receives the rate limits of the answers
// to one attempt at the server. An answer without a limit lifts the limit only if the
// request was sent after the limit was known: answers may overtake each other.
func (d *Dispatcher) rateLimitHandler(c *Candidate) func(RateLimit) {
	server, wasLimited := c.Server.ID, c.rate.limit.Declared
	return func(l RateLimit) {
		if l.Declared || wasLimited {
			d.rateLimits.TryPut(rateLimitReport{server: server, limit: l, observedAt: d.loop.Clock().Now()})
		}
	}
}

// UpdateRateLimits queues the limits that another daemon has learned of. A discarded one
// arrives with the server's next answer.
func (d *Dispatcher) UpdateRateLimits(list []ServerRateLimit) { d.peerRateLimits.PutLatest(list) }

func (d *Dispatcher) handlePeerRateLimits(list []ServerRateLimit) {
	now := d.loop.Clock().Now()
	for _, l := range list {
		if c := d.candidates[l.Server]; c != nil {
			d.applyRateLimit(c, l.Limit, now.Add(-l.Age))
		} else {
			d.rememberLimit(l.Server, l.Limit, now.Add(-l.Age))
		}
	}
}

// handleRateLimit applies the limit of an answer and reports a change to the daemon that
// distributes the limit, which tells the others.
func (d *Dispatcher) handleRateLimit(r rateLimitReport) {
	c := d.candidates[r.server]
	if c != nil && d.applyRateLimit(c, r.limit, r.observedAt) {
		d.requestPermitsOf(c, 0, 0)
	}
}

// applyRateLimit applies a limit that the server declared at the given time, unless a
// later one is known, and reports whether it is a change.
func (d *Dispatcher) applyRateLimit(c *Candidate, l RateLimit, at time.Time) bool {
	previous := c.rate.limit
	if !c.rate.observe(l, at) || previous == l {
		return false
	}
	if d.rateLimitObserver.OnChange != nil {
		d.rateLimitObserver.OnChange(RateLimitChange{Server: c.Server.ID, Previous: previous, Current: l})
	}
	if !l.Declared {
		c.rate.permitState = permitState{}
		d.retryAllWaiting()
	}
	return true
}

// countRateUsage counts an attempt at a server with a rate limit.
func (c *Candidate) countRateUsage(number int) {
	switch {
	case !c.rate.limit.Declared:
	case number == 1:
		c.rate.firstAttempts++
	default:
		c.rate.retries++
	}
}

// reportRateUsage passes the requests of the last period to the observer.
func (d *Dispatcher) reportRateUsage() {
	for _, c := range d.listed {
		first, retries := c.rate.firstAttempts, c.rate.retries
		c.rate.firstAttempts, c.rate.retries = 0, 0
		if first+retries > 0 && d.rateLimitObserver.OnUsage != nil {
			d.rateLimitObserver.OnUsage(RateUsage{
				Server: c.Server.ID, Limit: c.rate.limit, Period: rateUsagePeriod, FirstAttempts: first, Retries: retries,
			})
		}
	}
}

// rememberLimit keeps the limit of a server that is not in the table. Its entry may be
// missing for a while, or arrive later than the limit.
func (d *Dispatcher) rememberLimit(id core.ServerID, l RateLimit, at time.Time) {
	known := d.rememberedLimits[id]
	known.observe(l, at)
	d.rememberedLimits[id] = known
}

// restoreLimit applies the remembered limit of a server that is new in the table.
func (d *Dispatcher) restoreLimit(c *Candidate, id core.ServerID) {
	if known, ok := d.rememberedLimits[id]; ok {
		c.rate.observedLimit = known
		delete(d.rememberedLimits, id)
	}
}

// forgetOldLimits removes the limits of servers that have not been in the table for
// rememberedLimitTTL.
func (d *Dispatcher) forgetOldLimits() {
	now := d.loop.Clock().Now()
	for id, known := range d.rememberedLimits {
		if now.Sub(known.observedAt) >= rememberedLimitTTL {
			delete(d.rememberedLimits, id)
		}
	}
}
