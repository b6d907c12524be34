package backend

import (
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
)

func storedEvents(from int64, prefixes ...uint64) (events []CacheEvent) {
	for i, p := range prefixes {
		events = append(events, CacheEvent{Sequence: from + int64(i), Kind: PrefixStored, Prefix: p})
	}
	return events
}

// Guards against a view that keeps prefixes although their eviction may be
// among lost events, a view that survives the engine's restart, and a view that
// grows without bound.
func TestCacheEvents(t *testing.T) {
	l := newLocality()
	isCached := func(prefix uint64) bool {
		return l.cachedShare("e", &prefixHashes{hashes: [maxPrefixBlocks]uint64{prefix}, count: 1}) == 1
	}
	l.applyEvents(CacheEvents{Server: "e", Incarnation: "1", Events: storedEvents(1, 10, 11)})
	l.applyEvents(CacheEvents{Server: "e", Incarnation: "1", After: 2, Events: []CacheEvent{{Sequence: 3, Kind: PrefixEvicted, Prefix: 10}}})
	l.applyEvents(CacheEvents{Server: "e", Incarnation: "1", Events: storedEvents(1, 10)}) // late and repeated
	if isCached(10) || !isCached(11) {
		t.Error("an event out of order changed the view, or an eviction did not")
	}
	l.applyEvents(CacheEvents{Server: "e", Incarnation: "1", After: 3, Events: storedEvents(5, 12)})
	if isCached(11) || !isCached(12) {
		t.Error("after a gap the view has other prefixes than those of later events")
	}
	l.applyEvents(CacheEvents{Server: "e", Incarnation: "2", Events: storedEvents(1, 13)})
	if isCached(12) || !isCached(13) {
		t.Error("the view survives the restart of the engine")
	}
	for i := range uint64(5 * maxPrefixesPerServer) {
		l.applyEvents(CacheEvents{Server: "e", Incarnation: "2", Events: storedEvents(int64(i)+2, 1000+i)})
	}
	if n := l.servers["e"].blocks.Len(); n != maxPrefixesPerServer {
		t.Errorf("%d prefixes in the view, want %d", n, maxPrefixesPerServer)
	}
}

// Guards against choosing the engine that has the prompt cached although it
// cannot run the request or is no longer listed, and against a decision that
// allocates memory.
func TestPrefixHolderMustBeCapable(t *testing.T) {
	d := newDispatcherWithEngines(t, 4)
	r := &core.Request{Service: "wear", Model: "wear", Adapter: "b", Prompt: string(make([]byte, 2000))}
	var prefixes prefixHashes
	prefixes.set(r.Prompt)
	for i := range prefixes.count {
		prefixes.at(i)
	}
	d.AddCacheEvents(CacheEvents{Server: "s0001", Incarnation: "1", Events: storedEvents(1, prefixes.hashes[:prefixes.count]...)})
	d.loop.RunPending()
	countChosen := func() (n int) {
		for range 100 {
			if c, _ := d.router.pick(r, core.Progress{}, nil); c.Server.ID == "s0001" {
				n++
			}
		}
		return n
	}
	if n := countChosen(); n != 100 {
		t.Errorf("the engine with the cached prompt got %d of 100 requests", n)
	}
	if n := testing.AllocsPerRun(1000, func() { d.router.pick(r, core.Progress{}, nil) }); n != 0 {
		t.Errorf("%.1f allocations in a decision, want none", n)
	}
	var servers []Server
	for _, c := range d.listed {
		servers = append(servers, c.Server)
	}
	servers[1].Description.Models = []ModelDescription{{Name: "wear", Version: 3, Adapters: []string{"a"}}}
	d.handleServers(servers)
	if n := countChosen(); n != 0 {
		t.Errorf("the engine without the adapter got %d of 100 requests", n)
	}
	servers[1].Description.Models = servers[0].Description.Models
	d.handleServers(servers)
	d.candidates["s0001"].Outstanding = 1         // keeps the unlisted server in the table
	d.handleServers(slices.Delete(servers, 1, 2)) // its position now belongs to another server
	if n := countChosen(); n != 0 {
		t.Errorf("the engine that is not listed got %d of 100 requests", n)
	}
}

// Guards against missing a cached prompt, and against a cached prompt that
// outweighs load.
func TestLocalityDoesNotOutweighLoad(t *testing.T) {
	d := newDispatcherWithEngines(t, 50)
	prompt := strings.Repeat("a prompt of many requests. ", 100)
	var prefixes []uint64
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		prefixes = append(prefixes, xxhash.Sum64String(prompt[:end]))
	}
	d.AddCacheEvents(CacheEvents{Server: "s0007", Incarnation: "1", Events: storedEvents(1, prefixes...)})
	d.loop.RunPending()
	r := &core.Request{Service: "wear", Model: "wear", Prompt: prompt}
	countChosen := func() (n int) {
		for range 100 {
			if c, _ := d.router.pick(r, core.Progress{}, nil); c.Server.ID == "s0007" {
				n++
			}
		}
		return n
	}
	if n := countChosen(); n != 100 {
		t.Errorf("the idle engine with the cached prompt got %d of 100 requests", n)
	}
	d.candidates["s0007"].Outstanding = 3 // of 8 slots; the other engines are idle
	if n := countChosen(); n > 4 {
		t.Errorf("the busier engine got %d of 100 requests because of its cache", n)
	}
}
