package streaming

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Begin starts a new stream, or continues one that a peer has handed over.
type Begin struct{}

// Tick makes the machine run its due timers. The driver sends it at the time
// returned by Machine.NextWake.
type Tick struct{}

// Dispatched reports which BackendServer an attempt is sent to. It precedes the
// first byte of the attempt.
type Dispatched struct {
	AttemptID string
	Backend   string
}

// NoBackendAvailable reports that no BackendServer could be chosen for an
// attempt.
type NoBackendAvailable struct{ AttemptID string }

// RetryDenied reports that the retry budget does not allow an attempt.
type RetryDenied struct{ AttemptID string }

// Token is one event of an attempt's response stream: a token, or the finish
// reason at the end.
type Token struct {
	AttemptID    string
	Offset       int
	Text         string
	FinishReason string
}

// FailureKind classifies the failure of an attempt.
type FailureKind int

// The kinds of failure.
const (
	// FailureNotSent means that no byte can have reached the BackendServer.
	FailureNotSent FailureKind = iota
	// FailureRefused means that the BackendServer refused the attempt without
	// running it.
	FailureRefused
	// FailureInvalid means that the request is invalid, so that every
	// BackendServer would refuse it.
	FailureInvalid
	// FailureBroken means that the connection was closed before the end of the
	// answer.
	FailureBroken
	// FailureSilent means that the connection stayed open without progress.
	FailureSilent
	// FailureCrashed means that the connection was closed because the
	// BackendServer crashed.
	FailureCrashed
)

// Failed reports that an attempt failed.
type Failed struct {
	AttemptID string
	Kind      FailureKind
	Detail    string
	// Isolate requires an isolated next attempt (see Dispatch.Isolated).
	// Quarantined forbids further attempts.
	Isolate     bool
	Quarantined bool
}

// ReclaimPlanned reports the planner's choice for the stream when its
// BackendServer is being reclaimed.
type ReclaimPlanned struct {
	Backend  string
	Deadline time.Time
	Choice   ReclaimChoice
	// StartAt is when the migration or resume starts.
	StartAt time.Time
}

// Migrated reports that the KV cache of an attempt was copied to another
// BackendServer.
type Migrated struct {
	AttemptID string
	Backend   string
	Handle    string
}

// MigrationFailed reports that the KV cache of an attempt could not be
// migrated.
type MigrationFailed struct {
	AttemptID string
	Detail    string
}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{}

// DaemonStopped reports that the daemon stops without having handed the stream
// over.
type DaemonStopped struct{}

// HandOverRequested requests that the stream is handed over to a peer.
type HandOverRequested struct{}

// HandOverDone reports that a peer has accepted the stream.
type HandOverDone struct{ Peer string }

// HandOverFailed reports that no peer has accepted the stream.
type HandOverFailed struct{ Detail string }

func (Begin) event()              {}
func (Tick) event()               {}
func (Dispatched) event()         {}
func (NoBackendAvailable) event() {}
func (RetryDenied) event()        {}
func (Token) event()              {}
func (Failed) event()             {}
func (ReclaimPlanned) event()     {}
func (Migrated) event()           {}
func (MigrationFailed) event()    {}
func (CallerGone) event()         {}
func (DaemonStopped) event()      {}
func (HandOverRequested) event()  {}
func (HandOverDone) event()       {}
func (HandOverFailed) event()     {}

// Action is an output of a Machine.
type Action interface{ action() }

// Dispatch starts an attempt.
type Dispatch struct {
	AttemptID string
	// Resume holds the tokens delivered so far. The receiver must not modify
	// them.
	Resume []string
	// Backend is the BackendServer to use. If it is empty, the router chooses
	// one.
	Backend string
	Exclude []string
	// Isolated requires a BackendServer with as little other work as possible,
	// because the request may crash it.
	Isolated bool
	// NewConnection requires a new connection instead of a pooled one.
	NewConnection bool
	KVHandle      string
	// Retry is set if the attempt is charged to the retry budget.
	Retry  bool
	Reason string
}

// Deliver sends the next event of the answer to the caller.
type Deliver struct{ Token api.TokenEvent }

// DropReason is the reason why an event was dropped.
type DropReason string

// The reasons for dropping an event: it belongs to another attempt, was already
// delivered, leaves out tokens, or arrived after the end of the stream.
const (
	DropCrossed  DropReason = "crossed"
	DropRepeated DropReason = "repeated"
	DropGap      DropReason = "gap"
	DropLate     DropReason = "late"
)

// Drop reports that an event was dropped.
type Drop struct{ Reason DropReason }

// Cancel cancels an attempt that the stream no longer uses.
type Cancel struct {
	AttemptID string
	Backend   string
}

// Migrate moves the KV cache of an attempt to another BackendServer.
type Migrate struct {
	AttemptID string
	Backend   string
	Exclude   []string
	Deadline  time.Time
}

// AbandonMigration cancels a migration in progress.
type AbandonMigration struct{ AttemptID string }

// HandOver hands the stream over to a peer.
type HandOver struct{ State State }

// EndKind is the way in which a stream ended.
type EndKind string

// The kinds of end. EndProblem covers every failure that is reported to the
// caller.
const (
	EndFinished   EndKind = "finished"
	EndProblem    EndKind = "problem"
	EndCallerGone EndKind = "caller_gone"
	EndHandedOver EndKind = "handed_over"
)

// End is the last action of a stream.
type End struct {
	Kind    EndKind
	Problem *api.Problem
	Peer    string
}

func (Dispatch) action()         {}
func (Deliver) action()          {}
func (Drop) action()             {}
func (Cancel) action()           {}
func (Migrate) action()          {}
func (AbandonMigration) action() {}
func (HandOver) action()         {}
func (End) action()              {}

// State is the state that another daemon needs to continue a stream.
type State struct {
	Request  api.ChatRequest `cbor:"request"`
	Priority int             `cbor:"priority"`
	// Tokens are the tokens of the answer that were delivered to the caller or
	// are stored for it. The answer continues after them.
	Tokens []string `cbor:"tokens"`
	// MayHaveRun is set if an attempt may have reached a BackendServer.
	MayHaveRun bool `cbor:"may_have_run"`
	// Isolated is set if the next attempt must be isolated (see
	// Dispatch.Isolated).
	Isolated bool `cbor:"isolated"`
	// Remaining is the time left until the deadline at a hand-over. The
	// receiver adds it to its own clock, because the clocks of two hosts may
	// differ.
	Remaining time.Duration `cbor:"remaining"`
}
