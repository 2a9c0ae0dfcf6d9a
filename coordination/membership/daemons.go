package membership

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// maxDaemons limits the number of known daemons, including those that are gone.
// It is several times the 590 daemons of a deployment plus their restarts within
// one hour.
const maxDaemons = 8192

type daemon struct {
	Member
	rank uint8
	// stateSince is when the state began. For a suspect it is when this daemon
	// raised or received the suspicion.
	stateSince time.Time
}

func (d *daemon) usable() bool { return d.rank == rankAlive || d.rank == rankSuspect }

// overrides reports whether a state replaces an older one: a higher incarnation
// takes precedence, then a higher rank.
func overrides(incarnation uint64, rank uint8, oldIncarnation uint64, oldRank uint8) bool {
	if incarnation != oldIncarnation {
		return incarnation > oldIncarnation
	}
	return rank > oldRank
}

// applyDaemon applies a delta about a daemon and reports whether it changed the
// local state.
func (c *Core) applyDaemon(delta *Delta) bool {
	if !delta.valid() {
		return false
	}
	if delta.Name == c.self.Name {
		return c.refute(delta)
	}
	known := c.daemons[delta.Name]
	rank := min(delta.Rank, rankGone)
	if known != nil && !overrides(delta.Incarnation, rank, known.Incarnation, known.rank) {
		return false
	}
	if known == nil && len(c.daemons) >= maxDaemons {
		return false
	}
	age := delta.age()
	if known == nil && rank == rankGone && age >= c.options.GoneRetention/2 {
		return false
	}
	d := &daemon{Member: delta.member(), rank: rank, stateSince: c.now}
	if rank > rankSuspect {
		d.stateSince = c.now.Add(-age)
	}
	c.setDaemon(d)
	return true
}

func (c *Core) setDaemon(d *daemon) {
	d.Kind = KindDaemon
	old := c.daemons[d.Name]
	c.daemons[d.Name] = d
	c.peersStale = true
	if d.usable() && (old == nil || !old.usable()) {
		c.sampleIntoView(d)
	}
	urgentRounds := 0
	if d.rank == rankLeaving {
		urgentRounds = c.options.UrgentRounds
	}
	c.enqueueMember(d.Name, urgentRounds)
	c.emit(ChangeAction{Member: d.Member, State: statesByRank[d.rank], At: c.now})
}

// refute corrects a wrong state that a peer has for this daemon by raising the
// incarnation of this daemon above the reported one.
func (c *Core) refute(delta *Delta) bool {
	wrong := delta.Rank > c.selfRank && delta.Incarnation >= c.self.Incarnation
	if !wrong && delta.Incarnation <= c.self.Incarnation {
		return false
	}
	c.self.Incarnation = delta.Incarnation + 1
	c.enqueueMember(c.self.Name, c.options.UrgentRounds)
	return true
}

func (c *Core) suspect(name string) {
	d := c.daemons[name]
	if d == nil || d.rank != rankAlive {
		return
	}
	c.setDaemon(&daemon{Member: d.Member, rank: rankSuspect, stateSince: c.now})
}

// expire marks suspects whose suspicion timeout has passed and leaving daemons
// whose retention has passed as gone. It deletes gone daemons, tombstones and
// announcement IDs whose retention has passed.
func (c *Core) expire() {
	for _, name := range c.expiredDaemons() {
		d := c.daemons[name]
		if d.rank == rankGone {
			delete(c.daemons, name)
			continue
		}
		c.setDaemon(&daemon{Member: d.Member, rank: rankGone, stateSince: c.now})
	}
	c.expireTombstones()
	c.expireSeen()
}

func (c *Core) expiredDaemons() []string {
	var names []string
	for name, d := range c.daemons {
		age := c.now.Sub(d.stateSince)
		switch d.rank {
		case rankSuspect:
			if age >= c.options.SuspicionTimeout {
				names = append(names, name)
			}
		case rankLeaving, rankGone:
			if age >= c.options.GoneRetention {
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// Daemons returns the other daemons in the given state, sorted by name.
func (c *Core) Daemons(state State) []Member {
	var found []Member
	for _, d := range c.daemons {
		if statesByRank[d.rank] == state {
			found = append(found, d.Member)
		}
	}
	slices.SortFunc(found, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// livePeers returns the alive and suspect daemons, sorted by name.
func (c *Core) livePeers() []*daemon {
	if !c.peersStale {
		return c.peers
	}
	c.peersStale = false
	c.peers = c.peers[:0]
	for _, d := range c.daemons {
		if d.usable() {
			c.peers = append(c.peers, d)
		}
	}
	slices.SortFunc(c.peers, func(a, b *daemon) int { return strings.Compare(a.Name, b.Name) })
	c.refillView()
	return c.peers
}
