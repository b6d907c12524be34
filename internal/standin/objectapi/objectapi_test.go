package objectapi

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
)

// waitLimit limits the wait for events that take milliseconds.
const waitLimit = 30 * time.Second

type fixture struct {
	t      *testing.T
	ctx    context.Context
	clock  *duty.ManualClock
	server *Server
	client *platformhttp.Client
}

func newFixture(t *testing.T) *fixture {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	runner, err := duty.NewRunner(4)
	if err != nil {
		t.Fatal(err)
	}
	clock := duty.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	server, err := Start("127.0.0.1:0", clock, runner)
	if err != nil {
		t.Fatal(err)
	}
	client := platformhttp.NewClient(server.URL())
	t.Cleanup(func() {
		clock.Advance(hangLimit) // ends hung calls
		runner.Stop(ctx)
		cancel()
	})
	return &fixture{t: t, ctx: ctx, clock: clock, server: server, client: client}
}

func (f *fixture) wantError(what string, err, want error) {
	f.t.Helper()
	if !errors.Is(err, want) {
		f.t.Fatalf("%s: error %v, want %v", what, err, want)
	}
}

func (f *fixture) get(want error) platform.Object {
	f.t.Helper()
	o, err := f.client.Get(f.ctx, "c/a")
	f.wantError("get", err, want)
	return o
}

func (f *fixture) put(ifVersion int64, token string, want error) {
	f.t.Helper()
	_, err := f.client.Put(f.ctx, platform.Write{Key: "c/a", IfVersion: ifVersion, Token: token, Value: []byte(token)})
	f.wantError("put "+token, err, want)
}

// startCall starts the call and returns once the stand-in's counters show it. The
// channel receives the result.
func (f *fixture) startCall(call func() error, arrived func(Counts) bool) chan error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	for !arrived(f.server.Counts(f.ctx)) {
		if f.ctx.Err() != nil {
			f.t.Fatal("the call did not reach the stand-in")
		}
		time.Sleep(time.Millisecond)
	}
	return done
}

// watch starts a watch and returns once it waits at the stand-in.
func (f *fixture) watch() chan error {
	revision := f.server.Counts(f.ctx).Revision
	return f.startCall(func() error {
		_, err := f.client.Watch(f.ctx, "c/", revision)
		return err
	}, func(c Counts) bool { return c.PendingWatches == 1 })
}

// Guards against write faults that do not behave as documented, and against a
// client that treats a lost response as a definite result.
func TestWriteFaults(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(f.ctx, Faults{LoseWrites: 1})
	f.put(platform.Absent, "lost before", platform.ErrUnknownOutcome)
	f.get(platform.ErrNotFound)
	f.server.SetFaults(f.ctx, Faults{LoseAnswers: 1})
	f.put(platform.Absent, "lost after", platform.ErrUnknownOutcome)
	if o := f.get(nil); o.Token != "lost after" {
		t.Fatalf("object %+v", o)
	}
	f.server.SetFaults(f.ctx, Faults{LateWrites: 2, LateBy: time.Second})
	f.put(1, "late", platform.ErrUnknownOutcome)
	f.put(1, "later", platform.ErrUnknownOutcome)
	if o := f.get(nil); o.Version != 1 {
		t.Fatalf("before the delay: %+v", o)
	}
	f.clock.Advance(time.Second)
	if o := f.get(nil); o.Version != 2 || o.Token != "late" {
		t.Fatalf("after the delay: %+v", o)
	}
	f.put(1, "old condition", platform.ErrConflict)
}

