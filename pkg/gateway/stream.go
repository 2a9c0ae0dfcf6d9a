package gateway

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

const (
	headerLastEventID = "Last-Event-ID"

	contentTypeEvents = "text/event-stream"

	// streamBufferEvents is the number of events buffered for a slow caller
	// before the handler that sends them blocks.
	streamBufferEvents = 256
	// eventBytes is what an event in the buffer takes.
	eventBytes = 128
	// keepAliveInterval is the longest time without a write to a stream. The
	// write of a keep-alive comment fails if the connection is dead.
	keepAliveInterval = 5 * time.Second
)

// DisconnectError reports that the caller has closed its connection.
type DisconnectError struct{ RequestID string }

func (e *DisconnectError) Error() string { return "caller of request " + e.RequestID + " disconnected" }

// ReattachError reports that another daemon continues the stream. The caller
// reconnects to the request's events endpoint with the ID of its last event.
type ReattachError struct{ RequestID string }

func (e *ReattachError) Error() string {
	return "request " + e.RequestID + " continues on another daemon"
}

// location returns the path of the endpoint that sends the rest of the answer.
func (e *ReattachError) location() string { return requestsPath + e.RequestID + eventsSuffix }

// tokenTimer records the time to the first token and between tokens in the
// metrics.
type tokenTimer struct {
	exchange *exchange
	last     time.Time
}

func (x *exchange) newTokenTimer() tokenTimer { return tokenTimer{exchange: x} }

func (t *tokenTimer) observe() {
	now := t.exchange.server.options.Clock.Now()
	m := t.exchange.server.metrics
	if t.last.IsZero() {
		m.firstToken.Observe(now.Sub(t.exchange.started).Seconds())
	} else {
		m.betweenTokens.Observe(now.Sub(t.last).Seconds())
	}
	m.tokens.Inc()
	t.last = now
}

// channelSink passes events from the chat handler to the goroutine that writes
// the response.
type channelSink struct {
	exchange *exchange
	events   chan api.TokenEvent
}

// Send implements api.EventSink.
func (c *channelSink) Send(event api.TokenEvent) error {
	select {
	case c.events <- event:
		return nil
	case <-c.exchange.ctx.Done():
		return &DisconnectError{RequestID: c.exchange.request.ID}
	}
}

// CanReattach reports that the caller can continue the stream on another
// daemon. The chat handler checks for this method.
func (c *channelSink) CanReattach() bool { return true }

// stream runs produce and sends its events as server-sent events. If produce
// fails before the first event, the response has the HTTP status of the failure.
func (x *exchange) stream(model string, fromOffset int, produce func(api.EventSink) error) {
	if err := x.held.Count(streamBufferEvents * eventBytes); err != nil {
		x.fail(x.unreadProblem(err))
		return
	}
	sink := &channelSink{exchange: x, events: make(chan api.TokenEvent, streamBufferEvents)}
	result := make(chan error, 1)
	go func() {
		result <- produce(sink)
		close(sink.events)
	}()
	first, ok := <-sink.events
	if !ok {
		x.answerEmptyStream(<-result)
		return
	}
	w := &eventWriter{
		exchange: x, model: model, offset: fromOffset,
		events: sink.events, result: result, timer: x.newTokenTimer(),
	}
	w.buildPrefix()
	w.timer.observe()
	x.http.SetStatusCode(http.StatusOK)
	x.http.SetContentType(contentTypeEvents)
	x.http.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	x.http.Response.Header.Set(headerRequestID, x.request.ID)
	x.http.Response.ImmediateHeaderFlush = true
	x.http.SetBodyStreamWriter(func(out *bufio.Writer) { w.run(out, first) })
}

// answerEmptyStream responds to a request whose stream ended without an event.
func (x *exchange) answerEmptyStream(err error) {
	if err != nil {
		x.failOrReattach(err)
		return
	}
	x.http.SetContentType(contentTypeEvents)
	x.http.SetBodyString("data: [DONE]\n\n")
	x.complete(http.StatusOK, api.OutcomeDone)
}

// failOrReattach sends the problem in err. For a ReattachError, it responds with
// the location of the rest of the answer instead.
func (x *exchange) failOrReattach(err error) {
	var reattach *ReattachError
	if !errors.As(err, &reattach) {
		x.fail(asProblem(err))
		return
	}
	x.http.Response.Header.Set("Location", reattach.location())
	x.reply(http.StatusAccepted, "", statusBody{ID: reattach.RequestID})
}

