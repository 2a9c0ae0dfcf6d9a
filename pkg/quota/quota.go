// Package quota holds ClientAccounts to their usage limits over all daemons
// without a call to a store per request. Each daemon keeps the bucket of the
// whole deployment: it drains it by its own requests at once and by those of
// its peers as they state their totals. The core does no I/O.
package quota

import (
	"math"
	"time"
)

// Limit is a token bucket.
type Limit struct {
	// Rate is the refill per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// peerSilenceTimeout is when a peer that states nothing is assumed to spend its equal
// share; peers state their totals several times a second.
const peerSilenceTimeout = 1200 * time.Millisecond

// adoptionPeriod is how long after its start a daemon takes over the bucket levels
// of its peers, which know what was spent before.
const adoptionPeriod = 3 * time.Second

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// used is the total that this daemon has let through.
	used float64
	// own and others are the recent spending of this daemon and of its peers,
	// decayed with shareHalfLife.
	ownSpent, peersSpent float64
	recent               []charge
	// asked is what this daemon was asked for within fairShareWindow, refused
	// requests too.
	requested []charge
}

// spending is what was let through at a time.
type charge struct {
	at   time.Time
	cost float64
}

const (
	// shareHalfLife is the time over which a daemon's share of an account's
	// requests is taken.
	shareHalfLife = 2 * time.Second
	// toleranceShare is the part of what is tolerated beyond a limit that daemons
	// may spend together before they hear of one another; the rest covers what
	// they spend beyond a bucket that has run empty meanwhile.
	toleranceShare = 0.5
	// fairShareWindow is the time over which an account's requests at a daemon are
	// compared with its share of the limit: a few requests of each account come
	// to one daemon of many in that time.
	fairShareWindow = 2 * time.Second
	// fairShareFactor is how many times an equal share of the limit an account may
	// ask of one daemon before only the daemon's portion is spent. With it 85
	// daemons let through 1.06 of a limit at most in the waves and bursts of the
	// tests, where 1.15 is tolerated.
	fairShareFactor = 3.0
	// fairShareMinLevel is the part of a bucket below which an account is near its
	// limit and only portions are spent.
	fairShareMinLevel = 0.7
	// defaultStaleness is the age of the peers' totals until it is set.
	defaultStaleness = 350 * time.Millisecond
)

type peer struct {
	incarnation  uint64
	lastReportAt time.Time
	used         map[string]float64
	// assumed is what was drained for the peer while it was silent.
	assumed map[string]float64
}

// Options say how exactly limits have to hold: in a window of time an account
// may spend its limit, a part of it more, and a fixed amount besides.
type Options struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Core is the state of one daemon. It is not safe for concurrent use.
type Core struct {
	options   Options
	startedAt time.Time
	// staleness is how old the totals of peers may be.
	staleness time.Duration
	buckets   map[string]*bucket
	peers     map[string]*peer
}

