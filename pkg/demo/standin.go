package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/daemon"
)

// portsPerDaemon is the difference between the first ports of two consecutive
// daemons.
const portsPerDaemon = 10

// StandinOptions configure RunStandin.
type StandinOptions struct {
	Operator string
	Examples string
	// Settings is the folder to which the daemons' settings files are written.
	Settings string
	// Daemons is the number of settings files.
	Daemons int
	// Port is the first daemon's port for callers; the next two are for operators
	// and peers.
	Port int
}

// RunStandin runs one operator's simulated platform and BackendServers until ctx
// ends, for daemons that are started manually.
func RunStandin(ctx context.Context, options StandinOptions, out io.Writer) error {
	set, err := config.Load(filepath.Join(options.Examples, options.Operator+".jsonc"))
	if err != nil {
		return errors.Trace(err)
	}
	d, err := newDeployment(options.Operator, set, demoTimings)
	if err != nil {
		return errors.Trace(err)
	}
	defer d.close()
	for n := range options.Daemons {
		file, err := d.writeSettings(&options, n)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintln(out, "settings:", file)
	}
	fmt.Fprintf(out, "operators' token: %s\nplatform and backend servers of %s run until interrupted\n", d.operatorToken, d.name)
	<-ctx.Done()
	return nil
}

// writeSettings writes the settings file of the n-th daemon and returns its name.
func (d *deployment) writeSettings(options *StandinOptions, n int) (string, error) {
	address := func(i, port int) string { return fmt.Sprintf("127.0.0.1:%d", options.Port+i*portsPerDaemon+port) }
	settings := daemon.Settings{
		Name:              fmt.Sprintf("daemon-%d", n+1),
		Operator:          d.name,
		AvailabilityZone:  d.zones[n%len(d.zones)],
		Callers:           daemon.Listener{Address: address(n, 0)},
		Operators:         daemon.Listener{Address: address(n, 1)},
		Peers:             daemon.Listener{Address: address(n, 2)},
		OperatorTokenFile: d.tokenFile,
		Platform:          d.platform,
		DrainSeconds:      drainSeconds,
		BalancerSeconds:   balancerSeconds,
	}
	for other := range options.Daemons {
		if other != n {
			settings.PeerAddresses = append(settings.PeerAddresses, address(other, 2))
		}
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", errors.Trace(err)
	}
	if err := os.MkdirAll(options.Settings, 0o755); err != nil {
		return "", errors.Trace(err)
	}
	file := filepath.Join(options.Settings, settings.Name+".jsonc")
	comment := "// Settings of " + settings.Name + ", written by monsooncrank standin.\n"
	return file, errors.Trace(os.WriteFile(file, append([]byte(comment), append(body, '\n')...), 0o644))
}
