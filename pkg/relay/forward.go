package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// A daemon that has lost its links to the servers of a service forwards the requests for
// them to one that has not. The receiving daemon treats a request as if its caller had sent
// it there, except that it neither charges it nor forwards it again: the first daemon has
// checked its key and charged it.

// Headers between daemons. They never reach callers or servers.
const (
	// headerForwardedBy names the daemon that forwards a request.
	headerForwardedBy = "Forwarded-By-Daemon"
	// headerForwardedConfiguration is the version of the configuration in force there.
	headerForwardedConfiguration = "Forwarded-Configuration"
	// headerForwardedAttempts is the number of attempts at servers made there.
	headerForwardedAttempts = "Forwarded-Attempts"
	// headerForwardedStream is the ID of the attempt that brought the first event of a stream
	// which goes on.
	headerForwardedStream = "Forwarded-Stream"
	// headerForwardedOrigin is the service and the version that began the stream, as a query
	// string, where that daemon knows them. It is named in Connection, as headerForwardedServer is.
	headerForwardedOrigin = "Forwarded-Origin"
	// headerForwardedOutcome is the outcome that the receiving daemon states.
	headerForwardedOutcome = "Forwarded-Outcome"
	// headerForwardedServer is the run of the server whose response it is. It is named in
	// Connection, so that daemons that do not know it don't pass it on either.
	headerForwardedServer = "Forwarded-Server"
)

// Values of headerForwardedOutcome.
const (
	// forwardAnswered marks a response of a server.
	forwardAnswered = "answered"
	// forwardElsewhere means that the request did not run and that another daemon may run it.
	forwardElsewhere = "elsewhere"
	// forwardNotRun means that the request did not run and should not be forwarded again.
	forwardNotRun = "not-run"
	// forwardUnknown means that the request may have run.
	forwardUnknown = "unknown"
)

const (
	// maxForwards limits the daemons to which one request is forwarded.
	maxForwards = 2
	// maxForwardConnections limits the connections for forwarded requests to one daemon.
	maxForwardConnections = 1000
	// forwardDeadlineSlack is how long after the deadline the response of another daemon is
	// still accepted, which itself accepts that of a server for deadlineSlack.
	forwardDeadlineSlack = deadlineSlack + 40*time.Millisecond
	// forwardWaitFactor is the multiple of the latency target after which a repeatable
	// request is given up at a daemon that sends nothing. That daemon gives up silent
	// servers sooner.
	forwardWaitFactor = 4.0
	// unreachableRetryAfter is the Retry-After value while no daemon reaches the servers of a
	// service. They are probed twice in this time.
	unreachableRetryAfter = time.Second
	// busyRetryAfter is the Retry-After value of a daemon that takes no more forwarded
	// requests.
	busyRetryAfter = 500 * time.Millisecond
	// maxProblemBytes limits the body of a problem from another daemon.
	maxProblemBytes = 64 << 10
)

// ForwardTarget is a daemon that accepts forwarded requests.
type ForwardTarget struct {
	Node    string
	Address string
}

// hop is what is known of a request that another daemon has forwarded.
type hop struct {
	from string
	// configVersion is the version of the configuration in force at that daemon.
	configVersion int64
	attempts      int
	// stream is the ID of the attempt that brought the first event of a stream that goes on.
	stream string
	// origin is the service and the version that began it, if that daemon knows them.
	origin *streamversion.Origin
}

// hopOrigin returns the origin of the stream that goes on as the daemon that has forwarded the
// request knows it.
func (x *exchange) hopOrigin() (streamversion.Origin, bool) {
	if x.hop == nil || x.hop.origin == nil {
		return streamversion.Origin{}, false
	}
	return *x.hop.origin, true
}

// Fields of headerForwardedOrigin.
const (
	originService = "service"
	originVersion = "version"
)

