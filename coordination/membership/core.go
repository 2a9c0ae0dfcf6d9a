package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core holds what one daemon knows about the members. It does no I/O, reads no
// clock and is not safe for concurrent use; Directory wraps it.
type Core struct {
	options Options
	rand    *rand.Rand

	self     Member
	selfRank uint8

	daemons         map[string]*daemon
	peers           []*daemon // alive and suspect daemons, by name
	peersStale      bool      // peers has to be rebuilt
	view            []*daemon
	viewRefreshedAt time.Time
	nextTarget      int // members of the view before it were targets since the shuffle
	seeds           []string
	heartbeatCount  int

	pools        map[string]*pool
	allowedZones map[string]bool
	// servers are the candidates of all pools; tombstones are BackendServers
	// that have left.
	servers    map[string]*server
	tombstones map[string]tombstone
	dirtyPools map[string]bool
	// reclaimed are BackendServers that leave at an incarnation that is not
	// known yet, and when that was heard.
	pendingReclaims map[string]time.Time

	queue []*queueEntry
	seen  map[string]time.Time

	revision             RevisionEvent
	revisionHops         uint8
	revisionUrgentRounds int

	load           LoadEvent
	daemonLoads    map[string]reportedLoad
	zoneLoads      map[string]*zoneState
	nextZoneReport time.Time

	hostList hostListState

	digest          uint64
	digestMatchedAt time.Time // when a peer last had the same digest
	// differing counts the messages in a row with another digest, by peer.
	digestMismatches map[string]int
	syncing          bool
	syncAfter        string

	lastTick      time.Time
	nextHeartbeat time.Time
	now           time.Time
	actions       []Action
}

// New returns the core of the daemon self. Its incarnation has to be higher than
// that of its last start; the time of the start in milliseconds will do.
func New(options Options, self Member, r *rand.Rand, now time.Time) *Core {
	self.Kind = KindDaemon
	c := &Core{
		options: options.withDefaults(), rand: r, self: self, syncing: true, now: now,
		daemons: map[string]*daemon{}, pools: map[string]*pool{}, allowedZones: map[string]bool{},
		servers: map[string]*server{}, tombstones: map[string]tombstone{},
		dirtyPools: map[string]bool{}, pendingReclaims: map[string]time.Time{}, seen: map[string]time.Time{},
		daemonLoads: map[string]reportedLoad{}, zoneLoads: map[string]*zoneState{},
		digestMismatches: map[string]int{}, lastTick: now, nextHeartbeat: now, viewRefreshedAt: now,
	}
	for _, zone := range options.Zones {
		c.allowedZones[zone] = true
	}
	for _, address := range options.Seeds {
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
		c.handleHostList(e.Entries)
	case LeavingEvent:
		c.handleLeaving(e)
	case AnnounceEvent:
		c.announce(Announcement{ID: e.ID, Kind: e.Kind, Payload: e.Payload}, c.options.UrgentRounds)
	case RevisionEvent:
		c.raiseRevision(e, 0)
	case LoadEvent:
		c.load = e
	case LeaveEvent:
		c.leave()
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Self returns this daemon with its current incarnation.
func (c *Core) Self() Member { return c.self }

// Revision returns the highest revision known to be confirmed by a daemon.
func (c *Core) Revision() RevisionEvent { return c.revision }

func (c *Core) tick() {
	c.extendSuspicionsAfterPause()
	c.lastTick = c.now
	c.sendUrgent()
	if !c.now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = c.now.Add(c.options.HeartbeatInterval)
		c.expire()
		c.digest = c.computeDigest()
		c.reportZone()
		c.heartbeat()
	}
	c.pollIfDue()
}

// pauseThresholdIntervals is how many missed heartbeat intervals count as a pause of
// this process.
const pauseThresholdIntervals = 3

// extendSuspicionsAfterPause gives suspect daemons their whole time again: their
// objections may still wait in this process's sockets.
func (c *Core) extendSuspicionsAfterPause() {
	if c.now.Sub(c.lastTick) <= pauseThresholdIntervals*c.options.HeartbeatInterval {
		return
	}
	for _, d := range c.daemons {
		if d.rank == rankSuspect {
			d.stateSince = c.now
		}
	}
}

func (c *Core) raiseRevision(r RevisionEvent, hops uint8) bool {
	if r.Revision <= c.revision.Revision {
		return false
	}
	c.revision, c.revisionHops, c.revisionUrgentRounds = r, hops, c.options.UrgentRounds
	return true
}

func (c *Core) leave() {
	if c.selfRank == rankLeaving {
		return
	}
	c.selfRank = rankLeaving
	c.enqueueMember(c.self.Name, c.options.UrgentRounds)
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
