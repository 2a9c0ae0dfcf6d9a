package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const (
	requestsPath = "/v1/requests/"
	eventsSuffix = "/events"
)

// statusBody is the response body of GET /v1/requests/{id}.
type statusBody struct {
	ID       string          `json:"id"`
	Finished bool            `json:"finished"`
	Outcome  api.Outcome     `json:"outcome,omitempty"`
	Text     string          `json:"text,omitempty"`
	Problem  json.RawMessage `json:"problem,omitempty"`
}

// submit stores a deferred request and responds with its location.
func (x *exchange) submit(req *api.ChatRequest) {
	if err := x.server.options.DeferredHandler.Submit(x.ctx, req); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.http.Response.Header.Set("Location", requestsPath+req.ID)
	x.http.Response.Header.Set("Preference-Applied", preferRespondAsync)
	x.reply(http.StatusAccepted, "", statusBody{ID: req.ID})
}

// status handles GET /v1/requests/{id}.
func (x *exchange) status() {
	id := strings.TrimPrefix(string(x.http.Path()), requestsPath)
	status, err := x.server.options.DeferredHandler.Status(x.ctx, x.request.ClientAccount, id)
	if err != nil {
		x.fail(asProblem(err))
		return
	}
	body := statusBody{ID: id, Finished: status.Finished, Outcome: status.Outcome, Text: status.Text}
	if status.Problem != nil {
		body.Problem = encodeProblem(status.Problem, id)
	}
	x.reply(http.StatusOK, status.Outcome, body)
}

// events handles GET /v1/requests/{id}/events. It continues a stream after the
// event named by the Last-Event-ID header.
func (x *exchange) events() {
	id := strings.TrimSuffix(strings.TrimPrefix(string(x.http.Path()), requestsPath), eventsSuffix)
	fromOffset := 0
	if header := string(x.http.Request.Header.Peek(headerLastEventID)); header != "" {
		last, err := strconv.Atoi(header)
		if err != nil || last < 0 {
			x.fail(api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "Last-Event-ID must be a number of 0 or more"))
			return
		}
		fromOffset = last + 1
	}
	if err := x.setDeadline(x.server.options.Limits.MaxTimeout); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.request.ID = id
	x.stream("", fromOffset, func(sink api.EventSink) error {
		return x.server.options.ChatHandler.Attach(x.ctx, x.request.ClientAccount, id, fromOffset, sink)
	})
}
