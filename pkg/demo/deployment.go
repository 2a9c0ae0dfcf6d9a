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
	// loopback is a listen address with a port chosen by the kernel.
	loopback = "127.0.0.1:0"
	// daemonsPerOperator is the number of daemons of each operator. It equals the
	// number of entry Hosts that each operator currently runs.
	daemonsPerOperator = 7

	// hostListLag is the age of the host list that daemons read.
	hostListLag = time.Second
	// hostPollInterval is the time between two polls of the cloud. It limits the
	// delay until a bought Host runs its BackendServer.
	hostPollInterval = 100 * time.Millisecond

	// engineLoadLag is the age of the engines' load reports, engineEventDelay that
	// of their cache events. Every engineEventGap-th cache event is lost.
	engineLoadLag    = time.Second
	engineEventDelay = 200 * time.Millisecond
	engineEventGap   = 10

	// crashMarker in a message crashes the engine that runs the request.
	crashMarker = "crash-the-engine"

	platformTimeoutSeconds = 0.5
	platformConnections    = 16
	drainSeconds           = 5
	balancerSeconds        = 0.5
)

// deployment is one operator's simulated platform and BackendServers and its
// daemons.
type deployment struct {
	name    string
	set     *config.Set
	timings engineTimings
	zones   []string
	// operatorToken authorizes requests to the operators' listener of daemons.
	operatorToken string
	secretFile    string
	tokenFile     string

	// table, objects, hosts, cloud and cloudAPI are the simulated platform services.
	table    *tableserver.Server
	objects  *objectserver.Server
	hosts    *hostlist.Server
	cloud    *cloud.Cloud
	cloudAPI *cloud.Server

	engineLedger  *engine.Ledger
	serviceLedger *plainservice.Ledger

	// mu guards the maps, incarnation and daemons. The maps have Host IDs as keys;
	// leaving holds the Hosts that were marked as leaving.
	mu          sync.Mutex
	engines     map[string]*engine.Engine
	services    map[string]*plainservice.Server
	leaving     map[string]bool
	incarnation uint64

	daemons []*daemon.Daemon
	// platform is the part of the daemons' settings that names the simulated
	// platform services.
	platform  daemon.Platform
	listeners []net.Listener
	stop      context.CancelFunc
	tasks     sync.WaitGroup
}

// engineTimings are the simulated engines' times for one decode step and for the
// prefill of one prompt token.
type engineTimings struct{ decodeStep, prefillPerToken time.Duration }

// demoTimings are the engine timings of the demo: one token every 6 ms, and 5 ms
// for a prompt of 100 tokens.
var demoTimings = engineTimings{decodeStep: 6 * time.Millisecond, prefillPerToken: 50 * time.Microsecond}

// newDeployment starts an operator's simulated platform and BackendServers, but no
// daemons.
func newDeployment(name string, set *config.Set, timings engineTimings) (*deployment, error) {
	d := &deployment{
		name: name, set: set, timings: timings, operatorToken: "operators-token-" + name,
		table: tableserver.NewServer(), objects: objectserver.NewServer(),
		engineLedger: engine.NewLedger(), serviceLedger: plainservice.NewLedger(),
		engines: make(map[string]*engine.Engine), services: make(map[string]*plainservice.Server),
		leaving: make(map[string]bool),
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

// zonesOf returns the availability zones of a configuration in the order of its
// Pools.
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

// startPlatform starts the simulated table service, object store, host list and
// cloud API.
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
		Table:    d.serviceSettings(tableListener),
		Objects:  d.serviceSettings(objectListener),
		HostList: d.hosts.URL(),
		CloudAPI: d.cloudAPI.URL(),
		BuyHosts: true,
	}
	return nil
}

// listen opens a loopback listener and adds it to the deployment's listeners.
func (d *deployment) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.listeners = append(d.listeners, listener)
	return listener, nil
}

// serviceSettings returns the settings with which daemons connect to a simulated
// platform service.
func (d *deployment) serviceSettings(listener net.Listener) daemon.Service {
	return daemon.Service{
		Endpoint: "http://" + listener.Addr().String(), Region: "local", Name: "monsooncrank",
		AccessKey: "stand-in", SecretKeyFile: d.secretFile,
		TimeoutSeconds: platformTimeoutSeconds, Connections: platformConnections,
	}
}

// writeSecrets writes the secret key and the operators' token to temporary files
// from which daemons read them.
func (d *deployment) writeSecrets() error {
	var err error
	if d.secretFile, err = writeSecret("stand-in-secret"); err != nil {
		return errors.Trace(err)
	}
	d.tokenFile, err = writeSecret(d.operatorToken)
	return errors.Trace(err)
}

