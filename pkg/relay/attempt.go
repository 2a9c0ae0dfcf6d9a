package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/quarantine"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
)

const (
	// maxForeignResponses limits the responses to other requests that are
	// skipped on one connection.
	maxForeignResponses = 4
	// maxBufferedResponseBytes limits a response that is buffered before it is
	// forwarded.
	maxBufferedResponseBytes = 32 << 20
	// maxRefusalBytes limits the body of a response which states that the request did not run.
	maxRefusalBytes = 64 << 10
	// maxSyncWriteBytes is the size up to which a request fits the send and
	// receive windows of a connection, so that it is written in full before the
	// response is read.
	maxSyncWriteBytes = 8 << 10
	// idempotentWaitFactor and latencyTargetFactor set how long an idempotent
	// request waits for a silent server before it is sent to another one: a
	// multiple of the expected wait and a fraction of the latency target,
	// whichever is longer.
	idempotentWaitFactor = 4.0
	latencyTargetFactor  = 0.6
	// streamWaitFactor is the multiple of the expected wait or the latency
	// target, whichever is longer, after which a resumable stream without a
	// first event is sent to another server.
	streamWaitFactor = 3.0
	// eventGapFactor is the multiple of the target gap between events after
	// which a resumable stream continues on another server.
	eventGapFactor = 3.0
	// silenceGapFactor is the multiple of the target gap between events during
	// which an engine may send nothing to this daemon: in a deployment with many
	// daemons, a daemon may have only a single request at an engine.
	silenceGapFactor = 4.0
	// minSilenceLimit is the least time after which an engine that sends nothing
	// to this daemon is considered stalled; its steps take milliseconds.
	minSilenceLimit = 1200 * time.Millisecond
)

// serverAttempt is one attempt at one server over one connection.
type serverAttempt struct {
	*exchange
	conn     *backendconn.Conn
	decision *placement.Decision
	// id identifies the attempt to the controller.
	id        string
	startedAt time.Time
	result    placement.Result
	// mayHaveRunBefore is set if a server of an earlier attempt may have begun
	// to run the request.
	mayHaveRunBefore bool
	// writeResult receives the result of a write that runs concurrently with
	// reading the response; it is nil if the request was written synchronously.
	writeResult chan error
	// runConfirmed is set once it is known that the run in the entry of the server answers.
	runConfirmed bool
	// answered is set once it is known whether the server answers on this connection.
	answered bool
	// eventsReceived is the number of new events that this server has sent.
	eventsReceived int
	// reusable is set when the response was read to its end and the connection
	// may carry another request.
	reusable bool
	// serverIdleTimeout is the idle timeout that the server states, or 0.
	serverIdleTimeout time.Duration
	// stalled is set when the connection was closed because the server sent
	// nothing.
	stalled atomic.Bool
	// deadlinePassed is set when the connection was closed at the deadline, or at the end of the
	// grace period of a planned stop.
	deadlinePassed atomic.Bool
	// stop holds the functions that stop the timers of the attempt.
	stop []func() bool
	// mu guards the timers.
	mu sync.Mutex
	// firstPartTimer and eventGapTimer fire when the first part of the response
	// or the next event is late.
	firstPartTimer *time.Timer
	eventGapTimer  *time.Timer
}

