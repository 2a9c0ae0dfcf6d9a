package edge

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
)

// hubAndDaemon returns two daemons that know of the same server as of version 5.
func hubAndDaemon(t *testing.T) (hub, s *state, server fleet.Server) {
	t.Helper()
	own := settings
	own.Node = "hub"
	hub, s = newStateOf(t, own), newTestState(t)
	server = fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	for _, d := range []*state{hub, s} {
		d.applyServerEvents(d.fleet.ApplySnapshot(bootNow(), 5, []fleet.Entry{{ID: "x", Server: &server, Version: 5}}), "store")
	}
	return hub, s, server
}

// viewOf returns the complete view of a daemon with the servers.
func viewOf(version table.Version, age time.Duration, servers ...fleet.Server) fleet.View {
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
		s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: viewOf(7, age, fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"})}, bootNow())
	}
	deliver(200 * time.Millisecond)
	g.Expect(s.fleet.Initialized()).To(gomega.BeTrue())
	g.Expect(s.fleetAge()).To(gomega.BeNumerically("~", 200*time.Millisecond, 100*time.Millisecond))
	deliver(5 * time.Second)
	g.Expect(s.fleetAge()).To(gomega.BeNumerically("<", time.Second), "an older confirmation must not replace a newer one")
	other := newTestState(t)
	other.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: viewOf(7, 5*time.Second)}, bootNow())
	g.Expect(other.followsStore()).To(gomega.BeTrue())
}

// Guards against daemons that keep one another's views fresh although none of them
// reads the store, because each message is younger on arrival than when it was sent: with
// all hubs gone, the others would read the store themselves too late.
func TestMessagesOnTheirWayConfirmNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestState(t)
	server := fleet.Server{ID: "x", Service: "s", Address: "10.0.0.1:80"}
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "peer"}, Fleet: viewOf(7, 200*time.Millisecond, server)}, bootNow().Add(-300*time.Millisecond))
	g.Expect(s.fleetAge()).To(gomega.BeNumerically(">=", 500*time.Millisecond))
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "other"}, Fleet: viewOf(7, 0, server)}, time.Time{})
	g.Expect(s.fleetAge()).To(gomega.BeNumerically(">=", 500*time.Millisecond), "it is not known when an unasked message was sent")
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
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "hub"}, Fleet: viewOf(7, 0, a, b)}, bootNow())
	g.Expect(s.followsStore()).To(gomega.BeFalse())
	s.peers.UpdateNeighbor(bootNow(), &mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 2}, Fleet: fleet.View{Received: s.fleet.Head()}}, false)
	started := viewOf(12, 0, a)
	started.Span.Run = 2
	s.applyFleet(&mesh.Message{Record: mesh.Record{Node: "hub", Incarnation: 2}, Fleet: started}, bootNow())
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
		Entries: []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}}}, bootNow())
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// Guards against missed changes after a hub was paused or slow: it does not send
// its view while that is too old, and its newer version must not make this
// daemon skip the changes before it. In scenario duties-under-cloud-faults
// (ganda-ho-grown), a request reached a server 3.1 s after the server had
// announced that it was leaving.
func TestAStaleHubDoesNotHideChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, s, server := hubAndDaemon(t)
	hub.peers.UpdateNeighbor(bootNow(), &mesh.Message{Record: mesh.Record{Node: "self", Incarnation: 1}}, false)
	leaving := server
	leaving.Leaving = true
	hub.applyServerEvents(hub.fleet.ApplyChanges(bootNow(), 6, []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}), "store")
	hub.serversReadAt = bootNow().Add(-peerViewMaxAge)
	s.applyFleet(hub.messageFor("self"), bootNow())
	hub.peers.UpdateNeighbor(bootNow(), s.messageFor("hub"), false)
	hub.serversReadAt = bootNow()
	s.applyFleet(hub.messageFor("self"), bootNow())
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// exchangeViews makes a hub send its view to a daemon, and the daemon answer.
func exchangeViews(hub, s *state) {
	hub.serversReadAt = bootNow()
	m := hub.messageFor(s.settings.Node)
	s.peers.UpdateNeighbor(bootNow(), m, true)
	s.applyFleet(m, bootNow())
	hub.peers.UpdateNeighbor(bootNow(), s.messageFor(hub.settings.Node), false)
}

// Guards against servers that a hub removes at the end of the grace period after a
// store outage, and that other daemons go on using: the removal carries the version
// of the view, which the others have already.
func TestRemovalsAtTheEndOfTheGracePeriodAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, s, _ := hubAndDaemon(t)
	now := bootNow()
	exchangeViews(hub, s)
	hub.fleet.MarkStoreUnavailable()
	hub.fleet.MarkStoreAvailable(now)
	hub.applyServerEvents(hub.fleet.ApplySnapshot(now, 6, nil), "store")
	exchangeViews(hub, s)
	g.Expect(s.fleet.Servers()).To(gomega.HaveLen(1), "it may write its entry again")
	hub.applyServerEvents(hub.fleet.RemoveExpired(now.Add(time.Minute)), "grace period")
	exchangeViews(hub, s)
	g.Expect(s.fleet.Servers()).To(gomega.BeEmpty())
}

// Guards against changes that a daemon finds only by a full read, at a version that it
// has told already because its watch had missed them: other daemons at that version
// were not told.
func TestChangesFoundAtAToldVersionAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, s, server := hubAndDaemon(t)
	hub.applyServerEvents(hub.fleet.ApplyChanges(bootNow(), 6, nil), "store")
	exchangeViews(hub, s)
	exchangeViews(hub, s)
	leaving := server
	leaving.Leaving = true
	hub.applyServerEvents(hub.fleet.ApplySnapshot(bootNow(), 6, []fleet.Entry{{ID: "x", Server: &leaving, Version: 6}}), "store")
	exchangeViews(hub, s)
	g.Expect(s.fleet.Servers()[0].Leaving).To(gomega.BeTrue())
}

// Guards against a daemon that takes its own readings of the store for complete and
// leaves out what peers tell: a watch may hear nothing while changes are made, or the
// store may turn away this daemon's next calls.
func TestOwnReadingsDoNotHideWhatPeersTell(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, s, server := hubAndDaemon(t)
	for _, d := range []*state{hub, s} {
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
