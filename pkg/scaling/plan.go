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
	c.observeFleet(now, zones, servers)
	if !c.Settled(now) {
		return nil
	}
	wanted := c.distribute(now, s, zones)
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
		return cmp.Or(cmp.Compare(c.urgency(a), c.urgency(b)), cmp.Compare(c.orderDelta(b), c.orderDelta(a)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Desired, a.Desired))
	})
	return orders
}

// urgency orders on-demand servers first while reclaimable ones are probably refused.
func (c *Core) urgency(o Order) int {
	if c.forecast.Scarce() >= 0.5 && o.Reclaimable {
		return 1
	}
	return 0
}

// observeFleet counts the servers by group and learns from the changes since the last plan.
func (c *Core) observeFleet(now time.Time, zones []string, servers []fleet.Server) {
	before := c.active
	c.active, c.listed = make(map[ServerGroup]int), make(map[ServerGroup]int)
	announced := make(map[string]int)
	for i := range servers {
		f := &servers[i]
		if f.Service != c.service {
			continue
		}
		group := ServerGroup{c.service, f.AvailabilityZone, f.Reclaimable}
		c.listed[group]++
		switch {
		case !f.Leaving:
			c.active[group]++
		case f.Reclaimable && f.LeavesIn > 0:
			announced[f.AvailabilityZone]++
		}
	}
	c.boots.observe(now, c.active)
	standing, reclaimed := 0, false
	for _, zone := range zones {
		group := ServerGroup{c.service, zone, true}
		if c.active[group] > 0 {
			standing++
		}
		lost := announced[zone] > 0 && announced[zone] >= c.active[group] && !c.orderedAway(group) || c.lostUnannounced(group, before[group])
		if lost && !c.reclaimed[zone] {
			reclaimed = true
		}
		c.reclaimed[zone] = lost || c.reclaimed[zone] && announced[zone] > 0
	}
	c.forecast.Advance(now, standing)
	if reclaimed {
		c.forecast.Reclaimed()
	}
}

// orderedAway reports whether an accepted order left no more servers than stand.
func (c *Core) orderedAway(group ServerGroup) bool {
	o, ok := c.orders[group]
	return ok && o.refusedAt.IsZero() && o.desired <= c.active[group]
}

