package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// randomSeeds is the number of seeds of each randomised test: 1 to
// randomSeeds.
const randomSeeds = 200

func (n *simDaemon) version(customer string) int64 {
	if n.set == nil {
		return 0
	}
	return n.set.Contracts[core.CustomerID(customer)].Version
}

// wantNewestEverywhere fails the test unless the newest version of each
// contract is in force at every daemon.
func (sim *simulation) wantNewestEverywhere(t *testing.T) {
	t.Helper()
	for key, o := range sim.objects {
		customer, isContract := cutContractPrefix(key)
		if !isContract {
			continue
		}
		for _, n := range sim.daemons {
			if !n.hasEnded && n.version(customer) != o.Version {
				t.Errorf("%s/%s has version %d of %s, the store has %d", n.id.DataCentre, n.id.Name, n.version(customer), customer, o.Version)
			}
		}
	}
}

// Guards against a contract change that misses a daemon, and against a number
// of store calls that grows with the number of daemons.
func TestContractChangeReachesEveryDaemon(t *testing.T) {
	sim := newSimulation(1)
	sim.startCluster(2, 4)
	sim.run(5*time.Second, nil)
	watching := 0
	for _, n := range sim.daemons {
		if n.isWatching {
			watching++
		}
	}
	if watching != 2*WatchersPerDataCentre {
		t.Errorf("%d daemons watch the store, want %d", watching, 2*WatchersPerDataCentre)
	}
	sim.setContract("prairie", 10)
	sim.run(100*time.Millisecond, nil)
	sim.wantNewestEverywhere(t)
	sim.put(ContractPrefix+"prairie", nil, true)
	sim.run(100*time.Millisecond, nil)
	sim.wantNewestEverywhere(t)
}

// Guards against a lost broadcast of a contract whose repair takes longer than
// 1 s after the next heartbeat.
func TestLostContractBroadcastIsRepairedWithinOneSecond(t *testing.T) {
	sim := newSimulation(2)
	sim.startCluster(1, 4)
	sim.run(5*time.Second, nil)
	sim.isLost = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	sim.setContract("prairie", 10)
	sim.run(10*time.Millisecond, nil)
	sim.isLost = nil
	sim.run(time.Second, nil)
	sim.wantNewestEverywhere(t)
}

// Guards against a repair that waits for the next heartbeat whenever the
// request or its response is lost. With 30% message loss a change must be in
// force everywhere within 4 s.
func TestContractSyncToleratesMessageLoss(t *testing.T) {
	sim := newSimulation(6)
	sim.startCluster(3, 10)
	sim.run(20*time.Second, nil)
	sim.isLost = func(Envelope) bool { return sim.random.IntN(10) < 3 }
	for range 20 {
		sim.setContract("prairie", 10)
		sim.run(4*time.Second, nil)
		sim.wantNewestEverywhere(t)
	}
}

// Guards against a daemon that becomes ready without contracts, or never
// becomes ready, when it starts during a store outage.
func TestStartWithoutStoreLoadsContractsFromPeers(t *testing.T) {
	sim := newSimulation(3)
	sim.startCluster(1, 3)
	sim.setContract("prairie", 10)
	sim.run(5*time.Second, nil)
	sim.isStoreDown[""] = true
	late := sim.startDaemon("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	sim.run(5*time.Second, func() {
		if late.config.state.Ready && late.version("prairie") == 0 {
			t.Fatal("the daemon is ready without the contract")
		}
	})
	if !late.config.state.Ready {
		t.Error("the daemon is not ready with the sets of all peers")
	}
	alone := sim.startDaemon("alone", "dc1", "10.1.0.0:1")
	sim.run(5*time.Second, nil)
	if alone.config.state.Ready {
		t.Error("a daemon without store and peers is ready")
	}
}

