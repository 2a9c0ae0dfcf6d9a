package demo

import (
	"context"
	"flag"
	"io"
	"os"
	"strconv"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/command"
)

// RegisterDemo adds the command demo to an application.
func RegisterDemo(app *command.App) {
	options := Options{Out: app.Out}
	var logFile string
	c := app.Add("demo", "Run both operators' deployments in one process, inject faults and judge the outcomes. "+
		"It fails if a request was lost, a booking doubled, a report false or a configuration reverted.",
		"monsooncrank demo --seed 7 --duration 20s --report out/demo.json")
	c.Flag("seed", "Seed of traffic and faults.").Default("1").Uint64Var(&options.Seed)
	c.Flag("duration", "How long callers send requests; starting and waiting for the last answers come on top.").
		Default("20s").DurationVar(&options.Duration)
	c.Flag("report", "File for the report as JSON.").StringVar(&options.ReportFile)
	c.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	c.Flag("log", "File for the daemons' log; discarded by default.").StringVar(&logFile)
	c.OnRun(func(ctx context.Context) error {
		options.JSON = app.JSON()
		return withLogs(logFile, func() error {
			_, err := Run(ctx, options)
			return err
		})
	})
}

// RegisterStandin adds the command standin to an application.
func RegisterStandin(app *command.App) {
	var options StandinOptions
	c := app.Add("standin", "Run one operator's platform and backend servers on loopback and write settings for daemons.",
		"monsooncrank standin --operator kodiclub --settings out/settings")
	c.Flag("operator", "Operator whose configuration is in the examples folder.").Default("kodiclub").StringVar(&options.Operator)
	c.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	c.Flag("settings", "Folder for the daemons' settings.").Required().StringVar(&options.Settings)
	c.Flag("daemons", "Number of settings files.").Default(strconv.Itoa(daemonsPerOperator)).IntVar(&options.Daemons)
	c.Flag("port", "First port of the first daemon: callers; operators and peers follow.").Default("8080").IntVar(&options.Port)
	c.OnRun(func(ctx context.Context) error { return RunStandin(ctx, options, app.Out) })
}

// withLogs runs work with klog's output in a file, or discarded.
func withLogs(file string, work func() error) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return errors.Trace(err)
		}
	}
	klog.SetOutput(io.Discard)
	if file != "" {
		out, err := os.Create(file)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = out.Close() }()
		klog.SetOutput(out)
	}
	defer klog.Flush()
	return work()
}
