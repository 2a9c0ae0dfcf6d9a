package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
	"github.com/monsooncrank/monsooncrank/pkg/serverlimit"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// streamingServer returns a server that breaks each stream off after two events, or
// completes it at event 8.
func streamingServer(t *testing.T) *backend {
	return newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last"), &last)
		end := last+2 >= 8
		events(c, r.Header.Get("Id"), last+1, last+2, end)
		return end
	})
}

// versions returns a fixture with servers of the given versions, which are selected in
// this order.
func versions(t *testing.T, versions ...string) (*fixture, []*backend) {
	var backends []*backend
	for range versions {
		backends = append(backends, streamingServer(t))
	}
	f := newFixture(t, backends...)
	for i, version := range versions {
		f.servers[i].Version = version
	}
	f.catalog.Routes[2].MaxAttempts = 9
	return f, backends
}

// take sends a request that takes a stream up after an event.
func (f *fixture) take(stream, id, after string) (int, string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+"/stream/1", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	for name, value := range map[string]string{"Id": id, "Key": "key", "Resumes": stream, "After": after} {
		request.Header.Set(name, value)
	}
	response, err := f.server.Client().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// TestAStreamGoesOnAtItsVersionInOneAnswer guards against a stream that goes on at a
// server of another version when its server breaks off, once or several times.
func TestAStreamGoesOnAtItsVersionInOneAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	f, backends := versions(t, "v1", "v2", "v1", "v2", "v1", "v1")
	status, body, _, err := f.post("/stream/1", "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.ContainSubstring("data: e8\n"))
	for i, sent := range []int{1, 0, 1, 0, 1, 1} {
		g.Expect(backends[i].count()).To(gomega.Equal(sent), "server %d", i)
	}
	g.Expect(f.origins).To(gomega.Equal(map[string]streamversion.Origin{"first": {Service: "s", Version: "v1"}}))
}

// TestNoEventPrecedesTheRecord guards against a caller that has an event of a stream before it is
// recorded which version began it: all daemons may be lost in between.
func TestNoEventPrecedesTheRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := versions(t, "v1", "v1", "v1", "v1")
	f.recordTime = 100 * time.Millisecond
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/stream/1", strings.NewReader("body"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Id", "first")
	request.Header.Set("Key", "key")
	response, err := f.server.Client().Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(f.origins).To(gomega.HaveKey("first"))
}

// TestAStreamBeginsAtTheListedRunOnly guards against a stream whose version is taken from the entry
// of its server while another run, which may have another version, sends its events.
func TestAStreamBeginsAtTheListedRunOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs, sent atomic.Int64
	upgraded := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/run" {
			runs.Add(1)
			stateRun(c, startedUnixMilli+1, "")
			return true
		}
		sent.Add(1)
		events(c, r.Header.Get("Id"), 1, 2, false)
		return false
	})
	f := newFixture(t, upgraded, streamingServer(t))
	f.catalog.Routes[2].MaxAttempts = 9
	_, body, _, _ := f.post("/stream/1", "first")
	g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	g.Expect(sent.Load()).To(gomega.BeZero(), "streams sent to the run that is not listed")
	g.Expect(runs.Load()).To(gomega.BeNumerically("==", 1))
	g.Expect(f.otherRuns).To(gomega.Equal([]string{"server-0#1"}))
	g.Expect(f.connected).NotTo(gomega.ContainElement(reach.Broken), "it answers")
	g.Expect(f.results).To(gomega.HaveLen(1), "only the attempt at the other server")
}

