// Package intake bounds what clients can make a process hold: connections, heads, bodies while they
// arrive and while they wait to be sent on, and answers until they are read. Core decides without
// I/O who gets memory and who yields; Budget acts on its decisions.
package intake

import (
	"cmp"
	"time"
)

// Phase is what a connection waits for.
type Phase int

const (
	// PhaseIdle: no request, or only a part of a head, has arrived.
	PhaseIdle Phase = iota
	// PhaseReceiving: a body is arriving.
	PhaseReceiving
	// PhaseServing: the request is complete; what it waits for isn't its client.
	PhaseServing
	// PhaseBuffering: the answer is collected before any of it is sent.
	PhaseBuffering
	// PhaseSending: the client is to read the answer.
	PhaseSending
)

// phases is the number of phases.
const phases = PhaseSending + 1

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"idle", "receiving", "serving", "buffering", "sending"}[p]
}

// Verdict is the answer to a request for memory or a connection.
type Verdict int

const (
	// Granted means that the holder has it.
	Granted Verdict = iota
	// Wait means that it may get it later.
	Wait
	// Refused means that it doesn't get it.
	Refused
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"granted", "wait", "refused"}[v] }

// ID identifies a holder.
type ID uint64

// Limits bound what all holders have together.
type Limits struct {
	// Bytes is the bound over what all holders have beside their connections.
	Bytes int64
	// Connections are the bounds by listener. Listeners without one have none.
	Connections map[string]int
	// ReservedBytes is the part of Bytes that only holders with at most SmallBytes may use.
	ReservedBytes int64
	SmallBytes    int64
	// A holder that waits for its client is stalled once the client has read or sent fewer than
	// StallBytes for StallTime.
	StallTime  time.Duration
	StallBytes int64
	// StallMemory is how long the requests of a client of which one has yielded as stalled go after
	// those of others.
	StallMemory time.Duration
	// MaxWait is how long a holder waits for memory, and FirstMaxWait how long the first request of
	// a client does that has not stalled lately.
	MaxWait, FirstMaxWait time.Duration
	// MaxWaiting is the number of holders that may wait for memory.
	MaxWaiting int
}

// holder is one connection and what it holds.
type holder struct {
	id       ID
	listener string
	client   *client
	phase    Phase
	// order is the age of the request: lower numbers are older. rank is its rank as of the last
	// call of rankRequests.
	order uint64
	rank  int
	// bytes is what it holds beside its connection.
	bytes int64
	// progressAt begins the span in which progress bytes have passed between the client and us.
	progressAt time.Time
	progress   int64
	// waitsSince is when it began to wait for memory, or zero, and wants what it waits for.
	waitsSince time.Time
	wants      int64
	// displaced is set if it may not go on waiting.
	displaced bool
}

// client is a client with open connections.
type client struct {
	name        string
	connections int
	// requests counts its requests, and stalled is set if it has stalled lately, as of the given
	// round of rankRequests.
	requests int
	stalled  bool
	round    uint64
}

// Eviction is a holder that has yielded. Its connection must be closed.
type Eviction struct {
	ID    ID
	Phase Phase
	Bytes int64
}

// Core holds the state of all holders. Invariant: the bytes of all holders and the connections of
// each listener never exceed the limits.
//
// When memory or connections are short, holders yield in this order:
//
//  1. those that wait for a stalled client or a next request, for any other holder;
//  2. connections that wait for a first request, for new connections;
//  3. bodies that still arrive, for bodies and answers of higher precedence;
//  4. buffered answers, for buffered answers of higher precedence.
//
// Of the first two classes, those of the client with most connections yield first, and of these the
// one that has been waiting longest. A new connection displaces none of a client that has fewer.
//
// In the others the holder of the lowest precedence yields first. The requests of a client have
// ranks by age; a lower rank goes before a higher one, and an older request before a younger one of
// the same rank. So many requests of one client don't displace the first ones of others, and the
// oldest request can always end. Clients that have stalled lately come after all others, so that
// many of them don't take turns, and fill at most a part of the memory.
//
// Complete requests, and answers that are being read, never yield.
type Core struct {
	limits  Limits
	next    uint64
	holders map[ID]*holder
	bytes   int64
	// waiting holds those that wait for memory.
	waiting map[ID]*holder
	// requests holds the holders in the order of their requests, some of them more than once: an
	// entry counts if its order is that of its holder.
	requests []request
	// stalledAt holds the clients of which a request has yielded because the client stalled, and
	// when the last one did.
	stalledAt map[string]time.Time
	// byListener counts the connections.
	byListener map[string]int
	clients    map[string]*client
	// round counts the calls of rankRequests.
	round uint64
}

