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
	c.lastServers = make(map[ServerGroup]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Leaving {
			c.lastServers[ServerGroup{c.service, f.AvailabilityZone, f.Reclaimable}]++
		}
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && f.Leaving && f.LeavesIn > 0 {
			c.lastReclaimAt = now
		}
	}
	if !c.Settled(now) {
		return nil
	}
	wanted := c.distribute(now, s, zones, servers)
	var orders []Order
	for group, desired := range wanted {
		if c.orderDue(now, group, desired, servers) {
			orders = append(orders, Order{ServerGroup: group, Desired: desired})
		}
	}
	// Servers are added before others are taken away, and what becomes of those
	// orders is known first.
	raises := slices.ContainsFunc(orders, func(o Order) bool { return c.orderDelta(o) > 0 })
	orders = slices.DeleteFunc(orders, func(o Order) bool { return raises && c.orderDelta(o) < 0 })
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(c.orderDelta(b), c.orderDelta(a)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Desired, a.Desired))
	})
	return orders
}

func (c *Core) updateNeed(now time.Time, servers []fleet.Server) {
	observed := c.ObservedLongEnough(now)
	if !observed && !c.inherited {
		// Servers that start together appear one after another. Those that
		// were ordered meanwhile do not count.
		size := c.activeServers(servers) - c.activeReclaimable(servers)
		if size == 0 && c.present == 0 {
			size = c.activeReclaimable(servers)
		}
		if size > c.present {
			c.present, c.lastGrowthAt = size, now
		}
	}
	highest := 0.0
	for _, l := range c.loads {
		highest = math.Max(highest, l.need)
	}
	// Requests pile up where servers are missing, so that the load of few
	// servers overstates how many would do.
	bound := maxNeedFactor * float64(c.present)
	if highest > bound && observed {
		c.raisePresent(now)
	} else {
		c.atBoundSince = now
	}
	need := max(int(math.Ceil(math.Min(highest, bound))), c.options.MinServers)
	if !observed {
		// What the operator has started is the best estimate before there is
		// any load.
		need = max(need, int(math.Ceil(presentShare*float64(c.present))))
	}
	c.need.set(now, need, lowerAfter)
}

// raisePresent lets the need grow when it has been at its bound for long.
func (c *Core) raisePresent(now time.Time) {
	if now.Sub(c.atBoundSince) >= raiseAfter {
		c.present = int(math.Ceil(maxNeedFactor * float64(c.present)))
		c.atBoundSince = now
	}
}

// count returns how many servers take work.
func (c *Core) activeServers(servers []fleet.Server) int {
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
func (c *Core) distribute(now time.Time, s *catalog.Scaling, zones []string, servers []fleet.Server) map[ServerGroup]int {
	wanted := make(map[ServerGroup]int)
	perZone := 0
	if s.SpotPrice > 0 {
		remainingZones := max(len(zones)-zonesAtRisk, 1)
		perZone = min((c.need.value+remainingZones-1)/remainingZones, s.Max)
	}
	minReliable := int(math.Ceil(onDemandShare * math.Min(float64(c.need.value), float64(c.present))))
	activeReclaimable := c.activeReclaimable(servers)
	largest := c.largestReclaimableZone(servers)
	reliable := activeReclaimable
	if c.reclaimableScarce(now) {
		// What is left of the reclaimable ones may go next, and firm ones take
		// longer to boot than the notice lasts.
		reliable -= largest
	}
	// Firm servers that are there stay until others take their place.
	c.onDemand.set(now, max(minReliable-reliable, min(c.activeServers(servers)-activeReclaimable, c.need.value-activeReclaimable), 0), onDemandLowerAfter)
	remaining := c.onDemand.value
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b string) int { return cmp.Compare(s.ZonePrices[a], s.ZonePrices[b]) })
	existing := c.onDemandByZone(servers)
	onDemand, freeCapacity := make(map[string]int), make(map[string]int)
	for _, zone := range zones {
		freeCapacity[zone] = s.Max - reclaimableIn(c.service, zone, servers)
	}
	shortage := c.reclaimableScarce(now) && activeReclaimable-largest < c.need.value
	for _, zone := range zones {
		onDemand[zone] = max(s.Min-perZone, 0)
		if shortage {
			onDemand[zone] = max(onDemand[zone], existing[zone])
			remaining -= existing[zone]
		}
	}
	for placed := true; placed && remaining > 0; {
		placed = false
		for _, zone := range byPrice {
			if remaining > 0 && onDemand[zone] < freeCapacity[zone] {
				onDemand[zone]++
				remaining--
				placed = true
			}
		}
	}
	for _, zone := range zones {
		wanted[ServerGroup{c.service, zone, false}] = onDemand[zone]
		if s.SpotPrice > 0 {
			// Firm servers count against the zone's limit until they are gone.
			wanted[ServerGroup{c.service, zone, true}] = max(min(perZone, s.Max-max(onDemand[zone], existing[zone])), 0)
		}
	}
	return wanted
}

// scarce reports whether reclaimable servers were taken away or refused lately:
// what is left of them may be reclaimed without others to be had.
func (c *Core) reclaimableScarce(now time.Time) bool {
	if !c.lastReclaimAt.IsZero() && now.Sub(c.lastReclaimAt) < scarcityPeriod {
		return true
	}
	for _, o := range c.orders {
		if !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < scarcityPeriod {
			return true
		}
	}
	return false
}

// largestReclaimableZone returns the number of reclaimable servers in the zone that has
// most of them.
func (c *Core) largestReclaimableZone(servers []fleet.Server) int {
	byZone, most := make(map[string]int), 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && !f.Leaving {
			byZone[f.AvailabilityZone]++
			most = max(most, byZone[f.AvailabilityZone])
		}
	}
	return most
}

// onDemandByZone counts the firm servers of each zone, leaving ones too.
func (c *Core) onDemandByZone(servers []fleet.Server) map[string]int {
	onDemand := make(map[string]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Reclaimable {
			onDemand[f.AvailabilityZone]++
		}
	}
	return onDemand
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
func (c *Core) activeReclaimable(servers []fleet.Server) int {
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
func (c *Core) orderDue(now time.Time, group ServerGroup, desired int, servers []fleet.Server) bool {
	active, leaving := 0, 0
	for i := range servers {
		f := &servers[i]
		if f.Service != c.service || f.AvailabilityZone != group.Zone || f.Reclaimable != group.Reclaimable {
			continue
		}
		if f.Leaving {
			leaving++
		} else {
			active++
		}
	}
	o, ok := c.orders[group]
	if !ok {
		return active != desired
	}
	if !o.refusedAt.IsZero() {
		return active < desired && now.Sub(o.refusedAt) >= refusedRetryDelay
	}
	wait := repeatAfter
	if leaving > 0 && active < desired {
		wait = reclaimedRepeatAfter
	}
	return o.desired != desired || active != desired && now.Sub(o.at) > wait
}

// change is how much an order adds to the last one, or to the servers that were
// there when none had been given.
func (c *Core) orderDelta(o Order) int {
	if last, ok := c.orders[o.ServerGroup]; ok {
		return o.Desired - last.desired
	}
	return o.Desired - c.lastServers[o.ServerGroup]
}