// TestARunIsAskedOncePerConnection guards against a question for each stream: a connection leads to
// one run for as long as it lasts.
func TestARunIsAskedOncePerConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		events(c, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, b)
	for i := range 5 {
		_, body, _, err := f.post([]string{"/whole/1", "/stream/1"}[min(i, 1)], fmt.Sprint("id-", i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	}
	g.Expect(b.count()).To(gomega.Equal(5))
	g.Expect(b.asked).To(gomega.Equal(1), "streams that may not be taken up need no proof")
}

// TestAKeptConnectionToAnEarlierRunIsNotUsed guards against a stream that is sent on a kept connection
// which leads to another run than the one that the entry describes now.
func TestAKeptConnectionToAnEarlierRunIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	var started, sent atomic.Int64
	started.Store(startedUnixMilli)
	b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/run" {
			stateRun(c, started.Load(), "")
			return true
		}
		sent.Add(1)
		events(c, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, b)
	_, _, _, err := f.post("/stream/1", "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.servers[0].StartedUnixMilli = 2
	status, _, _, _ := f.post("/stream/1", "second")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(sent.Load()).To(gomega.BeNumerically("==", 1))
	started.Store(2)
	status, _, _, _ = f.post("/stream/1", "third")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}

// TestARunThatClosesItsConnectionsIsHeardBeforeAndAfter guards against a stream of an unknown run at a
// server that closes the connection on which it said which run it is: the run must answer before the
// request is sent and after the first event has come.
func TestARunThatClosesItsConnectionsIsHeardBeforeAndAfter(t *testing.T) {
	for _, later := range []int64{startedUnixMilli, startedUnixMilli + 1} {
		g := gomega.NewWithT(t)
		var asked atomic.Int64
		b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
			if r.URL.Path != "/run" {
				events(c, r.Header.Get("Id"), 1, 2, true)
				return true
			}
			started := int64(startedUnixMilli)
			if asked.Add(1) > 1 {
				started = later
			}
			stateRun(c, started, "Connection: close\r\n")
			return false
		})
		f := newFixture(t, b)
		_, body, _, _ := f.post("/stream/1", "first")
		g.Expect(asked.Load()).To(gomega.BeNumerically("==", 2))
		g.Expect(body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n").To(gomega.Equal(later == startedUnixMilli), "run %d: %q", later, body)
		g.Expect(f.origins).To(gomega.HaveLen(map[bool]int{true: 1, false: 0}[later == startedUnixMilli]))
	}
}

// TestABusyServerMayAnswerLateWhichRunItIs guards against streams that are refused because their server
// takes longer than a few round trips to say which run it is, once before and once after the first event.
func TestABusyServerMayAnswerLateWhichRunItIs(t *testing.T) {
	for _, header := range []string{"", "Connection: close\r\n"} {
		g := gomega.NewWithT(t)
		var asked atomic.Int64
		b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/run" {
				if asked.Add(1) <= 2 {
					time.Sleep(400 * time.Millisecond)
				}
				stateRun(c, startedUnixMilli, header)
				return header == ""
			}
			events(c, r.Header.Get("Id"), 1, 2, true)
			return true
		})
		f := newFixture(t, b)
		status, body, _, err := f.post("/stream/1", "first")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	}
}

// TestTheQuestionForTheRunEndsWithTheDeadline guards against a request that waits beyond its deadline
// until its server says which run it is, or is sent after it.
func TestTheQuestionForTheRunEndsWithTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent atomic.Int64
	b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/run" {
			time.Sleep(250 * time.Millisecond)
			stateRun(c, startedUnixMilli, "")
			return true
		}
		sent.Add(1)
		events(c, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, b)
	f.catalog.Routes[2].Timeout = 100 * time.Millisecond
	startedAt := time.Now()
	status, _, _, err := f.post("/stream/1", "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "it has not run")
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 220*time.Millisecond))
	time.Sleep(300 * time.Millisecond)
	g.Expect(sent.Load()).To(gomega.BeZero())
}

// TestALateDescriptionChangesNoRequestLimit guards against a limit of a server that is lifted by a second
// copy of its description, which states no limits.
func TestALateDescriptionChangesNoRequestLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/run" {
			stateRun(c, startedUnixMilli, "")
			return true
		}
		stateRun(c, startedUnixMilli, "")
		events(c, r.Header.Get("Id"), 1, 2, true)
		return true
	})
	f := newFixture(t, b)
	_, body, _, err := f.post("/stream/1", "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	g.Expect(f.saidLimits).To(gomega.ConsistOf(serverlimit.Statement{}, serverlimit.Statement{Unreadable: true}))
}

