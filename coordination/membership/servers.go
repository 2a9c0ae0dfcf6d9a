package membership

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// server is a BackendServer that this daemon may use.
type server struct {
	Member
	score uint64
	// seenAt is the latest known time at which a host list contained the server.
	seenAt      time.Time
	missedLists int
}

// tombstone records that a BackendServer has left.
type tombstone struct {
	incarnation uint64
	rank        uint8
	at          time.Time
}

// pool holds the candidates of a pool, sorted by score. The order differs between
// daemons, so that each daemon uses a different subset of the BackendServers.
type pool struct {
	candidates []*server
	// truncated is set when the pool had more BackendServers than the limit.
	truncated bool
}

// reserveFactor times SubsetSize is the maximum number of candidates per pool, so
// that a full subset remains after the loss of half of them.
const reserveFactor = 2

// markLeaving records that an incarnation of a BackendServer takes no new work from
// now on, and reports whether that changed the local state. A tombstone is also
// kept for an incarnation below the known one, so that all daemons hold the same
// tombstones, but it does not remove the later incarnation.
func (c *Core) markLeaving(name string, incarnation uint64, rank uint8, age time.Duration) bool {
	rank = min(rank, rankGone)
	at := c.now.Add(-age)
	known := c.servers[name]
	old, ok := c.tombstones[name]
	if ok && !overrides(incarnation, rank, old.incarnation, old.rank) {
		c.extendTombstone(name, incarnation, at)
		return false
	}
	if !ok && known == nil && age >= c.options.LeavingRetention/2 {
		return false
	}
	member := Member{Name: name, Incarnation: incarnation}
	if known != nil && known.Incarnation <= incarnation {
		member = known.Member
		c.removeServer(known)
	}
	c.tombstones[name] = tombstone{incarnation: incarnation, rank: rank, at: at}
	c.limitTombstones()
	c.enqueueMember(name, c.options.UrgentRounds)
	c.emit(ChangeAction{Member: member, State: statesByRank[rank], At: c.now})
	return true
}

// reclaimRetention is how long a reclaim notice without an incarnation also applies
// to a BackendServer that is discovered later. It must exceed the lag of the host
// list and the time until the reclaim.
const reclaimRetention = 15 * time.Minute

func (c *Core) handleLeaving(e LeavingEvent) {
	if !e.CurrentIncarnation {
		c.markLeaving(e.Name, e.Incarnation, rankLeaving, 0)
		return
	}
	if known := c.servers[e.Name]; known != nil {
		c.markLeaving(e.Name, known.Incarnation, rankLeaving, 0)
	}
	if len(c.pendingReclaims) < c.options.MaxTombstones {
		c.pendingReclaims[e.Name] = c.now
	}
}

// extendTombstone restarts the retention of a tombstone when the same incarnation
// is reported again, for example because a host list still contains it.
func (c *Core) extendTombstone(name string, incarnation uint64, at time.Time) {
	t := c.tombstones[name]
	if incarnation == t.incarnation && at.After(t.at) {
		t.at = at
		c.tombstones[name] = t
	}
}

// hasLeft reports whether this incarnation of a BackendServer, or a later one,
// has left.
func (c *Core) hasLeft(name string, incarnation uint64) bool {
	t, ok := c.tombstones[name]
	return ok && incarnation <= t.incarnation
}

// HasLeft reports whether this incarnation of a BackendServer, or a later one,
// has left and takes no new work.
func (c *Core) HasLeft(name string, incarnation uint64) bool { return c.hasLeft(name, incarnation) }

// applyServer applies a change of the host list that some daemon announced. The
// rank is alive for a BackendServer that was added and suspect for one that was
// removed.
func (c *Core) applyServer(delta *Delta) {
	if !delta.valid() {
		return
	}
	seenAt := c.now.Add(-delta.age())
	if delta.Rank == rankAlive {
		c.handleListedServer(delta.member(), seenAt)
		return
	}
	known := c.servers[delta.Name]
	if known != nil && delta.Incarnation >= known.Incarnation && seenAt.After(known.seenAt) {
		c.removeServer(known)
	}
}

