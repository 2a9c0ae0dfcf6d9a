package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

const (
	// maxClaimTries bounds how often a claim is written again after its answer
	// was lost and the row does not show it.
	maxClaimTries = 3
	// maxLookups bounds the look-ups of one attempt by its own daemon.
	maxLookups = 3
	// lookupDelay lets a request that is still on its way arrive.
	lookupDelay = 200 * time.Millisecond
	// maxReadBacks bounds the reads for a claim that may have applied unseen;
	// after them it is left to settlement.
	maxReadBacks = 5
	// initialPollInterval and maxPollInterval bound the delays between reads of a record that
	// another attempt holds.
	initialPollInterval = 25 * time.Millisecond
	maxPollInterval     = 400 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delays between tries to
	// store an outcome while the table is down.
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

// Call is the core of one attempt of a once-only call. Each Handle returns at
// most one action that has an answer, and the next event is that answer or
// CallerTimedOut.
type Call struct {
	spec     Spec
	reporter *invariant.Reporter
	// now is the time of the event in progress.
	now     time.Time
	phase   phase
	replied bool
	// record is the claim or outcome in the table, as far as known.
	record *Stored
	// mayHaveRun is set while a byte may have left without proof that the
	// attempt did not run.
	mayHaveRun bool
	dispatches int
	claimTries int
	// claimAmbiguous is set while a claim write may have applied unseen.
	claimAmbiguous bool
	lookups        int
	readBacks      int
	// lookupOfEarlier marks a look-up on behalf of an earlier, unknown attempt.
	lookupOfEarlier bool
	pollInterval    time.Duration
	retryDelay      time.Duration
	// outcome is what is to be stored, and pending what to tell with it.
	outcome      *Record
	pendingReply Reply
}

// NewCall returns the core of an attempt. The reporter may be nil.
func NewCall(spec Spec, reporter *invariant.Reporter) *Call {
	return &Call{spec: spec, reporter: reporter, pollInterval: initialPollInterval, retryDelay: initialRetryDelay}
}

// Handle takes an event and returns what to do, in order.
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

// Told reports whether the caller has its answer.
func (c *Call) Replied() bool { return c.replied }

// Ended reports whether the call needs nothing more.
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

// claim writes a claim over the given version of the row.
func (c *Call) claim(version uint64, attempts int) []CallAction {
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

// resolveClaim looks at the row after a failed condition or a lost answer.
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

// meet acts on a record that the table holds.
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

// resolveOwnRecord continues after a claim whose answer was lost. If the range's lease
// holder has settled it meanwhile, the call is not dispatched.
func (c *Call) resolveOwnRecord(now time.Time, found *Stored) []CallAction {
	c.record, c.claimAmbiguous = found, false
	switch found.Record.State {
	case StateClaimed:
		return c.dispatch(now)
	case StateDone:
		return c.finish(Reply{Kind: ReplyDone, Answer: found.Record.Answer, Replayed: true})
	default:
		// It was settled without having been dispatched, so that it can be
		// proven as not run by this daemon.
		return c.notRun(ReplyTooLate)
	}
}

// resolveUnknownRecord asks the service about an earlier attempt where it can tell.
func (c *Call) resolveUnknownRecord(found *Stored) []CallAction {
	if !c.spec.CanLookup || c.replied {
		return c.finish(Reply{Kind: ReplyUnknown, Replayed: true})
	}
	c.phase, c.record, c.lookupOfEarlier = phaseLookingUp, found, true
	return []CallAction{Lookup{AttemptID: found.Record.AttemptID}}
}

// waitForOtherAttempt reads the row again later: the other attempt stores its outcome
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

// claimFailed refuses the call: it was not dispatched and will not be.
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

// readBack looks for a claim that may have applied unseen, to free its key.
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

// claimReadBack ends a refused call. A claim that shows up later still is left
// to settlement.
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

// tell answers the caller unless it has its answer.
func (c *Call) reply(r Reply) []CallAction {
	if c.replied {
		return nil
	}
	c.replied = true
	_ = c.reporter.Check(!r.Kind.NotRun() || !c.mayHaveRun, invariant.NotRunIsAccurate,
		"attempt %s may have run and is reported as not run", c.spec.AttemptID)
	return []CallAction{r}
}

// finish answers the caller unless it has its answer, and ends the call.
func (c *Call) finish(r Reply) []CallAction {
	c.phase = phaseEnded
	return append(c.reply(r), End{})
}
