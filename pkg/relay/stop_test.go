package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/relay"
	"github.com/monsooncrank/monsooncrank/pkg/shutdown"
)

// The routes of the fixture have a timeout of 2 s, so that a request may take longer than
// shortGrace, and ends by itself within longGrace.
const (
	shortGrace = time.Second
	longGrace  = 20 * time.Second
)

// stop begins a planned stop that was requested at a time.
func (f *fixture) stop(requestedAt time.Time, grace time.Duration) {
	f.handler.Stop(shutdown.NewPlan(requestedAt, grace))
}

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

// TestRequestsThatCannotEndInAStopAreNotBegun guards against requests that a stopping daemon passes
// on although it will end before their answer, and against refusals of those that it can answer.
func TestRequestsThatCannotEndInAStopAreNotBegun(t *testing.T) {
	tests := []struct {
		name, path string
		// known is the number of requests before the stop, which was requested ago.
		known  int
		ago    time.Duration
		grace  time.Duration
		script script
		status int
	}{
		{"once, nothing known", "/once/x", 0, 0, shortGrace, answers, http.StatusServiceUnavailable},
		{"once, quick", "/once/x", 8, 0, shortGrace, answers, http.StatusOK},
		{"once, too slow", "/once/x", 8, 0, shortGrace / 2, slowAnswers, http.StatusServiceUnavailable},
		{"once, ends by itself", "/once/x", 0, 0, longGrace, slowAnswers, http.StatusOK},
		{"repeatable, nothing known", "/look/x", 0, 0, shortGrace, answers, http.StatusServiceUnavailable},
		{"repeatable, quick", "/look/x", 8, 0, shortGrace, answers, http.StatusOK},
		{"stream, nothing known", "/stream/x", 0, 0, shortGrace, streams, http.StatusServiceUnavailable},
		{"stream, quick", "/stream/x", 8, 0, shortGrace, streams, http.StatusOK},
		{"route unknown, other routes of its kind quick", "/often/x", 8, 0, shortGrace, answers, http.StatusOK},
		{"stream that must not be repeated, at times slow", "/whole/x", 8, 0, shortGrace - 200*time.Millisecond, firstSlowStream, http.StatusServiceUnavailable},
		{"stream, at times slow", "/stream/x", 8, 0, shortGrace - 200*time.Millisecond, firstSlowStream, http.StatusOK},
		{"once, quick, late", "/once/x", 8, 3 * time.Second, 3*time.Second + shortGrace, answers, http.StatusOK},
		{"stream, quick, late", "/stream/x", 8, 3 * time.Second, 3*time.Second + shortGrace, streams, http.StatusOK},
		{"stream, at times slow, late", "/stream/x", 8, 3 * time.Second, 3*time.Second + shortGrace, firstSlowStream, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBackend(t, test.script)
			f := newFixture(t, b)
			for i := range test.known {
				status, _, _, err := f.post(strings.Replace(test.path, "/often/", "/look/", 1), fmt.Sprint("before-", i))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusOK))
			}
			f.stop(time.Now().Add(-test.ago), test.grace)
			startedAt := time.Now()
			response, err := f.postOnce(g, test.path, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.StatusCode).To(gomega.Equal(test.status))
			g.Expect(response.Close).To(gomega.BeTrue())
			if response.StatusCode == http.StatusServiceUnavailable {
				g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 200*time.Millisecond), "at once")
				g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
				g.Expect(b.count()).To(gomega.Equal(test.known), "not passed on")
				g.Expect(f.refunded).To(gomega.BeEquivalentTo(7))
			}
		})
	}
}

// streams is a script that answers each request with a stream.
func streams(_ int, r *http.Request, c net.Conn) bool {
	events(c, r.Header.Get("Id"), 1, 3, true)
	return true
}

// firstSlowStream is a script that answers each request with a stream, the first after 300 ms.
func firstSlowStream(n int, r *http.Request, c net.Conn) bool {
	if n == 1 {
		time.Sleep(300 * time.Millisecond)
	}
	return streams(n, r, c)
}

// TestARequestThatWasNotRunBeforeAStopIsNotBegunInIt guards against requests that look for room when
// the stop begins and find it too late.
func TestARequestThatWasNotRunBeforeAStopIsNotBegunInIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var f *fixture
	full := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		f.stop(time.Now(), shortGrace)
		notRun(c, r.Header.Get("Id"))
		return true
	})
	free := newBackend(t, answers)
	f = newFixture(t, full, free)
	response, err := f.postOnce(g, "/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(response.Close).To(gomega.BeTrue())
	g.Expect([]int{full.count(), free.count()}).To(gomega.Equal([]int{1, 0}))
	g.Expect(f.refunded).To(gomega.BeEquivalentTo(7))
}

