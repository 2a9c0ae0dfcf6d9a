package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Core holds the membership state of one daemon. It does no I/O and reads no
// clock: the driver passes events to Step and executes the returned actions. It
// is not safe for concurrent use; PoolDirectory is the concurrent wrapper.
type Core struct {
	options Options
	rand    *rand.Rand

	self     Member
	selfRank uint8

	daemons         map[string]*daemon
	peers           []*daemon // alive and suspect daemons, by name
	peersStale      bool      // peers must be rebuilt
	view            []*daemon
	viewRefreshedAt time.Time
	nextTarget      int // index in view; the members before it were targets since the last shuffle
	seeds           []string
	heartbeatCount  int

	pools        map[string]*pool
	allowedZones map[string]bool
	// servers holds the candidates of all pools by name. tombstones holds the
	// BackendServers that have left.
	servers    map[string]*server
	tombstones map[string]tombstone
	dirtyPools map[string]bool
	// pendingReclaims maps each BackendServer whose reclaim was reported without
	// an incarnation to the time of the report.
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
	digestMatchedAt time.Time // when the digest of a peer last matched
	// digestMismatches counts, by peer, the consecutive messages with a different
	// digest.
	digestMismatches map[string]int
	syncing          bool
	syncAfter        string

	lastTick      time.Time
	nextHeartbeat time.Time
	now           time.Time
	actions       []Action
}

// New returns the core of the daemon self. The incarnation of self must be higher
// than in its previous run; the start time in milliseconds is sufficient.
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

// Step handles an event and returns the actions that the driver must execute.
// Several actions can share one message, so the driver must not modify messages.
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

// Revision returns the highest configuration revision that any daemon is known
// to have confirmed.
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

// pauseThresholdIntervals is the number of heartbeat intervals without a tick
// after which this process is considered to have been paused.
const pauseThresholdIntervals = 3

// extendSuspicionsAfterPause restarts the suspicion timeout of all suspect
// daemons after a pause of this process, because their refutations may still be
// unread in the socket buffers.
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

// raiseRevision records a confirmed configuration revision if it is higher than
// the known one, and reports whether it was.
func (c *Core) raiseRevision(r RevisionEvent, hops uint8) bool {
	if r.Revision <= c.revision.Revision {
		return false
	}
	c.revision, c.revisionHops, c.revisionUrgentRounds = r, hops, c.options.UrgentRounds
	return true
}

// leave marks this daemon as leaving and spreads that state urgently.
func (c *Core) leave() {
	if c.selfRank == rankLeaving {
		return
	}
	c.selfRank = rankLeaving
	c.enqueueMember(c.self.Name, c.options.UrgentRounds)
}

// score hashes a name with a salt for rendezvous hashing: each salt gives a
// different order of the names.
func score(salt, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
