package relay

import (
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/backendconn"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/contention"
	"github.com/monsooncrank/monsooncrank/pkg/placement"
	"github.com/monsooncrank/monsooncrank/pkg/reach"
)

const (
	// maxFailedDials limits the failed connection attempts for one request.
	maxFailedDials = 4
	// deadlineSlack is how long after the deadline a server's own timeout
	// response is still accepted. It covers the one-way network delay.
	deadlineSlack = 80 * time.Millisecond
	// minTimeLeft is the remaining time below which no further attempt is made,
	// because no server responds faster.
	minTimeLeft = 10 * time.Millisecond
	// refusedRetryAfter is the Retry-After value for a request that no server
	// ran. The queues of the servers advance within that time.
	refusedRetryAfter = 250 * time.Millisecond
)

// outcome is the result of an attempt as far as retries are concerned.
type outcome int

const (
	// outcomeDone means that the caller has its response or has disconnected.
	outcomeDone outcome = iota
	// outcomeNotSent means that no byte of the request was sent.
	outcomeNotSent
	// outcomeNotRun means that the server states it did not run the request.
	outcomeNotRun
	// outcomeIncomplete means that no response or only part of one arrived.
	outcomeIncomplete
	// outcomeFailed means that the server responded with an error, which is
	// forwarded if no other server succeeds.
	outcomeFailed
)

// String returns the name of the outcome in logs.
func (o outcome) String() string {
	return [...]string{"done", "not sent", "not run", "broken", "failed"}[o]
}

// hashFraction maps a request ID to a uniformly distributed fraction in [0, 1).
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// run makes attempts at servers until the request is answered.
func (x *exchange) run() {
	var exclude []string
	dials, forwards := 0, 0
	var lastFailure *bufferedResponse
	for {
		if !x.mayBegin() {
			x.refundAndReject(stoppingProblem())
			return
		}
		if x.shouldForward() && x.forward(lastFailure) {
			return
		}
		decision, err := x.place(exclude)
		if err != nil {
			x.answerNoServer(err, lastFailure)
			return
		}
		if time.Until(x.deadline) < minTimeLeft {
			x.timedOut()
			return
		}
		if decision.Sender != "" {
			forwards++
			exclude = append(exclude, decision.Server.ID)
			if forwards > maxForwards {
				x.answerNoServer(&placement.RefusedError{Reason: placement.RefusedOverloaded, RetryAfter: busyRetryAfter}, lastFailure)
				return
			}
			if x.forwardToSender(decision.Sender, lastFailure) {
				return
			}
			continue
		}
		x.attempts++
		x.firstPartAfter, x.selectedAt, x.connectedAfter, x.said = -time.Millisecond, time.Now(), -time.Millisecond, Statements{}
		x.answeringRun = 0
		result, failure := x.attempt(&decision)
		klog.InfoS("attempt", "request", x.ID, "attempt", x.attempts, "server", decision.Server.ID, "started", decision.Server.StartedUnixMilli, "run", x.answeringRun, "version", decision.Server.Version,
			"zone", decision.Server.AvailabilityZone, "service", x.service, "outcome", result.String(),
			"expectedMs", decision.ExpectedWait.Milliseconds(), "firstMs", x.firstPartAfter.Milliseconds(), "cached", decision.CachedTokens, "order", decision.Order.String(), "candidates", decision.Candidates, "running", decision.Running, "speed", decision.Speed, "limited", decision.Limited,
			"loadAgeMs", decision.LoadAge.Milliseconds(), "fleetVersion", decision.FleetVersion,
			"fleetAgeMs", decision.FleetAge.Milliseconds(), "connectMs", x.connectedAfter.Milliseconds(),
			"leaving", x.said.Leaving, "pauseMs", x.said.RetryAfter.Milliseconds(), "configuration", x.configVersion, "status", x.status)
		if failure != nil {
			lastFailure = failure
		}
		if result == outcomeDone {
			return
		}
		if x.isQuarantined() {
			x.answerQuarantined(lastFailure)
			return
		}
		exclude = append(exclude, decision.Server.ID)
		if result == outcomeNotSent {
			x.attempts--
			dials++
			if dials < maxFailedDials || x.hop == nil && x.shouldForward() {
				continue
			}
		} else if x.mayRetry(result) {
			continue
		}
		x.answerFailed(result, lastFailure)
		return
	}
}

