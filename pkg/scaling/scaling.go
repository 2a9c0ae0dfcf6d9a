// Package scaling decides how many BackendServers of each kind every
// AvailabilityZone should have. The core does no I/O; orders are absolute.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Subject is what one order is about.
type Subject struct {
	Service     string
	Zone        string
	Reclaimable bool
}

// Order is an absolute number of servers.
type Order struct {
	Subject
	Desired int
}

// Work is what one daemon has given to a service since its start.
type Work struct {
	Requests int
	// Prefill counts prompt tokens that engines had to read.
	Prefill int
}

// Load is the load of a service over all daemons.
type Load struct {
	// Running counts requests at engines, Slots is how many one engine runs.
	Running int
	Slots   int
	// PrefillRate is in prompt tokens per millisecond of one engine.
	PrefillRate float64
	// Work is by daemon.
	Work map[string]Work
}

// Options configure a Core.
type Options struct {
	// SlotShare is the part of an engine's slots that is to be in use.
	SlotShare float64
	// PrefillShare is the part of an engine's time that is to go into reading
	// prompts; what generates tokens meanwhile is slowed down.
	PrefillShare float64
	// MinServers is the smallest number of a service.
	MinServers int
	// RateWindow is the time over which the flow of work is taken.
	RateWindow time.Duration
	// LoadMemory is how long the highest load is remembered.
	LoadMemory time.Duration
	// Trust is how long load has to be seen before fewer servers than there
	// were at first are ordered.
	Trust time.Duration
}

// DefaultOptions suit engines that run a few dozen requests at once.
func DefaultOptions() Options {
	return Options{SlotShare: 0.3, PrefillShare: 0.5, MinServers: 4, RateWindow: 3 * time.Second,
		LoadMemory: 12 * time.Second, Trust: 6 * time.Second}
}

const (
	// refusedRetry is when a zone that had no servers to give is asked again.
	refusedRetry = 3 * time.Second
	// repeatAfter is when an order is given again that the fleet does not show:
	// a server boots and writes its entry well within that time.
	repeatAfter = 10 * time.Second
	// reclaimedAfter is when an order is given again after servers were
	// reclaimed.
	reclaimedAfter = 2 * time.Second
	// settleTime is how long no further server appears before the size of a
	// service is taken for known: a server writes its entry every second or so.
	settleTime = 1500 * time.Millisecond
	// lowerAfter is how long a lower number has to be enough before it is
	// ordered.
	lowerAfter = 6 * time.Second
	// firmLowerAfter is the same for servers that stand in for reclaimable
	// ones, which cost several times as much.
	firmLowerAfter = 3 * time.Second
	// zonesAtRisk is how many zones may be reclaimed before firm servers have
	// booted in their place.
	zonesAtRisk = 2
	// presentShare is the part of the servers present at first that is kept
	// until there is load: operators provide for their peak.
	presentShare = 0.7
	// peakShare bounds the need in relation to the servers present at first.
	peakShare = 1.25
	// firmShare is the part of the need that firm servers make up for: they
	// cost several times as much, and reclaimable ones come back in seconds.
	firmShare = 0.75
	// scarceTime is how long a refusal tells that there are few reclaimable
	// servers to be had; zones are reclaimed within seconds of one another.
	scarceTime = 10 * time.Second
	// raiseAfter is how long the need is at its bound before that is raised: an
	// overload after reclaims ends sooner.
	raiseAfter = 20 * time.Second
)

