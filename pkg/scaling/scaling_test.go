package scaling_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
)

const service = "llm"

var (
	epoch  = time.Unix(1000, 0)
	zones  = []string{"a", "b", "c", "d"}
	limits = &catalog.Scaling{Min: 1, Max: 6, SpotPrice: 0.15, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}}
)

// spotMarket simulates a cloud that provides ordered servers after a boot time.
// Reclaimable servers can be reclaimed and refused.
type spotMarket struct {
	now     time.Time
	core    *scaling.Core
	servers []fleet.Server
	booting []struct {
		at    time.Time
		order scaling.Order
	}
	noCapacityUntil time.Time
	orders          int
	lastID          int
	work            scaling.Work
}

func newSpotMarket() *spotMarket {
	m := &spotMarket{now: epoch, core: scaling.New(service, scaling.DefaultOptions())}
	for _, zone := range zones {
		for range 3 {
			m.add(zone, false)
		}
	}
	return m
}

func (m *spotMarket) add(zone string, reclaimable bool) {
	m.lastID++
	m.servers = append(m.servers, fleet.Server{ID: fmt.Sprint(m.lastID), Service: service, AvailabilityZone: zone, Reclaimable: reclaimable})
}

func (m *spotMarket) count(zone string, reclaimable bool) int {
	n := 0
	for _, s := range m.servers {
		if (zone == "" || s.AvailabilityZone == zone) && s.Reclaimable == reclaimable && !s.Leaving {
			n++
		}
	}
	return n
}

// step advances the time by half a second with the given number of running
// requests: it completes boots and applies the orders of the core.
func (m *spotMarket) step(running int) {
	m.now = m.now.Add(500 * time.Millisecond)
	stillBooting := m.booting[:0]
	for _, b := range m.booting {
		if m.now.Before(b.at) {
			stillBooting = append(stillBooting, b)
			continue
		}
		for m.count(b.order.Zone, b.order.Reclaimable) < b.order.Desired {
			m.add(b.order.Zone, b.order.Reclaimable)
		}
	}
	m.booting = stillBooting
	if running > 0 {
		// Each request has 2,000 prompt tokens and runs for half a second.
		m.work.Requests += running
		m.work.PrefillTokens += 2000 * running
	}
	m.core.Observe(m.now, scaling.Load{Generating: running, Slots: 64, PrefillRate: 50, Work: map[string]scaling.Work{"": m.work}})
	for _, o := range m.core.Plan(m.now, limits, zones, m.servers) {
		m.applyOrder(o)
	}
}

func (m *spotMarket) applyOrder(o scaling.Order) {
	m.orders++
	if o.Reclaimable && m.now.Before(m.noCapacityUntil) && o.Desired > m.count(o.Zone, true) {
		m.core.Refused(m.now, o)
		return
	}
	m.core.Ordered(m.now, o)
	stillBooting := m.booting[:0]
	for _, b := range m.booting {
		if b.order.ServerGroup != o.ServerGroup {
			stillBooting = append(stillBooting, b)
		}
	}
	m.booting = stillBooting
	if o.Desired > m.count(o.Zone, o.Reclaimable) {
		m.booting = append(m.booting, struct {
			at    time.Time
			order scaling.Order
		}{m.now.Add(4 * time.Second), o})
	}
	excess := m.count(o.Zone, o.Reclaimable) - o.Desired
	var left []fleet.Server
	for _, s := range m.servers {
		if excess > 0 && s.AvailabilityZone == o.Zone && s.Reclaimable == o.Reclaimable {
			excess--
			continue
		}
		left = append(left, s)
	}
	m.servers = left
}

// reclaim removes the reclaimable servers of a zone. For the given time no zone
// has capacity for reclaimable ones.
func (m *spotMarket) reclaim(zone string, noCapacityFor time.Duration) {
	var left []fleet.Server
	for _, s := range m.servers {
		if s.AvailabilityZone != zone || !s.Reclaimable {
			left = append(left, s)
		}
	}
	m.servers = left
	m.noCapacityUntil = m.now.Add(noCapacityFor)
}

func (m *spotMarket) run(seconds float64, running int) {
	for range int(2 * seconds) {
		m.step(running)
	}
}

// Guards against paying for on-demand servers after a start with only these and
// without load: reclaimable servers replace them before traffic begins, and
// there are never fewer servers than needed.
func TestReclaimableServersReplaceOnDemandOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newSpotMarket()
	for range 30 {
		m.step(0)
		g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 8))
	}
	g.Expect(m.count("", false)).To(gomega.BeZero())
	for _, zone := range zones {
		g.Expect(m.count(zone, true)).To(gomega.BeNumerically(">=", 3))
	}
}

