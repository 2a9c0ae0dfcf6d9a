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

// Load is the work of a service over all daemons.
type Load struct {
	Running     int
	Prefill     int
	PrefillRate float64
}

// Options configure a Core.
type Options struct {
	// RunningPerServer is how many requests an engine runs at the latency
	// target.
	RunningPerServer float64
	// PrefillWait is the backlog of prompts that one engine may have.
	PrefillWait time.Duration
	// Spare is how many servers are kept beyond the need.
	Spare int
	// MinServers is the smallest number of a service.
	MinServers int
	// FirmServers is how many of them cannot be reclaimed.
	FirmServers int
	// LoadMemory is how long the highest load is remembered.
	LoadMemory time.Duration
}

// DefaultOptions suit engines that run a few dozen requests at once.
func DefaultOptions() Options {
	return Options{RunningPerServer: 14, PrefillWait: 150 * time.Millisecond, Spare: 2, MinServers: 8,
		FirmServers: 2, LoadMemory: 12 * time.Second}
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
	// lowerAfter is how long a lower number has to be enough before it is
	// ordered.
	lowerAfter = 6 * time.Second
)

// Core is the scaling of one service. It is not safe for concurrent use.
type Core struct {
	options Options
	service string
	orders  map[Subject]*orderState
	loads   []loadSample
	// lowAt is since when fewer servers than ordered would do.
	lowAt time.Time
	need  int
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

// New returns a Core that has ordered nothing.
func New(service string, options Options) *Core {
	return &Core{options: options, service: service, orders: make(map[Subject]*orderState)}
}

// Observe takes the present load.
func (c *Core) Observe(now time.Time, load Load) {
	need := float64(load.Running) / c.options.RunningPerServer
	if load.PrefillRate > 0 {
		wait := float64(c.options.PrefillWait) / float64(time.Millisecond)
		need = math.Max(need, float64(load.Prefill)/(load.PrefillRate*wait))
	}
	c.loads = append(c.loads, loadSample{at: now, need: need})
	for len(c.loads) > 0 && now.Sub(c.loads[0].at) > c.options.LoadMemory {
		c.loads = c.loads[1:]
	}
}

// Plan returns the orders to give now.
func (c *Core) Plan(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) []Order {
	c.updateNeed(now)
	wanted := c.distribute(now, s, zones, servers)
	var orders []Order
	for subject, desired := range wanted {
		if c.due(now, subject, desired, servers) {
			orders = append(orders, Order{Subject: subject, Desired: desired})
		}
	}
	// Servers are added before others are taken away.
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(c.change(b), c.change(a)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Desired, a.Desired))
	})
	return orders
}

// updateNeed raises the number of servers at once and lowers it after a while.
func (c *Core) updateNeed(now time.Time) {
	highest := 0.0
	for _, l := range c.loads {
		highest = math.Max(highest, l.need)
	}
	need := max(int(math.Ceil(highest))+c.options.Spare, c.options.MinServers)
	switch {
	case need >= c.need:
		c.need, c.lowAt = need, now
	case now.Sub(c.lowAt) > lowerAfter:
		c.need = need
	}
}

// Need returns the number of servers that the load asks for.
func (c *Core) Need() int { return c.need }

// distribute spreads the needed servers: a few firm ones in the cheapest zones,
// reclaimable ones evenly, and firm ones in place of those that are refused.
func (c *Core) distribute(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) map[Subject]int {
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int { return cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]) })
	firm, spot := make(map[string]int), make(map[string]int)
	free := func(zone string) bool { return firm[zone]+spot[zone] < s.Max }
	left := c.need
	place := func(in map[string]int, open func(zone string) bool, most int) {
		for placed := true; placed && most > 0 && left > 0; {
			placed = false
			for _, zone := range byPrice {
				if most > 0 && left > 0 && free(zone) && open(zone) {
					in[zone]++
					left--
					most--
					placed = true
				}
			}
		}
	}
	always := func(string) bool { return true }
	if s.SpotPrice == 0 {
		place(firm, always, left)
	} else {
		place(firm, always, c.options.FirmServers)
		place(spot, func(zone string) bool { return !c.refused(now, Subject{c.service, zone, true}) }, left)
		place(firm, always, left)
	}
	wanted := make(map[Subject]int)
	for _, zone := range zones {
		if firm[zone]+spot[zone] < s.Min {
			firm[zone] = s.Min - spot[zone]
		}
		if s.SpotPrice > 0 && !c.refused(now, Subject{c.service, zone, true}) {
			wanted[Subject{c.service, zone, true}] = spot[zone]
		}
		wanted[Subject{c.service, zone, false}] = c.replaced(now, s, zone, firm[zone], servers)
	}
	return wanted
}

// replaced keeps firm servers of a zone until enough others are ready in their
// place.
func (c *Core) replaced(now time.Time, s *catalog.Scaling, zone string, desired int, servers []fleet.Server) int {
	ready, firm := 0, 0
	for i := range servers {
		if servers[i].Service != c.service || servers[i].Leaving {
			continue
		}
		ready++
		if servers[i].AvailabilityZone == zone && !servers[i].Reclaimable {
			firm++
		}
	}
	if desired >= firm || ready >= c.need+(firm-desired) {
		return desired
	}
	// The zone's limit counts both kinds, so that one has to go first.
	return min(firm, s.Max)
}

func (c *Core) refused(now time.Time, subject Subject) bool {
	o, ok := c.orders[subject]
	return ok && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < refusedRetry
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
	wait := repeatAfter
	if leaving > 0 && have < desired {
		wait = reclaimedAfter
	}
	return o.desired != desired || have != desired && now.Sub(o.at) > wait
}

// change is how much an order adds to the last one.
func (c *Core) change(o Order) int {
	if last, ok := c.orders[o.Subject]; ok {
		return o.Desired - last.desired
	}
	return o.Desired
}

// Ordered records that an order was accepted.
func (c *Core) Ordered(now time.Time, o Order) {
	c.orders[o.Subject] = &orderState{desired: o.Desired, at: now}
}

// Refused records that there are no servers of the kind in the zone.
func (c *Core) Refused(now time.Time, o Order) {
	c.orders[o.Subject] = &orderState{at: now, refusedAt: now}
}