// eventWriter writes the events of one stream.
type eventWriter struct {
	exchange *exchange
	model    string
	offset   int
	events   <-chan api.TokenEvent
	result   <-chan error
	timer    tokenTimer
	// prefix is the part of an event between its ID and its delta. It is the
	// same for all events of the stream.
	prefix []byte
	buffer []byte
}

// buildPrefix encodes the prefix once for the whole stream.
func (w *eventWriter) buildPrefix() {
	w.prefix = append(w.prefix, "\ndata: {\"id\":"...)
	w.prefix = appendString(w.prefix, w.exchange.request.ID)
	w.prefix = append(w.prefix, ",\"object\":\"chat.completion.chunk\",\"created\":"...)
	w.prefix = strconv.AppendInt(w.prefix, w.exchange.started.Unix(), 10)
	w.prefix = append(w.prefix, ",\"model\":"...)
	w.prefix = appendString(w.prefix, w.model)
	w.prefix = append(w.prefix, ",\"choices\":[{\"index\":0,\"delta\":{"...)
}

// appendString appends s as a JSON string. Invalid UTF-8 is replaced by
// replacement characters.
func appendString(dst []byte, s string) []byte {
	quoted, err := jsontext.AppendQuote(dst, s)
	if err != nil && quoted == nil {
		return append(dst, `""`...)
	}
	return quoted
}

// appendEvent appends one server-sent event.
func (w *eventWriter) appendEvent(dst []byte, event api.TokenEvent) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(event.Offset), 10)
	dst = append(dst, w.prefix...)
	if event.FinishReason != "" {
		dst = append(dst, "},\"finish_reason\":"...)
		dst = appendString(dst, event.FinishReason)
		return append(dst, "}]}\n\n"...)
	}
	dst = append(dst, "\"content\":"...)
	dst = appendString(dst, event.Text)
	return append(dst, "},\"finish_reason\":null}]}\n\n"...)
}

// run writes events until the stream ends or the caller disconnects.
func (w *eventWriter) run(out *bufio.Writer, first api.TokenEvent) {
	err := w.write(out, first)
	if err != nil {
		w.exchange.handleDisconnect()
	}
	for range w.events {
		// After a failed write, the remaining events are dropped so that the
		// handler does not block.
	}
	failure := <-w.result
	if err != nil {
		w.exchange.complete(http.StatusOK, api.OutcomeUnknown)
		return
	}
	w.finish(out, failure)
}

// write sends events as they arrive and flushes whenever none is buffered.
func (w *eventWriter) write(out *bufio.Writer, event api.TokenEvent) error {
	keepAlive := w.exchange.server.options.Clock.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		w.buffer = w.appendEvent(w.buffer[:0], event)
		if _, err := out.Write(w.buffer); err != nil {
			return err
		}
		next, open, err := w.next(out, keepAlive.C())
		if err != nil || !open {
			return err
		}
		if next.FinishReason == "" {
			w.timer.observe()
		}
		event = next
	}
}

// next returns the next event. Before it waits for one, it flushes out. The
// second result is false at the end of the stream.
func (w *eventWriter) next(out *bufio.Writer, keepAlive <-chan time.Time) (api.TokenEvent, bool, error) {
	select {
	case event, open := <-w.events:
		return event, open, nil
	default:
	}
	if err := out.Flush(); err != nil {
		return api.TokenEvent{}, false, err
	}
	for {
		select {
		case event, open := <-w.events:
			return event, open, nil
		case <-keepAlive:
			if _, err := out.WriteString(": keep-alive\n\n"); err != nil {
				return api.TokenEvent{}, false, err
			}
			if err := out.Flush(); err != nil {
				return api.TokenEvent{}, false, err
			}
		}
	}
}

// finish writes the last event of the stream: the end marker, the location where
// the stream continues, or the problem that ended it early.
func (w *eventWriter) finish(out *bufio.Writer, failure error) {
	outcome := api.OutcomeDone
	var reattach *ReattachError
	if failure == nil {
		_, _ = out.WriteString("data: [DONE]\n\n")
	} else if errors.As(failure, &reattach) {
		outcome = ""
		_, _ = out.WriteString("event: reattach\ndata: {\"location\":")
		_, _ = out.Write(appendString(nil, reattach.location()))
		_, _ = out.WriteString("}\n\n")
	} else {
		problem := asProblem(failure)
		outcome = problem.Outcome
		_, _ = out.WriteString("event: error\ndata: ")
		_, _ = out.Write(encodeProblem(problem, w.exchange.request.ID))
		_, _ = out.WriteString("\n\n")
	}
	if err := out.Flush(); err != nil {
		klog.V(1).InfoS("failed to send the end of the stream", "request", w.exchange.request.ID, "error", err)
	}
	w.exchange.complete(http.StatusOK, outcome)
}