// decodeOrigin decodes headerForwardedOrigin, which is empty if the origin is not known.
func decodeOrigin(from, encoded string) *streamversion.Origin {
	if encoded == "" {
		return nil
	}
	fields, err := url.ParseQuery(encoded)
	if err != nil || !fields.Has(originService) || fields.Get(originVersion) == "" {
		klog.InfoS("unreadable origin of a forwarded stream", "from", from, "origin", encoded, "err", err)
		return nil
	}
	return &streamversion.Origin{Service: fields.Get(originService), Version: fields.Get(originVersion)}
}

// hopOf returns the hop of a forwarded request and removes its headers.
func hopOf(r *http.Request) *hop {
	configVersion, err := strconv.ParseInt(r.Header.Get(headerForwardedConfiguration), 10, 64)
	attempts, errAttempts := strconv.Atoi(r.Header.Get(headerForwardedAttempts))
	h := &hop{from: r.Header.Get(headerForwardedBy), configVersion: configVersion, attempts: attempts, stream: r.Header.Get(headerForwardedStream)}
	if err != nil || errAttempts != nil {
		klog.InfoS("unreadable header of a forwarded request", "from", h.from, "err", errors.Join(err, errAttempts))
	}
	h.origin = decodeOrigin(h.from, r.Header.Get(headerForwardedOrigin))
	for _, name := range []string{headerForwardedBy, headerForwardedConfiguration, headerForwardedAttempts, headerForwardedStream, headerForwardedOrigin} {
		r.Header.Del(name)
	}
	return h
}

// IsForwarded reports whether another daemon has forwarded a request. It must be asked only
// of requests on addresses that callers do not reach.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardedBy) != "" }

// ServeForwarded serves a request that another daemon has forwarded.
func (h *Handler) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	from := hopOf(r)
	x := &exchange{handler: h, w: &responseWriter{w, h}, caller: r.Context(), receivedAt: time.Now(), Request: h.codec.Decode(r), hop: from, attempts: from.attempts}
	x.ResumedID = cmp.Or(from.stream, x.ResumedID)
	x.held = h.intake.Begin(r.Context(), r.RemoteAddr)
	defer x.held.End()
	defer x.record()
	if !h.acceptsForwarded() {
		x.refuse(r, stoppingProblem())
		return
	}
	release, ok := h.controller.AdmitForwarded()
	if !ok {
		x.refuse(r, elsewhereProblem("too many forwarded requests", busyRetryAfter))
		return
	}
	defer release()
	if problem := x.accept(r); problem != nil {
		x.refuse(r, problem)
		return
	}
	x.readyAt = time.Now()
	x.run()
	x.end()
}

// elsewhereProblem returns the problem of a forwarded request that another daemon may run.
func elsewhereProblem(detail string, after time.Duration) *api.Problem {
	return api.NewNotRunProblem(api.ProblemNoBackendServer, http.StatusServiceUnavailable, detail).WithRetryAfter(after)
}

// checkHop checks whether this daemon may run a forwarded request. One with an older
// configuration than the daemon that has forwarded it could revert a change for its caller.
func (x *exchange) checkHop(configVersion int64) *api.Problem {
	if x.hop == nil || x.hop.configVersion <= configVersion {
		return nil
	}
	return elsewhereProblem("older configuration", busyRetryAfter)
}

// forwardOutcome returns the outcome to state to the daemon that has forwarded the request.
func (x *exchange) forwardOutcome(p *api.Problem) string {
	switch {
	case p.Outcome != api.OutcomeNotRun:
		return forwardUnknown
	case x.quarantineDetail != "" || p.Status != http.StatusServiceUnavailable:
		return forwardNotRun
	default:
		return forwardElsewhere
	}
}

// shouldForward reports whether the request is to be forwarded now, or rejected because
// this daemon does not reach the servers of its service.
func (x *exchange) shouldForward() bool {
	return !x.handler.controller.Reaches(x.service)
}

