package command

import (
	"context"

	"github.com/juju/errors"
)

func registerGet(a *App) {
	c := a.Add("get", "Print a published configuration, in a form that can be edited and published again. Text and JSON output are the same.",
		"monsooncrank get --revision 41 > all.jsonc")
	revision := c.Flag("revision", "Revision to print; 0 stands for the newest.").Default("0").Uint64()
	c.OnRun(func(ctx context.Context) error {
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		body, err := a.firstClient().body(ctx, *revision)
		if err != nil {
			return err
		}
		_, err = a.Out.Write(body)
		return errors.Trace(err)
	})
}
