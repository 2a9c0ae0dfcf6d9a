package streamversion_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// TestVersionsBeginStreamsOnceStored guards against a version that begins streams although the
// store does not hold it, however long the store is away, or holds it no more since it was out of use.
func TestVersionsBeginStreamsOnceStored(t *testing.T) {
	g := NewWithT(t)
	c := newCore("a")
	one, both := withAge(streamversion.InUse{"s": {"v1"}}), withAge(streamversion.InUse{"s": {"v1", "v2"}})
	g.Expect(c.MayBegin(server("i", "v1"))).To(BeFalse())
	join(c, after(0), server("i-1", "v1"))
	c.MarkStored(after(0), one)
	g.Expect(c.MayBegin(server("i", "v1"))).To(BeTrue())
	join(c, after(1000), server("i-2", "v2"))
	stored, others := c.InService()
	g.Expect(stored).To(Equal(one))
	g.Expect(others).To(Equal(streamversion.InUse{"s": {"v2"}}))
	g.Expect(c.MayBegin(server("i", "v2"))).To(BeFalse())
	confirm(c, 1000, 4000)
	g.Expect(c.MayBegin(server("i", "v2"))).To(BeFalse(), "the store is away")
	c.MarkStored(after(4100), both)
	_, others = c.InService()
	g.Expect(others).To(BeEmpty())

	gone(c, after(5000), server("i-2", "v2"))
	join(c, after(9000), server("i-2", "v2"))
	g.Expect(c.MayBegin(server("i", "v2"))).To(BeTrue(), "the store still holds it")
	gone(c, after(10_000), server("i-2", "v2"))
	join(c, after(15_000), server("i-2", "v2"))
	g.Expect(c.MayBegin(server("i", "v2"))).To(BeFalse(), "the store may hold it no more")
	c.MarkStored(after(15_100), both)
	g.Expect(c.MayBegin(server("i", "v2"))).To(BeTrue())
}

// TestOthersAddVersionsIfHubsDoNot guards against a version that nobody stores as the store turns away
// just those daemons that rank as hubs, and against daemons that all write at the same time.
func TestOthersAddVersionsIfHubsDoNot(t *testing.T) {
	g := NewWithT(t)
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	turns := make(map[int]int)
	for _, node := range nodes {
		c := newCore(node)
		var members []streamversion.Member
		for _, other := range nodes {
			if other != node {
				members = append(members, streamversion.Member{Node: other, Run: 1})
			}
		}
		c.SetMembers(after(0), members)
		c.MarkStored(after(0), withAge(nil))
		g.Expect(c.AddsVersions(after(60_000), streamversion.Role{})).To(BeFalse(), "the store holds all")
		join(c, after(60_000), server("i", "v2"))
		g.Expect(c.AddsVersions(after(60_000), streamversion.Role{RanksAsHub: true})).To(BeTrue())
		for ms := 60_000; !c.AddsVersions(after(ms), streamversion.Role{}); ms += 100 {
			if ms > 70_000 {
				t.Fatal("it is never its turn")
			}
			turns[ms+100]++
		}
		g.Expect(c.ReadsRow(after(63_000), streamversion.Role{})).To(BeTrue())
		c.RowWritten(after(63_000), streamversion.Row{Versions: withAge(streamversion.InUse{"s": {"v2"}})})
		g.Expect(c.MayBegin(server("i", "v2"))).To(BeTrue())
		g.Expect(c.TellsStored(after(63_500))).To(BeTrue())
		g.Expect(c.TellsStored(after(80_000))).To(BeFalse())
		g.Expect(c.AddsVersions(after(63_500), streamversion.Role{})).To(BeFalse())
		c.MarkUnstored(after(90_000), nil)
		g.Expect(c.AddsVersions(after(90_000), streamversion.Role{})).To(BeFalse(), "not all write at once when the store has returned from a copy")
	}
	g.Expect(turns[60_400]).To(Equal(len(nodes)), "hubs have time")
	g.Expect(turns[60_800]).To(Equal(len(nodes)-1), "one after the other")
	g.Expect(turns[62_400]).To(Equal(1))
}

// routesTo returns a route that leads to a service.
func routesTo(service string) []streamversion.Route {
	return []streamversion.Route{{PathPrefix: "/", Split: []catalog.Share{{Service: service, Weight: 1}}}}
}

// TestOneVersionStoresNoRecords guards against streams that wait for the store, and a store that is
// written to for each of them, while a daemon that has just started, or whose routes have changed,
// does not know yet that the version in service is the only one.
func TestOneVersionStoresNoRecords(t *testing.T) {
	g := NewWithT(t)
	c := newCore("a")
	join(c, after(0), server("i-1", "v1"))
	c.SetRoutes(after(0), routesTo("s"))
	c.SetRoutes(after(10), append(routesTo("s"), streamversion.Route{PathPrefix: "/other/", Split: []catalog.Share{{Service: "s", Weight: 1}}}))
	c.Began(after(20), "stream", server("i-1", "v1"))
	g.Expect(c.SeveralVersions(after(20), "s")).To(BeFalse())
	g.Expect(c.Collections(after(20))).To(BeEmpty())
	join(c, after(100), server("i-2", "v2"))
	g.Expect(c.SeveralVersions(after(100), "s")).To(BeTrue())
	g.Expect(c.Collections(after(300))).NotTo(BeEmpty())
}
