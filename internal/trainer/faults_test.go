package trainer_test

import (
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
)

const faultSeeds = 240

func testContract(names ...string) core.Contract {
	c := core.Contract{
		Customer:  "prairie",
		Freshness: core.Freshness{MaxVersionsBehind: 1, MaxAge: core.Duration(40 * time.Second)},
		Services:  []core.Service{{Name: "wear-model", Kind: core.KindEngine, Models: []core.Model{{Name: model}}}},
	}
	for _, name := range names {
		c.Trainers = append(c.Trainers, core.Trainer{Name: name, Service: "wear-model", Share: 0.5, SpareSamples: 1})
	}
	return c
}

// Guards against a group that is lost, delivered stale or without a label,
// acknowledged before the ledger records it, or never delivered. The faults:
// owners crash, pause and resume, the store fails and loses replies, writes take
// effect late, requests and answers are lost, and trainers restart, some from
// checkpoints older than their acknowledgements.
func TestEveryGroupIsDeliveredOnce(t *testing.T) {
	var total trainer.Stats
	for seed := uint64(1); seed <= faultSeeds; seed++ {
		stats := runSeed(t, seed)
		total.Takeovers += stats.Takeovers
		total.UnlabelledSamples += stats.UnlabelledSamples
		total.StaleGroups += stats.StaleGroups
		total.Redeliveries += stats.Redeliveries
		total.StaleRuns += stats.StaleRuns
		total.SpareRuns += stats.SpareRuns
		total.RecoveredGroups += stats.RecoveredGroups
		total.UnreadableGroups += stats.UnreadableGroups
		total.DiskWriteFailures += stats.DiskWriteFailures
		if t.Failed() {
			t.Fatalf("seed %d failed", seed)
		}
	}
	t.Logf("seeds 1 to %d", faultSeeds)
	exercised := map[string]int64{
		"takeovers": total.Takeovers, "unlabelled": total.UnlabelledSamples, "stale groups": total.StaleGroups,
		"repeated deliveries": total.Redeliveries, "early cancels": total.StaleRuns, "spares": total.SpareRuns,
		"recovered from disk": total.RecoveredGroups, "lost on disk": total.UnreadableGroups, "refused by the disk": total.DiskWriteFailures,
	}
	for what, n := range exercised {
		t.Logf("%s: %d", what, n)
		if n == 0 {
			t.Errorf("no %s in any seed: the test does not reach them", what)
		}
	}
}

func runSeed(t *testing.T, seed uint64) trainer.Stats {
	sim := newSimulation(t, seed, 2+int(seed%2), testContract("t1", "t2"))
	if seed%3 == 0 {
		sim.records = map[string][]byte{}
		sim.daemons = nil
		for range 2 {
			sim.daemons = append(sim.daemons, sim.newDaemon())
		}
	}
	newSimTrainer(sim, "t1", 8, 8, 3)
	newSimTrainer(sim, "t2", 6, 6, 2)
	sim.injectFaults, sim.store.faultRate, sim.engineFaults = true, 0.05, 0.1
	for range int(2 * time.Minute / tickDuration) {
		sim.tick()
	}
	sim.injectFaults, sim.store.faultRate, sim.store.down, sim.engineFaults = false, 0, false, 0
	const quiet = 10 * time.Minute
	for i := 0; !sim.done() && i < int(quiet/tickDuration); i++ {
		sim.tick()
	}
	for _, s := range sim.trainers {
		if !s.done() {
			t.Errorf("seed %d: %s holds %d of %d groups, %d unconfirmed, next step %d, ledger %+v",
				seed, s.name, len(s.state.Held), int(s.steps)*s.groups, len(s.state.Unacknowledged), s.next, s.ledger())
		}
	}
	for _, daemon := range sim.daemons {
		sim.addStats(daemon)
	}
	return sim.totalStats
}

func (sim *simulation) done() bool {
	for _, s := range sim.trainers {
		if !s.done() {
			return false
		}
	}
	return true
}
