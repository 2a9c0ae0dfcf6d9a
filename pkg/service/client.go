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
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/valyala/fasthttp"
)

// The headers that the client and plain services exchange.
const (
	// HeaderAttempt carries the attempt ID; the service echoes it.
	HeaderAttempt = "Monsooncrank-Attempt"
	// HeaderNotRun set to "true" is a service's definite statement that the
	// request did not run and will not run.
	HeaderNotRun = "Monsooncrank-Not-Run"
	// HeaderLeaving set to "true" says that the service's Host is leaving.
	HeaderLeaving = "Monsooncrank-Leaving"
	// HeaderIdempotencyKey carries the caller's key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	headerTrue = "true"
	// defaultDialTimeout bounds the wait for a Host that drops packets.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout closes idle connections before usual servers do.
	defaultIdleTimeout        = 10 * time.Second
	defaultMaxConnsPerAddress = 256
	defaultMaxAnswerBytes     = 4 << 20
)

// Options configures an HTTPClient. Zero values take defaults.
type Options struct {
	DialTimeout        time.Duration
	IdleTimeout        time.Duration
	MaxConnsPerAddress int
	MaxResponseBytes   int
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
		o.MaxResponseBytes = defaultMaxAnswerBytes
	}
	return o
}

// HTTPClient is the Client over HTTP. It takes connections from fasthttp's
// pool and writes each request exactly once itself, so that none of fasthttp's
// retries can apply. It is safe for concurrent use.
type HTTPClient struct {
	options Options
	dialer  net.Dialer
	crossed atomic.Uint64

	mu    sync.Mutex
	pools map[string]*fasthttp.HostClient
}

var _ Client = (*HTTPClient)(nil)

// NewClient returns a client of plain services.
func NewClient(options Options) *HTTPClient {
	options = options.withDefaults()
	return &HTTPClient{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout},
		pools:   make(map[string]*fasthttp.HostClient),
	}
}

// MismatchedAnswers returns how many answers were dropped because they carried
// another attempt's ID.
func (c *HTTPClient) MismatchedAnswers() uint64 { return c.crossed.Load() }

// Close closes the idle connections. fasthttp's cleaner of a pool ends within
// the idle timeout.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.CloseIdleConnections()
	}
}

// Call implements Client.
func (c *HTTPClient) Call(ctx context.Context, address string, req *Request) (*api.CallAnswer, error) {
	wire := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(wire)
	wire.Header.SetMethod(http.MethodPost)
	wire.SetRequestURI(req.Path)
	wire.Header.SetContentType("application/json")
	if req.IdempotencyKey != "" {
		wire.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	wire.SetBodyRaw(req.Body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.exchange(ctx, address, wire, resp, req.AttemptID, req.FreshConnection); err != nil {
		return nil, err
	}
	return answerOf(resp), nil
}

// Lookup implements Client. A RefusedError is the service's statement that the
// attempt did not run and will not run; it proves more than
// AttemptNotFoundError, since a request without a record may still be on its
// way. A server that refuses the look-up itself, such as one that is leaving,
// states nothing about the attempt.
func (c *HTTPClient) Lookup(ctx context.Context, address, path string, attemptID, key string) (*api.CallAnswer, error) {
	wire := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(wire)
	wire.Header.SetMethod(http.MethodGet)
	query := url.Values{"attempt": {attemptID}, "key": {key}}
	wire.SetRequestURI(path + "?" + query.Encode())
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := c.exchange(ctx, address, wire, resp, attemptID, true)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return nil, &BrokenError{Address: address, Cause: refused}
	}
	if err != nil {
		return nil, err
	}
	return lookupAnswer(address, attemptID, resp)
}

func lookupAnswer(address, attemptID string, resp *fasthttp.Response) (*api.CallAnswer, error) {
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
		if headerSet(resp, HeaderNotRun) {
			return nil, &RefusedError{Address: address, Status: http.StatusGone, Reason: string(resp.Body())}
		}
	}
	return nil, &BrokenError{Address: address, Cause: &StatusError{Status: resp.StatusCode()}}
}

// exchange sends the request once and reads the answer to its end.
func (c *HTTPClient) exchange(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, attemptID string, fresh bool) error {
	req.Header.SetHost(address)
	req.Header.Set(HeaderAttempt, attemptID)
	conn, err := c.acquire(ctx, address, fresh)
	if err != nil {
		return err
	}
	if fresh {
		req.SetConnectionClose()
	}
	reusable, err := c.roundTrip(ctx, address, conn.Conn, req, resp)
	if err == nil {
		reusable, err = c.check(address, attemptID, resp, reusable)
	}
	conn.done(reusable && !fresh && !resp.ConnectionClose())
	return err
}

// roundTrip reports whether the connection holds nothing more and is still
// under no deadline of a context that has ended.
func (c *HTTPClient) roundTrip(ctx context.Context, address string, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := writeRequest(conn, req)
	reader := bufio.NewReader(conn)
	if err == nil {
		err = resp.ReadLimitBody(reader, c.options.MaxResponseBytes)
	}
	undisturbed := stop()
	if err != nil {
		return false, &BrokenError{Address: address, Silent: silent(ctx, err), Cause: err}
	}
	return undisturbed && reader.Buffered() == 0, nil
}

func writeRequest(conn net.Conn, req *fasthttp.Request) error {
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// silent tells an open connection without an answer from a broken one.
func silent(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// check drops an answer for another attempt and recognises a definite refusal.
func (c *HTTPClient) check(address, attemptID string, resp *fasthttp.Response, reusable bool) (bool, error) {
	if got := string(resp.Header.Peek(HeaderAttempt)); got != attemptID {
		c.crossed.Add(1)
		cause := &AttemptMismatchError{Want: attemptID, Got: got}
		return false, &BrokenError{Address: address, Cause: cause}
	}
	if resp.StatusCode() == http.StatusServiceUnavailable && headerSet(resp, HeaderNotRun) {
		return reusable, &RefusedError{
			Address: address,
			Status:  resp.StatusCode(),
			Reason:  string(resp.Body()),
			Leaving: headerSet(resp, HeaderLeaving),
		}
	}
	return reusable, nil
}

func headerSet(resp *fasthttp.Response, name string) bool {
	return string(resp.Header.Peek(name)) == headerTrue
}

func answerOf(resp *fasthttp.Response) *api.CallAnswer {
	return &api.CallAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}
}

// AttemptMismatchError reports an answer that carried another attempt's ID.
type AttemptMismatchError struct {
	Want string
	Got  string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("answer for attempt %q in place of %q", e.Got, e.Want)
}

// StatusError reports an answer with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
