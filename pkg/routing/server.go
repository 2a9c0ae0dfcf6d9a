package routing

import (
	"math"
	"time"
)

const (
	// ownHistory is how many changes of the own outstanding count are kept
	// to find the count at the time of a load report.
	ownHistory = 32
	// trustStep is the weight of one answer in a server's cache trust.
	trustStep = 0.1
	minTrust  = 0.1
	// speedStep is the weight of one first token in a server's speed.
	speedStep = 0.1
	// slowest and fastest bound a server's observed prefill time per token
	// in relation to the first estimate.
	slowest = 8.0
	fastest = 0.125
)

type ownChange struct {
	at    time.Duration
	count int
}

// server is what the Router knows about a BackendServer.
type server struct {
	Server
	sequences float64
	otherZone bool
	leaving   bool
	groups    []*group
	// ringHashes are the hashes of its points on the ring, subsetHash orders
	// it in the choice of this daemon's subset.
	ringHashes []uint64
	subsetHash uint64
	// listed is set while the server is in a group; an unlisted server is
	// kept until its outstanding attempts end.
	listed bool

	// outstanding and pendingPrefill (tokens) are this daemon's own work.
	outstanding    int
	pendingPrefill int
	history        [ownHistory]ownChange
	historyNext    int

	// others is the load of other daemons by the last report, waiting the
	// part of it that waits for its prefill.
	others     float64
	waiting    float64
	measuredAt time.Duration
	reported   bool

	lastSequence uint64
	// cacheTrust is the observed share of expected prefix hits.
	cacheTrust float64
	// prefillPerToken is the observed prefill time per token in seconds.
	prefillPerToken float64
}

func (s *server) available() bool { return s.listed && !s.leaving }

func (s *server) changeOwn(now time.Duration, delta int) {
	s.outstanding += delta
	s.history[s.historyNext] = ownChange{at: now, count: s.outstanding}
	s.historyNext = (s.historyNext + 1) % ownHistory
	for _, g := range s.groups {
		g.own += delta
	}
}

// ownAt returns the own outstanding count at an earlier time. When the history
// does not reach back that far it returns the oldest count.
func (s *server) ownAt(at time.Duration) int {
	oldest := s.outstanding
	for i := 1; i <= ownHistory; i++ {
		c := s.history[(s.historyNext-i+ownHistory)%ownHistory]
		if c.at <= at {
			return c.count
		}
		oldest = c.count
	}
	return oldest
}

// othersNow returns the expected load of other daemons. A reported difference
// from the group's mean shrinks with the report's age, since the requests that
// made it up end and new ones spread.
func (s *server) othersNow(now, memory time.Duration, mean float64) float64 {
	if !s.reported {
		return mean
	}
	age := max(now-s.measuredAt, 0)
	return mean + (s.others-mean)*math.Exp(-float64(age)/float64(memory))
}

func (s *server) setOthers(others, waiting float64) {
	for _, g := range s.groups {
		g.others += others - s.others
		if !s.reported {
			g.reporting++
		}
	}
	s.others, s.waiting, s.reported = others, waiting, true
}

// forget drops what is known about an earlier incarnation.
func (s *server) forget() {
	if s.reported {
		for _, g := range s.groups {
			g.others -= s.others
			g.reporting--
		}
	}
	s.others, s.waiting, s.reported, s.lastSequence, s.cacheTrust = 0, 0, false, 0, 1
}

// group is a set of servers with its ring and this daemon's subset of it.
type group struct {
	name    string
	servers []*server
	subset  []*server
	ring    ring
	// own and others are the sums over the servers, reporting the number of
	// servers with a load report.
	own       int
	others    float64
	reporting int
	lowest    float64
}

func (g *group) meanOthers() float64 {
	if g.reporting == 0 {
		return 0
	}
	return max(g.others, 0) / float64(g.reporting)
}

// meanLoad returns the mean load of the group's servers.
func (g *group) meanLoad() float64 {
	return float64(g.own)/float64(max(len(g.servers), 1)) + g.meanOthers()
}
