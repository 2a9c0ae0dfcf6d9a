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
	// maxForeignAnswers bounds the answers to other requests that are skipped
	// on one connection.
	maxForeignAnswers = 4
	// maxPlainAnswerBytes bounds an answer that is held before it is passed on.
	maxPlainAnswerBytes = 32 << 20
	// wholeWriteBytes is the size up to which a request fits the windows of a
	// connection, so that it is written before the answer is awaited.
	wholeWriteBytes = 8 << 10
	// plainPatience and targetPatience set how long an idempotent request waits
	// for a silent server before another one is asked: a multiple of the
	// expected time, and a part of the latency target.
	plainPatience  = 4.0
	targetPatience = 0.6
	// streamPatience is the multiple of the expected wait and of the latency
	// target after which a resumable stream without a first event is sent to
	// another server.
	streamPatience = 3.0
	// gapPatience is the multiple of the targeted pause between events after
	// which a resumable stream goes on at another server.
	gapPatience = 3.0
	// silencePatience is the multiple of the targeted pause between events for
	// which an engine may be silent to a daemon: where there are many daemons,
	// one of them may have a single request at an engine.
	silencePatience = 4.0
	// aliveWithin is how long an engine that runs anything at all may be silent
	// to a daemon; its steps take milliseconds.
	aliveWithin = 1200 * time.Millisecond
)

// sending is one attempt on one connection.
type sending struct {
	*exchange
	conn      *backendconn.Conn
	decision  *placement.Decision
	id        string
	startedAt time.Time
	result    placement.Result
	// ranBefore is set if an earlier server may have begun to run the request.
	ranBefore bool
	// written receives the result of a write that goes on beside the reading.
	written chan error
	// reusable is set when the answer was read to its end and the connection
	// may carry another request.
	reusable   bool
	statedIdle time.Duration
	// stalled is set when the connection was closed for the server's silence.
	stalled atomic.Bool
	expired atomic.Bool
	stop    []func() bool
	mu      sync.Mutex
	// first and gap run out when the first or the next part is late.
	first *time.Timer
	gap   *time.Timer
}

// send writes the request. It reports false if the write failed.
func (s *sending) send() bool {
	s.watch()
	a := &Attempt{Server: s.decision.Server, Account: s.accountName(), Rank: s.rank(), LastEventID: s.resumeFrom(),
		TimeLeft: time.Until(s.deadline)}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", s.Method, s.Target, s.Host)
	header := s.front.codec.BackendHeader(s.Request, a)
	if len(s.Body) > 0 || s.Method == http.MethodPost || s.Method == http.MethodPut {
		header.Set("Content-Length", strconv.Itoa(len(s.Body)))
	}
	if err := header.Write(&out); err != nil {
		klog.ErrorS(err, "write of a request's header failed", "request", s.ID)
		return false
	}
	out.WriteString("\r\n")
	out.Write(s.Body)
	s.ranBefore, s.exchange.ran = s.exchange.ran, true
	if out.Len() <= wholeWriteBytes {
		_, err := s.conn.Write(out.Bytes())
		return err == nil
	}
	s.written = make(chan error, 1)
	go func() {
		_, err := s.conn.Write(out.Bytes())
		s.written <- err
	}()
	return true
}

// resumeFrom is the last event that the caller has.
func (s *sending) resumeFrom() string {
	if s.lastEvent != "" {
		return s.lastEvent
	}
	return s.LastEventID
}

// watch closes the connection when the caller leaves, at the deadline, and when
// a server is silent for longer than a repeatable request can wait.
func (s *sending) watch() {
	closeNow := func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) }
	if s.route.Kind != catalog.KindOnce {
		s.stop = append(s.stop, context.AfterFunc(s.caller, closeNow))
	}
	deadline := time.AfterFunc(time.Until(s.deadline)+answerSlack, func() {
		s.expired.Store(true)
		closeNow()
	})
	s.stop = append(s.stop, deadline.Stop)
	if patience := s.patience(); patience > 0 && s.attempts < s.route.MaxAttempts {
		s.mu.Lock()
		s.first = time.AfterFunc(patience, s.stall)
		s.mu.Unlock()
		s.stop = append(s.stop, s.first.Stop)
	}
}

// stall ends the wait for a silent server. An engine that serves others is busy
// with more urgent requests: to start elsewhere would read the prompt again. A
// stream that could not go on elsewhere is not given up.
func (s *sending) stall() {
	if s.route.Kind == catalog.KindStream {
		alive := max(aliveWithin, time.Duration(silencePatience*float64(s.route.EventGapTarget)))
		if silent := s.front.desk.SilentFor(s.decision.Server.ID); silent < alive {
			s.patienceTimer().Reset(alive - silent)
			return
		}
		if !s.front.desk.RetryLeft(s.service) {
			s.patienceTimer().Reset(alive)
			return
		}
	}
	s.stalled.Store(true)
	_ = s.conn.SetDeadline(time.Unix(1, 0))
}

