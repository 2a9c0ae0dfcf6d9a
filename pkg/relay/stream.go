package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// readBufferBytes is large enough for a few events.
const readBufferBytes = 4 << 10

// forwardStream forwards the events of a stream as they arrive.
func (s *serverAttempt) forwardStream(response *http.Response) outcome {
	if err := s.checkContinuation(response); err != nil {
		s.cause = err.Error()
		return s.handleIncomplete()
	}
	events := newEventReader(response.Body)
	control := http.NewResponseController(s.w)
	for {
		event, err := events.next()
		if err == io.EOF {
			return s.endStream(response)
		}
		if err != nil {
			s.cause = "read event: " + err.Error()
			return s.handleIncomplete()
		}
		if err := s.checkNumbered(event); err != nil {
			s.cause = err.Error()
			return s.handleIncomplete()
		}
		if !s.isNewEvent(event.id) {
			continue
		}
		if !s.confirmRun() {
			return s.handleIncomplete()
		}
		s.beginStream()
		s.writeStreamHeader(response)
		if _, err := s.w.Write(event.raw); err != nil {
			return s.callerDisconnected()
		}
		if err := control.Flush(); err != nil {
			return s.callerDisconnected()
		}
		s.exchange.sentEvent(event)
		s.countEvent()
		s.handler.controller.Alive(s.decision.Server.ID)
		s.resetEventGapTimer()
	}
}

// progressEvents is the number of events after which a server did not crash when it began
// an answer: a crash may follow the first one.
const progressEvents = 2

// countEvent counts an event that the server has sent.
func (s *serverAttempt) countEvent() {
	s.eventsReceived++
	if s.eventsReceived == progressEvents {
		s.handler.quarantine.Progressed(s.id)
	}
}

// beginStream records, before the first event of a stream is passed on, the version that has begun
// it.
func (s *serverAttempt) beginStream() {
	if s.begun {
		return
	}
	s.exchange.begun = true
	if s.decision.Server.StartedUnixMilli != 0 {
		s.exchange.version = s.decision.Server.Version
	}
	if s.route.Resumable {
		s.handler.controller.StreamBegan(s.streamID(), &s.decision.Server)
	}
}

// isNewEvent reports whether the caller has not received an event yet. Events
// without a numeric ID count as new.
func (x *exchange) isNewEvent(id string) bool {
	last := x.resumeEventID()
	if last == "" || id == "" {
		return true
	}
	lastNumber, errLast := strconv.ParseInt(last, 10, 64)
	number, errNumber := strconv.ParseInt(id, 10, 64)
	return errLast != nil || errNumber != nil || number > lastNumber
}

// writeStreamHeader sends the header of the first server's response before its
// first event. A stream that continues on another server keeps that header; its
// first event there still tells how long that server took.
func (s *serverAttempt) writeStreamHeader(response *http.Response) {
	if s.sentHeader {
		if s.firstPartAfter < 0 {
			s.firstPart()
		}
		return
	}
	s.exchange.sentHeader = true
	s.status = response.StatusCode
	s.copyResponseHeader(response.Header)
	s.markAnswered(s.decision.Server.RunID())
	s.w.WriteHeader(response.StatusCode)
	s.recordStart()
}

// resetEventGapTimer restarts the timer that detects a silent server between
// events.
func (s *serverAttempt) resetEventGapTimer() {
	if !s.route.Resumable || s.attempts >= s.route.MaxAttempts || s.route.EventGapTarget == 0 {
		s.stopFirstPartTimer()
		return
	}
	gapTimeout := time.Duration(eventGapFactor * float64(s.route.EventGapTarget))
	if s.eventGapTimer == nil {
		s.stopFirstPartTimer()
		s.mu.Lock()
		s.eventGapTimer = time.AfterFunc(gapTimeout, s.handleSilence)
		s.mu.Unlock()
		s.stop = append(s.stop, s.eventGapTimer.Stop)
		return
	}
	s.eventGapTimer.Reset(gapTimeout)
}

// endStream completes a stream that the server has ended.
func (s *serverAttempt) endStream(response *http.Response) outcome {
	if !s.confirmRun() || !s.confirmEnd(response) {
		return s.handleIncomplete()
	}
	s.writeStreamHeader(response)
	s.sentAll = true
	s.result = placement.ResultAnswered
	s.reusable = !response.Close
	s.completed()
	return outcomeDone
}

// callerDisconnected ends an attempt whose caller has disconnected.
func (s *serverAttempt) callerDisconnected() outcome {
	s.handler.quarantine.Abandoned(s.id, s.position())
	s.result = placement.ResultAbandoned
	s.status, s.cause = statusCallerDisconnected, "caller disconnected"
	return outcomeDone
}

// event is one event of a stream; raw includes the blank line that ends it. hasFields is not set if it
// consists of comments.
type event struct {
	id        string
	hasFields bool
	raw       []byte
}

// eventReader splits a stream of server-sent events. It never returns an
// incomplete event.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// EventTooLongError reports an event over the size limit.
type EventTooLongError struct{ Bytes int }

func (e *EventTooLongError) Error() string {
	return "event exceeds " + strconv.Itoa(e.Bytes) + " bytes"
}

// next returns the next complete event; its raw bytes are valid until the next
// call.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	for {
		line, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEventBytes {
			return event{}, &EventTooLongError{Bytes: maxEventBytes}
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(r.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" && len(bytes.TrimSpace(r.raw)) > 0 {
			e.raw = r.raw
			return e, nil
		}
		if text != "" && !strings.HasPrefix(text, ":") {
			e.hasFields = true
		}
		if id, ok := strings.CutPrefix(text, "id:"); ok {
			e.id = strings.TrimSpace(id)
		}
	}
}

// connectionTokens returns the names of the headers listed in Connection.
func connectionTokens(h http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range h.Values("Connection") {
		for _, token := range strings.Split(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}
