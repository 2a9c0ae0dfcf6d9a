package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// unframed writes a response that ends with its connection, and calls end before that. If
// breaks is set, the server accepts connections and closes them without a response then.
func unframed(body string, breaks bool, end func()) script {
	return func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/run" {
			if breaks {
				return false
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), body)
		end()
		return false
	}
}

// TestAResponseThatEndsWithItsConnectionIsWholeOnlyIfItsServerRuns guards against a response
// without a length or chunks that passes for complete because its server crashed after a
// whole event. Its crash would then count as a success of the request too.
func TestAResponseThatEndsWithItsConnectionIsWholeOnlyIfItsServerRuns(t *testing.T) {
	const events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	tests := []struct {
		name, path, body string
		// crashes ends the server, and startedUnixMilli is the start in its entry; the run that
		// answers started at 2.
		crashes, breaks  bool
		startedUnixMilli int64
		status           int
		whole            bool
	}{
		{"stream of a running server", "/whole/1", events, false, false, 2, 200, true},
		{"stream of a server whose start is not known", "/whole/1", events, false, false, 0, 200, true},
		{"stream of a crashed server", "/whole/1", events, true, false, 2, 200, false},
		{"stream of a server that has started again", "/whole/1", events, false, false, 1, 200, false},
		{"stream of a server that is about to start again", "/whole/1", events, false, true, 2, 200, false},
		{"answer of a running server", "/once/1", "done", false, false, 2, 200, true},
		{"answer of a crashed server", "/once/1", "done", true, false, 2, 502, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var b *backend
			b = newStatingBackend(t, unframed(test.body, test.breaks, func() {
				if test.crashes {
					_ = b.listener.Close()
				}
			}))
			f := newFixture(t, b)
			f.servers[0].StartedUnixMilli = test.startedUnixMilli
			status, body, _, err := f.post(test.path, "1")
			g.Expect(status).To(gomega.Equal(test.status))
			if test.whole {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.HaveOccurred(), "body %q", body)
			}
			g.Expect(f.crashes(test.path) > 0).To(gomega.Equal(test.crashes))
		})
	}
}

// TestTheEndOfAResponseIsConfirmedByAnAnswer guards against a response without a length or chunks
// that passes for complete because its crashed server's address still accepts connections and
// answers nothing. A server that is busy for a moment answers when it is asked again.
func TestTheEndOfAResponseIsConfirmedByAnAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		// unanswered is the number of questions for the run that get no answer.
		unanswered int
		whole      bool
	}{{"busy for a moment", 1, true}, {"silent", 100, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var asked atomic.Int32
			serve := unframed("id: 1\ndata: e1\n\n", false, func() {})
			b := newStatingBackend(t, func(n int, r *http.Request, c net.Conn) bool {
				if r.URL.Path == "/run" && int(asked.Add(1)) <= test.unanswered {
					_, _ = c.Read(make([]byte, 1))
					return false
				}
				return serve(n, r, c)
			})
			f := newFixture(t, b)
			f.servers[0].StartedUnixMilli = 2
			status, body, _, err := f.post("/whole/1", "1")
			g.Expect(status).To(gomega.Equal(http.StatusOK))
			if test.whole {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.HaveOccurred(), "body %q", body)
			}
		})
	}
}

// unnamedRefusal writes a response which states that a request did not run, without its ID.
func unnamedRefusal(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// Guards against a request that passes for one that has not run, and is refused or sent to a second
// server while it runs, because a faulty server writes an earlier refusal once more on a kept
// connection.
func TestARefusalThatIsWrittenAgainIsNoAnswer(t *testing.T) {
	for name, again := range map[string]func(net.Conn){
		"without a request":     unnamedRefusal,
		"of the request before": func(c net.Conn) { notRun(c, "1") },
		"another failure":       func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 500 Broken\r\nSeal: s\r\nContent-Length: 4\r\n\r\nfail") },
	} {
		for _, path := range []string{"/once/x", "/look/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				g := gomega.NewWithT(t)
				serve := func(n int, r *http.Request, c net.Conn) bool {
					id := r.Header.Get("Id")
					if n == 1 {
						notRun(c, id)
						return true
					}
					again(c)
					if path == "/stream/x" {
						events(c, id, 1, 3, true)
					} else {
						answer(c, id, "", "done")
					}
					return true
				}
				b := newBackend(t, serve)
				f := newFixture(t, b)
				status, _, _, err := f.post(path, "1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
				status, _, _, err = f.post(path, "2")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(http.StatusOK))
				g.Expect(b.count()).To(gomega.Equal(2))
			})
		}
	}
}

// Guards against the refusal of a request's first try at a server that is taken for the answer to a
// later try, as both have the ID of the request: the later try uses another connection.
func TestARequestIsNotSentAgainOnItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	conns := make(map[net.Conn]int)
	b := newBackend(t, func(n int, r *http.Request, c net.Conn) bool {
		mu.Lock()
		conns[c]++
		earlier := conns[c] > 1
		mu.Unlock()
		id := r.Header.Get("Id")
		if earlier {
			notRun(c, id)
		}
		if n == 1 {
			notRun(c, id)
		} else {
			answer(c, id, "", "done")
		}
		return true
	})
	f := newFixture(t, b)
	status, _, _, err := f.post("/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	// Another daemon forwards the request to this one again.
	status, body, _, err := f.post("/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("done"))
}
