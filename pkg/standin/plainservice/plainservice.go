// Package plainservice simulates a plain service, such as a booking system, for
// tests. It serves HTTP and JSON over TCP, with a lookup of the outcome of an
// attempt, a ledger of the calls that actually ran, and injectable faults.
package plainservice

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/service"
	"github.com/valyala/fasthttp"
)

// Fault is a failure that is injected into a call.
type Fault string

// The faults that a Server can inject.
const (
	FaultNone Fault = ""
	// FaultCrashBefore stops the server before the call runs.
	FaultCrashBefore Fault = "crash_before"
	// FaultCrashAfter stops the server after the call has run, without an answer.
	FaultCrashAfter Fault = "crash_after"
	// FaultCloseBefore closes the connection before the call runs.
	FaultCloseBefore Fault = "close_before"
	// FaultAnswerLost runs the call and closes the connection without an answer.
	FaultAnswerLost Fault = "answer_lost"
	// FaultSilentBefore keeps the connection open without an answer; the call does
	// not run.
	FaultSilentBefore Fault = "silent_before"
	// FaultSilentAfter runs the call and keeps the connection open without an
	// answer.
	FaultSilentAfter Fault = "silent_after"
	// FaultSlow runs the call after Options.SlowDelay.
	FaultSlow Fault = "slow"
	// FaultCrossedAnswer runs the call and labels the answer with the ID of another
	// attempt.
	FaultCrossedAnswer Fault = "crossed_answer"
	// FaultHalfAnswer runs the call and closes the connection in the middle of
	// the answer.
	FaultHalfAnswer Fault = "half_answer"
	// FaultRefuseLeaving refuses the call because the Host is leaving.
	FaultRefuseLeaving Fault = "refuse_leaving"
)

// LookupPath is the path for looking up attempts and idempotency keys.
const LookupPath = "/v1/lookup"

const defaultSlowDelay = 50 * time.Millisecond

// Call describes an incoming call for the function that selects its fault.
type Call struct {
	AttemptID string
	// Key is the idempotency key.
	Key  string
	Path string
	Body []byte
}

// Options are the settings of a Server.
type Options struct {
	// Address is the listening address; empty means a free loopback port.
	Address string
	// Ledger is shared by the servers of one service; nil means a new one.
	Ledger *Ledger
	// DeduplicateByKey executes each idempotency key at most once.
	DeduplicateByKey bool
	// BarOnLookup makes a lookup that finds no execution bar the attempt. The
	// lookup answers that the attempt did not run and never will.
	BarOnLookup bool
	// SlowDelay is the delay of FaultSlow; 0 means the default of 50 ms.
	SlowDelay time.Duration
	// ServiceTime is the simulated service time, a delay before each call runs.
	ServiceTime time.Duration
}

// Server is one server of the service. It can crash and restart.
type Server struct {
	options Options
	ledger  *Ledger
	address string

	mu         sync.Mutex
	fault      func(Call) Fault
	leaving    bool
	arrivals   map[string]int
	lookups    int
	accepted   int
	conns      map[net.Conn]struct{}
	listener   net.Listener
	stopped    chan struct{}
	goroutines sync.WaitGroup
}

// New starts a server.
func New(options Options) (*Server, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.Ledger == nil {
		options.Ledger = NewLedger()
	}
	if options.SlowDelay == 0 {
		options.SlowDelay = defaultSlowDelay
	}
	s := &Server{options: options, ledger: options.Ledger, address: options.Address, arrivals: make(map[string]int)}
	return s, s.Restart()
}

// Address returns the listening address as ip:port. It does not change on a
// restart.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Ledger returns the ledger of the calls that ran.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Arrivals returns how often an attempt arrived, whether or not it ran.
func (s *Server) Arrivals(attemptID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[attemptID]
}

// Lookups returns the number of lookups that arrived.
func (s *Server) Lookups() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookups
}

// Accepted returns the number of accepted connections.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// SetFault sets the function that returns the fault of each call.
func (s *Server) SetFault(fault func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetLeaving makes the server refuse all calls because its Host is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Restart starts a server that is new or has crashed. It does nothing if the server
// is running.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &ListenError{Address: s.address, Cause: err}
	}
	s.listener, s.address = listener, listener.Addr().String()
	s.conns, s.stopped = make(map[net.Conn]struct{}), make(chan struct{})
	s.goroutines.Add(1)
	go s.serve(listener, s.stopped)
	return nil
}

// Crash immediately closes the listener and all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	close(s.stopped)
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Close stops the server and waits until its goroutines have ended.
func (s *Server) Close() {
	s.Crash()
	s.goroutines.Wait()
}

func (s *Server) serve(listener net.Listener, stopped chan struct{}) {
	defer s.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn, stopped) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn, stopped)
	}
}

