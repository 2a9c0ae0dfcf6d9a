package serverlimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

const (
	// usedFraction is the fraction of a server's limit that is used. Two sets of
	// senders, as while daemons disagree on who is alive, then stay within one and a
	// half times the limit.
	usedFraction = 0.75
	// senderRate is the part of a limit, in requests per second, for which one daemon
	// is allowed to send. A daemon's own requests must be able to use it.
	senderRate = 2.0
	// probeRate is the least rate, in requests per second, at which all daemons
	// together send to a server, so that they learn of the end of a limit of 0.
	probeRate = 0.2
	// handoverDelay is how long a daemon must have been a sender before it sends. In
	// this time the daemons before it learn that they are no longer.
	handoverDelay = time.Second
	// startDelay is how long after its start a daemon sends nothing to servers with a
	// limit: it must hear of the other daemons first.
	startDelay = 3 * time.Second
	// burst is the time for which a sender may save up requests. It may always save
	// up one.
	burst = 250 * time.Millisecond
	// retention is how long what a run of a server has stated is kept after its entry was
	// removed. An entry that has lapsed returns once the server reaches the store again.
	retention = time.Minute
	// maxEntries is the maximum number of servers of which entries are kept.
	maxEntries = 4096
)

// Entry is what is known of the limit of one run of a server.
type Entry struct {
	// Run identifies the run of the server.
	Run string `cbor:"1,keyasint"`
	// Version increases with each change. An answer that raises or ends the limit
	// belongs to a request that was sent after the version before was known; one that
	// lowers it always counts.
	Version   uint64  `cbor:"2,keyasint"`
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Service is the service of the server. Brittle and MaxRefusals are as in Statement.
	Service     string  `cbor:"5,keyasint,omitempty"`
	Brittle     bool    `cbor:"6,keyasint,omitempty"`
	MaxRefusals float64 `cbor:"7,keyasint,omitempty"`
}

// isStricterThan reports whether an entry allows less than another one.
func (e *Entry) isStricterThan(o *Entry) bool {
	switch {
	case e.Limited != o.Limited:
		return e.Limited
	case e.Limited && e.PerSecond != o.PerSecond:
		return e.PerSecond < o.PerSecond
	case e.Brittle != o.Brittle:
		return e.Brittle
	default:
		return e.Brittle && e.MaxRefusals < o.MaxRefusals
	}
}

// states reports whether an entry states the same as another one.
func (e *Entry) states(o *Entry) bool {
	return e.Limited == o.Limited && e.PerSecond == o.PerSecond && e.Brittle == o.Brittle && e.MaxRefusals == o.MaxRefusals
}

// Role is a daemon's part in sending to a server with a limit.
type Role int

// Roles.
const (
	// RoleNone sends nothing.
	RoleNone Role = iota
	// RoleSender shares the limit with the other senders.
	RoleSender
	// RolePortion sends an equal portion for each known daemon, because most of them
	// are not heard and may choose other senders.
	RolePortion
)

// String returns the name of the role in logs.
func (r Role) String() string { return [...]string{"none", "sender", "portion"}[r] }

// Member is another daemon.
type Member struct {
	Node  string
	Alive bool
}

// limit is the state of one server's limit.
type limit struct {
	entry Entry
	// learnedAt is when this daemon learned of the entry.
	learnedAt time.Time
	role      Role
	// rate is the number of requests per second that this daemon may send.
	rate float64
	// permits is the number of requests that it may send as of permitsAt, which may be
	// in the future.
	permits   float64
	permitsAt time.Time
	// removedAt is when the server's entry was removed, or zero.
	removedAt time.Time
}

// Core holds the limits of servers that one daemon knows of, and decides when it may
// send to them. It is not safe for concurrent use.
//
// A limit holds for all daemons together. It is not divided among them, since a
// request of each may be too many already: a few senders share it, chosen by the hash
// of the daemon and the server, so that all daemons choose the same ones without a
// message. All others use other servers.
type Core struct {
	node      string
	startedAt time.Time
	limits    map[string]*limit
	log       *changelog.Log[string]
	// stopping is set while this daemon shuts down.
	stopping bool
	members  []Member
	alive    int
	// refusals holds what is known of refusals by run of a server, and brittle how many
	// requests the brittle servers of each service may turn away in a second.
	refusals map[string]*refusals
	brittle  map[string]float64
	// senders holds the daemon that sends the requests of all to each server, as determined
	// for the current members.
	senders map[string]string
	random  *rand.Rand
	// pauses holds the servers that have asked this daemon for a pause, by ID. Entries come
	// and go.
	pauses map[string]pause
}