// request is an entry of Core.requests.
type request struct {
	*holder
	order uint64
}

// NewCore returns a Core without holders.
func NewCore(limits Limits) *Core {
	return &Core{limits: limits, holders: make(map[ID]*holder), waiting: make(map[ID]*holder), stalledAt: make(map[string]time.Time),
		byListener: make(map[string]int), clients: make(map[string]*client)}
}

// Bytes returns what all holders have beside their connections.
func (c *Core) Bytes() int64 { return c.bytes }

// Connections returns the number of connections.
func (c *Core) Connections() int { return len(c.holders) }

// Open adds the connection of a client. It returns the holders that must be closed for it. A
// connection is refused if none yields.
func (c *Core) Open(now time.Time, listener, name string) (id ID, evicted []Eviction, v Verdict) {
	c.next++
	h := &holder{id: ID(c.next), listener: listener, order: c.next, progressAt: now}
	c.join(h, name)
	if most, limited := c.limits.Connections[listener]; limited && c.byListener[listener] >= most {
		victims := c.idleVictims(now, h)
		if victims == nil {
			c.leave(h)
			return 0, nil, Refused
		}
		evicted = c.evict(now, victims)
	}
	c.holders[h.id] = h
	c.byListener[listener]++
	return h.id, evicted, Granted
}

// Grow asks for n more bytes for a holder. It returns the holders that must be closed for it. A
// holder that is told to wait asks again.
func (c *Core) Grow(now time.Time, id ID, n int64) (evicted []Eviction, v Verdict) {
	return c.grow(now, id, n, c.wait)
}

// GrowNow is Grow for bytes that the process holds already: it doesn't tell to wait.
func (c *Core) GrowNow(now time.Time, id ID, n int64) (evicted []Eviction, v Verdict) {
	return c.grow(now, id, n, func(time.Time, *holder, int64) Verdict { return Refused })
}

// grow is Grow, where wait tells what becomes of a holder that gets nothing now.
func (c *Core) grow(now time.Time, id ID, n int64, wait func(time.Time, *holder, int64) Verdict) (evicted []Eviction, v Verdict) {
	h := c.holders[id]
	if h == nil {
		return nil, Refused
	}
	limit := c.limits.Bytes
	if h.bytes+n > c.limits.SmallBytes {
		limit -= c.limits.ReservedBytes
	}
	if h.bytes+n > limit {
		return nil, Refused
	}
	small := h.bytes+n <= c.limits.SmallBytes
	if !small && c.hasStalled(now, h.client.name) && c.heldByStalled(now)+n > c.limits.Bytes/stalledPart {
		return nil, wait(now, h, n)
	}
	if short := c.Bytes() + n - limit; short > 0 {
		victims := c.victims(now, h, short)
		if victims == nil {
			return nil, wait(now, h, n)
		}
		evicted = c.evict(now, victims)
	} else if !small && short+c.wantedBefore(now, h) > 0 {
		return nil, wait(now, h, n)
	}
	if !h.waitsSince.IsZero() {
		// Time in which it was not read from is no fault of its client.
		h.progressAt, h.progress = now, 0
		c.endWait(h)
	}
	h.displaced = false
	h.bytes += n
	c.bytes += n
	return evicted, Granted
}

// wait records that a holder waits, and refuses it once it has waited for too long, or if too many of
// higher precedence wait.
func (c *Core) wait(now time.Time, h *holder, n int64) Verdict {
	if h.displaced {
		h.displaced = false
		return Refused
	}
	c.rankRequests(now)
	if h.waitsSince.IsZero() {
		if len(c.waiting) >= c.limits.MaxWaiting && !c.displace(h) {
			return Refused
		}
		h.waitsSince = now
		c.waiting[h.id] = h
	}
	h.wants = n
	most := c.limits.MaxWait
	if h.rank == 0 {
		most = c.limits.FirstMaxWait
	}
	if now.Sub(h.waitsSince) >= most {
		c.endWait(h)
		return Refused
	}
	return Wait
}

