// Package faultmatrix runs a test for every fault at every step of an operation
// and prints the results as a table.
package faultmatrix

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"text/tabwriter"
)

// Cell is the entry for one fault at one step: a test, or the reason why the fault
// cannot occur at that step.
type Cell struct {
	Run           func(t *testing.T)
	NotApplicable string
}

// Matrix is a table of faults and steps.
type Matrix struct {
	Name   string
	Faults []string
	Steps  []string
	// Cell returns the cell of a fault at a step. A cell with neither a test
	// nor a reason is a test failure.
	Cell func(fault, step string) Cell
}

// Run runs all cells as subtests and prints the table to out. A cell is printed
// as "passed", "FAILED", "MISSING" without a test and a reason, or "-" with the
// number of its reason in the list below the table.
func (m *Matrix) Run(t *testing.T, out io.Writer) {
	t.Helper()
	var reasons []string
	table := &strings.Builder{}
	w := tabwriter.NewWriter(table, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\t%s\n", m.Name, strings.Join(m.Steps, "\t"))
	for _, fault := range m.Faults {
		row := make([]string, 0, len(m.Steps))
		for _, step := range m.Steps {
			row = append(row, m.runCell(t, fault, step, &reasons))
		}
		fmt.Fprintf(w, "%s\t%s\n", fault, strings.Join(row, "\t"))
	}
	w.Flush()
	fmt.Fprint(out, table.String())
	for i, reason := range reasons {
		fmt.Fprintf(out, "  -%d: %s\n", i+1, reason)
	}
}

func (m *Matrix) runCell(t *testing.T, fault, step string, reasons *[]string) string {
	cell := m.Cell(fault, step)
	if cell.Run == nil && cell.NotApplicable == "" {
		t.Errorf("%s: no test and no reason for %s at %s", m.Name, fault, step)
		return "MISSING"
	}
	if cell.Run == nil {
		return fmt.Sprintf("-%d", reasonNumber(cell.NotApplicable, reasons))
	}
	if t.Run(fault+"/"+step, cell.Run) {
		return "passed"
	}
	return "FAILED"
}

func reasonNumber(reason string, reasons *[]string) int {
	for i, known := range *reasons {
		if known == reason {
			return i + 1
		}
	}
	*reasons = append(*reasons, reason)
	return len(*reasons)
}
