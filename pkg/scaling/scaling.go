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
	// MinServers is the smallest number of a service.
	MinServers int
	// LoadMemory is how long the highest load is remembered.
	LoadMemory time.Duration
}

// DefaultOptions suit engines that run a few dozen requests at once.
func DefaultOptions() Options {
	return Options{RunningPerServer: 9, PrefillWait: 250 * time.Millisecond, MinServers: 8, LoadMemory: 12 * time.Second}
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
	// firmLowerAfter is the same for servers that stand in for reclaimable
	// ones, which cost several times as much.
	firmLowerAfter = 3 * time.Second
	// zonesAtRisk is how many zones may be reclaimed before firm servers have
	// booted in their place.
	zonesAtRisk = 2
	// growth bounds the need in relation to the servers that are there.
	growth = 1.5
	// backlogFactor bounds what a backlog of prompts can add to the need: it
	// grows without limit when there are too few servers.
	backlogFactor = 1.5
)

// Core is the scaling of one service. It is not safe for concurrent use.
type Core struct {
	options Options
	service string
	orders  map[Subject]*orderState
	loads   []loadSample
	need    held
	firm    held
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
	return &Core{options: options, service: service, orders: make(map[Subject]*orderState)}
}

// Observe takes the present load.
func (c *Core) Observe(now time.Time, load Load) {
	need := float64(load.Running) / c.options.RunningPerServer
	if load.PrefillRate > 0 {
		wait := float64(c.options.PrefillWait) / float64(time.Millisecond)
		backlog := float64(load.Prefill) / (load.PrefillRate * wait)
		need = math.Max(need, math.Min(backlog, backlogFactor*math.Max(need, float64(c.options.MinServers))))
	}
	c.loads = append(c.loads, loadSample{at: now, need: need})
	for len(c.loads) > 0 && now.Sub(c.loads[0].at) > c.options.LoadMemory {
		c.loads = c.loads[1:]
	}
}

// Plan returns the orders to give now.
func (c *Core) Plan(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) []Order {
	highest := 0.0
	for _, l := range c.loads {
		highest = math.Max(highest, l.need)
	}
	// Requests pile up where servers are missing, so that the load of few
	// servers overstates how many would do.
	most := growth * float64(max(c.ready(servers), c.options.MinServers))
	c.need.set(now, max(int(math.Ceil(math.Min(highest, most))), c.options.MinServers), lowerAfter)
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
	c.firm.set(now, max(c.need.value-c.ready(servers), 0), firmLowerAfter)
	left := c.firm.value
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int { return cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]) })
	firm, room := make(map[string]int), make(map[string]int)
	for _, zone := range zones {
		firm[zone] = max(s.Min-perZone, 0)
		room[zone] = s.Max - reclaimableIn(c.service, zone, servers)
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
