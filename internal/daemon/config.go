// Package daemon implements the decisions that daemons make together:
// membership, the contracts in force, the distribution of load reports, of the
// host list and of crash suspects, and each daemon's share of customers'
// limits. Package daemonrpc encodes the messages.
//
// Each part is a duty that owns its state: Peers (membership and links),
// PeerDiscovery (addresses of the host list), Config (contracts), Load (load
// reports and outstanding work), HostRelay (host list), Suspects (crash
// suspects) and Shares (limits).
//
// A contract version is never replaced by an older one, and the shares of all
// daemons never sum to more than the limit. Links may lose messages: each kind
// is repaired by a later heartbeat, digest, repetition or demand.
package daemon

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// ContractPrefix is the key prefix of contracts in the object API.
const ContractPrefix = "contracts/"

// WatchersPerDataCentre is the number of daemons per data centre that watch
// the contracts in the store and poll the host list. The second one covers the
// failure of the first.
const WatchersPerDataCentre = 2

// Capacities, timeouts and message limits of the config duty.
const (
	// configRingCapacity bounds queued snapshots and peer messages. A
	// discarded one is repaired by the next listing or digest.
	configRingCapacity = 256
	viewRingCapacity   = 1
	statusRingCapacity = 16
	// requestTimeout bounds the wait for a daemon's contracts before they are
	// requested from another daemon.
	requestTimeout = 250 * time.Millisecond
	// contractsPerMessage keeps a message below the size limit of links; a
	// contract takes a few KB.
	contractsPerMessage = 64
)

// ConfigListener receives each new contract set. It must not block.
type ConfigListener func(*core.ContractSet)

// StoreWatch switches the watching of a platform resource on and off.
type StoreWatch interface {
	// SetActive starts or stops the watch. It must not block.
	SetActive(active bool)
}

// ConfigSender is the part of the peers duty that the config duty uses.
type ConfigSender interface {
	Sender
	SetConfig(s ConfigState)
}

// PeerConfig is the contract state of another daemon.
type PeerConfig struct {
	ID            PeerID
	State         ConfigState
	LastHeartbeat time.Time
	InSync        bool // its contract versions equal those of this daemon
	// OutdatedContracts holds the contracts that the peer had in older
	// versions at its last request to this daemon, with those versions.
	OutdatedContracts []ContractVersion
}

// ConfigStatus is the contract state shown to operators.
type ConfigStatus struct {
	State    ConfigState
	Watching bool
	Versions []ContractVersion // in force at this daemon
	Peers    []PeerConfig
}

type peerMessage struct {
	from    Identity
	message Message
}

// Config is the duty that owns the contracts in force. A contract is replaced
// only by a higher object version, so an older version is never applied.
type Config struct {
	loop         *duty.Loop
	log          *logrus.Entry
	clock        duty.Clock
	snapshots    *ring.Ring[platform.Snapshot]
	peerMessages *ring.Ring[peerMessage]
	views        *ring.Ring[*MembersView]
	status       *duty.QueryRing[struct{}, ConfigStatus]
	listeners    []ConfigListener
	current      *core.ContractSet

	sender              ConfigSender
	watch               StoreWatch
	view                *MembersView
	isWatching          bool
	state               ConfigState
	peerStates          map[PeerID]*PeerConfig
	requestedFrom       PeerID
	isAwaitingContracts bool // for the full set of requestedFrom
	requestedAt         time.Time
	fullSetFrom         map[PeerID]Incarnation // daemons whose full set arrived since the start
	hasReadySet         bool                   // a peer with a complete set has responded
}

// NewConfig returns the config duty. Without Connect it serves a single daemon
// and applies only delivered snapshots.
func NewConfig(clock duty.Clock, log *logrus.Entry, listeners ...ConfigListener) *Config {
	c := &Config{
		loop:         duty.New("config", clock),
		log:          log,
		clock:        clock,
		snapshots:    ring.New[platform.Snapshot]("config.snapshots", configRingCapacity),
		peerMessages: ring.New[peerMessage]("config.relays", configRingCapacity),
		views:        ring.New[*MembersView]("config.views", viewRingCapacity),
		status:       duty.NewQueryRing[struct{}, ConfigStatus]("config.status", statusRingCapacity),
		listeners:    listeners,
		current:      &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{}},
		peerStates:   map[PeerID]*PeerConfig{},
		fullSetFrom:  map[PeerID]Incarnation{},
	}
	duty.On(c.loop, c.snapshots, c.handleSnapshot)
	duty.On(c.loop, c.peerMessages, c.handlePeerMessage)
	duty.On(c.loop, c.views, c.handleView)
	duty.OnQuery(c.loop, c.status, func(a duty.Query[struct{}, ConfigStatus]) { a.Reply(c.buildStatus()) })
	return c
}

