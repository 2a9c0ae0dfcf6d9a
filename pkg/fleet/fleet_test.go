package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func server(id string) fleet.Entry {
	return fleet.Entry{ID: id, Server: &fleet.Server{ID: id, Service: "llm", Address: "10.0.0.1:80", StartedUnixMilli: 1}}
}

// asOf returns entries that were written or removed at a version.
func asOf(version table.Version, entries ...fleet.Entry) []fleet.Entry {
	for i := range entries {
		entries[i].Version = version
	}
	return entries
}

func newCore() *fleet.Core {
	c := fleet.New(fleet.Options{StoreReturnGrace: 2 * time.Second, Run: 1})
	c.ApplySnapshot(at(0), 10, asOf(10, server("a"), server("b")))
	return c
}

// Guards against the removal of running servers whose entries expire during a
// store outage because they cannot be refreshed.
func TestExpiredEntriesAreKeptForAGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.MarkStoreUnavailable()
	c.MarkStoreAvailable(at(5000))
	g.Expect(c.ApplySnapshot(at(5010), 20, asOf(20, server("a")))).To(gomega.BeEmpty())
	g.Expect(c.RemoveExpired(at(6900))).To(gomega.BeEmpty())
	g.Expect(c.RemoveExpired(at(7001))).To(gomega.HaveLen(1))
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Guards against requests to removed servers after a host was disconnected from
// the store: a removal after the first full list is not caused by the outage and
// gets no grace period. In scenario kodiclub-enrol scale-2, requests reached a
// server 2123 ms after its entry was removed.
func TestRemovalAfterTheFirstFullListTakesEffectAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.MarkStoreUnavailable()
	c.MarkStoreAvailable(at(5000))
	c.ApplySnapshot(at(5010), 20, asOf(20, server("a"), server("b")))
	events := c.ApplyChanges(at(5900), 21, asOf(21, fleet.Entry{ID: "b"}))
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerGone))
}

// Guards against an older view that arrives late from a peer.
func TestOlderViewsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.ApplyChanges(at(100), 20, asOf(20, fleet.Entry{ID: "b"}))
	g.Expect(c.ApplySnapshot(at(200), 15, asOf(15, server("a"), server("b")))).To(gomega.BeEmpty())
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Guards against a restarted server with the same ID that is taken for its earlier
// run.
func TestRestartUnderTheSameIDIsAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	again := server("a")
	again.Server.StartedUnixMilli = 2
	events := c.ApplyChanges(at(100), 20, asOf(20, again))
	g.Expect(events).To(gomega.HaveLen(2))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerGone))
	g.Expect(events[1].Change).To(gomega.Equal(fleet.ServerJoined))
}

// Guards against a leaving server that is kept after its entry expires.
func TestLeavingServersGetNoGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	leaving := server("b")
	leaving.Server.Leaving = true
	g.Expect(c.ApplyChanges(at(10), 11, asOf(11, leaving))[0].Change).To(gomega.Equal(fleet.ServerLeaving))
	c.MarkStoreUnavailable()
	c.MarkStoreAvailable(at(5000))
	g.Expect(c.ApplySnapshot(at(5010), 20, asOf(20, server("a")))).To(gomega.HaveLen(1))
}

// exchange sends a daemon's view to a peer that has acknowledged what it received
// before. It returns how many entries that took, and whether the views then agree.
func exchange(from, to *fleet.Core, received *changelog.Position) (int, bool) {
	v := from.ViewFor("to", *received, to.Digest(), true)
	_, position, agreed := to.Merge(at(0), "from", *received, &v)
	*received = position
	return len(v.Entries), agreed
}

// Guards against changes and removals that do not reach a daemon that gets its
// view from a peer.
func TestChangesReachPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newCore(), newCore()
	var received changelog.Position
	entries, agreed := exchange(hub, leaf, &received)
	g.Expect(entries).To(gomega.BeZero(), "daemons with equal views send no entries")
	g.Expect(agreed).To(gomega.BeTrue())
	hub.ApplyChanges(at(10), 11, asOf(11, server("c"), fleet.Entry{ID: "a"}))
	entries, _ = exchange(hub, leaf, &received)
	g.Expect(entries).To(gomega.Equal(2))
	g.Expect(leaf.Servers()).To(gomega.ConsistOf(hub.Servers()))
	hub.ApplyChanges(at(30), 12, asOf(12, server("b")))
	entries, _ = exchange(hub, leaf, &received)
	g.Expect(entries).To(gomega.BeZero(), "a heartbeat must not count as a change for peers")
}

