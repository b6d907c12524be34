package daemon

import (
	"slices"
	"sort"
	"time"
)

// linkMessage takes one message. Messages of an earlier incarnation are
// dropped and answered with a heartbeat, which names the later one.
func (p *Peers) linkMessage(e LinkEvent) {
	l := p.links[e.Link]
	from := e.Envelope.From
	if l == nil || from.ID() == p.self.ID() {
		return
	}
	if e.Envelope.ToDataCentre != "" {
		p.relay(e.Envelope)
		return
	}
	m, accepted := p.identify(from)
	if !accepted {
		p.beatTo(l, m, nil, false)
		return
	}
	now := p.now()
	l.peer, l.known, l.heard = from.ID(), true, now
	m.heard = now
	p.heardFrom[from.DataCentre] = now
	if l.address != "" {
		p.bound[l.address] = from.ID()
	}
	switch message := e.Envelope.Message.(type) {
	case Heartbeat:
		p.handleHeartbeat(l, m, message)
	case MemberList:
		p.handleList(from, message)
	case Leave:
		p.setState(m, MemberLeft)
	}
	p.tell(from, e.Envelope.Message)
}

func (p *Peers) tell(from Identity, m Message) {
	for _, listener := range p.onMessage {
		listener(from, m)
	}
}

// relay passes on a message between data centres. The gateway that receives it
// in the data centre it is for hands it to its duties.
func (p *Peers) relay(e Envelope) {
	if e.ToDataCentre != p.self.DataCentre {
		p.forward(e)
		return
	}
	p.tell(e.From, e.Message)
}

// identify returns the member for the identity and whether its messages count.
func (p *Peers) identify(id Identity) (*member, bool) {
	m := p.members[id.ID()]
	if m == nil {
		m = &member{Identity: id, since: p.now()}
		p.members[id.ID()] = m
		p.replaceAtAddress(id)
		return m, true
	}
	order := id.Incarnation.Compare(m.Incarnation)
	if order < 0 {
		return m, false
	}
	if order > 0 {
		p.renew(m, id)
		return m, true
	}
	if m.state == MemberLeft {
		return m, false
	}
	if m.state == MemberDead {
		p.renew(m, id)
	}
	return m, true
}

// renew starts the member afresh, for a new incarnation or after silence.
func (p *Peers) renew(m *member, id Identity) {
	*m = member{Identity: id, since: p.now()}
	p.replaceAtAddress(id)
	p.publish()
}

// replaceAtAddress marks the earlier daemons at the address as dead, since one
// address has one process.
func (p *Peers) replaceAtAddress(id Identity) {
	for other, m := range p.members {
		if other == id.ID() || m.Address != id.Address || m.Incarnation.Compare(id.Incarnation) >= 0 {
			continue
		}
		p.setState(m, MemberDead)
	}
}

func (p *Peers) setState(m *member, s MemberState) {
	if m.state == s {
		return
	}
	m.state = s
	p.logState(m)
	p.publish()
}

func (p *Peers) handleHeartbeat(l *link, m *member, h Heartbeat) {
	if h.ReceiverIncarnation.Compare(p.self.Incarnation) > 0 {
		p.self.Incarnation.Start = h.ReceiverIncarnation.Start + 1
		p.publish()
	}
	now := p.now()
	m.sequence = max(m.sequence, h.Sequence)
	if h.EchoedSequence > 0 && h.EchoAge < SuspectAfter && h.ReceiverIncarnation == p.self.Incarnation {
		m.bothWays = now
		if m.state == MemberJoining {
			p.setState(m, MemberAlive)
		} else if m.refresh(now) {
			p.logState(m)
			p.publish()
		}
	}
	if h.EchoedSequence == 0 && now.Sub(m.replied) >= replyPeriod {
		m.replied = now
		p.beat(l)
	}
	if h.MembersDigest != p.digest && now.Sub(m.listsSent) >= HeartbeatPeriod {
		m.listsSent = now
		p.sendLists(l)
	}
}

func (p *Peers) handleList(from Identity, list MemberList) {
	if list.DataCentre != p.self.DataCentre {
		direct := from.DataCentre == list.DataCentre
		if !direct && list.Version <= p.remote[list.DataCentre].Version {
			return
		}
		held := p.remote[list.DataCentre]
		p.remote[list.DataCentre] = list
		if held.Version != list.Version || listDigest(held.Members) != listDigest(list.Members) {
			p.publish()
		}
		return
	}
	for _, info := range list.Members {
		p.learn(info)
	}
}

