package daemon

import (
	"encoding/json"
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Prefixes of the shares in the object API.
const (
	SharePrefix          = "shares/"
	BaseAllocationPrefix = "share-rosters/"
)

// SharePart is the part of one data centre of one limit, in share units.
type SharePart struct {
	Base int64 `json:"base"` // never moves
	Pool int64 `json:"pool"` // only its own data centre makes it smaller
}

// ShareSplit is the stored split of a customer's limits, in object
// shares/<customer>. The parts of a limit sum to at most ShareUnits.
type ShareSplit struct {
	// Fences holds the fencing number of the last owner of each data centre. An
	// owner writes its own before it uses the split, which makes every earlier
	// write that is still under way fail.
	Fences map[string]int64               `json:"fences"`
	Parts  map[Limit]map[string]SharePart `json:"parts"`
}

// AllocationSlot is one daemon's part of the bases of its data centre.
type AllocationSlot struct {
	Name        string      `json:"name"`
	Address     string      `json:"address"`
	Incarnation Incarnation `json:"incarnation"`
	Units       int64       `json:"units"` // of ShareUnits
	// Silent counts the whole silentPeriods in which owners did not hear the
	// daemon. The base is confirmed only while this is 0.
	Silent int `json:"silent,omitempty"`
}

// BaseAllocation is the stored division of the bases of a data centre, in object
// share-rosters/<data centre>. The slots sum to at most ShareUnits.
type BaseAllocation struct {
	Fence int64            `json:"fence"`
	Slots []AllocationSlot `json:"slots"`
}

// NewShareSplit returns the first split of a customer's limits: equal parts, half of
// each as base.
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

// clone returns a copy to change, so that a failed write leaves no trace.
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

// give moves units of one limit's pool between data centres.
func (s *ShareSplit) give(limit Limit, from, to string, units int64) {
	parts := s.Parts[limit]
	giver, receiver := parts[from], parts[to]
	giver.Pool -= units
	receiver.Pool += units
	parts[from], parts[to] = giver, receiver
}

type shareResult struct {
	fence    int64
	customer core.CustomerID // empty for the roster
	write    bool
	split    *ShareSplit     // that was written
	roster   *BaseAllocation // that was written
	result   platform.Result
}

// submit sends one store call whose result comes back through the results ring.
func (o *shareOwner) submit(op platform.Op, r shareResult) bool {
	if o.calls >= shareStoreCapacity {
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
	o.calls++
	return true
}

func (o *shareOwner) readSplit(customer core.CustomerID) bool {
	op := platform.Op{Kind: platform.OpGet, Key: SharePrefix + string(customer)}
	return o.submit(op, shareResult{customer: customer})
}

func (o *shareOwner) writeSplit(customer core.CustomerID, split *ShareSplit, version int64) bool {
	value, err := json.Marshal(split)
	if err != nil {
		return false
	}
	op := platform.Op{Kind: platform.OpPut, Key: SharePrefix + string(customer), Value: value, IfVersion: version}
	return o.submit(op, shareResult{customer: customer, write: true, split: split})
}

func (o *shareOwner) rosterKey() string { return BaseAllocationPrefix + o.shares.self.DataCentre }

func (o *shareOwner) readRoster() bool {
	return o.submit(platform.Op{Kind: platform.OpGet, Key: o.rosterKey()}, shareResult{})
}

func (o *shareOwner) writeRoster(roster *BaseAllocation, version int64) bool {
	value, err := json.Marshal(roster)
	if err != nil {
		return false
	}
	op := platform.Op{Kind: platform.OpPut, Key: o.rosterKey(), Value: value, IfVersion: version}
	return o.submit(op, shareResult{write: true, roster: roster})
}

// absent reports whether a read found no object, and the version to create it.
func absent(r platform.Result) bool {
	return errors.Is(r.Err, platform.ErrNotFound) || (r.Err == nil && r.Object.Deleted)
}
