package demo

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// entrances are the daemons that the platform's balancer sends callers to.
type entrances struct {
	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
}

func (e *entrances) set(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses = addresses
}

func (e *entrances) pick() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.addresses) == 0 {
		return ""
	}
	return e.addresses[e.random.IntN(len(e.addresses))]
}

// caller sends the requests of one account.
type caller struct {
	key       string
	entrances *entrances
	http      *http.Client
}

// reply is an HTTP answer read to its end.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem *problem
}

func (c *caller) request(ctx context.Context, method, path, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entrances.pick()+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return c.http.Do(req)
}

func (c *caller) exchange(ctx context.Context, method, path, body string, headers map[string]string) (*reply, error) {
	response, err := c.request(ctx, method, path, body, headers)
	if err != nil {
		return nil, err
	}
	return readReply(response)
}

func readReply(response *http.Response) (*reply, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &reply{status: response.StatusCode, header: response.Header, body: body}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		r.problem = &problem{}
		if err := json.Unmarshal(body, r.problem); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return r, nil
}

// chatResult is what a caller knows about its chat at the end.
type chatResult struct {
	answer
	requestID string
	sent      time.Time
}

// chat asks for a stream and re-attaches when its connection ends early.
func (c *caller) chat(ctx context.Context, model string, messages []api.Message, maxTokens int) *chatResult {
	body, _ := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": maxTokens, "stream": true})
	result := &chatResult{sent: time.Now()}
	response, err := c.request(ctx, http.MethodPost, "/v1/chat/completions", string(body),
		map[string]string{"Request-Timeout": timeoutHeader(chatPatience)})
	if err != nil {
		return result
	}
	result.requestID = response.Header.Get("Monsooncrank-Request")
	if c.follow(response, result) {
		return result
	}
	for ctx.Err() == nil {
		response, err := c.request(ctx, http.MethodGet, "/v1/requests/"+result.requestID+"/events", "", result.lastEvent())
		if err == nil && c.follow(response, result) {
			return result
		}
		if !sleep(ctx, reattachDelay) {
			break
		}
	}
	return result
}

// reattachDelay is how long a caller waits before it re-attaches again.
const reattachDelay = 100 * time.Millisecond

func (r *chatResult) lastEvent() map[string]string {
	if len(r.tokens) == 0 {
		return nil
	}
	return map[string]string{"Last-Event-ID": strconv.Itoa(len(r.tokens) - 1)}
}

// follow reads one connection of a stream. It returns true at the end of the
// answer.
func (c *caller) follow(response *http.Response, result *chatResult) bool {
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		defer func() { _ = response.Body.Close() }()
		return result.read(response.Body)
	}
	r, err := readReply(response)
	if err != nil || r.status == http.StatusAccepted {
		return false
	}
	result.problem = r.problem
	return r.problem != nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
