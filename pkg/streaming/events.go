package streaming

import (
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Begin starts a stream, or continues one that a peer has handed over.
type Begin struct{}

// Tick tells the time; a driver sends it at Machine.NextWake.
type Tick struct{}

// Dispatched says which BackendServer an attempt goes to. It precedes the
// first byte of the attempt.
type Dispatched struct {
	AttemptID string
	Backend   string
}

// NoBackendAvailable says that no BackendServer could be chosen for an attempt.
type NoBackendAvailable struct{ AttemptID string }

// RetryDenied says that the retry budget refused an attempt.
type RetryDenied struct{ AttemptID string }

// Token is one event of an attempt's stream.
type Token struct {
	AttemptID    string
	Offset       int
	Text         string
	FinishReason string
}

// FailureKind says how an attempt failed.
type FailureKind int

// The kinds of failure.
const (
	// FailureNotSent means that no byte can have reached the BackendServer.
	FailureNotSent FailureKind = iota
	// FailureRefused is the BackendServer's definite refusal.
	FailureRefused
	// FailureInvalid is a refusal that every BackendServer would give.
	FailureInvalid
	// FailureBroken is a connection that ended early.
	FailureBroken
	// FailureSilent is a connection that stayed open without progress.
	FailureSilent
	// FailureCrashed is a connection that ended with its BackendServer.
	FailureCrashed
)

// Failed says that an attempt failed.
type Failed struct {
	AttemptID string
	Kind      FailureKind
	Detail    string
	// Isolate asks for the next attempt to run alone, and Quarantined for none.
	Isolate     bool
	Quarantined bool
}

// ReclaimPlanned says what to do about the reclaim of a BackendServer.
type ReclaimPlanned struct {
	Backend  string
	Deadline time.Time
	Choice   ReclaimChoice
	// At is when a migration or resume starts.
	StartAt time.Time
}

// Migrated says that the KV cache of an attempt is on another BackendServer.
type Migrated struct {
	AttemptID string
	Backend   string
	Handle    string
}

// MigrationFailed says that the KV cache of an attempt could not be moved.
type MigrationFailed struct {
	AttemptID string
	Detail    string
}

// CallerGone says that the caller has closed its connection.
type CallerGone struct{}

// Stopped says that the daemon ends without having handed the stream over.
type DaemonStopped struct{}

// HandOverRequested asks for the stream to be handed to a peer.
type HandOverRequested struct{}

// HandOverDone says that a peer has accepted the stream.
type HandOverDone struct{ Peer string }

// HandOverFailed says that no peer has accepted the stream.
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

// Dispatch asks for an attempt to be started.
type Dispatch struct {
	AttemptID string
	// Resume are the tokens delivered so far; the receiver must not change them.
	Resume []string
	// Backend is the BackendServer to use; empty leaves the choice to routing.
	Backend string
	Exclude []string
	// Isolated asks for a BackendServer with the least to lose.
	Isolated bool
	// Fresh asks for a new connection.
	NewConnection bool
	KVHandle      string
	// Retry is set when the retry budget pays for the attempt.
	Retry  bool
	Reason string
}

// Deliver hands the caller the next event of its answer.
type Deliver struct{ Token api.TokenEvent }

// DropReason says why an event was dropped.
type DropReason string

// The reasons to drop an event.
const (
	DropCrossed  DropReason = "crossed"
	DropRepeated DropReason = "repeated"
	DropGap      DropReason = "gap"
	DropLate     DropReason = "late"
)

// Drop says that an event was dropped.
type Drop struct{ Reason DropReason }

// Cancel asks for an attempt that was left behind to be cancelled.
type Cancel struct {
	AttemptID string
	Backend   string
}

// Migrate asks for the KV cache of an attempt to be moved.
type Migrate struct {
	AttemptID string
	Backend   string
	Exclude   []string
	Deadline  time.Time
}

// AbandonMigration stops a migration under way.
type AbandonMigration struct{ AttemptID string }

// HandOver asks for the stream to be handed to a peer.
type HandOver struct{ State State }

// EndKind says how a stream ended.
type EndKind string

// The ends of a stream.
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

// State is what another daemon needs to continue a stream.
type State struct {
	Request  api.ChatRequest `cbor:"request"`
	Priority int             `cbor:"priority"`
	// Tokens were delivered to the caller, or are as good as delivered.
	Tokens []string `cbor:"tokens"`
	// MayHaveRun says whether an attempt may have reached a BackendServer.
	MayHaveRun bool `cbor:"may_have_run"`
	// Isolated says whether the next attempt must run alone.
	Isolated bool `cbor:"isolated"`
	// Remaining is the time left to the deadline at a hand-over. The clocks of
	// two hosts may differ, so that the receiver counts from its own.
	Remaining time.Duration `cbor:"remaining"`
}
