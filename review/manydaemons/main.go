// Command manydaemons plays a deployment of more than 64 daemons while workers of two software versions
// serve side by side, and kills some or all of the daemons. It checks rule LOST: of the streams that clients
// take up again at machines in touch, the share that goes on must not be under half of the share of new
// streams that begin.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

const (
	// daemons is the number of daemons; the grown deployments have 63 to 85.
	daemons  = 66
	zones    = 4
	hostName = "streams.example"
	apiKey   = "key-of-account"
	path     = "/stream/resumable/"
	// servers is the number of workers of each version.
	servers = 4
	// eventPause is the time between two events of a stream.
	eventPause = 80 * time.Millisecond
	// serveTime is how long the deployment serves before the daemons are killed, and afterTime how long
	// after that.
	serveTime = 12 * time.Second
	afterTime = 14 * time.Second
	// downTime is how long killed daemons are down.
	downTime = time.Second
	// contact is how long a daemon must have run undisturbed to be in touch (contactMs).
	contact = 4 * time.Second
	// minTakeUps is the number of streams that are taken up from which on the rule applies.
	minTakeUps = 12
	readyTime  = 40 * time.Second
)

// scenario is what the two cases differ in.
type scenario struct {
	// killed is the number of daemons that are killed at once.
	killed int
	// events is the number of events of a stream, and callers how many clients send them.
	events, callers int
	// deadline is that of a client, over all its tries, which are retryPause apart.
	deadline, retryPause time.Duration
	// idle is the longest pause of a client between two streams.
	idle time.Duration
}

// scenarios are those of case 11 and case 13. The streams of the first last half a second, as most of
// kodiclub-enrol-grown do.
var scenarios = map[string]scenario{
	"some": {killed: daemons * 55 / 100, events: 6, callers: 150, deadline: 5 * time.Second, retryPause: 600 * time.Millisecond, idle: 600 * time.Millisecond},
	"all":  {killed: daemons, events: 50, callers: 60, deadline: 12 * time.Second, retryPause: 1500 * time.Millisecond, idle: 2 * time.Second},
}

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	// Daemons end with the thread that has started them.
	runtime.LockOSThread()
	status, err := run(os.Args[1], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "manydaemons:", err)
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

// daemon is one daemon process.
type daemon struct {
	settings standin.DaemonSettings
	command  *exec.Cmd

	mu sync.Mutex
	// undisturbedSince is when the process was last started, or zero while it is down.
	undisturbedSince time.Time
}

// inTouch reports whether the daemon has run for as long as contact.
func (d *daemon) inTouch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.undisturbedSince.IsZero() && time.Since(d.undisturbedSince) >= contact
}

func (d *daemon) isUp() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.undisturbedSince.IsZero()
}

// deployment is the daemons and what surrounds them.
type deployment struct {
	scenario scenario
	record   *record
	folder   string
	binary   string
	store    *standin.Store
	ledger   *standin.Ledger
	servers  []*standin.Server
	daemons  []*daemon

	mu sync.Mutex
	// begun counts the new streams at daemons in touch that brought an event, of begunTries, and resumed
	// those that went on, of resumedTries that were taken up at daemons in touch.
	begun, begunTries, resumed, resumedTries int
	next                                     int
}

func run(name, recordFile, binary string) (int, error) {
	s, known := scenarios[name]
	if !known {
		return 0, fmt.Errorf("no scenario %q", name)
	}
	if os.Getenv("TROUBLE") == "0" {
		s.killed = 0
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return 0, err
	}
	folder, err := os.MkdirTemp("", "manydaemons")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d := &deployment{scenario: s, record: &record{file: file, started: time.Now()}, folder: folder, binary: binary, store: standin.NewStore(), ledger: standin.NewLedger()}
	defer d.stop()
	if err := d.start(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTime+afterTime)
	defer cancel()
	var callers sync.WaitGroup
	for i := range s.callers {
		callers.Go(func() { d.call(ctx, i) })
	}
	time.Sleep(serveTime)
	if err := d.killDaemons(); err != nil {
		return 0, err
	}
	callers.Wait()
	return d.judge()
}

