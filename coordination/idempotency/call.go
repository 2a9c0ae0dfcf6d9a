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
	// firstWait and maxWait bound the delays between reads of a record that
	// another attempt holds.
	firstWait = 25 * time.Millisecond
	maxWait   = 400 * time.Millisecond
	// firstStoreDelay and maxStoreDelay bound the delays between tries to
	// store an outcome while the table is down.
	firstStoreDelay = 50 * time.Millisecond
	maxStoreDelay   = 2 * time.Second
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
// CallerExpired.
type Call struct {
	spec     Spec
	reporter *invariant.Reporter
	// now is the time of the event in progress.
	now     time.Time
	phase   phase
	replied bool
	// record is the claim or outcome in the table, as far as known.
	record *Stored
	// mayHaveLeft is set while a byte may have left without proof that the
	// attempt did not run.
	mayHaveLeft bool
	dispatches  int
	claimTries  int
	// claimDoubtful is set while a claim write may have applied unseen.
	claimDoubtful bool
	lookups       int
	readBacks     int
	// lookupOnly marks a look-up on behalf of an earlier, unknown attempt.
	lookupOnly bool
	wait       time.Duration
	storeDelay time.Duration
	// outcome is what is to be stored, and pending what to tell with it.
	outcome *Record
	pending Reply
}

// NewCall returns the core of an attempt. The reporter may be nil.
func NewCall(spec Spec, reporter *invariant.Reporter) *Call {
	return &Call{spec: spec, reporter: reporter, wait: firstWait, storeDelay: firstStoreDelay}
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
	case CallerExpired:
		return c.callerExpired()
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
		return c.claimFound(now, r)
	case StatusAmbiguous:
		c.claimDoubtful = true
		return c.claimFailed(now)
	default:
		return c.claimFailed(now)
	}
}

// claimFound looks at the row after a failed condition or a lost answer.
func (c *Call) claimFound(now time.Time, r Result) []CallAction {
	c.claimDoubtful = c.claimDoubtful || r.Lost
	if !r.Exists || (r.Lost && r.Item.Version == c.record.Version) {
		if c.claimTries >= maxClaimTries || c.replied {
			return c.claimFailed(now)
		}
		return c.claim(c.record.Version, c.record.Record.Attempts-1)
	}
	found, err := Decode(c.spec.ID, r.Item)
	if err != nil {
		return c.finish(Reply{Kind: VerdictStoreUnavailable})
	}
	return c.meet(now, found)
}

// meet acts on a record that the table holds.
func (c *Call) meet(now time.Time, found *Stored) []CallAction {
	if found.Record.AttemptID == c.spec.AttemptID {
		return c.meetOwn(now, found)
	}
	if found.Record.Digest != c.spec.Digest {
		return c.finish(Reply{Kind: VerdictConflict})
	}
	switch found.Record.State {
	case StateDone:
		return c.finish(Reply{Kind: VerdictDone, Answer: found.Record.Answer, Replayed: true})
	case StateUnknown:
		return c.meetUnknown(found)
	case StateNotRun:
		if c.replied {
			return c.finish(Reply{})
		}
		return c.claim(found.Version, found.Record.Attempts)
	default:
		return c.waitForOther()
	}
}

// meetOwn continues after a claim whose answer was lost. If the range's lease
// holder has settled it meanwhile, the call is not dispatched.
func (c *Call) meetOwn(now time.Time, found *Stored) []CallAction {
	c.record, c.claimDoubtful = found, false
	switch found.Record.State {
	case StateClaimed:
		return c.dispatch(now)
	case StateDone:
		return c.finish(Reply{Kind: VerdictDone, Answer: found.Record.Answer, Replayed: true})
	default:
		// It was settled without having been dispatched, so that it can be
		// proven as not run by this daemon.
		return c.notRun(VerdictTooLate)
	}
}

// meetUnknown asks the service about an earlier attempt where it can tell.
func (c *Call) meetUnknown(found *Stored) []CallAction {
	if !c.spec.CanLookup || c.replied {
		return c.finish(Reply{Kind: VerdictUnknown, Replayed: true})
	}
	c.phase, c.record, c.lookupOnly = phaseLookingUp, found, true
	return []CallAction{Lookup{AttemptID: found.Record.AttemptID}}
}

// waitForOther reads the row again later: the other attempt stores its outcome
// or is settled.
func (c *Call) waitForOther() []CallAction {
	if c.replied {
		return c.finish(Reply{})
	}
	c.phase = phaseWaiting
	after := c.wait
	c.wait = min(2*c.wait, maxWait)
	return []CallAction{ReadRecord{Key: c.spec.ID.RowKey(), After: after}}
}

// claimFailed refuses the call: it was not dispatched and will not be.
func (c *Call) claimFailed(now time.Time) []CallAction {
	if c.spec.DeduplicatesByKey && !c.replied {
		c.record = nil
		return c.dispatch(now)
	}
	if !c.claimDoubtful {
		return c.finish(Reply{Kind: VerdictStoreUnavailable})
	}
	return append(c.reply(Reply{Kind: VerdictStoreUnavailable}), c.readBack()...)
}

// readBack looks for a claim that may have applied unseen, to free its key.
func (c *Call) readBack() []CallAction {
	c.phase = phaseReadingBack
	c.readBacks++
	after := c.storeDelay
	c.storeDelay = min(2*c.storeDelay, maxStoreDelay)
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
		return c.waitForOther()
	}
	if !e.Exists {
		return c.claim(0, 0)
	}
	found, err := Decode(c.spec.ID, e.Item)
	if err != nil {
		return c.finish(Reply{Kind: VerdictStoreUnavailable})
	}
	return c.meet(now, found)
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
	return c.notRun(VerdictStoreUnavailable)
}

func (c *Call) callerExpired() []CallAction {
	if c.replied || c.phase == phaseEnded {
		return nil
	}
	switch c.phase {
	case phaseNew, phaseClaiming, phaseReadingBack:
		return c.reply(Reply{Kind: VerdictTooLate})
	case phaseWaiting:
		return c.reply(Reply{Kind: VerdictInUse})
	case phaseStoring:
		return c.reply(c.pending)
	default:
		return c.reply(Reply{Kind: VerdictUnknown})
	}
}

// tell answers the caller unless it has its answer.
func (c *Call) reply(t Reply) []CallAction {
	if c.replied {
		return nil
	}
	c.replied = true
	_ = c.reporter.Check(!t.Kind.NotRun() || !c.mayHaveLeft, invariant.NotRunIsTrue,
		"attempt %s may have run and is reported as not run", c.spec.AttemptID)
	return []CallAction{t}
}

// finish answers the caller unless it has its answer, and ends the call.
func (c *Call) finish(t Reply) []CallAction {
	c.phase = phaseEnded
	return append(c.reply(t), End{})
}