// send writes the request and reports whether the write has not failed so far.
func (s *serverAttempt) send() bool {
	s.startTimers()
	server := &s.decision.Server
	s.handler.quarantine.Started(quarantine.Attempt{ID: s.id, Request: s.ID, Fingerprint: s.fingerprint, Server: server.RunID(), Address: server.Address,
		Parts: s.partFingerprints})
	a := &Attempt{Server: s.decision.Server, Account: s.accountName(), EnginePriority: enginePriority(s.rank(), s.decision.Order), LastEventID: s.resumeEventID(),
		TimeLeft: time.Until(s.deadline)}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", s.Method, s.Target, s.Host)
	header := s.handler.codec.BackendHeader(s.Request, a)
	if s.Body.Len() > 0 || s.Method == http.MethodPost || s.Method == http.MethodPut {
		header.Set("Content-Length", strconv.FormatInt(s.Body.Len(), 10))
	}
	if err := header.Write(&out); err != nil {
		klog.ErrorS(err, "failed to encode request header", "request", s.ID)
		return false
	}
	out.WriteString("\r\n")
	s.conn.Carries(s.ID)
	s.mayHaveRunBefore, s.exchange.mayHaveRun = s.exchange.mayHaveRun, true
	if int64(out.Len())+s.Body.Len() <= maxSyncWriteBytes {
		return writeRequest(s.conn, &out, s.Body) == nil
	}
	s.writeResult = make(chan error, 1)
	go func() { s.writeResult <- writeRequest(s.conn, &out, s.Body) }()
	return true
}

// writeRequest writes the head of a request and its body. Only a short body is copied, so that both
// are sent at once.
func writeRequest(w io.Writer, head *bytes.Buffer, body *intake.Buffer) error {
	if int64(head.Len())+body.Len() <= maxSyncWriteBytes {
		// Writing to a buffer doesn't fail.
		_, _ = body.WriteTo(head)
		body = nil
	}
	if _, err := w.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := body.WriteTo(w)
	return err
}

// resumeEventID returns the ID of the last event that the caller received.
func (x *exchange) resumeEventID() string {
	if x.lastSentEventID != "" {
		return x.lastSentEventID
	}
	return x.LastEventID
}

// startTimers arranges that the connection is closed when the caller disconnects
// (except on routes that run a request once), at the deadline, and when the
// first part of a repeatable request's response is late.
func (s *serverAttempt) startTimers() {
	closeNow := func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) }
	if s.route.Kind != catalog.KindOnce {
		s.stop = append(s.stop, context.AfterFunc(s.caller, closeNow))
	}
	end := func() {
		s.deadlinePassed.Store(true)
		closeNow()
	}
	s.stop = append(s.stop, time.AfterFunc(time.Until(s.deadline)+deadlineSlack, end).Stop, s.handler.onEnd(end))
	if firstPartTimeout := s.firstPartTimeout(); firstPartTimeout > 0 && s.attempts < s.route.MaxAttempts {
		s.mu.Lock()
		s.firstPartTimer = time.AfterFunc(firstPartTimeout, s.handleSilence)
		s.mu.Unlock()
		s.stop = append(s.stop, s.firstPartTimer.Stop)
	}
}

// handleSilence ends an attempt at a server that sends nothing. A stream keeps
// waiting while its engine sends data for other requests, because the engine is
// busy with more urgent ones and another engine would have to process the prompt
// again. It also keeps waiting while the retry budget is spent, because it could
// not continue on another server.
func (s *serverAttempt) handleSilence() {
	if s.route.Kind == catalog.KindStream {
		silenceLimit := max(minSilenceLimit, time.Duration(silenceGapFactor*float64(s.route.EventGapTarget)))
		if silentFor := s.handler.controller.SilentFor(s.decision.Server.ID); silentFor < silenceLimit {
			s.activeTimer().Reset(silenceLimit - silentFor)
			return
		}
		if !s.handler.controller.CanRetry(s.service) {
			s.activeTimer().Reset(silenceLimit)
			return
		}
	}
	s.stalled.Store(true)
	_ = s.conn.SetDeadline(time.Unix(1, 0))
}

// activeTimer returns the timer in use: the one for event gaps if events have
// arrived, otherwise the one for the first part.
func (s *serverAttempt) activeTimer() *time.Timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eventGapTimer != nil {
		return s.eventGapTimer
	}
	return s.firstPartTimer
}

func (s *serverAttempt) stopFirstPartTimer() {
	if s.firstPartTimer != nil {
		s.firstPartTimer.Stop()
	}
}

