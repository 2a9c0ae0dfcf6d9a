package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Router picks servers. It is not safe for concurrent use. Times are kept as
// offsets from epoch.
type Router struct {
	options  Options
	random   *rand.Rand
	epoch    time.Time
	servers  map[string]*server
	groups   map[string]*group
	attempts map[string]attempt
	leaving  map[string]leavingMark
	prefixes *prefixTable
	// meanPrefillTokens and meanDurationSeconds are moving averages over this
	// daemon's requests.
	meanPrefillTokens   float64
	meanDurationSeconds float64

	// candidates and foundPrefixes are reused by every decision to avoid
	// allocations. foundPrefixes holds the entries of the query's first
	// prefixCount prefixes, nil for an unknown prefix.
	candidates     [MaxCandidates]candidate
	candidateCount int
	foundPrefixes  [MaxPrefixes]*prefixEntry
	prefixCount    int
}

// leavingMark records that an incarnation of a server is leaving. It is kept after
// the server has been removed from the groups, so that an outdated host list
// cannot make the server eligible again.
type leavingMark struct {
	incarnation uint64
	at          time.Duration
}

// leavingMarkRetention is how long a leavingMark is kept. It exceeds any lag of
// the host list.
const leavingMarkRetention = 10 * time.Minute

// attempt is the state of an outstanding attempt.
type attempt struct {
	server    *server
	startedAt time.Duration
	// backlogTokens is the pending prefill of earlier attempts at the start.
	backlogTokens int
	prefillTokens int
	// expectedTokens is the expected prefix hit, not scaled by the server's
	// hitRatio.
	expectedTokens int
	firstToken     bool
	prefixCount    int
	prefixes       [MaxPrefixes]Prefix
}

// NewRouter returns a Router without servers. No event may have a time before
// epoch.
func NewRouter(epoch time.Time, random *rand.Rand, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options: options, random: random, epoch: epoch,
		servers:             make(map[string]*server),
		groups:              make(map[string]*group),
		attempts:            make(map[string]attempt),
		leaving:             make(map[string]leavingMark),
		prefixes:            newPrefixTable(options.MaxTrackedPrefixes, options.CacheHalfLife),
		meanDurationSeconds: options.MeanDuration.Seconds(),
	}
}

