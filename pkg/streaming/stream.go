package streaming

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// stream runs one Machine. machine and attempts are accessed only by its
// goroutine. The fields below mu are also accessed by other goroutines.
type stream struct {
	d            *Driver
	key          streamKey
	request      *api.ChatRequest
	route        Route
	machine      *Machine
	promptTokens int
	// reattaches is set if the caller can re-attach after a hand-over.
	reattaches bool
	// fromPeer is set for a stream that a peer has handed over.
	fromPeer bool
	// initialTokens is the number of tokens that the stream started with.
	initialTokens int
	// followers is the number of connections that receive the events.
	followers       atomic.Int32
	inbox           chan Event
	done            chan struct{}
	log             *eventLog
	attempts        map[string]*runningAttempt
	cancelMigration context.CancelFunc

	mu       sync.Mutex
	backend  string
	progress progress
	// choice is the latest choice on a reclaim notice. migrating is set once
	// the transfer of the KV cache has started.
	choice    ReclaimChoice
	migrating bool
}

// progress holds the number of tokens of the current attempt and the arrival
// times of the first and the last one.
type progress struct {
	first, last time.Time
	count       int
}

// runningAttempt is an attempt that was sent to an engine, or the target of a
// migration.
type runningAttempt struct {
	id      string
	backend membership.BackendServer
	cancel  context.CancelCauseFunc
}

func (s *stream) run() {
	defer s.finish()
	s.step(Begin{})
	timer := s.d.opts.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.machine.Ended() {
		if wake := s.machine.NextWake(); !wake.IsZero() {
			timer.Reset(max(wake.Sub(s.d.opts.Clock.Now()), 0))
		}
		select {
		case ev := <-s.inbox:
			s.step(ev)
		case <-timer.C():
			s.step(Tick{})
		}
	}
}

// finish cancels all remaining work of the stream. The reader of an attempt
// that has received its last event is not affected and ends by itself.
func (s *stream) finish() {
	for _, a := range s.attempts {
		a.cancel(&CancelledError{AttemptID: a.id})
	}
	if s.cancelMigration != nil {
		s.cancelMigration()
	}
	close(s.done)
	s.d.onStreamEnded(s)
}

// post sends an event to the goroutine of the stream. Events for an ended
// stream are discarded.
func (s *stream) post(ev Event) {
	select {
	case s.inbox <- ev:
	case <-s.done:
	}
}

func (s *stream) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// replaceable reports whether the request may run again under the same ID: it
// was handed over, its caller disconnected, or it ended with a problem. A
// finished deferred request may also run again, because its answer may not have
// been stored.
func (s *stream) replaceable() bool {
	end := s.log.read(0).end
	return end != nil && (end.Kind != EndFinished || s.request.Deferred)
}

// supersededBy reports whether a stream that a peer handed over is replaced by
// a later state of the same stream from that peer. A stream that a caller
// follows is not replaced.
func (s *stream) supersededBy(state *State) bool {
	return s.fromPeer && s.followers.Load() == 0 && len(state.Tokens) >= s.initialTokens
}

// step handles an event and executes the resulting actions. Events that these
// actions return are handled in turn.
func (s *stream) step(ev Event) {
	events := []Event{ev}
	for len(events) > 0 {
		actions, err := s.machine.Step(s.d.opts.Clock.Now(), events[0])
		events = events[1:]
		if err != nil {
			klog.ErrorS(err, "invariant violated", "request", s.request.ID, "tokens", len(s.machine.Tokens()))
		}
		for _, a := range actions {
			if next := s.execute(a); next != nil {
				events = append(events, next...)
			}
		}
	}
}

func (s *stream) execute(action Action) []Event {
	switch a := action.(type) {
	case Dispatch:
		return s.dispatch(a)
	case Deliver:
		s.deliver(a.Token)
	case Drop:
		s.d.metrics.dropped.WithLabelValues(string(a.Reason)).Inc()
	case Cancel:
		s.cancel(a)
	case Migrate:
		return s.migrate(a)
	case AbandonMigration:
		s.abandonMigration()
	case HandOver:
		s.handOver(a.State)
	case End:
		s.d.metrics.ended.WithLabelValues(string(a.Kind)).Inc()
		s.setBackend("")
		s.log.close(a)
	}
	return nil
}

func (s *stream) deliver(t api.TokenEvent) {
	if t.FinishReason != "" {
		s.log.setFinishReason(t.FinishReason)
		return
	}
	now := s.d.opts.Clock.Now()
	s.mu.Lock()
	if s.progress.count == 0 {
		s.progress.first = now
	}
	s.progress.count++
	s.progress.last = now
	s.mu.Unlock()
	s.log.append(t.Text)
}

