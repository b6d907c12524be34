package weights

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func newWorkers(n int, version core.Version) []Engine {
	workers := make([]Engine, n)
	for i := range workers {
		workers[i] = Engine{ID: core.ServerID(fmt.Sprintf("w%03d", i)), Model: "wear", Version: version}
	}
	return workers
}

// Guards against a roll-out that takes too many workers out of work, overloads
// the weight store or a source, or never ends, while loads fail at random.
func TestPlanKeepsItsLimits(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		workers := newWorkers(2+random.IntN(60), 1)
		limits := Limits{MaxStoreLoads: 1 + random.IntN(2), MaxCopiesPerSource: 1 + random.IntN(3), MinReadyShare: 0.5 + random.Float64()/2}
		if err := runPlan(workers, limits, random); err != nil {
			t.Fatalf("seed %d, %d workers, %+v: %v", seed, len(workers), limits, err)
		}
	}
	t.Logf("seeds 0 to %d", seeds-1)
}

func runPlan(workers []Engine, l Limits, random *rand.Rand) error {
	const target, maxRounds = core.Version(2), 10000
	byID := map[core.ServerID]*Engine{}
	for i := range workers {
		byID[workers[i].ID] = &workers[i]
	}
	var inProgress []Order
	for range maxRounds {
		for _, o := range Plan(workers, inProgress, target, l) {
			byID[o.Engine].State = StateLoading
			inProgress = append(inProgress, o)
		}
		if err := checkLimits(workers, inProgress, byID, target, l); err != nil {
			return err
		}
		if len(inProgress) == 0 {
			break
		}
		i := random.IntN(len(inProgress))
		ended := byID[inProgress[i].Engine]
		inProgress = append(inProgress[:i], inProgress[i+1:]...)
		if random.IntN(5) == 0 {
			ended.State, ended.Version = StateUnknown, 0
			continue
		}
		ended.State, ended.Version = StateReady, target
	}
	for _, w := range workers {
		if w.State != StateReady || w.Version != target {
			return fmt.Errorf("worker %s ended in state %d with version %d", w.ID, w.State, w.Version)
		}
	}
	return nil
}

func checkLimits(workers []Engine, inProgress []Order, byID map[core.ServerID]*Engine, target core.Version, l Limits) error {
	if down, allowed := unavailable(workers, target, l), allowedDown(len(workers), l.MinReadyShare); down > allowed {
		return fmt.Errorf("%d workers are down, allowed %d", down, allowed)
	}
	for source, n := range countLoads(inProgress) {
		if source == "" && n > l.MaxStoreLoads {
			return fmt.Errorf("%d loads from the weight store, limit %d", n, l.MaxStoreLoads)
		}
		if source == "" {
			continue
		}
		if n > l.MaxCopiesPerSource {
			return fmt.Errorf("%d copies from %s, limit %d", n, source, l.MaxCopiesPerSource)
		}
		if byID[source].Version != target {
			return fmt.Errorf("source %s does not hold version %d", source, target)
		}
	}
	return nil
}

// loadTime is the time of one load in the benchmark.
const loadTime = 3 * time.Second

// BenchmarkRollOut gives the time until every worker of a data centre has a new
// version, in virtual time with loads of 3 s, against the baseline of loads
// from the weight store only. 56 workers are the mean of a data centre at the
// target size; the target is 37 s.
func BenchmarkRollOut(b *testing.B) {
	for _, n := range []int{8, 56, 112, 250, 1000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			var peers, store time.Duration
			for range b.N {
				peers = rollOutTime(n, DefaultLimits())
				store = rollOutTime(n, Limits{MaxStoreLoads: 1, MaxCopiesPerSource: 0, MinReadyShare: DefaultLimits().MinReadyShare})
			}
			b.ReportMetric(peers.Seconds(), "rollout-s")
			b.ReportMetric(store.Seconds(), "baseline-s")
			b.ReportMetric(peers.Seconds()/store.Seconds(), "ratio")
		})
	}
}

// rollOutTime runs the plan in virtual time; loads that start together end together.
func rollOutTime(n int, l Limits) time.Duration {
	const target = core.Version(2)
	workers := newWorkers(n, 1)
	var elapsed time.Duration
	for {
		orders := Plan(workers, nil, target, l)
		if len(orders) == 0 {
			return elapsed
		}
		ordered := map[core.ServerID]bool{}
		for _, o := range orders {
			ordered[o.Engine] = true
		}
		for i := range workers {
			if ordered[workers[i].ID] {
				workers[i].Version = target
			}
		}
		elapsed += loadTime
	}
}
