package contention

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateTime is the time over which demand is averaged, with exponentially falling weights.
	rateTime = time.Second
	// maxOffers is the number of ranks and accounts that a daemon states. Further accounts
	// are stated together.
	maxOffers = 48
	// stateMaxAge is the age at which the demand of another daemon and the limits of a hub
	// are dropped.
	stateMaxAge = 3 * time.Second
	// updateInterval is the least time between two determinations of the limits.
	updateInterval = 100 * time.Millisecond
	// minAsked is the demand, in seconds of server time per second, below which a group is
	// forgotten.
	minAsked = 1e-5
	// backlogGain is the fraction of the capacity by which less is admitted for each multiple
	// of the target by which the backlog exceeds it.
	backlogGain = 0.3
	// maxBacklogFactor is the multiple of the target up to which a backlog counts.
	maxBacklogFactor = 4.0
	// highBacklog and lowBacklog are the multiples of the target beyond which the factor on
	// the capacity changes.
	highBacklog = 1.3
	lowBacklog  = 0.9
	// drainingBacklog is the multiple of the target from which on little is admitted, so that
	// the backlog says nothing about the capacity.
	drainingBacklog = 3.0
	// trendTime is the time over which a backlog that falls is told from one that rises.
	trendTime = 500 * time.Millisecond
	// scaleFall and scaleRise are the relative changes of the factor per second.
	scaleFall = 0.35
	scaleRise = 0.25
	// calmTime is the time constant with which a factor above 1 returns to 1 while nothing is
	// limited, and calmMargin the multiple of the demand above which it does, so that the
	// return itself limits nothing.
	calmTime   = 10 * time.Second
	calmMargin = 1.25
	// settleTime is how long after a change of the servers the factor stays as it is: the
	// backlog then says little about what they can do.
	settleTime = 700 * time.Millisecond
	// settledChange is the relative change of the capacity that does not count as one of the
	// servers.
	settledChange = 0.1
	// minScale and maxScale bound the factor.
	minScale = 0.25
	maxScale = 2.0
	// minAdmitted is the least fraction of the capacity that is admitted.
	minAdmitted = 0.1
	// maxRefusedCallers bounds the callers whose repeats are told from new demand, in each of
	// two spans.
	maxRefusedCallers = 1 << 14
	// perMille is the resolution of fractions in messages.
	perMille = 1000
)

// group is a rank and account of a service.
type group struct {
	service string
	rank    int
	account string
}

// meter measures a rate with exponentially falling weights.
type meter struct {
	perSecond float64
	at        time.Time
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.perSecond *= math.Exp(-float64(elapsed) / float64(rateTime))
		m.at = now
	}
}

func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.perSecond += amount / rateTime.Seconds()
}

// refusedCaller is a caller that was refused in one of its spans.
type refusedCaller struct {
	caller uint64
	span   int64
}

// refusedCallers holds the callers that were refused in the last spans. Repeats within a span
// get the same answer and are no further demand.
type refusedCallers struct {
	current, previous map[refusedCaller]struct{}
	since             time.Time
}

// add reports whether a refusal is the caller's first one in its span. Beyond
// maxRefusedCallers every refusal passes for the first.
func (r *refusedCallers) add(now time.Time, caller refusedCaller) bool {
	if r.current == nil || now.Sub(r.since).Abs() >= span {
		r.current, r.previous, r.since = make(map[refusedCaller]struct{}), r.current, now
	}
	if _, known := r.current[caller]; known {
		return false
	}
	if _, known := r.previous[caller]; known {
		return false
	}
	if len(r.current) < maxRefusedCallers {
		r.current[caller] = struct{}{}
	}
	return true
}

type peerOffers struct {
	receivedAt time.Time
	offers     []Offer
}

type serviceState struct {
	policy Policy
	// scale is the learned factor on the capacity.
	scale     float64
	updatedAt time.Time
	// backlog is the mean of the last backlogs, in multiples of the target.
	backlog float64
	// offered is the server time that the servers offer in a second, as of changedAt.
	offered   time.Duration
	changedAt time.Time
	// ranks holds the limits in force, by rank; a rank that is missing is not limited.
	ranks map[int]RankLevel
}

