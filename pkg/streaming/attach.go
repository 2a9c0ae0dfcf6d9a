package streaming

import (
	"context"
	"net/http"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Attach sends the events of a stream to sink, starting at the offset from,
// until the stream ends. The stream may run on this daemon or on a peer. The
// errors are those of Chat.
func (d *Driver) Attach(ctx context.Context, account, requestID string, from int, sink api.EventSink) error {
	if s := d.find(account, requestID); s != nil {
		return d.follow(ctx, s, from, sink)
	}
	return d.followPeer(ctx, FetchRequest{ClientAccount: account, RequestID: requestID, From: max(from, 0)}, sink)
}

// find returns a stream of this daemon, or nil if there is none or it was
// handed over to a peer.
func (d *Driver) find(account, requestID string) *stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	s := d.streams[streamKey{account, requestID}]
	if s == nil {
		return nil
	}
	if end := s.log.read(0).end; end != nil && end.Kind == EndHandedOver {
		return nil
	}
	return s
}

// follow sends the events of a local stream to sink, starting at the offset
// from, until the stream ends or the caller disconnects.
func (d *Driver) follow(ctx context.Context, s *stream, from int, sink api.EventSink) error {
	s.followers.Add(1)
	for {
		v := s.log.read(from)
		for _, token := range v.tokens {
			if err := sink.Send(api.TokenEvent{Offset: from, Text: token}); err != nil {
				return s.followerGone(err)
			}
			from++
		}
		if v.end != nil {
			return s.sendEnd(v, from, sink)
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return s.followerGone(context.Cause(ctx))
		}
	}
}

// followerGone removes a disconnected follower and ends the stream if it was
// the last one. A caller that re-attaches before its old connection is found to
// be closed therefore keeps the stream. A stream received from a peer runs to
// its end, because its caller may still re-attach.
func (s *stream) followerGone(cause error) error {
	if s.followers.Add(-1) == 0 && !s.fromPeer {
		s.post(CallerGone{})
	}
	return &CallerGoneError{RequestID: s.request.ID, Cause: cause}
}

// sendEnd sends the finish reason of a finished stream to sink and returns the
// error that corresponds to any other end.
func (s *stream) sendEnd(v logSnapshot, offset int, sink api.EventSink) error {
	switch v.end.Kind {
	case EndFinished:
		if err := sink.Send(api.TokenEvent{Offset: offset, FinishReason: v.finishReason}); err != nil {
			return &CallerGoneError{RequestID: s.request.ID, Cause: err}
		}
		return nil
	case EndHandedOver:
		return &HandedOverError{RequestID: s.request.ID, Peer: v.end.Peer}
	case EndCallerGone:
		return cancelledProblem()
	default:
		return v.end.Problem
	}
}

func cancelledProblem() *api.Problem {
	return api.NewUnknownOutcomeProblem(api.ProblemBackendFailed, "the request was cancelled when its caller went")
}

// Fetch returns the events of a local stream to a peer. It waits up to
// Options.FetchWait for the next event.
func (d *Driver) Fetch(ctx context.Context, req FetchRequest) FetchAnswer {
	s := d.find(req.ClientAccount, req.RequestID)
	if s == nil {
		return FetchAnswer{}
	}
	timer := d.opts.Clock.NewTimer(d.opts.FetchWait)
	defer timer.Stop()
	for {
		v := s.log.read(req.From)
		if len(v.tokens) > 0 || v.end != nil {
			return fetchAnswer(v)
		}
		select {
		case <-v.changed:
		case <-timer.C():
			return FetchAnswer{Found: true}
		case <-ctx.Done():
			return FetchAnswer{Found: true}
		}
	}
}

func fetchAnswer(v logSnapshot) FetchAnswer {
	answer := FetchAnswer{Found: true, Tokens: v.tokens, Ended: v.end != nil}
	if v.end == nil {
		return answer
	}
	switch v.end.Kind {
	case EndFinished:
		answer.FinishReason = v.finishReason
	case EndHandedOver:
		return FetchAnswer{}
	case EndCallerGone:
		answer.Problem = cancelledProblem()
	default:
		answer.Problem = v.end.Problem
	}
	return answer
}

// followPeer sends the events of a stream that runs on a peer to sink.
func (d *Driver) followPeer(ctx context.Context, req FetchRequest, sink api.EventSink) error {
	for {
		answer, err := d.fetchPeer(ctx, req)
		if ctx.Err() != nil {
			return &CallerGoneError{RequestID: req.RequestID, Cause: context.Cause(ctx)}
		}
		if err != nil || !answer.Found {
			return &api.Problem{
				Name: api.ProblemNotFound, Status: http.StatusNotFound, Outcome: api.OutcomeUnknown,
				Detail: "no daemon holds the events of request " + req.RequestID,
			}
		}
		for _, token := range answer.Tokens {
			if err := sink.Send(api.TokenEvent{Offset: req.From, Text: token}); err != nil {
				return &CallerGoneError{RequestID: req.RequestID, Cause: err}
			}
			req.From++
		}
		if answer.Ended {
			return sendPeerEnd(req, answer, sink)
		}
	}
}

func (d *Driver) fetchPeer(ctx context.Context, req FetchRequest) (FetchAnswer, error) {
	if d.opts.Peer == nil {
		return FetchAnswer{}, nil
	}
	return d.opts.Peer.Fetch(ctx, req)
}

func sendPeerEnd(req FetchRequest, answer FetchAnswer, sink api.EventSink) error {
	if answer.Problem != nil {
		return answer.Problem
	}
	if err := sink.Send(api.TokenEvent{Offset: req.From, FinishReason: answer.FinishReason}); err != nil {
		return &CallerGoneError{RequestID: req.RequestID, Cause: err}
	}
	return nil
}
