package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

type watchRig struct {
	api       *fakeAPI
	clock     *duty.ManualClock
	pool      *heldPool
	watcher   *Watcher
	snapshots []Snapshot
}

func newWatchRig() *watchRig {
	rig := &watchRig{api: newFakeAPI(), clock: duty.NewManualClock(testStart), pool: &heldPool{}}
	rig.watcher = NewWatcher(rig.clock, rig.api, rig.pool, "c/",
		func(s Snapshot) { rig.snapshots = append(rig.snapshots, s) },
		WatcherOptions{Random: rand.New(rand.NewPCG(1, 2))})
	rig.clock.Advance(0)
	rig.turn()
	return rig
}

// turn handles what is due and makes the calls that wait, once.
func (rig *watchRig) turn() {
	rig.watcher.Loop().RunPending()
	rig.pool.run()
	rig.watcher.Loop().RunPending()
}

func (rig *watchRig) put(key string) {
	_, _ = rig.api.apply(Write{Key: key, IfVersion: AnyVersion}, false)
}

func (rig *watchRig) last(t *testing.T) Snapshot {
	t.Helper()
	if len(rig.snapshots) == 0 {
		t.Fatal("no snapshot")
	}
	return rig.snapshots[len(rig.snapshots)-1]
}

// Guards against an object that stays in force because it was deleted, and the
// delete compacted, while nobody watched.
func TestWatcherFindsDeletesAfterCompaction(t *testing.T) {
	rig := newWatchRig()
	rig.put("c/a")
	rig.put("c/b")
	rig.turn()
	_, _ = rig.api.apply(Write{Key: "c/a", IfVersion: 1}, true)
	delete(rig.api.objects, "c/a")
	rig.api.compacted = rig.api.revision
	rig.turn()
	rig.clock.Advance(watchRetryLongest)
	rig.turn()
	s := rig.last(t)
	var tombstone Object
	for _, o := range s.Objects {
		if o.Key == "c/a" {
			tombstone = o
		}
	}
	if !s.Full || !tombstone.Deleted || tombstone.Version != 2 {
		t.Fatalf("snapshot %+v lacks a newer tombstone of c/a", s)
	}
}

// Guards against an older state that replaces a newer one, from a store that
// answers from an old copy or repeats changes.
func TestWatcherNeverGoesBack(t *testing.T) {
	rig := newWatchRig()
	for range 3 {
		rig.put("c/a")
	}
	rig.turn()
	delivered := len(rig.snapshots)
	old := Object{Key: "c/a", Version: 1, Revision: 1}
	rig.api.watch = func(after int64) (Listing, error) {
		return Listing{Objects: []Object{old}, Revision: after}, nil
	}
	rig.turn()
	rig.api.watch = func(int64) (Listing, error) { return Listing{Objects: []Object{old}, Revision: 1}, nil }
	rig.turn()
	if len(rig.snapshots) != delivered || rig.watcher.Stats().Revision != 3 {
		t.Fatalf("old state delivered: %+v", rig.last(t))
	}
}

// Guards against a change that is never seen because the watch hangs, and
// against an abandoned watch whose answer still counts.
func TestWatcherReplacesHungWatch(t *testing.T) {
	rig := newWatchRig()
	rig.watcher.Loop().RunPending()
	hung := rig.pool.calls
	rig.pool.calls = nil
	rig.put("c/a")
	rig.clock.Advance(DefaultWatchTimeout)
	rig.turn()
	if s := rig.last(t); len(s.Objects) != 1 || rig.watcher.Stats().TimedOut != 1 {
		t.Fatalf("after the bound: %+v, counters %+v", s, rig.watcher.Stats())
	}
	delivered := len(rig.snapshots)
	hung[0]()
	rig.watcher.Loop().RunPending()
	if len(rig.snapshots) != delivered {
		t.Fatal("the answer of the replaced watch was used")
	}
}

// Guards against a watcher that calls the store while it is inactive, and one
// that misses what changed meanwhile.
func TestWatcherActivation(t *testing.T) {
	rig := newWatchRig()
	rig.watcher.SetActive(false)
	rig.turn()
	before := len(rig.api.calls)
	rig.put("c/a")
	rig.clock.Advance(time.Minute)
	rig.turn()
	if calls := len(rig.api.calls) - before; calls != 0 {
		t.Fatalf("%d calls while inactive", calls)
	}
	rig.watcher.SetActive(true)
	rig.turn()
	if s := rig.last(t); len(s.Objects) != 1 || s.Objects[0].Key != "c/a" {
		t.Fatalf("change during inactivity: %+v", s)
	}
}

