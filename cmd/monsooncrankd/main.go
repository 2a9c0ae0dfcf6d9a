// Command monsooncrankd is the daemon that serves requests of callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/pprof"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/buildinfo"
	"github.com/monsooncrank/monsooncrank/pkg/daemon"
)

func main() {
	app := kingpin.New("monsooncrankd", "Serves model-backed and booking requests on reclaimable hosts.\n\n"+
		"SIGTERM and SIGINT stop it without interrupting requests in progress.\n\n"+
		"Example: monsooncrankd --settings /etc/monsooncrank/daemon.jsonc")
	app.Version(buildinfo.Revision())
	file := app.Flag("settings", "Settings in JSON with comments.").Short('s').ExistingFile()
	onPlatform := app.Flag("platform", "Serve on the users' platform, which writes the settings file.").Bool()
	checkOnly := app.Flag("check", "Check the settings and exit.").Bool()
	verbosity := app.Flag("verbosity", "Log verbosity, 0 to 9; overrides the settings.").Short('v').Default("-1").Int()
	sourceAddress := app.Flag("source-address", "With --platform: open connections to backend servers from this address of the host.").Envar("MONSOONCRANK_SOURCE_ADDRESS").IP()
	profile := app.Flag("cpu-profile", "Write a CPU profile to this file until the daemon stops.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	work := func() error { return run(*file, *checkOnly, *verbosity) }
	switch {
	case *onPlatform:
		work = func() error { return runOnPlatform(*checkOnly, max(*verbosity, 0), *sourceAddress) }
	case *file == "":
		app.FatalUsage("one of --settings and --platform is required")
	}
	if err := runWithProfile(*profile, work); err != nil {
		fmt.Fprintln(os.Stderr, "monsooncrankd:", err)
		os.Exit(1)
	}
}

// run runs the daemon with a settings file until a signal stops it. A negative
// verbosity selects the one in the settings.
func run(file string, checkOnly bool, verbosity int) error {
	settings, err := daemon.LoadSettings(file)
	if err != nil || checkOnly {
		return err
	}
	if verbosity < 0 {
		verbosity = settings.LogVerbosity
	}
	if err := setVerbosity(verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(daemon.Options{Settings: settings, Clock: clock.RealClock{}, Seed: rand.Uint64()})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// runWithProfile runs work and, unless file is empty, writes a CPU profile to
// file.
func runWithProfile(file string, work func() error) error {
	if file == "" {
		return work()
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	if err := pprof.StartCPUProfile(out); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return work()
}

// setVerbosity sets the log verbosity of klog, which can only be set through
// its flags.
func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(level))
}
