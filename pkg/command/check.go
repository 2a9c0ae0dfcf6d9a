package command

import (
	"context"
	"fmt"

	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// checkResult is the result of a check that found no errors.
type checkResult struct {
	Objects  int    `json:"objects"`
	BodyHash string `json:"body_hash"`
}

func registerCheck(a *App) {
	c := a.Add("check", "Check configuration files together, without a daemon. Prints one line for each mistake and exits 0 or 1.",
		"monsooncrank check examples/kodiclub.jsonc")
	files := c.Arg("file", "Configuration files.").Required().Strings()
	c.OnRun(func(context.Context) error {
		set, err := config.Load(*files...)
		if err != nil {
			return err
		}
		body, err := config.Canonical(set)
		if err != nil {
			return err
		}
		result := checkResult{Objects: set.Len(), BodyHash: config.HashBody(body)}
		return a.Print(result, func() {
			fmt.Fprintf(a.Out, "%d objects, no mistakes, body %s\n", result.Objects, shortHash(result.BodyHash))
		})
	})
}