// New returns a Core without limits for a daemon that starts now. The run identifies
// the run of the daemon to its peers.
func New(now time.Time, node string, run uint64) *Core {
	return &Core{pauses: make(map[string]pause), node: node, startedAt: now, limits: make(map[string]*limit), log: changelog.New[string](run), alive: 1,
		refusals: make(map[string]*refusals), brittle: make(map[string]float64), senders: make(map[string]string), random: newRandom(run)}
}

// SetMembers sets the other daemons, and whether this one is shutting down.
func (c *Core) SetMembers(now time.Time, members []Member, stopping bool) {
	alive := 1
	for _, m := range members {
		if m.Alive {
			alive++
		}
	}
	if stopping != c.stopping || !slices.Equal(members, c.members) {
		clear(c.senders)
	}
	c.members, c.alive, c.stopping = members, alive, stopping
	c.dropEnded(now)
	for _, l := range c.limits {
		c.assign(now, l)
	}
}

// Observe applies what an answer of a server says, given when its request was sent. It
// returns the entry and whether that has changed.
func (c *Core) Observe(now time.Time, service, run string, sentAt time.Time, s Statement) (Entry, bool) {
	if s.Unreadable {
		return Entry{}, false
	}
	l, known := c.limits[run]
	stated := Entry{Run: run, Version: 1, Limited: s.Limited, PerSecond: s.PerSecond, Service: service, Brittle: s.Brittle, MaxRefusals: s.MaxRefusals}
	if !known {
		if !s.Limited && !s.Brittle {
			return Entry{}, false
		}
		return stated, c.set(now, stated, "")
	}
	stated.Version = l.entry.Version + 1
	// An answer to a request from before this daemon knew of the limit may be older
	// than the limit.
	if !stated.isStricterThan(&l.entry) && (stated.states(&l.entry) || sentAt.Before(l.learnedAt)) {
		return l.entry, false
	}
	return stated, c.set(now, stated, "")
}

// Merge applies an entry that a peer has sent and reports whether it changed anything.
func (c *Core) Merge(now time.Time, peer string, e Entry) bool {
	l, known := c.limits[e.Run]
	if known && (e.Version < l.entry.Version || e.Version == l.entry.Version && !e.isStricterThan(&l.entry)) {
		return false
	}
	return c.set(now, e, peer)
}

// set replaces an entry and returns true.
func (c *Core) set(now time.Time, e Entry, from string) bool {
	l, known := c.limits[e.Run]
	if !known {
		l = &limit{}
		c.limits[e.Run] = l
		c.evict(e.Run)
	}
	l.entry, l.learnedAt = e, now
	c.log.Record(e.Run, from)
	c.assign(now, l)
	c.updateBrittle()
	return true
}

// evict removes the entry that was learned of first if there are too many.
func (c *Core) evict(added string) {
	if len(c.limits) <= maxEntries {
		return
	}
	oldest := ""
	for run, l := range c.limits {
		if run != added && (oldest == "" || l.learnedAt.Before(c.limits[oldest].learnedAt)) {
			oldest = run
		}
	}
	c.Forget(oldest)
}

// Removed records that the entry of a run of a server was removed. It may return, and the
// server may live, so that what it has stated is kept for a while.
func (c *Core) Removed(now time.Time, run string) {
	l, known := c.limits[run]
	if !known {
		c.Forget(run)
		return
	}
	l.removedAt = now
	c.updateBrittle()
}

// Listed records that a run of a server has an entry. What was learned from a server that had
// started again while its entry described the run before was stated by the new one.
func (c *Core) Listed(now time.Time, run string) {
	if l, known := c.limits[run]; known {
		l.removedAt = time.Time{}
		c.updateBrittle()
		return
	}
	id, started, _ := fleet.SplitRunID(run)
	var last *limit
	for other, l := range c.limits {
		if otherID, _, _ := fleet.SplitRunID(other); otherID == id && l.learnedAt.UnixMilli() > started && (last == nil || l.learnedAt.After(last.learnedAt)) {
			last = l
		}
	}
	if last != nil {
		e := last.entry
		e.Run, e.Version = run, 1
		c.set(now, e, "")
	}
}

