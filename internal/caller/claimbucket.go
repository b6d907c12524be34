package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Sizes and times of stored claims.
const (
	// ClaimPrefix is the prefix of claim buckets in the object API.
	ClaimPrefix = "claims/"
	// claimBuckets is the number of buckets per customer. Every daemon must use
	// the same number, or two daemons look for one key in different places. See
	// docs/notes/idempotency.md for the choice of 1,024.
	claimBuckets = 1024
	// maxBucketBytes is the largest bucket value; it leaves room for the
	// envelope below the limit of the object API.
	maxBucketBytes = platform.MaxValueBytes - 1024
	// MaxStoredAnswerBytes is the largest answer that a claim keeps, in bytes.
	MaxStoredAnswerBytes = 64 << 10
	// ClaimRetention is how long a claim is kept.
	ClaimRetention = 24 * time.Hour
	// retentionMargin covers the difference between daemons' wall clocks and
	// the longest deadline of a call that is still running.
	retentionMargin = 2 * time.Hour
)

// claimState is the state of a stored claim.
type claimState string

const (
	claimStarted claimState = "started"
	claimDone    claimState = "done"
)

// storedClaim is one claim as the object API holds it.
type storedClaim struct {
	Key         string        `json:"key"`
	ID          string        `json:"id"` // of the submission that stored the claim
	Fingerprint string        `json:"fingerprint"`
	Owner       core.DaemonID `json:"owner"`
	State       claimState    `json:"state"`
	StartedMs   int64         `json:"startedMs"` // Unix time
	DoneMs      int64         `json:"doneMs,omitempty"`
	Verdict     core.Verdict  `json:"verdict"`
	Status      int           `json:"status,omitempty"`
	ContentType string        `json:"contentType,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	Digest      string        `json:"digest,omitempty"` // SHA-256 of an answer that is not kept
	Bytes       int           `json:"bytes,omitempty"`  // length of that answer

	encoded json.RawMessage // spares encoding the unchanged claims of a bucket again
}

func (c *storedClaim) encode() error {
	var err error
	c.encoded, err = json.Marshal(c)
	return err
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// finished returns the claim in state done with the end of its call.
func (c *storedClaim) finished(end core.End, now time.Time) (*storedClaim, error) {
	done := *c
	done.State = claimDone
	done.DoneMs = now.UnixMilli()
	done.Verdict = end.Verdict
	done.Status = end.Status
	done.ContentType = end.ContentType
	done.Body = end.Body
	if len(end.Body) > MaxStoredAnswerBytes {
		done.dropBody()
	}
	return &done, done.encode()
}

// dropBody replaces the answer by its digest.
func (c *storedClaim) dropBody() {
	sum := sha256.Sum256(c.Body)
	c.Digest = hex.EncodeToString(sum[:])
	c.Bytes = len(c.Body)
	c.Body = nil
}

// end returns what a repeat of the claimed call is answered.
func (c *storedClaim) end() core.End {
	switch {
	case c.Verdict != core.Ran:
		return failedEnd(earlierAttemptError())
	case c.Digest != "":
		return failedEnd(&core.Error{
			Code: core.CodeAlreadyStarted, Verdict: core.Ran,
			Reason: fmt.Sprintf("the call ran; its answer of %d bytes was not kept (SHA-256 %s)", c.Bytes, c.Digest),
		})
	default:
		return core.End{Verdict: core.Ran, Status: c.Status, ContentType: c.ContentType, Body: c.Body}
	}
}

func failedEnd(e *core.Error) core.End { return core.End{Verdict: e.Verdict, Err: e} }

func earlierAttemptError() *core.Error {
	return core.MayHaveRunError(core.CodeAlreadyStarted, "an earlier attempt with this key was started and its outcome is not known")
}

// expired reports whether no repeat can need the claim any more.
func (c *storedClaim) expired(now time.Time) bool {
	last := max(c.StartedMs, c.DoneMs)
	return now.Sub(time.UnixMilli(last)) > ClaimRetention+retentionMargin
}

// claimKey names a claim.
type claimKey struct {
	customer core.CustomerID
	key      string
}

// bucketKey returns the key of the object that holds the claim.
func (k claimKey) bucketKey() string {
	return fmt.Sprintf("%s%s/%d", ClaimPrefix, k.customer, xxhash.Sum64String(k.key)%claimBuckets)
}

// claimSet is the content of one bucket. Claims are not changed in place.
type claimSet struct {
	claims map[string]*storedClaim
	bytes  int
}

func newClaimSet() *claimSet { return &claimSet{claims: map[string]*storedClaim{}} }

func (s *claimSet) clone() *claimSet {
	next := &claimSet{claims: make(map[string]*storedClaim, len(s.claims)+1), bytes: s.bytes}
	for key, claim := range s.claims {
		next.claims[key] = claim
	}
	return next
}

func (s *claimSet) put(c *storedClaim) {
	s.remove(c.Key)
	s.claims[c.Key] = c
	s.bytes += len(c.encoded) + 1
}

func (s *claimSet) remove(key string) {
	if c := s.claims[key]; c != nil {
		s.bytes -= len(c.encoded) + 1
		delete(s.claims, key)
	}
}

// prune drops expired claims.
func (s *claimSet) prune(now time.Time) {
	for key, claim := range s.claims {
		if claim.expired(now) {
			s.remove(key)
		}
	}
}

// fit replaces the oldest kept answers by their digests until n more bytes fit,
// and reports whether they do. Claims themselves are never dropped for space.
func (s *claimSet) fit(n int) bool {
	if s.bytes+n <= maxBucketBytes {
		return true
	}
	var kept []*storedClaim
	for _, claim := range s.claims {
		if len(claim.Body) > sha256.Size*2 { // a shorter answer is no larger than its digest
			kept = append(kept, claim)
		}
	}
	slices.SortFunc(kept, func(a, b *storedClaim) int { return int(a.DoneMs - b.DoneMs) })
	for _, claim := range kept {
		smaller := *claim
		smaller.dropBody()
		if smaller.encode() == nil {
			s.put(&smaller)
		}
		if s.bytes+n <= maxBucketBytes {
			return true
		}
	}
	return false
}

type bucketValue struct {
	Claims []json.RawMessage `json:"claims"`
}

func (s *claimSet) encode() []byte {
	var b bytes.Buffer
	b.Grow(s.bytes + 16)
	b.WriteString(`{"claims":[`)
	first := true
	for _, claim := range s.claims {
		if !first {
			b.WriteByte(',')
		}
		first = false
		b.Write(claim.encoded)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

func decodeClaimSet(value []byte) (*claimSet, error) {
	s := newClaimSet()
	if len(value) == 0 {
		return s, nil
	}
	var stored bucketValue
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("decode claim bucket: %w", err)
	}
	for _, raw := range stored.Claims {
		claim := &storedClaim{}
		if err := json.Unmarshal(raw, claim); err != nil {
			return nil, fmt.Errorf("decode claim: %w", err)
		}
		claim.encoded = raw
		s.put(claim)
	}
	return s, nil
}
