package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/shutdown"
)

// stoppingRetryAfter is the Retry-After value of a daemon that is stopping. Callers reach
// another daemon with their next connection.
const stoppingRetryAfter = 100 * time.Millisecond

// detailStopping is the detail of problems of a daemon that is stopping.
const detailStopping = "daemon is stopping"

// Stop makes all further responses close their connections and requests that are not expected to
// be answered in the grace period be refused.
func (h *Handler) Stop(plan shutdown.Plan) { h.plan.Store(&plan) }

// EndRequests ends the requests in progress. Those whose answer has not begun are answered.
func (h *Handler) EndRequests() { h.end() }

// responseWriter makes responses close their connections while the daemon is stopping, so that
// callers reconnect to another one.
type responseWriter struct {
	http.ResponseWriter
	handler *Handler
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if header := w.Header(); w.handler.plan.Load() != nil && header.Get("Connection") != "close" {
		// The server closes the connection only if this is the first value.
		header["Connection"] = append([]string{"close"}, header["Connection"]...)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// mayBegin reports whether a request may still be sent to a server. One that may have run goes
// on, as its caller cannot be told that it did not.
func (x *exchange) mayBegin() bool {
	plan := x.handler.plan.Load()
	if plan == nil || x.mayHaveRun {
		return true
	}
	now := time.Now()
	ok, expected := plan.MayBegin(now, shutdown.Request{Deadline: x.deadline, Once: !x.route.Repeatable(),
		Stream: x.route.Kind == catalog.KindStream, Recent: x.recentDurations()})
	if ok {
		return true
	}
	x.handler.metrics.refusedAtStop.WithLabelValues(x.route.Kind.String()).Inc()
	klog.InfoS("refused while stopping", "request", x.ID, "route", x.route.Name, "forwardedBy", x.forwardedBy(), "expectedMs", expected.Milliseconds(),
		"leftMs", x.deadline.Sub(now).Milliseconds(), "graceLeftMs", plan.AnswerUntil.Sub(now).Milliseconds())
	return false
}

// stoppingProblem returns the problem of a request that this daemon does not begin any more.
func stoppingProblem() *api.Problem {
	return api.NewNotRunProblem(api.ProblemDraining, http.StatusServiceUnavailable, detailStopping).WithRetryAfter(stoppingRetryAfter)
}

// acceptsForwarded reports whether other daemons may still forward requests to this one. They
// have heard of its stop when it accepts no more connections, and it may exit then.
func (h *Handler) acceptsForwarded() bool {
	plan := h.plan.Load()
	return plan == nil || time.Now().Before(plan.AcceptUntil)
}

// ended reports whether the requests in progress are ended.
func (h *Handler) ended() bool { return h.ending.Err() != nil }

// onEnd calls f when the requests in progress are ended, unless stop is called before.
func (h *Handler) onEnd(f func()) (stop func() bool) { return context.AfterFunc(h.ending, f) }

// recordDuration records how long a request took from when it could be sent to a server.
func (x *exchange) recordDuration() {
	if x.readyAt.IsZero() || !x.mayHaveRun || x.status/100 != 2 && x.status != http.StatusGatewayTimeout || x.handler.ended() {
		return
	}
	h := x.handler
	h.durationsMu.Lock()
	defer h.durationsMu.Unlock()
	h.durations.Add(time.Since(x.readyAt), x.durationKinds()...)
}

// recentDurations returns how long recent requests of the route took or, if too few are known,
// those of all routes of its kind.
func (x *exchange) recentDurations() []time.Duration {
	h := x.handler
	h.durationsMu.Lock()
	defer h.durationsMu.Unlock()
	return h.durations.Recent(x.durationKinds()...)
}

// durationKinds returns the names under which the time that the request takes is recorded.
func (x *exchange) durationKinds() []string {
	return []string{x.route.Name, fmt.Sprintf("%v repeatable=%t", x.route.Kind, x.route.Repeatable())}
}
