package daemon

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// baseUnitsFor returns the part of the bases that a daemon may use. It is less
// than its slot while units are being freed for daemons without a slot.
func (o *shareOwner) baseUnitsFor(id Identity) int64 {
	i := o.slotIndex(id)
	if i < 0 {
		return 0
	}
	return min(o.allocation.Slots[i].Units, o.targetUnits())
}

// targetUnits returns the equal part of each daemon, including those without a
// slot.
func (o *shareOwner) targetUnits() int64 {
	n := len(o.allocation.Slots)
	for _, m := range o.view.Members {
		if m.State.isLive() && o.slotIndex(m.Identity) < 0 && o.predecessorSlotIndex(m.Identity) < 0 {
			n++
		}
	}
	return ShareUnits / int64(max(n, 1))
}

// slotIndex returns the index of the run's slot, or -1.
func (o *shareOwner) slotIndex(id Identity) int { return slotIndexOf(o.allocation.Slots, id) }

// predecessorSlotIndex returns the index of the slot of an earlier process at
// the daemon's address, or -1. An address belongs to one process at a time, so
// the earlier one has ended.
func (o *shareOwner) predecessorSlotIndex(id Identity) int {
	for i, slot := range o.allocation.Slots {
		if slot.Address == id.Address && slot.Incarnation.Compare(id.Incarnation) < 0 {
			return i
		}
	}
	return -1
}

// reconcileAllocation claims the stored allocation and updates it when the
// daemons have changed.
func (o *shareOwner) reconcileAllocation() {
	if o.isAllocationCallInProgress {
		return
	}
	if o.allocation == nil {
		o.isAllocationCallInProgress = o.readAllocation()
		return
	}
	next := o.nextAllocation()
	if !equalSlots(next.Slots, o.allocation.Slots) {
		o.isAllocationCallInProgress = o.writeAllocation(next, o.allocationVersion)
	}
}

// nextAllocation returns the allocation with the slots of ended processes
// removed or passed to their successors, and the free units divided among the
// slots below the target. A silent daemon keeps its slot until its base has
// expired by its own clock, since it may still serve requests on the other
// side of a partition.
func (o *shareOwner) nextAllocation() *BaseAllocation {
	target := o.targetUnits()
	next := &BaseAllocation{Fence: o.lease.Fence}
	free := ShareUnits
	for _, slot := range o.allocation.Slots {
		slot.Silent = o.countSilentPeriods(slot)
		if o.hasLeft(slot) || slot.Silent >= baseReleasePeriods {
			continue
		}
		units := o.unitsInUse(slot)
		if successor, ok := o.successor(slot); ok {
			slot.Name, slot.Incarnation, slot.Silent = successor.Name, successor.Incarnation, 0
			units = slot.Units
		}
		slot.Units = units
		free -= units
		next.Slots = append(next.Slots, slot)
	}
	for _, m := range o.view.Members {
		if m.State.isLive() && slotIndexOf(next.Slots, m.Identity) < 0 {
			next.Slots = append(next.Slots, AllocationSlot{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	for i := range next.Slots {
		more := max(0, min(target-next.Slots[i].Units, free))
		next.Slots[i].Units += more
		free -= more
	}
	sort.Slice(next.Slots, func(i, j int) bool { return next.Slots[i].Name < next.Slots[j].Name })
	return next
}

func slotIndexOf(slots []AllocationSlot, id Identity) int {
	for i, slot := range slots {
		if slot.Name == id.Name && slot.Incarnation == id.Incarnation {
			return i
		}
	}
	return -1
}

// unitsInUse returns what the slot's daemon may be using: the slot's units, or
// less if it has confirmed less under this allocation version.
func (o *shareOwner) unitsInUse(slot AllocationSlot) int64 {
	if confirmed, ok := o.confirmedUnits[o.runIDOfSlot(slot)]; ok {
		return min(confirmed, slot.Units)
	}
	return slot.Units
}

func (o *shareOwner) runIDOfSlot(slot AllocationSlot) runID {
	return runID{peer: PeerID{DataCentre: o.shares.self.DataCentre, Name: slot.Name}, incarnation: slot.Incarnation}
}

// countSilentPeriods returns the slot's number of silent periods, incremented
// if another whole period has passed. The period is counted when the write
// starts, so that a write with an unknown outcome never counts it twice.
func (o *shareOwner) countSilentPeriods(slot AllocationSlot) int {
	run := o.runIDOfSlot(slot)
	now := o.now()
	demandAt, known := o.lastDemandAt[run]
	if known && now.Sub(demandAt) < o.shares.silentPeriod {
		return 0
	}
	from := o.ownerSince
	for _, at := range []time.Time{demandAt, o.silenceCountedAt[run]} {
		if at.After(from) {
			from = at
		}
	}
	if now.Sub(from) < o.shares.silentPeriod {
		return slot.Silent
	}
	o.silenceCountedAt[run] = now
	return slot.Silent + 1
}

// canConfirmBase reports whether the daemon may continue to use its base.
// While its stored number of silent periods is not 0, a later owner might
// continue to count from there.
func (o *shareOwner) canConfirmBase(id Identity) bool {
	i := o.slotIndex(id)
	return i >= 0 && o.allocation.Slots[i].Silent == 0
}

func (o *shareOwner) hasLeft(slot AllocationSlot) bool {
	for _, m := range o.view.Members {
		if m.Name == slot.Name && m.Incarnation == slot.Incarnation {
			return m.State == MemberLeft
		}
	}
	return false
}

func (o *shareOwner) successor(slot AllocationSlot) (Identity, bool) {
	for _, m := range o.view.Members {
		if m.State.isLive() && m.Address == slot.Address && m.Incarnation.Compare(slot.Incarnation) > 0 {
			return m.Identity, true
		}
	}
	return Identity{}, false
}

func equalSlots(a, b []AllocationSlot) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (o *shareOwner) handleAllocationResult(r storeResult) {
	o.isAllocationCallInProgress = false
	if r.isWrite {
		o.handleAllocationWritten(r)
		return
	}
	allocation := &BaseAllocation{}
	version := platform.Absent
	if !isAbsent(r.result) {
		if r.result.Err != nil {
			return
		}
		if err := json.Unmarshal(r.result.Object.Value, allocation); err != nil {
			o.shares.log.WithError(err).Error("stored base allocation cannot be decoded")
			return
		}
		version = r.result.Object.Version
	}
	if allocation.Fence > o.lease.Fence || !o.holdsLease() {
		return
	}
	allocation.Fence = o.lease.Fence
	o.isAllocationCallInProgress = o.writeAllocation(allocation, version)
}

func (o *shareOwner) handleAllocationWritten(r storeResult) {
	if r.result.Err != nil {
		// The write may still take effect. The allocation is read and claimed
		// again; until then no base is sent to daemons.
		o.allocation = nil
		return
	}
	o.allocation = r.allocation
	o.allocationVersion = r.result.Object.Version
	clear(o.confirmedUnits)
}