// Guards against a view that a peer confirms although it differs, as that of a peer
// that has started after a server was removed and has no removal to tell: the daemon
// must learn of the difference, and the store settles it.
func TestAPeerThatHasJustStartedDoesNotHideRemovals(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf, fresh := newCore(), fleet.New(fleet.Options{StoreReturnGrace: time.Second, Run: 9})
	fresh.ApplySnapshot(at(40), 13, asOf(13, server("a")))
	var received changelog.Position
	_, agreed := exchange(fresh, leaf, &received)
	g.Expect(agreed).To(gomega.BeFalse())
	g.Expect(leaf.Version()).To(gomega.Equal(table.Version(10)))
	leaf.ApplySnapshot(at(50), 13, asOf(13, server("a")))
	_, agreed = exchange(fresh, leaf, &received)
	g.Expect(agreed).To(gomega.BeTrue())
	g.Expect(leaf.Servers()).To(gomega.HaveLen(1))
}

// Guards against a removed server that an older view from a peer, which was cut off
// meanwhile, restores: at a daemon that removed the server itself, and at one that
// has started since and never knew it.
func TestAnOlderViewOfAPeerRestoresNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, cutOff := newCore(), newCore()
	hub.ApplyChanges(at(10), 20, asOf(20, fleet.Entry{ID: "a"}))
	started := fleet.New(fleet.Options{StoreReturnGrace: time.Second, Run: 9})
	started.ApplySnapshot(at(40), 30, asOf(30, server("b")))
	for _, c := range []*fleet.Core{hub, started} {
		var received changelog.Position
		exchange(cutOff, c, &received)
		g.Expect(c.Servers()).To(gomega.HaveLen(1))
	}
	var received changelog.Position
	exchange(hub, cutOff, &received)
	g.Expect(cutOff.Servers()).To(gomega.HaveLen(1))
}

// Guards against a change that is taken for an older one because another change of the
// same server comes with the same answer of the store. A server that left right after its
// start was used until its entry was removed (DRAIN, ganda-ho quiet-1, seed 712151595824).
func TestTwoChangesOfAServerInOneAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	started, leaving := server("c"), server("c")
	leaving.Server.Leaving = true
	events := c.ApplyChanges(at(10), 15, append(asOf(11, started), asOf(13, leaving)...))
	g.Expect(events).To(gomega.HaveLen(2))
	g.Expect(events[1].Change).To(gomega.Equal(fleet.ServerLeaving))
}

