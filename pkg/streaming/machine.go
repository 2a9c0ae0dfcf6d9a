// Package streaming delivers streams of model answers. The caller sees one
// sequence without gaps or repeats, whatever happens to the engines behind it.
//
// Machine is the core of one stream and PlanReclaim decides what to do with all
// streams of an engine that is leaving; neither does I/O. Driver runs them.
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
	defaultBackoffBase      = 20 * time.Millisecond
	defaultBackoffLimit     = time.Second
	defaultNoBackendLimit   = 5 * time.Second
	defaultReclaimMargin    = 300 * time.Millisecond
	defaultNoBackendRetryIn = 2 * time.Second
	// maxExcluded bounds the BackendServers that a new attempt avoids.
	maxExcluded = 4
)

// MachineOptions configure a Machine.
type MachineOptions struct {
	State State
	// Nonce makes the attempt IDs of this daemon differ from those of others
	// that ran the same request.
	Nonce string
	// BackoffBase and BackoffLimit bound the full-jitter back-off.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// NoBackendTimeout is how long a request that has not run waits for a
	// BackendServer.
	NoBackendTimeout time.Duration
	// ReclaimMargin is how long before a reclaim its streams have left.
	ReclaimMargin time.Duration
	Random        *rand.Rand
	Invariants    *invariant.Reporter
}

type phase int

const (
	// phaseWaiting has no attempt; one is dispatched at dispatchAt.
	phaseWaiting phase = iota
	phaseRunning
	phaseMigrating
	phaseEnded
)

type attempt struct {
	id      string
	backend string
	// delivered says whether a token of this attempt was delivered.
	delivered bool
	fresh     bool
}

type reclaim struct {
	deadline time.Time
	choice   ReclaimChoice
	at       time.Time
}

// Machine is the state of one stream: it turns events into actions. It is not
// safe for concurrent use.
type Machine struct {
	opts       MachineOptions
	phase      phase
	tokens     []string
	current    attempt
	attempts   int
	failures   int
	begun      time.Time
	dispatchAt time.Time
	pending    Dispatch
	reclaim    *reclaim
	excluded   []string
	isolated   bool
	mayHaveRun bool
	handing    bool
	held       []Token
	// ends counts the final answers; more than one violates an invariant.
	ends    int
	actions []Action
	err     error
}

// NewMachine returns the machine of one stream.
func NewMachine(opts MachineOptions) *Machine {
	setDefault(&opts.BackoffBase, defaultBackoffBase)
	setDefault(&opts.BackoffLimit, defaultBackoffLimit)
	setDefault(&opts.NoBackendTimeout, defaultNoBackendLimit)
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

// Tokens returns the tokens delivered so far; the caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

// Backend returns the BackendServer of the current attempt, or "".
func (m *Machine) Backend() string {
	if m.phase == phaseRunning || m.phase == phaseMigrating {
		return m.current.backend
	}
	return ""
}

// Ended reports whether the stream has had its last action.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Step handles one event. It returns a ViolationError next to the actions when
// an invariant does not hold.
func (m *Machine) Step(now time.Time, ev Event) ([]Action, error) {
	m.actions, m.err = nil, nil
	if m.phase == phaseEnded {
		m.afterEnd(ev)
		return m.actions, m.err
	}
	m.handle(now, ev)
	if m.phase != phaseEnded {
		m.onTime(now)
	}
	return m.actions, m.err
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case Begin:
		m.begun = now
		m.schedule(now, Dispatch{Reason: "first attempt"})
	case Dispatched:
		m.onDispatched(e)
	case NoBackendAvailable:
		m.onNothingAvailable(now, e)
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
		m.leave()
		m.end(End{Kind: EndCallerGone})
	case DaemonStopped:
		m.leave()
		m.fail(api.ProblemDraining, http.StatusServiceUnavailable, "the daemon stopped before the answer was complete", 0)
	case HandOverRequested:
		m.onHandOverWanted()
	case HandOverDone:
		m.onHandOverDone(e)
	case HandOverFailed:
		m.onHandOverFailed(now)
	case Tick:
	}
}

// afterEnd handles an event that arrives when the stream has ended.
func (m *Machine) afterEnd(ev Event) {
	switch e := ev.(type) {
	case Token:
		m.do(Drop{Reason: DropLate})
	case Dispatched:
		m.do(Cancel(e))
	}
}

