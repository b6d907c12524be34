package caller

import (
	"errors"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

type storeReply struct {
	bucket *claimBucket
	result platform.Result
}

// claimBucket is the duty's state for one bucket of claims.
type claimBucket struct {
	key          string
	content      *claimSet  // as stored; nil until read
	version      int64      // of content
	isOpInFlight bool       // a store operation is in flight
	inFlightOps  []*claimOp // part of the write in flight
	nextContent  *claimSet  // content of the write in flight; nil without one
	pendingOps   []*claimOp
	backoff      time.Duration
	isBackingOff bool // waits for the retry timer
	lastOpFailed bool
	// consecutiveConflicts counts the writes in a row that conflicted with a write
	// of another daemon.
	consecutiveConflicts int
	// isContended is set while other daemons also write the bucket.
	isContended    bool
	verifiedAt     time.Time // when content was last known to be current
	isWriteDelayed bool      // the timer of delayOutcomeWrite is running
	cachedBytes    int       // the part of maxCachedBytes that the bucket uses
}

func (b *claimBucket) isIdle() bool {
	return !b.isOpInFlight && !b.isBackingOff && len(b.pendingOps) == 0
}

// cacheIfIdle updates the size of the cache, adds the bucket to it if it has no
// pending operations, and evicts the oldest buckets above maxCachedBytes.
func (c *Claims) cacheIfIdle(b *claimBucket) {
	size := 0
	if b.content != nil {
		size = b.content.bytes
	}
	c.cachedBytes += size - b.cachedBytes
	b.cachedBytes = size
	if !b.isIdle() {
		return
	}
	c.idleBuckets.Add(b.key, b)
	for c.cachedBytes > maxCachedBytes {
		_, oldest, ok := c.idleBuckets.RemoveOldest()
		if !ok {
			return
		}
		c.cachedBytes -= oldest.cachedBytes
		delete(c.buckets, oldest.key)
	}
}

// startNextOp starts the bucket's next store operation if one is needed and none is
// in flight.
func (c *Claims) startNextOp(b *claimBucket) {
	defer c.cacheIfIdle(b)
	if b.isOpInFlight || b.isBackingOff {
		return
	}
	b.pendingOps = withoutClosed(b.pendingOps)
	if len(b.pendingOps) == 0 {
		return
	}
	if b.content == nil || anyNeedsRead(b.pendingOps) || c.isStale(b) {
		c.readBucket(b)
		return
	}
	c.writeBucket(b)
}

func withoutClosed(ops []*claimOp) []*claimOp {
	return slices.DeleteFunc(ops, func(op *claimOp) bool { return op.isClosed })
}

func anyNeedsRead(ops []*claimOp) bool {
	return slices.ContainsFunc(ops, func(op *claimOp) bool { return op.needsRead })
}

func (c *Claims) isStale(b *claimBucket) bool {
	return b.isContended && c.loop.Clock().Now().Sub(b.verifiedAt) > contendedMaxAge
}

func (c *Claims) readBucket(b *claimBucket) {
	b.content = nil
	for _, op := range b.pendingOps {
		op.needsRead = false
	}
	c.submitStoreOp(b, platform.Op{Kind: platform.OpGet, Key: b.key})
}

// writeBucket applies the pending operations to the content and stores the result
// if it changed.
func (c *Claims) writeBucket(b *claimBucket) {
	next := b.content.clone()
	next.removeExpired(c.loop.Clock().Now())
	ops := b.pendingOps
	b.pendingOps = nil
	b.inFlightOps = b.inFlightOps[:0]
	for _, op := range ops {
		if c.applyOp(next, op) {
			b.inFlightOps = append(b.inFlightOps, op)
		}
	}
	if len(b.inFlightOps) == 0 {
		return
	}
	b.nextContent = next
	c.submitStoreOp(b, platform.Op{Kind: platform.OpPut, Key: b.key, Value: next.encode(), IfVersion: b.version})
}

// applyOp applies the operation to next and reports whether next must be stored. An
// operation that needs no change is answered at once.
func (c *Claims) applyOp(next *claimSet, op *claimOp) bool {
	existing := next.claims[op.key.key]
	isOwn := existing != nil && existing.ID == op.id
	switch op.kind {
	case opAcquire:
		if existing == nil {
			return c.applyAcquire(next, op)
		}
		c.answerExisting(op, existing)
		return false
	case opFinish:
		if isOwn && existing.State == claimStarted && c.applyFinish(next, op, existing) {
			return true
		}
	case opRelease:
		if isOwn && existing.State == claimStarted {
			next.remove(op.key.key)
			return true
		}
		if op.forcesWrite {
			return true
		}
	}
	c.reportResult(claimResult{key: op.key, id: op.id, outcome: claimSettled})
	return false
}

func (c *Claims) applyAcquire(next *claimSet, op *claimOp) bool {
	claim := &storedClaim{
		Key: op.key.key, ID: op.id, Fingerprint: op.fingerprint, Owner: c.daemon,
		State: claimStarted, StartedMs: c.loop.Clock().Now().UnixMilli(),
	}
	if err := claim.encode(); err != nil || !next.makeRoom(len(claim.encoded)+1) {
		c.refuseAcquire(op, core.NotRunError(core.CodeOverloaded, "the customer's claims have reached their size limit in the store"))
		return false
	}
	next.put(claim)
	op.maybeStored = true
	return true
}

func (c *Claims) applyFinish(next *claimSet, op *claimOp, existing *storedClaim) bool {
	done, err := existing.withOutcome(op.end, c.loop.Clock().Now())
	if err != nil {
		return false
	}
	if !next.makeRoom(len(done.encoded)-len(existing.encoded)) && len(done.Body) > 0 {
		done.replaceBodyByDigest()
		if done.encode() != nil {
			return false
		}
	}
	next.put(done)
	return true
}

// answerExisting answers an acquire whose key already has a claim.
func (c *Claims) answerExisting(op *claimOp, existing *storedClaim) {
	switch {
	case existing.ID == op.id:
		// Stored by an earlier write whose reply was lost.
		c.answerAcquire(op, claimAcquired, core.End{})
	case existing.Fingerprint != op.fingerprint:
		c.answerAcquire(op, claimAnswered, errorEnd(keyReusedError()))
	case existing.State == claimDone:
		c.answerAcquire(op, claimAnswered, existing.repeatEnd())
	case c.deadDaemons.Contains(existing.Owner):
		c.answerAcquire(op, claimAnswered, errorEnd(earlierAttemptError()))
	default:
		c.scheduleRecheck(op)
	}
}

func keyReusedError() *core.Error {
	return core.NotRunError(core.CodeConflict, "the idempotency key was used for other content")
}

func (c *Claims) submitStoreOp(b *claimBucket, op platform.Op) {
	if c.storeOpsInFlight >= maxStoreOpsInFlight {
		c.handleFailure(b, platform.ErrUnavailable)
		return
	}
	c.storeOpsInFlight++
	b.isOpInFlight = true
	op.Reply = func(r platform.Result) { c.storeReplies.TryPut(storeReply{bucket: b, result: r}) }
	if c.store.Submit(op) {
		return
	}
	c.storeOpsInFlight--
	b.isOpInFlight = false
	c.handleFailure(b, platform.ErrUnavailable)
}

func (c *Claims) handleStoreReply(r storeReply) {
	b := r.bucket
	c.storeOpsInFlight--
	b.isOpInFlight = false
	switch {
	case b.nextContent != nil && r.result.Err == nil:
		c.handleWritten(b, r.result.Object.Version)
	case b.nextContent == nil && (r.result.Err == nil || errors.Is(r.result.Err, platform.ErrNotFound)):
		c.handleRead(b, r.result)
	default:
		c.handleFailure(b, r.result.Err)
		return
	}
	c.startNextOp(b)
}

func (c *Claims) handleWritten(b *claimBucket, version int64) {
	b.content, b.version = b.nextContent, version
	b.nextContent = nil
	b.verifiedAt = c.loop.Clock().Now()
	b.backoff, b.consecutiveConflicts = 0, 0
	b.lastOpFailed = false
	written := b.inFlightOps
	b.inFlightOps = nil
	for _, op := range written {
		if op.kind == opAcquire {
			c.answerAcquire(op, claimAcquired, core.End{})
			continue
		}
		c.reportResult(claimResult{key: op.key, id: op.id, outcome: claimSettled})
	}
}

func (c *Claims) handleRead(b *claimBucket, r platform.Result) {
	set, err := newClaimSet(), error(nil)
	version := platform.Absent
	if r.Err == nil && !r.Object.Deleted {
		set, err = decodeClaimSet(r.Object.Value)
		version = r.Object.Version
	}
	if err != nil {
		c.handleFailure(b, err)
		return
	}
	if version == b.version {
		b.isContended = false
	}
	b.content, b.version = set, version
	b.verifiedAt = c.loop.Clock().Now()
}

// handleFailure handles a store operation that did not succeed. After a conflict, or
// when the outcome of a write is unknown, the bucket is read again: the claim IDs in
// it show what took effect. After any other failure the acquires are refused. Those
// that were part of a write are released later, because a write that is reported as
// failed may still take effect.
func (c *Claims) handleFailure(b *claimBucket, err error) {
	ops := slices.Concat(b.inFlightOps, b.pendingOps)
	b.inFlightOps, b.pendingOps, b.nextContent, b.content = nil, nil, nil, nil
	isRetryable := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome)
	for _, op := range withoutClosed(ops) {
		switch {
		case op.kind != opAcquire || isRetryable:
			b.pendingOps = append(b.pendingOps, op)
		default:
			if op.maybeStored {
				b.pendingOps = append(b.pendingOps, newReleaseOp(op))
			}
			c.refuseAcquire(op, storeUnavailableError())
		}
	}
	b.lastOpFailed = !isRetryable
	if errors.Is(err, platform.ErrConflict) {
		b.consecutiveConflicts++
		b.isContended = true
		if b.consecutiveConflicts == 1 {
			c.startNextOp(b)
			return
		}
	}
	c.scheduleRetry(b)
}

func storeUnavailableError() *core.Error {
	return core.NotRunError(core.CodeUnavailable, "the store cannot record the claim of this call at the moment")
}

// scheduleRetry retries after a backoff, so that few calls are made during a store
// outage.
func (c *Claims) scheduleRetry(b *claimBucket) {
	if len(b.pendingOps) == 0 {
		c.cacheIfIdle(b)
		return
	}
	b.backoff = c.nextBackoff(b.backoff)
	b.isBackingOff = true
	c.loop.After(c.jitter(b.backoff), func() {
		b.isBackingOff = false
		c.startNextOp(b)
	})
	c.cacheIfIdle(b)
}
