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
	defaultRetention       = time.Minute
	defaultTimeout         = time.Minute
	defaultCancelTimeout   = 2 * time.Second
	defaultHandOverTime    = time.Second
	defaultFetchWait       = 2 * time.Second
	defaultKVBytesPerToken = 128 << 10
	// defaultTransferBytesPerSecond is 1 GB/s, about the rate of a shared 10
	// Gbit/s link.
	defaultTransferBytesPerSecond = 1e9
	defaultTransferSetup          = 20 * time.Millisecond
)

// Route describes where and with what priority the requests of a model run.
type Route struct {
	Name     string
	Pools    []string
	Priority int
	// Timeout applies to requests without a deadline.
	Timeout time.Duration
}

// PickRequest describes an attempt for which the Router chooses an engine.
type PickRequest struct {
	RequestID     string
	ClientAccount string
	Model         string
	Route         string
	Pools         []string
	Messages      []api.Message
	// ContextTokens is the number of prompt tokens plus the tokens to resume
	// from.
	ContextTokens   int
	RemainingTokens int
	Exclude         []string
	// Isolated requires a BackendServer with as little other work as possible,
	// because the request may crash it.
	Isolated bool
	Priority int
	Deadline time.Time
}

// Usage is the token usage of a finished attempt.
type Usage struct {
	PromptTokens    int
	CachedTokens    int
	GeneratedTokens int
}

// Router chooses engines. For each attempt, Started is called once, and then
// either Finished or Failed once. An error of Pick means that no engine is
// available.
type Router interface {
	Pick(now time.Time, req *PickRequest) (membership.BackendServer, error)
	Started(attemptID string, backend membership.BackendServer, req *PickRequest, now time.Time)
	FirstToken(attemptID string, now time.Time)
	Finished(attemptID string, usage Usage, now time.Time)
	Failed(attemptID string, err error, now time.Time)
}

// PrefixEstimator is implemented by a Router that tracks the prefix caches of
// engines. CachedTokens returns how many leading tokens of a request are
// expected in the cache of the best engine that is not excluded.
type PrefixEstimator interface {
	CachedTokens(req *PickRequest) int
}

// Directory receives reports of engines that refuse work because they are
// shutting down.
type Directory interface {
	ReportLeaving(name string, incarnation uint64)
}

// RetryBudget limits the retries for an account and a pool.
type RetryBudget interface {
	// Withdraw charges one retry to the budget and reports whether it is
	// allowed.
	Withdraw(account, pool string) bool
	// Deposit records a successful attempt.
	Deposit(account, pool string)
}

// Verdict is the decision of the quarantine about a request.
type Verdict struct {
	// Isolate requires an isolated next attempt (see PickRequest.Isolated).
	Isolate     bool
	Quarantined bool
}

// QuarantineAttempt is an attempt that the quarantine watches.
type QuarantineAttempt struct {
	ID          string
	RequestID   string
	Fingerprint string
	Backend     membership.BackendServer
}

// Quarantine tracks requests that crash engines.
type Quarantine interface {
	// Check returns whether and how a request may run. It may wait until a decision
	// has been made.
	Check(ctx context.Context, fingerprint string) Verdict
	// Started records the start of an attempt. It is followed by one call of
	// Resolved (the attempt did not run, or its engine was shut down as announced),
	// Completed, Abandoned or Broken.
	Started(attempt QuarantineAttempt)
	Resolved(attemptID string)
	Completed(attemptID, fingerprint string)
	// Abandoned records that the caller left after position tokens of the answer.
	Abandoned(attemptID string, position int)
	// Broken handles an attempt that broke off, or whose engine was silent, after
	// position tokens of the answer. It reports whether the engine has crashed.
	Broken(ctx context.Context, attemptID string, position int) bool
}

// AdmissionRequest describes a request that applies for admission.
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

// Admission controls which requests may run. Acquire waits until the request
// may run. Its error is an *api.Problem or the error of ctx. Release must be
// called once.
type Admission interface {
	Acquire(ctx context.Context, req *AdmissionRequest) (release func(), err error)
}

// Peer sends requests to the other daemons.
type Peer interface {
	// HandOver hands a stream over to a peer, in another AvailabilityZone if
	// possible, and returns the name of the peer.
	HandOver(ctx context.Context, state State) (string, error)
	// Fetch requests the events of a stream from the peers. Found is false if
	// no peer has the stream.
	Fetch(ctx context.Context, req FetchRequest) (FetchAnswer, error)
}

// FetchRequest requests the events of a stream from an offset on.
type FetchRequest struct {
	ClientAccount string `cbor:"client_account"`
	RequestID     string `cbor:"request_id"`
	From          int    `cbor:"from"`
}

// FetchAnswer holds events of a stream. Ended is set with the last ones.
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
	// Route looks up the route of a model's immediate or deferred requests in
	// the configuration in force.
	Route       func(model string, deferred bool) (Route, bool)
	Directory   Directory
	RetryBudget RetryBudget
	Quarantine  Quarantine
	Admission   Admission
	Peer        Peer
	Clock       clock.WithTicker
	Recorder    *decision.Recorder
	Invariants  *invariant.Reporter
	Registerer  prometheus.Registerer
	// Retention is how long the events of an ended stream stay available.
	Retention     time.Duration
	CancelTimeout time.Duration
	// HandOverTime is the timeout of one hand-over, and the time that a drain
	// reserves for handing over the remaining streams.
	HandOverTime time.Duration
	// FetchWait is how long Fetch waits for new events.
	FetchWait time.Duration
	Costs     ReclaimCosts
	// Machine holds the options that all machines share.
	Machine MachineOptions
	// Seed initializes the random numbers of the back-off jitter.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.CancelTimeout, defaultCancelTimeout)
	setDefault(&o.HandOverTime, defaultHandOverTime)
	setDefault(&o.FetchWait, defaultFetchWait)
	setDefault(&o.Costs.KVBytesPerToken, int64(defaultKVBytesPerToken))
	setDefault(&o.Costs.TransferBytesPerSecond, defaultTransferBytesPerSecond)
	setDefault(&o.Costs.TransferSetup, defaultTransferSetup)
	setDefault(&o.Costs.Margin, defaultReclaimMargin)
	setDefault(&o.Machine.ReclaimMargin, o.Costs.Margin)
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Directory == nil {
		o.Directory = noop{}
	}
	if o.RetryBudget == nil {
		o.RetryBudget = noop{}
	}
	if o.Quarantine == nil {
		o.Quarantine = noop{}
	}
	if o.Admission == nil {
		o.Admission = noop{}
	}
	return o
}

// noop implements Directory, RetryBudget, Quarantine and Admission without
// limits. It is used for those that are not configured.
type noop struct{}

func (noop) ReportLeaving(string, uint64)             {}
func (noop) Withdraw(string, string) bool             { return true }
func (noop) Deposit(string, string)                   {}
func (noop) Check(context.Context, string) Verdict    { return Verdict{} }
func (noop) Started(QuarantineAttempt)                {}
func (noop) Resolved(string)                          {}
func (noop) Completed(string, string)                 {}
func (noop) Abandoned(string, int)                    {}
func (noop) Broken(context.Context, string, int) bool { return false }
func (noop) Acquire(context.Context, *AdmissionRequest) (func(), error) {
	return func() {}, nil
}
