package recoverytest

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// newClient returns a client that opens a new connection for each request, so that
// no connection outlives its daemon.
func newClient(tlsConfig *tls.Config) *http.Client {
	return &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: tlsConfig}}
}

// reply is a completely read response. The status is 0 if there was no response.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem struct {
		Type    string      `json:"type"`
		Outcome api.Outcome `json:"outcome"`
	}
}

func (m *member) send(method, url, token, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return m.client.Do(req)
}

func (m *member) exchange(method, url, token, body string, headers map[string]string) *reply {
	r := &reply{}
	response, err := m.send(method, url, token, body, headers)
	if err != nil {
		return r
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return r
	}
	r.status, r.header, r.body = response.StatusCode, response.Header, string(raw)
	if strings.HasPrefix(r.header.Get("Content-Type"), "application/problem+json") {
		_ = json.Unmarshal(raw, &r.problem)
	}
	return r
}

func (m *member) callersURL(path string) string { return m.scheme + "://" + m.CallersAddress() + path }

// operatorGet sends a GET request to the operator API.
func (m *member) operatorGet(path string) *reply { return m.operatorRequest(http.MethodGet, path) }

func (m *member) operatorRequest(method, path string) *reply {
	return m.exchange(method, m.scheme+"://"+m.OperatorsAddress()+path, operatorsToken, "", nil)
}

// componentDetail returns the detail of a component in the daemon's status.
func (m *member) componentDetail(name string) string {
	var status struct {
		Duties []struct{ Name, Detail string }
	}
	_ = json.Unmarshal([]byte(m.operatorGet("/v1/status").body), &status)
	for _, d := range status.Duties {
		if d.Name == name {
			return d.Detail
		}
	}
	return ""
}

// metric returns the value of a metric without labels, or -1 if it does not exist.
func (m *member) metric(name string) int {
	for line := range strings.Lines(m.operatorGet("/metrics").body) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return -1
}

func messages(content string) []api.Message { return []api.Message{{Role: "user", Content: content}} }

func chatBody(content string, maxTokens int, stream bool) string {
	raw, _ := json.Marshal(map[string]any{
		"model": model, "messages": messages(content), "max_tokens": maxTokens, "stream": stream,
	})
	return string(raw)
}

// chat sends a chat request without streaming.
func (m *member) chat(content string, maxTokens int) *reply {
	return m.exchange(http.MethodPost, m.callersURL("/v1/chat/completions"), apiKey, chatBody(content, maxTokens, false),
		map[string]string{"Request-Timeout": "10"})
}

// text returns the text of a chat response, or "" if it is not valid.
func (r *reply) text() string {
	var answer struct {
		Choices []struct {
			Message api.Message `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(r.body), &answer) != nil || len(answer.Choices) != 1 {
		return ""
	}
	return answer.Choices[0].Message.Content
}

// book sends the once-only call with an idempotency key.
func (m *member) book(key string) *reply {
	return m.exchange(http.MethodPost, m.callersURL("/v1/services/desk/book"), apiKey, fmt.Sprintf(`{"object":%q}`, key),
		map[string]string{"Idempotency-Key": key, "Request-Timeout": "1"})
}

// streamResult is the part of a stream that a caller has received.
type streamResult struct {
	requestID string
	tokens    []string
	finished  bool
	// failure is a problem or an event out of sequence.
	failure string
	// handedOver is set when the daemon has handed the stream over to a peer.
	handedOver bool
}

// openStream starts a stream and returns its response.
func (m *member) openStream(content string, maxTokens int) (*http.Response, error) {
	return m.send(http.MethodPost, m.callersURL("/v1/chat/completions"), apiKey, chatBody(content, maxTokens, true),
		map[string]string{"Request-Timeout": "25"})
}

// attach requests the rest of a stream from a daemon.
func (m *member) attach(s *streamResult) (*http.Response, error) {
	headers := map[string]string{}
	if len(s.tokens) > 0 {
		headers["Last-Event-ID"] = strconv.Itoa(len(s.tokens) - 1)
	}
	return m.send(http.MethodGet, m.callersURL("/v1/requests/"+s.requestID+"/events"), apiKey, "", headers)
}

// read reads the events of one response until it ends.
func (s *streamResult) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusAccepted {
			s.failure = string(raw)
		}
		return
	}
	id, kind := "", ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "event":
			kind = value
		case "data":
			s.handleEvent(id, kind, value)
			id, kind = "", ""
		}
	}
}

func (s *streamResult) handleEvent(id, kind, data string) {
	switch {
	case kind == "reattach":
		s.handedOver = true
		return
	case kind != "":
		s.failure = data
		return
	case data == "[DONE]":
		return
	}
	var chunk struct {
		Choices []struct {
			Delta        struct{ Content string }
			FinishReason *string `json:"finish_reason"`
		}
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 || id != strconv.Itoa(len(s.tokens)) {
		s.failure = fmt.Sprintf("unexpected event %s after %d tokens: %s", id, len(s.tokens), data)
		return
	}
	if chunk.Choices[0].FinishReason != nil {
		s.finished = true
		return
	}
	s.tokens = append(s.tokens, chunk.Choices[0].Delta.Content)
}
