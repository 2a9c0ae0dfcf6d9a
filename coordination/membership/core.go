package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core holds what one daemon knows about the members. It does no I/O, reads no
// clock and is not safe for concurrent use; Directory wraps it.
type Core struct {
	o    Options
	rand *rand.Rand

	self     Member
	selfRank uint8

	daemons  map[string]*daemon
	peers    []*daemon // alive and suspect daemons, by name
	stale    bool      // peers has to be rebuilt
	view     []*daemon
	viewAt   time.Time
	turn     int // members of the view before it were targets since the shuffle
	seeds    []string
	contacts int

	pools map[string]*pool
	zones map[string]bool
	// servers are the candidates of all pools; tombstones are BackendServers
	// that have left.
	servers    map[string]*server
	tombstones map[string]tombstone
	dirtyPools map[string]bool
	// reclaimed are BackendServers that leave at an incarnation that is not
	// known yet, and when that was heard.
	reclaimed map[string]time.Time

	queue []*queued
	seen  map[string]time.Time

	revision       RevisionEvent
	revisionHops   uint8
	revisionUrgent int

	load      LoadEvent
	loads     map[string]reportedLoad
	zoneLoads map[string]*zoneState
	zoneDue   time.Time

	list listState

	digest   uint64
	agreedAt time.Time // when a peer last had the same digest
	// differing counts the messages in a row with another digest, by peer.
	differing map[string]int
	syncing   bool
	syncAfter string

	lastTick     time.Time
	heartbeatDue time.Time
	now          time.Time
	actions      []Action
}

// New returns the core of the daemon self. Its incarnation has to be higher than
// that of its last start; the time of the start in milliseconds will do.
func New(o Options, self Member, r *rand.Rand, now time.Time) *Core {
	self.Kind = KindDaemon
	c := &Core{
		o: o.withDefaults(), rand: r, self: self, syncing: true, now: now,
		daemons: map[string]*daemon{}, pools: map[string]*pool{}, zones: map[string]bool{},
		servers: map[string]*server{}, tombstones: map[string]tombstone{},
		dirtyPools: map[string]bool{}, reclaimed: map[string]time.Time{}, seen: map[string]time.Time{},
		loads: map[string]reportedLoad{}, zoneLoads: map[string]*zoneState{},
		differing: map[string]int{}, lastTick: now, heartbeatDue: now, viewAt: now,
	}
	for _, zone := range o.Zones {
		c.zones[zone] = true
	}
	for _, address := range o.Seeds {
		c.addSeed(address)
	}
	c.enqueueMember(self.Name, 0)
	return c
}

// Step takes an event and returns what has to be done. The actions share their
// messages; the driver must not change them.
func (c *Core) Step(now time.Time, event Event) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.actions = nil
	switch e := event.(type) {
	case TickEvent:
		c.tick()
	case MessageEvent:
		c.receive(e.Message, e.Heartbeat)
	case PeerFailedEvent:
		c.suspect(e.Name)
	case HostListEvent:
		c.takeList(e.Entries)
	case LeavingEvent:
		c.takeLeaving(e)
	case AnnounceEvent:
		c.announce(Announcement{ID: e.ID, Kind: e.Kind, Payload: e.Payload}, c.o.UrgentRounds)
	case RevisionEvent:
		c.raiseRevision(e, 0)
	case LoadEvent:
		c.load = e
	case LeaveEvent:
		c.leave()
	}
	return c.actions
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// Self returns this daemon with its current incarnation.
func (c *Core) Self() Member { return c.self }

// Revision returns the highest revision known to be confirmed by a daemon.
func (c *Core) Revision() RevisionEvent { return c.revision }

func (c *Core) tick() {
	c.resumeAfterPause()
	c.lastTick = c.now
	c.sendUrgent()
	if !c.now.Before(c.heartbeatDue) {
		c.heartbeatDue = c.now.Add(c.o.HeartbeatInterval)
		c.expire()
		c.digest = c.computeDigest()
		c.reportZone()
		c.heartbeat()
	}
	c.pollIfDue()
}

// pausedIntervals is how many missed heartbeat intervals count as a pause of
// this process.
const pausedIntervals = 3

// resumeAfterPause gives suspect daemons their whole time again: their
// objections may still wait in this process's sockets.
func (c *Core) resumeAfterPause() {
	if c.now.Sub(c.lastTick) <= pausedIntervals*c.o.HeartbeatInterval {
		return
	}
	for _, d := range c.daemons {
		if d.rank == rankSuspect {
			d.since = c.now
		}
	}
}

func (c *Core) raiseRevision(r RevisionEvent, hops uint8) bool {
	if r.Revision <= c.revision.Revision {
		return false
	}
	c.revision, c.revisionHops, c.revisionUrgent = r, hops, c.o.UrgentRounds
	return true
}

func (c *Core) leave() {
	if c.selfRank == rankLeaving {
		return
	}
	c.selfRank = rankLeaving
	c.enqueueMember(c.self.Name, c.o.UrgentRounds)
}

// score orders names differently for each salt.
func score(salt, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
