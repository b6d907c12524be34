package daemon

import (
	"slices"
	"sort"
	"time"
)

// handleMessage handles one message. Messages of an earlier incarnation are
// discarded and answered with a heartbeat, which carries the later
// incarnation.
func (p *Peers) handleMessage(e LinkEvent) {
	l := p.links[e.Link]
	from := e.Envelope.From
	if l == nil || from.ID() == p.self.ID() {
		return
	}
	if e.Envelope.ToDataCentre != "" {
		p.relayBetweenDataCentres(e.Envelope)
		return
	}
	m, accepted := p.acceptSender(from)
	if !accepted {
		p.sendHeartbeatWith(l, m, nil, false)
		return
	}
	now := p.now()
	l.peer, l.identified, l.lastReceived = from.ID(), true, now
	m.lastReceived = now
	p.lastReceivedFrom[from.DataCentre] = now
	if l.address != "" {
		p.daemonAtAddress[l.address] = from.ID()
	}
	switch message := e.Envelope.Message.(type) {
	case Heartbeat:
		p.handleHeartbeat(l, m, message)
	case MemberList:
		p.handleMemberList(from, message)
	case Leave:
		p.setState(m, MemberLeft)
	}
	p.notifyMessageListeners(from, e.Envelope.Message)
}

func (p *Peers) notifyMessageListeners(from Identity, m Message) {
	for _, listener := range p.messageListeners {
		listener(from, m)
	}
}

// relayBetweenDataCentres forwards a message towards its data centre. The
// gateway that receives it there passes it to its listeners.
func (p *Peers) relayBetweenDataCentres(e Envelope) {
	if e.ToDataCentre != p.self.DataCentre {
		p.forward(e)
		return
	}
	p.notifyMessageListeners(e.From, e.Message)
}

// acceptSender returns the member of the identity, creates or resets it if
// needed, and reports whether messages of this incarnation are accepted.
func (p *Peers) acceptSender(id Identity) (*member, bool) {
	m := p.members[id.ID()]
	if m == nil {
		m = &member{Identity: id, knownSince: p.now()}
		p.members[id.ID()] = m
		p.markReplacedDead(id)
		return m, true
	}
	order := id.Incarnation.Compare(m.Incarnation)
	if order < 0 {
		return m, false
	}
	if order > 0 {
		p.resetMember(m, id)
		return m, true
	}
	if m.state == MemberLeft {
		return m, false
	}
	if m.state == MemberDead {
		p.resetMember(m, id)
	}
	return m, true
}

// resetMember resets the member's state, for a new incarnation or after it was
// dead.
func (p *Peers) resetMember(m *member, id Identity) {
	*m = member{Identity: id, knownSince: p.now()}
	p.markReplacedDead(id)
	p.publishView()
}

// markReplacedDead marks earlier daemons at the same address as dead, since an
// address belongs to one process at a time.
func (p *Peers) markReplacedDead(id Identity) {
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
	p.logMemberState(m)
	p.publishView()
}

func (p *Peers) handleHeartbeat(l *link, m *member, h Heartbeat) {
	if h.ReceiverIncarnation.Compare(p.self.Incarnation) > 0 {
		p.self.Incarnation.Start = h.ReceiverIncarnation.Start + 1
		p.publishView()
	}
	now := p.now()
	m.sequence = max(m.sequence, h.Sequence)
	if h.EchoedSequence > 0 && h.EchoAge < SuspectAfter && h.ReceiverIncarnation == p.self.Incarnation {
		m.lastConfirmed = now
		if m.state == MemberJoining {
			p.setState(m, MemberAlive)
		} else if m.refreshState(now) {
			p.logMemberState(m)
			p.publishView()
		}
	}
	if h.EchoedSequence == 0 && now.Sub(m.repliedAt) >= heartbeatReplyPeriod {
		m.repliedAt = now
		p.sendFullHeartbeat(l)
	}
	if h.MembersDigest != p.digest && now.Sub(m.listsSentAt) >= HeartbeatPeriod {
		m.listsSentAt = now
		p.sendMemberLists(l)
	}
}

func (p *Peers) handleMemberList(from Identity, list MemberList) {
	if list.DataCentre != p.self.DataCentre {
		isFromListedDataCentre := from.DataCentre == list.DataCentre
		if !isFromListedDataCentre && list.Version <= p.remoteLists[list.DataCentre].Version {
			return
		}
		known := p.remoteLists[list.DataCentre]
		p.remoteLists[list.DataCentre] = list
		if known.Version != list.Version || memberListDigest(known.Members) != memberListDigest(list.Members) {
			p.publishView()
		}
		return
	}
	for _, info := range list.Members {
		p.mergeMemberInfo(info)
	}
}

