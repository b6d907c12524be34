package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

var requestsOfA = ShareKey{Customer: "a", Limit: LimitRequests}

// repeatDemand reports the daemons' demands for the limit of customer a every
// 500 ms.
func (sim *simulation) repeatDemand(amounts map[*simDaemon]float64) {
	for _, n := range sim.daemons {
		if amount, ok := amounts[n]; ok && !n.hasEnded && !n.isPaused {
			n.shares.ReportDemand(requestsOfA.Customer, requestsOfA.Limit, amount)
			n.markRunnable()
		}
	}
	sim.after(500*time.Millisecond, func() { sim.repeatDemand(amounts) })
}

func (sim *simulation) totalUsable() float64 {
	var total float64
	for _, n := range sim.daemons {
		if !n.hasEnded {
			total += n.amounts[requestsOfA].usableAt(sim.now)
		}
	}
	return total
}

// newSharesSimulation returns a cluster in which customer a has a limit of 900
// requests/s.
func newSharesSimulation(seed uint64, dataCentres, daemonsPerDataCentre int) *simulation {
	sim := newSimulation(seed)
	sim.startCluster(dataCentres, daemonsPerDataCentre)
	sim.setContract("a", 900)
	sim.after(3*time.Second, sim.renewLeases)
	return sim
}

func (sim *simulation) failOverLimit(t *testing.T, seed uint64) func() {
	return func() {
		if total := sim.totalUsable(); total > 900.001 {
			t.Fatalf("seed %d: daemons may use %.3f of 900 in all", seed, total)
		}
	}
}

// Guards against shares that stay with idle daemons and idle data centres.
func TestUnusedSharesMoveWithinSeconds(t *testing.T) {
	sim := newSharesSimulation(1, 3, 3)
	busy := sim.daemons[0]
	sim.run(20*time.Second, sim.failOverLimit(t, 1))
	sim.repeatDemand(map[*simDaemon]float64{busy: 900})
	sim.run(2*time.Second, sim.failOverLimit(t, 1))
	// Its data centre has 300: a base of 150, of which 50 are its own, and 150 to grant.
	if got := busy.amounts[requestsOfA].usableAt(sim.now); got < 199 {
		t.Errorf("after 2 s the busy daemon may use %.0f, want 200", got)
	}
	sim.run(5*time.Second, sim.failOverLimit(t, 1))
	if got := busy.amounts[requestsOfA].usableAt(sim.now); got < 490 {
		t.Errorf("after 7 s the busy daemon may use %.0f, want 500", got)
	}
}

// Guards against a grant that stays reserved after the death of its daemon.
func TestGrantOfDeadDaemonIsReleased(t *testing.T) {
	sim := newSharesSimulation(2, 1, 3)
	sim.run(15*time.Second, nil)
	owner := sim.leases["dc0"].holder
	var users []*simDaemon
	for _, n := range sim.daemons {
		if n != owner {
			users = append(users, n)
		}
	}
	wanted := map[*simDaemon]float64{users[0]: 900}
	sim.repeatDemand(wanted)
	sim.run(3*time.Second, sim.failOverLimit(t, 2))
	sim.kill(users[0])
	wanted[users[1]] = 900
	sim.run(5*time.Second, sim.failOverLimit(t, 2))
	if got := users[1].amounts[requestsOfA].usableAt(sim.now); got < 595 {
		t.Errorf("5 s after the death another daemon may use %.0f, want 600", got)
	}
}

// Guards against a base that stays reserved for a replaced daemon instead of
// passing to its successor.
func TestBaseOfReplacedDaemonIsInherited(t *testing.T) {
	sim := newSharesSimulation(3, 1, 3)
	sim.run(15*time.Second, nil)
	old := sim.daemons[2]
	replacement := sim.startDaemon("replacement", "dc0", old.id.Address, sim.daemons[0].id.Address)
	sim.run(15*time.Second, sim.failOverLimit(t, 3))
	if got := replacement.amounts[requestsOfA].usableAt(sim.now); got < 149 {
		t.Errorf("the replacement may use %.0f, want a base of 150", got)
	}
}

