package streaming

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// Defaults of Options.
const (
	defaultRetention     = time.Minute
	defaultTimeout       = time.Minute
	defaultCancelTimeout = 2 * time.Second
	defaultProbeTimeout  = 300 * time.Millisecond
	defaultHandOverTime  = time.Second
	defaultFetchWait     = 2 * time.Second
	defaultKVBytes       = 128 << 10
	// defaultTransferRate is 1 GB/s, the order of a shared 10 Gbit/s link.
	defaultTransferRate  = 1e9
	defaultTransferSetup = 20 * time.Millisecond
)

// Route is where the requests of a model go.
type Route struct {
	Name     string
	Pools    []string
	Priority int
	// Timeout applies to requests without a deadline.
	Timeout time.Duration
}

// PickRequest describes an attempt to routing.
type PickRequest struct {
	RequestID     string
	ClientAccount string
	Model         string
	Route         string
	Pools         []string
	Messages      []api.Message
	// ContextTokens is the prompt plus the tokens to resume from.
	ContextTokens   int
	RemainingTokens int
	Exclude         []string
	// Isolated asks for a BackendServer with the least to lose.
	Isolated bool
	Priority int
	Deadline time.Time
}

// Usage is what an engine reports at the end of an attempt.
type Usage struct {
	PromptTokens    int
	CachedTokens    int
	GeneratedTokens int
}

// Router chooses engines. Each attempt is Started once and then either
// Finished or Failed once. An error of Pick means that no engine is available.
type Router interface {
	Pick(now time.Time, req *PickRequest) (membership.BackendServer, error)
	Started(attemptID string, backend membership.BackendServer, req *PickRequest, now time.Time)
	FirstToken(attemptID string, now time.Time)
	Finished(attemptID string, usage Usage, now time.Time)
	Failed(attemptID string, err error, now time.Time)
}

// PrefixEstimator is implemented by a Router that knows what engines have
// cached. CachedTokens returns how many leading tokens of a request the best
// engine that is not excluded is expected to hold.
type PrefixEstimator interface {
	CachedTokens(req *PickRequest) int
}

// Directory learns of engines that refuse work because they are leaving.
type Directory interface {
	ReportLeaving(name string, incarnation uint64)
}

// RetryBudget bounds the retries of an account and a pool.
type RetryBudget interface {
	// Withdraw pays for one retry, or refuses it.
	Withdraw(account, pool string) bool
	// Deposit records a success.
	Deposit(account, pool string)
}

// Verdict is what the quarantine says about a request.
type Verdict struct {
	// Isolate asks for the next attempt to run alone.
	Isolate     bool
	Quarantined bool
}

// CrashReport describes an engine that ended while it ran a request.
type CrashReport struct {
	Fingerprint   string
	ClientAccount string
	RequestID     string
	Backend       membership.BackendServer
	// TokensReceived is how far the attempt had come.
	TokensReceived int
}

// Quarantine knows the requests that crash engines.
type Quarantine interface {
	Check(fingerprint string) Verdict
	ReportCrash(ctx context.Context, report CrashReport) Verdict
	ReportSuccess(fingerprint string)
}

// AdmissionRequest describes a request that wants to run.
type AdmissionRequest struct {
	RequestID     string
	ClientAccount string
	Model         string
	Route         string
	Pools         []string
	Priority      int
	Deadline      time.Time
	PromptTokens  int
	MaxTokens     int
	Deferred      bool
}

// Admission lets requests in. Acquire waits until the request may run; its
// error is an *api.Problem, or the error of ctx. Release is called once.
type Admission interface {
	Acquire(ctx context.Context, req *AdmissionRequest) (release func(), err error)
}

// Peer reaches the other daemons.
type Peer interface {
	// HandOver gives a stream to a peer, in another AvailabilityZone if
	// possible, and returns its name.
	HandOver(ctx context.Context, state State) (string, error)
	// Fetch asks the peers for the events of a stream. Found is false when no
	// peer knows it.
	Fetch(ctx context.Context, req FetchRequest) (FetchAnswer, error)
}

// FetchRequest asks for the events of a stream from an offset.
type FetchRequest struct {
	ClientAccount string `cbor:"client_account"`
	RequestID     string `cbor:"request_id"`
	From          int    `cbor:"from"`
}

// FetchAnswer are events of a stream. Ended is set with the last of them.
type FetchAnswer struct {
	Found        bool         `cbor:"found"`
	Tokens       []string     `cbor:"tokens"`
	Ended        bool         `cbor:"ended"`
	FinishReason string       `cbor:"finish_reason"`
	Problem      *api.Problem `cbor:"problem"`
}

// Options configure a Driver. Client, Router and Route are required.
type Options struct {
	Client engine.Client
	Router Router
	// Route looks up the route of a model's requests, which may wait or not, in
	// the configuration in force.
	Route       func(model string, deferred bool) (Route, bool)
	Directory   Directory
	RetryBudget RetryBudget
	Quarantine  Quarantine
	Admission   Admission
	Peer        Peer
	// Probe asks an engine on a new connection whether it answers.
	Probe      func(ctx context.Context, address string) error
	Clock      clock.WithTicker
	Recorder   *decision.Recorder
	Invariants *invariant.Reporter
	Registerer prometheus.Registerer
	// Retention is how long the events of an ended stream are kept.
	Retention     time.Duration
	CancelTimeout time.Duration
	ProbeTimeout  time.Duration
	// HandOverTime is what a drain reserves for handing over the rest.
	HandOverTime time.Duration
	// FetchWait is how long Fetch waits for new events.
	FetchWait time.Duration
	Costs     ReclaimCosts
	// Machine is the template of the streams' machines.
	Machine MachineOptions
	// Seed seeds the back-off jitter.
	Seed uint64
}

type prober interface {
	Probe(ctx context.Context, address string) error
}

func (o Options) withDefaults() Options {
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.CancelTimeout, defaultCancelTimeout)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.HandOverTime, defaultHandOverTime)
	setDefault(&o.FetchWait, defaultFetchWait)
	setDefault(&o.Costs.KVBytesPerToken, int64(defaultKVBytes))
	setDefault(&o.Costs.TransferBytesPerSecond, defaultTransferRate)
	setDefault(&o.Costs.TransferSetup, defaultTransferSetup)
	setDefault(&o.Costs.Margin, defaultReclaimMargin)
	setDefault(&o.Machine.ReclaimMargin, o.Costs.Margin)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Directory == nil {
		o.Directory = unlimited{}
	}
	if o.RetryBudget == nil {
		o.RetryBudget = unlimited{}
	}
	if o.Quarantine == nil {
		o.Quarantine = unlimited{}
	}
	if o.Admission == nil {
		o.Admission = unlimited{}
	}
	if o.Probe == nil {
		o.Probe = probeWith(o.Client)
	}
	return o
}

func probeWith(client engine.Client) func(context.Context, string) error {
	if p, ok := client.(prober); ok {
		return p.Probe
	}
	return func(ctx context.Context, address string) error {
		_, err := client.Load(ctx, address)
		return err
	}
}

// unlimited stands in for the duties that are not configured.
type unlimited struct{}

func (unlimited) ReportLeaving(string, uint64)                     {}
func (unlimited) Withdraw(string, string) bool                     { return true }
func (unlimited) Deposit(string, string)                           {}
func (unlimited) Check(string) Verdict                             { return Verdict{} }
func (unlimited) ReportCrash(context.Context, CrashReport) Verdict { return Verdict{} }
func (unlimited) ReportSuccess(string)                             {}
func (unlimited) Acquire(context.Context, *AdmissionRequest) (func(), error) {
	return func() {}, nil
}