// mayRetry reports whether another attempt is allowed and, if so, takes it from
// the retry budget. A request that may have run is repeated only on a repeatable
// route.
func (x *exchange) mayRetry(result outcome) bool {
	if x.caller.Err() != nil || x.handler.ended() || x.attempts >= x.route.MaxAttempts || time.Until(x.deadline) < minTimeLeft {
		return false
	}
	if x.mayHaveRun && !x.route.Repeatable() && result != outcomeNotRun {
		return false
	}
	return x.handler.controller.SpendRetry(x.service)
}

// place selects a server that is not in exclude.
func (x *exchange) place(exclude []string) (placement.Decision, error) {
	if x.beganElsewhere && x.version == "" {
		if origin, known := x.handler.controller.StreamOrigin(x.caller, x.ID, x.stream(x.streamID())); known && origin.Service == x.service {
			x.version = origin.Version
		}
	}
	decision, err := x.handler.controller.Place(x.query(exclude))
	if err != nil && len(exclude) > 0 {
		klog.V(1).InfoS("no other server", "request", x.ID, "tried", len(exclude), "err", err)
	}
	return decision, err
}

// answerNoServer answers a request for which no server is available.
func (x *exchange) answerNoServer(err error, lastFailure *bufferedResponse) {
	if lastFailure != nil {
		x.writeResponse(lastFailure)
		return
	}
	if x.mayHaveRun {
		x.abort("no other server")
		return
	}
	after, detail, wait, fraction := refusedRetryAfter, "no server", time.Duration(0), 1.0
	var refused *placement.RefusedError
	var share *contention.RefusedError
	switch {
	case errors.As(err, &refused):
		after, detail, wait = refused.RetryAfter, string(refused.Reason), refused.ExpectedWait
	case errors.As(err, &share):
		after, detail, fraction = share.RetryAfter, "share used up", share.Fraction
	}
	klog.InfoS("refused", "request", x.ID, "service", x.service, "reason", detail, "rank", x.rank(), "account", x.accountName(),
		"admittedFraction", fraction, "waitMs", wait.Milliseconds(),
		"leftMs", time.Until(x.deadline).Milliseconds(), "retryAfterMs", after.Milliseconds(), "configuration", x.configVersion)
	x.refundAndReject(api.NewNotRunProblem(api.ProblemOverloaded, http.StatusServiceUnavailable, detail).WithRetryAfter(after))
}

// answerQuarantined answers a request that was quarantined while it was in
// progress.
func (x *exchange) answerQuarantined(lastFailure *bufferedResponse) {
	switch {
	case lastFailure != nil:
		x.writeResponse(lastFailure)
	case x.mayHaveRun:
		x.abort(x.quarantineDetail)
	default:
		x.refundAndReject(x.quarantinedProblem())
	}
}

// answerFailed answers a request whose last attempt failed.
func (x *exchange) answerFailed(result outcome, lastFailure *bufferedResponse) {
	switch {
	case x.caller.Err() != nil:
		x.status, x.cause = statusCallerDisconnected, "caller disconnected"
	case lastFailure != nil:
		x.writeResponse(lastFailure)
	case x.mayHaveRun:
		x.abort("server failed")
	default:
		x.refundAndReject(api.NewNotRunProblem(api.ProblemNoBackendServer, http.StatusServiceUnavailable, "servers did not take the request").WithRetryAfter(refusedRetryAfter))
	}
}

// statusCallerDisconnected is the status in logs and metrics of a request whose
// caller disconnected before it was answered.
const statusCallerDisconnected = 499

