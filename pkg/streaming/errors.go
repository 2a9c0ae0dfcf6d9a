package streaming

import "fmt"

// CallerGoneError reports that the caller has closed its connection, so that no
// answer can be sent.
type CallerGoneError struct {
	RequestID string
	Cause     error
}

func (e *CallerGoneError) Error() string {
	return fmt.Sprintf("caller of request %s disconnected: %v", e.RequestID, e.Cause)
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// HandedOverError reports that a peer continues the stream. The caller's
// connection is closed without a final event, and the caller re-attaches with
// the ID of the last event that it received.
type HandedOverError struct {
	RequestID string
	Peer      string
}

func (e *HandedOverError) Error() string {
	return fmt.Sprintf("request %s was handed over to %s", e.RequestID, e.Peer)
}

// CancelledError is the cancellation cause of an attempt that its stream no
// longer uses.
type CancelledError struct{ AttemptID string }

func (e *CancelledError) Error() string { return "attempt " + e.AttemptID + " was cancelled" }

// DuplicateRequestError reports that the request ID is already in use.
type DuplicateRequestError struct{ RequestID string }

func (e *DuplicateRequestError) Error() string {
	return "request " + e.RequestID + " is already running"
}

// DrainIncompleteError reports how many streams had neither ended nor been
// handed over at the deadline of a drain.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("%d streams remain after the drain", e.Remaining)
}

// NoPeerError reports that there is no peer to which a stream can be handed
// over.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "no peer is configured" }
