// Package revision tracks the highest confirmed configuration revision at a
// daemon: which revision to fetch, to put in force and to announce, which to
// refuse, and whether the daemon may serve.
//
// The Tracker is a pure core. It does no I/O and reads no clock: a driver gives
// it events with their times and carries out the actions it returns.
package revision

import (
	"fmt"
	"time"
)

// Revision names a published configuration. Number 0 means that nothing has
// been published.
type Revision struct {
	Number   uint64
	BodyHash string
}

// String returns the number and the start of the body's hash.
func (r Revision) String() string {
	return fmt.Sprintf("%d (%.8s)", r.Number, r.BodyHash)
}

// Event is something that a driver tells the Tracker.
type Event interface{ isEvent() }

// Tick tells only the time. A driver sends one at least every quarter of
// MaxPause, so that a longer silence means that the process was paused.
type Tick struct{}

// HeadRead is the table's answer with the head row.
type HeadRead struct {
	Head Revision
	// RequestedAt is when the read was sent. The head may have moved since.
	RequestedAt time.Time
}

// TableFailed reports that the table gave no answer.
type TableFailed struct{ RequestedAt time.Time }

// PeerReported is a revision that a peer has confirmed, announced or answered.
type PeerReported struct {
	Peer     string
	Revision Revision
}

// PeersAnswered ends a round in which all known peers were asked what they have
// confirmed. The words of the round come before it as PeerReported events.
type PeersAnswered struct {
	RequestedAt time.Time
	// Confirmed counts the peers that answered and have confirmed a revision.
	Confirmed int
}

// BodyReady reports that a body was fetched, verified and decoded.
type BodyReady struct{ Revision Revision }

// BodyFailed reports that a body could not be fetched.
type BodyFailed struct{ Revision Revision }

func (Tick) isEvent()          {}
func (HeadRead) isEvent()      {}
func (TableFailed) isEvent()   {}
func (PeerReported) isEvent()  {}
func (PeersAnswered) isEvent() {}
func (BodyReady) isEvent()     {}
func (BodyFailed) isEvent()    {}

// Action is something that the driver has to do.
type Action interface{ isAction() }

// ReadHead asks the driver to read the table's head row at once.
type ReadHead struct{}

// QueryPeers asks the driver for a round of all peers.
type QueryPeers struct{}

// FetchBody asks for the body of a revision.
type FetchBody struct{ Revision Revision }

// PutInForce puts a revision in force whose body is ready.
type PutInForce struct{ Revision Revision }

// Announce tells the peers of a confirmed revision.
type Announce struct{ Revision Revision }

// RefuseLower reports a revision that was refused for being lower than the one
// known.
type RefuseLower struct {
	Offered Revision
	Known   Revision
	// Peer is empty if the table offered the revision.
	Peer string
}

// StopServing stops new work until StartServing.
type StopServing struct{ Reason StopReason }

// StartServing allows work under the revision in force.
type StartServing struct{ Revision Revision }

func (ReadHead) isAction()     {}
func (QueryPeers) isAction()   {}
func (FetchBody) isAction()    {}
func (PutInForce) isAction()   {}
func (Announce) isAction()     {}
func (RefuseLower) isAction()  {}
func (StopServing) isAction()  {}
func (StartServing) isAction() {}

// StopReason says why a daemon serves nothing.
type StopReason string

// The reasons to serve nothing.
const (
	// StopStarted holds from the start until the first confirmation.
	StopStarted StopReason = "started"
	// StopPaused holds from a pause until the next confirmation.
	StopPaused StopReason = "paused"
	// StopBodyMissing holds while the confirmed revision's body is fetched.
	StopBodyMissing StopReason = "body missing"
	// StopNothingPublished holds while the table has no head row.
	StopNothingPublished StopReason = "nothing published"
)

// NotConfirmedError reports that no confirmed revision is in force.
type NotConfirmedError struct {
	Reason StopReason
	// Known is the highest revision known, Number 0 if there is none.
	Known Revision
}

func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("no confirmed configuration in force (%s), highest known revision %d", e.Reason, e.Known.Number)
}
