package operatorapi

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

// heldKey is the key of the intake.Request among the values of a request.
type heldKey struct{}

// copiesOfConfiguration is how often a configuration is in memory beside the one that arrived:
// without comments, decoded, and encoded again for the store.
const copiesOfConfiguration = 3

// readBody reads the body of an authorized request.
func (s *Server) readBody(ctx context.Context, req *fasthttp.RequestCtx) ([]byte, error) {
	stream := req.RequestBodyStream()
	if stream == nil {
		return req.PostBody(), nil
	}
	held, ok := req.UserValue(heldKey{}).(*intake.Request)
	if !ok {
		return nil, &notImplementedError{"a body"}
	}
	body, err := held.ReadAll(ctx, intake.PhaseReceiving, stream, int64(req.Request.Header.ContentLength()), maxBodyBytes)
	if err == nil {
		err = held.Reserve(ctx, copiesOfConfiguration*body.Len())
	}
	if err != nil {
		return nil, unreadProblem(held, err)
	}
	req.SetUserValue(readKey{}, true)
	return body.Take(), nil
}

// unreadProblem returns the problem of a request whose body was not read to its end.
func unreadProblem(held *intake.Request, err error) *Problem {
	var tooLong *intake.TooLongError
	var noMemory *intake.NoMemoryError
	switch {
	case errors.As(err, &tooLong):
		return &Problem{Type: ProblemBadRequest, Title: "The body is too large", Status: fasthttp.StatusRequestEntityTooLarge}
	case errors.As(err, &noMemory):
		held.Refused(intake.PhaseReceiving, noMemory)
		return &Problem{Type: ProblemUnavailable, Title: "No memory for the body", Status: fasthttp.StatusServiceUnavailable}
	default:
		return &Problem{Type: ProblemBadRequest, Title: "The body could not be read", Status: fasthttp.StatusBadRequest, Detail: err.Error()}
	}
}

// leaveBody ends a request. If its body was not read to its end, the connection ends after the
// answer.
func (s *Server) leaveBody(ctx *fasthttp.RequestCtx, held *intake.Request) {
	stream := ctx.RequestBodyStream()
	if stream == nil || ctx.Request.Header.ContentLength() == 0 {
		return
	}
	if _, read := ctx.UserValue(readKey{}).(bool); read {
		return
	}
	ctx.SetConnectionClose()
	held.LingerOnClose()
}

// readKey is set among the values of a request once its body was read.
type readKey struct{}
