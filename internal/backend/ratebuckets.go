package backend

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// minRateLimit is the lowest rate, in requests per second, at which a server
	// gets requests. Only an answer shows that its limit has been lifted.
	minRateLimit = 0.25
	// minBurst is the number of unused permits that accumulate at least. One would be
	// lost whenever nobody asks at the moment at which the next is due.
	minBurst = 2
	// burstPeriod is the time for which unused permits of a server accumulate.
	burstPeriod = 250 * time.Millisecond
	// maxReservation is how far ahead permits are reserved for urgent requests.
	maxReservation = 500 * time.Millisecond
	// urgentPreference is how long other requests get no permits after an urgent
	// one got none.
	urgentPreference = 500 * time.Millisecond
	// minPermitRetry and maxPermitRetry bound the time after which a daemon asks
	// again for permits that it did not get.
	minPermitRetry = 20 * time.Millisecond
	maxPermitRetry = time.Second
	// maxUnannouncedChange is the share of a limit by which it may change before all
	// daemons are told.
	maxUnannouncedChange = 0.1
	// bucketTTL is how long the bucket of a server without requests is kept.
	bucketTTL = time.Minute
)

// PermitRequest asks for permits to send requests to a server with a rate limit. It
// also reports the limit that the requesting daemon knows. Times are durations,
// because the clocks of daemons differ.
type PermitRequest struct {
	Server   core.ServerID
	Limit    RateLimit
	LimitAge time.Duration // since the server's answer with that limit
	Urgent   int           // permits wanted for callers that wait
	Other    int           // permits wanted for other requests
}

// PermitOutcome is the outcome of a permit request. Its number is part of the
// messages between daemons.
type PermitOutcome int

// Outcomes of permit requests.
const (
	PermitsGranted   PermitOutcome = iota // as many as the grant has
	PermitsPending                        // none yet: the daemon does not know whether it is responsible
	PermitsElsewhere                      // none: the responsible daemon is alive
)

// PermitGrant is the reply to a PermitRequest.
type PermitGrant struct {
	Server  core.ServerID
	Outcome PermitOutcome
	// Delays has an entry for each permit: the time until it may be used.
	Delays []time.Duration
	// RetryAfter is the time after which further permits can be expected; 0 if all
	// wanted permits were granted.
	RetryAfter time.Duration
	// Limit is the newest limit that any daemon has reported, and LimitAge the time
	// since the server's answer with it.
	Limit    RateLimit
	LimitAge time.Duration
}

// rateBucket distributes the rate limit of one server to all daemons. It starts
// empty: a former owner may have used up the last second.
type rateBucket struct {
	observedLimit
	limiter    *rate.Limiter
	announced  RateLimit // the last that all daemons were told
	urgentWait time.Time // end of the preference for urgent requests
	usedAt     time.Time
}

func newRateBucket(now time.Time) *rateBucket {
	b := &rateBucket{limiter: rate.NewLimiter(minRateLimit, 1)}
	b.limiter.AllowN(now, 1)
	return b
}

// setRate sets the rate at which permits accumulate to a share of the limit.
func (b *rateBucket) setRate(now time.Time, share float64) {
	perSecond := max(minRateLimit, b.limit.PerSecond) * share
	if rate.Limit(perSecond) == b.limiter.Limit() {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, max(minBurst, int(math.Ceil(perSecond*burstPeriod.Seconds()))))
}

// grant takes the wanted permits from the share of the server's limit, urgent ones
// first. Callers that wait must not lose their permits to programs that can wait
// longer.
func (b *rateBucket) grant(now time.Time, r PermitRequest, share float64) PermitGrant {
	b.usedAt = now
	b.observe(r.Limit, now.Add(-r.LimitAge))
	g := PermitGrant{Server: r.Server, Limit: b.limit, LimitAge: now.Sub(b.observedAt)}
	if !b.limit.Declared {
		return g
	}
	b.setRate(now, share)
	for range r.Urgent {
		reserved := b.limiter.ReserveN(now, 1)
		delay := reserved.DelayFrom(now)
		if delay > maxReservation {
			reserved.CancelAt(now)
			b.urgentWait = now.Add(urgentPreference)
			break
		}
		g.Delays = append(g.Delays, delay)
	}
	for range r.Other {
		if now.Before(b.urgentWait) || !b.limiter.AllowN(now, 1) {
			break
		}
		g.Delays = append(g.Delays, 0)
	}
	if len(g.Delays) < r.Urgent+r.Other {
		g.RetryAfter = b.nextPermitAfter(now)
	}
	return g
}

// isAnnouncementDue reports whether all daemons must be told of the limit.
func (b *rateBucket) isAnnouncementDue() bool {
	difference := math.Abs(b.limit.PerSecond - b.announced.PerSecond)
	return b.limit.Declared != b.announced.Declared || difference > maxUnannouncedChange*b.announced.PerSecond
}

// nextPermitAfter returns the time until the bucket has a permit.
func (b *rateBucket) nextPermitAfter(now time.Time) time.Duration {
	missing := 1 - b.limiter.TokensAt(now)
	wait := time.Duration(missing / float64(b.limiter.Limit()) * float64(time.Second))
	return min(max(wait, minPermitRetry), maxPermitRetry)
}

// rateBuckets are the buckets of the servers for which a daemon distributes permits.
type rateBuckets map[core.ServerID]*rateBucket

// grant handles a permit request with a share of the server's limit, 0 to 1.
func (m rateBuckets) grant(now time.Time, r PermitRequest, share float64) PermitGrant {
	b := m[r.Server]
	if b == nil {
		b = newRateBucket(now)
		m[r.Server] = b
	}
	return b.grant(now, r, share)
}

// removeUnused removes the buckets that had no request for bucketTTL.
func (m rateBuckets) removeUnused(now time.Time) {
	for server, b := range m {
		if now.Sub(b.usedAt) > bucketTTL {
			delete(m, server)
		}
	}
}
