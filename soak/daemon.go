package soak

import (
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// daemon is one real process.
type daemon struct {
	settings standin.DaemonSettings
	binary   string
	folder   string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	starts  int
	// stoppingAt is set from SIGTERM to the next start.
	stoppingAt time.Time
	// disturbedAt is when the process was last killed or paused.
	disturbedAt time.Time
}

// The ports of daemons lie below those that systems give to outgoing
// connections, which could take a port between its choice and its use.
const (
	firstPort = 15000
	lastPort  = 31000
)

// givenPorts are those that freePorts has returned: a daemon listens on its own
// only once it has started.
var givenPorts = struct {
	sync.Mutex
	taken map[int]bool
}{taken: make(map[int]bool)}

// freePorts returns ports of loopback that nothing listens on and that it has not
// returned before.
func freePorts(n int) ([]int, error) {
	givenPorts.Lock()
	defer givenPorts.Unlock()
	ports := make([]int, 0, n)
	var last error
	for tries := 0; len(ports) < n && tries < 100*n; tries++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if givenPorts.taken[port] {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			last = err
			continue
		}
		defer func() { _ = l.Close() }()
		givenPorts.taken[port] = true
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, &NoPortsError{Cause: last}
	}
	return ports, nil
}

// NoPortsError reports that there are too few free ports.
type NoPortsError struct{ Cause error }

func (e *NoPortsError) Error() string { return "no free ports on loopback: " + e.Cause.Error() }

func newDaemon(binary, folder, node, zone, store, cloud string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	// The pair of internal ports is a range, so that the lower one comes first.
	lower, upper := min(ports[2], ports[3]), max(ports[2], ports[3])
	return &daemon{binary: binary, folder: folder, settings: standin.DaemonSettings{Node: node, Zone: zone, Front: address(0),
		Ready: address(1), PeerPort: lower, MetricsPort: upper, StoreAddress: store, CloudAPI: cloud, Grace: grace,
		UsageWindow: 2 * time.Second}}, nil
}

// start starts the process; its log goes to a file of its own.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	settings := filepath.Join(d.folder, d.settings.Node+".toml")
	file, err := os.Create(settings)
	if err != nil {
		return err
	}
	err = standin.WriteSettings(file, d.settings)
	if closeErr := file.Close(); err != nil || closeErr != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, d.settings.Node+"-"+strconv.Itoa(d.starts)+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(d.binary, "--platform")
	command.Env = append(os.Environ(), standin.SettingsEnvVar+"="+settings, "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.process, d.exited, d.stoppingAt = command.Process, make(chan struct{}), time.Time{}
	exited := d.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		d.stoppingAt = time.Now()
	case syscall.SIGKILL, syscall.SIGSTOP:
		d.disturbedAt = time.Now()
	}
	// A process that has ended takes no signal.
	_ = d.process.Signal(s)
}

// wait returns when the process has ended, or kills it after the grace period.
func (d *daemon) wait() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		d.signal(syscall.SIGKILL)
		<-exited
	}
}

func (d *daemon) restart(s syscall.Signal) error {
	d.signal(s)
	d.wait()
	return d.start()
}

func (d *daemon) state() (starts int, stoppingAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts, d.stoppingAt
}
