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

const (
	// evenPart is the part of the engines that is split evenly whatever the
	// demand, so that a model whose work is light keeps enough engines to bear
	// the load of a version and the loss of an engine.
	evenPart = 0.5
	// moveMargin is how far a model's engines must be above its share before one
	// of them changes its model, since that costs a load.
	moveMargin = 0.75
	// blindMargin is the same as a part of the share, while no work is known: a
	// daemon that has just started would undo the split of the holder before.
	blindMargin = 0.5
)

// Assigner decides which engine is kept at the newest version of which model.
// Each engine is kept for one model, so that a new version costs as few loads
// as possible. It remembers its decisions: a change of the engines or of the
// demand moves as few of them as possible.
type Assigner struct {
	models map[core.ServerID]string
}

// NewAssigner returns an assigner without decisions.
func NewAssigner() *Assigner { return &Assigner{models: map[core.ServerID]string{}} }

// Assign returns the model of each engine of one service. models are the names
// of the models that trainers name versions of; demand is the recent work of
// each, in any unit, and may be nil.
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
	s := newSplit(models, demand, len(engines))
	var free []MultiModelEngine
	for _, e := range engines {
		model := a.models[e.ID]
		if !slices.Contains(models, model) {
			model = freshestModel(e, models, newest)
		}
		if model == "" || !s.hasRoom(model) {
			free = append(free, e)
			continue
		}
		s.add(e, model)
	}
	for _, e := range free {
		s.add(e, s.least(e.DataCentre))
	}
	for _, e := range engines {
		a.models[e.ID] = s.assigned[e.ID]
	}
	return s.assigned
}

// newestVersions returns the newest version of each model that an engine holds.
func newestVersions(engines []MultiModelEngine) map[string]core.Version {
	newest := map[string]core.Version{}
	for _, e := range engines {
		for m, v := range e.Versions {
			newest[m] = max(newest[m], v)
		}
	}
	return newest
}

// freshestModel returns the model with which the engine is the least behind
// the newest version, or "" when there are several.
func freshestModel(e MultiModelEngine, models []string, newest map[string]core.Version) string {
	best, least := "", core.Version(-1)
	for _, m := range models {
		lag := newest[m] - e.Versions[m]
		switch {
		case least < 0 || lag < least:
			best, least = m, lag
		case lag == least:
			best = ""
		}
	}
	return best
}

// split is an assignment in the making.
type split struct {
	models        []string
	shares        map[string]float64 // engines that a model should have
	isDemandKnown bool
	assigned      map[core.ServerID]string
	total         map[string]int
	local         map[[2]string]int // by model and data centre
}

// newSplit shares n engines out. The sum of the shares is n.
func newSplit(models []string, demand map[string]float64, n int) *split {
	s := &split{models: models, shares: map[string]float64{}, assigned: map[core.ServerID]string{}, total: map[string]int{}, local: map[[2]string]int{}}
	all := 0.0
	for _, m := range models {
		all += demand[m]
	}
	s.isDemandKnown = all > 0
	even := float64(n) / float64(len(models))
	for _, m := range models {
		s.shares[m] = even
		if s.isDemandKnown {
			s.shares[m] = evenPart*even + (1-evenPart)*float64(n)*demand[m]/all
		}
	}
	return s
}

// hasRoom reports whether the model may keep one engine more.
func (s *split) hasRoom(model string) bool {
	margin := moveMargin
	if !s.isDemandKnown {
		margin = max(margin, blindMargin*s.shares[model])
	}
	return float64(s.total[model]+1)-s.shares[model] <= margin
}

func (s *split) add(e MultiModelEngine, model string) {
	s.assigned[e.ID] = model
	s.total[model]++
	s.local[[2]string{model, e.DataCentre}]++
}

// least returns the model that lacks most of its share, among equals the one
// with the fewest engines in the data centre.
func (s *split) least(dataCentre string) string {
	best := s.models[0]
	for _, m := range s.models[1:] {
		lack, most := s.shares[m]-float64(s.total[m]), s.shares[best]-float64(s.total[best])
		here, bestHere := s.local[[2]string{m, dataCentre}], s.local[[2]string{best, dataCentre}]
		if lack > most || (lack == most && here < bestHere) {
			best = m
		}
	}
	return best
}
