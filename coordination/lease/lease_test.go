package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	clocktesting "k8s.io/utils/clock/testing"

	"math/rand/v2"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/lease"
	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
)

func TestLease(t *testing.T) {
	defer goleak.VerifyNone(t,
		goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "leases")
}

var _ = Describe("Manager", func() {
	var (
		store    *memtable.Store
		clock    *clocktesting.FakeClock
		reporter *invariant.Reporter
	)
	BeforeEach(func() {
		store = memtable.New()
		clock = clocktesting.NewFakeClock(time.Unix(1000, 0))
		reporter = &invariant.Reporter{}
	})
	AfterEach(func() { Expect(reporter.Counts()).To(BeEmpty()) })
	manager := func(holder string, seed uint64, daemons int) *lease.Manager {
		m := lease.NewManager(lease.Options{
			Store: store, Clock: clock,
			Core: lease.CoreOptions{
				Holder: holder, Names: lease.RangeNames("duty"), Reporter: reporter,
				Random: rand.New(rand.NewPCG(seed, 0)),
			},
		})
		m.SetDaemons(daemons)
		return m
	}
	eventually := func(condition func(Gomega)) {
		Eventually(func(g Gomega) {
			clock.Step(50 * time.Millisecond)
			condition(g)
		}).WithTimeout(8 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
	}

	// Guards against a daemon that keeps all ranges after others have started.
	It("shares the ranges between daemons and releases them on Close", func() {
		first := manager("a", 1, 1)
		eventually(func(g Gomega) { g.Expect(first.HeldNames()).To(HaveLen(lease.Ranges)) })
		second := manager("b", 2, 2)
		first.SetDaemons(2)
		eventually(func(g Gomega) {
			g.Expect(first.HeldNames()).To(HaveLen(lease.Ranges / 2))
			g.Expect(second.HeldNames()).To(HaveLen(lease.Ranges / 2))
		})
		first.Close()
		Expect(first.HeldNames()).To(BeEmpty())
		second.SetDaemons(1)
		eventually(func(g Gomega) { g.Expect(second.HeldNames()).To(HaveLen(lease.Ranges)) })
		fencingNumber, ok := second.Held(second.HeldNames()[0])
		Expect(ok).To(BeTrue())
		Expect(fencingNumber).To(BeNumerically(">", 0))
		Expect(second.Duty("duty").HoldsRange(lease.RangeOf("key"))).To(BeTrue())
		second.Close()
	})

	// Guards against a holder that continues to act on its leases while the table
	// is unavailable and it cannot renew them.
	It("lets the leases lapse during a table outage", func() {
		m := manager("a", 1, 1)
		eventually(func(g Gomega) { g.Expect(m.HeldNames()).To(HaveLen(lease.Ranges)) })
		store.SetFault(func(memtable.Operation) memtable.Fault { return memtable.FaultUnavailable })
		clock.Step(10 * time.Second)
		Expect(m.HeldNames()).To(BeEmpty())
		store.SetFault(nil)
		eventually(func(g Gomega) { g.Expect(m.HeldNames()).To(HaveLen(lease.Ranges)) })
		m.Close()
	})
})
