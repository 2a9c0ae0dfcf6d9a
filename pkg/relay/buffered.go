package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// bufferedResponse is a complete response of a server.
type bufferedResponse struct {
	// server is the run of the server, or empty if another daemon has passed it on.
	server string
	status int
	header http.Header
	body   *intake.Buffer
}

// forwardBuffered reads the whole response before forwarding any of it, so that
// a truncated response never looks complete.
func (s *serverAttempt) forwardBuffered(response *http.Response) (outcome, *bufferedResponse) {
	body, err := s.readAnswer(s.conn, response)
	if err != nil {
		s.cause = "read body: " + err.Error()
		return s.handleIncomplete(), nil
	}
	if !s.confirmEnd(response) {
		return s.handleIncomplete(), nil
	}
	s.reusable = !response.Close
	s.result = placement.ResultAnswered
	s.recordStart()
	buffered := &bufferedResponse{server: s.decision.Server.RunID(), status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode < http.StatusInternalServerError {
		s.completed()
	} else {
		// A failing server may not have run what crashes others.
		s.handler.quarantine.Resolved(s.id, true)
		s.handler.controller.Failed(s.id, false)
	}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Kind == catalog.KindIdempotent {
		return outcomeFailed, buffered
	}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Kind == catalog.KindStream {
		s.result = placement.ResultFailed
		return outcomeFailed, buffered
	}
	s.writeResponse(buffered)
	return outcomeDone, nil
}

// readAnswer reads a whole response. If it has to yield, the connection on which it arrives ends.
func (x *exchange) readAnswer(conn *backendconn.Conn, response *http.Response) (*intake.Buffer, error) {
	x.held.OnYield(func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer x.held.OnYield(nil)
	length := response.ContentLength
	if x.Method == http.MethodHead {
		// It is the length that the body would have.
		length = -1
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.caller), x.deadline.Add(deadlineSlack))
	defer cancel()
	body, err := x.held.ReadAll(ctx, intake.PhaseBuffering, response.Body, length, maxBufferedResponseBytes)
	var noMemory *intake.NoMemoryError
	if errors.As(err, &noMemory) {
		x.held.Refused(intake.PhaseBuffering, noMemory)
	}
	return body, err
}

// writeResponse forwards a server's response unchanged, except for hop-by-hop
// headers.
func (x *exchange) writeResponse(buffered *bufferedResponse) {
	if x.sentHeader {
		x.abort("server failed")
	}
	x.status = buffered.status
	x.copyResponseHeader(buffered.header)
	x.markAnswered(buffered.server)
	if x.Method != http.MethodHead && buffered.status != http.StatusNoContent && buffered.status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.FormatInt(buffered.body.Len(), 10))
	}
	x.w.WriteHeader(buffered.status)
	x.sentAll = true
	defer x.held.Free(buffered.body)
	if buffered.body.Len() == 0 || x.Method == http.MethodHead {
		return
	}
	if _, err := buffered.body.WriteTo(x.w); err != nil {
		klog.V(1).InfoS("caller disconnected before the response was sent", "request", x.ID, "err", err)
	}
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyResponseHeader copies the header of a server's response to the caller's.
func (x *exchange) copyResponseHeader(from http.Header) {
	CopyHeader(x.w.Header(), from)
	if length := from.Get("Content-Length"); length != "" && x.Method == http.MethodHead {
		// It is the length that the body would have.
		x.w.Header().Set("Content-Length", length)
	}
}

// CopyHeader copies all headers but the hop-by-hop ones.
func CopyHeader(to, from http.Header) {
	named := connectionTokens(from)
	for key, values := range from {
		if !hopByHopHeaders[key] && !named[key] {
			to[key] = values
		}
	}
}
