package measure

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// Recovery selects how a daemon handles a stream whose engine is reclaimed or
// fails.
type Recovery string

const (
	// RecoveryRestart waits until the engine stops and then restarts the request
	// from the beginning on another server. Tokens that were already delivered to
	// the caller are generated again but not delivered again.
	RecoveryRestart Recovery = "restart"
	// RecoveryResume plans one action for each stream when a notice arrives: finish,
	// migrate the KV cache, or resume from the prompt and the emitted tokens. If the
	// engine fails without notice, the stream is resumed.
	RecoveryResume Recovery = "resume"
)

// policy selects servers for the requests of one daemon.
type policy interface {
	update(now time.Time, servers []routing.Server)
	pick(now time.Time, q *routing.Query) (string, error)
	started(now time.Time, attemptID, name string, q *routing.Query)
	firstToken(now time.Time, attemptID string)
	finished(now time.Time, attemptID string, u routing.Usage)
	failed(now time.Time, attemptID string)
	loadReported(now time.Time, name string, load engine.Load)
	cacheReported(now time.Time, name string, events []engine.CacheEvent)
	noticeReceived(now time.Time, name string)
}

// Policy is a named routing policy with its recovery and admission settings.
type Policy struct {
	Name     string
	Recovery Recovery
	// NoticeDelay is the time from a reclaim notice until the daemons stop sending
	// new requests to the host.
	NoticeDelay time.Duration
	// Admission enables the admission core in front of the policy. Without it every
	// request is dispatched immediately.
	Admission bool
	make      func(daemon string, zone string, random *rand.Rand) policy
}

const (
	// hostListLag is the delay until the host list shows that a host is reclaimed.
	// Baselines use only the host list.
	hostListLag = 2 * time.Second
	// noticeDelay is the time until a notice has reached all daemons through their
	// peers.
	noticeDelay = 200 * time.Millisecond
)

// MonsooncrankPolicy is the name of the policy that is compared with the
// baselines.
const MonsooncrankPolicy = "monsooncrank"

// Policies returns the monsooncrank policy, followed by the baselines.
func Policies() []Policy {
	baseline := func(name string, choose chooser) Policy {
		return Policy{Name: name, Recovery: RecoveryRestart, NoticeDelay: hostListLag,
			make: func(_, _ string, random *rand.Rand) policy {
				return &baselinePolicy{choose: choose, random: random, outstanding: make(map[string]int), attempts: make(map[string]string)}
			}}
	}
	return []Policy{
		{Name: MonsooncrankPolicy, Recovery: RecoveryResume, NoticeDelay: noticeDelay, Admission: true, make: newRouterPolicy},
		baseline("round_robin", roundRobin),
		baseline("least_outstanding", leastOutstanding),
		baseline("random_of_two", randomOfTwo),
		baseline("sticky_hash", stickyHash),
	}
}

// chooser selects one of servers, which excludes the servers that the query rules
// out, and returns its name.
type chooser func(p *baselinePolicy, servers []routing.Server, q *routing.Query) string

// baselinePolicy is a policy that uses no reports, only the number of outstanding
// requests of its own daemon. attempts maps attempt IDs to server names.
type baselinePolicy struct {
	choose      chooser
	random      *rand.Rand
	servers     []routing.Server
	outstanding map[string]int
	attempts    map[string]string
	// position counts the choices of roundRobin from a random start.
	position int
}

func (p *baselinePolicy) update(_ time.Time, servers []routing.Server) { p.servers = servers }

func (p *baselinePolicy) pick(_ time.Time, q *routing.Query) (string, error) {
	allowed := make([]routing.Server, 0, len(p.servers))
	for _, s := range p.servers {
		if !slices.Contains(q.ExcludeNames, s.Name) {
			allowed = append(allowed, s)
		}
	}
	if len(allowed) == 0 {
		return "", &routing.NoServerError{Group: q.Group, Known: len(p.servers), Excluded: len(p.servers)}
	}
	return p.choose(p, allowed, q), nil
}

func (p *baselinePolicy) started(_ time.Time, attemptID, name string, _ *routing.Query) {
	p.attempts[attemptID] = name
	p.outstanding[name]++
}

