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

// Recovery says what a daemon does with a stream whose engine leaves or dies.
type Recovery string

const (
	// RecoveryRestart waits until the engine dies and sends the request again
	// from scratch to another server. Tokens that the caller already has are
	// generated again and not delivered again.
	RecoveryRestart Recovery = "restart"
	// RecoveryResume plans for each stream on a notice: finish, migrate the
	// KV cache, or resume from the prompt and the emitted tokens; on a death
	// without notice it resumes.
	RecoveryResume Recovery = "resume"
)

// policy is one daemon's choice of servers.
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

// Policy names a policy with its recovery.
type Policy struct {
	Name     string
	Recovery Recovery
	// NoticeDelay is how long after a notice the daemons stop sending work.
	NoticeDelay time.Duration
	// Admission puts the admission core before the policy; without it every
	// request is accepted.
	Admission bool
	make      func(daemon string, zone string, random *rand.Rand) policy
}

const (
	// hostListLag is how late the host list shows a leaving host; baselines
	// learn of it from there.
	hostListLag = 2 * time.Second
	// noticeDelay is how long a notice takes to all daemons through peers.
	noticeDelay = 200 * time.Millisecond
)

// MonsooncrankPolicy is the name of the policy that is compared.
const MonsooncrankPolicy = "monsooncrank"

// Policies returns monsooncrank and the baselines.
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

// chooser picks among servers that may be picked.
type chooser func(p *baselinePolicy, servers []routing.Server, q *routing.Query) string

// baselinePolicy knows its daemon's own outstanding requests.
type baselinePolicy struct {
	choose      chooser
	random      *rand.Rand
	servers     []routing.Server
	outstanding map[string]int
	attempts    map[string]string
	// turn is the position of round robin.
	turn int
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

// roundRobin takes the servers in turn from a random start.
func roundRobin(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	if p.turn == 0 {
		p.turn = p.random.IntN(len(servers))
	}
	p.turn++
	return servers[p.turn%len(servers)].Name
}

// leastOutstanding takes the server with the fewest own requests, at random
// among equals.
func leastOutstanding(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	best, equals := servers[0].Name, 0
	for _, s := range servers {
		switch n := p.outstanding[s.Name]; {
		case n < p.outstanding[best]:
			best, equals = s.Name, 1
		case n == p.outstanding[best]:
			equals++
			if p.random.IntN(equals) == 0 {
				best = s.Name
			}
		}
	}
	return best
}

// randomOfTwo takes the one with fewer own requests of two random servers.
func randomOfTwo(p *baselinePolicy, servers []routing.Server, _ *routing.Query) string {
	a, b := servers[p.random.IntN(len(servers))].Name, servers[p.random.IntN(len(servers))].Name
	if p.outstanding[b] < p.outstanding[a] {
		return b
	}
	return a
}

// stickyHash takes the server with the highest hash together with the prompt's
// prefix up to the second message (rendezvous hashing), whatever its load.
func stickyHash(_ *baselinePolicy, servers []routing.Server, q *routing.Query) string {
	key := strconv.FormatUint(q.Prefixes[min(stickyLevel, len(q.Prefixes)-1)].Hash, 16)
	best, highest := "", uint64(0)
	for _, s := range servers {
		if h := xxhash.Sum64String(key + s.Name); best == "" || h > highest {
			best, highest = s.Name, h
		}
	}
	return best
}

const stickyLevel = 1

// routerPolicy is monsooncrank's routing core.
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