func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) check(ok bool, id invariant.ID, format string, args ...any) bool {
	if err := m.opts.Invariants.Check(ok, id, format, args...); err != nil {
		m.err = err
	}
	return ok
}

// NextWake returns when the machine wants a Tick; the zero time means never.
func (m *Machine) NextWake() time.Time {
	if m.phase == phaseEnded {
		return time.Time{}
	}
	wake := m.opts.State.Request.Deadline
	if m.phase == phaseWaiting && !m.dispatchAt.IsZero() {
		wake = earliest(wake, m.dispatchAt)
	}
	if m.reclaim != nil {
		wake = earliest(wake, m.reclaimWake())
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// onTime does what is due.
func (m *Machine) onTime(now time.Time) {
	deadline := m.opts.State.Request.Deadline
	if !deadline.IsZero() && !now.Before(deadline) {
		m.leave()
		m.fail(api.ProblemDeadlineExceeded, http.StatusGatewayTimeout, "the answer was not complete at the deadline", 0)
		return
	}
	if m.handing {
		return
	}
	m.onReclaimTime(now)
	if m.phase == phaseWaiting && !m.dispatchAt.IsZero() && !now.Before(m.dispatchAt) {
		m.dispatch()
	}
}

// schedule sets the next attempt for a time; one that is due is dispatched at
// the end of the step.
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
	m.phase, m.current = phaseRunning, attempt{id: d.AttemptID, backend: d.Backend, fresh: d.NewConnection}
	m.do(d)
}

func (m *Machine) onDispatched(e Dispatched) {
	if e.AttemptID != m.current.id {
		m.do(Cancel(e))
		return
	}
	m.current.backend = e.Backend
}

func (m *Machine) onNothingAvailable(now time.Time, e NoBackendAvailable) {
	if e.AttemptID != m.current.id {
		return
	}
	m.current = attempt{}
	if !m.mayHaveRun && now.Sub(m.begun) >= m.opts.NoBackendTimeout {
		m.fail(api.ProblemNoBackendServer, http.StatusServiceUnavailable,
			"no backend server serves the model now", defaultNoBackendRetryIn)
		return
	}
	// Without another choice, a BackendServer that failed before is tried again.
	m.excluded = nil
	m.failures++
	again := m.pending // The retry budget has not paid: nothing was chosen.
	again.Backend, again.KVHandle, again.NewConnection = "", "", false
	m.schedule(now.Add(m.backoff()), again)
}

func (m *Machine) onRetryDenied(now time.Time, e RetryDenied) {
	if e.AttemptID != m.current.id {
		return
	}
	m.failures++
	m.schedule(now.Add(m.backoff()), m.pending)
}

// backoff returns a time with full jitter that grows with the failures in a
// row; the first retry goes out at once.
func (m *Machine) backoff() time.Duration {
	if m.failures <= 1 {
		return 0
	}
	limit := m.opts.BackoffBase << min(m.failures-2, 16)
	limit = min(limit, m.opts.BackoffLimit)
	return time.Duration(m.opts.Random.Int64N(int64(limit) + 1))
}

// leave leaves the current attempt behind.
func (m *Machine) leave() {
	if m.phase == phaseMigrating {
		m.do(AbandonMigration{AttemptID: m.current.id})
	}
	if m.current.id != "" && m.current.backend != "" {
		m.mayHaveRun = true
		m.do(Cancel{AttemptID: m.current.id, Backend: m.current.backend})
	}
	m.current = attempt{}
}

func (m *Machine) fail(name api.ProblemName, status int, detail string, after time.Duration) {
	outcome := api.OutcomeNotRun
	if m.mayHaveRun {
		outcome = api.OutcomeUnknown
	}
	problem := &api.Problem{Name: name, Status: status, Detail: detail, Outcome: outcome, RetryAfter: after}
	m.check(outcome != api.OutcomeNotRun || len(m.tokens) == 0, invariant.NotRunIsAccurate,
		"request %s is reported as not run after %d tokens", m.opts.State.Request.ID, len(m.tokens))
	m.end(End{Kind: EndProblem, Problem: problem})
}

func (m *Machine) end(e End) {
	m.ends++
	m.check(m.ends == 1, invariant.AnsweredExactlyOnce,
		"request %s ended %d times", m.opts.State.Request.ID, m.ends)
	m.phase, m.current, m.reclaim, m.handing = phaseEnded, attempt{}, nil, false
	m.do(e)
}
