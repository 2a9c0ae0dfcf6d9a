// Package membership tracks daemons and BackendServers: which are alive, which
// are leaving, and which are gone.
package membership

// Kind says what a member runs.
type Kind string

// The kinds of members.
const (
	KindDaemon  Kind = "daemon"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Purchase says how a Host is paid for.
type Purchase string

// The kinds of purchase.
const (
	PurchaseReclaimable Purchase = "reclaimable"
	PurchaseOnDemand    Purchase = "on_demand"
)

// State is the state of a member as this daemon sees it.
type State string

// The states of a member, in the order in which they override one another for
// the same incarnation.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Member is a daemon or a BackendServer.
type Member struct {
	// Name is unique among the members of a deployment.
	Name             string
	Kind             Kind
	Address          string
	Pool             string
	AvailabilityZone string
	MachineClass     string
	Purchase         Purchase
	// Incarnation rises with every start of the member. A state for a lower
	// incarnation never overrides one for a higher.
	Incarnation uint64
}

// BackendServer is a member of kind KindEngine or KindService.
type BackendServer = Member

// Directory lists the BackendServers that may receive new work.
type Directory interface {
	// Available returns the members of a pool that may receive new work. The
	// caller must not change the slice.
	Available(pool string) []BackendServer
	// ReportLeaving records that a BackendServer has said that it is leaving.
	ReportLeaving(name string, incarnation uint64)
}
