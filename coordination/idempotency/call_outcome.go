package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

// dispatch sends the call unless its dispatch deadline has passed or the caller
// has already been answered that it did not run.
func (c *Call) dispatch(now time.Time) []CallAction {
	if c.replied || !now.Before(c.spec.DispatchBy) {
		return c.notRun(ReplyTooLate)
	}
	claimed := c.record != nil && c.record.Record.State == StateClaimed
	exempt := c.spec.Keyless || c.spec.DeduplicatesByKey
	if c.reporter.Check(claimed || exempt, invariant.AtMostOnce, "attempt %s would be dispatched without a claim", c.spec.AttemptID) != nil {
		return c.finish(Reply{Kind: ReplyStoreUnavailable})
	}
	if c.reporter.Check(c.dispatches == 0, invariant.AtMostOnce, "attempt %s would be dispatched a second time", c.spec.AttemptID) != nil {
		return c.finish(Reply{Kind: ReplyUnknown})
	}
	c.dispatches++
	c.mayHaveRun = true
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
		c.mayHaveRun = false
		return c.notRun(ReplyNotReached)
	case DispatchRefused:
		c.mayHaveRun = false
		return c.notRun(ReplyRefused)
	default:
		return c.resolveBroken()
	}
}

// resolveBroken continues after a dispatch or look-up without a result, when the
// call may have run. It looks up the attempt if the service supports that, and
// never sends the call again.
func (c *Call) resolveBroken() []CallAction {
	if !c.spec.CanLookup || c.lookups >= maxLookups {
		return c.storeOutcome(StateUnknown, nil, Reply{Kind: ReplyUnknown})
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
	if c.lookupOfEarlier {
		return c.earlierLookedUp(e)
	}
	switch e.Kind {
	case DispatchAnswered:
		return c.done(e.Answer)
	case DispatchRefused:
		c.mayHaveRun = false
		return c.notRun(ReplyRefused)
	default:
		return c.resolveBroken()
	}
}

// earlierLookedUp handles the look-up of an earlier attempt whose outcome was
// unknown. When the service states that the attempt did not run, that is stored,
// and the caller's next attempt can claim the key.
func (c *Call) earlierLookedUp(e LookedUp) []CallAction {
	switch e.Kind {
	case DispatchAnswered:
		return c.storeOutcome(StateDone, e.Answer, Reply{Kind: ReplyDone, Answer: e.Answer, Replayed: true})
	case DispatchRefused:
		return c.notRun(ReplyRefused)
	default:
		return c.finish(Reply{Kind: ReplyUnknown, Replayed: true})
	}
}

func (c *Call) done(answer []byte) []CallAction {
	return c.storeOutcome(StateDone, answer, Reply{Kind: ReplyDone, Answer: answer})
}

// notRun stores and replies that the attempt did not run. It is called only when
// this is proven: the attempt was not dispatched, no byte was sent, or the
// service stated that it did not run.
func (c *Call) notRun(kind ReplyKind) []CallAction {
	return c.storeOutcome(StateNotRun, nil, Reply{Kind: kind})
}

// storeOutcome writes the outcome before the caller is answered, so that a retry
// through another daemon cannot return less than the first answer did.
func (c *Call) storeOutcome(state State, answer []byte, reply Reply) []CallAction {
	if c.record == nil || c.spec.Keyless || !mayReplace(c.record.Record.State, state) {
		return c.finish(reply)
	}
	outcome := c.record.Record
	outcome.State, outcome.Answer, outcome.FinishedUnix = state, answer, c.now.Unix()
	c.phase, c.outcome, c.pendingReply = phaseStoring, &outcome, reply
	return c.writeOutcome(0)
}

func (c *Call) writeOutcome(after time.Duration) []CallAction {
	return []CallAction{WriteRecord{Writes: OutcomeWrites(c.record, c.outcome), After: after}}
}

func (c *Call) outcomeCommitted(r Result) []CallAction {
	if r.Status == StatusApplied {
		return c.finish(c.pendingReply)
	}
	if r.Status == StatusFound && r.Exists {
		if found, err := Decode(c.spec.ID, r.Item); err == nil {
			return c.resolveOutcome(found)
		}
		return c.finish(c.pendingReply)
	}
	if r.Status == StatusFound && !r.AnswerLost {
		// The record was deleted at the end of its retention.
		return c.finish(c.pendingReply)
	}
	return c.retryStore()
}

// retryStore answers the caller now and keeps trying to store the outcome in the
// background.
func (c *Call) retryStore() []CallAction {
	after := c.retryDelay
	c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
	return append(c.reply(c.pendingReply), c.writeOutcome(after)...)
}

// resolveOutcome continues with the row that was read after the condition of the
// outcome's write failed or its answer was lost. If settlement has proven an
// outcome meanwhile, the caller gets that one.
func (c *Call) resolveOutcome(found *Stored) []CallAction {
	if found.Record.AttemptID != c.outcome.AttemptID {
		return c.finish(c.pendingReply)
	}
	if mayReplace(found.Record.State, c.outcome.State) {
		c.record = found
		return c.writeOutcome(0)
	}
	contradicted := c.outcome.State == StateDone && found.Record.State == StateNotRun
	_ = c.reporter.Check(!contradicted, invariant.NotRunIsAccurate,
		"attempt %s ran but is stored as not run", found.Record.AttemptID)
	switch found.Record.State {
	case StateDone:
		return c.finish(Reply{Kind: ReplyDone, Answer: found.Record.Answer, Replayed: c.pendingReply.Replayed})
	case StateNotRun:
		if c.outcome.State == StateUnknown {
			c.mayHaveRun = false
			return c.finish(Reply{Kind: ReplyRefused})
		}
	}
	return c.finish(c.pendingReply)
}

// RecordState returns the state that is stored or about to be stored, for
// reports. It is empty if there is no record.
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
