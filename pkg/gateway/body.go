package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

const (
	// copiesOfBody is how often a body is in memory beside the one that arrived: decoded, and encoded
	// again for a server.
	copiesOfBody = 2
	// copiesOfText is how often the text of a completion is in memory: collected and encoded.
	copiesOfText = 2
	// messageBytes is what a decoded message needs beside its text.
	messageBytes = 64
	// headerFieldBytes is what a field of a head needs, and freeHeaderFields the number of fields that
	// ConnectionBytes covers.
	headerFieldBytes = 128
	freeHeaderFields = 64
	// memoryRetryAfter is the Retry-After of a request for which there was no memory.
	memoryRetryAfter = time.Second
)

// readBody reads the body of an authenticated request. What it holds is returned with the
// connection's next request.
func (x *exchange) readBody() ([]byte, error) {
	stream := x.http.RequestBodyStream()
	if stream == nil {
		return x.http.PostBody(), nil
	}
	ctx, cancel := context.WithTimeout(x.server.baseCtx, x.server.options.Limits.ReadTimeout)
	defer cancel()
	length := int64(x.http.Request.Header.ContentLength())
	body, err := x.held.ReadAll(ctx, intake.PhaseReceiving, stream, length, int64(x.server.options.Limits.BodyBytes))
	if err == nil {
		err = x.held.Reserve(ctx, copiesOfBody*body.Len())
	}
	if err != nil {
		return nil, x.unreadProblem(err)
	}
	return body.Take(), nil
}

// unreadProblem returns the problem of a request whose body was not read to its end.
func (x *exchange) unreadProblem(err error) *api.Problem {
	x.leaveBody()
	var tooLong *intake.TooLongError
	var noMemory *intake.NoMemoryError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLong):
		return api.NewNotRunProblem(api.ProblemTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.As(err, &noMemory):
		x.held.Refused(intake.PhaseReceiving, noMemory)
		return api.NewNotRunProblem(api.ProblemOverloaded, http.StatusServiceUnavailable, "no memory for the request").WithRetryAfter(memoryRetryAfter)
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return api.NewNotRunProblem(api.ProblemRequestTimeout, http.StatusRequestTimeout, "the request did not arrive in time")
	default:
		return api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "the request could not be read")
	}
}

// leaveBody ends the connection after the answer to a request whose body is not read.
func (x *exchange) leaveBody() {
	x.http.SetConnectionClose()
	lingerOnClose(x.http)
}

// lingerOnClose lets the caller read the answer while it still sends.
func lingerOnClose(ctx *fasthttp.RequestCtx) {
	if c := intake.Of(ctx.Conn()); c != nil {
		c.LingerOnClose()
	}
}

// hasBody reports whether a body follows the head.
func (x *exchange) hasBody() bool {
	return x.http.RequestBodyStream() != nil && x.http.Request.Header.ContentLength() != 0
}

// countAnswer counts an answer that is sent whole, until the caller has read it. Without memory for it
// the caller is told that the request may have run.
func (x *exchange) countAnswer(n int) error {
	if err := x.held.CountAnswer(int64(n)); err != nil {
		return api.NewUnknownOutcomeProblem(api.ProblemOverloaded, "no memory for the answer")
	}
	return nil
}
