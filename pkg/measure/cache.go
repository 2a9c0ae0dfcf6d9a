package measure

import (
	"container/list"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// segment is the part of a prefix that its parent does not cover.
type segment struct {
	hash   uint64
	tokens int
	total  int
}

// prefixCache is a fake engine's prefix cache: the least recently used segment
// is evicted first.
type prefixCache struct {
	capacity int
	used     int
	index    map[uint64]*list.Element
	order    *list.List
	sequence uint64
	events   []timedEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, index: make(map[uint64]*list.Element), order: list.New()}
}

// hit returns the tokens of the longest cached prefix and marks it as used.
func (c *prefixCache) hit(prefixes []routing.Prefix) int {
	tokens := 0
	for _, p := range prefixes {
		e, ok := c.index[p.Hash]
		if !ok {
			break
		}
		tokens = p.Tokens
		c.order.MoveToFront(e)
	}
	return tokens
}

// store adds prefixes, the shortest first, and evicts what no longer fits.
func (c *prefixCache) store(e *fakeEngine, prefixes []routing.Prefix) {
	parent := 0
	for _, p := range prefixes {
		if element, ok := c.index[p.Hash]; ok {
			c.order.MoveToFront(element)
		} else {
			c.index[p.Hash] = c.order.PushFront(segment{hash: p.Hash, tokens: p.Tokens - parent, total: p.Tokens})
			c.used += p.Tokens - parent
			c.log(e, engine.CacheEvent{PrefixHash: p.Hash, Tokens: p.Tokens})
		}
		parent = p.Tokens
	}
	c.evict(e)
}

// evict makes room until the cache fits what running requests leave of the
// memory.
func (c *prefixCache) evict(e *fakeEngine) {
	for c.used > max(c.capacity-e.runningTokens, 0) && c.order.Len() > 0 {
		s := c.order.Remove(c.order.Back()).(segment)
		delete(c.index, s.hash)
		c.used -= s.tokens
		c.log(e, engine.CacheEvent{PrefixHash: s.hash, Tokens: s.total, Evicted: true})
	}
}

func (c *prefixCache) log(e *fakeEngine, event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, timedEvent{at: e.loop.now, event: event})
}
