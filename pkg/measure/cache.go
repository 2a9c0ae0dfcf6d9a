package measure

import (
	"container/list"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// segment is the part of a cached prefix that extends the next shorter prefix.
// tokens is the length of this part, prefixTokens that of the whole prefix.
type segment struct {
	hash         uint64
	tokens       int
	prefixTokens int
}

// prefixCache is the prefix cache of a fake engine. The least recently used
// segment is evicted first.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	index          map[uint64]*list.Element
	lru            *list.List
	sequence       uint64
	events         []timedEvent
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{capacityTokens: capacityTokens, index: make(map[uint64]*list.Element), lru: list.New()}
}

// lookup returns the number of tokens of the longest cached prefix and marks it
// and the shorter ones as recently used. prefixes are ordered from the shortest
// to the longest.
func (c *prefixCache) lookup(prefixes []routing.Prefix) int {
	tokens := 0
	for _, p := range prefixes {
		e, ok := c.index[p.Hash]
		if !ok {
			break
		}
		tokens = p.Tokens
		c.lru.MoveToFront(e)
	}
	return tokens
}

// store adds prefixes, which are ordered from the shortest to the longest, and
// then evicts segments until the cache fits into the memory.
func (c *prefixCache) store(e *fakeEngine, prefixes []routing.Prefix) {
	parentTokens := 0
	for _, p := range prefixes {
		if element, ok := c.index[p.Hash]; ok {
			c.lru.MoveToFront(element)
		} else {
			c.index[p.Hash] = c.lru.PushFront(segment{hash: p.Hash, tokens: p.Tokens - parentTokens, prefixTokens: p.Tokens})
			c.usedTokens += p.Tokens - parentTokens
			c.recordEvent(e, engine.CacheEvent{PrefixHash: p.Hash, Tokens: p.Tokens})
		}
		parentTokens = p.Tokens
	}
	c.evict(e)
}

// evict removes segments until the cache fits into the memory that running
// requests do not occupy.
func (c *prefixCache) evict(e *fakeEngine) {
	for c.usedTokens > max(c.capacityTokens-e.runningTokens, 0) && c.lru.Len() > 0 {
		s := c.lru.Remove(c.lru.Back()).(segment)
		delete(c.index, s.hash)
		c.usedTokens -= s.tokens
		c.recordEvent(e, engine.CacheEvent{PrefixHash: s.hash, Tokens: s.prefixTokens, Evicted: true})
	}
}

// recordEvent appends a cache event with the next sequence number and the current
// time.
func (c *prefixCache) recordEvent(e *fakeEngine, event engine.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, timedEvent{at: e.loop.now, event: event})
}
