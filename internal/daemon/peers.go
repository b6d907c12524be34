package daemon

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Periods and timeouts of the membership.
const (
	HeartbeatPeriod = time.Second
	SuspectAfter    = 3 * time.Second
	DeadAfter       = 6 * time.Second
	// SettleTimeout bounds the time after the start in which a daemon waits to
	// reach its known addresses before it counts its membership as settled.
	SettleTimeout = 2 * time.Second

	maintenancePeriod       = 500 * time.Millisecond
	dialTimeout             = 2 * time.Second // a dial without a result is repeated after this time
	redialBackoffMin        = 500 * time.Millisecond
	redialBackoffMax        = 5 * time.Second
	heartbeatReplyPeriod    = 200 * time.Millisecond // minimum time between two heartbeats sent in response to a peer's
	removeDeadAfter         = 10 * time.Minute       // dead members are kept until no outdated member list can still arrive
	unidentifiedLinkTimeout = 3 * time.Second        // a link is closed when its peer has not identified itself by then
)

// GatewaysPerDataCentre is the number of daemons per data centre that exchange
// membership digests and messages with other data centres.
const GatewaysPerDataCentre = 2

// Capacities of the peers duty's rings. A rejected event is repaired by the next
// heartbeat; a missed link end is detected by the silence of the link.
const (
	linkRingCapacity = 2048
	sendRingCapacity = 1024
)

// MembersListener receives each new view. It must not block.
type MembersListener func(*MembersView)

// MessageListener receives the messages of other daemons. It must not block.
type MessageListener func(from Identity, m Message)

// Sender sends messages to other daemons. No method blocks. Each reports
// whether the message was queued; delivery is not guaranteed.
type Sender interface {
	Send(to PeerID, m Message) bool
	Broadcast(m Message) bool                           // to all live members of this data centre
	SendToDataCentre(dataCentre string, m Message) bool // to a gateway of that data centre
}

// PeersOptions are the parameters of the peers duty.
type PeersOptions struct {
	Self  Identity
	Peers []string // addresses from the settings
	// WaitForHostList delays the first settled view until AddPeerAddresses is
	// called, at most until SettleTimeout has passed.
	WaitForHostList bool
	Clock           duty.Clock
	Random          *rand.Rand
	Links           Links
	Log             *logrus.Entry
}

type outgoingMessage struct {
	to         PeerID
	dataCentre string
	toAll      bool
	message    Message
}

type link struct {
	id           LinkID
	address      string
	peer         PeerID
	identified   bool // peer is set
	openedAt     time.Time
	lastReceived time.Time
}

type dialState struct {
	isPending   bool
	startedAt   time.Time
	nextAttempt time.Time
	failures    int
}

// Peers is the duty that owns the membership and the links to other daemons.
type Peers struct {
	loop          *duty.Loop
	options       PeersOptions
	self          Identity
	startedAt     time.Time
	events        *ring.Ring[LinkEvent]
	sends         *ring.Ring[outgoingMessage]
	addresses     *ring.Ring[[]PeerAddress]
	configStates  *ring.Ring[ConfigState]
	workUpdates   *ring.Ring[[]ServerWork]
	leaveRequests *ring.Ring[struct{}]

	members          map[PeerID]*member
	remoteLists      map[string]MemberList
	lastReceivedFrom map[string]time.Time // by data centre
	links            map[LinkID]*link
	dials            map[string]*dialState
	knownAddresses   map[string]PeerAddress
	daemonAtAddress  map[string]PeerID // the daemon that last identified itself at each dialled address

	configState       ConfigState
	workEncoder       workEncoder
	heartbeatSequence uint64
	listVersion       int64
	lastHeartbeat     time.Time
	isHostListRead    bool
	settled           bool
	isLeaving         bool
	view              *MembersView
	digest            uint64 // membersDigest at the time of the view
	membersListeners  []MembersListener
	messageListeners  []MessageListener
}

// NewPeers returns the peers duty. Listeners are added before its loop runs.
func NewPeers(o PeersOptions) *Peers {
	p := &Peers{
		loop:             duty.New("peers", o.Clock),
		options:          o,
		self:             o.Self,
		startedAt:        o.Clock.Now(),
		events:           ring.New[LinkEvent]("peers.links", linkRingCapacity),
		sends:            ring.New[outgoingMessage]("peers.sends", sendRingCapacity),
		addresses:        ring.New[[]PeerAddress]("peers.hosts", 1),
		configStates:     ring.New[ConfigState]("peers.config", 1),
		workUpdates:      ring.New[[]ServerWork]("peers.work", 1),
		leaveRequests:    ring.New[struct{}]("peers.leaves", 1),
		members:          map[PeerID]*member{},
		remoteLists:      map[string]MemberList{},
		lastReceivedFrom: map[string]time.Time{},
		links:            map[LinkID]*link{},
		dials:            map[string]*dialState{},
		knownAddresses:   map[string]PeerAddress{},
		daemonAtAddress:  map[string]PeerID{},
	}
	for _, address := range o.Peers {
		p.addPeerAddress(PeerAddress{Address: address})
	}
	p.workEncoder.heartbeats = o.Random.IntN(heartbeatsPerFullWork)
	duty.On(p.loop, p.events, p.handleLinkEvent)
	duty.On(p.loop, p.sends, p.handleSend)
	duty.On(p.loop, p.addresses, p.handlePeerAddresses)
	duty.On(p.loop, p.configStates, func(s ConfigState) { p.configState = s })
	duty.On(p.loop, p.workUpdates, func(w []ServerWork) { p.workEncoder.current = w })
	duty.On(p.loop, p.leaveRequests, p.handleLeave)
	p.loop.After(0, p.maintain)
	p.loop.Every(maintenancePeriod, p.maintain)
	return p
}

