package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

const columnPadding = 2

// Print prints a result: value as JSON if JSON output is selected, otherwise
// whatever text prints.
func (a *App) Print(value any, text func()) error {
	if a.output != outputJSON {
		text()
		return nil
	}
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(value))
}

// Table prints rows in aligned columns below a header.
func (a *App) Table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.Out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// shortHash returns the first 12 characters of a hash, enough to distinguish
// hashes in output for people.
func shortHash(hash string) string { return fmt.Sprintf("%.12s", hash) }
