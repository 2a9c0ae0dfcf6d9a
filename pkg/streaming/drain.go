package streaming

import (
	"context"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// Drain takes no new streams and waits until the streams in progress have ended
// or have been handed over. Streams that outlast the deadline of ctx are handed
// over at once if their caller can re-attach; the rest goes HandOverTime before
// the deadline.
func (d *Driver) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return d.await(ctx)
	}
	left := deadline.Sub(d.opts.Clock.Now()) - d.opts.HandOverTime
	for _, s := range d.active() {
		if s.reattaches && s.remaining() > left {
			s.post(HandOverRequested{})
		}
	}
	early, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	if d.await(early) == nil {
		return nil
	}
	for _, s := range d.active() {
		s.post(HandOverRequested{})
	}
	return d.await(ctx)
}

// await waits for the end of all streams.
func (d *Driver) await(ctx context.Context) error {
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

// remaining is the longest time that the stream still takes, by the speed of
// its current attempt. A stream without a known speed takes for ever.
func (s *stream) remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	perToken := s.progress.perToken()
	if perToken == 0 {
		return 1<<63 - 1
	}
	return time.Duration(max(s.maxTokens()-s.log.length(), 0)) * perToken
}

// handOver gives the stream to a peer.
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

// Accept continues a stream that a peer hands over. A second hand-over of the
// same stream, after the answer to the first was lost, replaces the first as long
// as no caller follows it: the peer may have delivered more tokens since.
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

// RouteMissingError reports a model without a route.
type RouteMissingError struct{ Model string }

func (e *RouteMissingError) Error() string { return "model " + e.Model + " has no route" }
