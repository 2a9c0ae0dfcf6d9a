// Package soak runs real daemons as separate processes on one machine, injects
// faults from outside and checks the system's guarantees against what callers
// and BackendServers observe. The seed determines which faults are injected,
// when and where; which requests a faulty server affects is drawn by that server
// and does not follow from the seed.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsooncrank/monsooncrank/platform/standin"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon's executable; settings files and logs are
	// written to Folder.
	Binary, Folder string
	Daemons        int
	// Servers is the number of servers of each service; the default is 3.
	Servers int
	Callers int
	// CrashRequests is the number of different requests that crash servers in
	// runs with unplanned faults.
	CrashRequests int
	Duration      time.Duration
	// CrashSenders is the number of callers that send each of them; the default is 1.
	CrashSenders int
	// CrashParts is the number of parts of prompts that crash servers, each in requests of
	// which no two are alike, in runs with unplanned faults.
	CrashParts int
	// UnframedAnswers is the share of the streams that end with their connection, without
	// a length or chunks.
	UnframedAnswers float64
	// ChangeQueries gives the requests that crash servers another query at each try.
	ChangeQueries bool
	// ReplaceServers makes servers that a request has crashed end for good. Other
	// servers start at their addresses, under other IDs.
	ReplaceServers bool
	// StoreAwayUntil is how long the store answers nothing from the start of the
	// requests on.
	StoreAwayUntil time.Duration
	// Versions is the number of software versions of the servers; the default is 1.
	Versions int
	// CutAnswers is the share of the answers that each server breaks off.
	CutAnswers float64
	// ReportFails is the share of the questions for their runs that servers do not answer as they
	// should.
	ReportFails float64
	// KillEvery is the time after which the next daemon is killed and started again; 0
	// means never.
	KillEvery time.Duration
	// LeaveEvery is the time after which the next server of each service is replaced; 0
	// means never. Servers are stuck for a while in turn meanwhile.
	LeaveEvery time.Duration
	// DrainTime is how long a leaving server continues to serve; the default is 5 s.
	DrainTime time.Duration
	// DisturbedDaemons is the number of daemons that are paused, killed and cut off from
	// the store while the others are left alone.
	DisturbedDaemons int
	// StoreFaultEvery is the time after which the store is disturbed for a moment again; 0
	// means never.
	StoreFaultEvery time.Duration
	// NoFaults leaves out all faults but those of the options above and RestartAllAt.
	NoFaults bool
	// CutDaemons is the number of daemons that lose their links to all servers from CutFrom
	// on for CutFor. Open connections live on if CutAlive is set; otherwise they hang.
	CutDaemons      int
	CutFrom, CutFor time.Duration
	CutAlive        bool
	// BrittleMost makes all servers state throughout the run that they are brittle: they run
	// at most BrittleRoom requests at the same time and fall over when they have to turn away
	// more than BrittleMost in a second. 0 means that they are not, as in runs with planned
	// stops and changes only.
	BrittleMost, BrittleRoom int
	// LimitedServers is the number of servers that state a request limit of one a
	// second throughout the run.
	LimitedServers int
	// StatementEvery is the time after which a server says again that it leaves, or asks for
	// pauses, while its entry lapses or states nothing of it; 0 means never.
	StatementEvery time.Duration
	// UsageRate is the usage limit of the account in requests per second; 0 means none.
	UsageRate float64
	// Upgrade is how the build of the daemons changes, between OldBinary and Binary, and
	// UpgradeEvery the time after which the next daemon is replaced.
	Upgrade      Upgrade
	OldBinary    string
	UpgradeEvery time.Duration
	// Rollout is the order that the operator gives, if any.
	Rollout *Rollout
	// RestartAllAt holds the times at which all daemons are killed at once.
	RestartAllAt []time.Duration
	// Releases holds what happens beside further losses of all daemons, which follow one another
	// every LossEvery.
	Releases  []Release
	LossEvery time.Duration
	// DrillEvery is the mean time between two drills, in which the store returns from an older
	// copy, and CutEvery that between two cuts of a daemon from the platform; 0 means never.
	DrillEvery, CutEvery time.Duration
	// OddEntryEvery is the time after which another writer leaves an odd entry among those of the
	// servers, or removes one; 0 means never.
	OddEntryEvery time.Duration
	// WorkTime is the time that a server takes for a request or an event; the default is 15 ms.
	WorkTime time.Duration
	// StreamTries is how often the caller of a stream sends it; the default is 4.
	StreamTries int
	// InPlace lets servers of streams start again in place with other software versions, in runs
	// with unplanned faults; nil means never. StreamCallers is the number of callers that send only
	// long streams in such runs.
	InPlace       *InPlace
	StreamCallers int
	// Misbehaving is the number of clients that keep to no limit.
	Misbehaving int
	// ClockBehind returns by how much the clock of the n-th server is behind; nil means that all
	// clocks agree.
	ClockBehind func(n int) time.Duration
}