// forward sends the request to a daemon that reaches the servers of its service, and to
// another one if the first has not run it. It returns false if the request should be sent to
// a server from here.
func (x *exchange) forward(lastFailure *bufferedResponse) bool {
	if x.hop != nil {
		x.answerUnreachable(lastFailure, unreachableRetryAfter)
		return true
	}
	after := unreachableRetryAfter
	var tried []string
	for len(tried) < maxForwards {
		target, ok := x.handler.controller.ForwardTo(x.service, tried)
		if !ok {
			break
		}
		if time.Until(x.deadline) < minTimeLeft {
			x.timedOut()
			return true
		}
		tried = append(tried, target.Node)
		done, retryAfter := x.forwardTo(target, lastFailure)
		if done {
			return true
		}
		after = max(after, retryAfter)
	}
	if len(tried) == 0 && x.handler.controller.MayReach(x.service) {
		return false
	}
	x.answerUnreachable(lastFailure, after)
	return true
}

// forwardToSender sends the request to the daemon that sends those of all daemons to a
// server. It returns false if the request may go to another server.
func (x *exchange) forwardToSender(node string, lastFailure *bufferedResponse) bool {
	target, ok := x.handler.controller.ForwardToSender(node)
	if !ok {
		return false
	}
	done, _ := x.forwardTo(target, lastFailure)
	return done
}

// forwardTo sends the request to another daemon. It returns whether that has ended the
// request, and otherwise the time after which the daemon may take it.
func (x *exchange) forwardTo(target ForwardTarget, lastFailure *bufferedResponse) (done bool, retryAfter time.Duration) {
	f := &forwardAttempt{exchange: x, target: target, startedAt: time.Now()}
	result := f.run()
	klog.InfoS("forwarded", "request", x.ID, "to", target.Node, "service", x.service, "outcome", result.String(), "stated", f.stated,
		"cause", f.failure, "attempt", x.attempts, "configuration", x.configVersion, "tookMs", time.Since(f.startedAt).Milliseconds())
	x.handler.metrics.forwarded.WithLabelValues(result.String()).Inc()
	if result == outcomeIncomplete {
		// The other daemon may have used all attempts but one.
		x.attempts = max(x.attempts+1, x.route.MaxAttempts-1)
		if !x.mayRetry(result) {
			x.answerFailed(result, lastFailure)
			return true, 0
		}
	}
	if f.refusal != nil {
		x.answerRefused(f.refusal, lastFailure)
		return true, 0
	}
	return result == outcomeDone, f.retryAfter
}

// answerRefused answers a request that another daemon has refused. A server may have run it before.
func (x *exchange) answerRefused(refusal *api.Problem, lastFailure *bufferedResponse) {
	switch {
	case lastFailure != nil:
		x.writeResponse(lastFailure)
	case x.mayHaveRun:
		x.abort(refusal.Detail)
	default:
		x.refundAndReject(refusal)
	}
}

// answerUnreachable answers a request whose service no daemon reaches, as far as this one
// knows.
func (x *exchange) answerUnreachable(lastFailure *bufferedResponse, after time.Duration) {
	switch {
	case lastFailure != nil:
		x.writeResponse(lastFailure)
	case x.mayHaveRun:
		x.abort("servers out of reach")
	default:
		x.refundAndReject(elsewhereProblem("servers out of reach", after))
	}
}

// forwardAttempt is the sending of one request to another daemon.
type forwardAttempt struct {
	*exchange
	target    ForwardTarget
	startedAt time.Time
	conn      *backendconn.Conn
	// stated is the outcome that the daemon has stated, and retryAfter the time after which
	// a request that did not run may be sent again.
	stated     string
	retryAfter time.Duration
	failure    string
	// refusal is set if the request did not run and should not be sent to another daemon.
	refusal  *api.Problem
	reusable bool
	// silent is set when the connection was closed because the daemon sent nothing, and
	// stopSilence stops the timer for that; it may be nil.
	silent      atomic.Bool
	stopSilence func() bool
}

