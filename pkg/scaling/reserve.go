package scaling

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
)

const (
	// callerValue is the value of the callers that a busy server serves, as a multiple of the mean
	// price of an on-demand server for the same time. It applies to all services, as the
	// configuration states no value.
	callerValue = 4.0
	// orderDelay is the time from a notice until an order for other servers is accepted.
	orderDelay = time.Second
	// defaultBootTime is the time from an order until the servers accept work, until it has been
	// observed.
	defaultBootTime = 5 * time.Second
	// maxBootTime bounds observed boot times: an order that took longer was held up otherwise.
	maxBootTime = time.Minute
	// longerBootWeight and shorterBootWeight are the weights of a boot time that is longer or
	// shorter than expected: an order that comes too late costs more than one that comes early.
	longerBootWeight  = 0.5
	shorterBootWeight = 0.2
	// keepWhileScarce is the probability of scarcity from which on no on-demand server is given
	// up, as reclaimable ones may not come in its place.
	keepWhileScarce = 0.25
	// trustBoots is how long reclaimable servers must have stood, in boot times, before the first
	// on-demand servers that they replace are given up while there is no load yet. An on-demand
	// server that was given up is back after one boot time at the earliest.
	trustBoots = 1.0
	// trialUnderLoad is how long none is given up once there is load.
	trialUnderLoad = time.Second
)

// Reserve is the number of on-demand servers to have, and what it follows from.
type Reserve struct {
	// OnDemand is the number of on-demand servers.
	OnDemand int
	// Need is the number of servers without which callers would not be served.
	Need int
	// Reclaimable is the number of reclaimable servers that accept work, and ReclaimableZones
	// the number of zones that have any.
	Reclaimable, ReclaimableZones int
	// Scarce is the probability that the supply of reclaimable servers is scarce, and ZoneLoss
	// the probability that a zone is lost within Horizon.
	Scarce, ZoneLoss float64
	Horizon          time.Duration
	// ExpectedShortage is the expected number of servers missing at the horizon.
	ExpectedShortage float64
	Evidence         Evidence
}

// remaining returns the probability of each number of reclaimable servers that may be left at
// the horizon, if every zone is lost independently with the given probability.
func remaining(zones []int, loss float64) []float64 {
	total := 0
	for _, n := range zones {
		total += n
	}
	p := make([]float64, total+1)
	p[0] = 1
	highest := 0
	for _, n := range zones {
		for left := highest; left >= 0; left-- {
			stays := p[left] * (1 - loss)
			p[left] *= loss
			p[left+n] += stays
		}
		highest += n
	}
	return p
}

// demand is the number of servers for which callers have work.
type demand struct {
	// full is the number of servers at which all callers are served within their targets, and
	// busy the number at which they are served by servers that are always busy.
	full, busy float64
	// most is the number up to which on-demand servers are bought.
	most int
}

// benefit returns the benefit of having one server more than n, relative to that of a server
// which is always busy. Beyond busy, further servers shorten waits only.
func (d demand) benefit(n int) float64 {
	if float64(n) < d.busy {
		return 1
	}
	return math.Max((d.full-float64(n))/math.Max(d.full-d.busy, 1), 0)
}

// chooseReserve returns the number of on-demand servers that minimises the expected cost at the
// horizon: the price of these servers plus the value of the callers that are not served. The
// prices are those of the on-demand servers in the order in which they are bought. The expected
// shortage is that of servers below the number up to which on-demand ones are bought.
func chooseReserve(d demand, zones []int, cases []lossCase, prices []float64, meanPrice float64) (onDemand int, expectedShortage float64) {
	// left[n] is the probability that n reclaimable servers are left.
	var left []float64
	for _, future := range cases {
		for n, p := range remaining(zones, future.zoneLoss) {
			if n == len(left) {
				left = append(left, 0)
			}
			left[n] += future.probability * p
		}
	}
	// The benefit of one more server falls with their number, and its price rises.
	onDemand = sort.Search(min(len(prices), d.most), func(bought int) bool {
		benefit := 0.0
		for n, p := range left {
			if n+bought < d.most {
				benefit += p * d.benefit(n+bought)
			}
		}
		return callerValue*meanPrice*benefit <= prices[bought]
	})
	for n, p := range left {
		expectedShortage += p * float64(max(d.most-n-onDemand, 0))
	}
	return onDemand, expectedShortage
}

// meanPrice returns the mean price of an on-demand server over all zones.
func meanPrice(s *catalog.Scaling, zones []string) float64 {
	sum := 0.0
	for _, zone := range zones {
		sum += s.ZonePrices[zone]
	}
	return sum / math.Max(float64(len(zones)), 1)
}

// byCost returns the zones in the order of the price of the work that their servers do.
func (c *Core) byCost(s *catalog.Scaling, zones []string) []string {
	cost := func(zone string) float64 {
		if speed := c.zoneSpeeds[zone]; speed > 0 {
			return s.ZonePrices[zone] / speed
		}
		return s.ZonePrices[zone]
	}
	sorted := slices.Clone(zones)
	slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(cost(a), cost(b)) })
	return sorted
}

// bootTimes measures the time from an order until the first of its servers accepts work.
type bootTimes struct {
	expected time.Duration
	// known is set once a boot time has been observed, here or by an earlier lease holder.
	known bool
	// pending holds, by group, the raising orders whose servers have not appeared.
	pending map[ServerGroup]pendingBoot
}

type pendingBoot struct {
	orderedAt time.Time
	// active is the number of servers that accepted work when the order was accepted.
	active int
}

// ordered records an accepted order.
func (b *bootTimes) ordered(now time.Time, o Order, active int) {
	if o.Desired <= active {
		delete(b.pending, o.ServerGroup)
		return
	}
	if _, ok := b.pending[o.ServerGroup]; !ok {
		b.pending[o.ServerGroup] = pendingBoot{orderedAt: now, active: active}
	}
}

// observe looks for servers of pending orders.
func (b *bootTimes) observe(now time.Time, active map[ServerGroup]int) {
	for group, p := range b.pending {
		switch n := active[group]; {
		case n < p.active:
			p.active = n
			b.pending[group] = p
		case n > p.active:
			b.learn(now.Sub(p.orderedAt))
			delete(b.pending, group)
		case now.Sub(p.orderedAt) > maxBootTime:
			delete(b.pending, group)
		}
	}
}

func (b *bootTimes) learn(took time.Duration) {
	if took <= 0 || took > maxBootTime {
		return
	}
	weight := shorterBootWeight
	switch {
	case !b.known:
		weight = 1
	case took > b.expected:
		weight = longerBootWeight
	}
	b.expected += time.Duration(weight * float64(took-b.expected))
	b.known = true
}
