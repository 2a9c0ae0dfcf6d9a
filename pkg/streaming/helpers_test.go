package streaming_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/invariant"
	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
	standin "github.com/monsooncrank/monsooncrank/pkg/standin/engine"
	"github.com/monsooncrank/monsooncrank/pkg/streaming"
)

// router picks the first engine that is neither excluded nor shutting down, and
// counts the attempts reported to it.
type router struct {
	mu      sync.Mutex
	servers []membership.BackendServer
	leaving map[string]bool
	// backendByAttempt maps the IDs of attempts in progress to their engines.
	backendByAttempt map[string]string
	started          int
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
	r.backendByAttempt[id] = b.Name
}

func (r *router) FirstToken(string, time.Time) {}

func (r *router) Finished(id string, _ streaming.Usage, _ time.Time) { r.close(id) }

func (r *router) Failed(id string, _ error, _ time.Time) { r.close(id) }

func (r *router) close(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backendByAttempt, id)
}

func (r *router) ReportLeaving(name string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[name] = true
}

func (r *router) openAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.backendByAttempt)
}

// sink collects an answer and runs hook once it holds hookAt tokens.
type sink struct {
	mu       sync.Mutex
	tokens   []string
	finish   string
	hookAt   int
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
	if s.hook != nil && len(s.tokens) == s.hookAt {
		s.hook()
	}
	return nil
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, "")
}

// tb is the part of testing.TB that the helpers use.
type tb interface {
	Fatalf(format string, args ...any)
	Helper()
	Cleanup(func())
}

// peerLink hands streams over to another driver in the same process.
type peerLink struct {
	target *streaming.Driver
	// loseAnswers is the number of hand-over responses that are still to be
	// lost.
	loseAnswers atomic.Int32
}

func (l *peerLink) HandOver(_ context.Context, state streaming.State) (string, error) {
	err := l.target.Accept(state)
	if l.loseAnswers.Add(-1) >= 0 {
		return "", fmt.Errorf("answer lost")
	}
	return "peer", err
}

func (l *peerLink) Fetch(ctx context.Context, req streaming.FetchRequest) (streaming.FetchAnswer, error) {
	return l.target.Fetch(ctx, req), nil
}

// hookedClient is an engine client that runs hooks before some calls.
type hookedClient struct {
	*engine.HTTPClient
	beforeStart, beforeExport, beforeImport func()
	// startErrors are returned by the first attempts instead of a stream.
	startErrors []error
}

func runHook(hook func()) {
	if hook != nil {
		hook()
	}
}

func (c *hookedClient) Start(ctx context.Context, address string, req *engine.Request) (engine.Stream, error) {
	runHook(c.beforeStart)
	if len(c.startErrors) > 0 {
		err := c.startErrors[0]
		c.startErrors = c.startErrors[1:]
		return nil, err
	}
	return c.HTTPClient.Start(ctx, address, req)
}

func (c *hookedClient) ExportKV(ctx context.Context, address, attempt string) (engine.KVExport, error) {
	runHook(c.beforeExport)
	return c.HTTPClient.ExportKV(ctx, address, attempt)
}

func (c *hookedClient) ImportKV(ctx context.Context, address, source, handle string) error {
	runHook(c.beforeImport)
	return c.HTTPClient.ImportKV(ctx, address, source, handle)
}

// deployment consists of three engines, a driver and a peer of the driver.
type deployment struct {
	ledger     *standin.Ledger
	engines    []*standin.Engine
	router     *router
	client     *hookedClient
	driver     *streaming.Driver
	peer       *streaming.Driver
	peerLink   *peerLink
	invariants *invariant.Reporter
}

const (
	testModel       = "letters"
	progressTimeout = 50 * time.Millisecond
	handOverTime    = 30 * time.Millisecond
	testTimeout     = 10 * time.Second
)

// deploy returns a deployment whose client has a long progress timeout, so that
// a slow test machine is not mistaken for a silent connection.
func deploy(t tb, engineOptions standin.Options, modify func(*streaming.Options)) *deployment {
	t.Helper()
	return deployWithTimeout(t, testTimeout, engineOptions, modify)
}