// Guards against missing replacements when two zones are reclaimed in a row
// while no zone has capacity for reclaimable servers. In one run, orders for
// on-demand servers were cancelled every half second, and seven servers were
// left for 30 s.
func TestOnDemandServersReplaceReclaimedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newSpotMarket()
	m.run(15, 60)
	m.reclaim("c", 13*time.Second)
	m.run(6, 60)
	m.reclaim("a", 12*time.Second)
	m.run(6, 60)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 8))
	before := m.orders
	m.run(5, 60)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 8))
	g.Expect(m.orders-before).To(gomega.BeNumerically("<=", 6), "orders must not alternate")
	m.run(20, 60)
	g.Expect(m.count("", false)).To(gomega.BeZero())
}

// Guards against an unbounded need when too few servers let a backlog grow.
func TestBacklogDoesNotRaiseTheNeedWithoutBound(t *testing.T) {
	g := gomega.NewWithT(t)
	core := scaling.New(service, scaling.DefaultOptions())
	core.Observe(epoch, scaling.Load{Generating: 5000, Slots: 64, PrefillRate: 50})
	core.Plan(epoch, limits, zones, newSpotMarket().servers)
	g.Expect(core.Need()).To(gomega.BeNumerically("<=", 18))
}

// Guards against removing most engines before the first request. In deployments
// that started with 140 engines, eight were left when traffic began.
func TestWithoutLoadMostServersAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &spotMarket{now: epoch, core: scaling.New(service, scaling.DefaultOptions())}
	large := *limits
	large.Max = 50
	defer func(small *catalog.Scaling) { limits = small }(limits)
	limits = &large
	for range 140 {
		m.add(zones[m.lastID%4], false)
	}
	m.run(14, 0)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 98))
	m.run(20, 20)
	g.Expect(len(m.servers)).To(gomega.BeNumerically("<=", 40), "load that needs few engines lowers the number after MinObservation")
}

// Guards against determining the size of a service too early when servers
// appear one after another at the start. In one run, seven of twelve servers
// were taken for the whole service.
func TestTheSizeIsFixedOnceNoMoreServersAppear(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &spotMarket{now: epoch, core: scaling.New(service, scaling.DefaultOptions())}
	for i := range 12 {
		m.add(zones[i%4], false)
		m.step(0)
		g.Expect(m.orders).To(gomega.BeZero())
	}
	m.run(12, 0)
	g.Expect(m.core.Present()).To(gomega.Equal(12))
	g.Expect(m.count("", false)).To(gomega.BeZero())
}

// Load that requires more engines than there are must raise their number.
func TestMoreLoadOrdersMoreServers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newSpotMarket()
	m.run(10, 20)
	few := len(m.servers)
	m.run(20, 200)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">", few))
}

// Guards against a lease holder that takes over while most servers have been
// reclaimed and underestimates the size of the service. In one run, it took four
// servers for the whole service and did not grow it beyond five. It must inherit
// the size.
func TestASuccessorInheritsTheSizeOfTheService(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newSpotMarket()
	m.run(15, 60)
	size := m.core.Present()
	g.Expect(size).To(gomega.BeNumerically(">=", 12))
	for _, zone := range zones[:3] {
		m.reclaim(zone, 13*time.Second)
	}
	m.core = scaling.New(service, scaling.DefaultOptions())
	m.core.Inherit(m.now, size)
	m.run(8, 120)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 8))
}

// Guards against removing on-demand servers after a change of the lease holder
// while reclaimable servers are refused. In one run, the on-demand servers were
// removed, and the next reclaim left seven servers.
func TestOnDemandServersStayWhileReclaimableOnesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newSpotMarket()
	m.run(4, 20)
	m.reclaim("d", 30*time.Second)
	size, onDemand := m.core.Present(), m.count("", false)
	m.core = scaling.New(service, scaling.DefaultOptions())
	m.core.Inherit(m.now, size)
	m.run(6, 60)
	g.Expect(m.count("", false)).To(gomega.BeNumerically(">=", min(onDemand, 6)))
	m.reclaim("c", 30*time.Second)
	m.run(1, 60)
	g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 8))
}

// Guards against replacing the last zone too late when three zones are
// reclaimed within a second and the last one 6 s later, while no zone has
// reclaimable capacity. In one run, 35 of 140 engines were left, and the ordered
// on-demand servers replaced the last zone as well only after it was gone.
func TestOnDemandServersAreOrderedForTheNextReclaim(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &spotMarket{now: epoch, core: scaling.New(service, scaling.DefaultOptions())}
	large := *limits
	large.Max = 70
	defer func(small *catalog.Scaling) { limits = small }(limits)
	limits = &large
	for range 140 {
		m.add(zones[m.lastID%4], false)
	}
	m.run(20, 0)
	m.run(2, 100)
	g.Expect(m.count("", false)).To(gomega.BeZero())
	for _, zone := range zones[:3] {
		m.reclaim(zone, 15*time.Second)
	}
	m.run(6, 100)
	m.reclaim(zones[3], 9*time.Second)
	for range 8 {
		// Three quarters of the 98 servers that were kept before traffic began.
		g.Expect(len(m.servers)).To(gomega.BeNumerically(">=", 73))
		m.step(100)
	}
}
