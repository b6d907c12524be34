package core

import "testing"

// Guards against crash detection that treats two messages with the same body and
// different paths as one request.
func TestFingerprintIncludesTarget(t *testing.T) {
	fingerprintOf := func(target string) uint64 {
		r := Request{Service: "s", Operation: OperationForward, Body: []byte("x"), Forward: &ForwardedMessage{Target: target}}
		return r.ComputeFingerprint()
	}
	first, again := fingerprintOf("/a"), fingerprintOf("/a")
	if first == fingerprintOf("/b") || first != again {
		t.Error("the fingerprint must be equal for equal targets and differ for different ones")
	}
}
