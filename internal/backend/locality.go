package backend

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// PrefixBlockBytes is the granularity, in bytes of the prompt, of the
	// prefixes in cache events.
	PrefixBlockBytes = 64
	// maxPrefixBlocks bounds the part of a prompt that is looked up.
	maxPrefixBlocks = 16
	// maxPrefixesPerServer bounds the memory of one server's view to about 120
	// KB.
	maxPrefixesPerServer = 1024
	// maxLatestHolders bounds the memory of the index of latest holders.
	maxLatestHolders = 16384
)

// CacheEventKind is the kind of change of an engine's prefix cache.
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
	After       int64 // sequence number before the first event
	Events      []CacheEvent
}

// prefixHashes are the hashes of the prompt's prefixes in whole blocks. A hash
// is computed on first use, because the binary searches of a decision need
// about 4 of 16.
type prefixHashes struct {
	prompt string
	hashes [maxPrefixBlocks]uint64 // zero when not computed yet
	count  int
}

// set resets the hashes to the prompt of a decision.
func (p *prefixHashes) set(prompt string) {
	*p = prefixHashes{prompt: prompt, count: min(maxPrefixBlocks, len(prompt)/PrefixBlockBytes)}
}

// at returns the hash of the prefix of i+1 blocks.
func (p *prefixHashes) at(i int) uint64 {
	if p.hashes[i] == 0 {
		p.hashes[i] = xxhash.Sum64String(p.prompt[:(i+1)*PrefixBlockBytes])
	}
	return p.hashes[i]
}

// prefixView is the content of one engine's cache according to its events.
type prefixView struct {
	incarnation  string
	lastSequence int64 // sequence number of the newest event
	blocks       *lru.LRU[uint64, struct{}]
}

// locality tracks which engines have which prefixes cached. It is an estimate,
// because events arrive late and may be missing.
type locality struct {
	servers       map[core.ServerID]*prefixView
	latestHolders *lru.LRU[uint64, core.ServerID] // engine that stored the prefix last
}

func newLocality() *locality {
	// NewLRU fails only for a size below 1.
	holders, _ := lru.NewLRU[uint64, core.ServerID](maxLatestHolders, nil)
	return &locality{servers: map[core.ServerID]*prefixView{}, latestHolders: holders}
}

// applyEvents applies the events of an engine. After a gap or a restart the
// engine's view is cleared and rebuilt from the following events, because an
// eviction may be among the missing ones.
func (l *locality) applyEvents(e CacheEvents) {
	view := l.servers[e.Server]
	if view == nil {
		blocks, _ := lru.NewLRU[uint64, struct{}](maxPrefixesPerServer, nil)
		view = &prefixView{blocks: blocks, incarnation: e.Incarnation}
		l.servers[e.Server] = view
	}
	if view.incarnation != e.Incarnation {
		view.blocks.Purge()
		view.incarnation, view.lastSequence = e.Incarnation, 0
	}
	for _, event := range e.Events {
		if event.Sequence <= view.lastSequence {
			continue
		}
		if event.Sequence != view.lastSequence+1 {
			view.blocks.Purge()
		}
		view.lastSequence = event.Sequence
		l.applyEvent(e.Server, view, event)
	}
}

func (l *locality) applyEvent(id core.ServerID, view *prefixView, e CacheEvent) {
	if e.Kind == PrefixStored {
		view.blocks.Add(e.Prefix, struct{}{})
		l.latestHolders.Add(e.Prefix, id)
		return
	}
	view.blocks.Remove(e.Prefix)
	if holder, ok := l.latestHolders.Peek(e.Prefix); ok && holder == id {
		l.latestHolders.Remove(e.Prefix)
	}
}

// removeUnknown removes the views of servers that are no longer in the table.
func (l *locality) removeUnknown(isKnown func(core.ServerID) bool) {
	for id := range l.servers {
		if !isKnown(id) {
			delete(l.servers, id)
		}
	}
}

// cachedShare returns the share of the prompt's blocks that the engine has
// cached, 0 to 1. An engine that has a prefix also has the shorter ones, so a
// binary search finds the longest.
func (l *locality) cachedShare(id core.ServerID, p *prefixHashes) float64 {
	view := l.servers[id]
	if view == nil || p.count == 0 {
		return 0
	}
	cachedBlocks := sort.Search(p.count, func(i int) bool { return !view.blocks.Contains(p.at(i)) })
	return float64(cachedBlocks) / float64(p.count)
}

// latestHolder returns the engine that stored the longest known prefix last. A
// binary search keeps the number of lookups low for long prompts.
func (l *locality) latestHolder(p *prefixHashes) (core.ServerID, bool) {
	var holder core.ServerID
	low, high := 0, p.count
	for range bits.Len(uint(p.count)) {
		if low >= high {
			break
		}
		middle := (low + high) / 2
		if id, ok := l.latestHolders.Peek(p.at(middle)); ok {
			holder, low = id, middle+1
		} else {
			high = middle
		}
	}
	return holder, holder != ""
}