// Guards against a flood of calls while the store is down.
func TestWatcherBacksOff(t *testing.T) {
	rig := newWatchRig()
	rig.api.watch = func(int64) (Listing, error) { return Listing{}, ErrUnavailable }
	rig.turn()
	before := len(rig.api.calls)
	for range 1000 {
		rig.clock.Advance(10 * time.Millisecond)
		rig.turn()
	}
	if calls := len(rig.api.calls) - before; calls < 5 || calls > 15 {
		t.Fatalf("%d calls in 10 s of outage, want 5 to 15", calls)
	}
}

type fakeHosts struct {
	hosts []Host
	err   error
	calls int
}

func (f *fakeHosts) Hosts(context.Context) ([]Host, error) {
	f.calls++
	return f.hosts, f.err
}

// Guards against a host list that is forgotten in an outage, a "leaving" that
// is told too late, also past a hung poll, and polls of an inactive daemon.
func TestHostPoller(t *testing.T) {
	list := &fakeHosts{hosts: []Host{{Name: "a", State: HostLive}, {Name: "b", State: HostLive}}}
	clock, pool := duty.NewManualClock(testStart), &heldPool{}
	var changes []HostListUpdate
	p := NewHostPoller(clock, list, pool, HostOptions{Random: rand.New(rand.NewPCG(1, 2))},
		func(c HostListUpdate) { changes = append(changes, c) })
	run := func(d time.Duration) {
		for ; d > 0; d -= 10 * time.Millisecond {
			clock.Advance(10 * time.Millisecond)
			p.Loop().RunPending()
			pool.run()
			p.Loop().RunPending()
		}
	}
	run(time.Second)
	if len(changes) != 1 || len(changes[0].Changed) != 2 {
		t.Fatalf("first list: %+v", changes)
	}
	list.err = errors.New("down")
	run(time.Minute)
	if len(changes) != 1 {
		t.Fatalf("an outage changed the list: %+v", changes[1:])
	}
	list.err = nil
	list.hosts = []Host{{Name: "a", State: HostLeaving}}
	run(time.Second)
	if len(changes) != 2 || changes[1].Changed[0].State != HostLeaving || len(changes[1].Removed) != 1 {
		t.Fatalf("1 s after the outage: %+v", changes)
	}
	for range 100 { // until a poll is in progress, which then hangs
		clock.Advance(10 * time.Millisecond)
		p.Loop().RunPending()
		if len(pool.calls) > 0 {
			break
		}
	}
	pool.calls = nil
	list.hosts = []Host{{Name: "a", State: HostLive}}
	run(time.Second)
	if len(changes) != 3 || p.Stats().TimedOut != 1 {
		t.Fatalf("1 s after a poll hung: %+v, %+v", changes, p.Stats())
	}
	p.SetActive(false)
	run(10 * time.Millisecond)
	before := list.calls
	run(time.Minute)
	if list.calls != before {
		t.Fatal("an inactive poller polls")
	}
}

// Guards against changes that are never heard of since a watch was sent to a
// store that was silent, or since the history went right after a failed watch.
func TestWatcherListsAnew(t *testing.T) {
	rig := newWatchRig()
	rig.put("c/a")
	rig.turn()
	rig.api.watch = func(after int64) (Listing, error) { return Listing{Revision: after}, nil } // deaf
	rig.put("c/b")
	rig.turn()
	before := rig.watcher.Stats().Lists
	rig.watcher.Relist()
	rig.turn()
	if s := rig.last(t); !s.Full || len(s.Objects) != 2 || rig.watcher.Stats().Lists != before+1 {
		t.Fatalf("after Relist the newest snapshot is %+v", s)
	}
	rig.watcher.options.RelistAfterFailure = true
	rig.api.watch = func(int64) (Listing, error) { return Listing{}, ErrUnavailable }
	rig.put("c/c")
	for range 3 {
		rig.clock.Advance(watchRetryLongest)
		rig.turn()
	}
	if s := rig.last(t); !s.Full || len(s.Objects) != 3 {
		t.Fatalf("after a failed watch the newest snapshot is %+v", s)
	}
}
