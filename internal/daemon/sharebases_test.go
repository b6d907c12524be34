package daemon

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shortenBaseTimes lets bases expire after 96 s instead of 12 h. A silent
// period stays longer than the period of demands.
func (sim *simulation) shortenBaseTimes() {
	for _, n := range sim.daemons {
		n.shares.baseValidity = BaseValidity / 450
		n.shares.silentPeriod = silentPeriod / 450
	}
}

func (n *simDaemon) usableBase() float64 { return n.amounts[requestsOfA].base }

// Guards against a base of a dead daemon that stays reserved, and against one
// that is released while the daemon may still use it.
func TestBaseOfDeadDaemonIsReleased(t *testing.T) {
	sim := newSharesSimulation(1, 1, 3)
	sim.shortenBaseTimes()
	sim.run(10*time.Second, sim.failOverLimit(t, 1))
	dead, owner := sim.daemons[2], sim.leases["dc0"].holder
	if owner == dead {
		dead = sim.daemons[1]
	}
	sim.kill(dead)
	sim.run(90*time.Second, nil)
	if got := owner.usableBase(); got > 151 {
		t.Errorf("90 s after a death the base of another daemon is %.0f, want 150", got)
	}
	sim.run(30*time.Second, nil)
	if got := owner.usableBase(); got < 224 {
		t.Errorf("120 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against a count of silent periods that restarts with each owner, so
// that a dead daemon keeps its base while owners change.
func TestSilentPeriodsAreCountedAcrossOwners(t *testing.T) {
	sim := newSharesSimulation(2, 1, 3)
	sim.shortenBaseTimes()
	sim.run(10*time.Second, nil)
	dead := sim.daemons[2]
	sim.kill(dead)
	for range 6 {
		sim.run(25*time.Second, sim.failOverLimit(t, 2))
		sim.handOverLease("dc0")
	}
	if got := sim.daemons[0].usableBase(); got < 224 {
		t.Errorf("150 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against the use of a base that the owner may have released, by a
// daemon that is cut off, or whose base was confirmed while its silence was
// being counted.
func TestCutOffDaemonStopsUsingItsBase(t *testing.T) {
	sim := newSharesSimulation(3, 1, 3)
	sim.shortenBaseTimes()
	sim.run(10*time.Second, nil)
	owner := sim.leases["dc0"].holder
	cut := sim.daemons[0]
	if cut == owner {
		cut = sim.daemons[1]
	}
	sim.repeatDemand(map[*simDaemon]float64{owner: 900})
	for _, n := range sim.daemons {
		if n != cut {
			sim.setPartition(n.id.Address, cut.id.Address, true)
		}
	}
	sim.run(90*time.Second, sim.failOverLimit(t, 3))
	if got := cut.usableBase(); got < 149 {
		t.Errorf("the base expired early, at %.0f", got)
	}
	sim.run(60*time.Second, sim.failOverLimit(t, 3))
	if got := sim.totalUsable(); got < 890 {
		t.Errorf("after the release %.0f may be used, want all but little of 900", got)
	}
	if got := owner.usableBase(); got < 224 {
		t.Errorf("the base of another daemon is %.0f, want 225", got)
	}
	clear(sim.isBlocked)
	sim.run(20*time.Second, sim.failOverLimit(t, 3))
	if got := cut.usableBase(); got < 149 {
		t.Errorf("a daemon that reconnected has a base of %.0f, want 150", got)
	}
}

// Guards against a base that expires during a store outage of hours, and
// against one that is used after BaseValidity.
func TestBaseIsValidForBaseValidity(t *testing.T) {
	sim := newSharesSimulation(4, 1, 1)
	sim.run(15*time.Second, nil)
	sim.isStoreDown[""] = true
	sim.run(BaseValidity-time.Minute, nil)
	if got := sim.totalUsable(); got < 449 {
		t.Errorf("after an outage of almost %v %.0f may be used, want 450", BaseValidity, got)
	}
	sim.run(2*time.Minute, nil)
	if got := sim.totalUsable(); got != 0 {
		t.Errorf("after an outage of over %v %.0f may be used", BaseValidity, got)
	}
}

// Guards against a confirmation by an owner while the stored number of silent
// periods is not 0: the next owner continues to count from there.
func TestBaseIsConfirmedOnlyWithoutSilentPeriods(t *testing.T) {
	sim := newSimulation(5)
	n := sim.startDaemon("d0", "dc0", "10.0.0.0:1")
	o := n.shares.ownership
	o.view = &MembersView{Self: n.id}
	o.handleLease(OwnerLease{Fence: 1, ValidUntil: sim.now.Add(time.Minute)})
	o.allocation = &BaseAllocation{Slots: []AllocationSlot{{Name: n.id.Name, Incarnation: n.id.Incarnation, Units: 1, Silent: 1}}}
	n.shares.sendDemand(sim.now)
	if !n.shares.baseValidUntil.IsZero() {
		t.Error("a base was confirmed while the store had silent periods of its daemon")
	}
	o.allocation.Slots[0].Silent = 0
	n.shares.sendDemand(sim.now)
	if want := sim.now.Add(BaseValidity); !n.shares.baseValidUntil.Equal(want) {
		t.Errorf("the base is valid until %v, want %v", n.shares.baseValidUntil, want)
	}
}

// Guards against a sum of bases over the limit while daemons are cut off for
// longer than their bases are valid, die or restart, and owners change.
func TestSumOfBasesNeverExceedsLimit(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds/10; seed++ {
		sim := newSharesSimulation(seed, 1, 4)
		sim.jitter = 200 * time.Millisecond
		sim.lostReplyRate = 0.1
		sim.slowWriteRate = 0.1
		script := rand.New(rand.NewPCG(seed, 4))
		check := sim.failOverLimit(t, seed)
		wanted := map[*simDaemon]float64{}
		sim.repeatDemand(wanted)
		for range 12 {
			sim.shortenBaseTimes()
			for _, n := range sim.daemons {
				wanted[n] = 900
			}
			live := sim.liveDaemons()
			n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
			switch script.IntN(5) {
			case 0, 1:
				for _, apart := range live {
					sim.setPartition(n.id.Address, apart.id.Address, apart != other)
				}
			case 2:
				sim.handOverLease("dc0")
			case 3:
				sim.startDaemon(n.id.Name, "dc0", n.id.Address, other.id.Address)
			case 4:
				sim.heal()
			}
			sim.shortenBaseTimes() // for the daemons that have just started
			sim.run(time.Duration(script.IntN(120_000))*time.Millisecond, check)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds/10)
}
