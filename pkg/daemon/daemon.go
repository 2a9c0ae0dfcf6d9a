package daemon

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/idempotency"
	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/admission"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/deferred"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/gateway"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	// rangeLeasePrefix is the common name prefix of the range leases. The holder
	// of a range settles its once-only claims and runs its deferred requests; one
	// set of leases for both halves the number of renewals.
	rangeLeasePrefix = "range"
	// maxRecordedDecisions is the number of recent decisions kept in memory for
	// explaining how requests were handled.
	maxRecordedDecisions = 20000
)

// Options configure a Daemon.
type Options struct {
	Settings *Settings
	Clock    clock.WithTicker
	// Seed is the seed of all random number generators of the daemon.
	Seed uint64
	// DeferredSaveInterval is the interval at which the partial answer of a
	// deferred request is saved; 0 selects the default.
	DeferredSaveInterval time.Duration
}

// Daemon is a serving process that accepts requests from callers and forwards
// them to BackendServers. Several daemons run in parallel and cooperate.
type Daemon struct {
	settings    *Settings
	clock       clock.WithTicker
	incarnation uint64
	// deferredSaveInterval is Options.DeferredSaveInterval.
	deferredSaveInterval time.Duration

	registry   *prometheus.Registry
	recorder   *decision.Recorder
	invariants *invariant.Reporter
	platform   *platformClients

	// intake bounds what clients make the process hold.
	intake *intake.Budget
	// responses bounds what responses of servers take while they are read.
	responses *intake.Responses

	directory *membership.PoolDirectory
	pool      *peer.Pool
	peers     *peer.Server
	gossip    *peer.Gossip

	follower   *publish.Follower
	publisher  *publish.Publisher
	leases     *lease.Manager
	committer  *idempotency.Committer
	controller *admission.Controller
	balancer   *routing.Balancer
	engines    *engine.HTTPClient
	services   *service.HTTPClient
	quarantine *streamQuarantine
	streams    *streaming.Driver
	deferred   *deferred.Driver
	calls      *oncecall.Caller
	reconciler *reconciler
	notices    *reclaimWatcher
	capacity   *capacityManager

	callers     *gateway.Server
	operators   *operatorapi.Server
	startedAt   time.Time
	listeners   struct{ callers, operators net.Listener }
	serveErrors chan error
	// built is closed when all components have been created.
	built chan struct{}
	// closing is closed when Close begins.
	closing   chan struct{}
	closeOnce sync.Once
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	drainOnce      sync.Once
	draining       atomic.Bool
}

// New creates a Daemon and opens its listeners. Run starts it.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:             options.Settings,
		clock:                options.Clock,
		deferredSaveInterval: options.DeferredSaveInterval,
		registry:             prometheus.NewRegistry(),
		recorder:             decision.NewRecorder(maxRecordedDecisions),
		serveErrors:          make(chan error, 2),
		built:                make(chan struct{}),
		closing:              make(chan struct{}),
		drainRequested:       make(chan struct{}),
	}
	// The start time serves as the incarnation, so a daemon that restarts, even on
	// another Host, has a higher one.
	d.startedAt = d.clock.Now()
	d.incarnation = uint64(d.startedAt.UnixMilli())
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	for _, step := range []func(func(uint64) *rand.Rand) error{
		d.buildMetricsAndPlatform, d.buildIntake, d.buildMembership, d.buildConfiguration, d.buildComponents, d.buildListeners,
	} {
		if err := step(random); err != nil {
			d.Close()
			return nil, errors.Trace(err)
		}
	}
	close(d.built)
	return d, nil
}

func (d *Daemon) buildMetricsAndPlatform(func(uint64) *rand.Rand) error {
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "monsooncrank_invariant_violations_total",
		Help: "Violated invariants of the design page, section 2.",
	}, []string{"invariant"})
	d.invariants = &invariant.Reporter{OnViolation: func(v *invariant.ViolationError) {
		violations.WithLabelValues(string(v.Invariant)).Inc()
		klog.ErrorS(v, "invariant violated", "invariant", v.Invariant, "state", v.State)
	}}
	for _, c := range []prometheus.Collector{violations, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})} {
		if err := d.registry.Register(c); err != nil {
			return errors.Trace(err)
		}
	}
	var err error
	d.platform, err = newPlatformClients(&d.settings.Platform)
	return errors.Trace(err)
}