// TestAForwardedStreamKeepsTheVersionThatItsDaemonKnows guards against a stream that goes on, within one
// answer, at another version because the daemon to which it is forwarded concludes another one.
func TestAForwardedStreamKeepsTheVersionThatItsDaemonKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	later := streamingServer(t)
	f := newForwardFixture(t, later)
	first := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		events(c, r.Header.Get("Id"), 1, 2, false)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut = true
		return false
	})
	f.cut = false
	f.catalog.Routes[2].MaxAttempts = 4
	f.servers = []fleet.Server{{ID: "first", Service: "s", Address: first.listener.Addr().String(), Version: "v1", StartedUnixMilli: startedUnixMilli}}
	f.others[0].servers[0].Version = "v2"
	f.others[0].origins["1"] = streamversion.Origin{Service: "s", Version: "v2"}
	_, body, _, err := f.post("/stream/1", "1")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	g.Expect(later.count()).To(gomega.BeZero())
}

// TestAStreamThatAnotherDaemonBeganGoesOnFromHere guards against a stream that is cut although its
// version is known, because the daemon that passed its first event on has broken off.
func TestAStreamThatAnotherDaemonBeganGoesOnFromHere(t *testing.T) {
	g := gomega.NewWithT(t)
	broken := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		events(c, r.Header.Get("Id"), 1, 2, false)
		return false
	})
	f := newForwardFixture(t, broken)
	here, other := streamingServer(t), streamingServer(t)
	f.cut = false
	// The other daemon sends all requests for the first server.
	f.senders = map[string]string{"here-0": "other-0"}
	for i, b := range []*backend{broken, other, here} {
		f.servers = append(f.servers, fleet.Server{ID: fmt.Sprint("here-", i), Service: "s", Address: b.listener.Addr().String(),
			Version: []string{"v1", "v2", "v1"}[i], StartedUnixMilli: startedUnixMilli})
	}
	f.origins["1"] = streamversion.Origin{Service: "s", Version: "v1"}
	f.catalog.Routes[2].MaxAttempts = 4
	_, body, _, _ := f.post("/stream/1", "1")
	g.Expect(body).To(gomega.ContainSubstring("data: e4\n"))
	g.Expect(other.count()).To(gomega.BeZero())
}

// TestAStreamOfAServerWithoutAStartHasNoKnownVersion guards against a version that is taken from an
// entry which doesn't state the run that it describes.
func TestAStreamOfAServerWithoutAStartHasNoKnownVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	f, backends := versions(t, "v1", "v1")
	f.servers[0].StartedUnixMilli = 0
	_, body, _, err := f.post("/stream/1", "first")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	g.Expect(backends[1].count()).To(gomega.BeZero())
	f.servers = f.servers[:1]
	f.origins["other"] = streamversion.Origin{Service: "s", Version: "v1"}
	status, _, err := f.take("other", "again", "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
}

// TestAStreamWithoutAServerOfItsVersionIsCut guards against a stream that goes on at
// another version because no server of its own is left, or because its server states none.
func TestAStreamWithoutAServerOfItsVersionIsCut(t *testing.T) {
	for _, first := range []string{"v1", ""} {
		g := gomega.NewWithT(t)
		f, backends := versions(t, first, "v2", "")
		_, body, _, err := f.post("/stream/1", "first")
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
		g.Expect(backends[1].count() + backends[2].count()).To(gomega.BeZero())
	}
}

