package streaming

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// runAttempt runs one attempt, reports its result to the router, the retry
// budget and the quarantine, and posts a failure to the stream.
func (s *stream) runAttempt(ctx context.Context, a *runningAttempt, req *engine.Request) {
	s.d.opts.Quarantine.Started(QuarantineAttempt{ID: a.id, RequestID: s.request.ID, Fingerprint: s.fingerprint(), Backend: a.backend})
	received, last, err := s.receive(ctx, a, req)
	now := s.d.opts.Clock.Now()
	if err == nil {
		s.d.metrics.attempts.WithLabelValues("finished").Inc()
		usage := Usage{PromptTokens: last.PromptTokens, CachedTokens: last.CachedTokens, GeneratedTokens: received}
		s.d.opts.Router.Finished(a.id, usage, now)
		s.d.opts.RetryBudget.Deposit(s.request.ClientAccount, a.backend.Pool)
		s.d.opts.Quarantine.Completed(a.id, s.fingerprint())
		return
	}
	if ctx.Err() != nil {
		s.d.metrics.attempts.WithLabelValues("cancelled").Inc()
		s.d.opts.Quarantine.Abandoned(a.id, len(req.ResumeTokens)+received)
		s.d.opts.Router.Failed(a.id, context.Cause(ctx), now)
		return
	}
	s.d.metrics.attempts.WithLabelValues("failed").Inc()
	s.d.opts.Router.Failed(a.id, err, now)
	s.post(s.classifyFailure(ctx, a, len(req.ResumeTokens)+received, err))
}

// receive posts the tokens of an attempt to the stream and returns the number
// of tokens and the last event.
func (s *stream) receive(ctx context.Context, a *runningAttempt, req *engine.Request) (int, engine.Event, error) {
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
			// Reads the end of the response body, so that the connection can be
			// reused.
			_, _ = events.Next(context.WithoutCancel(ctx))
			return received, ev, nil
		}
	}
}

func (s *stream) fingerprint() string {
	return Fingerprint(s.request.ClientAccount, s.request.Model, s.request.Messages)
}

// classifyFailure converts the error of an attempt, after position tokens of the
// answer, to a Failed event.
func (s *stream) classifyFailure(ctx context.Context, a *runningAttempt, position int, err error) Failed {
	failed := Failed{AttemptID: a.id, Kind: FailureBroken, Detail: err.Error()}
	var notSent *engine.NotSentError
	var refused *engine.RefusedError
	var broken *engine.StreamBrokenError
	switch {
	case errors.As(err, &notSent):
		failed.Kind = FailureNotSent
		s.d.opts.Quarantine.Resolved(a.id)
		return failed
	case errors.As(err, &refused):
		failed.Kind = s.refusalKind(a, refused)
		s.d.opts.Quarantine.Resolved(a.id)
		return failed
	case errors.As(err, &broken) && broken.Silent:
		failed.Kind = FailureSilent
	}
	s.checkCrash(ctx, a, position, &failed)
	return failed
}

func (s *stream) refusalKind(a *runningAttempt, refused *engine.RefusedError) FailureKind {
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

// checkCrash reports an attempt that broke off to the quarantine. A crashed engine
// does not respond, unlike one whose connection has only broken or gone silent. An
// engine whose shutdown was announced is not counted as crashed.
func (s *stream) checkCrash(ctx context.Context, a *runningAttempt, position int, failed *Failed) {
	if _, announced := s.d.noticeDeadline(a.backend.Name); announced {
		s.d.opts.Quarantine.Resolved(a.id)
		return
	}
	if !s.d.opts.Quarantine.Broken(ctx, a.id, position) {
		return
	}
	failed.Kind = FailureCrashed
	verdict := s.d.opts.Quarantine.Check(ctx, s.fingerprint())
	failed.Isolate, failed.Quarantined = verdict.Isolate, verdict.Quarantined
}
