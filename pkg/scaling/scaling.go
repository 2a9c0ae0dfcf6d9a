// Package scaling decides how many reclaimable and on-demand BackendServers
// each AvailabilityZone should have. The core does no I/O. Orders state the
// total number of servers, not a change of it.
package scaling

import "time"

// ServerGroup identifies the servers that an order applies to: those of a
// service in an AvailabilityZone that are all reclaimable or all on-demand.
type ServerGroup struct {
	Service     string
	Zone        string
	Reclaimable bool
}

// Order is the desired total number of servers in a group.
type Order struct {
	ServerGroup
	Desired int
}

// Work is the cumulative work that one daemon has sent to a service since its
// start.
type Work struct {
	Requests int
	// PrefillTokens counts the prompt tokens that engines had to prefill.
	PrefillTokens int
}

// Load is the load of a service over all daemons.
type Load struct {
	// Generating counts requests whose answer has begun. Requests that wait for
	// the prefill of their prompt do not count: they accumulate when there are
	// too few servers.
	Generating int
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// PrefillRate is in prompt tokens per millisecond of one engine.
	PrefillRate float64
	// Work is the cumulative work by daemon.
	Work map[string]Work
}

// Options configures a Core.
type Options struct {
	// TargetSlotShare is the fraction of an engine's slots that should be in use.
	TargetSlotShare float64
	// TargetPrefillShare is the fraction of an engine's time that should be spent
	// on prefill. Prefill slows down the requests that generate tokens meanwhile.
	TargetPrefillShare float64
	// MinServers is the minimum number of servers of a service.
	MinServers int
	// RateWindow is the time over which the rate of prefill tokens is measured.
	RateWindow time.Duration
	// LoadWindow is the time over which the highest load is taken.
	LoadWindow time.Duration
	// MinObservation is how long load must have been observed before it alone
	// decides the number of servers. Until then at least presentShare of the
	// initial servers is kept.
	MinObservation time.Duration
}

// DefaultOptions returns options for engines that run a few dozen requests
// concurrently.
func DefaultOptions() Options {
	return Options{TargetSlotShare: 0.3, TargetPrefillShare: 0.5, MinServers: 4, RateWindow: 3 * time.Second,
		LoadWindow: 12 * time.Second, MinObservation: 6 * time.Second}
}

const (
	// refusedRetryDelay is the delay before an order is repeated in a zone that
	// had no capacity.
	refusedRetryDelay = 3 * time.Second
	// repeatAfter is the delay before an order is repeated that the fleet has not
	// reached. A server boots and writes its entry in the fleet's store well
	// within that time.
	repeatAfter = 10 * time.Second
	// reclaimedRepeatAfter is the delay before an order is repeated after servers
	// were reclaimed.
	reclaimedRepeatAfter = 2 * time.Second
	// settleTime is how long no further server must have appeared before the size
	// of a service counts as known. A server writes its entry in the fleet's store
	// about once a second.
	settleTime = 1500 * time.Millisecond
	// lowerAfter is how long a lower number of servers must have sufficed before
	// it is ordered.
	lowerAfter = 6 * time.Second
	// onDemandLowerAfter is the same for on-demand servers that replace reclaimable
	// ones. It is shorter because they cost several times as much.
	onDemandLowerAfter = 3 * time.Second
	// zonesAtRisk is the number of zones that may be reclaimed before on-demand
	// servers have booted as replacements.
	zonesAtRisk = 2
	// presentShare is the fraction of the initial servers that is kept until there
	// is load: operators provision for their peak.
	presentShare = 0.7
	// maxNeedFactor bounds the need in multiples of the initial number of servers.
	maxNeedFactor = 1.25
	// onDemandShare is the fraction of the need up to which on-demand servers
	// replace missing reclaimable ones. It is below 1 because on-demand servers
	// cost several times as much, and reclaimable ones become available again
	// within seconds.
	onDemandShare = 0.75
	// scarcityPeriod is how long reclaimable servers count as scarce after a
	// refusal or a reclaim. Zones are reclaimed within seconds of one another.
	scarcityPeriod = 10 * time.Second
	// raiseAfter is how long the need must have been at its bound before the
	// bound is raised. An overload after reclaims ends sooner.
	raiseAfter = 20 * time.Second
)

