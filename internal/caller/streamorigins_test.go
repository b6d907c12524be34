package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// originCluster is a set of daemons that hold origins together, on a manual clock.
// Messages wait in pending until the test delivers them.
type originCluster struct {
	clock   *duty.ManualClock
	daemons []*originDaemon
	pending []func()
	sent    int // messages with origins
	store   originObjects
}

type originDaemon struct {
	cluster *originCluster
	address string
	isDown  bool // answers nothing
	// isUnlisted means that it has no list of the other daemons yet.
	isUnlisted bool
	origins    *StreamOrigins
}

// originObjects is the store of a cluster. Like messages, its answers wait in pending.
type originObjects struct {
	saved  map[string]SavedOrigins
	isDown bool
	writes int
}

var errDown = errors.New("the daemon does not answer")

func newOriginCluster(n int) *originCluster {
	cluster := &originCluster{clock: duty.NewManualClock(time.Unix(1e9, 0)), store: originObjects{saved: map[string]SavedOrigins{}}}
	for i := range n {
		d := &originDaemon{cluster: cluster, address: fmt.Sprint("d", i)}
		cluster.daemons = append(cluster.daemons, d)
	}
	for _, d := range cluster.daemons {
		d.start()
	}
	cluster.run()
	return cluster
}

// start makes the daemon answer again, with nothing in its memory.
func (d *originDaemon) start() {
	d.isDown = false
	d.origins = NewStreamOrigins(StreamOriginOptions{Clock: d.cluster.clock, Self: d.address, Peers: d, Store: d, TryGo: func(f func()) bool {
		d.cluster.pending = append(d.cluster.pending, f)
		return true
	}})
	if !d.isUnlisted {
		d.origins.ReportDaemons()
	}
}

// LoadOrigins implements OriginStore.
func (d *originDaemon) LoadOrigins(address string, reply func(SavedOrigins, error)) {
	store := &d.cluster.store
	d.cluster.pending = append(d.cluster.pending, func() {
		if store.isDown {
			reply(SavedOrigins{}, errDown)
			return
		}
		reply(store.saved[address], nil)
	})
}

// SaveOrigins implements OriginStore.
func (d *originDaemon) SaveOrigins(saved SavedOrigins, reply func(int64, error)) {
	store := &d.cluster.store
	d.cluster.pending = append(d.cluster.pending, func() {
		if store.isDown || store.saved[d.address].Version != saved.Version {
			reply(0, errDown)
			return
		}
		store.writes++
		saved.Version++
		store.saved[d.address] = saved
		reply(saved.Version, nil)
	})
}

// Addresses implements OriginPeers.
func (d *originDaemon) Addresses() []string {
	return d.Holders("")
}

// PullOrigins implements OriginPeers.
func (d *originDaemon) PullOrigins(_ context.Context, address string) ([]StreamOrigin, error) {
	if d.isDown || d.peer(address).isDown {
		return nil, errDown
	}
	return d.peer(address).origins.replicasOf(d.address), nil
}

// Holders implements OriginPeers. Each stream has a fixed random order of the daemons.
func (d *originDaemon) Holders(stream core.RequestID) []string {
	var seed uint64
	for _, c := range stream {
		seed = seed*131 + uint64(c)
	}
	var addresses []string
	for _, i := range rand.New(rand.NewPCG(seed, 7)).Perm(len(d.cluster.daemons)) {
		if other := d.cluster.daemons[i]; other != d {
			addresses = append(addresses, other.address)
		}
	}
	if d.isUnlisted {
		return nil
	}
	return addresses
}

func (d *originDaemon) peer(address string) *originDaemon {
	i := slices.IndexFunc(d.cluster.daemons, func(o *originDaemon) bool { return o.address == address })
	return d.cluster.daemons[i]
}

