package streaming

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// Drain rejects new streams and waits until the streams in progress have ended
// or have been handed over. Streams that are not expected to end in time are
// handed over at once if their caller can re-attach. The remaining streams are
// handed over HandOverTime before the deadline of ctx.
func (d *Driver) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return d.awaitStreams(ctx)
	}
	untilHandOver := deadline.Sub(d.opts.Clock.Now()) - d.opts.HandOverTime
	for _, s := range d.active() {
		if s.reattaches && s.remainingTime() > untilHandOver {
			s.post(HandOverRequested{})
		}
	}
	graceCtx, cancel := context.WithTimeout(ctx, max(untilHandOver, 0))
	defer cancel()
	if d.awaitStreams(graceCtx) == nil {
		return nil
	}
	for _, s := range d.active() {
		s.post(HandOverRequested{})
	}
	return d.awaitStreams(ctx)
}

// awaitStreams waits until all streams in progress have ended.
func (d *Driver) awaitStreams(ctx context.Context) error {
	for _, s := range d.active() {
		select {
		case <-s.done:
		case <-ctx.Done():
			if n := d.Active(); n > 0 {
				return &DrainIncompleteError{Remaining: n}
			}
			return nil
		}
	}
	return nil
}

// remainingTime estimates the longest time until the stream ends from the token
// rate of its current attempt. It returns the largest duration if the rate is
// not known yet.
func (s *stream) remainingTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	perToken := s.progress.perToken()
	if perToken == 0 {
		return 1<<63 - 1
	}
	return time.Duration(max(s.maxTokens()-s.log.length(), 0)) * perToken
}

// handOver sends the state of the stream to a peer and posts the result.
func (s *stream) handOver(state State) {
	s.d.tasks.Go(func() {
		if s.d.opts.Peer == nil {
			s.post(HandOverFailed{Detail: (&NoPeerError{}).Error()})
			return
		}
		ctx, cancel := context.WithTimeout(s.d.ctx, s.d.opts.HandOverTime)
		defer cancel()
		state.Remaining = max(state.Request.Deadline.Sub(s.d.opts.Clock.Now()), time.Nanosecond)
		peer, err := s.d.opts.Peer.HandOver(ctx, state)
		reason := "the daemon is draining"
		if err != nil {
			reason = err.Error()
		}
		s.d.opts.Recorder.Record(decision.Decision{
			Time: s.d.opts.Clock.Now(), Kind: decision.KindHandOver, RequestID: s.request.ID,
			Chosen: peer, Reason: reason,
		})
		if err != nil {
			s.post(HandOverFailed{Detail: err.Error()})
			return
		}
		s.post(HandOverDone{Peer: peer})
	})
}

// Accept continues a stream that a peer hands over. If the response to a
// hand-over is lost, the peer repeats it; the repeated hand-over replaces the
// first as long as no caller follows the stream, because the peer may have
// delivered more tokens in between.
func (d *Driver) Accept(state State) error {
	route, ok := d.opts.Route(state.Request.Model, state.Request.Deferred)
	if !ok {
		return &RouteMissingError{Model: state.Request.Model}
	}
	route.Priority = state.Priority
	if state.Remaining > 0 {
		state.Request.Deadline = d.opts.Clock.Now().Add(state.Remaining)
	}
	_, err := d.start(state, route, nil)
	return err
}

// RouteMissingError reports a model that has no route in the configuration.
type RouteMissingError struct{ Model string }

func (e *RouteMissingError) Error() string { return "model " + e.Model + " has no route" }