// Core is the scaling of one service. It is not safe for concurrent use.
type Core struct {
	options Options
	service string
	orders  map[Subject]*orderState
	// seen are the servers at the last plan.
	seen  map[Subject]int
	loads []loadSample
	need  held
	firm  held
	// work is the last total of each daemon, flow the tokens since.
	work map[string]Work
	flow []flowSample
	// loadedAt is when requests were first seen, present how many servers
	// there were at first.
	loadedAt time.Time
	present  int
	// grownAt is when more servers appeared than were known.
	grownAt time.Time
	// inherited says that present was told by an earlier holder.
	inherited bool
	// cappedAt is since when the need has been at its bound.
	cappedAt time.Time
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
type held struct {
	value int
	// lowerFrom is since when lower numbers were enough, lower the highest of
	// them.
	lowerFrom time.Time
	lower     int
}

func (h *held) set(now time.Time, value int, after time.Duration) {
	switch {
	case value >= h.value:
		h.value, h.lowerFrom = value, time.Time{}
	case h.lowerFrom.IsZero():
		h.lowerFrom, h.lower = now, value
	default:
		h.lower = max(h.lower, value)
		if now.Sub(h.lowerFrom) >= after {
			h.value, h.lowerFrom = h.lower, time.Time{}
		}
	}
}

// New returns a Core that has ordered nothing.
func New(service string, options Options) *Core {
	return &Core{options: options, service: service, orders: make(map[Subject]*orderState), work: make(map[string]Work)}
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
			tokens += w.Prefill - last.Prefill
			requests += w.Requests - last.Requests
		}
		c.work[daemon] = w
	}
	if requests > 0 && c.loadedAt.IsZero() {
		c.loadedAt = now
	}
	c.flow = append(c.flow, flowSample{at: now, tokens: tokens})
	for now.Sub(c.flow[0].at) > c.options.RateWindow {
		c.flow = c.flow[1:]
	}
	c.loads = append(c.loads, loadSample{at: now, need: c.needFor(load)})
	for now.Sub(c.loads[0].at) > c.options.LoadMemory {
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
	need := 0.0
	if load.PrefillRate > 0 {
		perMillisecond := float64(sum) / float64(c.options.RateWindow.Milliseconds())
		need += perMillisecond / (load.PrefillRate * c.options.PrefillShare)
	}
	return need + float64(load.Running)/(float64(max(load.Slots, 1))*c.options.SlotShare)
}

// Plan returns the orders to give now.
func (c *Core) Plan(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) []Order {
	c.updateNeed(now, servers)
	c.seen = make(map[Subject]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Leaving {
			c.seen[Subject{c.service, f.AvailabilityZone, f.Reclaimable}]++
		}
	}
	if !c.Settled(now) {
		return nil
	}
	wanted := c.distribute(now, s, zones, servers)
	var orders []Order
	for subject, desired := range wanted {
		if c.due(now, subject, desired, servers) {
			orders = append(orders, Order{Subject: subject, Desired: desired})
		}
	}
	// Servers are added before others are taken away, and what becomes of those
	// orders is known first.
	raises := slices.ContainsFunc(orders, func(o Order) bool { return c.change(o) > 0 })
	orders = slices.DeleteFunc(orders, func(o Order) bool { return raises && c.change(o) < 0 })
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(c.change(b), c.change(a)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Desired, a.Desired))
	})
	return orders
}

func (c *Core) updateNeed(now time.Time, servers []fleet.Server) {
	trusted := c.Trusts(now)
	if !trusted && !c.inherited {
		// Servers that start together appear one after another. Those that
		// were ordered meanwhile do not count.
		size := c.count(servers) - c.ready(servers)
		if size == 0 && c.present == 0 {
			size = c.ready(servers)
		}
		if size > c.present {
			c.present, c.grownAt = size, now
		}
	}
	highest := 0.0
	for _, l := range c.loads {
		highest = math.Max(highest, l.need)
	}
	// Requests pile up where servers are missing, so that the load of few
	// servers overstates how many would do.
	most := peakShare * float64(c.present)
	if highest > most && trusted {
		c.raisePresent(now)
	} else {
		c.cappedAt = now
	}
	need := max(int(math.Ceil(math.Min(highest, most))), c.options.MinServers)
	if !trusted {
		// What the operator has started is the best estimate before there is
		// any load.
		need = max(need, int(math.Ceil(presentShare*float64(c.present))))
	}
	c.need.set(now, need, lowerAfter)
}

// raisePresent lets the need grow when it has been at its bound for long.
func (c *Core) raisePresent(now time.Time) {
	if now.Sub(c.cappedAt) >= raiseAfter {
		c.present = int(math.Ceil(peakShare * float64(c.present)))
		c.cappedAt = now
	}
}

// Present returns how many servers the operator provides for the peak, as far
// as is known.
func (c *Core) Present() int { return c.present }

// Settled reports whether the size of the service is known.
func (c *Core) Settled(now time.Time) bool {
	return c.inherited || c.present > 0 && now.Sub(c.grownAt) >= settleTime
}

// Trusts reports whether load has been seen for long enough to plan by it.
func (c *Core) Trusts(now time.Time) bool {
	return !c.loadedAt.IsZero() && now.Sub(c.loadedAt) >= c.options.Trust
}

// Inherit takes over what an earlier holder of the duty knew of the service's
// size. The load has to be seen anew before fewer servers are ordered.
func (c *Core) Inherit(now time.Time, present int) {
	c.present, c.inherited, c.cappedAt = present, true, now
}

// count returns how many servers take work.
func (c *Core) count(servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Leaving {
			n++
		}
	}
	return n
}

// Need returns the number of servers that the load asks for.
func (c *Core) Need() int { return c.need.value }

