package platform

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// relayedStore is a store with its whole history.
type relayedStore struct {
	revision int64
	objects  map[string]Object
	history  []Object
}

func (s *relayedStore) change(key string, remove bool) {
	s.revision++
	o := Object{Key: key, Version: 2 * s.revision, Revision: s.revision}
	if remove {
		before, ok := s.objects[key]
		if !ok {
			return
		}
		// A tombstone may bear the revision of the change before the deletion.
		o = Object{Key: key, Version: before.Version + 1, Revision: before.Revision, Deleted: true}
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, o)
}

// reader is a daemon's view, kept by the rules of the Watcher.
type reader struct {
	watcher  *Watcher
	revision int64
	view     map[string]int64
}

func newReader() *reader {
	r := &reader{view: map[string]int64{}}
	r.watcher = NewWatcher(duty.NewManualClock(testStart), nil, &heldPool{}, "servers/", func(s Snapshot) {
		for _, o := range s.Objects {
			if o.Deleted {
				delete(r.view, o.Key)
			} else {
				r.view[o.Key] = o.Version
			}
		}
	})
	return r
}

func (r *reader) take(l Listing, full bool) {
	r.revision = l.Revision
	if full {
		r.watcher.publishFull(l)
		return
	}
	r.watcher.publishChanges(l)
}

// Guards against a daemon that misses a change, or keeps a removed server,
// because it changes between relays and the store, or because its relay has
// listed anew or dropped a part of its log.
func TestChangesThroughRelaysAreComplete(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &relayedStore{objects: map[string]Object{}}
		seenBy := map[int64]int{} // length of the history at a revision
		list := func() Listing {
			return Listing{Objects: slices.Collect(maps.Values(store.objects)), Revision: store.revision}
		}
		direct := func(after int64) Listing {
			return Listing{Objects: slices.Clone(store.history[seenBy[after]:]), Revision: store.revision}
		}
		relays := []*changeLog{{}, {}}
		relayWatch := []int64{0, 0}
		readers := []*reader{newReader(), newReader(), newReader()}
		seenBy[0] = 0
		for step := range 400 {
			for range random.IntN(4) {
				store.change(fmt.Sprintf("servers/%d", random.IntN(12)), random.IntN(3) == 0)
			}
			store.revision++ // a change of another kind
			seenBy[store.revision] = len(store.history)
			i := random.IntN(len(relays))
			switch {
			case random.IntN(20) == 0 || relayWatch[i] == 0:
				l := list()
				relays[i].add(Snapshot{Objects: l.Objects, Revision: l.Revision, Full: true})
				relayWatch[i] = store.revision
			case random.IntN(3) > 0:
				if l := direct(relayWatch[i]); len(l.Objects) > 0 {
					relays[i].add(Snapshot{Objects: l.Objects, Revision: l.Revision})
					relayWatch[i] = store.revision
				}
			}
			r := readers[random.IntN(len(readers))]
			if r.revision == 0 || random.IntN(30) == 0 {
				r.take(list(), true)
				continue
			}
			if l, ok := relays[random.IntN(len(relays))].since(r.revision); ok && random.IntN(5) > 0 {
				r.take(l, false)
				if _, exists := seenBy[r.revision]; !exists {
					t.Fatalf("seed %d step %d: revision %d is none of the store", seed, step, r.revision)
				}
				continue
			}
			r.take(direct(r.revision), false)
		}
		for i, r := range readers {
			r.take(direct(r.revision), false)
			want := map[string]int64{}
			for key, o := range store.objects {
				want[key] = o.Version
			}
			if !maps.Equal(r.view, want) {
				t.Fatalf("seed %d reader %d: sees %v in place of %v", seed, i, r.view, want)
			}
		}
	}
}

// relayRig is a relay whose store answers or not.
type relayRig struct {
	clock  *duty.ManualClock
	relay  *Relay
	up     bool
	active bool
}

func (rig *relayRig) Ping(context.Context) error {
	if !rig.up {
		return ErrUnavailable
	}
	return nil
}

func newRelayRig() *relayRig {
	rig := &relayRig{clock: duty.NewManualClock(testStart), up: true, active: true}
	rig.relay = NewRelay(rig.clock, rig, runPool{}, RelayOptions{MaxChangeDelay: time.Second, IsActive: func() bool { return rig.active }})
	return rig
}

// runPool runs the work at once.
type runPool struct{}

func (runPool) TryGo(f func()) bool { f(); return true }

func (rig *relayRig) advance(d time.Duration) {
	for ; d > 0; d -= 10 * time.Millisecond {
		rig.clock.Advance(10 * time.Millisecond)
		rig.relay.Loop().RunPending()
	}
}

// Guards against a relay that keeps daemons at an old state after it has lost
// the store itself, or that answers though it is no relay.
func TestRelayRefusesWithoutTheStore(t *testing.T) {
	rig := newRelayRig()
	rig.relay.PutSnapshot(Snapshot{Revision: 5, Full: true})
	rig.advance(time.Second)
	if !rig.relay.isFresh() {
		t.Fatal("a relay with a store refuses")
	}
	rig.up = false
	rig.advance(part(time.Second, relayFreshnessPart) + part(time.Second, relayBeatPart))
	if rig.relay.isFresh() {
		t.Error("a relay answers after its store has been silent for the freshness and a beat")
	}
	rig.up = true
	rig.advance(time.Second)
	rig.active = false
	if rig.relay.isFresh() {
		t.Error("a daemon that is no relay answers")
	}
}

type fakeAsker struct {
	asked []string
	err   error
}

func (f *fakeAsker) WatchRelay(_ context.Context, address string, after int64) (Listing, error) {
	f.asked = append(f.asked, address)
	return Listing{Revision: after + 1}, f.err
}

// Guards against a daemon that stays with a relay that has failed, and against
// one that never comes back from the store to the relays.
func TestRelayedWatchFallsBackToTheStore(t *testing.T) {
	clock := duty.NewManualClock(testStart)
	api, asker := newFakeAPI(), &fakeAsker{}
	relays := []string{"a", "b"}
	failures := 0
	relayed := NewRelayedAPI(api, clock, RelayedOptions{
		Client: asker, MaxChangeDelay: time.Second, Relays: func() []string { return relays }, OnRelayFailure: func(string, error) { failures++ },
	})
	watch := func() {
		if _, err := relayed.Watch(context.Background(), "servers/", 0); err != nil {
			t.Fatal(err)
		}
	}
	watch()
	asker.err = errors.New("no answer")
	watch()
	if len(api.calls) != 1 || failures != 1 {
		t.Fatalf("after a failure: %d calls of the store, %d failures told", len(api.calls), failures)
	}
	asker.err = nil
	watch()
	if len(asker.asked) != 2 || len(api.calls) != 2 {
		t.Fatalf("right after a failure: relays asked %v, %d calls of the store", asker.asked, len(api.calls))
	}
	clock.Advance(relayRetry)
	watch()
	if asker.asked[2] != "b" {
		t.Errorf("relays asked: %v", asker.asked)
	}
	relays = nil
	watch()
	if len(api.calls) != 3 {
		t.Errorf("without relays: %d calls of the store", len(api.calls))
	}
}
