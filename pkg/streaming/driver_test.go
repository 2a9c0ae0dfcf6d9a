package streaming_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// ginkgoInterrupts is a goroutine of ginkgo that is still running after the
// specs.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

// TestMain guards against goroutine leaks in all tests: a closed driver must
// not leave goroutines running.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(ginkgoInterrupts))
}

func TestStreaming(t *testing.T) {
	// The randomised tests set flags that ginkgo reads, so they run before the
	// parallel tests.
	t.Parallel()
	RegisterFailHandler(Fail)
	RunSpecs(t, "streaming")
}

var slowEngine = standin.Options{DecodeStep: 3 * time.Millisecond}

var _ = Describe("a chat", func() {
	// Guards against gaps, repeats and a missing end in an answer without
	// faults.
	It("delivers the whole answer", func() {
		d := deploy(GinkgoTB(), standin.Options{}, nil)
		req, out := chatRequest("r1", 64), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(out.finish).NotTo(BeEmpty())
		d.expectClean(GinkgoTB())
	})

	// Guards against an answer that is lost or restarts from the beginning when
	// its engine fails or is reclaimed midway.
	DescribeTable("continues when the engine", func(injectFault func(*deployment)) {
		d := deployWithTimeout(GinkgoTB(), progressTimeout, slowEngine, nil)
		req := chatRequest("r1", 96)
		out := &sink{hookAt: 20, hook: func() { injectFault(d) }}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		d.expectClean(GinkgoTB())
	},
		Entry("dies", func(d *deployment) { d.engines[0].Kill() }),
		Entry("goes silent", func(d *deployment) { d.engines[0].Silence() }),
		Entry("is reclaimed with time to finish", func(d *deployment) { d.reclaim("a", time.Minute) }),
		Entry("is reclaimed with time to move", func(d *deployment) { d.reclaim("a", 500*time.Millisecond) }),
		Entry("is reclaimed without time", func(d *deployment) { d.reclaim("a", 50*time.Millisecond) }),
	)

	// Guards against delivering events that are late or belong to another
	// request, and against gaps after lost events.
	DescribeTable("checks events that are", func(faults standin.EventFaults) {
		d := deploy(GinkgoTB(), standin.Options{}, nil)
		d.engines[0].SetEventFaults(faults)
		req, out := chatRequest("r1", 64), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		d.expectClean(GinkgoTB())
	},
		Entry("late", standin.EventFaults{LateEvery: 3}),
		Entry("crossed", standin.EventFaults{CrossedEvery: 3}),
		Entry("lost", standin.EventFaults{GapAt: 10}),
	)

	// Guards against an engine that continues to generate after the caller has
	// disconnected.
	It("cancels the attempt at the engine when the caller disconnects", func() {
		d := deploy(GinkgoTB(), slowEngine, nil)
		ctx, cancel := context.WithCancel(context.Background())
		err := d.driver.Chat(ctx, chatRequest("r1", 4000), &sink{hookAt: 5, hook: cancel})
		var gone *streaming.CallerGoneError
		Expect(err).To(BeAssignableToTypeOf(gone))
		d.expectClean(GinkgoTB())
	})

	// Guards against reporting "not_run" for a request that may have run
	// (invariant I3), and against "unknown" for one that has not run.
	It("reports not_run only without an engine", func() {
		d := deploy(GinkgoTB(), standin.Options{DecodeStep: 20 * time.Millisecond}, func(o *streaming.Options) {
			o.Machine.NoBackendTimeout = time.Millisecond
		})
		req := chatRequest("r1", 4000)
		req.Deadline = time.Now().Add(100 * time.Millisecond)
		err := d.driver.Chat(context.Background(), req, &sink{})
		Expect(err).To(HaveField("Outcome", api.OutcomeUnknown))
		Expect(err).To(HaveField("Name", api.ProblemDeadlineExceeded))
		d.router.ReportLeaving("a", 0)
		d.router.ReportLeaving("b", 0)
		d.router.ReportLeaving("c", 0)
		err = d.driver.Chat(context.Background(), chatRequest("r2", 8), &sink{})
		Expect(err).To(HaveField("Outcome", api.OutcomeNotRun))
		d.expectClean(GinkgoTB())
	})

	// Guards against sending further work to an engine that is shutting down
	// (invariant I5).
	It("switches to another engine and reports one that refuses because it is shutting down", func() {
		d := deploy(GinkgoTB(), standin.Options{}, nil)
		d.engines[0].Leave()
		req, out := chatRequest("r1", 32), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.router.leaving["a"]).To(BeTrue())
	})

	// Guards against retrying on a new connection to an engine whose shutdown
	// was announced, after its old connection has gone silent (invariant I5).
	It("does not retry on a new connection to an engine that is shutting down", func() {
		d := deployWithTimeout(GinkgoTB(), progressTimeout, slowEngine, nil)
		req := chatRequest("r1", 96)
		out := &sink{hookAt: 20, hook: func() {
			d.engines[0].Silence()
			d.reclaim("a", time.Minute)
		}}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.ledger.Totals().Refused).To(BeZero())
	})
})
