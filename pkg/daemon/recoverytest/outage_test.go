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
	// refusalCount is the number of consecutive requests that a daemon must refuse
	// to count as not serving.
	refusalCount = 20
	// pauseDuration is longer than the pause after which a daemon must confirm its
	// configuration again.
	pauseDuration = 10 * time.Second
	// publishTarget is the target time until a published change is in force at all
	// daemons (invariant I7).
	publishTarget = 4 * time.Second
)

func withoutPeers(s *daemon.Settings) { s.PeerAddresses = nil }

func (f *fleet) setTableDown(down bool) {
	if !down {
		f.table.Table.SetFault(nil)
		return
	}
	f.table.Table.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
}

// expectRefused sends requests and checks that each is refused and none runs.
func (f *fleet) expectRefused(m *member) {
	before := len(f.engineLedger.Entries())
	for range refusalCount {
		r := m.chat("refused", 4)
		Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
		Expect(r.problem.Type).To(HaveSuffix(":not-ready"))
		Expect(r.problem.Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(m.operatorGet("/readyz").status).To(Equal(http.StatusServiceUnavailable))
	}
	Expect(f.engineLedger.Entries()).To(HaveLen(before))
}

func (f *fleet) expectServes(m *member, revision uint64) {
	Eventually(m.Revision).WithTimeout(defaultTimeout).WithPolling(pollInterval).Should(Equal(revision))
	Eventually(func() string { return m.chat("served", 4).text() }).WithTimeout(defaultTimeout).WithPolling(pollInterval).
		Should(Equal(engine.ExpectedText(model, messages("served"), 4)))
}

var _ = Describe("A table outage", Ordered, func() {
	var f *fleet

	BeforeAll(func() {
		f = newFleet(fleetOptions{daemons: 3, onDemand: 1})
		DeferCleanup(f.close)
		f.publish(f.members[0], 1, initialRequestRate+1)
		for _, m := range f.members {
			Eventually(m.Revision).WithTimeout(publishTarget).WithPolling(pollInterval).Should(BeEquivalentTo(2))
		}
		f.setTableDown(true)
	})

	It("lets a daemon start under the highest revision that its peers have confirmed", func() {
		// Guards against a daemon that serves under an old configuration, or not at
		// all, because it started during an outage.
		started := f.start(nil)
		Eventually(func() uint64 {
			revision := started.Revision()
			Expect(revision).To(BeElementOf(uint64(0), uint64(2)))
			return revision
		}).WithTimeout(defaultTimeout).WithPolling(time.Millisecond).Should(BeEquivalentTo(2))
		f.expectServes(started, 2)
	})

	It("keeps a daemon without peers from serving until the table answers", func() {
		// Guards against a daemon that serves under a configuration that neither
		// the table nor a peer has confirmed.
		isolated := f.start(withoutPeers)
		f.expectRefused(isolated)
		Expect(isolated.Revision()).To(BeZero())
		f.setTableDown(false)
		f.expectServes(isolated, 2)
	})

	It("stops a daemon that was paused until it has confirmed again", func() {
		// Guards against a daemon that resumes after a pause and still serves under
		// the configuration from before the pause.
		paused := f.start(withoutPeers)
		f.expectServes(paused, 2)
		paused.table.setCut(true)
		paused.clock.jump(pauseDuration)
		f.expectRefused(paused)
		f.publish(f.members[0], 2, initialRequestRate+2)
		paused.table.setCut(false)
		Eventually(func() uint64 {
			revision := paused.Revision()
			Expect(revision).To(BeElementOf(uint64(0), uint64(3)))
			return revision
		}).WithTimeout(defaultTimeout).WithPolling(time.Millisecond).Should(BeEquivalentTo(3))
		f.expectServes(paused, 3)
	})
})

var _ = Describe("A revision that has just come in force", func() {
	It("is applied to admission before the first request", func() {
		// Guards against a ready daemon that refuses callers because the accounts
		// of the new configuration have not reached admission yet.
		f := newPlatform()
		DeferCleanup(f.close)
		m := f.start(nil)
		f.publish(m, 0, initialRequestRate)
		var first string
		Eventually(func() string {
			first = m.chat("first", 4).body
			return first
		}).WithTimeout(defaultTimeout).WithPolling(time.Millisecond).ShouldNot(ContainSubstring(":not-ready"))
		Expect(first).NotTo(ContainSubstring("account is not configured"))
	})
})