// Core holds the division of all services as one daemon knows it. It is not safe for
// concurrent use.
type Core struct {
	services map[string]*serviceState
	weights  map[string]float64
	// meanWeight is the weight of accounts without one.
	meanWeight float64
	own        map[group]*meter
	// refused holds the callers whose repeats are not counted as demand.
	refused refusedCallers
	peers   map[string]peerOffers
	// stated is the sum of what the peers state, in microseconds per second.
	stated map[group]int
	// adoptedAt is when the limits of a hub were last adopted.
	adoptedAt time.Time
}

// New returns a Core that limits nothing.
func New() *Core {
	return &Core{services: make(map[string]*serviceState), own: make(map[group]*meter), peers: make(map[string]peerOffers), stated: make(map[group]int), meanWeight: defaultWeight}
}

// Configure sets which services are divided, and the weights of accounts.
func (c *Core) Configure(policies map[string]Policy, weights map[string]float64) {
	for name, policy := range policies {
		s, ok := c.services[name]
		if !ok {
			s = &serviceState{scale: 1}
			c.services[name] = s
		}
		s.policy = policy
	}
	for name := range c.services {
		if _, ok := policies[name]; !ok {
			delete(c.services, name)
		}
	}
	c.weights, c.meanWeight = weights, defaultWeight
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if sum > 0 {
		c.meanWeight = sum / float64(len(weights))
	}
}

func (c *Core) weight(account string) float64 { return cmp.Or(c.weights[account], c.meanWeight) }

// Ask counts a request as demand and decides whether it is admitted. While the rank is limited,
// a caller that is refused counts once in a span. The parameter wall returns
// the time of a clock that all daemons share; it is called only while the rank is limited.
func (c *Core) Ask(now time.Time, wall func() time.Time, r *Request) Verdict {
	s, ok := c.services[r.Service]
	if !ok {
		return Verdict{Admitted: true, Fraction: 1}
	}
	g := group{r.Service, r.Rank, r.Account}
	m, ok := c.own[g]
	if !ok {
		m = &meter{at: now}
		c.own[g] = m
	}
	fraction := s.fraction(r.Rank, r.Account)
	if r.Continues || fraction >= 1 {
		m.add(now, r.ServerTime.Seconds())
		return Verdict{Admitted: true, Fraction: fraction}
	}
	at := wall()
	number := spanOf(r.Caller, at)
	admitted := draw(r.Caller, number) < fraction
	if admitted && !r.Unplaced || c.refused.add(now, refusedCaller{r.Caller, number}) {
		m.add(now, r.ServerTime.Seconds())
	}
	if admitted {
		return Verdict{Admitted: true, Fraction: fraction}
	}
	return Verdict{Fraction: fraction, RetryAfter: retryAfter(r.Caller, at, fraction)}
}

// Favours reports whether a rank of a service is admitted in full while a less urgent one is
// not.
func (c *Core) Favours(service string, rank int) bool {
	s, ok := c.services[service]
	if !ok {
		return false
	}
	lower := false
	for limited := range s.ranks {
		if limited <= rank {
			return false
		}
		lower = true
	}
	return lower
}

func (s *serviceState) fraction(rank int, account string) float64 {
	l, limited := s.ranks[rank]
	if !limited {
		return 1
	}
	if f, ok := l.Accounts[account]; ok {
		return float64(f) / perMille
	}
	return float64(l.PerMille) / perMille
}

// Offers returns the demand of this daemon: the largest first, and what exceeds maxOffers
// summed up by service and rank.
func (c *Core) Offers(now time.Time) []Offer {
	offers := make([]Offer, 0, len(c.own))
	for g, m := range c.own {
		if m.decay(now); m.perSecond < minAsked {
			delete(c.own, g)
			continue
		}
		offers = append(offers, Offer{Service: g.service, Rank: g.rank, Account: g.account, Micros: int(m.perSecond * 1e6)})
	}
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(b.Micros, a.Micros), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Account, b.Account))
	})
	if len(offers) <= maxOffers {
		return offers
	}
	rest := make(map[group]int)
	for _, o := range offers[maxOffers:] {
		rest[group{service: o.Service, rank: o.Rank}] += o.Micros
	}
	offers = offers[:maxOffers]
	for g, micros := range rest {
		offers = append(offers, Offer{Service: g.service, Rank: g.rank, Micros: micros})
	}
	return offers
}

