package daemon

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/admission"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

var _ = Describe("admitter", func() {
	// Guards against a burst that delays every answer on a route that sheds load by
	// its latency target, and against refusals on a route that does not.
	DescribeTable("refuses requests that would miss the target time to first token",
		func(target time.Duration, sheds bool) {
			controller, err := admission.NewController(admission.ControllerOptions{
				Core: admission.DefaultOptions(), Clock: clock.RealClock{}, Registry: prometheus.NewRegistry(),
			})
			Expect(err).NotTo(HaveOccurred())
			defer controller.Close()
			controller.SetAccounts(map[string]admission.Account{"a": {Weight: 1, MaxInFlight: 100, RequestsPerSecond: 1000}})
			controller.SetSlots("chat", 1)
			a := newStreamAdmitter(controller, clock.RealClock{}, func(route string) string { return route }, func(string) (time.Duration, bool) { return target, target > 0 })
			a.observeFirstToken("chat", 800*time.Millisecond)
			request := func(id string) *streaming.AdmissionRequest {
				return &streaming.AdmissionRequest{
					RequestID: id, ClientAccount: "a", Route: "chat", Deadline: time.Now().Add(time.Minute), MaxTokens: 10,
				}
			}
			release, err := a.Acquire(context.Background(), request("first"))
			Expect(err).NotTo(HaveOccurred(), "a free slot must be assigned however long earlier prefills took")
			defer release()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err = a.Acquire(ctx, request("second"))
			if sheds {
				Expect(err).To(HaveField("Name", api.ProblemDeadlineUnmeetable))
				Expect(err).To(HaveField("Outcome", api.OutcomeNotRun))
			} else {
				Expect(err).To(MatchError(context.DeadlineExceeded))
			}
		},
		Entry("with a target", 860*time.Millisecond, true),
		Entry("without a target", time.Duration(0), false),
	)
})