// run sends the request and passes the response on. It returns outcomeNotRun if the request
// did not run and may be sent to another daemon.
func (f *forwardAttempt) run() outcome {
	pool := f.handler.forwardPool
	conn, err := pool.Get(f.caller, f.target.Address, f.target.Address, maxForwardConnections)
	if err != nil {
		f.failure = err.Error()
		return outcomeNotRun
	}
	f.conn = conn
	stop := f.startTimers()
	// An answer that can't follow the events of a stream aborts the handler.
	defer func() {
		stop()
		if f.reusable {
			pool.Put(conn, forwardIdleTimeout)
		} else {
			pool.Discard(conn)
		}
	}()
	result := f.exchangeMessages()
	if result == outcomeIncomplete && f.caller.Err() != nil {
		f.exchange.status, f.exchange.cause = statusCallerDisconnected, "caller disconnected"
		return outcomeDone
	}
	return result
}

// forwardIdleTimeout is the idle time for which daemons keep connections for forwarded
// requests.
const forwardIdleTimeout = 5 * time.Second

// startTimers arranges that the connection is closed when the caller disconnects (except on
// routes that run a request once), at the deadline, and when the daemon of a repeatable
// request is silent. It returns a function that stops them.
func (f *forwardAttempt) startTimers() func() {
	closeNow := func() { _ = f.conn.SetDeadline(time.Unix(1, 0)) }
	var stops []func() bool
	if f.route.Kind != catalog.KindOnce {
		stops = append(stops, context.AfterFunc(f.caller, closeNow))
	}
	stops = append(stops, time.AfterFunc(time.Until(f.deadline)+forwardDeadlineSlack, closeNow).Stop, f.handler.onEnd(closeNow))
	if f.route.Repeatable() {
		silence := time.AfterFunc(time.Duration(forwardWaitFactor*float64(f.route.LatencyTarget)), func() {
			f.silent.Store(true)
			closeNow()
		})
		stops = append(stops, silence.Stop)
		f.stopSilence = silence.Stop
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// exchangeMessages writes the request and handles the response.
func (f *forwardAttempt) exchangeMessages() outcome {
	before := f.mayHaveRun
	f.mayHaveRun = true
	if err := f.write(); err != nil {
		f.failure = "write request: " + err.Error()
		return outcomeIncomplete
	}
	response, err := f.conn.ReadResponse(&http.Request{Method: f.Method})
	if err != nil {
		f.failure = "read response: " + err.Error()
		return outcomeIncomplete
	}
	if f.stopSilence != nil {
		f.stopSilence()
	}
	f.stated = response.Header.Get(headerForwardedOutcome)
	response.Header.Del(headerForwardedOutcome)
	switch f.stated {
	case forwardAnswered:
		if endsWithConnection(response) && f.Method != http.MethodHead {
			// Daemons always state a length or send chunks.
			f.failure = "response without a length"
			return outcomeIncomplete
		}
		f.hear(response)
		if f.route.Kind == catalog.KindStream && response.StatusCode/100 == 2 {
			return f.passStream(response)
		}
		return f.passBuffered(response)
	case forwardElsewhere, forwardNotRun:
		f.mayHaveRun = before
		return f.handleNotRun(response)
	case forwardUnknown:
		detail, err := f.readProblem(response)
		if err != nil {
			f.failure = "read problem: " + err.Error()
			return outcomeIncomplete
		}
		f.writeUnknownOutcome(response.StatusCode, detail)
		return outcomeDone
	default:
		f.failure = "no outcome stated, status " + strconv.Itoa(response.StatusCode)
		return outcomeIncomplete
	}
}

// hear applies what a server says of itself in a response that another daemon passes on. This
// daemon passes it on, too, and may send requests there later. A pause is meant for the daemon
// that has sent the request.
func (f *forwardAttempt) hear(response *http.Response) {
	run := response.Header.Get(headerForwardedServer)
	response.Header.Del(headerForwardedServer)
	id, startedUnixMilli, ok := fleet.SplitRunID(run)
	if !ok {
		// An earlier version of the daemon does not state it.
		klog.V(1).InfoS("forwarded response without its server", "request", f.ID, "to", f.target.Node, "server", run)
		return
	}
	said := f.handler.codec.ResponseInfo(response).Statements
	said.RetryAfter = 0
	f.handler.controller.Said(&fleet.Server{ID: id, Service: f.service, StartedUnixMilli: startedUnixMilli}, f.startedAt, said)
}

// write writes the request as the caller sent it, with the time that is left.
func (f *forwardAttempt) write() error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", f.Method, f.Target, f.Host)
	last := f.resumeEventID()
	header := f.handler.codec.ForwardHeader(f.Request, time.Until(f.deadline), last)
	if last != "" {
		header.Set(headerForwardedStream, f.streamID())
	}
	if f.begun && f.version != "" {
		header.Set(headerForwardedOrigin, url.Values{originService: {f.service}, originVersion: {f.version}}.Encode())
		header.Add("Connection", headerForwardedOrigin)
	}
	header.Set(headerForwardedBy, f.handler.node)
	header.Set(headerForwardedConfiguration, strconv.FormatInt(f.configVersion, 10))
	header.Set(headerForwardedAttempts, strconv.Itoa(f.attempts))
	if f.Body.Len() > 0 || f.Method == http.MethodPost || f.Method == http.MethodPut {
		header.Set("Content-Length", strconv.FormatInt(f.Body.Len(), 10))
	}
	if err := header.Write(&out); err != nil {
		return err
	}
	out.WriteString("\r\n")
	return writeRequest(f.conn, &out, f.Body)
}

// handleNotRun handles a response which states that the request did not run.
func (f *forwardAttempt) handleNotRun(response *http.Response) outcome {
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		f.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	detail, err := f.readProblem(response)
	if err != nil {
		// The header is what counts; the body only explains it.
		f.failure = "read problem: " + err.Error()
	}
	if f.stated == forwardElsewhere {
		f.failure = detail
		return outcomeNotRun
	}
	f.refusal = api.NewNotRunProblem(api.ProblemNoBackendServer, response.StatusCode, detail).WithRetryAfter(f.retryAfter)
	return outcomeNotRun
}

// readProblem reads a problem of another daemon and returns its title.
func (f *forwardAttempt) readProblem(response *http.Response) (string, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return "", err
	}
	f.reusable = !response.Close
	var problem problemBody
	if err := json.Unmarshal(body, &problem); err != nil {
		return "", err
	}
	return problem.Title, nil
}

