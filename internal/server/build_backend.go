package server

import (
	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// maxConcurrentProbes is the number of concurrent probes of backend servers.
const maxConcurrentProbes = 32

func (b *builder) buildBackend() error {
	client := backendhttp.NewClient(backendhttp.Options{})
	exchanges, err := b.pool("exchanges", b.settings.Exchanges)
	if err != nil {
		return err
	}
	probes, err := b.pool("probes", maxConcurrentProbes)
	if err != nil {
		return err
	}
	b.dispatch = backend.NewDispatcher(b.clock, b.random(), client, exchanges, b.reportSuspects)
	b.dispatch.SetDataCentre(b.settings.DataCentre)
	b.dispatch.SetSlotsHandler(b.setServiceSlots)
	b.poller = backend.NewPoller(b.clock, nil, client, probes, b.setServers)
	b.poller.SetDataCentre(b.settings.DataCentre)
	b.poller.SetCacheSource(client, b.dispatch.AddCacheEvents)
	b.start(b.dispatch.Loop(), b.poller.Loop())
	return nil
}

// setServers passes the backend servers that the poller reports to dispatch, the
// status duty and the roll-out of versions.
func (b *builder) setServers(servers []backend.Server) {
	ids := make(map[daemon.ServerKey]core.ServerID, len(servers))
	for _, s := range servers {
		ids[daemon.HashServerID(s.ID)] = s.ID
	}
	b.serverIDs.Store(&ids)
	b.dispatch.SetServers(servers)
	b.reportServers(servers)
	b.reportVersions(servers)
}

// slotOvercommit is the factor by which a daemon's share of the slots exceeds an
// even split, since load balancers do not spread calls evenly. Engines queue the
// excess by priority.
const slotOvercommit = 2

// setServiceSlots sets this daemon's share of the slots of each service in admission.
func (b *builder) setServiceSlots(services []backend.ServiceSlots) {
	daemons := int(max(1, b.liveDaemons.Load()))
	for _, s := range services {
		if s.Total > 0 {
			b.admission.SetSlots(s.Service, min(s.Total, (slotOvercommit*s.Total+daemons-1)/daemons))
		}
	}
}

// setHosts passes the backend servers of the host list to the poller.
func (b *builder) setHosts(hosts []platform.Host) {
	var servers []backend.Server
	for _, host := range hosts {
		if host.Role != platform.RoleBackend {
			continue
		}
		servers = append(servers, backend.Server{
			ID:         core.ServerID(host.Name),
			Address:    host.Address,
			DataCentre: host.DataCentre,
			Leaving:    host.State == platform.HostLeaving,
		})
	}
	b.poller.SetServers(servers)
}
