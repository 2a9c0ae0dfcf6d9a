package routing

import (
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

const (
	// maxSampledServers bounds Options.SampledServers, to leave room among the
	// candidates for the holders and the owner of the prefix.
	maxSampledServers = 4
	// isolatedSampleCount is the number of servers sampled for an isolated
	// request.
	isolatedSampleCount = MaxCandidates
	// isolatedLoadMargin limits the load of the server that is chosen for an
	// isolated request: it exceeds the lowest load by less than this number of
	// requests, so that a crash loses less than one request more.
	isolatedLoadMargin = 1.0
	// maxSampleProbes is the number of servers tried for one sample, since a
	// server may be ineligible or already a candidate.
	maxSampleProbes = 8
	// maxOwnerProbes is the number of ring points tried to find an owner within
	// the load bound.
	maxOwnerProbes = 16
)

// candidate is a server that is considered for a request.
type candidate struct {
	server    *server
	reason    Reason
	load      float64
	hitTokens float64
	score     float64
}

// Pick chooses a server. It does not count the request on the server; the caller
// calls Started when it sends the request.
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

// lookUpPrefixes looks up the entries of the query's prefixes.
func (r *Router) lookUpPrefixes(q *Query) {
	r.prefixCount = min(len(q.Prefixes), MaxPrefixes)
	for i := range r.prefixCount {
		r.foundPrefixes[i] = r.prefixes.find(q.Prefixes[i].Hash)
	}
}

// sampleCount returns the number of servers to sample. Each candidate found by
// its prefix replaces one sample.
func (r *Router) sampleCount() int { return max(r.options.SampledServers-r.candidateCount, 0) }

// chooseBest scores the candidates and returns the one with the lowest score, or
// for an isolated request one with nearly the lowest load.
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

// chooseIsolated returns the index of a random candidate whose load is nearly the
// lowest. All daemons receive the same load reports. If each chose the least
// loaded server, all requests suspected of one crash would run on that server,
// and when the faulty request crashed it, the others would be suspected again.
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

// addHolders adds the holders of the longest known prefix that are eligible and
// within the load bound.
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

// addOwner adds the owner of the query's affinity key on the ring, or the next
// eligible server on the ring that is within the load bound.
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

// dropIfOverLoadBound removes the last candidate, and returns true, if one more
// request would raise its server's load above LoadBound times the mean load of
// the group.
func (r *Router) dropIfOverLoadBound(g *group) bool {
	if r.withinLoadBound(g, r.candidates[r.candidateCount-1].load) {
		return false
	}
	r.candidateCount--
	return true
}

// affinityKey returns the hash that places a conversation on the ring: that of
// the prefix up to the second message, which differs between conversations with
// the same system prompt.
func affinityKey(q *Query) uint64 {
	return q.Prefixes[min(affinityLevel, len(q.Prefixes)-1)].Hash
}

// affinityLevel is the index of the prefix that is used as affinity key.
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

// addByScan scans the group from a random server and adds the first eligible
// one. It is used when there is no other candidate, for example while most of
// the group is leaving.
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

// addCandidate adds a server to the candidates unless it is ineligible, is
// already among them or there is no room. It reports whether it added the server.
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
