// Package httpclient is an HTTP client for the platform APIs. It never retries
// a request, and it bounds the duration of each request and the size of each
// response.
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
	// Timeout bounds each request. An earlier deadline of the request's context
	// takes precedence.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of a response, both as received and
	// after decompression.
	MaxResponseBytes int
	// Token is sent as a bearer token unless it is empty.
	Token string
}

const (
	maxConnections     = 8
	maxIdleDuration    = 30 * time.Second
	maxConnectionAge   = 10 * time.Minute
	maxDialDuration    = time.Second
	compressedEncoding = "gzip"
)

// Client is an HTTP client without retries. It is safe for concurrent use.
type Client struct {
	o    Options
	http *fasthttp.Client
}

// NotSentError reports a request that failed before any byte of it could reach
// the server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoResponseError reports a request that may have reached the server but got no
// usable response.
type NoResponseError struct{ Cause error }

func (e *NoResponseError) Error() string { return fmt.Sprintf("no usable response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// BufferedResponse is a response whose body has been read completely.
// RetryAfter is the value of the Retry-After header.
type BufferedResponse struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// New returns a Client with the given options. It opens no connection.
func New(o Options) *Client {
	return &Client{o: o, http: &fasthttp.Client{
		MaxConnsPerHost: maxConnections, MaxIdleConnDuration: maxIdleDuration, MaxConnDuration: maxConnectionAge,
		ReadTimeout: o.Timeout, WriteTimeout: o.Timeout, MaxResponseBodySize: o.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		// By default fasthttp resends a request when the connection closes
		// before the first byte of the response.
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

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request and returns the response, whatever its status code. It
// fails with NotSentError or NoResponseError.
func (c *Client) Do(ctx context.Context, method, uri string, body []byte) (*BufferedResponse, error) {
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
	return c.bufferResponse(resp)
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
	return &NoResponseError{Cause: err}
}

// bufferResponse copies the response and decompresses its body up to
// MaxResponseBytes.
func (c *Client) bufferResponse(resp *fasthttp.Response) (*BufferedResponse, error) {
	body := resp.Body()
	if string(resp.Header.ContentEncoding()) == compressedEncoding {
		uncompressed, err := resp.BodyGunzipWithLimit(c.o.MaxResponseBytes)
		if err != nil {
			return nil, &NoResponseError{Cause: err}
		}
		body = uncompressed
	}
	return &BufferedResponse{Status: resp.StatusCode(), Body: append([]byte(nil), body...),
		RetryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter))}, nil
}
