package streaming_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// countingQuarantine isolates a request after its first crash and quarantines
// it after the second. Every broken attempt counts as a crash.
type countingQuarantine struct {
	mu       sync.Mutex
	attempts map[string]string
	crashes  map[string]int
}

func newCountingQuarantine() *countingQuarantine {
	return &countingQuarantine{attempts: make(map[string]string), crashes: make(map[string]int)}
}

func (q *countingQuarantine) Check(_ context.Context, fingerprint string) streaming.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.crashes[fingerprint]
	return streaming.Verdict{Isolate: n == 1, Quarantined: n > 1}
}

func (q *countingQuarantine) Started(a streaming.QuarantineAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.attempts[a.ID] = a.Fingerprint
}

func (q *countingQuarantine) Broken(_ context.Context, attemptID string, _ int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes[q.attempts[attemptID]]++
	return true
}

func (q *countingQuarantine) Resolved(string)          {}
func (q *countingQuarantine) Completed(string, string) {}
func (q *countingQuarantine) Abandoned(string, int)    {}

// limitedBudget counts the withdrawals and refuses the first three.
type limitedBudget struct {
	mu          sync.Mutex
	withdrawals int
}

func (b *limitedBudget) Withdraw(string, string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawals++
	return b.withdrawals > 3
}

func (b *limitedBudget) Deposit(string, string) {}

// rejectingAdmission refuses every request.
type rejectingAdmission struct{}

func (rejectingAdmission) Acquire(context.Context, *streaming.AdmissionRequest) (func(), error) {
	return nil, api.NewNotRunProblem(api.ProblemDeadlineUnmeetable, 503, "the queue is too long").WithRetryAfter(time.Second)
}

