package caller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the claims duty.
const (
	// claimRingCapacity holds an acquire, a settle and an abandon for each
	// call that a daemon may have in flight, so that none is refused.
	claimRingCapacity = 3 * MaxInFlightCalls
	// maxBusyBuckets bounds the store operations of the duty at once.
	maxBusyBuckets = 1024
	// maxBucketQueue bounds the claims that wait for one bucket.
	maxBucketQueue = 512
	// maxCachedBytes bounds the bucket contents kept between operations.
	maxCachedBytes = 32 << 20
	// Back-off between looks at a claim that another daemon started, and
	// between tries of a background write.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// finishLinger is how long an outcome waits for another write of its bucket
	// to go with. A repeat at this daemon has its answer from memory meanwhile;
	// if the daemon dies, a repeat is told "may have run" instead of the answer.
	finishLinger = 200 * time.Millisecond
	// freshFor is how long a bucket that other daemons write too counts as
	// current. A write on older content would only meet a conflict.
	freshFor = 100 * time.Millisecond
	// deadRingCapacity holds the deaths of a whole region at once.
	deadRingCapacity = 1024
	// maxDeadDaemons bounds the list of daemons known to be dead.
	maxDeadDaemons = 4096
)

// Store is what claims need of the store duty. Submit never waits; Reply is
// called once, on any goroutine, and must not wait either.
type Store interface {
	Submit(op platform.Op) bool
}

type claimOpKind int

const (
	opAcquire claimOpKind = iota
	opFinish              // started becomes done
	opRelease             // the claim is removed: it is proven that nothing ran
	opAbandon             // an acquire whose call has ended; nothing was sent
)

// claimOp is one change of a claim that admission asks for.
type claimOp struct {
	kind        claimOpKind
	name        claimKey
	id          string
	fingerprint string
	end         core.End // for opFinish

	dropped bool // the call of an acquire has ended
	written bool // an acquire was part of a write that may have taken effect
	fresh   bool // the bucket must be read again first
	// supersede makes a release write the bucket even when the claim is absent,
	// so that a write with an unknown outcome can no longer take effect.
	supersede bool
	backoff   time.Duration
}

type claimOutcome int

const (
	claimHeld    claimOutcome = iota // the claim is proven stored for this submission
	claimEnded                       // the call ends with the result's end
	claimWaiting                     // another daemon started the key; still looking
	claimSettled                     // a finish or release is proven stored
)

// claimResult is the answer to a claimOp.
type claimResult struct {
	name    claimKey
	id      string
	outcome claimOutcome
	end     core.End
}

// Claims is the duty that stores idempotency claims. One store operation is in
// flight per bucket; claims that arrive meanwhile go into the next write.
type Claims struct {
	loop    *duty.Loop
	store   Store
	random  *rand.Rand
	daemon  core.DaemonID
	ops     *ring.Ring[*claimOp]
	replies *ring.Ring[storeReply]
	dead    *ring.Ring[core.DaemonID]
	report  func(claimResult)

	buckets     map[string]*bucket
	idle        *simplelru.LRU[string, *bucket] // cached buckets without work
	cachedBytes int
	busy        int
	acquires    map[string]*claimOp // by ID, until answered
	deadDaemons *simplelru.LRU[core.DaemonID, struct{}]
}

// NewClaims returns the claims duty of the daemon. The store may be nil when the
// daemon takes no calls that need a claim.
func NewClaims(clock duty.Clock, store Store, random *rand.Rand, daemon core.DaemonID) *Claims {
	c := &Claims{
		loop:     duty.New("claims", clock),
		store:    store,
		random:   random,
		daemon:   daemon,
		ops:      ring.New[*claimOp]("claims.ops", claimRingCapacity),
		replies:  ring.New[storeReply]("claims.replies", maxBusyBuckets),
		dead:     ring.New[core.DaemonID]("claims.dead", deadRingCapacity),
		buckets:  map[string]*bucket{},
		acquires: map[string]*claimOp{},
	}
	// NewLRU fails only for sizes below 1.
	c.idle, _ = simplelru.NewLRU[string, *bucket](1<<20, nil)
	c.deadDaemons, _ = simplelru.NewLRU[core.DaemonID, struct{}](maxDeadDaemons, nil)
	duty.On(c.loop, c.replies, c.handleReply)
	duty.On(c.loop, c.dead, func(d core.DaemonID) { c.deadDaemons.Add(d, struct{}{}) })
	duty.On(c.loop, c.ops, c.handleOp)
	return c
}

