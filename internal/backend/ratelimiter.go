package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	permitRingCapacity = 4096
	// permitCallTimeout bounds one request to another daemon.
	permitCallTimeout = 500 * time.Millisecond
	// ownerCheckTTL is how long a daemon counts as alive after an answer. Two daemons
	// may grant permits of one server for about that time.
	ownerCheckTTL = time.Second
	// minOwnerBackoff and maxOwnerBackoff bound how long a daemon that did not answer
	// is passed over; the time doubles with each failure.
	minOwnerBackoff = time.Second
	maxOwnerBackoff = 8 * time.Second
	// maxOwnersAsked is the number of daemons that are asked before this daemon uses
	// its own share of the limit.
	maxOwnersAsked = 2
	// permitPendingRetry is the time after which a daemon asks again when nobody could
	// grant permits.
	permitPendingRetry = 100 * time.Millisecond
	// permitPrunePeriod is the interval at which unused buckets and peers are removed.
	permitPrunePeriod = 10 * time.Second
)

// PermitPeers are the daemons that share the rate limits of backend servers.
type PermitPeers interface {
	// Owners returns the addresses of all daemons, including this one, in the order
	// in which they are responsible for the server's rate limit. All daemons compute
	// the same order. It must not block.
	Owners(server core.ServerID) []string
	// RequestPermits sends the request to the daemon at the address. It blocks.
	RequestPermits(ctx context.Context, address string, r PermitRequest) (PermitGrant, error)
}

// peerState is what this daemon knows of another one from permit requests.
type peerState struct {
	answeredAt  time.Time
	failures    int // in a row
	failedUntil time.Time
	checkedAt   time.Time // begin of the last check
	isChecking  bool
}

// recordFailure passes the daemon over for a time that doubles with each failure. Failures
// of requests that were sent before the first of them was known count once.
func (s *peerState) recordFailure(now time.Time) {
	if now.Before(s.failedUntil) {
		s.failedUntil = later(s.failedUntil, now.Add(minOwnerBackoff))
		return
	}
	s.failures++
	s.failedUntil = now.Add(min(maxOwnerBackoff, minOwnerBackoff<<min(s.failures-1, 8)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withoutPermits returns a reply that grants nothing. It repeats the limit of the request,
// so that it does not change what the requesting daemon knows.
func (r PermitRequest) withoutPermits(outcome PermitOutcome) PermitGrant {
	return PermitGrant{Server: r.Server, Outcome: outcome, RetryAfter: permitPendingRetry, Limit: r.Limit, LimitAge: r.LimitAge}
}

// ownPermitRequest is a permit request of this daemon's dispatch duty.
type ownPermitRequest struct {
	request PermitRequest
	reply   func(PermitGrant)
	asked   int // daemons that did not answer
}

// permitAnswer is the answer of another daemon to a permit request.
type permitAnswer struct {
	address string
	own     *ownPermitRequest // nil for a check of the daemon
	grant   PermitGrant
	err     error
}

// RateLimiter is the duty that shares the rate limits of backend servers with the
// other daemons. For each server one daemon, the owner, distributes permits to all;
// each permit allows one request. The owner is the first of a rendezvous hash. If it
// does not answer, the next one takes over, but only once it cannot reach the owner
// either, so that two daemons grant permits of one server for at most about
// ownerCheckTTL. A daemon that reaches no owner uses its even share of the limit.
type RateLimiter struct {
	loop    *duty.Loop
	self    string
	peers   PermitPeers
	tryGo   func(func()) bool
	buckets rateBuckets
	states  map[string]*peerState // by address
	// announce tells all daemons of a limit.
	announce func(ServerRateLimit)

	own     *ring.Ring[ownPermitRequest]
	answers *ring.Ring[permitAnswer]
	queries *duty.QueryRing[PermitRequest, PermitGrant]
}

var _ PermitSource = (*RateLimiter)(nil)

// NewRateLimiter returns the duty. self is the address of this daemon as in
// PermitPeers.Owners. tryGo runs a blocking function on a pool.
func NewRateLimiter(clock duty.Clock, self string, peers PermitPeers, tryGo func(func()) bool) *RateLimiter {
	l := &RateLimiter{
		loop: duty.New("limits", clock), self: self, peers: peers, tryGo: tryGo,
		buckets: rateBuckets{}, states: map[string]*peerState{},
		own:     ring.New[ownPermitRequest]("limits.own", permitRingCapacity),
		answers: ring.New[permitAnswer]("limits.answers", permitRingCapacity),
		queries: duty.NewQueryRing[PermitRequest, PermitGrant]("limits.peers", permitRingCapacity),
	}
	duty.On(l.loop, l.own, l.handleOwn)
	duty.On(l.loop, l.answers, l.handleAnswer)
	duty.OnQuery(l.loop, l.queries, l.handlePeerRequest)
	l.loop.Every(permitPrunePeriod, l.prune)
	return l
}

// SetAnnouncer sets the function that tells all daemons, including this one, of a limit
// that a server has begun to declare, changed or lifted. It must not block.
// SetAnnouncer must be called before the duty starts.
func (l *RateLimiter) SetAnnouncer(announce func(ServerRateLimit)) { l.announce = announce }

// Loop returns the duty's loop.
func (l *RateLimiter) Loop() *duty.Loop { return l.loop }

// Request implements PermitSource. If the ring is full, it replies that no permit is
// granted now.
func (l *RateLimiter) Request(r PermitRequest, reply func(PermitGrant)) {
	if !l.own.TryPut(ownPermitRequest{request: r, reply: reply}) {
		reply(r.withoutPermits(PermitsPending))
	}
}

// HandlePeer answers the request of another daemon. It blocks until the duty replies;
// duties must not call it.
func (l *RateLimiter) HandlePeer(ctx context.Context, r PermitRequest) (PermitGrant, error) {
	return l.queries.Do(ctx, r)
}

// grantAsOwner grants permits as the daemon that is responsible for the server.
func (l *RateLimiter) grantAsOwner(r PermitRequest) PermitGrant {
	now := l.loop.Clock().Now()
	g := l.buckets.grant(now, r, 1)
	if b := l.buckets[r.Server]; l.announce != nil && b.isAnnouncementDue() {
		b.announced = b.limit
		l.announce(ServerRateLimit{Server: r.Server, Limit: b.limit, Age: now.Sub(b.observedAt)})
	}
	return g
}

func (l *RateLimiter) stateOf(address string) *peerState {
	s := l.states[address]
	if s == nil {
		s = &peerState{}
		l.states[address] = s
	}
	return s
}

// handleOwn passes a request to the first owner that is not known to be down.
func (l *RateLimiter) handleOwn(o ownPermitRequest) {
	now := l.loop.Clock().Now()
	owners := l.peers.Owners(o.request.Server)
	if o.asked >= maxOwnersAsked {
		o.reply(l.buckets.grant(now, o.request, 1/float64(max(1, len(owners)))))
		return
	}
	for _, address := range owners {
		if address == l.self {
			o.reply(l.grantAsOwner(o.request))
			return
		}
		if now.Before(l.stateOf(address).failedUntil) {
			l.check(address, o.request)
			continue
		}
		l.ask(address, &o, o.request)
		return
	}
	o.reply(o.request.withoutPermits(PermitsPending))
}

// ask sends a request to another daemon. own is nil for a check of the daemon.
func (l *RateLimiter) ask(address string, own *ownPermitRequest, r PermitRequest) {
	started := l.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitCallTimeout)
		defer cancel()
		grant, err := l.peers.RequestPermits(ctx, address, r)
		l.answers.TryPut(permitAnswer{address: address, own: own, grant: grant, err: err})
	})
	switch {
	case started:
	case own == nil:
		l.stateOf(address).isChecking = false
	default:
		own.reply(r.withoutPermits(PermitsPending))
	}
}

