package hosted

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

// retirementTimeout bounds one call that reports the end of a retirement.
const retirementTimeout = 2 * time.Second

// storeDaemon runs on a host with a disk. All durable state is in the platform's
// store, so the host stores nothing and may be removed at any time.
type storeDaemon struct {
	*base
}

func startStore(set *adapter.Settings, log *logrus.Entry) (Daemon, error) {
	b, err := newBase(set, log)
	if err != nil {
		return nil, err
	}
	d := &storeDaemon{base: b}
	b.watchKind(adapter.KindRetirements, platform.WatcherOptions{}, d.handleRetirements)
	b.probeStore(func(bool) {})
	return d, b.startDuties()
}

func (d *storeDaemon) Stop(ctx context.Context) {
	d.runner.Stop(ctx)
	d.releasePools()
}

// handleRetirements handles a request to retire this host. It runs on the goroutine
// of the watch.
func (d *storeDaemon) handleRetirements(s platform.Snapshot) {
	for _, o := range s.Objects {
		if o.Deleted || o.Key != adapter.KindRetirements+"/"+d.hostSettings.Host {
			continue
		}
		if !d.watchPool.TryGo(d.reportRetirement) {
			d.log.Error("retirement of this host is not handled: pool is busy")
		}
	}
}

// reportRetirement reports the end of this host's retirement, with retries until the
// store has accepted it. It runs on a pool goroutine.
func (d *storeDaemon) reportRetirement() {
	const attempts = 20
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), retirementTimeout)
		err := d.storeClient.ReportRetirementDone(ctx, d.hostSettings.Host)
		cancel()
		if err == nil {
			d.log.Info("retirement of this host is done")
			return
		}
		d.log.WithError(err).Warn("end of a retirement could not be reported")
		time.Sleep(retirementTimeout / 4)
	}
}
