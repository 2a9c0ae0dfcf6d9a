package streamversion_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// collectingCore returns a core that knows some other daemons and has begun a stream of a service with two
// versions.
func collectingCore(others int) *streamversion.Core {
	c := newCore("origin")
	join(c, start, server("x", "v1"))
	join(c, start, server("y", "v2"))
	var members []streamversion.Member
	for i := range others {
		members = append(members, streamversion.Member{Node: fmt.Sprint("daemon-", i), Run: 1})
	}
	c.SetMembers(start, members)
	c.Began(start, "stream", server("x", "v1"))
	return c
}

// callsOf returns the calls that ask a collector to store a record, by collector, and those that let a
// daemon hold it.
func callsOf(calls []streamversion.Collection) (store, hold map[string]*streamversion.Collection) {
	store, hold = make(map[string]*streamversion.Collection), make(map[string]*streamversion.Collection)
	for i := range calls {
		if calls[i].Message.Collect > 0 {
			store[calls[i].Node] = &calls[i]
		} else {
			hold[calls[i].Node] = &calls[i]
		}
	}
	return store, hold
}

func reply(outcome streamversion.CollectOutcome) *streamversion.Reply {
	return &streamversion.Reply{Run: 1, Outcome: outcome}
}

// TestASilentCollectorIsReplaced guards against records that wait for a collector which does not reply:
// another one is asked, for other streams, too.
func TestASilentCollectorIsReplaced(t *testing.T) {
	g := NewWithT(t)
	c := collectingCore(20)
	first, _ := callsOf(c.Collections(start))
	g.Expect(first).To(HaveLen(1))
	again, _ := callsOf(c.Collections(after(50)))
	g.Expect(again).To(BeEmpty())
	second, _ := callsOf(c.Collections(after(101)))
	g.Expect(second).To(HaveLen(1))
	for node, call := range second {
		g.Expect(first).NotTo(HaveKey(node))
		c.Collected(after(120), call, reply(streamversion.RecordsStored))
	}
	g.Expect(c.IsStored("stream")).To(BeTrue())
	g.Expect(c.MayPass(after(120), "stream")).To(BeTrue())
	c.Began(after(130), "other", server("x", "v1"))
	third, _ := callsOf(c.Collections(after(130)))
	for node := range third {
		g.Expect(second).To(HaveKey(node))
	}
}

// TestStandInsAreInOtherZones guards against records that are lost with one AvailabilityZone.
func TestStandInsAreInOtherZones(t *testing.T) {
	for deployment := range 20 {
		g := NewWithT(t)
		c := collectingCore(0)
		var members []streamversion.Member
		zones := make(map[string]string)
		for i := range 30 {
			m := streamversion.Member{Node: fmt.Sprint("daemon-", deployment, "-", i), Zone: fmt.Sprint("zone-", i%3), Run: 1, Cores: 1}
			members, zones[m.Node] = append(members, m), m.Zone
		}
		c.SetCores(0.2)
		c.SetMembers(after(1), members)
		store, hold := callsOf(c.Collections(after(2)))
		g.Expect(store).To(HaveLen(1))
		g.Expect(hold).To(HaveLen(1))
		for collector := range store {
			for standIn := range hold {
				g.Expect(zones[standIn]).NotTo(Equal(zones[collector]))
				g.Expect(c.CollectorsFor("stream")).To(ContainElements(collector, standIn))
			}
		}
	}
}

// TestHeldRecordsAreNotStored guards against records that count as stored since a collector holds them,
// and against one that is not asked for the outcome of its write.
func TestHeldRecordsAreNotStored(t *testing.T) {
	g := NewWithT(t)
	c := collectingCore(20)
	store, _ := callsOf(c.Collections(start))
	for node, call := range store {
		c.Collected(after(80), call, reply(streamversion.RecordsBeingWritten))
		g.Expect(c.IsStored("stream")).To(BeFalse())
		g.Expect(c.MayPass(after(80), "stream")).To(BeFalse())
		again, _ := callsOf(c.Collections(after(81)))
		g.Expect(again).To(HaveKey(node))
		c.Collected(after(500), again[node], reply(streamversion.RecordsStored))
	}
	g.Expect(c.IsStored("stream")).To(BeTrue())
}

// TestFirstEventsWaitForTwoHoldersWithoutTheStore guards against a first event that goes out while its
// record lies nowhere else, and against one that waits for a store that takes none.
func TestFirstEventsWaitForTwoHoldersWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	c := collectingCore(20)
	for asked := 0; asked < 2; asked++ {
		store, _ := callsOf(c.Collections(after(asked)))
		g.Expect(store).To(HaveLen(1))
		for _, call := range store {
			c.Collected(after(asked), call, reply(streamversion.RecordsNotStored))
		}
	}
	g.Expect(c.MayPass(after(3), "stream")).To(BeTrue(), "two collectors hold it and can't store it")
	c.Began(after(4), "other", server("x", "v1"))
	store, hold := callsOf(c.Collections(after(4)))
	g.Expect(store).To(HaveLen(1), "a third one is asked")
	g.Expect(c.MayPass(after(4), "other")).To(BeFalse(), "nobody has acknowledged it")
	for _, call := range hold {
		c.Collected(after(5), call, reply(streamversion.OutcomeUnknown))
	}
	for _, call := range store {
		c.Collected(after(5), call, reply(streamversion.RecordsNotStored))
	}
	g.Expect(c.MayPass(after(5), "other")).To(BeTrue())
}

// TestRecordsAreSentAgainAfterADrill guards against records that the store, and a collector that was lost
// since, do not have any more.
func TestRecordsAreSentAgainAfterADrill(t *testing.T) {
	g := NewWithT(t)
	c := collectingCore(20)
	store, _ := callsOf(c.Collections(start))
	for _, call := range store {
		c.Collected(after(10), call, reply(streamversion.RecordsStored))
	}
	g.Expect(c.Collections(after(300))).To(BeEmpty())
	c.StoreReturned()
	g.Expect(c.IsStored("stream")).To(BeFalse())
	again, _ := callsOf(c.Collections(after(301)))
	g.Expect(again).To(HaveLen(1))
}
