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

// Ask passes the query to admission.
func (f front) Ask(ctx context.Context, q caller.Query) caller.Reply { return f.admission.Ask(ctx, q) }

// Ready reports whether the load balancer should send requests.
func (f front) Ready() bool { return f.admission.Ready() && !f.Draining() }

// Draining reports whether the daemon asks clients to go elsewhere.
func (f front) Draining() bool { return f.State().Draining || f.admission.Draining() }
