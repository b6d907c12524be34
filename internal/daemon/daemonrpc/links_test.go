package daemonrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// eventTimeout is far longer than any wait in these tests takes on a busy
// machine.
const eventTimeout = time.Minute

func newTestLinks(t testing.TB, goroutines int) *Links {
	t.Helper()
	pool, err := duty.NewPool("links", goroutines)
	if err != nil {
		t.Fatal(err)
	}
	links, err := Listen(Options{Address: "127.0.0.1:0", Pool: pool})
	if err != nil {
		t.Fatal(err)
	}
	runner, err := duty.NewRunner(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { runner.Stop(context.Background()); pool.Release() })
	if err := runner.Serve("daemons", links.Serve, links.Shutdown); err != nil {
		t.Fatal(err)
	}
	return links
}

var sampleIdentity = daemon.Identity{Name: "d0", DataCentre: "regina", Address: "10.0.0.1:7302", Incarnation: daemon.Incarnation{Start: 5, Random: 6}}

func sampleMessages() []daemon.Message {
	key := daemon.ShareKey{Customer: "prairie", Limit: daemon.LimitRequests}
	amounts := []daemon.ShareAmount{{Key: key, Units: 7}}
	indexed := []daemon.IndexedAmount{{Index: 0, Units: 8}, {Index: 300, Units: 9}}
	host := platform.Host{
		Name: "h", Role: platform.RoleBackend, Address: "10.0.0.2:1", DataCentre: "regina", Region: "west",
		State: platform.HostLeaving, Service: "wear-model", ServerKind: "a", ChecksFence: true,
	}
	return []daemon.Message{
		daemon.Heartbeat{Sequence: 1, EchoedSequence: 2, EchoAge: 3, ReceiverIncarnation: sampleIdentity.Incarnation, MembersDigest: 4,
			Config: daemon.ConfigState{Digest: 5, Revision: 6, Ready: true}, OutstandingWork: []daemon.ServerWork{{Server: 7, Outstanding: 8}}, IsFullWork: true},
		daemon.MemberList{DataCentre: "regina", Version: 9, Members: []daemon.MemberInfo{{Identity: sampleIdentity, State: daemon.MemberSuspect}}},
		daemon.Leave{},
		daemon.Contracts{Revision: 3, Full: true, Ready: true, Contracts: []core.StoredContract{
			{Customer: "prairie", Version: 2, Revision: 3, Contract: &core.Contract{Customer: "prairie", Limits: core.Limits{Concurrency: 4}}},
			{Customer: "kartvel", Version: 5, Revision: 1, Deleted: true},
		}},
		daemon.ContractsRequest{Revision: 3, Versions: []daemon.ContractVersion{{Customer: "prairie", Version: 2}}},
		daemon.LoadReports{Reports: []daemon.ServerReport{{Server: "s1", Age: time.Second, Running: 2, Waiting: 3, KVUsed: 0.5}}},
		daemon.ShareDemand{Sequence: 1, AllocationVersion: 2, BaseUnits: 3, BasesDigest: 4, Requested: indexed},
		daemon.ShareGrants{Sequence: 1, Fence: 2, AllocationVersion: 3, BaseUnits: 4, BaseConfirmed: true, BasesDigest: 5, Bases: amounts, Grants: indexed},
		daemon.ShareTransferRequest{DataCentre: "regina", Requested: amounts},
		daemon.ShareTransferred{Customer: "prairie"},
		daemon.HostChanges{Sequence: 1, Full: true, Hosts: []daemon.HostEntry{{Host: host, Age: 2}}, Removed: []string{"gone"}},
		daemon.HostDigest{Sequence: 1, Digest: 2},
		daemon.HostListRequest{},
		daemon.SuspectReport{
			Suspects:        []daemon.SuspectRequest{{Fingerprint: 1 << 63, CrashesAlone: 2, Remaining: 3}},
			ConfirmedCauses: []daemon.ConfirmedCause{{Fingerprint: 4, Remaining: 5}},
		},
	}
}

// Guards against a field that the encoding loses, and against a wrong sender
// when the identity is left out of a message.
func TestEveryMessageRoundTrips(t *testing.T) {
	var stream bytes.Buffer
	e := &encoder{w: &stream}
	d := &decoder{r: &stream}
	other := sampleIdentity
	other.Name = "d1"
	for i, m := range sampleMessages() {
		sent := daemon.Envelope{From: sampleIdentity, Message: m}
		if i%3 == 2 {
			sent.From = other
			sent.ToDataCentre = "brandon"
		}
		if _, err := e.write(sent); err != nil {
			t.Fatal(err)
		}
		got, _, err := d.read()
		if err != nil || !reflect.DeepEqual(got, sent) {
			t.Errorf("sent %+v, got %+v, %v", sent, got, err)
		}
	}
}

