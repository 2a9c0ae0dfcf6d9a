package operatorapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
	"github.com/monsooncrank/monsooncrank/pkg/publish"
)

func TestOperatorAPI(t *testing.T) {
	klog.SetLogger(klog.Logger{})
	RegisterFailHandler(Fail)
	RunSpecs(t, "operatorapi")
}

// Guards against a Shutdown that aborts a running request or leaks the listener
// or its goroutines.
func TestShutdownWaitsForRunningRequests(t *testing.T) {
	g := NewWithT(t)
	// fasthttp starts one goroutine per process that formats the date, and one
	// per server that removes idle workers every 10 s. The latter ends only at
	// its next run.
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	running, release := make(chan struct{}), make(chan struct{})
	s := NewServer(Options{Ready: func() error { close(running); <-release; return nil }})
	served, status := make(chan error, 1), make(chan int, 1)
	go func() { served <- s.Serve(ln) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		code := 0
		if res, err := client.Get("http://" + ln.Addr().String() + "/readyz"); err == nil {
			code = res.StatusCode
			_ = res.Body.Close()
		}
		status <- code
	}()
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	g.Expect(<-served).To(Succeed())
	close(release)
	g.Expect(<-status).To(Equal(200))
	g.Expect(<-stopped).To(Succeed())
}

// notReadyError is returned by the readiness check of a daemon without a
// configuration.
type notReadyError struct{}

func (*notReadyError) Error() string { return "no configuration" }

// fakeDaemon implements Drainer and Quarantine and provides the readiness
// check.
type fakeDaemon struct {
	drained int
	entries []QuarantineEntry
	ready   error
}

func (d *fakeDaemon) Drain() { d.drained++ }

func (d *fakeDaemon) List(context.Context) ([]QuarantineEntry, error) { return d.entries, nil }

func (d *fakeDaemon) Release(_ context.Context, fingerprint string) error {
	if len(d.entries) == 0 || d.entries[0].Fingerprint != fingerprint {
		return &UnknownFingerprintError{Fingerprint: fingerprint}
	}
	d.entries = nil
	return nil
}

