// Package weights decides how new weight versions reach the engines: which engine
// loads a version, when and from which source, within the limits of the weight
// store and with enough engines left to serve. It also decides which engine is
// kept at the versions of which model. The wire encoding is in weightshttp.
//
// The weights duty, Rollout, owns the state of the engines and the orders in
// progress. Plan has no state; one duty at a time owns an Assigner or a Demand.
//
// Orders are sent only under a valid lease and carry its fencing number. A plan
// makes no more engines unavailable than Limits allows, but always at least one.
// After a load an engine counts as ready only once its version has been read
// back or reported.
package weights

import (
	"math"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// EngineState says whether an engine can serve.
type EngineState int

// States of engines.
const (
	StateReady   EngineState = iota // serves the version it reported last
	StateLoading                    // an order is in progress
	StateUnknown                    // a load failed or was not read back; the engine gets no work
)

// Engine is the state of one engine that a rollout uses.
type Engine struct {
	ID          core.ServerID
	Address     string
	Service     string
	Model       string
	Incarnation string
	ChecksFence bool // rejects orders with an outdated fencing number
	// RequiresSingleVersion means that a run in progress must not continue under
	// another version.
	RequiresSingleVersion bool
	Version               core.Version
	State                 EngineState
}

// Limits bounds a rollout in one data centre.
type Limits struct {
	MaxStoreLoads      int     // concurrent loads from the weight store
	MaxCopiesPerSource int     // concurrent copies from one engine
	MinReadyShare      float64 // share of the engines that stays ready, 0 to 1
	// TakeoverWait is the time from the start of a new owner's lease until it
	// sends orders to engines that do not check fencing numbers; 0 takes
	// MaxOrderDuration.
	TakeoverWait time.Duration
	// MaxStoreLoadShare, if set, is the share of all engines that may load from
	// the weight store concurrently. It replaces MaxStoreLoads and allows at least
	// one load.
	MaxStoreLoadShare float64
	// MaxServingLag, if set, is the number of versions behind the target up to
	// which an engine gets new work. A load on an engine further behind reduces no
	// serving capacity.
	MaxServingLag core.Version
}

// storeLoads returns the number of concurrent loads from the weight store.
func (l Limits) storeLoads(engines int) int {
	if l.MaxStoreLoadShare > 0 {
		return max(1, int(math.Round(l.MaxStoreLoadShare*float64(engines))))
	}
	return l.MaxStoreLoads
}

// isServing reports whether the engine may get new work for the target version,
// so that a load on it reduces the serving capacity.
func (l Limits) isServing(e Engine, target core.Version) bool {
	return e.State == StateReady && (l.MaxServingLag == 0 || e.Version+l.MaxServingLag >= target)
}

// DefaultLimits returns limits that keep three quarters of the engines ready. With
// loads of 3 s a version reaches 56 engines, the mean of a data centre at the
// target size, within the target of 37 s; see BenchmarkRollOut.
func DefaultLimits() Limits {
	return Limits{MaxStoreLoads: 1, MaxCopiesPerSource: 2, MinReadyShare: 0.75}
}

// Order is an instruction to one engine to load a version.
type Order struct {
	Engine  core.ServerID
	Version core.Version
	Source  core.ServerID // engine to copy from; empty is the weight store
	// ValidUntil is the end of the owner's lease. The order is not sent after it.
	ValidUntil time.Time
}

// loadCounts is the number of loads in progress by source.
type loadCounts map[core.ServerID]int

// Plan returns the orders that may start now. inProgress holds the orders that
// have started and not ended. Plan modifies nothing.
func Plan(engines []Engine, inProgress []Order, target core.Version, l Limits) []Order {
	if !target.IsKnown() {
		return nil
	}
	bySource := countLoads(inProgress)
	sources := freeSources(engines, bySource, target, l.MaxCopiesPerSource)
	freeStoreLoads := l.MaxStoreLoads - bySource[""]
	unavailable := countUnavailable(engines, target, l)
	limit := maxUnavailable(len(engines), l.MinReadyShare)

	var orders []Order
	for _, e := range enginesBehind(engines, target) {
		reducesCapacity := l.isServing(e, target)
		if reducesCapacity && unavailable >= limit {
			continue
		}
		order := Order{Engine: e.ID, Version: target}
		switch {
		case len(sources) > 0:
			order.Source = sources[0]
			sources = sources[1:]
		case freeStoreLoads > 0:
			freeStoreLoads--
		default:
			return orders
		}
		if reducesCapacity {
			unavailable++
		}
		orders = append(orders, order)
	}
	return orders
}

func countLoads(orders []Order) loadCounts {
	counts := loadCounts{}
	for _, o := range orders {
		counts[o.Source]++
	}
	return counts
}

// freeSources returns the engines that hold the target, each once per further
// copy that it may serve.
func freeSources(engines []Engine, bySource loadCounts, target core.Version, perSource int) []core.ServerID {
	var free []core.ServerID
	for _, e := range engines {
		if e.State != StateReady || e.Version != target {
			continue
		}
		for range perSource - bySource[e.ID] {
			free = append(free, e.ID)
		}
	}
	return free
}

// countUnavailable returns the number of engines that are loading or whose version
// is unknown. With a MaxServingLag, engines further behind do not count, since
// they serve no new work anyway.
func countUnavailable(engines []Engine, target core.Version, l Limits) int {
	n := 0
	for _, e := range engines {
		if e.State != StateReady && (l.MaxServingLag == 0 || e.Version+l.MaxServingLag >= target) {
			n++
		}
	}
	return n
}

// maxUnavailable returns the number of engines that may be unavailable at once. It
// is at least 1, since a rollout to few engines must make progress.
func maxUnavailable(engines int, minReadyShare float64) int {
	return max(1, int(float64(engines)*(1-minReadyShare)))
}

// enginesBehind returns the engines that need the target: first those that serve
// nothing, since loads on them reduce no capacity, then the oldest versions.
func enginesBehind(engines []Engine, target core.Version) []Engine {
	var list []Engine
	for _, e := range engines {
		isLoading := e.State == StateLoading
		isCurrent := e.State == StateReady && e.Version >= target
		if !isLoading && !isCurrent {
			list = append(list, e)
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
