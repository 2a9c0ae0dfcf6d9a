// Package streaming delivers model answers as token streams. The caller
// receives one sequence without gaps or repeats, whatever failures occur at the
// engines that generate it.
//
// Machine is the state machine of one stream. PlanReclaim decides what to do
// with the streams of an engine that is about to be shut down. Neither of them
// does I/O; Driver runs them.
package streaming

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Defaults of MachineOptions.
const (
	defaultBackoffBase         = 20 * time.Millisecond
	defaultBackoffLimit        = time.Second
	defaultNoBackendTimeout    = 5 * time.Second
	defaultReclaimMargin       = 300 * time.Millisecond
	defaultNoBackendRetryAfter = 2 * time.Second
	// maxExcluded limits the number of BackendServers that a new attempt
	// avoids.
	maxExcluded = 4
)

// MachineOptions configure a Machine.
type MachineOptions struct {
	State State
	// Nonce distinguishes the attempt IDs of this daemon from those of other
	// daemons that ran the same request.
	Nonce string
	// BackoffBase and BackoffLimit are the initial and the largest upper bound
	// of the back-off, which uses full jitter.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// NoBackendTimeout is how long a request that has not run yet waits for an
	// available BackendServer.
	NoBackendTimeout time.Duration
	// ReclaimMargin is how long before the deadline of a reclaim the streams
	// must have left the BackendServer.
	ReclaimMargin time.Duration
	Random        *rand.Rand
	Invariants    *invariant.Reporter
}

type phase int

const (
	// phaseWaiting means that no attempt is running. The next one is dispatched
	// at dispatchAt.
	phaseWaiting phase = iota
	phaseRunning
	phaseMigrating
	phaseEnded
)

type attempt struct {
	id      string
	backend string
	// delivered is set once a token of this attempt was delivered.
	delivered     bool
	newConnection bool
}

type reclaim struct {
	deadline time.Time
	choice   ReclaimChoice
	startAt  time.Time
}

// Machine is the state machine of one stream. It converts events to actions and
// is not safe for concurrent use.
type Machine struct {
	opts        MachineOptions
	phase       phase
	tokens      []string
	current     attempt
	attempts    int
	failures    int
	startedAt   time.Time
	dispatchAt  time.Time
	pending     Dispatch
	reclaim     *reclaim
	excluded    []string
	isolated    bool
	mayHaveRun  bool
	handingOver bool
	heldTokens  []Token
	// endCount counts the End actions. More than one violates an invariant.
	endCount int
	actions  []Action
	err      error
}