// handleListedServer applies a BackendServer that the host list contains and does
// not mark as leaving.
func (c *Core) handleListedServer(m Member, seenAt time.Time) {
	if c.hasLeft(m.Name, m.Incarnation) {
		// The host list lags: keep the tombstone as long as the list has the server.
		c.extendTombstone(m.Name, c.tombstones[m.Name].incarnation, c.now)
		return
	}
	if _, ok := c.pendingReclaims[m.Name]; ok {
		c.markLeaving(m.Name, m.Incarnation, rankLeaving, 0)
		return
	}
	if len(c.allowedZones) > 0 && !c.allowedZones[m.AvailabilityZone] {
		return
	}
	known := c.servers[m.Name]
	if known != nil && m.Incarnation < known.Incarnation {
		return
	}
	if known != nil && known.Member == m {
		known.missedLists = 0
		if seenAt.After(known.seenAt) {
			known.seenAt = seenAt
		}
		return
	}
	if known != nil {
		c.removeServer(known)
	}
	c.addServer(&server{Member: m, score: score(c.self.Name, m.Name), seenAt: seenAt})
}

func (c *Core) addServer(s *server) {
	p := c.pools[s.Pool]
	if p == nil {
		p = &pool{}
		c.pools[s.Pool] = p
	}
	limit := reserveFactor * c.options.SubsetSize
	i := sort.Search(len(p.candidates), func(i int) bool { return !lessServer(p.candidates[i], s) })
	if i >= limit {
		p.truncated = true
		return
	}
	p.candidates = slices.Insert(p.candidates, i, s)
	c.servers[s.Name] = s
	if len(p.candidates) > limit {
		last := p.candidates[limit]
		delete(c.servers, last.Name)
		p.candidates = slices.Delete(p.candidates, limit, limit+1)
		p.truncated = true
	}
	c.dirtyPools[s.Pool] = true
	c.emit(ChangeAction{Member: s.Member, State: StateAlive, At: c.now})
}

func lessServer(a, b *server) bool {
	if a.score != b.score {
		return a.score < b.score
	}
	return a.Name < b.Name
}

func (c *Core) removeServer(s *server) {
	delete(c.servers, s.Name)
	p := c.pools[s.Pool]
	p.candidates = slices.DeleteFunc(p.candidates, func(other *server) bool { return other == s })
	c.dirtyPools[s.Pool] = true
	if p.truncated && len(p.candidates) < c.options.SubsetSize {
		c.hostList.pollRequested = true
	}
}

// Available returns the BackendServers of a pool that may receive new work from
// this daemon.
func (c *Core) Available(name string) []BackendServer {
	p := c.pools[name]
	if p == nil {
		return nil
	}
	available := make([]BackendServer, 0, min(len(p.candidates), c.options.SubsetSize))
	for _, s := range p.candidates[:min(len(p.candidates), c.options.SubsetSize)] {
		available = append(available, s.Member)
	}
	return available
}

// Pools returns the sorted names of the pools.
func (c *Core) Pools() []string {
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (c *Core) expireTombstones() {
	for name, t := range c.tombstones {
		if c.now.Sub(t.at) >= c.options.LeavingRetention {
			delete(c.tombstones, name)
		}
	}
	for name, at := range c.pendingReclaims {
		if c.now.Sub(at) >= reclaimRetention {
			delete(c.pendingReclaims, name)
		}
	}
}

// limitTombstones deletes the oldest tenth of the tombstones when there are more
// than MaxTombstones.
func (c *Core) limitTombstones() {
	if len(c.tombstones) <= c.options.MaxTombstones {
		return
	}
	names := make([]string, 0, len(c.tombstones))
	for name := range c.tombstones {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if order := c.tombstones[a].at.Compare(c.tombstones[b].at); order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:max(len(names)/10, 1)] {
		delete(c.tombstones, name)
	}
}