// Core holds the scaling state of one service. It is not safe for concurrent
// use.
type Core struct {
	options Options
	service string
	orders  map[ServerGroup]*orderState
	// lastServers is the number of active servers by group at the last plan.
	lastServers map[ServerGroup]int
	loads       []loadSample
	need        delayedDecrease
	onDemand    delayedDecrease
	// work is the last reported total of each daemon.
	work map[string]Work
	// prefillSamples lists the prefill tokens of each observation within
	// RateWindow.
	prefillSamples []prefillSample
	// basis is computed from the newest load.
	basis Basis
	// firstRequestAt is when requests were first seen.
	firstRequestAt time.Time
	// present is the initial number of servers, which bounds the need, or 0 while
	// it is unknown. It is raised when the need stays at its bound.
	present int
	// lastGrowthAt is when more servers appeared than were known before.
	lastGrowthAt time.Time
	// inherited is set when present was taken over from an earlier lease holder.
	inherited bool
	// atBoundSince is the time since which the need has been at its bound.
	atBoundSince time.Time
	// lastReclaimAt is when reclaimable servers were last seen to be reclaimed.
	lastReclaimAt time.Time
}

type prefillSample struct {
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

// delayedDecrease is a number that rises at once and falls only when a lower
// number has sufficed for some time.
type delayedDecrease struct {
	value int
	// lowerSince is the time since which lower numbers have sufficed.
	lowerSince time.Time
	// lower is the highest of the numbers set since lowerSince.
	lower int
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

// New returns a Core without orders.
func New(service string, options Options) *Core {
	return &Core{options: options, service: service, orders: make(map[ServerGroup]*orderState), work: make(map[string]Work)}
}

// Observe adds the current load.
func (c *Core) Observe(now time.Time, load Load) {
	tokens, requests := 0, 0
	for daemon, w := range load.Work {
		// The totals of a daemon start from zero when it restarts.
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
	c.prefillSamples = append(c.prefillSamples, prefillSample{at: now, tokens: tokens})
	for now.Sub(c.prefillSamples[0].at) > c.options.RateWindow {
		c.prefillSamples = c.prefillSamples[1:]
	}
	c.loads = append(c.loads, loadSample{at: now, need: c.needFor(load)})
	for now.Sub(c.loads[0].at) > c.options.LoadWindow {
		c.loads = c.loads[1:]
	}
}

// needFor returns the number of engines that the load requires: those for the
// prefill of the prompts and those for the slots of the running requests.
func (c *Core) needFor(load Load) float64 {
	sum := 0
	for _, f := range c.prefillSamples {
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

// Present returns the number of servers that the operator provisioned for the
// peak, or 0 while it is unknown. It rises when the need stays at its bound.
func (c *Core) Present() int { return c.present }

// Settled reports whether the size of the service is known.
func (c *Core) Settled(now time.Time) bool {
	return c.inherited || c.present > 0 && now.Sub(c.lastGrowthAt) >= settleTime
}

// ObservedLongEnough reports whether there has been load for at least
// MinObservation, so that plans can be based on it.
func (c *Core) ObservedLongEnough(now time.Time) bool {
	return !c.firstRequestAt.IsZero() && now.Sub(c.firstRequestAt) >= c.options.MinObservation
}

// Inherit takes over the size of the service that an earlier lease holder
// determined. The load must be observed again for MinObservation before fewer
// servers are ordered.
func (c *Core) Inherit(now time.Time, present int) {
	c.present, c.inherited, c.atBoundSince = present, true, now
}

// Need returns the number of servers that the load requires.
func (c *Core) Need() int { return c.need.value }

// Basis holds the figures from which the need was computed, for the log.
type Basis struct {
	// TokensPerMilli is the number of prompt tokens per millisecond that engines
	// had to prefill.
	TokensPerMilli float64
	// EnginesForPrompts is the number of engines required for prefill, and
	// EnginesForSlots the number required for the slots of the running requests.
	EnginesForPrompts, EnginesForSlots float64
}

// Basis returns the figures computed from the newest load.
func (c *Core) Basis() Basis { return c.basis }

// Ordered records that an order was accepted.
func (c *Core) Ordered(now time.Time, o Order) {
	c.orders[o.ServerGroup] = &orderState{desired: o.Desired, at: now}
}

// Refused records that the zone had no capacity for an order.
func (c *Core) Refused(now time.Time, o Order) {
	c.orders[o.ServerGroup] = &orderState{at: now, refusedAt: now}
}
