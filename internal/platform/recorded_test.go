package platform

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a renamed field of a lease, after which a fencing number is
// lost, or a daemon takes a lease whose holder of an older build is still live.
// The files in testdata are values that a running daemon of an earlier build
// wrote: while it held the lease, and after its release.
func TestRecordedLeases(t *testing.T) {
	for name, want := range map[string]leaseRecord{
		"lease.json": {
			Holder: "local/one/18ee1079311db7e2-18633ba07f6566a6", Fence: 1, DurationMs: 10000, Renewals: 3, TakeoverWaitDone: true,
		},
		"lease-released.json": {Fence: 1, DurationMs: 10000, Renewals: 3},
	} {
		value, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeLease(Object{Key: LeasePrefix + "shares/local", Version: 4, Value: value})
		if err != nil || got != want {
			t.Errorf("%s is read as %+v (%v), want %+v", name, got, err, want)
		}
		if encoded := got.encode(); string(encoded) != string(value) {
			t.Errorf("%s is written as\n%s, want\n%s", name, encoded, value)
		}
	}
	if LeasePrefix != "leases/" {
		t.Errorf("leases are stored under %s, want leases/", LeasePrefix)
	}
}