// dropEnded drops what is known of runs whose entries have not returned, and past pauses.
func (c *Core) dropEnded(now time.Time) {
	for run, l := range c.limits {
		if !l.removedAt.IsZero() && now.Sub(l.removedAt) > retention {
			c.Forget(run)
		}
	}
	c.dropPastPauses(now)
}

// Forget removes the entry of a run of a server that has ended.
func (c *Core) Forget(run string) {
	delete(c.limits, run)
	delete(c.refusals, run)
	delete(c.senders, run)
	c.log.Forget(run)
	c.updateBrittle()
}

// assign determines this daemon's role and rate for a server.
func (c *Core) assign(now time.Time, l *limit) {
	role, rate, delay := c.roleFor(l)
	if role != l.role {
		l.permits, l.permitsAt = 0, now.Add(handoverDelay+delay)
		if start := c.startedAt.Add(startDelay + delay); l.permitsAt.Before(start) {
			l.permitsAt = start
		}
	} else {
		c.refill(now, l)
	}
	l.role, l.rate = role, rate
}

// roleFor returns this daemon's role for a server, its rate, and by how much its first
// request is put off so that the daemons do not all send at once.
func (c *Core) roleFor(l *limit) (Role, float64, time.Duration) {
	known := len(c.members) + 1
	total := max(usedFraction*l.entry.PerSecond, probeRate)
	switch {
	case !l.entry.Limited || c.stopping:
		return RoleNone, 0, 0
	case 2*c.alive <= known:
		rate := total / float64(known)
		rank := c.rank(l.entry.Run, func(m Member) bool { return true })
		return RolePortion, rate, time.Duration(float64(rank) / total * float64(time.Second))
	}
	senders := min(max(int(math.Ceil(l.entry.PerSecond/senderRate)), 1), c.alive)
	if c.rank(l.entry.Run, func(m Member) bool { return m.Alive }) >= senders {
		return RoleNone, 0, 0
	}
	return RoleSender, total / float64(senders), 0
}

// rank returns how many of the other daemons that count come before this one for a
// server.
func (c *Core) rank(run string, counts func(Member) bool) int {
	own := weight(c.node, run)
	rank := 0
	for _, m := range c.members {
		if counts(m) && cmp.Or(cmp.Compare(weight(m.Node, run), own), cmp.Compare(m.Node, c.node)) < 0 {
			rank++
		}
	}
	return rank
}

func weight(node, run string) uint64 { return xxhash.Sum64String(node + "\x00" + run) }

// refill adds the permits that have accrued.
func (c *Core) refill(now time.Time, l *limit) {
	if now.After(l.permitsAt) {
		l.permits = min(l.permits+l.rate*now.Sub(l.permitsAt).Seconds(), max(l.rate*burst.Seconds(), 1))
		l.permitsAt = now
	}
}

// Available reports whether this daemon may send a request to a server now.
func (c *Core) Available(now time.Time, run string) bool {
	if c.IsPaused(now, run) {
		return false
	}
	l, known := c.limits[run]
	if !known || !l.entry.Limited {
		return true
	}
	c.refill(now, l)
	return l.permits >= 1
}

// Take takes the permit to send a request to a server, which must be available. It
// reports whether the server has a limit.
func (c *Core) Take(now time.Time, run string) bool {
	l, known := c.limits[run]
	if !known || !l.entry.Limited {
		return false
	}
	c.refill(now, l)
	l.permits--
	return true
}

// Active returns the number of servers that have a limit, are brittle or have asked for a
// pause.
func (c *Core) Active() int {
	n := 0
	for _, l := range c.limits {
		if l.entry.Limited || l.entry.Brittle {
			n++
		}
	}
	return n + len(c.pauses)
}

// RoleOf returns this daemon's role for a server and the number of requests per second
// that it may send there.
func (c *Core) RoleOf(run string) (Role, float64) {
	if l, known := c.limits[run]; known {
		return l.role, l.rate
	}
	return RoleNone, 0
}

// EntriesFor returns the entries for a peer that has acknowledged a position, and the
// span that they cover.
func (c *Core) EntriesFor(peer string, acknowledged changelog.Position) ([]Entry, changelog.Span) {
	keys, span := c.log.Since(peer, acknowledged, func(string) bool { return true }, math.MaxInt)
	entries := make([]Entry, 0, len(keys))
	for _, run := range keys {
		entries = append(entries, c.limits[run].entry)
	}
	return slices.Clip(entries), span
}