// firstPartTimeout returns how long to wait for the first part of the response;
// 0 means until the deadline. It does not grow while the answers of the service are late, as a
// stalled server would keep requests for longer.
func (s *serverAttempt) firstPartTimeout() time.Duration {
	switch {
	case s.route.Kind == catalog.KindIdempotent:
		return max(time.Duration(idempotentWaitFactor*float64(s.decision.UncorrectedWait)), time.Duration(latencyTargetFactor*float64(s.route.LatencyTarget)))
	case s.route.Kind == catalog.KindStream && s.route.Resumable:
		return time.Duration(streamWaitFactor * float64(max(s.decision.UncorrectedWait, s.route.LatencyTarget)))
	default:
		return 0
	}
}

// receive reads the header of the response to this request. Responses to earlier
// requests on the connection are skipped. A failure that names no request is the
// response only if the connection carried no other request: a faulty server may write the
// response to that again while it runs this one. The description of a run is no failure.
func (s *serverAttempt) receive() (*http.Response, ResponseInfo, bool) {
	request := &http.Request{Method: s.Method}
	// said holds what skipped responses say of the server, unless its address turns out to
	// belong to another one.
	var said []Statements
	misdirected := false
	defer func() {
		for i := range said {
			if !misdirected {
				s.handler.controller.Said(&s.decision.Server, s.startedAt, said[i])
			}
		}
	}()
	for range maxForeignResponses {
		response, err := s.conn.ReadResponse(request)
		if err != nil {
			s.cause = "read response: " + err.Error()
			return nil, ResponseInfo{}, false
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		info := s.handler.codec.ResponseInfo(response)
		if info.RequestID == s.ID || info.RequestID == "" && response.StatusCode/100 != 2 && !s.conn.Reused {
			s.said = info.Statements
			s.readKeepAliveTimeout(response)
			s.answers(true)
			s.handler.controller.Alive(s.decision.Server.ID)
			if misdirected = response.StatusCode == http.StatusMisdirectedRequest; !misdirected {
				s.handler.controller.Answered(&s.decision.Server, s.startedAt, info.Statements)
			}
			return response, info, true
		}
		klog.InfoS("skipped response to another request", "request", s.ID, "other", info.RequestID, "server", s.decision.Server.ID,
			"status", response.StatusCode, "leaving", info.Leaving, "pauseMs", info.RetryAfter.Milliseconds())
		if info.RequestID == "" {
			// It may be a description, which states no limits.
			info.RequestLimit = serverlimit.Statement{Unreadable: true}
		}
		said = append(said, info.Statements)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponseBytes)); err != nil {
			s.cause = "read response to another request: " + err.Error()
			return nil, ResponseInfo{}, false
		}
	}
	s.cause = "received only responses to other requests"
	return nil, ResponseInfo{}, false
}

// readKeepAliveTimeout reads the idle timeout in seconds from the Keep-Alive
// header of a response.
func (s *serverAttempt) readKeepAliveTimeout(response *http.Response) {
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				s.serverIdleTimeout = time.Duration(n) * time.Second
			}
		}
	}
}

