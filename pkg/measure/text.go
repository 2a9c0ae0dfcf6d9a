package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteText writes the report as text tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i, s := range r.Summaries {
		if i%len(Policies()) == 0 {
			fmt.Fprintf(w, "\n%s, %s, %.0f%% load, %d seeds\n", s.Cell.Operator, s.Cell.Scenario, 100*tableLoad, r.Seeds)
			fmt.Fprintln(w, "policy\tcost/1000 in time\t(least-greatest)\tin time\tothers in time\tp95 first token s\t(least-greatest)\tp95 between ms\trecomputed\tafter loss\trefused\tlost\tload at target\tcost at target\t")
		}
		writeSummary(w, &s)
	}
	fmt.Fprintln(w, "\ntargets")
	fmt.Fprintln(w, "operator\tscenario\ttarget\tvalue\tlimit\tresult\tbaseline\t")
	for _, t := range r.Targets {
		result := "missed"
		if t.Met {
			result = "met"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%s\t%s%s\t\n", t.Operator, t.Scenario, t.Name, t.Value, t.Limit, result, t.Baseline, t.Note)
	}
	return errors.Trace(w.Flush())
}

func writeSummary(w io.Writer, s *Summary) {
	c := s.Cell
	atTarget := "none\t-"
	if s.TargetLoad > 0 {
		atTarget = fmt.Sprintf("%.2f\t%.4f", s.TargetLoad, s.CostAtTarget)
	}
	fmt.Fprintf(w, "%s\t%.4f\t(%.4f-%.4f)\t%.3f\t%.3f\t%.3f\t(%.3f-%.3f)\t%.1f\t%.0f\t%.0f\t%.0f\t%d\t%s\t\n",
		c.Policy, c.CostPerThousandInTime, c.CostSpread.Least, c.CostSpread.Greatest, c.ShareInTime, c.OtherAccountsShareInTime,
		c.P95FirstTokenSeconds, c.FirstTokenSpread.Least, c.FirstTokenSpread.Greatest,
		1000*c.P95BetweenTokensSeconds, c.RecomputedTokens, c.RecomputedAfterLoss, c.Refused, c.Lost, atTarget)
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(r))
}
