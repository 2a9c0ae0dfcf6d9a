package streaming

import "fmt"

// CallerGoneError reports a caller that has closed its connection. No answer
// can be given.
type CallerGoneError struct {
	RequestID string
	Cause     error
}

func (e *CallerGoneError) Error() string {
	return fmt.Sprintf("caller of request %s has gone: %v", e.RequestID, e.Cause)
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// HandedOverError reports a stream that a peer continues. The caller's
// connection is closed without a last event, and the caller re-attaches with
// the ID of the last event it has received.
type HandedOverError struct {
	RequestID string
	Peer      string
}

func (e *HandedOverError) Error() string {
	return fmt.Sprintf("request %s was handed over to %s", e.RequestID, e.Peer)
}

// CancelledError is the reason of an attempt that was left behind.
type CancelledError struct{ AttemptID string }

func (e *CancelledError) Error() string { return "attempt " + e.AttemptID + " was left behind" }

// DuplicateRequestError reports a request ID that is already in use.
type DuplicateRequestError struct{ RequestID string }

func (e *DuplicateRequestError) Error() string {
	return "request " + e.RequestID + " is already running"
}

// DrainIncompleteError reports streams that neither ended nor were handed over
// in the time of a drain.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("%d streams remain after the drain", e.Remaining)
}

// NoPeerError reports that there is no peer to hand a stream to.
type NoPeerError struct{}

func (e *NoPeerError) Error() string { return "no peer is configured" }
