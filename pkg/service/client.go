package service

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

// Headers of requests to plain services and of their responses.
const (
	// HeaderAttempt carries the attempt ID. The service returns it in the
	// response.
	HeaderAttempt = "Monsooncrank-Attempt"
	// HeaderNotRun is "true" on a response that guarantees that the request did
	// not run and will not run.
	HeaderNotRun = "Monsooncrank-Not-Run"
	// HeaderLeaving is "true" on a response from a service whose Host is leaving
	// the fleet.
	HeaderLeaving = "Monsooncrank-Leaving"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	headerTrue = "true"
	// defaultDialTimeout limits the wait for a Host that drops packets.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is shorter than the idle timeout of most servers, so
	// that the client closes idle connections first.
	defaultIdleTimeout        = 10 * time.Second
	defaultMaxConnsPerAddress = 256
	defaultMaxResponseBytes   = 4 << 20
)

// Options configures an HTTPClient. Zero values are replaced by defaults.
type Options struct {
	DialTimeout        time.Duration
	IdleTimeout        time.Duration
	MaxConnsPerAddress int
	MaxResponseBytes   int
	// Responses bounds what all responses take together; there is no bound if it is nil.
	Responses *intake.Responses
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxConnsPerAddress == 0 {
		o.MaxConnsPerAddress = defaultMaxConnsPerAddress
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}

// HTTPClient implements Client over HTTP. It takes connections from fasthttp's
// pools, but writes each request itself, exactly once, so that fasthttp cannot
// retry it. It is safe for concurrent use.
type HTTPClient struct {
	options    Options
	dialer     net.Dialer
	mismatched atomic.Uint64

	mu    sync.Mutex
	pools map[string]*fasthttp.HostClient
}

var _ Client = (*HTTPClient)(nil)

// NewClient returns a client for plain services. Call Close to release its idle
// connections.
func NewClient(options Options) *HTTPClient {
	options = options.withDefaults()
	return &HTTPClient{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout},
		pools:   make(map[string]*fasthttp.HostClient),
	}
}

// MismatchedAnswers returns the number of responses that were dropped because
// they carried the ID of another attempt.
func (c *HTTPClient) MismatchedAnswers() uint64 { return c.mismatched.Load() }

// Close closes the idle connections. The cleanup goroutine that fasthttp runs
// for each pool ends within the idle timeout.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.CloseIdleConnections()
	}
}

