package daemon

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shortenBaseTimes lets bases expire after 96 s instead of 12 h. A silent
// period stays longer than the period of demands.
func (w *simulation) shortenBaseTimes() {
	for _, n := range w.nodes {
		n.shares.baseValidity = BaseValidity / 450
		n.shares.silentPeriod = silentPeriod / 450
	}
}

func (n *simDaemon) usableBase() float64 { return n.amounts[requestsOfA].base }

// Guards against a base of a dead daemon that stays reserved, and against one
// that is released while the daemon may still use it.
func TestBaseOfDeadDaemonIsReleased(t *testing.T) {
	w := newSharesSimulation(1, 1, 3)
	w.shortenBaseTimes()
	w.run(10*time.Second, w.failOverLimit(t, 1))
	dead, owner := w.nodes[2], w.leases["dc0"].holder
	if owner == dead {
		dead = w.nodes[1]
	}
	w.kill(dead)
	w.run(90*time.Second, nil)
	if got := owner.usableBase(); got > 151 {
		t.Errorf("90 s after a death the base of another daemon is %.0f, want 150", got)
	}
	w.run(30*time.Second, nil)
	if got := owner.usableBase(); got < 224 {
		t.Errorf("120 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against a count of silent periods that restarts with each owner, so
// that a dead daemon keeps its base while owners change.
func TestSilentPeriodsAreCountedAcrossOwners(t *testing.T) {
	w := newSharesSimulation(2, 1, 3)
	w.shortenBaseTimes()
	w.run(10*time.Second, nil)
	dead := w.nodes[2]
	w.kill(dead)
	for range 6 {
		w.run(25*time.Second, w.failOverLimit(t, 2))
		w.handOverLease("dc0")
	}
	if got := w.nodes[0].usableBase(); got < 224 {
		t.Errorf("150 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against the use of a base that the owner may have released, by a
// daemon that is cut off, or whose base was confirmed while its silence was
// being counted.
func TestCutOffDaemonStopsUsingItsBase(t *testing.T) {
	w := newSharesSimulation(3, 1, 3)
	w.shortenBaseTimes()
	w.run(10*time.Second, nil)
	owner := w.leases["dc0"].holder
	cut := w.nodes[0]
	if cut == owner {
		cut = w.nodes[1]
	}
	w.repeatDemand(map[*simDaemon]float64{owner: 900})
	for _, n := range w.nodes {
		if n != cut {
			w.setPartition(n.id.Address, cut.id.Address, true)
		}
	}
	w.run(90*time.Second, w.failOverLimit(t, 3))
	if got := cut.usableBase(); got < 149 {
		t.Errorf("the base expired early, at %.0f", got)
	}
	w.run(60*time.Second, w.failOverLimit(t, 3))
	if got := w.usableUnits(); got < 890 {
		t.Errorf("after the release %.0f may be used, want all but little of 900", got)
	}
	if got := owner.usableBase(); got < 224 {
		t.Errorf("the base of another daemon is %.0f, want 225", got)
	}
	clear(w.isBlocked)
	w.run(20*time.Second, w.failOverLimit(t, 3))
	if got := cut.usableBase(); got < 149 {
		t.Errorf("a daemon that reconnected has a base of %.0f, want 150", got)
	}
}

// Guards against a base that expires during a store outage of hours, and
// against one that is used after BaseValidity.
func TestBaseIsValidForBaseValidity(t *testing.T) {
	w := newSharesSimulation(4, 1, 1)
	w.run(15*time.Second, nil)
	w.isStoreDown[""] = true
	w.run(BaseValidity-time.Minute, nil)
	if got := w.usableUnits(); got < 449 {
		t.Errorf("after an outage of almost %v %.0f may be used, want 450", BaseValidity, got)
	}
	w.run(2*time.Minute, nil)
	if got := w.usableUnits(); got != 0 {
		t.Errorf("after an outage of over %v %.0f may be used", BaseValidity, got)
	}
}

// Guards against a confirmation by an owner while the stored number of silent
// periods is not 0: the next owner continues to count from there.
func TestBaseIsConfirmedOnlyWithoutSilentPeriods(t *testing.T) {
	w := newSimulation(5)
	n := w.startDaemon("d0", "dc0", "10.0.0.0:1")
	o := n.shares.ownership
	o.view = &MembersView{Self: n.id}
	o.handleLease(OwnerLease{Fence: 1, ValidUntil: w.now.Add(time.Minute)})
	o.allocation = &BaseAllocation{Slots: []AllocationSlot{{Name: n.id.Name, Incarnation: n.id.Incarnation, Units: 1, Silent: 1}}}
	n.shares.sendDemand(w.now)
	if !n.shares.baseValidUntil.IsZero() {
		t.Error("a base was confirmed while the store had silent periods of its daemon")
	}
	o.allocation.Slots[0].Silent = 0
	n.shares.sendDemand(w.now)
	if want := w.now.Add(BaseValidity); !n.shares.baseValidUntil.Equal(want) {
		t.Errorf("the base is valid until %v, want %v", n.shares.baseValidUntil, want)
	}
}

// Guards against a sum of bases over the limit while daemons are cut off for
// longer than their bases are valid, die or restart, and owners change.
func TestSumOfBasesNeverExceedsLimit(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds/10; seed++ {
		w := newSharesSimulation(seed, 1, 4)
		w.jitter = 200 * time.Millisecond
		w.lostReplyRate = 0.1
		w.slowWriteRate = 0.1
		script := rand.New(rand.NewPCG(seed, 4))
		check := w.failOverLimit(t, seed)
		wanted := map[*simDaemon]float64{}
		w.repeatDemand(wanted)
		for range 12 {
			w.shortenBaseTimes()
			for _, n := range w.nodes {
				wanted[n] = 900
			}
			live := w.liveNodes()
			n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
			switch script.IntN(5) {
			case 0, 1:
				for _, apart := range live {
					w.setPartition(n.id.Address, apart.id.Address, apart != other)
				}
			case 2:
				w.handOverLease("dc0")
			case 3:
				w.startDaemon(n.id.Name, "dc0", n.id.Address, other.id.Address)
			case 4:
				w.heal()
			}
			w.shortenBaseTimes() // for the daemons that have just started
			w.run(time.Duration(script.IntN(120_000))*time.Millisecond, check)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds/10)
}
