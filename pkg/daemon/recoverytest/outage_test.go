package recoverytest

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/daemon"
	"github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

const (
	// refusalsSeen is how many refusals in a row show that a daemon serves
	// nothing.
	refusalsSeen = 20
	// longPause is above the pause after which a daemon trusts what it has
	// confirmed.
	longPause = 10 * time.Second
	// inForce is the target for a published change (I7).
	inForce = 4 * time.Second
)

func alone(s *daemon.Settings) { s.PeerAddresses = nil }

func (f *fleet) tableDown(down bool) {
	if !down {
		f.table.Table.SetFault(nil)
		return
	}
	f.table.Table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
}

// expectRefused sends requests and expects that none runs.
func (f *fleet) expectRefused(m *member) {
	before := len(f.engineLedger.Entries())
	for range refusalsSeen {
		r := m.chat("refused", 4)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
		Expect(r.problem.Type).To(HaveSuffix(":not-ready"))
		Expect(r.problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(m.get("/readyz").status).To(Equal(http.StatusServiceUnavailable))
	}
	Expect(f.engineLedger.Entries()).To(HaveLen(before))
}

func (f *fleet) expectServes(m *member, revision uint64) {
	Eventually(m.Revision).WithTimeout(startPatience).WithPolling(poll).Should(Equal(revision))
	Eventually(func() string { return m.chat("served", 4).text() }).WithTimeout(startPatience).WithPolling(poll).
		Should(Equal(engine.ExpectedText(model, messages("served"), 4)))
}

var _ = Describe("A table outage", Ordered, func() {
	var f *fleet

	BeforeAll(func() {
		f = newFleet(fleetOptions{daemons: 3, onDemand: 1})
		DeferCleanup(f.close)
		f.publish(f.members[0], 1, firstRate+1)
		for _, m := range f.members {
			Eventually(m.Revision).WithTimeout(inForce).WithPolling(poll).Should(BeEquivalentTo(2))
		}
		f.tableDown(true)
	})

	It("lets a daemon start under the highest revision that its peers have confirmed", func() {
		// Guards against a daemon that serves under an old configuration, or
		// not at all, since it started during an outage.
		started := f.start(nil)
		Eventually(func() uint64 {
			revision := started.Revision()
			Expect(revision).To(BeElementOf(uint64(0), uint64(2)))
			return revision
		}).WithTimeout(startPatience).WithPolling(time.Millisecond).Should(BeEquivalentTo(2))
		f.expectServes(started, 2)
	})

	It("keeps a daemon without peers from serving until the table answers", func() {
		// Guards against service under a configuration that nobody has
		// confirmed.
		isolated := f.start(alone)
		f.expectRefused(isolated)
		Expect(isolated.Revision()).To(BeZero())
		f.tableDown(false)
		f.expectServes(isolated, 2)
	})

	It("stops a daemon that was paused until it has confirmed again", func() {
		// Guards against a daemon that wakes up after a pause and serves under
		// what was in force before it.
		paused := f.start(alone)
		f.expectServes(paused, 2)
		paused.table.setCut(true)
		paused.clock.jump(longPause)
		f.expectRefused(paused)
		f.publish(f.members[0], 2, firstRate+2)
		paused.table.setCut(false)
		Eventually(func() uint64 {
			revision := paused.Revision()
			Expect(revision).To(BeElementOf(uint64(0), uint64(3)))
			return revision
		}).WithTimeout(startPatience).WithPolling(time.Millisecond).Should(BeEquivalentTo(3))
		f.expectServes(paused, 3)
	})
})

var _ = Describe("A revision that has just come in force", func() {
	It("is known to admission before the first caller", func() {
		// Guards against a ready daemon that refuses its callers since the
		// accounts of the configuration reach admission later.
		f := newPlatform()
		DeferCleanup(f.close)
		m := f.start(nil)
		f.publish(m, 0, firstRate)
		var first string
		Eventually(func() string {
			first = m.chat("first", 4).body
			return first
		}).WithTimeout(startPatience).WithPolling(time.Millisecond).ShouldNot(ContainSubstring(":not-ready"))
		Expect(first).NotTo(ContainSubstring("account is not configured"))
	})
})
