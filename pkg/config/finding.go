package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Rule identifies the rule that a finding violates.
type Rule string

// The rules that a configuration must satisfy.
const (
	RuleSyntax            Rule = "syntax"
	RuleUnknownField      Rule = "unknown-field"
	RuleUnknownKind       Rule = "unknown-kind"
	RuleDuplicateField    Rule = "duplicate-field"
	RuleWrongType         Rule = "wrong-type"
	RuleDuplicateName     Rule = "duplicate-name"
	RuleBadName           Rule = "bad-name"
	RuleBadValue          Rule = "bad-value"
	RuleDanglingReference Rule = "dangling-reference"
	RuleCycle             Rule = "cycle"
	RuleUnmeetableLimit   Rule = "unmeetable-limit"
	RuleBadKeyHash        Rule = "bad-key-hash"
	RuleModelNotServed    Rule = "model-not-served"
)

// Finding is one mistake in a configuration.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line is the line number from 1, or 0 for an object that comes from no
	// file.
	Line   int    `json:"line,omitempty"`
	Object string `json:"object"`
	Rule   Rule   `json:"rule"`
	Reason string `json:"reason"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.File == "" {
		return f.Object + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Object, f.Reason)
}

// InvalidError reports all findings of a configuration, sorted by file and line.
type InvalidError struct{ Findings []Finding }

// Error returns the findings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// UnreadableFileError reports a file that cannot be read.
type UnreadableFileError struct {
	File  string
	Cause error
}

func (e *UnreadableFileError) Error() string {
	return fmt.Sprintf("%s cannot be read: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableFileError) Unwrap() error { return e.Cause }

// BodyHashError reports a body whose SHA-256 hash is not the expected one.
type BodyHashError struct{ Want, Got string }

func (e *BodyHashError) Error() string {
	return fmt.Sprintf("configuration body has SHA-256 %s, expected %s", e.Got, e.Want)
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Object, b.Object), cmp.Compare(a.Reason, b.Reason))
	})
}

// findingsError returns an InvalidError with the findings, or nil if there are
// none.
func findingsError(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	sortFindings(findings)
	return &InvalidError{Findings: findings}
}
