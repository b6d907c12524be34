package server

import (
	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// probeWorkers bounds the probes of backend servers at once.
const probeWorkers = 32

func (b *builder) buildBackend() error {
	client, err := backendhttp.NewClient(backendhttp.Options{})
	if err != nil {
		return err
	}
	exchanges, err := b.pool("exchanges", b.settings.Exchanges)
	if err != nil {
		return err
	}
	probes, err := b.pool("probes", probeWorkers)
	if err != nil {
		return err
	}
	b.dispatch = backend.NewDispatcher(b.clock, b.random(), client, exchanges)
	b.dispatch.SetDataCentre(b.settings.DataCentre)
	b.dispatch.SetSlotsHandler(b.setSlots)
	b.poller = backend.NewPoller(b.clock, nil, client, probes, b.setServers)
	b.poller.SetDataCentre(b.settings.DataCentre)
	b.poller.SetCacheSource(client, b.dispatch.AddCacheEvents)
	b.start(b.dispatch.Loop(), b.poller.Loop())
	return nil
}

// setServers takes the backend servers from the poller.
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

// slotShare lets a daemon have more than its even part of the servers' slots,
// since load balancers do not spread calls evenly. Engines queue what is too
// much by priority.
const slotShare = 2

// setSlots gives admission this daemon's part of the slots of each service.
func (b *builder) setSlots(services []backend.ServiceSlots) {
	daemons := int(max(1, b.liveDaemons.Load()))
	for _, s := range services {
		if s.Total > 0 {
			b.admission.SetSlots(s.Service, min(s.Total, (slotShare*s.Total+daemons-1)/daemons))
		}
	}
}

// setHosts takes the hosts that the data centre's daemons agree on.
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
