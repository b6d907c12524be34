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

// simulation runs daemons with virtual time, an in-memory network, a store and
// leases.
type simulation struct {
	now         time.Time
	events      eventQueue
	lastOrder   uint64
	random      *rand.Rand
	daemons     []*simDaemon // every run, including ended ones
	byAddress   map[string]*simDaemon
	links       map[LinkID]*simLink
	nextID      LinkID
	runnable    []*simDaemon
	isBlocked   map[[2]string]bool // from and to, each an address or a data centre
	isLost      func(e Envelope) bool
	messageSize func(e Envelope) int
	latency     time.Duration
	jitter      time.Duration

	objects        map[string]platform.Object
	revision       int64
	isStoreDown    map[string]bool // by address or data centre; "" for all
	lostReplyRate  float64
	slowWriteRate  float64 // fraction of writes that take effect seconds later and whose reply is lost
	storeCalls     int
	leases         map[string]*simLease
	sentByType     map[string]int  // number of messages
	hosts          []platform.Host // the platform's host list
	hostsVersion   int             // version of hosts
	isHostListDown map[string]bool // by address
	sentBytes      int
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

type simLink struct {
	ends     [2]*simDaemon
	isSilent bool
	isClosed bool
}

type simLease struct {
	holder  *simDaemon
	fence   int64
	renewed time.Time
}

// simDaemon is one run of a daemon. It also implements its clock, links, store
// and watch.
type simDaemon struct {
	sim             *simulation
	id              Identity
	peers           *Peers
	config          *Config
	shares          *Shares
	load            *Load
	isRunnable      bool
	isPaused        bool
	hasEnded        bool
	isWatching      bool
	watchRevision   int64 // last revision delivered by the watch
	set             *core.ContractSet
	setAt           time.Time
	views           int
	trafficBytes    int // received and sent
	relay           *HostRelay
	suspects        *Suspects
	isPolling       bool // whether it polls the host list
	polledVersion   int  // version of the last host list delivered
	hosts           []platform.Host
	receivedReports []SuspectReport
	amounts         map[ShareKey]shareAmounts
	work            map[ServerKey]int
	reports         []PeerReport
}

type shareAmounts struct {
	base, amount float64
	until        time.Time
}

func (a shareAmounts) usableAt(now time.Time) float64 {
	if now.Before(a.until) {
		return a.amount
	}
	return a.base
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[string]*simDaemon{}, links: map[LinkID]*simLink{}, isBlocked: map[[2]string]bool{},
		latency: time.Millisecond, objects: map[string]platform.Object{}, isStoreDown: map[string]bool{},
		leases: map[string]*simLease{}, sentByType: map[string]int{}, isHostListDown: map[string]bool{},
	}
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.lastOrder++
	heap.Push(&sim.events, event{at: sim.now.Add(d), order: sim.lastOrder, f: f})
}

// run advances virtual time, one event at a time, and calls check after each
// event.
func (sim *simulation) run(d time.Duration, check func()) {
	end := sim.now.Add(d)
	for {
		sim.runUntilIdle()
		if check != nil {
			check()
		}
		if len(sim.events) == 0 || sim.events[0].at.After(end) {
			sim.now = end
			return
		}
		e := heap.Pop(&sim.events).(event)
		if e.at.After(sim.now) {
			sim.now = e.at
		}
		e.f()
	}
}

func (sim *simulation) runUntilIdle() {
	for len(sim.runnable) > 0 {
		n := sim.runnable[0]
		sim.runnable = sim.runnable[1:]
		n.isRunnable = false
		if n.isPaused || n.hasEnded {
			continue
		}
		for n.step() > 0 {
		}
	}
}

func (n *simDaemon) step() int {
	return n.peers.loop.RunPending() + n.config.loop.RunPending() + n.shares.loop.RunPending() + n.load.loop.RunPending() +
		n.relay.loop.RunPending() + n.suspects.loop.RunPending()
}

func (n *simDaemon) markRunnable() {
	if !n.isRunnable {
		n.isRunnable = true
		n.sim.runnable = append(n.sim.runnable, n)
	}
}

func (n *simDaemon) Now() time.Time { return n.sim.now }

func (n *simDaemon) AfterFunc(d time.Duration, f func()) func() bool {
	stopped := false
	n.sim.after(d, func() {
		if !stopped && !n.hasEnded {
			f()
			n.markRunnable()
		}
	})
	return func() bool { stopped = true; return true }
}

func (sim *simulation) isLinkBlocked(from, to *simDaemon) bool {
	a, b := from.id, to.id
	return sim.isBlocked[[2]string{a.Address, b.Address}] || sim.isBlocked[[2]string{a.DataCentre, b.DataCentre}]
}

func (sim *simulation) setPartition(a, b string, isPartitioned bool) {
	sim.isBlocked[[2]string{a, b}] = isPartitioned
	sim.isBlocked[[2]string{b, a}] = isPartitioned
}

func (n *simDaemon) deliver(e LinkEvent) {
	if !n.hasEnded {
		n.peers.Deliver(e)
		n.markRunnable()
	}
}

func (sim *simulation) delay() time.Duration {
	if sim.jitter == 0 {
		return sim.latency
	}
	return sim.latency + time.Duration(sim.random.Int64N(int64(sim.jitter)))
}

