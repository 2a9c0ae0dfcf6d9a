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
	// Keyless marks a call without a key: one dispatch, no claim, no repeat.
	Keyless bool
	// CanLookup says that the service tells what became of an attempt.
	CanLookup bool
	// DeduplicatesByKey lets the call go on without a claim while the table is
	// down, since the service itself runs a key at most once.
	DeduplicatesByKey bool
	// DispatchBy is when the call may no longer be dispatched. It is checked
	// after the claim, so that a pause in between cannot lead to a late
	// dispatch.
	DispatchBy time.Time
	// SettleAfter is how long after the claim the owner may still act; it is
	// longer than the time to DispatchBy plus the call's timeout.
	SettleAfter time.Duration
}

// CallEvent is an input of a Call.
type CallEvent interface{ callEvent() }

// Started begins the call.
type Started struct{}

// Committed is the end of a WriteRecord.
type Committed struct{ Result Result }

// RowRead is the end of a ReadRecord.
type RowRead struct {
	Item   table.Item
	Exists bool
	// Failed is set when the row could not be read.
	Failed bool
}

// DispatchKind says how a dispatch or look-up ended.
type DispatchKind int

// The ends of a dispatch or look-up.
const (
	// DispatchAnswered has the service's answer.
	DispatchAnswered DispatchKind = iota + 1
	// DispatchNotSent means that no byte has left to any server.
	DispatchNotSent
	// DispatchRefused is the service's definite statement that the attempt
	// did not run and will not run.
	DispatchRefused
	// DispatchBroken means that the call may have run.
	DispatchBroken
	// LookupNoRecord means that the service knows nothing of the attempt,
	// which may still be on its way.
	LookupNoRecord
)

// Dispatched is the end of a Dispatch.
type Dispatched struct {
	Kind   DispatchKind
	Answer []byte
}

// LookedUp is the end of a Lookup.
type LookedUp struct {
	Kind   DispatchKind
	Answer []byte
}

// CallerTimedOut says that the caller's deadline has passed.
type CallerTimedOut struct{}

func (Started) callEvent()        {}
func (Committed) callEvent()      {}
func (RowRead) callEvent()        {}
func (Dispatched) callEvent()     {}
func (LookedUp) callEvent()       {}
func (CallerTimedOut) callEvent() {}

// CallAction is an output of a Call.
type CallAction interface{ callAction() }

// WriteRecord asks to commit writes after a delay; the answer is Committed.
type WriteRecord struct {
	Writes []table.Write
	After  time.Duration
	// Claim is set for a claim, which may be refused without trying while the
	// table is known to be down. An outcome is always tried.
	Claim bool
}

// ReadRecord asks to read the row after a delay; the answer is RowRead.
type ReadRecord struct {
	Key   table.Key
	After time.Duration
}

// Dispatch asks to send the call once; the answer is Dispatched. Servers that
// cannot be dialled may be passed over, nothing else may be tried twice.
type Dispatch struct{ AttemptID string }

// Lookup asks the service on a new connection what became of an attempt; the
// answer is LookedUp.
type Lookup struct {
	AttemptID string
	After     time.Duration
}

// ReplyKind says what the caller is told.
type ReplyKind int

// The verdicts.
const (
	// ReplyDone has the whole answer.
	ReplyDone ReplyKind = iota + 1
	// ReplyUnknown means that the call may have run.
	ReplyUnknown
	// ReplyConflict means that the key was used with another body.
	ReplyConflict
	// ReplyInUse means that another attempt under the key is in progress.
	ReplyInUse
	// ReplyStoreUnavailable means not run: the claim could not be written.
	ReplyStoreUnavailable
	// ReplyNotReached means not run: no server could be dialled.
	ReplyNotReached
	// ReplyRefused means not run: the service refused definitely.
	ReplyRefused
	// ReplyTooLate means not run: the time for dispatch had passed.
	ReplyTooLate
)

// NotRun reports whether the verdict says that the call did not run.
func (k ReplyKind) NotRun() bool {
	switch k {
	case ReplyStoreUnavailable, ReplyNotReached, ReplyRefused, ReplyTooLate:
		return true
	default:
		return false
	}
}

// String names the verdict in logs and reports.
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

// Reply gives the caller its only answer.
type Reply struct {
	Kind   ReplyKind
	Answer []byte
	// Replayed is set when an earlier call stored the answer.
	Replayed bool
}

// End says that the call needs nothing more.
type End struct{}

func (WriteRecord) callAction() {}
func (ReadRecord) callAction()  {}
func (Dispatch) callAction()    {}
func (Lookup) callAction()      {}
func (Reply) callAction()       {}
func (End) callAction()         {}