// lostUnannounced reports whether most reclaimable servers of a group have gone since the last
// plan although no order asked for it.
func (c *Core) lostUnannounced(group ServerGroup, before int) bool {
	if before < 2 || c.active[group] > before/2 {
		return false
	}
	o, ok := c.orders[group]
	return !ok || !o.refusedAt.IsZero() || o.desired >= before
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
// reclaimed. On-demand servers replace missing reclaimable ones and those that are
// likely to be lost before a replacement could boot.
func (c *Core) distribute(now time.Time, s *catalog.Scaling, zones []string) map[ServerGroup]int {
	perZone := 0
	if s.SpotPrice > 0 {
		perZone = c.reclaimablePerZone(s, len(zones))
	}
	byCost := c.byCost(s, zones)
	room := make(map[string]int)
	var prices []float64
	for _, zone := range byCost {
		room[zone] = c.onDemandRoom(now, s, zone)
		for range room[zone] {
			prices = append(prices, s.ZonePrices[zone])
		}
	}
	c.updateReserve(now, s, zones, prices)
	onDemand := c.placeOnDemand(s, byCost, room, perZone)
	wanted := make(map[ServerGroup]int)
	for _, zone := range zones {
		wanted[ServerGroup{c.service, zone, false}] = onDemand[zone]
		if s.SpotPrice > 0 {
			// On-demand servers count towards the zone's limit until they are gone.
			occupied := max(onDemand[zone], c.listed[ServerGroup{c.service, zone, false}])
			wanted[ServerGroup{c.service, zone, true}] = max(min(perZone, s.Max-occupied), 0)
		}
	}
	return wanted
}

// reclaimablePerZone returns the number of reclaimable servers that each zone should have: the
// others suffice for the need when one zone is reclaimed, and for the part of it up to which
// on-demand servers replace them when zonesAtRisk are, unless that would leave no room in the zones
// for the on-demand servers that replace them all.
func (c *Core) reclaimablePerZone(s *catalog.Scaling, zones int) int {
	divide := func(n, by int) int { return (n + by - 1) / max(by, 1) }
	afterOne := divide(c.need.value, max(zones-1, 1))
	afterSeveral := divide(c.demand().most, max(zones-zonesAtRisk, 1))
	besideReserve := s.Max - divide(c.demand().most, zones)
	return min(max(min(afterSeveral, besideReserve), afterOne), s.Max)
}

// demand returns the number of servers for which callers have work. A backlog after a loss does
// not raise it above what the operator provisioned.
func (c *Core) demand() demand {
	full := math.Min(float64(c.need.value), float64(c.present))
	return demand{full: full, busy: c.options.TargetPrefillShare * full, most: int(math.Ceil(onDemandShare * full))}
}

// updateReserve computes the number of on-demand servers.
func (c *Core) updateReserve(now time.Time, s *catalog.Scaling, zones []string, prices []float64) {
	horizon := c.boots.expected + orderDelay
	cases := c.forecast.cases(horizon)
	r := Reserve{Scarce: c.forecast.Scarce(), Horizon: horizon, Evidence: c.forecast.lastEvidence}
	for _, future := range cases {
		r.ZoneLoss += future.probability * future.zoneLoss
	}
	var reclaimable []int
	standing := 0
	for _, zone := range zones {
		standing += c.onDemandIn(zone)
		if n := c.active[ServerGroup{c.service, zone, true}]; n > 0 {
			reclaimable = append(reclaimable, n)
			r.Reclaimable += n
		}
	}
	r.ReclaimableZones = len(reclaimable)
	r.Need = c.demand().most
	chosen, shortage := chooseReserve(c.demand(), reclaimable, cases, prices, meanPrice(s, zones))
	// Servers that stand are kept until reclaimable ones have replaced them. More than that would
	// take the room of reclaimable ones in their zones for good.
	kept := r.Need - r.Reclaimable
	if r.Scarce >= keepWhileScarce {
		kept = r.Need
	}
	if c.onTrial(now, r.Reclaimable >= r.Need) {
		kept = max(r.Need, c.need.value-r.Reclaimable)
	}
	c.onDemand.set(now, max(chosen, min(standing, kept)), onDemandLowerAfter)
	r.OnDemand, r.ExpectedShortage = c.onDemand.value, shortage
	c.reserve = r
}

// onTrial reports whether too little is known yet of the reclaimable servers to give up the
// on-demand servers that stand.
func (c *Core) onTrial(now time.Time, enough bool) bool {
	if enough && c.trialSince.IsZero() {
		c.trialSince = now
	}
	if c.trialSince.IsZero() {
		return true
	}
	if c.firstRequestAt.IsZero() {
		return now.Sub(c.trialSince) < time.Duration(trustBoots*float64(c.boots.expected))-onDemandLowerAfter
	}
	return now.Sub(c.firstRequestAt) < trialUnderLoad
}

// onDemandIn returns the number of on-demand servers of a zone that stand or are ordered.
func (c *Core) onDemandIn(zone string) int {
	group := ServerGroup{c.service, zone, false}
	if o, ok := c.orders[group]; ok && o.refusedAt.IsZero() {
		return o.desired
	}
	return c.active[group]
}

// onDemandRoom returns the number of on-demand servers that a zone can have.
func (c *Core) onDemandRoom(now time.Time, s *catalog.Scaling, zone string) int {
	group := ServerGroup{c.service, zone, false}
	if o, ok := c.orders[group]; ok && !o.refusedAt.IsZero() && now.Sub(o.refusedAt) < refusedRetryDelay {
		return c.active[group]
	}
	return max(s.Max-c.listed[ServerGroup{c.service, zone, true}], 0)
}

// placeOnDemand spreads the on-demand servers over the zones, of which the cheapest come first.
// Servers that stand or are ordered stay where they are, so that orders do not alternate.
// A zone gets more than leaves room for its reclaimable servers only if all have so many.
func (c *Core) placeOnDemand(s *catalog.Scaling, byCost []string, room map[string]int, perZone int) map[string]int {
	least := max(s.Min-perZone, 0)
	beside := max(s.Max-perZone, least)
	placed, total := make(map[string]int), 0
	for _, zone := range byCost {
		n := c.onDemandIn(zone)
		placed[zone] = max(min(n, s.Max), least)
		total += placed[zone]
	}
	move := func(zone string, n int) {
		placed[zone] += n
		total += n
	}
	for total > c.onDemand.value {
		// The zone with the most servers has the least room for reclaimable ones.
		most := byCost[0]
		for _, zone := range byCost {
			if placed[zone] >= placed[most] {
				most = zone
			}
		}
		if placed[most] <= least {
			break
		}
		move(most, -1)
	}
	for _, zone := range byCost {
		move(zone, max(min(c.onDemand.value-total, beside-placed[zone], room[zone]-placed[zone]), 0))
	}
	evenOut(byCost, c.onDemand.value-total, func(zone string) int { return room[zone] - placed[zone] }, func(zone string) { move(zone, 1) })
	return placed
}

// evenOut moves up to n servers, one at a time in each zone in turn, of those for which left is
// positive.
func evenOut(zones []string, n int, left func(zone string) int, move func(zone string)) {
	for moved := true; moved && n > 0; {
		moved = false
		for _, zone := range zones {
			if n > 0 && left(zone) > 0 {
				move(zone)
				n--
				moved = true
			}
		}
	}
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
		return active > desired || active < desired && c.retryDue(now, group, o)
	}
	wait := max(repeatAfter, 2*c.boots.expected)
	if leaving > 0 && active < desired {
		wait = reclaimedRepeatAfter
	}
	return o.desired != desired || active != desired && now.Sub(o.at) > wait
}

// retryDue reports whether a refused order is due again. While all zones refuse reclaimable
// servers, one zone at a time is asked; once one accepts an order, the others are asked at once.
func (c *Core) retryDue(now time.Time, group ServerGroup, o *orderState) bool {
	if now.Sub(o.refusedAt) >= refusedRetryDelay {
		return true
	}
	if !group.Reclaimable {
		return false
	}
	for other, p := range c.orders {
		if other.Reclaimable && !p.refusedAt.IsZero() && p.refusedAt.Before(o.refusedAt) {
			return c.reclaimableAcceptedAt.After(o.refusedAt)
		}
	}
	return c.reclaimableAcceptedAt.After(o.refusedAt) || now.Sub(c.reclaimableRefusedAt) >= probeInterval
}

// orderDelta returns the difference between an order and the last one for the
// same group, or the current number of servers when there was none.
func (c *Core) orderDelta(o Order) int {
	if last, ok := c.orders[o.ServerGroup]; ok {
		return o.Desired - last.desired
	}
	return o.Desired - c.active[o.ServerGroup]
}