// displace ends the wait of the holder of the lowest precedence for another one. It returns false if
// none is below that.
func (c *Core) displace(other *holder) bool {
	lowest := other
	for _, h := range c.waiting {
		if compare(h, lowest) > 0 {
			lowest = h
		}
	}
	if lowest == other {
		return false
	}
	c.endWait(lowest)
	lowest.displaced = true
	return true
}

func (c *Core) endWait(h *holder) {
	h.waitsSince, h.wants = time.Time{}, 0
	delete(c.waiting, h.id)
}

// wantedBefore returns the bytes for which requests of higher precedence wait.
func (c *Core) wantedBefore(now time.Time, other *holder) int64 {
	if len(c.waiting) == 0 {
		return 0
	}
	c.rankRequests(now)
	wanted := int64(0)
	for _, h := range c.waiting {
		if h != other && compare(h, other) < 0 {
			wanted += h.wants
		}
	}
	return wanted
}

// Shrink returns n bytes of a holder.
func (c *Core) Shrink(id ID, n int64) {
	if h := c.holders[id]; h != nil {
		h.bytes -= n
		c.bytes -= n
	}
}

// SetPhase records what a holder waits for now, and returns the phase before.
func (c *Core) SetPhase(now time.Time, id ID, p Phase) Phase {
	h := c.holders[id]
	if h == nil || h.phase == p {
		return p
	}
	before := h.phase
	if before == PhaseIdle {
		c.next++
		h.order = c.next
		c.requests = append(c.requests, request{h, h.order})
		if len(c.requests) > minCompaction+2*len(c.holders) {
			c.rankRequests(now)
		}
	}
	h.phase, h.progressAt, h.progress = p, now, 0
	c.endWait(h)
	return before
}

// EndRequest returns all bytes of a holder, whose connection waits for the next request.
func (c *Core) EndRequest(now time.Time, id ID) {
	if h := c.holders[id]; h != nil {
		c.Shrink(id, h.bytes)
		c.SetPhase(now, id, PhaseIdle)
	}
}

// SetClient records who the client is once that is known.
func (c *Core) SetClient(id ID, name string) {
	if h := c.holders[id]; h != nil && h.client.name != name {
		c.leave(h)
		c.join(h, name)
	}
}

// join counts a holder among those of a client.
func (c *Core) join(h *holder, name string) {
	h.client = c.clients[name]
	if h.client == nil {
		h.client = &client{name: name}
		c.clients[name] = h.client
	}
	h.client.connections++
}

// leave ends what join begins.
func (c *Core) leave(h *holder) {
	if h.client.connections--; h.client.connections == 0 {
		delete(c.clients, h.client.name)
	}
}

// Progress records that n bytes have come from the client or gone to it.
func (c *Core) Progress(now time.Time, id ID, n int64) {
	h := c.holders[id]
	if h == nil {
		return
	}
	if h.progress += n; h.progress >= c.limits.StallBytes {
		h.progressAt, h.progress = now, 0
	}
}

// Close removes a holder with all that it has.
func (c *Core) Close(id ID) {
	if h := c.holders[id]; h != nil {
		c.bytes -= h.bytes
		c.byListener[h.listener]--
		c.leave(h)
		delete(c.waiting, id)
		delete(c.holders, id)
	}
}

// Held returns what the holders of each phase have, and their number.
func (c *Core) Held() (bytes map[Phase]int64, connections map[Phase]int) {
	bytes, connections = make(map[Phase]int64), make(map[Phase]int)
	for _, h := range c.holders {
		bytes[h.phase] += h.bytes
		connections[h.phase]++
	}
	return bytes, connections
}

// stalled reports whether a holder has been waiting for its client for too long.
func (c *Core) stalled(now time.Time, h *holder) bool {
	switch h.phase {
	case PhaseIdle, PhaseReceiving, PhaseSending:
		return h.waitsSince.IsZero() && now.Sub(h.progressAt) >= c.limits.StallTime
	default:
		return false
	}
}

// candidate is a holder that may yield.
type candidate struct {
	*holder
	class int
}

// idleVictims returns the holder that yields for a new connection, or nil.
func (c *Core) idleVictims(now time.Time, other *holder) []*holder {
	var candidates []candidate
	for _, h := range c.holders {
		if h.listener != other.listener || h.client.connections < other.client.connections {
			continue
		}
		switch {
		case c.stalled(now, h):
			candidates = append(candidates, candidate{h, 1})
		case h.phase == PhaseIdle:
			candidates = append(candidates, candidate{h, 2})
		}
	}
	return choose(candidates, 0)
}