// SetPeer stores the demand that another daemon states.
func (c *Core) SetPeer(now time.Time, node string, offers []Offer) {
	c.RemovePeer(node)
	c.peers[node] = peerOffers{receivedAt: now, offers: offers}
	c.addStated(offers, 1)
}

// addStated adds a daemon's demand to the sum, or takes it away.
func (c *Core) addStated(offers []Offer, sign int) {
	for _, o := range offers {
		g := group{o.Service, o.Rank, o.Account}
		if c.stated[g] += sign * o.Micros; c.stated[g] == 0 {
			delete(c.stated, g)
		}
	}
}

// RemovePeer drops the demand of a daemon that has stopped or left.
func (c *Core) RemovePeer(node string) {
	c.addStated(c.peers[node].offers, -1)
	delete(c.peers, node)
}

// Services returns the names of the services that are divided, in order.
func (c *Core) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Due reports whether the limits of a service are to be determined again.
func (c *Core) Due(now time.Time, service string) bool {
	s, ok := c.services[service]
	return ok && now.Sub(s.updatedAt) >= updateInterval
}

// TargetBacklog returns the backlog that a service is held at while it is contended.
func (c *Core) TargetBacklog(service string) time.Duration {
	if s, ok := c.services[service]; ok {
		return s.policy.TargetBacklog
	}
	return 0
}

// MaxBacklog returns the backlog of a single server up to which it counts.
func (c *Core) MaxBacklog(service string) time.Duration {
	return time.Duration(maxBacklogFactor * float64(c.TargetBacklog(service)))
}

// Update determines the limits of a service from the demand of all daemons. A service without
// servers has none. It reports whether a rank has become limited, or is no longer.
func (c *Core) Update(now time.Time, service string, supply Supply) (changed bool) {
	s, ok := c.services[service]
	if !ok || s.policy.TargetBacklog <= 0 {
		return false
	}
	elapsed := min(now.Sub(s.updatedAt), rateTime)
	s.updatedAt = now
	backlog := float64(supply.Backlog) / float64(s.policy.TargetBacklog)
	if change := (supply.ServerTimePerSecond - s.offered).Abs(); float64(change) > settledChange*float64(s.offered) {
		s.offered, s.changedAt = supply.ServerTimePerSecond, now
	}
	if supply.ServerTimePerSecond <= 0 {
		// Placement refuses what has no server. Daemons that know one may use it.
		changed = len(s.ranks) > 0
		s.ranks = nil
		return changed
	}
	demands := c.demands(now, service)
	if now.Sub(s.changedAt) >= settleTime {
		s.adapt(max(elapsed, 0).Seconds(), backlog, askedOf(demands)/supply.ServerTimePerSecond.Seconds())
	}
	capacity := supply.ServerTimePerSecond.Seconds() * s.scale
	waiting := s.waitingShares(demands)
	divide(func(rank int) float64 {
		ahead := max(backlog*waiting[rank], min(backlog, 1))
		return capacity * max(1-backlogGain*(ahead-1), minAdmitted)
	}, demands, c.weight)
	before := s.ranks
	s.ranks = rankLevels(demands)
	return len(before) != len(s.ranks)
}

// waitingShares returns by rank which part of the backlog is ahead of a request: that of its
// rank and of more urgent ones, as far as the limits in force have admitted them. Servers run
// urgent requests first, so that the others don't delay them.
func (s *serviceState) waitingShares(demands []demand) map[int]float64 {
	shares, admitted := make(map[int]float64), 0.0
	byUrgency(demands)
	for i := range demands {
		admitted += demands[i].asked * s.fraction(demands[i].rank, demands[i].account)
		shares[demands[i].rank] = admitted
	}
	for rank := range shares {
		shares[rank] /= max(admitted, minAsked)
	}
	return shares
}

