package placement

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// progressHalfLife is the half-life of the measured progress of requests at a service.
	progressHalfLife = 1500 * time.Millisecond
	// progressInterval is how often the requests in progress are included.
	progressInterval = 50 * time.Millisecond
	// priorWait is the expected wait, in milliseconds, of the requests that are assumed to
	// have taken as long as expected. It keeps a few answers from changing the estimates.
	priorWait = 400.0
	// minLateness and maxLateness bound the ratio of measured to expected waits.
	minLateness = 0.5
	maxLateness = 12.0
	// lowestRank is the least urgent rank that is told apart.
	lowestRank = 9
	// defaultOccupancy is the assumed time that a request keeps a slot of an engine until it
	// has been measured.
	defaultOccupancy = 2 * time.Second
	// occupancyWeight is the weight of one request in the mean of that time.
	occupancyWeight = 0.1
	// latestStartShare is the fraction of the remaining time within which a stream
	// has to start in order to end before its deadline.
	latestStartShare = 0.6
	// maxWaitFactor bounds the expected wait for an engine in multiples of the
	// request's latency target. When engines are overloaded for seconds, a longer
	// queue would make every answer late; with the bound, accepted requests are
	// served in time and refused callers get a time after which to retry.
	maxWaitFactor = 1.5
)

// startedQuery is what an attempt keeps of its query and decision.
type startedQuery struct {
	rank            int
	outputTokens    int
	uncorrectedWait time.Duration
}

// ratio sums measured and expected values, whose weights fall exponentially with age.
type ratio struct {
	measured, expected float64
	at                 time.Time
}

func (r *ratio) add(now time.Time, measured, expected float64) {
	if age := now.Sub(r.at); age > 0 {
		weight := decay(age, progressHalfLife)
		r.measured, r.expected, r.at = r.measured*weight, r.expected*weight, now
	}
	r.measured += measured
	r.expected += expected
}

// progress is how the requests that this daemon has sent to a service get on. It corrects
// estimates under overload, when loads say little about waits.
type progress struct {
	// waits compares the times to first events with the expected ones, in milliseconds, by
	// rank: engines run urgent requests first.
	waits [lowestRank + 1]ratio
	// outputs compares the times from first events to ends, in milliseconds, with the output
	// tokens that were asked for.
	outputs ratio
	// occupancy is the mean time that a request keeps a slot; 0 means not measured.
	occupancy time.Duration
	// generating is the number of own attempts whose answer has begun, and generatingSince
	// the sum of the times since which they have, relative to epoch.
	generating      int
	generatingSince time.Duration
	epoch           time.Time
	// lateness is the ratio of measured to expected waits by rank as of latenessAt.
	lateness   [lowestRank + 1]float64
	latenessAt time.Time
}

