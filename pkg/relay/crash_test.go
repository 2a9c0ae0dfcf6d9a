package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// crashingBackend answers requests until it receives one with the ID "crash". Then
// it closes that connection, and if it crashes it accepts no other one.
func crashingBackend(t *testing.T, crashes bool) *backend {
	t.Helper()
	var b *backend
	b = newBackend(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Id") == "crash" {
			if crashes {
				_ = b.listener.Close()
			}
			return false
		}
		answer(c, r.Header.Get("Id"), "", "answer")
		return true
	})
	return b
}

// A server may crash while it runs a request on a connection that carried earlier
// ones. Such breaks were taken for idle connections that the server had closed,
// and were not counted.
func TestACrashOnAKeptConnectionIsCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, crashingBackend(t, true))
	status, _, _, err := f.post("/once/1", "first")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	status, _, _, _ = f.post("/once/1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(f.servers).To(gomega.HaveLen(1))
	g.Expect(f.crashes("/once/1")).To(gomega.Equal(1))
}

// A connection that breaks while its server runs on, such as by a network fault,
// must not make a request suspect.
func TestABrokenConnectionToARunningServerIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, crashingBackend(t, false))
	status, _, _, _ := f.post("/once/1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(f.crashes("/once/1")).To(gomega.BeZero())
}

// A request may be quarantined while it is in progress. The verdict was read at
// its arrival only, so that it was sent to as many servers as its route allows.
func TestARequestIsNotSentOnOnceItIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	backends := []*backend{crashingBackend(t, true), crashingBackend(t, true), crashingBackend(t, true), crashingBackend(t, true)}
	f := newFixture(t, backends...)
	status, _, _, _ := f.post("/often/1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway), "the request may have run")
	sent := 0
	for _, b := range backends {
		sent += b.count()
	}
	g.Expect(sent).To(gomega.Equal(2))
	status, _, header, _ := f.post("/often/1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "the resend has not run")
	g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
}

// A request that crashes servers may carry another query each time it is sent. It was
// a new request for every daemon then.
func TestARequestThatComesWithAnotherQueryIsRecognized(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, crashingBackend(t, true), crashingBackend(t, true), crashingBackend(t, true))
	status, _, _, _ := f.post("/once/1?page=1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	status, _, _, _ = f.post("/once/1", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
	status, _, _, _ = f.post("/once/1?page=2", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.crashes("/once/1")).To(gomega.Equal(2))
}

// One query of a resource that crashes servers must not keep callers from the others,
// which complete.
func TestOtherQueriesOfAResourceInUseAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(t, crashingBackend(t, true), crashingBackend(t, true), crashingBackend(t, true))
	status, _, _, err := f.post("/once/1?page=1", "harmless")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	for range 2 {
		_, _, _, _ = f.post("/once/1?page=2", "crash")
	}
	status, _, _, _ = f.post("/once/1?page=2", "crash")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	status, _, _, _ = f.post("/once/1?page=3", "harmless")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}

// A server may fall silent under a request until the caller gives up. Its crash
// shows when it has started again.
func TestASilentServersCrashConcernsRequestsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := newBackend(t, func(_ int, r *http.Request, _ net.Conn) bool {
		<-r.Context().Done()
		return false
	})
	f := newFixture(t, silent)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, _, err := f.send(ctx, http.MethodPost, "/whole/1", "given-up")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(f.handler.Active).Should(gomega.BeZero())
	f.quarantine.ServerRestarted(f.servers[0].RunID())
	g.Eventually(func() int { return f.crashes("/whole/1") }).Should(gomega.Equal(1))
}
