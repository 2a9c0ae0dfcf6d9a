package peer

import (
	"fmt"
	"time"
)

// NotSentError reports a call that was not sent: no byte of it can have reached
// the peer.
type NotSentError struct {
	Address string
	Method  string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("%s to %s not sent: %v", e.Method, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// QueueFullError reports that the limit of pending calls to a peer is reached.
// The call was not sent.
type QueueFullError struct {
	Address string
	Limit   int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d calls already wait for peer %s", e.Limit, e.Address)
}

// TooManyConnectionsError reports that the Pool's connection limit is reached.
type TooManyConnectionsError struct{ Limit int }

func (e *TooManyConnectionsError) Error() string {
	return fmt.Sprintf("%d connections to peers are already open", e.Limit)
}

// TimeoutError reports a call that got no response before its deadline. The peer
// may have run it.
type TimeoutError struct {
	Address string
	Method  string
	After   time.Duration
	// Silent is set when nothing was received on the connection since the start
	// of the call.
	Silent bool
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s to %s has no answer after %v (silent %t)", e.Method, e.Address, e.After, e.Silent)
}

// ConnectionLostError reports a connection that failed during a call. The peer
// may have run the call.
type ConnectionLostError struct {
	Address string
	Method  string
	Cause   error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("connection to %s failed during %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// RemoteError is the error that a peer's handler returned.
type RemoteError struct {
	// Code identifies the failure. It is one of the constants below or a code
	// that the handler defines.
	Code   string
	Detail string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer answered %s: %s", e.Code, e.Detail) }

// Codes of RemoteErrors that this package defines.
const (
	CodeNoHandler = "no-handler"
	CodeFailed    = "failed"
	CodeInvalid   = "invalid"
)

// FrameTooLargeError reports a frame that exceeds the size limit.
type FrameTooLargeError struct {
	Bytes int
	Limit int
	// Outgoing is set when this process tried to send the frame; it was not sent.
	Outgoing bool
}

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, at most %d", e.Bytes, e.Limit)
}

// InvalidFrameError reports a frame that cannot be decoded.
type InvalidFrameError struct {
	Part  string
	Cause error
}

func (e *InvalidFrameError) Error() string {
	return fmt.Sprintf("invalid frame %s: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidFrameError) Unwrap() error { return e.Cause }

// PlaintextListenerError reports a listener without TLS on an address other
// than loopback.
type PlaintextListenerError struct{ Address string }

func (e *PlaintextListenerError) Error() string {
	return "listener on " + e.Address + " needs TLS, a loopback address or the setting that the platform ends TLS"
}

// ClosedError reports a call on a closed Pool.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "peer connections are closed" }
