package caller

import (
	"errors"
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
	claimRingCapacity = 3 * MaxInFlight
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

type storeReply struct {
	bucket *bucket
	result platform.Result
}

// bucket is the duty's view of one claim bucket.
type bucket struct {
	key     string
	known   *claimSet // nil until read
	version int64
	busy    bool       // a store operation is in flight
	batch   []*claimOp // operations in the write in flight
	next    *claimSet  // content of the write in flight
	pending []*claimOp
	backoff time.Duration
	paused  bool // waits for a retry timer
	failing bool // the last store operation failed
	// conflicts counts the writes in a row that lost to another daemon.
	conflicts int
	// contended is set while other daemons write the bucket too.
	contended bool
	seen      time.Time // when the content was last known to be current
	lingering bool      // a timer for waiting outcomes runs
	bytes     int       // counted against maxCachedBytes
}

func (b *bucket) idle() bool { return !b.busy && !b.paused && len(b.pending) == 0 }

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

// SetDead tells the duty that a daemon has ended. Repeats of keys that it
// started are answered "may have run" without waiting for their deadline.
func (c *Claims) SetDead(d core.DaemonID) { c.dead.PutLatest(d) }

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
	for _, op := range ops {
		if op.kind != opFinish {
			return false
		}
	}
	return true
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

// rest keeps the bucket's content while the cache has room.
func (c *Claims) rest(b *bucket) {
	size := 0
	if b.known != nil {
		size = b.known.bytes
	}
	c.cachedBytes += size - b.bytes
	b.bytes = size
	if !b.idle() {
		return
	}
	c.idle.Add(b.key, b)
	for c.cachedBytes > maxCachedBytes {
		_, oldest, ok := c.idle.RemoveOldest()
		if !ok {
			return
		}
		c.cachedBytes -= oldest.bytes
		delete(c.buckets, oldest.key)
	}
}

// advance starts the bucket's next store operation if there is need for one.
func (c *Claims) advance(b *bucket) {
	defer c.rest(b)
	if b.busy || b.paused {
		return
	}
	b.pending = withoutDropped(b.pending)
	if len(b.pending) == 0 {
		return
	}
	if b.known == nil || needsFresh(b.pending) || c.isOld(b) {
		c.read(b)
		return
	}
	c.write(b)
}

func withoutDropped(ops []*claimOp) []*claimOp {
	kept := ops[:0]
	for _, op := range ops {
		if !op.dropped {
			kept = append(kept, op)
		}
	}
	return kept
}

func needsFresh(ops []*claimOp) bool {
	for _, op := range ops {
		if op.fresh {
			return true
		}
	}
	return false
}

func (c *Claims) isOld(b *bucket) bool {
	return b.contended && c.loop.Clock().Now().Sub(b.seen) > freshFor
}

func (c *Claims) read(b *bucket) {
	b.known = nil
	for _, op := range b.pending {
		op.fresh = false
	}
	c.call(b, platform.Op{Kind: platform.OpGet, Key: b.key})
}

// write applies the pending operations to the known content and stores the
// result, if it changed.
func (c *Claims) write(b *bucket) {
	next := b.known.clone()
	next.prune(c.loop.Clock().Now())
	ops := b.pending
	b.pending = nil
	b.batch = b.batch[:0]
	for _, op := range ops {
		if c.apply(next, op) {
			b.batch = append(b.batch, op)
		}
	}
	if len(b.batch) == 0 {
		return
	}
	b.next = next
	c.call(b, platform.Op{Kind: platform.OpPut, Key: b.key, Value: next.encode(), IfVersion: b.version})
}

// apply makes the operation's change in next and reports whether it must be
// stored. An operation that needs no change is answered.
func (c *Claims) apply(next *claimSet, op *claimOp) bool {
	existing := next.claims[op.name.key]
	mine := existing != nil && existing.ID == op.id
	switch op.kind {
	case opAcquire:
		if existing == nil {
			return c.applyAcquire(next, op)
		}
		c.answerExisting(op, existing)
		return false
	case opFinish:
		if mine && existing.State == claimStarted && c.applyFinish(next, op, existing) {
			return true
		}
	case opRelease:
		if mine && existing.State == claimStarted {
			next.remove(op.name.key)
			return true
		}
		if op.supersede {
			return true
		}
	}
	c.report(claimResult{name: op.name, id: op.id, outcome: claimSettled})
	return false
}

func (c *Claims) applyAcquire(next *claimSet, op *claimOp) bool {
	claim := &storedClaim{
		Key: op.name.key, ID: op.id, Fingerprint: op.fingerprint, Owner: c.daemon,
		State: claimStarted, StartedMs: c.loop.Clock().Now().UnixMilli(),
	}
	if err := claim.encode(); err != nil || !next.fit(len(claim.encoded)+1) {
		c.refuse(op, core.NotRunError(core.CodeOverloaded, "the claims of this customer take all their space in the store"))
		return false
	}
	next.put(claim)
	op.written = true
	return true
}

func (c *Claims) applyFinish(next *claimSet, op *claimOp, existing *storedClaim) bool {
	done, err := existing.finished(op.end, c.loop.Clock().Now())
	if err != nil {
		return false
	}
	if !next.fit(len(done.encoded)-len(existing.encoded)) && len(done.Body) > 0 {
		done.dropBody()
		if done.encode() != nil {
			return false
		}
	}
	next.put(done)
	return true
}

// answerExisting answers an acquire of a key that has a claim.
func (c *Claims) answerExisting(op *claimOp, existing *storedClaim) {
	switch {
	case existing.ID == op.id:
		// An earlier write whose answer was lost has stored this claim.
		c.answer(op, claimHeld, core.End{})
	case existing.Fingerprint != op.fingerprint:
		c.answer(op, claimEnded, failedEnd(otherContentError()))
	case existing.State == claimDone:
		c.answer(op, claimEnded, existing.end())
	case c.deadDaemons.Contains(existing.Owner):
		c.answer(op, claimEnded, failedEnd(earlierAttemptError()))
	default:
		c.poll(op)
	}
}

func otherContentError() *core.Error {
	return core.NotRunError(core.CodeConflict, "the idempotency key was used for other content")
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

func (c *Claims) call(b *bucket, op platform.Op) {
	if c.busy >= maxBusyBuckets {
		c.failed(b, platform.ErrUnavailable)
		return
	}
	c.busy++
	b.busy = true
	op.Reply = func(r platform.Result) { c.replies.TryPut(storeReply{bucket: b, result: r}) }
	if c.store.Submit(op) {
		return
	}
	c.busy--
	b.busy = false
	c.failed(b, platform.ErrUnavailable)
}

func (c *Claims) handleReply(r storeReply) {
	b := r.bucket
	c.busy--
	b.busy = false
	switch {
	case b.next != nil && r.result.Err == nil:
		c.committed(b, r.result.Object.Version)
	case b.next == nil && (r.result.Err == nil || errors.Is(r.result.Err, platform.ErrNotFound)):
		c.loaded(b, r.result)
	default:
		c.failed(b, r.result.Err)
		return
	}
	c.advance(b)
}

func (c *Claims) committed(b *bucket, version int64) {
	b.known, b.version = b.next, version
	b.next = nil
	b.seen = c.loop.Clock().Now()
	b.backoff, b.conflicts = 0, 0
	b.failing = false
	batch := b.batch
	b.batch = nil
	for _, op := range batch {
		if op.kind == opAcquire {
			c.answer(op, claimHeld, core.End{})
			continue
		}
		c.report(claimResult{name: op.name, id: op.id, outcome: claimSettled})
	}
}

func (c *Claims) loaded(b *bucket, r platform.Result) {
	set, err := newClaimSet(), error(nil)
	version := platform.Absent
	if r.Err == nil && !r.Object.Deleted {
		set, err = decodeClaimSet(r.Object.Value)
		version = r.Object.Version
	}
	if err != nil {
		c.failed(b, err)
		return
	}
	if version == b.version {
		b.contended = false
	}
	b.known, b.version = set, version
	b.seen = c.loop.Clock().Now()
}

// failed handles a store operation without success. After a conflict, or when
// the outcome of a write is not known, the bucket is read again: the claim IDs
// in it tell what took effect. Any other failure refuses the acquires; those
// that were part of a write are released later, because a write that is
// reported as failed may still take effect.
func (c *Claims) failed(b *bucket, err error) {
	ops := slices.Concat(b.batch, b.pending)
	b.batch, b.pending, b.next, b.known = nil, nil, nil, nil
	again := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
	for _, op := range withoutDropped(ops) {
		switch {
		case op.kind != opAcquire || again:
			b.pending = append(b.pending, op)
		default:
			if op.written {
				b.pending = append(b.pending, releaseOp(op))
			}
			c.refuse(op, storeUnavailableError())
		}
	}
	b.failing = !again
	if errors.Is(err, platform.ErrConflict) {
		b.conflicts++
		b.contended = true
		if b.conflicts == 1 {
			c.advance(b)
			return
		}
	}
	c.pause(b)
}

func storeUnavailableError() *core.Error {
	return core.NotRunError(core.CodeUnavailable, "the store cannot record the claim of this call now")
}

// pause waits before the next try, so that a store outage meets few calls.
func (c *Claims) pause(b *bucket) {
	if len(b.pending) == 0 {
		c.rest(b)
		return
	}
	b.backoff = c.grow(b.backoff)
	b.paused = true
	c.loop.After(c.jitter(b.backoff), func() {
		b.paused = false
		c.advance(b)
	})
	c.rest(b)
}
