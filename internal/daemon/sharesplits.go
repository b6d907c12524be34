package daemon

import (
	"encoding/json"
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// setSplit stores a split that this owner has claimed.
func (o *shareOwner) setSplit(c *customerSplit, split *ShareSplit, version int64) {
	if c.split == nil {
		o.baseTable = nil
	}
	c.split = split
	c.version = version
}

// handleResult handles the result of a store call.
func (o *shareOwner) handleResult(r storeResult) {
	o.callsInProgress--
	if r.fence != o.lease.Fence {
		return
	}
	if r.customer == "" {
		o.handleAllocationResult(r)
		return
	}
	c := o.splits[r.customer]
	if c == nil {
		return
	}
	c.isCallInProgress = false
	if r.isWrite {
		o.handleSplitWritten(r, c)
		return
	}
	o.handleSplitRead(r, c)
}

func (o *shareOwner) handleSplitWritten(r storeResult, c *customerSplit) {
	hasWrittenTransfers := c.isWritingTransfers
	c.isWritingTransfers = false
	if r.result.Err != nil {
		// Whatever the error, the write may still take effect. The pool stays
		// unchanged until a later write of this owner has succeeded.
		c.isUncertain = true
		c.retryTransfers = (hasWrittenTransfers || c.retryTransfers) && errors.Is(r.result.Err, platform.ErrConflict)
		if errors.Is(r.result.Err, platform.ErrConflict) && o.holdsLease() {
			c.isCallInProgress = o.readSplit(r.customer)
		}
		return
	}
	o.setSplit(c, r.split, r.result.Object.Version)
	c.isUncertain = false
	transfers := c.transfers
	if !hasWrittenTransfers && c.retryTransfers {
		o.removeUncoveredTransfers(c)
		return
	}
	c.transfers = map[Limit]poolTransfer{}
	if !hasWrittenTransfers {
		return
	}
	for _, t := range transfers {
		o.shares.sender.SendToDataCentre(t.to, ShareTransferred{Customer: r.customer})
	}
}

// removeUncoveredTransfers keeps the transfers whose write was rejected for
// another attempt, except those that the pool no longer covers.
func (o *shareOwner) removeUncoveredTransfers(c *customerSplit) {
	c.retryTransfers = false
	for limit, t := range c.transfers {
		if c.split.Parts[limit][o.shares.self.DataCentre].Pool < t.units {
			delete(c.transfers, limit)
		}
	}
}

func (o *shareOwner) handleSplitRead(r storeResult, c *customerSplit) {
	c.readAt = o.now()
	if isAbsent(r.result) {
		o.createSplit(r, c)
		return
	}
	if r.result.Err != nil || r.result.Object.Version < c.version {
		return
	}
	split := &ShareSplit{}
	if err := json.Unmarshal(r.result.Object.Value, split); err != nil {
		o.shares.log.WithError(err).WithField("customer", r.customer).Error("stored split of limits cannot be decoded")
		return
	}
	isClaimed := split.Fences[o.shares.self.DataCentre] == o.lease.Fence
	if isClaimed && !c.isUncertain && len(c.transfers) == 0 {
		o.setSplit(c, split, r.result.Object.Version)
		return
	}
	if split.Fences[o.shares.self.DataCentre] > o.lease.Fence {
		return
	}
	next := split.clone()
	next.Fences[o.shares.self.DataCentre] = o.lease.Fence
	c.isCallInProgress = o.holdsLease() && o.writeSplit(r.customer, next, r.result.Object.Version)
}

func (o *shareOwner) createSplit(r storeResult, c *customerSplit) {
	split := NewShareSplit(o.view.DataCentres)
	split.Fences[o.shares.self.DataCentre] = o.lease.Fence
	c.isCallInProgress = o.holdsLease() && o.writeSplit(r.customer, split, platform.Absent)
}

// reconcileSplit claims the customer's split, writes pending transfers, and
// reads the split again while demand exceeds the pool.
func (o *shareOwner) reconcileSplit(customer core.CustomerID) {
	c := o.splits[customer]
	if c == nil {
		c = &customerSplit{transfers: map[Limit]poolTransfer{}}
		o.splits[customer] = c
	}
	if c.isCallInProgress {
		return
	}
	isStale := o.isShort(customer) && o.now().Sub(c.readAt) >= splitRefreshPeriod
	if c.split == nil || c.isUncertain {
		c.isCallInProgress = o.readSplit(customer)
		return
	}
	if len(c.transfers) > 0 {
		o.writeTransfers(customer, c)
		return
	}
	if isStale {
		c.isCallInProgress = o.readSplit(customer)
	}
}

func (o *shareOwner) isShort(customer core.CustomerID) bool {
	for key := range o.demands {
		if key.Customer == customer && o.demandedUnits(key) > o.grantablePool(key) {
			return true
		}
	}
	return false
}

// refreshSplit reads a customer's split after a transfer to this data centre.
func (o *shareOwner) refreshSplit(customer core.CustomerID) {
	c := o.splits[customer]
	if o.holdsLease() && c != nil && !c.isCallInProgress && len(c.transfers) == 0 {
		c.isCallInProgress = o.readSplit(customer)
	}
}

// handleTransferRequest withholds units that this data centre does not need.
// They are transferred once no grant uses them.
func (o *shareOwner) handleTransferRequest(m ShareTransferRequest) {
	if !o.holdsLease() || m.DataCentre == o.shares.self.DataCentre {
		return
	}
	for _, r := range m.Requested {
		c := o.splits[r.Key.Customer]
		if c == nil || c.split == nil || c.isCallInProgress || c.isUncertain {
			continue
		}
		if _, isPending := c.transfers[r.Key.Limit]; isPending {
			continue
		}
		units := min(r.Units, o.grantablePool(r.Key)-o.demandedUnits(r.Key))
		if units < minTransferUnits {
			continue
		}
		c.transfers[r.Key.Limit] = poolTransfer{to: m.DataCentre, units: units}
		o.writeTransfers(r.Key.Customer, c)
	}
}

func (o *shareOwner) writeTransfers(customer core.CustomerID, c *customerSplit) {
	next := c.split.clone()
	for limit, t := range c.transfers {
		key := ShareKey{Customer: customer, Limit: limit}
		if o.reservedUnits(key, nil) > o.grantablePool(key) {
			return
		}
		next.transferPool(limit, o.shares.self.DataCentre, t.to, t.units)
	}
	c.isCallInProgress = o.writeSplit(customer, next, c.version)
	c.isWritingTransfers = c.isCallInProgress
}

// requestTransfers requests missing units from one other data centre at a
// time, so that several do not transfer units for the same demand.
func (o *shareOwner) requestTransfers() {
	others := make([]string, 0, len(o.view.DataCentres))
	for _, dataCentre := range o.view.DataCentres {
		if dataCentre != o.shares.self.DataCentre {
			others = append(others, dataCentre)
		}
	}
	var requested []ShareAmount
	for key := range o.demands {
		missing := o.demandedUnits(key) - o.grantablePool(key)
		if missing >= minTransferUnits {
			requested = append(requested, ShareAmount{Key: key, Units: missing})
		}
	}
	if len(others) == 0 || len(requested) == 0 {
		o.unmetPeriods = 0
		return
	}
	o.unmetPeriods++
	if o.unmetPeriods > len(others) && o.unmetPeriods%transferRequestBackoff != 0 {
		return
	}
	sortAmounts(requested)
	o.nextDataCentre++
	o.shares.sender.SendToDataCentre(others[o.nextDataCentre%len(others)], ShareTransferRequest{DataCentre: o.shares.self.DataCentre, Requested: requested})
}
