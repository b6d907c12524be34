package core

import "testing"

// Guards against two messages with the same body that are taken for one when a
// server crashes, although they go to different paths.
func TestFingerprintCoversTheTarget(t *testing.T) {
	at := func(target string) uint64 {
		r := Request{Service: "s", Operation: OperationForward, Body: []byte("x"), Forward: &Forward{Target: target}}
		return r.ComputeFingerprint()
	}
	if at("/a") == at("/b") || at("/a") != at("/a") {
		t.Error("the fingerprint does not follow the target")
	}
}
