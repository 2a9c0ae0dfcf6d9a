package streaming

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// DeferredPriorityOffset is added to the priority of deferred requests, so that
// they run after all other requests. Lower numbers run first.
const DeferredPriorityOffset = 1000

// streamKey identifies a stream: request IDs are unique within an account.
type streamKey struct{ account, requestID string }

// expiry is the time at which an ended stream is removed.
type expiry struct {
	key       streamKey
	s         *stream
	expiresAt time.Time
}

// Driver runs the streams of one daemon. It is safe for concurrent use.
type Driver struct {
	opts    Options
	metrics *metrics
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu       sync.Mutex
	streams  map[streamKey]*stream
	expiries []expiry
	notices  map[string]time.Time
	random   *rand.Rand
	draining bool
	closed   bool
}

// NewDriver returns a running Driver. Close stops it.
func NewDriver(opts Options) *Driver {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Driver{
		opts: opts, metrics: newMetrics(opts.Registerer), ctx: ctx, stop: stop,
		streams: make(map[streamKey]*stream), notices: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(opts.Seed, 0)),
	}
}

// Fingerprint returns the hash of account, model and messages by which the
// quarantine identifies a request.
func Fingerprint(account, model string, messages []api.Message) string {
	h := sha256.New()
	write := func(s string) { _, _ = h.Write(append([]byte(s), 0)) }
	write(account)
	write(model)
	for _, m := range messages {
		write(m.Role)
		write(m.Content)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Chat runs a request and sends the answer to sink. It returns nil if the whole
// answer was sent, and otherwise an *api.Problem, a *CallerGoneError or a
// *HandedOverError.
func (d *Driver) Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error {
	return d.Resume(ctx, req, nil, sink)
}

// Resume is like Chat for a request whose first tokens are already known. The
// answer continues after them, and sink receives only the new tokens.
func (d *Driver) Resume(ctx context.Context, req *api.ChatRequest, tokens []string, sink api.EventSink) error {
	route, ok := d.opts.Route(req.Model, req.Deferred)
	if !ok {
		return api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "model "+req.Model+" has no route")
	}
	if req.Deferred {
		route.Priority += DeferredPriorityOffset
	}
	state := State{Request: *req, Priority: route.Priority, Tokens: tokens, MayHaveRun: len(tokens) > 0}
	if state.Request.Deadline.IsZero() {
		setDefault(&route.Timeout, defaultTimeout)
		state.Request.Deadline = d.opts.Clock.Now().Add(route.Timeout)
	}
	verdict := d.opts.Quarantine.Check(ctx, Fingerprint(req.ClientAccount, req.Model, req.Messages))
	if verdict.Quarantined {
		return api.NewNotRunProblem(api.ProblemQuarantined, http.StatusUnprocessableEntity, "the request crashed backend servers and is in quarantine")
	}
	state.Isolated = verdict.Isolate
	if d.Draining() {
		return drainingProblem()
	}
	release, err := d.opts.Admission.Acquire(ctx, admissionRequest(&state, route))
	if err != nil {
		return admissionError(ctx, req.ID, err)
	}
	defer release()
	s, err := d.start(state, route, sink)
	if err != nil {
		return err
	}
	return d.follow(ctx, s, len(tokens), sink)
}

func drainingProblem() *api.Problem {
	return api.NewNotRunProblem(api.ProblemDraining, http.StatusServiceUnavailable, "the daemon is draining").WithRetryAfter(0)
}

func admissionRequest(state *State, route Route) *AdmissionRequest {
	req := &state.Request
	return &AdmissionRequest{
		RequestID: req.ID, ClientAccount: req.ClientAccount, Model: req.Model,
		Route: route.Name, Pools: route.Pools, Priority: route.Priority, Deadline: req.Deadline,
		PromptTokens: len(engine.PromptTokens(req.Messages)), MaxTokens: req.MaxTokens, Deferred: req.Deferred,
	}
}

func admissionError(ctx context.Context, requestID string, err error) error {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if ctx.Err() != nil {
		return &CallerGoneError{RequestID: requestID, Cause: context.Cause(ctx)}
	}
	return api.NewNotRunProblem(api.ProblemOverloaded, http.StatusServiceUnavailable, err.Error())
}

// start registers a stream and starts its goroutine. It replaces an earlier
// stream with the same key only if that stream is replaceable or superseded.
func (d *Driver) start(state State, route Route, sink api.EventSink) (*stream, error) {
	s := d.newStream(state, route, sink)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || d.closed {
		return nil, drainingProblem()
	}
	d.expire()
	previous := d.streams[s.key]
	if previous != nil && s.fromPeer && previous.supersededBy(&state) {
		d.tasks.Go(func() { previous.post(CallerGone{}) })
	} else if previous != nil && !previous.replaceable() {
		return nil, &api.Problem{
			Name: api.ProblemKeyInUse, Status: http.StatusConflict, Outcome: api.OutcomeUnknown,
			Detail: (&DuplicateRequestError{RequestID: state.Request.ID}).Error(),
		}
	}
	d.streams[s.key] = s
	d.metrics.active.Inc()
	d.tasks.Go(s.run)
	return s, nil
}

func (d *Driver) newStream(state State, route Route, sink api.EventSink) *stream {
	options := d.opts.Machine
	options.State = state
	options.Nonce = uuid.NewString()[:8]
	options.Invariants = d.opts.Invariants
	d.mu.Lock()
	options.Random = rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
	d.mu.Unlock()
	reattaches, _ := sink.(Reattacher)
	return &stream{
		d: d, key: streamKey{state.Request.ClientAccount, state.Request.ID},
		request: &state.Request, route: route, machine: NewMachine(options),
		promptTokens:  len(engine.PromptTokens(state.Request.Messages)),
		reattaches:    sink == nil || reattaches != nil && reattaches.CanReattach(),
		fromPeer:      sink == nil,
		initialTokens: len(state.Tokens),
		inbox:         make(chan Event), done: make(chan struct{}),
		log: newEventLog(state.Tokens), attempts: make(map[string]*runningAttempt),
	}
}

// Reattacher is implemented by sinks whose caller can re-attach after its
// connection was closed. The streams of other callers are handed over only at
// the end of a drain.
type Reattacher interface{ CanReattach() bool }

// onStreamEnded schedules the removal of an ended stream. Its events remain
// available for Options.Retention.
func (d *Driver) onStreamEnded(s *stream) {
	d.metrics.active.Dec()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expiries = append(d.expiries, expiry{key: s.key, s: s, expiresAt: d.opts.Clock.Now().Add(d.opts.Retention)})
	d.expire()
}

// expire removes the streams whose retention has passed. The caller must hold
// d.mu.
func (d *Driver) expire() {
	now := d.opts.Clock.Now()
	n := 0
	for ; n < len(d.expiries) && !now.Before(d.expiries[n].expiresAt); n++ {
		e := d.expiries[n]
		if d.streams[e.key] == e.s {
			delete(d.streams, e.key)
		}
	}
	d.expiries = append(d.expiries[:0], d.expiries[n:]...)
}

// Draining reports whether the driver rejects new streams.
func (d *Driver) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// active returns the streams in progress.
func (d *Driver) active() []*stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var active []*stream
	for _, s := range d.streams {
		if !s.isDone() {
			active = append(active, s)
		}
	}
	return active
}

// Active returns the number of streams in progress.
func (d *Driver) Active() int { return len(d.active()) }

// Close ends the streams in progress and waits for all goroutines. In a planned
// stop, call Drain first.
func (d *Driver) Close() error {
	d.mu.Lock()
	d.draining, d.closed = true, true
	d.mu.Unlock()
	for _, s := range d.active() {
		s.post(DaemonStopped{})
	}
	d.stop()
	d.tasks.Wait()
	return nil
}
