package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// maxClaimTries bounds how often a claim is written when the answer was
	// lost and the row read afterwards does not contain the claim.
	maxClaimTries = 3
	// maxLookups bounds how often the daemon that dispatched an attempt looks
	// up its result.
	maxLookups = 3
	// lookupDelay is the wait before a repeated look-up. It gives a request
	// that is still in flight time to reach the service.
	lookupDelay = 200 * time.Millisecond
	// maxReadBacks bounds the reads that look for a claim whose write was
	// ambiguous. After that many failed reads the claim is left to settlement.
	maxReadBacks = 5
	// initialPollInterval and maxPollInterval bound the delays between reads of
	// a record that another attempt has claimed. The delay doubles each time.
	initialPollInterval = 25 * time.Millisecond
	maxPollInterval     = 400 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delays between tries to
	// store an outcome or to read back a claim while the table is unavailable.
	// The delay doubles each time.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseWaiting
	phaseDispatched
	phaseLookingUp
	phaseStoring
	phaseReadingBack
	phaseEnded
)

// Call is the state machine of one attempt of a once-only call. Each Handle
// returns at most one action that has an answer, and the next event is that
// answer or CallerTimedOut.
type Call struct {
	spec     Spec
	reporter *invariant.Reporter
	// now is the time of the event being handled.
	now     time.Time
	phase   phase
	replied bool
	// record is the last known claim or outcome in the table.
	record *Stored
	// mayHaveRun is set from the dispatch on, until it is proven that no byte
	// was sent or that the attempt did not run.
	mayHaveRun bool
	dispatches int
	claimTries int
	// claimAmbiguous is set while a claim write may have been applied although
	// its answer was lost.
	claimAmbiguous bool
	lookups        int
	readBacks      int
	// lookupOfEarlier is set while the look-up concerns an earlier attempt
	// whose outcome is unknown.
	lookupOfEarlier bool
	pollInterval    time.Duration
	retryDelay      time.Duration
	// outcome is the record to be stored, and pendingReply the reply to send
	// once it is stored.
	outcome      *Record
	pendingReply Reply
}

// NewCall returns the state machine of an attempt. The reporter may be nil.
func NewCall(spec Spec, reporter *invariant.Reporter) *Call {
	return &Call{spec: spec, reporter: reporter, pollInterval: initialPollInterval, retryDelay: initialRetryDelay}
}

// Handle processes an event and returns the actions to perform, in order.
func (c *Call) Handle(now time.Time, event CallEvent) []CallAction {
	c.now = now
	switch e := event.(type) {
	case Started:
		return c.start(now)
	case Committed:
		return c.committed(now, e.Result)
	case RowRead:
		return c.rowRead(now, e)
	case Dispatched:
		return c.dispatched(e)
	case LookedUp:
		return c.lookedUp(e)
	case CallerTimedOut:
		return c.callerTimedOut()
	}
	return nil
}

// Replied reports whether the caller has been answered.
func (c *Call) Replied() bool { return c.replied }

// Ended reports whether the call has no work left.
func (c *Call) Ended() bool { return c.phase == phaseEnded }

func (c *Call) start(now time.Time) []CallAction {
	if c.replied {
		return c.finish(Reply{})
	}
	if c.spec.Keyless {
		return c.dispatch(now)
	}
	return c.claim(0, 0)
}

// claim writes a claim that replaces the given version of the row.
func (c *Call) claim(version table.Version, attempts int) []CallAction {
	c.phase = phaseClaiming
	c.claimTries++
	c.record = &Stored{ID: c.spec.ID, Version: version, Record: Record{
		State:             StateClaimed,
		Digest:            c.spec.Digest,
		AttemptID:         c.spec.AttemptID,
		Attempts:          attempts + 1,
		Revision:          c.spec.Revision,
		Daemon:            c.spec.Daemon,
		Service:           c.spec.Service,
		Call:              c.spec.Call,
		SettleAfterMillis: c.spec.SettleAfter.Milliseconds(),
	}}
	return []CallAction{WriteRecord{Writes: ClaimWrites(c.spec.ID, version, &c.record.Record), Claim: true}}
}

func (c *Call) committed(now time.Time, r Result) []CallAction {
	switch c.phase {
	case phaseClaiming:
		return c.claimCommitted(now, r)
	case phaseStoring:
		return c.outcomeCommitted(r)
	}
	return nil
}

func (c *Call) claimCommitted(now time.Time, r Result) []CallAction {
	switch r.Status {
	case StatusApplied:
		c.record.Version++
		return c.dispatch(now)
	case StatusFound:
		return c.resolveClaim(now, r)
	case StatusAmbiguous:
		c.claimAmbiguous = true
		return c.claimFailed(now)
	default:
		return c.claimFailed(now)
	}
}

// resolveClaim continues with the row that was read after the claim's condition
// failed or its answer was lost.
func (c *Call) resolveClaim(now time.Time, r Result) []CallAction {
	c.claimAmbiguous = c.claimAmbiguous || r.AnswerLost
	if !r.Exists || (r.AnswerLost && r.Item.Version == c.record.Version) {
		if c.claimTries >= maxClaimTries || c.replied {
			return c.claimFailed(now)
		}
		return c.claim(c.record.Version, c.record.Record.Attempts-1)
	}
	found, err := Decode(c.spec.ID, r.Item)
	if err != nil {
		return c.finish(Reply{Kind: ReplyStoreUnavailable})
	}
	return c.resolveRecord(now, found)
}

