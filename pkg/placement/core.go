package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Core is the placement of one daemon. It is not safe for concurrent use.
type Core struct {
	options  Options
	services map[string]*service
	servers  map[string]*server
	attempts map[string]*attempt
	peers    map[string]peerLoad
	placed   placements
	// work is what this daemon has given to each service since its start.
	work map[string]Work
}

type service struct {
	servers []*server
	// memory and slots are those of one engine; memory is 0 for plain services.
	memory int
	slots  int
	// prefillRate is in tokens per millisecond.
	prefillRate float64
	// work is the mean run time of plain requests.
	work time.Duration
}

type server struct {
	fleet.Server
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
	unusable bool
	// aliveAt is when the server last sent anything.
	aliveAt time.Time
	cached  map[uint64]cachedPart
	// inserted counts the tokens that were read into the server's memory.
	inserted int
}

// cachedPart is a part of a prompt in a server's memory.
type cachedPart struct {
	at time.Time
	// inserted is the server's count at the last use.
	inserted int
}

type attempt struct {
	server    *server
	load      Load
	startedAt time.Time
	// ahead is the prefill work before and of this attempt when it was sent.
	ahead    int
	expected time.Duration
	first    bool
	plain    bool
}

type peerLoad struct {
	at    time.Time
	loads map[string]Load
	work  map[string]Work
}

// NewCore returns a Core without servers.
func NewCore(options Options) *Core {
	if options.PrefillRate == 0 {
		options.PrefillRate = defaultPrefillRate
	}
	return &Core{options: options, services: make(map[string]*service), servers: make(map[string]*server),
		attempts: make(map[string]*attempt), peers: make(map[string]peerLoad), work: make(map[string]Work)}
}

// SetEngine states the size of the engines of a service.
func (c *Core) SetEngine(name string, slots, memoryTokens int) {
	s := c.service(name)
	s.slots, s.memory = slots, memoryTokens
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{prefillRate: c.options.PrefillRate, work: plainWork}
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
	s := &server{Server: f, service: c.service(f.Service), slowness: 1, cached: make(map[uint64]cachedPart)}
	c.servers[f.ID] = s
	s.service.servers = append(s.service.servers, s)
	c.sumPeers()
}

func (s *service) remove(gone *server) {
	for i, o := range s.servers {
		if o == gone {
			s.servers = append(s.servers[:i], s.servers[i+1:]...)
			return
		}
	}
}

// Misdirected says that the address of a server belongs to another one now.
func (c *Core) Misdirected(id string) {
	if s, ok := c.servers[id]; ok {
		s.unusable = true
	}
}

// Alive records that a server sent something.
func (c *Core) Alive(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.aliveAt = now
	}
}

// SilentFor returns how long a server has sent nothing to this daemon.
func (c *Core) SilentFor(now time.Time, id string) time.Duration {
	s, ok := c.servers[id]
	if !ok {
		return math.MaxInt64
	}
	return now.Sub(s.aliveAt)
}

// SetPeer takes the load that a peer has given to servers; PeersChanged makes it
// count.
func (c *Core) SetPeer(now time.Time, peer string, loads map[string]Load, work map[string]Work) {
	c.peers[peer] = peerLoad{at: now, loads: loads, work: work}
}

// OwnWork returns what this daemon has given to each service since its start.
func (c *Core) OwnWork() map[string]Work {
	work := make(map[string]Work, len(c.work))
	for name, w := range c.work {
		work[name] = w
	}
	return work
}

// WorkOf returns what each daemon has given to a service since its start; the
// own share stands under the empty name.
func (c *Core) WorkOf(service string) map[string]Work {
	work := map[string]Work{"": c.work[service]}
	for name, p := range c.peers {
		work[name] = p.work[service]
	}
	return work
}

// PeersChanged takes the loads set since the last call into account.
func (c *Core) PeersChanged(now time.Time) {
	c.expirePeers(now)
	c.sumPeers()
}

func (c *Core) expirePeers(now time.Time) {
	for name, p := range c.peers {
		if now.Sub(p.at) > peerLoadMaxAge {
			delete(c.peers, name)
		}
	}
}

func (c *Core) sumPeers() {
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
	for _, o := range s.servers {
		if o.unusable || excluded(q.Exclude, o.ID) {
			continue
		}
		candidates++
		wait, cached := o.wait(now, q, o == home)
		score := float64(wait) + o.penalty(now, q) + reread(q, cached, s.prefillRate)
		if score < bestScore {
			bestScore = score
			best = Decision{Server: o.Server, Wait: wait, Cached: cached}
		}
	}
	if candidates == 0 {
		return Decision{}, &RefusedError{Reason: RefusedNoServer, RetryAfter: q.Target}
	}
	best.Candidates = candidates
	best.LoadAge = c.loadAge(now)
	if refused := s.admit(now, q, &best); refused != nil {
		return Decision{}, refused
	}
	return best, nil
}

