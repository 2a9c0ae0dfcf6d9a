package relay

import (
	"io"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
)

// plainAnswer is a whole answer of a server.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// plain reads a whole answer before any of it is passed on, so that one that
// breaks off never looks complete.
func (s *sending) plain(response *http.Response) (outcome, *plainAnswer) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainAnswerBytes+1))
	if err != nil || len(body) > maxPlainAnswerBytes {
		s.cause = "read body: " + errorText(err)
		return s.broken(), nil
	}
	s.reusable = !response.Close
	s.result = placement.ResultAnswered
	s.began()
	answer := &plainAnswer{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Kind == catalog.KindIdempotent {
		return outcomeFailed, answer
	}
	if response.StatusCode >= http.StatusInternalServerError && s.route.Kind == catalog.KindStream {
		s.result = placement.ResultFailed
		return outcomeFailed, answer
	}
	s.front.desk.Cleared(s.fingerprint)
	s.forward(answer)
	return outcomeDone, nil
}

func errorText(err error) string {
	if err == nil {
		return "too long"
	}
	return err.Error()
}

// forward passes a server's answer on unchanged.
func (x *exchange) forward(a *plainAnswer) {
	if x.sentHeader {
		x.broken("server failed")
	}
	x.status = a.status
	CopyHeader(x.w.Header(), a.header)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	if len(a.body) == 0 || x.Method == http.MethodHead {
		return
	}
	if _, err := x.w.Write(a.body); err != nil {
		klog.V(1).InfoS("caller left before its answer", "request", x.ID, "err", err)
	}
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// CopyHeader copies the headers that do not concern one connection only.
func CopyHeader(to, from http.Header) {
	named := connectionTokens(from)
	for key, values := range from {
		if !connectionHeaders[key] && !named[key] {
			to[key] = values
		}
	}
}
