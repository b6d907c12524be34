package hosted

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// relayCount is the number of daemons that watch the backend servers on behalf of
	// all daemons.
	relayCount = 4
	// minRelayedDaemons is the number of daemons from which relays are used. With fewer
	// daemons the saved calls of the store do not outweigh the later arrival of changes.
	minRelayedDaemons = 4 * relayCount
	// directDelayShare is the share of the drain bound, after which a leaving server
	// must get no new work, for which changes of servers read from the store are
	// batched. Changes through a relay are batched twice, each time for
	// relayedDelayShare of the bound.
	directDelayShare  = 0.4
	relayedDelayShare = 0.2
	// relayRankKey is the key of the rendezvous hash that selects the relays.
	relayRankKey = "relays"
)

// watchServers watches the entries of backend servers, through relays if there are
// many daemons.
func (d *frontDaemon) watchServers() {
	maxDelay := d.hostSettings.Bounds.Drain
	d.relay = platform.NewRelay(d.bootClock, platform.RelayOptions{MaxChangeDelay: maxDelay, IsActive: d.isRelay, Positions: d.watchPositions})
	d.loops = append(d.loops, d.relay.Loop())
	api := platform.NewRelayedAPI(d.storeClient, d.clock, platform.RelayedOptions{
		Client: d.peers, MaxChangeDelay: maxDelay, Relays: d.relayAddresses,
		FirstRelay: int(xxhash.Sum64String(d.hostSettings.PeerAddress) % relayCount),
		OnPosition: d.reportPosition,
		OnRelayFailure: func(address string, err error) {
			d.log.WithError(err).WithField("daemon", address).Info("relay does not respond; the store is watched directly")
		},
	})
	var watcher *platform.Watcher
	batchDelay := func() time.Duration {
		if len(loadList(&d.peerList.relays)) > 0 {
			return time.Duration(relayedDelayShare * float64(maxDelay))
		}
		return time.Duration(directDelayShare * float64(maxDelay))
	}
	maxAge := func() time.Duration {
		if d.isRelay() {
			return platform.RelayMaxAge(maxDelay)
		}
		return backend.EntryTerm
	}
	onRead := func(upTo time.Time) {
		d.directory.ConfirmRead(upTo)
		d.relay.ConfirmRead(upTo)
	}
	watcher = d.watchKindVia(api, adapter.KindServers, platform.WatcherOptions{BatchDelay: batchDelay, MaxAge: maxAge, OnCallEnd: d.setStoreAvailable, OnRead: onRead}, func(s platform.Snapshot) {
		d.handleServers(s)
		if !d.relay.PutSnapshot(s) {
			d.log.WithFields(logrus.Fields{"revision": s.Revision}).Error("changes of backend servers are dropped: relay ring is full")
			watcher.Relist()
		}
	})
	d.directory.SetConfirmHandler(d.dispatch.ConfirmServers)
}

// rankRelays returns the addresses of the relays. There are none if there are fewer
// than minRelayedDaemons daemons.
func rankRelays(others []string, self string) []string {
	all := append(slices.Clone(others), self)
	if len(all) < minRelayedDaemons {
		return nil
	}
	return rendezvous.RendezvousRank(relayRankKey, all, relayCount)
}

func (d *frontDaemon) isRelay() bool {
	return slices.Contains(loadList(&d.peerList.relays), d.hostSettings.PeerAddress)
}

// relayAddresses returns the addresses of the relays that this daemon uses; none if
// it is a relay itself.
func (d *frontDaemon) relayAddresses() []string {
	if d.isRelay() {
		return nil
	}
	return loadList(&d.peerList.relays)
}

// watchPositions returns the positions of this daemon's current watchers, for the daemons
// that ask it as a relay. That of the servers is in the answer itself.
func (d *frontDaemon) watchPositions() []platform.Position {
	var positions []platform.Position
	for _, w := range d.watchers {
		if p, isCurrent := w.Position(); isCurrent && p.Prefix != adapter.KindServers+"/" {
			positions = append(positions, p)
		}
	}
	return positions
}

// reportPosition passes the position of a relay's watcher to this daemon's own one.
func (d *frontDaemon) reportPosition(p platform.Position) {
	for _, w := range d.watchers {
		if w.Prefix() == p.Prefix {
			w.ReportPosition(p)
		}
	}
}
