package edge

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// versionEntry returns the entry of a server of service "s" with a version, which is its ID as
// well.
func versionEntry(version string) fleet.Entry {
	return fleet.Entry{ID: version, Server: &fleet.Server{ID: version, Service: "s", Version: version, Address: "10.0.0.1:80", StartedUnixMilli: 1}, Version: 3}
}

// startWithServers returns a daemon that has just started and seen servers of some versions.
func startWithServers(t *testing.T, store table.Store, versions ...string) *state {
	t.Helper()
	return startWithAge(t, store, time.Minute, versions...)
}

// startWithAge is startWithServers with the time for which streams may be taken up.
func startWithAge(t *testing.T, store table.Store, streamAge time.Duration, versions ...string) *state {
	t.Helper()
	s := newStateWithStore(t, settings, store)
	s.versionStore = store
	s.streams.SetStreamAge(bootNow(), streamAge)
	var entries []fleet.Entry
	for _, version := range versions {
		entries = append(entries, versionEntry(version))
	}
	s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, entries), "store")
	s.serversReadAt = bootNow()
	s.confirmVersions()
	return s
}

// placedAt returns the versions at which a daemon begins streams, by their number in 40.
func placedAt(s *state, resumable bool) map[string]int {
	versions := make(map[string]int)
	for range 40 {
		d, err := s.Place(&placement.Query{Service: "s", Resumable: resumable, Deadline: time.Now().Add(time.Minute)})
		if err == nil {
			versions[d.Server.Version]++
		}
	}
	return versions
}

// TestAVersionBeginsStreamsOnceTheStoreKnowsIt guards against streams that are begun at a version
// of which nothing is left when all daemons are killed and its servers leave, so that they are
// taken up at the only version that is known.
func TestAVersionBeginsStreamsOnceTheStoreKnowsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	g.Expect(store.Transact(t.Context(), []table.Write{{Key: versionsKey, Value: []byte(`{"versions":{"s":["v1"]},"complete":true}`)}})).To(gomega.Succeed())
	s := startWithServers(t, store, "v1", "v2")
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	writes := store.Stats().Transactions
	time.Sleep(milliseconds(1600))
	g.Expect(store.Stats().Transactions).To(gomega.Equal(writes), "others that start read the row without it")
	g.Expect(placedAt(s, false)).To(gomega.HaveKey("v2"), "what can't be taken up goes to all servers")
	g.Expect(placedAt(s, true)).NotTo(gomega.HaveKey("v2"))

	// In this order, as a write whose answer is lost stores the version.
	for _, name := range []string{"away", "answer lost"} {
		fault := map[string]memtable.Fault{"away": memtable.FaultUnavailable, "answer lost": memtable.FaultAnswerLost}[name]
		store.SetFault(func(o memtable.Operation) memtable.Fault {
			if o == memtable.OperationTransact {
				return fault
			}
			return memtable.FaultNone
		})
		g.Expect(s.storeNewVersionsOnce(t.Context(), false)).NotTo(gomega.Succeed(), name)
		g.Expect(placedAt(s, true)).To(gomega.Equal(map[string]int{"v1": 40}), name)
	}
	store.SetFault(nil)
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	g.Expect(placedAt(s, true)).To(gomega.HaveKey("v2"))
	writes = store.Stats().Transactions
	g.Expect(startWithServers(t, store, "v1", "v2").storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	g.Expect(store.Stats().Transactions).To(gomega.Equal(writes), "another daemon finds it stored")

	restarted := startWithServers(t, store, "v1")
	_, known := restarted.StreamOrigin(t.Context(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "v2 may have begun it")
	g.Expect(restarted.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	g.Expect(placedAt(restarted, true)).To(gomega.Equal(map[string]int{"v1": 40}))
}

// TestHubsTellWhichVersionsAreStored guards against daemons that don't read the store and begin no
// streams at a version for long, and against ones that wait beside daemons which tell nothing.
func TestHubsTellWhichVersionsAreStored(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	join := func(s *state) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.versionStore = store
		s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), 50, []fleet.Entry{{ID: "v1", Server: versionEntry("v1").Server, Version: 50}}), "store")
	}
	m := newMixedNetwork(t, 16)
	m.round()
	hub, leaf := m.all[0], m.all[10]
	join(hub.state)
	join(leaf.state)
	g.Expect(placedAt(leaf.state, true)).NotTo(gomega.HaveKey("v1"))
	g.Expect(hub.state.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	m.request(leaf, hub)
	g.Expect(placedAt(leaf.state, true)).To(gomega.HaveKey("v1"))

	beside := newMixedNetwork(t, 16, 0, 1, 2)
	beside.round()
	join(beside.all[10].state)
	g.Expect(placedAt(beside.all[10].state, true)).To(gomega.HaveKey("v1"))
}