// Guards against memory that a peer claims with a length prefix, and against a
// large set of contracts that is never delivered.
func TestMessageSizeIsBounded(t *testing.T) {
	var stream bytes.Buffer
	stream.Write(binary.BigEndian.AppendUint32(nil, MaxMessageBytes+1))
	if _, _, err := (&decoder{r: &stream}).read(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a length over the limit gives %v", err)
	}
	stream.Reset()
	large := daemon.Contracts{Full: true}
	for i := range 5 {
		name := strings.Repeat("x", MaxMessageBytes/3)
		contract := &core.Contract{Services: []core.Service{{Name: name}}}
		large.Contracts = append(large.Contracts, core.StoredContract{Customer: "a", Version: int64(i), Contract: contract})
	}
	if _, err := (&encoder{w: &stream}).write(daemon.Envelope{From: sampleIdentity, Message: large}); err != nil {
		t.Fatal(err)
	}
	d := &decoder{r: &stream}
	var got []core.StoredContract
	for full := false; !full; {
		envelope, n, err := d.read()
		if err != nil || n > MaxMessageBytes+lengthBytes {
			t.Fatalf("%d bytes, %v", n, err)
		}
		part := envelope.Message.(daemon.Contracts)
		got = append(got, part.Contracts...)
		full = part.Full
	}
	if len(got) != len(large.Contracts) {
		t.Errorf("%d of %d contracts arrived", len(got), len(large.Contracts))
	}
}

// Guards against a sender that waits for a peer that does not read, and
// against a link to such a peer that stays open.
func TestUnresponsivePeerDoesNotBlockSender(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	links := newTestLinks(t, 8)
	events := ring.New[daemon.LinkEvent]("events", 64)
	links.SetEventHandler(events.TryPut)
	links.Dial(listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	opened, _ := events.Take(ctx)
	if opened.Kind != daemon.LinkOpened {
		t.Fatalf("event %+v", opened)
	}
	work := make([]daemon.ServerWork, 100_000)
	rejected := 0
	for range 4 * outgoingCapacity {
		if !links.Send(opened.Link, daemon.Envelope{From: sampleIdentity, Message: daemon.Heartbeat{OutstandingWork: work}}) {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("a full ring accepted every message")
	}
	if closed, ok := events.Take(ctx); !ok || closed.Kind != daemon.LinkClosed {
		t.Errorf("the link to the unresponsive peer gives %+v", closed)
	}
}

type runningDaemon struct {
	links  *Links
	peers  *daemon.Peers
	views  *ring.Ring[*daemon.MembersView]
	sets   *ring.Ring[*core.ContractSet]
	config *daemon.Config
	runner *duty.Runner
}

type noopWatch struct{}

func (noopWatch) SetActive(bool) {}

func startDaemon(t testing.TB, name string, known ...string) *runningDaemon {
	t.Helper()
	clock := duty.SystemClock{}
	d := &runningDaemon{
		links: newTestLinks(t, 64),
		views: ring.New[*daemon.MembersView]("views", 1),
		sets:  ring.New[*core.ContractSet]("sets", 64),
	}
	self := daemon.Identity{Name: name, DataCentre: "regina", Address: d.links.Address(), Incarnation: daemon.Incarnation{Start: clock.Now().UnixNano()}}
	d.peers = daemon.NewPeers(daemon.PeersOptions{Self: self, Peers: known, Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Links: d.links})
	d.config = daemon.NewConfig(clock, nil, d.sets.PutLatest)
	d.config.Connect(d.peers, noopWatch{})
	d.peers.OnMembers(d.views.PutLatest)
	d.peers.OnMembers(d.config.SetMembers)
	d.peers.OnMessage(d.config.Receive)
	d.links.SetEventHandler(d.peers.Deliver)
	runner, err := duty.NewRunner(2)
	if err != nil {
		t.Fatal(err)
	}
	d.runner = runner
	for _, loop := range []*duty.Loop{d.peers.Loop(), d.config.Loop()} {
		if err := runner.Start(loop); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { runner.Stop(context.Background()) })
	return d
}

func (d *runningDaemon) waitForLive(t testing.TB, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for {
		v, ok := d.views.Take(ctx)
		if !ok {
			t.Fatalf("no view with %d live daemons", n)
		}
		if len(v.LiveNames()) == n {
			return
		}
	}
}

// Guards against duties that work only with the simulated network: three
// daemons connect over loopback, and a contract reaches all of them.
func TestDaemonsConnectOverLoopback(t *testing.T) {
	first := startDaemon(t, "d0")
	daemons := []*runningDaemon{first, startDaemon(t, "d1", first.links.Address()), startDaemon(t, "d2", first.links.Address())}
	for _, d := range daemons {
		d.waitForLive(t, 3)
	}
	daemons[1].config.Deliver(contractSnapshot(4))
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for _, d := range daemons {
		set, ok := d.sets.Take(ctx)
		if !ok || set.Contracts["prairie"].Version != 4 {
			t.Errorf("got the set %+v", set)
		}
	}
	daemons[2].peers.Leave()
	first.waitForLive(t, 2)
}
