package edge

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/rollout"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

var settings = Settings{Node: "self", PeerAddress: "127.0.0.1:1", RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, UsageWindow: 5 * time.Second,
	MaxUsageReportDelay: 10 * time.Second, MinHolderInterval: 3 * time.Second, ReportsUsage: true}

func newTestState(t *testing.T) *state { return newStateOf(t, settings) }

// newStateOf returns the state of a daemon with its own table.
func newStateOf(t *testing.T, settings Settings) *state {
	t.Helper()
	return newStateWithStore(t, settings, memtable.New())
}

// newStateWithStore returns the state of a daemon with a table that it may share.
func newStateWithStore(t *testing.T, settings Settings, store table.Store) *state {
	t.Helper()
	s := newState(settings, backendconn.NewPool())
	s.startQuarantine(store, prometheus.NewRegistry())
	t.Cleanup(s.quarantine.Close)
	return s
}

func configuration(version int64) *catalog.Catalog {
	c := &catalog.Catalog{Version: version, Source: []byte{byte(version)}, Services: map[string]*catalog.Service{
		"s": {Name: "s", MaxConnections: 100}}}
	c.Index()
	return c
}

// Guards against a return to an older configuration that arrives from a peer or
// in a late response of the store.
func TestAConfigurationNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	s.activateCatalog(configuration(5), "store")
	s.activateCatalog(configuration(4), "peer")
	s.activateCatalog(nil, "store")
	g.Expect(s.Catalog().Version).To(gomega.Equal(int64(5)))
}

// Guards against too many retries to a service that fails all requests: they
// must stay within the daemon's share of the budget.
func TestRetriesStayWithinTheDaemonsShareOfTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	// The slack is withheld for the first window after the start.
	s.startedAt = s.startedAt.Add(-settings.RetryWindow)
	allowed := 0
	for range 1000 {
		s.Arrived("s")
		if s.SpendRetry("s") {
			allowed++
		}
	}
	// A quarter of the slack, as if there were four daemons, plus the ratio.
	g.Expect(allowed).To(gomega.BeNumerically("<=", 50/4+0.2*1000))
	g.Expect(allowed).To(gomega.BeNumerically(">", 100))
}

// fakePlatform keeps its table in memory and records the usage reports.
type fakePlatform struct {
	table.Store
	mu      sync.Mutex
	reports []usage.Counts
	// servers and serversVersion are the full list of servers that it returns.
	servers        []fleet.Entry
	serversVersion table.Version
	// watchedAfter is the version after which changes of servers were last read.
	watchedAfter table.Version
}

func (*fakePlatform) ReadCatalog(context.Context) (*catalog.Catalog, table.Version, error) {
	return nil, 0, nil
}
func (*fakePlatform) WatchCatalog(context.Context, table.Version, time.Duration) (*catalog.Catalog, table.Version, error) {
	return nil, 0, nil
}
func (p *fakePlatform) ReadServers(context.Context) ([]fleet.Entry, table.Version, error) {
	return p.servers, p.serversVersion, nil
}
func (p *fakePlatform) WatchServers(_ context.Context, after table.Version, _ time.Duration) ([]fleet.Entry, table.Version, error) {
	p.watchedAfter = after
	return nil, after, nil
}
func (*fakePlatform) DecodeCatalog([]byte) (*catalog.Catalog, error) { return nil, nil }
func (p *fakePlatform) ReportUsage(_ context.Context, _ uint64, _ int64, counts usage.Counts) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, counts)
	return nil
}
func (*fakePlatform) RolloutOrders() ([]rollout.Order, table.Version) { return nil, 0 }
func (*fakePlatform) ReadRolloutStatus(context.Context, string) (RolloutStatus, table.Version, error) {
	return RolloutStatus{}, 0, nil
}
func (*fakePlatform) WriteRolloutStatus(_ context.Context, _ string, _ RolloutStatus, version table.Version, _ table.Key, _ table.Version) (table.Version, error) {
	return version + 1, nil
}
func (*fakePlatform) OrderServers(context.Context, uint64, scaling.Order) error { return nil }

func newTestDuties(t *testing.T, p *fakePlatform) *duties {
	d := &Daemon{settings: settings, platform: p, state: newTestState(t)}
	return newDuties(d)
}

// Guards against two different usage reports of one window: a lease holder may
// fail after it has stored or reported the counts, and its successor, which has
// other counts, must report the stored ones.
func TestASuccessorReportsTheSameUsage(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &fakePlatform{Store: memtable.New()}
	first, second := newTestDuties(t, p), newTestDuties(t, p)
	defer first.manager.Close()
	defer second.manager.Close()
	for i, u := range []*duties{first, second} {
		s := u.daemon.state
		s.versionStore, s.daemonsListed = p, true
		s.usage.SetPeer("other", 1, usage.Windows{7: {"account": 10 - 2*i}})
		g.Expect(u.finalCounts(t.Context(), 7)).To(gomega.Equal(usage.Counts{"account": 10}))
	}
}

