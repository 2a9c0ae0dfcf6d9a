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

const testTimeout = 500 * time.Millisecond

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
		ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
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

	// Guards against a request that runs twice because the client retried it.
	DescribeTable("sends a request once if the connection closes before the first byte of the response",
		func(fresh bool) {
			Expect(call("warm", fresh)).To(Succeed())
			fault(plainservice.FaultCloseBefore)
			var broken *service.BrokenError
			Expect(errors.As(call("a", fresh), &broken)).To(BeTrue())
			Expect(server.Arrivals("a")).To(Equal(1))
		},
		Entry("new connection", true), Entry("pooled connection", false))

	// Guards against reporting an unknown outcome although no byte was sent.
	It("returns NotSentError if dialing fails", func() {
		server.Crash()
		var notSent *service.NotSentError
		Expect(errors.As(call("a", true), &notSent)).To(BeTrue())
		Expect(errors.As(call("b", false), &notSent)).To(BeTrue())
	})

	It("reports a refusal and that the server is leaving", func() {
		server.SetLeaving(true)
		var refused *service.RefusedError
		Expect(errors.As(call("a", true), &refused)).To(BeTrue())
		Expect(refused.Leaving).To(BeTrue())
	})

	// Guards against returning the response to another caller's request.
	It("drops and counts a response to another attempt", func() {
		fault(plainservice.FaultCrossedAnswer)
		var mismatch *service.AttemptMismatchError
		Expect(errors.As(call("a", false), &mismatch)).To(BeTrue())
		Expect(client.MismatchedAnswers()).To(Equal(uint64(1)))
	})

	// Guards against a caller that waits forever on an open connection.
	It("enforces the deadline on a silent connection", func() {
		fault(plainservice.FaultSilentAfter)
		var broken *service.BrokenError
		started := time.Now()
		Expect(errors.As(call("a", true), &broken)).To(BeTrue())
		Expect(broken.Silent).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", 10*testTimeout))
	})

	// Guards against reading the rest of one response as the next response.
	It("does not reuse a connection whose response was not read to its end", func() {
		fault(plainservice.FaultHalfAnswer)
		var broken *service.BrokenError
		Expect(errors.As(call("a", false), &broken)).To(BeTrue())
		Expect(broken.Silent).To(BeFalse())
		fault(plainservice.FaultNone)
		Expect(call("b", false)).To(Succeed())
	})

	It("looks up the result of an attempt", func() {
		fault(plainservice.FaultAnswerLost)
		Expect(call("a", true)).NotTo(Succeed())
		answer, err := client.Lookup(ctx, server.Address(), plainservice.LookupPath, "a", "k-a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(ContainSubstring("seat-1"))
		_, err = client.Lookup(ctx, server.Address(), plainservice.LookupPath, "other", "k-other")
		var notFound *service.AttemptNotFoundError
		Expect(errors.As(err, &notFound)).To(BeTrue())
	})

	// Guards against treating a refused lookup as proof that the attempt did not
	// run.
	It("returns RefusedError only if the service guarantees that the attempt did not run", func() {
		server.SetLeaving(true)
		_, err := client.Lookup(ctx, server.Address(), plainservice.LookupPath, "a", "k-a")
		var broken *service.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
		rejecting, err := plainservice.New(plainservice.Options{BarOnLookup: true})
		Expect(err).NotTo(HaveOccurred())
		defer rejecting.Close()
		_, err = client.Lookup(ctx, rejecting.Address(), plainservice.LookupPath, "a", "k-a")
		var refused *service.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		_, err = client.Call(ctx, rejecting.Address(), &service.Request{AttemptID: "a", Path: "/book"})
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(rejecting.Ledger().RunsOfAttempt("a")).To(BeZero())
	})

	It("reuses pooled connections and opens a new one on request", func() {
		Expect(call("a", false)).To(Succeed())
		Expect(call("b", false)).To(Succeed())
		Expect(server.Accepted()).To(Equal(1))
		Expect(call("c", true)).To(Succeed())
		Expect(server.Accepted()).To(Equal(2))
	})
})
