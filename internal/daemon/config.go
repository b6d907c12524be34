// Package daemon holds the decisions that daemons make together: the contracts
// in force, membership, load digests and shares of limits. The wire encoding
// between daemons is in daemonrpc.
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

// ContractPrefix is the prefix of contracts in the object API.
const ContractPrefix = "contracts/"

// WatchersPerDataCentre is the number of daemons per data centre that watch the
// contracts in the store. The second one covers the death of the first.
const WatchersPerDataCentre = 2

// Limits of the config duty.
const (
	// configRingCapacity bounds snapshots and relayed messages that wait. Both
	// are repaired by the next list or digest when one is dropped.
	configRingCapacity = 256
	viewRingCapacity   = 1
	statusRingCapacity = 16
	// askTimeout bounds how long an answer from one daemon is waited for before
	// another daemon is asked.
	askTimeout = 250 * time.Millisecond
	// contractsPerMessage keeps a message under the size limit of a link;
	// contracts are a few KB each.
	contractsPerMessage = 64
)

// ConfigListener receives each new contract set. It must not wait.
type ConfigListener func(*core.ContractSet)

// StoreWatch is the watch of the contracts in the store.
type StoreWatch interface {
	// SetActive starts or stops the watch. It must not wait.
	SetActive(active bool)
}

// ConfigLink is what the config duty needs of the peers duty.
type ConfigLink interface {
	Sender
	SetConfig(s ConfigState)
}

// PeerConfig is the state of the contracts at another daemon.
type PeerConfig struct {
	ID            PeerID
	State         ConfigState
	LastHeartbeat time.Time
	InSync        bool // the same versions are in force as at this daemon
	// OutdatedContracts holds the contracts that the daemon asked this one for, when it last
	// asked, with the versions it held.
	OutdatedContracts []ContractVersion
}

// ConfigStatus is the operators' view of the contracts.
type ConfigStatus struct {
	State    ConfigState
	Watching bool
	Versions []ContractVersion // in force at this daemon
	Peers    []PeerConfig
}

type relayed struct {
	from    Identity
	message Message
}

// Config is the duty that holds the contracts in force. A contract is replaced
// only by a higher object version, so an older copy never comes back.
type Config struct {
	loop      *duty.Loop
	log       *logrus.Entry
	clock     duty.Clock
	snapshots *ring.Ring[platform.Snapshot]
	relays    *ring.Ring[relayed]
	views     *ring.Ring[*MembersView]
	status    *duty.QueryRing[struct{}, ConfigStatus]
	listeners []ConfigListener
	current   *core.ContractSet

	link     ConfigLink
	watch    StoreWatch
	view     *MembersView
	watching bool
	state    ConfigState
	peers    map[PeerID]*PeerConfig
	asked    PeerID
	waiting  bool // for the answer of asked
	askedAt  time.Time
	answered map[PeerID]Incarnation // that sent their whole set since the start
	anySet   bool                   // a neighbour with a whole set has answered
}

// NewConfig returns the config duty. Without Connect it works for one daemon
// alone and takes whatever is delivered.
func NewConfig(clock duty.Clock, log *logrus.Entry, listeners ...ConfigListener) *Config {
	c := &Config{
		loop:      duty.New("config", clock),
		log:       log,
		clock:     clock,
		snapshots: ring.New[platform.Snapshot]("config.snapshots", configRingCapacity),
		relays:    ring.New[relayed]("config.relays", configRingCapacity),
		views:     ring.New[*MembersView]("config.views", viewRingCapacity),
		status:    duty.NewQueryRing[struct{}, ConfigStatus]("config.status", statusRingCapacity),
		listeners: listeners,
		current:   &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{}},
		peers:     map[PeerID]*PeerConfig{},
		answered:  map[PeerID]Incarnation{},
	}
	duty.On(c.loop, c.snapshots, c.handleSnapshot)
	duty.On(c.loop, c.relays, c.handleRelay)
	duty.On(c.loop, c.views, c.handleView)
	duty.OnQuery(c.loop, c.status, func(a duty.Query[struct{}, ConfigStatus]) { a.Reply(c.buildStatus()) })
	return c
}

// Connect joins the duty to the other daemons and to the watch that it turns on
// and off. It is called before the loop runs.
func (c *Config) Connect(link ConfigLink, watch StoreWatch) {
	c.link = link
	c.watch = watch
	c.loop.Every(HeartbeatPeriod, c.tick)
}

// Loop returns the duty's loop.
func (c *Config) Loop() *duty.Loop { return c.loop }

// Deliver takes a snapshot from the store's watcher.
func (c *Config) Deliver(s platform.Snapshot) { c.snapshots.PutLatest(s) }

// SetMembers takes the membership.
func (c *Config) SetMembers(v *MembersView) { c.views.PutLatest(v) }

// Receive takes a message of another daemon; other kinds are ignored.
func (c *Config) Receive(from Identity, m Message) {
	switch m.(type) {
	case Heartbeat, Contracts, ContractsRequest:
		c.relays.PutLatest(relayed{from: from, message: m})
	}
}

func (c *Config) handleSnapshot(s platform.Snapshot) {
	stored := make([]core.StoredContract, 0, len(s.Objects))
	for _, o := range s.Objects {
		contract, err := DecodeContract(o)
		if err != nil {
			c.log.WithError(err).WithField("key", o.Key).Error("stored contract cannot be read")
			continue
		}
		stored = append(stored, contract)
	}
	if s.Full {
		c.setReady()
	}
	changed := c.merge(stored, s.Revision)
	if len(changed) > 0 && c.link != nil {
		c.share(changed, s.Revision)
	}
}

// share sends contracts that are new here to the daemons of this data centre.
func (c *Config) share(changed []core.StoredContract, revision int64) {
	for len(changed) > 0 {
		n := min(len(changed), contractsPerMessage)
		c.link.Broadcast(Contracts{Contracts: changed[:n], Revision: revision})
		changed = changed[n:]
	}
}

// merge applies the contracts that are newer than those in force and returns them.
func (c *Config) merge(stored []core.StoredContract, revision int64) []core.StoredContract {
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
	if c.link != nil {
		c.link.SetConfig(c.state)
	}
}

func (c *Config) setReady() {
	if c.state.Ready {
		return
	}
	c.state.Ready = true
	c.publishState()
}

// DecodeContract reads a contract, or its tombstone, from a stored object.
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
