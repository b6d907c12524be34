package server

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/platform"
)

// linkWorkers bounds the links: a data centre's mesh, the gateways of all
// others, and as many again while connections are replaced.
const linkWorkers = 256 * daemonrpc.GoroutinesPerLink

func (b *builder) buildDaemon() error {
	peers, err := b.buildPeers()
	if err != nil {
		return err
	}
	shares := b.buildShares(peers)
	load := b.buildLoad(peers)
	relay, hostPoller := b.buildHosts(peers)
	suspects := b.buildSuspects(peers)
	log := b.server.log.WithField("duty", "config")
	b.config = daemon.NewConfig(b.clock, log, b.admission.SetContracts, b.status.SetContracts, shares.SetContracts, b.trainers.SetContracts)
	watcher := platform.NewWatcher(b.clock, b.platformClient, b.storePool, daemon.ContractPrefix, b.config.Deliver,
		platform.WatcherOptions{Budget: b.budget, StartInactive: true, Random: b.random()})
	b.onWatching = append(b.onWatching, watcher.SetActive)
	b.config.Connect(peers, watching(b.onWatching))
	peers.OnMembers(b.config.SetMembers)
	peers.OnMembers(b.reportDead)
	peers.OnMembers(func(v *daemon.MembersView) { b.liveDaemons.Store(int64(len(v.LiveNames()))) })
	peers.OnMessage(b.config.Receive)
	hosts := daemon.NewPeerDiscovery(b.clock, daemonHosts{b.platformClient}, b.storePool, peers.AddPeerAddresses)
	peers.OnMembers(hosts.SetMembers)
	b.server.leave = peers.Leave
	b.start(b.config.Loop(), watcher.Loop(), shares.Loop(), load.Loop(), relay.Loop(), hostPoller.Loop(),
		suspects.Loop(), peers.Loop(), hosts.Loop())
	return nil
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
	b.server.peerAddress = links.Address()
	b.identity = daemon.Identity{
		Name:        b.settings.Name,
		DataCentre:  b.settings.DataCentre,
		Address:     links.Address(),
		Incarnation: b.incarnation,
	}
	peers := daemon.NewPeers(daemon.PeersOptions{
		Self:            b.identity,
		Peers:           b.settings.Peers,
		WaitForHostList: true,
		Clock:           b.clock,
		Random:          b.random(),
		Links:           links,
		Log:             b.server.log.WithField("duty", "peers"),
	})
	links.SetEventHandler(peers.Deliver)
	return peers, b.server.runner.Serve("daemons", links.Serve, links.Shutdown)
}

// buildShares joins the shares duty to admission, the store and the lease of
// the shares owner.
func (b *builder) buildShares(peers *daemon.Peers) *daemon.Shares {
	log := b.server.log.WithField("duty", "shares")
	shares := daemon.NewShares(b.identity, b.clock, log, peers, b.store, b.setShare)
	b.admission.EnableLimitSharing(func(customer core.CustomerID, limit caller.Limit, amount float64) {
		shares.ReportDemand(customer, shareOf[limit], amount)
	})
	owner := &candidacy{
		lessor: b.lessor,
		leases: b.leases,
		name:   "shares/" + b.settings.DataCentre,
		listener: func(e platform.LeaseEvent) {
			if e.Kind == platform.LeaseGained || e.Kind == platform.LeaseRenewed {
				shares.SetLease(daemon.OwnerLease{Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline})
			}
		},
	}
	b.onWatching = append(b.onWatching, owner.setActive)
	b.server.leases = append(b.server.leases, owner.leave)
	peers.OnMembers(shares.SetMembers)
	peers.OnMessage(shares.Receive)
	return shares
}

// buildHosts joins the host list: the daemons that watch the store poll it and
// relay it to the others.
func (b *builder) buildHosts(peers *daemon.Peers) (*daemon.HostRelay, *platform.HostPoller) {
	var relay *daemon.HostRelay
	poller := platform.NewHostPoller(b.clock, b.platformClient, b.storePool,
		platform.HostOptions{Budget: b.budget, StartInactive: true, Random: b.random()},
		func(c platform.HostListUpdate) { relay.SetHosts(c.Hosts) })
	relay = daemon.NewHostRelay(b.identity, b.clock, peers, poller, b.setHosts)
	peers.OnMembers(relay.SetMembers)
	peers.OnMessage(relay.Receive)
	return relay, poller
}

