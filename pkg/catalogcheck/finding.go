// Package catalogcheck looks for mistakes in a configuration before it is sent: errors,
// entries that never match, limits that contradict each other, and what changes for callers
// against the version in force. It does no I/O.
package catalogcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is how much a finding matters.
type Severity string

// Severities, the gravest first.
const (
	// SeverityError is a mistake: the configuration does not do what it states.
	SeverityError Severity = "error"
	// SeverityWarning is an entry without effect or one that contradicts another.
	SeverityWarning Severity = "warning"
	// SeverityChange is a difference from the version in force.
	SeverityChange Severity = "change"
)

// Finding is one thing that an operator should know before sending the configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Where names the entry, such as "route checkout".
	Where string `json:"where"`
	What  string `json:"what"`
	// Advice says what to do about it; it is empty for changes.
	Advice string `json:"advice,omitempty"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	line := fmt.Sprintf("%s: %s: %s", f.Severity, f.Where, f.What)
	if f.Advice != "" {
		line += "; " + f.Advice
	}
	return line
}

// findings collects what is found.
type findings []Finding

func (f *findings) add(severity Severity, where, what, advice string) {
	*f = append(*f, Finding{Severity: severity, Where: where, What: what, Advice: advice})
}

var severityOrder = map[Severity]int{SeverityError: 0, SeverityWarning: 1, SeverityChange: 2}

// sorted sorts the findings as Sorted does.
func (f findings) sorted() []Finding { return Sorted(f) }

// Sorted sorts findings with the gravest first, in an order that does not depend on that of
// maps, and returns them.
func Sorted(list []Finding) []Finding {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(severityOrder[a.Severity], severityOrder[b.Severity]), cmp.Compare(a.Where, b.Where), cmp.Compare(a.What, b.What))
	})
	return list
}

// UndecodableError reports that the configuration in force was read but cannot be decoded.
type UndecodableError struct{ Cause error }

func (e *UndecodableError) Error() string {
	return fmt.Sprintf("the configuration in force cannot be decoded: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UndecodableError) Unwrap() error { return e.Cause }
