package command

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// UnreachableError reports that a daemon sent no response.
type UnreachableError struct {
	Address string
	// NotSent is set if the daemon cannot have received the request.
	NotSent bool
	Cause   error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("daemon %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostResponseError reports a publish whose response was lost and which was not
// found in the history either, so that its outcome is unknown.
type LostResponseError struct {
	PublishID string
	Cause     error
}

func (e *LostResponseError) Error() string {
	return fmt.Sprintf("publish %s may have taken effect: %v; repeat it with --publish-id %s", e.PublishID, e.Cause, e.PublishID)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }

// InvalidResponseError reports a response that cannot be decoded.
type InvalidResponseError struct {
	Address string
	Status  int
	Body    string
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("unexpected response from daemon %s (status %d): %.200s", e.Address, e.Status, e.Body)
}

// CAFileError reports a CA file that cannot be read or contains no certificate.
type CAFileError struct {
	File  string
	Cause error
}

func (e *CAFileError) Error() string {
	if e.Cause == nil {
		return e.File + " contains no certificate"
	}
	return fmt.Sprintf("cannot read CA file: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *CAFileError) Unwrap() error { return e.Cause }

// PartialError combines the errors of several daemons in a command that calls
// all of them.
type PartialError struct{ Causes []error }

func (e *PartialError) Error() string {
	parts := make([]string, 0, len(e.Causes))
	for _, cause := range e.Causes {
		parts = append(parts, cause.Error())
	}
	return strings.Join(parts, "; ")
}

// Unwrap returns the causes.
func (e *PartialError) Unwrap() []error { return e.Causes }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *UsageError
	var unreachable *UnreachableError
	var lostResponse *LostResponseError
	var problem *operatorapi.Problem
	var store *StoreError
	switch {
	case errors.As(err, &store):
		return ExitUnreachable
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &lostResponse):
		return ExitUndetermined
	case errors.As(err, &problem) && problem.Type == operatorapi.ProblemConflict:
		return ExitConflict
	case errors.As(err, &problem) && problem.Type == operatorapi.ProblemUndetermined:
		return ExitUndetermined
	case errors.As(err, &unreachable):
		return ExitUnreachable
	}
	return ExitFailed
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string           `json:"error"`
	ExitCode int              `json:"exit_code"`
	Findings []config.Finding `json:"findings,omitempty"`
}

// report prints an error. Findings are printed one per line without a prefix so
// that editors and scripts can parse them.
func (a *App) report(err error) {
	findings := findingsOf(err)
	if a.output == outputJSON {
		report := errorReport{Error: errors.Cause(err).Error(), ExitCode: exitCode(err), Findings: findings}
		_ = json.NewEncoder(a.Err).Encode(report)
		return
	}
	for _, f := range findings {
		fmt.Fprintln(a.Err, f)
	}
	if len(findings) == 0 {
		fmt.Fprintf(a.Err, "monsooncrank: %v\n", err)
	}
}

// findingsOf returns the configuration errors that err contains.
func findingsOf(err error) []config.Finding {
	var invalid *config.InvalidError
	var problem *operatorapi.Problem
	switch {
	case errors.As(err, &invalid):
		return invalid.Findings
	case errors.As(err, &problem):
		return problem.Findings
	}
	return nil
}
