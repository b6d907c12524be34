package hosted

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

// retirementTimeout bounds one call that tells that a host is empty.
const retirementTimeout = 2 * time.Second

// storeDaemon runs on a host with a disk. All that must last is in the
// platform's store, so the host is empty at any time and may be taken away.
type storeDaemon struct {
	*base
}

func startStore(set *adapter.Settings, log *logrus.Entry) (Daemon, error) {
	b, err := newBase(set, log)
	if err != nil {
		return nil, err
	}
	d := &storeDaemon{base: b}
	b.follow(adapter.KindRetirements, platform.WatcherOptions{}, d.handleRetirements)
	b.probeStore(func() {})
	return d, b.startDuties()
}

func (d *storeDaemon) Stop(ctx context.Context) {
	d.runner.Stop(ctx)
	d.release()
}

// handleRetirements answers the request to empty this host. It runs on the
// watch's goroutine.
func (d *storeDaemon) handleRetirements(s platform.Snapshot) {
	for _, o := range s.Objects {
		if o.Deleted || o.Key != adapter.KindRetirements+"/"+d.set.Host {
			continue
		}
		if !d.watch.TryGo(d.finishRetirement) {
			d.log.Error("no worker is free to answer a retirement")
		}
	}
}

// finishRetirement runs on a pool worker until the store has answered.
func (d *storeDaemon) finishRetirement() {
	const attempts = 20
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), retirementTimeout)
		err := d.api.FinishRetirement(ctx, d.set.Host)
		cancel()
		if err == nil {
			d.log.Info("host is empty and may be taken away")
			return
		}
		d.log.WithError(err).Warn("the end of a retirement could not be told")
		time.Sleep(retirementTimeout / 4)
	}
}
