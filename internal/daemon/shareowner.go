package daemon

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
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

	roster        *BaseAllocation // nil until claimed
	rosterVersion int64
	rosterBusy    bool
	confirmed     map[runID]int64 // units that a daemon said it uses of this version

	since   time.Time           // of this ownership
	heard   map[runID]time.Time // last demand
	counted map[runID]time.Time // last silent period that was counted

	table       []ShareAmount // bases of the data centre, sorted; nil to be made again
	tableDigest uint64
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
	o.since = o.now()
	o.heard = map[runID]time.Time{}
	o.counted = map[runID]time.Time{}
	o.table = nil
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

// announce tells daemons that send no demands who the owner is.
func (o *shareOwner) announce() {
	if o.roster == nil {
		return
	}
	for _, m := range o.view.Members {
		heard, known := o.heard[runOf(m.Identity)]
		silent := !known || o.now().Sub(heard) >= 2*sharesPeriod
		if m.ID() != o.shares.self.ID() && m.State.live() && silent {
			o.shares.link.Send(m.ID(), o.answer(m.Identity, 0))
		}
	}
}

func (o *shareOwner) answer(to Identity, sequence uint64) ShareGrants {
	return ShareGrants{
		Sequence: sequence, Fence: o.lease.Fence,
		AllocationVersion: o.rosterVersion, BaseUnits: o.baseUnitsFor(to),
	}
}

// handleDemand answers a daemon of this data centre.
func (o *shareOwner) handleDemand(from Identity, m ShareDemand) {
	if !o.holds() || o.roster == nil || from.DataCentre != o.shares.self.DataCentre {
		return
	}
	run := runOf(from)
	o.heard[run] = o.now()
	if m.AllocationVersion == o.rosterVersion {
		o.confirmed[run] = m.BaseUnits
	}
	answer := o.answer(from, m.Sequence)
	answer.BaseConfirmed = o.confirmsBase(from)
	answer.BasesDigest = m.BasesDigest
	o.keepTable()
	if m.BasesDigest != o.tableDigest {
		answer.Bases = o.table
	} else {
		wants := o.named(m.Requested)
		o.recordWishes(run, wants)
		if !o.now().Before(o.graceUntil) {
			answer.Grants = o.grant(run, wants)
		}
	}
	if from.ID() == o.shares.self.ID() {
		o.shares.applyGrants(from, answer)
		return
	}
	o.shares.link.Send(from.ID(), answer)
}

// named returns the wants with the names of their limits.
func (o *shareOwner) named(wants []IndexedAmount) map[uint32]ShareAmount {
	named := make(map[uint32]ShareAmount, len(wants))
	for _, w := range wants {
		if int(w.Index) < len(o.table) {
			named[w.Index] = ShareAmount{Key: o.table[w.Index].Key, Units: w.Units}
		}
	}
	return named
}

func (o *shareOwner) recordWishes(run runID, wants map[uint32]ShareAmount) {
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

func (o *shareOwner) grant(run runID, wants map[uint32]ShareAmount) []IndexedAmount {
	var grants []IndexedAmount
	expires := o.now().Add(GrantValidity + grantMargin)
	for index, w := range wants {
		pool := o.pool(w.Key)
		units := min(w.Units, o.fairLevel(w.Key, pool), pool-o.reservedBy(w.Key, &run))
		if units <= 0 {
			continue
		}
		if o.reserved[w.Key] == nil {
			o.reserved[w.Key] = map[runID][]reservation{}
		}
		o.reserved[w.Key][run] = append(o.reserved[w.Key][run], reservation{units: units, expires: expires})
		grants = append(grants, IndexedAmount{Index: index, Units: units})
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Index < grants[j].Index })
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

// keepTable makes the list of bases if a split was claimed since the last one.
func (o *shareOwner) keepTable() {
	if o.table != nil {
		return
	}
	o.table = []ShareAmount{}
	o.tableDigest = 0
	for customer, c := range o.splits {
		if c.split == nil {
			continue
		}
		for limit, parts := range c.split.Parts {
			b := ShareAmount{Key: ShareKey{Customer: customer, Limit: limit}, Units: parts[o.shares.self.DataCentre].Base}
			o.tableDigest ^= amountDigest(b)
			o.table = append(o.table, b)
		}
	}
	sortAmounts(o.table)
}
