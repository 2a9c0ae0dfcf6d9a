package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

// statusResult is the status of each daemon that responded.
type statusResult struct {
	Daemons []daemonStatus `json:"daemons"`
}

type daemonStatus struct {
	Address string `json:"address"`
	operatorapi.Status
}

func registerStatus(a *App) {
	c := a.Add("status", "Show the state of the daemons at all addresses. Fails if one of them does not answer.",
		"monsooncrank --address 10.0.0.7:7080,10.0.1.7:7080 status")
	c.OnRun(func(ctx context.Context) error {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		result := statusResult{Daemons: []daemonStatus{}}
		var failures []error
		for _, c := range a.clients() {
			s := daemonStatus{Address: c.address}
			if err := c.get(ctx, "/v1/status", &s.Status); err != nil {
				failures = append(failures, err)
				continue
			}
			result.Daemons = append(result.Daemons, s)
		}
		if err := a.Print(result, func() { a.printStatus(result) }); err != nil {
			return err
		}
		return combineErrors(failures)
	})
}

// printStatus prints a table of the daemons and a line for each unhealthy
// component.
func (a *App) printStatus(result statusResult) {
	rows := make([][]string, 0, len(result.Daemons))
	for _, d := range result.Daemons {
		rows = append(rows, []string{d.Address, d.Daemon, d.AvailabilityZone, strconv.FormatBool(d.Ready), strconv.FormatBool(d.Draining),
			strconv.FormatUint(d.Configuration.InForce, 10), strconv.FormatUint(d.Configuration.Known, 10), strconv.FormatBool(d.Configuration.Serving)})
	}
	a.Table([]string{"address", "daemon", "zone", "ready", "draining", "in force", "known", "serving"}, rows)
	for _, d := range result.Daemons {
		for _, component := range d.Components {
			if !component.Healthy {
				fmt.Fprintf(a.Out, "%s: %s: %s\n", d.Address, component.Name, component.Detail)
			}
		}
	}
}

// combineErrors returns the errors of several daemons as one error, or nil if
// there are none.
func combineErrors(failures []error) error {
	switch len(failures) {
	case 0:
		return nil
	case 1:
		return failures[0]
	}
	return &PartialError{Causes: failures}
}
