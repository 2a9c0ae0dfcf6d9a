package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Router picks servers. It is not safe for concurrent use.
type Router struct {
	options  Options
	random   *rand.Rand
	epoch    time.Time
	servers  map[string]*server
	groups   map[string]*group
	attempts map[string]attempt
	leaving  map[string]leavingMark
	prefixes *prefixTable
	// meanPrefill (tokens) and meanDuration (seconds) are moving means over
	// this daemon's requests.
	meanPrefill  float64
	meanDuration float64

	// candidates and found are the scratch space of one decision.
	candidates [MaxCandidates]candidate
	count      int
	found      [MaxPrefixes]*holders
	levels     int
}

// leavingMark remembers that an incarnation of a server is leaving, even after
// the server has left the groups, so that a lagging list cannot bring it back.
type leavingMark struct {
	incarnation uint64
	at          time.Duration
}

// leavingMemory is how long a mark is kept; it exceeds any lag of the host list.
const leavingMemory = 10 * time.Minute

// attempt is one outstanding attempt.
type attempt struct {
	server    *server
	startedAt time.Duration
	backlog   int
	prefill   int
	// expected is the expected hit without the server's cache trust.
	expected   int
	firstToken bool
	levels     int
	prefixes   [MaxPrefixes]Prefix
}

// NewRouter returns a Router without servers. The time of its events must not
// be before epoch.
func NewRouter(epoch time.Time, random *rand.Rand, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options: options, random: random, epoch: epoch,
		servers:      make(map[string]*server),
		groups:       make(map[string]*group),
		attempts:     make(map[string]attempt),
		leaving:      make(map[string]leavingMark),
		prefixes:     newPrefixTable(options.CachedPrefixes, options.CacheHalfLife),
		meanDuration: options.MeanDuration.Seconds(),
	}
}

// Update sets the groups and the servers that may receive new work. A server
// that is no longer named gets no new work; its outstanding attempts go on.
func (r *Router) Update(now time.Time, groups []Group) {
	for _, s := range r.servers {
		s.listed = false
	}
	for _, g := range groups {
		for i := range g.Servers {
			r.listServer(&g.Servers[i])
		}
	}
	for name := range r.groups {
		if !slices.ContainsFunc(groups, func(g Group) bool { return g.Name == name }) {
			delete(r.groups, name)
		}
	}
	for i := range groups {
		r.updateGroup(&groups[i])
	}
	r.relink()
	for name, s := range r.servers {
		if !s.listed && s.outstanding == 0 {
			delete(r.servers, name)
		}
	}
	for name, mark := range r.leaving {
		if now.Sub(r.epoch)-mark.at > leavingMemory {
			delete(r.leaving, name)
		}
	}
}

func (r *Router) listServer(member *Server) {
	s := r.servers[member.Name]
	if s == nil {
		s = &server{
			cacheTrust: 1, prefillPerToken: r.options.PrefillPerToken.Seconds(),
			ringHashes: ringHashes(member.Name), subsetHash: xxhash.Sum64String(r.options.Daemon + "/" + member.Name),
		}
		s.Server = *member
		r.servers[member.Name] = s
	}
	if member.Incarnation < s.Incarnation {
		// A lagging list must not bring an earlier incarnation back.
		s.listed = true
		return
	}
	if member.Incarnation > s.Incarnation {
		s.forget()
	}
	s.Server = *member
	s.sequences = float64(max(member.Sequences, 0))
	if member.Sequences == 0 {
		s.sequences = float64(r.options.Sequences)
	}
	s.otherZone = member.AvailabilityZone != r.options.AvailabilityZone
	mark, marked := r.leaving[member.Name]
	s.leaving = marked && member.Incarnation <= mark.incarnation
	s.listed = true
}

func (r *Router) updateGroup(named *Group) {
	members := make([]*server, 0, len(named.Servers))
	for i := range named.Servers {
		if s := r.servers[named.Servers[i].Name]; s.listed {
			members = append(members, s)
		}
	}
	slices.SortFunc(members, compareNames)
	members = slices.Compact(members)
	g := r.groups[named.Name]
	if g == nil {
		g = &group{name: named.Name}
		r.groups[named.Name] = g
	}
	if !slices.Equal(g.servers, members) {
		g.ring = g.ring.update(difference(g.servers, members))
		g.servers = members
		g.subset = r.chooseSubset(members)
	}
	g.lowest = lowestPrice(members)
}

