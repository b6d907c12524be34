package engine

import (
	"slices"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
)

// executeOrder checks the order's fencing number, applies the order after the swap
// time and then calls done.
func (s *Server) executeOrder(o backendhttp.OrderMessage, done func(*core.Error)) {
	if s.model.ChecksFence && o.Fence < s.fence {
		done(core.NotRunError(core.CodeConflict, "fencing number %d is older than %d", o.Fence, s.fence))
		return
	}
	s.fence = max(s.fence, o.Fence)
	s.loop.After(s.options.SwapTime, func() { done(s.applyOrder(o)) })
}

func (s *Server) applyOrder(o backendhttp.OrderMessage) *core.Error {
	if s.faults.SwapFails {
		s.findOrAddModel(o.Model).Version = 0
		return core.MayHaveRunError(core.CodeBackendFailure, "the order failed after it had started")
	}
	switch o.Kind {
	case "load-version":
		s.findOrAddModel(o.Model).Version = o.Version
	case "load-model":
		s.findOrAddModel(o.Model).Version = o.Version
	case "load-adapter":
		model := s.findOrAddModel(o.Model)
		if !slices.Contains(model.Adapters, o.Adapter) {
			// A copy, since a response that is being encoded may refer to the slice.
			model.Adapters = append(slices.Clone(model.Adapters), o.Adapter)
		}
	case "set-role":
		s.model.Role = o.Role
	default:
		return core.InvalidError("kind", o.Kind, "load-version, load-model, load-adapter, set-role", "unknown order")
	}
	return nil
}

// findOrAddModel returns the model with the name and adds it if it is missing. An empty
// name means the engine's first model. It replaces the slice of models, since a
// response that is being encoded may refer to the old one.
func (s *Server) findOrAddModel(name string) *backendhttp.ModelMessage {
	s.model.Models = slices.Clone(s.model.Models)
	for i := range s.model.Models {
		if name == "" || s.model.Models[i].Name == name {
			return &s.model.Models[i]
		}
	}
	s.model.Models = append(s.model.Models, backendhttp.ModelMessage{Name: name})
	return &s.model.Models[len(s.model.Models)-1]
}
