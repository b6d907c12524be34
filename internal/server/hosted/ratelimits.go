package hosted

import (
	"slices"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
)

// permitPoolSize bounds the permit requests to other daemons in progress.
const permitPoolSize = 512

// permitPeers implements backend.PermitPeers with the list of daemons.
type permitPeers struct {
	*daemonrpc.PeerClient
	self string // address of this daemon
}

// Owners implements backend.PermitPeers.
func (p permitPeers) Owners(server core.ServerID) []string {
	all := append(slices.Clone(p.Addresses()), p.self)
	return rendezvous.RendezvousRank("limit/"+string(server), all, len(all))
}

// buildRateLimiter adds the duty that shares the rate limits of backend servers with
// the other daemons.
func (d *frontDaemon) buildRateLimiter() error {
	pool, err := d.pool("permits", permitPoolSize)
	if err != nil {
		return err
	}
	d.rateLimiter = backend.NewRateLimiter(d.clock, d.hostSettings.PeerAddress, permitPeers{d.peers, d.hostSettings.PeerAddress}, pool.TryGo)
	d.dispatch.SetPermitSource(d.rateLimiter)
	d.loops = append(d.loops, d.rateLimiter.Loop())
	return nil
}