func (s *stream) setBackend(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backend, s.progress, s.choice, s.migrating = name, progress{}, "", false
}

func (s *stream) pickRequest(resumed int, exclude []string, isolated bool) *PickRequest {
	return &PickRequest{
		RequestID: s.request.ID, ClientAccount: s.request.ClientAccount, Model: s.request.Model,
		Route: s.route.Name, Pools: s.route.Pools, Messages: s.request.Messages,
		ContextTokens: s.promptTokens + resumed, RemainingTokens: max(s.maxTokens()-resumed, 0),
		Exclude: exclude, Isolated: isolated, Priority: s.route.Priority, Deadline: s.request.Deadline,
	}
}

// dispatch chooses an engine for an attempt and starts the attempt.
func (s *stream) dispatch(d Dispatch) []Event {
	now := s.d.opts.Clock.Now()
	pick := s.pickRequest(len(d.Resume), d.Exclude, d.Isolated)
	backend, ok := s.chooseBackend(now, &d, pick)
	if !ok {
		return []Event{NoBackendAvailable{AttemptID: d.AttemptID}}
	}
	if d.Retry && !s.d.opts.RetryBudget.Withdraw(s.request.ClientAccount, backend.Pool) {
		return []Event{RetryDenied{AttemptID: d.AttemptID}}
	}
	s.recordRetry(now, d, backend.Name)
	ctx, cancel := context.WithCancelCause(s.d.ctx)
	a := &runningAttempt{id: d.AttemptID, backend: backend, cancel: cancel}
	s.attempts[a.id] = a
	s.setBackend(backend.Name)
	if d.KVHandle == "" && len(d.Resume) > 0 {
		s.d.metrics.resumedContextTokens.Add(float64(pick.ContextTokens))
	}
	s.d.opts.Router.Started(a.id, backend, pick, now)
	s.d.tasks.Go(func() { s.runAttempt(ctx, a, s.engineRequest(d)) })
	events := []Event{Dispatched{AttemptID: a.id, Backend: backend.Name}}
	if deadline, leaving := s.d.noticeDeadline(backend.Name); leaving {
		events = append(events, s.planSingleStream(now, backend.Name, deadline))
	}
	return events
}

// chooseBackend returns the engine that the machine requests, or one that the
// router picks. It never returns an engine whose shutdown was announced
// (invariant I5).
func (s *stream) chooseBackend(now time.Time, d *Dispatch, pick *PickRequest) (membership.BackendServer, bool) {
	if backend, ok := s.knownBackend(d.Backend); ok {
		if _, leaving := s.d.noticeDeadline(backend.Name); !leaving {
			return backend, true
		}
	}
	d.KVHandle = ""
	for {
		backend, err := s.d.opts.Router.Pick(now, pick)
		if err != nil || slices.Contains(pick.Exclude, backend.Name) {
			return backend, false
		}
		if _, leaving := s.d.noticeDeadline(backend.Name); !leaving {
			return backend, true
		}
		pick.Exclude = append(slices.Clone(pick.Exclude), backend.Name)
	}
}

// knownBackend returns an engine that an earlier attempt or migration has used.
func (s *stream) knownBackend(name string) (membership.BackendServer, bool) {
	for _, a := range s.attempts {
		if name != "" && a.backend.Name == name {
			return a.backend, true
		}
	}
	return membership.BackendServer{}, false
}

// recordRetry records every attempt after the first in the decision log.
func (s *stream) recordRetry(now time.Time, d Dispatch, backend string) {
	if d.Reason == "first attempt" {
		return
	}
	s.d.opts.Recorder.Record(decision.Decision{
		Time: now, Kind: decision.KindRetry, RequestID: s.request.ID, Chosen: backend, Reason: d.Reason,
	})
}

func (s *stream) engineRequest(d Dispatch) *engine.Request {
	return &engine.Request{
		AttemptID: d.AttemptID, Model: s.request.Model, Messages: s.request.Messages,
		MaxTokens: s.request.MaxTokens, Priority: s.route.Priority,
		ResumeTokens: d.Resume, KVHandle: d.KVHandle, FreshConnection: d.NewConnection,
	}
}

// cancel stops the reader of an attempt and cancels the attempt at the engine.
func (s *stream) cancel(c Cancel) {
	a := s.attempts[c.AttemptID]
	if a == nil {
		return
	}
	a.cancel(&CancelledError{AttemptID: a.id})
	s.d.metrics.cancels.Inc()
	s.d.tasks.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), s.d.opts.CancelTimeout)
		defer stop()
		if err := s.d.opts.Client.Cancel(ctx, a.backend.Address, a.id); err != nil {
			klog.V(1).InfoS("cancelling the attempt failed", "attempt", a.id, "backend", a.backend.Name, "err", err)
		}
	})
}
