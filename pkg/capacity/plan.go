// Package capacity decides which Hosts to buy and to give back, and which
// engines load which models, within the weight store's rate.
package capacity

import (
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Offer is a Pool as something to buy: Hosts of one AvailabilityZone, machine
// class and kind of purchase.
type Offer struct {
	Pool             string
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
	PricePerHour     float64
	// MaxHosts bounds the Hosts of the Pool.
	MaxHosts int
	// UnitsPerHost is what one Host carries, in the unit of Group.Need.
	UnitsPerHost float64
}

// Group is the need of work that any of its offers can carry. A Pool belongs to
// one Group.
type Group struct {
	Name string
	// Need is what has to be carried after the loss of any one zone.
	Need   float64
	Offers []Offer
}

// choice is an offer with its price per unit after expected reclaims and the
// number of Hosts that can be had now.
type choice struct {
	Offer
	effective float64
	limit     int
	zone      int // number of the zone, see numberZones
}

func (c *choice) perUnit() float64 { return c.effective / c.UnitsPerHost }

// plan is the number of Hosts of each choice.
type plan struct {
	counts []int
	cost   float64
	// total is all units, safe those that remain after the worst zone's loss.
	total, safe float64
}

// covers reports whether the need is met after the loss of any one zone.
func (p *plan) covers(need float64) bool { return p.safe >= need-tolerance }

// tolerance absorbs rounding of sums of units.
const tolerance = 1e-9

// maxCandidates bounds the zone limits that are tried for each machine size.
const maxCandidates = 64

// makePlan returns the cheapest plan found that covers need after the loss of
// any one zone. When the market does not allow it, the plan carries need if
// that can be had and keeps as much as possible after a loss.
//
// A limit on the capacity of each zone is tried at several values: a low limit
// spreads over more zones and needs less headroom, a high one uses the cheapest
// zones more.
func makePlan(need float64, choices []choice) plan {
	if need <= 0 {
		return evaluate(choices, make([]int, len(choices)))
	}
	order := byPrice(choices)
	best := trim(choices, order, allLimits(choices), need)
	for _, limit := range zoneLimits(need, choices) {
		p := trim(choices, order, fill(choices, order, limit, need), need)
		if better(&p, &best, need) {
			best = p
		}
	}
	return best
}

func better(p, best *plan, need float64) bool {
	if p.covers(need) != best.covers(need) {
		return p.covers(need)
	}
	if p.covers(need) {
		return p.cost < best.cost-tolerance
	}
	if enough, bestEnough := p.total >= need, best.total >= need; enough != bestEnough {
		return enough
	}
	if math.Abs(p.safe-best.safe) > tolerance {
		return p.safe > best.safe
	}
	return p.cost < best.cost-tolerance
}

// byPrice returns the positions of the choices, cheapest unit first.
func byPrice(choices []choice) []int {
	order := make([]int, len(choices))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if d := choices[a].perUnit() - choices[b].perUnit(); d != 0 {
			return int(math.Copysign(1, d))
		}
		return strings.Compare(choices[a].Pool, choices[b].Pool)
	})
	return order
}

func allLimits(choices []choice) []int {
	counts := make([]int, len(choices))
	for i := range choices {
		counts[i] = choices[i].limit
	}
	return counts
}

// zoneLimits returns the capacities of a zone that are worth trying.
func zoneLimits(need float64, choices []choice) []float64 {
	zones := map[string]bool{}
	sizes := map[float64]bool{}
	for i := range choices {
		if choices[i].limit > 0 {
			zones[choices[i].AvailabilityZone] = true
			sizes[choices[i].UnitsPerHost] = true
		}
	}
	if len(zones) < 2 {
		return nil
	}
	var limits []float64
	for size := range sizes {
		low, high := math.Ceil(need/float64(len(zones)-1)/size), math.Ceil(need/size)
		step := math.Max(1, math.Ceil((high-low)/maxCandidates))
		for n := low; n <= high+step; n += step {
			limits = append(limits, n*size)
		}
	}
	slices.Sort(limits)
	return slices.Compact(limits)
}

// fill takes the cheapest Hosts up to limit units in each zone until need is
// covered. It may take too many of the last offer; trim removes them.
func fill(choices []choice, order []int, limit, need float64) []int {
	counts := make([]int, len(choices))
	zones := zoneUnits(choices, counts)
	for _, i := range order {
		c := &choices[i]
		room := math.Floor((limit - zones[c.zone] + tolerance) / c.UnitsPerHost)
		n := min(c.limit, int(math.Max(room, 0)))
		counts[i] = n
		zones[c.zone] += float64(n) * c.UnitsPerHost
		if safeUnits(zones) >= need-tolerance {
			return counts
		}
	}
	return counts
}

// trim removes the most expensive Hosts that are not needed.
func trim(choices []choice, order []int, counts []int, need float64) plan {
	p := evaluate(choices, counts)
	if !p.covers(need) {
		return p
	}
	zones := zoneUnits(choices, counts)
	for k := len(order) - 1; k >= 0; k-- {
		c, before := &choices[order[k]], zones[choices[order[k]].zone]
		units := func(n int) float64 { return before - float64(n)*c.UnitsPerHost }
		// The first number of Hosts that cannot be removed.
		tooMany := sort.Search(counts[order[k]], func(n int) bool {
			zones[c.zone] = units(n + 1)
			return safeUnits(zones) < need-tolerance
		})
		counts[order[k]] -= tooMany
		zones[c.zone] = units(tooMany)
	}
	return evaluate(choices, counts)
}

// numberZones gives the zones of the choices numbers from 0.
func numberZones(choices []choice) {
	numbers := make(map[string]int, len(choices))
	for i := range choices {
		zone := choices[i].AvailabilityZone
		if _, ok := numbers[zone]; !ok {
			numbers[zone] = len(numbers)
		}
		choices[i].zone = numbers[zone]
	}
}

// zoneUnits returns the units of each zone by its number.
func zoneUnits(choices []choice, counts []int) []float64 {
	zones := make([]float64, len(choices))
	for i := range choices {
		zones[choices[i].zone] += float64(counts[i]) * choices[i].UnitsPerHost
	}
	return zones
}

// safeUnits returns what remains after the loss of the largest zone.
func safeUnits(zones []float64) float64 {
	total, largest := 0.0, 0.0
	for _, units := range zones {
		total += units
		largest = math.Max(largest, units)
	}
	return total - largest
}

func evaluate(choices []choice, counts []int) plan {
	p := plan{counts: counts}
	for i := range choices {
		p.cost += float64(counts[i]) * choices[i].effective
		p.total += float64(counts[i]) * choices[i].UnitsPerHost
	}
	p.safe = safeUnits(zoneUnits(choices, counts))
	return p
}