// mergeMemberInfo merges a member of this data centre from another daemon's
// list. The member becomes alive only through messages of its own.
func (p *Peers) mergeMemberInfo(info MemberInfo) {
	if info.ID() == p.self.ID() {
		return
	}
	m := p.members[info.ID()]
	if m == nil {
		if info.State.isLive() {
			p.members[info.ID()] = &member{Identity: info.Identity, knownSince: p.now()}
			p.dial(info.Address)
		}
		return
	}
	order := info.Incarnation.Compare(m.Incarnation)
	if order > 0 && info.State.isLive() {
		p.resetMember(m, info.Identity)
		p.dial(info.Address)
	}
	if order == 0 && info.State == MemberLeft {
		p.setState(m, MemberLeft)
	}
}

func (p *Peers) sendMemberLists(l *link) {
	p.options.Links.Send(l.id, p.envelope(p.localMemberList()))
	for _, dataCentre := range p.otherDataCentres() {
		list, ok := p.remoteLists[dataCentre]
		if ok && l.peer.DataCentre != dataCentre {
			p.options.Links.Send(l.id, p.envelope(list))
		}
	}
}

func (p *Peers) localMemberList() MemberList {
	list := MemberList{DataCentre: p.self.DataCentre, Version: p.listVersion}
	list.Members = append(list.Members, MemberInfo{Identity: p.self, State: MemberAlive})
	for id, m := range p.members {
		if id.DataCentre == p.self.DataCentre && m.state != MemberJoining {
			list.Members = append(list.Members, MemberInfo{Identity: m.Identity, State: m.state})
		}
	}
	sortMembers(list.Members)
	return list
}

// membersDigest returns a digest of the live members of all data centres. List
// versions are excluded, because gateways set different ones.
func (p *Peers) membersDigest() uint64 {
	digest := memberListDigest(p.localMemberList().Members)
	for _, list := range p.remoteLists {
		digest ^= memberListDigest(list.Members)
	}
	return digest
}

func (p *Peers) sendHeartbeats() {
	p.heartbeatSequence++
	work, isFull := p.workEncoder.nextWork()
	for _, id := range p.sortedLinkIDs() {
		l := p.links[id]
		p.sendHeartbeatWith(l, p.members[l.peer], work, isFull)
	}
}

func (p *Peers) sendFullHeartbeat(l *link) {
	p.heartbeatSequence++
	p.sendHeartbeatWith(l, p.members[l.peer], p.workEncoder.current, true)
}

func (p *Peers) sendHeartbeatWith(l *link, m *member, work []ServerWork, isFull bool) {
	h := Heartbeat{Sequence: p.heartbeatSequence, MembersDigest: p.digest, Config: p.configState}
	if l.identified && m != nil {
		h.EchoedSequence = m.sequence
		h.EchoAge = p.now().Sub(m.lastReceived)
	}
	if m != nil {
		h.ReceiverIncarnation = m.Incarnation
	}
	if l.identified && l.peer.DataCentre == p.self.DataCentre {
		h.OutstandingWork, h.IsFullWork = work, isFull
	}
	p.options.Links.Send(l.id, p.envelope(h))
}

func (p *Peers) reachableDataCentres(now time.Time) []string {
	var names []string
	for dataCentre, received := range p.lastReceivedFrom {
		if dataCentre != p.self.DataCentre && now.Sub(received) < DeadAfter {
			names = append(names, dataCentre)
		}
	}
	sort.Strings(names)
	return names
}

func (p *Peers) reachabilityChanged(now time.Time) bool {
	return !slices.Equal(p.view.ReachableDataCentres, p.reachableDataCentres(now))
}

// publishView passes the current view to the listeners.
func (p *Peers) publishView() {
	list := p.localMemberList()
	if p.view != nil && memberListDigest(list.Members) != memberListDigest(p.view.Members) {
		p.listVersion = max(p.listVersion+1, p.now().UnixMilli())
	}
	v := &MembersView{
		Self:                 p.self,
		Members:              list.Members,
		DataCentres:          append(p.otherDataCentres(), p.self.DataCentre),
		ReachableDataCentres: p.reachableDataCentres(p.now()),
		IsGateway:            containsName(p.localGateways(), p.self.Name),
		Settled:              p.settled,
	}
	sort.Strings(v.DataCentres)
	p.view = v
	p.digest = p.membersDigest()
	for _, listener := range p.membersListeners {
		listener(v)
	}
}
