package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Plan returns the orders to give now.
func (c *Core) Plan(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) []Order {
	c.updateNeed(now, servers)
	c.seen = make(map[Subject]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Leaving {
			c.seen[Subject{c.service, f.AvailabilityZone, f.Reclaimable}]++
		}
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && f.Leaving && f.LeavesIn > 0 {
			c.reclaimedAt = now
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
	largest := c.largestZone(servers)
	sure := ready
	if c.scarce(now) {
		// What is left of the reclaimable ones may go next, and firm ones take
		// longer to boot than the notice lasts.
		sure -= largest
	}
	// Firm servers that are there stay until others take their place.
	c.firm.set(now, max(essential-sure, min(c.count(servers)-ready, c.need.value-ready), 0), firmLowerAfter)
	left := c.firm.value
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int { return cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]) })
	have := c.firmByZone(servers)
	firm, room := make(map[string]int), make(map[string]int)
	for _, zone := range zones {
		room[zone] = s.Max - reclaimableIn(c.service, zone, servers)
	}
	missing := c.scarce(now) && ready-largest < c.need.value
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
			// Firm servers count against the zone's limit until they are gone.
			wanted[Subject{c.service, zone, true}] = max(min(perZone, s.Max-max(firm[zone], have[zone])), 0)
		}
	}
	return wanted
}

// scarce reports whether reclaimable servers were taken away or refused lately:
// what is left of them may be reclaimed without others to be had.
func (c *Core) scarce(now time.Time) bool {
	if !c.reclaimedAt.IsZero() && now.Sub(c.reclaimedAt) < scarceTime {
		return true
	}
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
