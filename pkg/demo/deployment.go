package demo

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/daemon"
	platformcloud "github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/standin/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/standin/hostlist"
	"github.com/monsooncrank/monsooncrank/pkg/standin/objectserver"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
	"github.com/monsooncrank/monsooncrank/pkg/standin/tableserver"
)

const (
	loopback = "127.0.0.1:0"
	// daemonsPerOperator is how many entry hosts each operator has today.
	daemonsPerOperator = 7

	// hostListLag is how old the host list is.
	hostListLag = time.Second
	// hostPollInterval is how soon a bought Host runs its BackendServer.
	hostPollInterval = 100 * time.Millisecond

	engineLoadLag    = time.Second
	engineEventDelay = 200 * time.Millisecond
	engineEventGap   = 10

	// crashMarker in a message kills the engine that runs it.
	crashMarker = "crash-the-engine"

	requestTimeoutSeconds = 0.5
	platformConnections   = 16
	drainSeconds          = 5
	balancerSeconds       = 0.5
)

// deployment is one operator's platform, BackendServers and daemons.
type deployment struct {
	name  string
	set   *config.Set
	costs engineCosts
	zones []string
	// token is the operators' token.
	token      string
	secretFile string
	tokenFile  string

	table    *tableserver.Server
	objects  *objectserver.Server
	hosts    *hostlist.Server
	cloud    *cloud.Cloud
	cloudAPI *cloud.Server

	engineLedger  *engine.Ledger
	serviceLedger *plainservice.Ledger

	mu          sync.Mutex
	engines     map[string]*engine.Engine
	services    map[string]*plainservice.Server
	seenLeaving map[string]bool
	incarnation uint64

	daemons   []*daemon.Daemon
	platform  daemon.Platform
	listeners []net.Listener
	stop      context.CancelFunc
	tasks     sync.WaitGroup
}

// engineCosts are the times that the stand-in engines take.
type engineCosts struct{ decodeStep, prefillPerToken time.Duration }

// demoCosts are those of the demo: tokens 6 ms apart, and a prompt of 100 tokens
// in 5 ms.
var demoCosts = engineCosts{decodeStep: 6 * time.Millisecond, prefillPerToken: 50 * time.Microsecond}

// newDeployment starts an operator's stand-ins.
func newDeployment(name string, set *config.Set, costs engineCosts) (*deployment, error) {
	d := &deployment{
		name: name, set: set, costs: costs, token: "operators-token-" + name,
		table: tableserver.NewServer(), objects: objectserver.NewServer(),
		engineLedger: engine.NewLedger(), serviceLedger: plainservice.NewLedger(),
		engines: make(map[string]*engine.Engine), services: make(map[string]*plainservice.Server),
		seenLeaving: make(map[string]bool),
	}
	d.zones = zonesOf(set)
	if err := d.startPlatform(); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	if err := d.buyHosts(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	d.tasks.Go(func() { d.runHosts(ctx) })
	return d, nil
}

func zonesOf(set *config.Set) []string {
	var zones []string
	seen := make(map[string]bool)
	for _, p := range set.Pools {
		if !seen[p.AvailabilityZone] {
			seen[p.AvailabilityZone] = true
			zones = append(zones, p.AvailabilityZone)
		}
	}
	return zones
}

func (d *deployment) startPlatform() error {
	if err := d.writeSecrets(); err != nil {
		return errors.Trace(err)
	}
	tableListener, err := d.listen()
	if err != nil {
		return errors.Trace(err)
	}
	objectListener, err := d.listen()
	if err != nil {
		return errors.Trace(err)
	}
	d.tasks.Go(func() { _ = d.table.Serve(tableListener) })
	d.tasks.Go(func() { _ = d.objects.Serve(objectListener) })
	if d.hosts, err = hostlist.New(hostlist.Options{Address: loopback, Lag: hostListLag}); err != nil {
		return errors.Trace(err)
	}
	d.cloud = cloud.New(cloud.Options{}, d.terms())
	if d.cloudAPI, err = cloud.Serve(loopback, d.cloud); err != nil {
		return errors.Trace(err)
	}
	d.platform = daemon.Platform{
		Table:    d.service(tableListener),
		Objects:  d.service(objectListener),
		HostList: d.hosts.URL(),
		CloudAPI: d.cloudAPI.URL(),
		BuyHosts: true,
	}
	return nil
}

func (d *deployment) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.listeners = append(d.listeners, listener)
	return listener, nil
}

