package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"k8s.io/utils/clock"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// Start implements Client. It returns when the engine has accepted the request.
func (c *HTTPClient) Start(ctx context.Context, address string, req *Request) (Stream, error) {
	// The context of the request lives as long as the stream; ctx only bounds
	// the start.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	s := &httpStream{client: c, address: address, attempt: req.AttemptID, cancel: cancel}
	s.timer = c.opts.Clock.AfterFunc(c.opts.ProgressTimeout, s.onSilence)
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	transport := c.shared
	if req.FreshConnection {
		transport = c.fresh
	}
	response, err := c.send(streamCtx, transport, http.MethodPost, address, PathChat, req.AttemptID, chatBody(req))
	s.timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, s.startError(err)
	}
	s.body = response.Body
	if err := s.checkAnswer(response); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.lines = bufio.NewReader(response.Body)
	return s, nil
}

func chatBody(req *Request) ChatBody {
	return ChatBody{
		Model: req.Model, Messages: req.Messages, MaxTokens: req.MaxTokens, Stream: true,
		Priority: req.Priority, ResumeTokens: req.ResumeTokens, KVHandle: req.KVHandle,
	}
}

// httpStream is a Stream over a response body. A timer cancels the request when
// no byte arrives within the progress timeout.
type httpStream struct {
	client  *HTTPClient
	address string
	attempt string
	cancel  context.CancelCauseFunc
	timer   clock.Timer
	silent  atomic.Bool
	body    io.ReadCloser
	lines   *bufio.Reader
	ended   bool
}

// onSilence also closes the idle connections, which may be as silent.
func (s *httpStream) onSilence() {
	s.silent.Store(true)
	s.client.shared.CloseIdleConnections()
	s.cancel(context.DeadlineExceeded)
}

func (s *httpStream) startError(err error) error {
	if broken, ok := err.(*StreamBrokenError); ok {
		broken.Silent = s.silent.Load()
	}
	return err
}

func (s *httpStream) broken(cause error) error {
	return &StreamBrokenError{Address: s.address, Silent: s.silent.Load(), Cause: cause}
}

func (s *httpStream) checkAnswer(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		if err != nil {
			return s.broken(err)
		}
		return refusal(s.address, response, data)
	}
	if got := response.Header.Get(HeaderAttempt); got != s.attempt {
		return s.broken(&AttemptMismatchError{Want: s.attempt, Got: got})
	}
	return nil
}

// Next implements Stream. It must not be called by two goroutines at once.
func (s *httpStream) Next(ctx context.Context) (Event, error) {
	if s.ended {
		return Event{}, &StreamEndedError{Address: s.address}
	}
	stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
	defer stop()
	s.timer.Reset(s.client.opts.ProgressTimeout)
	defer s.timer.Stop()
	for {
		data, err := s.nextData()
		if err != nil {
			return Event{}, s.broken(err)
		}
		if data == StreamDone {
			s.ended = true
			// Reading to the end of the body lets the connection be reused.
			_, _ = io.Copy(io.Discard, io.LimitReader(s.lines, maxEventBytes))
			return Event{}, &StreamEndedError{Address: s.address}
		}
		event, err := parseEvent(data)
		if err != nil {
			return Event{}, s.broken(err)
		}
		if event.AttemptID == s.attempt {
			return event, nil
		}
		s.client.dropCrossed(s.address, s.attempt, event.AttemptID)
	}
}

func (c *HTTPClient) dropCrossed(address, attempt, got string) {
	c.crossed.Add(1)
	if c.opts.OnMismatched != nil {
		c.opts.OnMismatched(address, attempt, got)
	}
}

// nextData returns the data of the next event. Comments and other fields count
// as progress.
func (s *httpStream) nextData() (string, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return "", err
		}
		s.timer.Reset(s.client.opts.ProgressTimeout)
		if data, ok := strings.CutPrefix(line, "data:"); ok {
			return strings.TrimPrefix(data, " "), nil
		}
	}
}

func (s *httpStream) readLine() (string, error) {
	var line []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return strings.TrimRight(string(line), "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return "", err
		}
		if len(line) > maxEventBytes {
			return "", &EventTooLongError{Limit: maxEventBytes}
		}
	}
}

// EventTooLongError reports an event that is longer than the client accepts.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string { return "event is too long" }

// parseEvent parses the data of one event.
func parseEvent(data string) (Event, error) {
	var chunk ChunkBody
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return Event{}, err
	}
	event := Event{AttemptID: chunk.ID, Offset: chunk.Offset}
	if len(chunk.Choices) > 0 {
		event.Text = chunk.Choices[0].Delta.Content
		if reason := chunk.Choices[0].FinishReason; reason != nil {
			event.FinishReason = *reason
		}
	}
	if chunk.Usage != nil {
		event.PromptTokens = chunk.Usage.PromptTokens
		event.CachedTokens = chunk.Usage.Details.CachedTokens
	}
	return event, nil
}

// Close implements Stream.
func (s *httpStream) Close() error {
	s.timer.Stop()
	s.cancel(nil)
	if s.body == nil {
		return nil
	}
	return s.body.Close()
}
