package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
)

// ginkgoInterrupts is a goroutine of ginkgo that keeps running after the tests.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine client")
	goleak.VerifyNone(t, goleak.IgnoreAnyFunction(ginkgoInterrupts))
}

var messages = []api.Message{{Role: "user", Content: "which clubs have seats in Gldani on Saturdays"}}

func start(opts standin.Options) *standin.Engine {
	e, err := standin.Start(opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

func newClient(progress time.Duration) *engine.HTTPClient {
	c := engine.NewHTTPClient(engine.Options{ProgressTimeout: progress})
	DeferCleanup(c.Close)
	return c
}

func request(attempt string) *engine.Request {
	return &engine.Request{AttemptID: attempt, Model: "letters", Messages: messages, MaxTokens: 32}
}

// read reads a stream until Next returns an error.
func read(s engine.Stream) (tokens []string, last engine.Event, err error) {
	for {
		event, err := s.Next(context.Background())
		if err != nil {
			return tokens, last, err
		}
		last = event
		if event.FinishReason == "" {
			tokens = append(tokens, event.Text)
		}
	}
}

// countingServer counts requests by method. It responds to the first request of
// each connection, and closes the connection without a response when the second
// request has arrived.
type countingServer struct {
	listener net.Listener
	mu       sync.Mutex
	arrivals map[string]int
	tasks    sync.WaitGroup
}

func newCountingServer() *countingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &countingServer{listener: listener, arrivals: make(map[string]int)}
	s.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.tasks.Go(func() { s.serve(conn) })
		}
	})
	DeferCleanup(func() { _ = listener.Close(); s.tasks.Wait() })
	return s
}

func (s *countingServer) count(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[method]
}

