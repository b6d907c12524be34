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
	// claimRingCapacity holds an acquire, a settlement and an abandon for each call
	// in flight, so that the ring never rejects one.
	claimRingCapacity = 3 * MaxInFlightCalls
	// maxStoreOpsInFlight bounds the concurrent store operations of the duty.
	maxStoreOpsInFlight = 1024
	// maxPendingPerBucket bounds the operations that wait for one bucket.
	maxPendingPerBucket = 512
	// maxCachedBytes bounds the bucket contents that are cached between operations.
	maxCachedBytes = 32 << 20
	// Backoff between reads of a claim that another daemon has started, and between
	// retries of a store operation.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// outcomeWriteDelay is how long an outcome waits to be written together with
	// other changes of its bucket. Until then a repeat at this daemon gets the
	// answer from memory; if the daemon dies, a repeat is answered "may have run".
	outcomeWriteDelay = 200 * time.Millisecond
	// contendedMaxAge is how long the content of a bucket that other daemons also
	// write counts as current. A write based on older content would only conflict.
	contendedMaxAge = 100 * time.Millisecond
	// deadDaemonRingCapacity holds the failure of all daemons of a region at once.
	deadDaemonRingCapacity = 1024
	// maxDeadDaemons bounds the list of daemons known to be dead.
	maxDeadDaemons = 4096
)

// Store is the part of the store duty that claims use. Submit must not block. It
// calls the operation's Reply once, on any goroutine, and Reply does not block.
type Store interface {
	Submit(op platform.Op) bool
}

type claimOpKind int

const (
	opAcquire claimOpKind = iota
	opFinish              // sets the state from started to done
	opRelease             // removes the claim, because nothing has run
	opAbandon             // cancels an acquire whose call has ended and was not sent
)

// claimOp is a change of a claim that admission requests.
type claimOp struct {
	kind        claimOpKind
	key         claimKey
	id          string
	fingerprint string
	end         core.End // for opFinish

	isClosed    bool // the acquire has been answered or its call has ended
	maybeStored bool // the acquire was part of a write that may have taken effect
	needsRead   bool // the bucket must be read again first
	// forcesWrite makes a release write the bucket even when it has no such claim.
	// The write changes the bucket's version, so that an earlier write with an
	// unknown outcome can no longer take effect.
	forcesWrite bool
	backoff     time.Duration
}

type claimOutcome int

const (
	claimAcquired claimOutcome = iota // the claim is known to be stored for this submission
	claimAnswered                     // the call ends with the result's end
	claimWaiting                      // another daemon has started the key; its outcome is awaited
	claimSettled                      // the finish or release is known to be stored
)

// claimResult is the result of a claimOp, sent to admission.
type claimResult struct {
	key     claimKey
	id      string
	outcome claimOutcome
	end     core.End
}

// Claims is the duty that stores idempotency claims. Each bucket has at most one
// store operation in flight; changes that arrive meanwhile share the next write.
type Claims struct {
	loop           *duty.Loop
	store          Store
	random         *rand.Rand
	daemon         core.DaemonID
	ops            *ring.Ring[*claimOp]
	storeReplies   *ring.Ring[storeReply]
	deadDaemonRing *ring.Ring[core.DaemonID]
	reportResult   func(claimResult)

	buckets          map[string]*claimBucket
	idleBuckets      *simplelru.LRU[string, *claimBucket] // cached buckets without pending operations
	cachedBytes      int
	storeOpsInFlight int
	openAcquires     map[string]*claimOp // unanswered acquires by claim ID
	deadDaemons      *simplelru.LRU[core.DaemonID, struct{}]
}

// NewClaims returns the claims duty of the daemon. With a nil store it rejects all
// calls that need a claim.
func NewClaims(clock duty.Clock, store Store, random *rand.Rand, daemon core.DaemonID) *Claims {
	c := &Claims{
		loop:           duty.New("claims", clock),
		store:          store,
		random:         random,
		daemon:         daemon,
		ops:            ring.New[*claimOp]("claims.ops", claimRingCapacity),
		storeReplies:   ring.New[storeReply]("claims.replies", maxStoreOpsInFlight),
		deadDaemonRing: ring.New[core.DaemonID]("claims.dead", deadDaemonRingCapacity),
		buckets:        map[string]*claimBucket{},
		openAcquires:   map[string]*claimOp{},
	}
	// NewLRU fails only for sizes below 1.
	c.idleBuckets, _ = simplelru.NewLRU[string, *claimBucket](1<<20, nil)
	c.deadDaemons, _ = simplelru.NewLRU[core.DaemonID, struct{}](maxDeadDaemons, nil)
	duty.On(c.loop, c.storeReplies, c.handleStoreReply)
	duty.On(c.loop, c.deadDaemonRing, func(d core.DaemonID) { c.deadDaemons.Add(d, struct{}{}) })
	duty.On(c.loop, c.ops, c.handleOp)
	return c
}