// Connect connects the duty to the other daemons and to the watch that it
// switches. It must be called before the loop runs.
func (c *Config) Connect(sender ConfigSender, watch StoreWatch) {
	c.sender = sender
	c.watch = watch
	c.loop.Every(HeartbeatPeriod, c.maintain)
}

// Loop returns the duty's loop.
func (c *Config) Loop() *duty.Loop { return c.loop }

// Deliver queues a snapshot from the watch of the store.
func (c *Config) Deliver(s platform.Snapshot) { c.snapshots.PutLatest(s) }

// SetMembers sets the current membership.
func (c *Config) SetMembers(v *MembersView) { c.views.PutLatest(v) }

// Receive queues a message of another daemon; types that the duty does not use
// are ignored.
func (c *Config) Receive(from Identity, m Message) {
	switch m.(type) {
	case Heartbeat, Contracts, ContractsRequest:
		c.peerMessages.PutLatest(peerMessage{from: from, message: m})
	}
}

func (c *Config) handleSnapshot(s platform.Snapshot) {
	stored := make([]core.StoredContract, 0, len(s.Objects))
	for _, o := range s.Objects {
		contract, err := DecodeContract(o)
		if err != nil {
			c.log.WithError(err).WithField("key", o.Key).Error("stored contract cannot be decoded")
			continue
		}
		stored = append(stored, contract)
	}
	if s.Full {
		c.setReady()
	}
	changed := c.mergeContracts(stored, s.Revision)
	if len(changed) > 0 && c.sender != nil {
		c.broadcastContracts(changed, s.Revision)
	}
}

// broadcastContracts sends newly applied contracts to the daemons of this data
// centre.
func (c *Config) broadcastContracts(changed []core.StoredContract, revision int64) {
	for len(changed) > 0 {
		n := min(len(changed), contractsPerMessage)
		c.sender.Broadcast(Contracts{Contracts: changed[:n], Revision: revision})
		changed = changed[n:]
	}
}

// mergeContracts applies the contracts that are newer than those in force and
// returns them.
func (c *Config) mergeContracts(stored []core.StoredContract, revision int64) []core.StoredContract {
	next := &core.ContractSet{
		Revision:  max(c.current.Revision, revision),
		Contracts: make(map[core.CustomerID]core.StoredContract, len(c.current.Contracts)+len(stored)),
	}
	for customer, contract := range c.current.Contracts {
		next.Contracts[customer] = contract
	}
	var applied []core.StoredContract
	for _, contract := range stored {
		if contract.Version <= next.Contracts[contract.Customer].Version {
			continue
		}
		next.Contracts[contract.Customer] = contract
		applied = append(applied, contract)
	}
	if len(applied) == 0 && next.Revision == c.current.Revision {
		return nil
	}
	c.current = next
	c.state.Revision = next.Revision
	if len(applied) > 0 {
		c.state.Digest = setDigest(next)
	}
	c.publishState()
	for _, listener := range c.listeners {
		listener(next)
	}
	return applied
}

func (c *Config) publishState() {
	if c.sender != nil {
		c.sender.SetConfig(c.state)
	}
}

func (c *Config) setReady() {
	if c.state.Ready {
		return
	}
	c.state.Ready = true
	c.publishState()
}

// DecodeContract decodes a contract, or its tombstone, from a stored object.
func DecodeContract(o platform.Object) (core.StoredContract, error) {
	stored := core.StoredContract{
		Customer: core.CustomerID(strings.TrimPrefix(o.Key, ContractPrefix)),
		Version:  o.Version,
		Revision: o.Revision,
		Deleted:  o.Deleted,
	}
	if o.Deleted {
		return stored, nil
	}
	stored.Contract = &core.Contract{}
	err := json.Unmarshal(o.Value, stored.Contract)
	return stored, err
}