var _ = Describe("the driver", func() {
	// Guards against a request that crashes one engine after another.
	It("quarantines a request that crashes its engines", func() {
		d := deploy(GinkgoTB(), standin.Options{CrashMarker: "poison"}, func(o *streaming.Options) {
			o.Quarantine = newCountingQuarantine()
		})
		req := chatRequest("r1", 16)
		req.Messages[0].Content += " poison"
		err := d.driver.Chat(context.Background(), req, &sink{})
		Expect(err).To(HaveField("Name", api.ProblemQuarantined))
		Expect(err).To(HaveField("Outcome", api.OutcomeUnknown))
		Expect(d.ledger.Totals().Crashes).To(Equal(2))
		again := chatRequest("r2", 16)
		again.Messages = req.Messages
		err = d.driver.Chat(context.Background(), again, &sink{})
		Expect(err).To(HaveField("Outcome", api.OutcomeNotRun), "the resend did not run")
		Expect(d.ledger.Totals().Crashes).To(Equal(2))
	})

	// Guards against reporting a crash for an engine whose connection went
	// silent or whose host was reclaimed.
	It("reports no crash for an announced shutdown", func() {
		crashes := newCountingQuarantine()
		d := deploy(GinkgoTB(), slowEngine, func(o *streaming.Options) { o.Quarantine = crashes })
		req := chatRequest("r1", 64)
		out := &sink{hookAt: 10, hook: func() { d.reclaim("a", time.Millisecond) }}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(crashes.crashes).To(BeEmpty())
	})

	// Guards against losing an accepted stream while the retry budget is
	// exhausted.
	It("waits for the retry budget", func() {
		budget := &limitedBudget{}
		d := deploy(GinkgoTB(), slowEngine, func(o *streaming.Options) { o.RetryBudget = budget })
		req := chatRequest("r1", 64)
		out := &sink{hookAt: 10, hook: d.engines[0].Kill}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(budget.withdrawals).To(Equal(4))
	})

	// Guards against running a request that admission has refused (invariant
	// I3).
	It("returns the refusal of admission", func() {
		d := deploy(GinkgoTB(), standin.Options{}, func(o *streaming.Options) { o.Admission = rejectingAdmission{} })
		err := d.driver.Chat(context.Background(), chatRequest("r1", 16), &sink{})
		Expect(err).To(HaveField("Name", api.ProblemDeadlineUnmeetable))
		Expect(d.ledger.Totals().Attempts).To(BeZero())
	})

	// Guards against repeating the prefill although the notice period was long
	// enough to move the KV cache.
	It("moves the KV caches of several streams", func() {
		d := deploy(GinkgoTB(), standin.Options{DecodeStep: 5 * time.Millisecond}, func(o *streaming.Options) {
			o.Costs.TransferSetup = time.Millisecond
		})
		var streams sync.WaitGroup
		ready := make(chan struct{}, 4)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			streams.Go(func() {
				defer GinkgoRecover()
				req, out := chatRequest(id, 128), &sink{hookAt: 5, hook: func() { ready <- struct{}{} }}
				Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
				Expect(out.text()).To(Equal(expected(req)))
			})
		}
		for range 4 {
			<-ready
		}
		d.reclaim("a", 700*time.Millisecond)
		streams.Wait()
		moved := 0
		for _, entry := range d.ledger.Entries() {
			if entry.ImportedTokens > 0 {
				moved++
			}
		}
		Expect(moved).To(Equal(4))
		d.expectClean(GinkgoTB())
	})

	// Guards against losing events while a caller has no connection.
	It("sends the retained events to a caller that re-attaches", func() {
		d := deploy(GinkgoTB(), standin.Options{}, func(o *streaming.Options) { o.Retention = 300 * time.Millisecond })
		req, out := chatRequest("r1", 32), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		again := &sink{tokens: append([]string(nil), out.tokens[:9]...)}
		Expect(d.driver.Attach(context.Background(), req.ClientAccount, "r1", 9, again)).To(Succeed())
		Expect(again.text()).To(Equal(expected(req)))
		Expect(again.finish).To(Equal(out.finish))
		err := d.driver.Attach(context.Background(), "ganda", "r1", 0, &sink{})
		Expect(err).To(HaveField("Name", api.ProblemNotFound), "another account sees nothing")
		Eventually(func() error {
			return d.driver.Attach(context.Background(), req.ClientAccount, "r1", 0, &sink{})
		}).Should(HaveField("Name", api.ProblemNotFound))
	})

	// Guards against cancelling a stream whose caller has re-attached before
	// its old connection was found to be closed.
	It("keeps the stream of a caller that re-attaches early", func() {
		d := deploy(GinkgoTB(), slowEngine, nil)
		req := chatRequest("r1", 64)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		attached := make(chan error, 1)
		again := &sink{hookAt: 1, hook: cancel}
		out := &sink{hookAt: 10, hook: func() {
			go func() { attached <- d.driver.Attach(context.Background(), req.ClientAccount, "r1", 0, again) }()
		}}
		Expect(d.driver.Chat(ctx, req, out)).To(BeAssignableToTypeOf(&streaming.CallerGoneError{}))
		Expect(<-attached).To(Succeed())
		Expect(again.text()).To(Equal(expected(req)))
		d.expectClean(GinkgoTB())
	})

	// Guards against a planned stop that interrupts a stream (invariant I6),
	// and against a stale copy at the peer after the response to a hand-over
	// was lost (invariant I2).
	DescribeTable("hands streams over on a drain", func(lost int32) {
		d := deploy(GinkgoTB(), slowEngine, nil)
		d.peerLink.loseAnswers.Store(lost)
		req := chatRequest("r1", 200)
		drained := make(chan error, 1)
		out := &sink{reattach: true, hookAt: 20, hook: func() {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 4*handOverTime)
				defer cancel()
				drained <- d.driver.Drain(ctx)
			}()
		}}
		err := d.driver.Chat(context.Background(), req, out)
		Expect(err).To(BeAssignableToTypeOf(&streaming.HandedOverError{}))
		Expect(<-drained).To(Succeed())
		Expect(d.driver.Attach(context.Background(), req.ClientAccount, "r1", out.length(), out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.driver.Chat(context.Background(), chatRequest("r2", 8), &sink{})).To(HaveField("Name", api.ProblemDraining))
		d.expectClean(GinkgoTB())
	}, Entry("to a peer", int32(0)), Entry("again after a lost answer", int32(1)))

	// Guards against interrupting the stream of a caller that cannot re-attach,
	// although the answer ends within the grace period.
	It("lets short streams finish on a drain", func() {
		d := deploy(GinkgoTB(), slowEngine, nil)
		req := chatRequest("r1", 64)
		out := &sink{hookAt: 5, hook: func() {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				_ = d.driver.Drain(ctx)
			}()
		}}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
	})
})