// Guards against new daemons without a base, and against bases that exceed the
// data centre's part while they are redistributed.
func TestBasesAreEqualAfterJoin(t *testing.T) {
	sim := newSharesSimulation(4, 1, 2)
	sim.run(15*time.Second, sim.failOverLimit(t, 4))
	sim.startDaemon("joined", "dc0", "10.0.0.9:1", sim.daemons[0].id.Address)
	sim.run(15*time.Second, sim.failOverLimit(t, 4))
	for _, n := range sim.daemons {
		if got := n.amounts[requestsOfA].base; got < 149 || got > 151 {
			t.Errorf("%s has a base of %.0f, want 150", n.id.Name, got)
		}
	}
}

// Guards against a base that is lost when the store becomes unavailable.
func TestBaseIsKeptDuringStoreOutage(t *testing.T) {
	sim := newSharesSimulation(5, 1, 3)
	sim.run(15*time.Second, nil)
	sim.isStoreDown[""] = true
	sim.run(time.Minute, sim.failOverLimit(t, 5))
	if got := sim.totalUsable(); got < 449 {
		t.Errorf("after a minute without the store %.0f may be used, want 450", got)
	}
}

// Guards against a sum of shares over the limit, through partitions, deaths,
// pauses, restarts, lost store replies and changes of the owner.
func TestSumOfSharesNeverExceedsLimit(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		sim := newSharesSimulation(seed, 2, 3)
		sim.slowWriteRate = 0.1
		sim.jitter = 200 * time.Millisecond
		sim.lostReplyRate = 0.1
		script := rand.New(rand.NewPCG(seed, 3))
		wanted := map[*simDaemon]float64{}
		sim.repeatDemand(wanted)
		check := sim.failOverLimit(t, seed)
		sim.run(12*time.Second, check)
		for range 12 {
			sim.randomFault(script)
			sim.randomOwnerFault(script)
			for _, n := range sim.liveDaemons() {
				wanted[n] = float64(script.IntN(3) * 450)
			}
			sim.run(time.Duration(script.IntN(5000))*time.Millisecond, check)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds)
}

// randomOwnerFault applies one fault to the shares owner of a data centre.
func (sim *simulation) randomOwnerFault(script *rand.Rand) {
	lease := sim.leases["dc0"]
	live := sim.liveDaemons()
	other := live[script.IntN(len(live))]
	if lease == nil || lease.holder.hasEnded {
		return
	}
	owner := lease.holder.id
	switch script.IntN(8) {
	case 0, 1:
		sim.isStoreDown[owner.Address] = true
		sim.after(7*time.Second, func() { delete(sim.isStoreDown, owner.Address) })
	case 2:
		sim.setPartition(owner.Address, other.id.Address, true)
	case 3:
		if len(live) < 9 {
			address := fmt.Sprintf("10.0.0.%d:1", 10+len(sim.daemons))
			sim.startDaemon(fmt.Sprintf("new%d", len(sim.daemons)), "dc0", address, other.id.Address, owner.Address)
		}
	case 4, 5, 6:
		sim.handOverDuringTransfer(60)
	case 7:
		sim.handOverDuringGrant()
	}
}

// handOverDuringTransfer hands the lease of a data centre over while its owner
// is writing a transfer that takes effect seconds later, and retries for a
// while if there is none. The daemons of the transferring data centre demand
// the whole limit.
func (sim *simulation) handOverDuringTransfer(tries int) {
	for _, dataCentre := range []string{"dc0", "dc1"} {
		l := sim.leases[dataCentre]
		if l == nil || l.holder.hasEnded {
			continue
		}
		for customer, c := range l.holder.shares.ownership.splits {
			if customer == requestsOfA.Customer && c.isWritingTransfers {
				sim.handOverLease(dataCentre)
				sim.demandWholeLimit(dataCentre)
				sim.slowWriteRate = 0.1
				return
			}
		}
	}
	sim.slowWriteRate = 0.5
	if tries == 0 {
		sim.slowWriteRate = 0.1
		return
	}
	sim.after(100*time.Millisecond, func() { sim.handOverDuringTransfer(tries - 1) })
}

