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

	// defaultMaxTokens applies to requests without a token limit.
	defaultMaxTokens = 256
)

// chatBody holds the supported fields of an OpenAI-compatible request. Other
// fields are accepted and ignored, because clients send many of them.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []api.Message `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

// completion is the response to a chat request without streaming.
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

// chat handles POST /v1/chat/completions.
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
		x.sendCompletion(req)
	}
}

// parseChat validates the request body and sets the deadline. The second result
// reports whether the caller wants a stream.
func (x *exchange) parseChat() (*api.ChatRequest, bool, error) {
	var body chatBody
	encoded, err := x.readBody()
	if err != nil {
		return nil, false, err
	}
	if err := json.Unmarshal(encoded, &body); err != nil {
		return nil, false, api.NewNotRunProblem(api.ProblemBadRequest, http.StatusBadRequest, "the body is not a chat completion request: "+err.Error())
	}
	if err := x.held.Count(messageBytes * int64(len(body.Messages))); err != nil {
		return nil, false, x.unreadProblem(err)
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
	if err := x.setDeadline(timeout); err != nil {
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

// collector is an event sink that joins the tokens of an answer which is not
// streamed.
type collector struct {
	exchange     *exchange
	text         strings.Builder
	tokens       int
	finishReason string
	timer        tokenTimer
}

// Send implements api.EventSink.
func (c *collector) Send(event api.TokenEvent) error {
	if event.FinishReason != "" {
		c.finishReason = event.FinishReason
		return nil
	}
	c.timer.observe()
	c.text.WriteString(event.Text)
	c.tokens++
	return nil
}

// sendCompletion runs the request and sends the complete answer in one response.
func (x *exchange) sendCompletion(req *api.ChatRequest) {
	sink := &collector{exchange: x, timer: x.newTokenTimer()}
	if err := x.server.options.ChatHandler.Chat(x.ctx, req, sink); err != nil {
		x.failOrReattach(err)
		return
	}
	if err := x.countAnswer(copiesOfText * sink.text.Len()); err != nil {
		x.fail(asProblem(err))
		return
	}
	x.reply(http.StatusOK, api.OutcomeDone, completion{
		ID:      x.request.ID,
		Object:  "chat.completion",
		Created: x.started.Unix(),
		Model:   req.Model,
		Choices: []completionChoice{{
			Message:      api.Message{Role: "assistant", Content: sink.text.String()},
			FinishReason: sink.finishReason,
		}},
		Usage: completionUsage{CompletionTokens: sink.tokens},
	})
}