// patienceTimer is the timer that runs now: for the first part, or for the next.
func (s *sending) patienceTimer() *time.Timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gap != nil {
		return s.gap
	}
	return s.first
}

func (s *sending) stopPatience() {
	if s.first != nil {
		s.first.Stop()
	}
}

// patience is how long the first part of the answer is awaited; 0 means until
// the deadline.
func (s *sending) patience() time.Duration {
	switch {
	case s.route.Kind == catalog.KindIdempotent:
		return max(time.Duration(plainPatience*float64(s.decision.ExpectedWait)), time.Duration(targetPatience*float64(s.route.LatencyTarget)))
	case s.route.Kind == catalog.KindStream && s.route.Resumable:
		return time.Duration(streamPatience * float64(max(s.decision.ExpectedWait, s.route.LatencyTarget)))
	default:
		return 0
	}
}

// receive reads the header of the answer to this request. Answers to earlier
// requests are skipped.
func (s *sending) receive() (*http.Response, Answer, bool) {
	request := &http.Request{Method: s.Method}
	for range maxForeignAnswers {
		response, err := http.ReadResponse(s.conn.Reader, request)
		if err != nil {
			s.cause = "read answer: " + err.Error()
			return nil, Answer{}, false
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		answer := s.front.codec.Answer(response)
		if answer.AttemptID == s.ID || answer.AttemptID == "" && response.StatusCode/100 != 2 {
			s.readStatedIdle(response)
			s.front.desk.Alive(s.decision.Server.ID)
			return response, answer, true
		}
		klog.InfoS("answer to another request skipped", "request", s.ID, "other", answer.AttemptID, "server", s.decision.Server.ID)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxPlainAnswerBytes)); err != nil {
			s.cause = "read foreign answer: " + err.Error()
			return nil, Answer{}, false
		}
	}
	s.cause = "only answers to other requests"
	return nil, Answer{}, false
}

// readStatedIdle reads the idle timeout that a server states in seconds.
func (s *sending) readStatedIdle(response *http.Response) {
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				s.statedIdle = time.Duration(n) * time.Second
			}
		}
	}
}

// refused handles an answer that says the request did not run.
func (s *sending) refused(response *http.Response) outcome {
	s.result = placement.ResultRefused
	s.exchange.ran = s.ranBefore
	if response.StatusCode == http.StatusMisdirectedRequest {
		s.front.desk.Misdirected(s.decision.Server.ID)
		s.result = placement.ResultFailed
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxPlainAnswerBytes))
	s.reusable = err == nil && !response.Close
	s.status = response.StatusCode
	return outcomeNotRun
}

// broken handles an answer that did not come or broke off.
func (s *sending) broken() outcome {
	switch {
	case s.caller.Err() != nil:
		s.result = placement.ResultAbandoned
		s.status, s.cause = statusCallerLeft, "caller left"
		return outcomeDone
	case s.expired.Load():
		s.result = placement.ResultFailed
		s.timedOut()
		return outcomeDone
	}
	s.result = placement.ResultFailed
	klog.InfoS("server broke off", "request", s.ID, "server", s.decision.Server.ID, "stalled", s.stalled.Load(),
		"reused", s.conn.Reused, "event", s.lastEvent, "cause", s.cause, "afterMs", time.Since(s.startedAt).Milliseconds())
	if !s.stalled.Load() && !s.conn.Reused {
		s.front.desk.Crashed(s.fingerprint, s.decision.Server.ID, s.sentHeader)
	}
	return outcomeBroken
}

// began counts the request as running, once.
func (s *sending) began() {
	s.firstPart()
	s.front.metrics.firstPart.WithLabelValues(s.route.Kind.String()).Observe(time.Since(s.received).Seconds())
	if !s.counted && s.account != nil {
		s.counted = true
		s.front.desk.Began(s.account.Name)
	}
}

// firstPart records the first part of this server's answer.
func (s *sending) firstPart() {
	s.firstAfter = time.Since(s.startedAt)
	s.front.desk.FirstEvent(s.id)
}

// end releases the connection and the server's load.
func (s *sending) end() {
	for _, stop := range s.stop {
		stop()
	}
	if s.result == 0 {
		s.result = placement.ResultFailed
	}
	s.front.desk.Finished(s.id, s.result)
	if s.reusable && s.writeDone() {
		s.front.pool.Put(s.conn, s.statedIdle)
		return
	}
	s.front.pool.Discard(s.conn)
}

// writeDone reports whether the request was written to its end. A connection
// that still carries a body cannot carry another request.
func (s *sending) writeDone() bool {
	if s.written == nil {
		return true
	}
	select {
	case err := <-s.written:
		return err == nil
	default:
		return false
	}
}
