package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

type watchFixture struct {
	api       *fakeAPI
	clock     *duty.ManualClock
	pool      *manualPool
	watcher   *Watcher
	snapshots []Snapshot
}

func newWatchFixture() *watchFixture {
	f := &watchFixture{api: newFakeAPI(), clock: duty.NewManualClock(testStart), pool: &manualPool{}}
	f.watcher = NewWatcher(f.clock, f.api, f.pool, "c/",
		func(s Snapshot) { f.snapshots = append(f.snapshots, s) },
		WatcherOptions{Random: rand.New(rand.NewPCG(1, 2))})
	f.clock.Advance(0)
	f.runOnce()
	return f
}

// runOnce runs the loop, the waiting calls and the loop again.
func (f *watchFixture) runOnce() {
	f.watcher.Loop().RunPending()
	f.pool.run()
	f.watcher.Loop().RunPending()
}

func (f *watchFixture) put(key string) {
	_, _ = f.api.apply(Write{Key: key, IfVersion: AnyVersion}, false)
}

func (f *watchFixture) last(t *testing.T) Snapshot {
	t.Helper()
	if len(f.snapshots) == 0 {
		t.Fatal("no snapshot")
	}
	return f.snapshots[len(f.snapshots)-1]
}

// Guards against an object that stays in force because its delete was compacted
// while no watch was active.
func TestWatcherFindsDeletesAfterCompaction(t *testing.T) {
	f := newWatchFixture()
	f.put("c/a")
	f.put("c/b")
	f.runOnce()
	_, _ = f.api.apply(Write{Key: "c/a", IfVersion: 1}, true)
	delete(f.api.objects, "c/a")
	f.api.compacted = f.api.revision
	f.runOnce()
	f.clock.Advance(maxWatchRetryDelay)
	f.runOnce()
	s := f.last(t)
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

// Guards against an older state that replaces a newer one, because the store
// answers from an old copy or repeats changes.
func TestWatcherIgnoresOlderStates(t *testing.T) {
	f := newWatchFixture()
	for range 3 {
		f.put("c/a")
	}
	f.runOnce()
	delivered := len(f.snapshots)
	old := Object{Key: "c/a", Version: 1, Revision: 1}
	f.api.watch = func(after int64) (Listing, error) {
		return Listing{Objects: []Object{old}, Revision: after}, nil
	}
	f.runOnce()
	f.api.watch = func(int64) (Listing, error) { return Listing{Objects: []Object{old}, Revision: 1}, nil }
	f.runOnce()
	if len(f.snapshots) != delivered || f.watcher.Stats().Revision != 3 {
		t.Fatalf("old state delivered: %+v", f.last(t))
	}
}

// Guards against a change that is never received because the watch hangs, and
// against an abandoned watch whose answer is still used.
func TestWatcherReplacesHungWatch(t *testing.T) {
	f := newWatchFixture()
	f.watcher.Loop().RunPending()
	hung := f.pool.calls
	f.pool.calls = nil
	f.put("c/a")
	f.clock.Advance(DefaultWatchTimeout)
	f.runOnce()
	if s := f.last(t); len(s.Objects) != 1 || f.watcher.Stats().TimedOut != 1 {
		t.Fatalf("after the timeout: %+v, counters %+v", s, f.watcher.Stats())
	}
	delivered := len(f.snapshots)
	hung[0]()
	f.watcher.Loop().RunPending()
	if len(f.snapshots) != delivered {
		t.Fatal("the answer of the replaced watch was used")
	}
}

// Guards against a watcher that calls the store while it is inactive, or misses
// the changes of that time.
func TestWatcherActivation(t *testing.T) {
	f := newWatchFixture()
	f.watcher.SetActive(false)
	f.runOnce()
	before := len(f.api.calls)
	f.put("c/a")
	f.clock.Advance(time.Minute)
	f.runOnce()
	if calls := len(f.api.calls) - before; calls != 0 {
		t.Fatalf("%d calls while inactive", calls)
	}
	f.watcher.SetActive(true)
	f.runOnce()
	if s := f.last(t); len(s.Objects) != 1 || s.Objects[0].Key != "c/a" {
		t.Fatalf("change during inactivity: %+v", s)
	}
}

// Guards against a high call rate while the store is down.
func TestWatcherBacksOff(t *testing.T) {
	f := newWatchFixture()
	f.api.watch = func(int64) (Listing, error) { return Listing{}, ErrUnavailable }
	f.runOnce()
	before := len(f.api.calls)
	for range 1000 {
		f.clock.Advance(10 * time.Millisecond)
		f.runOnce()
	}
	if calls := len(f.api.calls) - before; calls < 5 || calls > 15 {
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

// Guards against a host list that is lost in an outage, a "leaving" that is
// delivered late, also after a hung poll, and polls while inactive.
func TestHostPoller(t *testing.T) {
	list := &fakeHosts{hosts: []Host{{Name: "a", State: HostLive}, {Name: "b", State: HostLive}}}
	clock, pool := duty.NewManualClock(testStart), &manualPool{}
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
		t.Fatal("the poller polled while inactive")
	}
}

// Guards against changes that are never received, because the watch was sent while
// the store did not answer or the store lost its history after a failed watch.
func TestWatcherRelists(t *testing.T) {
	f := newWatchFixture()
	f.put("c/a")
	f.runOnce()
	f.api.watch = func(after int64) (Listing, error) { return Listing{Revision: after}, nil } // reports no changes
	f.put("c/b")
	f.runOnce()
	before := f.watcher.Stats().Lists
	f.watcher.Relist()
	f.runOnce()
	if s := f.last(t); !s.Full || len(s.Objects) != 2 || f.watcher.Stats().Lists != before+1 {
		t.Fatalf("after Relist the newest snapshot is %+v", s)
	}
	f.watcher.options.RelistAfterFailure = true
	f.api.watch = func(int64) (Listing, error) { return Listing{}, ErrUnavailable }
	f.put("c/c")
	for range 3 {
		f.clock.Advance(maxWatchRetryDelay)
		f.runOnce()
	}
	if s := f.last(t); !s.Full || len(s.Objects) != 3 {
		t.Fatalf("after a failed watch the newest snapshot is %+v", s)
	}
}

// Guards against a state that counts as newer than it is: an answer that waited for its
// daemon, which stood still, is as old as the request for it.
func TestWatcherReportsWhenAnswersWereRequested(t *testing.T) {
	f := newWatchFixture()
	var readAt []time.Time
	f.watcher.options.OnRead = func(sentAt time.Time) { readAt = append(readAt, sentAt) }
	sentAt := f.clock.Now() // of the watch that is in progress
	f.put("c/a")
	f.watcher.Loop().RunPending()
	f.pool.run()
	f.clock.Advance(DefaultWatchTimeout / 2)
	f.watcher.Loop().RunPending()
	if objects := f.last(t).Objects; len(objects) != 1 || len(readAt) != 1 || !readAt[0].Equal(sentAt) {
		t.Errorf("%d changes, read at %v, want one that was requested at %v", len(objects), readAt, sentAt)
	}
}

// Guards against a watcher that waits for the end of its retry delay although the store
// is known to answer again, and against a second call by the timer of that delay.
func TestRelistDoesNotWaitForTheRetryDelay(t *testing.T) {
	f := newWatchFixture()
	f.api.watch = func(int64) (Listing, error) { return Listing{}, ErrUnavailable }
	f.runOnce()
	f.put("c/a")
	calls := len(f.api.calls)
	f.watcher.Relist()
	f.runOnce()
	if s := f.last(t); !s.Full || len(s.Objects) != 1 || len(f.api.calls) != calls+1 {
		t.Fatalf("snapshot %+v after %d calls, want the list at once", s, len(f.api.calls)-calls)
	}
	f.clock.Advance(maxWatchRetryDelay)
	f.watcher.Loop().RunPending()
	if waiting := len(f.pool.calls); waiting != 1 {
		t.Errorf("%d calls in progress, want the watch alone", waiting)
	}
}

// ageFixture is a watcher with a bounded age on a store that holds watches as long as they
// allow and may stop answering them without closing their connections.
type ageFixture struct {
	*watchFixture
	clockStep   time.Duration
	isSilent    bool // calls that arrive now are never answered
	waiting     []*heldWatch
	confirmed   time.Time
	oldest      time.Duration // greatest age of the confirmed state so far
	deliveredAt time.Time     // of the newest snapshot with objects
}

// heldWatch is a watch that the store holds.
type heldWatch struct {
	run           func()
	sentAt, until time.Time
}

const testMaxAge = 3 * time.Second

func newAgeFixture() *ageFixture {
	f := &ageFixture{watchFixture: &watchFixture{api: newFakeAPI(), clock: duty.NewManualClock(testStart), pool: &manualPool{}}, clockStep: 20 * time.Millisecond}
	f.api.watch = f.watch
	f.watcher = NewWatcher(f.clock, f.api, f.pool, "c/", func(s Snapshot) {
		if len(s.Objects) > 0 {
			f.deliveredAt = f.clock.Now()
		}
		f.snapshots = append(f.snapshots, s)
	}, WatcherOptions{
		WatchTimeout: 30 * time.Second, MaxAge: func() time.Duration { return testMaxAge }, RelistAfterFailure: true,
		Random: rand.New(rand.NewPCG(1, 2)), OnRead: func(upTo time.Time) { f.confirmed = upTo },
	})
	return f
}

// watch answers with the changes after the revision. It runs when the store ends the watch.
func (f *ageFixture) watch(after int64) (Listing, error) {
	l := Listing{Revision: after, UpTo: f.clock.Now().Sub(f.watcherSentAt())}
	for _, o := range f.api.changes {
		if o.Revision > after {
			l.Objects, l.Revision, l.UpTo = append(l.Objects, o), o.Revision, 0
		}
	}
	return l, nil
}

// oversee reports the position of another watcher that is current, as a relay does, while
// the time passes.
func (f *ageFixture) oversee(d time.Duration) {
	const period = 400 * time.Millisecond
	for ; d > 0; d -= period {
		f.watcher.ReportPosition(Position{Prefix: "c/", Change: f.api.revision})
		f.advance(min(d, period))
	}
}

// watcherSentAt returns when the store received the watch that ends now.
func (f *ageFixture) watcherSentAt() time.Time { return f.waiting[0].sentAt }

// advance lets the time pass. The store answers lists at once, and watches at a change or
// once their time is over.
func (f *ageFixture) advance(d time.Duration) {
	for ; d > 0; d -= f.clockStep {
		f.clock.Advance(f.clockStep)
		f.watcher.Loop().RunPending()
		f.receive()
		f.answerWaiting()
		f.watcher.Loop().RunPending()
		if !f.confirmed.IsZero() {
			f.oldest = max(f.oldest, f.clock.Now().Sub(f.confirmed))
		}
	}
}

// receive passes the calls of the watcher to the store.
func (f *ageFixture) receive() {
	calls := f.pool.calls
	f.pool.calls = nil
	for _, run := range calls {
		switch {
		case f.isSilent:
		case f.watcher.isListed:
			timeout := f.watcher.callTimeout(f.clock.Now())
			f.waiting = []*heldWatch{{run: run, sentAt: f.clock.Now(), until: f.clock.Now().Add(timeout - watchAnswerTime)}}
		default:
			run()
		}
	}
}

func (f *ageFixture) answerWaiting() {
	if len(f.waiting) == 0 {
		return
	}
	w := f.waiting[0]
	hasChange := len(f.api.changes) > 0 && f.api.changes[len(f.api.changes)-1].Revision > f.watcher.revision
	if hasChange || !f.clock.Now().Before(w.until) {
		w.run()
		f.waiting = nil
	}
}

// Guards against a list that stays old for as long as the store may hold a watch, because
// the watch was sent while the store was silent for a moment: its connection stays open,
// and the store answers all other calls.
func TestWatcherReplacesWatchThatWasSentIntoSilence(t *testing.T) {
	for offset := time.Duration(0); offset < testMaxAge; offset += 100 * time.Millisecond {
		f := newAgeFixture()
		f.advance(5*time.Second + offset)
		f.isSilent = true
		f.put("c/a") // its answer ends the watch, and the next one is lost
		f.advance(400 * time.Millisecond)
		f.isSilent = false
		silentUntil := f.clock.Now()
		f.advance(100 * time.Millisecond)
		f.put("c/b")
		f.advance(2 * testMaxAge)
		objects := f.last(t).Objects
		if len(objects) == 0 || objects[len(objects)-1].Key != "c/b" || f.deliveredAt.Sub(silentUntil) > testMaxAge {
			t.Errorf("silence after %v: %v was delivered %v after it, want c/b within %v", offset, objects, f.deliveredAt.Sub(silentUntil), testMaxAge)
		}
	}
}

// Guards against a state that counts as current by an answer to another call, is not
// confirmed while its watch is answered, or costs more calls than that needs.
func TestWatcherConfirmsItsStateByItsOwnAnswers(t *testing.T) {
	f := newAgeFixture()
	const quiet = time.Minute
	f.advance(quiet)
	if f.oldest > testMaxAge {
		t.Errorf("the state became %v old although its watches are answered, want at most %v", f.oldest, testMaxAge)
	}
	stats := f.watcher.Stats()
	if most := int64(quiet/(testMaxAge-2*watchAnswerTime)) + 1; stats.Watches+stats.Lists > most {
		t.Errorf("%d watches and %d lists in %v without changes, want at most %d", stats.Watches, stats.Lists, quiet, most)
	}
	f.put("c/a")
	f.advance(time.Second)
	f.isSilent = true
	f.waiting = nil
	before := f.confirmed
	f.advance(quiet)
	if !f.confirmed.Equal(before) {
		t.Errorf("a state whose watch is dead was confirmed %v later", f.confirmed.Sub(before))
	}
}

// Guards against a watcher that relies on the reports of another one and misses a change
// that the other has, makes as many calls as without them, or keeps waiting when the reports
// end.
func TestOverseenWatcher(t *testing.T) {
	f := newAgeFixture()
	f.oversee(5 * time.Second)
	const quiet = time.Minute
	before := f.watcher.Stats()
	f.oversee(quiet)
	if calls := f.watcher.Stats().Watches - before.Watches; calls > 3 {
		t.Errorf("%d watches in %v, want at most 3", calls, quiet)
	}
	f.waiting = nil // the watch is lost
	f.put("c/a")
	f.oversee(behindTime + time.Second)
	if s := f.last(t); len(s.Objects) == 0 || s.Objects[len(s.Objects)-1].Key != "c/a" {
		t.Errorf("a change that another watcher has was not delivered: %v", s.Objects)
	}
	f.oversee(10 * time.Second)
	if calls := f.watcher.Stats().Lists; calls > 3 {
		t.Errorf("%d lists", calls)
	}
	f.waiting = nil
	f.put("c/b")
	f.advance(2*testMaxAge + ageCheckPeriod)
	if s := f.last(t); s.Objects[len(s.Objects)-1].Key != "c/b" {
		t.Errorf("after the reports ended, a lost watch was not replaced: %v", s.Objects)
	}
}
