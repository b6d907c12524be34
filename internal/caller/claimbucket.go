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
	// ClaimPrefix is the key prefix of claim buckets in the object API.
	ClaimPrefix = "claims/"
	// bucketsPerCustomer must be the same on every daemon, or two daemons look for a
	// key in different buckets. See docs/notes/idempotency.md for the choice of 1,024.
	bucketsPerCustomer = 1024
	// maxBucketBytes bounds the value of a bucket. It leaves room for the envelope
	// below the limit of the object API.
	maxBucketBytes = platform.MaxValueBytes - 1024
	// MaxStoredAnswerBytes bounds the answer that a claim stores. Of a larger answer
	// only the digest is stored.
	MaxStoredAnswerBytes = 64 << 10
	// ClaimRetention is how long a claim is kept at least.
	ClaimRetention = 24 * time.Hour
	// retentionMargin covers clock differences between daemons and the longest
	// deadline of a call that is still running.
	retentionMargin = 2 * time.Hour
)

// claimState is the state of a claim as it is stored.
type claimState string

const (
	claimStarted claimState = "started"
	claimDone    claimState = "done"
)

// storedClaim is one claim as stored in the object API.
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
	Digest      string        `json:"digest,omitempty"` // SHA-256 of an answer that is not stored
	Bytes       int           `json:"bytes,omitempty"`  // length of that answer

	encoded json.RawMessage // cached encoding, so that unchanged claims are not encoded again
}

func (c *storedClaim) encode() error {
	var err error
	c.encoded, err = json.Marshal(c)
	return err
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// withOutcome returns a copy of the claim in state done, with the end of its call.
func (c *storedClaim) withOutcome(end core.End, now time.Time) (*storedClaim, error) {
	done := *c
	done.State = claimDone
	done.DoneMs = now.UnixMilli()
	done.Verdict = end.Verdict
	done.Status = end.Status
	done.ContentType = end.ContentType
	done.Body = end.Body
	if len(end.Body) > MaxStoredAnswerBytes {
		done.replaceBodyByDigest()
	}
	return &done, done.encode()
}

// replaceBodyByDigest replaces the stored answer by its digest and length.
func (c *storedClaim) replaceBodyByDigest() {
	sum := sha256.Sum256(c.Body)
	c.Digest = hex.EncodeToString(sum[:])
	c.Bytes = len(c.Body)
	c.Body = nil
}

// repeatEnd returns the end of a call that repeats the claimed one.
func (c *storedClaim) repeatEnd() core.End {
	switch {
	case c.Verdict != core.Ran:
		return errorEnd(earlierAttemptError())
	case c.Digest != "":
		return errorEnd(&core.Error{
			Code: core.CodeAlreadyStarted, Verdict: core.Ran,
			Reason: fmt.Sprintf("the call ran; its answer of %d bytes was not stored (SHA-256 %s)", c.Bytes, c.Digest),
		})
	default:
		return core.End{Verdict: core.Ran, Status: c.Status, ContentType: c.ContentType, Body: c.Body}
	}
}

func errorEnd(err *core.Error) core.End { return core.End{Verdict: err.Verdict, Err: err} }

func earlierAttemptError() *core.Error {
	return core.MayHaveRunError(core.CodeAlreadyStarted, "an earlier attempt with this key was started and its outcome is not known")
}

// isExpired reports whether the claim is older than the retention and its margin.
func (c *storedClaim) isExpired(now time.Time) bool {
	last := max(c.StartedMs, c.DoneMs)
	return now.Sub(time.UnixMilli(last)) > ClaimRetention+retentionMargin
}

// claimKey identifies a claim.
type claimKey struct {
	customer core.CustomerID
	key      string
}

// bucketKey returns the object key of the bucket that holds the claim.
func (k claimKey) bucketKey() string {
	return fmt.Sprintf("%s%s/%d", ClaimPrefix, k.customer, xxhash.Sum64String(k.key)%bucketsPerCustomer)
}

// claimSet is the content of one bucket. The claims in it are immutable.
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

func (s *claimSet) removeExpired(now time.Time) {
	for key, claim := range s.claims {
		if claim.isExpired(now) {
			s.remove(key)
		}
	}
}

// makeRoom reports whether n more bytes fit, after replacing the oldest stored
// answers by their digests if needed. It never removes a claim.
func (s *claimSet) makeRoom(n int) bool {
	if s.bytes+n <= maxBucketBytes {
		return true
	}
	var withBody []*storedClaim
	for _, claim := range s.claims {
		if len(claim.Body) > sha256.Size*2 { // a shorter answer is no larger than its digest
			withBody = append(withBody, claim)
		}
	}
	slices.SortFunc(withBody, func(a, b *storedClaim) int { return int(a.DoneMs - b.DoneMs) })
	for _, claim := range withBody {
		smaller := *claim
		smaller.replaceBodyByDigest()
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
