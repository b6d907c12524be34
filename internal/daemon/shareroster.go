package daemon

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// baseUnitsFor returns the part of the bases that a daemon is told. It is less
// than its slot while room is made for daemons without one.
func (o *shareOwner) baseUnitsFor(id Identity) int64 {
	i := o.slot(id)
	if i < 0 {
		return 0
	}
	return min(o.roster.Slots[i].Units, o.rosterTarget())
}

// rosterTarget returns the equal base of each daemon, those without a slot included.
func (o *shareOwner) rosterTarget() int64 {
	n := len(o.roster.Slots)
	for _, m := range o.view.Members {
		if m.State.live() && o.slot(m.Identity) < 0 && o.inherited(m.Identity) < 0 {
			n++
		}
	}
	return ShareUnits / int64(max(n, 1))
}

// slot returns the index of the run's slot, or -1.
func (o *shareOwner) slot(id Identity) int { return indexOf(o.roster.Slots, id) }

// inherited returns the index of the slot of an earlier process at the daemon's
// address, or -1. One address has one process, so the earlier one has ended.
func (o *shareOwner) inherited(id Identity) int {
	for i, slot := range o.roster.Slots {
		if slot.Address == id.Address && slot.Incarnation.Compare(id.Incarnation) < 0 {
			return i
		}
	}
	return -1
}

// keepRoster claims the roster and changes it when the daemons have changed.
func (o *shareOwner) keepRoster() {
	if o.rosterBusy {
		return
	}
	if o.roster == nil {
		o.rosterBusy = o.readRoster()
		return
	}
	next := o.nextRoster()
	if !sameSlots(next.Slots, o.roster.Slots) {
		o.rosterBusy = o.writeRoster(next, o.rosterVersion)
	}
}

// nextRoster returns the roster with slots of ended processes passed on or
// removed, and the units that are free divided among those below the target. A
// silent daemon keeps its slot until its base has ended by its own clock, since
// it may be serving on the far side of a partition.
func (o *shareOwner) nextRoster() *BaseAllocation {
	target := o.rosterTarget()
	next := &BaseAllocation{Fence: o.lease.Fence}
	free := ShareUnits
	for _, slot := range o.roster.Slots {
		slot.Silent = o.silence(slot)
		if o.hasLeft(slot) || slot.Silent >= baseReleasePeriods {
			continue
		}
		held := o.heldUnits(slot)
		if successor, ok := o.successor(slot); ok {
			slot.Name, slot.Incarnation, slot.Silent = successor.Name, successor.Incarnation, 0
			held = slot.Units
		}
		slot.Units = held
		free -= held
		next.Slots = append(next.Slots, slot)
	}
	for _, m := range o.view.Members {
		if m.State.live() && indexOf(next.Slots, m.Identity) < 0 {
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

func indexOf(slots []AllocationSlot, id Identity) int {
	for i, slot := range slots {
		if slot.Name == id.Name && slot.Incarnation == id.Incarnation {
			return i
		}
	}
	return -1
}

// heldUnits returns what the slot's daemon may be using: its slot, or less if
// it has confirmed less under this roster version.
func (o *shareOwner) heldUnits(slot AllocationSlot) int64 {
	if confirmed, ok := o.confirmed[o.runOfSlot(slot)]; ok {
		return min(confirmed, slot.Units)
	}
	return slot.Units
}

func (o *shareOwner) runOfSlot(slot AllocationSlot) runID {
	return runID{peer: PeerID{DataCentre: o.shares.self.DataCentre, Name: slot.Name}, incarnation: slot.Incarnation}
}

// silence returns the slot's count of silent periods, and counts one more when
// a whole period has passed. It is counted when the write starts, so that a
// write of unknown outcome never counts a period twice.
func (o *shareOwner) silence(slot AllocationSlot) int {
	run := o.runOfSlot(slot)
	now := o.now()
	heard, known := o.heard[run]
	if known && now.Sub(heard) < o.shares.silentPeriod {
		return 0
	}
	from := o.since
	for _, at := range []time.Time{heard, o.counted[run]} {
		if at.After(from) {
			from = at
		}
	}
	if now.Sub(from) < o.shares.silentPeriod {
		return slot.Silent
	}
	o.counted[run] = now
	return slot.Silent + 1
}

// confirmsBase reports whether the daemon may go on using its base. While its
// stored count is not 0 a later owner might count on from there.
func (o *shareOwner) confirmsBase(id Identity) bool {
	i := o.slot(id)
	return i >= 0 && o.roster.Slots[i].Silent == 0
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
		if m.State.live() && m.Address == slot.Address && m.Incarnation.Compare(slot.Incarnation) > 0 {
			return m.Identity, true
		}
	}
	return Identity{}, false
}

func sameSlots(a, b []AllocationSlot) bool {
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

func (o *shareOwner) handleRosterResult(r shareResult) {
	o.rosterBusy = false
	if r.write {
		o.rosterWritten(r)
		return
	}
	roster := &BaseAllocation{}
	version := platform.Absent
	if !absent(r.result) {
		if r.result.Err != nil {
			return
		}
		if err := json.Unmarshal(r.result.Object.Value, roster); err != nil {
			o.shares.log.WithError(err).Error("stored roster of bases cannot be read")
			return
		}
		version = r.result.Object.Version
	}
	if roster.Fence > o.lease.Fence || !o.holds() {
		return
	}
	roster.Fence = o.lease.Fence
	o.rosterBusy = o.writeRoster(roster, version)
}

func (o *shareOwner) rosterWritten(r shareResult) {
	if r.result.Err != nil {
		// The write may yet take effect. The roster is read and claimed again;
		// until then no base is told.
		o.roster = nil
		return
	}
	o.roster = r.roster
	o.rosterVersion = r.result.Object.Version
	clear(o.confirmed)
}
