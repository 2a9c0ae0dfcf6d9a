// Package quota enforces the usage limits of ClientAccounts over all daemons
// without a call to a store per request. Each daemon keeps one token bucket per
// account for the whole deployment: it deducts its own requests at once and
// those of its peers when they report their totals. The core does no I/O.
package quota

import (
	"math"
	"time"
)

// Limit is the configuration of an account's token bucket.
type Limit struct {
	// Rate is the refill per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the bucket.
	Burst float64
}

// peerSilenceTimeout is the time without a report after which a peer is assumed
// to spend its equal share. Peers report their totals several times a second.
const peerSilenceTimeout = 1200 * time.Millisecond

// adoptionPeriod is the time after its start in which a daemon takes over the
// bucket levels of its peers, which include what was spent before the start.
const adoptionPeriod = 3 * time.Second

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// used is the total cost that this daemon has admitted.
	used float64
	// ownSpent and peersSpent are the recent spending of this daemon and of its
	// peers, decayed with shareHalfLife.
	ownSpent, peersSpent float64
	// recent lists the admitted charges that are newer than the peers' reports.
	recent []charge
	// requested lists the requests that this daemon received within
	// fairShareWindow, including refused ones.
	requested []charge
}

// charge is the cost of a request at the time when it arrived.
type charge struct {
	at   time.Time
	cost float64
}

const (
	// shareHalfLife is the half-life of the spending from which a daemon's share
	// of an account's requests is computed.
	shareHalfLife = 2 * time.Second
	// toleranceShare is the fraction of the tolerated excess over a limit that
	// the daemons may spend together before they receive each other's reports.
	// The rest covers what they spend after the bucket has become empty and
	// before they receive the reports of that spending.
	toleranceShare = 0.5
	// startShare is the fraction of the tolerated excess with which buckets begin when the
	// daemon starts. What was spent before is not known if all daemons have been killed.
	startShare = 0.5
	// fairShareWindow is the time over which an account's requests at a daemon are
	// compared with the daemon's share of the limit. It is long enough for a few
	// requests of each account to reach one of many daemons.
	fairShareWindow = 2 * time.Second
	// fairShareFactor is the multiple of an equal share of the limit that an
	// account may request from one daemon before the daemon spends only its
	// portion of the bucket. With this factor 85 daemons admit at most 1.06 times
	// the limit in the waves and bursts of the tests, where 1.15 is tolerated.
	fairShareFactor = 3.0
	// fairShareMinLevel is the fraction of a bucket below which an account is near
	// its limit and daemons spend only their portions.
	fairShareMinLevel = 0.7
	// defaultStaleness is the assumed age of the peers' totals until SetStaleness
	// is called.
	defaultStaleness = 350 * time.Millisecond
)

type peer struct {
	incarnation  uint64
	lastReportAt time.Time
	used         map[string]float64
	// assumed is the cost, by account, that was deducted for the peer while it
	// sent no reports.
	assumed map[string]float64
}

// Options sets the tolerance with which limits have to hold. Within Window, an
// account may spend its limit, the fraction Overage of the limit in addition,
// and the fixed amount Slack.
type Options struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Core holds the buckets of one daemon and the totals of its peers. It is not
// safe for concurrent use.
type Core struct {
	options   Options
	startedAt time.Time
	// started is set once there were limits. Accounts that get one later begin with a full bucket.
	started bool
	// staleness is the maximum expected age of the totals of peers.
	staleness time.Duration
	buckets   map[string]*bucket
	peers     map[string]*peer
	// silent lists the peers without a report for peerSilenceTimeout as of silentAt.
	silent   []*peer
	silentAt time.Time
	// levelsAt is when the levels of another daemon were last adopted, which stand for
	// levelsDaemons daemons.
	levelsAt      time.Time
	levelsDaemons int
	// collectingAt is when this daemon began to receive the totals of its peers one by
	// one instead.
	collectingAt time.Time
}

