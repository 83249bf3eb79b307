package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/protocol/platform"
)

const (
	// blockTokens is the number of tokens of a block of the prefix cache.
	blockTokens = 16
	// maxEvents bounds the number of cache events that are retained for readers.
	maxEvents = 4096
)

// cache is the prefix cache: a set of hashes of prompt prefixes with
// least-recently-used eviction. Each prefix of a prompt is one block longer
// than the previous one.
type cache struct {
	maxBlocks       int
	lru             *list.List
	index           map[uint64]*list.Element
	events          []platform.CacheEvent
	nextSequence    uint64
	lossProbability float64
	random          *rand.Rand
}

func newCache(s Settings) *cache {
	return &cache{
		maxBlocks:       s.CacheTokens / blockTokens,
		lru:             list.New(),
		index:           make(map[uint64]*list.Element),
		lossProbability: s.EventLossProbability,
		random:          rand.New(rand.NewPCG(s.Seed, 2)),
	}
}

// admit stores the blocks of the prompt and returns the number of prompt
// tokens whose blocks were already cached.
func (c *cache) admit(now time.Time, text string) int {
	const blockBytes = blockTokens * bytesPerToken
	cachedTokens := 0
	for end := blockBytes; end <= len(text); end += blockBytes {
		prefix := xxhash.Sum64String(text[:end])
		if element, ok := c.index[prefix]; ok {
			c.lru.MoveToFront(element)
			cachedTokens += blockTokens
			continue
		}
		c.store(now, prefix)
	}
	return cachedTokens
}

// store adds a prefix that is not cached, and evicts the least recently used
// one if the cache is full. A cache without blocks stores nothing.
func (c *cache) store(now time.Time, prefix uint64) {
	if c.maxBlocks == 0 {
		return
	}
	if c.lru.Len() >= c.maxBlocks {
		oldest := c.lru.Back()
		evicted := c.lru.Remove(oldest).(uint64)
		delete(c.index, evicted)
		c.publish(platform.CacheEvent{Prefix: evicted, Evicted: true, At: now})
	}
	c.index[prefix] = c.lru.PushFront(prefix)
	c.publish(platform.CacheEvent{Prefix: prefix, At: now})
}

// publish assigns the next sequence number to the event and retains the event,
// unless the simulated loss drops it. If maxEvents are retained, it discards
// the older half first.
func (c *cache) publish(event platform.CacheEvent) {
	event.Sequence = c.nextSequence
	c.nextSequence++
	if c.lossProbability > 0 && c.random.Float64() < c.lossProbability {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, event)
}

// since returns the retained events with the given or a later sequence number
// that happened before the given time.
func (c *cache) since(from uint64, before time.Time) []platform.CacheEvent {
	matching := []platform.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence >= from && event.At.Before(before) {
			matching = append(matching, event)
		}
	}
	return matching
}