// Guards against a client that mistakes an outage, a hung call or compaction for
// another of these.
func TestOutageHangAndCompaction(t *testing.T) {
	f := newFixture(t)
	f.put(platform.Absent, "first", nil)
	done := f.watch()
	f.server.SetFaults(f.ctx, Faults{Down: true})
	f.wantError("watch in an outage", <-done, platform.ErrUnavailable)
	f.get(platform.ErrUnavailable)

	f.server.SetFaults(f.ctx, Faults{Hang: true})
	refused := f.server.Counts(f.ctx).Rejected
	done = f.startCall(func() error {
		_, err := f.client.Get(f.ctx, "c/a")
		return err
	}, func(c Counts) bool { return c.Rejected > refused })
	if len(done) != 0 {
		t.Fatal("the hung call was answered")
	}
	f.clock.Advance(hangLimit)
	f.wantError("hung call", <-done, platform.ErrUnknownOutcome)

	f.server.SetFaults(f.ctx, Faults{HangWatches: true})
	done = f.watch()
	f.put(1, "second", nil)
	if waiting := f.server.Counts(f.ctx).PendingWatches; waiting != 1 {
		t.Fatal("the hung watch was notified of a change")
	}
	f.clock.Advance(hangLimit)
	f.wantError("end of the hung watch", <-done, nil)

	f.server.SetFaults(f.ctx, Faults{})
	_, err := f.client.Delete(f.ctx, platform.Write{Key: "c/a", IfVersion: 2})
	f.wantError("delete", err, nil)
	f.server.Compact(f.ctx)
	_, err = f.client.Watch(f.ctx, "c/", 1)
	f.wantError("watch after compaction", err, platform.ErrCompacted)
	if l, err := f.client.List(f.ctx, "c/"); err != nil || len(l.Objects) != 0 || l.Revision != 3 {
		t.Fatalf("list after compaction: %+v, %v", l, err)
	}
}

// Guards against rate limits that ignore pending watches, and against reads that
// count against the write rate or the reverse.
func TestRateLimits(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(f.ctx, Faults{ReadsPerSecond: 2, WritesPerSecond: 1})
	f.put(platform.Absent, "first", nil)
	f.put(1, "over the rate", platform.ErrRateLimited)
	f.get(nil)
	f.watch()
	f.get(platform.ErrRateLimited)
	f.clock.Advance(time.Second)
	f.get(nil) // one of two calls per second; the pending watch uses the other
	f.get(platform.ErrRateLimited)
}

// Guards against a host list that ignores the lag and freeze faults.
func TestHostListFaults(t *testing.T) {
	f := newFixture(t)
	state := func(want platform.HostState) {
		t.Helper()
		hosts, err := f.client.Hosts(f.ctx)
		if err != nil || len(hosts) != 1 || hosts[0].State != want {
			t.Fatalf("hosts %+v, %v; want %s", hosts, err, want)
		}
	}
	set := func(s platform.HostState) { f.server.SetHosts(f.ctx, []platform.Host{{Name: "a", State: s}}) }
	set(platform.HostLive)
	f.server.SetFaults(f.ctx, Faults{HostLag: time.Second})
	set(platform.HostLeaving)
	state(platform.HostLive)
	f.clock.Advance(time.Second)
	state(platform.HostLeaving)
	f.server.SetFaults(f.ctx, Faults{FreezeHosts: true})
	set(platform.HostLive)
	state(platform.HostLeaving)
	f.server.SetFaults(f.ctx, Faults{})
	state(platform.HostLive)
}

// Guards against a store duty that does not handle write faults over HTTP: a write
// lost before or after it took effect, and a write that is applied late.
func TestStoreDutyOverHTTP(t *testing.T) {
	r := newFixture(t)
	runner, err := duty.NewRunner(2)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := duty.NewPool("store", 8)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	store := platform.NewStoreWithOptions(duty.SystemClock{}, r.client, pool, platform.StoreOptions{
		CallTimeout: waitLimit, ReconcileTimeout: waitLimit,
	})
	if err := runner.Start(store.Loop()); err != nil {
		t.Fatal(err)
	}
	defer runner.Stop(r.ctx)
	faults := []Faults{{LoseAnswers: 1}, {LoseWrites: 1}, {LateWrites: 1, LateBy: time.Second}}
	for i, f := range faults {
		r.server.SetFaults(r.ctx, f)
		result := store.Do(r.ctx, platform.Op{
			Kind: platform.OpPut, Key: "c/a", Value: []byte{byte(i)}, IfVersion: int64(i), Timeout: waitLimit,
		})
		r.wantError("write", result.Err, nil)
		r.clock.Advance(time.Second) // the delayed write is applied
		if o := r.get(nil); o.Version != int64(i+1) || o.Token != result.Object.Token {
			t.Fatalf("%+v: stored %+v, reported %+v", f, o, result.Object)
		}
	}
}
