package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKeyBytes is the maximum length of an idempotency key. The limit
// is needed because the key is part of the key of a row in the store.
const maxIdempotencyKeyBytes = 255

// call handles POST /v1/services/{service}/{call}.
func (x *exchange) call() {
	req, err := x.parseCall()
	if err != nil {
		x.fail(asProblem(err))
		return
	}
	answer, err := x.server.options.CallHandler.Call(x.ctx, req)
	if err != nil {
		x.fail(asProblem(err))
		return
	}
	if err := x.countAnswer(len(answer.Body)); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.http.SetStatusCode(answer.Status)
	x.http.SetContentType(answer.ContentType)
	x.http.Response.Header.Set(headerRequestID, x.request.ID)
	if answer.Replayed {
		x.http.Response.Header.Set(headerReplayed, "true")
	}
	x.http.SetBody(answer.Body)
	x.complete(answer.Status, api.OutcomeDone)
}

func (x *exchange) parseCall() (*api.CallRequest, error) {
	path := strings.TrimPrefix(string(x.http.Path()), "/v1/services/")
	service, call, ok := strings.Cut(path, "/")
	if !ok || service == "" || call == "" || strings.Contains(call, "/") {
		return nil, api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "the path must be /v1/services/{service}/{call}")
	}
	timeout, ok := x.server.options.Catalog.CallTimeout(service, call)
	if !ok {
		return nil, api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no such service or call")
	}
	key := string(x.http.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		return nil, api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "Idempotency-Key is longer than 255 bytes")
	}
	// The body is copied out of fasthttp's buffer, which is reused after the
	// handler returns: a once-only call continues after its caller has
	// disconnected and still needs its body then.
	encoded, err := x.readBody()
	if err != nil {
		return nil, err
	}
	body := append([]byte(nil), encoded...)
	if !json.Valid(body) {
		return nil, api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "the body is not JSON")
	}
	if err := x.setDeadline(timeout); err != nil {
		return nil, err
	}
	return &api.CallRequest{
		Request: x.request, Service: service, Call: call, IdempotencyKey: key, Body: body,
	}, nil
}