// writeSecret writes a secret to a new temporary file and returns its name.
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

// terms returns the price and the stock of each kind of Host in the simulated
// cloud: as many Hosts as the Pools allow, at the Pools' prices.
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

// offerOf returns the cloud offer from which a Pool buys its Hosts.
func offerOf(p *config.Pool) cloud.Offer {
	return cloud.Offer{
		AvailabilityZone: p.AvailabilityZone,
		MachineClass:     p.MachineClass,
		Purchase:         membership.Purchase(p.Purchase),
	}
}

// buyHosts starts as many Hosts as the configuration allows in each Pool.
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

// runHosts calls syncHosts every hostPollInterval until ctx ends.
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

// syncHosts starts a BackendServer on each running Host, makes BackendServers of
// leaving Hosts refuse new work, and stops those whose Hosts are gone.
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
			d.ensureBackendServer(&h)
		case platformcloud.HostLeaving:
			d.markLeaving(h.ID)
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

// ensureBackendServer starts the BackendServer of a Host if it has none yet: an
// engine if the Host's Pool has models, otherwise a booking server. It adds the
// Host to the host list.
func (d *deployment) ensureBackendServer(h *platformcloud.Host) {
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

// startEngine starts a simulated engine with the batch size of its Pool.
func (d *deployment) startEngine(name string, p *config.Pool) (*engine.Engine, error) {
	return engine.Start(engine.Options{
		Name: name, BatchSize: p.SequencesPerHost, Ledger: d.engineLedger,
		DecodeStep: d.timings.decodeStep, PrefillPerToken: d.timings.prefillPerToken,
		LoadLag: engineLoadLag, CacheEventDelay: engineEventDelay, CacheEventGap: engineEventGap,
		ChecksFencing: p.ChecksFencing, CrashMarker: crashMarker,
	})
}

// poolOf returns the Pool of a Host, or nil if no Pool matches.
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

// markLeaving makes the BackendServer of a leaving Host refuse new work and marks
// the Host as leaving in the host list. Repeated calls have no effect.
func (d *deployment) markLeaving(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[id] {
		return
	}
	d.leaving[id] = true
	if e := d.engines[id]; e != nil {
		e.Leave()
	}
	if s := d.services[id]; s != nil {
		s.SetLeaving(true)
	}
	d.hosts.SetLeaving(id)
}

// liveEngines returns the engines that are neither leaving nor killed, sorted by
// name.
func (d *deployment) liveEngines() []*engine.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*engine.Engine
	for _, name := range sortedKeys(d.engines) {
		if e := d.engines[name]; !e.Killed() && !d.leaving[name] {
			live = append(live, e)
		}
	}
	return live
}

// awaitBackendServers waits until every daemon is ready and has every
// BackendServer available.
func (d *deployment) awaitBackendServers(ctx context.Context) error {
	for {
		notReady := ""
		for _, instance := range d.runningDaemons() {
			if !instance.Ready() {
				notReady = instance.Name()
			}
			for _, p := range d.set.Pools {
				if len(instance.Available(p.Name)) < p.MaxHosts {
					notReady = p.Name
				}
			}
		}
		if notReady == "" {
			return nil
		}
		if !sleep(ctx, readyPollInterval) {
			return &NotReadyError{Unready: notReady}
		}
	}
}

// NotReadyError reports a daemon that was not ready in time, or a Pool whose
// BackendServers were not all available at every daemon in time.
type NotReadyError struct{ Unready string }

func (e *NotReadyError) Error() string { return "daemon or pool not ready in time: " + e.Unready }

// failEngine kills an engine without notice. Readers of the host list see the
// removal of its Host after hostListLag.
func (d *deployment) failEngine(e *engine.Engine) {
	e.Kill()
	d.hosts.Remove(e.Name())
}

// removeDaemon removes the i-th daemon from the deployment and returns it without
// stopping it.
func (d *deployment) removeDaemon(i int) *daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	leaving := d.daemons[i]
	d.daemons = append(append([]*daemon.Daemon(nil), d.daemons[:i]...), d.daemons[i+1:]...)
	return leaving
}

// runningDaemons returns a copy of the list of daemons that were not removed.
func (d *deployment) runningDaemons() []*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*daemon.Daemon(nil), d.daemons...)
}

// close stops the daemons, the BackendServers and the platform, and deletes the
// files with secrets.
func (d *deployment) close() {
	for _, instance := range d.runningDaemons() {
		instance.Close()
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