// Loop returns the duty's loop.
func (p *Peers) Loop() *duty.Loop { return p.loop }

// OnMembers adds a listener of the membership. It must be called before the
// loop runs.
func (p *Peers) OnMembers(l MembersListener) { p.membersListeners = append(p.membersListeners, l) }

// OnMessage adds a listener of messages. It must be called before the loop
// runs.
func (p *Peers) OnMessage(l MessageListener) { p.messageListeners = append(p.messageListeners, l) }

// Deliver queues an event of the links and reports whether the ring had room.
// A lost event is repaired by the next heartbeat or by the timeout of its
// link.
func (p *Peers) Deliver(e LinkEvent) bool { return p.events.TryPut(e) }

// AddPeerAddresses adds the daemons' addresses in the host list to the known
// ones. Addresses that are no longer listed stay known.
func (p *Peers) AddPeerAddresses(addresses []PeerAddress) { p.addresses.PutLatest(addresses) }

// SetConfig sets the contract state that heartbeats carry.
func (p *Peers) SetConfig(s ConfigState) { p.configStates.PutLatest(s) }

// SetWork sets this daemon's outstanding work, which heartbeats carry.
func (p *Peers) SetWork(w []ServerWork) { p.workUpdates.PutLatest(w) }

// Leave announces to the other daemons that this one stops.
func (p *Peers) Leave() { p.leaveRequests.PutLatest(struct{}{}) }

// Send queues a message to a daemon of this data centre or to a gateway of
// another one that this daemon has a link to.
func (p *Peers) Send(to PeerID, m Message) bool {
	return p.sends.TryPut(outgoingMessage{to: to, message: m})
}

// Broadcast queues a message to all live members of this data centre.
func (p *Peers) Broadcast(m Message) bool {
	return p.sends.TryPut(outgoingMessage{toAll: true, message: m})
}

// SendToDataCentre queues a message to a gateway of another data centre.
func (p *Peers) SendToDataCentre(dataCentre string, m Message) bool {
	return p.sends.TryPut(outgoingMessage{dataCentre: dataCentre, message: m})
}

func (p *Peers) now() time.Time { return p.options.Clock.Now() }

func (p *Peers) addPeerAddress(a PeerAddress) {
	if a.Address == p.self.Address {
		return
	}
	if known, ok := p.knownAddresses[a.Address]; ok && a.DataCentre == "" {
		a.DataCentre = known.DataCentre
	}
	p.knownAddresses[a.Address] = a
}

func (p *Peers) handlePeerAddresses(addresses []PeerAddress) {
	p.isHostListRead = true
	for _, a := range addresses {
		p.addPeerAddress(a)
	}
}

func (p *Peers) handleLeave(struct{}) {
	p.isLeaving = true
	for _, id := range p.sortedLinkIDs() {
		p.options.Links.Send(id, p.envelope(Leave{}))
	}
}

func (p *Peers) envelope(m Message) Envelope { return Envelope{From: p.self, Message: m} }

// handleSend sends one queued message.
func (p *Peers) handleSend(m outgoingMessage) {
	switch {
	case m.toAll:
		p.broadcast(p.envelope(m.message))
	case m.dataCentre != "":
		e := p.envelope(m.message)
		e.ToDataCentre = m.dataCentre
		p.forward(e)
	default:
		p.sendTo(m.to, p.envelope(m.message))
	}
}

func (p *Peers) broadcast(e Envelope) {
	for _, id := range p.sortedMemberIDs() {
		if m := p.members[id]; id.DataCentre == p.self.DataCentre && m.state.isLive() {
			p.sendTo(id, e)
		}
	}
}

// forward sends a message one hop towards its data centre: to a gateway there
// if this daemon has a link to one, or else to the gateways of this data
// centre. Only the sender uses the second way, so that a message cannot
// circulate between gateways.
func (p *Peers) forward(e Envelope) {
	for _, id := range p.sortedMemberIDs() {
		if id.DataCentre == e.ToDataCentre && p.members[id].state.isLive() && p.sendTo(id, e) {
			return
		}
	}
	if e.From.ID() != p.self.ID() {
		return
	}
	for _, name := range p.localGateways() {
		if name != p.self.Name {
			p.sendTo(PeerID{DataCentre: p.self.DataCentre, Name: name}, e)
		}
	}
}

// sendTo sends on the link that last received a message from the peer.
func (p *Peers) sendTo(to PeerID, e Envelope) bool {
	l := p.latestLink(to)
	return l != nil && p.options.Links.Send(l.id, e)
}

func (p *Peers) latestLink(to PeerID) *link {
	var latest *link
	for _, l := range p.links {
		if !l.identified || l.peer != to {
			continue
		}
		isLater := latest == nil || l.lastReceived.After(latest.lastReceived)
		if isLater || (l.lastReceived.Equal(latest.lastReceived) && l.id > latest.id) {
			latest = l
		}
	}
	return latest
}

func (p *Peers) sortedLinkIDs() []LinkID {
	ids := make([]LinkID, 0, len(p.links))
	for id := range p.links {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (p *Peers) sortedMemberIDs() []PeerID {
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
