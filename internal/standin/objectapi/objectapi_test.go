package objectapi

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/transport"
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
	client, err := platformhttp.NewClient(server.URL(), transport.ClientOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		clock.Advance(hangLimit) // ends hung calls
		runner.Stop(ctx)
		cancel()
	})
	return &fixture{t: t, ctx: ctx, clock: clock, server: server, client: client}
}

func (r *fixture) wantError(what string, err, want error) {
	r.t.Helper()
	if !errors.Is(err, want) {
		r.t.Fatalf("%s: error %v, want %v", what, err, want)
	}
}

func (r *fixture) get(want error) platform.Object {
	r.t.Helper()
	o, err := r.client.Get(r.ctx, "c/a")
	r.wantError("get", err, want)
	return o
}

func (r *fixture) put(ifVersion int64, token string, want error) {
	r.t.Helper()
	_, err := r.client.Put(r.ctx, platform.Write{Key: "c/a", IfVersion: ifVersion, Token: token, Value: []byte(token)})
	r.wantError("put "+token, err, want)
}

// startCall starts the call and returns once the stand-in's counters show it. The
// channel receives the result.
func (r *fixture) startCall(call func() error, arrived func(Counts) bool) chan error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	for !arrived(r.server.Counts(r.ctx)) {
		if r.ctx.Err() != nil {
			r.t.Fatal("the call did not reach the stand-in")
		}
		time.Sleep(time.Millisecond)
	}
	return done
}

// watch starts a watch and returns once it waits at the stand-in.
func (r *fixture) watch() chan error {
	revision := r.server.Counts(r.ctx).Revision
	return r.startCall(func() error {
		_, err := r.client.Watch(r.ctx, "c/", revision)
		return err
	}, func(c Counts) bool { return c.Waiting == 1 })
}

// Guards against write faults that do not behave as documented, and against a
// client that treats a lost response as a definite result.
func TestWriteFaults(t *testing.T) {
	r := newFixture(t)
	r.server.SetFaults(r.ctx, Faults{LoseWrites: 1})
	r.put(platform.Absent, "lost before", platform.ErrUnknownOutcome)
	r.get(platform.ErrNotFound)
	r.server.SetFaults(r.ctx, Faults{LoseAnswers: 1})
	r.put(platform.Absent, "lost after", platform.ErrUnknownOutcome)
	if o := r.get(nil); o.Token != "lost after" {
		t.Fatalf("object %+v", o)
	}
	r.server.SetFaults(r.ctx, Faults{LateWrites: 2, LateBy: time.Second})
	r.put(1, "late", platform.ErrUnknownOutcome)
	r.put(1, "later", platform.ErrUnknownOutcome)
	if o := r.get(nil); o.Version != 1 {
		t.Fatalf("before the delay: %+v", o)
	}
	r.clock.Advance(time.Second)
	if o := r.get(nil); o.Version != 2 || o.Token != "late" {
		t.Fatalf("after the delay: %+v", o)
	}
	r.put(1, "old condition", platform.ErrConflict)
}

// Guards against a client that mistakes an outage, a hung call or compaction for
// another of these.
func TestOutageHangAndCompaction(t *testing.T) {
	r := newFixture(t)
	r.put(platform.Absent, "first", nil)
	done := r.watch()
	r.server.SetFaults(r.ctx, Faults{Down: true})
	r.wantError("watch in an outage", <-done, platform.ErrUnavailable)
	r.get(platform.ErrUnavailable)

	r.server.SetFaults(r.ctx, Faults{Hang: true})
	refused := r.server.Counts(r.ctx).Refused
	done = r.startCall(func() error {
		_, err := r.client.Get(r.ctx, "c/a")
		return err
	}, func(c Counts) bool { return c.Refused > refused })
	if len(done) != 0 {
		t.Fatal("the hung call was answered")
	}
	r.clock.Advance(hangLimit)
	r.wantError("hung call", <-done, platform.ErrUnknownOutcome)

	r.server.SetFaults(r.ctx, Faults{HangWatches: true})
	done = r.watch()
	r.put(1, "second", nil)
	if waiting := r.server.Counts(r.ctx).Waiting; waiting != 1 {
		t.Fatal("the hung watch was notified of a change")
	}
	r.clock.Advance(hangLimit)
	r.wantError("end of the hung watch", <-done, nil)

	r.server.SetFaults(r.ctx, Faults{})
	_, err := r.client.Delete(r.ctx, platform.Write{Key: "c/a", IfVersion: 2})
	r.wantError("delete", err, nil)
	r.server.Compact(r.ctx)
	_, err = r.client.Watch(r.ctx, "c/", 1)
	r.wantError("watch after compaction", err, platform.ErrCompacted)
	if l, err := r.client.List(r.ctx, "c/"); err != nil || len(l.Objects) != 0 || l.Revision != 3 {
		t.Fatalf("list after compaction: %+v, %v", l, err)
	}
}

// Guards against rate limits that ignore pending watches, and against reads that
// count against the write rate or the reverse.
func TestRateLimits(t *testing.T) {
	r := newFixture(t)
	r.server.SetFaults(r.ctx, Faults{ReadsPerSecond: 2, WritesPerSecond: 1})
	r.put(platform.Absent, "first", nil)
	r.put(1, "over the rate", platform.ErrRateLimited)
	r.get(nil)
	r.watch()
	r.get(platform.ErrRateLimited)
	r.clock.Advance(time.Second)
	r.get(nil) // one of two calls per second; the pending watch uses the other
	r.get(platform.ErrRateLimited)
}

// Guards against a host list that ignores the lag and freeze faults.
func TestHostListFaults(t *testing.T) {
	r := newFixture(t)
	state := func(want platform.HostState) {
		t.Helper()
		hosts, err := r.client.Hosts(r.ctx)
		if err != nil || len(hosts) != 1 || hosts[0].State != want {
			t.Fatalf("hosts %+v, %v; want %s", hosts, err, want)
		}
	}
	set := func(s platform.HostState) { r.server.SetHosts(r.ctx, []platform.Host{{Name: "a", State: s}}) }
	set(platform.HostLive)
	r.server.SetFaults(r.ctx, Faults{HostLag: time.Second})
	set(platform.HostLeaving)
	state(platform.HostLive)
	r.clock.Advance(time.Second)
	state(platform.HostLeaving)
	r.server.SetFaults(r.ctx, Faults{FreezeHosts: true})
	set(platform.HostLive)
	state(platform.HostLeaving)
	r.server.SetFaults(r.ctx, Faults{})
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
