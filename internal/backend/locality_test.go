package backend

import (
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

func stored(from int64, prefixes ...uint64) (events []CacheEvent) {
	for i, p := range prefixes {
		events = append(events, CacheEvent{Sequence: from + int64(i), Kind: PrefixStored, Prefix: p})
	}
	return events
}

// Guards against a view that keeps prefixes whose eviction may be among lost
// events, that outlives the engine's restart, or that grows without bound.
func TestCacheEvents(t *testing.T) {
	l := newLocality()
	holds := func(prefix uint64) bool {
		return l.share("e", &prefixHashes{hashes: [maxPrefixBlocks]uint64{prefix}, n: 1}) == 1
	}
	l.take(CacheEvents{Server: "e", Incarnation: "1", Events: stored(1, 10, 11)})
	l.take(CacheEvents{Server: "e", Incarnation: "1", After: 2, Events: []CacheEvent{{Sequence: 3, Kind: PrefixEvicted, Prefix: 10}}})
	l.take(CacheEvents{Server: "e", Incarnation: "1", Events: stored(1, 10)}) // late and twice
	if holds(10) || !holds(11) {
		t.Error("an event out of order changed the view, or an eviction did not")
	}
	l.take(CacheEvents{Server: "e", Incarnation: "1", After: 3, Events: stored(5, 12)})
	if holds(11) || !holds(12) {
		t.Error("after a gap the view has other prefixes than those of later events")
	}
	l.take(CacheEvents{Server: "e", Incarnation: "2", Events: stored(1, 13)})
	if holds(12) || !holds(13) {
		t.Error("the view outlives the engine")
	}
	for i := range uint64(5 * prefixesPerServer) {
		l.take(CacheEvents{Server: "e", Incarnation: "2", Events: stored(int64(i)+2, 1000+i)})
	}
	if n := l.servers["e"].blocks.Len(); n != prefixesPerServer {
		t.Errorf("%d prefixes held, want %d", n, prefixesPerServer)
	}
}

// Guards against a decision for the engine that holds the prompt although it
// cannot run the request or is no longer listed, and against one that allocates.
func TestHolderRunsTheRequest(t *testing.T) {
	d := newLargeTable(t, 4)
	r := &core.Request{Service: "wear", Model: "wear", Adapter: "b", Prompt: string(make([]byte, 2000))}
	var prefixes prefixHashes
	prefixes.set(r.Prompt)
	for i := range prefixes.n {
		prefixes.at(i)
	}
	d.AddCacheEvents(CacheEvents{Server: "s0001", Incarnation: "1", Events: stored(1, prefixes.hashes[:prefixes.n]...)})
	d.loop.RunPending()
	chosen := func() (n int) {
		for range 100 {
			if c, _ := d.router.pick(r, nil); c.Server.ID == "s0001" {
				n++
			}
		}
		return n
	}
	if n := chosen(); n != 100 {
		t.Errorf("the engine that holds the prompt got %d of 100 requests", n)
	}
	if n := testing.AllocsPerRun(1000, func() { d.router.pick(r, nil) }); n != 0 {
		t.Errorf("%.1f allocations in a decision, want none", n)
	}
	var servers []Server
	for _, c := range d.order {
		servers = append(servers, c.Server)
	}
	servers[1].Description.Models = []ModelDescription{{Name: "wear", Version: 3, Adapters: []string{"a"}}}
	d.handleServers(servers)
	if n := chosen(); n != 0 {
		t.Errorf("the engine without the adapter got %d of 100 requests", n)
	}
	servers[1].Description.Models = servers[0].Description.Models
	d.handleServers(servers)
	d.table["s0001"].Outstanding = 1              // keeps it in the table when it is not listed
	d.handleServers(slices.Delete(servers, 1, 2)) // its position is now that of another server
	if n := chosen(); n != 0 {
		t.Errorf("the engine that is not listed got %d of 100 requests", n)
	}
}

// Guards against locality that finds no cached prompt, and against locality
// that outweighs load.
func TestLocalityAgainstLoad(t *testing.T) {
	d := newLargeTable(t, 50)
	prompt := strings.Repeat("a prompt of many requests. ", 100)
	var prefixes []uint64
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		prefixes = append(prefixes, xxhash.Sum64String(prompt[:end]))
	}
	d.AddCacheEvents(CacheEvents{Server: "s0007", Incarnation: "1", Events: stored(1, prefixes...)})
	d.loop.RunPending()
	r := &core.Request{Service: "wear", Model: "wear", Prompt: prompt}
	chosen := func() (n int) {
		for range 100 {
			if c, _ := d.router.pick(r, nil); c.Server.ID == "s0007" {
				n++
			}
		}
		return n
	}
	if n := chosen(); n != 100 {
		t.Errorf("the idle engine that holds the prompt got %d of 100 requests", n)
	}
	d.table["s0007"].Outstanding = 3 // of 8 slots, with the others idle
	if n := chosen(); n > 4 {
		t.Errorf("the busier engine got %d of 100 requests for its cache", n)
	}
}
