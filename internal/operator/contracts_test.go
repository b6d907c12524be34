package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// fakeStore holds objects and fails writes as the test says.
type fakeStore struct {
	objects map[string]platform.Object
	// before is called ahead of each write; an error fails the write.
	before func(key string) error
}

func (f *fakeStore) Do(_ context.Context, op platform.Op) platform.Result {
	current := f.objects[op.Key]
	live := current.Version
	if current.Deleted {
		live = platform.Absent
	}
	if op.Kind == platform.OpGet {
		if live == platform.Absent {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	}
	if f.before != nil {
		if err := f.before(op.Key); err != nil {
			return platform.Result{Err: err}
		}
		current = f.objects[op.Key]
		live = current.Version
	}
	if op.IfVersion != platform.AnyVersion && op.IfVersion != live {
		return platform.Result{Err: platform.ErrConflict}
	}
	o := platform.Object{Key: op.Key, Version: current.Version + 1, Value: op.Value, Deleted: op.Kind == platform.OpDelete}
	f.objects[op.Key] = o
	return platform.Result{Object: o}
}

func newContracts() (*Contracts, *fakeStore) {
	store := &fakeStore{objects: map[string]platform.Object{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewContracts(store, func() time.Time { return start }, log.WithField("test", true)), store
}

func smallContract(weight int) *core.Contract {
	return &core.Contract{Customer: "prairie", Weight: weight, Services: []core.Service{
		{Name: "card-desk", Kind: core.KindPlain, Operations: []core.Operation{{Name: "lookup", Idempotent: true}}},
	}}
}

func mustApply(t *testing.T, c *Contracts, weight int) ContractChange {
	t.Helper()
	change, err := c.Apply(context.Background(), "alice", smallContract(weight), platform.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// Guards against a lost write of the history that fails the apply, and against
// a history that shows the change anyway.
func TestHistoryLossDoesNotFailApply(t *testing.T) {
	for _, lost := range []error{platform.ErrUnavailable, platform.ErrUnknownOutcome, platform.ErrRateLimited, platform.ErrConflict} {
		c, store := newContracts()
		mustApply(t, c, 1)
		store.before = func(key string) error {
			if key == HistoryPrefix+"prairie" {
				return lost
			}
			return nil
		}
		change := mustApply(t, c, 2)
		store.before = nil
		if change.Stored.Version != 2 || change.Warning == "" {
			t.Errorf("%v: change = %+v, want version 2 with a warning", lost, change)
		}
		mustApply(t, c, 3)
		h, err := c.History(context.Background(), "prairie")
		if err != nil || len(h.Entries) != 2 || h.Entries[0].Version != 1 || h.Entries[1].Version != 3 {
			t.Errorf("%v: history = %+v, %v, want versions 1 and 3", lost, h, err)
		}
	}
}

// Guards against a history that claims a change whose outcome is unknown or that
// was refused, and against a wrong claim to the operator.
func TestFailedApplyIsReportedAsItWas(t *testing.T) {
	cases := []struct {
		err     error
		code    core.Code
		verdict core.Verdict
	}{
		{platform.ErrUnknownOutcome, core.CodeUnavailable, core.MayHaveRun},
		{fmt.Errorf("anything else"), core.CodeUnavailable, core.MayHaveRun},
		{platform.ErrUnavailable, core.CodeUnavailable, core.NotRun},
		{platform.ErrRateLimited, core.CodeUnavailable, core.NotRun},
		{platform.ErrConflict, core.CodeConflict, core.NotRun},
		{platform.ErrTooLarge, core.CodeTooLarge, core.NotRun},
	}
	for _, want := range cases {
		c, store := newContracts()
		store.before = func(string) error { return want.err }
		_, err := c.Apply(context.Background(), "alice", smallContract(1), 0)
		if got := core.AsError(err); got.Code != want.code || got.Verdict != want.verdict {
			t.Errorf("%v: error = %+v, want %v, %v", want.err, got, want.code, want.verdict)
		}
		if len(store.objects) != 0 {
			t.Errorf("%v: objects = %v, want none", want.err, store.objects)
		}
	}
}

// Guards against an operator who overwrites a change made meanwhile.
func TestConflictShowsBothVersions(t *testing.T) {
	c, store := newContracts()
	mustApply(t, c, 1)
	mustApply(t, c, 2)
	_, err := c.Apply(context.Background(), "bob", smallContract(9), 1)
	want := "the contract was changed by someone else: stored is version 2, this change was made for version 1; nothing changed"
	if core.CodeOf(err) != core.CodeConflict || core.AsError(err).Reason != want {
		t.Errorf("error = %v, want %s", err, want)
	}
	stored, err := daemon.DecodeContract(store.objects[daemon.ContractPrefix+"prairie"])
	if err != nil || stored.Contract.Weight != 2 {
		t.Errorf("stored = %+v, %v, want weight 2", stored, err)
	}
	if _, err := c.Apply(context.Background(), "bob", smallContract(-1), 2); core.CodeOf(err) != core.CodeInvalid {
		t.Errorf("error = %v, want the daemon to repeat the checks", err)
	}
}

// Guards against a history that another operator's write overwrites.
func TestHistoryRetriesOnConflict(t *testing.T) {
	c, store := newContracts()
	other := true
	store.before = func(key string) error {
		if key != HistoryPrefix+"prairie" || !other {
			return nil
		}
		other = false
		value, err := json.Marshal(History{Entries: []HistoryEntry{{Version: 7, Who: "carol"}}})
		store.objects[key] = platform.Object{Key: key, Version: 1, Value: value}
		return err
	}
	if change := mustApply(t, c, 1); change.Warning != "" {
		t.Fatal(change.Warning)
	}
	h, err := c.History(context.Background(), "prairie")
	if err != nil || len(h.Entries) != 2 || h.Entries[0].Who != "alice" || h.Entries[1].Who != "carol" {
		t.Errorf("history = %+v, %v, want alice's version 1 and carol's version 7", h, err)
	}
}

// Guards against a history that outgrows the object API's limit on a value.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	big := smallContract(1)
	for i := range 250 {
		big.Services = append(big.Services, core.Service{Name: fmt.Sprint("s", i), BackendKinds: make([]string, 250)})
	}
	for version := range int64(40) {
		value, err := h.add(HistoryEntry{Version: version, Contract: big})
		if err != nil || len(value) > maxHistoryBytes {
			t.Fatalf("version %d: %d bytes, %v", version, len(value), err)
		}
	}
	if last := h.Entries[len(h.Entries)-1].Version; last != 39 {
		t.Errorf("newest version = %d, want 39", last)
	}
	h = History{}
	for version := range int64(40) {
		_, _ = h.add(HistoryEntry{Version: version})
		_, _ = h.add(HistoryEntry{Version: version})
	}
	if len(h.Entries) != maxHistory || h.Entries[0].Version != 20 {
		t.Errorf("history has %d entries from version %d, want 20 from 20", len(h.Entries), h.Entries[0].Version)
	}
}
