// Package scaling decides how many BackendServers of each kind every
// AvailabilityZone should have. The core does no I/O; orders are absolute.
package scaling

import "time"

// Subject is what one order is about.
type ServerGroup struct {
	Service     string
	Zone        string
	Reclaimable bool
}

// Order is an absolute number of servers.
type Order struct {
	ServerGroup
	Desired int
}

// Work is what one daemon has given to a service since its start.
type Work struct {
	Requests int
	// Prefill counts prompt tokens that engines had to read.
	PrefillTokens int
}

// Load is the load of a service over all daemons.
type Load struct {
	// Generating counts requests whose answer has begun, Slots is how many one
	// engine runs. Requests that wait for their prompt to be read do not count:
	// they pile up where servers are missing.
	Generating int
	Slots      int
	// PrefillRate is in prompt tokens per millisecond of one engine.
	PrefillRate float64
	// Work is by daemon.
	Work map[string]Work
}

// Options configure a Core.
type Options struct {
	// TargetSlotShare is the part of an engine's slots that is to be in use.
	TargetSlotShare float64
	// TargetPrefillShare is the part of an engine's time that is to go into reading
	// prompts; what generates tokens meanwhile is slowed down.
	TargetPrefillShare float64
	// MinServers is the smallest number of a service.
	MinServers int
	// RateWindow is the time over which the flow of work is taken.
	RateWindow time.Duration
	// LoadWindow is how long the highest load is remembered.
	LoadWindow time.Duration
	// Trust is how long load has to be seen before fewer servers than there
	// were at first are ordered.
	MinObservation time.Duration
}

// DefaultOptions suit engines that run a few dozen requests at once.
func DefaultOptions() Options {
	return Options{TargetSlotShare: 0.3, TargetPrefillShare: 0.5, MinServers: 4, RateWindow: 3 * time.Second,
		LoadWindow: 12 * time.Second, MinObservation: 6 * time.Second}
}

const (
	// refusedRetryDelay is when a zone that had no servers to give is asked again.
	refusedRetryDelay = 3 * time.Second
	// repeatAfter is when an order is given again that the fleet does not show:
	// a server boots and writes its entry well within that time.
	repeatAfter = 10 * time.Second
	// reclaimedRepeatAfter is when an order is given again after servers were
	// reclaimed.
	reclaimedRepeatAfter = 2 * time.Second
	// settleTime is how long no further server appears before the size of a
	// service is taken for known: a server writes its entry every second or so.
	settleTime = 1500 * time.Millisecond
	// lowerAfter is how long a lower number has to be enough before it is
	// ordered.
	lowerAfter = 6 * time.Second
	// onDemandLowerAfter is the same for servers that stand in for reclaimable
	// ones, which cost several times as much.
	onDemandLowerAfter = 3 * time.Second
	// zonesAtRisk is how many zones may be reclaimed before firm servers have
	// booted in their place.
	zonesAtRisk = 2
	// presentShare is the part of the servers present at first that is kept
	// until there is load: operators provide for their peak.
	presentShare = 0.7
	// maxNeedFactor bounds the need in relation to the servers present at first.
	maxNeedFactor = 1.25
	// onDemandShare is the part of the need that firm servers make up for: they
	// cost several times as much, and reclaimable ones come back in seconds.
	onDemandShare = 0.75
	// scarcityPeriod is how long a refusal tells that there are few reclaimable
	// servers to be had; zones are reclaimed within seconds of one another.
	scarcityPeriod = 10 * time.Second
	// raiseAfter is how long the need is at its bound before that is raised: an
	// overload after reclaims ends sooner.
	raiseAfter = 20 * time.Second
)

// Core is the scaling of one service. It is not safe for concurrent use.
type Core struct {
	options Options
	service string
	orders  map[ServerGroup]*orderState
	// seen are the servers at the last plan.
	lastServers map[ServerGroup]int
	loads       []loadSample
	need        delayedDecrease
	onDemand    delayedDecrease
	// work is the last total of each daemon, flow the tokens since.
	work map[string]Work
	flow []flowSample
	// basis is what the newest load asks for.
	basis Basis
	// firstRequestAt is when requests were first seen, present how many servers
	// there were at first.
	firstRequestAt time.Time
	present        int
	// lastGrowthAt is when more servers appeared than were known.
	lastGrowthAt time.Time
	// inherited says that present was told by an earlier holder.
	inherited bool
	// atBoundSince is since when the need has been at its bound.
	atBoundSince time.Time
	// lastReclaimAt is when reclaimable servers were last seen to be taken away.
	lastReclaimAt time.Time
}

