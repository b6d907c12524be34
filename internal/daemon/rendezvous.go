package daemon

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// RendezvousRank returns the n names that rank highest for the key by
// rendezvous hashing. All daemons with the same names compute the same result,
// and the removal of a name changes only the keys for which it ranked among
// the n.
func RendezvousRank(key string, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name: name, score: xxhash.Sum64String(key + "\x00" + name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	ranked := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		ranked = append(ranked, s.name)
	}
	return ranked
}

// isRankedFirst reports whether name is among the n names that rank highest
// for the key.
func isRankedFirst(key string, names []string, n int, name string) bool {
	for _, ranked := range RendezvousRank(key, names, n) {
		if ranked == name {
			return true
		}
	}
	return false
}

// HashServerID returns the short key of a backend server that heartbeats
// carry.
func HashServerID(server core.ServerID) ServerKey {
	return ServerKey(uint32(xxhash.Sum64String(string(server))))
}

// IsPollerOf reports whether this daemon polls the backend server in the given
// view. One daemon per data centre polls each server.
func IsPollerOf(v *MembersView, server core.ServerID) bool {
	return isRankedFirst("poll/"+string(server), v.LiveNames(), 1, v.Self.Name)
}

// storeWatchers returns the names of the daemons of the data centre that watch
// the contracts in the store and poll the host list.
func storeWatchers(v *MembersView) []string {
	return RendezvousRank("config/"+v.Self.DataCentre, v.LiveNames(), WatchersPerDataCentre)
}
