package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// postOnce sends a request and returns its response, and the error of reading the body of that.
func (f *fixture) postOnce(g *gomega.WithT, path, id string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Id", id)
	request.Header.Set("Key", "key")
	response, err := f.server.Client().Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return response, err
}

// slowAnswers is a script that answers each request after 100 ms.
func slowAnswers(_ int, r *http.Request, c net.Conn) bool {
	time.Sleep(100 * time.Millisecond)
	answer(c, r.Header.Get("Id"), "", "done")
	return true
}

// TestAnswersAfterTheBeginOfAStopCloseTheirConnections guards against callers that keep a connection
// to a stopping daemon since their last request began before the stop.
func TestAnswersAfterTheBeginOfAStopCloseTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, newBackend(t, slowAnswers))
	time.AfterFunc(30*time.Millisecond, f.handler.CloseConnections)
	response, err := f.postOnce(g, "/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(response.Close).To(gomega.BeTrue())
}

// TestForwardedAnswersOfAStoppingDaemonCloseTheirConnections guards against a daemon that sends a
// request on a connection to one that is about to exit.
func TestForwardedAnswersOfAStoppingDaemonCloseTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, newBackend(t, answers))
	f.handler.CloseConnections()
	internal := httptest.NewServer(http.HandlerFunc(f.handler.ServeForwarded))
	t.Cleanup(internal.Close)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, internal.URL+"/once/x", strings.NewReader("body"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for name, value := range map[string]string{"Id": "1", "Key": "key", "Forwarded-By-Daemon": "other", "Forwarded-Configuration": "1", "Forwarded-Attempts": "0"} {
		request.Header.Set(name, value)
	}
	response, err := internal.Client().Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(response.Header.Get("Forwarded-Outcome")).To(gomega.Equal("answered"))
	g.Expect(response.Close).To(gomega.BeTrue())
}