// Guards against a wrong service size after the lease moves while servers are
// reclaimed: the successor must load the size that its predecessor stored.
func TestASuccessorLoadsTheSizeOfAService(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &fakePlatform{Store: memtable.New()}
	first, second := newTestDuties(t, p), newTestDuties(t, p)
	defer first.manager.Close()
	defer second.manager.Close()
	ctx := context.Background()
	core := scaling.New("s", scaling.DefaultOptions())
	core.Inherit(bootNow(), 12)
	core.Refused(bootNow(), scaling.Order{ServerGroup: scaling.ServerGroup{Service: "s", Zone: "a", Reclaimable: true}, Desired: 3})
	first.saveSize(ctx, "s", core)
	successor := scaling.New("s", scaling.DefaultOptions())
	g.Expect(second.loadSize(ctx, "s", successor)).To(gomega.Succeed())
	g.Expect(successor.Present()).To(gomega.Equal(12))
	stored, loaded := core.Experience().Forecast, successor.Experience().Forecast
	g.Expect(loaded.Probability()).To(gomega.BeNumerically("~", stored.Probability(), 0.1), "what was learned of scarcity")
	// A row of an earlier version has the size only.
	g.Expect(p.Transact(ctx, []table.Write{{Key: sizeKey("old"), Value: []byte(`{"present":7}`)}})).To(gomega.Succeed())
	successor = scaling.New("old", scaling.DefaultOptions())
	g.Expect(second.loadSize(ctx, "old", successor)).To(gomega.Succeed())
	g.Expect(successor.Present()).To(gomega.Equal(7))
}

// Guards against overload of the store by frequent configuration changes with
// dozens of daemons: while hubs send new configurations, a change must not cost
// one store call per daemon. When the hubs are silent, the daemon must watch the
// store itself.
func TestDaemonsServedByHubsDoNotWatchTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	addPeers(s, 2*fullMeshLimit)
	d := &Daemon{settings: settings, platform: &fakePlatform{}, state: s}
	s.peerConfirmedAt = bootNow()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	startedAt := time.Now()
	g.Expect(d.awaitCatalogRead(ctx)).To(gomega.BeZero())
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">=", time.Second))
	s.peerConfirmedAt = bootNow().Add(-peerViewMaxAge)
	g.Expect(d.awaitCatalogRead(context.Background())).To(gomega.Equal(catalogWatchTimeout))
	s.activateCatalog(configuration(3), "store")
	s.peerConfirmedAt = bootNow()
	s.recordPeerCatalogVersion(bootNow(), 4)
	startedAt = time.Now()
	g.Expect(d.awaitCatalogRead(context.Background())).To(gomega.BeZero())
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("~", catalogDeliveryTimeout, 2*catalogCheckInterval), "an announced version is not received")
}

func addPeers(s *state, n int) {
	for i := range n {
		node := fmt.Sprint("peer-", i)
		s.peers.UpdateEntry(bootNow(), node, "127.0.0.1:1", 1, 1)
		s.peers.UpdateNeighbor(bootNow(), &mesh.Message{Format: mesh.CurrentFormat, Record: mesh.Record{Node: node, Incarnation: 1}}, false)
	}
}

// Guards against saturated network links when large configurations follow one
// another with dozens of daemons: only one hub sends a daemon the configuration,
// and the others send it only if it is not received. In scenario
// kodiclub-enrol-grown scale-1, three copies of each version to every daemon
// filled links of 10 Mbit/s.
func TestOneHubSendsAConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	var hubs []*state
	for _, node := range []string{"hub-0", "hub-1", "hub-2"} {
		own := settings
		own.Node, own.Cores = node, 9
		s := newStateOf(t, own)
		addPeers(s, 2*fullMeshLimit)
		for _, other := range []string{"hub-0", "hub-1", "hub-2"} {
			s.peers.UpdateEntry(bootNow(), other, "127.0.0.1:1", 9, 1)
		}
		s.activateCatalog(configuration(3), "store")
		hubs = append(hubs, s)
	}
	now := bootNow()
	countSenders := func(node string, version int64) int {
		n := 0
		for _, s := range hubs {
			if s.shouldSendCatalog(now, node, version) {
				n++
			}
		}
		return n
	}
	for i := range 2 * fullMeshLimit {
		node := fmt.Sprint("peer-", i)
		g.Expect(countSenders(node, 2)).To(gomega.Equal(1))
		g.Expect(countSenders(node, 2)).To(gomega.BeZero(), "already being sent")
	}
	now = now.Add(catalogDeliveryTimeout)
	g.Expect(countSenders("peer-0", 3)).To(gomega.BeZero())
	g.Expect(countSenders("peer-1", 2)).To(gomega.Equal(3), "the configuration was lost, or the primary hub has failed")
	small := newTestState(t)
	addPeers(small, 3)
	small.activateCatalog(configuration(3), "store")
	g.Expect(small.shouldSendCatalog(now, "peer-1", 2)).To(gomega.BeTrue(), "in a full mesh, each daemon sends the configuration at once")
}

// Guards against configurations that are altered by compression.
func TestACompressedConfigurationIsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	source := bytes.Repeat([]byte(`{"name":"r-dhbjphp","host":"ficu95.example"},`), 10_000)
	compressed, err := mesh.Compress(source)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(compressed)).To(gomega.BeNumerically("<", len(source)/5))
	decompressed, err := mesh.Decompress(compressed)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decompressed).To(gomega.Equal(source))
	_, err = mesh.Decompress(source)
	g.Expect(err).To(gomega.HaveOccurred())
}