const (
	hostName = "soak.example"
	apiKey   = "key-of-account"
	// readyTimeout limits how long the daemons may take until all are ready.
	readyTimeout = 15 * time.Second
	// configurationApplyTime is how long a configuration may take to be in force
	// on daemons that run without faults.
	configurationApplyTime = 4 * time.Second
	// requestDeadline is the deadline that callers set on each request.
	requestDeadline = 3 * time.Second
)

// harness holds the daemons, the simulated platform and servers, and the results of
// one run.
type harness struct {
	options Options
	random  *rand.Rand
	store   *standin.Store
	ledger  *standin.Ledger
	cloud   *standin.Cloud
	// proxies holds the proxy in front of the store by daemon name and the proxy
	// in front of each server by server ID.
	proxies map[string]*Proxy
	daemons []*daemon
	// daemonsByAddress holds the daemons by source address.
	daemonsByAddress map[string]*daemon
	// planned limits the run to planned stops and changes, without other faults.
	planned       bool
	crashRequests []*crashRequest
	crashParts    []*crashPart

	mu             sync.Mutex
	servers        map[string]*standin.Server
	startedServers int
	// leavingServers holds the servers that have left, receivers the daemon that
	// received each request, and faults the spans in which links and the store were
	// disturbed.
	leavingServers []*standin.Server
	receivers      map[string]*daemon
	faults         map[string][]span
	// allServers holds every server that was started. told holds when each daemon
	// passed on answers that state a limit, by server.
	allServers []*standin.Server
	told       map[string]map[*daemon][]time.Time
	// sentAt holds when callers sent each request, and toldLeaving when the caller of each
	// daemon received an answer which states that its server leaves, by server.
	sentAt      map[string]time.Time
	toldLeaving map[string]map[*daemon][]leavingNotice
	// version is the version of the last published configuration; publishedAt
	// holds the publication time of each version.
	version     int
	publishedAt []time.Time
	// streamTries holds the tries of streams that may be taken up, streams counts them, and
	// joinedStreams describes those that hold events of several software versions.
	streamTries   []streamTry
	streams       StreamCounts
	joinedStreams []string
	// streamGate is held while a stream is sent.
	streamGate sync.RWMutex
	// unsettled counts what changes the run of a server while daemons may not know of it, and
	// startedInPlace the servers that started again in place.
	unsettled      map[*standin.Server]int
	startedInPlace int
	// released is the version of the servers of the last release, if there was one.
	released string
	// takeUps counts the answers to tries to take a stream up while servers of its version serve,
	// and takeUpsUnknown those that refuse it because its version is not known.
	takeUps, takeUpsUnknown int
	// resumedTries counts the tries to take a stream up at daemons in touch, while servers
	// of its version served, and resumed those that went on.
	resumed, resumedTries int
	// fewTakenUp states that streams taken up were refused much more often than new ones.
	fewTakenUp string
	// leavingChecked is the number of requests that reached leaving servers from daemons in
	// touch.
	leavingChecked int
	// toldCount is the number of answers that state that their server leaves, and
	// pauseCount that of pauses.
	toldCount, pauseCount int
	// cutDaemons holds the daemons that are cut off from all servers now, serverCuts all
	// cuts, and firstTries the first tries of callers. Of cutSent first tries at daemons that
	// were cut off, cutServed were served.
	cutDaemons         map[*daemon]bool
	serverCuts         []serverCut
	firstTries         []firstTry
	cutServed, cutSent int
	// overLimit is the number of requests that were refused for the usage limit, and
	// fullestWindow the most that ran in usageWindow.
	overLimit, fullestWindow int
	// upgraded is the number of daemons that were replaced by another build.
	upgraded int
	rollout  rolloutRecord
	drills   drills
	// callersEndedAt is when the callers have ended.
	callersEndedAt time.Time
	findings       []string
	sent           int
	succeeded      int
}

