package recoverytest

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/daemon"
	platformcloud "github.com/monsooncrank/monsooncrank/pkg/providers/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
	"github.com/monsooncrank/monsooncrank/pkg/standin/cloud"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/standin/hostlist"
	"github.com/monsooncrank/monsooncrank/pkg/standin/objectserver"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
	"github.com/monsooncrank/monsooncrank/pkg/standin/tableserver"
)

const (
	loopback       = "127.0.0.1:0"
	model          = "model"
	apiKey         = "recovery-key"
	operatorsToken = "recovery-token"
	crashMarker    = "crash-the-engine"
	machineClass   = "gpu"
	// reclaimableZone holds the Hosts that the cloud may reclaim.
	reclaimableZone = "zone-a"
	onDemandZone    = "zone-b"
	// defaultTimeout is the time limit where the design page states no target.
	defaultTimeout = 20 * time.Second
	pollInterval   = 10 * time.Millisecond
	// initialRequestRate is the account's limit in requests per second in the first
	// revision. It is above the rate at which the specs send.
	initialRequestRate = 100_000
)

const configuration = `{"objects": [
  {"kind": "LatencyTarget", "name": "interactive", "first_token_seconds": 0.86, "between_tokens_seconds": 0.037, "share": 0.95},
  {"kind": "Model", "name": "model", "context_tokens": 16384, "weights_bytes": 16000000000},
  {"kind": "Pool", "name": "engines-a", "availability_zone": "zone-a", "machine_class": "gpu", "purchase": "reclaimable",
   "price_per_hour": 1, "models": ["model"], "max_hosts": 8, "sequences_per_host": 32, "checks_fencing": true},
  {"kind": "Pool", "name": "engines-b", "availability_zone": "zone-b", "machine_class": "gpu", "purchase": "on_demand",
   "price_per_hour": 1, "models": ["model"], "max_hosts": 8, "sequences_per_host": 32, "checks_fencing": true},
  {"kind": "Route", "name": "chat", "model": "model", "pools": ["engines-a", "engines-b"],
   "priority": 0, "default_timeout_seconds": 30, "latency_target": "interactive"},
  {"kind": "Route", "name": "briefs", "model": "model", "deferred": true, "pools": ["engines-a", "engines-b"],
   "priority": 5, "default_timeout_seconds": 3600},
  {"kind": "Pool", "name": "booking", "availability_zone": "zone-a", "machine_class": "small", "purchase": "on_demand",
   "price_per_hour": 0.08, "max_hosts": 2, "sequences_per_host": 64, "checks_fencing": false},
  {"kind": "Service", "name": "desk", "pools": ["booking"], "calls": [
    {"name": "book", "path": "/v1/book", "mode": "once_only", "timeout_seconds": 1, "lookup_path": "/v1/lookup", "requires_key": true}]},
  {"kind": "ClientAccount", "name": "account", "key_hashes": ["KEY_HASH"], "weight": 1, "max_in_flight": 200, "requests_per_second": REQUEST_RATE}
]}`

// fleet is the deployment under test: the simulated platform services and backend
// servers, and the daemons of one operator.
type fleet struct {
	secrets string
	// tlsConfig is the TLS configuration of the callers' and operators' client. It
	// is nil without TLS.
	tlsConfig *tls.Config

	table    *tableserver.Server
	objects  *objectserver.Server
	hosts    *hostlist.Server
	cloud    *cloud.Cloud
	cloudAPI *cloud.Server

	tableAddress, objectsAddress string

	engineLedger  *engine.Ledger
	serviceLedger *plainservice.Ledger
	engines       []*engine.Engine
	services      []*plainservice.Server

	members     []*member
	incarnation uint64
}

// member is one daemon with its clock and its proxies to the platform.
type member struct {
	*daemon.Daemon
	client         *http.Client
	scheme         string
	clock          *jumpingClock
	table, objects *proxy
	closed         chan struct{}
}

// fleetOptions configure a fleet.
type fleetOptions struct {
	daemons int
	// reclaimable and onDemand are the numbers of engines by kind of purchase.
	reclaimable, onDemand int
	decodeStep            time.Duration
	service               plainservice.Options
	settings              func(*daemon.Settings)
	tlsConfig             *tls.Config
}

