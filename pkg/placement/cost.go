package placement

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/enginecost"
)

// Cost returns the work of a request at a server, given how many tokens of its prompt the
// server has cached.
func (q *Query) Cost(cachedTokens int) enginecost.Cost {
	return enginecost.Cost{PrefillTokens: max(q.PromptTokens-cachedTokens, 0), OutputTokens: q.OutputTokens, KVTokens: q.PromptTokens + q.OutputTokens}
}

// Capacity is what the servers of a service that accept work can do.
type Capacity struct {
	Servers int
	Slots   int
	// ServerTimePerSecond is the server time that they offer in a second, where a server
	// with the mean speed of its service offers one second.
	ServerTimePerSecond time.Duration
	// KVTokens is the size of all KV caches, or 0 for plain services.
	KVTokens int
}

// Capacity returns the capacity of a service.
func (c *Core) Capacity(now time.Time, service string) Capacity {
	s, ok := c.services[service]
	if !ok {
		return Capacity{}
	}
	var total Capacity
	for _, o := range s.servers {
		if o.misdirected {
			continue
		}
		total.Servers++
		total.Slots += o.slots()
		total.ServerTimePerSecond += time.Duration(c.updateSpeed(now, o) * float64(time.Second))
		total.KVTokens += s.kvCapacity
	}
	return total
}

// ServerTime returns the server time of a request, given how many tokens of its prompt are
// expected to be cached.
func (c *Core) ServerTime(now time.Time, q *Query, cachedTokens int) time.Duration {
	s := c.service(q.Service)
	if s.kvCapacity > 0 {
		return q.Cost(cachedTokens).ServerTime(c.Speed(now, q.Service, ""))
	}
	slots := 1
	if len(s.servers) > 0 {
		slots = s.servers[0].Slots
	}
	return enginecost.PlainServerTime(s.plainRunTime, slots)
}

// RefusedForRoom adds a request to the work offered to its service. Callers report each request
// within its account's usage limit that they refuse for want of room, whether placement or
// admission refused it. A request that a server had before counts as sent.
func (c *Core) RefusedForRoom(now time.Time, q *Query) {
	s, ok := c.services[q.Service]
	if !ok || s.kvCapacity == 0 || q.AlreadyStarted || len(q.Exclude) > 0 {
		return
	}
	// Without servers the prompt is not in any KV cache.
	uncached := q.PromptTokens
	if preferred := s.preferred(q); preferred != nil {
		uncached -= preferred.cachedTokens(now, q.Parts, true)
	}
	w := c.work[q.Service]
	w.RefusedRequests++
	w.RefusedTokens += uncached
	c.work[q.Service] = w
}
