package server

import (
	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
)

// Version is the version of this build. A release sets it with the linker.
var Version = "development"

// buildStatus builds the status duty. It is the first step, since the other duties
// report to this one.
func (b *builder) buildStatus() error {
	loops := b.server.runner.Loops
	b.metrics = settings.NewMetrics(loops)
	b.status = operator.NewStatus(b.clock, operator.Identity{
		Daemon: b.settings.Name, DataCentre: b.settings.DataCentre, Region: b.settings.Region, Version: Version,
	}, func() []operator.DutyStatus { return dutyStatuses(loops()) })
	b.status.SetRequestCounter(func(e operator.RequestRecord) {
		b.metrics.Count("requests_total",
			settings.Label{Name: "customer", Value: string(e.Customer)},
			settings.Label{Name: "class", Value: string(e.Class)},
			settings.Label{Name: "verdict", Value: e.Verdict.String()},
			settings.Label{Name: "code", Value: string(e.Code)})
	})
	return nil
}

func dutyStatuses(loops []*duty.Loop) []operator.DutyStatus {
	list := make([]operator.DutyStatus, 0, len(loops))
	for _, loop := range loops {
		list = append(list, operator.DutyStatusOf(loop))
	}
	return list
}

// reportServers passes the known backend servers to the status duty.
func (b *builder) reportServers(servers []backend.Server) {
	list := make([]operator.ServerStatus, 0, len(servers))
	for _, s := range servers {
		list = append(list, serverStatus(s))
	}
	b.status.SetServers(list)
}

func serverStatus(s backend.Server) operator.ServerStatus {
	state := platform.HostLive
	if s.Leaving {
		state = platform.HostLeaving
	}
	return operator.ServerStatus{
		ID: s.ID, Address: s.Address, DataCentre: s.DataCentre,
		Service: s.Description.Service, Kind: s.Description.Kind, State: string(state),
	}
}
