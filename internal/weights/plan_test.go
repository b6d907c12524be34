package weights

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func newEngines(n int, version core.Version) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{ID: core.ServerID(fmt.Sprintf("w%03d", i)), Model: "wear", Version: version}
	}
	return engines
}

// Guards against a rollout that makes too many engines unavailable, exceeds the
// load limits of the weight store or a source, or never ends, while loads fail at
// random.
func TestPlanRespectsLimits(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		engines := newEngines(2+random.IntN(60), 1)
		limits := Limits{MaxStoreLoads: 1 + random.IntN(2), MaxCopiesPerSource: 1 + random.IntN(3), MinReadyShare: 0.5 + random.Float64()/2}
		if err := runPlan(engines, limits, random); err != nil {
			t.Fatalf("seed %d, %d engines, %+v: %v", seed, len(engines), limits, err)
		}
	}
	t.Logf("seeds 0 to %d", seeds-1)
}

func runPlan(engines []Engine, l Limits, random *rand.Rand) error {
	const target, maxRounds = core.Version(2), 10000
	byID := map[core.ServerID]*Engine{}
	for i := range engines {
		byID[engines[i].ID] = &engines[i]
	}
	var inProgress []Order
	for range maxRounds {
		for _, o := range Plan(engines, inProgress, target, l) {
			byID[o.Engine].State = StateLoading
			inProgress = append(inProgress, o)
		}
		if err := checkLimits(engines, inProgress, byID, target, l); err != nil {
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
	for _, e := range engines {
		if e.State != StateReady || e.Version != target {
			return fmt.Errorf("engine %s ended in state %d with version %d", e.ID, e.State, e.Version)
		}
	}
	return nil
}

func checkLimits(engines []Engine, inProgress []Order, byID map[core.ServerID]*Engine, target core.Version, l Limits) error {
	if unavailable, allowed := countUnavailable(engines, target, l), maxUnavailable(len(engines), l.MinReadyShare); unavailable > allowed {
		return fmt.Errorf("%d engines are unavailable, allowed %d", unavailable, allowed)
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

// loadDuration is the duration of one load in the benchmark.
const loadDuration = 3 * time.Second

// BenchmarkRollOut reports the virtual time until every engine of a data centre
// has a new version, with loads of 3 s. The baseline loads from the weight store
// only. 56 engines are the mean of a data centre at the target size; the target
// is 37 s.
func BenchmarkRollOut(b *testing.B) {
	for _, n := range []int{8, 56, 112, 250, 1000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			var peers, store time.Duration
			for range b.N {
				peers = rolloutDuration(n, DefaultLimits())
				store = rolloutDuration(n, Limits{MaxStoreLoads: 1, MaxCopiesPerSource: 0, MinReadyShare: DefaultLimits().MinReadyShare})
			}
			b.ReportMetric(peers.Seconds(), "rollout-s")
			b.ReportMetric(store.Seconds(), "baseline-s")
			b.ReportMetric(peers.Seconds()/store.Seconds(), "ratio")
		})
	}
}

// rolloutDuration runs the plan in virtual time; loads that start at the same time end
// at the same time.
func rolloutDuration(n int, l Limits) time.Duration {
	const target = core.Version(2)
	engines := newEngines(n, 1)
	var elapsed time.Duration
	for {
		orders := Plan(engines, nil, target, l)
		if len(orders) == 0 {
			return elapsed
		}
		ordered := map[core.ServerID]bool{}
		for _, o := range orders {
			ordered[o.Engine] = true
		}
		for i := range engines {
			if ordered[engines[i].ID] {
				engines[i].Version = target
			}
		}
		elapsed += loadDuration
	}
}
