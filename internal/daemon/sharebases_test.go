package daemon

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shortBases makes bases end after 96 s in place of 12 h. A silent period stays
// longer than the period of demands.
func (w *world) shortBases() {
	for _, n := range w.nodes {
		n.shares.baseValidity = BaseValidity / 450
		n.shares.silentPeriod = silentPeriod / 450
	}
}

func (n *node) baseOfA() float64 { return n.amounts[requestsOfA].base }

// Guards against the base of a daemon that died for good staying reserved, and
// against one that is released while the daemon may still use it.
func TestBaseOfDeadDaemonIsReleased(t *testing.T) {
	w := sharesWorld(1, 1, 3)
	w.shortBases()
	w.run(10*time.Second, w.wantUnderLimit(t, 1))
	dead, owner := w.nodes[2], w.leases["dc0"].holder
	if owner == dead {
		dead = w.nodes[1]
	}
	w.end(dead)
	w.run(90*time.Second, nil)
	if got := owner.baseOfA(); got > 151 {
		t.Errorf("90 s after a death the base of another daemon is %.0f, want 150", got)
	}
	w.run(30*time.Second, nil)
	if got := owner.baseOfA(); got < 224 {
		t.Errorf("120 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against a silence that starts anew with each owner, so that a dead
// daemon keeps its base for as long as owners change.
func TestSilenceIsCountedAcrossOwners(t *testing.T) {
	w := sharesWorld(2, 1, 3)
	w.shortBases()
	w.run(10*time.Second, nil)
	dead := w.nodes[2]
	w.end(dead)
	for range 6 {
		w.run(25*time.Second, w.wantUnderLimit(t, 2))
		w.handOver("dc0")
	}
	if got := w.nodes[0].baseOfA(); got < 224 {
		t.Errorf("150 s after a death the base of another daemon is %.0f, want 225", got)
	}
}

// Guards against a base that is used after the owner may have released it: the
// daemon is cut off, or its base was confirmed while the silence was being
// counted.
func TestCutOffDaemonStopsUsingItsBase(t *testing.T) {
	w := sharesWorld(3, 1, 3)
	w.shortBases()
	w.run(10*time.Second, nil)
	owner := w.leases["dc0"].holder
	cut := w.nodes[0]
	if cut == owner {
		cut = w.nodes[1]
	}
	w.use(map[*node]float64{owner: 900})
	for _, n := range w.nodes {
		if n != cut {
			w.cutBoth(n.id.Address, cut.id.Address, true)
		}
	}
	w.run(90*time.Second, w.wantUnderLimit(t, 3))
	if got := cut.baseOfA(); got < 149 {
		t.Errorf("the base ended early, with %.0f", got)
	}
	w.run(60*time.Second, w.wantUnderLimit(t, 3))
	if got := w.inUse(); got < 890 {
		t.Errorf("after the release %.0f may be used, want all but little of 900", got)
	}
	if got := owner.baseOfA(); got < 224 {
		t.Errorf("the base of another daemon is %.0f, want 225", got)
	}
	clear(w.cut)
	w.run(20*time.Second, w.wantUnderLimit(t, 3))
	if got := cut.baseOfA(); got < 149 {
		t.Errorf("a daemon that came back has a base of %.0f, want 150", got)
	}
}

// Guards against an outage of the store of hours that takes bases away, and
// against a base that lasts for longer than its time limit.
func TestBaseLastsForItsTimeLimit(t *testing.T) {
	w := sharesWorld(4, 1, 1)
	w.run(15*time.Second, nil)
	w.noStore[""] = true
	w.run(BaseValidity-time.Minute, nil)
	if got := w.inUse(); got < 449 {
		t.Errorf("after an outage of almost %v %.0f may be used, want 450", BaseValidity, got)
	}
	w.run(2*time.Minute, nil)
	if got := w.inUse(); got != 0 {
		t.Errorf("after an outage of over %v %.0f may be used", BaseValidity, got)
	}
}

// Guards against a confirmation by an owner while the stored count of silent
// periods is not 0: the next owner counts on from there.
func TestBaseIsConfirmedOnlyWithoutCountedSilence(t *testing.T) {
	w := newWorld(5)
	n := w.start("d0", "dc0", "10.0.0.0:1")
	o := n.shares.ownership
	o.view = &MembersView{Self: n.id}
	o.handleLease(OwnerLease{Fence: 1, ValidUntil: w.now.Add(time.Minute)})
	o.roster = &BaseAllocation{Slots: []AllocationSlot{{Name: n.id.Name, Incarnation: n.id.Incarnation, Units: 1, Silent: 1}}}
	n.shares.demand(w.now)
	if !n.shares.baseUntil.IsZero() {
		t.Error("a base was confirmed with silence counted in the store")
	}
	o.roster.Slots[0].Silent = 0
	n.shares.demand(w.now)
	if want := w.now.Add(BaseValidity); !n.shares.baseUntil.Equal(want) {
		t.Errorf("the base counts until %v, want %v", n.shares.baseUntil, want)
	}
}

// Guards against a sum of bases over the limit while daemons are cut off for
// longer than their bases last, die, come back, and owners change.
func TestSumOfBasesNeverExceedsLimit(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds/10; seed++ {
		w := sharesWorld(seed, 1, 4)
		w.jitter = 200 * time.Millisecond
		w.lostAnswer = 0.1
		w.slowWrite = 0.1
		script := rand.New(rand.NewPCG(seed, 4))
		check := w.wantUnderLimit(t, seed)
		wanted := map[*node]float64{}
		w.use(wanted)
		for range 12 {
			w.shortBases()
			for _, n := range w.nodes {
				wanted[n] = 900
			}
			live := w.liveNodes()
			n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
			switch script.IntN(5) {
			case 0, 1:
				for _, apart := range live {
					w.cutBoth(n.id.Address, apart.id.Address, apart != other)
				}
			case 2:
				w.handOver("dc0")
			case 3:
				w.start(n.id.Name, "dc0", n.id.Address, other.id.Address)
			case 4:
				w.heal()
			}
			w.shortBases() // at a daemon that has just started too
			w.run(time.Duration(script.IntN(120_000))*time.Millisecond, check)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds/10)
}
