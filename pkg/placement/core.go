package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/serverspeed"
)

// Core holds the placement state of one daemon. It is not safe for concurrent
// use.
type Core struct {
	options  Options
	random   *rand.Rand
	services map[string]*service
	servers  map[string]*server
	attempts map[string]*attempt
	// serversByHash holds the servers by their short hash, which stands for the ID in sums.
	serversByHash map[uint32]*server
	peers         map[string]peerReport
	// summary is the load of all daemons as another daemon has summed it.
	summary    summary
	placements placementLog
	// work is the cumulative work sent to each service since the daemon started.
	work map[string]Work
	// speeds holds the speed of each run of an engine.
	speeds *serverspeed.Core
}

type service struct {
	servers []*server
	// kvCapacity (in tokens) and slots describe one engine; kvCapacity is 0 for
	// plain services.
	kvCapacity int
	slots      int
	// prefillRate is in prompt tokens per millisecond of one engine.
	prefillRate float64
	// plainRunTime is the mean run time of plain requests.
	plainRunTime time.Duration
	progress     progress
	// tokenTime is the mean time in which an engine generates a token of one request.
	tokenTime time.Duration
	// serversByPrefix lists the servers that have prefilled a shared part of a
	// prompt, by the hash of the prefix that ends with it.
	serversByPrefix map[uint64][]*server
	mix             *promptMix
}

type server struct {
	fleet.Server
	// idHash is the hash of the ID.
	idHash  uint64
	service *service
	// run is the hash of the run, and speed its speed as of the last decision, as a multiple of
	// the mean speed of the service.
	run   uint32
	speed float64
	// own is the load that this daemon has sent, and others the load that its
	// peers reported.
	own    Load
	others Load
	// failures is the weighted number of recent failures as of failuresAt; it
	// decays with failureHalfLife.
	failures   float64
	failuresAt time.Time
	// slowness is the ratio of the observed to the expected wait as of slownessAt;
	// it decays towards 1 with slownessHalfLife.
	slowness   float64
	slownessAt time.Time
	// misdirected is set when another server answered at the address.
	misdirected bool
	// lastActivityAt is when the server last sent anything.
	lastActivityAt time.Time
	cached         map[uint64]cachedPart
	// insertedTokens counts the tokens that were added to the server's KV cache.
	insertedTokens int
	// summedTokens is the count in the last sum of another daemon, and unsummedTokens
	// what this daemon has added since.
	summedTokens, unsummedTokens int
}

// cachedPart is a prompt part in a server's KV cache.
type cachedPart struct {
	usedAt time.Time
	// insertedTokens is the server's insertedTokens at the last use.
	insertedTokens int
}

type attempt struct {
	server    *server
	load      Load
	startedAt time.Time
	// queuedPrefillTokens is the prefill work, in tokens, that was queued before
	// this attempt when it was sent, together with its own.
	queuedPrefillTokens int
	expectedWait        time.Duration
	firstEventSeen      bool
	firstEventAt        time.Time
	// uncachedTokens and outputTokens are the expected work of this attempt alone.
	uncachedTokens, outputTokens int
	plain                        bool
	query                        startedQuery
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
		services: make(map[string]*service), servers: make(map[string]*server), serversByHash: make(map[uint32]*server), attempts: make(map[string]*attempt), peers: make(map[string]peerReport), work: make(map[string]Work),
		speeds: serverspeed.New(options.Seed)}
}

// SetEngine sets the slots and the KV cache size of each engine of a service.
func (c *Core) SetEngine(name string, slots, kvCapacityTokens int) {
	s := c.service(name)
	s.slots, s.kvCapacity = slots, kvCapacityTokens
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{prefillRate: c.options.PrefillRate, plainRunTime: defaultPlainRunTime, serversByPrefix: make(map[uint64][]*server), mix: newPromptMix(), tokenTime: defaultTokenTime}
		c.services[name] = s
	}
	return s
}

// Handle applies a change of the fleet.
func (c *Core) Handle(e fleet.Event) {
	if e.Change == fleet.ServerJoined {
		c.join(e.Server)
		return
	}
	if s, ok := c.servers[e.Server.ID]; ok && s.StartedUnixMilli == e.Server.StartedUnixMilli && s.Address == e.Server.Address {
		s.service.remove(s)
		delete(c.servers, e.Server.ID)
		delete(c.serversByHash, s.shortHash())
		c.speeds.Leave(s.run)
	}
}

