package server

import (
	"context"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
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
	b.dispatch = backend.NewDispatch(b.clock, b.random(), client, exchanges)
	poller := backend.NewPoller(b.clock, hostSource{b.platformClient}, client, probes, b.reportServers(b.dispatch.SetServers))
	return b.start(b.dispatch.Loop(), poller.Loop())
}

// hostSource reads the backend servers from the platform's host list.
type hostSource struct {
	list platform.HostList
}

// BackendHosts returns the listed backend servers.
func (h hostSource) BackendHosts(ctx context.Context) ([]backend.Server, error) {
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
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
	return servers, nil
}
