package daemon

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Limits of the shares owner.
const (
	// minTransferUnits avoids store writes for transfers below 0.5% of the
	// limit.
	minTransferUnits = ShareUnits / 200
	// splitRefreshPeriod is how often a split is read again while demand
	// exceeds the pool, in case the notification of a transfer was lost.
	splitRefreshPeriod = 15 * time.Second
	// transferRequestBackoff is the number of periods between requests once
	// every other data centre has received one and the pool is still too
	// small.
	transferRequestBackoff = 5
)

// customerSplit is the owner's state of one customer's split.
type customerSplit struct {
	version            int64
	split              *ShareSplit // nil until this owner has claimed it
	isCallInProgress   bool
	isUncertain        bool // the outcome of a write is unknown; the split must be claimed again
	readAt             time.Time
	transfers          map[Limit]poolTransfer
	isWritingTransfers bool // the write in progress includes the transfers
	retryTransfers     bool // the last write of the transfers was rejected and is repeated
}

// poolTransfer is a part of the pool that is withheld from grants until it is
// transferred to another data centre.
type poolTransfer struct {
	to    string
	units int64
}

type reservation struct {
	units   int64
	expires time.Time
}

type daemonDemand struct {
	units      int64
	receivedAt time.Time
}

type runID struct {
	peer        PeerID
	incarnation Incarnation
}

func runIDOf(id Identity) runID { return runID{peer: id.ID(), incarnation: id.Incarnation} }

// shareOwner divides the data centre's limits between its daemons while the
// lease is held. Its state belongs to the shares duty.
type shareOwner struct {
	shares          *Shares
	store           SharesStore
	view            *MembersView
	callsInProgress int

	lease          OwnerLease
	grantsFrom     time.Time // grants of the previous owner have expired by then
	splits         map[core.CustomerID]*customerSplit
	reservations   map[ShareKey]map[runID][]reservation
	demands        map[ShareKey]map[runID]daemonDemand
	nextDataCentre int // index of the data centre to send the next transfer request to
	unmetPeriods   int // periods in which demand exceeded the pool

	allocation                 *BaseAllocation // nil until this owner has claimed it
	allocationVersion          int64
	isAllocationCallInProgress bool
	confirmedUnits             map[runID]int64 // units of this allocation version that a daemon has confirmed

	ownerSince       time.Time // start of this ownership
	lastDemandAt     map[runID]time.Time
	silenceCountedAt map[runID]time.Time

	baseTable       []ShareAmount // bases of the data centre, sorted; nil if it must be rebuilt
	baseTableDigest uint64
}

func newShareOwner(s *Shares, store SharesStore) *shareOwner {
	o := &shareOwner{shares: s, store: store}
	o.reset()
	return o
}

// reset discards the state of an earlier ownership.
func (o *shareOwner) reset() {
	o.splits = map[core.CustomerID]*customerSplit{}
	o.reservations = map[ShareKey]map[runID][]reservation{}
	o.demands = map[ShareKey]map[runID]daemonDemand{}
	o.allocation = nil
	o.allocationVersion = 0
	o.isAllocationCallInProgress = false
	o.confirmedUnits = map[runID]int64{}
	o.ownerSince = o.now()
	o.lastDemandAt = map[runID]time.Time{}
	o.silenceCountedAt = map[runID]time.Time{}
	o.baseTable = nil
}

func (o *shareOwner) now() time.Time { return o.shares.clock.Now() }

func (o *shareOwner) holdsLease() bool { return o.now().Before(o.lease.ValidUntil) }

func (o *shareOwner) handleLease(l OwnerLease) {
	if l.Fence < o.lease.Fence {
		return
	}
	if l.Fence > o.lease.Fence {
		o.reset()
		o.grantsFrom = o.now().Add(GrantValidity + grantMargin)
	}
	o.lease = l
	if o.holdsLease() && l.Fence >= o.shares.fence {
		o.shares.fence = l.Fence
		o.shares.owner = o.shares.self.ID()
	}
}

func (o *shareOwner) maintain() {
	if !o.holdsLease() || o.view == nil {
		return
	}
	o.removeExpired()
	o.reconcileAllocation()
	for _, customer := range o.customers() {
		o.reconcileSplit(customer)
	}
	o.requestTransfers()
	o.announceOwner()
}

