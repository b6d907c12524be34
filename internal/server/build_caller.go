package server

import (
	"github.com/berylfall/berylfall/internal/caller"
)

func (b *builder) buildCaller() error {
	b.claims = caller.NewClaims(b.clock, b.store, b.random(), b.daemonID())
	b.admission = caller.NewAdmission(b.clock, b.dispatch, b.claims, b.random())
	b.start(b.claims.Loop(), b.admission.Loop())
	return nil
}
