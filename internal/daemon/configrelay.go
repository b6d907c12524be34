package daemon

import (
	"context"
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// Status returns which versions are in force here and at the other daemons.
// Handlers and pool workers call it; duties must not.
func (c *Config) Status(ctx context.Context) (ConfigStatus, error) {
	return c.status.Do(ctx, struct{}{})
}

// handleRelay takes a message of another daemon.
func (c *Config) handleRelay(r relayed) {
	if c.link == nil {
		return
	}
	switch m := r.message.(type) {
	case Heartbeat:
		c.handleHeartbeat(r.from, m)
	case Contracts:
		c.handleContracts(r.from, m)
	case ContractsRequest:
		c.handleVersions(r.from, m)
	}
}

// handleHeartbeat compares the sets. Of two daemons with different sets both
// ask, because a higher revision at one does not prove that it has every change.
func (c *Config) handleHeartbeat(from Identity, h Heartbeat) {
	p := c.peer(from.ID())
	p.State = h.Config
	p.LastHeartbeat = c.clock.Now()
	if h.Config.Digest == c.state.Digest {
		p.OutdatedContracts = nil
	}
	_, answered := c.answered[from.ID()]
	needed := !c.state.Ready && !answered && from.DataCentre == c.selfDataCentre()
	if h.Config.Digest != c.state.Digest || needed {
		c.ask(from.ID())
	}
}

func (c *Config) selfDataCentre() string {
	if c.view == nil {
		return ""
	}
	return c.view.Self.DataCentre
}

func (c *Config) peer(id PeerID) *PeerConfig {
	p := c.peers[id]
	if p == nil {
		p = &PeerConfig{ID: id}
		c.peers[id] = p
	}
	return p
}

// ask sends the versions held here, to one daemon at a time: the first answer
// usually removes the difference to all others.
func (c *Config) ask(id PeerID) {
	now := c.clock.Now()
	if c.state.Ready && c.waiting && now.Sub(c.askedAt) < askTimeout {
		return
	}
	if !c.link.Send(id, ContractsRequest{Versions: setVersions(c.current), Revision: c.state.Revision}) {
		return
	}
	c.asked = id
	c.askedAt = now
	c.waiting = true
	c.loop.After(askTimeout, func() {
		if c.waiting && c.asked == id && c.askedAt.Equal(now) {
			c.askAnother(id)
		}
	})
}

// askAnother asks the daemon after the one that has not answered, among those
// whose last heartbeat showed a different set.
func (c *Config) askAnother(silent PeerID) {
	c.waiting = false
	var next, lowest *PeerConfig
	for _, p := range c.peers {
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
		c.ask(next.ID)
	}
}

func lessPeer(a, b PeerID) bool {
	return a.DataCentre < b.DataCentre || (a.DataCentre == b.DataCentre && a.Name < b.Name)
}

// handleContracts applies relayed contracts. Those of another data centre are
// passed on, since the watchers here may be cut off from the store.
func (c *Config) handleContracts(from Identity, m Contracts) {
	if from.ID() == c.asked && m.Full {
		c.waiting = false
	}
	applied := c.merge(m.Contracts, m.Revision)
	if len(applied) > 0 && from.DataCentre != c.selfDataCentre() {
		c.share(applied, m.Revision)
	}
	if m.Full {
		c.answered[from.ID()] = from.Incarnation
		c.anySet = c.anySet || m.Ready
		c.checkReady()
	}
}

// handleVersions answers with the contracts that are newer here, and asks back
// when the other daemon has newer ones.
func (c *Config) handleVersions(from Identity, m ContractsRequest) {
	theirs := make(map[core.CustomerID]int64, len(m.Versions))
	behind := false
	for _, v := range m.Versions {
		theirs[v.Customer] = v.Version
		behind = behind || v.Version > c.current.Contracts[v.Customer].Version
	}
	newer := make([]core.StoredContract, 0)
	p := c.peer(from.ID())
	p.OutdatedContracts = nil
	for _, v := range setVersions(c.current) {
		if v.Version > theirs[v.Customer] {
			newer = append(newer, c.current.Contracts[v.Customer])
			p.OutdatedContracts = append(p.OutdatedContracts, ContractVersion{Customer: v.Customer, Version: theirs[v.Customer]})
		}
	}
	c.answer(from.ID(), newer)
	if behind {
		c.ask(from.ID())
	}
}

// answer sends the contracts; the last message says that the set is whole. The
// revision goes with the last one only, since the parts before prove nothing.
func (c *Config) answer(to PeerID, newer []core.StoredContract) {
	for len(newer) > contractsPerMessage {
		if !c.link.Send(to, Contracts{Contracts: newer[:contractsPerMessage]}) {
			return
		}
		newer = newer[contractsPerMessage:]
	}
	c.link.Send(to, Contracts{Contracts: newer, Revision: c.state.Revision, Full: true, Ready: c.state.Ready})
}

func (c *Config) handleView(v *MembersView) {
	c.view = v
	c.chooseWatchers()
	c.checkReady()
}

func (c *Config) tick() {
	c.chooseWatchers()
	c.checkReady()
	c.forgetPeers()
}

// chooseWatchers turns the watch on at the daemons that rank first. Before the
// membership has settled no daemon watches, so that a start of the whole fleet
// does not list the contracts once per daemon.
func (c *Config) chooseWatchers() {
	if c.view == nil || !c.view.Settled {
		return
	}
	watching := containsName(storeWatchers(c.view), c.view.Self.Name)
	if watching == c.watching {
		return
	}
	c.watching = watching
	c.watch.SetActive(watching)
}

// checkReady makes the daemon ready when every neighbour that it can reach has
// sent its set and at least one of those sets was whole. A set from the store
// makes it ready in handleSnapshot.
func (c *Config) checkReady() {
	if c.state.Ready || c.view == nil || !c.view.Settled || !c.anySet {
		return
	}
	for _, m := range c.view.Members {
		if m.ID() == c.view.Self.ID() || !m.State.live() {
			continue
		}
		if answered, ok := c.answered[m.ID()]; !ok || answered != m.Incarnation {
			return
		}
	}
	c.setReady()
}

// forgetPeers drops the status of daemons that have been silent for long.
func (c *Config) forgetPeers() {
	now := c.clock.Now()
	for id, p := range c.peers {
		if now.Sub(p.LastHeartbeat) >= forgetAfter {
			delete(c.peers, id)
		}
	}
}

func (c *Config) buildStatus() ConfigStatus {
	s := ConfigStatus{State: c.state, Watching: c.watching, Versions: setVersions(c.current)}
	for _, p := range c.peers {
		copied := *p
		copied.InSync = p.State.Digest == c.state.Digest
		s.Peers = append(s.Peers, copied)
	}
	sort.Slice(s.Peers, func(i, j int) bool { return lessPeer(s.Peers[i].ID, s.Peers[j].ID) })
	return s
}

// setVersions returns the version of each contract and tombstone, by customer.
func setVersions(set *core.ContractSet) []ContractVersion {
	versions := make([]ContractVersion, 0, len(set.Contracts))
	for customer, contract := range set.Contracts {
		versions = append(versions, ContractVersion{Customer: customer, Version: contract.Version})
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Customer < versions[j].Customer })
	return versions
}

// setDigest sums up the versions. It does not depend on their order.
func setDigest(set *core.ContractSet) uint64 {
	var digest uint64
	for customer, contract := range set.Contracts {
		key := binary.LittleEndian.AppendUint64([]byte(customer), uint64(contract.Version))
		digest ^= xxhash.Sum64(key)
	}
	return digest
}
