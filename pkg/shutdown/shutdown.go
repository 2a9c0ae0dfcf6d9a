// Package shutdown decides how a daemon spends the grace period of a planned stop: until when
// it accepts connections, until when requests are answered, and which requests it still begins.
// It does no I/O.
package shutdown

import (
	"slices"
	"time"
)

const (
	// balancerDetectionTime is how long the load balancer takes to stop sending new
	// connections: two readiness checks one second apart, and their responses.
	balancerDetectionTime = 2600 * time.Millisecond
	// answersMargin is the time before the end of the grace period at which requests in
	// progress are ended, and closeMargin that by which their answers are sent.
	answersMargin = 450 * time.Millisecond
	closeMargin   = 250 * time.Millisecond
	// minSamples is the number of requests of a kind from which the time that the next one takes
	// can be estimated.
	minSamples = 8
	// onceFactor is the multiple of the longest recent time within which a request that must
	// not run twice is expected to be answered.
	onceFactor = 1.5
	// lateStreamFactor is the same for a stream that arrives once the load balancer has noticed
	// the stop.
	lateStreamFactor = 3.0
	// repeatableFactor is the multiple of the repeatableQuantile of recent times within which a
	// request is expected to be answered that another daemon can run again or take up.
	repeatableFactor   = 1.1
	repeatableQuantile = 0.75
)

// Plan holds the times of a planned stop.
type Plan struct {
	// AcceptUntil is when no more connections are accepted and idle ones are closed.
	AcceptUntil time.Time
	// AnswerUntil is when the requests in progress are ended, and CloseUntil when their
	// connections are closed.
	AnswerUntil, CloseUntil time.Time
	// KilledAt is when the process is killed.
	KilledAt time.Time
}

// NewPlan returns the plan of a stop that was requested at a time.
func NewPlan(requestedAt time.Time, gracePeriod time.Duration) Plan {
	p := Plan{KilledAt: requestedAt.Add(gracePeriod)}
	after := func(d time.Duration) time.Time { return requestedAt.Add(max(d, 0)) }
	p.AnswerUntil, p.CloseUntil = after(gracePeriod-answersMargin), after(gracePeriod-closeMargin)
	p.AcceptUntil = after(min(balancerDetectionTime, gracePeriod-answersMargin))
	return p
}

// Request is a request that has not been sent to any server yet.
type Request struct {
	// Deadline is when the request ends by itself.
	Deadline time.Time
	// Once is set if it must not run twice.
	Once bool
	// Stream is set if its answer is passed on before it is complete, so that it can only be cut.
	Stream bool
	// Recent holds the times that recent requests of its kind took, if enough is known.
	Recent []time.Duration
}

// MayBegin reports whether a request is to be begun, and the time that it is expected to take.
func (p Plan) MayBegin(now time.Time, r Request) (ok bool, expected time.Duration) {
	bound := r.Deadline.Sub(now)
	expected = min(r.expected(bound, now.After(p.AcceptUntil)), bound)
	return expected <= p.AnswerUntil.Sub(now), expected
}

// expected returns the time within which a request is expected to be answered, which is bound if
// too little is known. A stream that arrives late has to end more surely than others, as it can only
// be cut.
func (r Request) expected(bound time.Duration, late bool) time.Duration {
	switch {
	case len(r.Recent) == 0:
		return bound
	case r.Stream && late:
		return time.Duration(lateStreamFactor * float64(slices.Max(r.Recent)))
	case r.Once:
		return time.Duration(onceFactor * float64(slices.Max(r.Recent)))
	}
	sorted := slices.Sorted(slices.Values(r.Recent))
	return time.Duration(repeatableFactor * float64(sorted[int(repeatableQuantile*float64(len(sorted)-1))]))
}