// resolveRecord continues according to the record found in the table.
func (c *Call) resolveRecord(now time.Time, found *Stored) []CallAction {
	if found.Record.AttemptID == c.spec.AttemptID {
		return c.resolveOwnRecord(now, found)
	}
	if found.Record.Digest != c.spec.Digest {
		return c.finish(Reply{Kind: ReplyConflict})
	}
	switch found.Record.State {
	case StateDone:
		return c.finish(Reply{Kind: ReplyDone, Answer: found.Record.Answer, Replayed: true})
	case StateUnknown:
		return c.resolveUnknownRecord(found)
	case StateNotRun:
		if c.replied {
			return c.finish(Reply{})
		}
		return c.claim(found.Version, found.Record.Attempts)
	default:
		return c.waitForOtherAttempt()
	}
}

// resolveOwnRecord continues after a claim whose answer was lost. If the holder
// of the range's lease has settled the claim meanwhile, the call is not
// dispatched.
func (c *Call) resolveOwnRecord(now time.Time, found *Stored) []CallAction {
	c.record, c.claimAmbiguous = found, false
	switch found.Record.State {
	case StateClaimed:
		return c.dispatch(now)
	case StateDone:
		return c.finish(Reply{Kind: ReplyDone, Answer: found.Record.Answer, Replayed: true})
	default:
		// The claim was settled before this daemon dispatched it, which proves
		// that the call did not run.
		return c.notRun(ReplyTooLate)
	}
}

// resolveUnknownRecord looks up an earlier attempt whose outcome is unknown, if
// the service supports look-ups.
func (c *Call) resolveUnknownRecord(found *Stored) []CallAction {
	if !c.spec.CanLookup || c.replied {
		return c.finish(Reply{Kind: ReplyUnknown, Replayed: true})
	}
	c.phase, c.record, c.lookupOfEarlier = phaseLookingUp, found, true
	return []CallAction{Lookup{AttemptID: found.Record.AttemptID}}
}

// waitForOtherAttempt polls the row until the other attempt stores its outcome
// or is settled.
func (c *Call) waitForOtherAttempt() []CallAction {
	if c.replied {
		return c.finish(Reply{})
	}
	c.phase = phaseWaiting
	after := c.pollInterval
	c.pollInterval = min(2*c.pollInterval, maxPollInterval)
	return []CallAction{ReadRecord{Key: c.spec.ID.RowKey(), After: after}}
}

// claimFailed rejects the call, which was not and will not be dispatched. Only a
// call to a service that deduplicates by key is dispatched without a claim.
func (c *Call) claimFailed(now time.Time) []CallAction {
	if c.spec.DeduplicatesByKey && !c.replied {
		c.record = nil
		return c.dispatch(now)
	}
	if !c.claimAmbiguous {
		return c.finish(Reply{Kind: ReplyStoreUnavailable})
	}
	return append(c.reply(Reply{Kind: ReplyStoreUnavailable}), c.readBack()...)
}

// readBack reads the row of a claim whose write was ambiguous, so that a claim
// that did apply can be marked as not run and its key be used again.
func (c *Call) readBack() []CallAction {
	c.phase = phaseReadingBack
	c.readBacks++
	after := c.retryDelay
	c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
	return []CallAction{ReadRecord{Key: c.spec.ID.RowKey(), After: after}}
}

func (c *Call) rowRead(now time.Time, e RowRead) []CallAction {
	if c.phase == phaseReadingBack {
		return c.claimReadBack(e)
	}
	if c.phase != phaseWaiting {
		return nil
	}
	if c.replied {
		return c.finish(Reply{})
	}
	if e.Failed {
		return c.waitForOtherAttempt()
	}
	if !e.Exists {
		return c.claim(0, 0)
	}
	found, err := Decode(c.spec.ID, e.Item)
	if err != nil {
		return c.finish(Reply{Kind: ReplyStoreUnavailable})
	}
	return c.resolveRecord(now, found)
}

// claimReadBack ends a rejected call. A claim that is applied only after the
// last read is left to settlement.
func (c *Call) claimReadBack(e RowRead) []CallAction {
	if e.Failed && c.readBacks < maxReadBacks {
		return c.readBack()
	}
	if e.Failed || !e.Exists {
		return c.finish(Reply{})
	}
	found, err := Decode(c.spec.ID, e.Item)
	if err != nil || found.Record.AttemptID != c.spec.AttemptID || !mayReplace(found.Record.State, StateNotRun) {
		return c.finish(Reply{})
	}
	c.record = found
	return c.notRun(ReplyStoreUnavailable)
}

func (c *Call) callerTimedOut() []CallAction {
	if c.replied || c.phase == phaseEnded {
		return nil
	}
	switch c.phase {
	case phaseNew, phaseClaiming, phaseReadingBack:
		return c.reply(Reply{Kind: ReplyTooLate})
	case phaseWaiting:
		return c.reply(Reply{Kind: ReplyInUse})
	case phaseStoring:
		return c.reply(c.pendingReply)
	default:
		return c.reply(Reply{Kind: ReplyUnknown})
	}
}

// reply answers the caller unless it has been answered already.
func (c *Call) reply(r Reply) []CallAction {
	if c.replied {
		return nil
	}
	c.replied = true
	_ = c.reporter.Check(!r.Kind.NotRun() || !c.mayHaveRun, invariant.NotRunIsAccurate,
		"attempt %s may have run but is reported as not run", c.spec.AttemptID)
	return []CallAction{r}
}

// finish answers the caller unless it has been answered already, and ends the
// call.
func (c *Call) finish(r Reply) []CallAction {
	c.phase = phaseEnded
	return append(c.reply(r), End{})
}
