package daemon

import (
	"encoding/json"
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// setSplit takes a split that this owner has claimed.
func (o *shareOwner) setSplit(c *customerSplit, split *ShareSplit, version int64) {
	if c.split == nil {
		o.table = nil
	}
	c.split = split
	c.version = version
}

// handleResult takes the result of a store call.
func (o *shareOwner) handleResult(r shareResult) {
	o.calls--
	if r.fence != o.lease.Fence {
		return
	}
	if r.customer == "" {
		o.handleRosterResult(r)
		return
	}
	c := o.splits[r.customer]
	if c == nil {
		return
	}
	c.busy = false
	if r.write {
		o.splitWritten(r, c)
		return
	}
	o.splitRead(r, c)
}

func (o *shareOwner) splitWritten(r shareResult, c *customerSplit) {
	gave := c.giftNow
	c.giftNow = false
	if r.result.Err != nil {
		// Whatever the error, the write may yet take effect. The pool stays as
		// it is until a later write of this owner has succeeded.
		c.doubtful = true
		c.keepGift = (gave || c.keepGift) && errors.Is(r.result.Err, platform.ErrConflict)
		if errors.Is(r.result.Err, platform.ErrConflict) && o.holds() {
			c.busy = o.readSplit(r.customer)
		}
		return
	}
	o.setSplit(c, r.split, r.result.Object.Version)
	c.doubtful = false
	receivers := c.gift
	if !gave && c.keepGift {
		o.dropUncovered(c)
		return
	}
	c.gift = map[Limit]gift{}
	if !gave {
		return
	}
	for _, g := range receivers {
		o.shares.link.SendToDataCentre(g.to, ShareTransferred{Customer: r.customer})
	}
}

// dropUncovered keeps the gifts whose write was refused, to be written again,
// unless the pool has become too small.
func (o *shareOwner) dropUncovered(c *customerSplit) {
	c.keepGift = false
	for limit, g := range c.gift {
		if c.split.Parts[limit][o.shares.self.DataCentre].Pool < g.units {
			delete(c.gift, limit)
		}
	}
}

func (o *shareOwner) splitRead(r shareResult, c *customerSplit) {
	c.readAt = o.now()
	if absent(r.result) {
		o.createSplit(r, c)
		return
	}
	if r.result.Err != nil || r.result.Object.Version < c.version {
		return
	}
	split := &ShareSplit{}
	if err := json.Unmarshal(r.result.Object.Value, split); err != nil {
		o.shares.log.WithError(err).WithField("customer", r.customer).Error("stored split of limits cannot be read")
		return
	}
	claimed := split.Fences[o.shares.self.DataCentre] == o.lease.Fence
	if claimed && !c.doubtful && len(c.gift) == 0 {
		o.setSplit(c, split, r.result.Object.Version)
		return
	}
	if split.Fences[o.shares.self.DataCentre] > o.lease.Fence {
		return
	}
	next := split.clone()
	next.Fences[o.shares.self.DataCentre] = o.lease.Fence
	c.busy = o.holds() && o.writeSplit(r.customer, next, r.result.Object.Version)
}

func (o *shareOwner) createSplit(r shareResult, c *customerSplit) {
	split := NewShareSplit(o.view.DataCentres)
	split.Fences[o.shares.self.DataCentre] = o.lease.Fence
	c.busy = o.holds() && o.writeSplit(r.customer, split, platform.Absent)
}

// keepSplit claims the customer's split, writes a gift that is free, and reads
// the split again while more is wanted.
func (o *shareOwner) keepSplit(customer core.CustomerID) {
	c := o.splits[customer]
	if c == nil {
		c = &customerSplit{gift: map[Limit]gift{}}
		o.splits[customer] = c
	}
	if c.busy {
		return
	}
	stale := o.short(customer) && o.now().Sub(c.readAt) >= splitRefresh
	if c.split == nil || c.doubtful {
		c.busy = o.readSplit(customer)
		return
	}
	if len(c.gift) > 0 {
		o.writeGifts(customer, c)
		return
	}
	if stale {
		c.busy = o.readSplit(customer)
	}
}

func (o *shareOwner) short(customer core.CustomerID) bool {
	for key := range o.wishes {
		if key.Customer == customer && o.wished(key) > o.pool(key) {
			return true
		}
	}
	return false
}

// refresh reads the split of a customer after a gift.
func (o *shareOwner) refresh(customer core.CustomerID) {
	c := o.splits[customer]
	if o.holds() && c != nil && !c.busy && len(c.gift) == 0 {
		c.busy = o.readSplit(customer)
	}
}

// handleAsk withholds what this data centre does not need. The gift is written
// once no grant covers it any more.
func (o *shareOwner) handleAsk(m ShareTransferRequest) {
	if !o.holds() || m.DataCentre == o.shares.self.DataCentre {
		return
	}
	for _, w := range m.Requested {
		c := o.splits[w.Key.Customer]
		if c == nil || c.split == nil || c.busy || c.doubtful {
			continue
		}
		if _, started := c.gift[w.Key.Limit]; started {
			continue
		}
		units := min(w.Units, o.pool(w.Key)-o.wished(w.Key))
		if units < giveMin {
			continue
		}
		c.gift[w.Key.Limit] = gift{to: m.DataCentre, units: units}
		o.writeGifts(w.Key.Customer, c)
	}
}

func (o *shareOwner) writeGifts(customer core.CustomerID, c *customerSplit) {
	next := c.split.clone()
	for limit, g := range c.gift {
		key := ShareKey{Customer: customer, Limit: limit}
		if o.reservedBy(key, nil) > o.pool(key) {
			return
		}
		next.give(limit, o.shares.self.DataCentre, g.to, g.units)
	}
	c.busy = o.writeSplit(customer, next, c.version)
	c.giftNow = c.busy
}

// askOthers asks one other data centre at a time for what is short here, so
// that several do not give for the same need.
func (o *shareOwner) askOthers() {
	others := make([]string, 0, len(o.view.DataCentres))
	for _, dataCentre := range o.view.DataCentres {
		if dataCentre != o.shares.self.DataCentre {
			others = append(others, dataCentre)
		}
	}
	var wants []ShareAmount
	for key := range o.wishes {
		missing := o.wished(key) - o.pool(key)
		if missing >= giveMin {
			wants = append(wants, ShareAmount{Key: key, Units: missing})
		}
	}
	if len(others) == 0 || len(wants) == 0 {
		o.askTicks = 0
		return
	}
	o.askTicks++
	if o.askTicks > len(others) && o.askTicks%askSlowdown != 0 {
		return
	}
	sortAmounts(wants)
	o.askNext++
	o.shares.link.SendToDataCentre(others[o.askNext%len(others)], ShareTransferRequest{DataCentre: o.shares.self.DataCentre, Requested: wants})
}
