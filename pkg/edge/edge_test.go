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

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/scaling"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

var settings = Settings{Node: "self", PeerAddress: "127.0.0.1:1", RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, UsageWindow: 5 * time.Second,
	MaxUsageReportDelay: 10 * time.Second, MinHolderInterval: 3 * time.Second, ReportsUsage: true}

func newTestState(t *testing.T) *state { return newStateOf(t, settings) }

// newStateOf returns the state of a daemon with its own table.
func newStateOf(t *testing.T, settings Settings) *state {
	t.Helper()
	s := newState(settings, backendconn.NewPool())
	s.startQuarantine(memtable.New(), prometheus.NewRegistry())
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

// viewOf returns the complete view of a daemon with the servers.
func viewOf(version uint64, age time.Duration, servers ...fleet.Server) fleet.View {
	c := fleet.New(fleet.Options{Run: 1})
	var entries []fleet.Entry
	for i := range servers {
		entries = append(entries, fleet.Entry{ID: servers[i].ID, Server: &servers[i], Version: version})
	}
	c.ApplySnapshot(bootNow(), version, entries)
	v := c.ViewFor("self", changelog.Position{}, 0, true)
	v.AgeMillis = age.Milliseconds()
	return v
}

// Guards against daemons without access to the store that treat one another's
// views as confirmed: the age of a view must only grow as it is forwarded.
func TestIsolatedDaemonsDoNotRefreshEachOthersViews(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	deliver := func(age time.Duration) {
		s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: viewOf(7, age, fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"})})
	}
	deliver(200 * time.Millisecond)
	g.Expect(s.fleet.Initialized()).To(gomega.BeTrue())
	g.Expect(s.fleetAge()).To(gomega.BeNumerically("~", 200*time.Millisecond, 100*time.Millisecond))
	deliver(5 * time.Second)
	g.Expect(s.fleetAge()).To(gomega.BeNumerically("<", time.Second), "an older confirmation must not replace a newer one")
	other := newTestState(t)
	other.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: viewOf(7, 5*time.Second)})
	g.Expect(other.followsStore()).To(gomega.BeTrue())
}

// Guards against a daemon that goes on with its view although that of its hub differs,
// as after a server was removed and the hub has started since: the store must settle
// the difference at once, and the hub's view must not count as a confirmation.
func TestDifferentViewsAreSettledByTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := fleet.Server{ID: "a", Service: "s", Address: "10.0.0.1:80"}, fleet.Server{ID: "b", Service: "s", Address: "10.0.0.2:80"}
	p := &fakePlatform{Store: memtable.New(), servers: []fleet.Entry{{ID: "a", Server: &a, Version: 7}}, serversVersion: 13}
	d := &Daemon{settings: settings, platform: p, state: newTestState(t)}
	s := d.state
	addPeers(s, 2*fullMeshLimit)
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "hub"}, Fleet: viewOf(7, 0, a, b)})
	g.Expect(s.followsStore()).To(gomega.BeFalse())
	s.peers.UpdateNeighbor(bootNow(), &mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 2}, Fleet: fleet.View{Received: s.fleet.Head()}}, false)
	started := viewOf(12, 0, a)
	started.Span.Run = 2
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 2}, Fleet: started})
	g.Expect(s.followsStore()).To(gomega.BeTrue())
	g.Expect(s.listDue(bootNow())).To(gomega.BeTrue())
	g.Expect(d.readServers(context.Background(), false)).To(gomega.Succeed())
	g.Expect(s.fleet.Servers()).To(gomega.ConsistOf(a))
	g.Expect(s.listDue(bootNow().Add(minListInterval))).To(gomega.BeFalse())
}

