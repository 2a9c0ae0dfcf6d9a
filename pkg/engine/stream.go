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

// maxEventBytes limits the length of one line of an event stream.
const maxEventBytes = 1 << 20

// Start implements Client. It returns once the engine has accepted the request.
func (c *HTTPClient) Start(ctx context.Context, address string, req *Request) (Stream, error) {
	// The context of the HTTP request lasts until the stream is closed. ctx
	// limits only the start.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	s := &httpStream{client: c, address: address, attemptID: req.AttemptID, cancel: cancel}
	s.timer = c.opts.Clock.AfterFunc(c.opts.ProgressTimeout, s.onSilence)
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	transport := c.pooled
	if req.FreshConnection {
		transport = c.unpooled
	}
	response, err := c.send(streamCtx, transport, http.MethodPost, address, PathChat, req.AttemptID, chatBody(req))
	s.timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, s.annotateStartError(err)
	}
	s.body = response.Body
	if err := s.checkResponse(response); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.reader = bufio.NewReader(response.Body)
	return s, nil
}

func chatBody(req *Request) ChatBody {
	return ChatBody{
		Model: req.Model, Messages: req.Messages, MaxTokens: req.MaxTokens, Stream: true,
		Priority: req.Priority, ResumeTokens: req.ResumeTokens, KVHandle: req.KVHandle,
	}
}

// httpStream reads a Stream from a response body. A timer cancels the request if
// no data arrives within the progress timeout.
type httpStream struct {
	client    *HTTPClient
	address   string
	attemptID string
	cancel    context.CancelCauseFunc
	timer     clock.Timer
	silent    atomic.Bool
	body      io.ReadCloser
	reader    *bufio.Reader
	ended     bool
}

// onSilence cancels a stream on which no data has arrived within the progress
// timeout. It also closes the idle connections, which may have failed in the
// same way.
func (s *httpStream) onSilence() {
	s.silent.Store(true)
	s.client.pooled.CloseIdleConnections()
	s.cancel(context.DeadlineExceeded)
}

// annotateStartError sets Silent on a StreamBrokenError.
func (s *httpStream) annotateStartError(err error) error {
	if broken, ok := err.(*StreamBrokenError); ok {
		broken.Silent = s.silent.Load()
	}
	return err
}

func (s *httpStream) brokenError(cause error) error {
	return &StreamBrokenError{Address: s.address, Silent: s.silent.Load(), Cause: cause}
}

// checkResponse returns an error unless the engine accepted the request and the
// response belongs to the attempt.
func (s *httpStream) checkResponse(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		held := s.client.opts.Responses.Begin()
		defer held.Release()
		data, err := readWhole(held.Reader(response.Body))
		if err != nil {
			return s.brokenError(err)
		}
		return errorFromResponse(s.address, response, data)
	}
	if got := response.Header.Get(HeaderAttempt); got != s.attemptID {
		return s.brokenError(&AttemptMismatchError{Want: s.attemptID, Got: got})
	}
	return nil
}

// Next implements Stream. It must not be called concurrently.
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
			return Event{}, s.brokenError(err)
		}
		if data == StreamDone {
			s.ended = true
			// The connection can be reused only if the body is read to its
			// end.
			_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, maxEventBytes))
			return Event{}, &StreamEndedError{Address: s.address}
		}
		event, err := parseEvent(data)
		if err != nil {
			return Event{}, s.brokenError(err)
		}
		if event.AttemptID == s.attemptID {
			return event, nil
		}
		s.client.dropMismatched(s.address, s.attemptID, event.AttemptID)
	}
}

func (c *HTTPClient) dropMismatched(address, attemptID, gotAttemptID string) {
	c.mismatched.Add(1)
	if c.opts.OnMismatched != nil {
		c.opts.OnMismatched(address, attemptID, gotAttemptID)
	}
}

// nextData returns the data of the next event. Every line, including comments
// and other fields, restarts the progress timeout.
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
	held := s.client.opts.Responses.Begin()
	defer held.Release()
	for {
		part, err := s.reader.ReadSlice('\n')
		if tooLarge := held.Add(int64(len(part))); tooLarge != nil {
			return "", tooLarge
		}
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

// EventTooLongError reports an event with a line longer than Limit bytes.
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