// victims returns the holders that yield so that a holder gets more bytes; nil if they don't
// suffice.
func (c *Core) victims(now time.Time, other *holder, bytes int64) []*holder {
	c.rankRequests(now)
	var candidates []candidate
	for _, h := range c.holders {
		if h == other || h.bytes == 0 {
			continue
		}
		below := compare(other, h) < 0
		switch {
		case c.stalled(now, h):
			candidates = append(candidates, candidate{h, 1})
		case h.phase == PhaseReceiving && other.phase != PhaseIdle && below:
			candidates = append(candidates, candidate{h, 3})
		case h.phase == PhaseBuffering && other.phase == PhaseBuffering && below:
			candidates = append(candidates, candidate{h, 4})
		}
	}
	return choose(candidates, bytes)
}

// choose returns the first candidates that free enough bytes, and at least one, in the order in which
// they yield.
func choose(candidates []candidate, bytes int64) []*holder {
	var victims []*holder
	for len(candidates) > 0 {
		first := 0
		for i := range candidates {
			if yieldsBefore(&candidates[i], &candidates[first]) < 0 {
				first = i
			}
		}
		victim := candidates[first].holder
		victims = append(victims, victim)
		if bytes -= victim.bytes; bytes <= 0 {
			return victims
		}
		candidates[first] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return nil
}

// yieldsBefore returns a negative number if a yields before b.
func yieldsBefore(a, b *candidate) int {
	if a.class != b.class || a.class > 2 {
		return cmp.Or(cmp.Compare(a.class, b.class), compare(b.holder, a.holder))
	}
	return cmp.Or(cmp.Compare(b.client.connections, a.client.connections), a.progressAt.Compare(b.progressAt), cmp.Compare(a.id, b.id))
}

// compare returns a negative number if a has the higher precedence.
func compare(a, b *holder) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order))
}

// rankRequests sets the rank of each request among those of its client, by age. The ranks of a client
// that has stalled lately are above all others.
func (c *Core) rankRequests(now time.Time) {
	c.round++
	kept := c.requests[:0]
	for _, r := range c.requests {
		if r.order != r.holder.order || r.phase == PhaseIdle || c.holders[r.id] != r.holder {
			continue
		}
		kept = append(kept, r)
		owner := r.client
		if owner.round != c.round {
			owner.round, owner.requests, owner.stalled = c.round, 0, c.hasStalled(now, owner.name)
		}
		if r.rank = owner.requests; owner.stalled {
			r.rank += stalledRank
		}
		owner.requests++
	}
	clear(c.requests[len(kept):])
	c.requests = kept
}

const (
	// stalledRank is above all ranks of clients that have not stalled lately.
	stalledRank = 1 << 30
	// stalledPart is the part of the memory, as a divisor, that clients which have stalled lately may
	// fill together: what they hold is free only once they have stalled again.
	stalledPart = 2
	// maxStalledClients limits the clients of which it is known that they have stalled.
	maxStalledClients = 1024
	// minCompaction is the number of entries of Core.requests below which stale ones are kept.
	minCompaction = 256
)

// hasStalled reports whether a client has stalled lately.
func (c *Core) hasStalled(now time.Time, client string) bool {
	at, ok := c.stalledAt[client]
	return ok && now.Sub(at) < c.limits.StallMemory
}

// heldByStalled returns what the clients hold that have stalled lately.
func (c *Core) heldByStalled(now time.Time) int64 {
	sum := int64(0)
	for _, h := range c.holders {
		if h.bytes > 0 && c.hasStalled(now, h.client.name) {
			sum += h.bytes
		}
	}
	return sum
}

// rememberStall records that a client has stalled. Of too many clients, any one is forgotten.
func (c *Core) rememberStall(now time.Time, client string) {
	if len(c.stalledAt) >= maxStalledClients {
		for other := range c.stalledAt {
			delete(c.stalledAt, other)
			break
		}
	}
	c.stalledAt[client] = now
}

// evict removes holders.
func (c *Core) evict(now time.Time, victims []*holder) []Eviction {
	evicted := make([]Eviction, len(victims))
	for i, v := range victims {
		if v.phase != PhaseIdle && c.stalled(now, v) {
			c.rememberStall(now, v.client.name)
		}
		evicted[i] = Eviction{ID: v.id, Phase: v.phase, Bytes: v.bytes}
		c.Close(v.id)
	}
	return evicted
}
