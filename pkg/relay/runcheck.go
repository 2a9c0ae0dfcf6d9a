package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
)

const (
	// runCheckTimeout is the timeout of the question which run of a server answers, on a kept
	// connection or at the end of a response. It is a few hundred round trips. beginCheckTimeout is
	// that on a new connection before a request is sent, to which a busy server may answer later;
	// it ends with the deadline of the request.
	runCheckTimeout   = 300 * time.Millisecond
	beginCheckTimeout = time.Second
	// maxEndChecks is how often a server is asked that does not answer in time.
	maxEndChecks = 3
	// maxRunReportBytes limits the answer.
	maxRunReportBytes = 256 << 10
)

// OtherRunError reports that a server has started again since its entry was written. It
// may have another software version now.
type OtherRunError struct {
	Server                   string
	ListedMilli, ActualMilli int64
}

func (e *OtherRunError) Error() string {
	return fmt.Sprintf("server %s started at %d, not at %d as listed", e.Server, e.ActualMilli, e.ListedMilli)
}

// RunNotStatedError reports that a server did not say which of its runs answers.
type RunNotStatedError struct {
	Server string
	Status int
}

func (e *RunNotStatedError) Error() string {
	return fmt.Sprintf("server %s did not state its start, status %d", e.Server, e.Status)
}

// RunCheckError reports that a server did not answer on a new connection which run it is.
type RunCheckError struct {
	Server string
	Cause  error
}

