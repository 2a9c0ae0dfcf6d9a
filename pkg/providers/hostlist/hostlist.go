// Package hostlist reads the platform's list of live and leaving Hosts, which
// is in the format of Prometheus HTTP service discovery. The list lags behind
// the actual state of the Hosts.
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
	// URL is the address of the list.
	URL string
	// Timeout bounds each poll.
	Timeout      time.Duration
	MaxListBytes int
	MaxEntries   int
}

// The defaults allow for twice a fleet of 7,000 BackendServers and 590 daemons.
const (
	defaultTimeout      = 2 * time.Second
	defaultMaxListBytes = 16 << 20
	defaultMaxEntries   = 20_000
)

// Client polls the host list. It implements peer.HostLister.
type Client struct {
	o    Options
	http *httpclient.Client
}

// UnavailableError reports a failed poll. Status is 0 if there was no response.
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

// NewClient returns a Client. It opens no connection.
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
	return &Client{o: o, http: httpclient.New(httpclient.Options{Timeout: o.Timeout, MaxResponseBytes: o.MaxListBytes})}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// List polls the list once, without a retry. Invalid entries are skipped and
// logged.
func (c *Client) List(ctx context.Context) ([]membership.ListEntry, error) {
	response, err := c.http.Do(ctx, http.MethodGet, c.o.URL, nil)
	if err != nil {
		return nil, &UnavailableError{URL: c.o.URL, Cause: err}
	}
	if response.Status != http.StatusOK {
		return nil, &UnavailableError{URL: c.o.URL, Status: response.Status}
	}
	result, err := Parse(response.Body, c.o.MaxEntries)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, skipped := range result.Skipped {
		klog.InfoS("invalid host list entry skipped", "err", skipped)
	}
	return result.Entries, nil
}