// chooseSubset returns the servers with the highest hashes together with this
// daemon's name, so that daemons have different subsets of about equal use.
func (r *Router) chooseSubset(members []*server) []*server {
	if len(members) <= r.options.SubsetSize {
		return members
	}
	subset := slices.Clone(members)
	slices.SortFunc(subset, func(a, b *server) int {
		if c := cmp.Compare(b.subsetHash, a.subsetHash); c != 0 {
			return c
		}
		return compareNames(a, b)
	})
	return slices.Clone(subset[:r.options.SubsetSize])
}

// relink rebuilds the links from servers to groups and the groups' sums.
func (r *Router) relink() {
	for _, s := range r.servers {
		s.groups = s.groups[:0]
	}
	for _, g := range r.groups {
		g.own, g.others, g.reporting = 0, 0, 0
		for _, s := range g.servers {
			s.groups = append(s.groups, g)
			g.own += s.outstanding
			if s.reported {
				g.others += s.others
				g.reporting++
			}
		}
	}
}

// NoticeReceived records that a server is leaving, by a reclaim notice, a
// refusal or a peer's message. It gets no new work until it starts again under
// a higher incarnation.
func (r *Router) NoticeReceived(now time.Time, name string, incarnation uint64) {
	if mark, ok := r.leaving[name]; !ok || incarnation >= mark.incarnation {
		r.leaving[name] = leavingMark{incarnation: incarnation, at: now.Sub(r.epoch)}
	}
	if s := r.servers[name]; s != nil && incarnation >= s.Incarnation {
		s.leaving = true
	}
}

// LoadReported takes a server's lagging load report.
func (r *Router) LoadReported(now time.Time, name string, load engine.Load) {
	s := r.servers[name]
	measuredAt := load.MeasuredAt.Sub(r.epoch)
	if s == nil || (s.reported && measuredAt <= s.measuredAt) {
		return
	}
	s.measuredAt = measuredAt
	total := float64(load.Running + load.Waiting)
	others := max(total-float64(s.ownAt(measuredAt)), 0)
	waiting := float64(load.Waiting)
	if total > 0 {
		waiting *= others / total
	}
	s.setOthers(others, waiting)
}

// CacheReported takes a server's cache events, which come late and with gaps.
func (r *Router) CacheReported(now time.Time, name string, events []engine.CacheEvent) {
	s := r.servers[name]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.Sequence <= s.lastSequence {
			continue
		}
		s.lastSequence = e.Sequence
		if e.Evicted {
			r.prefixes.evicted(e.PrefixHash, s)
		} else {
			r.prefixes.stored(now.Sub(r.epoch), e.PrefixHash, s, 1)
		}
	}
}

// LastCacheSequence returns the sequence number of the last cache event taken
// from a server.
func (r *Router) LastCacheSequence(name string) uint64 {
	if s := r.servers[name]; s != nil {
		return s.lastSequence
	}
	return 0
}

// Available says whether a server may receive new work.
func (r *Router) Available(name string) bool {
	s := r.servers[name]
	return s != nil && s.available()
}

// ExpectedLoad returns the expected number of requests on a server, with the
// mean of its group.
func (r *Router) ExpectedLoad(now time.Time, groupName, name string) (load, mean float64, err error) {
	g, s := r.groups[groupName], r.servers[name]
	if g == nil {
		return 0, 0, &UnknownGroupError{Group: groupName}
	}
	if s == nil {
		return 0, 0, &UnknownServerError{Name: name}
	}
	return r.load(g, s, now.Sub(r.epoch)), g.meanLoad(), nil
}

// Outstanding returns the number of this daemon's outstanding attempts on a
// server.
func (r *Router) Outstanding(name string) int {
	if s := r.servers[name]; s != nil {
		return s.outstanding
	}
	return 0
}

func compareNames(a, b *server) int { return cmp.Compare(a.Name, b.Name) }

func lowestPrice(servers []*server) float64 {
	lowest := 0.0
	for _, s := range servers {
		if lowest == 0 || (s.PricePerHour > 0 && s.PricePerHour < lowest) {
			lowest = s.PricePerHour
		}
	}
	return lowest
}
