package measure

import (
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// reclaimablePricePerHour is the price of a reclaimable host-hour by zone.
var reclaimablePricePerHour = []float64{1.00, 1.10, 1.05, 1.20}

// onDemandPricePerHour is the price of an on-demand host-hour in every zone. It is
// higher than that of reclaimable hosts.
const onDemandPricePerHour = 2.50

// host is a Host that runs one engine. stopped is negative until the host stops.
// leaving is set when the daemons have received the reclaim notice of the host.
type host struct {
	server  routing.Server
	engine  *fakeEngine
	started time.Duration
	stopped time.Duration
	leaving bool
	up      bool
}

// available reports whether the host accepts new requests.
func (h *host) available() bool { return h.up && !h.leaving && h.stopped < 0 }

// startFleet starts the hosts of the worker pool in all zones. Of three hosts in
// a zone, one or two are reclaimable.
func (x *experiment) startFleet() {
	for zone := range x.operator.Zones {
		for i := range x.operator.WorkersPerZone {
			x.startHost(zone, purchase(zone, i), 0)
		}
	}
}

// purchase returns the purchase option of the i-th host of a zone. With three
// hosts per zone it approximates a fleet of which 46% is reclaimable: the second
// host of every zone and the third host of every other zone are reclaimable,
// which is 50% for four zones.
func purchase(zone, i int) membership.Purchase {
	if i == 1 || (i == 2 && zone%2 == 0) {
		return membership.PurchaseReclaimable
	}
	return membership.PurchaseOnDemand
}

// startHost adds a host. It is paid for from now on and serves after bootDelay.
func (x *experiment) startHost(zone int, p membership.Purchase, bootDelay time.Duration) {
	name := fmt.Sprintf("engine-%d", len(x.hosts))
	price := onDemandPricePerHour
	if p == membership.PurchaseReclaimable {
		price = reclaimablePricePerHour[zone%len(reclaimablePricePerHour)]
	}
	h := &host{
		server: routing.Server{
			BackendServer: membership.BackendServer{
				Name: name, Kind: membership.KindEngine, AvailabilityZone: zoneName(zone),
				Purchase: p, Incarnation: 1,
			},
			PricePerHour: price, MaxSequences: x.operator.SequencesPerHost,
		},
		engine: newFakeEngine(name, x.model, &x.loop, x), started: x.loop.now, stopped: -1,
	}
	x.hosts = append(x.hosts, h)
	x.hostsByName[name] = h
	x.loop.after(bootDelay, func() {
		h.up = true
		x.updateServers()
	})
}

// updateServers passes the list of available servers to the policies of all
// daemons.
func (x *experiment) updateServers() {
	var servers []routing.Server
	for _, h := range x.hosts {
		if h.available() {
			servers = append(servers, h.server)
		}
	}
	for _, d := range x.daemons {
		d.policy.update(x.now(), servers)
	}
}

// stopHost stops a host and its engine, unless it has stopped already.
func (x *experiment) stopHost(h *host) {
	if h.stopped < 0 {
		h.stopped = x.loop.now
		h.engine.kill()
		x.updateServers()
	}
}

// cost returns the total price of all host-hours between two times.
func (x *experiment) cost(from, to time.Duration) float64 {
	total := 0.0
	for _, h := range x.hosts {
		end := to
		if h.stopped >= 0 {
			end = min(h.stopped, to)
		}
		if start := max(h.started, from); end > start {
			total += (end - start).Hours() * h.server.PricePerHour
		}
	}
	return total
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// scheduleFaults schedules the faults of the scenario.
func (x *experiment) scheduleFaults() {
	if x.scenario.reclaim {
		x.loop.at(x.horizonTime(reclaimAtShare), x.reclaimZone)
	}
	if x.scenario.outage {
		x.loop.at(x.horizonTime(hostStopShare), x.stopWithoutNotice)
	}
}

// horizonTime returns the time at a share of the horizon.
func (x *experiment) horizonTime(share float64) time.Duration {
	return time.Duration(share * float64(x.operator.Horizon))
}

// reclaimZone reclaims every host of the first zone with notice. The cloud
// refuses to start replacements in the other zones for startsRefusedFor.
func (x *experiment) reclaimZone() {
	reclaimed := 0
	for _, h := range x.hosts {
		if h.server.AvailabilityZone != zoneName(0) || h.stopped >= 0 {
			continue
		}
		reclaimed++
		x.reclaimHost(h, reclaimNotice)
	}
	x.loop.after(startsRefusedFor, func() {
		for i := range reclaimed {
			x.startHost(1+i%(x.operator.Zones-1), purchase(1, i), bootTime)
		}
	})
}

// reclaimHost announces the reclaim of a host and stops it at the end of the
// notice period. Daemons receive the notice after the delay of their policy.
func (x *experiment) reclaimHost(h *host, noticePeriod time.Duration) {
	deadline := x.loop.now + noticePeriod
	x.loop.after(x.policy.NoticeDelay, func() {
		h.leaving = true
		for _, d := range x.daemons {
			d.policy.noticeReceived(x.now(), h.server.Name)
			if x.policy.Recovery == RecoveryResume {
				x.planReclaim(d, h, deadline-x.loop.now)
			}
		}
	})
	x.loop.at(deadline, func() { x.stopHost(h) })
}

// stopWithoutNotice stops one host without notice during an outage of the table
// service. No daemon can acquire or renew the lease that allows it to buy Hosts, so
// the replacement is bought only after the outage.
func (x *experiment) stopWithoutNotice() {
	x.stopHost(x.hosts[0])
	x.loop.at(x.horizonTime(outageEndShare), func() { x.startHost(0, membership.PurchaseOnDemand, bootTime) })
}
