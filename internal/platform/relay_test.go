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

// storeWithHistory is a store that keeps all changes.
type storeWithHistory struct {
	revision int64
	objects  map[string]Object
	history  []Object
}

func (s *storeWithHistory) change(key string, remove bool) {
	s.revision++
	o := Object{Key: key, Version: 2 * s.revision, Revision: s.revision}
	if remove {
		before, ok := s.objects[key]
		if !ok {
			return
		}
		// A tombstone may have the revision of the change before the deletion.
		o = Object{Key: key, Version: before.Version + 1, Revision: before.Revision, Deleted: true}
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, o)
}

// watchReader is a daemon's view of the objects, maintained by its Watcher.
type watchReader struct {
	watcher  *Watcher
	revision int64
	view     map[string]int64
}

func newWatchReader() *watchReader {
	r := &watchReader{view: map[string]int64{}}
	r.watcher = NewWatcher(duty.NewManualClock(testStart), nil, &manualPool{}, "servers/", func(s Snapshot) {
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

func (r *watchReader) apply(l Listing, full bool) {
	r.revision = l.Revision
	if full {
		r.watcher.deliverList(l)
		return
	}
	r.watcher.deliverChanges(l)
}

// Guards against a daemon that misses a change or keeps a removed server, because
// it switches between relays and the store, or because its relay has listed again
// or dropped a part of its log.
func TestChangesThroughRelaysAreComplete(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &storeWithHistory{objects: map[string]Object{}}
		seenBy := map[int64]int{} // length of the history at a revision
		list := func() Listing {
			return Listing{Objects: slices.Collect(maps.Values(store.objects)), Revision: store.revision}
		}
		direct := func(after int64) Listing {
			return Listing{Objects: slices.Clone(store.history[seenBy[after]:]), Revision: store.revision}
		}
		relays := []*changeLog{{}, {}}
		relayWatch := []int64{0, 0}
		readers := []*watchReader{newWatchReader(), newWatchReader(), newWatchReader()}
		seenBy[0] = 0
		for step := range 400 {
			for range random.IntN(4) {
				store.change(fmt.Sprintf("servers/%d", random.IntN(12)), random.IntN(3) == 0)
			}
			store.revision++ // a change of another prefix
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
				r.apply(list(), true)
				continue
			}
			if l, ok := relays[random.IntN(len(relays))].since(r.revision); ok && random.IntN(5) > 0 {
				r.apply(l, false)
				if _, exists := seenBy[r.revision]; !exists {
					t.Fatalf("seed %d step %d: revision %d does not exist in the store", seed, step, r.revision)
				}
				continue
			}
			r.apply(direct(r.revision), false)
		}
		for i, r := range readers {
			r.apply(direct(r.revision), false)
			want := map[string]int64{}
			for key, o := range store.objects {
				want[key] = o.Version
			}
			if !maps.Equal(r.view, want) {
				t.Fatalf("seed %d reader %d: view %v, want %v", seed, i, r.view, want)
			}
		}
	}
}

// relayFixture is a relay whose own watch is answered while its connection lives.
type relayFixture struct {
	clock    *duty.ManualClock
	relay    *Relay
	isRead   bool // the own watch is answered
	isActive bool
}

func newRelayFixture() *relayFixture {
	f := &relayFixture{clock: duty.NewManualClock(testStart), isRead: true, isActive: true}
	f.relay = NewRelay(f.clock, RelayOptions{MaxChangeDelay: time.Second, IsActive: func() bool { return f.isActive }})
	return f
}

func (f *relayFixture) advance(d time.Duration) {
	for ; d > 0; d -= 10 * time.Millisecond {
		f.clock.Advance(10 * time.Millisecond)
		if f.isRead {
			f.relay.ConfirmRead(f.clock.Now())
		}
		f.relay.Loop().RunPending()
	}
}

// Guards against a relay that serves an outdated state after its own watch has died or it
// stood still, whatever other calls the store answers, and against a daemon that answers
// although it is not a relay.
func TestRelayRejectsQueriesWithoutItsOwnWatch(t *testing.T) {
	f := newRelayFixture()
	f.relay.PutSnapshot(Snapshot{Revision: 5, Full: true})
	if f.relay.isFresh() {
		t.Fatal("a relay answers although its watch was never answered")
	}
	f.advance(time.Second)
	if !f.relay.isFresh() {
		t.Fatal("a relay rejects queries although its watch is answered")
	}
	f.isRead = false
	f.advance(RelayMaxAge(time.Second))
	if f.relay.isFresh() {
		t.Error("a relay answers although its watch has not been answered for the freshness share")
	}
	f.isRead = true
	f.advance(10 * time.Millisecond)
	f.isActive = false
	if f.relay.isFresh() {
		t.Error("a daemon that is not a relay answers")
	}
}

// Guards against an answer that confirms the asking daemon's state up to a time at which
// the relay had not read the store itself.
func TestRelayAnswerConfirmsOnlyWhatTheRelayRead(t *testing.T) {
	f := newRelayFixture()
	f.relay.PutSnapshot(Snapshot{Revision: 5, Full: true})
	f.relay.PutSnapshot(Snapshot{Revision: 6, Objects: []Object{{Key: "a", Revision: 6}}})
	f.advance(10 * time.Millisecond)
	f.isRead = false
	const age = 300 * time.Millisecond
	f.advance(age)
	replies, err := f.relay.queries.Send(t.Context(), WatchQuery{After: 5})
	if err != nil {
		t.Fatal(err)
	}
	f.relay.Loop().RunPending()
	reply, ok := replies.TryTake()
	if !ok || len(reply.Listing.Objects) != 1 || reply.Listing.UpTo != -age {
		t.Errorf("reply %+v, %v, want changes up to %v before the question", reply, ok, age)
	}
}

type fakeRelayClient struct {
	addresses []string
	err       error
}

func (f *fakeRelayClient) WatchRelay(_ context.Context, address string, after int64) (Listing, error) {
	f.addresses = append(f.addresses, address)
	return Listing{Revision: after + 1}, f.err
}

// Guards against a daemon that keeps using a relay that has failed, and against one
// that never returns from the store to the relays.
func TestRelayedWatchFallsBackToTheStore(t *testing.T) {
	clock := duty.NewManualClock(testStart)
	api, client := newFakeAPI(), &fakeRelayClient{}
	relays := []string{"a", "b"}
	failures := 0
	relayed := NewRelayedAPI(api, clock, RelayedOptions{
		Client: client, MaxChangeDelay: time.Second, Relays: func() []string { return relays }, OnRelayFailure: func(string, error) { failures++ },
	})
	watch := func() {
		if _, err := relayed.Watch(context.Background(), "servers/", 0); err != nil {
			t.Fatal(err)
		}
	}
	watch()
	client.err = errors.New("no answer")
	watch()
	if len(api.calls) != 1 || failures != 1 {
		t.Fatalf("after a failure: %d calls to the store, %d failures reported", len(api.calls), failures)
	}
	client.err = nil
	watch()
	if len(client.addresses) != 2 || len(api.calls) != 2 {
		t.Fatalf("right after a failure: relays used %v, %d calls to the store", client.addresses, len(api.calls))
	}
	clock.Advance(directAfterFailure)
	watch()
	if client.addresses[2] != "b" {
		t.Errorf("relays used: %v", client.addresses)
	}
	relays = nil
	watch()
	if len(api.calls) != 3 {
		t.Errorf("without relays: %d calls to the store", len(api.calls))
	}
}