// Report holds the results of a run: the requests that callers sent, those that
// succeeded, and the guarantees that were violated.
type Report struct {
	Seed      uint64
	Planned   bool
	Sent      int
	Succeeded int
	// Resumed is the number of streams that went on, of ResumedTries that were taken up
	// while this was to be expected.
	Resumed, ResumedTries int
	// TakeUpsUnknown is the number of answers that refuse to take a stream up because its version
	// is not known, of TakeUps while servers of its version serve.
	TakeUpsUnknown, TakeUps int
	// OverLimit is the number of requests that were refused for the usage limit, and
	// FullestWindow the most that ran in usageWindow, of WindowLimit that may.
	OverLimit, FullestWindow int
	WindowLimit              float64
	// LeavingChecked is the number of requests that reached servers after they had left,
	// whether in time or not, from daemons in touch.
	LeavingChecked int
	// Told is the number of answers that told daemons that their server leaves, and Paused
	// that of pauses which servers asked for.
	Told, Paused int
	// Upgraded is the number of daemons that were replaced by another build.
	Upgraded int
	// CutServed is the number of first tries that were served, of CutSent at daemons that were
	// cut off from all servers while others were not.
	CutServed, CutSent int
	// Rollout says what became of an order to roll a version out.
	Rollout string
	// Drills is the number of times that the store has returned from an older copy, and Windows
	// that of usage windows that were reported.
	Drills, Windows int
	Findings        []string
	// Streams counts the streams that may be taken up, and Joined describes each that holds events
	// of two software versions.
	Streams StreamCounts
	Joined  []string
	// InPlace is the number of servers that started again in place with another version.
	InPlace int
	// FewTakenUp states that streams taken up were refused much more often than new ones, or is
	// empty.
	FewTakenUp string
}