// track registers a connection. It returns false if the server has stopped in the
// meantime.
func (s *Server) track(conn net.Conn, stopped chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-stopped:
		return false
	default:
	}
	s.conns[conn] = struct{}{}
	s.accepted++
	s.goroutines.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn, stopped chan struct{}) {
	defer s.goroutines.Done()
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { s.handle(ctx, conn, stopped) },
		Logger:  discardLogger{},
		// The Date header would start a goroutine that never ends.
		NoDefaultDate: true,
	}
	_ = server.ServeConn(conn)
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx, conn net.Conn, stopped chan struct{}) {
	attemptID := string(ctx.Request.Header.Peek(service.HeaderAttempt))
	ctx.Response.Header.Set(service.HeaderAttempt, attemptID)
	if string(ctx.Path()) == LookupPath {
		s.lookup(ctx)
		return
	}
	// A lookup, which is a GET, must not run as a call if its path is wrong.
	if !ctx.IsPost() {
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	call := Call{
		AttemptID: attemptID,
		Key:       string(ctx.Request.Header.Peek(service.HeaderIdempotencyKey)),
		Path:      string(ctx.Path()),
		Body:      append([]byte(nil), ctx.PostBody()...),
	}
	s.executeWithFault(ctx, call, s.recordArrival(call), conn, stopped)
}

// recordArrival counts the call and returns the fault to inject.
func (s *Server) recordArrival(call Call) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[call.AttemptID]++
	if s.leaving {
		return FaultRefuseLeaving
	}
	if s.fault == nil {
		return FaultNone
	}
	return s.fault(call)
}

// executeWithFault runs the call or lets it fail, as its fault requires.
func (s *Server) executeWithFault(ctx *fasthttp.RequestCtx, call Call, fault Fault, conn net.Conn, stopped chan struct{}) {
	switch fault {
	case FaultCrashBefore:
		s.Crash()
	case FaultCloseBefore:
		_ = conn.Close()
	case FaultSilentBefore:
		<-stopped
	case FaultRefuseLeaving:
		refuse(ctx, true)
	case FaultSlow:
		if wait(s.options.SlowDelay, stopped) {
			s.run(ctx, call)
		}
	default:
		if s.options.ServiceTime > 0 && !wait(s.options.ServiceTime, stopped) {
			return
		}
		s.run(ctx, call)
		s.applyAnswerFault(ctx, fault, conn, stopped)
	}
}

// applyAnswerFault applies the faults that take effect after the call has run.
func (s *Server) applyAnswerFault(ctx *fasthttp.RequestCtx, fault Fault, conn net.Conn, stopped chan struct{}) {
	switch fault {
	case FaultCrashAfter:
		s.Crash()
	case FaultAnswerLost:
		_ = conn.Close()
	case FaultSilentAfter:
		<-stopped
	case FaultCrossedAnswer:
		ctx.Response.Header.Set(service.HeaderAttempt, "another-attempt")
	case FaultHalfAnswer:
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n"
		_, _ = fmt.Fprintf(conn, "%s%s: %s\r\n\r\n{", head, service.HeaderAttempt, ctx.Request.Header.Peek(service.HeaderAttempt))
		_ = conn.Close()
	}
}

// wait waits for d and returns false if the server stops before.
func wait(d time.Duration, stopped chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stopped:
		return false
	}
}

// run executes the call and answers it, or refuses it if the attempt is barred.
func (s *Server) run(ctx *fasthttp.RequestCtx, call Call) {
	run, ok := s.ledger.record(Run{
		AttemptID: call.AttemptID,
		Key:       call.Key,
		Path:      call.Path,
		Object:    objectOf(call.Body),
		Answer:    answerTo(call),
	}, s.options.DeduplicateByKey)
	if !ok {
		refuse(ctx, false)
		return
	}
	ctx.SetStatusCode(run.Answer.Status)
	ctx.SetContentType(run.Answer.ContentType)
	ctx.SetBody(run.Answer.Body)
}

// answerTo returns the answer to a call. It contains the attempt ID, so that an
// answer to another attempt is recognizable.
func answerTo(call Call) api.CallAnswer {
	body, _ := json.Marshal(map[string]string{
		"confirmation": call.AttemptID,
		"object":       objectOf(call.Body),
	})
	return api.CallAnswer{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

// refuse answers that the call did not run.
func refuse(ctx *fasthttp.RequestCtx, leaving bool) {
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	ctx.Response.Header.Set(service.HeaderNotRun, "true")
	if leaving {
		ctx.Response.Header.Set(service.HeaderLeaving, "true")
	}
	ctx.SetBodyString("refused")
}

// lookup answers a lookup with the answer of the execution that was found.
// Otherwise it answers with 410 if the attempt is now barred and with 404 if the
// outcome is unknown.
func (s *Server) lookup(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.lookups++
	s.mu.Unlock()
	if s.isLeaving() {
		refuse(ctx, true)
		return
	}
	query := ctx.QueryArgs()
	attemptID, key := string(query.Peek("attempt")), string(query.Peek("key"))
	run, ok := s.ledger.find(attemptID, key, s.options.BarOnLookup)
	switch {
	case ok:
		body, _ := json.Marshal(run.Answer)
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	case s.options.BarOnLookup:
		ctx.SetStatusCode(http.StatusGone)
		ctx.Response.Header.Set(service.HeaderNotRun, "true")
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// ListenError reports that the server could not listen on its address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// discardLogger discards fasthttp's log lines about connections that injected
// faults have closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
