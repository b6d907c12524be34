package daemon

import (
	"encoding/json"
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Key prefixes of the shares in the object API.
const (
	SharePrefix          = "shares/"
	BaseAllocationPrefix = "share-rosters/"
)

// SharePart is a data centre's part of a limit, in share units.
type SharePart struct {
	Base int64 `json:"base"` // never moves to another data centre
	Pool int64 `json:"pool"` // only its own data centre decreases it
}

// ShareSplit is the stored split of a customer's limits between data centres,
// in object shares/<customer>. The parts of a limit sum to at most ShareUnits.
type ShareSplit struct {
	// Fences holds the fencing number of the last owner in each data centre.
	// An owner writes its own before it uses the split; the new object version
	// makes every pending write of an earlier owner fail.
	Fences map[string]int64               `json:"fences"`
	Parts  map[Limit]map[string]SharePart `json:"parts"`
}

// AllocationSlot is a daemon's part of the bases of its data centre.
type AllocationSlot struct {
	Name        string      `json:"name"`
	Address     string      `json:"address"`
	Incarnation Incarnation `json:"incarnation"`
	Units       int64       `json:"units"` // of ShareUnits
	// Silent is the number of whole intervals of silentPeriod in which owners
	// received nothing from the daemon. The base is confirmed only while it is 0.
	Silent int `json:"silent,omitempty"`
}

// BaseAllocation is the stored division of a data centre's bases between its
// daemons, in object share-rosters/<data centre>. The slots sum to at most
// ShareUnits.
type BaseAllocation struct {
	Fence int64            `json:"fence"`
	Slots []AllocationSlot `json:"slots"`
}

// NewShareSplit returns the initial split of a customer's limits: equal parts,
// half of each as base.
func NewShareSplit(dataCentres []string) *ShareSplit {
	split := &ShareSplit{Fences: map[string]int64{}, Parts: map[Limit]map[string]SharePart{}}
	part := ShareUnits / int64(len(dataCentres))
	for _, limit := range []Limit{LimitRequests, LimitTokens, LimitConcurrency} {
		split.Parts[limit] = map[string]SharePart{}
		for _, dataCentre := range dataCentres {
			split.Parts[limit][dataCentre] = SharePart{Base: part / 2, Pool: part - part/2}
		}
	}
	return split
}

// clone returns a deep copy, so that a failed write leaves the original
// unchanged.
func (s *ShareSplit) clone() *ShareSplit {
	c := &ShareSplit{Fences: map[string]int64{}, Parts: map[Limit]map[string]SharePart{}}
	for dataCentre, fence := range s.Fences {
		c.Fences[dataCentre] = fence
	}
	for limit, parts := range s.Parts {
		c.Parts[limit] = make(map[string]SharePart, len(parts))
		for dataCentre, part := range parts {
			c.Parts[limit][dataCentre] = part
		}
	}
	return c
}

// transferPool moves units of a limit's pool between data centres.
func (s *ShareSplit) transferPool(limit Limit, from, to string, units int64) {
	parts := s.Parts[limit]
	source, receiver := parts[from], parts[to]
	source.Pool -= units
	receiver.Pool += units
	parts[from], parts[to] = source, receiver
}

type storeResult struct {
	fence      int64
	customer   core.CustomerID // empty for the allocation
	isWrite    bool
	split      *ShareSplit     // that was written
	allocation *BaseAllocation // that was written
	result     platform.Result
}

// submit starts a store call whose result is returned through the results
// ring, and reports whether it did.
func (o *shareOwner) submit(op platform.Op, r storeResult) bool {
	if o.callsInProgress >= shareStoreCapacity {
		return false
	}
	r.fence = o.lease.Fence
	op.Reply = func(result platform.Result) {
		r.result = result
		o.shares.results.TryPut(r)
	}
	if !o.store.Submit(op) {
		return false
	}
	o.callsInProgress++
	return true
}

func (o *shareOwner) readSplit(customer core.CustomerID) bool {
	op := platform.Op{Kind: platform.OpGet, Key: SharePrefix + string(customer)}
	return o.submit(op, storeResult{customer: customer})
}

func (o *shareOwner) writeSplit(customer core.CustomerID, split *ShareSplit, version int64) bool {
	value, err := json.Marshal(split)
	if err != nil {
		return false
	}
	op := platform.Op{Kind: platform.OpPut, Key: SharePrefix + string(customer), Value: value, IfVersion: version}
	return o.submit(op, storeResult{customer: customer, isWrite: true, split: split})
}

func (o *shareOwner) allocationKey() string { return BaseAllocationPrefix + o.shares.self.DataCentre }

func (o *shareOwner) readAllocation() bool {
	return o.submit(platform.Op{Kind: platform.OpGet, Key: o.allocationKey()}, storeResult{})
}

func (o *shareOwner) writeAllocation(allocation *BaseAllocation, version int64) bool {
	value, err := json.Marshal(allocation)
	if err != nil {
		return false
	}
	op := platform.Op{Kind: platform.OpPut, Key: o.allocationKey(), Value: value, IfVersion: version}
	return o.submit(op, storeResult{isWrite: true, allocation: allocation})
}

// isAbsent reports whether a read found no object, or only its tombstone.
func isAbsent(r platform.Result) bool {
	return errors.Is(r.Err, platform.ErrNotFound) || (r.Err == nil && r.Object.Deleted)
}
