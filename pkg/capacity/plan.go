// Package capacity decides which Hosts to buy and to release, and which engines
// load which models. Model loads stay within the weight store's read rate.
package capacity

import (
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
)

// Offer describes the Hosts that can be bought for a Pool. They share one
// AvailabilityZone, machine class and kind of purchase.
type Offer struct {
	Pool             string
	AvailabilityZone string
	MachineClass     string
	Purchase         membership.Purchase
	PricePerHour     float64
	// MaxHosts is the maximum number of Hosts in the Pool.
	MaxHosts int
	// UnitsPerHost is the capacity of one Host, in the unit of Group.Need.
	UnitsPerHost float64
}

// Group is a demand for capacity that any of its offers can meet. A Pool belongs
// to exactly one Group.
type Group struct {
	Name string
	// Need is the capacity that must remain after the loss of any one zone.
	Need   float64
	Offers []Offer
}

// choice is an offer with its cost at the present rate of reclaims and the number
// of Hosts that can be bought now.
type choice struct {
	Offer
	hourlyCost float64 // price of one Host plus the expected cost of reclaims
	limit      int     // most Hosts that the plan may use
	zone       int     // index of the zone, assigned by indexZones
}

func (c *choice) costPerUnit() float64 { return c.hourlyCost / c.UnitsPerHost }

// plan holds the number of Hosts of each choice, in the order of the choices.
type plan struct {
	counts []int
	cost   float64
	// totalUnits is the capacity of all Hosts, afterZoneLoss the capacity that
	// remains after the loss of the largest zone.
	totalUnits, afterZoneLoss float64
}

// covers reports whether need is met after the loss of any one zone.
func (p *plan) covers(need float64) bool { return p.afterZoneLoss >= need-tolerance }

// tolerance absorbs rounding errors in sums of units and costs.
const tolerance = 1e-9

// maxZoneLimits is the approximate maximum number of zone limits that are tried
// for each machine size.
const maxZoneLimits = 64

// makePlan returns the cheapest plan found that covers need after the loss of any
// one zone. If the choices do not allow that, the plan meets need without a loss
// where possible, and keeps as much capacity as possible after one.
//
// It tries several limits on the capacity of each zone. A low limit spreads the
// Hosts over more zones and needs less headroom, while a high limit uses more of
// the cheapest zones.
func makePlan(need float64, choices []choice) plan {
	if need <= 0 {
		return evaluate(choices, make([]int, len(choices)))
	}
	order := byPrice(choices)
	best := trim(choices, order, maxCounts(choices), need)
	for _, limit := range candidateZoneLimits(need, choices) {
		p := trim(choices, order, fill(choices, order, limit, need), need)
		if better(&p, &best, need) {
			best = p
		}
	}
	return best
}

// better reports whether p is preferred to best. Plans that cover need come first
// and are compared by cost. Other plans are compared by whether they meet need
// without a loss, then by the capacity after a loss, then by cost.
func better(p, best *plan, need float64) bool {
	if p.covers(need) != best.covers(need) {
		return p.covers(need)
	}
	if p.covers(need) {
		return p.cost < best.cost-tolerance
	}
	if enough, bestEnough := p.totalUnits >= need, best.totalUnits >= need; enough != bestEnough {
		return enough
	}
	if math.Abs(p.afterZoneLoss-best.afterZoneLoss) > tolerance {
		return p.afterZoneLoss > best.afterZoneLoss
	}
	return p.cost < best.cost-tolerance
}

// byPrice returns the indexes of the choices, ordered by cost per unit. Equal
// costs are ordered by Pool.
func byPrice(choices []choice) []int {
	order := make([]int, len(choices))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if d := choices[a].costPerUnit() - choices[b].costPerUnit(); d != 0 {
			return int(math.Copysign(1, d))
		}
		return strings.Compare(choices[a].Pool, choices[b].Pool)
	})
	return order
}

