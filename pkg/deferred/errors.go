package deferred

import (
	"fmt"

	"github.com/monsooncrank/monsooncrank/coordination/table"
)

// NotFoundError reports a request that is unknown or whose answer has expired.
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

// DrainIncompleteError reports requests whose partial answers were not saved
// before the end of a drain. They resume from their last saved partial answer.
type DrainIncompleteError struct{ Remaining int }

func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("%d deferred requests remain after the drain", e.Remaining)
}

// WriteNotSentError reports a write that was not sent to the table, for example
// because the rate limit was reached. The write is not applied.
type WriteNotSentError struct{ Reason string }

func (e *WriteNotSentError) Error() string { return "table write not sent: " + e.Reason }

// TakenOverError reports a request that another lease holder has taken over.
type TakenOverError struct{ RequestID string }

func (e *TakenOverError) Error() string { return "deferred request " + e.RequestID + " was taken over" }
