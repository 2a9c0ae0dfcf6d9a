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
	// reconcileInterval bounds how long a change of the configuration or of the
	// members takes to reach routing and admission; with the 2 s of membership
	// it must keep the time in which a leaving BackendServer gets new work
	// short.
	reconcileInterval = 200 * time.Millisecond
	// engineReportsPerSecond bounds the load and cache reports that a daemon
	// reads, whatever the number of engines: each is a few hundred bytes of a
	// control budget of 10 KB a second.
	engineReportsPerSecond = 8
	engineReportTimeout    = time.Second
)

// reconciler brings routing and admission in line with the configuration in
// force and the members.
type reconciler struct {
	configuration Configuration
	directory     *membership.PoolDirectory
	balancer      *routing.Balancer
	controller    *admission.Controller
	engines       engine.Client
	clock         clock.WithTicker
	// report tells the other daemons this daemon's load.
	report func(running, waiting int)

	// mu lets one reconciliation run at a time.
	mu sync.Mutex
	// revision is that whose accounts admission knows.
	revision atomic.Uint64
	// resources is the admission resource of each Route.
	resources atomic.Pointer[map[string]string]
	// serversKnown is set once a Route has had a server.
	serversKnown atomic.Bool
	// next is the engine whose reports are read next.
	next int

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

func (r *reconciler) start() {
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.reconcile()
	r.tasks.Go(func() { r.every(reconcileInterval, r.reconcile) })
	r.tasks.Go(func() { r.every(time.Second/engineReportsPerSecond, r.readNextReport) })
}

func (r *reconciler) close() {
	r.stop()
	r.tasks.Wait()
}

func (r *reconciler) every(interval time.Duration, work func()) {
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

// Current implements Configuration for what answers callers. A revision that has
// just come in force reaches routing and admission first, else they would refuse
// the callers of an account that they do not know yet.
func (r *reconciler) Current() (*config.Snapshot, error) {
	snapshot, err := r.configuration.Current()
	if err == nil && snapshot.Revision > r.revision.Load() {
		r.reconcile()
	}
	return snapshot, err
}

func (r *reconciler) reconcile() {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot, err := r.configuration.Current()
	if err != nil {
		return
	}
	// The daemon itself is not among the others.
	r.controller.SetDaemons(len(r.directory.Daemons(membership.StateAlive)) + 1)
	if snapshot.Revision != r.revision.Load() {
		r.controller.SetAccounts(accountsOf(snapshot))
	}
	groups := make([]routing.Group, 0, len(snapshot.Set.Routes))
	resources := make(map[string]string, len(snapshot.Set.Routes))
	joined := joinedPools(snapshot)
	for i := range snapshot.Set.Routes {
		route := &snapshot.Set.Routes[i]
		servers := r.servers(snapshot, route)
		resources[route.Name] = joined[route.Pools[0]]
		if len(servers) > 0 {
			r.serversKnown.Store(true)
			resources[route.Name] = joined[servers[0].Pool]
		}
		groups = append(groups, routing.Group{Name: groupOfRoute(route.Name), Servers: servers})
	}
	r.setSlots(snapshot, joined)
	r.resources.Store(&resources)
	r.balancer.Update(groups)
	r.revision.Store(snapshot.Revision)
	r.report(r.controller.Load())
}

// setSlots counts each server once, for the group of its Pool: Routes that share
// Pools share slots, so that deferred requests of one give way to those of
// another.
func (r *reconciler) setSlots(snapshot *config.Snapshot, joined map[string]string) {
	slots := make(map[string]int)
	for _, pool := range snapshot.Set.Pools {
		slots[joined[pool.Name]] += slotsOf(r.poolServers(snapshot, []string{pool.Name}))
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

// servers returns the engines of a Route's pools, or those of the first
// Fallback that has any.
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

// server returns the BackendServer with a name.
func (r *reconciler) server(name string) (membership.BackendServer, bool) {
	snapshot, err := r.configuration.Current()
	if err != nil {
		return membership.BackendServer{}, false
	}
	return findServer(snapshot, r.directory, name)
}

// findServer returns the BackendServer with a name that takes new work.
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

func slotsOf(servers []routing.Server) int {
	slots := 0
	for _, s := range servers {
		slots += s.MaxSequences
	}
	return slots
}

func accountsOf(snapshot *config.Snapshot) map[string]admission.Account {
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

// readNextReport reads the load and the cache events of one engine.
func (r *reconciler) readNextReport() {
	engines := r.knownEngines()
	if len(engines) == 0 {
		return
	}
	r.next = (r.next + 1) % len(engines)
	server := engines[r.next]
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

func (r *reconciler) knownEngines() []membership.BackendServer {
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
