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
	// runCheckTimeout is the timeout of the question which run of a server answers. It is
	// a few hundred round trips.
	runCheckTimeout = 300 * time.Millisecond
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

// connectToRun returns a connection to a server on which the run in its entry answers. A
// server may start again under its ID and at its address with another software version,
// which shows in its entry only later.
func (x *exchange) connectToRun(server *fleet.Server) (*backendconn.Conn, error) {
	limit := x.handler.controller.ConnectionLimit(server.ID, x.service)
	conn, err := x.unusedConnection(server, limit)
	if err != nil || !x.begun || server.StartedUnixMilli == 0 {
		return conn, err
	}
	closes, err := x.checkRun(conn, server)
	if err == nil && !closes {
		return conn, nil
	}
	x.handler.pool.Discard(conn)
	if err != nil {
		return nil, err
	}
	return x.unusedConnection(server, limit)
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
// ends with its connection looks the same if the server has crashed, so that the run that
// sent it must still accept connections then.
func (s *serverAttempt) confirmEnd(response *http.Response) bool {
	if !endsWithConnection(response) || s.Method == http.MethodHead {
		return true
	}
	server := &s.decision.Server
	// The connection that has ended still counts.
	limit := s.handler.controller.ConnectionLimit(server.ID, s.service) + 1
	for range maxEndChecks {
		err := s.checkEnd(server, limit)
		if err == nil {
			return true
		}
		s.cause = "end of response not confirmed: " + err.Error()
		// A server that accepts connections and does not answer in time may be busy.
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return false
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
	_, err = s.checkRun(conn, server)
	return err
}

// checkRun asks a server when it started. It returns an error if another run answers or
// none does, and whether the server closes the connection after its answer.
func (x *exchange) checkRun(conn *backendconn.Conn, server *fleet.Server) (closes bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(runCheckTimeout)); err != nil {
		return false, err
	}
	conn.Asked = true
	request := &http.Request{Method: http.MethodGet}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", x.handler.codec.RunPath(), server.Address); err != nil {
		return false, err
	}
	askedAt := time.Now()
	response, body, err := x.readRunReport(conn, request)
	if err != nil {
		return false, err
	}
	startedUnixMilli, stated := x.handler.codec.RunStart(body)
	if response.StatusCode == http.StatusOK && stated && startedUnixMilli != server.StartedUnixMilli {
		klog.InfoS("server has started again since its entry was written", "request", x.ID, "server", server.ID,
			"listed", server.StartedUnixMilli, "actual", startedUnixMilli)
		return false, &OtherRunError{Server: server.ID, ListedMilli: server.StartedUnixMilli, ActualMilli: startedUnixMilli}
	}
	if said := x.handler.codec.ResponseInfo(response).Statements; said.Leaving || said.RetryAfter > 0 {
		// Only answers to requests state limits.
		said.RequestLimit = serverlimit.Statement{Unreadable: true}
		x.handler.controller.Said(server, askedAt, said)
	}
	return response.Close, conn.SetDeadline(time.Time{})
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