// Loop returns the duty's loop.
func (c *Claims) Loop() *duty.Loop { return c.loop }

// MarkDaemonDead tells the duty that a daemon has ended. Repeats of keys that it
// started are answered "may have run" without waiting for their deadline.
func (c *Claims) MarkDaemonDead(d core.DaemonID) { c.dead.PutLatest(d) }

// submit queues the operation. The capacity of the ring covers all calls in flight.
func (c *Claims) submit(op *claimOp) bool { return c.ops.TryPut(op) }

func (c *Claims) handleOp(op *claimOp) {
	if op.kind == opAbandon {
		c.abandon(op)
		return
	}
	b := c.bucketOf(op.name)
	if op.kind == opAcquire {
		if c.store == nil || len(b.pending) >= maxBucketQueue {
			c.refuse(op, core.NotRunError(core.CodeOverloaded, "too many claims wait for the store"))
			c.rest(b)
			return
		}
		if b.paused && b.failing {
			c.refuse(op, storeUnavailableError())
			return
		}
		c.acquires[op.id] = op
	}
	b.pending = append(b.pending, op)
	if op.kind == opFinish && onlyFinishes(b.pending) {
		c.linger(b)
		return
	}
	c.advance(b)
}

func onlyFinishes(ops []*claimOp) bool {
	return !slices.ContainsFunc(ops, func(op *claimOp) bool { return op.kind != opFinish })
}

// linger lets outcomes wait for the bucket's next write.
func (c *Claims) linger(b *bucket) {
	if b.lingering || b.busy || b.paused {
		return
	}
	b.lingering = true
	c.loop.After(finishLinger, func() {
		b.lingering = false
		c.advance(b)
	})
}

// abandon drops an acquire whose call has ended. A claim that a write may have
// stored is released, since nothing was sent under it.
func (c *Claims) abandon(op *claimOp) {
	if acquire := c.acquires[op.id]; acquire != nil {
		delete(c.acquires, op.id)
		acquire.dropped = true
		if !acquire.written {
			c.report(claimResult{name: op.name, id: op.id, outcome: claimSettled})
			return
		}
	}
	b := c.bucketOf(op.name)
	b.pending = append(b.pending, releaseOp(op))
	c.advance(b)
}

func releaseOp(op *claimOp) *claimOp {
	return &claimOp{kind: opRelease, name: op.name, id: op.id, supersede: true}
}

func (c *Claims) bucketOf(name claimKey) *bucket {
	key := name.bucketKey()
	b := c.buckets[key]
	if b == nil {
		b = &bucket{key: key}
		c.buckets[key] = b
	}
	c.idle.Remove(key)
	return b
}

// poll looks at the claim again later.
func (c *Claims) poll(op *claimOp) {
	if op.backoff == 0 {
		c.report(claimResult{name: op.name, id: op.id, outcome: claimWaiting})
	}
	op.backoff = c.grow(op.backoff)
	c.loop.After(c.jitter(op.backoff), func() {
		if op.dropped {
			return
		}
		op.fresh = true
		// The bucket may have left the cache while the timer ran.
		b := c.bucketOf(op.name)
		b.pending = append(b.pending, op)
		c.advance(b)
	})
}

func (c *Claims) grow(d time.Duration) time.Duration {
	return min(max(2*d, firstBackoff), maxBackoff)
}

// jitter returns a random time between half of d and d.
func (c *Claims) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

func (c *Claims) answer(op *claimOp, outcome claimOutcome, end core.End) {
	delete(c.acquires, op.id)
	if op.dropped {
		return
	}
	op.dropped = true
	c.report(claimResult{name: op.name, id: op.id, outcome: outcome, end: end})
}

func (c *Claims) refuse(op *claimOp, e *core.Error) {
	if op.backoff > 0 {
		// The claim was seen started by another daemon, so "not run" would mislead.
		e = earlierAttemptError()
	}
	e.RetryAfter = time.Second + c.jitter(time.Second)
	c.answer(op, claimEnded, failedEnd(e))
}