// handleRefusal handles a response which states that the request did not run.
func (s *serverAttempt) handleRefusal(response *http.Response) outcome {
	s.result = placement.ResultRefused
	s.handler.quarantine.Resolved(s.id, false)
	s.exchange.mayHaveRun = s.mayHaveRunBefore
	if response.StatusCode == http.StatusServiceUnavailable {
		s.handler.controller.TurnedAway(s.decision)
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		s.handler.controller.Misdirected(s.decision.Server.ID)
		s.result = placement.ResultFailed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	s.reusable = err == nil && n < maxRefusalBytes && !response.Close
	s.status = response.StatusCode
	return outcomeNotRun
}

// handleIncomplete handles a response that is missing, incomplete or unsealed. If
// the server has crashed, the request is suspected of having caused that.
func (s *serverAttempt) handleIncomplete() outcome {
	switch {
	case s.caller.Err() != nil:
		return s.callerDisconnected()
	case s.deadlinePassed.Load():
		s.handler.quarantine.Abandoned(s.id, s.position())
		s.result = placement.ResultFailed
		s.timedOut()
		return outcomeDone
	}
	s.result = placement.ResultFailed
	s.answers(false)
	crashed := s.checkCrash()
	s.handler.controller.Failed(s.id, crashed)
	klog.InfoS("server broke off", "request", s.ID, "fingerprint", s.fingerprint.Short(), "pathFingerprint", s.pathFingerprint.Short(), "server", s.decision.Server.ID,
		"stalled", s.stalled.Load(), "reused", s.conn.Reused, "crashed", crashed, "event", s.lastSentEventID, "parts", s.sharedPartIDs(), "cause", s.cause,
		"afterMs", time.Since(s.startedAt).Milliseconds())
	s.handler.metrics.brokenAttempts.WithLabelValues(strconv.FormatBool(s.conn.Reused), strconv.FormatBool(s.stalled.Load()),
		strconv.FormatBool(crashed)).Inc()
	return outcomeIncomplete
}

// answers records whether a server answers on a new connection, which shows whether this
// daemon reaches it.
func (s *serverAttempt) answers(ok bool) {
	switch {
	case s.conn.Reused || s.answered:
	case ok:
		s.handler.controller.Connected(&s.decision.Server, reach.Accepted)
	case !s.stalled.Load():
		s.handler.controller.Connected(&s.decision.Server, reach.Broken)
	}
	s.answered = true
}

// checkCrash reports whether the server has crashed, as far as that shows at once.
// A silent server is checked in the background, since that may take as long as a
// connection attempt and another server can run the request meanwhile.
func (s *serverAttempt) checkCrash() bool {
	if s.stalled.Load() {
		go s.handler.quarantine.Broken(context.WithoutCancel(s.caller), s.id, s.position())
		return false
	}
	return s.handler.quarantine.Broken(s.caller, s.id, s.position())
}

// position returns how many events of the answer the caller has received, from
// this and earlier attempts.
func (s *serverAttempt) position() int {
	if n, err := strconv.Atoi(s.resumeEventID()); err == nil {
		return n
	}
	return s.eventsSent
}

// recordStart records the first part of the response and counts the request
// towards the account's usage unless it is already counted.
func (s *serverAttempt) recordStart() {
	s.firstPart()
	s.handler.metrics.firstPart.WithLabelValues(s.route.Kind.String()).Observe(time.Since(s.receivedAt).Seconds())
	if !s.startCounted && s.account != nil {
		s.startCounted = true
		s.handler.controller.Began(s.account.Name)
	}
}

// firstPart records when the first part of this server's response arrived.
func (s *serverAttempt) firstPart() {
	s.firstPartAfter = time.Since(s.startedAt)
	s.handler.controller.FirstEvent(s.id)
}

// finish stops the timers, records the result of the attempt, and returns the
// connection to the pool or closes it.
func (s *serverAttempt) finish() {
	for _, stop := range s.stop {
		stop()
	}
	if s.result == 0 {
		s.result = placement.ResultFailed
	}
	s.handler.controller.Finished(s.id, s.result)
	if s.reusable && s.writeDone() {
		s.handler.pool.Put(s.conn, s.serverIdleTimeout)
		return
	}
	s.handler.pool.Discard(s.conn)
}

// endWriteTimeout is how long the write of a request may go on after its response has ended with the
// connection. A write fails at once on a connection that was reset.
const endWriteTimeout = 100 * time.Millisecond

// endWrite waits for the end of a write that runs concurrently with reading the response, and returns
// its error.
func (s *serverAttempt) endWrite() error {
	if s.writeResult == nil {
		return nil
	}
	timer := time.AfterFunc(endWriteTimeout, func() { _ = s.conn.SetWriteDeadline(time.Unix(1, 0)) })
	defer timer.Stop()
	err := <-s.writeResult
	s.writeResult <- err
	return err
}

// writeDone reports whether the whole request was written. A connection on which
// a body is still being written cannot carry another request.
func (s *serverAttempt) writeDone() bool {
	if s.writeResult == nil {
		return true
	}
	select {
	case err := <-s.writeResult:
		return err == nil
	default:
		return false
	}
}
