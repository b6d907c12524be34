package server

import (
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

func (b *builder) buildDaemon() error {
	log := b.server.log.WithField("duty", "config")
	b.config = daemon.NewConfig(b.clock, log, b.admission.SetContracts, b.trainers.SetContracts, b.status.SetContracts)
	watcher := platform.NewWatcher(b.clock, b.platformClient, b.storePool, daemon.ContractPrefix, b.config.Deliver)
	return b.start(b.config.Loop(), watcher.Loop())
}