// check asks a daemon that comes before this one whether it answers, once per
// ownerCheckTTL. While it does not, this daemon may grant permits in its place; when it
// is back, both would otherwise grant until the end of the backoff.
func (l *RateLimiter) check(address string, r PermitRequest) {
	now := l.loop.Clock().Now()
	state := l.stateOf(address)
	if state.isChecking || now.Sub(state.checkedAt) < ownerCheckTTL {
		return
	}
	state.isChecking, state.checkedAt = true, now
	l.ask(address, nil, PermitRequest{Server: r.Server, Limit: r.Limit, LimitAge: r.LimitAge})
}

func (l *RateLimiter) handleAnswer(a permitAnswer) {
	now := l.loop.Clock().Now()
	state := l.stateOf(a.address)
	if a.own == nil {
		state.isChecking = false
	}
	if a.err == nil {
		*state = peerState{answeredAt: now, checkedAt: state.checkedAt, isChecking: state.isChecking}
	} else {
		state.recordFailure(now)
	}
	switch {
	case a.own == nil:
	case a.err != nil:
		a.own.asked++
		l.handleOwn(*a.own)
	default:
		if a.grant.Outcome == PermitsElsewhere {
			l.forgetFailuresBefore(a.own.request.Server, a.address)
		}
		a.own.reply(a.grant)
	}
}

// forgetFailuresBefore makes the daemons that come before the address in the order of
// owners eligible again: the one at the address has reached them.
func (l *RateLimiter) forgetFailuresBefore(server core.ServerID, address string) {
	for _, owner := range l.peers.Owners(server) {
		if owner == address {
			return
		}
		l.stateOf(owner).failedUntil = time.Time{}
	}
}

// handlePeerRequest grants permits to another daemon if no daemon that comes before
// this one in the order of owners is alive.
func (l *RateLimiter) handlePeerRequest(q duty.Query[PermitRequest, PermitGrant]) {
	now := l.loop.Clock().Now()
	r := q.Params
	for _, address := range l.peers.Owners(r.Server) {
		if address == l.self {
			break
		}
		state := l.stateOf(address)
		if now.Before(state.failedUntil) {
			l.check(address, r)
			continue
		}
		outcome := PermitsPending
		if now.Sub(state.answeredAt) < ownerCheckTTL {
			outcome = PermitsElsewhere
		} else {
			l.check(address, r)
		}
		q.Reply(r.withoutPermits(outcome))
		return
	}
	q.Reply(l.grantAsOwner(r))
}

func (l *RateLimiter) prune() {
	now := l.loop.Clock().Now()
	l.buckets.removeUnused(now)
	for address, s := range l.states {
		if !s.isChecking && s.failures == 0 && now.Sub(s.answeredAt) > bucketTTL {
			delete(l.states, address)
		}
	}
}