// Guards against placements on a leaving server while the store does not answer
// this daemon: the change must be accepted from a peer.
func TestLeavingServersAreLearnedFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
	leaving := server
	leaving.Leaving = true
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: fleet.View{Version: 6, Span: changelog.Span{Run: 1, From: 1, To: 2},
		Entries: []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}}})
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// Guards against missed changes after a hub was paused or slow: it does not send
// its view while that is too old, and its newer version must not make this
// daemon skip the changes before it. In scenario duties-under-cloud-faults
// (ganda-ho-grown), a request reached a server 3.1 s after the server had
// announced that it was leaving.
func TestAStaleHubDoesNotHideChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	own := settings
	own.Node = "hub"
	hub, s := newStateOf(t, own), newTestState(t)
	for _, d := range []*state{hub, s} {
		d.applyServerEvents(d.fleet.ApplySnapshot(bootNow(), 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
	}
	hub.peers.UpdateNeighbor(bootNow(), &mesh.Message{Record: mesh.Record{Node: "self", Incarnation: 1}}, false)
	leaving := server
	leaving.Leaving = true
	hub.applyServerEvents(hub.fleet.ApplyChanges(bootNow(), 6, []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}), "store")
	hub.serversReadAt = bootNow().Add(-peerViewMaxAge)
	s.applyFleet(hub.messageFor("self"))
	hub.peers.UpdateNeighbor(bootNow(), s.messageFor("hub"), false)
	hub.serversReadAt = bootNow()
	s.applyFleet(hub.messageFor("self"))
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// exchangeViews makes a hub send its view to a daemon, and the daemon answer.
func exchangeViews(hub, s *state) {
	hub.serversReadAt = bootNow()
	m := hub.messageFor(s.settings.Node)
	s.peers.UpdateNeighbor(bootNow(), m, true)
	s.applyFleet(m)
	hub.peers.UpdateNeighbor(bootNow(), s.messageFor(hub.settings.Node), false)
}

// Guards against servers that a hub removes at the end of the grace period after a
// store outage, and that other daemons go on using: the removal carries the version
// of the view, which the others have already.
func TestRemovalsAtTheEndOfTheGracePeriodAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	own := settings
	own.Node = "hub"
	hub, s := newStateOf(t, own), newTestState(t)
	now := bootNow()
	for _, d := range []*state{hub, s} {
		d.applyServerEvents(d.fleet.ApplySnapshot(now, 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
	}
	exchange := func() { exchangeViews(hub, s) }
	exchange()
	hub.fleet.MarkStoreUnavailable()
	hub.fleet.MarkStoreAvailable(now)
	hub.applyServerEvents(hub.fleet.ApplySnapshot(now, 6, nil), "store")
	exchange()
	g.Expect(s.fleet.Servers()).To(gomega.HaveLen(1), "it may write its entry again")
	hub.applyServerEvents(hub.fleet.RemoveExpired(now.Add(time.Minute)), "grace period")
	exchange()
	g.Expect(s.fleet.Servers()).To(gomega.BeEmpty())
}

// Guards against changes that a daemon finds only by a full read, at a version that it
// has told already because its watch had missed them: other daemons at that version
// were not told.
func TestChangesFoundAtAToldVersionAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	own := settings
	own.Node = "hub"
	hub, s := newStateOf(t, own), newTestState(t)
	for _, d := range []*state{hub, s} {
		d.applyServerEvents(d.fleet.ApplySnapshot(bootNow(), 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
	}
	exchange := func() { exchangeViews(hub, s) }
	hub.applyServerEvents(hub.fleet.ApplyChanges(bootNow(), 6, nil), "store")
	exchange()
	exchange()
	leaving := server
	leaving.Leaving = true
	hub.applyServerEvents(hub.fleet.ApplySnapshot(bootNow(), 6, []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}), "store")
	exchange()
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// Guards against a daemon that takes its own readings of the store for complete and
// leaves out what peers tell: a watch may hear nothing while changes are made, or the
// store may turn away this daemon's next calls.
func TestOwnReadingsDoNotHideWhatPeersTell(t *testing.T) {
	g := gomega.NewWithT(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	own := settings
	own.Node = "hub"
	hub, s := newStateOf(t, own), newTestState(t)
	for _, d := range []*state{hub, s} {
		d.applyServerEvents(d.fleet.ApplySnapshot(bootNow(), 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
		d.storeUp, d.serversReadAt = true, bootNow()
	}
	leaving := server
	leaving.Leaving = true
	hub.applyServerEvents(hub.fleet.ApplyChanges(bootNow(), 6, []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}), "store")
	s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), 7, nil), "store")
	for range 2 {
		exchangeViews(hub, s)
	}
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// Guards against a list of servers from a store that is behind the daemon's view,
// as after the store has dropped its history: it confirms nothing, and the changes
// between the two must be read again. The view was taken for confirmed, and the
// daemon went on to watch from its own version, so that a server that had announced
// its shutdown in between was used until it wrote its next heartbeat.
func TestAListOlderThanTheViewConfirmsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	list := []fleet.Entry{{ID: "x", Server: &server, Version: 70}}
	s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 100, list), "store")
	s.serversReadAt = bootNow().Add(-10 * time.Second)
	p := &fakePlatform{Store: memtable.New(), servers: list, serversVersion: 80}
	d := &Daemon{settings: settings, platform: p, state: s}
	err := d.readServers(context.Background(), false)
	g.Expect(s.fleetAge()).To(gomega.BeNumerically(">", 5*time.Second))
	if err != nil {
		// The list is read again.
		return
	}
	g.Expect(d.readServers(context.Background(), true)).To(gomega.Succeed())
	g.Expect(p.watchedAfter).To(gomega.BeNumerically("<=", 80))
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
	serversVersion uint64
	// watchedAfter is the version after which changes of servers were last read.
	watchedAfter uint64
}

func (*fakePlatform) ReadCatalog(context.Context) (*catalog.Catalog, uint64, error) {
	return nil, 0, nil
}
func (*fakePlatform) WatchCatalog(context.Context, uint64, time.Duration) (*catalog.Catalog, uint64, error) {
	return nil, 0, nil
}
func (p *fakePlatform) ReadServers(context.Context) ([]fleet.Entry, uint64, error) {
	return p.servers, p.serversVersion, nil
}
func (p *fakePlatform) WatchServers(_ context.Context, after uint64, _ time.Duration) ([]fleet.Entry, uint64, error) {
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
	ctx := context.Background()
	final, err := first.storeFinalCounts(ctx, 7, usage.Counts{"account": 10})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(final).To(gomega.Equal(usage.Counts{"account": 10}))
	final, err = second.storeFinalCounts(ctx, 7, usage.Counts{"account": 8})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(final).To(gomega.Equal(usage.Counts{"account": 10}))
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
	first.saveSize(ctx, "s", core)
	successor := scaling.New("s", scaling.DefaultOptions())
	g.Expect(second.loadSize(ctx, "s", successor)).To(gomega.Succeed())
	g.Expect(successor.Present()).To(gomega.Equal(12))
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
		s.peers.UpdateNeighbor(bootNow(), &mesh.Message{Record: mesh.Record{Node: node, Incarnation: 1}}, false)
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
