package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// The files in testdata hold the values of objects as an earlier build wrote
// them: a running daemon wrote share-roster.json, share-split.json,
// contract-engine.json and contract-plain.json, and a test of that build wrote
// the others, for the fields that the running daemon had left empty.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	value, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// recordingStore keeps the submitted operations and never replies.
type recordingStore struct{ ops []platform.Op }

func (s *recordingStore) Submit(op platform.Op) bool {
	s.ops = append(s.ops, op)
	return true
}

// newRecordedOwner returns the owner of the shares of data centre "local",
// which holds the lease with the fencing number.
func newRecordedOwner(t *testing.T, fence int64) (*shareOwner, *recordingStore) {
	t.Helper()
	sim := newSimulation(1)
	n := sim.startDaemon("one", "local", "127.0.0.1:33767")
	store := &recordingStore{}
	s := NewShares(n.id, n, quietLog(), n.peers, store, func(core.CustomerID, Limit, float64, time.Time) {})
	s.ownership.lease = OwnerLease{Fence: fence, ValidUntil: n.Now().Add(time.Hour)}
	return s.ownership, store
}

func requireWrite(t *testing.T, store *recordingStore, key string, want []byte) {
	t.Helper()
	if len(store.ops) != 1 {
		t.Fatalf("%d store calls, want one write", len(store.ops))
	}
	op := store.ops[0]
	if op.Kind != platform.OpPut || op.Key != key || string(op.Value) != string(want) {
		t.Errorf("write of kind %v to %s:\n%s\nwant a put to %s:\n%s", op.Kind, op.Key, op.Value, key, want)
	}
}

// Guards against a renamed field or key of share-rosters/, after which a new
// owner discards the base allocation of an older build, or an older build that
// of a new owner.
func TestRecordedBaseAllocation(t *testing.T) {
	for name, want := range map[string]BaseAllocation{
		"share-roster.json": {Fence: 1, Slots: []AllocationSlot{{
			Name: "one", Address: "127.0.0.1:33767", Units: 1000000,
			Incarnation: Incarnation{Start: 1796391414068525026, Random: 1757313840122783398},
		}}},
		"share-roster-silent.json": {Fence: 3, Slots: []AllocationSlot{{
			Name: "two", Address: "127.0.0.1:33768", Units: 250000, Silent: 4,
			Incarnation: Incarnation{Start: 11, Random: 12},
		}}},
	} {
		value := readRecorded(t, name)
		o, store := newRecordedOwner(t, want.Fence)
		o.handleAllocationResult(storeResult{result: platform.Result{Object: platform.Object{Version: 2, Value: value}}})
		requireWrite(t, store, "share-rosters/local", value)
		pending := readPendingAllocation(t, o, store)
		if !reflect.DeepEqual(*pending, want) {
			t.Errorf("%s is read as %+v, want %+v", name, *pending, want)
		}
	}
}

// readPendingAllocation replies to the write in progress and returns the
// allocation that the owner then uses.
func readPendingAllocation(t *testing.T, o *shareOwner, store *recordingStore) *BaseAllocation {
	t.Helper()
	store.ops[0].Reply(platform.Result{Object: platform.Object{Version: 3}})
	r, ok := o.shares.results.TryTake()
	if !ok {
		t.Fatal("the reply of the store was not queued")
	}
	o.handleResult(r)
	if o.allocation == nil {
		t.Fatal("the owner uses no allocation after its write")
	}
	return o.allocation
}

// Guards against a renamed field, limit or key of shares/, after which the
// parts of a customer's limits are lost when daemons are updated.
func TestRecordedShareSplit(t *testing.T) {
	value := readRecorded(t, "share-split.json")
	o, store := newRecordedOwner(t, 1)
	c := &customerSplit{transfers: map[Limit]poolTransfer{}}
	o.handleSplitRead(storeResult{customer: "kartvel", result: platform.Result{Object: platform.Object{Version: 1, Value: value}}}, c)
	half := map[string]SharePart{"local": {Base: 500000, Pool: 500000}}
	want := &ShareSplit{
		Fences: map[string]int64{"local": 1},
		Parts:  map[Limit]map[string]SharePart{LimitRequests: half, LimitTokens: half, LimitConcurrency: half},
	}
	if !reflect.DeepEqual(c.split, want) || c.version != 1 {
		t.Fatalf("split of version %d: %+v, want %+v", c.version, c.split, want)
	}
	if !o.writeSplit("kartvel", c.split, c.version) {
		t.Fatal("the split was not written")
	}
	requireWrite(t, store, "shares/kartvel", value)
}

// Guards against a renamed field of a contract, after which a limit that an
// operator has set no longer applies.
func TestRecordedContracts(t *testing.T) {
	for name, want := range map[string]core.Contract{
		"contract-engine.json": {
			Customer: "prairie", Limits: core.Limits{RequestsPerSecond: 200, Concurrency: 40},
			Services: []core.Service{{Name: "wear-model", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}}},
			Trainers: []core.Trainer{{Name: "t1", Service: "wear-model", Share: 0.5}, {Name: "t2", Service: "wear-model", Share: 0.5}},
		},
		"contract-plain.json": {
			Customer: "kartvel", Limits: core.Limits{Concurrency: 30},
			Services: []core.Service{{
				Name: "booking-app", Kind: core.KindPlain, Operations: []core.Operation{{Name: "book"}, {Name: "slots", Idempotent: true}},
			}},
		},
		"contract-full.json": fullContract(),
	} {
		value := readRecorded(t, name)
		key := "contracts/" + string(want.Customer)
		got, err := DecodeContract(platform.Object{Key: key, Version: 2, Revision: 5, Value: value})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		stored := core.StoredContract{Customer: want.Customer, Version: 2, Revision: 5, Contract: &want}
		if !reflect.DeepEqual(got, stored) {
			t.Errorf("%s is read as %+v with contract %+v, want %+v with contract %+v", name, got, got.Contract, stored, want)
		}
		if encoded, err := json.Marshal(got.Contract); err != nil || string(encoded) != string(value) {
			t.Errorf("%s is written as\n%s (%v), want\n%s", name, encoded, err, value)
		}
	}
}

// fullContract is the contract in contract-full.json, which has every field.
func fullContract() core.Contract {
	seconds := func(n int) core.Duration { return core.Duration(time.Duration(n) * time.Second) }
	return core.Contract{
		Customer: "prairie", Weight: 1, ShedRank: 2,
		Limits:    core.Limits{RequestsPerSecond: 3, TokensPerSecond: 4, Concurrency: 5, Queue: 6},
		Freshness: core.Freshness{MaxVersionsBehind: 7, MaxAge: seconds(8)},
		Hedge:     core.Hedge{MaxExtraWork: 0.05},
		Services: []core.Service{{
			Name: "wear-model", Kind: core.KindEngine, BackendKinds: []string{"vend"}, Class: "class-b", Deadline: seconds(11),
			Models:     []core.Model{{Name: "wear", Adapters: []string{"winter"}, ContextTokens: 9}},
			Operations: []core.Operation{{Name: "book", Idempotent: true, Class: "class-a", Deadline: seconds(10)}},
		}},
		Trainers:   []core.Trainer{{Name: "t1", Service: "wear-model", Share: 0.5, SpareSamples: 12, Scorer: "http://scorer"}},
		Objectives: []core.Objective{{Name: "o", Service: "wear-model", Class: "class-c", Latency: seconds(13), Availability: 0.999}},
	}
}