// New returns a Core without limits.
func New(now time.Time, o Options) *Core {
	return &Core{options: o, startedAt: now, staleness: defaultStaleness, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// SetLimits replaces the limits of all accounts. A lower burst takes effect at
// once.
func (c *Core) SetLimits(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		b, ok := c.buckets[name]
		if !ok {
			b = &bucket{limit: limit, level: limit.Burst, refilledAt: now}
			if !c.started && !c.settled(now) {
				b.level = math.Min(limit.Burst, startShare*c.tolerated(b))
			}
			c.buckets[name] = b
			continue
		}
		c.refill(now, name, b)
		b.limit = limit
		b.level = math.Min(b.level, limit.Burst)
	}
	for name := range c.buckets {
		if _, ok := limits[name]; !ok {
			delete(c.buckets, name)
		}
	}
	c.started = c.started || len(limits) > 0
}

// Take charges cost to an account, or returns the time after which to retry.
func (c *Core) Take(now time.Time, account string, cost float64) (retryAfter time.Duration, ok bool) {
	b, known := c.buckets[account]
	if !known || b.limit.Rate == 0 {
		return 0, true
	}
	c.refill(now, account, b)
	// A request that costs more than the whole bucket passes when the bucket is
	// full.
	if need := math.Min(cost, b.limit.Burst); b.level < need {
		return b.timeUntil(need), false
	}
	requested := b.recordRequested(now, cost)
	if !c.withinPortion(now, b, cost) && !c.withinFairShare(b, requested, cost) {
		return c.staleness, false
	}
	b.spend(now, cost)
	return 0, true
}

func (b *bucket) spend(now time.Time, cost float64) {
	b.level -= cost
	b.used += cost
	b.recent = append(b.recent, charge{at: now, cost: cost})
}

// SetStaleness sets the maximum expected age of the totals of peers.
func (c *Core) SetStaleness(d time.Duration) { c.staleness = d }

// withinPortion reports whether this daemon may spend cost before it receives
// the next reports of its peers, all of which may be spending from the same
// bucket at this moment. Its portion of the bucket is proportional to its share
// of the account's recent requests.
func (c *Core) withinPortion(now time.Time, b *bucket, cost float64) bool {
	spent := c.recentlySpent(now, b)
	if c.daemons() == 1 || len(b.recent) == 0 {
		return true
	}
	share := 1 / float64(c.daemons())
	if total := b.ownSpent + b.peersSpent; total > 0 {
		share = math.Max(share, b.ownSpent/total)
	}
	refill := b.limit.Rate * c.staleness.Seconds()
	factor := 1 + toleranceShare*c.tolerated(b)/(b.limit.Burst+refill)
	return spent+cost <= factor*share*(math.Max(b.level+spent, 0)+refill)
}

// recentlySpent returns what this daemon has spent that its peers may not have heard of.
func (c *Core) recentlySpent(now time.Time, b *bucket) float64 {
	for len(b.recent) > 0 && now.Sub(b.recent[0].at) > c.staleness {
		// Charges count for the share only when they are as old as the peers'
		// reports, so that the share compares spending in the same period.
		b.ownSpent += b.recent[0].cost
		b.recent = b.recent[1:]
	}
	spent := 0.0
	for _, r := range b.recent {
		spent += r.cost
	}
	return spent
}

// tolerated returns the excess over a limit that is tolerated in a window.
func (c *Core) tolerated(b *bucket) float64 {
	return c.options.Overage*(b.limit.Rate*c.options.Window.Seconds()+b.limit.Burst) + c.options.Slack
}

// recordRequested records the cost of a request and returns the total cost of
// the requests that arrived within fairShareWindow before it.
func (b *bucket) recordRequested(now time.Time, cost float64) float64 {
	for len(b.requested) > 0 && now.Sub(b.requested[0].at) > fairShareWindow {
		b.requested = b.requested[1:]
	}
	requested := 0.0
	for _, earlier := range b.requested {
		requested += earlier.cost
	}
	b.requested = append(b.requested, charge{at: now, cost: cost})
	return requested
}

// withinFairShare reports whether an account requests about an equal share of
// its limit from this daemon and is not near its limit. With dozens of daemons,
// a single request may cost more than a daemon's portion of the bucket although
// the total demand on all daemons is far below the limit.
func (c *Core) withinFairShare(b *bucket, requested, cost float64) bool {
	share := b.limit.Rate * fairShareWindow.Seconds() / float64(c.daemons())
	return b.level >= fairShareMinLevel*b.limit.Burst && requested+cost <= max(cost, fairShareFactor*share)
}

// Return refunds the cost of a request that did not run.
func (c *Core) Return(now time.Time, account string, cost float64) {
	b, ok := c.buckets[account]
	if !ok || b.limit.Rate == 0 {
		return
	}
	c.refill(now, account, b)
	b.level = math.Min(b.level+cost, b.limit.Burst)
	b.used -= cost
	if n := len(b.recent); n > 0 {
		b.recent[n-1].cost = math.Max(b.recent[n-1].cost-cost, 0)
	}
}

// Level returns the current level of an account's bucket; it is negative when
// the account has overspent.
func (c *Core) Level(now time.Time, account string) float64 {
	b, ok := c.buckets[account]
	if !ok {
		return 0
	}
	c.refill(now, account, b)
	return b.level
}

// refill adds the tokens that accrued since the last call and deducts the equal
// shares of peers that send no reports.
func (c *Core) refill(now time.Time, account string, b *bucket) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.level += b.limit.Rate * elapsed
	decay := math.Exp2(-elapsed / shareHalfLife.Seconds())
	b.ownSpent, b.peersSpent = b.ownSpent*decay, b.peersSpent*decay
	share := b.limit.Rate * elapsed / float64(c.daemons())
	for _, p := range c.silentPeers(now) {
		b.level -= share
		p.assumed[account] += share
	}
	b.level = math.Min(b.level, b.limit.Burst)
}