type flowSample struct {
	at     time.Time
	tokens int
}

type orderState struct {
	desired   int
	at        time.Time
	refusedAt time.Time
}

type loadSample struct {
	at   time.Time
	need float64
}

// held is a number that rises at once and falls when a lower one has been
// enough for a while.
type delayedDecrease struct {
	value int
	// lowerSince is since when lower numbers were enough, lower the highest of
	// them.
	lowerSince time.Time
	lower      int
}

func (d *delayedDecrease) set(now time.Time, value int, after time.Duration) {
	switch {
	case value >= d.value:
		d.value, d.lowerSince = value, time.Time{}
	case d.lowerSince.IsZero():
		d.lowerSince, d.lower = now, value
	default:
		d.lower = max(d.lower, value)
		if now.Sub(d.lowerSince) >= after {
			d.value, d.lowerSince = d.lower, time.Time{}
		}
	}
}

// New returns a Core that has ordered nothing.
func New(service string, options Options) *Core {
	return &Core{options: options, service: service, orders: make(map[ServerGroup]*orderState), work: make(map[string]Work)}
}

// Observe takes the present load.
func (c *Core) Observe(now time.Time, load Load) {
	tokens, requests := 0, 0
	for daemon, w := range load.Work {
		// The total of a daemon that has restarted begins anew.
		last := c.work[daemon]
		if w.Requests < last.Requests {
			last = Work{}
		}
		if _, known := c.work[daemon]; known {
			tokens += w.PrefillTokens - last.PrefillTokens
			requests += w.Requests - last.Requests
		}
		c.work[daemon] = w
	}
	if requests > 0 && c.firstRequestAt.IsZero() {
		c.firstRequestAt = now
	}
	c.flow = append(c.flow, flowSample{at: now, tokens: tokens})
	for now.Sub(c.flow[0].at) > c.options.RateWindow {
		c.flow = c.flow[1:]
	}
	c.loads = append(c.loads, loadSample{at: now, need: c.needFor(load)})
	for now.Sub(c.loads[0].at) > c.options.LoadWindow {
		c.loads = c.loads[1:]
	}
}

// needFor returns how many engines the load asks for: those that read the
// prompts, and those whose slots the requests take.
func (c *Core) needFor(load Load) float64 {
	sum := 0
	for _, f := range c.flow {
		sum += f.tokens
	}
	b := Basis{TokensPerMilli: float64(sum) / float64(c.options.RateWindow.Milliseconds())}
	if load.PrefillRate > 0 {
		b.EnginesForPrompts = b.TokensPerMilli / (load.PrefillRate * c.options.TargetPrefillShare)
	}
	b.EnginesForSlots = float64(load.Generating) / (float64(max(load.Slots, 1)) * c.options.TargetSlotShare)
	c.basis = b
	return b.EnginesForPrompts + b.EnginesForSlots
}

// Present returns how many servers the operator provides for the peak, as far
// as is known.
func (c *Core) Present() int { return c.present }

// Settled reports whether the size of the service is known.
func (c *Core) Settled(now time.Time) bool {
	return c.inherited || c.present > 0 && now.Sub(c.lastGrowthAt) >= settleTime
}

// Trusts reports whether load has been seen for long enough to plan by it.
func (c *Core) ObservedLongEnough(now time.Time) bool {
	return !c.firstRequestAt.IsZero() && now.Sub(c.firstRequestAt) >= c.options.MinObservation
}

// Inherit takes over what an earlier holder of the duty knew of the service's
// size. The load has to be seen anew before fewer servers are ordered.
func (c *Core) Inherit(now time.Time, present int) {
	c.present, c.inherited, c.atBoundSince = present, true, now
}

// Need returns the number of servers that the load asks for.
func (c *Core) Need() int { return c.need.value }

// Basis is what the need was worked out from, for the log.
type Basis struct {
	// TokensPerMilli is the flow of prompt tokens that engines had to read.
	TokensPerMilli float64
	// EnginesForPrompts and EnginesForSlots are the engines that the flow and the running
	// requests ask for.
	EnginesForPrompts, EnginesForSlots float64
}

// Basis returns what the newest load asks for.
func (c *Core) Basis() Basis { return c.basis }

// Ordered records that an order was accepted.
func (c *Core) Ordered(now time.Time, o Order) {
	c.orders[o.ServerGroup] = &orderState{desired: o.Desired, at: now}
}

// Refused records that there are no servers of the kind in the zone.
func (c *Core) Refused(now time.Time, o Order) {
	c.orders[o.ServerGroup] = &orderState{at: now, refusedAt: now}
}
