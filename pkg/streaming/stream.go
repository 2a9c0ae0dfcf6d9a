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

// stream runs one Machine. Its goroutine owns machine and attempts; the fields
// under mu are read by others.
type stream struct {
	d            *Driver
	key          streamKey
	request      *api.ChatRequest
	route        Route
	machine      *Machine
	promptTokens int
	reattaches   bool
	// accepted is set for a stream from a peer.
	accepted bool
	// startedAt is the number of tokens that the stream began with.
	startedAt int
	followers atomic.Int32
	inbox     chan Event
	done      chan struct{}
	log       *eventLog
	attempts  map[string]*running
	migration context.CancelFunc

	mu       sync.Mutex
	backend  string
	progress progress
	// choice is the last choice on a reclaim notice; moving is set once its KV
	// cache is on its way.
	choice ReclaimChoice
	moving bool
}

// progress is when the tokens of the current attempt arrived.
type progress struct {
	first, last time.Time
	count       int
}

// running is an attempt whose reader has been started.
type running struct {
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

// finish stops what still runs for the stream. The reader of a finished attempt
// ends on its own.
func (s *stream) finish() {
	for _, a := range s.attempts {
		a.cancel(&CancelledError{AttemptID: a.id})
	}
	if s.migration != nil {
		s.migration()
	}
	close(s.done)
	s.d.ended(s)
}

// post gives an event to the stream; an ended stream ignores it.
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
// was handed over, its caller went, or it ended with a problem. A deferred
// request runs again when its answer could not be stored.
func (s *stream) replaceable() bool {
	end := s.log.read(0).end
	return end != nil && (end.Kind != EndFinished || s.request.Deferred)
}

// supersededBy reports whether a stream from a peer gives way to a later state of
// itself from the same peer.
func (s *stream) supersededBy(state *State) bool {
	return s.accepted && s.followers.Load() == 0 && len(state.Tokens) >= s.startedAt
}

// step runs an event and the actions that it causes, which may cause events in
// turn.
func (s *stream) step(ev Event) {
	events := []Event{ev}
	for len(events) > 0 {
		actions, err := s.machine.Step(s.d.opts.Clock.Now(), events[0])
		events = events[1:]
		if err != nil {
			klog.ErrorS(err, "invariant violated", "request", s.request.ID, "tokens", len(s.machine.Tokens()))
		}
		for _, a := range actions {
			if next := s.act(a); next != nil {
				events = append(events, next...)
			}
		}
	}
}

func (s *stream) act(action Action) []Event {
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
		s.log.setFinish(t.FinishReason)
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
	s.backend, s.progress, s.choice, s.moving = name, progress{}, "", false
}

func (s *stream) pickRequest(resumed int, exclude []string, isolated bool) *PickRequest {
	return &PickRequest{
		RequestID: s.request.ID, ClientAccount: s.request.ClientAccount, Model: s.request.Model,
		Route: s.route.Name, Pools: s.route.Pools, Messages: s.request.Messages,
		ContextTokens: s.promptTokens + resumed, RemainingTokens: max(s.maxTokens()-resumed, 0),
		Exclude: exclude, Isolated: isolated, Priority: s.route.Priority, Deadline: s.request.Deadline,
	}
}

// dispatch chooses an engine and starts the reader of the attempt.
func (s *stream) dispatch(d Dispatch) []Event {
	now := s.d.opts.Clock.Now()
	pick := s.pickRequest(len(d.Resume), d.Exclude, d.Isolated)
	backend, ok := s.choose(now, &d, pick)
	if !ok {
		return []Event{NoBackendAvailable{AttemptID: d.AttemptID}}
	}
	if d.Retry && !s.d.opts.RetryBudget.Withdraw(s.request.ClientAccount, backend.Pool) {
		return []Event{RetryDenied{AttemptID: d.AttemptID}}
	}
	s.record(now, d, backend.Name)
	ctx, cancel := context.WithCancelCause(s.d.ctx)
	a := &running{id: d.AttemptID, backend: backend, cancel: cancel}
	s.attempts[a.id] = a
	s.setBackend(backend.Name)
	if d.KVHandle == "" && len(d.Resume) > 0 {
		s.d.metrics.resumed.Add(float64(pick.ContextTokens))
	}
	s.d.opts.Router.Started(a.id, backend, pick, now)
	s.d.tasks.Go(func() { s.readAttempt(ctx, a, s.engineRequest(d)) })
	events := []Event{Dispatched{AttemptID: a.id, Backend: backend.Name}}
	if deadline, leaving := s.d.notice(backend.Name); leaving {
		events = append(events, s.planAlone(now, backend.Name, deadline))
	}
	return events
}

// choose returns the engine that the machine asks for, or one that routing
// picks. It never returns one that has been announced to leave (I5).
func (s *stream) choose(now time.Time, d *Dispatch, pick *PickRequest) (membership.BackendServer, bool) {
	if backend, ok := s.known(d.Backend); ok {
		if _, leaving := s.d.notice(backend.Name); !leaving {
			return backend, true
		}
	}
	d.KVHandle = ""
	for {
		backend, err := s.d.opts.Router.Pick(now, pick)
		if err != nil || slices.Contains(pick.Exclude, backend.Name) {
			return backend, false
		}
		if _, leaving := s.d.notice(backend.Name); !leaving {
			return backend, true
		}
		pick.Exclude = append(slices.Clone(pick.Exclude), backend.Name)
	}
}

// known returns an engine that an earlier attempt or migration has used.
func (s *stream) known(name string) (membership.BackendServer, bool) {
	for _, a := range s.attempts {
		if name != "" && a.backend.Name == name {
			return a.backend, true
		}
	}
	return membership.BackendServer{}, false
}

func (s *stream) record(now time.Time, d Dispatch, backend string) {
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

// cancel leaves an attempt behind: its reader stops and the engine is told.
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
			klog.V(1).InfoS("cancel failed", "attempt", a.id, "backend", a.backend.Name, "err", err)
		}
	})
}
