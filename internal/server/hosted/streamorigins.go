package hosted

import (
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
)

// originPoolSize bounds the messages about origins of streams in progress.
const originPoolSize = 512

// originPeers implements caller.OriginPeers with the list of daemons.
type originPeers struct {
	*daemonrpc.PeerClient
}

// Holders implements caller.OriginPeers.
func (p originPeers) Holders(stream core.RequestID) []string {
	all := p.Addresses()
	return rendezvous.RendezvousRank("origin/"+string(stream), all, len(all))
}

// buildStreamOrigins adds the duty that remembers which servers began the streams of
// callers.
func (d *frontDaemon) buildStreamOrigins() error {
	pool, err := d.pool("origins", originPoolSize)
	if err != nil {
		return err
	}
	d.origins = caller.NewStreamOrigins(d.clock, originPeers{d.peers}, pool.TryGo)
	d.loops = append(d.loops, d.origins.Loop())
	return nil
}