// maxCounts returns the largest allowed number of Hosts of each choice.
func maxCounts(choices []choice) []int {
	counts := make([]int, len(choices))
	for i := range choices {
		counts[i] = choices[i].limit
	}
	return counts
}

// candidateZoneLimits returns the limits on the capacity of a zone that makePlan
// tries, in units. They range from an even spread over all zones with headroom
// for one of them up to the whole need in one zone.
func candidateZoneLimits(need float64, choices []choice) []float64 {
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
		step := math.Max(1, math.Ceil((high-low)/maxZoneLimits))
		for n := low; n <= high+step; n += step {
			limits = append(limits, n*size)
		}
	}
	slices.Sort(limits)
	return slices.Compact(limits)
}

// fill adds the cheapest Hosts, up to limit units in each zone, until need is
// covered. It may add too many Hosts of the last offer, which trim removes.
func fill(choices []choice, order []int, limit, need float64) []int {
	counts := make([]int, len(choices))
	zones := zoneUnits(choices, counts)
	for _, i := range order {
		c := &choices[i]
		hostsThatFit := math.Floor((limit - zones[c.zone] + tolerance) / c.UnitsPerHost)
		n := min(c.limit, int(math.Max(hostsThatFit, 0)))
		counts[i] = n
		zones[c.zone] += float64(n) * c.UnitsPerHost
		if unitsAfterZoneLoss(zones) >= need-tolerance {
			return counts
		}
	}
	return counts
}

// trim removes Hosts that are not needed to cover need, the most expensive first.
func trim(choices []choice, order []int, counts []int, need float64) plan {
	p := evaluate(choices, counts)
	if !p.covers(need) {
		return p
	}
	zones := zoneUnits(choices, counts)
	for k := len(order) - 1; k >= 0; k-- {
		c, unitsBefore := &choices[order[k]], zones[choices[order[k]].zone]
		unitsWithout := func(n int) float64 { return unitsBefore - float64(n)*c.UnitsPerHost }
		// surplus is the largest number of Hosts that can be removed: the search
		// finds the first n for which removing n+1 is too many.
		surplus := sort.Search(counts[order[k]], func(n int) bool {
			zones[c.zone] = unitsWithout(n + 1)
			return unitsAfterZoneLoss(zones) < need-tolerance
		})
		counts[order[k]] -= surplus
		zones[c.zone] = unitsWithout(surplus)
	}
	return evaluate(choices, counts)
}

// indexZones assigns consecutive indexes, starting at 0, to the zones of the
// choices.
func indexZones(choices []choice) {
	indexes := make(map[string]int, len(choices))
	for i := range choices {
		zone := choices[i].AvailabilityZone
		if _, ok := indexes[zone]; !ok {
			indexes[zone] = len(indexes)
		}
		choices[i].zone = indexes[zone]
	}
}

// zoneUnits returns the capacity of each zone, by zone index.
func zoneUnits(choices []choice, counts []int) []float64 {
	zones := make([]float64, len(choices))
	for i := range choices {
		zones[choices[i].zone] += float64(counts[i]) * choices[i].UnitsPerHost
	}
	return zones
}

// unitsAfterZoneLoss returns the capacity that remains after the loss of the
// largest zone.
func unitsAfterZoneLoss(zones []float64) float64 {
	total, largest := 0.0, 0.0
	for _, units := range zones {
		total += units
		largest = math.Max(largest, units)
	}
	return total - largest
}

// evaluate returns the plan with the given counts and its cost and capacity.
func evaluate(choices []choice, counts []int) plan {
	p := plan{counts: counts}
	for i := range choices {
		p.cost += float64(counts[i]) * choices[i].hourlyCost
		p.totalUnits += float64(counts[i]) * choices[i].UnitsPerHost
	}
	p.afterZoneLoss = unitsAfterZoneLoss(zoneUnits(choices, counts))
	return p
}