// buildSuspects spreads what dispatch knows of requests that crash servers.
func (b *builder) buildSuspects(peers *daemon.Peers) *daemon.Suspects {
	suspects := daemon.NewSuspects(b.identity, b.clock, peers, func(r daemon.SuspectReport) {
		b.dispatch.MergeSuspectReport(suspectsFromPeers(r))
	})
	b.dispatch.SetSuspectReportHandler(func(r backend.SuspectReport) { suspects.Report(suspectsToPeers(r)) })
	peers.OnMembers(suspects.SetMembers)
	peers.OnMessage(suspects.Receive)
	return suspects
}

// buildLoad exchanges load reports and the outstanding work at backend servers
// with the other daemons of the data centre.
func (b *builder) buildLoad(peers *daemon.Peers) *daemon.Load {
	load := daemon.NewLoad(b.clock, peers, b.addPeerReports, b.setOtherWork)
	b.poller.SetReportHandler(func(reports []backend.ServerReport) {
		for _, r := range reports {
			load.Report(reportToPeers(r, b.clock.Now()))
		}
	})
	peers.OnMembers(func(v *daemon.MembersView) {
		b.poller.SetAssignments(func(id core.ServerID) bool { return daemon.IsPollerOf(v, id) })
	})
	peers.OnMessage(load.Receive)
	b.dispatch.SetOwnWorkHandler(func(own []backend.OwnWork) {
		work := make([]daemon.ServerWork, 0, len(own))
		for _, w := range own {
			work = append(work, daemon.ServerWork{Server: daemon.HashServerID(w.Server), Outstanding: w.Outstanding})
		}
		peers.SetWork(work)
	})
	return load
}

// otherWorkAge is the mean age of a digest of another daemon: half of the
// period of heartbeats.
const otherWorkAge = daemon.HeartbeatPeriod / 2

func (b *builder) setOtherWork(work map[daemon.ServerKey]int) {
	ids := b.serverIDs.Load()
	if ids == nil {
		return
	}
	others := make([]backend.PeerWork, 0, len(work))
	for key, outstanding := range work {
		if id, known := (*ids)[key]; known {
			others = append(others, backend.PeerWork{Server: id, Outstanding: outstanding, Age: otherWorkAge})
		}
	}
	b.dispatch.UpdatePeerWork(others)
}

// limitOf names admission's limits as the daemons name them to each other.
var limitOf = map[daemon.Limit]caller.Limit{
	daemon.LimitRequests:    caller.LimitRequests,
	daemon.LimitTokens:      caller.LimitTokens,
	daemon.LimitConcurrency: caller.LimitConcurrency,
}

// shareOf is the reverse of limitOf.
var shareOf = map[caller.Limit]daemon.Limit{
	caller.LimitRequests:    daemon.LimitRequests,
	caller.LimitTokens:      daemon.LimitTokens,
	caller.LimitConcurrency: daemon.LimitConcurrency,
}

func (b *builder) setShare(customer core.CustomerID, limit daemon.Limit, amount float64, validUntil time.Time) {
	b.admission.SetLimitShare(customer, limitOf[limit], amount, validUntil)
}

// reportDead tells the claims duty which daemons are gone, so that callers do
// not wait for the outcome of their calls.
func (b *builder) reportDead(v *daemon.MembersView) {
	for _, m := range v.Members {
		if m.State == daemon.MemberDead || m.State == daemon.MemberLeft {
			b.claims.MarkDaemonDead(daemonIDOf(m.Identity))
		}
	}
}

// watching starts or stops what only the daemons that watch the store do.
type watching []func(active bool)

// SetActive passes the change on.
func (w watching) SetActive(active bool) {
	for _, set := range w {
		set(active)
	}
}

// daemonHosts reads the daemons from the platform's host list.
type daemonHosts struct {
	list platform.HostList
}

// PeerAddresses returns the addresses of the listed daemons.
func (h daemonHosts) PeerAddresses(ctx context.Context) ([]daemon.PeerAddress, error) {
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var contacts []daemon.PeerAddress
	for _, host := range hosts {
		if host.Role == platform.RoleDaemon {
			contacts = append(contacts, daemon.PeerAddress{Address: host.Address, DataCentre: host.DataCentre})
		}
	}
	return contacts, nil
}