// Update sets the groups and the servers that may receive new work. A server
// that is not in any group gets no new work; its outstanding attempts continue.
func (r *Router) Update(now time.Time, groups []Group) {
	for _, s := range r.servers {
		s.listed = false
	}
	for _, g := range groups {
		for i := range g.Servers {
			r.upsertServer(&g.Servers[i])
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
	r.rebuildGroupLinks()
	for name, s := range r.servers {
		if !s.listed && s.outstanding == 0 {
			delete(r.servers, name)
		}
	}
	for name, mark := range r.leaving {
		if now.Sub(r.epoch)-mark.at > leavingMarkRetention {
			delete(r.leaving, name)
		}
	}
}

// upsertServer adds or updates a server that is in a group.
func (r *Router) upsertServer(member *Server) {
	s := r.servers[member.Name]
	if s == nil {
		s = &server{
			hitRatio: 1, prefillSecondsPerToken: r.options.PrefillPerToken.Seconds(),
			ringHashes: ringHashes(member.Name), subsetHash: xxhash.Sum64String(r.options.Daemon + "/" + member.Name),
		}
		s.Server = *member
		r.servers[member.Name] = s
	}
	if member.Incarnation < s.Incarnation {
		// An outdated host list must not replace a newer incarnation.
		s.listed = true
		return
	}
	if member.Incarnation > s.Incarnation {
		s.resetState()
	}
	s.Server = *member
	s.maxSequences = float64(max(member.MaxSequences, 0))
	if member.MaxSequences == 0 {
		s.maxSequences = float64(r.options.MaxSequences)
	}
	s.otherZone = member.AvailabilityZone != r.options.AvailabilityZone
	mark, marked := r.leaving[member.Name]
	s.leaving = marked && member.Incarnation <= mark.incarnation
	s.listed = true
}

// updateGroup sets the servers of a group. It rebuilds the ring and the subset only
// if the servers have changed.
func (r *Router) updateGroup(spec *Group) {
	members := make([]*server, 0, len(spec.Servers))
	for i := range spec.Servers {
		if s := r.servers[spec.Servers[i].Name]; s.listed {
			members = append(members, s)
		}
	}
	slices.SortFunc(members, compareNames)
	members = slices.Compact(members)
	g := r.groups[spec.Name]
	if g == nil {
		g = &group{name: spec.Name}
		r.groups[spec.Name] = g
	}
	if !slices.Equal(g.servers, members) {
		g.ring = g.ring.update(diffServers(g.servers, members))
		g.servers = members
		g.subset = r.chooseSubset(members)
	}
	g.minPrice = lowestPrice(members)
}

// chooseSubset returns the servers with the highest subsetHash, which depends on
// this daemon's name. Daemons therefore have different subsets, and each server
// is in about the same number of them.
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

// rebuildGroupLinks recomputes the groups of each server and the sums of each
// group.
func (r *Router) rebuildGroupLinks() {
	for _, s := range r.servers {
		s.groups = s.groups[:0]
	}
	for _, g := range r.groups {
		g.ownLoad, g.otherLoad, g.reportingServers = 0, 0, 0
		for _, s := range g.servers {
			s.groups = append(s.groups, g)
			g.ownLoad += s.outstanding
			if s.hasLoadReport {
				g.otherLoad += s.otherLoad
				g.reportingServers++
			}
		}
	}
}

// NoticeReceived records that a server is leaving, according to a reclaim notice,
// a refusal or a peer's message. The server gets no new work until it restarts
// with a higher incarnation.
func (r *Router) NoticeReceived(now time.Time, name string, incarnation uint64) {
	if mark, ok := r.leaving[name]; !ok || incarnation >= mark.incarnation {
		r.leaving[name] = leavingMark{incarnation: incarnation, at: now.Sub(r.epoch)}
	}
	if s := r.servers[name]; s != nil && incarnation >= s.Incarnation {
		s.leaving = true
	}
}

// LoadReported applies a server's load report, which arrives with a delay. It
// ignores a report that is not newer than the last one.
func (r *Router) LoadReported(now time.Time, name string, load engine.Load) {
	s := r.servers[name]
	measuredAt := load.MeasuredAt.Sub(r.epoch)
	if s == nil || (s.hasLoadReport && measuredAt <= s.measuredAt) {
		return
	}
	s.measuredAt = measuredAt
	total := float64(load.Running + load.Waiting)
	otherLoad := max(total-float64(s.outstandingAt(measuredAt)), 0)
	otherWaiting := float64(load.Waiting)
	if total > 0 {
		otherWaiting *= otherLoad / total
	}
	s.setOtherLoad(otherLoad, otherWaiting)
}

// CacheReported applies a server's cache events, which arrive with a delay and
// with gaps.
func (r *Router) CacheReported(now time.Time, name string, events []engine.CacheEvent) {
	s := r.servers[name]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.Sequence <= s.lastCacheSequence {
			continue
		}
		s.lastCacheSequence = e.Sequence
		if e.Evicted {
			r.prefixes.remove(e.PrefixHash, s)
		} else {
			r.prefixes.add(now.Sub(r.epoch), e.PrefixHash, s, 1)
		}
	}
}

// LastCacheSequence returns the sequence number of the last cache event applied
// for a server.
func (r *Router) LastCacheSequence(name string) uint64 {
	if s := r.servers[name]; s != nil {
		return s.lastCacheSequence
	}
	return 0
}

// Available reports whether a server may receive new work.
func (r *Router) Available(name string) bool {
	s := r.servers[name]
	return s != nil && s.available()
}

// ExpectedLoad returns the expected number of requests on a server, and the mean
// over the servers of its group.
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

// lowestPrice returns the lowest known price of the servers; 0 means unknown.
func lowestPrice(servers []*server) float64 {
	lowest := 0.0
	for _, s := range servers {
		if lowest == 0 || (s.PricePerHour > 0 && s.PricePerHour < lowest) {
			lowest = s.PricePerHour
		}
	}
	return lowest
}