// NewMachine returns the state machine of one stream.
func NewMachine(opts MachineOptions) *Machine {
	setDefault(&opts.BackoffBase, defaultBackoffBase)
	setDefault(&opts.BackoffLimit, defaultBackoffLimit)
	setDefault(&opts.NoBackendTimeout, defaultNoBackendTimeout)
	setDefault(&opts.ReclaimMargin, defaultReclaimMargin)
	if opts.Random == nil {
		opts.Random = rand.New(rand.NewPCG(0, 0))
	}
	return &Machine{
		opts: opts, tokens: slices.Clone(opts.State.Tokens),
		mayHaveRun: opts.State.MayHaveRun, isolated: opts.State.Isolated,
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Tokens returns the tokens delivered so far. The caller must not modify them.
func (m *Machine) Tokens() []string { return m.tokens }

// Backend returns the BackendServer of the current attempt, or "".
func (m *Machine) Backend() string {
	if m.phase == phaseRunning || m.phase == phaseMigrating {
		return m.current.backend
	}
	return ""
}

// Ended reports whether the machine has emitted its End action.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Step handles one event and returns the resulting actions. It also returns a
// ViolationError if an invariant does not hold.
func (m *Machine) Step(now time.Time, ev Event) ([]Action, error) {
	m.actions, m.err = nil, nil
	if m.phase == phaseEnded {
		m.handleAfterEnd(ev)
		return m.actions, m.err
	}
	m.handle(now, ev)
	if m.phase != phaseEnded {
		m.handleTimers(now)
	}
	return m.actions, m.err
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Begin:
		m.startedAt = now
		m.schedule(now, Dispatch{Reason: "first attempt"})
	case Dispatched:
		m.onDispatched(e)
	case NoBackendAvailable:
		m.onNoBackendAvailable(now, e)
	case RetryDenied:
		m.onRetryDenied(now, e)
	case Token:
		m.onToken(now, e)
	case Failed:
		m.onFailed(now, e)
	case ReclaimPlanned:
		m.onReclaimPlanned(e)
	case Migrated:
		m.onMigrated(now, e)
	case MigrationFailed:
		m.onMigrationFailed(now, e)
	case CallerGone:
		m.cancelAttempt()
		m.end(End{Kind: EndCallerGone})
	case DaemonStopped:
		m.cancelAttempt()
		m.fail(api.ProblemDraining, http.StatusServiceUnavailable, "the daemon stopped before the answer was complete", 0)
	case HandOverRequested:
		m.onHandOverRequested()
	case HandOverDone:
		m.onHandOverDone(e)
	case HandOverFailed:
		m.onHandOverFailed(now)
	case Tick:
	}
}

// handleAfterEnd handles an event that arrives after the end of the stream.
func (m *Machine) handleAfterEnd(ev Event) {
	switch e := ev.(type) {
	case Token:
		m.emit(Drop{Reason: DropLate})
	case Dispatched:
		m.emit(Cancel(e))
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) checkInvariant(ok bool, id invariant.ID, format string, args ...any) bool {
	if err := m.opts.Invariants.Check(ok, id, format, args...); err != nil {
		m.err = err
	}
	return ok
}

// NextWake returns when the machine needs a Tick. The zero time means never.
func (m *Machine) NextWake() time.Time {
	if m.phase == phaseEnded {
		return time.Time{}
	}
	wake := m.opts.State.Request.Deadline
	if m.phase == phaseWaiting && !m.dispatchAt.IsZero() {
		wake = earliest(wake, m.dispatchAt)
	}
	if m.reclaim != nil {
		wake = earliest(wake, m.nextReclaimTime())
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// handleTimers runs the actions that are due: the deadline, the reclaim and the
// next dispatch.
func (m *Machine) handleTimers(now time.Time) {
	deadline := m.opts.State.Request.Deadline
	if !deadline.IsZero() && !now.Before(deadline) {
		m.cancelAttempt()
		m.fail(api.ProblemDeadlineExceeded, http.StatusGatewayTimeout, "the answer was not complete at the deadline", 0)
		return
	}
	if m.handingOver {
		return
	}
	m.handleReclaimTimer(now)
	if m.phase == phaseWaiting && !m.dispatchAt.IsZero() && !now.Before(m.dispatchAt) {
		m.dispatch()
	}
}

// schedule sets the next attempt and its dispatch time. An attempt that is
// already due is dispatched at the end of the step.
func (m *Machine) schedule(at time.Time, d Dispatch) {
	m.phase, m.current, m.reclaim = phaseWaiting, attempt{}, nil
	m.dispatchAt, m.pending = at, d
}

func (m *Machine) dispatch() {
	m.attempts++
	d := m.pending
	d.AttemptID = fmt.Sprintf("%s.%s-%d", m.opts.State.Request.ID, m.opts.Nonce, m.attempts)
	d.Resume = m.tokens[:len(m.tokens):len(m.tokens)]
	d.Isolated = m.isolated
	if d.Backend == "" {
		d.Exclude = slices.Clone(m.excluded)
	}
	m.dispatchAt = time.Time{}
	m.phase, m.current = phaseRunning, attempt{id: d.AttemptID, backend: d.Backend, newConnection: d.NewConnection}
	m.emit(d)
}

func (m *Machine) onDispatched(e Dispatched) {
	if e.AttemptID != m.current.id {
		m.emit(Cancel(e))
		return
	}
	m.current.backend = e.Backend
}

func (m *Machine) onNoBackendAvailable(now time.Time, e NoBackendAvailable) {
	if e.AttemptID != m.current.id {
		return
	}
	m.current = attempt{}
	if !m.mayHaveRun && now.Sub(m.startedAt) >= m.opts.NoBackendTimeout {
		m.fail(api.ProblemNoBackendServer, http.StatusServiceUnavailable,
			"no backend server serves the model now", defaultNoBackendRetryAfter)
		return
	}
	// If no other BackendServer is available, those that failed before are
	// tried again.
	m.excluded = nil
	m.failures++
	// Retry stays set: as no BackendServer was chosen, the retry budget has not
	// been charged yet.
	retry := m.pending
	retry.Backend, retry.KVHandle, retry.NewConnection = "", "", false
	m.schedule(now.Add(m.backoff()), retry)
}

func (m *Machine) onRetryDenied(now time.Time, e RetryDenied) {
	if e.AttemptID != m.current.id {
		return
	}
	m.failures++
	m.schedule(now.Add(m.backoff()), m.pending)
}

// backoff returns a delay with full jitter whose upper bound grows with the
// number of consecutive failures. The first retry is not delayed.
func (m *Machine) backoff() time.Duration {
	if m.failures <= 1 {
		return 0
	}
	limit := m.opts.BackoffBase << min(m.failures-2, 16)
	limit = min(limit, m.opts.BackoffLimit)
	return time.Duration(m.opts.Random.Int64N(int64(limit) + 1))
}

// cancelAttempt cancels the current attempt and its migration, if any.
func (m *Machine) cancelAttempt() {
	if m.phase == phaseMigrating {
		m.emit(AbandonMigration{AttemptID: m.current.id})
	}
	if m.current.id != "" && m.current.backend != "" {
		m.mayHaveRun = true
		m.emit(Cancel{AttemptID: m.current.id, Backend: m.current.backend})
	}
	m.current = attempt{}
}

// fail ends the stream with a problem. Its outcome is "not run" only if no
// attempt can have reached a BackendServer.
func (m *Machine) fail(name api.ProblemName, status int, detail string, after time.Duration) {
	outcome := api.OutcomeNotRun
	if m.mayHaveRun {
		outcome = api.OutcomeUnknown
	}
	problem := &api.Problem{Name: name, Status: status, Detail: detail, Outcome: outcome, RetryAfter: after}
	m.checkInvariant(outcome != api.OutcomeNotRun || len(m.tokens) == 0, invariant.NotRunIsAccurate,
		"request %s is reported as not run after %d tokens", m.opts.State.Request.ID, len(m.tokens))
	m.end(End{Kind: EndProblem, Problem: problem})
}

func (m *Machine) end(e End) {
	m.endCount++
	m.checkInvariant(m.endCount == 1, invariant.AnsweredExactlyOnce,
		"request %s ended %d times", m.opts.State.Request.ID, m.endCount)
	m.phase, m.current, m.reclaim, m.handingOver = phaseEnded, attempt{}, nil, false
	m.emit(e)
}
