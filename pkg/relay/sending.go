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

	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

const (
	// maxForeignResponses bounds the answers to other requests that are skipped
	// on one connection.
	maxForeignResponses = 4
	// maxBufferedResponseBytes bounds an answer that is held before it is passed on.
	maxBufferedResponseBytes = 32 << 20
	// maxSyncWriteBytes is the size up to which a request fits the windows of a
	// connection, so that it is written before the answer is awaited.
	maxSyncWriteBytes = 8 << 10
	// idempotentWaitFactor and latencyTargetFactor set how long an idempotent request waits
	// for a silent server before another one is asked: a multiple of the
	// expected time, and a part of the latency target.
	idempotentWaitFactor = 4.0
	latencyTargetFactor  = 0.6
	// streamWaitFactor is the multiple of the expected wait and of the latency
	// target after which a resumable stream without a first event is sent to
	// another server.
	streamWaitFactor = 3.0
	// eventGapFactor is the multiple of the targeted pause between events after
	// which a resumable stream goes on at another server.
	eventGapFactor = 3.0
	// silenceGapFactor is the multiple of the targeted pause between events for
	// which an engine may be silent to a daemon: where there are many daemons,
	// one of them may have a single request at an engine.
	silenceGapFactor = 4.0
	// minSilenceLimit is how long an engine that runs anything at all may be silent
	// to a daemon; its steps take milliseconds.
	minSilenceLimit = 1200 * time.Millisecond
)

// sending is one attempt on one connection.
type serverAttempt struct {
	*exchange
	conn      *backendconn.Conn
	decision  *placement.Decision
	id        string
	startedAt time.Time
	result    placement.Result
	// mayHaveRunBefore is set if an earlier server may have begun to run the request.
	mayHaveRunBefore bool
	// written receives the result of a write that goes on beside the reading.
	writeResult chan error
	// reusable is set when the answer was read to its end and the connection
	// may carry another request.
	reusable          bool
	serverIdleTimeout time.Duration
	// stalled is set when the connection was closed for the server's silence.
	stalled        atomic.Bool
	deadlinePassed atomic.Bool
	stop           []func() bool
	mu             sync.Mutex
	// first and gap run out when the first or the next part is late.
	firstPartTimer *time.Timer
	eventGapTimer  *time.Timer
}

// send writes the request. It reports false if the write failed.
func (s *serverAttempt) send() bool {
	s.startTimers()
	a := &Attempt{Server: s.decision.Server, Account: s.accountName(), EnginePriority: s.enginePriority(), LastEventID: s.resumeEventID(),
		TimeLeft: time.Until(s.deadline)}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", s.Method, s.Target, s.Host)
	header := s.handler.codec.BackendHeader(s.Request, a)
	if len(s.Body) > 0 || s.Method == http.MethodPost || s.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(s.Body)))
	}
	if err := header.Write(&out); err != nil {
		klog.ErrorS(err, "write of a request's header failed", "request", s.ID)
		return false
	}
	out.WriteString("\r\n")
	out.Write(s.Body)
	s.mayHaveRunBefore, s.exchange.mayHaveRun = s.exchange.mayHaveRun, true
	if out.Len() <= maxSyncWriteBytes {
		_, err := s.conn.Write(out.Bytes())
		return err == nil
	}
	s.writeResult = make(chan error, 1)
	go func() {
		_, err := s.conn.Write(out.Bytes())
		s.writeResult <- err
	}()
	return true
}

// resumeEventID is the last event that the caller has.
func (s *serverAttempt) resumeEventID() string {
	if s.lastSentEventID != "" {
		return s.lastSentEventID
	}
	return s.LastEventID
}

// watch closes the connection when the caller leaves, at the deadline, and when
// a server is silent for longer than a repeatable request can wait.
func (s *serverAttempt) startTimers() {
	closeNow := func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) }
	if s.route.Kind != catalog.KindOnce {
		s.stop = append(s.stop, context.AfterFunc(s.caller, closeNow))
	}
	deadline := time.AfterFunc(time.Until(s.deadline)+deadlineSlack, func() {
		s.deadlinePassed.Store(true)
		closeNow()
	})
	s.stop = append(s.stop, deadline.Stop)
	if firstPartTimeout := s.firstPartTimeout(); firstPartTimeout > 0 && s.attempts < s.route.MaxAttempts {
		s.mu.Lock()
		s.firstPartTimer = time.AfterFunc(firstPartTimeout, s.handleSilence)
		s.mu.Unlock()
		s.stop = append(s.stop, s.firstPartTimer.Stop)
	}
}

