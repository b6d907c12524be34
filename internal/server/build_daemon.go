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

// linkPoolSize is the number of pool goroutines for links. It suffices for the
// mesh of a data centre, the gateways of all other data centres, and as many
// links again while connections are replaced.
const linkPoolSize = 256 * daemonrpc.GoroutinesPerLink

func (b *builder) buildDaemon() error {
	peers, err := b.buildPeers()
	if err != nil {
		return err
	}
	shares := b.buildShares(peers)
	loadExchange := b.buildLoad(peers)
	relay, hostPoller := b.buildHosts(peers)
	suspects := b.buildSuspects(peers)
	log := b.server.log.WithField("duty", "config")
	b.config = daemon.NewConfig(b.clock, log, b.admission.SetContracts, b.status.SetContracts, shares.SetContracts, b.trainers.SetContracts)
	watcher := platform.NewWatcher(b.clock, b.platformClient, b.storePool, daemon.ContractPrefix, b.config.Deliver,
		platform.WatcherOptions{Budget: b.budget, StartInactive: true, Random: b.random()})
	b.onStoreWatchChange = append(b.onStoreWatchChange, watcher.SetActive)
	b.config.Connect(peers, storeWatchListeners(b.onStoreWatchChange))
	peers.OnMembers(b.config.SetMembers)
	peers.OnMembers(b.markDeadDaemons)
	peers.OnMembers(func(v *daemon.MembersView) { b.liveDaemons.Store(int64(len(v.LiveNames()))) })
	peers.OnMessage(b.config.Receive)
	discovery := daemon.NewPeerDiscovery(b.clock, hostListDiscovery{b.platformClient}, b.storePool, peers.AddPeerAddresses)
	peers.OnMembers(discovery.SetMembers)
	b.server.announceLeave = peers.Leave
	b.start(b.config.Loop(), watcher.Loop(), shares.Loop(), loadExchange.Loop(), relay.Loop(), hostPoller.Loop(),
		suspects.Loop(), peers.Loop(), discovery.Loop())
	return nil
}

