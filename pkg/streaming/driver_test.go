package streaming_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// ginkgoInterrupts is a goroutine of ginkgo that outlives the specs.
const ginkgoInterrupts = "github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"

func TestStreaming(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streaming")
	goleak.VerifyNone(t, goleak.IgnoreAnyFunction(ginkgoInterrupts))
}

// router picks the first engine that is neither excluded nor leaving, and
// counts what it is told.
type router struct {
	mu      sync.Mutex
	servers []membership.BackendServer
	leaving map[string]bool
	open    map[string]string
	started int
}

func (r *router) Pick(_ time.Time, req *streaming.PickRequest) (membership.BackendServer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.servers {
		if !r.leaving[b.Name] && !slices.Contains(req.Exclude, b.Name) {
			return b, nil
		}
	}
	return membership.BackendServer{}, fmt.Errorf("no engine")
}

func (r *router) Started(id string, b membership.BackendServer, _ *streaming.PickRequest, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.open[id] = b.Name
}

func (r *router) FirstToken(string, time.Time) {}

func (r *router) Finished(id string, _ streaming.Usage, _ time.Time) { r.close(id) }

func (r *router) Failed(id string, _ error, _ time.Time) { r.close(id) }

func (r *router) close(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
}

func (r *router) ReportLeaving(name string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[name] = true
}

func (r *router) openAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// sink collects an answer and runs a hook at an offset.
type sink struct {
	mu       sync.Mutex
	tokens   []string
	finish   string
	at       int
	hook     func()
	reattach bool
}

func (s *sink) CanReattach() bool { return s.reattach }

func (s *sink) Send(e api.TokenEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Offset != len(s.tokens) {
		return fmt.Errorf("offset %d after %d tokens", e.Offset, len(s.tokens))
	}
	if e.FinishReason != "" {
		s.finish = e.FinishReason
		return nil
	}
	s.tokens = append(s.tokens, e.Text)
	if s.hook != nil && len(s.tokens) == s.at {
		s.hook()
	}
	return nil
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, "")
}

// deployment is two engines and a driver.
type deployment struct {
	ledger     *standin.Ledger
	engines    []*standin.Engine
	router     *router
	driver     *streaming.Driver
	invariants *invariant.Reporter
}

const testModel = "letters"

func deploy(engineOptions standin.Options, change func(*streaming.Options)) *deployment {
	d := &deployment{
		ledger: standin.NewLedger(), invariants: &invariant.Reporter{},
		router: &router{leaving: make(map[string]bool), open: make(map[string]string)},
	}
	for _, name := range []string{"a", "b"} {
		engineOptions.Name, engineOptions.Ledger = name, d.ledger
		e, err := standin.Start(engineOptions)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		d.engines = append(d.engines, e)
		d.router.servers = append(d.router.servers, membership.BackendServer{Name: name, Address: e.Address()})
	}
	client := engine.NewHTTPClient(engine.Options{ProgressTimeout: 250 * time.Millisecond})
	DeferCleanup(client.Close)
	options := streaming.Options{
		Client: client, Router: d.router, Directory: d.router, Invariants: d.invariants,
		Route: func(model string) (streaming.Route, bool) {
			return streaming.Route{Name: model, Timeout: 5 * time.Second}, model == testModel
		},
	}
	if change != nil {
		change(&options)
	}
	d.driver = streaming.NewDriver(options)
	DeferCleanup(d.driver.Close)
	return d
}

func chatRequest(id string, tokens int) *api.ChatRequest {
	return &api.ChatRequest{
		Request: api.Request{ID: id, ClientAccount: "kodiclub"}, Model: testModel, MaxTokens: tokens,
		Messages: []api.Message{{Role: "user", Content: "draft the placement letter for request " + id}},
	}
}

func expected(req *api.ChatRequest) string {
	return standin.ExpectedText(req.Model, req.Messages, req.MaxTokens)
}

func (d *deployment) expectClean() {
	GinkgoHelper()
	Eventually(d.ledger.Running).Should(BeEmpty(), "every attempt has ended or was cancelled")
	Eventually(d.router.openAttempts).Should(BeZero(), "routing was told of every end")
	Expect(d.invariants.Counts()).To(BeEmpty())
	Expect(d.ledger.Totals().WrongResumes).To(BeZero())
}