// newFleet starts a fleet and returns when it serves under the first revision.
func newFleet(o fleetOptions) *fleet {
	f := newPlatform()
	f.tlsConfig = o.tlsConfig
	o.service.Ledger = f.serviceLedger
	for range 2 {
		f.startService(o.service)
	}
	for range o.reclaimable {
		f.startEngine(reclaimableZone, membership.PurchaseReclaimable, o.decodeStep, crashMarker)
	}
	for range o.onDemand {
		f.startEngine(onDemandZone, membership.PurchaseOnDemand, o.decodeStep, crashMarker)
	}
	for range o.daemons {
		f.start(o.settings)
	}
	f.publish(f.members[0], 0, initialRequestRate)
	f.awaitReady()
	return f
}

func newPlatform() *fleet {
	f := &fleet{
		secrets: GinkgoT().TempDir(), table: tableserver.NewServer(), objects: objectserver.NewServer(),
		engineLedger: engine.NewLedger(), serviceLedger: plainservice.NewLedger(),
	}
	f.tableAddress = serve(f.table.Serve)
	f.objectsAddress = serve(f.objects.Serve)
	var err error
	f.hosts, err = hostlist.New(hostlist.Options{Address: loopback})
	Expect(err).NotTo(HaveOccurred())
	f.cloud = cloud.New(cloud.Options{}, map[cloud.Offer]cloud.Terms{
		{AvailabilityZone: reclaimableZone, MachineClass: machineClass, Purchase: membership.PurchaseReclaimable}: {PricePerHour: 1, Stock: 8},
		{AvailabilityZone: onDemandZone, MachineClass: machineClass, Purchase: membership.PurchaseOnDemand}:       {PricePerHour: 1, Stock: 8},
	})
	f.cloudAPI, err = cloud.Serve(loopback, f.cloud)
	Expect(err).NotTo(HaveOccurred())
	return f
}

func serve(run func(net.Listener) error) string {
	listener, err := net.Listen("tcp", loopback)
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = run(listener) }()
	return listener.Addr().String()
}

func (f *fleet) writeSecret(name, value string) string {
	file := filepath.Join(f.secrets, name)
	Expect(os.WriteFile(file, []byte(value+"\n"), 0o600)).To(Succeed())
	return file
}

func (f *fleet) startEngine(zone string, purchase membership.Purchase, step time.Duration, marker string) *engine.Engine {
	host, err := f.cloud.Start(context.Background(), platformcloud.StartRequest{
		AvailabilityZone: zone, MachineClass: machineClass, Purchase: purchase, Token: fmt.Sprint(f.incarnation),
	})
	Expect(err).NotTo(HaveOccurred())
	e, err := engine.Start(engine.Options{
		Name: host.ID, BatchSize: 32, Ledger: f.engineLedger, DecodeStep: step, ChecksFencing: true, CrashMarker: marker,
	})
	Expect(err).NotTo(HaveOccurred())
	f.engines = append(f.engines, e)
	pool := "engines-" + strings.TrimPrefix(zone, "zone-")
	f.addToHostList(membership.Member{
		Kind: membership.KindEngine, Name: host.ID, Address: e.Address(), Pool: pool,
		AvailabilityZone: zone, MachineClass: machineClass, Purchase: purchase,
	})
	return e
}

func (f *fleet) startService(o plainservice.Options) {
	s, err := plainservice.New(o)
	Expect(err).NotTo(HaveOccurred())
	f.services = append(f.services, s)
	f.addToHostList(membership.Member{
		Kind: membership.KindService, Name: fmt.Sprintf("service-%d", len(f.services)), Address: s.Address(), Pool: "booking",
		AvailabilityZone: reclaimableZone, MachineClass: "small", Purchase: membership.PurchaseOnDemand,
	})
}

func (f *fleet) addToHostList(m membership.Member) {
	f.incarnation++
	m.Incarnation = f.incarnation
	f.hosts.Put(membership.ListEntry{Member: m})
}

// start starts a daemon that is configured with the addresses of the running ones.
func (f *fleet) start(modify func(*daemon.Settings)) *member {
	m := &member{
		clock: &jumpingClock{}, table: newProxy(f.tableAddress), objects: newProxy(f.objectsAddress),
		closed: make(chan struct{}), client: newClient(f.tlsConfig), scheme: "http",
	}
	if f.tlsConfig != nil {
		m.scheme = "https"
	}
	f.launch(m, modify)
	return m
}

