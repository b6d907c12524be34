package caller

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/core"
)

// Limit identifies one of the limits of a contract.
type Limit int

// Limits of a contract that daemons share.
const (
	LimitRequests    Limit = iota // requests per second
	LimitTokens                   // tokens per second
	LimitConcurrency              // requests in flight
	limitCount
)

// NoShare as the amount removes this daemon's share of a limit, so that the whole
// amount of the contract applies again.
const NoShare = -1

// burstDuration is the time in which an empty bucket fills at its rate. One
// second lets callers that send once a second use their whole rate.
const burstDuration = time.Second

// limitShare is the part of a limit that this daemon may use.
type limitShare struct {
	isSet         bool
	baseAmount    float64   // applies when no grant is valid
	grantedAmount float64   // applies until validUntil
	validUntil    time.Time // by the clock of the shares; zero without a grant
}

// amountInForce returns the amount in force. After an expired grant it is the base
// amount and never the contract's amount, since other daemons use the rest of it.
func (s limitShare) amountInForce(shareNow func() time.Time) float64 {
	if !s.validUntil.IsZero() && shareNow().Before(s.validUntil) {
		return s.grantedAmount
	}
	return s.baseAmount
}

// customerLimiter enforces the limits of one customer at this daemon.
type customerLimiter struct {
	contractLimits core.Limits
	// shareNow is the clock of the shares. Its times are not comparable with those of
	// the buckets, which are times of admission's clock.
	shareNow      func() time.Time
	shares        [limitCount]limitShare
	requestBucket *rate.Limiter
	tokenBucket   *rate.Limiter
	// isShared is set when daemons share the limits. A limit without a share then
	// admits nothing, since other daemons may use all of it.
	isShared bool
	// offered counts what callers requested since the last demand report.
	offered struct {
		requests int
		tokens   int
	}
}

func newCustomerLimiter(shareNow func() time.Time, now time.Time) *customerLimiter {
	l := &customerLimiter{shareNow: shareNow, requestBucket: rate.NewLimiter(rate.Inf, 0), tokenBucket: rate.NewLimiter(rate.Inf, 0)}
	l.updateBuckets(now)
	return l
}

// setContract applies the limits of the contract in force.
func (l *customerLimiter) setContract(limits core.Limits, now time.Time) {
	l.contractLimits = limits
	l.updateBuckets(now)
}

// setShare sets this daemon's share of a limit. A zero validUntil sets the base
// amount, which applies whenever no grant is valid.
func (l *customerLimiter) setShare(limit Limit, amount float64, validUntil, now time.Time) {
	s := &l.shares[limit]
	switch {
	case amount < 0:
		*s = limitShare{}
	case validUntil.IsZero():
		*s = limitShare{isSet: true, baseAmount: amount}
	default:
		s.isSet = true
		s.grantedAmount, s.validUntil = amount, validUntil
	}
	l.updateBuckets(now)
}

// amountInForce returns the amount of the limit, and false if it is unlimited.
func (l *customerLimiter) amountInForce(limit Limit) (float64, bool) {
	if l.shares[limit].isSet {
		return l.shares[limit].amountInForce(l.shareNow), true
	}
	amount := l.contractAmount(limit)
	if l.isShared && amount > 0 {
		return 0, true
	}
	return amount, amount > 0
}

// contractAmount returns the whole amount that the contract sets; 0 means no limit.
func (l *customerLimiter) contractAmount(limit Limit) float64 {
	var amount float64
	switch limit {
	case LimitRequests:
		amount = l.contractLimits.RequestsPerSecond
	case LimitTokens:
		amount = l.contractLimits.TokensPerSecond
	case LimitConcurrency:
		amount = float64(l.contractLimits.Concurrency)
	}
	return amount
}

// updateBuckets sets the rates of the buckets to the amounts in force.
func (l *customerLimiter) updateBuckets(now time.Time) {
	l.updateBucket(l.requestBucket, LimitRequests, now)
	l.updateBucket(l.tokenBucket, LimitTokens, now)
}

func (l *customerLimiter) updateBucket(bucket *rate.Limiter, limit Limit, now time.Time) {
	perSecond, isLimited := l.amountInForce(limit)
	if !isLimited {
		bucket.SetLimitAt(now, rate.Inf)
		return
	}
	if bucket.Limit() == rate.Limit(perSecond) {
		return
	}
	wasUnlimited := bucket.Limit() == rate.Inf
	burst := 0
	if perSecond > 0 {
		burst = max(1, int(math.Ceil(perSecond*burstDuration.Seconds())))
	}
	bucket.SetLimitAt(now, rate.Limit(perSecond))
	bucket.SetBurstAt(now, burst)
	if wasUnlimited {
		bucket.AllowN(now, -burst) // fills the new bucket
	}
}

// admit takes one request and the given tokens from the buckets. When a limit is
// reached it takes nothing and returns the time until the request may fit.
func (l *customerLimiter) admit(tokens int, now time.Time) (limit Limit, wait time.Duration, ok bool) {
	l.updateBuckets(now)
	l.offered.requests++
	l.offered.tokens += tokens
	if !l.requestBucket.AllowN(now, 1) {
		return LimitRequests, timeUntilAvailable(l.requestBucket, 1, now), false
	}
	if !reserveTokens(l.tokenBucket, tokens, now) {
		l.requestBucket.AllowN(now, -1)
		return LimitTokens, timeUntilAvailable(l.tokenBucket, tokens, now), false
	}
	return 0, 0, true
}

// reserveTokens takes n tokens from the bucket. A request for more tokens than the
// bucket holds needs a full bucket and leaves it in debt; otherwise it could never
// run.
func reserveTokens(bucket *rate.Limiter, n int, now time.Time) bool {
	burst := bucket.Burst()
	if bucket.Limit() == rate.Inf || n <= burst {
		return bucket.AllowN(now, n)
	}
	if burst == 0 || !bucket.AllowN(now, burst) {
		return false
	}
	for remaining := n - burst; remaining > 0; remaining -= burst {
		bucket.ReserveN(now, min(remaining, burst))
	}
	return true
}

// returnTokens returns reserved tokens that were not generated. Taking a negative
// number adds to the bucket, up to its burst.
func (l *customerLimiter) returnTokens(tokens int, now time.Time) {
	if tokens > 0 && l.tokenBucket.Limit() != rate.Inf {
		l.tokenBucket.AllowN(now, -tokens)
	}
}

func timeUntilAvailable(bucket *rate.Limiter, n int, now time.Time) time.Duration {
	if bucket.Limit() <= 0 {
		return burstDuration
	}
	missing := float64(min(n, bucket.Burst())) - bucket.TokensAt(now)
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}

// hasConcurrencyRoom reports whether one more request may be in flight.
func (l *customerLimiter) hasConcurrencyRoom(running int) bool {
	amount, limited := l.amountInForce(LimitConcurrency)
	return !limited || float64(running+1) <= amount
}