// deployWithTimeout returns a deployment with a given progress timeout, for
// tests that make connections silent. A timeout on a connection that is only
// slow costs an additional attempt, but no token.
func deployWithTimeout(t tb, progressLimit time.Duration, engineOptions standin.Options, modify func(*streaming.Options)) *deployment {
	t.Helper()
	d := &deployment{
		ledger: standin.NewLedger(), invariants: &invariant.Reporter{},
		router: &router{leaving: make(map[string]bool), backendByAttempt: make(map[string]string)},
		client: &hookedClient{HTTPClient: engine.NewHTTPClient(engine.Options{ProgressTimeout: progressLimit})},
	}
	t.Cleanup(d.client.Close)
	for _, name := range []string{"a", "b", "c"} {
		engineOptions.Name, engineOptions.Ledger = name, d.ledger
		engineOptions.KeepAlive = 10 * time.Millisecond
		if name != "a" {
			// Faults occur at engine a. The other engines are fast, so that the
			// test ends soon after.
			engineOptions.DecodeStep = min(engineOptions.DecodeStep, time.Millisecond)
		}
		e, err := standin.Start(engineOptions)
		if err != nil {
			t.Fatalf("%v", err)
		}
		t.Cleanup(func() { _ = e.Close() })
		d.engines = append(d.engines, e)
		d.router.servers = append(d.router.servers, membership.BackendServer{Name: name, Address: e.Address()})
	}
	options := streaming.Options{
		HandOverTime: handOverTime,
		Client:       d.client, Router: d.router, Directory: d.router, Invariants: d.invariants,
		Route: func(model string, _ bool) (streaming.Route, bool) {
			return streaming.Route{Name: model, Timeout: testTimeout}, model == testModel
		},
	}
	if modify != nil {
		modify(&options)
	}
	d.peer = streaming.NewDriver(options)
	d.peerLink = &peerLink{target: d.peer}
	options.Peer = d.peerLink
	d.driver = streaming.NewDriver(options)
	t.Cleanup(func() { _ = d.driver.Close(); _ = d.peer.Close() })
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

// expectClean checks that every attempt has ended or was cancelled, that the
// router received the end of every attempt, and that no invariant was violated.
func (d *deployment) expectClean(t tb) {
	t.Helper()
	limit := time.Now().Add(testTimeout)
	for len(d.ledger.Running()) > 0 || d.router.openAttempts() > 0 {
		if time.Now().After(limit) {
			t.Fatalf("attempts left: engines %v, routing %d", d.ledger.Running(), d.router.openAttempts())
		}
		time.Sleep(time.Millisecond)
	}
	if counts := d.invariants.Counts(); len(counts) > 0 {
		t.Fatalf("violations %v", counts)
	}
	if n := d.ledger.Totals().WrongResumes; n > 0 {
		t.Fatalf("%d resumes from wrong tokens", n)
	}
}

// reclaim announces the shutdown of an engine and kills it after the notice
// period.
func (d *deployment) reclaim(name string, notice time.Duration) {
	for _, e := range d.engines {
		if e.Name() == name {
			d.router.ReportLeaving(name, 0)
			e.Leave()
			d.driver.ReclaimNotice(name, time.Now().Add(notice))
			d.peer.ReclaimNotice(name, time.Now().Add(notice))
			time.AfterFunc(notice, e.Kill)
		}
	}
}

// chatAndReattach sends a request and re-attaches after a hand-over, as a
// caller does.
func (d *deployment) chatAndReattach(ctx context.Context, req *api.ChatRequest, out *sink) error {
	err := d.driver.Chat(ctx, req, out)
	if _, handedOver := err.(*streaming.HandedOverError); handedOver {
		return d.driver.Attach(ctx, req.ClientAccount, req.ID, out.length(), out)
	}
	return err
}

func (s *sink) length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}