// awayStore is a store that turns a daemon away.
type awayStore struct{ table.Store }

func (awayStore) Get(context.Context, table.Key) (table.Item, error) {
	return table.Item{}, &table.UnavailableError{Reason: "turned away"}
}

// TestAVersionIsStoredWithoutTheHubs guards against a version that is not in the row although daemons
// reach the store, since it turns those away that rank as hubs: streams of the version would be joined
// with others after a loss of all daemons, or never begin.
func TestAVersionIsStoredWithoutTheHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	m := newMixedNetwork(t, 16)
	m.round()
	hub, leaf, other := m.all[0], m.all[10], m.all[11]
	for d, versionStore := range map[*Daemon]table.Store{hub: awayStore{store}, leaf: store, other: awayStore{store}} {
		s := d.state
		s.mu.Lock()
		s.versionStore = versionStore
		s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), 50, []fleet.Entry{{ID: "v1", Server: versionEntry("v1").Server, Version: 50}}), "store")
		s.mu.Unlock()
	}
	g.Expect(hub.state.storeNewVersionsOnce(t.Context(), false)).NotTo(gomega.Succeed())
	g.Expect(leaf.state.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	g.Expect(store.Stats().Transactions).To(gomega.BeZero(), "it is the hubs' turn")
	g.Eventually(func() map[string]int {
		g.Expect(leaf.state.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
		return placedAt(leaf.state, true)
	}, "2s", "50ms").Should(gomega.HaveKey("v1"))
	g.Expect(placedAt(hub.state, true)).NotTo(gomega.HaveKey("v1"))

	m.request(leaf, hub)
	due := hub.state.peers.Due(bootNow().Add(time.Second))
	g.Expect(slices.ContainsFunc(due, func(p mesh.Peer) bool { return p.Node == leaf.settings.Node })).To(gomega.BeTrue(), "the hub asks since when")
	m.request(hub, leaf)
	g.Expect(placedAt(hub.state, true)).To(gomega.HaveKey("v1"))
	m.request(other, hub)
	g.Expect(placedAt(other.state, true)).To(gomega.HaveKey("v1"))
}

// TestVersionsOfAnEarlierBuildAreNotComplete guards against a row that an earlier build of the
// daemon has written, which begins streams at versions that it has not stored yet.
func TestVersionsOfAnEarlierBuildAreNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	g.Expect(store.Transact(t.Context(), []table.Write{{Key: earlierVersionsKey, Value: []byte(`{"s":["v1"]}`)}})).To(gomega.Succeed())
	_, known := startWithServers(t, store, "v1").StreamOrigin(t.Context(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse())

	s := startWithAge(t, store, milliseconds(50), "v1")
	u := &duties{daemon: &Daemon{settings: settings, platform: &fakePlatform{Store: store}, state: s}}
	time.Sleep(milliseconds(60))
	u.storeVersions(t.Context())
	_, row, err := readVersions(t.Context(), store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(row).To(gomega.Equal(streamversion.Row{Versions: streamversion.InUse{"s": {"v1"}, "ages of streams": {"50"}}, Complete: true}))
	_, err = store.Get(t.Context(), earlierVersionsKey)
	var missing *table.NotFoundError
	g.Expect(errors.As(err, &missing)).To(gomega.BeTrue(), "an earlier build would take it for complete")
}

// Guards against streams that nobody can take up after all daemons were killed soon after the first
// start of a deployment, since the row of versions passes for incomplete.
func TestTheRowOfTheFirstStartIsComplete(t *testing.T) {
	first, later := settings, settings
	first.Bootstrap = true
	for name, c := range map[string]struct {
		settings Settings
		prepare  func(*memtable.Store)
		complete bool
	}{
		"first start":           {first, func(*memtable.Store) {}, true},
		"later start":           {later, func(*memtable.Store) {}, false},
		"after an older copy":   {first, func(s *memtable.Store) { s.Restore(s.Copy()) }, false},
		"beside an earlier row": {first, func(s *memtable.Store) { writeRow(t, s, earlierVersionsKey) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtable.New()
			c.prepare(store)
			s := newStateWithStore(t, c.settings, store)
			s.versionStore = store
			s.streams.Confirmed(bootNow())
			s.applyServerEvents([]fleet.Event{{Server: fleet.Server{ID: "a", Service: "s", Version: "v1", StartedUnixMilli: 1}, Change: fleet.ServerJoined}}, "store")
			g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
			_, row, err := readVersions(t.Context(), store)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(row.Complete).To(gomega.BeFalse(), "the routes are not known")
			s.activateCatalog(routedTo("s"), "store")
			g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
			_, row, err = readVersions(t.Context(), store)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(row.Versions["routes of streams"]).To(gomega.ConsistOf(gomega.HaveSuffix(" s:1,")))
			g.Expect(row.Versions.Contains("s", "v1")).To(gomega.BeTrue())
			g.Expect(row.Complete).To(gomega.Equal(c.complete))
			// While the row does not tell, the records of streams do.
			s.streams.Began(bootNow(), "stream", &fleet.Server{ID: "a", Service: "s", Version: "v1", StartedUnixMilli: 1})
			g.Expect(len(s.streams.Collections(bootNow())) > 0).To(gomega.Equal(!c.complete))
		})
	}
}

// routedTo returns a configuration with a route for streams that leads to a service.
func routedTo(service string) *catalog.Catalog {
	c := configuration(1)
	c.Routes = []*catalog.Route{{Name: "r", PathPrefix: "/r/", Kind: catalog.KindStream, Resumable: true, Split: []catalog.Share{{Service: service, Weight: 1}}}}
	return c
}

func writeRow(t *testing.T, store *memtable.Store, key table.Key) {
	t.Helper()
	if err := store.Transact(t.Context(), []table.Write{{Key: key, Value: []byte("{}")}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stream that goes on at another version: a daemon was cut off or stood still while
// servers of a new version joined, and takes the one that it knows for the only one, since its view is
// not old enough to count as outdated.
func TestADaemonOutOfStepDoesNotConcludeTheOnlyVersion(t *testing.T) {
	for name, c := range map[string]struct {
		row   string
		reads bool
		known bool
	}{
		"a new version is stored":         {`{"versions":{"s":["v1","v2"]},"complete":true}`, true, false},
		"the row may lack a version":      {`{"versions":{"s":["v1"]}}`, true, false},
		"no other version is stored":      {`{"versions":{"s":["v1"]},"complete":true}`, true, true},
		"the store is not reached either": {`{"versions":{"s":["v1"]},"complete":true}`, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := memtable.New()
			s := startWithAge(t, store, milliseconds(50), "v1")
			g.Expect(store.Transact(t.Context(), []table.Write{{Key: versionsKey, Value: []byte(c.row)}})).To(gomega.Succeed())
			// The daemon has seen the servers for longer than streams last, and a second ago.
			time.Sleep(60 * time.Millisecond)
			s.confirmVersions()
			_, only := s.streams.OnlyVersion(bootNow(), "s")
			g.Expect(only).To(gomega.BeTrue())
			if !c.reads {
				store.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
			}
			origin, known := s.StreamOrigin(t.Context(), "request", streamAt("s", "stream"))
			g.Expect(known).To(gomega.Equal(c.known))
			if known {
				g.Expect(origin.Version).To(gomega.Equal("v1"))
			}
		})
	}
}

// Guards against take-ups that wait one after the other for servers that a daemon does not see, as
// when the store is away at its start.
func TestTakeUpsShareTheWaitForServers(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	s := newStateWithStore(t, settings, store)
	s.versionStore = store
	at := time.Now()
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() { s.StreamOrigin(t.Context(), "request", streamAt("s", "stream")) })
	}
	all.Wait()
	g.Expect(time.Since(at)).To(gomega.BeNumerically("<", 2*serversSeenWait))
}

// TestAnIsolatedDaemonBeginsNoStreams guards against a stream that is joined from two versions: a daemon
// that hears neither the store nor another daemon begins it at a server whose version the others take
// for out of use meanwhile, as its entry has lapsed.
func TestAnIsolatedDaemonBeginsNoStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startWithServers(t, memtable.New(), "v1")
	s.streams.MarkStored(bootNow(), streamversion.InUse{"s": {"v1"}})
	s.peers.UpdateEntry(bootNow(), "other", "127.0.0.1:1", 1, 1)
	g.Expect(placedAt(s, true)).To(gomega.HaveLen(1), "the view is new")
	s.serversReadAt = bootNow().Add(-2 * isolatedViewMaxAge)
	g.Expect(placedAt(s, true)).To(gomega.BeEmpty())
	g.Expect(placedAt(s, false)).To(gomega.HaveLen(1), "what can't be taken up is served")
	s.peers.UpdateNeighbor(bootNow(), &mesh.Message{Format: mesh.CurrentFormat, Record: mesh.Record{Node: "other", Incarnation: 1}}, false)
	g.Expect(placedAt(s, true)).To(gomega.HaveLen(1), "the store is away, the other daemon is heard")
}
