package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/monsooncrank/monsooncrank/platform/standin"
	"github.com/monsooncrank/monsooncrank/soak"
)

const (
	// daemonBinary is where the build line of the deploy file places the daemon.
	daemonBinary = "target/monsooncrankd"
	// apiHost is the host of all routes, and drainTime how long a server serves on once it leaves.
	apiHost = "api.example"
	// Bounds of the published settings.
	contactTime  = 3 * time.Second
	grace        = 8 * time.Second
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 190000.0
	// startTime is how long the daemons run before traffic begins; on the users' platform it is 10 s.
	startTime = 4 * time.Second
	// checkInterval is the time between two readiness checks of the platform, and maxMisses the
	// number of checks in a row without a 200 that take a daemon out of rotation.
	checkInterval = time.Second
	maxMisses     = 2
)

// setupError ends a case that could not run.
type setupError struct {
	step  string
	cause error
}

func (e *setupError) Error() string { return e.step + ": " + e.cause.Error() }

// must ends the case if a step of its preparation fails.
func must(step string, err error) {
	if err != nil {
		panic(&setupError{step, err})
	}
}

// lab is a small deployment: the stand-ins of the platform and daemons as separate processes.
type lab struct {
	ctx     context.Context
	folder  string
	log     *record
	store   *standin.Store
	cloud   *standin.Cloud
	ledger  *standin.Ledger
	daemons []*daemon
	servers []*standin.Server

	cloudAddress string
}

// record is the record of what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      io.Writer
	startedAt time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// newLab starts the store and the cloud API.
func newLab(ctx context.Context, log *record) *lab {
	folder, err := os.MkdirTemp("", "monsooncrank-review-")
	must("temporary folder", err)
	l := &lab{ctx: ctx, folder: folder, log: log, store: standin.NewStore(), cloud: standin.NewCloud(), ledger: standin.NewLedger()}
	l.cloudAddress = serve("cloud", l.cloud)
	return l
}

// serve serves a stand-in on a free loopback port.
func serve(name string, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(name, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// close ends all daemons and removes the folder.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
		for _, path := range []*soak.Proxy{d.front, d.front2} {
			if path != nil {
				path.Close()
			}
		}
	}
	_ = os.RemoveAll(l.folder)
}

// addServers starts servers of a service, each of which takes workTime for a request, or for each
// event of a stream.
func (l *lab) addServers(n int, service string, workTime time.Duration, events int) {
	for i := range n {
		s := &standin.Server{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zones[i%len(zones)], WorkTime: workTime, EventCount: events}
		must("server", standin.StartServer(s, l.store, l.ledger, nil))
		l.servers = append(l.servers, s)
	}
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// daemon is one daemon, run as a separate process with the command of the deploy file.
type daemon struct {
	lab      *lab
	name     string
	settings map[string]any
	file     string
	// front and front2 are two paths of the network between clients and the daemon.
	front, front2 *soak.Proxy
	ready         string

	// turnedAway is set while the store turns the machine away with 503.
	turnedAway atomic.Bool

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// misses counts the readiness checks without a 200.
	misses int
	starts int
}

// startDaemons starts daemons and the platform's readiness checks, and waits until all are ready.
func (l *lab) startDaemons(n int) {
	for i := range n {
		ports := freePorts(4)
		address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
		d := &daemon{lab: l, name: fmt.Sprintf("edge-%d", i+1), file: filepath.Join(l.folder, fmt.Sprintf("edge-%d.toml", i+1)), ready: address(1), misses: maxMisses}
		d.settings = map[string]any{
			"node": d.name, "ip": "127.0.0.1", "zone": zones[i%len(zones)], "region": "region", "machineClass": "edge", "role": "daemon",
			"internalPorts": []int{min(ports[2], ports[3]), max(ports[2], ports[3])}, "heartbeatMs": standin.HeartbeatInterval.Milliseconds(),
			"listen": map[string]any{"front": address(0), "ready": d.ready},
			"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100},
			"bounds": map[string]any{"drainMs": 2000, "graceS": grace.Seconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
				"quotaWindowS": quotaWindow.Seconds(), "quotaOverage": quotaOverage, "quotaSlack": quotaSlack, "leaseMs": 3000, "usageWindowS": 5, "usageLateS": 10},
			"platform": map[string]any{"address": serve("store", d)},
			"cloud":    map[string]any{"address": l.cloudAddress, "duties": []string{"usage_reporting"}},
		}
		var err error
		d.front, err = soak.NewProxy(address(0))
		must("proxy", err)
		d.front2, err = soak.NewProxy(address(0))
		must("proxy", err)
		l.daemons = append(l.daemons, d)
		d.start()
		go d.checkReadiness()
	}
	for waited := time.Duration(0); ; waited += 50 * time.Millisecond {
		ready := 0
		for _, d := range l.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == n {
			break
		}
		if waited > 15*time.Second {
			panic(&setupError{"start", fmt.Errorf("%d of %d daemons are ready", ready, n)})
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(startTime)
}

// ServeHTTP passes calls of the daemon on to the store, unless that turns the machine away.
func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.turnedAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.lab.store.ServeHTTP(w, r)
}

// start writes the settings file and starts the process.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings["bootstrap"] = d.starts == 0
	d.starts++
	file, err := os.Create(d.file)
	must("settings", err)
	err = toml.NewEncoder(file).Encode(d.settings)
	must("settings", err)
	must("settings", file.Close())
	log, err := os.Create(filepath.Join(d.lab.folder, fmt.Sprintf("%s-%d.log", d.name, d.starts)))
	must("log", err)
	command := exec.Command(daemonBinary, "--platform")
	command.Env = append(os.Environ(), standin.SettingsEnvVar+"="+d.file, "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must("daemon", command.Start())
	exited := make(chan struct{})
	d.process, d.exited = command.Process, exited
	d.lab.log.printf("%s starts", d.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lab.log.printf("%s gets %s", d.name, s)
	_ = d.process.Signal(s)
}

// wait waits until the process has ended.
func (d *daemon) wait() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	<-exited
}

func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Kill()
		<-d.exited
	}
}

// checkReadiness asks the daemon once a second whether it accepts new connections.
func (d *daemon) checkReadiness() {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for d.lab.ctx.Err() == nil {
		ready := standin.Ready(client, d.ready)
		d.mu.Lock()
		if ready {
			d.misses = 0
		} else {
			d.misses++
		}
		d.mu.Unlock()
		d.lab.awaitCheck()
	}
}

// awaitCheck waits until the platform makes its next readiness checks, which it makes of all daemons
// at the same time.
func (l *lab) awaitCheck() {
	time.Sleep(checkInterval - time.Since(l.log.startedAt)%checkInterval)
}

// isReady reports whether the platform connects clients to the daemon.
func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses < maxMisses
}

// takenPorts holds the ports that freePorts has returned. A daemon listens on its ports only after its
// start.
var takenPorts = make(map[int]bool)

// freePorts returns loopback ports below the ephemeral range that nothing listens on.
func freePorts(n int) []int {
	var ports []int
	for tries := 0; len(ports) < n && tries < 100*n; tries++ {
		port := 15000 + rand.IntN(16000)
		if takenPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		takenPorts[port] = true
		ports = append(ports, port)
	}
	if len(ports) < n {
		panic(&setupError{"ports", fmt.Errorf("%d of %d found", len(ports), n)})
	}
	return ports
}

// withoutChange reports whether the case is played without what stands beside the main disruption,
// to tell which of them matters.
func withoutChange() bool { return os.Getenv("CHANGE") == "0" }
