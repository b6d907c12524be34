package daemon

import (
	"sort"
	"time"
)

// handleLink carries out one event of the links.
func (p *Peers) handleLink(e LinkEvent) {
	switch e.Kind {
	case LinkOpened:
		p.linkOpened(e)
	case LinkDialFailed:
		p.dialFailed(e.Address)
	case LinkClosed:
		p.linkClosed(e.Link)
	case LinkMessageReceived:
		p.linkMessage(e)
	}
}

func (p *Peers) linkOpened(e LinkEvent) {
	delete(p.dials, e.Address)
	now := p.now()
	l := &link{id: e.Link, address: e.Address, opened: now, heard: now}
	p.links[e.Link] = l
	p.beat(l)
}

func (p *Peers) dialFailed(address string) {
	d := p.dials[address]
	if d == nil {
		return
	}
	d.pending = false
	d.failures++
	delay := min(redialMin<<min(d.failures, 8), redialMax)
	jitter := time.Duration(p.o.Random.Int64N(int64(delay)/2 + 1))
	d.next = p.now().Add(delay - jitter)
}

func (p *Peers) linkClosed(id LinkID) {
	l := p.links[id]
	delete(p.links, id)
	if l == nil || !l.known || p.leaving {
		return
	}
	m := p.members[l.peer]
	if m != nil && m.state.live() && p.bestLink(l.peer) == nil {
		p.dial(m.Address)
	}
}

func (p *Peers) closeLink(l *link) {
	delete(p.links, l.id)
	p.o.Links.Close(l.id)
}

// dial starts a connection unless one to the address is under way or was
// refused a short time ago.
func (p *Peers) dial(address string) {
	now := p.now()
	d := p.dials[address]
	if d == nil {
		d = &dial{}
		p.dials[address] = d
	}
	if d.pending && now.Sub(d.started) < dialTimeout {
		return
	}
	if address == p.self.Address || now.Before(d.next) {
		return
	}
	d.pending = true
	d.started = now
	p.o.Links.Dial(address)
}

// check runs each checkPeriod.
func (p *Peers) check() {
	now := p.now()
	changed := p.refreshMembers(now)
	p.dropSilentLinks(now)
	if !p.leaving {
		p.dialWanted()
	}
	if now.Sub(p.lastBeat) >= HeartbeatPeriod {
		p.lastBeat = now
		p.beatAll()
	}
	if !p.settled && p.isSettled(now) {
		p.settled = true
		changed = true
	}
	if changed || p.view == nil || p.reachabilityChanged(now) {
		p.publish()
	}
}

func (p *Peers) isSettled(now time.Time) bool {
	if now.Sub(p.start) >= SettleTimeout {
		return true
	}
	if p.o.WaitForHostList && !p.hostsRead {
		return false
	}
	for address := range p.contacts {
		d := p.dials[address]
		refused := d != nil && d.failures > 0
		if _, answered := p.bound[address]; !answered && !refused {
			return false
		}
	}
	return true
}

func (p *Peers) refreshMembers(now time.Time) bool {
	changed := false
	for id, m := range p.members {
		if m.refresh(now) {
			changed = true
			p.logState(m)
		}
		gone := m.state == MemberDead || m.state == MemberLeft
		if gone && now.Sub(m.heard) >= forgetAfter && now.Sub(m.since) >= forgetAfter {
			delete(p.members, id)
		}
	}
	return changed
}

func (p *Peers) logState(m *member) {
	if p.o.Log == nil {
		return
	}
	p.o.Log.WithField("peer", m.Name).WithField("peer_data_centre", m.DataCentre).Info("daemon is " + m.state.String())
}

// dropSilentLinks closes links that carry nothing. A link of a known peer is
// kept while it is the only one, since closing it could not help before a fresh
// one works.
func (p *Peers) dropSilentLinks(now time.Time) {
	for _, id := range p.sortedLinks() {
		l := p.links[id]
		silent := now.Sub(l.heard) >= SuspectAfter
		switch {
		case !l.known && now.Sub(l.opened) >= orphanPeriod:
			p.closeLink(l)
		case l.known && now.Sub(l.heard) >= DeadAfter:
			p.closeLink(l)
		case l.known && silent && p.bestLink(l.peer) != l:
			p.closeLink(l)
		case l.known && !p.wanted(l.peer) && now.Sub(l.opened) >= orphanPeriod:
			p.closeLink(l)
		}
	}
	p.dropDuplicates()
}

// dropDuplicates closes all but the oldest link to a peer that is not silent.
// Only the end with the smaller name does so, so that the two ends never close
// different links.
func (p *Peers) dropDuplicates() {
	kept := map[PeerID]bool{}
	now := p.now()
	for _, id := range p.sortedLinks() {
		l := p.links[id]
		decides := l.known && p.self.Name+p.self.DataCentre < l.peer.Name+l.peer.DataCentre
		if !decides || now.Sub(l.heard) >= SuspectAfter || now.Sub(l.opened) < HeartbeatPeriod {
			continue
		}
		if kept[l.peer] {
			p.closeLink(l)
			continue
		}
		kept[l.peer] = true
	}
}

