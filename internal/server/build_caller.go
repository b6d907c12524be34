package server

import (
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
)

func (b *builder) buildCaller() error {
	// The ID differs for each run, so that claims of an earlier run of this
	// daemon are not taken for claims of this one.
	id := core.DaemonID(b.settings.Name + "/" + uuid.NewString())
	claims := caller.NewClaims(b.clock, b.store, b.random(), id)
	b.admission = caller.NewAdmission(b.clock, b.dispatch, claims, b.random())
	return b.start(claims.Loop(), b.admission.Loop())
}