func (b *builder) buildPeers() (*daemon.Peers, error) {
	pool, err := b.pool("links", linkPoolSize)
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

// buildShares connects the shares duty to admission, the store and the lease of
// the owner of the shares.
func (b *builder) buildShares(peers *daemon.Peers) *daemon.Shares {
	log := b.server.log.WithField("duty", "shares")
	shares := daemon.NewShares(b.identity, b.leaseClock, log, peers, b.store, b.setLimitShare)
	b.admission.EnableLimitSharing(b.leaseClock.Now, func(customer core.CustomerID, limit caller.Limit, amount float64) {
		shares.ReportDemand(customer, daemonLimits[limit], amount)
	})
	candidate := &leaseCandidate{
		leaseManager: b.leaseManager,
		reporter:     b.leaseReporter,
		name:         "shares/" + b.settings.DataCentre,
		onEvent: func(e platform.LeaseEvent) {
			if e.Kind == platform.LeaseGained || e.Kind == platform.LeaseRenewed {
				shares.SetLease(daemon.OwnerLease{Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline})
			}
		},
	}
	b.onStoreWatchChange = append(b.onStoreWatchChange, candidate.setActive)
	b.server.leaseReleases = append(b.server.leaseReleases, candidate.releaseLease)
	peers.OnMembers(shares.SetMembers)
	peers.OnMessage(shares.Receive)
	return shares
}

// buildHosts builds the distribution of the host list: the daemons that watch the
// store poll the list and relay it to the others.
func (b *builder) buildHosts(peers *daemon.Peers) (*daemon.HostRelay, *platform.HostPoller) {
	var relay *daemon.HostRelay
	poller := platform.NewHostPoller(b.clock, b.platformClient, b.storePool,
		platform.HostOptions{Budget: b.budget, StartInactive: true, Random: b.random()},
		func(update platform.HostListUpdate) { relay.SetHosts(update.Hosts) })
	relay = daemon.NewHostRelay(b.identity, b.clock, peers, poller, b.setHosts)
	peers.OnMembers(relay.SetMembers)
	peers.OnMessage(relay.Receive)
	return relay, poller
}

// buildSuspects builds the exchange of suspect reports, which name requests that
// may crash servers, between dispatch and the other daemons.
func (b *builder) buildSuspects(peers *daemon.Peers) *daemon.Suspects {
	suspects := daemon.NewSuspects(b.identity, b.clock, peers, func(r daemon.SuspectReport) {
		b.dispatch.MergeSuspectReport(fromPeerSuspects(r))
	})
	b.suspects = suspects
	b.dispatch.SetSuspectSummaryHandler(b.reportSuspects)
	peers.OnMembers(suspects.SetMembers)
	peers.OnMessage(suspects.Receive)
	return suspects
}

// reportSuspects passes what dispatch knows of crashes to the duty that distributes it. The
// daemons of this interface exchange counts of crashes, each judged by the daemon that saw
// it; the reports of single crashes are not passed on.
func (b *builder) reportSuspects(r backend.SuspectReport) { b.suspects.Report(toPeerSuspects(r)) }

// buildLoad exchanges load reports and the outstanding work at backend servers
// with the other daemons of the data centre.
func (b *builder) buildLoad(peers *daemon.Peers) *daemon.Load {
	load := daemon.NewLoad(b.clock, peers, b.addPeerReports, b.setPeerWork)
	b.poller.SetReportHandler(func(reports []backend.ServerReport) {
		for _, r := range reports {
			load.Report(toPeerReport(r, b.clock.Now()))
		}
	})
	peers.OnMembers(func(v *daemon.MembersView) {
		b.poller.SetAssignments(func(id core.ServerID) bool { return daemon.IsPollerOf(v, id) })
	})
	peers.OnMessage(load.Receive)
	b.dispatch.SetOwnWorkHandler(func(ownWork []backend.OwnWork) {
		work := make([]daemon.ServerWork, 0, len(ownWork))
		for _, w := range ownWork {
			work = append(work, daemon.ServerWork{Server: daemon.HashServerID(w.Server), Outstanding: w.Outstanding})
		}
		peers.SetWork(work)
	})
	return load
}

// peerWorkAge is the mean age of the outstanding work that a peer reports: half
// of the heartbeat period.
const peerWorkAge = daemon.HeartbeatPeriod / 2

func (b *builder) setPeerWork(work map[daemon.ServerKey]int) {
	ids := b.serverIDs.Load()
	if ids == nil {
		return
	}
	peerWork := make([]backend.PeerWork, 0, len(work))
	for key, outstanding := range work {
		if id, known := (*ids)[key]; known {
			peerWork = append(peerWork, backend.PeerWork{Server: id, Outstanding: outstanding, Age: peerWorkAge})
		}
	}
	b.dispatch.UpdatePeerWork(peerWork)
}

// callerLimits maps the limits of the daemon protocol to those of admission.
var callerLimits = map[daemon.Limit]caller.Limit{
	daemon.LimitRequests:    caller.LimitRequests,
	daemon.LimitTokens:      caller.LimitTokens,
	daemon.LimitConcurrency: caller.LimitConcurrency,
}

// daemonLimits is the inverse of callerLimits.
var daemonLimits = map[caller.Limit]daemon.Limit{
	caller.LimitRequests:    daemon.LimitRequests,
	caller.LimitTokens:      daemon.LimitTokens,
	caller.LimitConcurrency: daemon.LimitConcurrency,
}

func (b *builder) setLimitShare(customer core.CustomerID, limit daemon.Limit, amount float64, validUntil time.Time) {
	b.admission.SetLimitShare(customer, callerLimits[limit], amount, validUntil)
}

// markDeadDaemons marks the daemons that are dead or have left in the claims duty,
// so that callers do not wait for the outcome of calls at those daemons.
func (b *builder) markDeadDaemons(v *daemon.MembersView) {
	for _, m := range v.Members {
		if m.State == daemon.MemberDead || m.State == daemon.MemberLeft {
			b.claims.MarkDaemonDead(daemonIDOf(m.Identity))
		}
	}
}

// storeWatchListeners are the functions that start or stop the work that only the
// daemons watching the store do.
type storeWatchListeners []func(active bool)

// SetActive calls every listener, on the caller's goroutine.
func (listeners storeWatchListeners) SetActive(active bool) {
	for _, listener := range listeners {
		listener(active)
	}
}

// hostListDiscovery discovers peers from the platform's host list.
type hostListDiscovery struct {
	hostList platform.HostList
}

// PeerAddresses returns the addresses of the listed daemons, this one included.
func (h hostListDiscovery) PeerAddresses(ctx context.Context) ([]daemon.PeerAddress, error) {
	hosts, err := h.hostList.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []daemon.PeerAddress
	for _, host := range hosts {
		if host.Role == platform.RoleDaemon {
			addresses = append(addresses, daemon.PeerAddress{Address: host.Address, DataCentre: host.DataCentre})
		}
	}
	return addresses, nil
}