// Loop returns the loop that runs the duty.
func (c *Claims) Loop() *duty.Loop { return c.loop }

// MarkDaemonDead records that a daemon has ended. Repeats of keys that it started
// are then answered "may have run" without waiting for their deadline.
func (c *Claims) MarkDaemonDead(d core.DaemonID) { c.deadDaemonRing.PutLatest(d) }

// submit queues the operation. The ring has room for all calls in flight.
func (c *Claims) submit(op *claimOp) bool { return c.ops.TryPut(op) }

func (c *Claims) handleOp(op *claimOp) {
	if op.kind == opAbandon {
		c.abandonAcquire(op)
		return
	}
	b := c.bucketOf(op.key)
	if op.kind == opAcquire {
		if c.store == nil || len(b.pendingOps) >= maxPendingPerBucket {
			c.refuseAcquire(op, core.NotRunError(core.CodeOverloaded, "too many claims are waiting for the store"))
			c.cacheIfIdle(b)
			return
		}
		if b.isBackingOff && b.lastOpFailed {
			c.refuseAcquire(op, storeUnavailableError())
			return
		}
		c.openAcquires[op.id] = op
	}
	b.pendingOps = append(b.pendingOps, op)
	if op.kind == opFinish && allFinishes(b.pendingOps) {
		c.delayOutcomeWrite(b)
		return
	}
	c.startNextOp(b)
}

func allFinishes(ops []*claimOp) bool {
	return !slices.ContainsFunc(ops, func(op *claimOp) bool { return op.kind != opFinish })
}

// delayOutcomeWrite writes the bucket after outcomeWriteDelay, unless another
// operation on it comes first.
func (c *Claims) delayOutcomeWrite(b *claimBucket) {
	if b.isWriteDelayed || b.isOpInFlight || b.isBackingOff {
		return
	}
	b.isWriteDelayed = true
	c.loop.After(outcomeWriteDelay, func() {
		b.isWriteDelayed = false
		c.startNextOp(b)
	})
}

// abandonAcquire cancels an acquire whose call has ended. If a write may have stored
// the claim, it is released, since nothing was sent under it.
func (c *Claims) abandonAcquire(op *claimOp) {
	if acquire := c.openAcquires[op.id]; acquire != nil {
		delete(c.openAcquires, op.id)
		acquire.isClosed = true
		if !acquire.maybeStored {
			c.reportResult(claimResult{key: op.key, id: op.id, outcome: claimSettled})
			return
		}
	}
	b := c.bucketOf(op.key)
	b.pendingOps = append(b.pendingOps, newReleaseOp(op))
	c.startNextOp(b)
}

func newReleaseOp(op *claimOp) *claimOp {
	return &claimOp{kind: opRelease, key: op.key, id: op.id, forcesWrite: true}
}

func (c *Claims) bucketOf(key claimKey) *claimBucket {
	objectKey := key.bucketKey()
	b := c.buckets[objectKey]
	if b == nil {
		b = &claimBucket{key: objectKey}
		c.buckets[objectKey] = b
	}
	c.idleBuckets.Remove(objectKey)
	return b
}

// scheduleRecheck reads the claim again after a backoff.
func (c *Claims) scheduleRecheck(op *claimOp) {
	if op.backoff == 0 {
		c.reportResult(claimResult{key: op.key, id: op.id, outcome: claimWaiting})
	}
	op.backoff = c.nextBackoff(op.backoff)
	c.loop.After(c.jitter(op.backoff), func() {
		if op.isClosed {
			return
		}
		op.needsRead = true
		// The bucket may have been evicted while the timer ran.
		b := c.bucketOf(op.key)
		b.pendingOps = append(b.pendingOps, op)
		c.startNextOp(b)
	})
}

func (c *Claims) nextBackoff(d time.Duration) time.Duration {
	return min(max(2*d, minBackoff), maxBackoff)
}

// jitter returns a random duration between d/2 and d.
func (c *Claims) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

func (c *Claims) answerAcquire(op *claimOp, outcome claimOutcome, end core.End) {
	delete(c.openAcquires, op.id)
	if op.isClosed {
		return
	}
	op.isClosed = true
	c.reportResult(claimResult{key: op.key, id: op.id, outcome: outcome, end: end})
}

func (c *Claims) refuseAcquire(op *claimOp, err *core.Error) {
	if op.backoff > 0 {
		// Another daemon has started a call with the key, so "not run" could be wrong.
		err = earlierAttemptError()
	}
	err.RetryAfter = time.Second + c.jitter(time.Second)
	c.answerAcquire(op, claimAnswered, errorEnd(err))
}
