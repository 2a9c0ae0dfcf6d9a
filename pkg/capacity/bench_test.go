package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

const (
	benchZones   = 18
	benchClasses = 4
)

// benchGroups returns groups that together need the given number of hosts, and
// those Hosts.
func benchGroups(hosts int) ([]Group, []cloud.Host) {
	var groups []Group
	var held []cloud.Host
	for class := range benchClasses {
		g := Group{Name: fmt.Sprint("group-", class)}
		for zone := range benchZones {
			o := offer(fmt.Sprintf("zone-%02d-%d", zone, class), membership.PurchaseReclaimable, 1+0.01*float64(zone))
			o.AvailabilityZone = fmt.Sprintf("zone-%02d", zone)
			o.MaxHosts = hosts
			g.Offers = append(g.Offers, o)
		}
		groups = append(groups, g)
	}
	for i := range hosts {
		g := &groups[i%benchClasses]
		o := g.Offers[i/benchClasses%benchZones]
		g.Need += o.UnitsPerHost * (benchZones - 2) / benchZones
		held = append(held, cloud.Host{ID: fmt.Sprintf("host-%05d", i), AvailabilityZone: o.AvailabilityZone,
			Purchase: o.Purchase, State: cloud.HostRunning, Token: fmt.Sprintf("%s%s/1/%d", tokenPrefix, o.Pool, i)})
	}
	return groups, held
}

// BenchmarkBuyer measures the handling of the cloud's list and a tick in which
// nothing has to be bought or released.
func BenchmarkBuyer(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			groups, held := benchGroups(n)
			buyer := NewBuyer(BuyerOptions{}, rand.New(rand.NewPCG(1, 1)))
			now := start
			buyer.Step(now, LeaseEvent{Held: true, Number: 2})
			buyer.Step(now, GroupsEvent{Groups: groups})
			now = now.Add(defaultSettleTime)
			for b.Loop() {
				now = now.Add(time.Second)
				buyer.Step(now, ListEvent{RequestedAt: now, Hosts: held})
				buyer.Step(now, TickEvent{})
			}
		})
	}
}

// BenchmarkPlacer measures a tick in which all engines have their wanted orders in
// force.
func BenchmarkPlacer(b *testing.B) {
	for _, n := range []int{16, 256, 7000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := NewPlacer(PlacerOptions{}, rand.New(rand.NewPCG(1, 1)))
			var engines []Engine
			for i := range n {
				engines = append(engines, Engine{Name: fmt.Sprintf("engine-%05d", i), ChecksFencing: true, Models: []string{"m"}})
			}
			now := start
			p.Step(now, LeaseEvent{Held: true, Number: 2})
			p.Step(now, EnginesEvent{Engines: engines})
			for b.Loop() {
				now = now.Add(time.Second)
				p.Step(now, EnginesEvent{Engines: engines})
				for _, a := range p.Step(now, TickEvent{}) {
					if read, ok := a.(ReadAction); ok {
						p.Step(now, OrderReadEvent{Name: read.Name, Order: engines[0].order()})
					}
				}
			}
		})
	}
}