// Guards against a removed server that is used again because the store's answer to a
// daemon that was cut off begins with the server's start, before its removal: a peer had
// told of the removal meanwhile, and the start was taken for proof against that (DRAIN,
// kodiclub-enrol trouble-2, seed 212361424153).
func TestEarlierChangesDoNotUndoARemoval(t *testing.T) {
	g := gomega.NewWithT(t)
	c, peer := newCore(), newCore()
	peer.ApplyChanges(at(10), 30, append(asOf(15, server("c")), asOf(26, fleet.Entry{ID: "c"}, fleet.Entry{ID: "b"})...))
	var received changelog.Position
	peer.ApplyChanges(at(10), 31, nil)
	exchange(peer, c, &received)
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
	events := c.ApplyChanges(at(20), 32, append(asOf(12, server("b")), asOf(26, fleet.Entry{ID: "b"})...))
	g.Expect(events).To(gomega.BeEmpty())
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Guards against a server that a late message of a peer adds after its removal was told,
// at a daemon that did not know the server.
func TestARemovalOfAnUnknownServerCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	c := fleet.New(fleet.Options{StoreReturnGrace: time.Second, Run: 9})
	later := fleet.View{Span: changelog.Span{Run: 2, To: 2}, Entries: asOf(30, fleet.Entry{ID: "a"})}
	earlier := fleet.View{Span: changelog.Span{Run: 3, To: 1}, Entries: asOf(20, server("a"))}
	c.Merge(at(0), "one", changelog.Position{}, &later)
	c.Merge(at(0), "two", changelog.Position{}, &earlier)
	g.Expect(c.Servers()).To(gomega.BeEmpty())
	c.ApplyChanges(at(10), 40, asOf(35, server("a")))
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Guards against a server that the whole fleet forgets because one peer has removed
// it while another has seen it return, and nobody tells the first one.
func TestAPeerWithAnOlderStateIsCorrected(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newCore(), newCore()
	var fromA, fromB changelog.Position
	exchange(a, b, &fromA)
	exchange(b, a, &fromB)
	// The entry lapsed at 20 and was written again at 25; b only sees the result.
	a.ApplyChanges(at(10), 20, asOf(20, fleet.Entry{ID: "b"}))
	b.ApplyChanges(at(10), 25, asOf(25, server("b")))
	exchange(a, b, &fromA)
	g.Expect(b.Servers()).To(gomega.HaveLen(2))
	exchange(b, a, &fromB)
	g.Expect(a.Servers()).To(gomega.HaveLen(2))
}

// Guards against peers that take their views for confirmed although they were never
// told of a removal because the daemon has dropped it.
func TestDroppedRemovalsLeaveADifference(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newCore(), newCore()
	var received changelog.Position
	exchange(hub, leaf, &received)
	hub.ApplyChanges(at(10), 11, asOf(11, fleet.Entry{ID: "a"}))
	for i := range table.Version(5000) {
		id := fmt.Sprint("s", i)
		hub.ApplyChanges(at(20), 12+2*i, asOf(12+2*i, server(id)))
		hub.ApplyChanges(at(20), 13+2*i, asOf(13+2*i, fleet.Entry{ID: id}))
	}
	_, agreed := exchange(hub, leaf, &received)
	g.Expect(agreed).To(gomega.BeFalse())
	leaf.ApplySnapshot(at(30), hub.Version(), asOf(hub.Version(), server("b")))
	_, agreed = exchange(hub, leaf, &received)
	g.Expect(agreed).To(gomega.BeTrue())
}

// Guards against requests to a server that has said in an answer that it leaves: its entry
// may state that later, state the opposite meanwhile, or be removed and come back.
func TestAServerThatHasSaidThatItLeavesGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := fleet.New(fleet.Options{Run: 1})
	server := fleet.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", StartedUnixMilli: 5}
	now := time.Unix(1000, 0)
	entry := func(version table.Version, change func(*fleet.Server)) []fleet.Entry {
		s := server
		change(&s)
		return []fleet.Entry{{ID: s.ID, Server: &s, Version: version}}
	}
	c.ApplySnapshot(now, 1, entry(1, func(*fleet.Server) {}))
	digest := c.Digest()
	events := c.SaidLeaving(&server, time.UnixMilli(5))
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerLeaving))
	g.Expect(c.SaidLeaving(&server, time.UnixMilli(5))).To(gomega.BeEmpty(), "it is known")
	g.Expect(c.SaidLeaving(&fleet.Server{ID: "i-1", StartedUnixMilli: 4}, time.UnixMilli(4))).To(gomega.BeEmpty(), "an earlier run")
	g.Expect(c.Servers()[0].Leaving).To(gomega.BeTrue())
	g.Expect(c.Digest()).To(gomega.Equal(digest), "peers that have not heard it have the same view of the store")

	g.Expect(c.ApplyChanges(now, 2, entry(2, func(s *fleet.Server) { s.Slots = 9 }))).To(gomega.BeEmpty())
	g.Expect(c.ApplyChanges(now, 3, entry(3, func(s *fleet.Server) { s.Leaving = true }))).To(gomega.BeEmpty())
	g.Expect(c.ApplyChanges(now, 4, entry(4, func(*fleet.Server) {}))).To(gomega.BeEmpty())
	g.Expect(c.Servers()[0].Leaving).To(gomega.BeTrue())
	c.ApplyChanges(now, 5, []fleet.Entry{{ID: "i-1", Version: 5}})
	events = c.ApplyChanges(now, 6, entry(6, func(*fleet.Server) {}))
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerLeaving), "its entry is back")
	events = c.ApplyChanges(now, 7, entry(7, func(s *fleet.Server) { s.StartedUnixMilli = 6 }))
	g.Expect(events[len(events)-1].Change).To(gomega.Equal(fleet.ServerJoined), "another run")
}

