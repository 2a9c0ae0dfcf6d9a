package deferred

import (
	"fmt"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// NotFoundError reports a request that is not known, or whose answer's
// retention has passed.
type NotFoundError struct{ RequestID string }

func (e *NotFoundError) Error() string { return "deferred request " + e.RequestID + " not found" }

// MalformedRowError reports a row that cannot be parsed.
type MalformedRowError struct {
	Key   table.Key
	Cause error
}

func (e *MalformedRowError) Error() string {
	return fmt.Sprintf("row %s is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedRowError) Unwrap() error { return e.Cause }

// DrainIncompleteError reports requests whose partial answers were not saved in
// the time of a drain. They go on from the last saved partial answer.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("%d deferred requests remain after the drain", e.Remaining)
}

// WriteNotSentError reports a write that exceeded its share of the table's
// writes. It was not applied.
type WriteNotSentError struct{ Reason string }

func (e *WriteNotSentError) Error() string { return "table write not sent: " + e.Reason }

// TakenOverError reports a request that another holder has taken over.
type TakenOverError struct{ RequestID string }

func (e *TakenOverError) Error() string {
	return "deferred request " + e.RequestID + " has another holder"
}
