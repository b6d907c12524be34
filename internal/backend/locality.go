package backend

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// PrefixBlockBytes is the step, in bytes of the prompt, of the prefixes in cache events.
	PrefixBlockBytes = 64
	// maxPrefixBlocks bounds the part of a prompt that is looked up.
	maxPrefixBlocks = 16
	// prefixesPerServer bounds the memory for one server's view, to about 120 KB.
	prefixesPerServer = 1024
	// maxHolders bounds the memory for the newest holder of each prefix.
	maxHolders = 16384
)

// CacheEventKind says what happened to a prefix in an engine's cache.
type CacheEventKind string

// Kinds of cache events.
const (
	PrefixStored  CacheEventKind = "stored"
	PrefixEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prompt prefix cache.
type CacheEvent struct {
	Sequence int64
	Kind     CacheEventKind
	Prefix   uint64 // hash of the prompt up to the end of a block
}

// CacheEvents are the events of one engine after a sequence number.
type CacheEvents struct {
	Server      core.ServerID
	Incarnation string
	After       int64
	Events      []CacheEvent
}

// prefixHashes are the hashes of the prompt's prefixes of whole blocks. A hash
// is computed when it is first needed, since the binary searches of a decision
// look at about 4 of 16.
type prefixHashes struct {
	prompt string
	hashes [maxPrefixBlocks]uint64 // zero when not computed yet
	n      int
}

// set takes the prompt of a decision.
func (p *prefixHashes) set(prompt string) {
	*p = prefixHashes{prompt: prompt, n: min(maxPrefixBlocks, len(prompt)/PrefixBlockBytes)}
}

// at returns the hash of the prefix of i+1 blocks.
func (p *prefixHashes) at(i int) uint64 {
	if p.hashes[i] == 0 {
		p.hashes[i] = xxhash.Sum64String(p.prompt[:(i+1)*PrefixBlockBytes])
	}
	return p.hashes[i]
}

// prefixView is what the events of one engine say about its cache.
type prefixView struct {
	incarnation string
	last        int64 // sequence of the newest event
	blocks      *lru.LRU[uint64, struct{}]
}

// locality holds which engines have which prefixes. Events are late and may be
// missing, so it is an estimate.
type locality struct {
	servers map[core.ServerID]*prefixView
	holders *lru.LRU[uint64, core.ServerID] // engine that stored the prefix last
}

func newLocality() *locality {
	// NewLRU fails only for a size below 1.
	holders, _ := lru.NewLRU[uint64, core.ServerID](maxHolders, nil)
	return &locality{servers: map[core.ServerID]*prefixView{}, holders: holders}
}

// take applies events. After a gap or a restart the engine's view is built
// again from the events that follow: an eviction may be among the missing ones.
func (l *locality) take(e CacheEvents) {
	view := l.servers[e.Server]
	if view == nil {
		blocks, _ := lru.NewLRU[uint64, struct{}](prefixesPerServer, nil)
		view = &prefixView{blocks: blocks, incarnation: e.Incarnation}
		l.servers[e.Server] = view
	}
	if view.incarnation != e.Incarnation {
		view.blocks.Purge()
		view.incarnation, view.last = e.Incarnation, 0
	}
	for _, event := range e.Events {
		if event.Sequence <= view.last {
			continue
		}
		if event.Sequence != view.last+1 {
			view.blocks.Purge()
		}
		view.last = event.Sequence
		l.apply(e.Server, view, event)
	}
}

func (l *locality) apply(id core.ServerID, view *prefixView, e CacheEvent) {
	if e.Kind == PrefixStored {
		view.blocks.Add(e.Prefix, struct{}{})
		l.holders.Add(e.Prefix, id)
		return
	}
	view.blocks.Remove(e.Prefix)
	if holder, ok := l.holders.Peek(e.Prefix); ok && holder == id {
		l.holders.Remove(e.Prefix)
	}
}

// forget drops the views of servers that are gone.
func (l *locality) forget(isKnown func(core.ServerID) bool) {
	for id := range l.servers {
		if !isKnown(id) {
			delete(l.servers, id)
		}
	}
}

// share returns the part of the prompt's blocks that the engine holds, 0 to 1.
// An engine that holds a prefix holds the shorter ones too, so a binary search
// finds the longest.
func (l *locality) share(id core.ServerID, p *prefixHashes) float64 {
	view := l.servers[id]
	if view == nil || p.n == 0 {
		return 0
	}
	held := sort.Search(p.n, func(i int) bool { return !view.blocks.Contains(p.at(i)) })
	return float64(held) / float64(p.n)
}

// holder returns the engine that stored the longest known prefix last. The
// lookups halve the range, so that a long prompt costs few of them.
func (l *locality) holder(p *prefixHashes) (core.ServerID, bool) {
	var found core.ServerID
	low, high := 0, p.n
	for range bits.Len(uint(p.n)) {
		if low >= high {
			break
		}
		middle := (low + high) / 2
		if id, ok := l.holders.Peek(p.at(middle)); ok {
			found, low = id, middle+1
		} else {
			high = middle
		}
	}
	return found, found != ""
}
