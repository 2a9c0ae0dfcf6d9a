package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/gateway"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

const validAPIKey = "example-key"

type fakeCatalog struct{}

func (fakeCatalog) Authenticate(key string) (string, uint64, error) {
	if key != validAPIKey {
		return "", 0, api.NewNotRunProblem(api.ProblemUnauthorized, http.StatusUnauthorized, "unknown API key")
	}
	return "school", 7, nil
}
func (fakeCatalog) ChatTimeout(model string, _ bool) (time.Duration, bool) {
	return 5 * time.Second, model == "m"
}
func (fakeCatalog) CallTimeout(service, call string) (time.Duration, bool) {
	return 5 * time.Second, service == "booking"
}
func (fakeCatalog) Models(string) []string { return []string{"m"} }

// fakeHandlers implements the handlers with functions that a test sets.
type fakeHandlers struct {
	chat   func(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error
	call   func(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error)
	submit func(req *api.ChatRequest) error
}

func (f *fakeHandlers) Chat(ctx context.Context, req *api.ChatRequest, sink api.EventSink) error {
	return f.chat(ctx, req, sink)
}
func (f *fakeHandlers) Attach(ctx context.Context, _, _ string, from int, sink api.EventSink) error {
	return sendTokens(sink, from, 4)
}
func (f *fakeHandlers) Call(ctx context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
	return f.call(ctx, req)
}
func (f *fakeHandlers) Submit(_ context.Context, req *api.ChatRequest) error { return f.submit(req) }
func (f *fakeHandlers) Status(context.Context, string, string) (*gateway.DeferredStatus, error) {
	return &gateway.DeferredStatus{Outcome: api.OutcomeDone, Finished: true, Text: "t0 t1"}, nil
}

// sendTokens sends the tokens from offset from up to offset to, and the last
// event.
func sendTokens(sink api.EventSink, from, to int) error {
	for i := from; i < to; i++ {
		if err := sink.Send(api.TokenEvent{Offset: i, Text: "t" + strconv.Itoa(i)}); err != nil {
			return err
		}
	}
	return sink.Send(api.TokenEvent{Offset: to, FinishReason: "stop"})
}

var _ = Describe("Server", func() {
	var (
		server   *gateway.Server
		handlers *fakeHandlers
		address  string
		served   chan struct{}
	)

	BeforeEach(func() {
		handlers = &fakeHandlers{}
		var ids atomic.Int64
		limits := gateway.DefaultLimits()
		limits.ReadTimeout = 300 * time.Millisecond
		var err error
		server, err = gateway.NewServer(gateway.Options{
			ChatHandler: handlers, CallHandler: handlers, DeferredHandler: handlers, Catalog: fakeCatalog{},
			Limits: limits, Clock: clock.RealClock{}, Registry: prometheus.NewRegistry(),
			NewID: func() string { return "r" + strconv.FormatInt(ids.Add(1), 10) },
		})
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		served = make(chan struct{})
		go func() { defer close(served); _ = server.Serve(listener) }()
	})
	AfterEach(func() {
		server.Close()
		Eventually(served).Should(BeClosed())
	})

	send := func(method, path, body string, headers ...string) *http.Response {
		req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+validAPIKey)
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		Expect(err).NotTo(HaveOccurred())
		return response
	}
	read := func(response *http.Response) string {
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	problem := func(response *http.Response) map[string]any {
		Expect(response.Header.Get("Content-Type")).To(Equal("application/problem+json"))
		var decoded map[string]any
		Expect(json.Unmarshal([]byte(read(response)), &decoded)).To(Succeed())
		return decoded
	}
	const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":4`

	It("sends the events of a stream in order, each with an ID", func() {
		handlers.chat = func(_ context.Context, _ *api.ChatRequest, sink api.EventSink) error { return sendTokens(sink, 0, 4) }
		body := read(send("POST", "/v1/chat/completions", chatBody+`,"stream":true}`))
		for i := range 4 {
			Expect(body).To(ContainSubstring("id: " + strconv.Itoa(i) + "\ndata: {"))
			Expect(body).To(ContainSubstring(`"content":"t` + strconv.Itoa(i) + `"`))
		}
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("passes the account and deadline to the handler and returns a complete answer", func() {
		var received api.ChatRequest
		handlers.chat = func(_ context.Context, req *api.ChatRequest, sink api.EventSink) error {
			received = *req
			return sendTokens(sink, 0, 2)
		}
		response := send("POST", "/v1/chat/completions", chatBody+`}`, "Request-Timeout", "1.5")
		Expect(read(response)).To(ContainSubstring(`"content":"t0t1"`))
		Expect(received.ClientAccount).To(Equal("school"))
		Expect(received.Revision).To(BeEquivalentTo(7))
		Expect(time.Until(received.Deadline)).To(BeNumerically("<", 1500*time.Millisecond))
	})

	It("reports a failure before the first event by its status, and a later one within the stream", func() {
		fail := api.NewNotRunProblem(api.ProblemOverloaded, http.StatusServiceUnavailable, "full").WithRetryAfter(1500 * time.Millisecond)
		handlers.chat = func(context.Context, *api.ChatRequest, api.EventSink) error { return fail }
		response := send("POST", "/v1/chat/completions", chatBody+`,"stream":true}`)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(problem(response)).To(HaveKeyWithValue("outcome", "not_run"))

		handlers.chat = func(_ context.Context, _ *api.ChatRequest, sink api.EventSink) error {
			Expect(sink.Send(api.TokenEvent{Text: "t0"})).To(Succeed())
			return api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, "engine died")
		}
		body := read(send("POST", "/v1/chat/completions", chatBody+`,"stream":true}`))
		Expect(body).To(ContainSubstring("event: error\ndata: {\"type\":\"urn:monsooncrank:problem:backend-server-failed\""))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
	})

	// Guards against reporting "not run" for an error that does not prove it.
	It("reports an error that is not an API problem with an unknown outcome", func() {
		handlers.call = func(context.Context, *api.CallRequest) (*api.CallAnswer, error) { return nil, io.ErrUnexpectedEOF }
		response := send("POST", "/v1/services/booking/seat", `{}`)
		Expect(problem(response)).To(HaveKeyWithValue("outcome", "unknown"))
	})

	It("passes the body and key of a call to the handler and returns its answer", func() {
		handlers.call = func(_ context.Context, req *api.CallRequest) (*api.CallAnswer, error) {
			Expect(req.IdempotencyKey).To(Equal("k1"))
			return &api.CallAnswer{Status: 201, ContentType: "application/json", Body: req.Body, Replayed: true}, nil
		}
		response := send("POST", "/v1/services/booking/seat", `{"child":3}`, "Idempotency-Key", "k1")
		Expect(response.StatusCode).To(Equal(201))
		Expect(response.Header.Get("Idempotency-Replayed")).To(Equal("true"))
		Expect(read(response)).To(Equal(`{"child":3}`))
	})

	It("accepts a deferred request and returns its location", func() {
		handlers.submit = func(req *api.ChatRequest) error {
			Expect(req.Deferred).To(BeTrue())
			return nil
		}
		response := send("POST", "/v1/chat/completions", chatBody+`}`, "Prefer", "respond-async")
		Expect(response.StatusCode).To(Equal(http.StatusAccepted))
		location := response.Header.Get("Location")
		Expect(read(send("GET", location, ""))).To(ContainSubstring(`"finished":true`))
	})

	It("continues a stream after the last event that the caller received", func() {
		body := read(send("GET", "/v1/requests/r9/events", "", "Last-Event-ID", "1"))
		Expect(body).NotTo(ContainSubstring("id: 1\n"))
		Expect(body).To(ContainSubstring("id: 2\n"))
	})

	DescribeTable("rejects invalid requests with the outcome \"not run\"",
		func(method, path, body string, status int, headers ...string) {
			response := send(method, path, body, headers...)
			Expect(response.StatusCode).To(Equal(status))
			Expect(problem(response)).To(HaveKeyWithValue("outcome", "not_run"))
		},
		Entry("wrong API key", "GET", "/v1/models", "", 401, "Authorization", "Bearer wrong"),
		Entry("no bearer token", "GET", "/v1/models", "", 401, "Authorization", "Basic x"),
		Entry("unknown endpoint", "GET", "/v2/x", "", 404),
		Entry("unknown model", "POST", "/v1/chat/completions", `{"model":"x","messages":[{}]}`, 404),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, 400),
		Entry("malformed body", "POST", "/v1/chat/completions", `{`, 400),
		Entry("timeout that is not a number", "POST", "/v1/chat/completions", chatBody+`}`, 400, "Request-Timeout", "NaN"),
		Entry("negative timeout", "POST", "/v1/chat/completions", chatBody+`}`, 400, "Request-Timeout", "-1"),
		Entry("unknown service", "POST", "/v1/services/x/y", `{}`, 404),
		Entry("path with too many segments", "POST", "/v1/services/booking/y/z", `{}`, 404),
		Entry("call body that is not JSON", "POST", "/v1/services/booking/seat", `{`, 400),
		Entry("long idempotency key", "POST", "/v1/services/booking/seat", `{}`, 400, "Idempotency-Key", strings.Repeat("k", 256)),
		Entry("body above the limit", "POST", "/v1/services/booking/seat", strings.Repeat(" ", 2<<20), 413),
		Entry("malformed Last-Event-ID", "GET", "/v1/requests/r1/events", "", 400, "Last-Event-ID", "x"),
	)

	// Guards against generation that continues on an engine after its caller has
	// disconnected.
	DescribeTable("cancels the request of a caller that closes its connection",
		func(suffix string, tokens int) {
			cancelled := make(chan struct{})
			handlers.chat = func(ctx context.Context, _ *api.ChatRequest, sink api.EventSink) error {
				for i := range tokens {
					_ = sink.Send(api.TokenEvent{Offset: i, Text: "t"})
				}
				<-ctx.Done()
				close(cancelled)
				return ctx.Err()
			}
			conn := dialChat(address, chatBody+suffix)
			time.Sleep(20 * time.Millisecond)
			Expect(conn.Close()).To(Succeed())
			Eventually(cancelled, time.Second).Should(BeClosed())
		},
		Entry("while waiting for an answer without streaming", "}", 0),
		Entry("before the first event of a stream", `,"stream":true}`, 0),
		Entry("in the middle of a stream", `,"stream":true}`, 1),
	)

	// Guards against losing the byte that was read ahead from a pipelined
	// request. The second request is sent while the first is being handled, so
	// that the read-ahead of the connection receives its first byte.
	It("serves the next request on a connection, pipelined or sent after the response", func() {
		started, release := make(chan struct{}, 3), make(chan struct{}, 3)
		handlers.chat = func(_ context.Context, _ *api.ChatRequest, sink api.EventSink) error {
			started <- struct{}{}
			<-release
			return sendTokens(sink, 0, 1)
		}
		conn := dialChat(address, chatBody+"}")
		defer func() { _ = conn.Close() }()
		<-started
		writeChat(conn, chatBody+"}")
		time.Sleep(50 * time.Millisecond)
		release <- struct{}{}
		release <- struct{}{}
		reader := bufio.NewReader(conn)
		for range 2 {
			Expect(readAnswer(reader)).To(ContainSubstring(`"content":"t0"`))
		}
		release <- struct{}{}
		writeChat(conn, chatBody+"}")
		Expect(readAnswer(reader)).To(ContainSubstring(`"content":"t0"`))
	})

	// Guards against an error on an idle connection that a client would treat as
	// the response to its next request.
	It("closes a connection on which no request arrives with status 408", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(response.Close).To(BeTrue())
	})

	// Guards against cutting off requests in progress at a planned shutdown.
	It("finishes requests in progress and rejects new ones while draining", func() {
		release := make(chan struct{})
		started := make(chan struct{})
		handlers.chat = func(_ context.Context, _ *api.ChatRequest, sink api.EventSink) error {
			close(started)
			<-release
			return sendTokens(sink, 0, 1)
		}
		var answer string
		var group sync.WaitGroup
		group.Go(func() { answer = read(send("POST", "/v1/chat/completions", chatBody+"}")) })
		<-started
		server.StopAccepting()
		response := send("GET", "/v1/models", "")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(problem(response)).To(HaveKeyWithValue("type", "urn:monsooncrank:problem:draining"))
		drained := make(chan error, 1)
		go func() { drained <- server.Shutdown(context.Background()) }()
		Consistently(drained, 50*time.Millisecond).ShouldNot(Receive())
		close(release)
		group.Wait()
		Expect(answer).To(ContainSubstring(`"content":"t0"`))
		Eventually(drained, 2*time.Second).Should(Receive(BeNil()))
	})
})

func dialChat(address, body string) net.Conn {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	writeChat(conn, body)
	return conn
}

func writeChat(conn net.Conn, body string) {
	_, err := io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+validAPIKey+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	Expect(err).NotTo(HaveOccurred())
}

func readAnswer(reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}
