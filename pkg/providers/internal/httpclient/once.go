// Package once is an HTTP client for the platform's small APIs that sends each
// request once, with a deadline and a bound on the answer.
package httpclient

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Options are the settings of a Client.
type Options struct {
	// Timeout is the deadline of a request whose context has no earlier one.
	Timeout time.Duration
	// MaxAnswerBytes bounds the body of an answer, also when uncompressed.
	MaxAnswerBytes int
	// Token is sent as bearer token, if set.
	Token string
}

const (
	maxConnections     = 8
	maxIdleDuration    = 30 * time.Second
	maxConnectionAge   = 10 * time.Minute
	maxDialDuration    = time.Second
	compressedEncoding = "gzip"
)

// Client sends each request once.
type Client struct {
	o    Options
	http *fasthttp.Client
}

// NotSentError reports a request of which no byte can have reached the server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoAnswerError reports a request that may have reached the server and has no
// usable answer.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("request without an answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Answer is a whole answer.
type Answer struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// New returns a Client.
func New(o Options) *Client {
	return &Client{o: o, http: &fasthttp.Client{
		MaxConnsPerHost: maxConnections, MaxIdleConnDuration: maxIdleDuration, MaxConnDuration: maxConnectionAge,
		ReadTimeout: o.Timeout, WriteTimeout: o.Timeout, MaxResponseBodySize: o.MaxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		// Without this fasthttp sends a request again when the connection
		// closes before the first byte of the answer.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, maxDialDuration)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return conn, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and returns the answer, whatever its status.
func (c *Client) Do(ctx context.Context, method, uri string, body []byte) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, compressedEncoding)
	if c.o.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.o.Token)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return nil, classify(err)
	}
	return c.answer(resp)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.o.Timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

func classify(err error) error {
	var notSent *NotSentError
	if errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &NotSentError{Cause: err}
	}
	return &NoAnswerError{Cause: err}
}

// answer copies the body, uncompressed and bounded.
func (c *Client) answer(resp *fasthttp.Response) (*Answer, error) {
	body := resp.Body()
	if string(resp.Header.ContentEncoding()) == compressedEncoding {
		plain, err := resp.BodyGunzipWithLimit(c.o.MaxAnswerBytes)
		if err != nil {
			return nil, &NoAnswerError{Cause: err}
		}
		body = plain
	}
	return &Answer{Status: resp.StatusCode(), Body: append([]byte(nil), body...),
		RetryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter))}, nil
}
