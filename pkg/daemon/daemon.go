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
	"github.com/monsooncrank/monsooncrank/pkg/oncecall"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
	"github.com/monsooncrank/monsooncrank/pkg/peer"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

const (
	// rangeDuty names the leases under which once-only claims are settled and
	// deferred requests run. One set serves both, which halves the renewals.
	rangeDuty = "range"
	// keptDecisions bounds the history that explains requests.
	keptDecisions = 20000
)

// Options are what a Daemon needs.
type Options struct {
	Settings *Settings
	Clock    clock.WithTicker
	// Seed seeds every random source of the daemon.
	Seed uint64
	// DeferredSaveInterval is the time between two saved partial answers of a
	// deferred request; 0 means the measured default.
	DeferredSaveInterval time.Duration
}

// Daemon is one entry host's process.
type Daemon struct {
	settings    *Settings
	clock       clock.WithTicker
	incarnation uint64
	// deferredSave is Options.DeferredSaveInterval.
	deferredSave time.Duration

	registry   *prometheus.Registry
	recorder   *decision.Recorder
	invariants *invariant.Reporter
	platform   *platformClients

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
	quarantine *quarantineDuty
	streams    *streaming.Driver
	deferred   *deferred.Driver
	calls      *oncecall.Caller
	reconciler *reconciler
	notices    *noticeDuty
	capacity   *capacityDuty

	callers   *gateway.Server
	operators *operatorapi.Server
	startedAt time.Time
	listeners struct{ callers, operators net.Listener }
	served    chan error
	// built is closed when all parts exist.
	built chan struct{}
	// closing is closed when the daemon begins to close.
	closing   chan struct{}
	closeOnce sync.Once
	// drainAsked is closed when an operator has asked for a drain.
	drainAsked chan struct{}
	drainOnce  sync.Once
	draining   atomic.Bool
}

// New builds a Daemon and opens its listeners; Run starts it.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:     options.Settings,
		clock:        options.Clock,
		deferredSave: options.DeferredSaveInterval,
		registry:     prometheus.NewRegistry(),
		recorder:     decision.NewRecorder(keptDecisions),
		served:       make(chan error, 2),
		built:        make(chan struct{}),
		closing:      make(chan struct{}),
		drainAsked:   make(chan struct{}),
	}
	// A later start has a higher incarnation, whatever Host it runs on.
	d.startedAt = d.clock.Now()
	d.incarnation = uint64(d.startedAt.UnixMilli())
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	for _, step := range []func(func(uint64) *rand.Rand) error{
		d.buildBase, d.buildMembership, d.buildConfiguration, d.buildDuties, d.buildListeners,
	} {
		if err := step(random); err != nil {
			d.Close()
			return nil, errors.Trace(err)
		}
	}
	close(d.built)
	return d, nil
}

func (d *Daemon) buildBase(func(uint64) *rand.Rand) error {
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
