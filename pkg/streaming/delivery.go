package streaming

import (
	"net/http"
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// onToken checks an event against the attempt and the expected offset.
func (m *Machine) onToken(now time.Time, e Token) {
	if e.AttemptID != m.current.id || m.current.id == "" {
		m.do(Drop{Reason: DropCrossed})
		return
	}
	if m.handing {
		m.held = append(m.held, e)
		return
	}
	if e.Offset < len(m.tokens) {
		m.do(Drop{Reason: DropRepeated})
		return
	}
	if e.Offset > len(m.tokens) {
		m.do(Drop{Reason: DropGap})
		m.onGap(now)
		return
	}
	m.deliver(e)
}

// onGap leaves an attempt behind that has lost a token: it cannot give the
// missing one any more. Its engine is avoided, as it may lose the same again.
func (m *Machine) onGap(now time.Time) {
	m.failures++
	m.exclude(m.current.backend)
	m.leave()
	m.schedule(now.Add(m.backoff()), Dispatch{Retry: true, Reason: "an event was lost"})
}

func (m *Machine) deliver(e Token) {
	if !m.check(e.Offset == len(m.tokens), invariant.AnswerIntegrity,
		"request %s: offset %d delivered after %d tokens", m.opts.State.Request.ID, e.Offset, len(m.tokens)) {
		return
	}
	m.current.delivered = true
	m.mayHaveRun = true
	m.failures = 0
	m.do(Deliver{Token: api.TokenEvent{Offset: e.Offset, Text: e.Text, FinishReason: e.FinishReason}})
	if e.FinishReason == "" {
		m.tokens = append(m.tokens, e.Text)
		return
	}
	if m.phase == phaseMigrating {
		m.do(AbandonMigration{AttemptID: m.current.id})
	}
	m.end(End{Kind: EndFinished})
}

func (m *Machine) onFailed(now time.Time, e Failed) {
	if e.AttemptID != m.current.id || m.current.id == "" {
		return
	}
	failed, announced := m.current, m.reclaim != nil
	if m.phase == phaseMigrating {
		m.do(AbandonMigration{AttemptID: failed.id})
	}
	ran := e.Kind != FailureNotSent && e.Kind != FailureRefused && e.Kind != FailureInvalid
	if ran {
		m.mayHaveRun = true
		m.do(Cancel{AttemptID: failed.id, Backend: failed.backend})
	}
	m.isolated = m.isolated || e.Isolate
	m.failures++
	m.phase, m.current, m.reclaim = phaseWaiting, attempt{}, nil
	if m.failedForGood(e) {
		return
	}
	if e.Kind == FailureSilent && !failed.fresh {
		m.schedule(now, Dispatch{Backend: failed.backend, NewConnection: true, Retry: !announced, Reason: "the connection went silent"})
		return
	}
	m.exclude(failed.backend)
	m.schedule(now.Add(m.backoff()), Dispatch{Retry: ran && !announced, Reason: e.Detail})
}

// failedForGood ends a stream that another attempt cannot help.
func (m *Machine) failedForGood(e Failed) bool {
	switch {
	case e.Quarantined:
		m.fail(api.ProblemQuarantined, http.StatusUnprocessableEntity, "the request crashed the backend servers that ran it", 0)
	case e.Kind == FailureInvalid:
		m.fail(api.ProblemBadRequest, http.StatusBadRequest, e.Detail, 0)
	default:
		return false
	}
	return true
}

func (m *Machine) exclude(backend string) {
	if backend == "" || slices.Contains(m.excluded, backend) {
		return
	}
	m.excluded = append(m.excluded, backend)
	if len(m.excluded) > maxExcluded {
		m.excluded = m.excluded[1:]
	}
}

// onHandOverWanted freezes the answer: a token delivered after the state was
// taken could differ from the one that the peer generates.
func (m *Machine) onHandOverWanted() {
	if m.handing {
		return
	}
	m.handing = true
	m.do(HandOver{State: m.State()})
}

// State returns what another daemon needs to continue the stream.
func (m *Machine) State() State {
	state := m.opts.State
	state.Tokens = slices.Clone(m.tokens)
	state.MayHaveRun = m.mayHaveRun || m.current.backend != ""
	state.Isolated = m.isolated
	return state
}

func (m *Machine) onHandOverDone(e HandOverDone) {
	if !m.handing {
		return
	}
	m.leave()
	m.end(End{Kind: EndHandedOver, Peer: e.Peer})
}

func (m *Machine) onHandOverFailed(now time.Time) {
	if !m.handing {
		return
	}
	held := m.held
	m.handing, m.held = false, nil
	for _, e := range held {
		if m.phase == phaseEnded {
			return
		}
		m.onToken(now, e)
	}
}
