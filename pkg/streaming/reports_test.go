package streaming_test

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// reportRecorder records what the driver reports to the quarantine. Breaks are no
// crashes unless crashes is set.
type reportRecorder struct {
	mu      sync.Mutex
	reports []string
	crashes bool
}

// attemptNumber matches the part of an attempt's ID that counts the attempts.
var attemptNumber = regexp.MustCompile(`\d+$`)

func (q *reportRecorder) record(format, attemptID string, args ...any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reports = append(q.reports, fmt.Sprintf(format, append([]any{attemptNumber.FindString(attemptID)}, args...)...))
}

func (q *reportRecorder) all() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.reports)
}

func (q *reportRecorder) Check(context.Context, string) streaming.Verdict { return streaming.Verdict{} }
func (q *reportRecorder) Started(a streaming.QuarantineAttempt) {
	q.record("started %s with fingerprint %t at %s", a.ID, a.Fingerprint != "" && a.RequestID != "", a.Backend.Name)
}
func (q *reportRecorder) Resolved(id string) { q.record("resolved %s", id) }
func (q *reportRecorder) Completed(id, fingerprint string) {
	q.record("completed %s with fingerprint %t", id, fingerprint != "")
}
func (q *reportRecorder) Abandoned(id string, position int) {
	q.record("abandoned %s after %d", id, position)
}
func (q *reportRecorder) Broken(_ context.Context, id string, position int) bool {
	q.record("broken %s after tokens %t", id, position > 0)
	return q.crashes
}

// Guards against attempts of a stream whose start or end is not reported to the
// quarantine, is reported twice or as something else.
var _ = Describe("the driver's reports to the quarantine", func() {
	ends := func(reports []string) []string {
		return slices.DeleteFunc(slices.Clone(reports), func(r string) bool { return r[:7] == "started" })
	}
	run := func(recorder *reportRecorder, errs []error, out *sink, modify func(*deployment)) []string {
		d := deploy(GinkgoTB(), slowEngine, func(o *streaming.Options) { o.Quarantine = recorder })
		d.client.startErrors = errs
		if modify != nil {
			modify(d)
		}
		_ = d.driver.Chat(context.Background(), chatRequest("r1", 64), out)
		// The caller may have the answer before the end of the attempt is reported.
		Eventually(func() bool {
			reports := recorder.all()
			return len(reports) > 0 && 2*len(ends(reports)) == len(reports)
		}, time.Second).Should(BeTrue(), "each attempt has a start and an end")
		return recorder.all()
	}
	It("covers an answered attempt", func() {
		reports := run(&reportRecorder{}, nil, &sink{}, nil)
		Expect(reports).To(HaveLen(2))
		Expect(reports[0]).To(MatchRegexp(`started \d+ with fingerprint true at [abc]`))
		Expect(reports[1]).To(MatchRegexp(`completed \d+ with fingerprint true`))
	})
	It("covers attempts that did not run", func() {
		reports := ends(run(&reportRecorder{}, []error{&engine.NotSentError{Address: "a"}, &engine.RefusedError{Address: "b", Status: 503}}, &sink{}, nil))
		Expect(reports).To(HaveLen(3))
		Expect(reports[0]).To(HavePrefix("resolved"))
		Expect(reports[1]).To(HavePrefix("resolved"))
		Expect(reports[2]).To(HavePrefix("completed"))
	})
	It("covers attempts that break off or fall silent", func() {
		reports := ends(run(&reportRecorder{}, []error{&engine.StreamBrokenError{Address: "a"}, &engine.StreamBrokenError{Address: "b", Silent: true}}, &sink{}, nil))
		Expect(reports).To(HaveLen(3))
		Expect(reports[0]).To(MatchRegexp(`broken \d+ after tokens false`))
		Expect(reports[1]).To(MatchRegexp(`broken \d+ after tokens false`))
		Expect(reports[2]).To(HavePrefix("completed"))
	})
	It("covers an engine that crashes in the middle of an answer", func() {
		out := &sink{hookAt: 10}
		reports := ends(run(&reportRecorder{crashes: true}, nil, out, func(d *deployment) { out.hook = d.engines[0].Kill }))
		Expect(reports).To(HaveLen(2))
		Expect(reports[0]).To(MatchRegexp(`broken \d+ after tokens true`))
		Expect(reports[1]).To(HavePrefix("completed"))
	})
	It("covers a caller that leaves", func() {
		recorder := &reportRecorder{}
		d := deploy(GinkgoTB(), slowEngine, func(o *streaming.Options) { o.Quarantine = recorder })
		ctx, cancel := context.WithCancel(context.Background())
		_ = d.driver.Chat(ctx, chatRequest("r1", 64), &sink{hookAt: 10, hook: cancel})
		Eventually(recorder.all, time.Second).Should(HaveLen(2))
		Expect(recorder.all()[1]).To(MatchRegexp(`abandoned \d+ after [1-9]\d*`))
	})
})
