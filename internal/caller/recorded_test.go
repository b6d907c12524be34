package caller

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

// The files in testdata hold claim buckets as an earlier build wrote them: a
// running daemon wrote claim-bucket.json, and a test of that build the others.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	value, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against a renamed field or state of a stored claim, after which a call
// that an older build has started or answered is run a second time.
func TestRecordedClaims(t *testing.T) {
	const owner = "local/one/18ee1079311db7e2-18633ba07f6566a6"
	for name, want := range map[string]storedClaim{
		"claim-bucket.json": {
			Key: "b1", ID: "f6ae026c-fd23-416d-8b31-b76a519fa205", Fingerprint: "8362f515d69b1914", Owner: owner,
			State: claimDone, StartedMs: 1796391417149, DoneMs: 1796391417401,
			Verdict: core.Ran, Status: 200, ContentType: "application/json", Body: []byte(`{"slot":"9:00"}`),
		},
		"claim-started.json": {
			Key: "b2", ID: "f6ae026c", Fingerprint: "8362f515d69b1914", Owner: owner,
			State: claimStarted, StartedMs: 1796391417149, Verdict: core.MayHaveRun,
		},
		"claim-digest.json": {
			Key: "b2", ID: "f6ae026c", Fingerprint: "8362f515d69b1914", Owner: owner,
			State: claimDone, StartedMs: 1796391417149, DoneMs: 1796391417401,
			Verdict: core.Ran, Status: 201, ContentType: "text/plain",
			Digest: "3266304f31be278d06c3bd3eb9aa3e00c59bedec0a890de466568b0b90b0e01f", Bytes: 65537,
		},
	} {
		value := readRecorded(t, name)
		got := decodeOnlyClaim(t, value)
		got.encoded = nil
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, want %+v", name, got, want)
		}
		if encoded := encodeOnlyClaim(t, &got); string(encoded) != string(value) {
			t.Errorf("%s is written as\n%s, want\n%s", name, encoded, value)
		}
	}
}

func decodeOnlyClaim(t *testing.T, value []byte) storedClaim {
	t.Helper()
	set, err := decodeClaimSet(value)
	if err != nil {
		t.Fatal(err)
	}
	if len(set.claims) != 1 {
		t.Fatalf("%d claims, want 1: %s", len(set.claims), value)
	}
	for key, claim := range set.claims {
		if key == claim.Key {
			return *claim
		}
	}
	t.Fatalf("the claim is not found by its key: %s", value)
	return storedClaim{}
}

func encodeOnlyClaim(t *testing.T, claim *storedClaim) []byte {
	t.Helper()
	if err := claim.encode(); err != nil {
		t.Fatal(err)
	}
	set := newClaimSet()
	set.put(claim)
	return set.encode()
}

// Guards against a changed bucket of a key, or number of buckets, after which a
// daemon finds no claim of an older build. The bucket of b1 was recorded from a
// running daemon; an earlier build computed the others in a test.
func TestRecordedBucketKeys(t *testing.T) {
	for key, want := range map[string]string{
		"b1":                                   "claims/kartvel/98",
		"b5":                                   "claims/kartvel/707",
		"6f0d9662-7afe-4655-9d77-e5bcb711986a": "claims/kartvel/775",
	} {
		if got := (claimKey{customer: "kartvel", key: key}).bucketKey(); got != want {
			t.Errorf("the claim %q is in bucket %s, want %s", key, got, want)
		}
	}
}
