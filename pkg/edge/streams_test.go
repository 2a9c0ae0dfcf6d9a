package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// streamAt returns a stream whose route leads to a service, as its caller names it.
func streamAt(service, id string) *streamversion.Stream {
	return &streamversion.Stream{ID: id, Service: service, Path: "/r/x"}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// streamNetwork connects the states of daemons, by their node names as addresses.
type streamNetwork struct {
	mu      sync.Mutex
	daemons map[string]*state
	// calls counts the messages to each daemon.
	calls map[string]int
}

func newStreamNetwork() *streamNetwork {
	return &streamNetwork{daemons: make(map[string]*state), calls: make(map[string]int)}
}

// add adds a daemon that knows all others.
func (n *streamNetwork) add(t *testing.T, node, zone string) *state {
	own := settings
	own.Node, own.AvailabilityZone = node, zone
	s := newStateOf(t, own)
	s.callPeer = func(ctx context.Context, address string, payload []byte) ([]byte, error) {
		n.mu.Lock()
		to, ok := n.daemons[address]
		n.calls[address]++
		n.mu.Unlock()
		if !ok {
			return nil, errors.New("no daemon")
		}
		return to.handleStreams(ctx, payload)
	}
	n.daemons[node] = s
	for name, other := range n.daemons {
		if name != node {
			n.meet(s, other)
			n.meet(other, s)
		}
	}
	return s
}

// kill ends daemons.
func (n *streamNetwork) kill(nodes ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range nodes {
		delete(n.daemons, node)
	}
}

// called returns the number of daemons that were called since the last time.
func (n *streamNetwork) called() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	called := len(n.calls)
	clear(n.calls)
	return called
}

// meet lets a daemon know another one.
func (n *streamNetwork) meet(s, other *state) {
	node := other.settings.Node
	s.peers.UpdateEntry(bootNow(), node, node, other.settings.Cores, 1)
	s.peers.SetZone(node, other.settings.AvailabilityZone)
	s.peers.MergeRecord(bootNow(), &mesh.Record{Node: node, Incarnation: other.incarnation, Sequence: 1})
}

// TestAStreamThatIsTakenUpElsewhereKeepsItsVersion guards against a daemon that does not
// find out which version began a stream, because another daemon passed its events on, also
// when that one has been killed since, and against asking all daemons when one near knows.
func TestAStreamThatIsTakenUpElsewhereKeepsItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newStreamNetwork()
	first := n.add(t, "first", "zone-1")
	for i := range 16 {
		n.add(t, fmt.Sprint("other-", i), fmt.Sprint("zone-", i%4))
	}
	first.StreamBegan("stream", &fleet.Server{ID: "x", Service: "s", Version: "v1", StartedUnixMilli: 1})
	origin, known := n.daemons["other-1"].StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(origin.Version).To(gomega.Equal("v1"))
	g.Expect(n.called()).To(gomega.BeNumerically("<=", 4), "only daemons of the zone are asked")

	first.copyStreamsOnce(context.Background())
	holders := first.streams.Holders()
	g.Expect(holders).To(gomega.HaveLen(2))
	n.kill("first")
	others := []*state{n.daemons["other-0"], n.daemons["other-2"], n.daemons["other-3"]}
	for range 2 {
		for _, s := range others {
			origin, known := s.StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
			g.Expect(known).To(gomega.BeTrue(), s.settings.Node)
			g.Expect(origin.Version).To(gomega.Equal("v1"))
		}
	}
	n.kill(holders...)
	for _, s := range others {
		_, _ = s.StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
		recorded := testutil.ToFloat64(s.streamMetrics.origins.WithLabelValues(string(streamversion.SourceRecord)))
		g.Expect(recorded).To(gomega.BeNumerically(">=", 2), "it was learned before")
	}
	fresh := n.add(t, "fresh", "zone-9")
	for i := range 16 {
		n.kill(fmt.Sprint("other-", i))
	}
	_, known = fresh.StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "no daemon that knows it is left")
}

