package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/admission"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

const (
	// reconcileInterval is the longest time until a change of the configuration or
	// the membership reaches routing and admission. It adds to the 2 s of the
	// membership protocol, during which a leaving BackendServer may still get new
	// work, so it has to be short.
	reconcileInterval = 200 * time.Millisecond
	// engineReportsPerSecond is the rate at which a daemon reads load and cache
	// reports, regardless of the number of engines. Each report takes a few hundred
	// bytes, and control traffic is limited to 10 KB per second.
	engineReportsPerSecond = 8
	engineReportTimeout    = time.Second
)

// reconciler updates routing and admission to match the configuration in force and
// the current members.
type reconciler struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	balancer      *routing.Balancer
	controller    *admission.Controller
	engines       engine.Client
	clock         clock.WithTicker
	// reportLoad announces this daemon's load to the other daemons.
	reportLoad func(running, waiting int)

	// mu serializes reconciliations.
	mu sync.Mutex
	// appliedRevision is the configuration revision last applied to admission and
	// routing.
	appliedRevision atomic.Uint64
	// resources maps each Route to its admission resource.
	resources atomic.Pointer[map[string]string]
	// serversKnown is set as soon as any Route has had a server.
	serversKnown atomic.Bool
	// lastEngine is the index of the engine whose reports were read last.
	lastEngine int

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (r *reconciler) start() {
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.reconcile()
	r.tasks.Go(func() { r.runEvery(reconcileInterval, r.reconcile) })
	r.tasks.Go(func() { r.runEvery(time.Second/engineReportsPerSecond, r.readNextReport) })
}

func (r *reconciler) close() {
	r.stop()
	r.tasks.Wait()
}

// runEvery calls work at the given interval until the reconciler is closed.
func (r *reconciler) runEvery(interval time.Duration, work func()) {
	ticker := r.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			work()
		case <-r.ctx.Done():
			return
		}
	}
}

// Current implements Configuration for the components that serve callers. It first
// applies a new revision to routing and admission, because otherwise they would
// refuse callers of an account that the revision has added.
func (r *reconciler) Current() (*config.Snapshot, error) {
	snapshot, err := r.configuration.Current()
	if err == nil && snapshot.Revision > r.appliedRevision.Load() {
		r.reconcile()
	}
	return snapshot, err
}

// reconcile applies the configuration in force and the current members to admission
// and routing. Without a confirmed configuration it does nothing.
func (r *reconciler) reconcile() {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot, err := r.configuration.Current()
	if err != nil {
		return
	}
	// The directory does not include this daemon, hence + 1.
	r.controller.SetDaemons(len(r.directory.Daemons(membership.StateAlive)) + 1)
	if snapshot.Revision != r.appliedRevision.Load() {
		r.controller.SetAccounts(admissionAccounts(snapshot))
	}
	groups := make([]routing.Group, 0, len(snapshot.Set.Routes))
	resources := make(map[string]string, len(snapshot.Set.Routes))
	groupOf := groupNameByPool(snapshot)
	for i := range snapshot.Set.Routes {
		route := &snapshot.Set.Routes[i]
		servers := r.servers(snapshot, route)
		resources[route.Name] = groupOf[route.Pools[0]]
		if len(servers) > 0 {
			r.serversKnown.Store(true)
			resources[route.Name] = groupOf[servers[0].Pool]
		}
		groups = append(groups, routing.Group{Name: groupOfRoute(route.Name), Servers: servers})
	}
	r.setSlots(snapshot, groupOf)
	r.resources.Store(&resources)
	r.balancer.Update(groups)
	r.appliedRevision.Store(snapshot.Revision)
	r.reportLoad(r.controller.Load())
}

// setSlots sets the number of admission slots of each group of Pools. Routes that
// share Pools share slots, so that deferred requests of one Route yield to requests
// of another. Each server counts once, in the group of its Pool.
func (r *reconciler) setSlots(snapshot *config.Snapshot, groupOf map[string]string) {
	slots := make(map[string]int)
	for _, pool := range snapshot.Set.Pools {
		slots[groupOf[pool.Name]] += totalSlots(r.poolServers(snapshot, []string{pool.Name}))
	}
	for group, n := range slots {
		r.controller.SetSlots(group, n)
	}
}