func (s *countingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.arrivals[r.Method]++
		s.mu.Unlock()
		if i > 0 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

var _ = Describe("the HTTP client", func() {
	// Guards against a request that runs twice because the transport retried it
	// when the connection closed before the first byte of the response.
	DescribeTable("sends a request once if a reused connection closes", func(method string) {
		server := newCountingServer()
		client := newClient(time.Second)
		address := server.listener.Addr().String()
		Expect(engine.Exchange(client, method, address, "/", nil)).To(Succeed())
		err := engine.Exchange(client, method, address, "/", nil)
		Expect(err).To(BeAssignableToTypeOf(&engine.StreamBrokenError{}))
		Expect(server.count(method)).To(Equal(2), "the server received each of the two requests once")
	},
		Entry(nil, "GET"), Entry(nil, "HEAD"), Entry(nil, "OPTIONS"), Entry(nil, "TRACE"),
		Entry(nil, "PUT"), Entry(nil, "DELETE"), Entry(nil, "POST"), Entry(nil, "PATCH"))

	// Guards against the same failure for the request that starts a stream.
	It("sends the request that starts a stream once", func() {
		server := newCountingServer()
		client := newClient(time.Second)
		address := server.listener.Addr().String()
		Expect(engine.Exchange(client, "POST", address, "/", nil)).To(Succeed())
		_, err := client.Start(context.Background(), address, request("r.1"))
		Expect(err).To(BeAssignableToTypeOf(&engine.StreamBrokenError{}))
		Expect(server.count("POST")).To(Equal(2))
	})

	// Guards against reading the rest of one response as part of the next one. A
	// connection may be reused only if its stream was read to the end.
	It("reuses only connections whose stream was read to the end", func() {
		e := start(standin.Options{DecodeStep: 2 * time.Millisecond})
		client := newClient(time.Second)
		begin := func(attempt string) engine.Stream {
			s, err := client.Start(context.Background(), e.Address(), request(attempt))
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Next(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return s
		}
		Expect(begin("r.1").Close()).To(Succeed())
		whole := begin("r.2")
		_, _, _ = read(whole)
		Expect(whole.Close()).To(Succeed())
		Expect(e.Connections()).To(Equal(2))
		Expect(begin("r.3").Close()).To(Succeed())
		Expect(e.Connections()).To(Equal(2))
	})

	// Guards against reporting that a request may have run although it was never
	// sent.
	It("returns NotSentError if it cannot connect to the engine", func() {
		e := start(standin.Options{})
		e.Kill()
		_, err := newClient(time.Second).Start(context.Background(), e.Address(), request("r.1"))
		Expect(err).To(BeAssignableToTypeOf(&engine.NotSentError{}))
	})
})

var _ = Describe("a stream", func() {
	// Guards against missing and duplicate tokens in an answer.
	It("returns the complete answer with usage", func() {
		e := start(standin.Options{})
		s, err := newClient(time.Second).Start(context.Background(), e.Address(), request("r.1"))
		Expect(err).NotTo(HaveOccurred())
		tokens, last, err := read(s)
		Expect(err).To(BeAssignableToTypeOf(&engine.StreamEndedError{}))
		Expect(tokens).To(Equal(standin.ExpectedTokens("letters", messages, 32)))
		Expect(last.Offset).To(Equal(len(tokens)))
		Expect(last.PromptTokens).To(Equal(9))
		Expect(s.Close()).To(Succeed())
	})

	// Guards against a resumed stream that starts again at offset 0.
	It("continues after the resumed tokens", func() {
		e := start(standin.Options{})
		want := standin.ExpectedTokens("letters", messages, 32)
		req := request("r.2")
		req.ResumeTokens = want[:7]
		s, err := newClient(time.Second).Start(context.Background(), e.Address(), req)
		Expect(err).NotTo(HaveOccurred())
		first, err := s.Next(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Offset).To(Equal(7))
		Expect(first.Text).To(Equal(want[7]))
		Expect(s.Close()).To(Succeed())
		Expect(e.Ledger().Totals().WrongResumes).To(BeZero())
	})

	// Guards against waiting forever on a connection that delivers no more data.
	It("reports a silent connection and succeeds on a new one", func() {
		e := start(standin.Options{DecodeStep: 20 * time.Millisecond})
		client := newClient(150 * time.Millisecond)
		s, err := client.Start(context.Background(), e.Address(), request("r.1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next(context.Background())
		Expect(err).NotTo(HaveOccurred())
		e.Silence()
		_, _, err = read(s)
		var broken *engine.StreamBrokenError
		Expect(err).To(BeAssignableToTypeOf(broken))
		Expect(err.(*engine.StreamBrokenError).Silent).To(BeTrue())
		Expect(s.Close()).To(Succeed())
		req := request("r.2")
		req.FreshConnection = true
		again, err := client.Start(context.Background(), e.Address(), req)
		Expect(err).NotTo(HaveOccurred())
		tokens, _, _ := read(again)
		Expect(tokens).To(Equal(standin.ExpectedTokens("letters", messages, 32)))
		Expect(again.Close()).To(Succeed())
	})

	// Guards against delivering tokens of another request in an answer.
	It("drops and counts events of other attempts", func() {
		e := start(standin.Options{})
		e.SetEventFaults(standin.EventFaults{CrossedEvery: 4})
		client := newClient(time.Second)
		s, err := client.Start(context.Background(), e.Address(), request("r.1"))
		Expect(err).NotTo(HaveOccurred())
		tokens, _, _ := read(s)
		Expect(tokens).To(Equal(standin.ExpectedTokens("letters", messages, 32)))
		Expect(client.MismatchedEvents()).To(BeNumerically("==", len(tokens)/4))
		Expect(s.Close()).To(Succeed())
	})

	// Guards against sending new requests to an engine whose Host is leaving the
	// fleet (invariant I5).
	It("reports a refusal by a leaving engine", func() {
		e := start(standin.Options{})
		e.Leave()
		_, err := newClient(time.Second).Start(context.Background(), e.Address(), request("r.1"))
		Expect(err).To(BeAssignableToTypeOf(&engine.RefusedError{}))
		Expect(err.(*engine.RefusedError).Leaving).To(BeTrue())
	})

	// Guards against a caller that waits forever on a crashed engine.
	It("returns StreamBrokenError if the engine crashes", func() {
		e := start(standin.Options{DecodeStep: 10 * time.Millisecond, CrashMarker: "poison"})
		client := newClient(time.Second)
		req := request("r.1")
		req.Messages = []api.Message{{Role: "user", Content: "poison"}}
		s, err := client.Start(context.Background(), e.Address(), req)
		if err == nil {
			_, _, err = read(s)
			Expect(s.Close()).To(Succeed())
		}
		Expect(err).To(BeAssignableToTypeOf(&engine.StreamBrokenError{}))
		Expect(err.(*engine.StreamBrokenError).Silent).To(BeFalse())
		Expect(e.Killed()).To(BeTrue())
	})
})

var _ = Describe("requests without a stream", func() {
	// Guards against a second prefill after the KV cache was moved.
	It("moves a KV cache to another engine", func() {
		ledger := standin.NewLedger()
		from := start(standin.Options{Name: "a", DecodeStep: 5 * time.Millisecond, Ledger: ledger})
		to := start(standin.Options{Name: "b", Ledger: ledger})
		client := newClient(time.Second)
		ctx := context.Background()
		s, err := client.Start(ctx, from.Address(), request("r.1"))
		Expect(err).NotTo(HaveOccurred())
		event, err := s.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		export, err := client.ExportKV(ctx, from.Address(), "r.1")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.ImportKV(ctx, to.Address(), from.Address(), export.Handle)).To(Succeed())
		Expect(client.Cancel(ctx, from.Address(), "r.1")).To(Succeed())
		Expect(s.Close()).To(Succeed())
		moved := request("r.2")
		moved.KVHandle, moved.ResumeTokens = export.Handle, []string{event.Text}
		s, err = client.Start(ctx, to.Address(), moved)
		Expect(err).NotTo(HaveOccurred())
		rest, _, _ := read(s)
		Expect(s.Close()).To(Succeed())
		Expect(append([]string{event.Text}, rest...)).To(Equal(standin.ExpectedTokens("letters", messages, 32)))
		Expect(ledger.Entries()[1].PrefilledTokens).To(BeZero())
		Expect(ledger.Running()).To(BeEmpty())
	})

	// Guards against a former lease holder that overrides the orders of the
	// current one.
	DescribeTable("an order with an old fencing number", func(checks bool, inForce uint64) {
		e := start(standin.Options{ChecksFencing: checks})
		client := newClient(time.Second)
		ctx := context.Background()
		Expect(client.Order(ctx, e.Address(), engine.Order{FencingNumber: 5})).To(Succeed())
		err := client.Order(ctx, e.Address(), engine.Order{FencingNumber: 4})
		if checks {
			Expect(err).To(Equal(&engine.StaleOrderError{Address: e.Address(), Sent: 4, InForce: 5}))
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
		order, err := client.CurrentOrder(ctx, e.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(order.FencingNumber).To(Equal(inForce))
	}, Entry("is refused", true, uint64(5)), Entry("is accepted by an engine that does not check", false, uint64(4)))

	// Guards against treating a gap in the cache events as an empty cache.
	It("reports load and cache events with gaps", func() {
		e := start(standin.Options{CacheEventGap: 2})
		client := newClient(time.Second)
		ctx := context.Background()
		req := request("r.1")
		req.ResumeTokens = standin.ExpectedTokens("letters", messages, 64)[:30]
		req.MaxTokens = 64
		s, err := client.Start(ctx, e.Address(), req)
		Expect(err).NotTo(HaveOccurred())
		_, _, _ = read(s)
		Expect(s.Close()).To(Succeed())
		events, err := client.CacheEvents(ctx, e.Address(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1), "two blocks were stored and one event was lost")
		load, err := client.Load(ctx, e.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Running).To(BeZero())
		Expect(load.KVUsedShare).To(BeNumerically(">", 0))
	})
})