// reread is the extra cost of reading tokens that another server holds.
func reread(q *Query, cached int, rate float64) float64 {
	if q.PromptTokens == 0 {
		return 0
	}
	return (rereadWeight - 1) * float64(q.PromptTokens-cached) / rate * float64(time.Millisecond)
}

func (c *Core) loadAge(now time.Time) time.Duration {
	var age time.Duration
	for _, p := range c.peers {
		age = max(age, now.Sub(p.at))
	}
	return age
}

func excluded(ids []string, id string) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

// home returns the server to which all daemons send a shared prompt part
// without telling one another: the one with the highest hash of both names.
func (s *service) home(parts []Part) *server {
	key := affinityKey(parts)
	if key == "" {
		return nil
	}
	var best *server
	var highest uint64
	for _, o := range s.servers {
		if o.unusable {
			continue
		}
		if h := xxhash.Sum64String(key + "\x00" + o.ID); best == nil || h > highest {
			best, highest = o, h
		}
	}
	return best
}

// affinityKey names the longest run of parts that other requests share: all but
// the last part.
func affinityKey(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// hit returns how many tokens of the prompt are expected in memory.
func (s *server) hit(now time.Time, parts []Part, home bool) int {
	tokens := 0
	var chain uint64
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		chain = chainHash(chain, p.ID)
		part, used := s.cached[chain]
		if used && !s.kept(now, part) || !used && !home {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// kept reports whether a part is still in memory: the least recently used parts
// yield to what is read.
func (s *server) kept(now time.Time, p cachedPart) bool {
	return now.Sub(p.at) < cacheMemory && float64(s.inserted-p.inserted) < cacheShare*float64(s.service.memory)
}

// chainHash names a part together with all parts before it.
func chainHash(before uint64, id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(before)
	// A hash takes any string.
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

func (s *server) total() Load {
	l := s.own
	l.add(s.others)
	return l
}

// wait returns the expected time to the first part of the answer.
func (s *server) wait(now time.Time, q *Query, home bool) (time.Duration, int) {
	load := s.total()
	if s.service.memory == 0 {
		return s.plainWait(now, load, q), 0
	}
	cached := s.hit(now, q.Parts, home)
	tokens := load.Prefill + q.PromptTokens - cached
	ms := float64(tokens) / s.service.prefillRate
	ms += s.memoryWait(load, q.PromptTokens-cached+q.OutputTokens)
	wait := time.Duration(ms*s.slow(now)*float64(time.Millisecond)) + baseWait
	if s.AvailabilityZone != q.Zone {
		wait += zoneWait
	}
	return wait, cached
}

// memoryWait is the expected wait in milliseconds for running requests to end
// when slots or memory are taken.
func (s *server) memoryWait(load Load, need int) float64 {
	over := math.Max(float64(load.Running+1)/float64(max(s.slots(), 1)),
		float64(load.Memory+need)/(memoryLimit*float64(s.service.memory)))
	if over <= 1 {
		return 0
	}
	return (over - 1) * fullWaitMs
}

// fullWaitMs is the wait for as many requests to end as an engine runs.
const fullWaitMs = 2000.0

func (s *server) slots() int {
	if s.service.slots > 0 {
		return s.service.slots
	}
	return s.Slots
}

func (s *server) plainWait(now time.Time, load Load, q *Query) time.Duration {
	queued := max(load.Running+1-s.Slots, 0)
	wait := time.Duration(float64(s.service.work) * (1 + float64(queued)/float64(s.Slots)) * s.slow(now))
	// Among servers with free slots the least loaded one goes first.
	wait += time.Duration(load.Running) * time.Millisecond
	if s.AvailabilityZone != q.Zone {
		wait += zoneWait
	}
	return wait
}

func (s *server) slow(now time.Time) float64 {
	return 1 + (s.slowness-1)*decay(now.Sub(s.slownessAt), slownessHalfLife)
}

func (s *server) penalty(now time.Time, q *Query) float64 {
	return s.failures * decay(now.Sub(s.failuresAt), failureHalfLife) * failurePenalty * float64(q.Target)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// admit refuses a request that would not be answered in time.
func (s *service) admit(now time.Time, q *Query, best *Decision) error {
	if s.memory == 0 {
		if best.Wait > time.Duration(plainQueue*float64(s.work))+q.Target && now.Add(best.Wait).After(q.Deadline) {
			return &RefusedError{Reason: RefusedOverloaded, Wait: best.Wait, RetryAfter: best.Wait / 2}
		}
		return nil
	}
	left := q.Deadline.Sub(now)
	if best.Wait > time.Duration(float64(left)*latestStart) {
		return &RefusedError{Reason: RefusedOverloaded, Wait: best.Wait, RetryAfter: max(best.Wait-q.Target, q.Target/2)}
	}
	return nil
}

// latestStart is the part of the remaining time by which a stream has to start
// to be whole before its deadline.
const latestStart = 0.6

// Started records that a request was sent to a server.
func (c *Core) Started(now time.Time, id string, d *Decision, q *Query) {
	s, ok := c.servers[d.Server.ID]
	if !ok {
		return
	}
	a := &attempt{server: s, startedAt: now, expected: d.Wait, plain: s.service.memory == 0}
	a.load.Running = 1
	if !a.plain {
		uncached := q.PromptTokens - d.Cached
		a.load.Prefill = uncached
		a.load.Memory = uncached + q.OutputTokens
		a.ahead = s.total().Prefill + uncached
		shared := chains(q.Parts)
		s.remember(now, shared, uncached)
		w := c.work[q.Service]
		w.Requests++
		w.Prefill += uncached
		c.work[q.Service] = w
		c.placed.add(Placed{Server: s.ID, Chains: shared, Uncached: uncached}, now)
	}
	s.own.add(a.load)
	c.attempts[id] = a
}

// remember notes the parts that a server has read for a request.
func (s *server) remember(now time.Time, chains []uint64, uncached int) {
	s.inserted += uncached
	for _, chain := range chains {
		s.cached[chain] = cachedPart{at: now, inserted: s.inserted}
	}
	if len(s.cached) > maxCachedParts {
		for chain, p := range s.cached {
			if !s.kept(now, p) {
				delete(s.cached, chain)
			}
		}
	}
}

// chains names the shared parts of a prompt.
func chains(parts []Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	names := make([]uint64, 0, len(parts)-1)
	var chain uint64
	for _, p := range parts[:len(parts)-1] {
		chain = chainHash(chain, p.ID)
		names = append(names, chain)
	}
	return names
}

// maxCachedParts bounds the memory for the parts of one server.
const maxCachedParts = 4000

// FirstEvent records that the first part of an answer has come.
func (c *Core) FirstEvent(now time.Time, id string) {
	a, ok := c.attempts[id]
	if !ok || a.first {
		return
	}
	a.first = true
	a.server.own.Prefill -= a.load.Prefill
	a.load.Prefill = 0
	a.server.learn(now, a, now.Sub(a.startedAt))
}

// learn updates the speed of the service and the slowness of the server.
func (s *server) learn(now time.Time, a *attempt, took time.Duration) {
	ratio := float64(took) / float64(max(a.expected, time.Millisecond))
	ratio = math.Min(math.Max(ratio, 0.5), maxSlowness)
	s.slowness = 1 + (s.slow(now)-1)*(1-slownessWeight) + (ratio-1)*slownessWeight
	s.slownessAt = now
	if a.plain {
		s.service.work += time.Duration(rateWeight * float64(took-s.service.work))
		return
	}
	if a.ahead < minSampleTokens {
		return
	}
	rate := float64(a.ahead) / math.Max(float64(took-baseWait)/float64(time.Millisecond), 1)
	rate = math.Min(math.Max(rate, minPrefillRate), maxPrefillRate)
	s.service.prefillRate += rateWeight * (rate - s.service.prefillRate)
}

const (
	// slownessWeight is the weight of one answer in a server's slowness.
	slownessWeight = 0.3
	// maxSlowness bounds what a single answer can say about a server.
	maxSlowness = 12.0
)

// Finished records the end of an attempt.
func (c *Core) Finished(now time.Time, id string, result Result) {
	a, ok := c.attempts[id]
	if !ok {
		return
	}
	delete(c.attempts, id)
	s := a.server
	s.own.Running -= a.load.Running
	s.own.Prefill -= a.load.Prefill
	s.own.Memory -= a.load.Memory
	failures := s.failures * decay(now.Sub(s.failuresAt), failureHalfLife)
	switch result {
	case ResultAnswered:
		if a.plain {
			s.learn(now, a, now.Sub(a.startedAt))
		}
		failures *= answeredRelief
	case ResultRefused:
		failures += refusalWeight
	case ResultFailed:
		failures++
	case ResultAbandoned:
	}
	s.failures, s.failuresAt = failures, now
}

const (
	// answeredRelief is what remains of a server's failures after an answer.
	answeredRelief = 0.8
	// refusalWeight is the weight of a refusal against a failure: a full
	// server says so quickly and nothing was lost.
	refusalWeight = 0.5
)

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
		summary.add(o.total())
	}
	return summary
}
