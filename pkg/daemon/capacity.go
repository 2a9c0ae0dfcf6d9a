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
	// buyerLease and placerLease are the names of the leases that ensure that only
	// one daemon at a time buys Hosts or places models.
	buyerLease  = "capacity/buyer"
	placerLease = "capacity/placer"
	// headroom is the ratio of the capacity to buy to the current load, since load
	// may rise while a Host starts. The reserve for the loss of any one
	// AvailabilityZone comes on top.
	headroom = 1.3
	// bytesPerMiB converts the weights of a model to the unit of
	// capacity.Engine.WeightsMiB.
	bytesPerMiB = 1 << 20
	// idleCheckTimeout is the timeout of reading an engine's load to find out
	// whether its Host is idle.
	idleCheckTimeout = time.Second
)

// capacityManager buys Hosts while this daemon holds the buyer lease, and places
// models on engines while it holds the placer lease.
type capacityManager struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	engines       *engine.HTTPClient
	retire        func(membership.BackendServer)
	buyer         *capacity.BuyerDriver
	placer        *capacity.PlacerDriver
	clock         clock.PassiveClock

	mu sync.Mutex
	// retiredAddresses maps the Hosts of retired servers, which are no longer in the
	// directory, to their addresses.
	retiredAddresses map[string]string
	// idleCheckedSince maps Hosts to the time of their first idle check.
	idleCheckedSince map[string]time.Time
}

// capacityOptions configure a capacityManager.
type capacityOptions struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	engines       *engine.HTTPClient
	cloud         cloud.API
	leases        *lease.Manager
	clock         clock.WithTicker
	recorder      *decision.Recorder
	random        *rand.Rand
	// retire stops the assignment of new work to a server at every daemon.
	retire func(membership.BackendServer)
}

func newCapacityManager(o capacityOptions) *capacityManager {
	d := &capacityManager{
		configuration: o.configuration, directory: o.directory, engines: o.engines, retire: o.retire, clock: o.clock,
		retiredAddresses: make(map[string]string), idleCheckedSince: make(map[string]time.Time),
	}
	driver := capacity.DriverOptions{Clock: o.clock}
	d.buyer = capacity.NewBuyerDriver(driver, capacity.NewBuyer(capacity.BuyerOptions{}, o.random), o.cloud,
		&namedLease{manager: o.leases, name: buyerLease},
		capacity.BuyerHooks{Groups: d.groups, Drain: d.drain, Draining: d.outOfService, Idle: d.idle}, o.recorder)
	d.placer = capacity.NewPlacerDriver(driver, capacity.NewPlacer(capacity.PlacerOptions{}, o.random), o.engines,
		&namedLease{manager: o.leases, name: placerLease}, d.placements, o.recorder)
	return d
}

func (d *capacityManager) close() {
	d.buyer.Close()
	d.placer.Close()
}

// namedLease implements capacity.Lease with one lease of the manager.
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
	fencingNumber, _ := l.manager.Held(l.name)
	return fencingNumber
}

// groups returns the capacity that each group of Pools needs now: the load reported
// by all daemons plus headroom, divided among the groups in proportion to their
// maximum size. Daemons report one load for all Routes together, so the load of a
// group is an estimate.
func (d *capacityManager) groups() []capacity.Group {
	snapshot, err := d.configuration.Current()
	if err != nil {
		return nil
	}
	groups := poolGroups(snapshot)
	load := d.load() * headroom
	total := 0.0
	for i := range groups {
		total += maxUnits(&groups[i])
	}
	for i := range groups {
		g := &groups[i]
		// Keep at least one Host per group even without load, so that the first
		// requests do not have to wait for a Host to start.
		g.Need = max(load*maxUnits(g)/total, g.Offers[0].UnitsPerHost)
	}
	return groups
}

// maxUnits returns the capacity of a group with all Hosts that its limits allow.
func maxUnits(g *capacity.Group) float64 {
	sum := 0.0
	for _, offer := range g.Offers {
		sum += float64(offer.MaxHosts) * offer.UnitsPerHost
	}
	return sum
}

// load returns the number of running and waiting requests of all daemons.
func (d *capacityManager) load() float64 {
	sum := uint64(0)
	for _, zone := range d.directory.ZoneLoads() {
		sum += zone.Running + zone.Waiting
	}
	return float64(sum)
}

// poolGroups returns the groups of Pools with their offers.
func poolGroups(snapshot *config.Snapshot) []capacity.Group {
	return offersByGroup(snapshot.Set.Pools, groupNameByPool(snapshot))
}

// groupNameByPool returns the name of the group to which each Pool belongs. Pools
// that serve the same Route or Service are in one group: their Hosts do the same
// work, so capacity is bought and slots are assigned for the group as a whole.
func groupNameByPool(snapshot *config.Snapshot) map[string]string {
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

// offersByGroup converts the Pools to offers and collects them by group.
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

// drain takes the BackendServer on a Host out of use at every daemon.
func (d *capacityManager) drain(host cloud.Host) {
	server, ok := d.server(host.ID)
	if !ok {
		return
	}
	d.mu.Lock()
	d.retiredAddresses[host.ID] = server.Address
	d.mu.Unlock()
	d.retire(server)
}

// outOfService reports whether the BackendServer on a running Host has been taken
// out of use.
func (d *capacityManager) outOfService(host cloud.Host) bool {
	_, available := d.server(host.ID)
	return host.State == cloud.HostRunning && !available
}

// idle reports whether a Host has no work left. It reads the load from the engine,
// which includes the work of all daemons. A server whose load cannot be read counts
// as idle after retireGracePeriod. Examples are a plain service, and a server whose
// address only a previous lease holder has stored.
func (d *capacityManager) idle(host cloud.Host) bool {
	d.mu.Lock()
	address := d.retiredAddresses[host.ID]
	since, checked := d.idleCheckedSince[host.ID]
	if !checked {
		since = d.clock.Now()
		d.idleCheckedSince[host.ID] = since
	}
	d.mu.Unlock()
	if address != "" {
		ctx, cancel := context.WithTimeout(context.Background(), idleCheckTimeout)
		defer cancel()
		if load, err := d.engines.Load(ctx, address); err == nil {
			return load.Running+load.Waiting == 0
		}
	}
	return d.clock.Since(since) >= retireGracePeriod
}

// server returns the BackendServer on a Host if it accepts new work.
func (d *capacityManager) server(name string) (membership.BackendServer, bool) {
	snapshot, err := d.configuration.Current()
	if err != nil {
		return membership.BackendServer{}, false
	}
	return findServer(snapshot, d.directory, name)
}

// placements returns the available engines with the models and adapters that each
// should load.
func (d *capacityManager) placements() []capacity.Engine {
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

// placementOf returns the models of the Pool and their adapters as the placement of
// an engine.
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
			placed.WeightsMiB += int(model.WeightsBytes / bytesPerMiB)
		}
	}
	for _, adapter := range snapshot.Set.Adapters {
		if base, ok := snapshot.BaseModel(adapter.Name); ok && served[base.Name] {
			placed.Adapters = append(placed.Adapters, adapter.Name)
		}
	}
	return placed
}
