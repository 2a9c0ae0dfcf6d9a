package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/olekukonko/tablewriter"
)

// Report is the result of a run.
type Report struct {
	Counts
	// RevertedConfigurations counts how often the revision in force at a daemon
	// was lower than at an earlier check.
	RevertedConfigurations  int     `json:"reverted_configurations"`
	P95FirstTokenSeconds    float64 `json:"p95_first_token_seconds"`
	P95BetweenTokensSeconds float64 `json:"p95_between_tokens_seconds"`
	// Cost is the price of all Hosts over the run in the currency of the
	// configuration.
	Cost             float64           `json:"cost"`
	RecomputedTokens int               `json:"recomputed_tokens"`
	Seed             uint64            `json:"seed"`
	DurationSeconds  float64           `json:"duration_seconds"`
	PublishSeconds   float64           `json:"publish_in_force_seconds"`
	Operators        map[string]Counts `json:"operators"`
	Findings         []string          `json:"findings"`
}

// Failed reports whether the run violated a guarantee: no request is lost or
// doubled, no outcome is reported falsely, no configuration is reverted.
func (r *Report) Failed() bool {
	return r.Lost != 0 || r.Doubled != 0 || r.FalseReports != 0 || r.RevertedConfigurations != 0
}

// GuaranteeViolationError reports a run that violated a guarantee.
type GuaranteeViolationError struct{ Report *Report }

func (e *GuaranteeViolationError) Error() string {
	return fmt.Sprintf("lost %d, doubled %d, false reports %d, reverted configurations %d",
		e.Report.Lost, e.Report.Doubled, e.Report.FalseReports, e.Report.RevertedConfigurations)
}

// print prints the report as a table or as JSON.
func (r *Report) print(out io.Writer, asJSON bool) error {
	if !asJSON {
		return r.write(out)
	}
	body, err := r.encode()
	if err != nil {
		return errors.Trace(err)
	}
	_, err = out.Write(body)
	return errors.Trace(err)
}

// encode returns the report as indented JSON.
func (r *Report) encode() ([]byte, error) {
	body, err := json.MarshalIndent(r, "", "  ")
	return append(body, '\n'), errors.Trace(err)
}

// write prints the report as a table, followed by the findings.
func (r *Report) write(out io.Writer) error {
	rows := tablewriter.NewWriter(out)
	rows.Header("result", "value")
	for _, row := range [][2]string{
		{"accepted", fmt.Sprint(r.Accepted)},
		{"answered", fmt.Sprint(r.Answered)},
		{"not run", fmt.Sprint(r.NotRun)},
		{"unknown", fmt.Sprint(r.Unknown)},
		{"lost", fmt.Sprint(r.Lost)},
		{"doubled", fmt.Sprint(r.Doubled)},
		{"false reports", fmt.Sprint(r.FalseReports)},
		{"reverted configurations", fmt.Sprint(r.RevertedConfigurations)},
		{"publish in force everywhere", fmt.Sprintf("%.2f s", r.PublishSeconds)},
		{"p95 first token", fmt.Sprintf("%.3f s", r.P95FirstTokenSeconds)},
		{"p95 between tokens", fmt.Sprintf("%.4f s", r.P95BetweenTokensSeconds)},
		{"cost", fmt.Sprintf("%.4f", r.Cost)},
		{"recomputed tokens", fmt.Sprint(r.RecomputedTokens)},
	} {
		if err := rows.Append(row[0], row[1]); err != nil {
			return errors.Trace(err)
		}
	}
	if err := rows.Render(); err != nil {
		return errors.Trace(err)
	}
	for _, finding := range r.Findings {
		fmt.Fprintln(out, "finding:", finding)
	}
	return nil
}

// save writes the report to a file as JSON.
func (r *Report) save(file string) error {
	body, err := r.encode()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(file, body, 0o644))
}
