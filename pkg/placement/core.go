package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Core is the placement of one daemon. It is not safe for concurrent use.
type Core struct {
	options    Options
	random     *rand.Rand
	services   map[string]*service
	servers    map[string]*server
	attempts   map[string]*attempt
	peers      map[string]peerReport
	placements placementLog
	// work is what this daemon has given to each service since its start.
	work map[string]Work
}

type service struct {
	servers []*server
	// memory and slots are those of one engine; memory is 0 for plain services.
	kvCapacity int
	slots      int
	// prefillRate is in tokens per millisecond.
	prefillRate float64
	// work is the mean run time of plain requests.
	plainRunTime time.Duration
	// keepers are the servers that have read a shared prompt part, by its chain.
	serversByPrefix map[uint64][]*server
}

type server struct {
	fleet.Server
	// hash is that of the ID.
	idHash  uint64
	service *service
	own     Load
	others  Load
	// failures decays with failureHalfLife.
	failures   float64
	failuresAt time.Time
	// slowness is the observed wait in relation to the expected one.
	slowness   float64
	slownessAt time.Time
	// unusable is set when the address answered for another server.
	misdirected bool
	// lastActivityAt is when the server last sent anything.
	lastActivityAt time.Time
	cached         map[uint64]cachedPart
	// inserted counts the tokens that were read into the server's memory.
	insertedTokens int
}

// cachedPart is a part of a prompt in a server's memory.
type cachedPart struct {
	usedAt time.Time
	// inserted is the server's count at the last use.
	insertedTokens int
}

type attempt struct {
	server    *server
	load      Load
	startedAt time.Time
	// ahead is the prefill work before and of this attempt when it was sent.
	queuedPrefillTokens int
	expectedWait        time.Duration
	firstEventSeen      bool
	plain               bool
}

type peerReport struct {
	receivedAt time.Time
	loads      map[string]Load
	work       map[string]Work
}

// NewCore returns a Core without servers.
func NewCore(options Options) *Core {
	if options.PrefillRate == 0 {
		options.PrefillRate = defaultPrefillRate
	}
	return &Core{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)),
		services: make(map[string]*service), servers: make(map[string]*server), attempts: make(map[string]*attempt), peers: make(map[string]peerReport), work: make(map[string]Work)}
}

// SetEngine states the size of the engines of a service.
func (c *Core) SetEngine(name string, slots, kvCapacityTokens int) {
	s := c.service(name)
	s.slots, s.kvCapacity = slots, kvCapacityTokens
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{prefillRate: c.options.PrefillRate, plainRunTime: defaultPlainRunTime, serversByPrefix: make(map[uint64][]*server)}
		c.services[name] = s
	}
	return s
}

// Handle follows a change of the fleet.
func (c *Core) Handle(e fleet.Event) {
	if e.Change == fleet.Joined {
		c.join(e.Server)
		return
	}
	if s, ok := c.servers[e.Server.ID]; ok && s.StartedUnixMilli == e.Server.StartedUnixMilli && s.Address == e.Server.Address {
		s.service.remove(s)
		delete(c.servers, e.Server.ID)
	}
}

func (c *Core) join(f fleet.Server) {
	if s, ok := c.servers[f.ID]; ok {
		s.service.remove(s)
	}
	s := &server{Server: f, idHash: xxhash.Sum64String(f.ID), service: c.service(f.Service), slowness: 1,
		cached: make(map[uint64]cachedPart)}
	c.servers[f.ID] = s
	s.service.servers = append(s.service.servers, s)
	c.sumPeerLoads()
}

func (s *service) remove(gone *server) {
	for prefix := range gone.cached {
		gone.removePart(prefix)
	}
	s.servers = slices.DeleteFunc(s.servers, func(o *server) bool { return o == gone })
}

// Misdirected says that the address of a server belongs to another one now.
func (c *Core) Misdirected(id string) {
	if s, ok := c.servers[id]; ok {
		s.misdirected = true
	}
}

// Alive records that a server sent something.
func (c *Core) Alive(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.lastActivityAt = now
	}
}

// SilentFor returns how long a server has sent nothing to this daemon.
func (c *Core) SilentFor(now time.Time, id string) time.Duration {
	s, ok := c.servers[id]
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(s.lastActivityAt)
}

// SetPeer takes the load that a peer has given to servers; ApplyPeerLoads makes it
// count.
func (c *Core) SetPeer(now time.Time, peer string, loads map[string]Load, work map[string]Work) {
	c.peers[peer] = peerReport{receivedAt: now, loads: loads, work: work}
}

// OwnWork returns what this daemon has given to each service since its start.
func (c *Core) OwnWork() map[string]Work {
	work := make(map[string]Work, len(c.work))
	for name, w := range c.work {
		work[name] = w
	}
	return work
}

