package routing

import (
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

const (
	// maxSampledServers bounds Options.Choices, so that holders and the owner of
	// the prefix also find room among the candidates.
	maxSampledServers = 4
	// isolatedSampleCount is how many servers are compared for an isolated
	// request.
	isolatedSampleCount = MaxCandidates
	// isolatedLoadMargin is by how many requests the load of the server of an
	// isolated request may exceed the least one: less than one request, which
	// is what a server has to lose more.
	isolatedLoadMargin = 1.0
	// maxSampleProbes is how many servers a sample passes that may not be picked
	// or were drawn before.
	maxSampleProbes = 8
	// maxOwnerProbes is how many points of the ring are passed to find an owner
	// within the load bound.
	maxOwnerProbes = 16
)

type candidate struct {
	server    *server
	reason    Reason
	load      float64
	hitTokens float64
	score     float64
}

// Pick chooses a server. It records nothing; the caller reports Started when it
// has sent the request.
func (r *Router) Pick(now time.Time, q *Query) (Decision, error) {
	g := r.groups[q.Group]
	if g == nil {
		return Decision{}, &UnknownGroupError{Group: q.Group}
	}
	at := now.Sub(r.epoch)
	r.candidateCount = 0
	r.lookUpPrefixes(q)
	if q.Isolated {
		r.addSamples(g, q, at, isolatedSampleCount, ReasonIsolated)
	} else {
		r.addHolders(g, q, at)
		r.addOwner(g, q, at)
		r.addSamples(g, q, at, r.sampleCount(), ReasonLoad)
	}
	if r.candidateCount == 0 && !r.addByScan(g, q, at) {
		return Decision{}, newNoServerError(g, q)
	}
	return r.chooseBest(g, q, at), nil
}

// lookUpPrefixes finds what is known about the prefixes of the query.
func (r *Router) lookUpPrefixes(q *Query) {
	r.prefixCount = min(len(q.Prefixes), MaxPrefixes)
	for i := range r.prefixCount {
		r.foundPrefixes[i] = r.prefixes.find(q.Prefixes[i].Hash)
	}
}

// sampled returns how many servers are sampled besides the candidates found by
// their prefix: each of those takes the place of one sample.
func (r *Router) sampleCount() int { return max(r.options.SampledServers-r.candidateCount, 0) }

func (r *Router) chooseBest(g *group, q *Query, at time.Duration) Decision {
	bestIndex := 0
	d := Decision{candidateCount: r.candidateCount}
	for i := range r.candidates[:r.candidateCount] {
		c := &r.candidates[i]
		if q.Isolated {
			c.score = c.load
		} else {
			c.hitTokens = r.expectedHit(q, c.server, at)
			c.score = r.score(g, q, c, at)
		}
		d.alternatives[i] = decision.Alternative{Name: c.server.Name, Score: c.score}
		if c.score < r.candidates[bestIndex].score {
			bestIndex = i
		}
	}
	if q.Isolated {
		bestIndex = r.chooseIsolated(r.candidates[bestIndex].load)
	}
	chosen := &r.candidates[bestIndex]
	d.Server, d.Reason, d.ExpectedCachedTokens = chosen.server.BackendServer, chosen.reason, int(chosen.hitTokens)
	return d
}

// isolate returns one of the candidates with nearly the least load, at random.
// All daemons see the same reports: if each took the very least loaded server,
// the suspects of one crash would meet there, and the one that crashes servers
// would get the others blamed.
func (r *Router) chooseIsolated(leastLoad float64) int {
	chosen, eligible := 0, 0
	for i := range r.candidates[:r.candidateCount] {
		if r.candidates[i].load >= leastLoad+isolatedLoadMargin {
			continue
		}
		eligible++
		if r.random.IntN(eligible) == 0 {
			chosen = i
		}
	}
	return chosen
}

// addHolders adds the likely holders of the longest known prefix.
func (r *Router) addHolders(g *group, q *Query, at time.Duration) {
	for i := r.prefixCount - 1; i >= 0; i-- {
		entry := r.foundPrefixes[i]
		if entry == nil {
			continue
		}
		before := r.candidateCount
		for j := range entry.holders {
			h := &entry.holders[j]
			if h.valid() && r.addCandidate(g, q, h.server, at, ReasonPrefix) {
				r.dropIfOverLoadBound(g)
			}
		}
		if r.candidateCount > before {
			return
		}
	}
}

// addOwner adds the owner of the prompt's affinity key on the ring, or the next
// server on the ring that is within the load bound.
func (r *Router) addOwner(g *group, q *Query, at time.Duration) {
	if len(q.Prefixes) == 0 || len(g.ring.points) == 0 {
		return
	}
	start := g.ring.search(affinityKey(q))
	for i := range min(maxOwnerProbes, len(g.ring.points)) {
		s := g.ring.at(start + i)
		if r.isCandidate(s) || (r.addCandidate(g, q, s, at, ReasonOwner) && !r.dropIfOverLoadBound(g)) {
			return
		}
	}
}

// dropIfOverLoadBound takes the last candidate back if one more request would take
// its server's load beyond LoadBound times the mean load of the group.
func (r *Router) dropIfOverLoadBound(g *group) bool {
	if r.withinLoadBound(g, r.candidates[r.candidateCount-1].load) {
		return false
	}
	r.candidateCount--
	return true
}

// affinityKey returns the hash that places a conversation on the ring: the
// prefix up to its second message, which tells conversations apart whose system
// prompt is the same.
func affinityKey(q *Query) uint64 {
	return q.Prefixes[min(affinityLevel, len(q.Prefixes)-1)].Hash
}

const affinityLevel = 1

// addSamples adds up to n servers drawn from this daemon's subset.
func (r *Router) addSamples(g *group, q *Query, at time.Duration, n int, reason Reason) {
	if len(g.subset) == 0 {
		return
	}
	for range min(n, len(g.subset)) {
		start := r.random.IntN(len(g.subset))
		for i := range min(maxSampleProbes, len(g.subset)) {
			if r.addCandidate(g, q, g.subset[(start+i)%len(g.subset)], at, reason) {
				break
			}
		}
	}
}

// addByScan adds the first server that may be picked. It is used when samples
// found none, as when most of the group is leaving.
func (r *Router) addByScan(g *group, q *Query, at time.Duration) bool {
	if len(g.servers) == 0 {
		return false
	}
	start := r.random.IntN(len(g.servers))
	for i := range g.servers {
		if r.addCandidate(g, q, g.servers[(start+i)%len(g.servers)], at, ReasonOnly) {
			return true
		}
	}
	return false
}

// add adds a server to the candidates unless it may not be picked, is already
// among them or there is no room.
func (r *Router) addCandidate(g *group, q *Query, s *server, at time.Duration, reason Reason) bool {
	if r.candidateCount == MaxCandidates || !s.available() || !slices.Contains(s.groups, g) ||
		slices.Contains(q.ExcludeNames, s.Name) {
		return false
	}
	if r.isCandidate(s) {
		return false
	}
	r.candidates[r.candidateCount] = candidate{server: s, reason: reason, load: r.load(g, s, at)}
	r.candidateCount++
	return true
}

func (r *Router) isCandidate(s *server) bool {
	for i := range r.candidates[:r.candidateCount] {
		if r.candidates[i].server == s {
			return true
		}
	}
	return false
}

func newNoServerError(g *group, q *Query) *NoServerError {
	e := &NoServerError{Group: g.name, Known: len(g.servers)}
	for _, s := range g.servers {
		switch {
		case !s.available():
			e.Leaving++
		case slices.Contains(q.ExcludeNames, s.Name):
			e.Excluded++
		}
	}
	return e
}
