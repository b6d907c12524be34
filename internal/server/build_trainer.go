package server

import (
	"github.com/berylfall/berylfall/internal/bulk"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/scorer"
	"github.com/berylfall/berylfall/internal/scorer/scorerhttp"
	"github.com/berylfall/berylfall/internal/trainer"
)

const (
	// scorerPoolSize is the number of concurrent batches at scoring services.
	scorerPoolSize = 16
	// diskPoolSize is the number of pool goroutines that share the commits of the
	// bulk file.
	diskPoolSize = 16
)

func (b *builder) buildTrainer() error {
	samples, err := b.pool("samples", b.settings.Samples)
	if err != nil {
		return err
	}
	scores, err := b.buildScorer()
	if err != nil {
		return err
	}
	options := trainer.Options{
		RedirectAddress: b.server.CallerAddress,
		Runner:          trainer.PoolRunner{Submitter: b.admission, Pool: samples},
		Store:           b.store,
		Leases:          b.leaseManager,
		LeaseNow:        b.leaseClock.Now,
		Scorer:          scores,
		MaxInFlight:     b.settings.Samples,
	}
	if err := b.buildBulk(&options); err != nil {
		return err
	}
	b.trainers = trainer.New(b.clock, options)
	b.start(scores.Loop(), b.trainers.Loop())
	return nil
}

func (b *builder) buildScorer() (*scorer.Scorer, error) {
	pool, err := b.pool("scorer", scorerPoolSize)
	if err != nil {
		return nil, err
	}
	return scorer.New(b.clock, scorerhttp.NewClient(), pool), nil
}

// buildBulk opens the bulk file if a data folder is set. If the file cannot be
// opened, the daemon keeps bulk data in memory.
func (b *builder) buildBulk(o *trainer.Options) error {
	if b.settings.DataFolder == "" {
		return nil
	}
	store, err := bulk.Open(b.settings.DataFolder, bulk.Options{})
	if err != nil {
		b.server.log.WithError(err).WithField("folder", b.settings.DataFolder).Error("bulk file cannot be opened; bulk data is kept in memory only")
		return nil
	}
	pool, err := b.pool("bulk", diskPoolSize)
	if err != nil {
		return err
	}
	// The file is closed after the last duty has stopped, when no pool goroutine
	// uses it.
	closer := duty.New("bulk.close", b.clock)
	closer.OnStop(func() { _ = store.Close() })
	o.BulkStore, o.DiskPool = store, pool
	b.start(closer)
	return nil
}
