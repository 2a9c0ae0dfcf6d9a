package capacity

import (
	"fmt"
	"maps"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

// choices returns the offers of a group that can be bought now. A Pool whose
// starts were refused offers no more than what is held.
func (b *Buyer) choices(g *Group) []choice {
	choices := make([]choice, 0, len(g.Offers))
	for _, o := range g.Offers {
		if o.UnitsPerHost <= 0 {
			continue
		}
		m := b.market(o.Pool)
		limit := max(o.MaxHosts, 0)
		if b.now.Before(m.until) {
			limit = min(limit, b.held[o.Pool])
		}
		choices = append(choices, choice{Offer: o, effective: m.effectivePrice(&o), limit: limit})
	}
	numberZones(choices)
	return choices
}

// countHeld counts the usable Hosts and the undecided starts of each Pool.
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

// desire returns the desired state of a group. It changes when the old one no
// longer does, or another is clearly cheaper; a smaller need has to last.
func (b *Buyer) desire(g *Group, choices []choice) *desiredState {
	next := makePlan(g.Need, choices)
	d := b.desired[g.Name]
	if d == nil {
		d = &desiredState{counts: maps.Clone(b.held)}
		b.desired[g.Name] = d
	}
	old := planOf(choices, d.counts)
	if better(&next, &old, g.Need) && (!old.covers(g.Need) || next.covers(g.Need) && b.lastsLower(d, &old, &next)) {
		d.counts = countsByPool(choices, next.counts)
	}
	return d
}

// lastsLower reports whether next was clearly cheaper for long enough.
func (b *Buyer) lastsLower(d *desiredState, old, next *plan) bool {
	if next.cost > old.cost*worthReplacing {
		d.lowerSince = b.now
		return false
	}
	if d.lowerSince.IsZero() {
		d.lowerSince = b.now
	}
	return b.now.Sub(d.lowerSince) >= b.o.ScaleDownHold
}

// planOf evaluates counts as far as the market allows them now.
func planOf(choices []choice, byPool map[string]int) plan {
	counts := make([]int, len(choices))
	for i := range choices {
		counts[i] = min(byPool[choices[i].Pool], choices[i].limit)
	}
	return evaluate(choices, counts)
}

func countsByPool(choices []choice, counts []int) map[string]int {
	byPool := make(map[string]int, len(choices))
	for i := range choices {
		byPool[choices[i].Pool] = counts[i]
	}
	return byPool
}

// buy starts the Hosts that are missing, at most room of them, and returns their
// number.
func (b *Buyer) buy(g *Group, choices []choice, d *desiredState, room int) int {
	if b.now.Before(b.pausedTill) {
		return 0
	}
	started := 0
	for _, i := range byPrice(choices) {
		c := &choices[i]
		for ; b.held[c.Pool] < min(d.counts[c.Pool], c.limit) && started < room; started++ {
			b.held[c.Pool]++
			b.start(g, choices, c)
		}
	}
	return started
}

func (b *Buyer) start(g *Group, choices []choice, c *choice) {
	token := b.token(c.Pool)
	b.pending[token] = &pendingStart{pool: c.Pool, askedAt: b.now}
	alternatives := make([]decision.Alternative, 0, len(choices))
	for i := range choices {
		alternatives = append(alternatives, decision.Alternative{Name: choices[i].Pool, Score: choices[i].perUnit()})
	}
	b.act(StartAction{Pool: c.Pool, Alternatives: alternatives,
		Request: cloud.StartRequest{AvailabilityZone: c.AvailabilityZone, MachineClass: c.MachineClass,
			Purchase: c.Purchase, Token: token},
		Reason: fmt.Sprintf("group %s needs %.1f units after the loss of any zone", g.Name, g.Need)})
}

// giveBack drains Hosts that are not desired, as long as the running ones carry
// the need without them.
func (b *Buyer) giveBack(g *Group, choices []choice, d *desiredState) {
	units := make(map[string]float64, len(choices))
	for i := range choices {
		units[choices[i].Pool] = choices[i].UnitsPerHost
	}
	numbers := make(map[string]int, len(choices))
	for i := range choices {
		numbers[choices[i].AvailabilityZone] = choices[i].zone
	}
	zones, draining := make([]float64, len(choices)), 0
	for _, h := range b.sorted {
		if size, ours := units[h.pool]; ours && h.usable() && h.State == cloud.HostRunning {
			zones[numbers[h.AvailabilityZone]] += size
		}
		if _, ours := units[h.pool]; ours && h.draining {
			draining++
		}
	}
	for _, h := range b.sorted {
		size, ours := units[h.pool]
		if !ours || !h.usable() || b.held[h.pool] <= d.counts[h.pool] || draining >= b.o.MaxDraining {
			continue
		}
		if h.State == cloud.HostRunning {
			zones[numbers[h.AvailabilityZone]] -= size
			if safeUnits(zones) < g.Need-tolerance {
				zones[numbers[h.AvailabilityZone]] += size
				continue
			}
		}
		h.draining = true
		draining++
		b.held[h.pool]--
		b.act(DrainAction{Host: h.Host, Reason: "group " + g.Name + " is carried without it"})
	}
}

// stopIdle stops drained Hosts. The order is repeated until a list no longer
// shows the Host.
func (b *Buyer) stopIdle() {
	for _, h := range b.sorted {
		if h.draining && h.idle && !b.now.Before(h.stopDue) {
			h.stopDue = b.now.Add(2 * b.o.ListInterval)
			b.act(StopAction{HostID: h.ID, Reason: "drained"})
		}
	}
}
