package server

import "github.com/berylfall/berylfall/internal/trainer"

func (b *builder) buildTrainer() error {
	samples, err := b.pool("samples", b.settings.Samples)
	if err != nil {
		return err
	}
	b.trainers = trainer.New(b.clock, b.admission, samples, b.settings.Samples)
	return b.start(b.trainers.Loop())
}