// TestAStreamWithoutEventsMayBeginAtAnyVersion guards against a stream that is bound to the
// version of a server which has sent nothing.
func TestAStreamWithoutEventsMayBeginAtAnyVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := newBackend(t, func(int, *http.Request, net.Conn) bool { return false })
	f := newFixture(t, silent, streamingServer(t))
	f.servers[1].Version = "v2"
	_, body, _, _ := f.post("/stream/1", "first")
	g.Expect(body).To(gomega.ContainSubstring("data: e2\n"))
	g.Expect(f.origins["first"].Version).To(gomega.Equal("v2"))
}

// TestAStreamIsTakenUpAtItsVersion guards against a stream that its caller takes up, also a
// second and a third time, and that goes on at another version than the one that began it.
func TestAStreamIsTakenUpAtItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	f, backends := versions(t, "v2", "v1", "v2", "v1")
	f.catalog.Routes[2].MaxAttempts = 1
	f.origins["first"] = streamversion.Origin{Service: "s", Version: "v1"}
	for i, after := range []string{"2", "4", "6"} {
		status, body, _ := f.take("first", fmt.Sprint("again-", i), after)
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.ContainSubstring("data: e%d\n", 4+2*i))
	}
	g.Expect(backends[0].count() + backends[2].count()).To(gomega.BeZero())
	g.Expect(f.origins).To(gomega.HaveLen(1), "the stream keeps its name")
	g.Expect(f.alreadyStarted).To(gomega.HaveEach(true), "the caller has a part of the answer")
}

// TestAStreamIsTakenUpAtItsService guards against a stream on a route with several services
// that goes on at another one, because each try of the caller draws its service anew.
func TestAStreamIsTakenUpAtItsService(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := versions(t, "v1")
	f.catalog.Routes[2].Split = []catalog.Share{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}
	services := make(map[string]bool)
	for i := range 20 {
		_, _, _ = f.take("first", fmt.Sprint("again-", i), "2")
		services[f.originService] = true
	}
	g.Expect(services).To(gomega.HaveLen(1))
}

// TestAStreamDoesNotGoOnAtAnotherRun guards against a stream that goes on at a server which
// has started again under its ID, and may have another version, before its entry shows it;
// also when the server closes the connection after its description or states no start.
func TestAStreamDoesNotGoOnAtAnotherRun(t *testing.T) {
	for _, test := range []struct {
		name, description, header string
		goesOn                    bool
	}{
		{"the listed run", "1", "", true},
		{"the listed run, which closes the connection", "1", "Connection: close\r\n", true},
		{"no start stated", "none", "", false},
		{"a failure with a start", "1", "failure", false},
		{"another run", "2", "", false},
		{"the listed run, which leaves", "1", "Leaves: 1\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
				if r.URL.Path == "/run" {
					status, header := "200 OK", test.header
					if header == "failure" {
						status, header = "503 Busy", ""
					}
					fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(test.description), test.description)
					return test.header == ""
				}
				events(c, r.Header.Get("Id"), 3, 4, true)
				return true
			})
			f := newFixture(t, b)
			f.servers[0].StartedUnixMilli = 1
			f.origins["first"] = streamversion.Origin{Service: "s", Version: "v1"}
			status, body, err := f.take("first", "again", "2")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if !test.goesOn {
				g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "nothing was sent")
				g.Expect(b.count()).To(gomega.Equal(1))
				return
			}
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect(body).To(gomega.ContainSubstring("data: e4\n"))
		})
	}
}

// TestAStreamOfUnknownVersionIsRefused guards against a stream that goes on although no
// daemon knows which version began it, or at a service to which its route does not lead.
func TestAStreamOfUnknownVersionIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f, backends := versions(t, "v1", "v1")
	f.origins["elsewhere"] = streamversion.Origin{Service: "other", Version: "v1"}
	for _, stream := range []string{"unknown", "", "elsewhere"} {
		status, _, err := f.take(stream, "again", "2")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	g.Expect(backends[0].count() + backends[1].count()).To(gomega.BeZero())
	g.Expect(f.charged).To(gomega.BeZero())
}
