package daemon

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Timings of membership.
const (
	HeartbeatPeriod = time.Second
	SuspectAfter    = 3 * time.Second
	DeadAfter       = 6 * time.Second
	// SettleTimeout is how long a daemon waits for its first neighbours.
	SettleTimeout = 2 * time.Second

	checkPeriod  = 500 * time.Millisecond
	dialTimeout  = 2 * time.Second // a dial without an outcome is tried again after this
	redialMin    = 500 * time.Millisecond
	redialMax    = 5 * time.Second
	replyPeriod  = 200 * time.Millisecond // bounds heartbeats sent in answer to others
	forgetAfter  = 10 * time.Minute       // dead members; long enough that no old list is still under way
	orphanPeriod = 3 * time.Second        // a link without any message is closed after this
)

// GatewaysPerDataCentre is the number of daemons per data centre that exchange digests.
const GatewaysPerDataCentre = 2

// Capacities of the peers duty's rings. A refused event is repaired by the next
// heartbeat; link ends are also found by silence.
const (
	linkRingCapacity = 2048
	sendRingCapacity = 1024
)

// MembersListener receives each new view. It must not wait.
type MembersListener func(*MembersView)

// MessageListener receives the messages of other daemons. It must not wait.
type MessageListener func(from Identity, m Message)

// Sender sends messages to other daemons. No method waits; each reports whether
// the message was queued, which does not prove that it arrives.
type Sender interface {
	Send(to PeerID, m Message) bool
	Broadcast(m Message) bool                           // to the live members of this data centre
	SendToDataCentre(dataCentre string, m Message) bool // to a gateway there
}

// PeersOptions are the parameters of the peers duty.
type PeersOptions struct {
	Self  Identity
	Peers []string // addresses from the settings
	// WaitForHostList makes the first view wait for SetHosts, within the start window.
	WaitForHostList bool
	Clock           duty.Clock
	Random          *rand.Rand
	Links           Links
	Log             *logrus.Entry
}

type outgoing struct {
	to         PeerID
	dataCentre string
	all        bool
	message    Message
}

type link struct {
	id      LinkID
	address string
	peer    PeerID
	known   bool // peer is set
	opened  time.Time
	heard   time.Time
}

type dial struct {
	pending  bool
	started  time.Time
	next     time.Time
	failures int
}

// Peers is the duty that owns the membership and the links.
type Peers struct {
	loop   *duty.Loop
	o      PeersOptions
	self   Identity
	start  time.Time
	events *ring.Ring[LinkEvent]
	sends  *ring.Ring[outgoing]
	hosts  *ring.Ring[[]PeerAddress]
	config *ring.Ring[ConfigState]
	works  *ring.Ring[[]ServerWork]
	leaves *ring.Ring[struct{}]

	members   map[PeerID]*member
	remote    map[string]MemberList
	heardFrom map[string]time.Time // data centre -> last message
	links     map[LinkID]*link
	dials     map[string]*dial
	contacts  map[string]PeerAddress
	bound     map[string]PeerID // address -> daemon that answered there

	configState ConfigState
	work        workSender
	sequence    uint64
	stamp       int64
	lastBeat    time.Time
	hostsRead   bool
	settled     bool
	leaving     bool
	view        *MembersView
	digest      uint64 // of the live members, renewed with the view
	onMembers   []MembersListener
	onMessage   []MessageListener
}

// NewPeers returns the peers duty.
func NewPeers(o PeersOptions) *Peers {
	p := &Peers{
		loop:      duty.New("peers", o.Clock),
		o:         o,
		self:      o.Self,
		start:     o.Clock.Now(),
		events:    ring.New[LinkEvent]("peers.links", linkRingCapacity),
		sends:     ring.New[outgoing]("peers.sends", sendRingCapacity),
		hosts:     ring.New[[]PeerAddress]("peers.hosts", 1),
		config:    ring.New[ConfigState]("peers.config", 1),
		works:     ring.New[[]ServerWork]("peers.work", 1),
		leaves:    ring.New[struct{}]("peers.leaves", 1),
		members:   map[PeerID]*member{},
		remote:    map[string]MemberList{},
		heardFrom: map[string]time.Time{},
		links:     map[LinkID]*link{},
		dials:     map[string]*dial{},
		contacts:  map[string]PeerAddress{},
		bound:     map[string]PeerID{},
	}
	for _, address := range o.Peers {
		p.addContact(PeerAddress{Address: address})
	}
	p.work.beats = o.Random.IntN(fullWorkEvery)
	duty.On(p.loop, p.events, p.handleLink)
	duty.On(p.loop, p.sends, p.handleSend)
	duty.On(p.loop, p.hosts, p.handleHosts)
	duty.On(p.loop, p.config, func(s ConfigState) { p.configState = s })
	duty.On(p.loop, p.works, func(w []ServerWork) { p.work.current = w })
	duty.On(p.loop, p.leaves, p.handleLeave)
	p.loop.After(0, p.check)
	p.loop.Every(checkPeriod, p.check)
	return p
}

