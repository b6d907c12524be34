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
func (w *simulation) wantNewestEverywhere(t *testing.T) {
	t.Helper()
	for key, o := range w.objects {
		customer, isContract := cutContractPrefix(key)
		if !isContract {
			continue
		}
		for _, n := range w.nodes {
			if !n.hasEnded && n.version(customer) != o.Version {
				t.Errorf("%s/%s has version %d of %s, the store has %d", n.id.DataCentre, n.id.Name, n.version(customer), customer, o.Version)
			}
		}
	}
}

// Guards against a contract change that misses a daemon, and against a number
// of store calls that grows with the number of daemons.
func TestContractChangeReachesEveryDaemon(t *testing.T) {
	w := newSimulation(1)
	w.startCluster(2, 4)
	w.run(5*time.Second, nil)
	watching := 0
	for _, n := range w.nodes {
		if n.isWatching {
			watching++
		}
	}
	if watching != 2*WatchersPerDataCentre {
		t.Errorf("%d daemons watch the store, want %d", watching, 2*WatchersPerDataCentre)
	}
	w.setContract("prairie", 10)
	w.run(100*time.Millisecond, nil)
	w.wantNewestEverywhere(t)
	w.put(ContractPrefix+"prairie", nil, true)
	w.run(100*time.Millisecond, nil)
	w.wantNewestEverywhere(t)
}

// Guards against a lost broadcast of a contract that is repaired later than 1
// s after the next heartbeat.
func TestLostContractBroadcastIsRepairedWithinOneSecond(t *testing.T) {
	w := newSimulation(2)
	w.startCluster(1, 4)
	w.run(5*time.Second, nil)
	w.isLost = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	w.setContract("prairie", 10)
	w.run(10*time.Millisecond, nil)
	w.isLost = nil
	w.run(time.Second, nil)
	w.wantNewestEverywhere(t)
}

// Guards against a repair that waits for the next heartbeat whenever the
// request or its response is lost. With 30% message loss a change must be in
// force everywhere within 4 s.
func TestContractSyncToleratesMessageLoss(t *testing.T) {
	w := newSimulation(6)
	w.startCluster(3, 10)
	w.run(20*time.Second, nil)
	w.isLost = func(Envelope) bool { return w.random.IntN(10) < 3 }
	for range 20 {
		w.setContract("prairie", 10)
		w.run(4*time.Second, nil)
		w.wantNewestEverywhere(t)
	}
}

// Guards against a daemon that becomes ready without contracts, or never
// becomes ready, when it starts during a store outage.
func TestStartWithoutStoreLoadsContractsFromPeers(t *testing.T) {
	w := newSimulation(3)
	w.startCluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	w.isStoreDown[""] = true
	late := w.startDaemon("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	w.run(5*time.Second, func() {
		if late.config.state.Ready && late.version("prairie") == 0 {
			t.Fatal("the daemon is ready without the contract")
		}
	})
	if !late.config.state.Ready {
		t.Error("the daemon is not ready with the sets of all peers")
	}
	alone := w.startDaemon("alone", "dc1", "10.1.0.0:1")
	w.run(5*time.Second, nil)
	if alone.config.state.Ready {
		t.Error("a daemon without store and peers is ready")
	}
}

// Guards against a daemon that becomes ready although a reachable peer has not
// sent its contracts.
func TestNotReadyUntilEveryPeerResponded(t *testing.T) {
	w := newSimulation(4)
	w.startCluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	w.isStoreDown[""] = true
	mute := w.nodes[2].id
	w.isLost = func(e Envelope) bool {
		_, isAnswer := e.Message.(Contracts)
		return isAnswer && e.From == mute
	}
	late := w.startDaemon("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	w.run(5*time.Second, nil)
	if late.config.state.Ready {
		t.Error("ready without the set of one reachable peer")
	}
	w.isLost = nil
	w.run(3*time.Second, nil)
	if !late.config.state.Ready {
		t.Error("not ready with the sets of all peers")
	}
}

// Guards against an operator status that hides a daemon with an old contract
// version.
func TestStatusShowsOutdatedContracts(t *testing.T) {
	w := newSimulation(5)
	w.startCluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	behind := w.nodes[2].id
	w.isLost = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	w.nodes[2].isWatching = false
	w.setContract("prairie", 20)
	w.run(1500*time.Millisecond, nil)
	for _, n := range w.nodes[:2] {
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
		w := newSimulation(seed)
		w.jitter = 300 * time.Millisecond
		w.startCluster(2, 3)
		script := rand.New(rand.NewPCG(seed, 2))
		held := map[*simDaemon]map[string]int64{}
		check := func() {
			for _, n := range w.nodes {
				if held[n] == nil {
					held[n] = map[string]int64{}
				}
				for _, customer := range []string{"a", "b"} {
					v := n.version(customer)
					if v < held[n][customer] {
						t.Fatalf("seed %d: %s/%s went from version %d of %s back to %d", seed, n.id.DataCentre, n.id.Name, held[n][customer], customer, v)
					}
					held[n][customer] = v
				}
			}
		}
		for range 12 {
			w.randomFault(script)
			customer := string("ab"[script.IntN(2)])
			if script.IntN(4) == 0 {
				w.put(ContractPrefix+customer, nil, true)
			} else {
				w.setContract(customer, 10)
			}
			w.run(time.Duration(script.IntN(2000))*time.Millisecond, check)
		}
		w.heal()
		w.run(15*time.Second, check)
		w.wantNewestEverywhere(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds)
}

// randomFault changes one property of the network, the store or the daemons.
func (w *simulation) randomFault(script *rand.Rand) {
	live := w.liveNodes()
	n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
	switch script.IntN(8) {
	case 0:
		w.isStoreDown[n.id.DataCentre] = !w.isStoreDown[n.id.DataCentre]
	case 1:
		w.setPartition("dc0", "dc1", script.IntN(2) == 0)
	case 2:
		w.isBlocked[[2]string{n.id.Address, other.id.Address}] = true
	case 3:
		w.isLost = func(Envelope) bool { return script.IntN(3) == 0 }
	case 4:
		for _, l := range w.links {
			l.isSilent = l.ends[0] == n
		}
	case 5:
		w.startDaemon(n.id.Name, n.id.DataCentre, n.id.Address, fmt.Sprintf("10.%s.0.0:1", n.id.DataCentre[2:]))
	case 6:
		n.isPaused = true
		w.after(time.Duration(script.IntN(8000))*time.Millisecond, func() { n.isPaused = false; n.markRunnable() })
	case 7:
		w.heal()
	}
}

func (w *simulation) liveNodes() []*simDaemon {
	var live []*simDaemon
	for _, n := range w.nodes {
		if !n.hasEnded {
			live = append(live, n)
		}
	}
	return live
}

func (w *simulation) heal() {
	clear(w.isBlocked)
	clear(w.isStoreDown)
	w.isLost = nil
}
