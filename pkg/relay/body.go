package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/catalog"
	"github.com/monsooncrank/monsooncrank/pkg/intake"
)

const (
	// defaultMaxBodyBytes limits request bodies if the configuration states no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultMemoryBytes is the memory of the host if the options state no limits.
	defaultMemoryBytes = 512 << 20
	// ConnectionBytes is what net/http needs for an open connection: a goroutine, two buffers and
	// the head of a request.
	ConnectionBytes = 16 << 10
	// memoryRetryAfter is the Retry-After value for a body for which there was no memory. Stalled
	// clients have yielded by then.
	memoryRetryAfter = time.Second
)

// detailMemory is the detail of the problem of a request for which there was no memory.
const detailMemory = "no memory for the request"

const (
	// headerFieldBytes is what a field of a head needs beside its text, in the head and in the copy
	// that is sent on, and promptPartBytes what a part of a prompt does.
	headerFieldBytes = 256
	promptPartBytes  = 64
	// freeHeadBytes is what ConnectionBytes covers of it.
	freeHeadBytes = 8 << 10
)

// countHead takes memory for a head with very many fields or parts.
func (x *exchange) countHead(r *http.Request) *api.Problem {
	cost := int64(len(r.Header)*headerFieldBytes + len(x.Parts)*promptPartBytes)
	if cost <= freeHeadBytes {
		return nil
	}
	if err := x.held.Count(cost); err != nil {
		x.dropHead(r)
		return x.unreadProblem(err)
	}
	return nil
}

// dropHead gives up the head of a request that is refused for it. The server keeps the request until its
// connection is closed, which takes longer than the answer.
func (x *exchange) dropHead(r *http.Request) {
	clear(r.Header)
	x.Header, x.Parts = nil, nil
}

// newDefaultIntake returns the budget of a handler whose options state none.
func newDefaultIntake() *intake.Budget {
	return intake.NewBudget(intake.LimitsFor(intake.Host{MemoryBytes: defaultMemoryBytes}), prometheus.NewRegistry())
}

// readBody reads the body within the size limit and the request's timeout.
func (x *exchange) readBody(r *http.Request, limits catalog.Limits) *api.Problem {
	limit := cmp.Or(int64(max(limits.MaxBodyBytes, 0)), defaultMaxBodyBytes)
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return tooLargeProblem()
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(x.receivedAt.Add(x.timeLeft())); err != nil {
		// The connection is closed, so that the read below fails too.
		klog.InfoS("failed to set the read deadline of a request body", "request", x.ID, "err", err)
	}
	stopAtEnd := x.handler.onEnd(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	ctx, cancel := context.WithDeadline(x.caller, x.receivedAt.Add(x.timeLeft()))
	defer cancel()
	body, err := x.held.ReadAll(ctx, intake.PhaseReceiving, r.Body, r.ContentLength, limit)
	stopAtEnd()
	if resetErr := control.SetReadDeadline(time.Time{}); resetErr != nil && err == nil {
		err = resetErr
	}
	if err != nil {
		return x.unreadProblem(err)
	}
	x.Body = body
	return nil
}

func tooLargeProblem() *api.Problem {
	return api.NewNotRunProblem(api.ProblemTooLarge, http.StatusRequestEntityTooLarge, "body too large")
}

// unreadProblem returns the problem of a request whose body was not read to its end.
func (x *exchange) unreadProblem(err error) *api.Problem {
	var tooLong *intake.TooLongError
	var noMemory *intake.NoMemoryError
	switch {
	case errors.As(err, &tooLong):
		return tooLargeProblem()
	case errors.As(err, &noMemory):
		x.held.Refused(intake.PhaseReceiving, noMemory)
		return api.NewNotRunProblem(api.ProblemOverloaded, http.StatusServiceUnavailable, detailMemory).WithRetryAfter(memoryRetryAfter)
	default:
		return api.NewNotRunProblem(api.ProblemRequestTimeout, http.StatusRequestTimeout, "body not received")
	}
}

// refuse answers a request that was not accepted. If its body was not read, the connection ends, as
// the server would otherwise read the rest of it first.
func (x *exchange) refuse(r *http.Request, p *api.Problem) {
	if r.ContentLength != 0 && x.Body == nil {
		x.w.Header().Set("Connection", "close")
	}
	x.writeProblem(p)
}

// timeLeft returns the time from the arrival of the request to its deadline, which is the earlier of
// the caller's and the route's.
func (x *exchange) timeLeft() time.Duration {
	if x.TimeLeft > 0 {
		return min(x.route.Timeout, x.TimeLeft)
	}
	return x.route.Timeout
}
