package service_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/monsooncrank/monsooncrank/pkg/standin/plainservice"
)

func TestService(t *testing.T) {
	defer goleak.VerifyNone(t,
		goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "service client")
}

const testDeadline = 500 * time.Millisecond

var _ = Describe("HTTPClient", func() {
	var (
		server *plainservice.Server
		client *service.HTTPClient
		ctx    context.Context
	)
	BeforeEach(func() {
		var err error
		server, err = plainservice.New(plainservice.Options{})
		Expect(err).NotTo(HaveOccurred())
		client = service.NewClient(service.Options{IdleTimeout: 100 * time.Millisecond})
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), testDeadline)
		DeferCleanup(func() {
			cancel()
			client.Close()
			server.Close()
		})
	})
	call := func(attempt string, fresh bool) error {
		_, err := client.Call(ctx, server.Address(), &service.Request{
			AttemptID: attempt, IdempotencyKey: "k-" + attempt, Path: "/book",
			Body: []byte(`{"object":"seat-1"}`), FreshConnection: fresh,
		})
		return err
	}
	fault := func(f plainservice.Fault) {
		server.SetFault(func(plainservice.Call) plainservice.Fault { return f })
	}

	// Guards against a second execution by the client's own retries.
	DescribeTable("sends a request once when the connection closes before the first byte",
		func(fresh bool) {
			Expect(call("warm", fresh)).To(Succeed())
			fault(plainservice.FaultCloseBefore)
			var broken *service.BrokenError
			Expect(errors.As(call("a", fresh), &broken)).To(BeTrue())
			Expect(server.Arrivals("a")).To(Equal(1))
		},
		Entry("new connection", true), Entry("pooled connection", false))

	// Guards against a false "unknown": no byte leaves on a failed dial.
	It("reports a failed dial as not sent", func() {
		server.Crash()
		var notSent *service.NotSentError
		Expect(errors.As(call("a", true), &notSent)).To(BeTrue())
		Expect(errors.As(call("b", false), &notSent)).To(BeTrue())
	})

	It("reports a definite refusal and that the server is leaving", func() {
		server.SetLeaving(true)
		var refused *service.RefusedError
		Expect(errors.As(call("a", true), &refused)).To(BeTrue())
		Expect(refused.Leaving).To(BeTrue())
	})

	// Guards against handing one caller another caller's answer.
	It("drops and counts an answer for another attempt", func() {
		fault(plainservice.FaultCrossedAnswer)
		var crossed *service.AttemptMismatchError
		Expect(errors.As(call("a", false), &crossed)).To(BeTrue())
		Expect(client.MismatchedAnswers()).To(Equal(uint64(1)))
	})

	// Guards against a caller that waits forever on an open connection.
	It("keeps the deadline on a silent connection", func() {
		fault(plainservice.FaultSilentAfter)
		var broken *service.BrokenError
		started := time.Now()
		Expect(errors.As(call("a", true), &broken)).To(BeTrue())
		Expect(broken.Silent).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", 10*testDeadline))
	})

	// Guards against the rest of one answer being read as the next answer.
	It("does not reuse a connection whose answer was not read to its end", func() {
		fault(plainservice.FaultHalfAnswer)
		var broken *service.BrokenError
		Expect(errors.As(call("a", false), &broken)).To(BeTrue())
		Expect(broken.Silent).To(BeFalse())
		fault(plainservice.FaultNone)
		Expect(call("b", false)).To(Succeed())
	})

	It("looks up what became of an attempt", func() {
		fault(plainservice.FaultAnswerLost)
		Expect(call("a", true)).NotTo(Succeed())
		answer, err := client.Lookup(ctx, server.Address(), plainservice.LookupPath, "a", "k-a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(ContainSubstring("seat-1"))
		_, err = client.Lookup(ctx, server.Address(), plainservice.LookupPath, "other", "k-other")
		var unknown *service.AttemptNotFoundError
		Expect(errors.As(err, &unknown)).To(BeTrue())
	})

	// Guards against a refused look-up that is taken for "the attempt did not run".
	It("takes only a statement about the attempt for a proof", func() {
		server.SetLeaving(true)
		_, err := client.Lookup(ctx, server.Address(), plainservice.LookupPath, "a", "k-a")
		var broken *service.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
		barring, err := plainservice.New(plainservice.Options{BarOnLookup: true})
		Expect(err).NotTo(HaveOccurred())
		defer barring.Close()
		_, err = client.Lookup(ctx, barring.Address(), plainservice.LookupPath, "a", "k-a")
		var refused *service.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		_, err = client.Call(ctx, barring.Address(), &service.Request{AttemptID: "a", Path: "/book"})
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(barring.Ledger().RunsOfAttempt("a")).To(BeZero())
	})

	It("reuses pooled connections and opens a new one when asked", func() {
		Expect(call("a", false)).To(Succeed())
		Expect(call("b", false)).To(Succeed())
		Expect(server.Accepted()).To(Equal(1))
		Expect(call("c", true)).To(Succeed())
		Expect(server.Accepted()).To(Equal(2))
	})
})
