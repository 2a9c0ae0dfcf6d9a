package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, e.serveChat)
	mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+engine.PathKVExport, e.serveExport)
	mux.HandleFunc("POST "+engine.PathKVImport, e.serveImport)
	mux.HandleFunc("GET "+engine.PathKVFetch, e.serveFetch)
	mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engine.PathOrders, e.serveOrders)
	return mux
}

// trackRequests makes Close wait for running requests and aborts the requests that
// arrive at a killed engine.
func (e *Engine) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		defer e.tasks.Done()
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body engine.ChatBody
	if !readJSON(w, r, &body) {
		return
	}
	s, refusal := e.accept(r.Header.Get(engine.HeaderAttempt), &body)
	if refusal != nil {
		e.ledger.countRefused()
		refusal.write(w)
		return
	}
	e.wakeScheduler()
	w.Header().Set(engine.HeaderAttempt, s.attempt)
	if !body.Stream {
		e.serveWhole(w, r, s)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e.stream(w, r, s)
}

// refusal is an error answer that guarantees that the request did not run.
type refusal struct {
	status  int
	leaving bool
	reason  string
}

func (f *refusal) write(w http.ResponseWriter) {
	w.Header().Set(engine.HeaderNotRun, "true")
	if f.leaving {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
	writeJSON(w, f.status, engine.ErrorBody{Error: f.reason})
}

// accept queues a new sequence, or returns why it is refused.
func (e *Engine) accept(attempt string, body *engine.ChatBody) (*sequence, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, &refusal{status: http.StatusServiceUnavailable, leaving: true, reason: "host is leaving"}
	}
	if len(e.order.Models) > 0 && !slices.Contains(e.order.Models, body.Model) &&
		!slices.Contains(e.order.Adapters, body.Model) {
		return nil, &refusal{status: http.StatusNotFound, reason: "model " + body.Model + " is not loaded"}
	}
	if attempt == "" || e.byID[attempt] != nil {
		return nil, &refusal{status: http.StatusConflict, reason: "attempt ID is missing or in use"}
	}
	s := e.newSequence(attempt, body)
	e.byID[attempt] = s
	e.waiting = append(e.waiting, s)
	return s, nil
}

// newSequence returns the sequence of a request. If the resumed tokens are not the
// beginning of the answer, the sequence ends with the token "mismatch".
func (e *Engine) newSequence(attempt string, body *engine.ChatBody) *sequence {
	contextTokens := append(engine.PromptTokens(body.Messages), body.ResumeTokens...)
	answer := ExpectedTokens(body.Model, body.Messages, body.MaxTokens)
	resumed := len(body.ResumeTokens)
	mismatch := resumed > len(answer) || !slices.Equal(answer[:min(resumed, len(answer))], body.ResumeTokens)
	if mismatch {
		answer = append(slices.Clone(body.ResumeTokens), "mismatch ")
	}
	e.sequence++
	imported := e.imports[body.KVHandle]
	return &sequence{
		attempt: attempt, model: body.Model, messages: body.Messages, priority: body.Priority,
		arrival: e.sequence, contextTokens: len(contextTokens), hashes: engine.PrefixHashes(body.Model, contextTokens),
		imported: min(imported.Tokens, len(contextTokens)), answer: answer,
		finish:      ExpectedFinish(body.Model, body.Messages, body.MaxTokens),
		firstOffset: resumed, nextOffset: resumed,
		events: make(chan engine.ChunkBody, len(answer)-min(resumed, len(answer))+1),
		entry: e.ledger.start(Entry{
			AttemptID: attempt, Engine: e.opts.Name, Model: body.Model,
			ContextTokens: len(contextTokens), FirstOffset: resumed, WrongResume: mismatch,
		}),
	}
}

// stream writes the events of a sequence, and keep-alive comments while there are
// none.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	out := &eventWriter{w: w, flush: http.NewResponseController(w).Flush, faults: e.currentFaults()}
	out.comment()
	keepAlive := e.clock.NewTicker(e.opts.KeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case chunk, ok := <-s.events:
			if !ok {
				if e.Killed() {
					panic(http.ErrAbortHandler)
				}
				return
			}
			out.event(chunk)
		case <-keepAlive.C():
			out.comment()
		case <-r.Context().Done():
			e.cancel(s.attempt)
			return
		}
	}
}

