package demo

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"
)

// MalformedEventError reports an event whose ID is not a number.
type MalformedEventError struct{ Line string }

func (e *MalformedEventError) Error() string { return "malformed event: " + e.Line }

// eventReader reads server-sent events from one response body.
type eventReader struct{ lines *bufio.Reader }

// streamEvent is one server-sent event: a token, the end of the answer, a problem
// or a request to re-attach. id is -1 if the event has none.
type streamEvent struct {
	kind string
	id   int
	data string
}

// next returns the next event with data. Comments are skipped.
func (r *eventReader) next() (streamEvent, error) {
	e := streamEvent{id: -1}
	for {
		line, err := r.lines.ReadString('\n')
		if err != nil {
			return e, err
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && e.data != "":
			return e, nil
		case name == "id":
			if e.id, err = strconv.Atoi(value); err != nil {
				return e, &MalformedEventError{Line: line}
			}
		case name == "event":
			e.kind = value
		case name == "data":
			e.data += value
		}
	}
}

// completionChunk holds the fields of a completion chunk that callers use.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// answer collects the events of one stream, over all its connections.
type answer struct {
	tokens   []string
	finished bool
	// malformed is set if an event could not be decoded or its ID did not follow
	// that of the previous event.
	malformed bool
	problem   *problem
	// arrivalTimes are the times at which the tokens arrived.
	arrivalTimes []time.Time
}

// problem holds the fields of application/problem+json that callers use.
type problem struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// readEvents reads the events of one connection. It returns false if the caller
// must re-attach for the rest of the answer: the connection broke or the daemon
// handed the stream over.
func (a *answer) readEvents(body io.Reader) bool {
	reader := &eventReader{lines: bufio.NewReader(body)}
	for {
		event, err := reader.next()
		if err != nil {
			return a.finished
		}
		switch {
		case event.kind == "reattach":
			return false
		case event.kind == "error":
			a.problem = &problem{}
			if json.Unmarshal([]byte(event.data), a.problem) != nil {
				a.malformed = true
			}
			return true
		case event.data == "[DONE]":
			return true
		default:
			a.addChunk(event)
		}
	}
}

// addChunk adds one completion chunk. Event IDs count the chunks from 0.
func (a *answer) addChunk(event streamEvent) {
	var c completionChunk
	if json.Unmarshal([]byte(event.data), &c) != nil || len(c.Choices) != 1 || event.id != len(a.tokens) {
		a.malformed = true
		return
	}
	if c.Choices[0].FinishReason != nil {
		a.finished = true
		return
	}
	a.tokens = append(a.tokens, c.Choices[0].Delta.Content)
	a.arrivalTimes = append(a.arrivalTimes, time.Now())
}

// text returns the tokens received so far as one string.
func (a *answer) text() string { return strings.Join(a.tokens, "") }