// daemons returns the number of daemons, this one included.
func (c *Core) daemons() int { return max(len(c.peers)+1, c.levelsDaemons) }

// silentCheckInterval is how often the silent peers are determined. It is a small part
// of peerSilenceTimeout.
const silentCheckInterval = 50 * time.Millisecond

// silentPeers returns the peers that are assumed to spend their equal share. There are
// none while the levels of another daemon are adopted, which contain what all spend.
func (c *Core) silentPeers(now time.Time) []*peer {
	if age := now.Sub(c.silentAt); age < silentCheckInterval && age >= 0 && !c.silentAt.IsZero() {
		return c.silent
	}
	c.silentAt, c.silent = now, c.silent[:0]
	if !c.levelsAt.IsZero() && now.Sub(c.levelsAt) <= peerSilenceTimeout {
		return nil
	}
	for _, p := range c.peers {
		if now.Sub(p.lastReportAt) > peerSilenceTimeout {
			c.silent = append(c.silent, p)
		}
	}
	return c.silent
}

// AddPeer adds a peer that has not reported yet. Until its first report, the
// peer is assumed to spend its equal share.
func (c *Core) AddPeer(name string) {
	if _, ok := c.peers[name]; !ok {
		c.peers[name] = &peer{assumed: make(map[string]float64)}
		c.silentAt = time.Time{}
	}
}