// Run executes the run of one seed. Seeds divisible by 3 have planned stops and
// changes only.
func Run(options Options) (Report, error) {
	h := &harness{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), store: standin.NewStore(), ledger: standin.NewLedger(),
		cloud: standin.NewCloud(), proxies: make(map[string]*Proxy), servers: make(map[string]*standin.Server), receivers: make(map[string]*daemon), faults: make(map[string][]span), told: make(map[string]map[*daemon][]time.Time), unsettled: make(map[*standin.Server]int),
		sentAt: make(map[string]time.Time), toldLeaving: make(map[string]map[*daemon][]leavingNotice), daemonsByAddress: make(map[string]*daemon), cutDaemons: make(map[*daemon]bool), planned: options.Seed%3 == 0}
	if err := h.setUp(); err != nil {
		h.stop()
		return Report{}, err
	}
	defer h.stop()
	if !h.waitUntilReady() {
		h.addFinding("not all daemons were ready within %v", readyTimeout)
		return h.report(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.Duration)
	defer cancel()
	var running sync.WaitGroup
	for i := range options.Callers {
		running.Go(func() { h.runCaller(ctx, i) })
	}
	if !h.planned {
		for i := range options.StreamCallers {
			running.Go(func() { h.runStreamCaller(ctx, i) })
		}
	}
	for i := range h.options.CrashRequests {
		if !h.planned {
			c := newCrashRequest(h.options.Seed, i)
			h.crashRequests = append(h.crashRequests, c)
			for sender := range max(h.options.CrashSenders, 1) {
				running.Go(func() { c.sendRepeatedly(ctx, h, i, sender) })
			}
		}
	}
	for i := range h.options.CrashParts {
		if !h.planned {
			c := newCrashPart(h.options.Seed, i)
			h.crashParts = append(h.crashParts, c)
			running.Go(func() { c.sendRepeatedly(ctx, h, i) })
		}
	}
	for _, s := range h.allServers[:options.LimitedServers] {
		s.StateLimit(1)
	}
	if h.options.BrittleMost > 0 && !h.planned {
		h.stateBrittle()
	}
	if h.options.CutDaemons > 0 {
		running.Go(func() {
			sleep(ctx, h.options.CutFrom)
			h.cutFromServers(ctx, h.daemons[:h.options.CutDaemons], h.options.CutAlive, h.options.CutFor)
		})
	}
	if h.options.StoreAwayUntil > 0 {
		running.Go(func() {
			h.storeFault(ctx, standin.Faults{Status: http.StatusServiceUnavailable}, h.options.StoreAwayUntil)
		})
	}
	if h.options.LeaveEvery > 0 {
		running.Go(func() { h.replaceInTurn(ctx, h.options.LeaveEvery) })
	}
	if h.options.StatementEvery > 0 && !h.planned {
		running.Go(func() { h.makeStatements(ctx, h.options.StatementEvery) })
	}
	if h.options.StoreFaultEvery > 0 {
		running.Go(func() { h.disturbStore(ctx, h.options.StoreFaultEvery) })
	}
	for i := range h.options.DisturbedDaemons {
		running.Go(func() { h.disturbRepeatedly(ctx, i) })
	}
	if h.options.KillEvery > 0 {
		running.Go(func() { h.killInTurn(ctx, h.options.KillEvery) })
	}
	if h.options.Upgrade != UpgradeNone {
		running.Go(func() { h.upgrade(ctx) })
	}
	for _, at := range h.options.RestartAllAt {
		running.Go(func() {
			sleep(ctx, at)
			h.restartAll()
		})
	}
	for i, release := range h.options.Releases {
		running.Go(func() { h.loseAllBeside(ctx, i, time.Duration(i+1)*h.options.LossEvery, release) })
	}
	if h.options.Rollout != nil {
		running.Go(func() { h.rollOut(ctx, h.options.Rollout) })
	}
	if h.options.OddEntryEvery > 0 {
		running.Go(func() { h.writeOddEntries(ctx, h.options.OddEntryEvery) })
	}
	if h.options.DrillEvery > 0 && !h.planned {
		running.Go(func() { h.drillRepeatedly(ctx, h.options.DrillEvery) })
	}
	if h.options.InPlace != nil && !h.planned {
		running.Go(func() { h.startInPlace(ctx, h.options.InPlace) })
	}
	if h.options.CutEvery > 0 && !h.planned {
		running.Go(func() { h.cutFromPlatform(ctx, h.options.CutEvery) })
	}
	for i := range h.options.Misbehaving {
		running.Go(func() { h.misbehave(ctx, i) })
	}
	if !h.options.NoFaults {
		h.injectFaults(ctx)
	}
	running.Wait()
	h.callersEndedAt = time.Now()
	h.checkOwnEnds()
	h.checkMemory()
	h.recover()
	h.checkFinalState()
	return h.report(), nil
}

func (h *harness) report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Report{Seed: h.options.Seed, Planned: h.planned, Sent: h.sent, Succeeded: h.succeeded, Resumed: h.resumed, ResumedTries: h.resumedTries, TakeUps: h.takeUps, TakeUpsUnknown: h.takeUpsUnknown, LeavingChecked: h.leavingChecked, Told: h.toldCount, Paused: h.pauseCount, Upgraded: h.upgraded, OverLimit: h.overLimit, FullestWindow: h.fullestWindow, WindowLimit: h.options.windowLimit(), CutServed: h.cutServed, CutSent: h.cutSent, Rollout: h.rollout.String(), Drills: h.drills.count, Windows: len(h.cloud.Reports()), Findings: h.findings, Streams: h.streams, Joined: h.joinedStreams, InPlace: h.startedInPlace, FewTakenUp: h.fewTakenUp}
}

