// Package weights holds the decisions about new weight versions: which worker
// loads a version when and from where, within the weight store's rate limit and
// with enough workers left to serve. The wire encoding is in weightshttp.
package weights

import (
	"math"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// EngineState says whether a worker can serve.
type EngineState int

// States of workers.
const (
	StateReady   EngineState = iota // serves the version it reported last
	StateLoading                    // an order is in progress
	StateUnknown                    // a load failed or was not read back; gets no work
)

// Engine is one engine as the roll-out sees it.
type Engine struct {
	ID          core.ServerID
	Address     string
	Service     string
	Model       string
	Incarnation string
	ChecksFence bool // refuses orders with an old fencing number
	// RequiresSingleVersion says that runs in progress must not go on under another version.
	RequiresSingleVersion bool
	Version               core.Version
	State                 EngineState
}

// Limits bounds a roll-out in one data centre.
type Limits struct {
	MaxStoreLoads      int     // loads from the weight store at once
	MaxCopiesPerSource int     // workers that copy from one worker at once
	MinReadyShare      float64 // share of the workers that stays ready, 0 to 1
	// TakeoverWait is the time from a new owner's first moment until it orders
	// engines that do not check fencing numbers; 0 is MaxOrderTime.
	TakeoverWait time.Duration
	// MaxStoreLoadShare, if set, is the share of all workers that may load from the
	// weight store at once, in place of StoreFetches; one always may.
	MaxStoreLoadShare float64
	// MaxServingLag, if set, is how many versions behind the target a worker still
	// serves new work. The load of one further behind costs nothing.
	MaxServingLag core.Version
}

// fetches returns the loads from the weight store that may run at once.
func (l Limits) fetches(workers int) int {
	if l.MaxStoreLoadShare > 0 {
		return max(1, int(math.Round(l.MaxStoreLoadShare*float64(workers))))
	}
	return l.MaxStoreLoads
}

// isUseful reports whether a worker that serves its version may get new work
// once the target is asked for.
func (l Limits) isUseful(w Engine, target core.Version) bool {
	return w.State == StateReady && (l.MaxServingLag == 0 || w.Version+l.MaxServingLag >= target)
}

// DefaultLimits leaves three quarters of the workers ready. With a load time of
// 3 s it brings a version to 56 workers, the mean of a data centre at the
// target size, within the target of 37 s; see BenchmarkRollOut.
func DefaultLimits() Limits {
	return Limits{MaxStoreLoads: 1, MaxCopiesPerSource: 2, MinReadyShare: 0.75}
}

// Order tells one worker to load a version.
type Order struct {
	Engine  core.ServerID
	Version core.Version
	Source  core.ServerID // worker to copy from; empty is the weight store
	// ValidUntil is the end of the owner's lease. The order is not sent later.
	ValidUntil time.Time
}

// loads counts the loads in progress by source.
type loads map[core.ServerID]int

// Plan returns the orders that may start now. inProgress holds the orders that
// have started and not ended. It changes nothing.
func Plan(workers []Engine, inProgress []Order, target core.Version, l Limits) []Order {
	if !target.IsKnown() {
		return nil
	}
	bySource := countLoads(inProgress)
	sources := freeSources(workers, bySource, target, l.MaxCopiesPerSource)
	storeFree := l.MaxStoreLoads - bySource[""]
	down := unavailable(workers, target, l)
	allowed := allowedDown(len(workers), l.MinReadyShare)

	var orders []Order
	for _, w := range behind(workers, target) {
		takesDown := l.isUseful(w, target)
		if takesDown && down >= allowed {
			continue
		}
		order := Order{Engine: w.ID, Version: target}
		switch {
		case len(sources) > 0:
			order.Source = sources[0]
			sources = sources[1:]
		case storeFree > 0:
			storeFree--
		default:
			return orders
		}
		if takesDown {
			down++
		}
		orders = append(orders, order)
	}
	return orders
}

func countLoads(orders []Order) loads {
	counts := loads{}
	for _, o := range orders {
		counts[o.Source]++
	}
	return counts
}

// freeSources returns each worker that holds the target once for each copy it can still serve.
func freeSources(workers []Engine, bySource loads, target core.Version, perSource int) []core.ServerID {
	var free []core.ServerID
	for _, w := range workers {
		if w.State != StateReady || w.Version != target {
			continue
		}
		for range perSource - bySource[w.ID] {
			free = append(free, w.ID)
		}
	}
	return free
}

// unavailable counts the workers that load or whose version is not known. With
// a useful lag, those that have nothing to serve are not missed.
func unavailable(workers []Engine, target core.Version, l Limits) int {
	n := 0
	for _, w := range workers {
		if w.State != StateReady && (l.MaxServingLag == 0 || w.Version+l.MaxServingLag >= target) {
			n++
		}
	}
	return n
}

// allowedDown is at least 1, since a roll-out to few workers must make progress.
func allowedDown(workers int, minReady float64) int {
	return max(1, int(float64(workers)*(1-minReady)))
}

// behind returns the workers that need the target: first those that serve
// nothing, since their load costs no capacity, then the oldest versions.
func behind(workers []Engine, target core.Version) []Engine {
	var list []Engine
	for _, w := range workers {
		loading := w.State == StateLoading
		current := w.State == StateReady && w.Version >= target
		if !loading && !current {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.State == StateUnknown) != (b.State == StateUnknown) {
			return a.State == StateUnknown
		}
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.ID < b.ID
	})
	return list
}