// judge says whether the rule was broken.
func (d *deployment) judge() (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	what := fmt.Sprintf("at daemons in touch %d of %d new streams began, and of %d that were taken up %d went on; workers ran %d requests",
		d.begun, d.begunTries, d.resumedTries, d.resumed, len(d.ledger.All()))
	d.record.add("%s", what)
	fmt.Println(what)
	if d.begun == 0 {
		return 0, fmt.Errorf("no stream began")
	}
	if d.scenario.killed > 0 && d.resumedTries < minTakeUps && os.Getenv("SINGLE") != "1" {
		return 0, fmt.Errorf("too few streams were taken up")
	}
	// Without take-ups the share is not defined, and the rule holds.
	if d.resumedTries >= minTakeUps && 2*d.resumed*d.begunTries < d.begun*d.resumedTries {
		fmt.Println("LOST broken")
		return exitBroken, nil
	}
	fmt.Println("LOST held")
	return exitHeld, nil
}

// start starts the stand-ins and the daemons and waits until all are ready.
func (d *deployment) start() error {
	d.store.PutConfiguration(standin.Configuration(1, hostName, []standin.Route{{Prefix: path, Kind: standin.KindStream, Service: "models", Attempts: 2, Resumable: true, Timeout: d.scenario.deadline}},
		map[string][]string{"account": {apiKey}}, 0))
	for n := range 2 * servers {
		// SINGLE=1 plays the same with one version.
		version := "v1"
		if n >= servers && os.Getenv("SINGLE") != "1" {
			version = "v2"
		}
		s := &standin.Server{ID: fmt.Sprintf("server-%d", n), Service: "models", Zone: fmt.Sprintf("zone-%d", n%zones), Version: version, WorkTime: eventPause, EventCount: d.scenario.events}
		if err := standin.StartServer(s, d.store, d.ledger, nil); err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	store, cloud := httptest.NewServer(d.store), httptest.NewServer(standin.NewCloud())
	ports, err := freePorts(4 * daemons)
	if err != nil {
		return err
	}
	for i := range daemons {
		own := ports[4*i : 4*i+4]
		address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", own[n]) }
		d.daemons = append(d.daemons, &daemon{settings: standin.DaemonSettings{Node: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Front: address(2), Ready: address(3), PeerPort: own[0], MetricsPort: own[1],
			StoreAddress: strings.TrimPrefix(store.URL, "http://"), CloudAPI: strings.TrimPrefix(cloud.URL, "http://"), Grace: 8 * time.Second, UsageWindow: 5 * time.Second, Bootstrap: true}})
	}
	for _, one := range d.daemons {
		if err := d.startDaemon(one); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// Ports of daemons are below those that systems choose for outgoing connections.
const firstPort, lastPort = 15000, 31000

// freePorts returns ascending free ports of the loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for port := firstPort + os.Getpid()%4000; port < lastPort && len(ports) < n; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("only %d of %d ports are free", len(ports), n)
	}
	return ports, nil
}

// startDaemon starts a daemon with the command of the deploy file.
func (d *deployment) startDaemon(one *daemon) error {
	settings := filepath.Join(d.folder, one.settings.Node+".toml")
	file, err := os.Create(settings)
	if err != nil {
		return err
	}
	if err := standin.WriteSettings(file, one.settings); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	command := exec.Command(d.binary, "--platform")
	command.Env = append(os.Environ(), standin.SettingsEnvVar+"="+settings)
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		log, err := os.OpenFile(filepath.Join(folder, one.settings.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
		command.Stdout, command.Stderr = log, log
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.command, one.undisturbedSince = command, time.Now()
	// Only the first start of all is one of the whole deployment.
	one.settings.Bootstrap = false
	return nil
}

// kill kills a daemon and waits for its end.
func (one *daemon) kill() {
	one.mu.Lock()
	one.undisturbedSince = time.Time{}
	command := one.command
	one.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// killDaemons kills daemons at once and starts them again.
func (d *deployment) killDaemons() error {
	killed := d.daemons[:d.scenario.killed]
	if len(killed) == 0 {
		return nil
	}
	d.record.add("%d of %d daemons are killed at once, and are down for %v", len(killed), daemons, downTime)
	var ends sync.WaitGroup
	for _, one := range killed {
		ends.Go(one.kill)
	}
	ends.Wait()
	time.Sleep(downTime)
	for _, one := range killed {
		if err := d.startDaemon(one); err != nil {
			return err
		}
	}
	d.record.add("the daemons are started again")
	return nil
}

// stop ends the daemons.
func (d *deployment) stop() {
	var ends sync.WaitGroup
	for _, one := range d.daemons {
		ends.Go(one.kill)
	}
	ends.Wait()
}

func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	giveUpAt := time.Now().Add(readyTime)
	for _, one := range d.daemons {
		for !standin.Ready(client, one.settings.Ready) {
			if time.Now().After(giveUpAt) {
				return fmt.Errorf("%s is not ready", one.settings.Node)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("%d daemons are ready", daemons)
	return nil
}

// choose returns the next daemon that is up, as a load balancer does, or nil.
func (d *deployment) choose() *daemon {
	for range daemons {
		d.mu.Lock()
		d.next++
		// A step without a common divisor with the number of daemons spreads the clients.
		one := d.daemons[d.next*29%daemons]
		d.mu.Unlock()
		if one.isUp() {
			return one
		}
	}
	return nil
}

// call sends streams as one client until the context ends. New streams are sent until the last second in
// which they can end.
func (d *deployment) call(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		// Clients don't send in step.
		time.Sleep(rand.N(d.scenario.idle))
		d.stream(ctx, fmt.Sprintf("stream-%d-%d", caller, n))
	}
}

// stream sends a stream and takes it up again when it breaks off, within the deadline.
func (d *deployment) stream(ctx context.Context, id string) {
	// A client opens a new connection for each try.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	endsAt := time.Now().Add(d.scenario.deadline)
	request := standin.Request{ID: id, Host: hostName, Path: path + "x", Key: apiKey}
	last, version := 0, ""
	takenUp, wentOn := false, false
	for try := 0; time.Until(endsAt) > 500*time.Millisecond && ctx.Err() == nil; try++ {
		one := d.choose()
		if one == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		counts := one.inTouch()
		request.Address, request.Deadline = one.settings.Front, time.Until(endsAt)
		if try > 0 {
			request.ID = fmt.Sprintf("%s-%d", id, try)
		}
		request.LastEventID = fmt.Sprint(last)
		reply := standin.Send(context.WithoutCancel(ctx), client, request)
		events, _ := standin.ParseEvents(reply.Body)
		if reply.Status != http.StatusOK {
			events = nil
		}
		switch {
		case last == 0 && counts && one.inTouch():
			d.count(&d.begun, &d.begunTries, len(events) > 0)
		case last > 0 && counts && reply.Err == nil && d.serving(version) >= 2:
			takenUp, wentOn = true, wentOn || len(events) > 0
			d.record.add("%s takes %s up after event %d at %s: status %d, %d events", request.ID, request.Resumes, last, one.settings.Node, reply.Status, len(events))
		}
		if len(events) > 0 {
			if last == 0 {
				request.Resumes, version = request.ID, events[0].Version
			}
			last = events[len(events)-1].Number
		}
		if last >= d.scenario.events || last == 0 && reply.Err == nil {
			break
		}
		pause := d.scenario.retryPause
		if !takenUp && d.scenario.killed < daemons {
			// The first try follows at once.
			pause = 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
	if takenUp {
		d.count(&d.resumed, &d.resumedTries, wentOn)
	}
}

func (d *deployment) count(succeeded, tries *int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*tries++
	if ok {
		*succeeded++
	}
}

// serving returns how many workers of a version serve.
func (d *deployment) serving(version string) int {
	n := 0
	for _, s := range d.servers {
		if s.Serves(version) {
			n++
		}
	}
	return n
}
