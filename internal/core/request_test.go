package core

import "testing"

// Guards against two messages with the same body that are taken for one when a
// server crashes, although they go to different paths.
func TestFingerprintCoversTheTarget(t *testing.T) {
	at := func(target string) uint64 {
		r := Request{Service: "s", Operation: OperationForward, Body: []byte("x"), Forward: &Forward{Target: target}}
		return r.ComputeFingerprint()
	}
	first, again := at("/a"), at("/a")
	if first == at("/b") || first != again {
		t.Error("the fingerprint does not follow the target")
	}
}