// Guards against a daemon that becomes ready although a reachable peer has not
// sent its contracts.
func TestNotReadyUntilEveryPeerResponded(t *testing.T) {
	sim := newSimulation(4)
	sim.startCluster(1, 3)
	sim.setContract("prairie", 10)
	sim.run(5*time.Second, nil)
	sim.isStoreDown[""] = true
	mute := sim.daemons[2].id
	sim.isLost = func(e Envelope) bool {
		_, isAnswer := e.Message.(Contracts)
		return isAnswer && e.From == mute
	}
	late := sim.startDaemon("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	sim.run(5*time.Second, nil)
	if late.config.state.Ready {
		t.Error("ready without the set of one reachable peer")
	}
	sim.isLost = nil
	sim.run(3*time.Second, nil)
	if !late.config.state.Ready {
		t.Error("not ready with the sets of all peers")
	}
}

// Guards against an operator status that hides a daemon with an old contract
// version.
func TestStatusShowsOutdatedContracts(t *testing.T) {
	sim := newSimulation(5)
	sim.startCluster(1, 3)
	sim.setContract("prairie", 10)
	sim.run(5*time.Second, nil)
	behind := sim.daemons[2].id
	sim.isLost = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	sim.daemons[2].isWatching = false
	sim.setContract("prairie", 20)
	sim.run(1500*time.Millisecond, nil)
	for _, n := range sim.daemons[:2] {
		if n.version("prairie") != 2 {
			continue
		}
		for _, p := range n.config.buildStatus().Peers {
			if p.ID == behind.ID() && (p.InSync || len(p.OutdatedContracts) != 1 || p.OutdatedContracts[0].Version != 1) {
				t.Errorf("status of the daemon with the old version is %+v", p)
			}
		}
	}
}

// Guards against an older contract version that replaces a newer one, through
// a data centre that was cut off, a late message, a store read or a restart.
func TestOlderContractVersionIsNeverApplied(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		sim := newSimulation(seed)
		sim.jitter = 300 * time.Millisecond
		sim.startCluster(2, 3)
		script := rand.New(rand.NewPCG(seed, 2))
		lastVersions := map[*simDaemon]map[string]int64{}
		check := func() {
			for _, n := range sim.daemons {
				if lastVersions[n] == nil {
					lastVersions[n] = map[string]int64{}
				}
				for _, customer := range []string{"a", "b"} {
					v := n.version(customer)
					if v < lastVersions[n][customer] {
						t.Fatalf("seed %d: %s/%s went from version %d of %s back to %d", seed, n.id.DataCentre, n.id.Name, lastVersions[n][customer], customer, v)
					}
					lastVersions[n][customer] = v
				}
			}
		}
		for range 12 {
			sim.randomFault(script)
			customer := string("ab"[script.IntN(2)])
			if script.IntN(4) == 0 {
				sim.put(ContractPrefix+customer, nil, true)
			} else {
				sim.setContract(customer, 10)
			}
			sim.run(time.Duration(script.IntN(2000))*time.Millisecond, check)
		}
		sim.heal()
		sim.run(15*time.Second, check)
		sim.wantNewestEverywhere(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds)
}

// randomFault changes one property of the network, the store or the daemons.
func (sim *simulation) randomFault(script *rand.Rand) {
	live := sim.liveDaemons()
	n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
	switch script.IntN(8) {
	case 0:
		sim.isStoreDown[n.id.DataCentre] = !sim.isStoreDown[n.id.DataCentre]
	case 1:
		sim.setPartition("dc0", "dc1", script.IntN(2) == 0)
	case 2:
		sim.isBlocked[[2]string{n.id.Address, other.id.Address}] = true
	case 3:
		sim.isLost = func(Envelope) bool { return script.IntN(3) == 0 }
	case 4:
		for _, l := range sim.links {
			l.isSilent = l.ends[0] == n
		}
	case 5:
		sim.startDaemon(n.id.Name, n.id.DataCentre, n.id.Address, fmt.Sprintf("10.%s.0.0:1", n.id.DataCentre[2:]))
	case 6:
		n.isPaused = true
		sim.after(time.Duration(script.IntN(8000))*time.Millisecond, func() { n.isPaused = false; n.markRunnable() })
	case 7:
		sim.heal()
	}
}

func (sim *simulation) liveDaemons() []*simDaemon {
	var live []*simDaemon
	for _, n := range sim.daemons {
		if !n.hasEnded {
			live = append(live, n)
		}
	}
	return live
}

func (sim *simulation) heal() {
	clear(sim.isBlocked)
	clear(sim.isStoreDown)
	sim.isLost = nil
}
