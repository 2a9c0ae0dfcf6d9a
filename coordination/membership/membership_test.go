package membership

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("daemons", func() {
	It("discover each other from a few seeds", func() {
		w := newNetwork(40, 1, Options{})
		_, ok := w.runUntil(30*time.Second, w.converged)
		Expect(ok).To(BeTrue())
	})

	It("remove a dead daemon and keep one that refutes a suspicion", func() {
		w := newNetwork(7, 2, Options{})
		w.run(15 * time.Second)
		w.step(w.nodes[0], PeerFailedEvent{Name: w.nodes[1].name})
		w.nodes[6].paused = true
		w.run(20 * time.Second)
		for _, n := range w.nodes[:6] {
			Expect(n.core.Daemons(StateGone)).To(HaveLen(1), n.name)
			Expect(n.core.Daemons(StateAlive)).To(HaveLen(5), n.name)
		}
		Expect(w.nodes[1].core.Self().Incarnation).To(BeNumerically(">", 1))
	})

	It("do not remove suspects right after their own pause", func() {
		w := newNetwork(3, 3, Options{})
		w.run(5 * time.Second)
		c := w.nodes[0].core
		c.Step(w.now, PeerFailedEvent{Name: w.nodes[1].name})
		c.Step(w.now.Add(time.Minute), TickEvent{})
		Expect(c.Daemons(StateGone)).To(BeEmpty())
	})

	It("reconnect after both sides of a partition have removed each other", func() {
		w := newNetwork(12, 4, Options{})
		w.run(15 * time.Second)
		for i, n := range w.nodes {
			n.partition = i % 2
		}
		w.run(2 * time.Minute)
		Expect(w.nodes[0].core.Daemons(StateGone)).To(HaveLen(6))
		for _, n := range w.nodes {
			n.partition = 0
		}
		_, ok := w.runUntil(time.Minute, w.converged)
		Expect(ok).To(BeTrue())
	})

	// Guards against a partition whose two sides still have different states after
	// it ends. The digests agree within each side, so a sync must not require that
	// the digests of all peers differ. The update has reached its send limit long
	// before the partition ends.
	It("agree on a BackendServer that left on one side of a partition", func() {
		w := newNetwork(9, 7, Options{})
		w.run(15 * time.Second)
		w.sendListToAll(engineList(8, 1))
		w.run(5 * time.Second)
		for i, n := range w.nodes {
			if i >= 7 {
				n.partition = 1
			}
		}
		w.step(w.nodes[4], LeavingEvent{Name: "engine-0006", Incarnation: 1})
		w.run(20 * time.Second)
		for _, n := range w.nodes {
			n.partition = 0
		}
		_, ok := w.runUntil(2*time.Minute, w.converged)
		Expect(ok).To(BeTrue())
	})

	It("list a stopping daemon as leaving within 2 s", func() {
		w := newNetwork(7, 5, Options{})
		w.run(15 * time.Second)
		w.step(w.nodes[2], LeaveEvent{})
		w.run(2 * time.Second)
		for i, n := range w.nodes {
			if i != 2 {
				Expect(n.core.Daemons(StateLeaving)).To(HaveLen(1), n.name)
			}
		}
	})

	It("let only a few daemons poll the host list frequently", func() {
		w := newNetwork(60, 10, Options{})
		_, ok := w.runUntil(30*time.Second, w.converged)
		Expect(ok).To(BeTrue())
		for range 5 {
			w.now = w.now.Add(time.Minute)
			pollers := 0
			for _, n := range w.nodes {
				n.core.now = w.now
				if n.core.isPoller() {
					pollers++
				}
			}
			Expect(pollers).To(And(BeNumerically(">", 0), BeNumerically("<=", w.options.Pollers)))
		}
	})

	It("deliver each announcement once and never lower the revision", func() {
		w := newNetwork(20, 6, Options{})
		w.run(20 * time.Second)
		w.duplicateRate, w.lateRate = 0.3, 0.3
		w.step(w.nodes[3], AnnounceEvent{ID: "q1", Kind: AnnounceQuarantine, Payload: []byte("x")})
		w.step(w.nodes[4], RevisionEvent{Revision: 9, BodyHash: "h"})
		w.step(w.nodes[4], RevisionEvent{Revision: 8, BodyHash: "g"})
		w.run(4 * time.Second)
		for _, n := range w.nodes {
			Expect(n.delivered["q1"]).To(Equal(1), n.name)
			Expect(n.core.Revision()).To(Equal(RevisionEvent{Revision: 9, BodyHash: "h"}), n.name)
		}
	})

	It("aggregate the load of each zone", func() {
		w := newNetwork(12, 7, Options{})
		for _, n := range w.nodes {
			w.step(n, LoadEvent{Running: 2, Waiting: 1})
		}
		w.run(60 * time.Second)
		for _, n := range w.nodes {
			loads := n.core.ZoneLoads()
			Expect(loads).To(HaveLen(testZones), n.name)
			Expect(loads[0].Running).To(Equal(uint64(6)), n.name)
		}
	})
})

