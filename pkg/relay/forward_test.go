package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/pkg/fleet"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
	"github.com/monsooncrank/monsooncrank/pkg/relay"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
)

// forwardFixture is a daemon that has lost its links to servers and others that have not.
type forwardFixture struct {
	*fixture
	others []*fixture
}

// newForwardFixture returns a daemon without links and one daemon for each server.
func newForwardFixture(t *testing.T, backends ...*backend) *forwardFixture {
	t.Helper()
	f := &forwardFixture{fixture: newFixture(t)}
	f.cut = true
	for i, b := range backends {
		other := newFixture(t, b)
		internal := httptest.NewServer(http.HandlerFunc(other.handler.ServeForwarded))
		t.Cleanup(internal.Close)
		f.targets = append(f.targets, relay.ForwardTarget{Node: fmt.Sprint("other-", i), Address: strings.TrimPrefix(internal.URL, "http://")})
		f.others = append(f.others, other)
	}
	return f
}

// answers is a script that answers each request.
func answers(_ int, r *http.Request, c net.Conn) bool {
	answer(c, r.Header.Get("Id"), "Custom: 1\r\n", "done")
	return true
}

// TestARequestIsForwardedByADaemonWithoutLinks guards against requests that a daemon refuses,
// or tries to send from here, although others reach the servers. The request is charged once
// and keeps its key, ID, body and deadline; nothing of the way between daemons shows.
func TestARequestIsForwardedByADaemonWithoutLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, answers)
	f := newForwardFixture(t, b)
	for i, path := range []string{"/once/x", "/look/x?page=1", "/once/x"} {
		status, body, header, err := f.post(path, fmt.Sprint(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("done"))
		g.Expect(header.Get("Custom")).To(gomega.Equal("1"))
		for name := range header {
			g.Expect(name).NotTo(gomega.HavePrefix("Forwarded"))
		}
	}
	g.Expect(b.count()).To(gomega.Equal(3))
	g.Expect(b.requests[1].URL.RequestURI()).To(gomega.Equal("/look/x?page=1"))
	for name := range b.requests[0].Header {
		g.Expect(name).NotTo(gomega.HavePrefix("Forwarded"))
	}
	g.Expect(f.charged).To(gomega.BeEquivalentTo(3 * 7))
	g.Expect(f.others[0].charged).To(gomega.BeZero())
	g.Expect(f.others[0].began).To(gomega.Equal(3), "usage counts where the request runs")
	g.Expect(f.began).To(gomega.BeZero())
}

// TestAForwardedRequestThatDidNotRun guards against refusals that are false or that leave a
// daemon untried, against requests that are forwarded on and on, and against refusals of
// the quarantine that are circumvented at another daemon.
func TestAForwardedRequestThatDidNotRun(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *forwardFixture)
		// status is that of the answer, and served the daemon that runs the request, or -1.
		status, served int
	}{
		{"the first daemon takes no more", func(f *forwardFixture) { f.others[0].full = true }, 200, 1},
		{"the first daemon has lost its links, too", func(f *forwardFixture) { f.others[0].cut = true }, 200, 1},
		{"the first daemon would forward it", func(f *forwardFixture) {
			f.others[0].cut, f.others[0].targets = true, f.targets
		}, 200, 1},
		{"the first daemon is gone", func(f *forwardFixture) { f.targets[0].Address = "127.0.0.1:1" }, 200, 1},
		{"the first daemon has an older configuration", func(f *forwardFixture) { f.catalog.Version = 2; f.others[1].catalog.Version = 2 }, 200, 1},
		{"the first daemon's server leaves", func(f *forwardFixture) {
			f.others[0].leaveAtConnect = map[string]bool{"server-0": true}
		}, 200, 1},
		{"no daemon takes it", func(f *forwardFixture) { f.others[0].full, f.others[1].full = true, true }, 503, -1},
		{"no daemon reaches servers", func(f *forwardFixture) { f.targets = nil }, 503, -1},
		{"the route is unknown there", func(f *forwardFixture) { f.others[0].catalog.Routes = nil; f.others[0].catalog.Index() }, 404, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			backends := []*backend{newBackend(t, answers), newBackend(t, answers)}
			f := newForwardFixture(t, backends...)
			test.prepare(f)
			startedAt := time.Now()
			status, _, header, err := f.post("/once/x", "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(test.status))
			g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 300*time.Millisecond), "at once")
			for i, b := range backends {
				want := 0
				if i == test.served {
					want = 1
				}
				g.Expect(b.count()).To(gomega.Equal(want), "daemon %d", i)
			}
			if test.served < 0 {
				g.Expect(f.refunded).To(gomega.BeEquivalentTo(7))
			}
			if status == http.StatusServiceUnavailable {
				g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		})
	}
}

