package daemon

import (
	"sort"
	"time"
)

func (p *Peers) handleLinkEvent(e LinkEvent) {
	switch e.Kind {
	case LinkOpened:
		p.handleLinkOpened(e)
	case LinkDialFailed:
		p.handleDialFailed(e.Address)
	case LinkClosed:
		p.handleLinkClosed(e.Link)
	case LinkMessageReceived:
		p.handleMessage(e)
	}
}

func (p *Peers) handleLinkOpened(e LinkEvent) {
	delete(p.dials, e.Address)
	now := p.now()
	l := &link{id: e.Link, address: e.Address, openedAt: now, lastReceived: now}
	p.links[e.Link] = l
	p.sendFullHeartbeat(l)
}

func (p *Peers) handleDialFailed(address string) {
	d := p.dials[address]
	if d == nil {
		return
	}
	d.isPending = false
	d.failures++
	delay := min(redialBackoffMin<<min(d.failures, 8), redialBackoffMax)
	jitter := time.Duration(p.options.Random.Int64N(int64(delay)/2 + 1))
	d.nextAttempt = p.now().Add(delay - jitter)
}

func (p *Peers) handleLinkClosed(id LinkID) {
	l := p.links[id]
	delete(p.links, id)
	if l == nil || !l.identified || p.isLeaving {
		return
	}
	m := p.members[l.peer]
	if m != nil && m.state.isLive() && p.latestLink(l.peer) == nil {
		p.dial(m.Address)
	}
}

func (p *Peers) closeLink(l *link) {
	delete(p.links, l.id)
	p.options.Links.Close(l.id)
}

// dial connects to the address unless a dial is in progress or the backoff
// after a failed one has not passed.
func (p *Peers) dial(address string) {
	now := p.now()
	d := p.dials[address]
	if d == nil {
		d = &dialState{}
		p.dials[address] = d
	}
	if d.isPending && now.Sub(d.startedAt) < dialTimeout {
		return
	}
	if address == p.self.Address || now.Before(d.nextAttempt) {
		return
	}
	d.isPending = true
	d.startedAt = now
	p.options.Links.Dial(address)
}

// maintain runs each maintenancePeriod. It updates member states and links,
// sends heartbeats, and publishes the view if it has changed.
func (p *Peers) maintain() {
	now := p.now()
	changed := p.refreshMemberStates(now)
	p.closeUnusableLinks(now)
	if !p.isLeaving {
		p.dialMissingLinks()
	}
	if now.Sub(p.lastHeartbeat) >= HeartbeatPeriod {
		p.lastHeartbeat = now
		p.sendHeartbeats()
	}
	if !p.settled && p.canSettle(now) {
		p.settled = true
		changed = true
	}
	if changed || p.view == nil || p.reachabilityChanged(now) {
		p.publishView()
	}
}

func (p *Peers) canSettle(now time.Time) bool {
	if now.Sub(p.startedAt) >= SettleTimeout {
		return true
	}
	if p.options.WaitForHostList && !p.isHostListRead {
		return false
	}
	for address := range p.knownAddresses {
		d := p.dials[address]
		hasFailed := d != nil && d.failures > 0
		if _, hasAnswered := p.daemonAtAddress[address]; !hasAnswered && !hasFailed {
			return false
		}
	}
	return true
}

func (p *Peers) refreshMemberStates(now time.Time) bool {
	changed := false
	for id, m := range p.members {
		if m.refreshState(now) {
			changed = true
			p.logMemberState(m)
		}
		isRemovable := m.state == MemberDead || m.state == MemberLeft
		if isRemovable && now.Sub(m.lastReceived) >= removeDeadAfter && now.Sub(m.knownSince) >= removeDeadAfter {
			delete(p.members, id)
		}
	}
	return changed
}

func (p *Peers) logMemberState(m *member) {
	if p.options.Log == nil {
		return
	}
	p.options.Log.WithField("peer", m.Name).WithField("peer_data_centre", m.DataCentre).Info("daemon is " + m.state.String())
}

// closeUnusableLinks closes links whose peer is silent, unidentified or not
// part of the mesh. Between SuspectAfter and DeadAfter the latest link to a
// silent peer is kept, because closing it brings no benefit before another
// link works.
func (p *Peers) closeUnusableLinks(now time.Time) {
	for _, id := range p.sortedLinkIDs() {
		l := p.links[id]
		isSilent := now.Sub(l.lastReceived) >= SuspectAfter
		switch {
		case !l.identified && now.Sub(l.openedAt) >= unidentifiedLinkTimeout:
			p.closeLink(l)
		case l.identified && now.Sub(l.lastReceived) >= DeadAfter:
			p.closeLink(l)
		case l.identified && isSilent && p.latestLink(l.peer) != l:
			p.closeLink(l)
		case l.identified && !p.isWanted(l.peer) && now.Sub(l.openedAt) >= unidentifiedLinkTimeout:
			p.closeLink(l)
		}
	}
	p.closeDuplicateLinks()
}

// closeDuplicateLinks closes all but the oldest link to each peer that is not
// silent. Only the daemon with the smaller name does so; otherwise the two
// ends could each close the link that the other keeps.
func (p *Peers) closeDuplicateLinks() {
	hasLink := map[PeerID]bool{}
	now := p.now()
	for _, id := range p.sortedLinkIDs() {
		l := p.links[id]
		isDecider := l.identified && p.self.Name+p.self.DataCentre < l.peer.Name+l.peer.DataCentre
		if !isDecider || now.Sub(l.lastReceived) >= SuspectAfter || now.Sub(l.openedAt) < HeartbeatPeriod {
			continue
		}
		if hasLink[l.peer] {
			p.closeLink(l)
			continue
		}
		hasLink[l.peer] = true
	}
}

