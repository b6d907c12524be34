package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
)

// maxEvents is the maximum number of cache events that can be read. Readers see
// older ones as a gap in the sequence numbers.
const maxEvents = 4096

// prefixCache simulates a KV cache: an LRU list of prompt prefixes that need no
// prefill, and the events for its changes.
type prefixCache struct {
	blocks      *lru.LRU[uint64, struct{}]
	events      []timedEvent
	sequence    int64
	unpublished []backendhttp.CacheEventMessage // since the last publish
}

type timedEvent struct {
	at      time.Time
	message backendhttp.CacheEventMessage
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	// NewLRU fails only for a size below 1.
	c.blocks, _ = lru.NewLRU(max(1, size), func(prefix uint64, _ struct{}) { c.addEvent("evicted", prefix) })
	return c
}

func (c *prefixCache) addEvent(kind string, prefix uint64) {
	c.sequence++
	c.unpublished = append(c.unpublished, backendhttp.CacheEventMessage{Sequence: c.sequence, Kind: kind, Prefix: prefix})
}

// insertPrompt adds the prompt's prefixes to the cache and returns how many blocks
// were not cached before.
func (c *prefixCache) insertPrompt(prompt string) (missing int) {
	for _, prefix := range prefixHashes(prompt) {
		if _, cached := c.blocks.Get(prefix); cached {
			continue
		}
		missing++
		c.blocks.Add(prefix, struct{}{})
		c.addEvent("stored", prefix)
	}
	return missing
}

// publish makes the events since the last call readable. With dropEach above 0, it
// omits those whose sequence number is a multiple of dropEach.
func (c *prefixCache) publish(now time.Time, dropEach int) {
	for _, m := range c.unpublished {
		if dropEach > 0 && m.Sequence%int64(dropEach) == 0 {
			continue
		}
		c.events = append(c.events, timedEvent{at: now, message: m})
	}
	c.unpublished = nil
	if over := len(c.events) - maxEvents; over > 0 {
		c.events = append([]timedEvent{}, c.events[over:]...)
	}
}

// eventsAfter returns the events with a higher sequence number that were published at
// least lag ago.
func (c *prefixCache) eventsAfter(sequence int64, now time.Time, lag time.Duration) []backendhttp.CacheEventMessage {
	found := []backendhttp.CacheEventMessage{}
	for _, e := range c.events {
		if e.message.Sequence > sequence && now.Sub(e.at) >= lag {
			found = append(found, e.message)
		}
	}
	return found
}

// prefixHashes returns the hashes of all prefixes of the prompt that consist of whole
// blocks.
func prefixHashes(prompt string) []uint64 {
	var all []uint64
	for end := backendhttp.PrefixBlockBytes; end <= len(prompt); end += backendhttp.PrefixBlockBytes {
		all = append(all, xxhash.Sum64String(prompt[:end]))
	}
	return all
}
