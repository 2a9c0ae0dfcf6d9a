// Package awsclient holds the code shared by the clients of the table service
// and the object store: connection settings, HTTP transport and error
// classification.
package awsclient

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/smithy-go"
	"github.com/juju/errors"
)

const idleConnectionTimeout = 30 * time.Second

// Options are the connection settings of an AWS-compatible service.
type Options struct {
	// Endpoint is the URL of the service.
	Endpoint string
	Region   string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
	// Timeout bounds each request.
	Timeout time.Duration
	// Connections is the maximum number of connections to the service.
	Connections int
}

// Credentials returns a provider of the access key and the secret key.
func (o *Options) Credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, "")
}

// NewTransport returns an HTTP transport with the limits of the options.
func (o *Options) NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxConnsPerHost:     o.Connections,
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
}

// NotApplied reports whether err proves that the service did not apply the
// request: the connection could not be opened, or the service rejected the
// request with a client error.
func NotApplied(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return true
	}
	var apiErr smithy.APIError
	return errors.As(err, &apiErr) && apiErr.ErrorFault() == smithy.FaultClient
}