// isWanted reports whether a link to the peer is part of the mesh: every pair
// of daemons within a data centre, and the gateways of different ones.
func (p *Peers) isWanted(id PeerID) bool {
	if id.DataCentre == p.self.DataCentre {
		return true
	}
	return p.isGateway() && containsName(p.remoteGateways(id.DataCentre), id.Name)
}

// remoteGateways returns the gateways of another data centre according to its
// own member list, followed by the next ranked members if this daemon sees
// some of those as failed. The listed gateways always stay included, so that
// the data centres reconnect after a partition.
func (p *Peers) remoteGateways(dataCentre string) []string {
	var live []string
	for _, info := range p.remoteLists[dataCentre].Members {
		if info.State.isLive() {
			live = append(live, info.Name)
		}
	}
	ranked := RendezvousRank(gatewayKey(dataCentre), live, GatewaysPerDataCentre)
	for _, name := range RendezvousRank(gatewayKey(dataCentre), p.remoteGatewayCandidates(dataCentre), GatewaysPerDataCentre) {
		if !containsName(ranked, name) {
			ranked = append(ranked, name)
		}
	}
	return ranked
}

func gatewayKey(dataCentre string) string { return "gateway/" + dataCentre }

func (p *Peers) localGateways() []string {
	return RendezvousRank(gatewayKey(p.self.DataCentre), p.localLiveNames(), GatewaysPerDataCentre)
}

// isGateway reports whether this daemon is a gateway in the current view.
func (p *Peers) isGateway() bool { return p.view != nil && p.view.IsGateway }

func (p *Peers) localLiveNames() []string {
	names := []string{p.self.Name}
	for id, m := range p.members {
		if id.DataCentre == p.self.DataCentre && m.state.isLive() {
			names = append(names, m.Name)
		}
	}
	return names
}

// remoteGatewayCandidates returns the members of another data centre that are
// live according to its list and not seen as failed by this daemon.
func (p *Peers) remoteGatewayCandidates(dataCentre string) []string {
	var names []string
	for _, info := range p.remoteLists[dataCentre].Members {
		if !info.State.isLive() {
			continue
		}
		if m := p.members[info.ID()]; m != nil && !m.state.isLive() && m.state != MemberJoining {
			continue
		}
		names = append(names, info.Name)
	}
	return names
}

// dialMissingLinks connects to every member of the mesh without a working
// link.
func (p *Peers) dialMissingLinks() {
	now := p.now()
	for _, id := range p.sortedMemberIDs() {
		m := p.members[id]
		if id.DataCentre != p.self.DataCentre || m.state == MemberLeft {
			continue
		}
		l := p.latestLink(id)
		isWorking := l != nil && now.Sub(l.lastReceived) < SuspectAfter && (m.state == MemberAlive || now.Sub(l.openedAt) < SuspectAfter)
		if !isWorking && p.daemonAtAddress[m.Address] == id {
			p.dial(m.Address)
		} else if !isWorking && m.state != MemberDead {
			p.dial(m.Address)
		}
	}
	for _, a := range p.sortedAddresses() {
		p.dialAddress(a)
	}
	if p.isGateway() {
		p.dialGateways()
	}
}

func (p *Peers) dialGateways() {
	for _, dataCentre := range p.otherDataCentres() {
		ranked := p.remoteGateways(dataCentre)
		for _, info := range p.remoteLists[dataCentre].Members {
			if !containsName(ranked, info.Name) {
				continue
			}
			l := p.latestLink(info.ID())
			if l == nil || p.now().Sub(l.lastReceived) >= SuspectAfter {
				p.dial(info.Address)
			}
		}
	}
}

// dialAddress connects to an address whose daemon is unknown or failed. Only
// gateways dial addresses of other data centres, and only while no member
// there is live.
func (p *Peers) dialAddress(a PeerAddress) {
	if id, ok := p.daemonAtAddress[a.Address]; ok {
		m := p.members[id]
		if id.DataCentre == p.self.DataCentre && m != nil && m.state != MemberDead && m.state != MemberLeft {
			return
		}
		a.DataCentre = id.DataCentre
	}
	isRemote := a.DataCentre != "" && a.DataCentre != p.self.DataCentre
	if isRemote && (!p.isGateway() || len(p.remoteGatewayCandidates(a.DataCentre)) > 0) {
		return
	}
	for _, l := range p.links {
		if l.address == a.Address {
			return
		}
	}
	p.dial(a.Address)
}

func (p *Peers) sortedAddresses() []PeerAddress {
	addresses := make([]PeerAddress, 0, len(p.knownAddresses))
	for _, a := range p.knownAddresses {
		addresses = append(addresses, a)
	}
	sort.Slice(addresses, func(i, j int) bool { return addresses[i].Address < addresses[j].Address })
	return addresses
}

// otherDataCentres returns the names of all other known data centres, sorted.
func (p *Peers) otherDataCentres() []string {
	known := map[string]bool{}
	for dataCentre := range p.remoteLists {
		known[dataCentre] = true
	}
	for _, a := range p.knownAddresses {
		known[a.DataCentre] = true
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