// stall ends the wait for a silent server. An engine that serves others is busy
// with more urgent requests: to start elsewhere would read the prompt again. A
// stream that could not go on elsewhere is not given up.
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

// activeTimer is the timer that runs now: for the first part, or for the next.
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

// patience is how long the first part of the answer is awaited; 0 means until
// the deadline.
func (s *serverAttempt) firstPartTimeout() time.Duration {
	switch {
	case s.route.Kind == catalog.KindIdempotent:
		return max(time.Duration(idempotentWaitFactor*float64(s.decision.ExpectedWait)), time.Duration(latencyTargetFactor*float64(s.route.LatencyTarget)))
	case s.route.Kind == catalog.KindStream && s.route.Resumable:
		return time.Duration(streamWaitFactor * float64(max(s.decision.ExpectedWait, s.route.LatencyTarget)))
	default:
		return 0
	}
}

// receive reads the header of the answer to this request. Answers to earlier
// requests are skipped.
func (s *serverAttempt) receive() (*http.Response, ResponseInfo, bool) {
	request := &http.Request{Method: s.Method}
	for range maxForeignResponses {
		response, err := http.ReadResponse(s.conn.Reader, request)
		if err != nil {
			s.cause = "read answer: " + err.Error()
			return nil, ResponseInfo{}, false
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		info := s.handler.codec.ResponseInfo(response)
		if info.RequestID == s.ID || info.RequestID == "" && response.StatusCode/100 != 2 {
			s.readKeepAliveTimeout(response)
			s.handler.controller.Alive(s.decision.Server.ID)
			return response, info, true
		}
		klog.InfoS("answer to another request skipped", "request", s.ID, "other", info.RequestID, "server", s.decision.Server.ID)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponseBytes)); err != nil {
			s.cause = "read foreign answer: " + err.Error()
			return nil, ResponseInfo{}, false
		}
	}
	s.cause = "only answers to other requests"
	return nil, ResponseInfo{}, false
}

// readKeepAliveTimeout reads the idle timeout that a server states in seconds.
func (s *serverAttempt) readKeepAliveTimeout(response *http.Response) {
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				s.serverIdleTimeout = time.Duration(n) * time.Second
			}
		}
	}
}

// refused handles an answer that says the request did not run.
func (s *serverAttempt) handleRefusal(response *http.Response) outcome {
	s.result = placement.ResultRefused
	s.exchange.mayHaveRun = s.mayHaveRunBefore
	if response.StatusCode == http.StatusMisdirectedRequest {
		s.handler.controller.Misdirected(s.decision.Server.ID)
		s.result = placement.ResultFailed
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponseBytes))
	s.reusable = err == nil && !response.Close
	s.status = response.StatusCode
	return outcomeNotRun
}

// broken handles an answer that did not come or broke off.
func (s *serverAttempt) handleIncomplete() outcome {
	switch {
	case s.caller.Err() != nil:
		s.result = placement.ResultAbandoned
		s.status, s.cause = statusCallerDisconnected, "caller left"
		return outcomeDone
	case s.deadlinePassed.Load():
		s.result = placement.ResultFailed
		s.timedOut()
		return outcomeDone
	}
	s.result = placement.ResultFailed
	klog.InfoS("server broke off", "request", s.ID, "server", s.decision.Server.ID, "stalled", s.stalled.Load(),
		"reused", s.conn.Reused, "event", s.lastSentEventID, "cause", s.cause, "afterMs", time.Since(s.startedAt).Milliseconds())
	if !s.stalled.Load() && !s.conn.Reused {
		s.handler.controller.Crashed(s.fingerprint, s.decision.Server.ID, s.sentHeader)
	}
	return outcomeIncomplete
}

// began counts the request as running, once.
func (s *serverAttempt) recordStart() {
	s.firstPart()
	s.handler.metrics.firstPart.WithLabelValues(s.route.Kind.String()).Observe(time.Since(s.receivedAt).Seconds())
	if !s.startCounted && s.account != nil {
		s.startCounted = true
		s.handler.controller.Began(s.account.Name)
	}
}

// firstPart records the first part of this server's answer.
func (s *serverAttempt) firstPart() {
	s.firstPartAfter = time.Since(s.startedAt)
	s.handler.controller.FirstEvent(s.id)
}

// end releases the connection and the server's load.
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

// writeDone reports whether the request was written to its end. A connection
// that still carries a body cannot carry another request.
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
