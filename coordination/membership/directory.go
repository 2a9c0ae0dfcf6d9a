package membership

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

// PoolDirectory is a Core that is safe for concurrent use. Available takes no
// lock and allocates nothing: it reads a copy that changes are published to.
type PoolDirectory struct {
	now      func() time.Time
	reporter *invariant.Reporter
	pools    atomic.Pointer[map[string][]BackendServer]

	mu             sync.Mutex
	core           *Core
	pendingActions []Action
}

var _ Directory = (*PoolDirectory)(nil)

// NewDirectory wraps a core. now is the clock; reporter may be nil.
func NewDirectory(core *Core, now func() time.Time, reporter *invariant.Reporter) *PoolDirectory {
	d := &PoolDirectory{now: now, core: core, reporter: reporter}
	d.pools.Store(&map[string][]BackendServer{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish()
	return d
}

// Available implements Directory.
func (d *PoolDirectory) Available(pool string) []BackendServer {
	return (*d.pools.Load())[pool]
}

// ReportLeaving implements Directory.
func (d *PoolDirectory) ReportLeaving(name string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingActions = append(d.pendingActions, d.core.Step(d.now(), LeavingEvent{Name: name, Incarnation: incarnation})...)
	d.publish()
}

// ReportReclaim records that the BackendServer that runs under a name is leaving,
// for sources that do not know its incarnation, such as reclaim notices.
func (d *PoolDirectory) ReportReclaim(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingActions = append(d.pendingActions, d.core.Step(d.now(), LeavingEvent{Name: name, CurrentIncarnation: true})...)
	d.publish()
}

// Step passes an event to the core and returns the actions, including those of
// earlier calls of ReportLeaving.
func (d *PoolDirectory) Step(event Event) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions := append(d.pendingActions, d.core.Step(d.now(), event)...)
	d.pendingActions = nil
	d.publish()
	return actions
}

// publish copies the pools that have changed.
func (d *PoolDirectory) publish() {
	if len(d.core.dirtyPools) == 0 {
		return
	}
	pools := maps.Clone(*d.pools.Load())
	for name := range d.core.dirtyPools {
		pools[name] = d.core.Available(name)
		d.checkNotLeft(pools[name])
	}
	clear(d.core.dirtyPools)
	d.pools.Store(&pools)
}

// check guards I5: no BackendServer that has left is offered for new work.
func (d *PoolDirectory) checkNotLeft(servers []BackendServer) {
	for i := range servers {
		s := &servers[i]
		// The violation is counted and passed on by the reporter.
		_ = d.reporter.Check(!d.core.hasLeft(s.Name, s.Incarnation), invariant.NoWorkForLeavingServer,
			"%s at incarnation %d is offered although it has left", s.Name, s.Incarnation)
	}
}

// Daemons returns the other daemons in state, by name.
func (d *PoolDirectory) Daemons(state State) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Daemons(state)
}

// HasLeft reports whether this incarnation of a BackendServer, or a later one,
// takes no new work.
func (d *PoolDirectory) HasLeft(name string, incarnation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.hasLeft(name, incarnation)
}

// IsPoller reports whether this daemon is one of the few that poll the platform
// often and tell the others.
func (d *PoolDirectory) IsPoller() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.isPoller()
}

// Self returns this daemon.
func (d *PoolDirectory) Self() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Self()
}

// ZoneLoads returns the load aggregates by zone.
func (d *PoolDirectory) ZoneLoads() []ZoneLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.ZoneLoads()
}

// Revision returns the highest revision known to be confirmed by a daemon.
func (d *PoolDirectory) Revision() RevisionEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Revision()
}