// TestServersOfAServiceWithOneVersionNeedNoLookup guards against daemons that ask all others
// for each stream although only one version can have begun it, and against one that does
// not although it has just started.
func TestServersOfAServiceWithOneVersionNeedNoLookup(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newStreamNetwork()
	s := n.add(t, "a", "zone-1")
	n.add(t, "b", "zone-1")
	server := fleet.Server{ID: "x", Service: "s", Address: "127.0.0.1:1", Version: "v1", StartedUnixMilli: 1}
	apply := func(version table.Version, entries ...fleet.Entry) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), version, entries), "store")
		s.serversReadAt = bootNow()
		s.confirmVersions()
	}
	apply(1, fleet.Entry{ID: "x", Server: &server, Version: 1})
	_, known := s.StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "the daemon has just started")
	n.called()
	confirmed := newStateOf(t, s.settings)
	confirmed.callPeer = s.callPeer
	confirmed.mu.Lock()
	now := bootNow()
	confirmed.applyServerEvents(confirmed.fleet.ApplySnapshot(now, 1, []fleet.Entry{{ID: "x", Server: &server, Version: 1}}), "store")
	for ms := 60_000; ms >= 0; ms -= 1000 {
		confirmed.streams.Confirmed(now.Add(-milliseconds(ms)))
	}
	confirmed.mu.Unlock()
	origin, known := confirmed.StreamOrigin(context.Background(), "again", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(origin.Version).To(gomega.Equal("v1"))
	g.Expect(n.called()).To(gomega.BeZero())
}

// TestAnEntryWithAnotherVersionIsAnotherRun guards against a server that goes on under its
// ID with another version and passes for the same run.
func TestAnEntryWithAnotherVersionIsAnotherRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStreamNetwork().add(t, "a", "zone-1")
	server := fleet.Server{ID: "x", Service: "s", Address: "127.0.0.1:1", Version: "v1", StartedUnixMilli: 1}
	later := server
	later.Version = "v2"
	s.fleet.ApplySnapshot(bootNow(), 1, []fleet.Entry{{ID: "x", Server: &server, Version: 1}})
	events := s.fleet.ApplySnapshot(bootNow(), 2, []fleet.Entry{{ID: "x", Server: &later, Version: 2}})
	g.Expect(events).To(gomega.HaveLen(2))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerGone))
	g.Expect(events[1].Server.Version).To(gomega.Equal("v2"))
}

// TestStreamsAreKeptForAsLongAsCallersReturn guards against records that expire before the
// caller of a long stream has taken it up.
func TestStreamsAreKeptForAsLongAsCallersReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &catalog.Catalog{Routes: []*catalog.Route{{Kind: catalog.KindStream, Timeout: milliseconds(60_000)},
		{Kind: catalog.KindStream, Resumable: true, Timeout: milliseconds(12_000)}}}
	g.Expect(streamAge(c)).To(gomega.Equal(milliseconds(24_000)))
	g.Expect(streamAge(&catalog.Catalog{})).To(gomega.Equal(minStreamAge))
}

