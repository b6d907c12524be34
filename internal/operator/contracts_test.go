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

// fakeStore is an in-memory store that can fail writes.
type fakeStore struct {
	objects map[string]platform.Object
	// beforeWrite is called before each write; an error fails the write.
	beforeWrite func(key string) error
	// garblesReplies makes the reply to a write carry a value that cannot be read.
	garblesReplies bool
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
	if f.beforeWrite != nil {
		if err := f.beforeWrite(op.Key); err != nil {
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
	if f.garblesReplies {
		o.Value = []byte("{")
	}
	return platform.Result{Object: o}
}

func newContracts() (*Contracts, *fakeStore) {
	store := &fakeStore{objects: map[string]platform.Object{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewContracts(store, func() time.Time { return startTime }, log.WithField("test", true)), store
}

func newTestContract(weight int) *core.Contract {
	return &core.Contract{Customer: "prairie", Weight: weight, Services: []core.Service{
		{Name: "card-desk", Kind: core.KindPlain, Operations: []core.Operation{{Name: "lookup", Idempotent: true}}},
	}}
}

func mustApply(t *testing.T, c *Contracts, weight int) ContractChange {
	t.Helper()
	change, err := c.Apply(context.Background(), "alice", newTestContract(weight), platform.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

// Guards against an apply that fails because the write of the history failed, and
// against a history that lists the change anyway.
func TestLostHistoryWriteDoesNotFailApply(t *testing.T) {
	for _, lost := range []error{platform.ErrUnavailable, platform.ErrUnknownOutcome, platform.ErrRateLimited, platform.ErrConflict} {
		c, store := newContracts()
		mustApply(t, c, 1)
		store.beforeWrite = func(key string) error {
			if key == HistoryPrefix+"prairie" {
				return lost
			}
			return nil
		}
		change := mustApply(t, c, 2)
		store.beforeWrite = nil
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

// Guards against a history that lists a change that was rejected or has an unknown
// outcome, and against a wrong code or verdict in the error.
func TestFailedApplyReportsCodeAndVerdict(t *testing.T) {
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
		store.beforeWrite = func(string) error { return want.err }
		_, err := c.Apply(context.Background(), "alice", newTestContract(1), 0)
		if got := core.AsError(err); got.Code != want.code || got.Verdict != want.verdict {
			t.Errorf("%v: error = %+v, want %v, %v", want.err, got, want.code, want.verdict)
		}
		if len(store.objects) != 0 {
			t.Errorf("%v: objects = %v, want none", want.err, store.objects)
		}
	}
}

// Guards against a change that was stored and is reported as failed without effect,
// because the store's answer to the write cannot be read.
func TestUnreadableAnswerReportsStoredChange(t *testing.T) {
	c, store := newContracts()
	store.garblesReplies = true
	_, err := c.Apply(context.Background(), "alice", newTestContract(1), 0)
	if got := core.AsError(err); err == nil || got.Verdict != core.Ran || len(store.objects) == 0 {
		t.Errorf("error = %+v with %d objects, want the verdict ran", got, len(store.objects))
	}
}

// Guards against an apply that overwrites a concurrent change.
func TestConflictShowsBothVersions(t *testing.T) {
	c, store := newContracts()
	mustApply(t, c, 1)
	mustApply(t, c, 2)
	_, err := c.Apply(context.Background(), "bob", newTestContract(9), 1)
	want := "the contract was changed by someone else: stored is version 2, this change was made for version 1; nothing changed"
	if core.CodeOf(err) != core.CodeConflict || core.AsError(err).Reason != want {
		t.Errorf("error = %v, want %s", err, want)
	}
	stored, err := daemon.DecodeContract(store.objects[daemon.ContractPrefix+"prairie"])
	if err != nil || stored.Contract.Weight != 2 {
		t.Errorf("stored = %+v, %v, want weight 2", stored, err)
	}
	if _, err := c.Apply(context.Background(), "bob", newTestContract(-1), 2); core.CodeOf(err) != core.CodeInvalid {
		t.Errorf("error = %v, want the daemon to repeat the checks", err)
	}
}

// Guards against the loss of a history entry when two changes write the history
// concurrently.
func TestHistoryRetriesOnConflict(t *testing.T) {
	c, store := newContracts()
	other := true
	store.beforeWrite = func(key string) error {
		if key != HistoryPrefix+"prairie" || !other {
			return nil
		}
		other = false
		value, err := json.Marshal(History{Entries: []HistoryEntry{{Version: 7, Author: "carol"}}})
		store.objects[key] = platform.Object{Key: key, Version: 1, Value: value}
		return err
	}
	if change := mustApply(t, c, 1); change.Warning != "" {
		t.Fatal(change.Warning)
	}
	h, err := c.History(context.Background(), "prairie")
	if err != nil || len(h.Entries) != 2 || h.Entries[0].Author != "alice" || h.Entries[1].Author != "carol" {
		t.Errorf("history = %+v, %v, want alice's version 1 and carol's version 7", h, err)
	}
}

// Guards against a history that exceeds the object API's limit on a value.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	big := newTestContract(1)
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
	if len(h.Entries) != maxHistoryEntries || h.Entries[0].Version != 20 {
		t.Errorf("history has %d entries from version %d, want 20 from 20", len(h.Entries), h.Entries[0].Version)
	}
}
