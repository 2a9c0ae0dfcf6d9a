package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A server that turns a request away may say how long it wants none, and any answer of a
// server that it leaves. Both reach the controller, also from the answer to another request.
func TestWhatServersSayOfThemselvesIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	full := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nPause: 3s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	})
	leaving := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLeaves: 1\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("Id"))
		return err == nil
	})
	f := newFixture(t, full, leaving)
	status, body, _, err := f.post("/once/x", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.Equal("done"))
	g.Expect(f.retryAfter).To(gomega.Equal(3 * time.Second))
	g.Expect(f.saidLeaving).To(gomega.Equal([]string{"server-1"}))
}

// TestAPauseIsNotedWhateverTheAnswerStates guards against requests to a server that has asked
// for a pause in an answer which does not state that the request did not run, and which is
// passed on to the caller or followed by an attempt at another server.
func TestAPauseIsNotedWhateverTheAnswerStates(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, path := range []string{"/once/x", "/look/x", "/stream/x"} {
		pauses := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nPause: 3s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		f := newFixture(t, pauses)
		_, _, _, err := f.post(path, "1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.retryAfter).To(gomega.Equal(3*time.Second), path)
	}
}

// TestWhatSkippedResponsesSayIsNoted guards against requests to a server that has said that it
// leaves, or asked for a pause, in a late response to another request on the same connection.
// A server at an address that belongs to another one by now says nothing of the latter.
func TestWhatSkippedResponsesSayIsNoted(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, misdirected := range []bool{false, true} {
		b := newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: late\r\nNot-Run: 1\r\nLeaves: 1\r\nPause: 3s\r\nContent-Length: 0\r\n\r\n")
			if misdirected {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			} else {
				answer(c, r.Header.Get("Id"), "", "done")
			}
			return err == nil
		})
		f := newFixture(t, b)
		_, _, _, err := f.post("/look/x", "1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if misdirected {
			g.Expect(f.saidLeaving).To(gomega.BeEmpty())
			g.Expect(f.retryAfter).To(gomega.BeZero())
		} else {
			g.Expect(f.saidLeaving).To(gomega.Equal([]string{"server-0"}))
			g.Expect(f.retryAfter).To(gomega.Equal(3 * time.Second))
		}
	}
}
