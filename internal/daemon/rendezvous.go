package daemon

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// RendezvousRank returns the n names that rank first for key by rendezvous hash. Every
// daemon with the same names computes the same result, and the loss of one name
// moves only the keys that it ranked first for.
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

// first reports whether name is among the n names that rank first for key.
func first(key string, names []string, n int, name string) bool {
	for _, ranked := range RendezvousRank(key, names, n) {
		if ranked == name {
			return true
		}
	}
	return false
}

// HashServerID returns the short hash of a backend server's ID.
func HashServerID(server core.ServerID) ServerKey {
	return ServerKey(uint32(xxhash.Sum64String(string(server))))
}

// IsPollerOf reports whether the daemon of the view polls the backend server, which
// is the work of one daemon per data centre.
func IsPollerOf(v *MembersView, server core.ServerID) bool {
	return first("poll/"+string(server), v.LiveNames(), 1, v.Self.Name)
}

// storeWatchers returns the names of the daemons of the data centre that watch
// the store and poll the host list.
func storeWatchers(v *MembersView) []string {
	return RendezvousRank("config/"+v.Self.DataCentre, v.LiveNames(), WatchersPerDataCentre)
}