var slowEngine = standin.Options{DecodeStep: 3 * time.Millisecond}

var _ = Describe("a chat", func() {
	// Guards against gaps, repeats and a missing end in an undisturbed answer.
	It("delivers the whole answer", func() {
		d := deploy(standin.Options{}, nil)
		req, out := chatRequest("r1", 64), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(out.finish).NotTo(BeEmpty())
		d.expectClean()
	})

	// Guards against an answer that is lost or starts again when something
	// happens to its engine halfway.
	DescribeTable("goes on when the engine", func(disturb func(*deployment)) {
		d := deploy(slowEngine, nil)
		req := chatRequest("r1", 96)
		out := &sink{at: 20, hook: func() { disturb(d) }}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		d.expectClean()
	},
		Entry("dies", func(d *deployment) { d.engines[0].Kill() }),
		Entry("goes silent", func(d *deployment) { d.engines[0].Silence() }),
		Entry("is reclaimed with time to finish", func(d *deployment) { d.reclaim(time.Minute) }),
		Entry("is reclaimed with time to move", func(d *deployment) { d.reclaim(500 * time.Millisecond) }),
		Entry("is reclaimed without time", func(d *deployment) { d.reclaim(50 * time.Millisecond) }),
	)

	// Guards against late, crossed and lost events that reach the caller.
	DescribeTable("checks events that are", func(faults standin.EventFaults) {
		d := deploy(standin.Options{}, nil)
		d.engines[0].SetEventFaults(faults)
		req, out := chatRequest("r1", 64), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		d.expectClean()
	},
		Entry("late", standin.EventFaults{LateEvery: 3}),
		Entry("crossed", standin.EventFaults{CrossedEvery: 3}),
		Entry("lost", standin.EventFaults{GapAt: 10}),
	)

	// Guards against work that runs on for a caller that has gone (6.1).
	It("cancels at the engine when the caller goes", func() {
		d := deploy(slowEngine, nil)
		ctx, cancel := context.WithCancel(context.Background())
		err := d.driver.Chat(ctx, chatRequest("r1", 4000), &sink{at: 5, hook: cancel})
		var gone *streaming.CallerGoneError
		Expect(err).To(BeAssignableToTypeOf(gone))
		d.expectClean()
	})

	// Guards against "not_run" for a request that may have run (I3), and
	// against the opposite.
	It("reports not_run only without an engine", func() {
		d := deploy(standin.Options{DecodeStep: 20 * time.Millisecond}, func(o *streaming.Options) {
			o.Machine.NoBackendLimit = time.Millisecond
		})
		req := chatRequest("r1", 4000)
		req.Deadline = time.Now().Add(100 * time.Millisecond)
		err := d.driver.Chat(context.Background(), req, &sink{})
		Expect(err).To(HaveField("Outcome", api.OutcomeUnknown))
		Expect(err).To(HaveField("Name", api.ProblemDeadlineExceeded))
		d.router.ReportLeaving("a", 0)
		d.router.ReportLeaving("b", 0)
		err = d.driver.Chat(context.Background(), chatRequest("r2", 8), &sink{})
		Expect(err).To(HaveField("Outcome", api.OutcomeNotRun))
		d.expectClean()
	})

	// Guards against a leaving engine that keeps getting work (I5).
	It("moves on from an engine that refuses as leaving and reports it", func() {
		d := deploy(standin.Options{}, nil)
		d.engines[0].Leave()
		req, out := chatRequest("r1", 32), &sink{}
		Expect(d.driver.Chat(context.Background(), req, out)).To(Succeed())
		Expect(out.text()).To(Equal(expected(req)))
		Expect(d.router.leaving["a"]).To(BeTrue())
	})
})

func (d *deployment) reclaim(notice time.Duration) {
	d.router.ReportLeaving("a", 0)
	d.engines[0].Leave()
	d.driver.ReclaimNotice("a", time.Now().Add(notice))
	time.AfterFunc(notice, d.engines[0].Kill)
}
