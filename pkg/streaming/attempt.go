package streaming

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// readAttempt runs one attempt and posts what becomes of it.
func (s *stream) readAttempt(ctx context.Context, a *running, req *engine.Request) {
	received, last, err := s.receive(ctx, a, req)
	now := s.d.opts.Clock.Now()
	if err == nil {
		s.d.metrics.attempts.WithLabelValues("finished").Inc()
		usage := Usage{PromptTokens: last.PromptTokens, CachedTokens: last.CachedTokens, GeneratedTokens: received}
		s.d.opts.Router.Finished(a.id, usage, now)
		s.d.opts.RetryBudget.Deposit(s.request.ClientAccount, a.backend.Pool)
		s.d.opts.Quarantine.ReportSuccess(s.fingerprint())
		return
	}
	if ctx.Err() != nil {
		s.d.metrics.attempts.WithLabelValues("cancelled").Inc()
		s.d.opts.Router.Failed(a.id, context.Cause(ctx), now)
		return
	}
	s.d.metrics.attempts.WithLabelValues("failed").Inc()
	s.d.opts.Router.Failed(a.id, err, now)
	s.post(s.failure(ctx, a, received, err))
}

// receive posts the tokens of an attempt and returns its last event.
func (s *stream) receive(ctx context.Context, a *running, req *engine.Request) (int, engine.Event, error) {
	events, err := s.d.opts.Client.Start(ctx, a.backend.Address, req)
	if err != nil {
		return 0, engine.Event{}, err
	}
	defer func() { _ = events.Close() }()
	for received := 0; ; received++ {
		ev, err := events.Next(ctx)
		if err != nil {
			return received, engine.Event{}, err
		}
		if received == 0 {
			s.d.opts.Router.FirstToken(a.id, s.d.opts.Clock.Now())
		}
		s.post(Token{AttemptID: ev.AttemptID, Offset: ev.Offset, Text: ev.Text, FinishReason: ev.FinishReason})
		if ev.FinishReason != "" && ev.AttemptID == a.id {
			// The end of the stream follows; reading it lets the connection
			// be reused.
			_, _ = events.Next(context.WithoutCancel(ctx))
			return received, ev, nil
		}
	}
}

func (s *stream) fingerprint() string {
	return Fingerprint(s.request.ClientAccount, s.request.Model, s.request.Messages)
}

// failure classifies the error of an attempt.
func (s *stream) failure(ctx context.Context, a *running, received int, err error) Failed {
	failed := Failed{AttemptID: a.id, Kind: FailureBroken, Detail: err.Error()}
	var notSent *engine.NotSentError
	var refused *engine.RefusedError
	var broken *engine.StreamBrokenError
	switch {
	case errors.As(err, &notSent):
		failed.Kind = FailureNotSent
	case errors.As(err, &refused):
		failed.Kind = s.refusalKind(a, refused)
	case errors.As(err, &broken) && broken.Silent:
		failed.Kind = FailureSilent
	default:
		s.checkCrash(ctx, a, received, &failed)
	}
	return failed
}

func (s *stream) refusalKind(a *running, refused *engine.RefusedError) FailureKind {
	if refused.Leaving {
		s.d.opts.Directory.ReportLeaving(a.backend.Name, a.backend.Incarnation)
		return FailureRefused
	}
	switch refused.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return FailureInvalid
	}
	return FailureRefused
}

// checkCrash tells an engine that has died from a connection that broke: a dead
// engine answers no probe. An engine that was going to leave has not crashed.
func (s *stream) checkCrash(ctx context.Context, a *running, received int, failed *Failed) {
	if _, announced := s.d.notice(a.backend.Name); announced {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, s.d.opts.ProbeTimeout)
	defer cancel()
	if s.d.opts.Probe(probeCtx, a.backend.Address) == nil {
		return
	}
	failed.Kind = FailureCrashed
	verdict := s.d.opts.Quarantine.ReportCrash(ctx, CrashReport{
		Fingerprint: s.fingerprint(), ClientAccount: s.request.ClientAccount, RequestID: s.request.ID,
		Backend: a.backend, TokensReceived: received,
	})
	failed.Isolate, failed.Quarantined = verdict.Isolate, verdict.Quarantined
}
