// Package hostlist reads the platform's list of live and leaving Hosts, which
// has the form of Prometheus HTTP service discovery. The list lags.
package hostlist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/providers/internal/httpclient"
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// URL is where the list is.
	URL          string
	Timeout      time.Duration
	MaxListBytes int
	MaxEntries   int
}

// The defaults leave room for twice the 7,000 workers and 590 daemons.
const (
	defaultTimeout      = 2 * time.Second
	defaultMaxListBytes = 16 << 20
	defaultMaxEntries   = 20_000
)

// Client polls the list. It implements peer.HostLister.
type Client struct {
	o    Options
	http *httpclient.Client
}

// UnavailableError reports a poll that failed.
type UnavailableError struct {
	URL    string
	Status int
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("host list %s unavailable (status %d): %v", e.URL, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxListBytes == 0 {
		o.MaxListBytes = defaultMaxListBytes
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = defaultMaxEntries
	}
	return &Client{o: o, http: httpclient.New(httpclient.Options{Timeout: o.Timeout, MaxAnswerBytes: o.MaxListBytes})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// List polls once.
func (c *Client) List(ctx context.Context) ([]membership.ListEntry, error) {
	answer, err := c.http.Do(ctx, http.MethodGet, c.o.URL, nil)
	if err != nil {
		return nil, &UnavailableError{URL: c.o.URL, Cause: err}
	}
	if answer.Status != http.StatusOK {
		return nil, &UnavailableError{URL: c.o.URL, Status: answer.Status}
	}
	result, err := Parse(answer.Body, c.o.MaxEntries)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, skipped := range result.Skipped {
		klog.InfoS("host list entry skipped", "err", skipped)
	}
	return result.Entries, nil
}
