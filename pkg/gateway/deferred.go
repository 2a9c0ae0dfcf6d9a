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

// statusBody is the answer of GET /v1/requests/{id}.
type statusBody struct {
	ID       string          `json:"id"`
	Finished bool            `json:"finished"`
	Outcome  api.Outcome     `json:"outcome,omitempty"`
	Text     string          `json:"text,omitempty"`
	Problem  json.RawMessage `json:"problem,omitempty"`
}

// submit accepts a request that may wait.
func (x *exchange) submit(req *api.ChatRequest) {
	if err := x.server.options.DeferredHandler.Submit(x.ctx, req); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.http.Response.Header.Set("Location", requestsPath+req.ID)
	x.http.Response.Header.Set("Preference-Applied", preferRespondAsync)
	x.reply(http.StatusAccepted, "", statusBody{ID: req.ID})
}

// status answers GET /v1/requests/{id}.
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

// events answers GET /v1/requests/{id}/events.
func (x *exchange) events() {
	id := strings.TrimSuffix(strings.TrimPrefix(string(x.http.Path()), requestsPath), eventsSuffix)
	from := 0
	if header := string(x.http.Request.Header.Peek(headerLastEventID)); header != "" {
		last, err := strconv.Atoi(header)
		if err != nil || last < 0 {
			x.fail(api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "Last-Event-ID must be a number of 0 or more"))
			return
		}
		from = last + 1
	}
	if err := x.limit(x.server.options.Limits.MaxTimeout); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.request.ID = id
	x.stream("", from, func(sink api.EventSink) error {
		return x.server.options.ChatHandler.Attach(x.ctx, x.request.ClientAccount, id, from, sink)
	})
}
