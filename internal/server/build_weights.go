package server

import (
	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/internal/weights"
	"github.com/berylfall/berylfall/internal/weights/weightshttp"
)

// orderWorkers bounds the orders and reads of the weight store at once.
const orderWorkers = 64

// buildWeights joins the roll-out of versions, if there is a weight store.
func (b *builder) buildWeights() error {
	if b.settings.WeightsURL == "" {
		return nil
	}
	client, err := weightshttp.NewClient(b.settings.WeightsURL, transport.ClientOptions{})
	if err != nil {
		return err
	}
	pool, err := b.pool("weights", orderWorkers)
	if err != nil {
		return err
	}
	log := b.server.log.WithField("duty", "weights")
	b.rollout = weights.NewRollout(b.clock, log, client, client, pool, weights.DefaultLimits(), b.trainers.SetLatestVersion)
	owner := &candidacy{
		lessor: b.lessor,
		leases: b.leases,
		name:   "weights/" + b.settings.DataCentre,
		listener: func(e platform.LeaseEvent) {
			switch e.Kind {
			case platform.LeaseGained, platform.LeaseRenewed:
				b.rollout.SetLease(weights.Lease{Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline})
			case platform.LeaseLost:
				b.rollout.SetLease(weights.Lease{})
			}
		},
	}
	b.onWatching = append(b.onWatching, owner.setActive)
	b.server.leases = append(b.server.leases, func() {
		b.rollout.SetLease(weights.Lease{})
		owner.leave()
	})
	b.start(b.rollout.Loop())
	return nil
}

// reportVersions tells the roll-out what the engines of this data centre hold,
// and the trainers the newest version that an engine serves. The weight store's
// newest version is known to the owner of the roll-out only.
func (b *builder) reportVersions(servers []backend.Server) {
	newest := map[string]core.Version{}
	var reports []weights.Report
	for _, s := range servers {
		for _, m := range s.Description.Models {
			newest[m.Name] = max(newest[m.Name], m.Version)
			if s.DataCentre == b.settings.DataCentre {
				reports = append(reports, versionReport(s, m))
			}
		}
	}
	for model, version := range newest {
		b.trainers.SetLatestVersion(model, version)
	}
	if b.rollout != nil {
		b.rollout.AddReports(reports)
	}
}

func versionReport(s backend.Server, m backend.ModelDescription) weights.Report {
	return weights.Report{
		At: s.DescribedAt,
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