func (d *originDaemon) SendOrigins(_ context.Context, address string, origins []StreamOrigin) error {
	d.cluster.sent++
	if d.isDown || d.peer(address).isDown {
		return errDown
	}
	d.peer(address).origins.Receive(origins)
	return nil
}

func (d *originDaemon) FindOrigin(_ context.Context, address string, stream core.RequestID) (StreamOrigin, bool, error) {
	if d.isDown || d.peer(address).isDown {
		return StreamOrigin{}, false, errDown
	}
	lookup := d.peer(address).origins.find(stream)
	return lookup.Origin, lookup.IsKnown, nil
}

// run delivers all messages.
func (cluster *originCluster) run() {
	for isDone := false; !isDone; {
		isDone = len(cluster.pending) == 0
		pending := cluster.pending
		cluster.pending = nil
		for _, f := range pending {
			f()
		}
		for _, d := range cluster.daemons {
			if d.origins.loop.RunPending() > 0 {
				isDone = false
			}
		}
	}
}

func (cluster *originCluster) find(t *testing.T, d *originDaemon, stream core.RequestID) OriginLookup {
	t.Helper()
	replies, err := d.origins.lookups.Send(context.Background(), stream)
	if err != nil {
		t.Fatal(err)
	}
	cluster.run()
	lookup, ok := replies.TryTake()
	if !ok {
		t.Fatalf("the lookup of %s has no reply", stream)
	}
	return lookup
}

func streamID(i int) core.RequestID { return core.RequestID(fmt.Sprint("stream-", i)) }

// Guards against streams that cannot be taken up again after their daemon is gone, one of
// the holders does not answer, or both have restarted, and against a wrong origin.
func TestStreamOriginOutlivesItsDaemon(t *testing.T) {
	const streams = 100
	for _, n := range []int{7, 75, 250} {
		cluster := newOriginCluster(n)
		cluster.daemons[1].isDown = true // while the streams begin
		for i := range streams {
			cluster.daemons[0].origins.Record(StreamOrigin{Stream: streamID(i), Service: "s", Software: core.SoftwareVersion(fmt.Sprint("v", i%2))})
		}
		cluster.run()
		t.Logf("%d daemons: %d messages for %d streams", n, cluster.sent, streams)
		cluster.daemons[1].start()
		cluster.daemons[0].start() // it was killed and has restarted
		cluster.daemons[2].isDown = true
		for i := range streams {
			lookup := cluster.find(t, cluster.daemons[3+i%(n-3)], streamID(i))
			if !lookup.IsKnown || lookup.Origin.Software != core.SoftwareVersion(fmt.Sprint("v", i%2)) || lookup.Origin.Service != "s" {
				t.Fatalf("%d daemons, stream %d: %+v", n, i, lookup)
			}
		}
		if lookup := cluster.find(t, cluster.daemons[3], "unknown"); lookup.IsKnown {
			t.Errorf("an unknown stream has the origin %+v", lookup.Origin)
		}
	}
}

// Guards against an origin that changes when a daemon sends another one for the same
// stream, and against memory for streams that ended long ago.
func TestStreamOriginNeverChangesAndExpires(t *testing.T) {
	cluster := newOriginCluster(1)
	d := cluster.daemons[0]
	d.origins.Record(StreamOrigin{Stream: "a", Software: "v1"})
	d.origins.Receive([]StreamOrigin{{Stream: "a", Software: "v2"}})
	cluster.run()
	if lookup := cluster.find(t, d, "a"); lookup.Origin.Software != "v1" {
		t.Errorf("the origin is %+v", lookup.Origin)
	}
	cluster.clock.Advance(originTTL + originPrunePeriod)
	cluster.run()
	if lookup := cluster.find(t, d, "a"); lookup.IsKnown || len(d.origins.byAge) > 0 {
		t.Errorf("an expired origin is known: %+v", lookup.Origin)
	}
	for i := range maxHeldOrigins + 10 {
		d.origins.hold(StreamOrigin{Stream: streamID(i)})
	}
	if len(d.origins.held) != maxHeldOrigins || d.origins.find(streamID(9)).IsKnown || !d.origins.find(streamID(10)).IsKnown {
		t.Errorf("%d origins are held", len(d.origins.held))
	}
}

