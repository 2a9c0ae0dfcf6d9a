package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/monsooncrank/monsooncrank/pkg/operatorapi"
)

const (
	dialTimeout = 3 * time.Second
	// maxResponseBytes bounds the size of a response; the largest is a
	// configuration.
	maxResponseBytes = 64 << 20
)

// client calls the operator API of one daemon.
type client struct {
	address string
	token   string
	http    *fasthttp.Client
}

func newClient(address, token string, tlsConfig *tls.Config) *client {
	return &client{address: address, token: token, http: &fasthttp.Client{
		TLSConfig:                tlsConfig,
		NoDefaultUserAgentHeader: true,
		MaxResponseBodySize:      maxResponseBytes,
		// By default fasthttp resends a request when the connection closes
		// early. A publish or a drain must be sent only once.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}}
}

// clients returns a client for each configured address.
func (a *App) clients() []*client {
	list := make([]*client, 0, len(a.addresses))
	for _, address := range a.addresses {
		list = append(list, newClient(address, a.token, a.tlsConfig))
	}
	return list
}

// firstClient returns a client for the first address.
func (a *App) firstClient() *client { return newClient(a.addresses[0], a.token, a.tlsConfig) }

// loadCAFile loads the certificates of the ca-file flag, if it is set.
func (a *App) loadCAFile() error {
	if a.caFile == "" {
		return nil
	}
	pem, err := os.ReadFile(a.caFile)
	if err != nil {
		return &CAFileError{File: a.caFile, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &CAFileError{File: a.caFile}
	}
	a.tlsConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return nil
}

// url returns the URL of a path. An address without a scheme uses HTTP.
func (c *client) url(path string) string {
	base := c.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return strings.TrimSuffix(base, "/") + path
}

// httpResponse is the status and the body of a response.
type httpResponse struct {
	status int
	body   []byte
}

// do sends a request without retries. An error response of the daemon is
// returned as an operatorapi.Problem.
func (c *client) do(ctx context.Context, method, path string, body []byte) (httpResponse, error) {
	req, res := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(c.url(path))
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBodyRaw(body)
	if err := c.send(ctx, req, res); err != nil {
		return httpResponse{}, &UnreachableError{Address: c.address, NotSent: notSent(err), Cause: err}
	}
	r := httpResponse{status: res.StatusCode(), body: res.Body()}
	if r.status >= fasthttp.StatusBadRequest {
		return httpResponse{}, c.problem(r)
	}
	return r, nil
}

// send sends a request and returns early if the context ends. fasthttp observes
// only the deadline, so after a cancellation the request continues in the
// background until that deadline.
func (c *client) send(ctx context.Context, req *fasthttp.Request, res *fasthttp.Response) error {
	done := make(chan error, 1)
	go func() {
		if deadline, ok := ctx.Deadline(); ok {
			done <- c.http.DoDeadline(req, res, deadline)
			return
		}
		done <- c.http.Do(req, res)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// notSent reports whether err occurred before a connection was established.
func notSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}

// problem decodes an error response.
func (c *client) problem(r httpResponse) error {
	problem := &operatorapi.Problem{}
	if err := json.Unmarshal(r.body, problem); err != nil || problem.Type == "" {
		return &InvalidResponseError{Address: c.address, Status: r.status, Body: string(r.body)}
	}
	return problem
}

// call sends a request and decodes the response into target unless target is
// nil.
func (c *client) call(ctx context.Context, method, path string, body []byte, target any) error {
	r, err := c.do(ctx, method, path, body)
	if err != nil || target == nil {
		return err
	}
	if err := json.Unmarshal(r.body, target); err != nil {
		return &InvalidResponseError{Address: c.address, Status: r.status, Body: string(r.body)}
	}
	return nil
}

// get sends a GET request and decodes the response into target.
func (c *client) get(ctx context.Context, path string, target any) error {
	return c.call(ctx, fasthttp.MethodGet, path, nil, target)
}

// isProblem reports whether err is an operatorapi.Problem of the given type.
func isProblem(err error, problemType string) bool {
	var problem *operatorapi.Problem
	return errors.As(err, &problem) && problem.Type == problemType
}
