package daemon

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// world is virtual time, an in-memory network, a store and leases for some daemons.
type world struct {
	now     time.Time
	events  eventQueue
	order   uint64
	random  *rand.Rand
	nodes   []*node // every run, ended ones included
	byAddr  map[string]*node
	wires   map[LinkID]*wire
	nextID  LinkID
	dirty   []*node
	cut     map[[2]string]bool // by address or data centre: from, to
	drop    func(e Envelope) bool
	size    func(e Envelope) int
	latency time.Duration
	jitter  time.Duration

	objects    map[string]platform.Object
	revision   int64
	noStore    map[string]bool // by address or data centre
	lostAnswer float64
	slowWrite  float64 // share of writes that take effect seconds later, answer lost
	storeCalls int
	leases     map[string]*fakeLease
	sent       map[string]int  // messages by type
	hosts      []platform.Host // the list of the platform
	hostsAt    int             // version of hosts
	noHosts    map[string]bool // by address
	bytes      int
}

type event struct {
	at    time.Time
	order uint64
	f     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

type wire struct {
	ends   [2]*node
	silent bool
	closed bool
}

type fakeLease struct {
	holder  *node
	fence   int64
	renewed time.Time
}

// node is one run of a daemon. It is also its clock, links, store and watch.
type node struct {
	w        *world
	id       Identity
	peers    *Peers
	config   *Config
	shares   *Shares
	load     *Load
	isDirty  bool
	paused   bool
	ended    bool
	watching bool
	seen     int64 // revision of the watch
	set      *core.ContractSet
	setAt    time.Time
	views    int
	traffic  int // bytes in and out
	relay    *HostRelay
	suspects *Suspects
	polling  bool // of the host list
	polled   int  // version of the host list
	hosts    []platform.Host
	told     []SuspectReport
	amounts  map[ShareKey]shareAmounts
	work     map[ServerKey]int
	reports  []PeerReport
}

type shareAmounts struct {
	base, amount float64
	until        time.Time
}

func (a shareAmounts) at(now time.Time) float64 {
	if now.Before(a.until) {
		return a.amount
	}
	return a.base
}

func newWorld(seed uint64) *world {
	return &world{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[string]*node{}, wires: map[LinkID]*wire{}, cut: map[[2]string]bool{},
		latency: time.Millisecond, objects: map[string]platform.Object{}, noStore: map[string]bool{},
		leases: map[string]*fakeLease{}, sent: map[string]int{}, noHosts: map[string]bool{},
	}
}

func (w *world) at(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, f: f})
}

// run moves virtual time on, one event at a time, and calls check after each.
func (w *world) run(d time.Duration, check func()) {
	end := w.now.Add(d)
	for {
		w.settle()
		if check != nil {
			check()
		}
		if len(w.events) == 0 || w.events[0].at.After(end) {
			w.now = end
			return
		}
		e := heap.Pop(&w.events).(event)
		if e.at.After(w.now) {
			w.now = e.at
		}
		e.f()
	}
}

func (w *world) settle() {
	for len(w.dirty) > 0 {
		n := w.dirty[0]
		w.dirty = w.dirty[1:]
		n.isDirty = false
		if n.paused || n.ended {
			continue
		}
		for n.step() > 0 {
		}
	}
}

func (n *node) step() int {
	return n.peers.loop.RunPending() + n.config.loop.RunPending() + n.shares.loop.RunPending() + n.load.loop.RunPending() +
		n.relay.loop.RunPending() + n.suspects.loop.RunPending()
}

func (n *node) touch() {
	if !n.isDirty {
		n.isDirty = true
		n.w.dirty = append(n.w.dirty, n)
	}
}

func (n *node) Now() time.Time { return n.w.now }

func (n *node) AfterFunc(d time.Duration, f func()) func() bool {
	stopped := false
	n.w.at(d, func() {
		if !stopped && !n.ended {
			f()
			n.touch()
		}
	})
	return func() bool { stopped = true; return true }
}

func (w *world) isCut(from, to *node) bool {
	a, b := from.id, to.id
	return w.cut[[2]string{a.Address, b.Address}] || w.cut[[2]string{a.DataCentre, b.DataCentre}]
}

func (w *world) cutBoth(a, b string, cut bool) {
	w.cut[[2]string{a, b}] = cut
	w.cut[[2]string{b, a}] = cut
}

func (n *node) deliver(e LinkEvent) {
	if !n.ended {
		n.peers.Deliver(e)
		n.touch()
	}
}

func (w *world) delay() time.Duration {
	if w.jitter == 0 {
		return w.latency
	}
	return w.latency + time.Duration(w.random.Int64N(int64(w.jitter)))
}

func (n *node) Dial(address string) {
	w := n.w
	target := w.byAddr[address]
	if target == nil || target.ended {
		w.at(w.latency, func() { n.deliver(LinkEvent{Kind: LinkDialFailed, Address: address}) })
		return
	}
	if w.isCut(n, target) || w.isCut(target, n) {
		w.at(dialTimeout, func() { n.deliver(LinkEvent{Kind: LinkDialFailed, Address: address}) })
		return
	}
	w.nextID++
	id := w.nextID
	w.wires[id] = &wire{ends: [2]*node{n, target}}
	w.at(w.delay(), func() {
		n.deliver(LinkEvent{Kind: LinkOpened, Link: id, Address: address})
		target.deliver(LinkEvent{Kind: LinkOpened, Link: id})
	})
}

