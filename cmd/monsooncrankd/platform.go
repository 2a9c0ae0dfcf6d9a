package main

import (
	"flag"
	"net"
	"os"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/edge"
	"github.com/monsooncrank/monsooncrank/pkg/logging"
	"github.com/monsooncrank/monsooncrank/platform"
)

// runOnPlatform runs the daemon on the users' platform with the settings file
// that the platform writes.
func runOnPlatform(checkOnly bool, verbosity int, sourceAddress net.IP) error {
	if err := logToStdout(verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	settings, err := platform.LoadSettings()
	if err != nil || checkOnly {
		return err
	}
	registry := prometheus.NewRegistry()
	client, err := platform.NewClient(registry)
	if err != nil {
		return err
	}
	d, err := edge.New(edge.Options{Settings: settings, Platform: client, Codec: platform.Codec{}, SourceAddress: sourceAddress,
		Registry: registry, ReadyPath: platform.ReadyPath, Reload: platform.LoadSettings})
	if err != nil {
		return err
	}
	return d.Run()
}

// logToStdout sends the log to standard output through a non-blocking writer.
func logToStdout(verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
		"v": strconv.Itoa(verbosity)} {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(logging.NewWriter(os.Stdout))
	return nil
}
