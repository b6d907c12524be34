package daemon

import (
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Limits of the shares owner.
const (
	// giveMin keeps gifts worth a write: 0.5% of the limit.
	giveMin = ShareUnits / 200
	// splitRefresh is how often a split is read again while more is wanted, in
	// case the message about a gift was lost.
	splitRefresh = 15 * time.Second
	// askSlowdown is the number of periods between asks once every other data
	// centre was asked and something is still short.
	askSlowdown = 5
)

// customerSplit is the owner's state of one customer.
type customerSplit struct {
	version  int64
	split    *ShareSplit // nil until claimed
	busy     bool        // a call is in progress
	doubtful bool        // a write has failed in an unknown way; claim again
	readAt   time.Time
	gift     map[Limit]gift
	giftNow  bool // the write in progress carries the gifts
	keepGift bool // the last write of the gifts was refused and is made again
}

// gift is a part of the pool that is withheld from grants to be given away.
type gift struct {
	to    string
	units int64
}

type reservation struct {
	units   int64
	expires time.Time
}

type wish struct {
	units int64
	at    time.Time
}

type runID struct {
	peer        PeerID
	incarnation Incarnation
}

func runOf(id Identity) runID { return runID{peer: id.ID(), incarnation: id.Incarnation} }

// shareOwner divides the data centre's shares while the lease is held. It
// belongs to the shares duty.
type shareOwner struct {
	shares *Shares
	store  SharesStore
	view   *MembersView
	calls  int

	lease      OwnerLease
	graceUntil time.Time // grants of the previous owner have ended by then
	splits     map[core.CustomerID]*customerSplit
	reserved   map[ShareKey]map[runID][]reservation
	wishes     map[ShareKey]map[runID]wish
	askNext    int // data centre to ask next
	askTicks   int // periods for which something has been short

	roster        *ShareRoster // nil until claimed
	rosterVersion int64
	rosterBusy    bool
	confirmed     map[runID]int64 // units that a daemon said it uses of this version
}

func newShareOwner(s *Shares, store SharesStore) *shareOwner {
	o := &shareOwner{shares: s, store: store}
	o.reset()
	return o
}

// reset forgets what an earlier ownership knew.
func (o *shareOwner) reset() {
	o.splits = map[core.CustomerID]*customerSplit{}
	o.reserved = map[ShareKey]map[runID][]reservation{}
	o.wishes = map[ShareKey]map[runID]wish{}
	o.roster = nil
	o.rosterVersion = 0
	o.rosterBusy = false
	o.confirmed = map[runID]int64{}
}

func (o *shareOwner) now() time.Time { return o.shares.clock.Now() }

func (o *shareOwner) holds() bool { return o.now().Before(o.lease.ValidUntil) }

func (o *shareOwner) handleLease(l OwnerLease) {
	if l.Fence < o.lease.Fence {
		return
	}
	if l.Fence > o.lease.Fence {
		o.reset()
		o.graceUntil = o.now().Add(GrantValidity + grantMargin)
	}
	o.lease = l
	if o.holds() && l.Fence >= o.shares.fence {
		o.shares.fence = l.Fence
		o.shares.owner = o.shares.self.ID()
	}
}

func (o *shareOwner) tick() {
	if !o.holds() || o.view == nil {
		return
	}
	o.expire()
	o.keepRoster()
	for _, customer := range o.customers() {
		o.keepSplit(customer)
	}
	o.askOthers()
	o.announce()
}

func (o *shareOwner) customers() []core.CustomerID {
	seen := map[core.CustomerID]bool{}
	var names []core.CustomerID
	for key := range o.shares.limits {
		if !seen[key.Customer] {
			seen[key.Customer] = true
			names = append(names, key.Customer)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

func (o *shareOwner) expire() {
	now := o.now()
	for _, runs := range o.reserved {
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
	for _, runs := range o.wishes {
		for run, w := range runs {
			if now.Sub(w.at) >= demandValidity {
				delete(runs, run)
			}
		}
	}
}

// announce tells daemons that have no owner, or an earlier one, who it is.
func (o *shareOwner) announce() {
	if o.roster == nil {
		return
	}
	for _, m := range o.view.Members {
		if m.ID() != o.shares.self.ID() && m.State.live() {
			o.shares.link.Send(m.ID(), o.answer(m.Identity, 0))
		}
	}
}

func (o *shareOwner) answer(to Identity, sequence uint64) ShareGrants {
	return ShareGrants{
		Sequence: sequence, Fence: o.lease.Fence,
		RosterVersion: o.rosterVersion, BaseUnits: o.baseUnitsFor(to),
	}
}

// handleDemand answers a daemon of this data centre.
func (o *shareOwner) handleDemand(from Identity, m ShareDemand) {
	if !o.holds() || o.roster == nil || from.DataCentre != o.shares.self.DataCentre {
		return
	}
	run := runOf(from)
	if m.RosterVersion == o.rosterVersion {
		o.confirmed[run] = m.BaseUnits
	}
	answer := o.answer(from, m.Sequence)
	answer.Bases = o.basesUnless(m.BasesDigest)
	o.recordWishes(run, m.Wants)
	if !o.now().Before(o.graceUntil) {
		answer.Grants = o.grant(run, m.Wants)
	}
	if from.ID() == o.shares.self.ID() {
		o.shares.applyGrants(from, answer)
		return
	}
	o.shares.link.Send(from.ID(), answer)
}

func (o *shareOwner) recordWishes(run runID, wants []ShareAmount) {
	for _, runs := range o.wishes {
		delete(runs, run)
	}
	for _, w := range wants {
		if o.wishes[w.Key] == nil {
			o.wishes[w.Key] = map[runID]wish{}
		}
		o.wishes[w.Key][run] = wish{units: w.Units, at: o.now()}
	}
}

func (o *shareOwner) grant(run runID, wants []ShareAmount) []ShareAmount {
	var grants []ShareAmount
	expires := o.now().Add(GrantValidity + grantMargin)
	for _, w := range wants {
		pool := o.pool(w.Key)
		units := min(w.Units, o.fairLevel(w.Key, pool), pool-o.reservedBy(w.Key, &run))
		if units <= 0 {
			continue
		}
		if o.reserved[w.Key] == nil {
			o.reserved[w.Key] = map[runID][]reservation{}
		}
		o.reserved[w.Key][run] = append(o.reserved[w.Key][run], reservation{units: units, expires: expires})
		grants = append(grants, ShareAmount{Key: w.Key, Units: units})
	}
	return grants
}

// reservedBy returns what daemons other than except may be using. A daemon uses
// one grant at a time, but which one is not known while answers may be lost, so
// the largest counts.
func (o *shareOwner) reservedBy(key ShareKey, except *runID) int64 {
	now := o.now()
	var total int64
	for run, list := range o.reserved[key] {
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

// fairLevel returns the largest grant under which all wishes cut to it fit the pool.
func (o *shareOwner) fairLevel(key ShareKey, pool int64) int64 {
	wishes := make([]int64, 0, len(o.wishes[key]))
	for _, w := range o.wishes[key] {
		wishes = append(wishes, w.units)
	}
	sort.Slice(wishes, func(i, j int) bool { return wishes[i] < wishes[j] })
	rest := pool
	for i, units := range wishes {
		level := rest / int64(len(wishes)-i)
		if units > level {
			return level
		}
		rest -= units
	}
	return pool
}

// pool returns what may be granted of a limit.
func (o *shareOwner) pool(key ShareKey) int64 {
	c := o.splits[key.Customer]
	if c == nil || c.split == nil {
		return 0
	}
	return c.split.Parts[key.Limit][o.shares.self.DataCentre].Pool - c.gift[key.Limit].units
}

func (o *shareOwner) wished(key ShareKey) int64 {
	var total int64
	for _, w := range o.wishes[key] {
		total += w.units
	}
	return total
}

func (o *shareOwner) basesUnless(digest uint64) []ShareAmount {
	var bases []ShareAmount
	var own uint64
	for customer, c := range o.splits {
		if c.split == nil {
			continue
		}
		for limit, parts := range c.split.Parts {
			b := ShareAmount{Key: ShareKey{Customer: customer, Limit: limit}, Units: parts[o.shares.self.DataCentre].Base}
			own ^= amountDigest(b)
			bases = append(bases, b)
		}
	}
	if own == digest {
		return nil
	}
	sortAmounts(bases)
	return bases
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
	c.split = r.split
	c.version = r.result.Object.Version
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
		o.shares.link.SendToDataCentre(g.to, ShareGiven{Customer: r.customer})
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
		c.split = split
		c.version = r.result.Object.Version
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
	split := NewSplit(o.view.DataCentres)
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
func (o *shareOwner) handleAsk(m ShareAsk) {
	if !o.holds() || m.DataCentre == o.shares.self.DataCentre {
		return
	}
	for _, w := range m.Wants {
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
	o.shares.link.SendToDataCentre(others[o.askNext%len(others)], ShareAsk{DataCentre: o.shares.self.DataCentre, Wants: wants})
}