// handOverDuringGrant hands the lease of dc0 over while another daemon has a
// grant of the earlier owner and cannot reach the new one.
func (sim *simulation) handOverDuringGrant() {
	holder := sim.leases["dc0"].holder
	for _, n := range sim.liveDaemons() {
		if n == holder || !sim.now.Before(n.amounts[requestsOfA].until) {
			continue
		}
		for _, other := range sim.liveDaemons() {
			sim.setPartition(n.id.Address, other.id.Address, true)
		}
		sim.after(5*time.Second, sim.heal)
	}
	sim.handOverLease("dc0")
	sim.demandWholeLimit("dc0")
}

// demandWholeLimit reports a demand for the whole limit once at each daemon of
// the data centre.
func (sim *simulation) demandWholeLimit(dataCentre string) {
	for _, n := range sim.liveDaemons() {
		if n.id.DataCentre == dataCentre {
			n.shares.ReportDemand(requestsOfA.Customer, requestsOfA.Limit, 900)
			n.markRunnable()
		}
	}
}

// Guards against grants that are valid longer at the receiver than at the
// owner because the response was delayed.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	sim := newSimulation(6)
	n := sim.startDaemon("d0", "dc0", "10.0.0.0:1")
	s := n.shares
	s.limits[requestsOfA] = 900
	s.owner = PeerID{DataCentre: "dc0", Name: "owner"}
	s.sendDemand(sim.now)
	sim.now = sim.now.Add(GrantValidity)
	s.applyGrants(Identity{Name: "owner", DataCentre: "dc0"}, ShareGrants{
		Sequence: s.sequence, Fence: 1, Bases: []ShareAmount{{Key: requestsOfA}},
		BasesDigest: amountDigest(ShareAmount{Key: requestsOfA}), Grants: []IndexedAmount{{Units: ShareUnits}},
	})
	if got := n.amounts[requestsOfA].usableAt(sim.now); got != 0 {
		t.Errorf("a grant of %v that arrived after its expiry is used", got)
	}
}

// Guards against a backend server that two daemons of a data centre poll or
// none does, and against outstanding work that stays in the sum after its
// daemon's death.
func TestLoadIsSharedAndRemovedAfterDeath(t *testing.T) {
	sim := newSimulation(7)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	for _, server := range []core.ServerID{"s0", "s1", "s2", "s3"} {
		pollers := 0
		for _, n := range sim.daemons {
			if IsPollerOf(n.peers.view, server) {
				pollers++
				n.load.Report(LocalReport{Server: server, MeasuredAt: sim.now, Running: 3})
			}
			n.peers.SetWork([]ServerWork{{Server: HashServerID(server), Outstanding: 2}})
			n.markRunnable()
		}
		if pollers != 1 {
			t.Errorf("%d daemons poll %s", pollers, server)
		}
	}
	sim.run(2*time.Second, nil)
	var reports int
	for _, n := range sim.daemons {
		reports += len(n.reports)
		if n.work[HashServerID("s3")] != 4 {
			t.Errorf("%s has %d as others' work, want 4", n.id.Name, n.work[HashServerID("s3")])
		}
	}
	if reports != 8 {
		t.Errorf("%d reports arrived, want each of 4 at 2 daemons", reports)
	}
	sim.kill(sim.daemons[1])
	sim.run(7*time.Second, nil)
	if got := sim.daemons[0].work[HashServerID("s3")]; got != 2 {
		t.Errorf("after a death the others' work is %d, want 2", got)
	}
}

// Guards against a server whose report is discarded because others reported
// often while the duty was delayed.
func TestFullLoadRingKeepsNewestOfEachServer(t *testing.T) {
	sim := newSimulation(12)
	l := sim.startDaemon("d0", "dc0", "10.0.0.0:1").load
	l.Report(LocalReport{Server: "rare", MeasuredAt: sim.now})
	for i := range 3 * loadRingCapacity {
		l.Report(LocalReport{Server: "often", MeasuredAt: sim.now.Add(time.Duration(i))})
	}
	l.loop.RunPending()
	if _, kept := l.pending["rare"]; !kept {
		t.Error("the report of a server that reports rarely was dropped")
	}
	if got := l.pending["often"].MeasuredAt.Sub(sim.now); got != 3*loadRingCapacity-1 {
		t.Errorf("the report of the other server is number %d", got)
	}
}