func (f *fleet) launch(m *member, modify func(*daemon.Settings)) {
	n := len(f.members)
	settings := f.settings(m, n)
	for _, other := range f.running() {
		settings.PeerAddresses = append(settings.PeerAddresses, other.PeersAddress())
	}
	if modify != nil {
		modify(settings)
	}
	var err error
	m.Daemon, err = daemon.New(daemon.Options{
		Settings: settings, Clock: m.clock, Seed: uint64(n + 1), DeferredSaveInterval: 200 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	m.Start()
	f.members = append(f.members, m)
}

func (f *fleet) settings(m *member, n int) *daemon.Settings {
	service := func(p *proxy) daemon.Service {
		return daemon.Service{
			Endpoint: p.url(), Region: "local", Name: "monsooncrank", AccessKey: "stand-in",
			SecretKeyFile: f.writeSecret("secret", "stand-in-secret"), TimeoutSeconds: 0.5, Connections: 16,
		}
	}
	return &daemon.Settings{
		Name: fmt.Sprintf("daemon-%d", n+1), Operator: "operator",
		AvailabilityZone:  []string{reclaimableZone, onDemandZone}[n%2],
		Callers:           daemon.Listener{Address: loopback},
		Operators:         daemon.Listener{Address: loopback},
		Peers:             daemon.Listener{Address: loopback},
		OperatorTokenFile: f.writeSecret("token", operatorsToken),
		Platform: daemon.Platform{
			Table: service(m.table), Objects: service(m.objects), HostList: f.hosts.URL(), CloudAPI: f.cloudAPI.URL(),
		},
		DrainSeconds: 3, BalancerSeconds: 0.1,
	}
}

// running returns the daemons that have not been closed.
func (f *fleet) running() []*member {
	var running []*member
	for _, m := range f.members {
		select {
		case <-m.closed:
		default:
			running = append(running, m)
		}
	}
	return running
}

// configurationWithRate returns the configuration with the given request rate. The
// rate makes revisions distinguishable.
func configurationWithRate(rate int) *config.Set {
	hash := sha256.Sum256([]byte(apiKey))
	body := strings.NewReplacer("KEY_HASH", hex.EncodeToString(hash[:]), "REQUEST_RATE", fmt.Sprint(rate)).Replace(configuration)
	parsed, err := config.Parse(config.File{Name: "recovery.jsonc", Body: []byte(body)})
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

func (f *fleet) publish(m *member, baseRevision uint64, rate int) {
	ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
	defer cancel()
	record, err := m.Publish(ctx, publish.Request{Set: configurationWithRate(rate), BaseRevision: baseRevision, Publisher: "spec"})
	Expect(err).NotTo(HaveOccurred())
	Expect(record.Revision).To(Equal(baseRevision + 1))
}

// awaitReady waits until every daemon serves and has discovered all other daemons
// and all backend servers in the host list.
func (f *fleet) awaitReady() {
	engines := map[string]int{"engines-a": 0, "engines-b": 0}
	hosts, err := f.cloud.List(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, h := range hosts {
		engines["engines-"+strings.TrimPrefix(h.AvailabilityZone, "zone-")]++
	}
	others := len(f.running()) - 1
	for _, m := range f.running() {
		Eventually(func(g Gomega) {
			g.Expect(m.Revision()).NotTo(BeZero())
			for pool, n := range engines {
				g.Expect(m.Available(pool)).To(HaveLen(n))
			}
			g.Expect(m.Available("booking")).To(HaveLen(len(f.services)))
			g.Expect(m.componentDetail("membership")).To(Equal(fmt.Sprintf("%d other daemons alive", others)))
			g.Expect(m.operatorGet("/readyz").status).To(Equal(200))
			g.Expect(m.chat("ready", 1).status).To(Equal(http.StatusOK))
		}).WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(Succeed(), m.Name())
	}
}

// kill simulates a crash of a daemon. The daemon can no longer reach the platform,
// so it neither releases its leases nor stores an outcome, and its connections
// break. Its goroutines end in the background.
func (f *fleet) kill(m *member) {
	m.table.setCut(true)
	m.objects.setCut(true)
	m.closeInBackground()
}

// closeInBackground marks the daemon as closed and closes it without waiting.
func (m *member) closeInBackground() {
	close(m.closed)
	go func() {
		m.Close()
		m.table.close()
		m.objects.close()
	}()
}

func (f *fleet) close() {
	for _, m := range f.running() {
		close(m.closed)
		m.Close()
		m.table.close()
		m.objects.close()
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	for _, s := range f.services {
		s.Close()
	}
	_ = f.table.Close()
	_ = f.objects.Close()
	_ = f.cloudAPI.Close()
	_ = f.hosts.Close()
}
