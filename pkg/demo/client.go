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

// balancer simulates the platform's load balancer: it picks a random daemon for
// each request.
type balancer struct {
	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
}

// set replaces the daemons' addresses for callers.
func (b *balancer) set(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
}

// pickAddress returns the address of a random daemon, or "" if there is none.
func (b *balancer) pickAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) == 0 {
		return ""
	}
	return b.addresses[b.random.IntN(len(b.addresses))]
}

// caller sends requests with the API key of one ClientAccount.
type caller struct {
	apiKey   string
	balancer *balancer
	http     *http.Client
}

// reply is a completely read HTTP response. problem is set if the body is
// application/problem+json.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem *problem
}

// send sends a request to a random daemon and returns the response with its body
// unread.
func (c *caller) send(ctx context.Context, method, path, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.balancer.pickAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return c.http.Do(req)
}

// roundTrip sends a request and reads the whole response.
func (c *caller) roundTrip(ctx context.Context, method, path, body string, headers map[string]string) (*reply, error) {
	response, err := c.send(ctx, method, path, body, headers)
	if err != nil {
		return nil, err
	}
	return readReply(response)
}

// readReply reads a response to its end and closes its body.
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

// chatResult is the outcome of a chat as its caller observed it.
type chatResult struct {
	answer
	requestID string
	sentAt    time.Time
}

// chat requests a streamed answer and re-attaches to the stream when the
// connection ends early.
func (c *caller) chat(ctx context.Context, model string, messages []api.Message, maxTokens int) *chatResult {
	body, _ := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": maxTokens, "stream": true})
	result := &chatResult{sentAt: time.Now()}
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", string(body),
		map[string]string{"Request-Timeout": timeoutHeader(chatTimeout)})
	if err != nil {
		return result
	}
	result.requestID = response.Header.Get("Monsooncrank-Request")
	if c.readStream(response, result) {
		return result
	}
	for ctx.Err() == nil {
		response, err := c.send(ctx, http.MethodGet, "/v1/requests/"+result.requestID+"/events", "", result.lastEventHeader())
		if err == nil && c.readStream(response, result) {
			return result
		}
		if !sleep(ctx, reattachDelay) {
			break
		}
	}
	return result
}

// reattachDelay is the pause between two attempts to re-attach to a stream.
const reattachDelay = 100 * time.Millisecond

// lastEventHeader returns the Last-Event-ID header with which a stream resumes
// after the last received token.
func (r *chatResult) lastEventHeader() map[string]string {
	if len(r.tokens) == 0 {
		return nil
	}
	return map[string]string{"Last-Event-ID": strconv.Itoa(len(r.tokens) - 1)}
}

// readStream reads the part of a stream that arrives on one connection. It
// returns true if the answer is complete or ended with a problem.
func (c *caller) readStream(response *http.Response, result *chatResult) bool {
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		defer func() { _ = response.Body.Close() }()
		return result.readEvents(response.Body)
	}
	r, err := readReply(response)
	if err != nil || r.status == http.StatusAccepted {
		return false
	}
	result.problem = r.problem
	return r.problem != nil
}

// sleep waits for d. It returns false if ctx ends first.
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
