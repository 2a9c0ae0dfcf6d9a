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
	// maxAnswerBytes bounds an answer; the largest is a configuration.
	maxAnswerBytes = 64 << 20
)

// client calls the operators' interface of one daemon.
type client struct {
	address string
	token   string
	http    *fasthttp.Client
}

func newClient(address, token string, certificates *tls.Config) *client {
	return &client{address: address, token: token, http: &fasthttp.Client{
		TLSConfig:                certificates,
		NoDefaultUserAgentHeader: true,
		MaxResponseBodySize:      maxAnswerBytes,
		// The library repeats a request whose connection closes early. A
		// publish or a drain must be sent once.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}}
}

// clients returns a client for each address.
func (a *App) clients() []*client {
	list := make([]*client, 0, len(a.addresses))
	for _, address := range a.addresses {
		list = append(list, newClient(address, a.token, a.certificates))
	}
	return list
}

// first returns the client of the first address.
func (a *App) first() *client { return newClient(a.addresses[0], a.token, a.certificates) }

// loadCertificates reads the file of certificates, if one is given.
func (a *App) loadCertificates() error {
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
	a.certificates = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return nil
}

// url returns the address of a path; a bare host and port stands for HTTP.
func (c *client) url(path string) string {
	base := c.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return strings.TrimSuffix(base, "/") + path
}

// reply is a successful answer.
type reply struct {
	status int
	body   []byte
}

// do sends a request once. A failure of the daemon is an operatorapi.Problem.
func (c *client) do(ctx context.Context, method, path string, body []byte) (reply, error) {
	req, res := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(c.url(path))
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBodyRaw(body)
	if err := c.send(ctx, req, res); err != nil {
		return reply{}, &UnreachableError{Address: c.address, NotSent: notSent(err), Cause: err}
	}
	r := reply{status: res.StatusCode(), body: res.Body()}
	if r.status >= fasthttp.StatusBadRequest {
		return reply{}, c.problem(r)
	}
	return r, nil
}

// send returns when the context ends. The library watches only the deadline,
// after which the request left behind ends too.
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

// notSent reports whether an error arose before a connection existed.
func notSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}

func (c *client) problem(r reply) error {
	problem := &operatorapi.Problem{}
	if err := json.Unmarshal(r.body, problem); err != nil || problem.Type == "" {
		return &InvalidResponseError{Address: c.address, Status: r.status, Body: string(r.body)}
	}
	return problem
}

// call sends a request and decodes its answer, unless target is nil.
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

// get reads a path.
func (c *client) get(ctx context.Context, path string, target any) error {
	return c.call(ctx, fasthttp.MethodGet, path, nil, target)
}

// isProblem reports whether an error is a daemon's problem of a type.
func isProblem(err error, problemType string) bool {
	var problem *operatorapi.Problem
	return errors.As(err, &problem) && problem.Type == problemType
}