func (p *baselinePolicy) firstToken(time.Time, string) {}

func (p *baselinePolicy) finished(now time.Time, attemptID string, _ routing.Usage) {
	p.failed(now, attemptID)
}

func (p *baselinePolicy) failed(_ time.Time, attemptID string) {
	p.outstanding[p.attempts[attemptID]]--
	delete(p.attempts, attemptID)
}

func (p *baselinePolicy) loadReported(time.Time, string, engine.Load)          {}
func (p *baselinePolicy) cacheReported(time.Time, string, []engine.CacheEvent) {}
func (p *baselinePolicy) noticeReceived(_ time.Time, name string) {
	p.servers = slices.DeleteFunc(slices.Clone(p.servers), func(s routing.Server) bool { return s.Name == name })
}

// roundRobin selects the servers in turn from a random start.
func roundRobin(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	if p.position == 0 {
		p.position = p.random.IntN(len(servers))
	}
	p.position++
	return servers[p.position%len(servers)].Name
}

// leastOutstanding selects the server with the fewest outstanding requests of this
// daemon, and a random one of them if several have the fewest.
func leastOutstanding(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	best, tied := servers[0].Name, 0
	for _, s := range servers {
		switch n := p.outstanding[s.Name]; {
		case n < p.outstanding[best]:
			best, tied = s.Name, 1
		case n == p.outstanding[best]:
			tied++
			if p.random.IntN(tied) == 0 {
				best = s.Name
			}
		}
	}
	return best
}

// randomOfTwo draws two random servers and selects the one with fewer outstanding
// requests of this daemon.
func randomOfTwo(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	a, b := servers[p.random.IntN(len(servers))].Name, servers[p.random.IntN(len(servers))].Name
	if p.outstanding[b] < p.outstanding[a] {
		return b
	}
	return a
}

// stickyHash selects the server by rendezvous hashing, regardless of load: the one
// with the highest hash of its name and the prompt's prefix up to the second
// message.
func stickyHash(_ *baselinePolicy, servers []routing.Server, q *routing.Query) string {
	key := strconv.FormatUint(q.Prefixes[min(stickyPrefixIndex, len(q.Prefixes)-1)].Hash, 16)
	best, highest := "", uint64(0)
	for _, s := range servers {
		if h := xxhash.Sum64String(key + s.Name); best == "" || h > highest {
			best, highest = s.Name, h
		}
	}
	return best
}

// stickyPrefixIndex is the index of the prefix up to the second message.
const stickyPrefixIndex = 1

// routerPolicy is a policy that uses the production router.
type routerPolicy struct{ router *routing.Router }

const groupName = "models"

func newRouterPolicy(daemon, zone string, random *rand.Rand) policy {
	options := routing.Options{Daemon: daemon, AvailabilityZone: zone}
	return &routerPolicy{router: routing.NewRouter(epoch, random, options)}
}

func (p *routerPolicy) update(now time.Time, servers []routing.Server) {
	p.router.Update(now, []routing.Group{{Name: groupName, Servers: servers}})
}

func (p *routerPolicy) pick(now time.Time, q *routing.Query) (string, error) {
	d, err := p.router.Pick(now, q)
	return d.Server.Name, err
}

func (p *routerPolicy) started(now time.Time, attemptID, name string, q *routing.Query) {
	if err := p.router.Started(now, attemptID, name, q); err != nil {
		panic(err)
	}
}
func (p *routerPolicy) firstToken(now time.Time, id string) { p.router.FirstToken(now, id) }
func (p *routerPolicy) finished(now time.Time, id string, u routing.Usage) {
	p.router.Finished(now, id, u)
}
func (p *routerPolicy) failed(now time.Time, id string) { p.router.Failed(now, id) }
func (p *routerPolicy) loadReported(now time.Time, name string, load engine.Load) {
	p.router.LoadReported(now, name, load)
}
func (p *routerPolicy) cacheReported(now time.Time, name string, events []engine.CacheEvent) {
	p.router.CacheReported(now, name, events)
}
func (p *routerPolicy) noticeReceived(now time.Time, name string) {
	p.router.NoticeReceived(now, name, 1)
}
