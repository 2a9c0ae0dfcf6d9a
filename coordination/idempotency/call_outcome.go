package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

// dispatch sends the call unless its time has passed or the caller has already
// been told that it did not run.
func (c *Call) dispatch(now time.Time) []CallAction {
	if c.replied || !now.Before(c.spec.DispatchBy) {
		return c.notRun(VerdictTooLate)
	}
	claimed := c.record != nil && c.record.Record.State == StateClaimed
	exempt := c.spec.Keyless || c.spec.DeduplicatesByKey
	if c.reporter.Check(claimed || exempt, invariant.AtMostOnce, "attempt %s is dispatched without a claim", c.spec.AttemptID) != nil {
		return c.finish(Reply{Kind: VerdictStoreUnavailable})
	}
	if c.reporter.Check(c.dispatches == 0, invariant.AtMostOnce, "attempt %s is dispatched again", c.spec.AttemptID) != nil {
		return c.finish(Reply{Kind: VerdictUnknown})
	}
	c.dispatches++
	c.mayHaveLeft = true
	c.phase = phaseDispatched
	return []CallAction{Dispatch{AttemptID: c.spec.AttemptID}}
}

func (c *Call) dispatched(e Dispatched) []CallAction {
	if c.phase != phaseDispatched {
		return nil
	}
	switch e.Kind {
	case DispatchAnswered:
		return c.done(e.Answer)
	case DispatchNotSent:
		c.mayHaveLeft = false
		return c.notRun(VerdictNotReached)
	case DispatchRefused:
		c.mayHaveLeft = false
		return c.notRun(VerdictRefused)
	default:
		return c.broken()
	}
}

// broken follows a call that may have run: a look-up where there is one, never
// a repeat.
func (c *Call) broken() []CallAction {
	if !c.spec.CanLookup || c.lookups >= maxLookups {
		return c.store(StateUnknown, nil, Reply{Kind: VerdictUnknown})
	}
	after := time.Duration(0)
	if c.lookups > 0 {
		after = lookupDelay
	}
	c.lookups++
	c.phase = phaseLookingUp
	return []CallAction{Lookup{AttemptID: c.spec.AttemptID, After: after}}
}

func (c *Call) lookedUp(e LookedUp) []CallAction {
	if c.phase != phaseLookingUp {
		return nil
	}
	if c.lookupOnly {
		return c.lookedUpOther(e)
	}
	switch e.Kind {
	case DispatchAnswered:
		return c.done(e.Answer)
	case DispatchRefused:
		c.mayHaveLeft = false
		return c.notRun(VerdictRefused)
	default:
		return c.broken()
	}
}

// lookedUpOther ends the look-up of an earlier attempt that was unknown. When
// the service states that it did not run, that is stored; the key is then free
// for the caller's next attempt.
func (c *Call) lookedUpOther(e LookedUp) []CallAction {
	switch e.Kind {
	case DispatchAnswered:
		return c.store(StateDone, e.Answer, Reply{Kind: VerdictDone, Answer: e.Answer, Replayed: true})
	case DispatchRefused:
		return c.notRun(VerdictRefused)
	default:
		return c.finish(Reply{Kind: VerdictUnknown, Replayed: true})
	}
}

func (c *Call) done(answer []byte) []CallAction {
	return c.store(StateDone, answer, Reply{Kind: VerdictDone, Answer: answer})
}

// notRun stores and tells that the attempt did not run, which is proven: it was
// not dispatched, no byte has left, or the service said so.
func (c *Call) notRun(kind VerdictKind) []CallAction {
	return c.store(StateNotRun, nil, Reply{Kind: kind})
}

// store writes the outcome before the caller is told, so that a caller that
// asks again elsewhere cannot see less than it was told.
func (c *Call) store(state State, answer []byte, reply Reply) []CallAction {
	if c.record == nil || c.spec.Keyless || !mayReplace(c.record.Record.State, state) {
		return c.finish(reply)
	}
	outcome := c.record.Record
	outcome.State, outcome.Answer, outcome.FinishedUnix = state, answer, c.now.Unix()
	c.phase, c.outcome, c.pending = phaseStoring, &outcome, reply
	return c.writeOutcome(0)
}

func (c *Call) writeOutcome(after time.Duration) []CallAction {
	return []CallAction{WriteRecord{Writes: OutcomeWrites(c.record, c.outcome), After: after}}
}

func (c *Call) outcomeCommitted(r Result) []CallAction {
	if r.Status == StatusApplied {
		return c.finish(c.pending)
	}
	if r.Status == StatusFound && r.Exists {
		if found, err := Decode(c.spec.ID, r.Item); err == nil {
			return c.outcomeFound(found)
		}
		return c.finish(c.pending)
	}
	if r.Status == StatusFound && !r.Lost {
		// The record's retention has ended.
		return c.finish(c.pending)
	}
	return c.storeLater()
}

// storeLater tells the caller now and keeps trying in the background.
func (c *Call) storeLater() []CallAction {
	after := c.storeDelay
	c.storeDelay = min(2*c.storeDelay, maxStoreDelay)
	return append(c.reply(c.pending), c.writeOutcome(after)...)
}

// outcomeFound looks at the row when the outcome's condition failed or its
// answer was lost. What settlement has proven meanwhile is told.
func (c *Call) outcomeFound(found *Stored) []CallAction {
	if found.Record.AttemptID != c.outcome.AttemptID {
		return c.finish(c.pending)
	}
	if mayReplace(found.Record.State, c.outcome.State) {
		c.record = found
		return c.writeOutcome(0)
	}
	contradicted := c.outcome.State == StateDone && found.Record.State == StateNotRun
	_ = c.reporter.Check(!contradicted, invariant.NotRunIsTrue,
		"attempt %s ran and is stored as not run", found.Record.AttemptID)
	switch found.Record.State {
	case StateDone:
		return c.finish(Reply{Kind: VerdictDone, Answer: found.Record.Answer, Replayed: c.pending.Replayed})
	case StateNotRun:
		if c.outcome.State == StateUnknown {
			c.mayHaveLeft = false
			return c.finish(Reply{Kind: VerdictRefused})
		}
	}
	return c.finish(c.pending)
}

// RecordState returns the state that is stored or to be stored, for reports.
func (c *Call) RecordState() State {
	switch {
	case c.outcome != nil:
		return c.outcome.State
	case c.record != nil:
		return c.record.Record.State
	default:
		return ""
	}
}
