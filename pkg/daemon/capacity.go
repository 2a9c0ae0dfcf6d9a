package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/capacity"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
)

const (
	// buyerLease and placerLease let one daemon at a time buy Hosts and place
	// models.
	buyerLease  = "capacity/buyer"
	placerLease = "capacity/placer"
	// headroom is what is bought beyond the present load, besides the loss of
	// any one AvailabilityZone: load rises while a Host starts.
	headroom = 1.3
	// weightUnit is the unit of placement's weight sizes.
	weightUnit = 1 << 20
	// idleTimeout bounds the question whether a Host has work left.
	idleTimeout = time.Second
)

// capacityDuty buys Hosts and places models while this daemon holds the leases.
type capacityDuty struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	engines       *engine.HTTPClient
	retire        func(membership.BackendServer)
	buyer         *capacity.BuyerDriver
	placer        *capacity.PlacerDriver
	clock         clock.PassiveClock

	mu sync.Mutex
	// addresses are those of the retired servers, which are no longer listed,
	// and askedSince when their Hosts were first asked for work.
	addresses  map[string]string
	askedSince map[string]time.Time
}

// capacityOptions are what a capacityDuty needs.
type capacityOptions struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	engines       *engine.HTTPClient
	cloud         cloud.API
	leases        *lease.Manager
	clock         clock.WithTicker
	recorder      *decision.Recorder
	random        *rand.Rand
	// retire takes a server out of use at every daemon.
	retire func(membership.BackendServer)
}

func newCapacityDuty(o capacityOptions) *capacityDuty {
	d := &capacityDuty{
		configuration: o.configuration, directory: o.directory, engines: o.engines, retire: o.retire, clock: o.clock,
		addresses: make(map[string]string), askedSince: make(map[string]time.Time),
	}
	driver := capacity.DriverOptions{Clock: o.clock}
	d.buyer = capacity.NewBuyerDriver(driver, capacity.NewBuyer(capacity.BuyerOptions{}, o.random), o.cloud,
		&namedLease{manager: o.leases, name: buyerLease},
		capacity.BuyerHooks{Groups: d.groups, Drain: d.drain, Draining: d.left, Idle: d.idle}, o.recorder)
	d.placer = capacity.NewPlacerDriver(driver, capacity.NewPlacer(capacity.PlacerOptions{}, o.random), o.engines,
		&namedLease{manager: o.leases, name: placerLease}, d.placements, o.recorder)
	return d
}

func (d *capacityDuty) close() {
	d.buyer.Close()
	d.placer.Close()
}

// namedLease is one lease of the manager.
type namedLease struct {
	manager *lease.Manager
	name    string
}

// Holds implements capacity.Lease.
func (l *namedLease) Holds() bool {
	_, held := l.manager.Held(l.name)
	return held
}

// Number implements capacity.Lease.
func (l *namedLease) Number() uint64 {
	number, _ := l.manager.Held(l.name)
	return number
}

// groups returns what is needed now: the load that all daemons report, with
// headroom, spread over the groups of Pools by the size that they may have. The
// daemons report one load for all Routes, so the load of a group is an estimate.
func (d *capacityDuty) groups() []capacity.Group {
	snapshot, err := d.configuration.Current()
	if err != nil {
		return nil
	}
	groups := poolGroups(snapshot)
	load := d.load() * headroom
	total := 0.0
	for i := range groups {
		total += units(&groups[i])
	}
	for i := range groups {
		g := &groups[i]
		// One Host's worth remains when nothing runs, so that the first
		// requests need not wait for a start.
		g.Need = max(load*units(g)/total, g.Offers[0].UnitsPerHost)
	}
	return groups
}

func units(g *capacity.Group) float64 {
	sum := 0.0
	for _, offer := range g.Offers {
		sum += float64(offer.MaxHosts) * offer.UnitsPerHost
	}
	return sum
}

func (d *capacityDuty) load() float64 {
	sum := uint64(0)
	for _, zone := range d.directory.ZoneLoads() {
		sum += zone.Running + zone.Waiting
	}
	return float64(sum)
}

// poolGroups returns the offers of each group of Pools.
func poolGroups(snapshot *config.Snapshot) []capacity.Group {
	return offersByGroup(snapshot.Set.Pools, joinedPools(snapshot))
}

