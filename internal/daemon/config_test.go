package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// randomSeeds is the number of seeds of each randomised test; they are 1 to randomSeeds.
const randomSeeds = 200

func (n *node) version(customer string) int64 {
	if n.set == nil {
		return 0
	}
	return n.set.Contracts[core.CustomerID(customer)].Version
}

// wantEverywhere fails unless the newest version of each contract is in force
// at every daemon.
func (w *world) wantEverywhere(t *testing.T) {
	t.Helper()
	for key, o := range w.objects {
		customer, isContract := cutPrefix(key)
		if !isContract {
			continue
		}
		for _, n := range w.nodes {
			if !n.ended && n.version(customer) != o.Version {
				t.Errorf("%s/%s has version %d of %s, the store has %d", n.id.DataCentre, n.id.Name, n.version(customer), customer, o.Version)
			}
		}
	}
}

// Guards against a change that misses a daemon, and against store calls that
// grow with the daemons.
func TestChangeReachesEveryDaemon(t *testing.T) {
	w := newWorld(1)
	w.cluster(2, 4)
	w.run(5*time.Second, nil)
	watching := 0
	for _, n := range w.nodes {
		if n.watching {
			watching++
		}
	}
	if watching != 2*WatchersPerDataCentre {
		t.Errorf("%d daemons watch, want %d", watching, 2*WatchersPerDataCentre)
	}
	w.setContract("prairie", 10)
	w.run(100*time.Millisecond, nil)
	w.wantEverywhere(t)
	w.put(ContractPrefix+"prairie", nil, true)
	w.run(100*time.Millisecond, nil)
	w.wantEverywhere(t)
}

// Guards against a lost relay that is repaired later than 1 s after the next
// heartbeat was due.
func TestLostRelayIsRepairedWithinASecond(t *testing.T) {
	w := newWorld(2)
	w.cluster(1, 4)
	w.run(5*time.Second, nil)
	w.drop = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	w.setContract("prairie", 10)
	w.run(10*time.Millisecond, nil)
	w.drop = nil
	w.run(time.Second, nil)
	w.wantEverywhere(t)
}

// Guards against a repair that waits for the next heartbeat each time the ask or
// its answer is lost: with 30% of all messages lost, the bound of 4 s holds.
func TestRepairSurvivesLostMessages(t *testing.T) {
	w := newWorld(6)
	w.cluster(3, 10)
	w.run(20*time.Second, nil)
	w.drop = func(Envelope) bool { return w.random.IntN(10) < 3 }
	for range 20 {
		w.setContract("prairie", 10)
		w.run(4*time.Second, nil)
		w.wantEverywhere(t)
	}
}

// Guards against a daemon that serves without contracts when it starts while
// the store is down, and against one that never becomes ready then.
func TestStartWithoutStoreTakesSetFromNeighbours(t *testing.T) {
	w := newWorld(3)
	w.cluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	w.noStore[""] = true
	late := w.start("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	w.run(5*time.Second, func() {
		if late.config.state.Ready && late.version("prairie") == 0 {
			t.Fatal("the daemon is ready without the contract")
		}
	})
	if !late.config.state.Ready {
		t.Error("the daemon is not ready with the sets of all neighbours")
	}
	alone := w.start("alone", "dc1", "10.1.0.0:1")
	w.run(5*time.Second, nil)
	if alone.config.state.Ready {
		t.Error("a daemon without store and neighbours is ready")
	}
}

// Guards against a ready state that skips a neighbour: each reachable one must
// have answered.
func TestNotReadyUntilEveryNeighbourAnswered(t *testing.T) {
	w := newWorld(4)
	w.cluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	w.noStore[""] = true
	mute := w.nodes[2].id
	w.drop = func(e Envelope) bool {
		_, isAnswer := e.Message.(Contracts)
		return isAnswer && e.From == mute
	}
	late := w.start("late", "dc0", "10.0.0.9:1", "10.0.0.0:1")
	w.run(5*time.Second, nil)
	if late.config.state.Ready {
		t.Error("ready without the set of one reachable neighbour")
	}
	w.drop = nil
	w.run(3*time.Second, nil)
	if !late.config.state.Ready {
		t.Error("not ready with the sets of all neighbours")
	}
}

// Guards against an operators' view that hides a daemon with an old version.
func TestStatusShowsWhatLags(t *testing.T) {
	w := newWorld(5)
	w.cluster(1, 3)
	w.setContract("prairie", 10)
	w.run(5*time.Second, nil)
	behind := w.nodes[2].id
	w.drop = func(e Envelope) bool { _, isRelay := e.Message.(Contracts); return isRelay }
	w.nodes[2].watching = false
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

// Guards against an older contract that comes back, by a relay of a data centre
// that was cut off, a late message, a store read or a restart.
func TestOlderContractNeverComesBack(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		w := newWorld(seed)
		w.jitter = 300 * time.Millisecond
		w.cluster(2, 3)
		script := rand.New(rand.NewPCG(seed, 2))
		held := map[*node]map[string]int64{}
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
		w.wantEverywhere(t)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds)
}

// randomFault changes one thing about the network, the store or the daemons.
func (w *world) randomFault(script *rand.Rand) {
	live := w.liveNodes()
	n, other := live[script.IntN(len(live))], live[script.IntN(len(live))]
	switch script.IntN(8) {
	case 0:
		w.noStore[n.id.DataCentre] = !w.noStore[n.id.DataCentre]
	case 1:
		w.cutBoth("dc0", "dc1", script.IntN(2) == 0)
	case 2:
		w.cut[[2]string{n.id.Address, other.id.Address}] = true
	case 3:
		w.drop = func(Envelope) bool { return script.IntN(3) == 0 }
	case 4:
		for _, l := range w.wires {
			l.silent = l.ends[0] == n
		}
	case 5:
		w.start(n.id.Name, n.id.DataCentre, n.id.Address, fmt.Sprintf("10.%s.0.0:1", n.id.DataCentre[2:]))
	case 6:
		n.paused = true
		w.at(time.Duration(script.IntN(8000))*time.Millisecond, func() { n.paused = false; n.touch() })
	case 7:
		w.heal()
	}
}

func (w *world) liveNodes() []*node {
	var live []*node
	for _, n := range w.nodes {
		if !n.ended {
			live = append(live, n)
		}
	}
	return live
}

func (w *world) heal() {
	clear(w.cut)
	clear(w.noStore)
	w.drop = nil
}