// serveWhole collects the events of a sequence and answers without streaming.
func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, s *sequence) {
	var whole engine.CompletionBody
	whole.ID, whole.Object, whole.Model = s.attempt, "chat.completion", s.model
	text := ""
	for {
		select {
		case chunk, ok := <-s.events:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			text += chunk.Choices[0].Delta.Content
			if chunk.Usage == nil {
				continue
			}
			whole.Usage = *chunk.Usage
			whole.Choices = []engine.CompletionChoice{{
				Message:      engine.MessageBody{Role: "assistant", Content: text},
				FinishReason: *chunk.Choices[0].FinishReason,
			}}
			writeJSON(w, http.StatusOK, whole)
			return
		case <-r.Context().Done():
			e.cancel(s.attempt)
			return
		}
	}
}

func (e *Engine) currentFaults() EventFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body engine.AttemptBody
	if !readJSON(w, r, &body) {
		return
	}
	e.cancel(body.Attempt)
	w.WriteHeader(http.StatusNoContent)
}

// cancel ends an attempt. It does nothing if the attempt has ended or is unknown.
func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.byID[attempt]; s != nil {
		e.finish(s, EndCancelled)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, engine.ErrorBody{Error: "after is not a number"})
		return
	}
	e.mu.Lock()
	events := e.cache.since(e.clock.Now(), after, e.opts.CacheEventDelay, e.opts.CacheEventGap)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.CacheEventsBody{Events: events})
}

// serveOrder puts an order in force unless its fencing number is old or its
// deadline has passed.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.FencingNumber < e.order.FencingNumber {
		writeJSON(w, http.StatusConflict, engine.ErrorBody{Error: "old fencing number", InForce: e.order.FencingNumber})
		return
	}
	if !order.Deadline.IsZero() && e.clock.Now().After(order.Deadline) {
		writeJSON(w, http.StatusGone, engine.ErrorBody{Error: "order is past its deadline"})
		return
	}
	e.order = order
	w.WriteHeader(http.StatusNoContent)
}

// serveOrders returns the order in force.
func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	order := e.order
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, order)
}

// readJSON decodes the request body. If that fails, it answers with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, engine.ErrorBody{Error: err.Error()})
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// eventWriter writes server-sent events and injects the event faults.
type eventWriter struct {
	w      http.ResponseWriter
	flush  func() error
	faults EventFaults
	// count is the number of events so far.
	count int
	// first is the first event, which LateEvery repeats.
	first *engine.ChunkBody
}

// comment writes a keep-alive comment.
func (o *eventWriter) comment() {
	_, _ = o.w.Write([]byte(": waiting\n\n"))
	_ = o.flush()
}

// event writes an event with the faults that apply to it. The last event, which
// carries the usage, is never affected and is followed by the end marker.
func (o *eventWriter) event(chunk engine.ChunkBody) {
	o.count++
	if o.first == nil {
		o.first = &chunk
	}
	last := chunk.Usage != nil
	if last || o.faults.GapAt == 0 || chunk.Offset != o.faults.GapAt {
		o.write(chunk)
	}
	if !last && o.faults.LateEvery > 0 && o.count%o.faults.LateEvery == 0 {
		o.write(*o.first)
	}
	if !last && o.faults.CrossedEvery > 0 && o.count%o.faults.CrossedEvery == 0 {
		crossed := chunk
		crossed.ID, crossed.Offset = "another-attempt.1", chunk.Offset+1
		o.write(crossed)
	}
	if last {
		_, _ = o.w.Write([]byte("data: " + engine.StreamDone + "\n\n"))
	}
	_ = o.flush()
}

func (o *eventWriter) write(chunk engine.ChunkBody) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = o.w.Write([]byte("data: "))
	_, _ = o.w.Write(data)
	_, _ = o.w.Write([]byte("\n\n"))
}