// Totals is the report of a daemon to its peers: the total admitted cost and the
// bucket level of each account.
type Totals struct {
	Used  map[string]float64 `cbor:"1,keyasint,omitempty"`
	Level map[string]float64 `cbor:"2,keyasint,omitempty"`
	// Settled is set when the levels include what was spent before the daemon
	// started.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// Totals returns the totals of this daemon.
func (c *Core) Totals(now time.Time) Totals {
	t := Totals{Used: make(map[string]float64), Level: make(map[string]float64), Settled: c.settled(now)}
	for name, b := range c.buckets {
		if b.limit.Rate == 0 {
			continue
		}
		c.refill(now, name, b)
		t.Used[name], t.Level[name] = b.used, b.level
	}
	return t
}

func (c *Core) settled(now time.Time) bool { return now.Sub(c.startedAt) > adoptionPeriod }

// adopting reports whether this daemon takes over lower levels of its peers: it has
// just started, or has just begun to receive their totals.
func (c *Core) adopting(now time.Time) bool {
	return !c.settled(now) || !c.collectingAt.IsZero() && now.Sub(c.collectingAt) <= adoptionPeriod
}

// SetPeer applies the totals that a peer reports.
func (c *Core) SetPeer(now time.Time, name string, incarnation uint64, totals Totals) {
	p, ok := c.peers[name]
	if !ok || p.incarnation != incarnation {
		c.peers[name] = &peer{incarnation: incarnation, lastReportAt: now, used: totals.Used, assumed: make(map[string]float64)}
		if !totals.Settled {
			c.subtractUsed(now, totals.Used)
		}
		c.adoptLevels(now, totals)
		return
	}
	for account, b := range c.buckets {
		c.refill(now, account, b)
		spent := totals.Used[account] - p.used[account]
		// What was assumed while the peer sent no reports has already been
		// deducted.
		alreadyDeducted := math.Min(math.Max(spent, 0), p.assumed[account])
		b.level = math.Min(b.level-(spent-alreadyDeducted), b.limit.Burst)
		b.peersSpent += math.Max(spent, 0)
		delete(p.assumed, account)
	}
	if now.Sub(p.lastReportAt) > peerSilenceTimeout {
		c.silentAt = time.Time{}
	}
	p.used, p.lastReportAt = totals.Used, now
	c.adoptLevels(now, totals)
}

// Levels is what a daemon that knows the spending of all states of the buckets.
type Levels struct {
	Level map[string]float64 `cbor:"1,keyasint,omitempty"`
	// Settled is set unless the daemon is still taking over the levels of others.
	Settled bool `cbor:"2,keyasint,omitempty"`
}

// Levels returns the bucket levels of the accounts that have a limit.
func (c *Core) Levels(now time.Time) Levels {
	l := Levels{Level: make(map[string]float64, len(c.buckets)), Settled: !c.adopting(now)}
	for name, b := range c.buckets {
		if b.limit.Rate > 0 {
			c.refill(now, name, b)
			l.Level[name] = math.Round(b.level)
		}
	}
	return l
}

// Used returns the total admitted cost of each account that has a limit.
func (c *Core) Used() map[string]float64 {
	used := make(map[string]float64, len(c.buckets))
	for name, b := range c.buckets {
		if b.used != 0 {
			used[name] = b.used
		}
	}
	return used
}

// Adopt replaces this daemon's levels by those of a daemon that receives the totals of
// all. They include this daemon's spending as far as its totals were included; what it
// has spent since is deducted. If included is nil it is not known what they include, or
// if the other daemon has just started, its levels only lower this daemon's.
func (c *Core) Adopt(now time.Time, l Levels, included map[string]float64, daemons int) {
	c.levelsAt, c.levelsDaemons, c.silentAt = now, daemons, time.Time{}
	for account, level := range l.Level {
		b, ok := c.buckets[account]
		if !ok || b.limit.Rate == 0 {
			continue
		}
		c.refill(now, account, b)
		if included != nil {
			level -= b.used - included[account]
		}
		level = math.Min(level, b.limit.Burst)
		b.peersSpent += math.Max(b.level-level, 0)
		if level < b.level || included != nil && l.Settled {
			b.level = level
		}
	}
}

// Collect makes this daemon rely on the totals of its peers, which it begins to receive
// one by one, instead of another daemon's levels. Until all have reported, it takes over
// lower levels of its peers.
func (c *Core) Collect(now time.Time) {
	c.collectingAt, c.levelsAt, c.levelsDaemons, c.silentAt = now, time.Time{}, 0, time.Time{}
	for _, p := range c.peers {
		// What a peer has spent so far is in the adopted levels.
		p.incarnation, p.lastReportAt = 0, now
	}
}

// subtractUsed deducts what a peer has spent between its start and its first
// report.
func (c *Core) subtractUsed(now time.Time, used map[string]float64) {
	for account, b := range c.buckets {
		c.refill(now, account, b)
		b.level -= used[account]
	}
}

// adoptLevels lowers the buckets of a daemon that takes over levels to those of a
// peer that has run for longer.
func (c *Core) adoptLevels(now time.Time, totals Totals) {
	if !c.adopting(now) || !totals.Settled {
		return
	}
	for account, level := range totals.Level {
		if b, ok := c.buckets[account]; ok {
			c.refill(now, account, b)
			b.level = math.Min(b.level, level)
		}
	}
}

// RemovePeer removes a peer that has stopped or left permanently.
func (c *Core) RemovePeer(name string) {
	delete(c.peers, name)
	c.silentAt = time.Time{}
}
