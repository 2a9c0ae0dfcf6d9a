package idempotency

import (
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// Spec describes one attempt of a once-only call.
type Spec struct {
	ID        ID
	Digest    string
	AttemptID string
	Revision  uint64
	Daemon    string
	Service   string
	Call      string
	// Keyless marks a call without an idempotency key. It is dispatched once,
	// without a claim, and never retried.
	Keyless bool
	// CanLookup is set if the service can report the result of an earlier
	// attempt.
	CanLookup bool
	// DeduplicatesByKey allows the call to proceed without a claim while the
	// table is unavailable, since the service itself runs each key at most
	// once.
	DeduplicatesByKey bool
	// DispatchBy is the time from which the call may no longer be dispatched.
	// It is checked after the claim was written, so that a pause of the process
	// in between cannot lead to a late dispatch.
	DispatchBy time.Time
	// SettleAfter is how long after the claim its owner may still act on it.
	// It is longer than the time to DispatchBy plus the call's timeout.
	SettleAfter time.Duration
}

// CallEvent is an input event of a Call.
type CallEvent interface{ callEvent() }

// Started starts the call.
type Started struct{}

// Committed reports the result of a WriteRecord.
type Committed struct{ Result Result }

// RowRead reports the result of a ReadRecord.
type RowRead struct {
	Item   table.Item
	Exists bool
	// Failed is set when the row could not be read.
	Failed bool
}

// DispatchKind is the kind of result of a dispatch or look-up.
type DispatchKind int

// The results of a dispatch or look-up.
const (
	// DispatchAnswered means that the service answered.
	DispatchAnswered DispatchKind = iota + 1
	// DispatchNotSent means that no byte was sent to any server.
	DispatchNotSent
	// DispatchRefused means that the service stated definitely that the attempt
	// did not run and will not run.
	DispatchRefused
	// DispatchBroken means that no result was received and the call may have
	// run.
	DispatchBroken
	// LookupNoRecord means that the service has no record of the attempt, whose
	// request may still be in flight.
	LookupNoRecord
)

// Dispatched reports the result of a Dispatch.
type Dispatched struct {
	Kind   DispatchKind
	Answer []byte
}

// LookedUp reports the result of a Lookup.
type LookedUp struct {
	Kind   DispatchKind
	Answer []byte
}

// CallerTimedOut reports that the caller's deadline has passed.
type CallerTimedOut struct{}

func (Started) callEvent()        {}
func (Committed) callEvent()      {}
func (RowRead) callEvent()        {}
func (Dispatched) callEvent()     {}
func (LookedUp) callEvent()       {}
func (CallerTimedOut) callEvent() {}

// CallAction is an action that a Call requests.
type CallAction interface{ callAction() }

// WriteRecord requests a commit of writes after a delay, answered by Committed.
type WriteRecord struct {
	Writes []table.Write
	After  time.Duration
	// Claim is set for the write of a claim, which may be rejected without a
	// request while the table is known to be unavailable. The write of an
	// outcome is always attempted.
	Claim bool
}

// ReadRecord requests a read of the row after a delay, answered by RowRead.
type ReadRecord struct {
	Key   table.Key
	After time.Duration
}

// Dispatch requests that the call be sent once, answered by Dispatched. Servers
// that cannot be dialled may be skipped for the next one; after any other failure
// the call must not be sent again.
type Dispatch struct{ AttemptID string }

// Lookup requests the result of an attempt from the service over a new
// connection, after a delay, answered by LookedUp.
type Lookup struct {
	AttemptID string
	After     time.Duration
}

// ReplyKind is the kind of answer that the caller gets.
type ReplyKind int

// The kinds of replies.
const (
	// ReplyDone means that the call ran; the reply carries its whole answer.
	ReplyDone ReplyKind = iota + 1
	// ReplyUnknown means that the call may have run.
	ReplyUnknown
	// ReplyConflict means that the key was used before with another body.
	ReplyConflict
	// ReplyInUse means that another attempt under the key is in progress.
	ReplyInUse
	// ReplyStoreUnavailable means that the call did not run, because its claim
	// could not be written.
	ReplyStoreUnavailable
	// ReplyNotReached means that the call did not run, because no server could
	// be dialled.
	ReplyNotReached
	// ReplyRefused means that the call did not run, because the service refused
	// it definitely.
	ReplyRefused
	// ReplyTooLate means that the call did not run, because the time to
	// dispatch it had passed.
	ReplyTooLate
)

// NotRun reports whether the reply states that the call did not run.
func (k ReplyKind) NotRun() bool {
	switch k {
	case ReplyStoreUnavailable, ReplyNotReached, ReplyRefused, ReplyTooLate:
		return true
	default:
		return false
	}
}

// String returns the name of the kind for logs and test reports.
func (k ReplyKind) String() string {
	names := [...]string{
		ReplyDone:             "done",
		ReplyUnknown:          "unknown",
		ReplyConflict:         "conflict",
		ReplyInUse:            "in use",
		ReplyStoreUnavailable: "not run: store unavailable",
		ReplyNotReached:       "not run: not reached",
		ReplyRefused:          "not run: refused",
		ReplyTooLate:          "not run: too late",
	}
	if k < ReplyDone || int(k) >= len(names) {
		return "no verdict"
	}
	return names[k]
}

// Reply answers the caller. There is exactly one for each call.
type Reply struct {
	Kind   ReplyKind
	Answer []byte
	// Replayed is set when the reply repeats the outcome of an earlier call.
	Replayed bool
}

// End reports that the call has no work left.
type End struct{}

func (WriteRecord) callAction() {}
func (ReadRecord) callAction()  {}
func (Dispatch) callAction()    {}
func (Lookup) callAction()      {}
func (Reply) callAction()       {}
func (End) callAction()         {}
