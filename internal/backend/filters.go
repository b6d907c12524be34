package backend

import (
	"slices"

	"github.com/berylfall/berylfall/internal/core"
)

// bytesPerToken converts the length of a prompt to tokens. Tokenizers of
// common models average 4 bytes of English text; 3 leaves room for other text.
const bytesPerToken = 3

// Filter says whether a server can run a request.
type Filter interface {
	// Reason names what no server has when Keep is false for every server.
	Reason() string
	Keep(r *core.Request, c *Candidate) bool
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
		filterFunc{"permitted kind", hasKind},
		filterFunc{"model", hasModel},
		filterFunc{"adapter", hasAdapter},
		filterFunc{"known weight version", hasKnownVersion},
		filterFunc{"weight version", hasVersion},
		filterFunc{"role", hasRole},
		filterFunc{"context length", hasContext},
		filterFunc{"operation", hasOperation},
		filterFunc{"server that is not leaving", isStaying},
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

// hasKnownVersion leaves out an engine after a weight swap that failed partway.
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

// hasRole leaves out engines that run only one phase of a request.
func hasRole(r *core.Request, c *Candidate) bool {
	role := c.Server.Description.Role
	return !r.IsModelCall() || role == "" || role == RoleServe
}

func hasContext(r *core.Request, c *Candidate) bool {
	return !r.IsModelCall() || contextNeeded(r) <= c.Server.Description.ContextTokens
}

// contextNeeded estimates the tokens of the prompt and adds the longest answer.
func contextNeeded(r *core.Request) int {
	return (len(r.Prompt)+bytesPerToken-1)/bytesPerToken + r.MaxTokens
}

func hasOperation(r *core.Request, c *Candidate) bool {
	return r.IsModelCall() || slices.Contains(c.Server.Description.Operations, r.Operation)
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
