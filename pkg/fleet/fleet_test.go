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

// Answers the store outage during which entries lapse because servers cannot
// refresh them.
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

// Answers the cut of one host from the store while servers leave: a removal
// that comes after the first full list is not a lapse (kodiclub-enrol scale-2:
// requests reached a server 2123 ms after its entry was removed).
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

// Answers an older view of a peer that arrives late.
func TestOlderViewsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore()
	c.ApplyChanges(at(100), 20, []fleet.Entry{{ID: "b"}})
	g.Expect(c.ApplySnapshot(at(200), 15, []fleet.Entry{server("a"), server("b")})).To(gomega.BeEmpty())
	g.Expect(c.Servers()).To(gomega.HaveLen(1))
}

// Answers a server that starts again under its ID.
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

// Answers a leaving server whose entry lapses: it is not kept.
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

// Answers daemons that are told of servers by a peer: changes and removals
// reach them, also from a peer that has just started.
func TestChangesReachPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newCore(), newCore()
	hub.ApplyChanges(at(10), 11, []fleet.Entry{server("c"), {ID: "a"}})
	entries, partial := hub.EntriesSince(leaf.Version())
	g.Expect(partial).To(gomega.BeTrue())
	leaf.ApplyChanges(at(20), hub.Version(), entries)
	g.Expect(leaf.Servers()).To(gomega.ConsistOf(hub.Servers()))
	hub.ApplyChanges(at(30), 12, []fleet.Entry{server("b")})
	g.Expect(hub.ChangedVersion()).To(gomega.Equal(uint64(11)), "a heartbeat changes nothing for peers")

	fresh := fleet.New(fleet.Options{StoreReturnGrace: time.Second})
	fresh.ApplySnapshot(at(40), 13, []fleet.Entry{server("c")})
	entries, partial = fresh.EntriesSince(leaf.Version())
	g.Expect(partial).To(gomega.BeFalse())
	leaf.ApplySnapshot(at(50), fresh.Version(), entries)
	g.Expect(leaf.Servers()).To(gomega.HaveLen(1))
}
