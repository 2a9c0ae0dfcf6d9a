// Package revision tracks the highest confirmed configuration revision of a
// daemon. It decides which revision to fetch, put in force, announce or refuse,
// and whether the daemon may serve requests.
//
// The Tracker does no I/O and reads no clock: a driver passes events with their
// times to it and executes the returned actions.
package revision

import (
	"fmt"
	"time"
)

// Revision identifies a published configuration. Number 0 means that nothing has
// been published.
type Revision struct {
	Number   uint64
	BodyHash string
}

// String returns the number and the first 8 characters of the body hash.
func (r Revision) String() string {
	return fmt.Sprintf("%d (%.8s)", r.Number, r.BodyHash)
}

// Event is an input of the Tracker.
type Event interface{ isEvent() }

// Tick only advances the time. A driver sends it at least every quarter of
// MaxPause, so that a gap longer than MaxPause means that the process was paused.
type Tick struct{}

// HeadRead is the result of a read of the head row of the table.
type HeadRead struct {
	Head Revision
	// RequestedAt is when the read was sent. The head may have changed since then.
	RequestedAt time.Time
}

// TableFailed reports that a read of the table failed.
type TableFailed struct{ RequestedAt time.Time }

// PeerReported is a revision that a peer has confirmed, announced or returned in an
// answer.
type PeerReported struct {
	Peer     string
	Revision Revision
}

// PeersAnswered ends a query of all known peers for their confirmed revisions. The
// answers to the query are passed before it as PeerReported events.
type PeersAnswered struct {
	RequestedAt time.Time
	// Confirmed is the number of peers that returned a confirmed revision.
	Confirmed int
}

// BodyReady reports that the body of a revision was fetched, verified and decoded.
type BodyReady struct{ Revision Revision }

// BodyFailed reports that the body of a revision could not be fetched.
type BodyFailed struct{ Revision Revision }

func (Tick) isEvent()          {}
func (HeadRead) isEvent()      {}
func (TableFailed) isEvent()   {}
func (PeerReported) isEvent()  {}
func (PeersAnswered) isEvent() {}
func (BodyReady) isEvent()     {}
func (BodyFailed) isEvent()    {}

// Action is an operation that the driver must execute.
type Action interface{ isAction() }

// ReadHead makes the driver read the head row of the table at once.
type ReadHead struct{}

// QueryPeers makes the driver query all known peers for their confirmed revisions.
type QueryPeers struct{}

// FetchBody makes the driver fetch the body of a revision.
type FetchBody struct{ Revision Revision }

// PutInForce puts a revision whose body is ready in force.
type PutInForce struct{ Revision Revision }

// Announce announces a confirmed revision to the peers.
type Announce struct{ Revision Revision }

// RefuseLower reports a revision that was refused because it is lower than the
// highest known one.
type RefuseLower struct {
	Offered Revision
	Known   Revision
	// Peer is empty if the revision came from the table.
	Peer string
}

// StopServing makes the driver reject new work until StartServing.
type StopServing struct{ Reason StopReason }

// StartServing allows new work under the revision in force.
type StartServing struct{ Revision Revision }

func (ReadHead) isAction()     {}
func (QueryPeers) isAction()   {}
func (FetchBody) isAction()    {}
func (PutInForce) isAction()   {}
func (Announce) isAction()     {}
func (RefuseLower) isAction()  {}
func (StopServing) isAction()  {}
func (StartServing) isAction() {}

// StopReason is the reason why a daemon serves no requests.
type StopReason string

// Reasons to serve no requests.
const (
	// StopStarted applies from the start until the first confirmation.
	StopStarted StopReason = "started"
	// StopPaused applies from a pause until the next confirmation.
	StopPaused StopReason = "paused"
	// StopBodyMissing applies while the body of the confirmed revision is fetched.
	StopBodyMissing StopReason = "body missing"
	// StopNothingPublished applies while the table has no head row.
	StopNothingPublished StopReason = "nothing published"
)

// NotConfirmedError is returned when no confirmed revision is in force.
type NotConfirmedError struct {
	Reason StopReason
	// Known is the highest known revision; its Number is 0 if there is none.
	Known Revision
}

func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("no confirmed configuration in force (%s), highest known revision %d", e.Reason, e.Known.Number)
}
