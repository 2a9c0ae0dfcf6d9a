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

// ginkgoInterrupts is a goroutine of ginkgo that outlives the specs.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

// TestMain guards against goroutines that outlive their drivers, in all tests.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(ginkgoInterrupts))
}

func TestStreaming(t *testing.T) {
	// The randomised tests set flags that ginkgo reads; they run before the
	// parallel tests.
	t.Parallel()
	RegisterFailHandler(Fail)
	RunSpecs(t, "streaming")
}

var slowEngine = standin.Options{DecodeStep: 3 * time.Millisecond}

var _ = Describe("a chat", func() {
	// Guards against gaps, repeats and a missing end in an undisturbed answer.
	It("delivers the whole answer", func() {
		d := deploy(GinkgoTB(), standin.Options{}, nil)
		req, out := chatRequest("r1", 64), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(out.finish).NotTo(BeEmpty())
		d.expectClean(GinkgoTB())
	})

	// Guards against an answer that is lost or starts again when something
	// happens to its engine halfway.
	DescribeTable("goes on when the engine", func(disturb func(*deployment)) {
		d := deployWith(GinkgoTB(), progressTimeout, slowEngine, nil)
		req := chatRequest("r1", 96)
		out := &sink{at: 20, hook: func() { disturb(d) }}
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

	// Guards against late, crossed and lost events that reach the caller.
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

	// Guards against work that runs on for a caller that has gone (6.1).
	It("cancels at the engine when the caller goes", func() {
		d := deploy(GinkgoTB(), slowEngine, nil)
		ctx, cancel := context.WithCancel(context.Background())
		err := d.driver.Chat(ctx, chatRequest("r1", 4000), &sink{at: 5, hook: cancel})
		var gone *streaming.CallerGoneError
		Expect(err).To(BeAssignableToTypeOf(gone))
		d.expectClean(GinkgoTB())
	})

	// Guards against "not_run" for a request that may have run (I3), and
	// against the opposite.
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

	// Guards against a leaving engine that keeps getting work (I5).
	It("moves on from an engine that refuses as leaving and reports it", func() {
		d := deploy(GinkgoTB(), standin.Options{}, nil)
		d.engines[0].Leave()
		req, out := chatRequest("r1", 32), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.router.leaving["a"]).To(BeTrue())
	})

	// Guards against new work for an engine that has been announced to leave,
	// after its connection went silent (I5).
	It("does not ask a leaving engine on a new connection", func() {
		d := deployWith(GinkgoTB(), progressTimeout, slowEngine, nil)
		req := chatRequest("r1", 96)
		out := &sink{at: 20, hook: func() {
			d.engines[0].Silence()
			d.reclaim("a", time.Minute)
		}}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.ledger.Totals().Refused).To(BeZero())
	})
})