// Accepts reports whether a run of a server accepts requests.
func (c *Core) Accepts(f *fleet.Server) bool {
	s, ok := c.servers[f.ID]
	return ok && !s.misdirected && s.RunID() == f.RunID() && s.Address == f.Address && s.Version == f.Version
}

func (c *Core) join(f fleet.Server) {
	if s, ok := c.servers[f.ID]; ok {
		s.service.remove(s)
		c.speeds.Leave(s.run)
	}
	s := &server{Server: f, idHash: xxhash.Sum64String(f.ID), service: c.service(f.Service), slowness: 1, run: runHash(f.RunID()), speed: 1,
		cached: make(map[uint64]cachedPart)}
	c.speeds.Join(s.run, f.Service, f.AvailabilityZone)
	c.servers[f.ID] = s
	c.serversByHash[s.shortHash()] = s
	s.service.servers = append(s.service.servers, s)
	if !c.summary.active() {
		for _, p := range c.peers {
			s.others.add(p.loads[f.ID])
		}
	}
}

func (s *service) remove(gone *server) {
	for prefix := range gone.cached {
		gone.removePart(prefix)
	}
	s.servers = slices.DeleteFunc(s.servers, func(o *server) bool { return o == gone })
}

// Misdirected records that a server's address now belongs to another server, so
// that the former gets no more requests.
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

// SetPeer stores the load that a peer has sent to each server. While a sum of another
// daemon is in use, it takes effect when that ends.
func (c *Core) SetPeer(now time.Time, peer string, loads map[string]Load, work map[string]Work) {
	old := c.peers[peer].loads
	c.peers[peer] = peerReport{receivedAt: now, loads: loads, work: work}
	if c.summary.active() {
		return
	}
	for id, load := range old {
		if s, ok := c.servers[id]; ok {
			s.others.subtract(load)
		}
	}
	for id, load := range loads {
		if s, ok := c.servers[id]; ok {
			s.others.add(load)
		}
	}
}

// OwnWork returns the cumulative work that this daemon has sent to each service.
func (c *Core) OwnWork() map[string]Work {
	work := make(map[string]Work, len(c.work))
	for name, w := range c.work {
		work[name] = w
	}
	return work
}

// WorkByDaemon returns the cumulative work that each daemon has sent to a
// service. This daemon's own work has the empty name as its key.
func (c *Core) WorkByDaemon(service string) map[string]Work {
	work := map[string]Work{"": c.work[service]}
	for name, p := range c.peers {
		work[name] = p.work[service]
	}
	return work
}

// ExpirePeers drops outdated reports of peers and an outdated sum.
func (c *Core) ExpirePeers(now time.Time) {
	for name, p := range c.peers {
		if now.Sub(p.receivedAt) > peerLoadMaxAge {
			c.SetPeer(now, name, nil, nil)
			delete(c.peers, name)
			c.speeds.Forget(name)
		}
	}
	if c.summary.active() && now.Sub(c.summary.receivedAt) > peerLoadMaxAge {
		c.DropSummary()
	}
}

// Own returns the load that this daemon has sent to each server.
func (c *Core) Own() map[string]Load {
	loads := make(map[string]Load)
	for id, s := range c.servers {
		if s.own != (Load{}) {
			loads[id] = s.own
		}
	}
	return loads
}

// Pick chooses a server for a request. It returns a *RefusedError when no server
// can run the request in time.
func (c *Core) Pick(now time.Time, q *Query) (Decision, error) {
	s, ok := c.services[q.Service]
	if !ok {
		return Decision{}, &RefusedError{Reason: RefusedNoServer, RetryAfter: baseWait}
	}
	var best Decision
	bestScore, candidates := math.Inf(1), 0
	preferred := s.preferred(q)
	for o := range c.inTurn(now, s, preferred, q, &best) {
		candidates++
		c.updateSpeed(now, o)
		expectedWait, cached := o.expectedWait(now, q, o == preferred)
		score := o.score(now, q, expectedWait, cached)
		if score < bestScore {
			bestScore = score
			best = Decision{Server: o.Server, ExpectedWait: expectedWait, CachedTokens: cached, Running: o.totalLoad().Running, Speed: o.speed}
		}
	}
	if candidates == 0 {
		return Decision{}, &RefusedError{Reason: RefusedNoServer, RetryAfter: q.LatencyTarget}
	}
	best.Candidates = candidates
	best.Slowness = c.servers[best.Server.ID].expectedSlowness(now)
	best.LoadAge = c.loadAge(now)
	c.correct(now, q, s, &best)
	if refused := s.admit(now, q, &best); refused != nil {
		return Decision{}, refused
	}
	best.Order = c.order(now, q, &best)
	return best, nil
}