// Guards against a base that increases within an allocation version, after the
// owner was notified of a decrease.
func TestBaseOnlyDecreasesWithinAllocationVersion(t *testing.T) {
	sim := newSimulation(8)
	s := sim.startDaemon("d0", "dc0", "10.0.0.0:1").shares
	for _, units := range []int64{500_000, 300_000, 500_000} {
		s.applyAllocation(ShareGrants{AllocationVersion: 4, BaseUnits: units})
	}
	if s.baseUnits != 300_000 {
		t.Errorf("the base is %d units, want 300000", s.baseUnits)
	}
	s.applyAllocation(ShareGrants{AllocationVersion: 3, BaseUnits: 200_000})
	if s.baseUnits != 300_000 {
		t.Errorf("an earlier allocation changed the base to %d units", s.baseUnits)
	}
}

// Guards against ended work that stays in the sum because the heartbeat with
// the change was lost.
func TestLostWorkChangeIsRepaired(t *testing.T) {
	sim := newSimulation(9)
	sim.startCluster(1, 2)
	sender, receiver := sim.daemons[0], sim.daemons[1]
	set := func(work ...ServerWork) {
		sender.peers.SetWork(work)
		sender.markRunnable()
	}
	set(ServerWork{Server: 1, Outstanding: 5}, ServerWork{Server: 2, Outstanding: 5})
	sim.run(5*time.Second, nil)
	set(ServerWork{Server: 2, Outstanding: 6})
	sim.run(2*time.Second, nil)
	if receiver.work[1] != 0 || receiver.work[2] != 6 {
		t.Errorf("after a change the others' work is %v", receiver.work)
	}
	sim.isLost = func(Envelope) bool { return true }
	set(ServerWork{Server: 3, Outstanding: 1})
	sim.run(1500*time.Millisecond, nil)
	sim.isLost = nil
	sim.run(heartbeatsPerFullWork*HeartbeatPeriod, nil)
	if receiver.work[2] != 0 || receiver.work[3] != 1 {
		t.Errorf("after a lost change the others' work is %v", receiver.work)
	}
}

// Guards against grants of a new owner while grants of the earlier one are
// valid.
func TestNewOwnerWaitsForEarlierGrants(t *testing.T) {
	sim := newSimulation(10)
	n := sim.startDaemon("d0", "dc0", "10.0.0.0:1")
	o := n.shares.ownership
	o.view = &MembersView{Self: n.id}
	o.handleLease(OwnerLease{Fence: 2, ValidUntil: sim.now.Add(time.Minute)})
	o.allocation = &BaseAllocation{}
	o.splits["a"] = &customerSplit{split: NewShareSplit([]string{"dc0"})}
	o.ensureBaseTable()
	index := slices.IndexFunc(o.baseTable, func(a ShareAmount) bool { return a.Key == requestsOfA })
	demand := ShareDemand{BasesDigest: o.baseTableDigest, Requested: []IndexedAmount{{Index: uint32(index), Units: 1000}}}
	o.handleDemand(n.id, demand)
	if got := o.reservedUnits(requestsOfA, nil); got != 0 {
		t.Errorf("a new owner granted %d units immediately", got)
	}
	sim.now = sim.now.Add(GrantValidity + grantMargin)
	o.handleDemand(n.id, demand)
	if got := o.reservedUnits(requestsOfA, nil); got != 1000 {
		t.Errorf("after the wait the owner granted %d units, want 1000", got)
	}
}

// Guards against a transfer of an earlier owner that takes effect late, while
// a new owner grants from the pool as it was before.
func TestLateWriteOfEarlierOwnerFails(t *testing.T) {
	sim := newSharesSimulation(11, 2, 1)
	sim.run(10*time.Second, nil)
	n := sim.daemons[0]
	key := SharePrefix + "a"
	late := platform.Op{Kind: platform.OpPut, Key: key, IfVersion: sim.objects[key].Version, Value: sim.objects[key].Value}
	sim.leases["dc0"].fence++
	sim.run(5*time.Second, nil)
	if n.shares.ownership.splits["a"].split == nil {
		t.Fatal("the new owner has no split")
	}
	if r := sim.apply(late); r.Err == nil {
		t.Error("a write of the earlier owner took effect after the new owner had claimed the split")
	}
}
