package caller

import (
	"errors"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

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
	return slices.DeleteFunc(ops, func(op *claimOp) bool { return op.dropped })
}

func needsFresh(ops []*claimOp) bool {
	return slices.ContainsFunc(ops, func(op *claimOp) bool { return op.fresh })
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
