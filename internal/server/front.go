package server

import (
	"context"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/operator"
)

// front serves callers' requests: the gate counts them and drains the daemon, and
// passes them to admission.
type front struct {
	*operator.Gate
	admission *caller.Admission
}

// Query returns admission's reply to the query. It blocks until the reply or the
// end of ctx.
func (f front) Query(ctx context.Context, q caller.Query) caller.Reply {
	return f.admission.Query(ctx, q)
}

// IsReady reports whether the load balancer should send requests to this daemon.
func (f front) IsReady() bool { return f.admission.IsReady() && !f.IsDraining() }

// IsDraining reports whether the daemon asks clients to use another daemon.
func (f front) IsDraining() bool { return f.State().Draining || f.admission.IsDraining() }
