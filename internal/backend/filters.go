package backend

import (
	"slices"

	"github.com/berylfall/berylfall/internal/core"
)

// bytesPerToken converts the length of a prompt to tokens. Tokenizers of common
// models average 4 bytes of English text per token; 3 leaves a margin for other
// text.
const bytesPerToken = 3

// Filter decides whether a server can run a request.
type Filter interface {
	// Requirement names what the servers lack when Matches is false for all of
	// them.
	Requirement() string
	Matches(r *core.Request, c *Candidate) bool
}

type filterFunc struct {
	requirement string
	matches     func(r *core.Request, c *Candidate) bool
}

func (f filterFunc) Requirement() string                        { return f.requirement }
func (f filterFunc) Matches(r *core.Request, c *Candidate) bool { return f.matches(r, c) }

// CapabilityFilters returns the filters that decide what a server can run,
// independent of its load.
func CapabilityFilters() []Filter {
	return []Filter{
		filterFunc{"service", hasService},
		filterFunc{"permitted kind", hasKind},
		filterFunc{"model", hasModel},
		filterFunc{"adapter", hasAdapter},
		filterFunc{"known weight version", hasKnownVersion},
		filterFunc{"weight version", hasVersion},
		filterFunc{"role", hasRole},
		filterFunc{"context length", hasContextLength},
		filterFunc{"operation", hasOperation},
		filterFunc{"server that is not leaving", isNotLeaving},
	}
}

func hasService(r *core.Request, c *Candidate) bool { return c.Server.Description.Service == r.Service }

func hasKind(r *core.Request, c *Candidate) bool {
	return len(r.BackendKinds) == 0 || slices.Contains(r.BackendKinds, c.Server.Description.Kind)
}

func hasModel(r *core.Request, c *Candidate) bool {
	return !r.IsModelCall() || findModel(c, r.Model) != nil
}

func hasAdapter(r *core.Request, c *Candidate) bool {
	if r.Adapter == "" {
		return true
	}
	model := findModel(c, r.Model)
	return model != nil && slices.Contains(model.Adapters, r.Adapter)
}

// hasKnownVersion excludes an engine whose weight version is unknown after a
// weight swap failed partway.
func hasKnownVersion(r *core.Request, c *Candidate) bool {
	if !r.IsModelCall() {
		return true
	}
	model := findModel(c, r.Model)
	return model != nil && model.Version.IsKnown()
}

func hasVersion(r *core.Request, c *Candidate) bool {
	if !r.IsModelCall() {
		return true
	}
	model := findModel(c, r.Model)
	return model != nil && model.Version >= r.MinVersion && !model.Loading
}

// hasRole excludes engines that run only one phase of a request.
func hasRole(r *core.Request, c *Candidate) bool {
	role := c.Server.Description.Role
	return !r.IsModelCall() || role == "" || role == RoleServe
}

func hasContextLength(r *core.Request, c *Candidate) bool {
	return !r.IsModelCall() || requiredContextTokens(r) <= c.Server.Description.ContextTokens
}

// requiredContextTokens estimates the tokens of the prompt and adds the maximum
// answer length.
func requiredContextTokens(r *core.Request) int {
	return (len(r.Prompt)+bytesPerToken-1)/bytesPerToken + r.MaxTokens
}

func hasOperation(r *core.Request, c *Candidate) bool {
	return r.IsModelCall() || slices.Contains(c.Server.Description.Operations, r.Operation)
}

func isNotLeaving(_ *core.Request, c *Candidate) bool { return !c.Server.Leaving }

func findModel(c *Candidate, name string) *ModelDescription {
	models := c.Server.Description.Models
	for i := range models {
		if models[i].Name == name {
			return &models[i]
		}
	}
	return nil
}
