package engine

import (
	"slices"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
)

// obey checks an order and carries it out after the swap time.
func (s *Server) obey(o backendhttp.OrderMessage, done func(*core.Error)) {
	if s.model.ChecksFence && o.Fence < s.fence {
		done(core.NotRunError(core.CodeConflict, "fencing number %d is older than %d", o.Fence, s.fence))
		return
	}
	s.fence = max(s.fence, o.Fence)
	s.loop.After(s.options.SwapTime, func() { done(s.apply(o)) })
}

func (s *Server) apply(o backendhttp.OrderMessage) *core.Error {
	if s.faults.SwapFails {
		s.modelNamed(o.Model).Version = 0
		return core.MayHaveRunError(core.CodeBackendFailure, "the order failed partway")
	}
	switch o.Kind {
	case "load-version":
		s.modelNamed(o.Model).Version = o.Version
	case "load-model":
		s.modelNamed(o.Model).Version = o.Version
	case "load-adapter":
		model := s.modelNamed(o.Model)
		if !slices.Contains(model.Adapters, o.Adapter) {
			// A new slice, since an answer in progress may hold the old one.
			model.Adapters = append(slices.Clone(model.Adapters), o.Adapter)
		}
	case "set-role":
		s.model.Role = o.Role
	default:
		return core.InvalidError("kind", o.Kind, "load-version, load-model, load-adapter, set-role", "unknown order")
	}
	return nil
}

// modelNamed returns the model to change, adding it if need be. An empty name
// is the engine's first model.
func (s *Server) modelNamed(name string) *backendhttp.ModelMessage {
	s.model.Models = slices.Clone(s.model.Models)
	for i := range s.model.Models {
		if name == "" || s.model.Models[i].Name == name {
			return &s.model.Models[i]
		}
	}
	s.model.Models = append(s.model.Models, backendhttp.ModelMessage{Name: name})
	return &s.model.Models[len(s.model.Models)-1]
}
