package fleet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func server(id string) fleet.Entry {
	return fleet.Entry{ID: id, Server: &fleet.Server{ID: id, Service: "llm", Address: "10.0.0.1:80", StartedUnixMilli: 1}}
}

func newCore() *fleet.Core {
	c := fleet.New(fleet.Options{StoreReturnGrace: 2 * time.Second})
	c.ApplySnapshot(at(0), 10, []fleet.Entry{server("a"), server("b")})
	return c
}

// Guards against the removal of running servers whose entries expire during a
// store outage because they cannot be refreshed.
func TestExpiredEntriesAreKeptForAGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.MarkStoreUnavailable()
	c.MarkStoreAvailable(at(5000))
	g.Expect(c.ApplySnapshot(at(5010), 20, []fleet.Entry{server("a")})).To(gomega.BeEmpty())
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
	c.ApplySnapshot(at(5010), 20, []fleet.Entry{server("a"), server("b")})
	events := c.ApplyChanges(at(5900), 21, []fleet.Entry{{ID: "b"}})
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].Change).To(gomega.Equal(fleet.ServerGone))
}

// Guards against an older view that arrives late from a peer.
func TestOlderViewsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.ApplyChanges(at(100), 20, []fleet.Entry{{ID: "b"}})
	g.Expect(c.ApplySnapshot(at(200), 15, []fleet.Entry{server("a"), server("b")})).To(gomega.BeEmpty())
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Guards against a restarted server with the same ID that is taken for its earlier
// run.
func TestRestartUnderTheSameIDIsAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	again := server("a")
	again.Server.StartedUnixMilli = 2
	events := c.ApplyChanges(at(100), 20, []fleet.Entry{again})
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
	g.Expect(c.ApplyChanges(at(10), 11, []fleet.Entry{leaving})[0].Change).To(gomega.Equal(fleet.ServerLeaving))
	c.MarkStoreUnavailable()
	c.MarkStoreAvailable(at(5000))
	g.Expect(c.ApplySnapshot(at(5010), 20, []fleet.Entry{server("a")})).To(gomega.HaveLen(1))
}

// Guards against changes and removals that do not reach a daemon that gets its
// view from a peer, including a peer that has just started.
func TestChangesReachPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newCore(), newCore()
	hub.ApplyChanges(at(10), 11, []fleet.Entry{server("c"), {ID: "a"}})
	entries, partial := hub.EntriesSince(leaf.Version())
	g.Expect(partial).To(gomega.BeTrue())
	leaf.ApplyChanges(at(20), hub.Version(), entries)
	g.Expect(leaf.Servers()).To(gomega.ConsistOf(hub.Servers()))
	hub.ApplyChanges(at(30), 12, []fleet.Entry{server("b")})
	g.Expect(hub.ChangedVersion()).To(gomega.Equal(uint64(11)), "a heartbeat must not count as a change for peers")

	fresh := fleet.New(fleet.Options{StoreReturnGrace: time.Second})
	fresh.ApplySnapshot(at(40), 13, []fleet.Entry{server("c")})
	entries, partial = fresh.EntriesSince(leaf.Version())
	g.Expect(partial).To(gomega.BeFalse())
	leaf.ApplySnapshot(at(50), fresh.Version(), entries)
	g.Expect(leaf.Servers()).To(gomega.HaveLen(1))
}