// distribute spreads the needed servers. Reclaimable ones are cheap: every zone
// gets so many that the others suffice when two zones are reclaimed. Firm ones
// stand in for those that are not there.
func (c *Core) distribute(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) map[Subject]int {
	wanted := make(map[Subject]int)
	perZone := 0
	if s.SpotPrice > 0 {
		others := max(len(zones)-zonesAtRisk, 1)
		perZone = min((c.need.value+others-1)/others, s.Max)
	}
	essential := int(math.Ceil(firmShare * math.Min(float64(c.need.value), float64(c.present))))
	ready := c.ready(servers)
	// Firm servers that are there stay until others take their place.
	c.firm.set(now, max(essential-ready, min(c.count(servers)-ready, c.need.value-ready), 0), firmLowerAfter)
	left := c.firm.value
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int { return cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]) })
	have := c.firmByZone(servers)
	firm, room := make(map[string]int), make(map[string]int)
	for _, zone := range zones {
		room[zone] = s.Max - reclaimableIn(c.service, zone, servers)
	}
	// What is left of the reclaimable ones may go next.
	missing := c.scarce(now) && ready-c.largestZone(servers) < c.need.value
	for _, zone := range zones {
		firm[zone] = max(s.Min-perZone, 0)
		if missing {
			firm[zone] = max(firm[zone], have[zone])
			left -= have[zone]
		}
	}
	for placed := true; placed && left > 0; {
		placed = false
		for _, zone := range byPrice {
			if left > 0 && firm[zone] < room[zone] {
				firm[zone]++
				left--
				placed = true
			}
		}
	}
	for _, zone := range zones {
		wanted[Subject{c.service, zone, false}] = firm[zone]
		if s.SpotPrice > 0 {
			wanted[Subject{c.service, zone, true}] = min(perZone, s.Max-firm[zone])
		}
	}
	return wanted
}

// scarce reports whether reclaimable servers were refused lately: what is left of
// them may be reclaimed without others to be had.
func (c *Core) scarce(now time.Time) bool {
	for _, o := range c.orders {
		if !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < scarceTime {
			return true
		}
	}
	return false
}

// largestZone returns the number of reclaimable servers in the zone that has
// most of them.
func (c *Core) largestZone(servers []fleet.Server) int {
	byZone, most := make(map[string]int), 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && !f.Leaving {
			byZone[f.AvailabilityZone]++
			most = max(most, byZone[f.AvailabilityZone])
		}
	}
	return most
}

// firmByZone counts the firm servers of each zone, leaving ones too.
func (c *Core) firmByZone(servers []fleet.Server) map[string]int {
	firm := make(map[string]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Reclaimable {
			firm[f.AvailabilityZone]++
		}
	}
	return firm
}

// reclaimableIn counts the reclaimable servers of a zone, leaving ones too:
// they still count against the zone's limit.
func reclaimableIn(service, zone string, servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == service && f.AvailabilityZone == zone && f.Reclaimable {
			n++
		}
	}
	return n
}

// ready counts the reclaimable servers that take work.
func (c *Core) ready(servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && !f.Leaving {
			n++
		}
	}
	return n
}

// due reports whether an order has to be given: it differs from the last one,
// or the fleet does not show it.
func (c *Core) due(now time.Time, subject Subject, desired int, servers []fleet.Server) bool {
	have, leaving := 0, 0
	for i := range servers {
		f := &servers[i]
		if f.Service != c.service || f.AvailabilityZone != subject.Zone || f.Reclaimable != subject.Reclaimable {
			continue
		}
		if f.Leaving {
			leaving++
		} else {
			have++
		}
	}
	o, ok := c.orders[subject]
	if !ok {
		return have != desired
	}
	if !o.refusedAt.IsZero() {
		return have < desired && now.Sub(o.refusedAt) >= refusedRetry
	}
	wait := repeatAfter
	if leaving > 0 && have < desired {
		wait = reclaimedAfter
	}
	return o.desired != desired || have != desired && now.Sub(o.at) > wait
}

// change is how much an order adds to the last one, or to the servers that were
// there when none had been given.
func (c *Core) change(o Order) int {
	if last, ok := c.orders[o.Subject]; ok {
		return o.Desired - last.desired
	}
	return o.Desired - c.seen[o.Subject]
}

// Ordered records that an order was accepted.
func (c *Core) Ordered(now time.Time, o Order) {
	c.orders[o.Subject] = &orderState{desired: o.Desired, at: now}
}

// Refused records that there are no servers of the kind in the zone.
func (c *Core) Refused(now time.Time, o Order) {
	c.orders[o.Subject] = &orderState{at: now, refusedAt: now}
}