// WorkByDaemon returns what each daemon has given to a service since its start; the
// own share stands under the empty name.
func (c *Core) WorkByDaemon(service string) map[string]Work {
	work := map[string]Work{"": c.work[service]}
	for name, p := range c.peers {
		work[name] = p.work[service]
	}
	return work
}

// ApplyPeerLoads takes the loads set since the last call into account.
func (c *Core) ApplyPeerLoads(now time.Time) {
	c.expirePeers(now)
	c.sumPeerLoads()
}

func (c *Core) expirePeers(now time.Time) {
	for name, p := range c.peers {
		if now.Sub(p.receivedAt) > peerLoadMaxAge {
			delete(c.peers, name)
		}
	}
}

func (c *Core) sumPeerLoads() {
	for _, s := range c.servers {
		s.others = Load{}
	}
	for _, p := range c.peers {
		for id, load := range p.loads {
			if s, ok := c.servers[id]; ok {
				s.others.add(load)
			}
		}
	}
}

// Own returns the load that this daemon has given to each server.
func (c *Core) Own() map[string]Load {
	loads := make(map[string]Load)
	for id, s := range c.servers {
		if s.own != (Load{}) {
			loads[id] = s.own
		}
	}
	return loads
}

// Pick chooses a server for a request.
func (c *Core) Pick(now time.Time, q *Query) (Decision, error) {
	s, ok := c.services[q.Service]
	if !ok {
		return Decision{}, &RefusedError{Reason: RefusedNoServer, RetryAfter: baseWait}
	}
	var best Decision
	bestScore, candidates := math.Inf(1), 0
	home := s.home(q.Parts)
	for _, o := range c.candidates(s, home, q) {
		candidates++
		expectedWait, cached := o.expectedWait(now, q, o == home)
		score := float64(expectedWait) + o.penalty(now, q) + recomputeCost(q, cached, s.prefillRate)
		if score < bestScore {
			bestScore = score
			best = Decision{Server: o.Server, ExpectedWait: expectedWait, CachedTokens: cached}
		}
	}
	if candidates == 0 {
		return Decision{}, &RefusedError{Reason: RefusedNoServer, RetryAfter: q.LatencyTarget}
	}
	best.Candidates = candidates
	best.LoadAge = c.loadAge(now)
	if refused := s.admit(now, q, &best); refused != nil {
		return Decision{}, refused
	}
	return best, nil
}

// candidates returns the servers to compare. Where there are many, so are the
// daemons, and the load that they state is older than the time in which a server
// gets its next requests: if all daemons took the least loaded of all servers,
// they would meet there. Each compares those that have read all shared parts of
// the prompt and a few at random.
func (c *Core) candidates(s *service, home *server, q *Query) []*server {
	if len(s.servers) <= maxComparedServers {
		return c.randomRotation(s.eligibleServers(q))
	}
	list := make([]*server, 0, 2*sampledServers)
	if prefixes := prefixHashes(q.Parts); len(prefixes) > 0 {
		list = append(list, s.serversByPrefix[prefixes[len(prefixes)-1]]...)
	}
	if home != nil && !slices.Contains(list, home) {
		list = append(list, home)
	}
	for range sampledServers {
		if o := s.servers[c.random.IntN(len(s.servers))]; !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	list = slices.DeleteFunc(list, func(o *server) bool { return !o.eligible(q) })
	if len(list) == 0 {
		// Nearly all servers are excluded.
		return c.randomRotation(s.eligibleServers(q))
	}
	return list
}

// takes reports whether a request may go to the server.
func (s *server) eligible(q *Query) bool { return !s.misdirected && !slices.Contains(q.Exclude, s.ID) }

// usable returns the servers that a request may go to.
func (s *service) eligibleServers(q *Query) []*server {
	list := make([]*server, 0, len(s.servers))
	for _, o := range s.servers {
		if o.eligible(q) {
			list = append(list, o)
		}
	}
	return list
}

// rotated begins the list anywhere: daemons that know of nothing else must not
// all take the first of equals.
func (c *Core) randomRotation(list []*server) []*server {
	if len(list) < 2 {
		return list
	}
	first := c.random.IntN(len(list))
	return append(list[first:len(list):len(list)], list[:first]...)
}

func (c *Core) loadAge(now time.Time) time.Duration {
	var age time.Duration
	for _, p := range c.peers {
		age = max(age, now.Sub(p.receivedAt))
	}
	return age
}

// Summary describes a service for scaling.
type Summary struct {
	// Running and Prefill are summed over all daemons.
	Load
	Servers int
	// Slots is how many requests one engine runs at once.
	Slots int
	// PrefillRate is in tokens per millisecond of one engine.
	PrefillRate float64
}

// Summarize returns the load of a service.
func (c *Core) Summarize(name string) Summary {
	s, ok := c.services[name]
	if !ok {
		return Summary{}
	}
	summary := Summary{Servers: len(s.servers), Slots: s.slots, PrefillRate: s.prefillRate}
	for _, o := range s.servers {
		summary.add(o.totalLoad())
	}
	return summary
}
