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

// Work is the cumulative work that callers have offered to a service at one daemon since its
// start.
type Work struct {
	Requests int
	// PrefillTokens counts the prompt tokens that engines had to prefill.
	PrefillTokens int
	// RefusedRequests and RefusedTokens count what was refused for want of room.
	RefusedRequests int
	RefusedTokens   int
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
	// ZoneSpeeds is the mean speed of a server by zone, relative to that of the service. Zones
	// without an entry have the speed of the service.
	ZoneSpeeds map[string]float64
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
	// probeInterval is the least time between two orders for reclaimable servers after
	// refusals.
	probeInterval = 1500 * time.Millisecond
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
	// cost several times as much, and the need leaves half of the engines' time
	// free.
	onDemandShare = 0.75
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
	// active is the number of servers that accept work by group, and listed that of all
	// servers, at the last plan. Leaving servers count towards the limit of their zone.
	active, listed map[ServerGroup]int
	loads          []loadSample
	need           delayedDecrease
	onDemand       windowMaximum
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
	forecast     *Forecast
	boots        bootTimes
	reserve      Reserve
	// reclaimed holds the zones whose current reclaim has been counted.
	reclaimed map[string]bool
	// reclaimableAcceptedAt and reclaimableRefusedAt are when an order for more reclaimable
	// servers was last accepted and refused.
	reclaimableAcceptedAt, reclaimableRefusedAt time.Time
	// trialSince is when there were enough reclaimable servers for the first time.
	trialSince time.Time
	zoneSpeeds map[string]float64
	// refusals holds the zones that have refused every order for reclaimable servers of late.
	refusals map[string]zoneRefusals
}

// prefillSample holds prompt tokens that were sent to engines, and those refused for want of room.
type prefillSample struct {
	at            time.Time
	sent, refused int
}

// zoneRefusals holds the times of the first and the last refusal of a zone without an accepted
// order, or scarcityDuration without any, between.
type zoneRefusals struct {
	since, last time.Time
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

// windowMaximum is the highest of the numbers set within a time, which may differ from one number
// to the next.
type windowMaximum struct {
	value   int
	numbers []timedNumber
}

type timedNumber struct {
	at    time.Time
	value int
}

func (m *windowMaximum) set(now time.Time, value int, within time.Duration) {
	kept := m.numbers[:0]
	m.value = value
	for _, n := range m.numbers {
		if now.Sub(n.at) < within && n.value > value {
			kept = append(kept, n)
			m.value = max(m.value, n.value)
		}
	}
	m.numbers = append(kept, timedNumber{at: now, value: value})
}

// New returns a Core without orders.
func New(service string, options Options) *Core {
	return &Core{options: options, service: service, orders: make(map[ServerGroup]*orderState), work: make(map[string]Work),
		forecast: newForecast(), reclaimed: make(map[string]bool), refusals: make(map[string]zoneRefusals),
		boots: bootTimes{expected: defaultBootTime, pending: make(map[ServerGroup]pendingBoot)}}
}

// Observe adds the current load.
func (c *Core) Observe(now time.Time, load Load) {
	c.zoneSpeeds = load.ZoneSpeeds
	sent, refused, requests := 0, 0, 0
	for daemon, w := range load.Work {
		// The totals of a daemon start from zero when it restarts.
		last := c.work[daemon]
		if w.Requests < last.Requests || w.RefusedRequests < last.RefusedRequests {
			last = Work{}
		}
		if _, known := c.work[daemon]; known {
			sent += w.PrefillTokens - last.PrefillTokens
			refused += w.RefusedTokens - last.RefusedTokens
			requests += w.Requests - last.Requests + w.RefusedRequests - last.RefusedRequests
		}
		c.work[daemon] = w
	}
	if requests > 0 && c.firstRequestAt.IsZero() {
		c.firstRequestAt = now
	}
	c.prefillSamples = append(c.prefillSamples, prefillSample{at: now, sent: sent, refused: refused})
	for now.Sub(c.prefillSamples[0].at) >= c.options.RateWindow {
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
	sent, refused := 0, 0
	for _, f := range c.prefillSamples {
		sent += f.sent
		refused += f.refused
	}
	window := float64(c.options.RateWindow.Milliseconds())
	b := Basis{TokensPerMilli: float64(sent+refused) / window, RefusedPerMilli: float64(refused) / window}
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
	// had to prefill, or would have had to if there had been room. RefusedPerMilli is the
	// refused part of it.
	TokensPerMilli, RefusedPerMilli float64
	// EnginesForPrompts is the number of engines required for prefill, and
	// EnginesForSlots the number required for the slots of the running requests.
	EnginesForPrompts, EnginesForSlots float64
}

// Basis returns the figures computed from the newest load.
func (c *Core) Basis() Basis { return c.basis }

// Ordered records that an order was accepted.
func (c *Core) Ordered(now time.Time, o Order) {
	if o.Reclaimable && c.orderDelta(o) > 0 && o.Desired > c.active[o.ServerGroup] {
		c.reclaimableAcceptedAt = now
		delete(c.refusals, o.Zone)
		c.forecast.Accepted(now)
	}
	c.boots.ordered(now, o, c.active[o.ServerGroup])
	c.orders[o.ServerGroup] = &orderState{desired: o.Desired, at: now}
}

// Refused records that the zone had no capacity for an order.
func (c *Core) Refused(now time.Time, o Order) {
	if o.Reclaimable {
		c.reclaimableRefusedAt = now
		r, ok := c.refusals[o.Zone]
		if !ok || now.Sub(r.last) >= scarcityDuration {
			r.since = now
		}
		r.last = now
		c.refusals[o.Zone] = r
		// A zone that refuses for much longer than scarcity lasts, while others have servers, says
		// nothing about the others.
		if now.Sub(r.since) < 2*scarcityDuration || c.reserve.ReclaimableZones == 0 {
			c.forecast.Refused(now)
		}
	}
	delete(c.boots.pending, o.ServerGroup)
	c.orders[o.ServerGroup] = &orderState{at: now, refusedAt: now}
}

// Reserve returns the on-demand servers of the last plan and what they follow from.
func (c *Core) Reserve() Reserve { return c.reserve }

// Experience is what a Core has learned and a later lease holder needs.
type Experience struct {
	Forecast ForecastState `json:"forecast"`
	// BootMillis is the time from an order until its servers accept work.
	BootMillis int64 `json:"bootMs"`
}

// Experience returns what the Core has learned.
func (c *Core) Experience() Experience {
	return Experience{Forecast: c.forecast.State(), BootMillis: c.boots.expected.Milliseconds()}
}

// InheritExperience takes over what an earlier lease holder had learned at the given age.
func (c *Core) InheritExperience(now time.Time, e Experience, age time.Duration) {
	c.forecast.restore(now, e.Forecast, age)
	if boot := time.Duration(e.BootMillis) * time.Millisecond; boot > 0 && boot <= maxBootTime {
		c.boots.expected, c.boots.known = boot, true
	}
}
