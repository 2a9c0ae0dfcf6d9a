// Package plainservice is a stand-in of a plain service such as a booking
// system: HTTP and JSON over TCP, a look-up of what became of an attempt, a
// ledger of what really ran, and injectable faults.
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

// Fault is a failure that a call suffers.
type Fault string

// The faults that a Server can inject.
const (
	FaultNone Fault = ""
	// FaultCrashBefore stops the server before the call runs.
	FaultCrashBefore Fault = "crash_before"
	// FaultCrashAfter stops the server after the call ran, without an answer.
	FaultCrashAfter Fault = "crash_after"
	// FaultCloseBefore closes the connection before the call runs.
	FaultCloseBefore Fault = "close_before"
	// FaultAnswerLost runs the call and closes the connection.
	FaultAnswerLost Fault = "answer_lost"
	// FaultSilentBefore keeps the connection open; the call does not run.
	FaultSilentBefore Fault = "silent_before"
	// FaultSilentAfter runs the call and keeps the connection open without an
	// answer.
	FaultSilentAfter Fault = "silent_after"
	// FaultSlow runs the call after Options.SlowDelay.
	FaultSlow Fault = "slow"
	// FaultCrossedAnswer runs the call and answers for another attempt.
	FaultCrossedAnswer Fault = "crossed_answer"
	// FaultHalfAnswer runs the call and closes the connection in the middle of
	// the answer.
	FaultHalfAnswer Fault = "half_answer"
	// FaultRefuseLeaving refuses the call because the Host is leaving.
	FaultRefuseLeaving Fault = "refuse_leaving"
)

// LookupPath is the path of the look-up of attempts and keys.
const LookupPath = "/lookup"

const defaultSlowDelay = 50 * time.Millisecond

// Call describes an arriving call to the fault function.
type Call struct {
	AttemptID string
	Key       string
	Path      string
	Body      []byte
}

// Options configures a Server.
type Options struct {
	// Address is where to listen; empty means a free loopback port.
	Address string
	// Ledger is shared by the servers of one service; nil makes a new one.
	Ledger *Ledger
	// DeduplicateByKey runs each key at most once.
	DeduplicateByKey bool
	// BarOnLookup makes a look-up that finds nothing bar the attempt and
	// answer that it did not run and never will.
	BarOnLookup bool
	// SlowDelay is the delay of FaultSlow.
	SlowDelay time.Duration
	// ServiceTime delays each call before it runs.
	ServiceTime time.Duration
}

// Server is the stand-in.
type Server struct {
	options Options
	ledger  *Ledger
	address string

	mu       sync.Mutex
	fault    func(Call) Fault
	leaving  bool
	arrivals map[string]int
	lookups  int
	accepted int
	conns    map[net.Conn]struct{}
	listener net.Listener
	stopped  chan struct{}
	served   sync.WaitGroup
}

// New returns a server that listens and serves.
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

// Address returns ip:port; it stays the same over restarts.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Ledger returns what really ran.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Arrivals returns how often an attempt arrived, run or not.
func (s *Server) Arrivals(attemptID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[attemptID]
}

// Lookups returns how many look-ups arrived.
func (s *Server) Lookups() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookups
}

// Accepted returns how many connections were accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// SetFault installs the function that decides the fault of each call.
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

// Restart starts a server that has crashed or is new.
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
	s.served.Add(1)
	go s.serve(listener, s.stopped)
	return nil
}

// Crash closes the listener and all connections at once.
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

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Crash()
	s.served.Wait()
}

func (s *Server) serve(listener net.Listener, stopped chan struct{}) {
	defer s.served.Done()
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

// track registers a connection unless the server has stopped meanwhile.
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
	s.served.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn, stopped chan struct{}) {
	defer s.served.Done()
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) { s.handle(ctx, conn, stopped) },
		Logger:  discardLogger{},
		// The Date header costs a goroutine that never ends.
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
	call := Call{
		AttemptID: attemptID,
		Key:       string(ctx.Request.Header.Peek(service.HeaderIdempotencyKey)),
		Path:      string(ctx.Path()),
		Body:      append([]byte(nil), ctx.PostBody()...),
	}
	s.suffer(ctx, call, s.arrive(call), conn, stopped)
}

// arrive counts the call and decides its fault.
func (s *Server) arrive(call Call) Fault {
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

func (s *Server) suffer(ctx *fasthttp.RequestCtx, call Call, fault Fault, conn net.Conn, stopped chan struct{}) {
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
		s.spoilAnswer(ctx, fault, conn, stopped)
	}
}

// spoilAnswer applies the faults that follow the execution.
func (s *Server) spoilAnswer(ctx *fasthttp.RequestCtx, fault Fault, conn net.Conn, stopped chan struct{}) {
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

// wait reports false when the server stopped before d had passed.
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

func answerTo(call Call) api.CallAnswer {
	body, _ := json.Marshal(map[string]string{
		"confirmation": call.AttemptID,
		"object":       objectOf(call.Body),
	})
	return api.CallAnswer{Status: http.StatusOK, ContentType: "application/json", Body: body}
}

func refuse(ctx *fasthttp.RequestCtx, leaving bool) {
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	ctx.Response.Header.Set(service.HeaderNotRun, "true")
	if leaving {
		ctx.Response.Header.Set(service.HeaderLeaving, "true")
	}
	ctx.SetBodyString("refused")
}

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

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// discardLogger drops fasthttp's lines about connections that faults close.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
