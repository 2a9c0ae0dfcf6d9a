// Command usagecut plays a small deployment of seven daemons in which the holder of the usage duty is cut
// off from the other daemons, and the store returns from an older copy (a drill). It checks rule ONE: the
// platform must not accept two usage reports for one window with different counts.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	daemons     = 7
	zones       = 4
	hostName    = "usage.example"
	apiKey      = "key-of-account"
	account     = "account"
	usageWindow = 5 * time.Second
	// cutBeforeEnd is how long before the end of a usage window the holder is cut off, and cutTime for
	// how long; the site files cut machines off for up to 12 s.
	cutBeforeEnd = 2 * time.Second
	cutTime      = 12 * time.Second
	// copyAge is the age of the copy with which the store returns, and awayTime how long it is away.
	copyAge  = 3 * time.Second
	awayTime = 100 * time.Millisecond
	// startTime is how long the deployment runs before the first disruption, roundTime the time from
	// one to the next, and runTime the end of the last round.
	startTime = 16 * time.Second
	roundTime = 25 * time.Second
	runTime   = 95 * time.Second
	// requestPause is the pause between two requests of a caller, of which each daemon has one.
	requestPause = 80 * time.Millisecond
)

// Values of TROUBLE. Without one the holder is cut off and the store returns from a copy.
const (
	troubleNone      = "0"
	troubleCutOnly   = "cut"
	troubleDrillOnly = "drill"
)

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	// Daemons end with the thread that has started them.
	runtime.LockOSThread()
	status, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "usagecut:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(status)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// deployment is the daemons and what surrounds them.
type deployment struct {
	record    *record
	folder    string
	links     *links
	store     *standin.Store
	cloud     *cloud
	ledger    *standin.Ledger
	port      int
	processes []*exec.Cmd
	ready     []string
	fronts    []string
	// answered and failed count the callers' requests.
	mu               sync.Mutex
	answered, failed int
	// holder is the number of the daemon that has sent the last report, and reported the last window.
	holder   int
	reported int64
}

func run(recordFile, binary, trouble string) (int, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return 0, err
	}
	// The record is complete when the process ends.
	folder, err := os.MkdirTemp("", "usagecut")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &deployment{record: &record{file: file, started: time.Now()}, folder: folder, links: newLinks(), store: standin.NewStore(), ledger: standin.NewLedger()}
	d.cloud = &cloud{record: d.record, reports: make(map[int64][]report), onReport: d.noteReport}
	defer d.stop()
	if err := d.start(binary); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	var callers sync.WaitGroup
	for i := range daemons {
		callers.Go(func() { d.call(ctx, i) })
	}
	callers.Go(func() { d.recordCalls(ctx) })
	if trouble != troubleNone {
		d.disrupt(ctx, trouble)
	}
	if len(d.cloud.differing()) > 0 {
		cancel()
	}
	callers.Wait()
	d.mu.Lock()
	answered, failed, reported := d.answered, d.failed, d.reported
	d.mu.Unlock()
	d.record.add("requests answered: %d, not answered with success: %d, run at servers: %d", answered, failed, len(d.ledger.All()))
	if answered == 0 || reported == 0 {
		return 0, fmt.Errorf("no requests were answered, or no usage was reported")
	}
	found := d.cloud.differing()
	for _, what := range found {
		d.record.add("ONE broken: %s", what)
		fmt.Println("ONE broken:", what)
	}
	if len(found) > 0 {
		return exitBroken, nil
	}
	d.record.add("ONE held")
	fmt.Println("ONE held")
	return exitHeld, nil
}

