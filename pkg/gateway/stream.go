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

	// streamBuffer is how many events may wait for a slow caller before the
	// duty that sends them is blocked.
	streamBuffer = 256
	// keepAliveInterval bounds how long a stream stays without a byte, so that
	// a connection that has gone silent is noticed by a failing write.
	keepAliveInterval = 5 * time.Second
)

// DisconnectError reports that the caller has closed its connection.
type DisconnectError struct{ RequestID string }

func (e *DisconnectError) Error() string { return "the caller of request " + e.RequestID + " has gone" }

// ReattachError reports a stream that another daemon continues: the caller
// re-attaches at the request's events with the ID of its last event.
type ReattachError struct{ RequestID string }

func (e *ReattachError) Error() string {
	return "request " + e.RequestID + " goes on at another daemon"
}

// location is where the rest of the answer is.
func (e *ReattachError) location() string { return requestsPath + e.RequestID + eventsSuffix }

// tokenTimer observes the time to the first token and between tokens.
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

// channelSink passes events from the duty to the writer of the response.
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

// CanReattach tells the duty that the caller can go on with the stream at
// another daemon.
func (c *channelSink) CanReattach() bool { return true }

// stream runs produce and sends its events as server-sent events. A failure
// before the first event is answered with its HTTP status.
func (x *exchange) stream(model string, from int, produce func(api.EventSink) error) {
	sink := &channelSink{exchange: x, events: make(chan api.TokenEvent, streamBuffer)}
	failed := make(chan error, 1)
	go func() {
		failed <- produce(sink)
		close(sink.events)
	}()
	first, ok := <-sink.events
	if !ok {
		x.answerEmpty(<-failed)
		return
	}
	w := &eventWriter{
		exchange: x, model: model, offset: from,
		events: sink.events, failed: failed, timer: x.newTokenTimer(),
	}
	w.prepare()
	w.timer.observe()
	x.http.SetStatusCode(http.StatusOK)
	x.http.SetContentType(contentTypeEvents)
	x.http.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	x.http.Response.Header.Set(headerRequestID, x.request.ID)
	x.http.Response.ImmediateHeaderFlush = true
	x.http.SetBodyStreamWriter(func(out *bufio.Writer) { w.run(out, first) })
}

// answerEmpty answers a stream that ended without an event.
func (x *exchange) answerEmpty(err error) {
	if err != nil {
		x.failOrReattach(err)
		return
	}
	x.http.SetContentType(contentTypeEvents)
	x.http.SetBodyString("data: [DONE]\n\n")
	x.end(http.StatusOK, api.OutcomeDone)
}

// failOrReattach answers a failure, or tells where the answer goes on.
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
	failed   <-chan error
	timer    tokenTimer
	// prefix is the constant beginning of each event's data.
	prefix []byte
	buffer []byte
}

func (w *eventWriter) prepare() {
	w.prefix = append(w.prefix, "\ndata: {\"id\":"...)
	w.prefix = appendString(w.prefix, w.exchange.request.ID)
	w.prefix = append(w.prefix, ",\"object\":\"chat.completion.chunk\",\"created\":"...)
	w.prefix = strconv.AppendInt(w.prefix, w.exchange.started.Unix(), 10)
	w.prefix = append(w.prefix, ",\"model\":"...)
	w.prefix = appendString(w.prefix, w.model)
	w.prefix = append(w.prefix, ",\"choices\":[{\"index\":0,\"delta\":{"...)
}

// appendString appends s as a JSON string. Text that is not valid UTF-8 gets
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

// run writes events until the stream ends or the caller has gone.
func (w *eventWriter) run(out *bufio.Writer, first api.TokenEvent) {
	err := w.write(out, first)
	if err != nil {
		w.exchange.callerGone()
	}
	for range w.events {
		// The caller has gone: the duty's remaining events are dropped.
	}
	failure := <-w.failed
	if err != nil {
		w.exchange.end(http.StatusOK, api.OutcomeUnknown)
		return
	}
	w.finish(out, failure)
}

// write sends events as they come and flushes whenever none is waiting.
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

// next returns the next event; it flushes before it has to wait.
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

// finish writes the end of the stream: its completion, or the problem that cut
// it short.
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
		klog.V(1).InfoS("end of stream not sent", "request", w.exchange.request.ID, "error", err)
	}
	w.exchange.end(http.StatusOK, outcome)
}
