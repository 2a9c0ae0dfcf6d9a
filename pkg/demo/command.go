package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"k8s.io/klog/v2"
)

// Register adds the commands demo and standin to an application.
func Register(app *kingpin.Application) {
	registerDemo(app)
	registerStandin(app)
}

func registerDemo(app *kingpin.Application) {
	options := Options{Out: os.Stdout}
	var logFile string
	command := app.Command("demo", "Run both operators' deployments in one process, inject faults and judge the outcomes.\n\n"+
		"Exits 1 if a request was lost, a booking doubled, a report false or a configuration reverted.\n\n"+
		"Example: monsooncrank demo --seed 7 --duration 20s --report out/demo.json")
	command.Flag("seed", "Seed of traffic and faults.").Default("1").Uint64Var(&options.Seed)
	command.Flag("duration", "How long callers send requests; starting and waiting for the last answers come on top.").
		Default("20s").DurationVar(&options.Duration)
	command.Flag("report", "File for the report as JSON.").StringVar(&options.ReportFile)
	command.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	command.Flag("log", "File for the daemons' log; discarded by default.").StringVar(&logFile)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return withLogs(logFile, func() error {
			_, err := Run(ctx, options)
			return err
		})
	})
}

func registerStandin(app *kingpin.Application) {
	var options StandinOptions
	command := app.Command("standin", "Run one operator's platform and backend servers on loopback and write settings for daemons.\n\n"+
		"Example: monsooncrank standin --operator kodiclub --settings out/settings")
	command.Flag("operator", "Operator whose configuration is in the examples folder.").Default("kodiclub").StringVar(&options.Operator)
	command.Flag("examples", "Folder of the operators' configurations.").Default("examples").ExistingDirVar(&options.Examples)
	command.Flag("settings", "Folder for the daemons' settings.").Required().StringVar(&options.Settings)
	command.Flag("daemons", "Number of settings files.").Default(fmt.Sprint(daemonsPerOperator)).IntVar(&options.Daemons)
	command.Flag("port", "First port of the first daemon.").Default("8080").IntVar(&options.Port)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return RunStandin(ctx, options, os.Stdout)
	})
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
