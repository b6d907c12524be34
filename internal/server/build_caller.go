package server

import "github.com/berylfall/berylfall/internal/caller"

func (b *builder) buildCaller() error {
	b.admission = caller.NewAdmission(b.clock, b.dispatch)
	return b.start(b.admission.Loop())
}
