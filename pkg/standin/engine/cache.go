package engine

import (
	"container/list"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// prefixCache is an LRU cache of prefix blocks that records an event for each
// block that it stores or evicts.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// order holds the hashes of the blocks, most recently used first.
	order  *list.List
	blocks map[uint64]*list.Element
	// sequence is the sequence number of the last event.
	sequence uint64
	events   []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// maxCacheEvents is the maximum number of events that are kept. A reader that is
// further behind sees a gap in the sequence numbers.
const maxCacheEvents = 4096

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns how many leading tokens are cached and marks their blocks as
// recently used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i * engine.PrefixBlockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(hashes) * engine.PrefixBlockTokens
}

// store adds the blocks that are not cached yet and marks the others as recently
// used.
func (c *prefixCache) store(now time.Time, hashes []uint64) {
	for i, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.record(now, engine.CacheEvent{PrefixHash: hash, Tokens: (i + 1) * engine.PrefixBlockTokens})
		c.evict(now)
	}
}

// evict removes the least recently used blocks that exceed the capacity.
func (c *prefixCache) evict(now time.Time) {
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.record(now, engine.CacheEvent{PrefixHash: hash, Evicted: true})
	}
}

func (c *prefixCache) record(now time.Time, event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// since returns the events after a sequence number that are at least delay old. It
// leaves out every gapEvery-th event unless gapEvery is 0.
func (c *prefixCache) since(now time.Time, after uint64, delay time.Duration, gapEvery int) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence <= after || now.Sub(e.at) < delay {
			continue
		}
		if gapEvery > 0 && e.event.Sequence%uint64(gapEvery) == 0 {
			continue
		}
		events = append(events, e.event)
	}
	return events
}

// usedShare returns the used fraction of the capacity, 0 to 1.
func (c *prefixCache) usedShare() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.capacity)
}
