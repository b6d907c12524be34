// Package daemon holds the decisions that daemons make together: the contracts
// in force, membership, load digests and shares of limits. The wire encoding
// between daemons is in daemonrpc.
package daemon

import (
	"encoding/json"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// ContractPrefix is the prefix of contracts in the object API.
const ContractPrefix = "contracts/"

// configRingCapacity bounds snapshots and relayed contracts that wait. Both are
// repaired by the next list or digest when one is dropped.
const configRingCapacity = 256

// ConfigListener receives each new contract set. It must not wait.
type ConfigListener func(*core.ContractSet)

// Config is the duty that holds the contracts in force. A contract is replaced
// only by a higher object version, so an older copy never comes back.
type Config struct {
	loop      *duty.Loop
	log       *logrus.Entry
	snapshots *ring.Ring[platform.Snapshot]
	listeners []ConfigListener
	current   *core.ContractSet
}

// NewConfig returns the config duty.
func NewConfig(clock duty.Clock, log *logrus.Entry, listeners ...ConfigListener) *Config {
	c := &Config{
		loop:      duty.New("config", clock),
		log:       log,
		snapshots: ring.New[platform.Snapshot]("config.snapshots", configRingCapacity),
		listeners: listeners,
		current:   &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{}},
	}
	duty.On(c.loop, c.snapshots, c.handleSnapshot)
	return c
}

// Loop returns the duty's loop.
func (c *Config) Loop() *duty.Loop { return c.loop }

// Deliver takes a snapshot from the store's watcher.
func (c *Config) Deliver(s platform.Snapshot) { c.snapshots.PutLatest(s) }

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
	c.merge(stored, s.Revision)
}

// merge applies the contracts that are newer than those in force.
func (c *Config) merge(stored []core.StoredContract, revision int64) {
	next := &core.ContractSet{
		Revision:  max(c.current.Revision, revision),
		Contracts: make(map[core.CustomerID]core.StoredContract, len(c.current.Contracts)+len(stored)),
	}
	for customer, contract := range c.current.Contracts {
		next.Contracts[customer] = contract
	}
	changed := next.Revision != c.current.Revision
	for _, contract := range stored {
		if contract.Version <= next.Contracts[contract.Customer].Version {
			continue
		}
		next.Contracts[contract.Customer] = contract
		changed = true
	}
	if !changed {
		return
	}
	c.current = next
	for _, listener := range c.listeners {
		listener(next)
	}
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