func (w *world) other(id LinkID, n *node) (*wire, *node) {
	l := w.wires[id]
	if l == nil || l.closed {
		return nil, nil
	}
	if l.ends[0] == n {
		return l, l.ends[1]
	}
	return l, l.ends[0]
}

func (n *node) Send(id LinkID, e Envelope) bool {
	w := n.w
	l, to := w.other(id, n)
	if l == nil {
		return false
	}
	w.sent[fmt.Sprintf("%T", e.Message)]++
	if w.size != nil {
		size := w.size(e)
		w.bytes += size
		n.traffic += size
		to.traffic += size
	}
	if l.silent || w.isCut(n, to) || (w.drop != nil && w.drop(e)) {
		return true
	}
	w.at(w.delay(), func() {
		if !l.closed {
			to.deliver(LinkEvent{Kind: LinkMessageReceived, Link: id, Envelope: e})
		}
	})
	return true
}

func (n *node) Close(id LinkID) {
	l, to := n.w.other(id, n)
	if l == nil {
		return
	}
	l.closed = true
	delete(n.w.wires, id)
	if !l.silent && !n.w.isCut(n, to) {
		n.w.at(n.w.latency, func() { to.deliver(LinkEvent{Kind: LinkClosed, Link: id}) })
	}
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("duty", "test")
}

// start adds a run of a daemon that knows the given addresses.
func (w *world) start(name, dataCentre, address string, peers ...string) *node {
	n := &node{w: w, amounts: map[ShareKey]shareAmounts{}}
	if old := w.byAddr[address]; old != nil {
		w.end(old)
	}
	n.id = Identity{Name: name, DataCentre: dataCentre, Address: address,
		Incarnation: Incarnation{Start: w.now.UnixNano(), Random: w.random.Uint64()}}
	n.peers = NewPeers(PeersOptions{Self: n.id, Peers: peers, Clock: n, Random: w.random, Links: n})
	n.shares = NewShares(n.id, n, quietLog(), n.peers, n, func(c core.CustomerID, l Limit, amount float64, until time.Time) {
		a := n.amounts[ShareKey{c, l}]
		if until.IsZero() {
			a.base = amount
		} else {
			a.amount, a.until = amount, until
		}
		n.amounts[ShareKey{c, l}] = a
	})
	n.config = NewConfig(n, quietLog(), func(set *core.ContractSet) {
		n.set, n.setAt = set, w.now
		n.shares.SetContracts(set)
	})
	n.load = NewLoad(n, n.peers, func(r []PeerReport) { n.reports = append(n.reports, r...) }, func(m map[ServerKey]int) { n.work = m })
	n.relay = NewHostRelay(n.id, n, n.peers, hostPoll{n}, func(hosts []platform.Host) { n.hosts = hosts })
	n.suspects = NewSuspects(n.id, n, n.peers, func(r SuspectReport) { n.told = append(n.told, r) })
	n.peers.OnMembers(n.relay.SetMembers)
	n.peers.OnMembers(n.suspects.SetMembers)
	n.config.Connect(n.peers, n)
	n.peers.OnMembers(n.config.SetMembers)
	n.peers.OnMembers(n.shares.SetMembers)
	n.peers.OnMembers(func(*MembersView) { n.views++ })
	for _, receive := range []MessageListener{n.config.Receive, n.shares.Receive, n.load.Receive, n.relay.Receive, n.suspects.Receive} {
		n.peers.OnMessage(receive)
	}
	w.nodes = append(w.nodes, n)
	w.byAddr[address] = n
	n.touch()
	return n
}

// end kills the run; its connections are reset.
func (w *world) end(n *node) {
	n.ended = true
	n.watching = false
	ids := make([]LinkID, 0, len(w.wires))
	for id := range w.wires {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if l := w.wires[id]; l.ends[0] == n || l.ends[1] == n {
			n.Close(id)
		}
	}
}

// cluster starts perDC daemons in each of the data centres dc0, dc1 and so on.
// The first daemon of each data centre is known to the others from the settings.
func (w *world) cluster(dataCentres, perDC int) {
	var seeds []string
	for dc := range dataCentres {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.0:1", dc))
	}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc%d", dc)
		for i := range perDC {
			n := w.start(fmt.Sprintf("d%d", i), name, fmt.Sprintf("10.%d.0.%d:1", dc, i), seeds[dc])
			var contacts []PeerAddress
			for other, address := range seeds {
				contacts = append(contacts, PeerAddress{Address: address, DataCentre: fmt.Sprintf("dc%d", other)})
			}
			n.peers.AddPeerAddresses(contacts)
		}
	}
}

func (n *node) state(of *node) MemberState {
	if m := n.peers.members[of.id.ID()]; m != nil && m.Incarnation == of.id.Incarnation {
		return m.state
	}
	return MemberState(-1)
}

func wantState(t *testing.T, at, of *node, want MemberState) {
	t.Helper()
	if got := at.state(of); got != want {
		t.Errorf("%s/%s sees %s/%s as %v, want %v", at.id.DataCentre, at.id.Name, of.id.DataCentre, of.id.Name, int(got), want)
	}
}