func (e *RunCheckError) Error() string {
	return fmt.Sprintf("server %s did not answer which run it is: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *RunCheckError) Unwrap() error { return e.Cause }

// connectToRun returns a connection to a server. The version of a stream that may be taken up
// is that of the run which sends its events, and the entry of a server describes one run: the
// server may have started again under its ID and at its address with another version, which
// shows in its entry only later. Such a stream is sent only to the run in the entry. All that
// arrives on one connection comes from one run.
func (x *exchange) connectToRun(server *fleet.Server) (*backendconn.Conn, error) {
	limit := x.handler.controller.ConnectionLimit(server.ID, x.service)
	conn, err := x.unusedConnection(server, limit)
	switch listed := server.StartedUnixMilli; {
	case err != nil || !x.isResumable() || listed != 0 && conn.RunStartedMilli == listed:
		return conn, err
	case listed == 0 && x.begun:
		x.handler.pool.Discard(conn)
		return nil, &RunNotStatedError{Server: server.ID}
	case listed == 0:
		return conn, nil
	}
	closes, err := x.checkRunBefore(conn, server)
	if err != nil && conn.Reused && x.caller.Err() == nil {
		// The connection may lead to an earlier run, be closed, or deliver nothing any more.
		x.handler.pool.Discard(conn)
		if conn, err = x.handler.pool.Dial(x.caller, server.ID, server.Address, limit); err != nil {
			return nil, err
		}
		closes, err = x.checkRunBefore(conn, server)
	}
	if err == nil && x.caller.Err() != nil {
		err = &RunCheckError{Server: server.ID, Cause: context.Cause(x.caller)}
	}
	if err != nil {
		x.handler.pool.Discard(conn)
		return nil, err
	}
	if !closes {
		return conn, nil
	}
	x.handler.pool.Discard(conn)
	if conn, err = x.handler.pool.Dial(x.caller, server.ID, server.Address, limit); err != nil {
		return nil, err
	}
	conn.RunBeforeMilli = server.StartedUnixMilli
	return conn, nil
}

// checkRunBefore asks before the request is sent. It waits neither beyond the deadline or the grace
// period of a planned stop nor for a caller that has gone.
func (x *exchange) checkRunBefore(conn *backendconn.Conn, server *fleet.Server) (closes bool, err error) {
	timeout := beginCheckTimeout
	if conn.Reused {
		timeout = runCheckTimeout
	}
	timeout = min(timeout, time.Until(x.deadline)-minTimeLeft)
	if timeout <= 0 {
		return false, &RunCheckError{Server: server.ID, Cause: os.ErrDeadlineExceeded}
	}
	closeNow := func() { _ = conn.SetDeadline(time.Unix(1, 0)) }
	defer context.AfterFunc(x.caller, closeNow)()
	defer x.handler.onEnd(closeNow)()
	return x.checkRun(conn, server, timeout)
}

// confirmRun reports whether the run in the entry of the server has sent what arrived on the
// connection, as far as that matters. A run that has answered before the request was sent and
// answers now has run all the while.
func (s *serverAttempt) confirmRun() bool {
	server := &s.decision.Server
	listed := server.StartedUnixMilli
	if s.runConfirmed || !s.isResumable() || listed == 0 {
		return true
	}
	s.runConfirmed = s.conn.RunStartedMilli == listed
	if !s.runConfirmed && s.conn.RunBeforeMilli == listed {
		// Each stream in progress may need a second connection for this.
		s.runConfirmed = s.confirm("run", 2*s.handler.controller.ConnectionLimit(server.ID, s.service))
	}
	if s.runConfirmed {
		s.answeringRun = listed
	}
	return s.runConfirmed
}

// confirm asks on new connections whether the listed run of the server answers. A server that
// accepts connections and does not answer in time may be busy, and is asked again.
func (s *serverAttempt) confirm(what string, limit int) bool {
	for range maxEndChecks {
		err := s.checkEnd(&s.decision.Server, limit)
		if err == nil {
			return true
		}
		s.cause = what + " not confirmed: " + err.Error()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return false
}

// unusedConnection returns a connection to a server that has not carried this request before. A faulty server
// may write its answer to that once more, which could not be told from the one to this attempt.
func (x *exchange) unusedConnection(server *fleet.Server, limit int) (*backendconn.Conn, error) {
	conn, err := x.handler.pool.Get(x.caller, server.ID, server.Address, limit)
	if err != nil || !conn.HasCarried(x.ID) {
		return conn, err
	}
	x.handler.pool.Discard(conn)
	return x.handler.pool.Dial(x.caller, server.ID, server.Address, limit)
}

// endsWithConnection reports whether nothing but the end of its connection marks the end
// of a response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// confirmEnd reports whether a response that was read to its end is whole. A response that
// ends with its connection looks the same if the connection has failed and the write of the
// request has taken the error, or if the server has crashed, so that the whole request must have
// been written and the run that sent the response must still accept connections then.
func (s *serverAttempt) confirmEnd(response *http.Response) bool {
	if !endsWithConnection(response) || s.Method == http.MethodHead {
		return true
	}
	if err := s.endWrite(); err != nil {
		s.cause = "response ended before the request was written: " + err.Error()
		return false
	}
	server := &s.decision.Server
	// The connection that has ended still counts.
	limit := s.handler.controller.ConnectionLimit(server.ID, s.service) + 1
	return s.confirm("end of response", limit)
}

// checkEnd asks on a new connection whether the run of a server answers.
func (s *serverAttempt) checkEnd(server *fleet.Server, limit int) error {
	conn, err := s.handler.pool.Dial(context.WithoutCancel(s.caller), server.ID, server.Address, limit)
	if err != nil {
		return err
	}
	defer s.handler.pool.Discard(conn)
	if server.StartedUnixMilli == 0 {
		return nil
	}
	_, err = s.checkRun(conn, server, runCheckTimeout)
	return err
}

// checkRun asks a server on a connection when it started. It returns an error unless the run in
// its entry answers, and otherwise whether the server closes the connection after its answer.
func (x *exchange) checkRun(conn *backendconn.Conn, server *fleet.Server, timeout time.Duration) (closes bool, err error) {
	result := runUnanswered
	defer func() { x.handler.metrics.runChecks.WithLabelValues(result).Inc() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return false, &RunCheckError{Server: server.ID, Cause: err}
	}
	request := &http.Request{Method: http.MethodGet}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", x.handler.codec.RunPath(), server.Address); err != nil {
		return false, &RunCheckError{Server: server.ID, Cause: err}
	}
	askedAt := time.Now()
	response, body, err := x.readRunReport(conn, request)
	if err != nil {
		return false, &RunCheckError{Server: server.ID, Cause: err}
	}
	startedUnixMilli, stated := x.handler.codec.RunStart(body)
	if response.StatusCode != http.StatusOK || !stated {
		result = runNotStated
		x.hearReport(server, askedAt, response)
		return false, &RunNotStatedError{Server: server.ID, Status: response.StatusCode}
	}
	conn.RunStartedMilli = startedUnixMilli
	if startedUnixMilli != server.StartedUnixMilli {
		result = runOther
		klog.InfoS("server has started again since its entry was written", "request", x.ID, "server", server.ID, "version", server.Version,
			"listed", server.StartedUnixMilli, "actual", startedUnixMilli)
		return false, &OtherRunError{Server: server.ID, ListedMilli: server.StartedUnixMilli, ActualMilli: startedUnixMilli}
	}
	result = runListed
	x.hearReport(server, askedAt, response)
	return response.Close, conn.SetDeadline(time.Time{})
}

// hearReport applies what a server says of itself in the answer to the question for its run.
func (x *exchange) hearReport(server *fleet.Server, askedAt time.Time, response *http.Response) {
	said := x.handler.codec.ResponseInfo(response).Statements
	if !said.Leaving && said.RetryAfter == 0 {
		return
	}
	// Only answers to requests state limits.
	said.RequestLimit = serverlimit.Statement{Unreadable: true}
	x.handler.controller.Said(server, askedAt, said)
}

// readRunReport reads the answer to the question for the run. Late answers to requests on
// the connection are skipped.
func (x *exchange) readRunReport(conn *backendconn.Conn, request *http.Request) (*http.Response, []byte, error) {
	for range maxForeignResponses {
		response, err := conn.ReadResponse(request)
		if err != nil {
			return nil, nil, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxRunReportBytes))
		if err != nil {
			return nil, nil, err
		}
		if x.handler.codec.ResponseInfo(response).RequestID == "" {
			return response, body, nil
		}
	}
	return nil, nil, &ForeignResponsesError{Address: conn.RemoteAddr().String()}
}

// ForeignResponsesError reports that a connection delivered only responses to other
// requests.
type ForeignResponsesError struct{ Address string }

func (e *ForeignResponsesError) Error() string {
	return "received only responses to other requests from " + e.Address
}