var _ = Describe("Server", func() {
	var (
		server *Server
		daemon *fakeDaemon
		store  *memtable.Store
		body   []byte
	)
	const token = "operator-token"

	// call handles one request and returns the status code and the body of the
	// response.
	call := func(bearer, method, uri string, body []byte) (int, []byte) {
		var req fasthttp.Request
		var ctx fasthttp.RequestCtx
		req.Header.SetMethod(method)
		req.SetRequestURI("http://operators" + uri)
		if bearer != "" {
			req.Header.Set("Authorization", bearer)
		}
		req.SetBody(body)
		ctx.Init(&req, nil, nil)
		server.Handle(&ctx)
		return ctx.Response.StatusCode(), ctx.Response.Body()
	}
	// expectProblem sends an authorized request and checks the status and the
	// type of the Problem that it returns.
	expectProblem := func(wantStatus int, wantType, method, uri string, body []byte) Problem {
		status, response := call("Bearer "+token, method, uri, body)
		var p Problem
		ExpectWithOffset(1, json.Unmarshal(response, &p)).To(Succeed())
		ExpectWithOffset(1, []any{status, p.Status, p.Type}).To(Equal([]any{wantStatus, wantStatus, wantType}))
		return p
	}

	BeforeEach(func() {
		var err error
		body, err = os.ReadFile("../../examples/kodiclub.jsonc")
		Expect(err).NotTo(HaveOccurred())
		daemon = &fakeDaemon{entries: []QuarantineEntry{{Fingerprint: "f1", Crashes: 2}}}
		store = memtable.New()
		recorder := decision.NewRecorder(10)
		recorder.Record(decision.Decision{RequestID: "r1", Kind: decision.KindRoute, Chosen: "engine-1", Reason: "lowest score"})
		server = NewServer(Options{Token: token, Decisions: recorder, Drainer: daemon, Quarantine: daemon,
			Configuration: publish.NewPublisher(publish.PublisherOptions{Table: store, Objects: memstore.New(), RetryWait: time.Microsecond}),
			Status:        func() Status { return Status{Daemon: "daemon-1"} },
			Metrics:       prometheus.NewRegistry(), Ready: func() error { return daemon.ready }})
	})

	// Guards against an operator endpoint that accepts requests without the
	// token, including when the configured token is empty.
	It("rejects all requests under /v1 without the token", func() {
		for _, bearer := range []string{"", token, "Bearer ", "Bearer operator-toke", "Bearer " + token + "x"} {
			status, _ := call(bearer, "POST", "/v1/drain", nil)
			Expect(status).To(Equal(401), bearer)
		}
		server = NewServer(Options{Drainer: daemon})
		status, _ := call("Bearer ", "POST", "/v1/drain", nil)
		Expect(status).To(Equal(401))
		Expect(daemon.drained).To(BeZero())
	})

	It("serves health, readiness and metrics without a token", func() {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			status, _ := call("", "GET", path, nil)
			Expect(status).To(Equal(200), path)
		}
		daemon.ready = &notReadyError{}
		status, response := call("", "GET", "/readyz", nil)
		Expect(status).To(Equal(503))
		Expect(string(response)).To(Equal("no configuration\n"))
	})

	It("publishes, returns and lists configurations", func() {
		status, response := call("Bearer "+token, "POST", "/v1/configuration?against=0&publisher=ana", body)
		Expect(status).To(Equal(201), string(response))
		status, published := call("Bearer "+token, "GET", "/v1/configuration", nil)
		Expect(status).To(Equal(200))
		set, err := config.Parse(config.File{Name: "published", Body: published})
		Expect(err).NotTo(HaveOccurred())
		Expect(set.ClientAccounts).To(HaveLen(5))
		_, response = call("Bearer "+token, "GET", "/v1/configuration/history", nil)
		var history HistoryResponse
		Expect(json.Unmarshal(response, &history)).To(Succeed())
		Expect(history.Revisions[0]).To(And(HaveField("Revision", uint64(1)), HaveField("Publisher", "ana")))
		conflict := expectProblem(409, ProblemConflict, "POST", "/v1/configuration?against=0", body)
		Expect(conflict.Winner.Publisher).To(Equal("ana"))
	})

	It("reports why a configuration is rejected", func() {
		p := expectProblem(422, ProblemConfigurationInvalid, "POST", "/v1/configuration?against=0", []byte("{\n\"objects\": [1]}"))
		Expect(p.Findings).To(HaveLen(1))
		Expect(p.Findings[0].Line).To(Equal(2))
		expectProblem(400, ProblemBadRequest, "POST", "/v1/configuration", body)
		expectProblem(400, ProblemBadRequest, "GET", "/v1/configuration?revision=x", nil)
		expectProblem(404, ProblemNotFound, "GET", "/v1/configuration?revision=7", nil)
		expectProblem(404, ProblemNotFound, "GET", "/v1/configuration", nil)
	})

	// Guards against a lost response to the store write that is reported as a
	// failed publish.
	It("distinguishes a store outage from a publish with an unknown outcome", func() {
		fault := memtable.FaultUnavailable
		store.SetFault(func(op memtable.Operation) memtable.Fault {
			if op == memtable.OperationTransact {
				return fault
			}
			return memtable.FaultNone
		})
		expectProblem(503, ProblemUnavailable, "POST", "/v1/configuration?against=0", body)
		fault = memtable.FaultRequestLost
		p := expectProblem(504, ProblemUndetermined, "POST", "/v1/configuration?against=0&publish_id=id-1", body)
		Expect(p.PublishID).To(Equal("id-1"))
	})

	It("returns decisions, drains and releases quarantine entries", func() {
		status, response := call("Bearer "+token, "GET", "/v1/requests/r1/decisions", nil)
		Expect(status).To(Equal(200))
		Expect(string(response)).To(ContainSubstring(`"chosen":"engine-1"`))
		expectProblem(404, ProblemNotFound, "GET", "/v1/requests/r2/decisions", nil)
		status, _ = call("Bearer "+token, "POST", "/v1/drain", nil)
		Expect([]int{status, daemon.drained}).To(Equal([]int{202, 1}))
		expectProblem(405, ProblemMethodNotAllowed, "GET", "/v1/drain", nil)
		expectProblem(404, ProblemNotFound, "DELETE", "/v1/quarantine/f2", nil)
		status, _ = call("Bearer "+token, "DELETE", "/v1/quarantine/f1", nil)
		Expect(status).To(Equal(204))
		_, response = call("Bearer "+token, "GET", "/v1/quarantine", nil)
		Expect(string(response)).To(Equal("{\"entries\":[]}\n"))
		_, response = call("Bearer "+token, "GET", "/v1/status", nil)
		Expect(string(response)).To(ContainSubstring(`"daemon":"daemon-1"`))
	})

	It("reports features that the daemon does not serve and unknown paths", func() {
		server = NewServer(Options{Token: token})
		expectProblem(501, ProblemNotImplemented, "GET", "/v1/quarantine", nil)
		expectProblem(404, ProblemNotFound, "GET", "/v1/nothing", nil)
	})
})
