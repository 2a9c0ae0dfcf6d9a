// Package s3store implements objectstore.Store on the S3 API through the AWS
// SDK.
package s3store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/providers/awsclient"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore"
)

// maxObjectBytes bounds the size of an object that Get reads.
const maxObjectBytes = 64 << 20

// Options are the settings of a Client.
type Options struct {
	awsclient.Options
	Bucket string
}

// Client is an objectstore.Store that accesses an S3 bucket over the network.
type Client struct {
	api     *s3.Client
	bucket  string
	timeout time.Duration
	http    *http.Transport
}

var _ objectstore.Store = (*Client)(nil)

// NewClient returns a Client. It opens no connection.
func NewClient(options Options) *Client {
	transport := options.NewTransport()
	return &Client{
		api: s3.New(s3.Options{
			Region:                     options.Region,
			BaseEndpoint:               aws.String(options.Endpoint),
			UsePathStyle:               true,
			Credentials:                options.Credentials(),
			HTTPClient:                 &http.Client{Transport: transport},
			Retryer:                    aws.NopRetryer{},
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		bucket:  options.Bucket,
		timeout: options.Timeout,
		http:    transport,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Put implements objectstore.Store.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.api.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(c.bucket), Key: aws.String(key), Body: bytes.NewReader(body),
	})
	return writeError(err)
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(c.bucket), Key: aws.String(key)})
	var noSuchKey *types.NoSuchKey
	if errors.As(err, &noSuchKey) {
		return nil, &objectstore.NotFoundError{Key: key}
	}
	if err != nil {
		return nil, &objectstore.UnavailableError{Reason: err.Error()}
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err != nil {
		return nil, &objectstore.UnavailableError{Reason: err.Error()}
	}
	if len(body) > maxObjectBytes {
		return nil, &TooLargeError{Key: key}
	}
	return body, nil
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.api.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String(c.bucket), Key: aws.String(key)})
	return writeError(err)
}

// writeError maps the error of a Put or Delete: to UnavailableError if it
// proves that nothing was applied, otherwise to AmbiguousError.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case awsclient.NotApplied(err):
		return &objectstore.UnavailableError{Reason: err.Error()}
	default:
		return &objectstore.AmbiguousError{Reason: err.Error()}
	}
}

// TooLargeError reports an object larger than maxObjectBytes.
type TooLargeError struct{ Key string }

func (e *TooLargeError) Error() string { return "object " + e.Key + " is too large" }