// TestAForwardedRequestRunsOnce guards against a once-only request that is sent to another
// daemon, or reported as not run, after one daemon may have run it.
func TestAForwardedRequestRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	drop := func(int, *http.Request, net.Conn) bool { return false }
	a, b := newBackend(t, drop), newBackend(t, answers)
	f := newForwardFixture(t, a, b)
	status, _, header, err := f.post("/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(header.Get("Retry-After")).To(gomega.BeEmpty())
	g.Expect([]int{a.count(), b.count()}).To(gomega.Equal([]int{1, 0}))
	g.Expect(f.refunded).To(gomega.BeZero())

	// The daemon itself breaks off after it has read the request.
	broken := newBackend(t, drop)
	f.targets[0].Address = broken.listener.Addr().String()
	status, _, _, err = f.post("/once/x", "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect([]int{broken.count(), b.count()}).To(gomega.Equal([]int{1, 0}))
	// A repeatable one goes on at the next daemon.
	status, _, _, err = f.post("/look/x", "3")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(f.retries).To(gomega.Equal(1), "taken from the retry budget")
}

// TestAForwardedStreamGoesOn guards against events that are lost, doubled or joined from two
// runs when a daemon breaks off in the middle of a forwarded stream, and against a stream
// that looks whole although it was broken off.
func TestAForwardedStreamGoesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	part := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Forwarded-By-Daemon") == "" {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: first\r\nForwarded-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n")
		fmt.Fprintf(c, "15\r\nid: 1\ndata: e1\n\nid: 2\r\n")
		return false
	})
	rest := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		from := 1
		if r.Header.Get("Last") == "1" {
			from = 2
		}
		events(c, r.Header.Get("Id"), from, 3, true)
		return true
	})
	for _, test := range []struct {
		path, body string
		whole      bool
	}{{"/stream/x", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", true}, {"/whole/x", "id: 1\ndata: e1\n\n", false}} {
		f := newForwardFixture(t, rest, rest)
		f.targets[0].Address = part.listener.Addr().String()
		f.others[1].origins["1"] = streamversion.Origin{Service: "s", Version: "v1"}
		status, body, header, err := f.post(test.path, "1")
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal(test.body))
		g.Expect(err == nil).To(gomega.Equal(test.whole))
		g.Expect(header.Get("Seal")).To(gomega.Equal("first"))
	}
}

// TestACallerThatLeavesEndsItsForwardedRequest guards against servers that work on for a
// caller that has left, two daemons away.
func TestACallerThatLeavesEndsItsForwardedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	f := newForwardFixture(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, _, _ = f.send(ctx, http.MethodPost, "/whole/x", "1")
	g.Eventually(b.closed, 400*time.Millisecond).Should(gomega.Receive())
}

// TestServersThatResetConnectionsAreTriedIfNoDaemonReachesThem guards against refusing all
// requests because full servers reset new connections: open ones may still serve.
func TestServersThatResetConnectionsAreTriedIfNoDaemonReachesThem(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, answers)
	f := newFixture(t, b)
	f.cut, f.doubtful = true, true
	status, _, _, _ := f.post("/once/x", "1")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	f.doubtful = false
	status, _, _, _ = f.post("/once/x", "2")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(b.count()).To(gomega.Equal(1))
}

