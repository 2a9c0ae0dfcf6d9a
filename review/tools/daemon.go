package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 8 * time.Second

// shortDelay is the pause after which the platform starts a process again.
const shortDelay = 300 * time.Millisecond

// deployCommand is the command of deploy/system.toml, in the root of the repository.
var deployCommand = []string{"target/monsooncrankd", "--platform"}

// daemon runs one daemon as a process of its own.
type daemon struct {
	node, zone   string
	front, ready string
	settings     string
	logs         string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	starts  int
	// startedAt is the time of the last start.
	startedAt time.Time
	// closed is set at the end of the play, after which the process isn't started again.
	closed bool
}

// settingsText is laid out as DEPLOY.md shows it, with the figures of the small deployments.
const settingsText = `node = %q
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "tbilisi"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[zones]
tbilisi-a = "tbilisi"
tbilisi-b = "tbilisi"
tbilisi-c = "tbilisi"
tbilisi-d = "tbilisi"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 190000
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
usageWindowS = 5
usageTolerance = 0.05
usageLateS = 10
recoveryS = 12
passMs = 120
reuseWindowS = 10
[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloud]
address = %q
ratePerS = 50.0
duties = ["usage_reporting","autoscaling"]
dutyPerS = 50.0
`

// loopbackAddress returns the loopback address of the daemons. It differs between plays that run at
// the same time.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8%250, 1+pid%250)
}

// freePorts returns n consecutive ports of an address, below the range of ephemeral ports, that
// nothing listens on.
func freePorts(address string, n int) (int, error) {
	for range 200 {
		first := 12000 + rand.IntN(18000)
		free := true
		for i := range n {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, first+i))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// portsPerDaemon is the number of ports of a daemon: front, ready and two internal ones.
const portsPerDaemon = 4

func newDaemon(folder, node, zone string, firstPort int, storeAddress, cloudAddress string) (*daemon, error) {
	address := loopbackAddress()
	d := &daemon{node: node, zone: zone, front: fmt.Sprintf("%s:%d", address, firstPort), ready: fmt.Sprintf("%s:%d", address, firstPort+1),
		settings: filepath.Join(folder, node+".toml"), logs: folder}
	text := fmt.Sprintf(settingsText, node, address, zone, firstPort+2, firstPort+3, d.front, d.ready, storeAddress, cloudAddress)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return fmt.Errorf("%s is not started after the end of the play", d.node)
	}
	d.starts++
	log, err := os.Create(filepath.Join(d.logs, fmt.Sprintf("%s-%d.log", d.node, d.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(deployCommand[0], deployCommand[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONCRANK_BOOT=" + d.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.process, d.exited, d.startedAt = command.Process, make(chan struct{}), time.Now()
	exited := d.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		// The process may have ended.
		_ = d.process.Signal(s)
	}
}

// stop ends the process with SIGTERM, or with SIGKILL after the grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		d.kill()
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill()
	<-exited
}

// close ends the process for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.kill()
}

// isReady makes the platform's readiness check.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
