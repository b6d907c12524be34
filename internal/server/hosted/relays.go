package hosted

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// relayCount is the number of daemons that watch the servers for all.
	relayCount = 4
	// relayedFrom is the least number of daemons for which relays save calls of
	// the store that are worth a later knowledge of changes.
	relayedFrom = 4 * relayCount
	// directPacePart is the part of the time in which a leaving server must get
	// no new work for which changes of servers may collect on the way from the
	// store. Through a relay they collect twice, each time for relayedPacePart.
	directPacePart  = 0.4
	relayedPacePart = 0.2
	// relaysRank names the choice of the relays.
	relaysRank = "relays"
)

// followServers watches the entries of servers, through relays if there are
// many daemons.
func (d *frontDaemon) followServers() {
	within := d.set.Bounds.Drain
	d.relay = platform.NewRelay(d.clock, d.api, d.watch, platform.RelayOptions{MaxChangeDelay: within, IsActive: d.isRelay})
	d.loops = append(d.loops, d.relay.Loop())
	api := platform.NewRelayedAPI(d.api, d.clock, platform.RelayedOptions{
		Client: d.peers, MaxChangeDelay: within, Relays: d.relaysToAsk,
		FirstRelay: int(xxhash.Sum64String(d.set.PeerAddress) % relayCount),
		OnRelayFailure: func(address string, err error) {
			d.log.WithError(err).WithField("daemon", address).Info("relay does not answer; the store is asked itself")
		},
	})
	var watcher *platform.Watcher
	pace := func() time.Duration {
		if len(listOf(&d.roster.relays)) > 0 {
			return time.Duration(relayedPacePart * float64(within))
		}
		return time.Duration(directPacePart * float64(within))
	}
	watcher = d.followOn(api, adapter.KindServers, platform.WatcherOptions{BatchDelay: pace, OnCallEnd: d.storeAnswered}, func(s platform.Snapshot) {
		d.handleServers(s)
		if !d.relay.PutSnapshot(s) {
			d.log.WithFields(logrus.Fields{"revision": s.Revision}).Error("changes of backend servers are lost: the relay's ring is full")
			watcher.Relist()
		}
	})
}

// rankRelays returns the daemons that watch the servers for all; none if there
// are few daemons.
func rankRelays(others []string, self string) []string {
	all := append(slices.Clone(others), self)
	if len(all) < relayedFrom {
		return nil
	}
	return rendezvous.RendezvousRank(relaysRank, all, relayCount)
}

func (d *frontDaemon) isRelay() bool {
	return slices.Contains(listOf(&d.roster.relays), d.set.PeerAddress)
}

// relaysToAsk returns the relays, or none if this daemon is one of them.
func (d *frontDaemon) relaysToAsk() []string {
	if d.isRelay() {
		return nil
	}
	return listOf(&d.roster.relays)
}