// TestNewConnectionsShowWhetherServersAreReached guards against taking a reused connection
// for a sign that new ones work, and against not counting failed ones.
func TestNewConnectionsShowWhetherServersAreReached(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBackend(t, answers)
	f := newFixture(t, b)
	for i := range 2 {
		_, _, _, _ = f.post("/once/x", fmt.Sprint(i))
	}
	g.Expect(f.connected).To(gomega.Equal([]reach.Result{reach.Accepted}), "the second one reused the connection")
	f.servers[0].ID, f.servers[0].Address = "refuses", "127.0.0.1:1"
	_, _, _, _ = f.post("/once/x", "3")
	g.Expect(f.connected[1:]).To(gomega.Equal([]reach.Result{reach.Failed}))
}

// TestAServerWithoutRoomIsReported guards against refusals of full servers that do not reach
// the gate for brittle ones, and against other refusals that do.
func TestAServerWithoutRoomIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	full := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool { notRun(c, r.Header.Get("Id")); return true })
	moved := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 421 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	})
	f := newFixture(t, full, moved)
	_, _, _, _ = f.post("/look/x", "1")
	g.Expect([]int{full.count(), moved.count(), f.turnedAway}).To(gomega.Equal([]int{1, 1, 1}))
}

// TestRequestsGoThroughTheSenderOfAServer guards against daemons that each send to a brittle
// server while one is to send the requests of all, and against requests that fail because
// that daemon is gone, full or of another opinion.
func TestRequestsGoThroughTheSenderOfAServer(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *forwardFixture)
		// counts holds the requests at the server behind the sender and at another server.
		counts []int
	}{
		{"takes it", func(*forwardFixture) {}, []int{1, 0}},
		{"is gone", func(f *forwardFixture) { f.targets[0].Address = "127.0.0.1:1" }, []int{0, 1}},
		{"is not known", func(f *forwardFixture) { f.targets = nil }, []int{0, 1}},
		{"takes no more", func(f *forwardFixture) { f.others[0].full = true }, []int{0, 1}},
		{"forwards it on", func(f *forwardFixture) { f.others[0].servers = nil }, []int{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			gated, open := newBackend(t, answers), newBackend(t, answers)
			f := newForwardFixture(t, gated)
			f.cut = false
			f.senders = map[string]string{"gated": "other-0"}
			f.servers = []fleet.Server{{ID: "gated", Address: gated.listener.Addr().String()}, {ID: "open", Address: open.listener.Addr().String()}}
			test.prepare(f)
			status, _, _, err := f.post("/once/x", "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			g.Expect([]int{gated.count(), open.count()}).To(gomega.Equal(test.counts))
			g.Expect(f.charged).To(gomega.BeEquivalentTo(7))
		})
	}
}

// TestWhatAForwardedAnswerSaysOfItsServerIsNoted guards against a daemon that passes on the answer
// of a server, which says that it leaves and how many requests it takes, and sends requests there
// once it has links again. The pause is meant for the daemon that sent the request.
func TestWhatAForwardedAnswerSaysOfItsServerIsNoted(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, path := range []string{"/once/x", "/stream/1"} {
		b := newStatingBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/run" {
				stateRun(c, 5, "")
				return true
			}
			if strings.HasPrefix(r.URL.Path, "/stream/") {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLeaves: 1\r\nPause: 3s\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n", r.Header.Get("Id"))
				return true
			}
			answer(c, r.Header.Get("Id"), "Leaves: 1\r\nPause: 3s\r\n", "done")
			return true
		})
		f := newForwardFixture(t, b)
		f.others[0].servers[0].StartedUnixMilli = 5
		status, _, header, err := f.post(path, "1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK), path)
		for name := range header {
			g.Expect(name).NotTo(gomega.HavePrefix("Forwarded"))
		}
		g.Expect(header.Get("Connection")).NotTo(gomega.ContainSubstring("Forwarded"))
		g.Expect(f.saidLeaving).To(gomega.Equal([]string{"server-0"}), path)
		g.Expect(f.saidBy).To(gomega.Equal("server-0#5"))
		g.Expect(f.retryAfter).To(gomega.BeZero())
		g.Expect(f.others[0].retryAfter).To(gomega.Equal(3 * time.Second))
	}
}
