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
		m.emit(Drop{Reason: DropCrossed})
		return
	}
	if m.handingOver {
		m.heldTokens = append(m.heldTokens, e)
		return
	}
	if e.Offset < len(m.tokens) {
		m.emit(Drop{Reason: DropRepeated})
		return
	}
	if e.Offset > len(m.tokens) {
		m.emit(Drop{Reason: DropGap})
		m.onGap(now)
		return
	}
	m.deliver(e)
}

// onGap cancels an attempt that has lost a token, because the missing token
// cannot be requested again, and schedules another one. The engine is excluded,
// as it may lose the same token again.
func (m *Machine) onGap(now time.Time) {
	m.failures++
	m.exclude(m.current.backend)
	m.cancelAttempt()
	m.schedule(now.Add(m.backoff()), Dispatch{Retry: true, Reason: "an event was lost"})
}

func (m *Machine) deliver(e Token) {
	if !m.checkInvariant(e.Offset == len(m.tokens), invariant.AnswerIntegrity,
		"request %s: offset %d delivered after %d tokens", m.opts.State.Request.ID, e.Offset, len(m.tokens)) {
		return
	}
	m.current.delivered = true
	m.mayHaveRun = true
	m.failures = 0
	m.emit(Deliver{Token: api.TokenEvent{Offset: e.Offset, Text: e.Text, FinishReason: e.FinishReason}})
	if e.FinishReason == "" {
		m.tokens = append(m.tokens, e.Text)
		return
	}
	if m.phase == phaseMigrating {
		m.emit(AbandonMigration{AttemptID: m.current.id})
	}
	m.end(End{Kind: EndFinished})
}

func (m *Machine) onFailed(now time.Time, e Failed) {
	if e.AttemptID != m.current.id || m.current.id == "" {
		return
	}
	failed, reclaimAnnounced := m.current, m.reclaim != nil
	if m.phase == phaseMigrating {
		m.emit(AbandonMigration{AttemptID: failed.id})
	}
	reachedBackend := e.Kind != FailureNotSent && e.Kind != FailureRefused && e.Kind != FailureInvalid
	if reachedBackend {
		m.mayHaveRun = true
		m.emit(Cancel{AttemptID: failed.id, Backend: failed.backend})
	}
	m.isolated = m.isolated || e.Isolate
	m.failures++
	m.phase, m.current, m.reclaim = phaseWaiting, attempt{}, nil
	if m.failPermanently(e) {
		return
	}
	if e.Kind == FailureSilent && !failed.newConnection {
		m.schedule(now, Dispatch{Backend: failed.backend, NewConnection: true, Retry: !reclaimAnnounced, Reason: "the connection went silent"})
		return
	}
	m.exclude(failed.backend)
	m.schedule(now.Add(m.backoff()), Dispatch{Retry: reachedBackend && !reclaimAnnounced, Reason: e.Detail})
}

// failPermanently ends the stream after a failure that another attempt would
// not resolve, and reports whether it did.
func (m *Machine) failPermanently(e Failed) bool {
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

// onHandOverRequested starts a hand-over. Tokens that arrive from now on are
// held back: a token delivered after the state was copied could differ from the
// one that the peer generates.
func (m *Machine) onHandOverRequested() {
	if m.handingOver {
		return
	}
	m.handingOver = true
	m.emit(HandOver{State: m.State()})
}

// State returns the state that another daemon needs to continue the stream.
func (m *Machine) State() State {
	state := m.opts.State
	state.Tokens = slices.Clone(m.tokens)
	state.MayHaveRun = m.mayHaveRun || m.current.backend != ""
	state.Isolated = m.isolated
	return state
}

func (m *Machine) onHandOverDone(e HandOverDone) {
	if !m.handingOver {
		return
	}
	m.cancelAttempt()
	m.end(End{Kind: EndHandedOver, Peer: e.Peer})
}

func (m *Machine) onHandOverFailed(now time.Time) {
	if !m.handingOver {
		return
	}
	heldTokens := m.heldTokens
	m.handingOver, m.heldTokens = false, nil
	for _, e := range heldTokens {
		if m.phase == phaseEnded {
			return
		}
		m.onToken(now, e)
	}
}
