package daemon

import (
	"context"
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// Status returns the contract versions of this daemon and its peers. It waits
// for the duty, so duties must not call it.
func (c *Config) Status(ctx context.Context) (ConfigStatus, error) {
	return c.status.Do(ctx, struct{}{})
}

func (c *Config) handlePeerMessage(r peerMessage) {
	if c.sender == nil {
		return
	}
	switch m := r.message.(type) {
	case Heartbeat:
		c.handleHeartbeat(r.from, m)
	case Contracts:
		c.handleContracts(r.from, m)
	case ContractsRequest:
		c.handleContractsRequest(r.from, m)
	}
}

// handleHeartbeat compares the contract sets by digest. If they differ, both
// daemons request the newer contracts, because a higher revision at one does
// not prove that it has every change.
func (c *Config) handleHeartbeat(from Identity, h Heartbeat) {
	p := c.peerState(from.ID())
	p.State = h.Config
	p.LastHeartbeat = c.clock.Now()
	if h.Config.Digest == c.state.Digest {
		p.OutdatedContracts = nil
	}
	_, hasSentFullSet := c.fullSetFrom[from.ID()]
	isNeeded := !c.state.Ready && !hasSentFullSet && from.DataCentre == c.ownDataCentre()
	if h.Config.Digest != c.state.Digest || isNeeded {
		c.requestContracts(from.ID())
	}
}

func (c *Config) ownDataCentre() string {
	if c.view == nil {
		return ""
	}
	return c.view.Self.DataCentre
}

func (c *Config) peerState(id PeerID) *PeerConfig {
	p := c.peerStates[id]
	if p == nil {
		p = &PeerConfig{ID: id}
		c.peerStates[id] = p
	}
	return p
}

// requestContracts sends the versions of this daemon to one peer at a time:
// the first response usually removes the difference to all others.
func (c *Config) requestContracts(id PeerID) {
	now := c.clock.Now()
	if c.state.Ready && c.isAwaitingContracts && now.Sub(c.requestedAt) < requestTimeout {
		return
	}
	if !c.sender.Send(id, ContractsRequest{Versions: setVersions(c.current), Revision: c.state.Revision}) {
		return
	}
	c.requestedFrom = id
	c.requestedAt = now
	c.isAwaitingContracts = true
	c.loop.After(requestTimeout, func() {
		if c.isAwaitingContracts && c.requestedFrom == id && c.requestedAt.Equal(now) {
			c.requestFromNextPeer(id)
		}
	})
}

// requestFromNextPeer sends the request to the peer after the one that has not
// responded, among those whose last heartbeat showed a different set.
func (c *Config) requestFromNextPeer(silent PeerID) {
	c.isAwaitingContracts = false
	var next, lowest *PeerConfig
	for _, p := range c.peerStates {
		if p.State.Digest == c.state.Digest || c.clock.Now().Sub(p.LastHeartbeat) >= SuspectAfter {
			continue
		}
		if lowest == nil || lessPeer(p.ID, lowest.ID) {
			lowest = p
		}
		if lessPeer(silent, p.ID) && (next == nil || lessPeer(p.ID, next.ID)) {
			next = p
		}
	}
	if next == nil {
		next = lowest
	}
	if next != nil {
		c.requestContracts(next.ID)
	}
}

func lessPeer(a, b PeerID) bool {
	return a.DataCentre < b.DataCentre || (a.DataCentre == b.DataCentre && a.Name < b.Name)
}

// handleContracts applies contracts of a peer. Those from another data centre
// are broadcast here, because this data centre's watchers may be cut off from
// the store.
func (c *Config) handleContracts(from Identity, m Contracts) {
	if from.ID() == c.requestedFrom && m.Full {
		c.isAwaitingContracts = false
	}
	applied := c.mergeContracts(m.Contracts, m.Revision)
	if len(applied) > 0 && from.DataCentre != c.ownDataCentre() {
		c.broadcastContracts(applied, m.Revision)
	}
	if m.Full {
		c.fullSetFrom[from.ID()] = from.Incarnation
		c.hasReadySet = c.hasReadySet || m.Ready
		c.updateReady()
	}
}

// handleContractsRequest sends the contracts that are newer at this daemon,
// and requests the sender's if it has newer ones.
func (c *Config) handleContractsRequest(from Identity, m ContractsRequest) {
	peerVersions := make(map[core.CustomerID]int64, len(m.Versions))
	isBehind := false
	for _, v := range m.Versions {
		peerVersions[v.Customer] = v.Version
		isBehind = isBehind || v.Version > c.current.Contracts[v.Customer].Version
	}
	newer := make([]core.StoredContract, 0)
	p := c.peerState(from.ID())
	p.OutdatedContracts = nil
	for _, v := range setVersions(c.current) {
		if v.Version > peerVersions[v.Customer] {
			newer = append(newer, c.current.Contracts[v.Customer])
			p.OutdatedContracts = append(p.OutdatedContracts, ContractVersion{Customer: v.Customer, Version: peerVersions[v.Customer]})
		}
	}
	c.sendContracts(from.ID(), newer)
	if isBehind {
		c.requestContracts(from.ID())
	}
}

// sendContracts sends the contracts in parts; the last message is marked as
// full. Only that one carries the revision, because the earlier parts alone do
// not bring the receiver to it.
func (c *Config) sendContracts(to PeerID, newer []core.StoredContract) {
	for len(newer) > contractsPerMessage {
		if !c.sender.Send(to, Contracts{Contracts: newer[:contractsPerMessage]}) {
			return
		}
		newer = newer[contractsPerMessage:]
	}
	c.sender.Send(to, Contracts{Contracts: newer, Revision: c.state.Revision, Full: true, Ready: c.state.Ready})
}

func (c *Config) handleView(v *MembersView) {
	c.view = v
	c.updateWatch()
	c.updateReady()
}

func (c *Config) maintain() {
	c.updateWatch()
	c.updateReady()
	c.removeSilentPeers()
}

// updateWatch activates the watch at the highest ranked daemons. Before the
// membership has settled no daemon watches, so that the start of a whole fleet
// does not list the contracts once per daemon.
func (c *Config) updateWatch() {
	if c.view == nil || !c.view.Settled {
		return
	}
	shouldWatch := containsName(storeWatchers(c.view), c.view.Self.Name)
	if shouldWatch == c.isWatching {
		return
	}
	c.isWatching = shouldWatch
	c.watch.SetActive(shouldWatch)
}

// updateReady makes the daemon ready once every live peer of its data centre
// has sent its set and at least one of the sets was complete. A full snapshot
// from the store makes it ready in handleSnapshot.
func (c *Config) updateReady() {
	if c.state.Ready || c.view == nil || !c.view.Settled || !c.hasReadySet {
		return
	}
	for _, m := range c.view.Members {
		if m.ID() == c.view.Self.ID() || !m.State.isLive() {
			continue
		}
		if incarnation, ok := c.fullSetFrom[m.ID()]; !ok || incarnation != m.Incarnation {
			return
		}
	}
	c.setReady()
}

// removeSilentPeers removes the status of daemons without a heartbeat for
// removeDeadAfter.
func (c *Config) removeSilentPeers() {
	now := c.clock.Now()
	for id, p := range c.peerStates {
		if now.Sub(p.LastHeartbeat) >= removeDeadAfter {
			delete(c.peerStates, id)
		}
	}
}

func (c *Config) buildStatus() ConfigStatus {
	s := ConfigStatus{State: c.state, Watching: c.isWatching, Versions: setVersions(c.current)}
	for _, p := range c.peerStates {
		copied := *p
		copied.InSync = p.State.Digest == c.state.Digest
		s.Peers = append(s.Peers, copied)
	}
	sort.Slice(s.Peers, func(i, j int) bool { return lessPeer(s.Peers[i].ID, s.Peers[j].ID) })
	return s
}

// setVersions returns the versions of all contracts and tombstones, sorted by
// customer.
func setVersions(set *core.ContractSet) []ContractVersion {
	versions := make([]ContractVersion, 0, len(set.Contracts))
	for customer, contract := range set.Contracts {
		versions = append(versions, ContractVersion{Customer: customer, Version: contract.Version})
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Customer < versions[j].Customer })
	return versions
}

// setDigest returns a digest of the versions that does not depend on their
// order.
func setDigest(set *core.ContractSet) uint64 {
	var digest uint64
	for customer, contract := range set.Contracts {
		key := binary.LittleEndian.AppendUint64([]byte(customer), uint64(contract.Version))
		digest ^= xxhash.Sum64(key)
	}
	return digest
}