// adapt changes the factor on the capacity by the backlog, in multiples of its target. While
// nothing is limited, a factor above 1 returns to 1, unless the demand, in multiples of the
// capacity without a factor, is close to it.
func (s *serviceState) adapt(seconds, backlog, asked float64) {
	falling := backlog < s.backlog
	s.backlog += (backlog - s.backlog) * min(seconds/trendTime.Seconds(), 1)
	switch {
	case backlog > highBacklog && backlog < drainingBacklog && !falling:
		s.scale *= 1 - scaleFall*seconds*min(backlog-1, 2)
	case backlog < lowBacklog && (len(s.ranks) > 0 || s.scale < 1):
		s.scale *= 1 + scaleRise*seconds
	case len(s.ranks) == 0 && s.scale > max(calmMargin*asked, 1):
		s.scale = max(1+(s.scale-1)*math.Exp(-seconds/calmTime.Seconds()), calmMargin*asked)
	}
	s.scale = min(max(s.scale, minScale), maxScale)
}

// askedOf returns the sum of demands, in seconds of server time per second.
func askedOf(demands []demand) float64 {
	sum := 0.0
	for i := range demands {
		sum += demands[i].asked
	}
	return sum
}

// demands returns the demand of all daemons for a service.
func (c *Core) demands(now time.Time, service string) []demand {
	sums := make(map[group]float64)
	for g, m := range c.own {
		if g.service == service {
			m.decay(now)
			sums[g] += m.perSecond
		}
	}
	for node, p := range c.peers {
		if now.Sub(p.receivedAt) > stateMaxAge {
			c.RemovePeer(node)
		}
	}
	for g, micros := range c.stated {
		if g.service == service {
			sums[g] += float64(micros) / 1e6
		}
	}
	demands := make([]demand, 0, len(sums))
	for g, asked := range sums {
		demands = append(demands, demand{rank: g.rank, account: g.account, asked: asked})
	}
	return demands
}

// rankLevels returns the limits for the ranks of which a part is refused.
func rankLevels(demands []demand) map[int]RankLevel {
	asked, admitted := make(map[int]float64), make(map[int]float64)
	for i := range demands {
		asked[demands[i].rank] += demands[i].asked
		admitted[demands[i].rank] += demands[i].asked * demands[i].fraction
	}
	ranks := make(map[int]RankLevel)
	for rank, a := range asked {
		if f := int(math.Round(perMille * admitted[rank] / max(a, minAsked))); f < perMille {
			ranks[rank] = RankLevel{Rank: rank, PerMille: max(f, 0), Accounts: make(map[string]int)}
		}
	}
	for i := range demands {
		d := &demands[i]
		if l, limited := ranks[d.rank]; limited {
			if f := int(math.Round(perMille * d.fraction)); f != l.PerMille {
				l.Accounts[d.account] = f
			}
		}
	}
	return ranks
}

// Levels returns the limits in force, for daemons that do not receive the demand of all.
func (c *Core) Levels() []Level {
	var levels []Level
	for _, name := range c.Services() {
		s := c.services[name]
		scale := int(math.Round(perMille * s.scale))
		if len(s.ranks) == 0 && scale == perMille {
			continue
		}
		l := Level{Service: name, ScalePerMille: scale}
		for _, r := range s.ranks {
			l.Ranks = append(l.Ranks, r)
		}
		slices.SortFunc(l.Ranks, func(a, b RankLevel) int { return cmp.Compare(a.Rank, b.Rank) })
		levels = append(levels, l)
	}
	return levels
}

// Adopt puts the limits of a hub in force.
func (c *Core) Adopt(now time.Time, levels []Level) {
	c.adoptedAt = now
	for _, s := range c.services {
		s.ranks, s.scale = nil, 1
	}
	for i := range levels {
		s, ok := c.services[levels[i].Service]
		if !ok {
			continue
		}
		s.scale = min(max(float64(levels[i].ScalePerMille)/perMille, minScale), maxScale)
		s.ranks = make(map[int]RankLevel, len(levels[i].Ranks))
		for _, r := range levels[i].Ranks {
			s.ranks[r.Rank] = r
		}
	}
}

// AdoptedFor returns how long ago the limits of a hub were adopted.
func (c *Core) AdoptedFor(now time.Time) time.Duration {
	if c.adoptedAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(c.adoptedAt)
}

// Lift removes all limits.
func (c *Core) Lift() {
	for _, s := range c.services {
		s.ranks = nil
	}
}

// Limits returns the limits in force of a service, and the learned factor on its capacity.
func (c *Core) Limits(service string) (ranks map[int]RankLevel, scale float64) {
	s, ok := c.services[service]
	if !ok {
		return nil, 1
	}
	return s.ranks, s.scale
}
