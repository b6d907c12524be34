package server

import (
	"context"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/operator"
)

// front is what callers' requests reach: the gate, which counts and drains, and
// admission behind it.
type front struct {
	*operator.Gate
	admission *caller.Admission
}

// Query passes the query to admission.
func (f front) Query(ctx context.Context, q caller.Query) caller.Reply {
	return f.admission.Query(ctx, q)
}

// IsReady reports whether the load balancer should send requests.
func (f front) IsReady() bool { return f.admission.IsReady() && !f.IsDraining() }

// IsDraining reports whether the daemon asks clients to go elsewhere.
func (f front) IsDraining() bool { return f.State().Draining || f.admission.IsDraining() }