// resource returns the admission resource of a Route.
func (r *reconciler) resource(route string) string {
	resources := r.resources.Load()
	if resources == nil {
		return route
	}
	return (*resources)[route]
}

// servers returns the servers in the Route's Pools. If there are none, it returns
// those of the first Route in the chain of fallbacks that has any.
func (r *reconciler) servers(snapshot *config.Snapshot, route *config.Route) []routing.Server {
	for range len(snapshot.Set.Routes) {
		servers := r.poolServers(snapshot, route.Pools)
		if len(servers) > 0 || route.Fallback == "" {
			return servers
		}
		fallback, ok := snapshot.Route(route.Fallback)
		if !ok {
			return nil
		}
		route = fallback
	}
	return nil
}

// poolServers returns the available servers of the Pools.
func (r *reconciler) poolServers(snapshot *config.Snapshot, pools []string) []routing.Server {
	var servers []routing.Server
	for _, name := range pools {
		pool, ok := snapshot.Pool(name)
		if !ok {
			continue
		}
		for _, server := range r.directory.Available(name) {
			servers = append(servers, routing.Server{
				BackendServer: server,
				PricePerHour:  pool.PricePerHour,
				MaxSequences:  pool.SequencesPerHost,
			})
		}
	}
	return servers
}

// serverByName returns the BackendServer with the given name if it accepts new
// work.
func (r *reconciler) serverByName(name string) (membership.BackendServer, bool) {
	snapshot, err := r.configuration.Current()
	if err != nil {
		return membership.BackendServer{}, false
	}
	return findServer(snapshot, r.directory, name)
}

// findServer returns the BackendServer with the given name if it accepts new work.
func findServer(snapshot *config.Snapshot, directory membership.Directory, name string) (membership.BackendServer, bool) {
	for _, pool := range snapshot.Set.Pools {
		for _, server := range directory.Available(pool.Name) {
			if server.Name == name {
				return server, true
			}
		}
	}
	return membership.BackendServer{}, false
}

func totalSlots(servers []routing.Server) int {
	slots := 0
	for _, s := range servers {
		slots += s.MaxSequences
	}
	return slots
}

func admissionAccounts(snapshot *config.Snapshot) map[string]admission.Account {
	accounts := make(map[string]admission.Account, len(snapshot.Set.ClientAccounts))
	for _, a := range snapshot.Set.ClientAccounts {
		accounts[a.Name] = admission.Account{
			Weight:            a.Weight,
			MaxInFlight:       a.MaxInFlight,
			RequestsPerSecond: a.RequestsPerSecond,
		}
	}
	return accounts
}

// readNextReport reads the load and the cache events of the next engine, in
// round-robin order, and passes them to the balancer.
func (r *reconciler) readNextReport() {
	engines := r.availableEngines()
	if len(engines) == 0 {
		return
	}
	r.lastEngine = (r.lastEngine + 1) % len(engines)
	server := engines[r.lastEngine]
	ctx, cancel := context.WithTimeout(r.ctx, engineReportTimeout)
	defer cancel()
	if load, err := r.engines.Load(ctx, server.Address); err == nil {
		r.balancer.LoadReported(server.Name, load)
	}
	after := r.balancer.LastCacheSequence(server.Name)
	if events, err := r.engines.CacheEvents(ctx, server.Address, after); err == nil {
		r.balancer.CacheReported(server.Name, events)
	}
}

// availableEngines returns the engines that accept new work.
func (r *reconciler) availableEngines() []membership.BackendServer {
	snapshot, err := r.configuration.Current()
	if err != nil {
		return nil
	}
	var engines []membership.BackendServer
	for _, pool := range snapshot.Set.Pools {
		for _, server := range r.directory.Available(pool.Name) {
			if server.Kind == membership.KindEngine {
				engines = append(engines, server)
			}
		}
	}
	return engines
}