func rankIndex(rank int) int { return min(max(rank, 0), lowestRank) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// recordFirstEvent records the wait of an attempt.
func (a *attempt) recordFirstEvent(now time.Time) {
	if a.plain {
		return
	}
	p := &a.server.service.progress
	a.firstEventAt = now
	p.waits[rankIndex(a.query.rank)].add(now, millis(now.Sub(a.startedAt)), millis(a.query.uncorrectedWait))
	if p.epoch.IsZero() {
		p.epoch = now
	}
	p.generating++
	p.generatingSince += now.Sub(p.epoch)
}

// recordEnd records the end of an attempt. One that ends without a first event has waited at
// least until then, unless the server has refused it.
func (a *attempt) recordEnd(now time.Time, result Result) {
	if a.plain {
		return
	}
	p := &a.server.service.progress
	if !a.firstEventSeen {
		if waited := now.Sub(a.startedAt); result != ResultRefused && waited > a.query.uncorrectedWait {
			p.waits[rankIndex(a.query.rank)].add(now, millis(waited), millis(a.query.uncorrectedWait))
		}
		return
	}
	p.generating--
	p.generatingSince -= a.firstEventAt.Sub(p.epoch)
	took := now.Sub(a.firstEventAt)
	if result != ResultAnswered {
		// An answer that was cut would have taken longer than this.
		if p.outputs.expected == 0 || millis(took)*p.outputs.expected > float64(a.query.outputTokens)*p.outputs.measured {
			p.outputs.add(now, millis(took), float64(a.query.outputTokens))
		}
		return
	}
	p.outputs.add(now, millis(took), float64(a.query.outputTokens))
	if p.occupancy == 0 {
		p.occupancy = took
	}
	p.occupancy += time.Duration(occupancyWeight * float64(took-p.occupancy))
}

// occupancyNow returns the mean time that a request keeps a slot. While requests take ever
// longer, those still running show it before they end.
func (p *progress) occupancyNow(now time.Time) time.Duration {
	occupancy := p.occupancy
	if occupancy == 0 {
		occupancy = defaultOccupancy
	}
	if p.generating > 0 {
		occupancy = max(occupancy, now.Sub(p.epoch)-p.generatingSince/time.Duration(p.generating))
	}
	return occupancy
}

// capacityWait returns the expected time, in milliseconds, until enough running
// requests end when the slots or the KV cache are full.
func (s *server) capacityWait(now time.Time, load Load, neededTokens int) float64 {
	utilization := s.utilization(load, neededTokens)
	if utilization <= 1 {
		return 0
	}
	return (utilization - 1) * millis(s.service.progress.occupancyNow(now))
}

// utilization returns the part of the slots or of the KV cache, whichever is more, that is in use
// with a further request.
func (s *server) utilization(load Load, neededTokens int) float64 {
	return math.Max(float64(load.Running+1)/float64(max(s.slots(), 1)),
		float64(load.KVTokens+neededTokens)/(maxKVShare*float64(s.service.kvCapacity)))
}

// latenessOf returns the ratio of measured to expected waits of a rank.
func (c *Core) latenessOf(now time.Time, s *service, rank int) float64 {
	p := &s.progress
	if p.latenessAt.IsZero() || now.Sub(p.latenessAt) >= progressInterval || now.Before(p.latenessAt) {
		c.updateLateness(now, s)
	}
	return p.lateness[rankIndex(rank)]
}

// updateLateness determines the ratio of measured to expected waits by rank. Attempts that
// wait for longer than expected count with the time that they have waited, so that an
// overload shows before they begin.
func (c *Core) updateLateness(now time.Time, s *service) {
	p := &s.progress
	p.latenessAt = now
	var waits [lowestRank + 1]ratio
	all := ratio{measured: priorWait, expected: priorWait}
	for i := range p.waits {
		p.waits[i].add(now, 0, 0)
		waits[i] = p.waits[i]
	}
	for _, a := range c.attempts {
		if a.plain || a.firstEventSeen || a.server.service != s {
			continue
		}
		if waited := now.Sub(a.startedAt); waited > a.query.uncorrectedWait {
			w := &waits[rankIndex(a.query.rank)]
			w.measured += millis(waited)
			w.expected += millis(a.query.uncorrectedWait)
		}
	}
	for i := range waits {
		all.measured += waits[i].measured
		all.expected += waits[i].expected
	}
	usual := all.measured / all.expected
	for i := range waits {
		lateness := (waits[i].measured + priorWait*usual) / (waits[i].expected + priorWait)
		p.lateness[i] = min(max(lateness, minLateness), maxLateness)
	}
}

// correct adjusts the estimates of a decision to the measured progress of the service.
func (c *Core) correct(now time.Time, q *Query, s *service, d *Decision) {
	d.UncorrectedWait = d.ExpectedWait
	if s.kvCapacity == 0 {
		return
	}
	d.ExpectedWait = time.Duration(float64(d.ExpectedWait) * c.latenessOf(now, s, q.Rank))
	d.ExpectedEnd = d.ExpectedWait
	if p := &s.progress; p.outputs.expected > 0 {
		d.ExpectedEnd += time.Duration(float64(q.OutputTokens) * p.outputs.measured / p.outputs.expected * float64(time.Millisecond))
	}
}

// inTurn yields the candidates for a request and, if the best of them would not answer it in
// time, further ones: a request is not refused because a few servers that were drawn are busy.
// A prompt of which a server has a part cached stays there: reading it again elsewhere would
// take room from others.
func (c *Core) inTurn(now time.Time, s *service, preferred *server, q *Query, best *Decision) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		first := c.candidates(s, preferred, q)
		for _, o := range first {
			if !yield(o) {
				return
			}
		}
		found := *best
		c.correct(now, q, s, &found)
		if len(first) == 0 || found.CachedTokens > 0 || s.admit(now, q, &found) == nil {
			return
		}
		for range furtherServers {
			if o := s.servers[c.random.IntN(len(s.servers))]; o.eligible(q) && !slices.Contains(first, o) && !yield(o) {
				return
			}
		}
	}
}

