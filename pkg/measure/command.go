package measure

import (
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

const (
	defaultSeeds = "3"
	outputText   = "text"
	outputJSON   = "json"
	reportFile   = "measure.json"
)

// Register adds the command measure to an application. Its tables go to the
// application's standard output.
func Register(app *kingpin.Application) {
	var options Options
	var output, directory string
	command := app.Command("measure", "Measure the policies on a virtual clock against baselines and targets.")
	command.Flag("seeds", "Number of seeds.").Default(defaultSeeds).IntVar(&options.Seeds)
	command.Flag("scenario", "Scenario to measure; repeat for several. All by default.").StringsVar(&options.Scenarios)
	command.Flag("operator", "Operator to measure; repeat for several. Both by default.").EnumsVar(&options.Operators, Kodiclub().Name, Ganda().Name)
	command.Flag("output", "Output format.").Default(outputText).EnumVar(&output, outputText, outputJSON)
	command.Flag("out", "Directory for "+reportFile+" and SVG plots.").StringVar(&directory)
	command.Action(func(*kingpin.ParseContext) error {
		options.Seeds = max(options.Seeds, 1)
		return execute(options, output, directory, os.Stdout)
	})
}

func execute(o Options, output, directory string, out io.Writer) error {
	report, err := Run(o)
	if err != nil {
		return errors.Trace(err)
	}
	if directory != "" {
		if err := report.save(directory); err != nil {
			return errors.Trace(err)
		}
	}
	if output == outputJSON {
		return report.WriteJSON(out)
	}
	return report.WriteText(out)
}

// save writes the JSON report and the plots.
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
