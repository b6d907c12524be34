package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
)

// keptEvents is how many cache events can still be read; older ones are a gap.
const keptEvents = 4096

// prefixCache holds the prompt prefixes that need no computation.
type prefixCache struct {
	blocks   *lru.LRU[uint64, struct{}]
	events   []timedEvent
	sequence int64
	changed  []backendhttp.CacheEventMessage // since the last publish
}

type timedEvent struct {
	at      time.Time
	message backendhttp.CacheEventMessage
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	// NewLRU fails only for a size below 1.
	c.blocks, _ = lru.NewLRU(max(1, size), func(prefix uint64, _ struct{}) { c.note("evicted", prefix) })
	return c
}

func (c *prefixCache) note(kind string, prefix uint64) {
	c.sequence++
	c.changed = append(c.changed, backendhttp.CacheEventMessage{Sequence: c.sequence, Kind: kind, Prefix: prefix})
}

// use puts the prompt into the cache and returns how many blocks were not in it.
func (c *prefixCache) use(prompt string) (missing int) {
	for _, prefix := range prefixes(prompt) {
		if _, cached := c.blocks.Get(prefix); cached {
			continue
		}
		missing++
		c.blocks.Add(prefix, struct{}{})
		c.note("stored", prefix)
	}
	return missing
}

// publish makes the changes readable, without each n-th when dropEach is n.
func (c *prefixCache) publish(now time.Time, dropEach int) {
	for _, m := range c.changed {
		if dropEach > 0 && m.Sequence%int64(dropEach) == 0 {
			continue
		}
		c.events = append(c.events, timedEvent{at: now, message: m})
	}
	c.changed = nil
	if over := len(c.events) - keptEvents; over > 0 {
		c.events = append([]timedEvent{}, c.events[over:]...)
	}
}

// after returns the events with a higher sequence that are at least lag old.
func (c *prefixCache) after(sequence int64, now time.Time, lag time.Duration) []backendhttp.CacheEventMessage {
	found := []backendhttp.CacheEventMessage{}
	for _, e := range c.events {
		if e.message.Sequence > sequence && now.Sub(e.at) >= lag {
			found = append(found, e.message)
		}
	}
	return found
}

// prefixes returns the hash of each prefix of whole blocks.
func prefixes(prompt string) []uint64 {
	var all []uint64
	for end := backendhttp.PrefixBlockBytes; end <= len(prompt); end += backendhttp.PrefixBlockBytes {
		all = append(all, xxhash.Sum64String(prompt[:end]))
	}
	return all
}