// abort ends a request that may have run. If the response has begun, the
// connection is closed so that the response does not look complete.
func (x *exchange) abort(detail string) {
	if x.sentHeader {
		x.status, x.cause = http.StatusBadGateway, "stream cut: "+detail
		x.closeConnection()
	}
	x.writeUnknownOutcome(http.StatusBadGateway, detail)
}

// timedOut ends a request whose deadline has passed, or that has used up the grace period of a
// planned stop.
func (x *exchange) timedOut() {
	detail := "deadline"
	if x.handler.ended() {
		detail = detailStopping
	}
	switch {
	case x.sentHeader:
		x.abort(detail)
	case x.mayHaveRun:
		x.writeUnknownOutcome(http.StatusGatewayTimeout, detail)
	default:
		x.refundAndReject(api.NewNotRunProblem(api.ProblemDeadlineExceeded, http.StatusServiceUnavailable, "deadline").WithRetryAfter(refusedRetryAfter))
	}
}

// attempt sends the request to one server and forwards its response.
func (x *exchange) attempt(d *placement.Decision) (outcome, *bufferedResponse) {
	conn, err := x.connect(d)
	if err != nil {
		return outcomeNotSent, nil
	}
	x.connectedAfter, x.answeringRun = time.Since(x.selectedAt), conn.RunStartedMilli
	s := &serverAttempt{exchange: x, conn: conn, decision: d, id: x.attemptID(), startedAt: time.Now()}
	defer s.finish()
	if !s.send() {
		return s.handleIncomplete(), nil
	}
	response, info, ok := s.receive()
	switch {
	case !ok:
		return s.handleIncomplete(), nil
	case info.NotRun || response.StatusCode == http.StatusMisdirectedRequest:
		return s.handleRefusal(response), nil
	case response.StatusCode/100 == 2 && !info.Sealed:
		return s.handleIncomplete(), nil
	case x.route.Kind == catalog.KindStream && response.StatusCode/100 == 2:
		return s.forwardStream(response), nil
	default:
		return s.forwardBuffered(response)
	}
}

// DialResult returns what a failed dial says about the links to a server. A connection that
// is reset right after it was accepted may show as a failed dial.
func DialResult(err error) reach.Result {
	if errors.Is(err, syscall.ECONNRESET) {
		return reach.Reset
	}
	return reach.Failed
}

// ServerLeftError reports that a server has begun to leave, or asked for a pause, since it was
// selected.
type ServerLeftError struct{ Server string }

func (e *ServerLeftError) Error() string { return "server " + e.Server + " accepts no more requests" }

// connect returns a connection to the selected server. A failed dial is recorded
// as a failed attempt at the server.
func (x *exchange) connect(d *placement.Decision) (*backendconn.Conn, error) {
	controller := x.handler.controller
	conn, err := x.connectToRun(&d.Server)
	var otherRun *OtherRunError
	if errors.As(err, &otherRun) {
		// The server answers: that says nothing against it.
		x.answeringRun = otherRun.ActualMilli
		controller.OtherRunAnswers(&d.Server)
		return nil, err
	}
	if err != nil {
		var dial *backendconn.DialError
		var check *RunCheckError
		var foreign *ForeignResponsesError
		switch {
		case x.caller.Err() != nil:
		case errors.As(err, &dial):
			controller.Connected(&d.Server, DialResult(err))
		case errors.As(err, &check) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &foreign):
			controller.Connected(&d.Server, reach.Broken)
		}
		q := x.query(nil)
		id := x.attemptID()
		controller.Started(id, d, q)
		controller.Failed(id, true)
		result := placement.ResultFailed
		if x.caller.Err() != nil {
			result = placement.ResultAbandoned
		}
		controller.Finished(id, result)
		klog.InfoS("no connection to server", "request", x.ID, "server", d.Server.ID, "err", err)
		return nil, err
	}
	if !controller.Accepts(&d.Server) {
		x.handler.pool.Discard(conn)
		klog.InfoS("server took no more requests before this one was sent", "request", x.ID, "server", d.Server.ID)
		return nil, &ServerLeftError{Server: d.Server.ID}
	}
	controller.Started(x.attemptID(), d, x.query(nil))
	return conn, nil
}
