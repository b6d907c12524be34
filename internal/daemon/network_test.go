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
	sent       map[string]int // messages by type
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
		leases: map[string]*fakeLease{}, sent: map[string]int{},
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
	return n.peers.loop.Step() + n.config.loop.Step() + n.shares.loop.Step() + n.load.loop.Step()
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
		w.at(w.latency, func() { n.deliver(LinkEvent{Kind: LinkFailed, Address: address}) })
		return
	}
	if w.isCut(n, target) || w.isCut(target, n) {
		w.at(dialTimeout, func() { n.deliver(LinkEvent{Kind: LinkFailed, Address: address}) })
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
			to.deliver(LinkEvent{Kind: LinkMessage, Link: id, Envelope: e})
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

// storeCut reports whether the node is without the store.
func (n *node) storeCut() bool {
	return n.w.noStore[""] || n.w.noStore[n.id.Address] || n.w.noStore[n.id.DataCentre]
}

func (n *node) Submit(op platform.Op) bool {
	w := n.w
	w.storeCalls++
	reply := func(r platform.Result) { w.at(w.delay(), func() { op.Reply(r); n.touch() }) }
	if n.storeCut() {
		reply(platform.Result{Err: platform.ErrUnavailable})
		return true
	}
	if op.Kind != platform.OpGet && w.random.Float64() < w.slowWrite {
		w.at(time.Duration(w.random.Int64N(int64(8*time.Second))), func() { w.apply(op) })
		w.at(time.Second, func() { op.Reply(platform.Result{Err: platform.ErrUnknownOutcome}); n.touch() })
		return true
	}
	w.at(w.delay(), func() {
		r := w.apply(op)
		if w.random.Float64() < w.lostAnswer {
			r = platform.Result{Err: platform.ErrUnknownOutcome}
		}
		reply(r)
	})
	return true
}

func (w *world) apply(op platform.Op) platform.Result {
	current, found := w.objects[op.Key]
	if op.Kind == platform.OpGet {
		if !found {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	}
	if current.Version != op.IfVersion {
		return platform.Result{Err: platform.ErrConflict}
	}
	return platform.Result{Object: w.put(op.Key, op.Value, false)}
}

func (w *world) put(key string, value []byte, deleted bool) platform.Object {
	w.revision++
	o := platform.Object{Key: key, Version: w.objects[key].Version + 1, Revision: w.revision, Value: value, Deleted: deleted}
	w.objects[key] = o
	if _, isContract := cutPrefix(key); isContract {
		for _, n := range w.nodes {
			n.notify()
		}
	}
	return o
}

func cutPrefix(key string) (string, bool) {
	if len(key) < len(ContractPrefix) || key[:len(ContractPrefix)] != ContractPrefix {
		return "", false
	}
	return key[len(ContractPrefix):], true
}

// notify ends the node's waiting watch call with the changes since the last one.
// While the store is out of reach the call is made again.
func (n *node) notify() {
	if !n.watching || n.ended || n.seen == n.w.revision {
		return
	}
	n.w.storeCalls++
	if n.storeCut() {
		n.w.at(250*time.Millisecond, n.notify)
		return
	}
	n.deliverStore(n.seen == 0, n.seen)
}

// deliverStore sends the contracts that changed after the revision.
func (n *node) deliverStore(full bool, after int64) {
	s := platform.Snapshot{Revision: n.w.revision, Full: full}
	for key, o := range n.w.objects {
		if _, isContract := cutPrefix(key); isContract && o.Revision > after {
			s.Objects = append(s.Objects, o)
		}
	}
	n.seen = n.w.revision
	n.w.at(n.w.delay(), func() { n.config.Deliver(s); n.touch() })
}

func (n *node) SetActive(active bool) {
	n.watching = active
	if active {
		n.list()
	}
}

func (n *node) list() {
	if !n.watching || n.ended {
		return
	}
	n.w.storeCalls++
	if n.storeCut() {
		n.w.at(250*time.Millisecond, n.list)
		return
	}
	n.deliverStore(true, 0)
}

func (w *world) setContract(customer string, requests float64) platform.Object {
	value := fmt.Sprintf(`{"customer":%q,"limits":{"requestsPerSecond":%g}}`, customer, requests)
	return w.put(ContractPrefix+customer, []byte(value), false)
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
	n.config.Connect(n.peers, n)
	n.peers.OnMembers(n.config.SetMembers)
	n.peers.OnMembers(n.shares.SetMembers)
	n.peers.OnMembers(func(*MembersView) { n.views++ })
	for _, receive := range []MessageListener{n.config.Receive, n.shares.Receive, n.load.Receive} {
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
			var contacts []Contact
			for other, address := range seeds {
				contacts = append(contacts, Contact{Address: address, DataCentre: fmt.Sprintf("dc%d", other)})
			}
			n.peers.SetHosts(contacts)
		}
	}
}

// keepLeases renews the shares owners' leases and lets others take them over,
// with the timings of the design page.
func (w *world) keepLeases() {
	const duration = 4 * time.Second
	for _, n := range w.nodes {
		if n.ended || n.paused || n.storeCut() {
			continue
		}
		l := w.leases[n.id.DataCentre]
		if l == nil {
			l = &fakeLease{}
			w.leases[n.id.DataCentre] = l
		}
		free := w.now.Sub(l.renewed) >= duration+duration/8
		if l.holder == n || free {
			if l.holder != n {
				l.holder = n
				l.fence++
			}
			l.renewed = w.now
			n.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: w.now.Add(duration * 3 / 4)})
			n.touch()
		}
	}
	w.at(500*time.Millisecond, w.keepLeases)
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
