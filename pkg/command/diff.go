package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/config"
)

// diffResult lists the changes between two configurations.
type diffResult struct {
	Changes []config.Change `json:"changes"`
}

func registerDiff(a *App) {
	c := a.Add("diff", "Show what publishing configuration files would change.",
		"monsooncrank diff examples/kodiclub.jsonc\nmonsooncrank diff --revision 40 --to 41")
	files := c.Arg("file", "Configuration files; without any, --to is needed.").Strings()
	revision := c.Flag("revision", "Revision to compare with; 0 stands for the newest.").Default("0").Uint64()
	to := c.Flag("to", "Second revision, in place of files.").Uint64()
	c.OnRun(func(ctx context.Context) error {
		if (len(*files) == 0) == (*to == 0) {
			return &UsageError{Reason: "diff needs either files or --to"}
		}
		ctx, cancel := a.TimeoutContext(ctx)
		defer cancel()
		from, err := a.fetchSet(ctx, *revision)
		if err != nil {
			return err
		}
		target, err := a.target(ctx, *files, *to)
		if err != nil {
			return err
		}
		return a.printChanges(config.Diff(from, target))
	})
}

// target returns the configuration to compare with: that of the files or,
// without files, that of the revision.
func (a *App) target(ctx context.Context, files []string, revision uint64) (*config.Set, error) {
	if len(files) > 0 {
		return config.Load(files...)
	}
	return a.fetchSet(ctx, revision)
}

func (a *App) printChanges(changes []config.Change) error {
	if changes == nil {
		changes = []config.Change{}
	}
	return a.Print(diffResult{Changes: changes}, func() {
		for _, change := range changes {
			fmt.Fprintln(a.Out, change)
		}
		fmt.Fprintf(a.Out, "%d changes\n", len(changes))
	})
}

// body fetches the configuration body of a revision; revision 0 is the newest.
func (c *client) body(ctx context.Context, revision uint64) ([]byte, error) {
	r, err := c.do(ctx, fasthttp.MethodGet, "/v1/configuration?revision="+strconv.FormatUint(revision, 10), nil)
	return r.body, err
}

// fetchSet fetches the configuration of a revision and decodes it.
func (a *App) fetchSet(ctx context.Context, revision uint64) (*config.Set, error) {
	body, err := a.firstClient().body(ctx, revision)
	if err != nil {
		return nil, err
	}
	set, err := config.DecodeBody(body, config.HashBody(body))
	return set, errors.Trace(err)
}
