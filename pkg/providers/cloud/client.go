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

// Paths of the API.
const (
	PathHosts   = "/v1/hosts"
	PathNotices = "/v1/notices"
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// BaseURL is the API's address, such as https://cloud.example.
	BaseURL          string
	Token            string
	Timeout          time.Duration
	MaxResponseBytes int
}

const (
	defaultTimeout        = 5 * time.Second
	defaultMaxAnswerBytes = 16 << 20
	// defaultRetryAfter is used when the API names no time.
	defaultRetryAfter = time.Second
	maxRetryAfter     = 10 * time.Minute
)

// Client is the network client of API.
type Client struct {
	o    Options
	http *httpclient.Client
}

var _ API = (*Client)(nil)

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxAnswerBytes
	}
	return &Client{o: o, http: httpclient.New(httpclient.Options{Timeout: o.Timeout, MaxAnswerBytes: o.MaxResponseBytes, Token: o.Token})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Start implements API.
func (c *Client) Start(ctx context.Context, req StartRequest) (Host, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Host{}, errors.Trace(err)
	}
	answer, err := c.do(ctx, http.MethodPost, PathHosts, body)
	if err != nil {
		return Host{}, err
	}
	if answer.Status == http.StatusConflict {
		return Host{}, &CapacityRefusedError{AvailabilityZone: req.AvailabilityZone,
			MachineClass: req.MachineClass, Purchase: req.Purchase}
	}
	var host Host
	if answer.Status != http.StatusCreated {
		return Host{}, statusError(answer)
	}
	if err := json.Unmarshal(answer.Body, &host); err != nil {
		return Host{}, &AmbiguousError{Status: answer.Status, Cause: err}
	}
	return host, nil
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, hostID string) error {
	answer, err := c.do(ctx, http.MethodDelete, PathHosts+"/"+url.PathEscape(hostID), nil)
	if err != nil {
		return err
	}
	switch answer.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &NotFoundError{HostID: hostID}
	default:
		return statusError(answer)
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

func (c *Client) read(ctx context.Context, path string, into any) error {
	answer, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return statusError(answer)
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return &InvalidResponseError{Status: answer.Status, Cause: err}
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (*httpclient.Answer, error) {
	answer, err := c.http.Do(ctx, method, c.o.BaseURL+path, body)
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return nil, &UnavailableError{Cause: err}
	}
	if err != nil {
		return nil, &AmbiguousError{Cause: err}
	}
	return answer, nil
}

// statusError types an answer other than the expected. Only the statuses that
// promise that nothing was done count as such.
func statusError(answer *httpclient.Answer) error {
	switch answer.Status {
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(answer.RetryAfter)}
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		return &UnavailableError{Cause: &InvalidResponseError{Status: answer.Status}}
	default:
		return &AmbiguousError{Status: answer.Status}
	}
}

func retryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