// TestLeavingIsKeptWithoutAnEntry guards against requests to a server that has said that it
// leaves while its entry was missing, and whose entry then returns: from the store, or from a
// daemon that has not heard it.
func TestLeavingIsKeptWithoutAnEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	c := fleet.New(fleet.Options{Run: 1})
	server := fleet.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", StartedUnixMilli: 5}
	unknown := fleet.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:80", StartedUnixMilli: 7}
	now := time.Unix(1000, 0)
	c.ApplySnapshot(now, 1, []fleet.Entry{{ID: "i-1", Server: &server, Version: 1}})
	c.ApplyChanges(now, 2, []fleet.Entry{{ID: "i-1", Version: 2}})
	g.Expect(c.SaidLeaving(&server, time.UnixMilli(5))).To(gomega.BeEmpty(), "it is not in use")
	g.Expect(c.SaidLeaving(&unknown, time.UnixMilli(7))).To(gomega.BeEmpty())
	events := c.ApplyChanges(now, 4, []fleet.Entry{{ID: "i-1", Server: &server, Version: 3}, {ID: "i-2", Server: &unknown, Version: 4}})
	for _, e := range events {
		g.Expect(e.Change).To(gomega.Equal(fleet.ServerLeaving), e.Server.ID)
	}
	for _, s := range c.Servers() {
		g.Expect(s.Leaving).To(gomega.BeTrue(), s.ID)
	}
}

// TestStatementsOfLeavingAreBounded guards against a record of servers that have left which
// grows with each of them, and against dropping the newest.
func TestStatementsOfLeavingAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	c := fleet.New(fleet.Options{Run: 1})
	now := time.Unix(1000, 0)
	const n = 10_000
	for i := range n {
		c.SaidLeaving(&fleet.Server{ID: fmt.Sprintf("i-%d", i), StartedUnixMilli: 5}, time.UnixMilli(5))
	}
	old, newest := fleet.Server{ID: "i-0", StartedUnixMilli: 5}, fleet.Server{ID: fmt.Sprintf("i-%d", n-1), StartedUnixMilli: 5}
	c.ApplySnapshot(now, 1, []fleet.Entry{{ID: old.ID, Server: &old, Version: 1}, {ID: newest.ID, Server: &newest, Version: 1}})
	for _, s := range c.Servers() {
		g.Expect(s.Leaving).To(gomega.Equal(s.ID == newest.ID), s.ID)
	}
}

// Guards against a server that is revived, or taken for gone, because the store has returned from
// an older copy: the copy has the entry of a server that has left since, and lacks that of one that
// has come since.
func TestAnOlderCopyRevivesAndDropsNoServer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := fleet.New(fleet.Options{StoreReturnGrace: 2 * time.Second})
	server := func(id string) *fleet.Server { return &fleet.Server{ID: id, Service: "s", Address: "10.0.0.1:80"} }
	c.ApplySnapshot(at(0), 10, []fleet.Entry{{ID: "left", Server: server("left"), Version: 4}, {ID: "leaves", Server: server("leaves"), Version: 5}})
	leaving := server("leaves")
	leaving.Leaving = true
	c.ApplyChanges(at(0), 13, []fleet.Entry{{ID: "left", Version: 11}, {ID: "leaves", Server: leaving, Version: 12}, {ID: "new", Server: server("new"), Version: 13}})
	// The copy is as of version 10. Its entries keep their versions.
	returned := table.Epoch(1)
	events := c.ApplySnapshot(at(1000), returned.At(10), []fleet.Entry{{ID: "left", Server: server("left"), Version: 4}, {ID: "leaves", Server: server("leaves"), Version: 5}})
	g.Expect(events).To(gomega.BeEmpty())
	states := make(map[string]bool)
	for _, s := range c.Servers() {
		states[s.ID] = s.Leaving
	}
	g.Expect(states).To(gomega.Equal(map[string]bool{"leaves": true, "new": false}))
	// A server that writes its entry again is there, and one that does not is gone after a while.
	events = c.ApplyChanges(at(2000), returned.At(11), []fleet.Entry{{ID: "left", Server: server("left"), Version: returned.At(11)}})
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(c.RemoveExpired(at(2999))).To(gomega.BeEmpty())
	g.Expect(c.RemoveExpired(at(3000))).To(gomega.HaveLen(1))
}