// start starts the stand-ins and the daemons and waits until all are ready.
func (d *deployment) start(binary string) error {
	d.store.PutConfiguration(standin.Configuration(1, hostName, []standin.Route{{Prefix: "/look/", Kind: standin.KindIdempotent, Service: "plain", Attempts: 2}},
		map[string][]string{account: {apiKey}}, 0))
	for n := range 3 {
		server := &standin.Server{ID: fmt.Sprintf("server-%d", n), Service: "plain", Zone: "zone-a", WorkTime: 10 * time.Millisecond}
		if err := standin.StartServer(server, d.store, d.ledger, nil); err != nil {
			return err
		}
	}
	cloudAddress, err := serve(d.cloud)
	if err != nil {
		return err
	}
	if d.port, err = d.openLinks(); err != nil {
		return err
	}
	for i := 1; i <= daemons; i++ {
		storeAddress, err := serve(storeFor(d.store, i, daemons, d.port))
		if err != nil {
			return err
		}
		if err := d.startDaemon(binary, i, storeAddress, cloudAddress); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// serve serves a handler on a free loopback port.
func serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// Ports of daemons are tried from firstPort on, in steps of portStep. They are below those that
// systems choose for outgoing connections.
const (
	firstPort = 21000
	portStep  = 10
	portTries = 500
)

// Ports of a daemon beside that for the others, relative to it.
const (
	metricsOffset = 1 + iota
	frontOffset
	readyOffset
)

// openLinks opens the links between all daemons at a port that is free at all addresses.
func (d *deployment) openLinks() (port int, err error) {
	for n := range portTries {
		port = firstPort + portStep*n
		if !isFree(port) {
			continue
		}
		for j := 1; j <= daemons; j++ {
			for i := 1; i <= daemons; i++ {
				if i == j {
					continue
				}
				if err := d.links.listen(j, i, port); err != nil {
					return 0, err
				}
			}
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free ports")
}

// isFree reports whether the daemons can use the ports from one on.
func isFree(port int) bool {
	for i := 1; i <= daemons; i++ {
		addresses := []string{}
		for j := range daemons + 1 {
			addresses = append(addresses, addressSeenBy(j, i))
		}
		for _, address := range addresses {
			for offset := range readyOffset + 1 {
				listener, err := net.Listen("tcp", join(address, port+offset))
				if err != nil {
					return false
				}
				_ = listener.Close()
			}
		}
	}
	return true
}

// nodeName returns the name of daemon i.
func nodeName(i int) string { return fmt.Sprintf("edge-%d", i) }

// settings are those of a small deployment on the users' page, with other names and addresses.
const settings = `node = %q
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "zone-%d"
region = "region"
internalPorts = [%d, %d]
bootstrap = true
countsAsLoss = false
heartbeatMs = 400
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 190000
fencingRequired = false
leaseMs = 3000
usageWindowS = 5
usageTolerance = 0.05
usageLateS = 10
[platform]
address = %q
[cloud]
address = %q
duties = ["usage_reporting"]
`

// startDaemon starts daemon i with the command of the deploy file.
func (d *deployment) startDaemon(binary string, i int, storeAddress, cloudAddress string) error {
	front, ready := join(addressOf(i), d.port+frontOffset), join(addressOf(i), d.port+readyOffset)
	file := filepath.Join(d.folder, nodeName(i)+".toml")
	text := fmt.Sprintf(settings, nodeName(i), addressOf(i), i%zones, d.port, d.port+metricsOffset, front, ready, storeAddress, cloudAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.folder, nodeName(i)+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "--platform")
	command.Env = append(os.Environ(), standin.SettingsEnvVar+"="+file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.processes, d.fronts, d.ready = append(d.processes, command), append(d.fronts, front), append(d.ready, ready)
	return nil
}

// stop ends the daemons.
func (d *deployment) stop() {
	for _, process := range d.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
}

// readyTime is how long the daemons may take until all are ready.
const readyTime = 15 * time.Second

func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	giveUpAt := time.Now().Add(readyTime)
	for _, ready := range d.ready {
		for !standin.Ready(client, ready) {
			if time.Now().After(giveUpAt) {
				return fmt.Errorf("daemon at %s is not ready", ready)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends requests to a daemon until the context ends.
func (d *deployment) call(ctx context.Context, daemon int) {
	client := &http.Client{}
	for n := 0; ctx.Err() == nil; n++ {
		reply := standin.Send(ctx, client, standin.Request{ID: fmt.Sprintf("request-%d-%d", daemon+1, n), Address: d.fronts[daemon], Host: hostName, Path: "/look/x", Key: apiKey, Deadline: 2 * time.Second})
		d.mu.Lock()
		if reply.Err == nil && reply.Status == http.StatusOK {
			d.answered++
		} else {
			d.failed++
		}
		d.mu.Unlock()
		time.Sleep(requestPause)
	}
}

// recordCalls records every second what was sent, answered and run.
func (d *deployment) recordCalls(ctx context.Context) {
	for ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(time.Second))
		d.mu.Lock()
		answered, failed := d.answered, d.failed
		d.mu.Unlock()
		d.record.add("requests so far: sent and ended %d, answered with success %d, run at servers %d", answered+failed, answered, len(d.ledger.All()))
	}
}

// noteReport notes who has reported which window.
func (d *deployment) noteReport(r report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := 1; i <= daemons; i++ {
		if nodeName(i) == r.holder {
			d.holder = i
		}
	}
	d.reported = max(d.reported, r.window)
}

// lastReport returns the last window that was reported, and by which daemon.
func (d *deployment) lastReport() (window int64, holder int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reported, d.holder
}

// disrupt cuts the holder off and lets the store return from a copy, once in each round.
func (d *deployment) disrupt(ctx context.Context, trouble string) {
	next := startTime
	for ctx.Err() == nil {
		sleepUntil(ctx, d.record.started.Add(next))
		if next += roundTime; next > runTime+roundTime/2 {
			return
		}
		d.round(ctx, trouble)
		if len(d.cloud.differing()) > 0 {
			return
		}
	}
}

// round cuts the holder off shortly before the end of a window. Once the window is reported, the store is
// away for a moment and returns from a copy that was made before.
func (d *deployment) round(ctx context.Context, trouble string) {
	end := time.Now().Add(cutBeforeEnd).Truncate(usageWindow).Add(usageWindow)
	window := end.Unix()/int64(usageWindow.Seconds()) - 1
	sleepUntil(ctx, end.Add(-cutBeforeEnd))
	_, holder := d.lastReport()
	if holder == 0 || ctx.Err() != nil {
		return
	}
	if trouble != troubleDrillOnly {
		d.record.add("%s, which holds the duty, is cut off from the other daemons for %v, %v before window %d ends", nodeName(holder), cutTime, cutBeforeEnd, window)
		d.links.cut.Store(int32(holder))
		time.AfterFunc(cutTime, func() {
			d.links.cut.Store(0)
			d.record.add("the links of %s are whole again", nodeName(holder))
		})
	}
	defer sleepUntil(ctx, end.Add(cutTime))
	var copies []standin.Copy
	for reported := int64(0); reported < window; reported, _ = d.lastReport() {
		copies = append(copies, d.store.Copy())
		if sleepUntil(ctx, time.Now().Add(100*time.Millisecond)); ctx.Err() != nil || time.Since(end) > usageWindow {
			return
		}
	}
	if trouble == troubleCutOnly {
		return
	}
	d.record.add("the store is away for %v and returns from a copy that is %v old", awayTime, copyAge)
	d.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	sleepUntil(ctx, time.Now().Add(awayTime))
	d.store.Restore(copies[max(len(copies)-int((copyAge-awayTime)/(100*time.Millisecond)), 0)])
	d.store.SetFaults(standin.Faults{})
	// The operator writes again; servers do so by themselves.
	d.store.PutConfiguration(standin.Configuration(1, hostName, []standin.Route{{Prefix: "/look/", Kind: standin.KindIdempotent, Service: "plain", Attempts: 2}},
		map[string][]string{account: {apiKey}}, 0))
}

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
