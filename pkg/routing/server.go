package routing

import (
	"math"
	"time"
)

const (
	// outstandingHistorySize is the number of changes of a server's
	// outstanding count that are kept, to find the count at the time of a load
	// report.
	outstandingHistorySize = 32
	// hitRatioAlpha is the weight of one answer in the moving average of a
	// server's hit ratio, and minHitRatio the lower bound of that average.
	hitRatioAlpha = 0.1
	minHitRatio   = 0.1
	// prefillTimeAlpha is the weight of one first token in the moving average
	// of a server's prefill time per token.
	prefillTimeAlpha = 0.1
	// maxPrefillTimeFactor and minPrefillTimeFactor bound a server's observed
	// prefill time per token, as multiples of Options.PrefillPerToken.
	maxPrefillTimeFactor = 8.0
	minPrefillTimeFactor = 0.125
)

// outstandingChange records the outstanding count of a server since a time.
type outstandingChange struct {
	at    time.Duration
	count int
}

// server is the state that the Router keeps of a BackendServer.
type server struct {
	Server
	maxSequences float64
	otherZone    bool
	leaving      bool
	groups       []*group
	// ringHashes are the hashes of the server's points on the ring. subsetHash
	// ranks the server in the choice of this daemon's subset.
	ringHashes []uint64
	subsetHash uint64
	// listed is set while the server is in a group. An unlisted server is kept
	// until its outstanding attempts end.
	listed bool

	// outstanding is the number of this daemon's attempts on the server, and
	// pendingPrefillTokens the prefill of those without a first token.
	outstanding          int
	pendingPrefillTokens int
	outstandingHistory   [outstandingHistorySize]outstandingChange
	historyNext          int

	// otherLoad is the number of other daemons' requests according to the last
	// report, and otherWaiting the number of those that wait for their prefill.
	otherLoad    float64
	otherWaiting float64
	// measuredAt is the time of the last load report.
	measuredAt    time.Duration
	hasLoadReport bool

	lastCacheSequence uint64
	// hitRatio is the moving average of the ratio of observed to expected
	// prefix hits, from minHitRatio to 1.
	hitRatio float64
	// prefillSecondsPerToken is the moving average of the observed prefill
	// time per token.
	prefillSecondsPerToken float64
}

func (s *server) available() bool { return s.listed && !s.leaving }

// addOutstanding changes the outstanding count and records the change in the
// history.
func (s *server) addOutstanding(now time.Duration, delta int) {
	s.outstanding += delta
	s.outstandingHistory[s.historyNext] = outstandingChange{at: now, count: s.outstanding}
	s.historyNext = (s.historyNext + 1) % outstandingHistorySize
	for _, g := range s.groups {
		g.ownLoad += delta
	}
}

// outstandingAt returns the outstanding count at an earlier time, or the oldest
// known count if the history does not reach back that far.
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

// expectedOtherLoad returns the expected number of other daemons' requests. The
// difference between the report and the group's mean decays with the report's
// age, because the requests that caused it end and new ones are spread evenly.
func (s *server) expectedOtherLoad(now, decayTime time.Duration, mean float64) float64 {
	if !s.hasLoadReport {
		return mean
	}
	age := max(now-s.measuredAt, 0)
	return mean + (s.otherLoad-mean)*math.Exp(-float64(age)/float64(decayTime))
}

// setOtherLoad sets the reported load of other daemons and updates the sums of the
// server's groups.
func (s *server) setOtherLoad(otherLoad, otherWaiting float64) {
	for _, g := range s.groups {
		g.otherLoad += otherLoad - s.otherLoad
		if !s.hasLoadReport {
			g.reportingServers++
		}
	}
	s.otherLoad, s.otherWaiting, s.hasLoadReport = otherLoad, otherWaiting, true
}

// resetState drops the load reports and cache state of an earlier incarnation.
func (s *server) resetState() {
	if s.hasLoadReport {
		for _, g := range s.groups {
			g.otherLoad -= s.otherLoad
			g.reportingServers--
		}
	}
	s.otherLoad, s.otherWaiting, s.hasLoadReport, s.lastCacheSequence, s.hitRatio = 0, 0, false, 0, 1
}

// group is a set of servers with their ring and this daemon's subset of them.
type group struct {
	name    string
	servers []*server
	subset  []*server
	ring    ring
	// ownLoad and otherLoad are the sums of outstanding and otherLoad over the
	// servers. reportingServers is the number of servers with a load report.
	ownLoad          int
	otherLoad        float64
	reportingServers int
	// minPrice is the lowest known price per hour of the servers, or 0.
	minPrice float64
}

// meanOtherLoad returns the mean load of other daemons over the servers with a load
// report, or 0 without any report.
func (g *group) meanOtherLoad() float64 {
	if g.reportingServers == 0 {
		return 0
	}
	return max(g.otherLoad, 0) / float64(g.reportingServers)
}

// meanLoad returns the mean number of requests on a server of the group.
func (g *group) meanLoad() float64 {
	return float64(g.ownLoad)/float64(max(len(g.servers), 1)) + g.meanOtherLoad()
}
