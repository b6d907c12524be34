package server

import (
	"context"
	"math/rand/v2"

	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/platform"
)

// linkWorkers bounds the links: a data centre's mesh, the gateways of all
// others, and as many again while connections are replaced.
const linkWorkers = 256 * daemonrpc.WorkersPerLink

// peerAddresses are the daemons named in the settings.
func (b *builder) peerAddresses() []string { return nil }

func (b *builder) buildDaemon() error {
	peers, err := b.buildPeers()
	if err != nil {
		return err
	}
	log := b.server.log.WithField("duty", "config")
	b.config = daemon.NewConfig(b.clock, log, b.admission.SetContracts, b.status.SetContracts)
	watcher := platform.NewWatcher(b.clock, b.platformClient, b.storePool, daemon.ContractPrefix, b.config.Deliver)
	b.config.Connect(peers, storeWatch{watcher})
	peers.OnMembers(b.config.SetMembers)
	peers.OnMessage(b.config.Receive)
	hosts := daemon.NewHosts(b.clock, daemonHosts{b.platformClient}, b.storePool, peers.SetHosts)
	peers.OnMembers(hosts.SetMembers)
	return b.start(b.config.Loop(), watcher.Loop(), peers.Loop(), hosts.Loop())
}

func (b *builder) buildPeers() (*daemon.Peers, error) {
	pool, err := b.pool("links", linkWorkers)
	if err != nil {
		return nil, err
	}
	links, err := daemonrpc.Listen(daemonrpc.Options{Address: b.settings.PeerAddress, Pool: pool})
	if err != nil {
		return nil, err
	}
	peers := daemon.NewPeers(daemon.PeersOptions{
		Self: daemon.Identity{
			Name:        b.settings.Name,
			DataCentre:  b.settings.DataCentre,
			Address:     links.Address(),
			Incarnation: daemon.Incarnation{Start: b.clock.Now().UnixNano(), Random: rand.Uint64()},
		},
		Peers:      b.peerAddresses(),
		AwaitHosts: true,
		Clock:      b.clock,
		Random:     b.random(),
		Links:      links,
		Log:        b.server.log.WithField("duty", "peers"),
	})
	links.Start(peers.Deliver)
	return peers, b.server.runner.Serve("daemons", links.Serve, links.Shutdown)
}

// storeWatch turns the watch of the contracts on and off. A watcher that cannot
// be turned off keeps watching, which costs store calls and nothing else.
type storeWatch struct {
	watcher any
}

// SetActive starts or stops the watch.
func (w storeWatch) SetActive(active bool) {
	if watch, ok := w.watcher.(daemon.StoreWatch); ok {
		watch.SetActive(active)
	}
}

// daemonHosts reads the daemons from the platform's host list.
type daemonHosts struct {
	list platform.HostList
}

// Contacts returns the addresses of the listed daemons.
func (h daemonHosts) Contacts(ctx context.Context) ([]daemon.Contact, error) {
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var contacts []daemon.Contact
	for _, host := range hosts {
		if host.Role == platform.RoleDaemon {
			contacts = append(contacts, daemon.Contact{Address: host.Address, DataCentre: host.DataCentre})
		}
	}
	return contacts, nil
}