// furtherServers is the number of servers that are drawn before a request is refused.
const furtherServers = 6

// admit returns a *RefusedError for a request that would not be answered in
// time.
func (s *service) admit(now time.Time, q *Query, best *Decision) error {
	left := q.Deadline.Sub(now)
	refuse := func(retryAfter time.Duration) error {
		return &RefusedError{Reason: RefusedOverloaded, ExpectedWait: best.ExpectedWait, CachedTokens: best.CachedTokens, RetryAfter: retryAfter}
	}
	if s.kvCapacity == 0 {
		if best.ExpectedWait > time.Duration(plainQueueFactor*float64(s.plainRunTime))+q.LatencyTarget && best.ExpectedWait > left {
			return refuse(best.ExpectedWait / 2)
		}
		return nil
	}
	latestStart := time.Duration(float64(left) * latestStartShare)
	latest := latestStart
	if q.LatencyTarget > 0 && !q.AlreadyStarted && !q.Favoured {
		latest = min(latest, time.Duration(maxWaitFactor*float64(q.LatencyTarget)))
	}
	// That others are late counts only against the deadline: it says little of one server, and
	// is no reason to discard what a caller has.
	late := !q.AlreadyStarted && (best.ExpectedWait > latestStart || best.ExpectedEnd > left)
	if best.UncorrectedWait > latest || late {
		return refuse(max(best.ExpectedWait-q.LatencyTarget, q.LatencyTarget/2))
	}
	return nil
}

// Backlog returns the mean, over the servers of a service, of the time until a server has done
// what waits there. Each server counts up to a limit, so that a few that are stuck do not pass
// for a service without room.
func (c *Core) Backlog(now time.Time, name string, limit time.Duration) time.Duration {
	s, ok := c.services[name]
	if !ok {
		return 0
	}
	total, servers := time.Duration(0), 0
	for _, o := range s.servers {
		if o.misdirected {
			continue
		}
		servers++
		total += min(o.backlog(now), limit)
	}
	return total / time.Duration(max(servers, 1))
}

func (s *server) backlog(now time.Time) time.Duration {
	load := s.totalLoad()
	if s.service.kvCapacity == 0 {
		queued := max(load.Running-s.Slots, 0)
		return s.service.plainRunTime * time.Duration(queued) / time.Duration(max(s.Slots, 1))
	}
	ms := float64(load.PrefillTokens)/s.service.prefillRate + s.capacityWait(now, Load{Running: load.Running - 1, KVTokens: load.KVTokens}, 0)
	return time.Duration(ms * float64(time.Millisecond))
}

// ExpectedOf returns the service of an attempt, the wait that was expected and the time since
// it was sent. It returns false if the attempt is unknown or has had its first event.
func (c *Core) ExpectedOf(now time.Time, id string) (service string, expected, waited time.Duration, ok bool) {
	a, known := c.attempts[id]
	if !known || a.firstEventSeen {
		return "", 0, 0, false
	}
	return a.server.Service, a.expectedWait, now.Sub(a.startedAt), true
}

// manyDaemons reports whether so many daemons send requests that the least loaded server is
// the same one for all of them until they hear of one another.
func (c *Core) manyDaemons() bool { return c.summary.active() || len(c.peers) > maxComparingPeers }

// maxComparingPeers is the number of peers up to which a daemon compares all servers.
const maxComparingPeers = 12
