package cloud

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/providers/internal/httpclient"
)

// Paths of the cloud API.
const (
	PathHosts   = "/v1/hosts"
	PathNotices = "/v1/notices"
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// BaseURL is the address of the API, such as https://cloud.example.
	BaseURL          string
	Token            string
	Timeout          time.Duration
	MaxResponseBytes int
}

const (
	defaultTimeout          = 5 * time.Second
	defaultMaxResponseBytes = 16 << 20
	// defaultRetryAfter is used if the Retry-After header is missing or
	// invalid.
	defaultRetryAfter = time.Second
	maxRetryAfter     = 10 * time.Minute
)

// Client is an API over HTTP.
type Client struct {
	o    Options
	http *httpclient.Client
}

var _ API = (*Client)(nil)

// NewClient returns a Client. It opens no connection.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return &Client{o: o, http: httpclient.New(httpclient.Options{Timeout: o.Timeout, MaxResponseBytes: o.MaxResponseBytes, Token: o.Token})}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Start implements API.
func (c *Client) Start(ctx context.Context, req StartRequest) (Host, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Host{}, errors.Trace(err)
	}
	response, err := c.do(ctx, http.MethodPost, PathHosts, body)
	if err != nil {
		return Host{}, err
	}
	if response.Status == http.StatusConflict {
		return Host{}, &CapacityRefusedError{AvailabilityZone: req.AvailabilityZone,
			MachineClass: req.MachineClass, Purchase: req.Purchase}
	}
	var host Host
	if response.Status != http.StatusCreated {
		return Host{}, statusError(response)
	}
	if err := json.Unmarshal(response.Body, &host); err != nil {
		return Host{}, &AmbiguousError{Status: response.Status, Cause: err}
	}
	return host, nil
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, hostID string) error {
	response, err := c.do(ctx, http.MethodDelete, PathHosts+"/"+url.PathEscape(hostID), nil)
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &NotFoundError{HostID: hostID}
	default:
		return statusError(response)
	}
}

// List implements API.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	var hosts []Host
	if err := c.read(ctx, PathHosts, &hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}

// Notices implements API.
func (c *Client) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	if err := c.read(ctx, PathNotices, &notices); err != nil {
		return nil, err
	}
	return notices, nil
}

// read decodes the JSON response of a GET request into target.
func (c *Client) read(ctx context.Context, path string, target any) error {
	response, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return statusError(response)
	}
	if err := json.Unmarshal(response.Body, target); err != nil {
		return &InvalidResponseError{Status: response.Status, Cause: err}
	}
	return nil
}

// do sends a request and maps its errors to UnavailableError and
// AmbiguousError.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*httpclient.BufferedResponse, error) {
	response, err := c.http.Do(ctx, method, c.o.BaseURL+path, body)
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return nil, &UnavailableError{Cause: err}
	}
	if err != nil {
		return nil, &AmbiguousError{Cause: err}
	}
	return response, nil
}

// statusError maps an unexpected status to an error. Only a status that
// guarantees that the request was not applied becomes a RateLimitedError or an
// UnavailableError.
func statusError(response *httpclient.BufferedResponse) error {
	switch response.Status {
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(response.RetryAfter)}
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		return &UnavailableError{Cause: &InvalidResponseError{Status: response.Status}}
	default:
		return &AmbiguousError{Status: response.Status}
	}
}

// retryAfter parses the seconds of a Retry-After header.
func retryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
