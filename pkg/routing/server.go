package routing

import (
	"math"
	"time"
)

const (
	// outstandingHistorySize is how many changes of the own outstanding count are kept
	// to find the count at the time of a load report.
	outstandingHistorySize = 32
	// hitRatioAlpha is the weight of one answer in a server's cache trust.
	hitRatioAlpha = 0.1
	minHitRatio   = 0.1
	// prefillTimeAlpha is the weight of one first token in a server's speed.
	prefillTimeAlpha = 0.1
	// slowest and fastest bound a server's observed prefill time per token
	// in relation to the first estimate.
	maxPrefillTimeFactor = 8.0
	minPrefillTimeFactor = 0.125
)

type outstandingChange struct {
	at    time.Duration
	count int
}

// server is what the Router knows about a BackendServer.
type server struct {
	Server
	maxSequences float64
	otherZone    bool
	leaving      bool
	groups       []*group
	// ringHashes are the hashes of its points on the ring, subsetHash orders
	// it in the choice of this daemon's subset.
	ringHashes []uint64
	subsetHash uint64
	// listed is set while the server is in a group; an unlisted server is
	// kept until its outstanding attempts end.
	listed bool

	// outstanding and pendingPrefillTokens (tokens) are this daemon's own work.
	outstanding          int
	pendingPrefillTokens int
	outstandingHistory   [outstandingHistorySize]outstandingChange
	historyNext          int

	// others is the load of other daemons by the last report, waiting the
	// part of it that waits for its prefill.
	otherLoad     float64
	otherWaiting  float64
	measuredAt    time.Duration
	hasLoadReport bool

	lastCacheSequence uint64
	// hitRatio is the observed share of expected prefix hits.
	hitRatio float64
	// prefillSecondsPerToken is the observed prefill time per token in seconds.
	prefillSecondsPerToken float64
}

func (s *server) available() bool { return s.listed && !s.leaving }

func (s *server) addOutstanding(now time.Duration, delta int) {
	s.outstanding += delta
	s.outstandingHistory[s.historyNext] = outstandingChange{at: now, count: s.outstanding}
	s.historyNext = (s.historyNext + 1) % outstandingHistorySize
	for _, g := range s.groups {
		g.ownLoad += delta
	}
}

// outstandingAt returns the own outstanding count at an earlier time. When the history
// does not reach back that far it returns the oldest count.
func (s *server) outstandingAt(at time.Duration) int {
	oldest := s.outstanding
	for i := 1; i <= outstandingHistorySize; i++ {
		c := s.outstandingHistory[(s.historyNext-i+outstandingHistorySize)%outstandingHistorySize]
		if c.at <= at {
			return c.count
		}
		oldest = c.count
	}
	return oldest
}

// expectedOtherLoad returns the expected load of other daemons. A reported difference
// from the group's mean shrinks with the report's age, since the requests that
// made it up end and new ones spread.
func (s *server) expectedOtherLoad(now, decayTime time.Duration, mean float64) float64 {
	if !s.hasLoadReport {
		return mean
	}
	age := max(now-s.measuredAt, 0)
	return mean + (s.otherLoad-mean)*math.Exp(-float64(age)/float64(decayTime))
}

func (s *server) setOtherLoad(otherLoad, otherWaiting float64) {
	for _, g := range s.groups {
		g.otherLoad += otherLoad - s.otherLoad
		if !s.hasLoadReport {
			g.reportingServers++
		}
	}
	s.otherLoad, s.otherWaiting, s.hasLoadReport = otherLoad, otherWaiting, true
}

// forget drops what is known about an earlier incarnation.
func (s *server) resetState() {
	if s.hasLoadReport {
		for _, g := range s.groups {
			g.otherLoad -= s.otherLoad
			g.reportingServers--
		}
	}
	s.otherLoad, s.otherWaiting, s.hasLoadReport, s.lastCacheSequence, s.hitRatio = 0, 0, false, 0, 1
}

// group is a set of servers with its ring and this daemon's subset of it.
type group struct {
	name    string
	servers []*server
	subset  []*server
	ring    ring
	// own and others are the sums over the servers, reporting the number of
	// servers with a load report.
	ownLoad          int
	otherLoad        float64
	reportingServers int
	minPrice         float64
}

func (g *group) meanOtherLoad() float64 {
	if g.reportingServers == 0 {
		return 0
	}
	return max(g.otherLoad, 0) / float64(g.reportingServers)
}

// meanLoad returns the mean load of the group's servers.
func (g *group) meanLoad() float64 {
	return float64(g.ownLoad)/float64(max(len(g.servers), 1)) + g.meanOtherLoad()
}
