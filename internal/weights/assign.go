package weights

import (
	"slices"
	"strings"

	"github.com/berylfall/berylfall/internal/core"
)

// Engine is a backend server that can hold several models.
type Engine struct {
	ID         core.ServerID
	Address    string
	DataCentre string
	Service    string
	Versions   map[string]core.Version // by model
}

// Assigner decides which engine is kept at the newest version of which model.
// Each engine is kept for one model, so that a new version costs as few loads
// as an even split allows. It remembers its decisions: a change of the engines
// moves as few of them as possible.
type Assigner struct {
	models map[core.ServerID]string
}

// NewAssigner returns an assigner without decisions.
func NewAssigner() *Assigner { return &Assigner{models: map[core.ServerID]string{}} }

// Assign returns the model of each engine of one service. models are the names
// of the models that trainers name versions of.
func (a *Assigner) Assign(engines []Engine, models []string) map[core.ServerID]string {
	if len(models) == 0 {
		return nil
	}
	models = slices.Sorted(slices.Values(models))
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(x, y Engine) int {
		if c := strings.Compare(x.DataCentre, y.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(string(x.ID), string(y.ID))
	})
	newest := newestVersions(engines)
	s := newSplit(models)
	var free []Engine
	for _, e := range engines {
		model := a.models[e.ID]
		if !slices.Contains(models, model) {
			model = freshestModel(e, models, newest)
		}
		if model == "" || !s.hasRoom(model, len(engines)) {
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
func newestVersions(engines []Engine) map[string]core.Version {
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
func freshestModel(e Engine, models []string, newest map[string]core.Version) string {
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
	models   []string
	assigned map[core.ServerID]string
	total    map[string]int
	local    map[[2]string]int // by model and data centre
}

func newSplit(models []string) *split {
	return &split{models: models, assigned: map[core.ServerID]string{}, total: map[string]int{}, local: map[[2]string]int{}}
}

// hasRoom reports whether the model has fewer than its even share of n engines.
func (s *split) hasRoom(model string, n int) bool {
	return s.total[model] < (n+len(s.models)-1)/len(s.models)
}

func (s *split) add(e Engine, model string) {
	s.assigned[e.ID] = model
	s.total[model]++
	s.local[[2]string{model, e.DataCentre}]++
}

// least returns the model with the fewest engines, among them the one with the
// fewest in the data centre.
func (s *split) least(dataCentre string) string {
	best := s.models[0]
	for _, m := range s.models[1:] {
		here, bestHere := s.local[[2]string{m, dataCentre}], s.local[[2]string{best, dataCentre}]
		if s.total[m] < s.total[best] || (s.total[m] == s.total[best] && here < bestHere) {
			best = m
		}
	}
	return best
}
