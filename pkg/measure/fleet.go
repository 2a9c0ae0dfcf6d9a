package measure

import (
	"fmt"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

// Prices per host-hour: the zones of reclaimable hosts differ, on-demand hosts
// cost more.
var reclaimablePrice = []float64{1.00, 1.10, 1.05, 1.20}

const onDemandPrice = 2.50

// host runs one engine.
type host struct {
	server  routing.Server
	engine  *fakeEngine
	started time.Duration
	stopped time.Duration
	leaving bool
	up      bool
}

// available says whether the host may get new work.
func (h *host) available() bool { return h.up && !h.leaving && h.stopped < 0 }

// newFleet returns a worker pool in which one host of each zone is reclaimable
// more than on demand: of three hosts in a zone one or two are reclaimable.
func (x *experiment) startFleet() {
	for zone := range x.operator.Zones {
		for i := range x.operator.WorkersPerZone {
			x.startHost(zone, purchase(zone, i), 0)
		}
	}
}

// purchase gives 46% of the hosts to reclaimable purchase when there are three
// per zone: the second in every zone and the third in every other one.
func purchase(zone, i int) membership.Purchase {
	if i == 1 || (i == 2 && zone%2 == 0) {
		return membership.PurchaseReclaimable
	}
	return membership.PurchaseOnDemand
}

// startHost starts a host; it is paid from now and serves after boot.
func (x *experiment) startHost(zone int, p membership.Purchase, boot time.Duration) {
	name := fmt.Sprintf("engine-%d", len(x.hosts))
	price := onDemandPrice
	if p == membership.PurchaseReclaimable {
		price = reclaimablePrice[zone%len(reclaimablePrice)]
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
	x.byName[name] = h
	x.loop.after(boot, func() {
		h.up = true
		x.announce()
	})
}

// announce tells all daemons the servers that may get new work.
func (x *experiment) announce() {
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

func (x *experiment) stopHost(h *host) {
	if h.stopped < 0 {
		h.stopped = x.loop.now
		h.engine.kill()
		x.announce()
	}
}

// cost returns the price of all host-hours between two times.
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

// scheduleFaults adds the faults of the scenario.
func (x *experiment) scheduleFaults() {
	if x.scenario.reclaim {
		x.loop.at(x.share(reclaimAt), x.reclaimZone)
	}
	if x.scenario.outage {
		x.loop.at(x.share(deathAt), x.dieUnannounced)
	}
}

func (x *experiment) share(of float64) time.Duration {
	return time.Duration(of * float64(x.operator.Horizon))
}

// reclaimZone gives notice to every host of the first zone. Replacements in the
// other zones are refused for a while.
func (x *experiment) reclaimZone() {
	gone := 0
	for _, h := range x.hosts {
		if h.server.AvailabilityZone != zoneName(0) || h.stopped >= 0 {
			continue
		}
		gone++
		x.leave(h, notice)
	}
	x.loop.after(refusedFor, func() {
		for i := range gone {
			x.startHost(1+i%(x.operator.Zones-1), purchase(1, i), bootTime)
		}
	})
}

// leave gives notice to a host's engine: daemons learn of it after their
// policy's delay.
func (x *experiment) leave(h *host, in time.Duration) {
	deadline := x.loop.now + in
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

// dieUnannounced stops one host without notice while the table service is down:
// nobody can take or renew the capacity duty's lease, so that the replacement
// is bought only after the outage.
func (x *experiment) dieUnannounced() {
	x.stopHost(x.hosts[0])
	x.loop.at(x.share(outageEnd), func() { x.startHost(0, membership.PurchaseOnDemand, bootTime) })
}