// Call implements Client.
func (c *HTTPClient) Call(ctx context.Context, address string, req *Request) (*api.CallAnswer, error) {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpReq.Header.SetMethod(http.MethodPost)
	httpReq.SetRequestURI(req.Path)
	httpReq.Header.SetContentType("application/json")
	if req.IdempotencyKey != "" {
		httpReq.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	httpReq.SetBodyRaw(req.Body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	held := c.options.Responses.Begin()
	defer held.Release()
	if err := c.exchange(ctx, address, httpReq, resp, held, req.AttemptID, req.FreshConnection); err != nil {
		return nil, err
	}
	return toCallAnswer(resp), nil
}

// Lookup implements Client. A RefusedError means that the service guarantees
// that the attempt did not run and will not run. This is stronger than
// AttemptNotFoundError, because a request without a record may still be in
// transit. If a server refuses the lookup itself, for example because it is
// leaving, the result of the attempt is unknown and Lookup returns a BrokenError.
func (c *HTTPClient) Lookup(ctx context.Context, address, path string, attemptID, key string) (*api.CallAnswer, error) {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpReq.Header.SetMethod(http.MethodGet)
	query := url.Values{"attempt": {attemptID}, "key": {key}}
	httpReq.SetRequestURI(path + "?" + query.Encode())
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	held := c.options.Responses.Begin()
	defer held.Release()
	err := c.exchange(ctx, address, httpReq, resp, held, attemptID, true)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil, &BrokenError{Address: address, Cause: refused}
	}
	if err != nil {
		return nil, err
	}
	return parseLookup(address, attemptID, resp)
}

// parseLookup converts the response to a lookup into an answer or an error.
func parseLookup(address, attemptID string, resp *fasthttp.Response) (*api.CallAnswer, error) {
	switch resp.StatusCode() {
	case http.StatusOK:
		answer := &api.CallAnswer{}
		if err := json.Unmarshal(resp.Body(), answer); err != nil {
			return nil, &BrokenError{Address: address, Cause: err}
		}
		return answer, nil
	case http.StatusNotFound:
		return nil, &AttemptNotFoundError{Address: address, AttemptID: attemptID}
	case http.StatusGone:
		if headerIsTrue(resp, HeaderNotRun) {
			return nil, &RefusedError{Address: address, Status: http.StatusGone, Reason: string(resp.Body())}
		}
	}
	return nil, &BrokenError{Address: address, Cause: &StatusError{Status: resp.StatusCode()}}
}

// exchange sends a request once and reads the response to its end.
func (c *HTTPClient) exchange(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, held *intake.Response, attemptID string, fresh bool) error {
	req.Header.SetHost(address)
	req.Header.Set(HeaderAttempt, attemptID)
	conn, err := c.acquire(ctx, address, fresh)
	if err != nil {
		return err
	}
	if fresh {
		req.SetConnectionClose()
	}
	reusable, err := c.roundTrip(ctx, address, conn.Conn, req, resp, held)
	if err == nil {
		reusable, err = c.checkResponse(address, attemptID, resp, reusable)
	}
	conn.release(reusable && !fresh && !resp.ConnectionClose())
	return err
}

// roundTrip sends a request and reads the response. It reports whether the
// connection can be reused: no unread data is left, and the end of ctx has not
// set a deadline on the connection.
func (c *HTTPClient) roundTrip(ctx context.Context, address string, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, held *intake.Response) (bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := writeRequest(conn, req)
	reader := bufio.NewReader(held.Reader(conn))
	if err == nil {
		err = readResponse(reader, resp, c.options.MaxResponseBytes)
	}
	notCancelled := stop()
	if err != nil {
		return false, &BrokenError{Address: address, Silent: isTimeout(ctx, err), Cause: err}
	}
	return notCancelled && reader.Buffered() == 0, nil
}

// maxInterimResponses limits the interim responses (status 1xx) before a response.
const maxInterimResponses = 4

// readResponse reads a response. fasthttp takes a status of 000 for 200, so that the status is checked
// before.
func readResponse(reader *bufio.Reader, resp *fasthttp.Response, maxBodyBytes int) error {
	for range maxInterimResponses {
		status, err := peekStatus(reader)
		if err != nil {
			return err
		}
		if status/100 != 1 {
			return resp.ReadLimitBody(reader, maxBodyBytes)
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(reader); err != nil {
			return err
		}
	}
	return &InterimResponsesError{}
}

// peekStatus returns the status in the first line of a response without reading it.
func peekStatus(reader *bufio.Reader) (int, error) {
	const line = "HTTP/1.1 200 "
	head, err := reader.Peek(len(line))
	if err != nil {
		return 0, err
	}
	status, err := strconv.Atoi(string(head[len("HTTP/1.1 "):len("HTTP/1.1 200")]))
	if err != nil || status < minStatus || status > maxStatus || head[len(line)-1] != ' ' && head[len(line)-1] != '\r' {
		return 0, &StatusLineError{Line: string(head)}
	}
	return status, nil
}

// minStatus and maxStatus bound the statuses of HTTP (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// StatusLineError reports a response that begins with no status line of HTTP/1.
type StatusLineError struct{ Line string }

func (e *StatusLineError) Error() string { return fmt.Sprintf("response begins with %q", e.Line) }

// InterimResponsesError reports a response that is preceded by too many interim ones.
type InterimResponsesError struct{}

func (e *InterimResponsesError) Error() string { return "too many interim responses" }

func writeRequest(conn net.Conn, req *fasthttp.Request) error {
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// isTimeout reports whether err means that no response arrived in time, rather
// than that the connection failed.
func isTimeout(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// checkResponse returns an error if the response belongs to another attempt or
// guarantees that the request did not run. The first result reports whether the
// connection can be reused.
func (c *HTTPClient) checkResponse(address, attemptID string, resp *fasthttp.Response, reusable bool) (bool, error) {
	if text := mixedHead(resp); text != nil {
		return false, &BrokenError{Address: address, Cause: &MixedHeadError{Text: string(text)}}
	}
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attemptID {
		c.mismatched.Add(1)
		cause := &AttemptMismatchError{Want: attemptID, Got: got}
		return false, &BrokenError{Address: address, Cause: cause}
	}
	if resp.StatusCode() == http.StatusServiceUnavailable && headerIsTrue(resp, HeaderNotRun) {
		return reusable, &RefusedError{
			Address: address,
			Status:  resp.StatusCode(),
			Reason:  string(resp.Body()),
			Leaving: headerIsTrue(resp, HeaderLeaving),
		}
	}
	return reusable, nil
}

// statusLine matches the begin of the head of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// mixedHead returns the part of a head that contains the begin of another one, or nil. A service that
// stops in the middle of a head may write another response after it on the same connection.
func mixedHead(resp *fasthttp.Response) []byte {
	if message := resp.Header.StatusMessage(); statusLine.Match(message) {
		return message
	}
	for _, value := range resp.Header.All() {
		if statusLine.Match(value) {
			return value
		}
	}
	return nil
}

func headerIsTrue(resp *fasthttp.Response, name string) bool {
	return string(resp.Header.Peek(name)) == headerTrue
}

func toCallAnswer(resp *fasthttp.Response) *api.CallAnswer {
	return &api.CallAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}
}

// MixedHeadError reports the head of a response that contains the begin of another one.
type MixedHeadError struct{ Text string }

func (e *MixedHeadError) Error() string {
	return fmt.Sprintf("head of a response contains another one: %q", e.Text)
}

// AttemptMismatchError reports a response that carries the ID of another
// attempt.
type AttemptMismatchError struct {
	Want string
	Got  string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer for attempt %q in place of %q", e.Got, e.Want)
}

// StatusError reports a response with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
