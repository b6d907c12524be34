package server

import (
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/weights"
	"github.com/berylfall/berylfall/internal/weights/weightshttp"
)

// weightsPoolSize is the number of concurrent orders and reads of the weight store.
const weightsPoolSize = 64

// buildWeights builds the roll-out of versions if a weight store is configured.
func (b *builder) buildWeights() error {
	if b.settings.WeightsURL == "" {
		return nil
	}
	client := weightshttp.NewClient(b.settings.WeightsURL)
	pool, err := b.pool("weights", weightsPoolSize)
	if err != nil {
		return err
	}
	log := b.server.log.WithField("duty", "weights")
	b.versionRollout = weights.NewRollout(b.leaseClock, log, client, client, pool, weights.DefaultLimits(), b.trainers.SetLatestVersion)
	candidate := &leaseCandidate{
		leaseManager: b.leaseManager,
		reporter:     b.leaseReporter,
		name:         "weights/" + b.settings.DataCentre,
		onEvent: func(e platform.LeaseEvent) {
			switch e.Kind {
			case platform.LeaseGained, platform.LeaseRenewed:
				b.versionRollout.SetLease(weights.Lease{Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline})
			case platform.LeaseLost:
				b.versionRollout.SetLease(weights.Lease{})
			}
		},
	}
	b.onStoreWatchChange = append(b.onStoreWatchChange, candidate.setActive)
	b.server.leaseReleases = append(b.server.leaseReleases, func() {
		b.versionRollout.SetLease(weights.Lease{})
		candidate.releaseLease()
	})
	b.start(b.versionRollout.Loop())
	return nil
}

// reportVersions reports the versions that the engines of this data centre hold to
// the roll-out, and the newest version that any engine serves to the trainers. The
// newest version in the weight store is known to the owner of the roll-out only.
func (b *builder) reportVersions(servers []backend.Server) {
	newest := map[string]core.Version{}
	var reports []weights.Report
	now := b.clock.Now()
	for _, s := range servers {
		for _, m := range s.Description.Models {
			newest[m.Name] = max(newest[m.Name], m.Version)
			if s.DataCentre == b.settings.DataCentre {
				reports = append(reports, versionReport(s, m, now))
			}
		}
	}
	for model, version := range newest {
		b.trainers.SetLatestVersion(model, version)
	}
	if b.versionRollout != nil {
		b.versionRollout.AddReports(reports)
	}
}

func versionReport(s backend.Server, m backend.ModelDescription, now time.Time) weights.Report {
	return weights.Report{
		Age: now.Sub(s.DescribedAt),
		Engine: weights.Engine{
			ID:          s.ID,
			Address:     s.Address,
			Service:     s.Description.Service,
			Model:       m.Name,
			Incarnation: s.Description.Incarnation,
			ChecksFence: s.Description.ChecksFence,
			Version:     m.Version,
		},
	}
}