// candidates returns the servers to compare. With many servers or many daemons,
// load reports are older than the time between two requests to a server: if
// every daemon chose the least loaded of all servers, all would choose the same
// one, the more so the fewer are left after a loss. There, each daemon compares
// the servers that have prefilled all shared parts of the prompt, the preferred
// server and a few random ones.
func (c *Core) candidates(s *service, preferred *server, q *Query) []*server {
	if len(s.servers) <= 1 || len(s.servers) <= maxComparedServers && !c.manyDaemons() {
		return c.randomRotation(s.eligibleServers(q))
	}
	list := make([]*server, 0, 2*sampledServers)
	if prefixes := prefixHashes(q.Parts); len(prefixes) > 0 {
		list = append(list, s.serversByPrefix[prefixes[len(prefixes)-1]]...)
	}
	if preferred != nil && !slices.Contains(list, preferred) {
		list = append(list, preferred)
	}
	for range sampledServers {
		if o := s.servers[c.random.IntN(len(s.servers))]; !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	list = slices.DeleteFunc(list, func(o *server) bool { return !o.eligible(q) })
	if len(list) == 0 {
		// No selected candidate is eligible: compare all eligible servers.
		return c.randomRotation(s.eligibleServers(q))
	}
	return list
}

// eligible reports whether a request may be sent to the server.
func (s *server) eligible(q *Query) bool {
	return !s.misdirected && (!q.OnlyVersion || q.Version != "" && q.Version == s.Version) && !slices.Contains(q.DeniedVersions, s.Version) && !slices.Contains(q.Exclude, s.ID) && (q.MayUse == nil || q.MayUse(&s.Server, s.totalLoad().Running))
}

// eligibleServers returns the servers that a request may be sent to.
func (s *service) eligibleServers(q *Query) []*server {
	list := make([]*server, 0, len(s.servers))
	for _, o := range s.servers {
		if o.eligible(q) {
			list = append(list, o)
		}
	}
	return list
}

// randomRotation rotates the list by a random offset, so that daemons which see
// equal scores do not all choose the first server.
func (c *Core) randomRotation(list []*server) []*server {
	if len(list) < 2 {
		return list
	}
	first := c.random.IntN(len(list))
	return append(list[first:len(list):len(list)], list[:first]...)
}

func (c *Core) loadAge(now time.Time) time.Duration {
	if c.summary.active() {
		return now.Sub(c.summary.receivedAt)
	}
	var age time.Duration
	for _, p := range c.peers {
		age = max(age, now.Sub(p.receivedAt))
	}
	return age
}

// RunningAt returns the service of a run of a server and how many requests it is running, as
// far as is known.
func (c *Core) RunningAt(run string) (service string, running int) {
	id, _, _ := strings.Cut(run, "#")
	if s, ok := c.servers[id]; ok && s.RunID() == run {
		return s.Service, s.totalLoad().Running
	}
	return "", 0
}

// RunningElsewhere returns how many requests run at servers of a service with other versions
// than the given one, as far as is known.
func (c *Core) RunningElsewhere(name, version string) int {
	s, ok := c.services[name]
	if !ok {
		return 0
	}
	running := 0
	for _, o := range s.servers {
		if o.Version != version {
			running += o.totalLoad().Running
		}
	}
	return running
}

// Summary is the load and the size of a service, for scaling.
type Summary struct {
	// Load is summed over all servers and all daemons.
	Load
	Servers int
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// PrefillRate is in prompt tokens per millisecond of one engine.
	PrefillRate float64
}

// Summarize returns the load and the size of a service.
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
