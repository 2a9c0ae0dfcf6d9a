package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/utils/clock"
)

// Defaults of Options.
const (
	defaultProgressTimeout = 2 * time.Second
	defaultDialTimeout     = 500 * time.Millisecond
	defaultCallTimeout     = 2 * time.Second
	defaultIdlePerEngine   = 16
	idleTimeout            = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 4 << 20
)

// Options configure an HTTPClient.
type Options struct {
	// ProgressTimeout is how long a stream may stay silent. Engines send
	// comments while a request waits, so that waiting is not silence.
	ProgressTimeout time.Duration
	DialTimeout     time.Duration
	// CallTimeout bounds calls that are not streams.
	CallTimeout time.Duration
	// OnMismatched is called for each dropped event of another attempt.
	OnMismatched func(address, attemptID, gotAttemptID string)
	Clock        clock.WithDelayedExecution
}

// HTTPClient is a Client over HTTP.
type HTTPClient struct {
	opts   Options
	shared *http.Transport
	fresh  *http.Transport
	// crossed counts dropped events of other attempts.
	crossed atomic.Uint64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client. Close releases its idle connections.
func NewHTTPClient(opts Options) *HTTPClient {
	if opts.ProgressTimeout == 0 {
		opts.ProgressTimeout = defaultProgressTimeout
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.RealClock{}
	}
	return &HTTPClient{opts: opts, shared: newTransport(opts, false), fresh: newTransport(opts, true)}
}

func newTransport(opts Options, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: defaultIdlePerEngine,
		IdleConnTimeout:     idleTimeout,
	}
}

// Close releases the idle connections.
func (c *HTTPClient) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Crossed returns how many events of other attempts were dropped.
func (c *HTTPClient) MismatchedEvents() uint64 { return c.crossed.Load() }

// Cancel implements Client. It uses a new connection, since the attempt may be
// cancelled because a connection to the engine went silent.
func (c *HTTPClient) Cancel(ctx context.Context, address, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.exchange(ctx, c.fresh, http.MethodPost, address, PathCancel, AttemptBody{Attempt: attemptID}, nil)
}

// Probe asks on a new connection whether the engine answers.
func (c *HTTPClient) Probe(ctx context.Context, address string) error {
	var body LoadBody
	return c.exchange(ctx, c.fresh, http.MethodGet, address, PathLoad, nil, &body)
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context, address string) (Load, error) {
	var body LoadBody
	err := c.call(ctx, http.MethodGet, address, PathLoad, nil, &body)
	return Load(body), err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var body CacheEventsBody
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, address, path, nil, &body)
	return body.Events, err
}

// ExportKV implements Client.
func (c *HTTPClient) ExportKV(ctx context.Context, address, attemptID string) (KVExport, error) {
	var export KVExport
	err := c.call(ctx, http.MethodPost, address, PathKVExport, AttemptBody{Attempt: attemptID}, &export)
	return export, err
}

// ImportKV implements Client. The transfer takes as long as ctx allows.
func (c *HTTPClient) ImportKV(ctx context.Context, address, source, handle string) error {
	return c.exchange(ctx, c.shared, http.MethodPost, address, PathKVImport, ImportBody{Source: source, Handle: handle}, nil)
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) error {
	err := c.call(ctx, http.MethodPost, address, PathOrders, order, nil)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return &StaleOrderError{Address: address, Sent: order.FencingNumber, InForce: refused.InForce}
	}
	return err
}

// Orders implements Client.
func (c *HTTPClient) CurrentOrder(ctx context.Context, address string) (Order, error) {
	var order Order
	err := c.call(ctx, http.MethodGet, address, PathOrders, nil, &order)
	return order, err
}

func (c *HTTPClient) call(ctx context.Context, method, address, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.exchange(ctx, c.shared, method, address, path, body, answer)
}

func (c *HTTPClient) exchange(ctx context.Context, transport *http.Transport, method, address, path string, body, answer any) error {
	response, err := c.send(ctx, transport, method, address, path, "", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &StreamBrokenError{Address: address, Cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusal(address, response, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &MalformedResponseError{Address: address, Cause: err}
	}
	return nil
}

// unrepeatable is a request body that cannot be read twice. net/http repeats a
// request on its own only if it has no body or can get the body again, so that
// a request with this body and without GetBody is never repeated. An empty one
// sends nothing.
type unrepeatable struct{ io.Reader }

// Close implements io.Closer.
func (unrepeatable) Close() error { return nil }

// send sends one request once. It returns NotSentError when no connection was
// made and StreamBrokenError when the answer's headers did not arrive.
func (c *HTTPClient) send(ctx context.Context, transport *http.Transport, method, address, path, attempt string, body any) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, &NotSentError{Address: address, Cause: err}
		}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, address, path, data)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	if attempt != "" {
		request.Header.Set(HeaderAttempt, attempt)
	}
	// RoundTrip follows no redirect: a redirect would repeat the request.
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	return nil, &StreamBrokenError{Address: address, Silent: errors.Is(err, context.DeadlineExceeded), Cause: err}
}

func newRequest(ctx context.Context, method, address, path string, data []byte) (*http.Request, error) {
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Body = unrepeatable{bytes.NewReader(data)}
	request.ContentLength = int64(len(data))
	if len(data) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// refusal turns an answer with an error status into a typed error. Only a
// refusal that says so proves that nothing ran.
func refusal(address string, response *http.Response, data []byte) error {
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		body.Error = http.StatusText(response.StatusCode)
	}
	notRun := response.Header.Get(HeaderNotRun) == "true"
	clientError := response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError
	if !notRun && !clientError {
		return &StreamBrokenError{Address: address, Cause: &StatusError{Status: response.StatusCode, Reason: body.Error}}
	}
	return &RefusedError{
		Address: address, Status: response.StatusCode, Reason: body.Error, InForce: body.InForce,
		Leaving: response.Header.Get(HeaderLeaving) == "true",
	}
}

// StatusError reports an error status that does not prove that nothing ran.
type StatusError struct {
	Status int
	Reason string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// MalformedResponseError reports an answer that cannot be parsed.
type MalformedResponseError struct {
	Address string
	Cause   error
}

func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("answer from engine %s is malformed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// AttemptMismatchError reports an answer to another attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer for attempt %q, want %q", e.Got, e.Want)
}