func (n *simDaemon) Dial(address string) {
	sim := n.sim
	target := sim.byAddress[address]
	if target == nil || target.hasEnded {
		sim.after(sim.latency, func() { n.deliver(LinkEvent{Kind: LinkDialFailed, Address: address}) })
		return
	}
	if sim.isLinkBlocked(n, target) || sim.isLinkBlocked(target, n) {
		sim.after(dialTimeout, func() { n.deliver(LinkEvent{Kind: LinkDialFailed, Address: address}) })
		return
	}
	sim.nextID++
	id := sim.nextID
	sim.links[id] = &simLink{ends: [2]*simDaemon{n, target}}
	sim.after(sim.delay(), func() {
		n.deliver(LinkEvent{Kind: LinkOpened, Link: id, Address: address})
		target.deliver(LinkEvent{Kind: LinkOpened, Link: id})
	})
}

func (sim *simulation) otherEnd(id LinkID, n *simDaemon) (*simLink, *simDaemon) {
	l := sim.links[id]
	if l == nil || l.isClosed {
		return nil, nil
	}
	if l.ends[0] == n {
		return l, l.ends[1]
	}
	return l, l.ends[0]
}

func (n *simDaemon) Send(id LinkID, e Envelope) bool {
	sim := n.sim
	l, to := sim.otherEnd(id, n)
	if l == nil {
		return false
	}
	sim.sentByType[fmt.Sprintf("%T", e.Message)]++
	if sim.messageSize != nil {
		size := sim.messageSize(e)
		sim.sentBytes += size
		n.trafficBytes += size
		to.trafficBytes += size
	}
	if l.isSilent || sim.isLinkBlocked(n, to) || (sim.isLost != nil && sim.isLost(e)) {
		return true
	}
	sim.after(sim.delay(), func() {
		if !l.isClosed {
			to.deliver(LinkEvent{Kind: LinkMessageReceived, Link: id, Envelope: e})
		}
	})
	return true
}

func (n *simDaemon) Close(id LinkID) {
	l, to := n.sim.otherEnd(id, n)
	if l == nil {
		return
	}
	l.isClosed = true
	delete(n.sim.links, id)
	if !l.isSilent && !n.sim.isLinkBlocked(n, to) {
		n.sim.after(n.sim.latency, func() { to.deliver(LinkEvent{Kind: LinkClosed, Link: id}) })
	}
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("duty", "test")
}

// startDaemon starts a run of a daemon that knows the given addresses, and
// kills an earlier run at its address.
func (sim *simulation) startDaemon(name, dataCentre, address string, peers ...string) *simDaemon {
	n := &simDaemon{sim: sim, amounts: map[ShareKey]shareAmounts{}}
	if old := sim.byAddress[address]; old != nil {
		sim.kill(old)
	}
	n.id = Identity{Name: name, DataCentre: dataCentre, Address: address,
		Incarnation: Incarnation{Start: sim.now.UnixNano(), Random: sim.random.Uint64()}}
	n.peers = NewPeers(PeersOptions{Self: n.id, Peers: peers, Clock: n, Random: sim.random, Links: n})
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
		n.set, n.setAt = set, sim.now
		n.shares.SetContracts(set)
	})
	n.load = NewLoad(n, n.peers, func(r []PeerReport) { n.reports = append(n.reports, r...) }, func(m map[ServerKey]int) { n.work = m })
	n.relay = NewHostRelay(n.id, n, n.peers, simHostPoller{n}, func(hosts []platform.Host) { n.hosts = hosts })
	n.suspects = NewSuspects(n.id, n, n.peers, func(r SuspectReport) { n.receivedReports = append(n.receivedReports, r) })
	n.peers.OnMembers(n.relay.SetMembers)
	n.peers.OnMembers(n.suspects.SetMembers)
	n.config.Connect(n.peers, n)
	n.peers.OnMembers(n.config.SetMembers)
	n.peers.OnMembers(n.shares.SetMembers)
	n.peers.OnMembers(func(*MembersView) { n.views++ })
	for _, receive := range []MessageListener{n.config.Receive, n.shares.Receive, n.load.Receive, n.relay.Receive, n.suspects.Receive} {
		n.peers.OnMessage(receive)
	}
	sim.daemons = append(sim.daemons, n)
	sim.byAddress[address] = n
	n.markRunnable()
	return n
}

// kill ends the run without notice and resets its connections.
func (sim *simulation) kill(n *simDaemon) {
	n.hasEnded = true
	n.isWatching = false
	ids := make([]LinkID, 0, len(sim.links))
	for id := range sim.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if l := sim.links[id]; l.ends[0] == n || l.ends[1] == n {
			n.Close(id)
		}
	}
}

// startCluster starts daemons in the data centres dc0, dc1 and so on. The
// settings of each daemon contain the address of the first one of its data
// centre.
func (sim *simulation) startCluster(dataCentres, daemonsPerDataCentre int) {
	var seeds []string
	for dc := range dataCentres {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.0:1", dc))
	}
	for dc := range dataCentres {
		name := fmt.Sprintf("dc%d", dc)
		for i := range daemonsPerDataCentre {
			n := sim.startDaemon(fmt.Sprintf("d%d", i), name, fmt.Sprintf("10.%d.0.%d:1", dc, i), seeds[dc])
			var addresses []PeerAddress
			for other, address := range seeds {
				addresses = append(addresses, PeerAddress{Address: address, DataCentre: fmt.Sprintf("dc%d", other)})
			}
			n.peers.AddPeerAddresses(addresses)
		}
	}
}

func (n *simDaemon) state(of *simDaemon) MemberState {
	if m := n.peers.members[of.id.ID()]; m != nil && m.Incarnation == of.id.Incarnation {
		return m.state
	}
	return MemberState(-1)
}

func wantState(t *testing.T, at, of *simDaemon, want MemberState) {
	t.Helper()
	if got := at.state(of); got != want {
		t.Errorf("%s/%s sees %s/%s as %v, want %v", at.id.DataCentre, at.id.Name, of.id.DataCentre, of.id.Name, int(got), want)
	}
}