// addFinding records a violated guarantee.
func (h *harness) addFinding(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings = append(h.findings, fmt.Sprintf(format, args...))
}

// defaultWorkTime is the default time that a server takes for a request or an event.
const defaultWorkTime = 15 * time.Millisecond

// defaultServers is the default number of servers of each service.
const defaultServers = 3

// setUp starts the simulated platform, the servers of each service and the
// daemons.
func (h *harness) setUp() error {
	store, cloud := httptest.NewServer(h.store), httptest.NewServer(h.cloud)
	h.publish()
	for range cmp.Or(h.options.Servers, defaultServers) {
		for _, service := range []string{"models", "plain"} {
			if err := h.addServer(service); err != nil {
				return err
			}
		}
	}
	for i := range h.options.Daemons {
		// Each daemon has its own proxy to the store, so that faults can be
		// limited to one daemon.
		proxy, err := NewProxy(strings.TrimPrefix(store.URL, "http://"))
		if err != nil {
			return err
		}
		cloudProxy, err := NewProxy(strings.TrimPrefix(cloud.URL, "http://"))
		if err != nil {
			return err
		}
		h.proxies[nodeName(i)], h.proxies[cloudLink(nodeName(i))] = proxy, cloudProxy
		d, err := newDaemon(h.options.firstBinary(), h.options.Folder, i, fmt.Sprintf("zone-%d", i%3), proxy.Address(), cloudProxy.Address())
		if err != nil {
			return err
		}
		d.settings.Rollouts = h.options.Rollout != nil
		h.daemons = append(h.daemons, d)
		h.mu.Lock()
		h.daemonsByAddress[d.sourceAddress] = d
		h.mu.Unlock()
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server of a service and puts it into service.
func (h *harness) addServer(service string) error {
	s, err := h.startServer(service, nil)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers[s.ID] = s
	return nil
}

// replaceEndedServer starts another server at the address of one that has ended, and
// puts it into service unless the ended one was being drained.
func (h *harness) replaceEndedServer(ended *standin.Server) {
	s, err := h.startServer(ended.Service, ended)
	if err != nil {
		h.addFinding("replacement of server %s failed to start: %v", ended.ID, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servers[ended.ID] == ended {
		delete(h.servers, ended.ID)
		h.servers[s.ID] = s
	}
}

// startServer starts a server of a service behind a new proxy, or behind the one of a
// server that has ended.
func (h *harness) startServer(service string, ended *standin.Server) (*standin.Server, error) {
	return h.startVersion(service, "", ended)
}

// startVersion starts a server with a software version as startServer does; an empty version
// is chosen by the number of the server.
func (h *harness) startVersion(service, version string, ended *standin.Server) (*standin.Server, error) {
	h.mu.Lock()
	h.startedServers++
	number := h.startedServers
	h.mu.Unlock()
	id, zone := fmt.Sprintf("%s-%d", service, number), fmt.Sprintf("zone-%d", number%3)
	if ended != nil {
		zone = ended.Zone
	}
	s := &standin.Server{ID: id, Service: service, Zone: zone, WorkTime: cmp.Or(h.options.WorkTime, defaultWorkTime), EventCount: streamEvents, Unframed: h.options.UnframedAnswers,
		DownTime: minDownTime + time.Duration(number)*downTimeStep%(maxDownTime-minDownTime)}
	s.Version = cmp.Or(version, h.versionOf(number))
	if h.options.ClockBehind != nil {
		s.ClockBehind = h.options.ClockBehind(number)
	}
	s.NextVersion = func() string {
		if version != "" {
			return version
		}
		return h.versionOf(rand.IntN(max(h.options.Versions, 1)) * servicesCount)
	}
	s.OnDown = func(down bool) {
		if err := h.proxy(id).Refuse(down); err != nil {
			h.addFinding("proxy of server %s failed to listen again: %v", id, err)
		}
	}
	if h.options.ReplaceServers {
		s.Replace = func() { h.replaceEndedServer(s) }
	}
	start := func(address string) error {
		s.Address = address
		return standin.StartServer(s, h.store, h.ledger, func(address string) (string, error) {
			proxy, err := h.proxyFor(ended, address)
			if err != nil {
				return "", err
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			proxy.rejects = h.isCut
			h.proxies[id] = proxy
			return proxy.Address(), nil
		})
	}
	var err error
	if ended != nil {
		err = start(ended.Address)
	} else {
		err = withFreeAddress(start)
	}
	if err != nil {
		return nil, err
	}
	s.SetFaults(h.usualFaults())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allServers = append(h.allServers, s)
	return s, nil
}

// usualFaults are the faults that servers always have.
func (h *harness) usualFaults() standin.ServerFaults {
	return standin.ServerFaults{Cut: h.options.CutAnswers, ReportFails: h.options.ReportFails}
}

// proxyFor returns the proxy of a server that has ended, which accepts connections
// again, or a new one.
func (h *harness) proxyFor(ended *standin.Server, address string) (*Proxy, error) {
	if ended == nil {
		return NewProxy(address)
	}
	proxy := h.proxy(ended.ID)
	return proxy, proxy.Refuse(false)
}

// servicesCount is the number of services, whose servers are started in turn.
const servicesCount = 2

// versionOf returns the software version of a server by its number.
func (h *harness) versionOf(number int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released != "" {
		return h.released
	}
	return fmt.Sprint("v", number/servicesCount%max(h.options.Versions, 1)+1)
}

// downTimeStep makes the down times of servers differ.
const downTimeStep = 700 * time.Millisecond

// publish publishes the next configuration. Each version adds a marker route,
// by which checkFinalState recognizes that it is in force.
func (h *harness) publish() {
	h.mu.Lock()
	h.version++
	h.publishedAt = append(h.publishedAt, time.Now())
	h.mu.Unlock()
	h.store.PutConfiguration(h.configuration())
}

// configuration returns the last published configuration.
func (h *harness) configuration() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	routes := []standin.Route{
		{Prefix: "/once/", Kind: standin.KindOnce, Service: "plain", Attempts: 2},
		{Prefix: "/look/", Kind: standin.KindIdempotent, Service: "plain", Attempts: 2},
		{Prefix: "/stream/resumable/", Kind: standin.KindStream, Service: "models", Attempts: 3, Resumable: true},
		{Prefix: "/stream/once/", Kind: standin.KindStream, Service: "models", Attempts: 1},
	}
	for v := 1; v <= h.version; v++ {
		routes = append(routes, standin.Route{Prefix: markerPrefix(v), Kind: standin.KindIdempotent, Service: "plain", Attempts: 2})
	}
	return standin.Configuration(h.version, hostName, routes, map[string][]string{"account": {apiKey}}, h.options.UsageRate)
}

// markerPrefix returns the path prefix of the route that a version adds.
func markerPrefix(version int) string { return fmt.Sprintf("/marker/%d/", version) }

// waitUntilReady reports whether all daemons became ready within readyTimeout.
func (h *harness) waitUntilReady() bool {
	client := &http.Client{Timeout: time.Second}
	giveUpAt := time.Now().Add(readyTimeout)
	for _, d := range h.daemons {
		for !standin.Ready(client, d.settings.Ready) {
			if time.Now().After(giveUpAt) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// recover ends all faults and waits until the daemons have recovered.
func (h *harness) recover() {
	h.store.SetFaults(standin.Faults{})
	for _, p := range h.proxies {
		p.SetMode(PassThrough)
	}
	for _, d := range h.daemons {
		d.signal(syscall.SIGCONT)
	}
	time.Sleep(configurationApplyTime)
	if !h.waitUntilReady() {
		h.addFinding("not all daemons were ready %v after the last fault", readyTimeout)
	}
}

// stop kills the daemons that the run has started and closes the proxies.
func (h *harness) stop() {
	for _, d := range h.daemons {
		if d.process != nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			d.wait()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.proxies {
		p.Close()
	}
}