func (o *shareOwner) customers() []core.CustomerID {
	isListed := map[core.CustomerID]bool{}
	var names []core.CustomerID
	for key := range o.shares.limits {
		if !isListed[key.Customer] {
			isListed[key.Customer] = true
			names = append(names, key.Customer)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func (o *shareOwner) removeExpired() {
	now := o.now()
	for _, runs := range o.reservations {
		for run, list := range runs {
			kept := list[:0]
			for _, r := range list {
				if now.Before(r.expires) {
					kept = append(kept, r)
				}
			}
			runs[run] = kept
			if len(kept) == 0 {
				delete(runs, run)
			}
		}
	}
	for _, runs := range o.demands {
		for run, d := range runs {
			if now.Sub(d.receivedAt) >= demandValidity {
				delete(runs, run)
			}
		}
	}
}

// announceOwner sends the owner's identity to daemons that send no demands.
func (o *shareOwner) announceOwner() {
	if o.allocation == nil {
		return
	}
	for _, m := range o.view.Members {
		demandAt, known := o.lastDemandAt[runIDOf(m.Identity)]
		isSilent := !known || o.now().Sub(demandAt) >= 2*sharesPeriod
		if m.ID() != o.shares.self.ID() && m.State.isLive() && isSilent {
			o.shares.sender.Send(m.ID(), o.newGrants(m.Identity, 0))
		}
	}
}

func (o *shareOwner) newGrants(to Identity, sequence uint64) ShareGrants {
	return ShareGrants{
		Sequence: sequence, Fence: o.lease.Fence,
		AllocationVersion: o.allocationVersion, BaseUnits: o.baseUnitsFor(to),
	}
}

// handleDemand responds to a demand of a daemon of this data centre.
func (o *shareOwner) handleDemand(from Identity, m ShareDemand) {
	if !o.holdsLease() || o.allocation == nil || from.DataCentre != o.shares.self.DataCentre {
		return
	}
	run := runIDOf(from)
	o.lastDemandAt[run] = o.now()
	if m.AllocationVersion == o.allocationVersion {
		o.confirmedUnits[run] = m.BaseUnits
	}
	grants := o.newGrants(from, m.Sequence)
	grants.BaseConfirmed = o.canConfirmBase(from)
	grants.BasesDigest = m.BasesDigest
	o.ensureBaseTable()
	if m.BasesDigest != o.baseTableDigest {
		grants.Bases = o.baseTable
	} else {
		requested := o.resolveIndexes(m.Requested)
		o.recordDemands(run, requested)
		if !o.now().Before(o.grantsFrom) {
			grants.Grants = o.reserveGrants(run, requested)
		}
	}
	if from.ID() == o.shares.self.ID() {
		o.shares.applyGrants(from, grants)
		return
	}
	o.shares.sender.Send(from.ID(), grants)
}

// resolveIndexes returns the requested amounts with their limits, by index.
func (o *shareOwner) resolveIndexes(requested []IndexedAmount) map[uint32]ShareAmount {
	resolved := make(map[uint32]ShareAmount, len(requested))
	for _, r := range requested {
		if int(r.Index) < len(o.baseTable) {
			resolved[r.Index] = ShareAmount{Key: o.baseTable[r.Index].Key, Units: r.Units}
		}
	}
	return resolved
}

func (o *shareOwner) recordDemands(run runID, requested map[uint32]ShareAmount) {
	for _, runs := range o.demands {
		delete(runs, run)
	}
	for _, r := range requested {
		if o.demands[r.Key] == nil {
			o.demands[r.Key] = map[runID]daemonDemand{}
		}
		o.demands[r.Key][run] = daemonDemand{units: r.Units, receivedAt: o.now()}
	}
}

func (o *shareOwner) reserveGrants(run runID, requested map[uint32]ShareAmount) []IndexedAmount {
	var grants []IndexedAmount
	expires := o.now().Add(GrantValidity + grantMargin)
	for index, r := range requested {
		pool := o.grantablePool(r.Key)
		units := min(r.Units, o.maxMinFairLevel(r.Key, pool), pool-o.reservedUnits(r.Key, &run))
		if units <= 0 {
			continue
		}
		if o.reservations[r.Key] == nil {
			o.reservations[r.Key] = map[runID][]reservation{}
		}
		o.reservations[r.Key][run] = append(o.reservations[r.Key][run], reservation{units: units, expires: expires})
		grants = append(grants, IndexedAmount{Index: index, Units: units})
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Index < grants[j].Index })
	return grants
}

// reservedUnits returns what daemons other than except may be using. A daemon
// uses one grant at a time, but while responses may be lost it is unknown
// which, so the largest is reserved.
func (o *shareOwner) reservedUnits(key ShareKey, except *runID) int64 {
	now := o.now()
	var total int64
	for run, list := range o.reservations[key] {
		if except != nil && run == *except {
			continue
		}
		var largest int64
		for _, r := range list {
			if now.Before(r.expires) {
				largest = max(largest, r.units)
			}
		}
		total += largest
	}
	return total
}

// maxMinFairLevel returns the largest grant such that all demands, capped at
// it, fit into the pool (max-min fairness).
func (o *shareOwner) maxMinFairLevel(key ShareKey, pool int64) int64 {
	demands := make([]int64, 0, len(o.demands[key]))
	for _, d := range o.demands[key] {
		demands = append(demands, d.units)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i] < demands[j] })
	rest := pool
	for i, units := range demands {
		level := rest / int64(len(demands)-i)
		if units > level {
			return level
		}
		rest -= units
	}
	return pool
}

// grantablePool returns the part of the pool that is not withheld for
// transfers.
func (o *shareOwner) grantablePool(key ShareKey) int64 {
	c := o.splits[key.Customer]
	if c == nil || c.split == nil {
		return 0
	}
	return c.split.Parts[key.Limit][o.shares.self.DataCentre].Pool - c.transfers[key.Limit].units
}

func (o *shareOwner) demandedUnits(key ShareKey) int64 {
	var total int64
	for _, d := range o.demands[key] {
		total += d.units
	}
	return total
}

// ensureBaseTable rebuilds the list of bases if a split was claimed since it
// was built.
func (o *shareOwner) ensureBaseTable() {
	if o.baseTable != nil {
		return
	}
	o.baseTable = []ShareAmount{}
	o.baseTableDigest = 0
	for customer, c := range o.splits {
		if c.split == nil {
			continue
		}
		for limit, parts := range c.split.Parts {
			b := ShareAmount{Key: ShareKey{Customer: customer, Limit: limit}, Units: parts[o.shares.self.DataCentre].Base}
			o.baseTableDigest ^= amountDigest(b)
			o.baseTable = append(o.baseTable, b)
		}
	}
	sortAmounts(o.baseTable)
}
