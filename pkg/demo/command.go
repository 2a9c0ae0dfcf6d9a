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

// RegisterDemo adds the demo command to an application.
func RegisterDemo(app *command.App) {
	options := Options{Out: app.Out}
	var logFile string
	c := app.Add("demo", "Run both operators' deployments in one process, inject faults and verify the outcomes. "+
		"Fails if a request was lost, a booking ran twice, an outcome was reported falsely or a configuration was reverted.",
		"monsooncrank demo --seed 7 --duration 20s --report out/demo.json")
	c.Flag("seed", "Random seed of the traffic and the faults.").Default("1").Uint64Var(&options.Seed)
	c.Flag("duration", "How long callers send requests, not counting startup and the wait for the last answers.").
		Default("20s").DurationVar(&options.Duration)
	c.Flag("report", "File to write the JSON report to.").StringVar(&options.ReportFile)
	c.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	c.Flag("log", "File to write the daemons' log to; by default the log is discarded.").StringVar(&logFile)
	c.OnRun(func(ctx context.Context) error {
		options.JSON = app.JSON()
		return withLogOutput(logFile, func() error {
			_, err := Run(ctx, options)
			return err
		})
	})
}

// RegisterStandin adds the standin command to an application.
func RegisterStandin(app *command.App) {
	var options StandinOptions
	c := app.Add("standin", "Run simulated platform services and backend servers of one operator on loopback and write settings files for daemons.",
		"monsooncrank standin --operator kodiclub --settings out/settings")
	c.Flag("operator", "Operator to simulate; its configuration is read from the examples folder.").Default("kodiclub").StringVar(&options.Operator)
	c.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	c.Flag("settings", "Folder to write the daemons' settings files to.").Required().StringVar(&options.Settings)
	c.Flag("daemons", "Number of daemons to write settings files for.").Default(strconv.Itoa(daemonsPerOperator)).IntVar(&options.Daemons)
	c.Flag("port", "Port for callers of the first daemon; the next two ports are for operators and peers.").Default("8080").IntVar(&options.Port)
	c.OnRun(func(ctx context.Context) error { return RunStandin(ctx, options, app.Out) })
}

// withLogOutput calls run while klog writes to file, or discards its output if
// file is empty.
func withLogOutput(file string, run func() error) error {
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
	return run()
}
