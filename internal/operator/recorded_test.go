package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Guards against a renamed field or key of a contract's history, after which
// operators no longer see the changes that were made with an older build.
// history.json is a value that a running daemon of that build wrote, and
// history-deleted.json one that a test of that build wrote.
func TestRecordedHistories(t *testing.T) {
	for name, want := range map[string]History{
		"history.json": recordedHistory(),
		"history-deleted.json": {Entries: []HistoryEntry{{
			Version: 3, Time: time.Date(2026, 12, 4, 13, 37, 0, 5, time.UTC), Author: "carol", Deleted: true,
		}}},
	} {
		value, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		got := loadHistory(t, value)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, want %+v", name, got, want)
		}
		encoded, err := got.add(want.Entries[0]) // an entry that it has changes nothing
		if err != nil || string(encoded) != string(value) {
			t.Errorf("%s is written as\n%s (%v), want\n%s", name, encoded, err, value)
		}
	}
}

// loadHistory reads the value as the history of a contract.
func loadHistory(t *testing.T, value []byte) History {
	t.Helper()
	const key = "contract-history/kartvel"
	contracts, store := newContracts()
	store.objects[key] = platform.Object{Key: key, Version: 2, Value: value}
	got, err := contracts.History(t.Context(), "kartvel")
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against a changed digest of a contract, after which operators can't
// find a change of an older build by its digest.
func TestRecordedDigests(t *testing.T) {
	for _, entry := range recordedHistory().Entries {
		if digest := Digest(entry.Contract); digest != entry.Digest {
			t.Errorf("the contract of version %d has the digest %s, want %s", entry.Version, digest, entry.Digest)
		}
	}
}

// recordedHistory returns the value in testdata/history.json.
func recordedHistory() History {
	contract := func(concurrency int) *core.Contract {
		return &core.Contract{
			Customer: "kartvel", Limits: core.Limits{Concurrency: concurrency},
			Services: []core.Service{{
				Name: "booking-app", Kind: core.KindPlain, Operations: []core.Operation{{Name: "book"}, {Name: "slots", Idempotent: true}},
			}},
		}
	}
	return History{Entries: []HistoryEntry{
		{
			Version: 1, Time: time.Date(2026, 12, 4, 13, 36, 54, 108952433, time.UTC), Author: "anonymous",
			Digest: "9e216f6e6263f90d00841f9ffb2ae06befb39892493aaf50324f0e17d3d77144", Contract: contract(0),
		},
		{
			Version: 2, Time: time.Date(2026, 12, 4, 13, 36, 54, 110032787, time.UTC), Author: "anonymous",
			Digest: "3e686c96b9e87814bfc3ff33a96db05ade9a9390c53722a8f46228ce4684b8a7", Contract: contract(30),
		},
	}}
}
