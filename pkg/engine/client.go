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

	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

// Default values of Options, and limits of connections and responses.
const (
	defaultProgressTimeout       = 2 * time.Second
	defaultDialTimeout           = 500 * time.Millisecond
	defaultCallTimeout           = 2 * time.Second
	defaultMaxIdleConnsPerEngine = 16
	idleTimeout                  = 30 * time.Second
	// maxResponseBytes limits the size of a response body that is not a stream.
	maxResponseBytes = 4 << 20
	// maxHeadBytes limits the size of the head of a response.
	maxHeadBytes = 64 << 10
)

// Options configures an HTTPClient. Zero values are replaced by defaults.
type Options struct {
	// ProgressTimeout is the longest time without data on a stream. Engines
	// send comments while a request is queued, so queueing does not time out.
	ProgressTimeout time.Duration
	DialTimeout     time.Duration
	// CallTimeout is the timeout of requests that are not streams.
	CallTimeout time.Duration
	// OnMismatched is called for each event that was dropped because it carried
	// the ID of another attempt.
	OnMismatched func(address, attemptID, gotAttemptID string)
	// Responses bounds what all responses take together; there is no bound if it is nil.
	Responses *intake.Responses
	Clock     clock.WithDelayedExecution
}

// HTTPClient implements Client over HTTP. Most requests use pooled connections;
// unpooled opens a new connection for each request.
type HTTPClient struct {
	opts     Options
	pooled   *http.Transport
	unpooled *http.Transport
	// mismatched counts dropped events of other attempts.
	mismatched atomic.Uint64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client. Call Close to release its idle connections.
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
	return &HTTPClient{opts: opts, pooled: newTransport(opts, false), unpooled: newTransport(opts, true)}
}

func newTransport(opts Options, unpooled bool) *http.Transport {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   unpooled,
		DisableCompression:  true,
		MaxIdleConnsPerHost: defaultMaxIdleConnsPerEngine,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Close releases the idle connections.
func (c *HTTPClient) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// MismatchedEvents returns the number of events that were dropped because they
// carried the ID of another attempt.
func (c *HTTPClient) MismatchedEvents() uint64 { return c.mismatched.Load() }

// Cancel implements Client. It uses a new connection, because the reason for
// cancelling may be that a connection to the engine stopped delivering data.
func (c *HTTPClient) Cancel(ctx context.Context, address, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.exchange(ctx, c.unpooled, http.MethodPost, address, PathCancel, AttemptBody{Attempt: attemptID}, nil)
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

// ImportKV implements Client. The transfer is limited only by ctx.
func (c *HTTPClient) ImportKV(ctx context.Context, address, source, handle string) error {
	return c.exchange(ctx, c.pooled, http.MethodPost, address, PathKVImport, ImportBody{Source: source, Handle: handle}, nil)
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

// CurrentOrder implements Client.
func (c *HTTPClient) CurrentOrder(ctx context.Context, address string) (Order, error) {
	var order Order
	err := c.call(ctx, http.MethodGet, address, PathOrders, nil, &order)
	return order, err
}

// call sends a request on a pooled connection with the call timeout.
func (c *HTTPClient) call(ctx context.Context, method, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.exchange(ctx, c.pooled, method, address, path, body, result)
}

// exchange sends a request once and decodes the JSON response into result,
// unless result is nil.
func (c *HTTPClient) exchange(ctx context.Context, transport *http.Transport, method, address, path string, body, result any) error {
	response, err := c.send(ctx, transport, method, address, path, "", body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	held := c.opts.Responses.Begin()
	defer held.Release()
	data, err := readWhole(held.Reader(response.Body))
	if err != nil {
		return &StreamBrokenError{Address: address, Cause: err}
	}
	if response.StatusCode/100 != 2 {
		return errorFromResponse(address, response, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &MalformedResponseError{Address: address, Cause: err}
	}
	return nil
}

// ResponseTooLongError reports a response without an end within Limit bytes.
type ResponseTooLongError struct{ Limit int }

func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.Limit)
}

// readWhole reads a response to its end.
func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = &ResponseTooLongError{Limit: maxResponseBytes}
	}
	return data, err
}

// singleUseBody is a request body that cannot be read twice. net/http retries a
// request on its own only if the request has no body or has GetBody. A request
// with this body and without GetBody is therefore never retried. If the body is
// empty, no bytes are sent for it.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// send sends a request exactly once. It returns NotSentError if no connection
// was made, and StreamBrokenError if the response headers did not arrive.
func (c *HTTPClient) send(ctx context.Context, transport *http.Transport, method, address, path, attemptID string, body any) (*http.Response, error) {
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
	if attemptID != "" {
		request.Header.Set(HeaderAttempt, attemptID)
	}
	// RoundTrip does not follow redirects, which would send the request again.
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
	request.Body = singleUseBody{bytes.NewReader(data)}
	request.ContentLength = int64(len(data))
	if len(data) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// errorFromResponse converts a response with an error status into a typed error.
// It returns RefusedError, which means that the request did not run, only for a
// client error (4xx) or if HeaderNotRun is set.
func errorFromResponse(address string, response *http.Response, data []byte) error {
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

// StatusError reports an error status after which the request may have run.
type StatusError struct {
	Status int
	Reason string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// MalformedResponseError reports a response that cannot be parsed.
type MalformedResponseError struct {
	Address string
	Cause   error
}

func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("answer from engine %s is malformed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// AttemptMismatchError reports a response that carries the ID of another
// attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer for attempt %q, want %q", e.Got, e.Want)
}