// learn takes a daemon of this data centre from another's list. It becomes
// alive only by messages of its own.
func (p *Peers) learn(info MemberInfo) {
	if info.ID() == p.self.ID() {
		return
	}
	m := p.members[info.ID()]
	if m == nil {
		if info.State.live() {
			p.members[info.ID()] = &member{Identity: info.Identity, since: p.now()}
			p.dial(info.Address)
		}
		return
	}
	order := info.Incarnation.Compare(m.Incarnation)
	if order > 0 && info.State.live() {
		p.renew(m, info.Identity)
		p.dial(info.Address)
	}
	if order == 0 && info.State == MemberLeft {
		p.setState(m, MemberLeft)
	}
}

func (p *Peers) sendLists(l *link) {
	p.o.Links.Send(l.id, p.envelope(p.ownList()))
	for _, dataCentre := range p.otherDataCentres() {
		list, ok := p.remote[dataCentre]
		if ok && l.peer.DataCentre != dataCentre {
			p.o.Links.Send(l.id, p.envelope(list))
		}
	}
}

func (p *Peers) ownList() MemberList {
	list := MemberList{DataCentre: p.self.DataCentre, Version: p.stamp}
	list.Members = append(list.Members, MemberInfo{Identity: p.self, State: MemberAlive})
	for id, m := range p.members {
		if id.DataCentre == p.self.DataCentre && m.state != MemberJoining {
			list.Members = append(list.Members, MemberInfo{Identity: m.Identity, State: m.state})
		}
	}
	sortMembers(list.Members)
	return list
}

// membersDigest sums up the live members of every data centre. The digest of a
// list does not cover its stamp, because gateways set different ones.
func (p *Peers) membersDigest() uint64 {
	digest := listDigest(p.ownList().Members)
	for _, list := range p.remote {
		digest ^= listDigest(list.Members)
	}
	return digest
}

func (p *Peers) beatAll() {
	p.sequence++
	work, full := p.work.next()
	for _, id := range p.sortedLinks() {
		l := p.links[id]
		p.beatTo(l, p.members[l.peer], work, full)
	}
}

func (p *Peers) beat(l *link) {
	p.sequence++
	p.beatTo(l, p.members[l.peer], p.work.current, true)
}

func (p *Peers) beatTo(l *link, m *member, work []ServerWork, full bool) {
	h := Heartbeat{Sequence: p.sequence, MembersDigest: p.digest, Config: p.configState}
	if l.known && m != nil {
		h.EchoedSequence = m.sequence
		h.EchoAge = p.now().Sub(m.heard)
	}
	if m != nil {
		h.ReceiverIncarnation = m.Incarnation
	}
	if l.known && l.peer.DataCentre == p.self.DataCentre {
		h.OutstandingWork, h.IsFullWork = work, full
	}
	p.o.Links.Send(l.id, p.envelope(h))
}

func (p *Peers) reachable(now time.Time) []string {
	var names []string
	for dataCentre, heard := range p.heardFrom {
		if dataCentre != p.self.DataCentre && now.Sub(heard) < DeadAfter {
			names = append(names, dataCentre)
		}
	}
	sort.Strings(names)
	return names
}

func (p *Peers) reachabilityChanged(now time.Time) bool {
	return !slices.Equal(p.view.ReachableDataCentres, p.reachable(now))
}

// publish tells the listeners the present view.
func (p *Peers) publish() {
	list := p.ownList()
	if p.view != nil && listDigest(list.Members) != listDigest(p.view.Members) {
		p.stamp = max(p.stamp+1, p.now().UnixMilli())
	}
	v := &MembersView{
		Self:                 p.self,
		Members:              list.Members,
		DataCentres:          append(p.otherDataCentres(), p.self.DataCentre),
		ReachableDataCentres: p.reachable(p.now()),
		IsGateway:            containsName(p.gatewaysHere(), p.self.Name),
		Settled:              p.settled,
	}
	sort.Strings(v.DataCentres)
	p.view = v
	p.digest = p.membersDigest()
	for _, listener := range p.onMembers {
		listener(v)
	}
}
