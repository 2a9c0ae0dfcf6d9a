package demo

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"
)

// MalformedEventError reports an event that a caller cannot read.
type MalformedEventError struct{ Line string }

func (e *MalformedEventError) Error() string { return "malformed event: " + e.Line }

// eventReader reads the server-sent events of one answer.
type eventReader struct{ lines *bufio.Reader }

// streamEvent is one event: a token, the end, a problem or a re-attach hint.
type streamEvent struct {
	kind string
	id   int
	data string
}

// next returns the next event; comments are skipped.
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

// chunk is the part of a completion chunk that callers read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// answer collects what a caller has received of one stream.
type answer struct {
	tokens   []string
	finished bool
	// gap is set when an event did not follow the one before.
	gap     bool
	problem *problem
	// arrivals are the times of the tokens.
	arrivals []time.Time
}

// problem is the part of application/problem+json that callers read.
type problem struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// read takes the events of one connection. It returns false when the answer
// goes on elsewhere: the connection broke or the daemon handed the stream over.
func (a *answer) read(body io.Reader) bool {
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
				a.gap = true
			}
			return true
		case event.data == "[DONE]":
			return true
		default:
			a.take(event)
		}
	}
}

func (a *answer) take(event streamEvent) {
	var c chunk
	if json.Unmarshal([]byte(event.data), &c) != nil || len(c.Choices) != 1 || event.id != len(a.tokens) {
		a.gap = true
		return
	}
	if c.Choices[0].FinishReason != nil {
		a.finished = true
		return
	}
	a.tokens = append(a.tokens, c.Choices[0].Delta.Content)
	a.arrivals = append(a.arrivals, time.Now())
}

func (a *answer) text() string { return strings.Join(a.tokens, "") }
