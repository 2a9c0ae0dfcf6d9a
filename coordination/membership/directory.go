package membership

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

// PoolDirectory wraps a Core for concurrent use. Available takes no lock and
// allocates nothing: it reads a snapshot that is replaced on every change.
type PoolDirectory struct {
	now      func() time.Time
	reporter *invariant.Reporter
	pools    atomic.Pointer[map[string][]BackendServer]

	mu             sync.Mutex
	core           *Core
	pendingActions []Action
}

var _ Directory = (*PoolDirectory)(nil)

// NewDirectory returns a PoolDirectory for core. now is the clock; reporter may
// be nil.
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

// ReportReclaim records that the running incarnation of a BackendServer is
// leaving. It is used for sources that give no incarnation, such as reclaim
// notices.
func (d *PoolDirectory) ReportReclaim(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingActions = append(d.pendingActions, d.core.Step(d.now(), LeavingEvent{Name: name, CurrentIncarnation: true})...)
	d.publish()
}

// Step passes an event to the core and returns the resulting actions, including
// the actions of earlier calls of ReportLeaving and ReportReclaim.
func (d *PoolDirectory) Step(event Event) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions := append(d.pendingActions, d.core.Step(d.now(), event)...)
	d.pendingActions = nil
	d.publish()
	return actions
}

// publish replaces the snapshot of the pools that have changed.
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

// checkNotLeft checks invariant I5: no BackendServer that has left is offered for
// new work.
func (d *PoolDirectory) checkNotLeft(servers []BackendServer) {
	for i := range servers {
		s := &servers[i]
		// The reporter counts and forwards the violation.
		_ = d.reporter.Check(!d.core.hasLeft(s.Name, s.Incarnation), invariant.NoWorkForLeavingServer,
			"BackendServer %s at incarnation %d is offered for new work although it has left", s.Name, s.Incarnation)
	}
}

// Daemons returns the other daemons in the given state, sorted by name.
func (d *PoolDirectory) Daemons(state State) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Daemons(state)
}

// HasLeft reports whether this incarnation of a BackendServer, or a later one,
// has left and takes no new work.
func (d *PoolDirectory) HasLeft(name string, incarnation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.hasLeft(name, incarnation)
}

// IsPoller reports whether this daemon is one of the few that poll the platform
// frequently and announce changes to the others.
func (d *PoolDirectory) IsPoller() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.isPoller()
}

// Self returns this daemon with its current incarnation.
func (d *PoolDirectory) Self() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Self()
}

// ZoneLoads returns the load aggregates of all zones, sorted by zone.
func (d *PoolDirectory) ZoneLoads() []ZoneLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.ZoneLoads()
}

// Revision returns the highest configuration revision that any daemon is known
// to have confirmed.
func (d *PoolDirectory) Revision() RevisionEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Revision()
}
