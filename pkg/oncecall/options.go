// Package oncecall runs calls to plain services. Repeatable calls are retried on
// other servers. Once-only calls are claimed in the table before their single
// dispatch. The package also settles the claims of daemons that have failed, in
// the key ranges whose leases this daemon holds.
package oncecall

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"
)

const (
	defaultCallTimeout    = 10 * time.Second
	defaultSettleInterval = 2 * time.Second
	// defaultSettleMargin leaves the owner of a claim time for look-ups and for
	// storing the outcome after the call's timeout.
	defaultSettleMargin  = 5 * time.Second
	defaultDrainTimeout  = 30 * time.Second
	defaultStoreTimeout  = 2 * time.Second
	defaultLookupTimeout = 2 * time.Second
	defaultRetryAfter    = 2 * time.Second
	// defaultRetention is how long a stored outcome is replayed for its key.
	defaultRetention = 24 * time.Hour
	// defaultProbeInterval is the time between the claims that are tried while
	// the table is down; all other claims are refused immediately.
	defaultProbeInterval = 250 * time.Millisecond
	// maxRepeatableAttempts limits the attempts of a repeatable call, in addition
	// to the retry budget and the deadline.
	maxRepeatableAttempts = 4
	firstBackoff          = 20 * time.Millisecond
	maxBackoff            = time.Second
)

// Configuration looks up declarations of calls in the configuration in force.
type Configuration interface {
	// Call returns the declaration of a call and the pools of its service. ok is
	// false if there is no such call.
	Call(service, call string) (declared config.Call, pools []string, ok bool)
}

// RetryBudget limits the retries of repeatable calls to a share of the recent
// successful calls.
type RetryBudget interface {
	// Retry takes one retry from the budget. It returns false if the budget is
	// spent.
	Retry(now time.Time, account, pool string) bool
	// Success credits the budget with a successful call.
	Success(now time.Time, account, pool string)
}

// Leases reports the key ranges whose once-only claims this daemon settles.
type Leases interface {
	// HoldsRange reports whether this daemon holds the lease of a range now.
	HoldsRange(r int) bool
}

// lease.Duty implements Leases. It must have as many ranges as the idempotency
// keys; otherwise the array type does not compile.
var (
	_ Leases                                 = (*lease.Duty)(nil)
	_ [lease.Ranges - idempotency.Ranges]int = [0]int{}
)

// Options configures a Caller.
type Options struct {
	// Daemon is the name of this daemon. It is stored in its claims.
	Daemon        string
	Configuration Configuration
	Directory     membership.Directory
	Client        service.Client
	Store         table.Store
	// Committer commits claims and outcomes in groups. If it is nil, the Caller
	// creates and closes its own over Store. One that is given here is shared with
	// deferred work and closed by its owner.
	Committer *idempotency.Committer
	// Leases may be nil; the Caller then settles no claims.
	Leases Leases
	// Budget may be nil; retries are then limited only by maxRepeatableAttempts
	// and the deadline.
	Budget RetryBudget
	// Quarantine may be nil; calls that crash servers are then not refused.
	Quarantine *quarantine.Manager
	Clock      clock.Clock
	Decisions  *decision.Recorder
	Reporter   *invariant.Reporter
	// Registerer may be nil; metrics are then not exported.
	Registerer prometheus.Registerer
	// Random is the source for the choice of servers and for back-off jitter. If
	// it is nil, a generator with a random seed is used.
	Random *rand.Rand
	// NewAttemptID returns unique attempt IDs. If it is nil, UUIDs are used.
	NewAttemptID func() string

	// SettleInterval is the time between polls of all ranges for open claims.
	SettleInterval time.Duration
	// SettleMargin is the time after a call's deadline and timeout at which its
	// claim, if still open, may be settled by another daemon.
	SettleMargin time.Duration
	// LookupRetryPeriod is how long settlement repeats look-ups at a service that
	// does not answer.
	LookupRetryPeriod time.Duration
	DrainTimeout      time.Duration
	StoreTimeout      time.Duration
	LookupTimeout     time.Duration
	RetryAfter        time.Duration
	// Retention is how long a stored outcome is replayed for its key. After that
	// the key may be used for a new call.
	Retention time.Duration
	// ProbeInterval is the time between the claims that are tried while the table
	// is down.
	ProbeInterval time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.NewAttemptID == nil {
		o.NewAttemptID = uuid.NewString
	}
	setDefault(&o.SettleInterval, defaultSettleInterval)
	setDefault(&o.SettleMargin, defaultSettleMargin)
	setDefault(&o.DrainTimeout, defaultDrainTimeout)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.LookupTimeout, defaultLookupTimeout)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