var _ = Describe("BackendServers", func() {
	var c *Core
	step := func(e Event) { c.Step(startTime.Add(time.Second), e) }
	names := func() int {
		total := 0
		for _, pool := range c.Pools() {
			total += len(c.Available(pool))
		}
		return total
	}
	BeforeEach(func() {
		c = newNetwork(1, 1, Options{SubsetSize: 4}).nodes[0].core
	})

	It("that left are not used although the host list has them, until they restart", func() {
		step(HostListEvent{Entries: engineList(4, 5)})
		Expect(names()).To(Equal(4))
		step(LeavingEvent{Name: "engine-0001", Incarnation: 5})
		step(HostListEvent{Entries: engineList(4, 5)})
		Expect(names()).To(Equal(3))
		step(HostListEvent{Entries: engineList(4, 6)})
		Expect(names()).To(Equal(4))
		step(LeavingEvent{Name: "engine-0001", Incarnation: 5})
		step(LeavingEvent{Name: "engine-0002", Incarnation: 5})
		Expect(names()).To(Equal(4), "late leaving reports of the previous incarnation")
	})

	It("that are reclaimed get no work, even if the host list adds them later", func() {
		step(HostListEvent{Entries: engineList(1, 5)})
		step(LeavingEvent{Name: "engine-0000", CurrentIncarnation: true})
		step(LeavingEvent{Name: "engine-0001", CurrentIncarnation: true})
		step(HostListEvent{Entries: engineList(3, 5)})
		Expect(names()).To(Equal(1))
		later := startTime.Add(reclaimRetention + 2*time.Second)
		c.Step(later, TickEvent{})
		c.Step(later, HostListEvent{Entries: engineList(3, 5)})
		Expect(names()).To(Equal(1), "the tombstone is still kept")
		c.Step(later, HostListEvent{Entries: engineList(3, 6)})
		Expect(names()).To(Equal(3), "a new incarnation after the notice")
	})

	It("that left keep their tombstones as long as the host list has them", func() {
		step(HostListEvent{Entries: engineList(1, 5)})
		step(LeavingEvent{Name: "engine-0000", Incarnation: 5})
		for hour := range 72 {
			now := startTime.Add(time.Duration(hour+1) * time.Hour)
			c.Step(now, TickEvent{})
			c.Step(now, HostListEvent{Entries: engineList(1, 5)})
			Expect(names()).To(BeZero())
		}
	})

	It("are removed when two lists omit them, and kept when the list is empty", func() {
		step(HostListEvent{Entries: engineList(4, 1)})
		step(HostListEvent{})
		step(HostListEvent{})
		Expect(names()).To(Equal(4))
		step(HostListEvent{Entries: engineList(3, 1)})
		Expect(names()).To(Equal(4))
		step(HostListEvent{Entries: engineList(3, 1)})
		Expect(names()).To(Equal(3))
	})

	It("are limited to a subset that differs between daemons", func() {
		other := newNetwork(2, 1, Options{SubsetSize: 4}).nodes[1].core
		for _, core := range []*Core{c, other} {
			core.Step(startTime, HostListEvent{Entries: engineList(400, 1)})
			Expect(core.Available("pool-0")).To(HaveLen(4))
			Expect(len(core.servers)).To(Equal(testZones * 4 * reserveFactor))
		}
		Expect(c.Available("pool-0")).NotTo(Equal(other.Available("pool-0")))
	})

	It("that left are replaced by others, and a pool with too few requests a poll", func() {
		step(HostListEvent{Entries: engineList(400, 1)})
		for range 5 {
			for _, m := range c.Available("pool-0") {
				step(LeavingEvent{Name: m.Name, Incarnation: m.Incarnation})
			}
		}
		Expect(c.hostList.pollRequested).To(BeTrue())
	})

	It("are returned without an allocation, and never after they left", func() {
		d := NewDirectory(c, func() time.Time { return startTime }, &invariant.Reporter{})
		d.Step(HostListEvent{Entries: engineList(16, 1)})
		Expect(testing.AllocsPerRun(100, func() { d.Available("pool-1") })).To(BeZero())
		d.ReportLeaving("engine-0001", 1)
		for _, m := range d.Available("pool-1") {
			Expect(m.Name).NotTo(Equal("engine-0001"))
		}
	})

	It("that leave are not used by any of 150 daemons after 2 s", func() {
		w := newNetwork(150, 9, Options{})
		_, ok := w.runUntil(30*time.Second, w.converged)
		Expect(ok).To(BeTrue())
		w.sendListToAll(engineList(4, 1))
		w.lossRate = 0.1
		w.step(w.nodes[7], LeavingEvent{Name: "engine-0000", Incarnation: 1})
		w.run(maxLeavingDelay)
		Expect(w.anyOffers("engine-0000", 1)).To(BeEmpty())
	})

	It("of other zones are not stored", func() {
		c = newNetwork(1, 1, Options{Zones: []string{"zone-1"}}).nodes[0].core
		step(HostListEvent{Entries: engineList(16, 1)})
		Expect(names()).To(Equal(4))
	})
})

var _ = Describe("messages", func() {
	It("stay below the size limit when 2,000 BackendServers leave at once", func() {
		w := newNetwork(3, 8, Options{})
		w.run(5 * time.Second)
		w.messageSize = func(m *Message) int {
			size := 0
			for i := range m.Deltas {
				size += m.Deltas[i].size()
			}
			return size
		}
		for _, e := range engineList(2000, 1) {
			w.step(w.nodes[0], LeavingEvent{Name: e.Name, Incarnation: 1})
		}
		w.run(10 * time.Second)
		Expect(w.maxMessage).To(BeNumerically("<=", w.options.MaxUrgentBytes))
		Expect(w.nodes[2].core.tombstones).To(HaveLen(2000))
	})
})
