package measure

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/command"
)

const (
	defaultSeeds = "3"
	reportFile   = "measure.json"
)

// Register adds the measure command to an application. The command writes its
// tables to the application's standard output.
func Register(app *command.App) {
	var options Options
	var directory string
	c := app.Add("measure", "Measure the policies on a virtual clock against baselines and targets.",
		"monsooncrank measure --seeds 3 --scenario steady --out out/measure")
	c.Flag("seeds", "Number of seeds.").Default(defaultSeeds).IntVar(&options.Seeds)
	c.Flag("scenario", "Scenario to measure; repeat for several. All by default.").StringsVar(&options.Scenarios)
	c.Flag("operator", "Operator to measure; repeat for several. Both by default.").EnumsVar(&options.Operators, Kodiclub().Name, Ganda().Name)
	c.Flag("out", "Directory for "+reportFile+" and SVG plots.").StringVar(&directory)
	c.OnRun(func(context.Context) error {
		options.Seeds = max(options.Seeds, 1)
		return execute(options, app.JSON(), directory, app.Out)
	})
}

func execute(o Options, asJSON bool, directory string, out io.Writer) error {
	report, err := Run(o)
	if err != nil {
		return errors.Trace(err)
	}
	if directory != "" {
		if err := report.save(directory); err != nil {
			return errors.Trace(err)
		}
	}
	if asJSON {
		return report.WriteJSON(out)
	}
	return report.WriteText(out)
}

// save writes the JSON report and the plots to a directory.
func (r *Report) save(directory string) (err error) {
	const permissions = 0o755
	if err := os.MkdirAll(directory, permissions); err != nil {
		return errors.Trace(err)
	}
	file, err := os.Create(filepath.Join(directory, reportFile))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Trace(closeErr)
		}
	}()
	if err := r.WriteJSON(file); err != nil {
		return errors.Trace(err)
	}
	return r.WritePlots(directory)
}