// wanted reports whether a link to the peer is part of the mesh.
func (p *Peers) wanted(id PeerID) bool {
	if id.DataCentre == p.self.DataCentre {
		return true
	}
	return p.isGateway() && containsName(p.remoteGateways(id.DataCentre), id.Name)
}

// remoteGateways returns the gateways of another data centre by its own list,
// and those that follow when some of them do not answer here. The first stay
// included, so that the data centres meet again after a partition.
func (p *Peers) remoteGateways(dataCentre string) []string {
	var listed []string
	for _, info := range p.remote[dataCentre].Members {
		if info.State.live() {
			listed = append(listed, info.Name)
		}
	}
	ranked := RendezvousRank(gatewayKey(dataCentre), listed, GatewaysPerDataCentre)
	for _, name := range RendezvousRank(gatewayKey(dataCentre), p.remoteNames(dataCentre), GatewaysPerDataCentre) {
		if !containsName(ranked, name) {
			ranked = append(ranked, name)
		}
	}
	return ranked
}

func gatewayKey(dataCentre string) string { return "gateway/" + dataCentre }

func (p *Peers) gatewaysHere() []string {
	return RendezvousRank(gatewayKey(p.self.DataCentre), p.liveHere(), GatewaysPerDataCentre)
}

// isGateway reports whether this daemon is a gateway in the present view.
func (p *Peers) isGateway() bool { return p.view != nil && p.view.IsGateway }

func (p *Peers) liveHere() []string {
	names := []string{p.self.Name}
	for id, m := range p.members {
		if id.DataCentre == p.self.DataCentre && m.state.live() {
			names = append(names, m.Name)
		}
	}
	return names
}

// remoteNames returns the members of another data centre that may be its gateways.
func (p *Peers) remoteNames(dataCentre string) []string {
	var names []string
	for _, info := range p.remote[dataCentre].Members {
		if !info.State.live() {
			continue
		}
		if m := p.members[info.ID()]; m != nil && !m.state.live() && m.state != MemberJoining {
			continue
		}
		names = append(names, info.Name)
	}
	return names
}

// dialWanted connects to every member of the mesh that has no working link.
func (p *Peers) dialWanted() {
	now := p.now()
	for _, id := range p.sortedMembers() {
		m := p.members[id]
		if id.DataCentre != p.self.DataCentre || m.state == MemberLeft {
			continue
		}
		l := p.bestLink(id)
		fresh := l != nil && now.Sub(l.heard) < SuspectAfter && (m.state == MemberAlive || now.Sub(l.opened) < SuspectAfter)
		if !fresh && p.bound[m.Address] == id {
			p.dial(m.Address)
		} else if !fresh && m.state != MemberDead {
			p.dial(m.Address)
		}
	}
	for _, c := range p.sortedContacts() {
		p.dialContact(c)
	}
	if p.isGateway() {
		p.dialGateways()
	}
}

func (p *Peers) dialGateways() {
	for _, dataCentre := range p.otherDataCentres() {
		ranked := p.remoteGateways(dataCentre)
		for _, info := range p.remote[dataCentre].Members {
			if !containsName(ranked, info.Name) {
				continue
			}
			l := p.bestLink(info.ID())
			if l == nil || p.now().Sub(l.heard) >= SuspectAfter {
				p.dial(info.Address)
			}
		}
	}
}

// dialContact connects to an address whose daemon is not known. Addresses of
// other data centres are for gateways, and only while no member there is live.
func (p *Peers) dialContact(c PeerAddress) {
	if id, ok := p.bound[c.Address]; ok {
		m := p.members[id]
		if id.DataCentre == p.self.DataCentre && m != nil && m.state != MemberDead && m.state != MemberLeft {
			return
		}
		c.DataCentre = id.DataCentre
	}
	elsewhere := c.DataCentre != "" && c.DataCentre != p.self.DataCentre
	if elsewhere && (!p.isGateway() || len(p.remoteNames(c.DataCentre)) > 0) {
		return
	}
	for _, l := range p.links {
		if l.address == c.Address {
			return
		}
	}
	p.dial(c.Address)
}

func (p *Peers) sortedContacts() []PeerAddress {
	contacts := make([]PeerAddress, 0, len(p.contacts))
	for _, c := range p.contacts {
		contacts = append(contacts, c)
	}
	sort.Slice(contacts, func(i, j int) bool { return contacts[i].Address < contacts[j].Address })
	return contacts
}

// otherDataCentres returns every other data centre that is known, sorted.
func (p *Peers) otherDataCentres() []string {
	known := map[string]bool{}
	for dataCentre := range p.remote {
		known[dataCentre] = true
	}
	for _, c := range p.contacts {
		known[c.DataCentre] = true
	}
	delete(known, "")
	delete(known, p.self.DataCentre)
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func containsName(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}