// joinedPools joins Pools that serve the same Routes or Services and returns the
// group of each Pool: their Hosts carry the same work, so they are bought and
// admitted to together.
func joinedPools(snapshot *config.Snapshot) map[string]string {
	groupOf := make(map[string]string, len(snapshot.Set.Pools))
	for _, pool := range snapshot.Set.Pools {
		groupOf[pool.Name] = pool.Name
	}
	join := func(pools []string) {
		for _, name := range pools[min(1, len(pools)):] {
			from, to := groupOf[name], groupOf[pools[0]]
			for pool, group := range groupOf {
				if group == from {
					groupOf[pool] = to
				}
			}
		}
	}
	for _, route := range snapshot.Set.Routes {
		join(route.Pools)
	}
	for _, service := range snapshot.Set.Services {
		join(service.Pools)
	}
	return groupOf
}

func offersByGroup(pools []config.Pool, groupOf map[string]string) []capacity.Group {
	var groups []capacity.Group
	positions := make(map[string]int)
	for _, pool := range pools {
		name := groupOf[pool.Name]
		at, ok := positions[name]
		if !ok {
			at = len(groups)
			positions[name] = at
			groups = append(groups, capacity.Group{Name: name})
		}
		groups[at].Offers = append(groups[at].Offers, capacity.Offer{
			Pool:             pool.Name,
			AvailabilityZone: pool.AvailabilityZone,
			MachineClass:     pool.MachineClass,
			Purchase:         membership.Purchase(pool.Purchase),
			PricePerHour:     pool.PricePerHour,
			MaxHosts:         pool.MaxHosts,
			UnitsPerHost:     float64(max(pool.SequencesPerHost, 1)),
		})
	}
	return groups
}

func (d *capacityDuty) drain(host cloud.Host) {
	server, ok := d.server(host.ID)
	if !ok {
		return
	}
	d.mu.Lock()
	d.addresses[host.ID] = server.Address
	d.mu.Unlock()
	d.retire(server)
}

func (d *capacityDuty) left(host cloud.Host) bool {
	_, available := d.server(host.ID)
	return host.State == cloud.HostRunning && !available
}

// idle asks the engine itself, since it knows the work of all daemons. A server
// that cannot be asked, such as a plain service or one whose address only an
// earlier holder of the lease knew, counts as idle after retireTime.
func (d *capacityDuty) idle(host cloud.Host) bool {
	d.mu.Lock()
	address := d.addresses[host.ID]
	since, asked := d.askedSince[host.ID]
	if !asked {
		since = d.clock.Now()
		d.askedSince[host.ID] = since
	}
	d.mu.Unlock()
	if address != "" {
		ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
		defer cancel()
		if load, err := d.engines.Load(ctx, address); err == nil {
			return load.Running+load.Waiting == 0
		}
	}
	return d.clock.Since(since) >= retireTime
}

func (d *capacityDuty) server(name string) (membership.BackendServer, bool) {
	snapshot, err := d.configuration.Current()
	if err != nil {
		return membership.BackendServer{}, false
	}
	return findServer(snapshot, d.directory, name)
}

// placements returns what each engine should load.
func (d *capacityDuty) placements() []capacity.Engine {
	snapshot, err := d.configuration.Current()
	if err != nil {
		return nil
	}
	var engines []capacity.Engine
	for i := range snapshot.Set.Pools {
		pool := &snapshot.Set.Pools[i]
		for _, server := range d.directory.Available(pool.Name) {
			if server.Kind == membership.KindEngine {
				engines = append(engines, placementOf(snapshot, pool, server))
			}
		}
	}
	return engines
}

func placementOf(snapshot *config.Snapshot, pool *config.Pool, server membership.BackendServer) capacity.Engine {
	placed := capacity.Engine{
		Name:          server.Name,
		Address:       server.Address,
		ChecksFencing: snapshot.ChecksFencing(server.Name, pool.Name),
		Models:        pool.Models,
	}
	served := make(map[string]bool, len(pool.Models))
	for _, name := range pool.Models {
		served[name] = true
		if model, ok := snapshot.Model(name); ok {
			placed.WeightsMiB += int(model.WeightsBytes / weightUnit)
		}
	}
	for _, adapter := range snapshot.Set.Adapters {
		if base, ok := snapshot.BaseModel(adapter.Name); ok && served[base.Name] {
			placed.Adapters = append(placed.Adapters, adapter.Name)
		}
	}
	return placed
}
