// Package oncecall runs calls to plain services: repeatable calls with retries
// on other servers, and once-only calls that are claimed in the table before
// their single dispatch. It also settles the claims of daemons that have died,
// for the ranges whose leases this daemon holds.
package oncecall

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
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
	// defaultSettleMargin covers the time that the owner of a claim needs after
	// its call's timeout for look-ups and for storing the outcome.
	defaultSettleMargin = 5 * time.Second
	defaultDrainTimeout = 30 * time.Second
	defaultStoreTimeout = 2 * time.Second
	defaultLookupWait   = 2 * time.Second
	defaultRetryAfter   = 2 * time.Second
	// defaultRetention is how long an outcome answers for its key.
	defaultRetention = 24 * time.Hour
	// defaultProbeInterval is how often a claim is tried while the table is
	// down; the others are refused at once.
	defaultProbeInterval = 250 * time.Millisecond
	// maxRepeatableAttempts bounds the attempts of a repeatable call besides
	// the retry budget and the deadline.
	maxRepeatableAttempts = 4
	firstBackoff          = 20 * time.Millisecond
	maxBackoff            = time.Second
)

// Configuration finds the declaration of a call in the configuration in force.
type Configuration interface {
	// Call returns the call and the pools of its service; ok is false when
	// there is no such call.
	Call(service, call string) (declared config.Call, pools []string, ok bool)
}

// RetryBudget bounds the retries of repeatable calls to a share of recent
// successes.
type RetryBudget interface {
	// Retry takes one retry from the budget or reports false.
	Retry(now time.Time, account, pool string) bool
	// Success credits a call that succeeded.
	Success(now time.Time, account, pool string)
}

// Leases tells which ranges of once-only keys this daemon settles.
type Leases interface {
	// HoldsRange reports whether the lease of a range is held at this moment.
	HoldsRange(r int) bool
}

// The ranges of a lease.Manager's duty are those of the keys.
var (
	_ Leases                                 = (*lease.Duty)(nil)
	_ [lease.Ranges - idempotency.Ranges]int = [0]int{}
)

// Options configures a Caller.
type Options struct {
	// Daemon is the name of this daemon, written into its claims.
	Daemon        string
	Configuration Configuration
	Directory     membership.Directory
	Client        service.Client
	Store         table.Store
	// Committer groups claims and outcomes; nil makes an own one over Store. A
	// given one is shared with deferred work and closed by its owner.
	Committer *idempotency.Committer
	// Leases may be nil: then nothing is settled.
	Leases Leases
	// Budget may be nil: then only the attempts' number bounds retries.
	Budget    RetryBudget
	Clock     clock.Clock
	Decisions *decision.Recorder
	Reporter  *invariant.Reporter
	// Registerer may be nil: then metrics are counted and not exported.
	Registerer prometheus.Registerer
	// Random chooses servers and back-off; nil takes a random seed.
	Random *rand.Rand
	// NewAttemptID makes unique attempt IDs; nil means UUIDs.
	NewAttemptID func() string

	SettleInterval    time.Duration
	SettleMargin      time.Duration
	LookupRetryPeriod time.Duration
	DrainTimeout      time.Duration
	StoreTimeout      time.Duration
	LookupTimeout     time.Duration
	RetryAfter        time.Duration
	// Retention is how long an outcome answers for its key; after it the key
	// may be used anew.
	Retention time.Duration
	// ProbeInterval is how often a claim is tried while the table is down.
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
	setDefault(&o.LookupTimeout, defaultLookupWait)
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
