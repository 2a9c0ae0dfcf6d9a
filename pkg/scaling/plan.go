package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

// Plan returns the orders that are due now.
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
	// Add servers before removing others: orders that remove servers wait until
	// the outcome of those that add servers is known.
	raises := slices.ContainsFunc(orders, func(o Order) bool { return c.orderDelta(o) > 0 })
	orders = slices.DeleteFunc(orders, func(o Order) bool { return raises && c.orderDelta(o) < 0 })
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(c.orderDelta(b), c.orderDelta(a)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Desired, a.Desired))
	})
	return orders
}

// updateNeed computes the number of servers needed from the recent load, within
// its bound.
func (c *Core) updateNeed(now time.Time, servers []fleet.Server) {
	observed := c.ObservedLongEnough(now)
	if !observed && !c.inherited {
		// Servers that start together appear one after another. Reclaimable
		// servers that were ordered in the meantime do not count.
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
	// Requests accumulate when there are too few servers, so that their load
	// overstates the number of servers that would suffice.
	bound := maxNeedFactor * float64(c.present)
	if highest > bound && observed {
		c.raisePresent(now)
	} else {
		c.atBoundSince = now
	}
	need := max(int(math.Ceil(math.Min(highest, bound))), c.options.MinServers)
	if !observed {
		// Without load, the number of servers that the operator started is the
		// best estimate of the need.
		need = max(need, int(math.Ceil(presentShare*float64(c.present))))
	}
	c.need.set(now, need, lowerAfter)
}

// raisePresent raises present, and thereby the bound of the need, when the need
// has been at its bound for at least raiseAfter.
func (c *Core) raisePresent(now time.Time) {
	if now.Sub(c.atBoundSince) >= raiseAfter {
		c.present = int(math.Ceil(maxNeedFactor * float64(c.present)))
		c.atBoundSince = now
	}
}

// activeServers returns the number of servers that accept work.
func (c *Core) activeServers(servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Leaving {
			n++
		}
	}
	return n
}

// distribute spreads the needed servers over the zones. Reclaimable servers are
// cheap: every zone gets so many that the others suffice when two zones are
// reclaimed. On-demand servers replace missing reclaimable ones.
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
		// The zone with the most remaining reclaimable servers may be reclaimed
		// next, and on-demand servers take longer to boot than the reclaim notice
		// lasts.
		reliable -= largest
	}
	// Existing on-demand servers stay until reclaimable ones replace them.
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
			// On-demand servers count towards the zone's limit until they are gone.
			wanted[ServerGroup{c.service, zone, true}] = max(min(perZone, s.Max-max(onDemand[zone], existing[zone])), 0)
		}
	}
	return wanted
}

// reclaimableScarce reports whether reclaimable servers were recently reclaimed
// or refused: the remaining ones may be reclaimed while no new ones are
// available.
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

// largestReclaimableZone returns the number of active reclaimable servers in
// the zone that has the most.
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

// onDemandByZone counts the on-demand servers of each zone, including leaving
// ones.
func (c *Core) onDemandByZone(servers []fleet.Server) map[string]int {
	onDemand := make(map[string]int)
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && !f.Reclaimable {
			onDemand[f.AvailabilityZone]++
		}
	}
	return onDemand
}

// reclaimableIn counts the reclaimable servers of a zone, including leaving
// ones, which still count towards the zone's limit.
func reclaimableIn(service, zone string, servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == service && f.AvailabilityZone == zone && f.Reclaimable {
			n++
		}
	}
	return n
}

// activeReclaimable counts the reclaimable servers that accept work.
func (c *Core) activeReclaimable(servers []fleet.Server) int {
	n := 0
	for i := range servers {
		if f := &servers[i]; f.Service == c.service && f.Reclaimable && !f.Leaving {
			n++
		}
	}
	return n
}

// orderDue reports whether an order has to be placed: it differs from the last
// one, or the fleet has not reached the ordered number in time.
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

// orderDelta returns the difference between an order and the last one for the
// same group, or the current number of servers when there was none.
func (c *Core) orderDelta(o Order) int {
	if last, ok := c.orders[o.ServerGroup]; ok {
		return o.Desired - last.desired
	}
	return o.Desired - c.lastServers[o.ServerGroup]
}
