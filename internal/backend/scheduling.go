package backend

import (
	"math/rand/v2"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Candidate is a backend server with what this daemon knows of its load.
type Candidate struct {
	Server      Server
	Outstanding int           // attempts of this daemon in progress
	ServiceTime time.Duration // exponentially weighted mean of past attempts
}

// Filter says whether a server can run a request.
type Filter interface {
	// Reason names what is missing when Keep is false for every server.
	Reason() string
	Keep(r *core.Request, c *Candidate) bool
}

// Scorer rates a server for a request; lower is better.
type Scorer interface {
	Score(r *core.Request, c *Candidate) float64
}

// Picker chooses among candidates; it returns an index, or -1 when there are none.
type Picker interface {
	Pick(r *core.Request, candidates []*Candidate, s Scorer) int
}

type filterFunc struct {
	reason string
	keep   func(r *core.Request, c *Candidate) bool
}

func (f filterFunc) Reason() string                          { return f.reason }
func (f filterFunc) Keep(r *core.Request, c *Candidate) bool { return f.keep(r, c) }

// CapabilityFilters returns the filters that decide what a server can do,
// whatever its load.
func CapabilityFilters() []Filter {
	return []Filter{
		filterFunc{"service", hasService},
		filterFunc{"model", hasModel},
		filterFunc{"adapter", hasAdapter},
		filterFunc{"context length", hasContext},
		filterFunc{"operation", hasOperation},
		filterFunc{"leaving", isStaying},
	}
}

func hasService(r *core.Request, c *Candidate) bool { return c.Server.Description.Service == r.Service }

func hasModel(r *core.Request, c *Candidate) bool {
	if !r.IsModelCall() {
		return true
	}
	model := findModel(c, r.Model)
	return model != nil && model.Version >= r.MinVersion
}

func hasAdapter(r *core.Request, c *Candidate) bool {
	if r.Adapter == "" {
		return true
	}
	model := findModel(c, r.Model)
	if model == nil {
		return false
	}
	for _, adapter := range model.Adapters {
		if adapter == r.Adapter {
			return true
		}
	}
	return false
}

func hasContext(r *core.Request, c *Candidate) bool {
	return !r.IsModelCall() || r.MaxTokens <= c.Server.Description.ContextTokens
}

func hasOperation(r *core.Request, c *Candidate) bool {
	if r.IsModelCall() {
		return true
	}
	for _, operation := range c.Server.Description.Operations {
		if operation == r.Operation {
			return true
		}
	}
	return false
}

func isStaying(_ *core.Request, c *Candidate) bool { return !c.Server.Leaving }

func findModel(c *Candidate, name string) *ModelDescription {
	models := c.Server.Description.Models
	for i := range models {
		if models[i].Name == name {
			return &models[i]
		}
	}
	return nil
}

// OutstandingScorer rates a server by this daemon's own work on it.
type OutstandingScorer struct{}

// Score returns the number of attempts in progress.
func (OutstandingScorer) Score(_ *core.Request, c *Candidate) float64 { return float64(c.Outstanding) }

// TwoChoicePicker draws two candidates at random and takes the better one, so
// that daemons that see the same report do not all choose the same server.
type TwoChoicePicker struct {
	Random *rand.Rand
}

// Pick returns the index of the better of two random candidates.
func (p TwoChoicePicker) Pick(r *core.Request, candidates []*Candidate, s Scorer) int {
	if len(candidates) == 0 {
		return -1
	}
	first, second := p.Random.IntN(len(candidates)), p.Random.IntN(len(candidates))
	if s.Score(r, candidates[second]) < s.Score(r, candidates[first]) {
		return second
	}
	return first
}