// TestStreamsGoOnAfterAllDaemonsWereLost guards against streams that are refused after a loss
// of power at all hosts: the holder of the duties keeps the versions in use in the store.
func TestStreamsGoOnAfterAllDaemonsWereLost(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	platform := &fakePlatform{Store: store}
	entry := fleet.Entry{ID: "i-1", Server: &fleet.Server{ID: "i-1", Service: "s", Version: "v1", Address: "10.0.0.1:80", StartedUnixMilli: 1}, Version: 3}
	start := func() *state {
		s := newStateWithStore(t, settings, store)
		s.versionStore = store
		s.streams.SetStreamAge(bootNow(), milliseconds(50))
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{entry}), "store")
		s.serversReadAt = bootNow()
		s.confirmVersions()
		return s
	}
	first := start()
	u := &duties{daemon: &Daemon{settings: settings, platform: platform, state: first}}
	u.storeVersions(context.Background())
	_, known := start().StreamOrigin(context.Background(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "the daemon does not know yet what was in use before")
	time.Sleep(milliseconds(60))
	u.storeVersions(context.Background())

	restarted := start()
	var origin streamversion.Origin
	origin, known = restarted.StreamOrigin(context.Background(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(origin.Version).To(gomega.Equal("v1"))
	other := entry
	other.ID, other.Server = "i-2", &fleet.Server{ID: "i-2", Service: "s", Version: "v2", Address: "10.0.0.2:80", StartedUnixMilli: 1}
	joins := func(s *state) {
		s.daemonsListed = true
		s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), 4, []fleet.Entry{other}), "store")
	}
	restarted = start()
	joins(restarted)
	_, known = restarted.StreamOrigin(context.Background(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue(), "the store does not hold v2, which has begun nothing")
	g.Expect(restarted.storeNewVersionsOnce(context.Background(), false)).To(gomega.Succeed())
	time.Sleep(milliseconds(1600))
	restarted.serversReadAt = bootNow()
	g.Expect(restarted.storeNewVersionsOnce(context.Background(), false)).To(gomega.Succeed())
	restarted = start()
	joins(restarted)
	_, known = restarted.StreamOrigin(context.Background(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "v2 may have begun it")
}

// TestDaemonsRuleOutAVersionThatHasJoinedSince guards against streams that are refused after a loss of all
// daemons as a version has joined since, and against streams that go on although a daemon may have begun
// them at that version: it does not answer, or has started later.
func TestDaemonsRuleOutAVersionThatHasJoinedSince(t *testing.T) {
	g := gomega.NewWithT(t)
	store, n := memtable.New(), newStreamNetwork()
	g.Expect(store.Transact(t.Context(), []table.Write{{Key: versionsKey, Value: []byte(`{"versions":{"s":["v1"]},"complete":true}`)}})).To(gomega.Succeed())
	start := func(node string, versions ...string) *state {
		s := n.add(t, node, "zone-"+node)
		s.versionStore = store
		var entries []fleet.Entry
		for _, version := range versions {
			entries = append(entries, versionEntry(version))
		}
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, entries), "store")
		s.serversReadAt = bootNow()
		s.confirmVersions()
		g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
		return s
	}
	daemons := []*state{start("a", "v1"), start("b", "v1"), start("c", "v1")}
	later := versionEntry("v2")
	later.Version = 4
	for _, s := range daemons {
		s.applyServerEvents(s.fleet.ApplyChanges(bootNow(), 4, []fleet.Entry{later}), "store")
		s.copyStreamsOnce(t.Context())
	}
	g.Expect(writeVersions(t.Context(), store, 1, streamversion.Row{Versions: streamversion.InUse{"s": {"v1", "v2"}}, Complete: true})).To(gomega.Succeed())
	known := func(s *state, stream string) (string, bool) {
		origin, ok := s.StreamOrigin(t.Context(), "request", streamAt("s", stream))
		return origin.Version, ok
	}
	for _, s := range daemons {
		version, ok := known(s, "begun before")
		g.Expect(ok).To(gomega.BeTrue(), s.settings.Node)
		g.Expect(version).To(gomega.Equal("v1"))
	}
	daemons[1].StreamBegan("begun since", later.Server)
	version, ok := known(daemons[0], "begun since")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(version).To(gomega.Equal("v2"))

	n.kill("b")
	_, ok = known(daemons[0], "begun where")
	g.Expect(ok).To(gomega.BeFalse(), "a daemon that has run since is lost")
	n.daemons["b"] = daemons[1]
	_, ok = known(daemons[0], "begun where")
	g.Expect(ok).To(gomega.BeTrue())
	start("d", "v1", "v2")
	_, ok = known(daemons[0], "begun elsewhere")
	g.Expect(ok).To(gomega.BeFalse(), "a daemon has started since: its earlier run may have begun the stream")
}

// slowStore is a table that answers reads after a while.
type slowStore struct{ table.Store }

func (s slowStore) Get(ctx context.Context, key table.Key) (table.Item, error) {
	pause(ctx, milliseconds(30))
	return s.Store.Get(ctx, key)
}

// TestStreamsTakenUpTogetherWaitForTheStoredVersions guards against streams that are refused
// because another one has begun to read the stored versions at the same moment, as after a
// loss of power.
func TestStreamsTakenUpTogetherWaitForTheStoredVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	g.Expect(store.Transact(t.Context(), []table.Write{{Key: versionsKey, Value: []byte(`{"versions":{"s":["v1"]},"complete":true}`)}})).To(gomega.Succeed())
	s := newStateWithStore(t, settings, store)
	s.versionStore = slowStore{store}
	s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{{ID: "i-1", Server: &fleet.Server{ID: "i-1", Service: "s", Version: "v1", StartedUnixMilli: 1}, Version: 3}}), "store")
	s.serversReadAt = bootNow()
	s.confirmVersions()
	known := make(chan bool)
	for range 10 {
		go func() {
			_, ok := s.StreamOrigin(context.Background(), "request", streamAt("s", ""))
			known <- ok
		}()
	}
	for range 10 {
		g.Expect(<-known).To(gomega.BeTrue())
	}
}

