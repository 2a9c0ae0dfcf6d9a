package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const (
	headerPrefer       = "Prefer"
	preferRespondAsync = "respond-async"

	defaultMaxTokens = 256
)

// chatBody is the part of an OpenAI-compatible request that the system reads.
// Other members are accepted and ignored, as clients send many of them.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []api.Message `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

// completion is a whole answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      api.Message `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// chat answers POST /v1/chat/completions.
func (x *exchange) chat() {
	req, stream, err := x.parseChat()
	if err != nil {
		x.fail(asProblem(err))
		return
	}
	switch {
	case req.Deferred:
		x.submit(req)
	case stream:
		x.stream(req.Model, 0, func(sink api.EventSink) error {
			return x.server.options.ChatHandler.Chat(x.ctx, req, sink)
		})
	default:
		x.whole(req)
	}
}

func (x *exchange) parseChat() (*api.ChatRequest, bool, error) {
	var body chatBody
	if err := json.Unmarshal(x.http.PostBody(), &body); err != nil {
		return nil, false, api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "the body is not a chat completion request: "+err.Error())
	}
	deferred := strings.Contains(string(x.http.Request.Header.Peek(headerPrefer)), preferRespondAsync)
	timeout, ok := x.server.options.Catalog.ChatTimeout(body.Model, deferred)
	if !ok {
		return nil, false, api.NewNotRunProblem(api.ProblemNotFound, http.StatusNotFound, "no such model")
	}
	maxTokens := max(body.MaxTokens, body.MaxCompletionTokens)
	if maxTokens < 0 || len(body.Messages) == 0 {
		return nil, false, api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "messages and a max_tokens of 0 or more are required")
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	if err := x.limit(timeout); err != nil {
		return nil, false, err
	}
	return &api.ChatRequest{
		Request:   x.request,
		Model:     body.Model,
		Messages:  body.Messages,
		MaxTokens: maxTokens,
		Deferred:  deferred,
	}, body.Stream, nil
}

// collector gathers the tokens of a whole answer.
type collector struct {
	exchange *exchange
	text     strings.Builder
	tokens   int
	finish   string
	timer    tokenTimer
}

// Send implements api.EventSink.
func (c *collector) Send(event api.TokenEvent) error {
	if event.FinishReason != "" {
		c.finish = event.FinishReason
		return nil
	}
	c.timer.observe()
	c.text.WriteString(event.Text)
	c.tokens++
	return nil
}

func (x *exchange) whole(req *api.ChatRequest) {
	sink := &collector{exchange: x, timer: x.newTokenTimer()}
	if err := x.server.options.ChatHandler.Chat(x.ctx, req, sink); err != nil {
		x.failOrReattach(err)
		return
	}
	x.reply(http.StatusOK, api.OutcomeDone, completion{
		ID:      x.request.ID,
		Object:  "chat.completion",
		Created: x.started.Unix(),
		Model:   req.Model,
		Choices: []completionChoice{{
			Message:      api.Message{Role: "assistant", Content: sink.text.String()},
			FinishReason: sink.finish,
		}},
		Usage: completionUsage{CompletionTokens: sink.tokens},
	})
}
