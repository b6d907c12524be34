package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/platform"
)

const (
	// originPoolSize bounds the messages about origins of streams in progress.
	originPoolSize = 512
	// kindOrigins is the kind of the objects in which daemons save the origins that they
	// hold, one for each daemon.
	kindOrigins = "stream-origins"
	// originLoadTimeout bounds a read of saved origins, for which a caller may wait.
	originLoadTimeout = 800 * time.Millisecond
	originSaveTimeout = 2 * time.Second
)

// originPeers implements caller.OriginPeers with the list of daemons.
type originPeers struct {
	*daemonrpc.PeerClient
	self string
}

// Holders implements caller.OriginPeers.
func (p originPeers) Holders(stream core.RequestID) []string {
	all := p.Addresses()
	return rendezvous.RendezvousRank("origin/"+string(stream), all, len(all))
}

// PullOrigins implements caller.OriginPeers.
func (p originPeers) PullOrigins(ctx context.Context, address string) ([]caller.StreamOrigin, error) {
	return p.PeerClient.PullOrigins(ctx, address, p.self)
}

// originStore implements caller.OriginStore with the platform's store.
type originStore struct {
	store *platform.Store
	self  string
}

// savedStreams are the streams that servers of one software version began.
type savedStreams struct {
	Service  string               `json:"service"`
	Software core.SoftwareVersion `json:"software"`
	Streams  []core.RequestID     `json:"streams"`
}

// originsObject is the value of the object of a daemon.
type originsObject struct {
	Origins []savedStreams `json:"origins"`
}

func originsKey(address string) string {
	return kindOrigins + "/" + strings.ReplaceAll(address, ":", "-")
}

// LoadOrigins implements caller.OriginStore.
func (s originStore) LoadOrigins(address string, reply func(caller.SavedOrigins, error)) {
	s.store.Submit(platform.Op{
		Kind: platform.OpGet, Key: originsKey(address), Timeout: originLoadTimeout, FailFast: true,
		Reply: func(r platform.Result) {
			if errors.Is(r.Err, platform.ErrNotFound) {
				reply(caller.SavedOrigins{}, nil)
				return
			}
			if r.Err != nil {
				reply(caller.SavedOrigins{}, r.Err)
				return
			}
			origins, err := decodeOrigins(r.Object.Value)
			reply(caller.SavedOrigins{Version: r.Object.Version, Origins: origins}, err)
		},
	})
}

// SaveOrigins implements caller.OriginStore.
func (s originStore) SaveOrigins(saved caller.SavedOrigins, reply func(version int64, err error)) {
	value, err := encodeOrigins(saved.Origins)
	if err != nil {
		reply(0, err)
		return
	}
	// The version 0 of an object that does not exist is platform.Absent.
	s.store.Submit(platform.Op{
		Kind: platform.OpPut, Key: originsKey(s.self), Value: value, IfVersion: saved.Version, Timeout: originSaveTimeout,
		Reply: func(r platform.Result) { reply(r.Object.Version, r.Err) },
	})
}

// encodeOrigins groups the streams by the servers that began them, of which there are few.
func encodeOrigins(origins []caller.StreamOrigin) ([]byte, error) {
	var object originsObject
	groups := map[caller.StreamOrigin]int{}
	for _, o := range origins {
		group := caller.StreamOrigin{Service: o.Service, Software: o.Software}
		i, ok := groups[group]
		if !ok {
			i = len(object.Origins)
			groups[group] = i
			object.Origins = append(object.Origins, savedStreams{Service: o.Service, Software: o.Software})
		}
		object.Origins[i].Streams = append(object.Origins[i].Streams, o.Stream)
	}
	return json.Marshal(object)
}

// decodeOrigins decodes the object of a daemon. Origins that name no stream are left out.
func decodeOrigins(value []byte) ([]caller.StreamOrigin, error) {
	var object originsObject
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, fmt.Errorf("decode saved origins of streams: %w", err)
	}
	var origins []caller.StreamOrigin
	for _, group := range object.Origins {
		for _, stream := range group.Streams {
			if stream != "" {
				origins = append(origins, caller.StreamOrigin{Stream: stream, Service: group.Service, Software: group.Software})
			}
		}
	}
	return origins, nil
}

// buildStreamOrigins adds the duty that remembers which servers began the streams of
// callers.
func (d *frontDaemon) buildStreamOrigins() error {
	pool, err := d.pool("origins", originPoolSize)
	if err != nil {
		return err
	}
	self := d.hostSettings.PeerAddress
	d.origins = caller.NewStreamOrigins(caller.StreamOriginOptions{
		Clock: d.clock, Self: self, TryGo: pool.TryGo,
		Peers: originPeers{PeerClient: d.peers, self: self},
		Store: originStore{store: d.store, self: self},
	})
	d.loops = append(d.loops, d.origins.Loop())
	return nil
}