// passBuffered passes a complete response on.
func (f *forwardAttempt) passBuffered(response *http.Response) outcome {
	body, err := f.readAnswer(f.conn, response)
	if err != nil {
		f.failure = "read body: " + err.Error()
		return outcomeIncomplete
	}
	f.reusable = !response.Close
	f.writeResponse(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
	return outcomeDone
}

// passStream passes the events of a stream on as they arrive.
func (f *forwardAttempt) passStream(response *http.Response) outcome {
	if err := f.checkContinuation(response); err != nil {
		f.failure = err.Error()
		return outcomeIncomplete
	}
	events := newEventReader(response.Body)
	control := http.NewResponseController(f.w)
	for {
		event, err := events.next()
		if err == io.EOF {
			f.writeHeader(response)
			f.sentAll = true
			f.reusable = !response.Close
			return outcomeDone
		}
		if err != nil {
			f.failure = "read event: " + err.Error()
			return outcomeIncomplete
		}
		if err := f.checkNumbered(event); err != nil {
			f.failure = err.Error()
			return outcomeIncomplete
		}
		if !f.isNewEvent(event.id) {
			continue
		}
		f.writeHeader(response)
		if _, err := f.w.Write(event.raw); err != nil {
			f.failure = "write event: " + err.Error()
			return outcomeIncomplete
		}
		if err := control.Flush(); err != nil {
			f.failure = "write event: " + err.Error()
			return outcomeIncomplete
		}
		f.beganElsewhere = f.beganElsewhere || !f.begun
		f.begun = true
		f.sentEvent(event)
	}
}

// writeHeader sends the header of the response before its first event. A stream that goes
// on keeps the first header.
func (f *forwardAttempt) writeHeader(response *http.Response) {
	if f.sentHeader {
		return
	}
	f.sentHeader = true
	f.exchange.status = response.StatusCode
	f.copyResponseHeader(response.Header)
	f.w.WriteHeader(response.StatusCode)
}
