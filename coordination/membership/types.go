// Package membership is a gossip protocol between daemons. It tracks which
// daemons are alive, suspect, leaving or gone and which BackendServers may
// receive new work, and it spreads announcements, zone loads and the highest
// confirmed configuration revision.
package membership

import "fmt"

// Kind is the type of process that a member runs.
type Kind string

// Kinds of members.
const (
	KindDaemon  Kind = "daemon"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Purchase is the purchase model of a Host.
type Purchase string

// Purchase models.
const (
	PurchaseReclaimable Purchase = "reclaimable"
	PurchaseOnDemand    Purchase = "on_demand"
)

// State is the state of a member in the local view of a daemon.
type State string

// States of a member. For the same incarnation, a later state in this list
// overrides an earlier one.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Member is a daemon or a BackendServer.
type Member struct {
	// Name is unique within a deployment.
	Name             string
	Kind             Kind
	Address          string
	Pool             string
	AvailabilityZone string
	MachineClass     string
	Purchase         Purchase
	// Incarnation increases with every start of the member. A state for a lower
	// incarnation never overrides one for a higher incarnation.
	Incarnation uint64
}

// RunID identifies the run of the member from its start to its end.
func (m *Member) RunID() string { return fmt.Sprintf("%s#%d", m.Name, m.Incarnation) }

// BackendServer is a member of kind KindEngine or KindService.
type BackendServer = Member

// Directory lists the BackendServers that may receive new work.
type Directory interface {
	// Available returns the members of a pool that may receive new work. The
	// caller must not change the slice.
	Available(pool string) []BackendServer
	// ReportLeaving records that this incarnation of a BackendServer announced
	// that it is leaving.
	ReportLeaving(name string, incarnation uint64)
}