// service is how daemons reach a stand-in of the platform.
func (d *deployment) service(listener net.Listener) daemon.Service {
	return daemon.Service{
		Endpoint: "http://" + listener.Addr().String(), Region: "local", Name: "monsooncrank",
		AccessKey: "stand-in", SecretKeyFile: d.secretFile,
		TimeoutSeconds: requestTimeoutSeconds, Connections: platformConnections,
	}
}

// writeSecrets writes the files from which daemons read their secrets.
func (d *deployment) writeSecrets() error {
	var err error
	if d.secretFile, err = writeSecret("stand-in-secret"); err != nil {
		return errors.Trace(err)
	}
	d.tokenFile, err = writeSecret(d.token)
	return errors.Trace(err)
}

func writeSecret(secret string) (string, error) {
	file, err := os.CreateTemp("", "monsooncrank-secret-")
	if err != nil {
		return "", errors.Trace(err)
	}
	_, err = file.WriteString(secret + "\n")
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return file.Name(), errors.Trace(err)
}

// terms are what the cloud sells: each Pool's Hosts at its price.
func (d *deployment) terms() map[cloud.Offer]cloud.Terms {
	terms := make(map[cloud.Offer]cloud.Terms)
	for _, p := range d.set.Pools {
		offer := offerOf(&p)
		t := terms[offer]
		t.PricePerHour = p.PricePerHour
		t.Stock += p.MaxHosts
		terms[offer] = t
	}
	return terms
}

func offerOf(p *config.Pool) cloud.Offer {
	return cloud.Offer{
		AvailabilityZone: p.AvailabilityZone,
		MachineClass:     p.MachineClass,
		Purchase:         membership.Purchase(p.Purchase),
	}
}

// buyHosts starts every Host that the configuration allows.
func (d *deployment) buyHosts(ctx context.Context) error {
	for i := range d.set.Pools {
		p := &d.set.Pools[i]
		for n := range p.MaxHosts {
			_, err := d.cloud.Start(ctx, platformcloud.StartRequest{
				AvailabilityZone: p.AvailabilityZone, MachineClass: p.MachineClass,
				Purchase: membership.Purchase(p.Purchase), Token: fmt.Sprintf("%s-%d", p.Name, n),
			})
			if err != nil {
				return errors.Annotatef(err, "start a host of %s", p.Name)
			}
		}
	}
	return nil
}

// runHosts starts a BackendServer on each Host that the cloud runs, lets those
// of leaving Hosts refuse new work, and ends those of Hosts that are gone.
func (d *deployment) runHosts(ctx context.Context) {
	ticker := clock.RealClock{}.NewTicker(hostPollInterval)
	defer ticker.Stop()
	for {
		d.syncHosts(ctx)
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
	}
}

