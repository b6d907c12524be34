package caller

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/core"
)

// Limit names one of the limits of a contract.
type Limit int

// Limits of a contract that daemons share.
const (
	LimitRequests    Limit = iota // requests per second
	LimitTokens                   // tokens per second
	LimitConcurrency              // requests in flight
	limitCount
)

// NoShare as an amount ends the sharing of a limit: the contract's amount is in
// force again.
const NoShare = -1

// burstPeriod is the time for which a full bucket covers the rate. One second
// lets callers that send once a second use their whole rate.
const burstPeriod = time.Second

// share is the part of one limit that this daemon may use.
type share struct {
	configured bool
	base       float64 // in force without end
	amount     float64 // in force until validUntil
	validUntil time.Time
}

// at returns the amount in force. An expired grant falls back to the base and
// never to the contract's amount, since the other daemons use the rest of it.
func (s share) at(now time.Time) float64 {
	if now.Before(s.validUntil) {
		return s.amount
	}
	return s.base
}

// limiter holds the limits of one customer at this daemon.
type limiter struct {
	contract core.Limits
	shares   [limitCount]share
	requests *rate.Limiter
	tokens   *rate.Limiter
	// shared says that the limits are split between daemons. A limit without a
	// share then admits nothing, since the other daemons may use all of it.
	shared bool
	// offered counts what callers asked for since the last report of the usage.
	offered struct {
		requests int
		tokens   int
	}
}

func newLimiter(now time.Time) *limiter {
	l := &limiter{requests: rate.NewLimiter(rate.Inf, 0), tokens: rate.NewLimiter(rate.Inf, 0)}
	l.apply(now)
	return l
}

// setContract takes the amounts of the contract in force.
func (l *limiter) setContract(limits core.Limits, now time.Time) {
	l.contract = limits
	l.apply(now)
}

// setShare takes this daemon's part of a limit. Without validUntil the amount
// is the base that holds after each grant.
func (l *limiter) setShare(limit Limit, amount float64, validUntil, now time.Time) {
	s := &l.shares[limit]
	switch {
	case amount < 0:
		*s = share{}
	case validUntil.IsZero():
		*s = share{configured: true, base: amount}
	default:
		s.configured = true
		s.amount, s.validUntil = amount, validUntil
	}
	l.apply(now)
}

// amount returns the limit in force and whether there is one.
func (l *limiter) amount(limit Limit, now time.Time) (float64, bool) {
	if l.shares[limit].configured {
		return l.shares[limit].at(now), true
	}
	amount := l.contracted(limit)
	if l.shared && amount > 0 {
		return 0, true
	}
	return amount, amount > 0
}

// contracted returns the whole of the limit that the contract sets; 0 is none.
func (l *limiter) contracted(limit Limit) float64 {
	var amount float64
	switch limit {
	case LimitRequests:
		amount = l.contract.RequestsPerSecond
	case LimitTokens:
		amount = l.contract.TokensPerSecond
	case LimitConcurrency:
		amount = float64(l.contract.Concurrency)
	}
	return amount
}

// apply brings the buckets to the amounts in force.
func (l *limiter) apply(now time.Time) {
	l.applyRate(l.requests, LimitRequests, now)
	l.applyRate(l.tokens, LimitTokens, now)
}

func (l *limiter) applyRate(bucket *rate.Limiter, limit Limit, now time.Time) {
	perSecond, limited := l.amount(limit, now)
	if !limited {
		bucket.SetLimitAt(now, rate.Inf)
		return
	}
	if bucket.Limit() == rate.Limit(perSecond) {
		return
	}
	unlimitedBefore := bucket.Limit() == rate.Inf
	burst := 0
	if perSecond > 0 {
		burst = max(1, int(math.Ceil(perSecond*burstPeriod.Seconds())))
	}
	bucket.SetLimitAt(now, rate.Limit(perSecond))
	bucket.SetBurstAt(now, burst)
	if unlimitedBefore {
		bucket.AllowN(now, -burst) // a new bucket starts full
	}
}

// admit takes one request and the reserved tokens from the buckets. When a
// limit is reached it takes nothing and returns the time until it may fit.
func (l *limiter) admit(tokens int, now time.Time) (limit Limit, wait time.Duration, ok bool) {
	l.apply(now)
	l.offered.requests++
	l.offered.tokens += tokens
	if !l.requests.AllowN(now, 1) {
		return LimitRequests, untilAvailable(l.requests, 1, now), false
	}
	if !takeTokens(l.tokens, tokens, now) {
		l.requests.AllowN(now, -1)
		return LimitTokens, untilAvailable(l.tokens, tokens, now), false
	}
	return 0, 0, true
}

// takeTokens reserves n tokens. A request larger than the bucket needs a full
// bucket and leaves it in debt; otherwise it could never run.
func takeTokens(bucket *rate.Limiter, n int, now time.Time) bool {
	burst := bucket.Burst()
	if bucket.Limit() == rate.Inf || n <= burst {
		return bucket.AllowN(now, n)
	}
	if burst == 0 || !bucket.AllowN(now, burst) {
		return false
	}
	for rest := n - burst; rest > 0; rest -= burst {
		bucket.ReserveN(now, min(rest, burst))
	}
	return true
}

// giveBack returns reserved tokens that were not generated. A negative take
// adds to the bucket, which stays bounded by its burst.
func (l *limiter) giveBack(tokens int, now time.Time) {
	if tokens > 0 && l.tokens.Limit() != rate.Inf {
		l.tokens.AllowN(now, -tokens)
	}
}

func untilAvailable(bucket *rate.Limiter, n int, now time.Time) time.Duration {
	if bucket.Limit() <= 0 {
		return burstPeriod
	}
	missing := float64(min(n, bucket.Burst())) - bucket.TokensAt(now)
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}

// hasRoom reports whether one more request may be in flight.
func (l *limiter) hasRoom(running int, now time.Time) bool {
	amount, limited := l.amount(LimitConcurrency, now)
	return !limited || float64(running+1) <= amount
}