// Loop returns the duty's loop.
func (p *Peers) Loop() *duty.Loop { return p.loop }

// OnMembers adds a listener of the membership, before the loop runs.
func (p *Peers) OnMembers(l MembersListener) { p.onMembers = append(p.onMembers, l) }

// OnMessage adds a listener of messages, before the loop runs.
func (p *Peers) OnMessage(l MessageListener) { p.onMessage = append(p.onMessage, l) }

// Deliver takes an event from the links and reports whether there was room.
func (p *Peers) Deliver(e LinkEvent) bool { return p.events.TryPut(e) }

// AddPeerAddresses takes the addresses of daemons in the host list, which only adds.
func (p *Peers) AddPeerAddresses(contacts []PeerAddress) { p.hosts.PutLatest(contacts) }

// SetConfig takes the state of the contracts for the heartbeats.
func (p *Peers) SetConfig(s ConfigState) { p.config.PutLatest(s) }

// SetWork takes this daemon's outstanding work for the heartbeats.
func (p *Peers) SetWork(w []ServerWork) { p.works.PutLatest(w) }

// Leave tells the other daemons that this one stops.
func (p *Peers) Leave() { p.leaves.PutLatest(struct{}{}) }

// Send queues a message to one daemon of this data centre or a linked gateway.
func (p *Peers) Send(to PeerID, m Message) bool {
	return p.sends.TryPut(outgoing{to: to, message: m})
}

// Broadcast queues a message to the live members of this data centre.
func (p *Peers) Broadcast(m Message) bool { return p.sends.TryPut(outgoing{all: true, message: m}) }

// SendToDataCentre queues a message to a gateway of another data centre.
func (p *Peers) SendToDataCentre(dataCentre string, m Message) bool {
	return p.sends.TryPut(outgoing{dataCentre: dataCentre, message: m})
}

func (p *Peers) now() time.Time { return p.o.Clock.Now() }

func (p *Peers) addContact(c PeerAddress) {
	if c.Address == p.self.Address {
		return
	}
	if known, ok := p.contacts[c.Address]; ok && c.DataCentre == "" {
		c.DataCentre = known.DataCentre
	}
	p.contacts[c.Address] = c
}

func (p *Peers) handleHosts(contacts []PeerAddress) {
	p.hostsRead = true
	for _, c := range contacts {
		p.addContact(c)
	}
}

func (p *Peers) handleLeave(struct{}) {
	p.leaving = true
	for _, id := range p.sortedLinks() {
		p.o.Links.Send(id, p.envelope(Leave{}))
	}
}

func (p *Peers) envelope(m Message) Envelope { return Envelope{From: p.self, Message: m} }

// handleSend carries out one request to send.
func (p *Peers) handleSend(out outgoing) {
	switch {
	case out.all:
		p.broadcast(p.envelope(out.message))
	case out.dataCentre != "":
		e := p.envelope(out.message)
		e.ToDataCentre = out.dataCentre
		p.forward(e)
	default:
		p.sendTo(out.to, p.envelope(out.message))
	}
}

func (p *Peers) broadcast(e Envelope) {
	for _, id := range p.sortedMembers() {
		if m := p.members[id]; id.DataCentre == p.self.DataCentre && m.state.live() {
			p.sendTo(id, e)
		}
	}
}

// forward moves a message one hop towards its data centre: to a gateway there
// if this daemon has a link to one, or else to the gateways here.
func (p *Peers) forward(e Envelope) {
	for _, id := range p.sortedMembers() {
		if id.DataCentre == e.ToDataCentre && p.members[id].state.live() && p.sendTo(id, e) {
			return
		}
	}
	if e.From.ID() != p.self.ID() {
		return
	}
	for _, name := range p.gatewaysHere() {
		if name != p.self.Name {
			p.sendTo(PeerID{DataCentre: p.self.DataCentre, Name: name}, e)
		}
	}
}

// sendTo uses the link that the peer was last heard on.
func (p *Peers) sendTo(to PeerID, e Envelope) bool {
	best := p.bestLink(to)
	return best != nil && p.o.Links.Send(best.id, e)
}

func (p *Peers) bestLink(to PeerID) *link {
	var best *link
	for _, l := range p.links {
		if !l.known || l.peer != to {
			continue
		}
		later := best == nil || l.heard.After(best.heard)
		if later || (l.heard.Equal(best.heard) && l.id > best.id) {
			best = l
		}
	}
	return best
}

func (p *Peers) sortedLinks() []LinkID {
	ids := make([]LinkID, 0, len(p.links))
	for id := range p.links {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (p *Peers) sortedMembers() []PeerID {
	ids := make([]PeerID, 0, len(p.members))
	for id := range p.members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].DataCentre != ids[j].DataCentre {
			return ids[i].DataCentre < ids[j].DataCentre
		}
		return ids[i].Name < ids[j].Name
	})
	return ids
}