func (d *deployment) syncHosts(ctx context.Context) {
	hosts, err := d.cloud.List(ctx)
	if err != nil {
		return
	}
	present := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		present[h.ID] = true
		switch h.State {
		case platformcloud.HostRunning:
			d.ensure(&h)
		case platformcloud.HostLeaving:
			d.leave(h.ID)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.engines {
		if !present[id] && !e.Killed() {
			e.Kill()
			d.hosts.Remove(id)
		}
	}
	for id, s := range d.services {
		if !present[id] {
			s.Crash()
			delete(d.services, id)
			d.hosts.Remove(id)
		}
	}
}

// ensure starts the BackendServer of a Host once.
func (d *deployment) ensure(h *platformcloud.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engines[h.ID] != nil || d.services[h.ID] != nil {
		return
	}
	p := d.poolOf(h)
	if p == nil {
		return
	}
	d.incarnation++
	member := membership.Member{
		Name: h.ID, Pool: p.Name, AvailabilityZone: h.AvailabilityZone, MachineClass: h.MachineClass,
		Purchase: h.Purchase, Incarnation: d.incarnation,
	}
	if len(p.Models) > 0 {
		e, err := d.startEngine(h.ID, p)
		if err != nil {
			return
		}
		d.engines[h.ID] = e
		member.Kind, member.Address = membership.KindEngine, e.Address()
	} else {
		s, err := plainservice.New(plainservice.Options{Ledger: d.serviceLedger, ServiceTime: 2 * time.Millisecond})
		if err != nil {
			return
		}
		d.services[h.ID] = s
		member.Kind, member.Address = membership.KindService, s.Address()
	}
	d.hosts.Put(membership.ListEntry{Member: member})
}

func (d *deployment) startEngine(name string, p *config.Pool) (*engine.Engine, error) {
	return engine.Start(engine.Options{
		Name: name, BatchSize: p.SequencesPerHost, Ledger: d.engineLedger,
		DecodeStep: d.costs.decodeStep, PrefillPerToken: d.costs.prefillPerToken,
		LoadLag: engineLoadLag, CacheEventDelay: engineEventDelay, CacheEventGap: engineEventGap,
		ChecksFencing: p.ChecksFencing, CrashMarker: crashMarker,
	})
}

// poolOf returns the Pool that a Host belongs to.
func (d *deployment) poolOf(h *platformcloud.Host) *config.Pool {
	for i := range d.set.Pools {
		p := &d.set.Pools[i]
		if p.AvailabilityZone == h.AvailabilityZone && p.MachineClass == h.MachineClass &&
			p.Purchase == string(h.Purchase) {
			return p
		}
	}
	return nil
}

func (d *deployment) leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seenLeaving[id] {
		return
	}
	d.seenLeaving[id] = true
	if e := d.engines[id]; e != nil {
		e.Leave()
	}
	if s := d.services[id]; s != nil {
		s.SetLeaving(true)
	}
	d.hosts.SetLeaving(id)
}

// liveEngines returns the engines that are neither leaving nor dead, by name.
func (d *deployment) liveEngines() []*engine.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*engine.Engine
	for _, name := range sortedKeys(d.engines) {
		if e := d.engines[name]; !e.Killed() && !d.seenLeaving[name] {
			live = append(live, e)
		}
	}
	return live
}

// awaitMembers waits until every daemon knows every BackendServer.
func (d *deployment) awaitMembers(ctx context.Context) error {
	for {
		missing := ""
		for _, one := range d.running() {
			if !one.Ready() {
				missing = one.Name()
			}
			for _, p := range d.set.Pools {
				if len(one.Available(p.Name)) < p.MaxHosts {
					missing = p.Name
				}
			}
		}
		if missing == "" {
			return nil
		}
		if !sleep(ctx, readyPoll) {
			return &NotReadyError{Unready: missing}
		}
	}
}

// NotReadyError reports a Pool whose servers some daemon does not know.
type NotReadyError struct{ Unready string }

func (e *NotReadyError) Error() string { return "not every daemon knows the servers of " + e.Unready }

// fail kills an engine without notice; its Host is gone from the list later.
func (d *deployment) fail(e *engine.Engine) {
	e.Kill()
	d.hosts.Remove(e.Name())
}

// remove takes a daemon out of the deployment.
func (d *deployment) remove(i int) *daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	leaving := d.daemons[i]
	d.daemons = append(append([]*daemon.Daemon(nil), d.daemons[:i]...), d.daemons[i+1:]...)
	return leaving
}

// running returns the daemons that have not been stopped.
func (d *deployment) running() []*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*daemon.Daemon(nil), d.daemons...)
}

// close stops everything.
func (d *deployment) close() {
	for _, one := range d.running() {
		one.Close()
	}
	d.stop()
	for _, e := range d.engines {
		_ = e.Close()
	}
	for _, s := range d.services {
		s.Close()
	}
	_ = d.table.Close()
	_ = d.objects.Close()
	_ = d.cloudAPI.Close()
	_ = d.hosts.Close()
	d.tasks.Wait()
	_ = os.Remove(d.secretFile)
	_ = os.Remove(d.tokenFile)
}
