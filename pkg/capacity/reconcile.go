package capacity

import (
	"fmt"
	"maps"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// choices returns the offers of a group with their present cost and limit. While
// a Pool's starts are paused after a refusal, its limit is the number of Hosts
// already held.
func (b *Buyer) choices(g *Group) []choice {
	choices := make([]choice, 0, len(g.Offers))
	for _, o := range g.Offers {
		if o.UnitsPerHost <= 0 {
			continue
		}
		m := b.market(o.Pool)
		limit := max(o.MaxHosts, 0)
		if b.now.Before(m.retryAt) {
			limit = min(limit, b.heldByPool[o.Pool])
		}
		choices = append(choices, choice{Offer: o, hourlyCost: m.effectivePrice(&o), limit: limit})
	}
	indexZones(choices)
	return choices
}

// countHeld counts the usable Hosts and the pending starts of each Pool.
func (b *Buyer) countHeld() map[string]int {
	held := make(map[string]int, len(b.hosts))
	for _, h := range b.hosts {
		if h.usable() {
			held[h.pool]++
		}
	}
	for _, p := range b.pending {
		held[p.pool]++
	}
	return held
}

// desiredFor returns the desired state of a group. The state changes if it no
// longer covers the need, or if a clearly cheaper plan has been available for
// ScaleDownHold.
func (b *Buyer) desiredFor(g *Group, choices []choice) *desiredState {
	next := makePlan(g.Need, choices)
	d := b.desired[g.Name]
	if d == nil {
		d = &desiredState{counts: maps.Clone(b.heldByPool)}
		b.desired[g.Name] = d
	}
	old := planFromCounts(choices, d.counts)
	if better(&next, &old, g.Need) && (!old.covers(g.Need) || next.covers(g.Need) && b.cheaperLongEnough(d, &old, &next)) {
		d.counts = countsByPool(choices, next.counts)
	}
	return d
}

// cheaperLongEnough reports whether a clearly cheaper plan than old has been
// available for ScaleDownHold.
func (b *Buyer) cheaperLongEnough(d *desiredState, old, next *plan) bool {
	if next.cost > old.cost*maxReplacementCostRatio {
		d.cheaperSince = b.now
		return false
	}
	if d.cheaperSince.IsZero() {
		d.cheaperSince = b.now
	}
	return b.now.Sub(d.cheaperSince) >= b.o.ScaleDownHold
}

// planFromCounts evaluates the counts of the Pools, reduced to the present limits.
func planFromCounts(choices []choice, byPool map[string]int) plan {
	counts := make([]int, len(choices))
	for i := range choices {
		counts[i] = min(byPool[choices[i].Pool], choices[i].limit)
	}
	return evaluate(choices, counts)
}

// countsByPool maps the counts of the choices to their Pools.
func countsByPool(choices []choice, counts []int) map[string]int {
	byPool := make(map[string]int, len(choices))
	for i := range choices {
		byPool[choices[i].Pool] = counts[i]
	}
	return byPool
}

// buy starts the missing Hosts, cheapest first and at most maxStarts of them, and
// returns the number of starts.
func (b *Buyer) buy(g *Group, choices []choice, d *desiredState, maxStarts int) int {
	if b.now.Before(b.pausedUntil) {
		return 0
	}
	started := 0
	for _, i := range byPrice(choices) {
		c := &choices[i]
		for ; b.heldByPool[c.Pool] < min(d.counts[c.Pool], c.limit) && started < maxStarts; started++ {
			b.heldByPool[c.Pool]++
			b.start(g, choices, c)
		}
	}
	return started
}

// start requests one Host of choice c and records the start as pending.
func (b *Buyer) start(g *Group, choices []choice, c *choice) {
	token := b.token(c.Pool)
	b.pending[token] = &pendingStart{pool: c.Pool, requestedAt: b.now}
	alternatives := make([]decision.Alternative, 0, len(choices))
	for i := range choices {
		alternatives = append(alternatives, decision.Alternative{Name: choices[i].Pool, Score: choices[i].costPerUnit()})
	}
	b.emit(StartAction{Pool: c.Pool, Alternatives: alternatives,
		Request: cloud.StartRequest{AvailabilityZone: c.AvailabilityZone, MachineClass: c.MachineClass,
			Purchase: c.Purchase, Token: token},
		Reason: fmt.Sprintf("group %s needs %.1f units after the loss of any zone", g.Name, g.Need)})
}

// releaseSurplus drains Hosts that exceed the desired state. It drains a running
// Host only if the other running Hosts cover the need without it.
func (b *Buyer) releaseSurplus(g *Group, choices []choice, d *desiredState) {
	units := make(map[string]float64, len(choices))
	for i := range choices {
		units[choices[i].Pool] = choices[i].UnitsPerHost
	}
	zoneIndexes := make(map[string]int, len(choices))
	for i := range choices {
		zoneIndexes[choices[i].AvailabilityZone] = choices[i].zone
	}
	zones, draining := make([]float64, len(choices)), 0
	for _, h := range b.sorted {
		if size, inGroup := units[h.pool]; inGroup && h.usable() && h.State == cloud.HostRunning {
			zones[zoneIndexes[h.AvailabilityZone]] += size
		}
		if _, inGroup := units[h.pool]; inGroup && h.draining {
			draining++
		}
	}
	for _, h := range b.sorted {
		size, inGroup := units[h.pool]
		if !inGroup || !h.usable() || b.heldByPool[h.pool] <= d.counts[h.pool] || draining >= b.o.MaxDraining {
			continue
		}
		if h.State == cloud.HostRunning {
			zones[zoneIndexes[h.AvailabilityZone]] -= size
			if unitsAfterZoneLoss(zones) < g.Need-tolerance {
				zones[zoneIndexes[h.AvailabilityZone]] += size
				continue
			}
		}
		h.draining = true
		draining++
		b.heldByPool[h.pool]--
		b.emit(DrainAction{Host: h.Host, Reason: "group " + g.Name + " is carried without it"})
	}
}

// stopIdle stops drained Hosts without work. A stop is repeated until the Host is
// no longer listed.
func (b *Buyer) stopIdle() {
	for _, h := range b.sorted {
		if h.draining && h.idle && !b.now.Before(h.nextStopAt) {
			h.nextStopAt = b.now.Add(2 * b.o.ListInterval)
			b.emit(StopAction{HostID: h.ID, Reason: "drained"})
		}
	}
}