// TestAStreamIsNotTakenUpAtAServiceThatItsRouteHasMovedTo guards against a stream of which no record
// is left and that goes on at the service to which its route leads since a configuration change.
func TestAStreamIsNotTakenUpAtAServiceThatItsRouteHasMovedTo(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memtable.New()
	to := func(version int64, service string) *catalog.Catalog {
		c := configuration(version)
		c.Routes = []*catalog.Route{{Name: "r", PathPrefix: "/r/", Kind: catalog.KindStream, Resumable: true, Split: []catalog.Share{{Service: service, Weight: 1}}}}
		return c
	}
	start := func(c *catalog.Catalog) *state {
		s := newStateWithStore(t, settings, store)
		s.versionStore = store
		s.activateCatalog(c, "store")
		other := fleet.Entry{ID: "other", Server: &fleet.Server{ID: "other", Service: "other", Version: "v1", Address: "10.0.0.2:80", StartedUnixMilli: 1}, Version: 3}
		s.applyServerEvents(s.fleet.ApplySnapshot(bootNow(), 3, []fleet.Entry{versionEntry("v1"), other}), "store")
		s.serversReadAt = bootNow()
		s.confirmVersions()
		return s
	}
	row := streamversion.Row{Versions: streamversion.InUse{"s": {"v1"}, "other": {"v1"}}, Complete: true}
	_, inService := start(to(1, "s")).streams.InService()
	row.Versions = row.Versions.With(inService)
	g.Expect(writeVersions(t.Context(), store, 0, row)).To(gomega.Succeed())
	s := start(to(1, "s"))
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	origin, known := s.StreamOrigin(t.Context(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(origin.Service).To(gomega.Equal("s"))
	s.activateCatalog(to(2, "s"), "store")
	_, known = s.StreamOrigin(t.Context(), "request", streamAt("s", "stream"))
	g.Expect(known).To(gomega.BeTrue(), "the route has not moved")

	_, known = start(to(3, "other")).StreamOrigin(t.Context(), "request", streamAt("other", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "the route has moved while all daemons were down")
	s.activateCatalog(to(3, "other"), "store")
	_, known = s.StreamOrigin(t.Context(), "request", streamAt("other", "stream"))
	g.Expect(known).To(gomega.BeFalse())
	g.Expect(s.storeNewVersionsOnce(t.Context(), false)).To(gomega.Succeed())
	_, known = start(to(3, "other")).StreamOrigin(t.Context(), "request", streamAt("other", "stream"))
	g.Expect(known).To(gomega.BeFalse(), "all daemons were lost since the change")
}

// TestTheRecordOfAStreamDoesNotFollowClocks guards against a stream that goes on at another version
// because the clock of the daemon that began it is ahead: its begin was compared with the start that
// a server states.
func TestTheRecordOfAStreamDoesNotFollowClocks(t *testing.T) {
	for _, ahead := range []time.Duration{-2400 * time.Millisecond, 0, 2400 * time.Millisecond} {
		g := gomega.NewWithT(t)
		s := newTestState(t)
		entry := fleet.Server{ID: "i-1", Service: "s", Version: "v1", Address: "10.0.0.1:80", StartedUnixMilli: time.Now().Add(-time.Minute).UnixMilli()}
		s.applyServerEvents([]fleet.Event{{Server: entry, Change: fleet.ServerJoined}}, "store")
		s.StreamBegan("stream", &entry)
		// The server starts again a second later with another version.
		next := entry
		next.Version, next.StartedUnixMilli = "v2", time.Now().Add(time.Second-ahead).UnixMilli()
		s.applyServerEvents([]fleet.Event{{Server: entry, Change: fleet.ServerGone}, {Server: next, Change: fleet.ServerJoined}}, "store")
		origin, known := s.StreamOrigin(t.Context(), "again", streamAt("s", "stream"))
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(origin.Version).To(gomega.Equal("v1"), "daemon ahead by %v", ahead)
	}
}

// TestAServerWhoseListedRunHasEndedGetsNoStreams guards against streams that are all sent first to a
// server which has started again and runs nothing: after a few such servers a stream is refused.
func TestAServerWhoseListedRunHasEndedGetsNoStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startWithServers(t, memtable.New(), "v1", "v2")
	s.streams.MarkStored(bootNow(), streamversion.InUse{"s": {"v1", "v2"}})
	g.Expect(placedAt(s, true)).To(gomega.HaveLen(2))
	ended := versionEntry("v2").Server
	s.OtherRunAnswers(ended)
	g.Expect(placedAt(s, true)).To(gomega.Equal(map[string]int{"v1": 40}))
	g.Expect(placedAt(s, false)).To(gomega.HaveLen(2), "other requests may go to any run")
	s.endedRuns[ended.RunID()] = bootNow()
	g.Expect(placedAt(s, true)).To(gomega.HaveLen(2), "it is asked again after a while")
	s.OtherRunAnswers(ended)
	next := *ended
	next.StartedUnixMilli++
	s.applyServerEvents([]fleet.Event{{Server: *ended, Change: fleet.ServerGone}, {Server: next, Change: fleet.ServerJoined}}, "store")
	g.Expect(placedAt(s, true)).To(gomega.HaveLen(2), "the entry is that of the run which answers")
}
