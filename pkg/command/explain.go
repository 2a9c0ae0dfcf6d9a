package command

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

func registerExplain(a *App) {
	c := a.Add("explain", "Show which decisions were made for a request and why. Queries the daemons at all addresses; each stores only its newest decisions.",
		"monsooncrank explain 0198a2c4-53f0-7cc1-9b1e-6f2d1f0c7a11")
	id := c.Arg("request", "ID of the request, as returned to the caller.").Required().String()
	c.OnRun(func(ctx context.Context) error {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		found, err := a.explain(ctx, *id)
		if len(found.Decisions) == 0 {
			return err
		}
		if printErr := a.Print(found, func() { a.printDecisions(found.Decisions) }); printErr != nil {
			return printErr
		}
		return err
	})
}

// explain collects the decisions of all daemons in order of time. A daemon
// without decisions for the request counts as an error only if all daemons have
// none.
func (a *App) explain(ctx context.Context, id string) (operatorapi.DecisionsResponse, error) {
	all := operatorapi.DecisionsResponse{RequestID: id}
	var failures, missing []error
	for _, c := range a.clients() {
		var response operatorapi.DecisionsResponse
		err := c.get(ctx, "/v1/requests/"+url.PathEscape(id)+"/decisions", &response)
		switch {
		case isProblem(err, operatorapi.ProblemNotFound):
			missing = append(missing, err)
		case err != nil:
			failures = append(failures, err)
		}
		all.Decisions = append(all.Decisions, response.Decisions...)
	}
	slices.SortStableFunc(all.Decisions, func(x, y decision.Decision) int { return x.Time.Compare(y.Time) })
	if len(all.Decisions) == 0 && len(failures) == 0 {
		return all, missing[0]
	}
	return all, combineErrors(failures)
}

func (a *App) printDecisions(decisions []decision.Decision) {
	rows := make([][]string, 0, len(decisions))
	for _, d := range decisions {
		rows = append(rows, []string{formatTime(d.Time), string(d.Kind), cmp.Or(d.Chosen, "-"), alternatives(d.Alternatives), d.Reason})
	}
	a.Table([]string{"time", "kind", "chosen", "alternatives", "reason"}, rows)
}

// alternatives formats the rejected alternatives with their scores.
func alternatives(list []decision.Alternative) string {
	parts := make([]string, 0, len(list))
	for _, alternative := range list {
		parts = append(parts, fmt.Sprintf("%s=%.4g", alternative.Name, alternative.Score))
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}