// New returns a Core without limits.
func New(now time.Time, o Options) *Core {
	return &Core{options: o, startedAt: now, staleness: defaultStaleness, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// SetLimits replaces the limits. A lower burst takes effect at once.
func (c *Core) SetLimits(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		b, ok := c.buckets[name]
		if !ok {
			c.buckets[name] = &bucket{limit: limit, level: limit.Burst, refilledAt: now}
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
}

// Take charges cost to an account, or says when it can be had.
func (c *Core) Take(now time.Time, account string, cost float64) (retryAfter time.Duration, ok bool) {
	b, known := c.buckets[account]
	if !known || b.limit.Rate == 0 {
		return 0, true
	}
	c.refill(now, account, b)
	// A request larger than the whole bucket passes when the bucket is full.
	if need := math.Min(cost, b.limit.Burst); b.level < need {
		return time.Duration((need - b.level) / b.limit.Rate * float64(time.Second)), false
	}
	requested := b.recordRequested(now, cost)
	if !c.withinPortion(now, b, cost) && !c.withinFairShare(b, requested, cost) {
		return c.staleness, false
	}
	b.level -= cost
	b.used += cost
	b.recent = append(b.recent, charge{at: now, cost: cost})
	return 0, true
}

// SetStaleness sets how old the totals of peers may be.
func (c *Core) SetStaleness(d time.Duration) { c.staleness = d }

// withinPortion reports whether a daemon may spend cost before it hears of its
// peers, who may all be spending from the same bucket at this moment: it has a
// portion of the bucket by its share of the account's recent requests.
func (c *Core) withinPortion(now time.Time, b *bucket, cost float64) bool {
	for len(b.recent) > 0 && now.Sub(b.recent[0].at) > c.staleness {
		// The share compares what is as old as what peers have stated.
		b.ownSpent += b.recent[0].cost
		b.recent = b.recent[1:]
	}
	if len(c.peers) == 0 || len(b.recent) == 0 {
		return true
	}
	spent := 0.0
	for _, r := range b.recent {
		spent += r.cost
	}
	share := 1 / float64(len(c.peers)+1)
	if total := b.ownSpent + b.peersSpent; total > 0 {
		share = math.Max(share, b.ownSpent/total)
	}
	refill := b.limit.Rate * c.staleness.Seconds()
	tolerated := c.options.Overage*(b.limit.Rate*c.options.Window.Seconds()+b.limit.Burst) + c.options.Slack
	factor := 1 + toleranceShare*tolerated/(b.limit.Burst+refill)
	return spent+cost <= factor*share*(math.Max(b.level+spent, 0)+refill)
}

// ask notes what a daemon is asked for and returns what it was asked for within
// fairShareWindow before.
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

// usual reports whether an account asks this daemon for about its share and is
// not near its limit. One request may cost more than a daemon's portion of the
// bucket where there are dozens of daemons, though all of them together are asked
// for far less than there is.
func (c *Core) withinFairShare(b *bucket, requested, cost float64) bool {
	share := b.limit.Rate * fairShareWindow.Seconds() / float64(len(c.peers)+1)
	return b.level >= fairShareMinLevel*b.limit.Burst && requested+cost <= max(cost, fairShareFactor*share)
}

// Return gives back the cost of a request that did not run.
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

// Level returns the balance of an account's bucket.
func (c *Core) Level(now time.Time, account string) float64 {
	b, ok := c.buckets[account]
	if !ok {
		return 0
	}
	c.refill(now, account, b)
	return b.level
}

func (c *Core) refill(now time.Time, account string, b *bucket) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.level += b.limit.Rate * elapsed
	decay := math.Exp2(-elapsed / shareHalfLife.Seconds())
	b.ownSpent, b.peersSpent = b.ownSpent*decay, b.peersSpent*decay
	share := b.limit.Rate * elapsed / float64(len(c.peers)+1)
	for _, p := range c.peers {
		if now.Sub(p.lastReportAt) > peerSilenceTimeout {
			b.level -= share
			p.assumed[account] += share
		}
	}
	b.level = math.Min(b.level, b.limit.Burst)
}

// Expect makes a peer count that has not been heard yet: until it is, it is
// assumed to spend its share.
func (c *Core) AddPeer(name string) {
	if _, ok := c.peers[name]; !ok {
		c.peers[name] = &peer{assumed: make(map[string]float64)}
	}
}

// Totals are what a daemon states to its peers.
type Totals struct {
	Used  map[string]float64 `cbor:"1,keyasint,omitempty"`
	Level map[string]float64 `cbor:"2,keyasint,omitempty"`
	// Settled says that the levels take into account what was spent before the
	// daemon started.
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

// SetPeer takes the totals of a peer.
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
		// What was assumed while the peer was silent has been drained already.
		alreadyDeducted := math.Min(math.Max(spent, 0), p.assumed[account])
		b.level = math.Min(b.level-(spent-alreadyDeducted), b.limit.Burst)
		b.peersSpent += math.Max(spent, 0)
		delete(p.assumed, account)
	}
	p.used, p.lastReportAt = totals.Used, now
	c.adoptLevels(now, totals)
}

// drain counts what a peer has spent since it started, just before it was first
// heard.
func (c *Core) subtractUsed(now time.Time, used map[string]float64) {
	for account, b := range c.buckets {
		c.refill(now, account, b)
		b.level -= used[account]
	}
}

// adopt lowers the buckets of a daemon that has just started to those of a peer
// that has run for longer.
func (c *Core) adoptLevels(now time.Time, totals Totals) {
	if c.settled(now) || !totals.Settled {
		return
	}
	for account, level := range totals.Level {
		if b, ok := c.buckets[account]; ok {
			b.level = math.Min(b.level, level)
		}
	}
}

// Forget removes a peer that is gone for good.
func (c *Core) RemovePeer(name string) { delete(c.peers, name) }
