package gateway

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const (
	headerRequestID  = "Monsooncrank-Request"
	headerReplayed   = "Idempotency-Replayed"
	headerRetryAfter = "Retry-After"

	contentTypeProblem = "application/problem+json"
	contentTypeJSON    = "application/json"
)

// problemBody is the JSON encoding of a problem (RFC 9457).
type problemBody struct {
	Type      string      `json:"type"`
	Title     string      `json:"title"`
	Status    int         `json:"status"`
	Detail    string      `json:"detail,omitempty"`
	Outcome   api.Outcome `json:"outcome"`
	RequestID string      `json:"request_id,omitempty"`
}

// asProblem returns the api.Problem in err's chain. An error without one is
// reported as an internal failure with an unknown outcome.
func asProblem(err error) *api.Problem {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem
	}
	klog.ErrorS(err, "request failed with an error that is not an API problem")
	return &api.Problem{
		Name:    api.ProblemInternal,
		Status:  http.StatusInternalServerError,
		Detail:  "internal failure",
		Outcome: api.OutcomeUnknown,
	}
}

func encodeProblem(problem *api.Problem, requestID string) []byte {
	body, err := json.Marshal(problemBody{
		Type:      problem.URN(),
		Title:     http.StatusText(problem.Status),
		Status:    problem.Status,
		Detail:    problem.Detail,
		Outcome:   problem.Outcome,
		RequestID: requestID,
	})
	if err != nil {
		klog.ErrorS(err, "failed to encode problem", "problem", problem.Name)
		return []byte("{}")
	}
	return body
}

func writeProblem(ctx *fasthttp.RequestCtx, problem *api.Problem, requestID string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(problem.Status)
	ctx.SetContentType(contentTypeProblem)
	if requestID != "" {
		ctx.Response.Header.Set(headerRequestID, requestID)
	}
	if problem.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfter, retryAfterSeconds(problem.RetryAfter))
	}
	ctx.SetBody(encodeProblem(problem, requestID))
}

// retryAfterSeconds returns the value of the Retry-After header, which takes
// whole seconds. It rounds up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeProblem(ctx, asProblem(errors.Trace(err)), "")
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

// handleReadError responds to a request that could not be read because it is
// too large, too slow or malformed.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	problem := api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "the request could not be read")
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		// On an idle connection, clients treat a 408 as the end of the
		// connection, but any other status as the response to their next
		// request.
		problem = api.NewNotRunProblem(api.ProblemRequestTimeout, http.StatusRequestTimeout, "the request did not arrive in time")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		problem = api.NewNotRunProblem(api.ProblemTooLarge, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.As(err, &smallBuffer):
		problem = api.NewNotRunProblem(api.ProblemTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	writeProblem(ctx, problem, "")
	ctx.SetConnectionClose()
	lingerOnClose(ctx)
}
