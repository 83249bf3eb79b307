package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/protocol/platform"
)

const (
	// blockTokens is the granularity of the prefix cache.
	blockTokens = 16
	// maxEvents bounds the cache events that are kept for readers.
	maxEvents = 4096
)

// cache is the prefix cache: a least-recently-used set of hashes of prompt
// prefixes, each one block longer than the one before.
type cache struct {
	blocks int
	order  *list.List
	index  map[uint64]*list.Element
	events []platform.CacheEvent
	next   uint64
	loss   float64
	random *rand.Rand
}

func newCache(s Settings) *cache {
	return &cache{
		blocks: s.CacheTokens / blockTokens,
		order:  list.New(),
		index:  make(map[uint64]*list.Element),
		loss:   s.EventLoss,
		random: rand.New(rand.NewPCG(s.Seed, 2)),
	}
}

// admit stores the prompt's blocks and returns the number of prompt tokens
// that were held already.
func (c *cache) admit(now time.Time, text string) int {
	const blockBytes = blockTokens * bytesPerToken
	held := 0
	for end := blockBytes; end <= len(text); end += blockBytes {
		prefix := xxhash.Sum64String(text[:end])
		if element, ok := c.index[prefix]; ok {
			c.order.MoveToFront(element)
			held += blockTokens
			continue
		}
		c.store(now, prefix)
	}
	return held
}

func (c *cache) store(now time.Time, prefix uint64) {
	if c.blocks == 0 {
		return
	}
	if c.order.Len() >= c.blocks {
		last := c.order.Back()
		evicted := c.order.Remove(last).(uint64)
		delete(c.index, evicted)
		c.publish(platform.CacheEvent{Prefix: evicted, Evicted: true, At: now})
	}
	c.index[prefix] = c.order.PushFront(prefix)
	c.publish(platform.CacheEvent{Prefix: prefix, At: now})
}

// publish numbers the event and keeps it, unless it is drawn to be lost.
func (c *cache) publish(event platform.CacheEvent) {
	event.Sequence = c.next
	c.next++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, event)
}

// since returns the kept events from the sequence number that are older than
// the instant.
func (c *cache) since(from uint64, before time.Time) []platform.CacheEvent {
	found := []platform.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence >= from && event.At.Before(before) {
			found = append(found, event)
		}
	}
	return found
}