// Guards against a resumed stream that goes to a service to which its route leads no
// more, and against one that another version continues because its origin is unknown.
func TestResumeIsRefusedWithoutOrigin(t *testing.T) {
	nobody := (&originCluster{}).nobody()
	s := NewStreamOrigins(StreamOriginOptions{Clock: duty.SystemClock{}, Peers: nobody, Store: emptyOriginStore{}, TryGo: func(func()) bool { return false }})
	runner, err := duty.NewRunner(4)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	defer runner.Stop(ctx)
	if err := runner.Start(s.Loop()); err != nil {
		t.Fatal(err)
	}
	s.ReportDaemons()
	s.Record(StreamOrigin{Stream: "a", Service: "old", Software: "v1"})
	route := &Route{Name: "r", Targets: []Target{{Service: "old", Weight: 1}}}
	moved := &Route{Name: "r", Targets: []Target{{Service: "new", Weight: 1}, {Service: "old"}}}
	service, progress, refusal := s.Resume(ctx, route, "a", 4)
	if refusal != nil || service != "old" || !slices.Equal(progress.Tokens, []int32{4}) || progress.Software != "v1" {
		t.Errorf("resumed at %s with %+v, %v", service, progress, refusal)
	}
	for _, c := range []struct {
		route  *Route
		stream core.RequestID
	}{{moved, "a"}, {route, "b"}, {route, ""}} {
		if _, _, refusal := s.Resume(ctx, c.route, c.stream, 4); refusal == nil || refusal.Verdict != core.NotRun || refusal.Code != core.CodeNotContinued {
			t.Errorf("stream %q on %+v: %v", c.stream, c.route.Targets, refusal)
		}
	}
}

// emptyOriginStore answers at once.
type emptyOriginStore struct{}

func (emptyOriginStore) LoadOrigins(_ string, reply func(SavedOrigins, error)) {
	reply(SavedOrigins{}, nil)
}

func (emptyOriginStore) SaveOrigins(saved SavedOrigins, reply func(int64, error)) {
	reply(saved.Version+1, nil)
}

// nobody returns a daemon without peers.
func (cluster *originCluster) nobody() *originDaemon {
	d := &originDaemon{cluster: cluster}
	cluster.daemons = []*originDaemon{d}
	return d
}

// BenchmarkStreamOrigin measures the duty's time for one origin that it records and sends
// to two daemons.
func BenchmarkStreamOrigin(b *testing.B) {
	cluster := newOriginCluster(250)
	d := cluster.daemons[0]
	b.ReportAllocs()
	for i := range b.N {
		d.origins.handleRecorded(StreamOrigin{Stream: streamID(i), Service: "s", Software: "v1"})
		for _, f := range cluster.pending {
			f()
		}
		cluster.pending = nil
		d.origins.loop.RunPending()
	}
}

// BenchmarkRecordOrigin measures the time that the handler of a stream spends on its origin
// before the first event goes out.
func BenchmarkRecordOrigin(b *testing.B) {
	s := newOriginCluster(1).daemons[0].origins
	b.ReportAllocs()
	for b.Loop() {
		s.Record(StreamOrigin{Stream: "a", Service: "s", Software: "v1"})
		s.recorded.TryTake()
	}
}

// BenchmarkHeldOrigins measures the memory of one held origin.
func BenchmarkHeldOrigins(b *testing.B) {
	s := newOriginCluster(1).daemons[0].origins
	b.ReportAllocs()
	for i := range b.N {
		s.hold(StreamOrigin{Stream: core.RequestID(fmt.Sprintf("%016x", i)), Service: "model-service", Software: "v1.1"})
	}
}
