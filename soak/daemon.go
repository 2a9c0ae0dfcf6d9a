package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// reportedWindow is the window whose usage is reported.
const reportedWindow = 2 * time.Second

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 8 * time.Second

// daemon runs one daemon as a separate process.
type daemon struct {
	settings standin.DaemonSettings
	// sourceAddress is the loopback address from which the daemon connects to servers, which
	// tells the daemons apart.
	sourceAddress string
	binary        string
	folder        string

	mu      sync.Mutex
	process *os.Process
	// exited is closed when the process has ended.
	exited chan struct{}
	// starts counts how often the process was started.
	starts int
	// stoppingAt is the time of the last SIGTERM; it is zero after the next start.
	stoppingAt time.Time
	// disturbances holds when the process was stopped, paused, continued or
	// started.
	disturbances []time.Time
}

// The ports of daemons are below the range of ephemeral ports. An outgoing
// connection could otherwise take a port after it was chosen and before the
// daemon listens on it.
const (
	firstPort = 15000
	lastPort  = 31000
)

// allocatedPorts records the ports that freePorts has returned. A daemon listens
// on its ports only after its start; until then they would look free.
var allocatedPorts = struct {
	sync.Mutex
	taken map[int]bool
}{taken: make(map[int]bool)}

// freePorts returns n loopback ports that are not in use and that it has not
// returned before.
func freePorts(n int) ([]int, error) {
	allocatedPorts.Lock()
	defer allocatedPorts.Unlock()
	// A process that is being started holds all open files until it executes its program, and
	// with them the ports that are tried out here.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ports := make([]int, 0, n)
	var lastErr error
	for tries := 0; len(ports) < n && tries < 100*n; tries++ {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if allocatedPorts.taken[port] {
			continue
		}
		if err := tryPort(port); err != nil {
			lastErr = err
			continue
		}
		if !reservePort(port) {
			continue
		}
		allocatedPorts.taken[port] = true
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, &NoPortsError{Cause: lastErr}
	}
	return ports, nil
}

// tryPort returns an error if a loopback port is in use. It does not listen, since a
// listener of package net may hold its port for a moment after it was closed.
func tryPort(port int) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	err = unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if closeErr := unix.Close(socket); err == nil {
		err = closeErr
	}
	return err
}

// reservePort keeps a port from the soaks of other processes until this one ends, and reports whether
// none of them has it. A daemon listens on its ports only after its start.
func reservePort(port int) bool {
	socket, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	// The name is an abstract one, which ends with its socket.
	if err := unix.Bind(socket, &unix.SockaddrUnix{Name: fmt.Sprintf("@monsooncrank-soak-%d", port)}); err != nil {
		_ = unix.Close(socket)
		return false
	}
	return true
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress() (string, error) {
	ports, err := freePorts(1)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[0])), nil
}

// maxAddressTries is how many addresses are tried until one is not taken by another process
// before it is used.
const maxAddressTries = 3

// withFreeAddress calls use with a free loopback address, and with another one if that was
// taken meanwhile.
func withFreeAddress(use func(address string) error) error {
	var err error
	for range maxAddressTries {
		var address string
		if address, err = freeAddress(); err != nil {
			return err
		}
		if err = use(address); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// NoPortsError reports that not enough free ports were found. The cause is nil if all
// ports that were tried had been returned before.
type NoPortsError struct{ Cause error }

func (e *NoPortsError) Error() string {
	if e.Cause == nil {
		return "not enough free ports on loopback: all that were tried have been returned before"
	}
	return "not enough free ports on loopback: " + e.Cause.Error()
}

func newDaemon(binary, folder string, number int, zone, store, cloud string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	// The settings give the two internal ports as a range, lower port first.
	lower, upper := min(ports[2], ports[3]), max(ports[2], ports[3])
	return &daemon{binary: binary, folder: folder, sourceAddress: fmt.Sprintf("127.0.%d.%d", 1+number/maxHostNumber, 1+number%maxHostNumber), settings: standin.DaemonSettings{Node: nodeName(number), Zone: zone, Front: address(0),
		Ready: address(1), PeerPort: lower, MetricsPort: upper, StoreAddress: store, CloudAPI: cloud, Grace: gracePeriod,
		UsageWindow: reportedWindow}}, nil
}

// maxHostNumber is the number of daemons whose source addresses share the first three bytes.
const maxHostNumber = 250

// nodeName returns the name of a daemon.
func nodeName(number int) string { return fmt.Sprintf("daemon-%d", number) }

// metricsAddress returns the address at which the daemon serves its metrics.
func (d *daemon) metricsAddress() string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(d.settings.MetricsPort))
}

// metric reads the value of a gauge or counter without labels.
func metric(client *http.Client, address, name string) (float64, error) {
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(body)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, &NoMetricError{Name: name}
}

// NoMetricError reports that a daemon serves no such metric.
type NoMetricError struct{ Name string }

func (e *NoMetricError) Error() string { return "no metric " + e.Name }

// start writes the settings file and starts the process. Each start has a log
// file of its own.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	d.settings.Bootstrap = d.starts == 1
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
	command.Env = append(os.Environ(), standin.SettingsEnvVar+"="+settings, "GOMAXPROCS=1", "MONSOONCRANK_SOURCE_ADDRESS="+d.sourceAddress)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.process, d.exited, d.stoppingAt = command.Process, make(chan struct{}), time.Time{}
	d.disturbances = append(d.disturbances, time.Now())
	exited := d.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
		if status, ok := command.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() && status.Signal() == syscall.SIGHUP {
			// The signal came before the process could handle it. The platform starts
			// processes that have ended again. If that fails, the daemon is never ready.
			_ = d.start()
		}
	}()
	return nil
}

// signal sends a signal to the process and records its time.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGTERM {
		d.stoppingAt = time.Now()
	}
	if s != syscall.SIGHUP {
		d.disturbances = append(d.disturbances, time.Now())
	}
	// Signaling a process that has ended fails, which is expected here.
	_ = d.process.Signal(s)
}

// wait waits until the process has ended and kills it after the grace period of its settings.
func (d *daemon) wait() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d.settings.Grace):
		d.signal(syscall.SIGKILL)
		<-exited
	}
}

// setBinary sets the build that the next start runs.
func (d *daemon) setBinary(binary string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.binary = binary
}

// restart stops the process with the signal, waits and starts it again.
func (d *daemon) restart(s syscall.Signal) error {
	d.signal(s)
	d.wait()
	return d.start()
}

// state returns the number of starts and the time of a pending stop.
func (d *daemon) state() (starts int, stoppingAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts, d.stoppingAt
}

// disturbedBetween reports whether the process was stopped, paused, continued or
// started in a span of time.
func (d *daemon) disturbedBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.disturbances {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