// TestRequestsInProgressAreEndedWhole guards against requests that are cut without an answer at the
// end of the grace period, and against streams that look complete then.
func TestRequestsInProgressAreEndedWhole(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	silent := func(int, *http.Request, net.Conn) bool { <-hang; return false }
	partial := func(_ int, r *http.Request, c net.Conn) bool {
		events(c, r.Header.Get("Id"), 1, 2, false)
		<-hang
		return false
	}
	for _, test := range []struct {
		path   string
		script script
		status int
		broken bool
	}{{"/once/x", silent, http.StatusGatewayTimeout, false}, {"/look/x", silent, http.StatusGatewayTimeout, false}, {"/whole/x", silent, http.StatusGatewayTimeout, false},
		{"/whole/x", partial, http.StatusOK, true}, {"/stream/x", partial, http.StatusOK, true}} {
		t.Run(fmt.Sprint(test.path, test.broken), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(t, newBackend(t, test.script))
			f.retriesSpent = true
			time.AfterFunc(30*time.Millisecond, func() { f.stop(time.Now(), longGrace) })
			time.AfterFunc(60*time.Millisecond, f.handler.EndRequests)
			startedAt := time.Now()
			response, err := f.postOnce(g, test.path, "1")
			g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
			g.Expect(response.StatusCode).To(gomega.Equal(test.status))
			if test.broken {
				g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.Close).To(gomega.BeTrue())
			g.Expect(response.Header.Get("Retry-After")).To(gomega.BeEmpty(), "it may have run")
		})
	}
}

// TestABodyThatDoesNotEndIsAnswered guards against callers that get no answer when the daemon ends
// while it reads their request.
func TestABodyThatDoesNotEndIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, answers)
	f := newFixture(t, b)
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	time.AfterFunc(100*time.Millisecond, func() { f.stop(time.Now(), longGrace) })
	time.AfterFunc(200*time.Millisecond, f.handler.EndRequests)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+"/once/x", body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.ContentLength = 100
	request.Header.Set("Key", "key")
	startedAt := time.Now()
	response, err := f.server.Client().Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second), "before its deadline")
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(response.Close).To(gomega.BeTrue())
	g.Expect(b.count()).To(gomega.BeZero())
}

// TestAnswersAfterTheBeginOfAStopCloseTheirConnections guards against callers that keep a connection
// to a stopping daemon since their last request began before the stop.
func TestAnswersAfterTheBeginOfAStopCloseTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, newBackend(t, slowAnswers))
	time.AfterFunc(30*time.Millisecond, func() { f.stop(time.Now(), longGrace) })
	response, err := f.postOnce(g, "/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(response.Close).To(gomega.BeTrue())
}

// TestForwardedRequestsLeaveAStoppingDaemon guards against requests of other daemons that a stopping
// one takes and then cuts, and against connections of theirs that end with it.
func TestForwardedRequestsLeaveAStoppingDaemon(t *testing.T) {
	for _, test := range []struct {
		name        string
		requestedAt time.Duration
		grace       time.Duration
		served      []int
	}{
		{"ends by itself", 0, longGrace, []int{1, 0}},
		{"cannot end", 0, shortGrace, []int{0, 1}},
		{"others know of the stop", -3 * time.Second, longGrace, []int{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, b := newBackend(t, answers), newBackend(t, answers)
			f := newForwardFixture(t, a, b)
			f.others[0].stop(time.Now().Add(test.requestedAt), test.grace)
			status, _, _, err := f.post("/once/x", "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect([]int{a.count(), b.count()}).To(gomega.Equal(test.served))
		})
	}
}

// TestForwardedRequestsInProgressAreEndedWhole guards against forwarded requests without an answer,
// or that run twice, when one of the two daemons ends.
func TestForwardedRequestsInProgressAreEndedWhole(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	silent := func(int, *http.Request, net.Conn) bool { <-hang; return false }
	for name, stopping := range map[string]func(f *forwardFixture) *relay.Handler{
		"that took the request":    func(f *forwardFixture) *relay.Handler { return f.handler },
		"that it was forwarded to": func(f *forwardFixture) *relay.Handler { return f.others[0].handler },
	} {
		for _, path := range []string{"/once/x", "/look/x"} {
			t.Run(name+path, func(t *testing.T) {
				g := gomega.NewWithT(t)
				a, b := newBackend(t, silent), newBackend(t, answers)
				f := newForwardFixture(t, a, b)
				time.AfterFunc(60*time.Millisecond, stopping(f).EndRequests)
				startedAt := time.Now()
				status, _, header, err := f.post(path, "1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
				g.Expect(status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
				g.Expect(header.Get("Retry-After")).To(gomega.BeEmpty())
				g.Expect([]int{a.count(), b.count()}).To(gomega.Equal([]int{1, 0}))
			})
		}
	}
}

// TestForwardedAnswersOfAStoppingDaemonCloseTheirConnections guards against a daemon that sends a
// request on a connection to one that is about to exit.
func TestForwardedAnswersOfAStoppingDaemonCloseTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, newBackend(t, answers))
	f.stop(time.Now(), longGrace)
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
