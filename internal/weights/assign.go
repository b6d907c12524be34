package weights

import (
	"slices"
	"strings"

	"github.com/berylfall/berylfall/internal/core"
)

// MultiModelEngine is a backend server that can hold several models.
type MultiModelEngine struct {
	ID         core.ServerID
	Address    string
	DataCentre string
	Service    string
	Versions   map[string]core.Version // by model
}

// Rules of the assignment.
const (
	// evenShare is the share of the engines that is split evenly regardless of
	// demand, so that a model with little work keeps enough engines while one
	// loads a version or fails.
	evenShare = 0.5
	// moveMarginEngines is the number of engines above its share that a model may
	// keep. Beyond it an engine is reassigned, which costs a load.
	moveMarginEngines = 0.75
	// unknownDemandMarginShare is the same margin as a part of the model's share
	// while no demand is known. Without it a daemon that has just started would
	// undo the assignment of the previous lease holder.
	unknownDemandMarginShare = 0.5
)

// Assigner decides which engine is kept at the newest version of which model.
// Each engine is assigned to one model, so that a new version costs as few loads
// as possible. The assigner keeps its previous assignment, so that a change of
// the engines or of the demand reassigns as few engines as possible. One duty at
// a time owns it.
type Assigner struct {
	models map[core.ServerID]string
}

// NewAssigner returns an assigner without a previous assignment.
func NewAssigner() *Assigner { return &Assigner{models: map[core.ServerID]string{}} }

// Assign returns the model of each engine of one service, or nil without models.
// models are the models that trainers publish versions of; demand is the recent
// work of each, in any common unit, and may be nil.
func (a *Assigner) Assign(engines []MultiModelEngine, models []string, demand map[string]float64) map[core.ServerID]string {
	if len(models) == 0 {
		return nil
	}
	models = slices.Sorted(slices.Values(models))
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(x, y MultiModelEngine) int {
		if c := strings.Compare(x.DataCentre, y.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(string(x.ID), string(y.ID))
	})
	newest := newestVersions(engines)
	s := newAssignment(models, demand, len(engines))
	var unassigned []MultiModelEngine
	for _, e := range engines {
		model := a.models[e.ID]
		if !slices.Contains(models, model) {
			model = leastLaggingModel(e, models, newest)
		}
		if model == "" || !s.hasRoom(model) {
			unassigned = append(unassigned, e)
			continue
		}
		s.add(e, model)
	}
	for _, e := range unassigned {
		s.add(e, s.neediestModel(e.DataCentre))
	}
	for _, e := range engines {
		a.models[e.ID] = s.modelOf[e.ID]
	}
	return s.modelOf
}

// newestVersions returns, by model, the newest version that any engine holds.
func newestVersions(engines []MultiModelEngine) map[string]core.Version {
	newest := map[string]core.Version{}
	for _, e := range engines {
		for m, v := range e.Versions {
			newest[m] = max(newest[m], v)
		}
	}
	return newest
}

// leastLaggingModel returns the model whose version on the engine is the least
// behind the newest one, or "" when several models are equally close.
func leastLaggingModel(e MultiModelEngine, models []string, newest map[string]core.Version) string {
	best, leastLag := "", core.Version(-1)
	for _, m := range models {
		lag := newest[m] - e.Versions[m]
		switch {
		case leastLag < 0 || lag < leastLag:
			best, leastLag = m, lag
		case lag == leastLag:
			best = ""
		}
	}
	return best
}

// assignment is an assignment that is being computed.
type assignment struct {
	models        []string
	shares        map[string]float64 // engines that a model should have
	isDemandKnown bool
	modelOf       map[core.ServerID]string
	engineCount   map[string]int    // by model
	localCount    map[[2]string]int // by model and data centre
}

// newAssignment computes each model's share of n engines. The shares add up to n.
func newAssignment(models []string, demand map[string]float64, n int) *assignment {
	s := &assignment{models: models, shares: map[string]float64{}, modelOf: map[core.ServerID]string{}, engineCount: map[string]int{}, localCount: map[[2]string]int{}}
	totalDemand := 0.0
	for _, m := range models {
		totalDemand += demand[m]
	}
	s.isDemandKnown = totalDemand > 0
	evenEngines := float64(n) / float64(len(models))
	for _, m := range models {
		s.shares[m] = evenEngines
		if s.isDemandKnown {
			s.shares[m] = evenShare*evenEngines + (1-evenShare)*float64(n)*demand[m]/totalDemand
		}
	}
	return s
}

// hasRoom reports whether one more engine may be assigned to the model.
func (s *assignment) hasRoom(model string) bool {
	margin := moveMarginEngines
	if !s.isDemandKnown {
		margin = max(margin, unknownDemandMarginShare*s.shares[model])
	}
	return float64(s.engineCount[model]+1)-s.shares[model] <= margin
}

func (s *assignment) add(e MultiModelEngine, model string) {
	s.modelOf[e.ID] = model
	s.engineCount[model]++
	s.localCount[[2]string{model, e.DataCentre}]++
}

// neediestModel returns the model with the most engines missing from its share.
// Among equals it returns the one with the fewest engines in the data centre.
func (s *assignment) neediestModel(dataCentre string) string {
	best := s.models[0]
	for _, m := range s.models[1:] {
		missing, bestMissing := s.shares[m]-float64(s.engineCount[m]), s.shares[best]-float64(s.engineCount[best])
		local, bestLocal := s.localCount[[2]string{m, dataCentre}], s.localCount[[2]string{best, dataCentre}]
		if missing > bestMissing || (missing == bestMissing && local < bestLocal) {
			best = m
		}
	}
	return best
}
