// Package awsclient holds what the clients of the table service and the object
// store share: their transport and the reading of their failures.
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

// Options name a service and how to reach it.
type Options struct {
	// Endpoint is the URL of the service.
	Endpoint string
	Region   string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
	// Timeout bounds each request.
	Timeout time.Duration
	// Connections bounds the connections to the service.
	Connections int
}

// Credentials returns the provider of the keys.
func (o *Options) Credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, "")
}

// NewTransport returns a transport within the options' bounds.
func (o *Options) NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxConnsPerHost:     o.Connections,
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
}

// NotApplied reports whether err proves that the service applied nothing: the
// connection was never opened, or the service refused the request.
func NotApplied(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return true
	}
	var refusal smithy.APIError
	return errors.As(err, &refusal) && refusal.ErrorFault() == smithy.FaultClient
}
