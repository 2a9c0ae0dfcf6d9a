package streaming

import (
	"context"
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// noticeRetention is how long a notice is kept after its deadline, so that the
// end of an announced engine is not treated as a crash.
const noticeRetention = time.Minute

// ReclaimNotice plans how the streams on a BackendServer that is shut down at
// deadline are handled. A repeated notice starts a new plan.
func (d *Driver) ReclaimNotice(backendName string, deadline time.Time) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	for name, at := range d.notices {
		if now.Sub(at) > noticeRetention {
			delete(d.notices, name)
		}
	}
	if !now.Before(d.notices[backendName]) && !d.closed {
		d.tasks.Go(func() { d.planUntilDeadline(backendName) })
	}
	d.notices[backendName] = deadline
	d.mu.Unlock()
	d.plan(now, backendName, deadline)
}

// plan computes a plan for the streams on a BackendServer and posts each stream
// its choice.
func (d *Driver) plan(now time.Time, backendName string, deadline time.Time) {
	streams := make(map[string]*stream)
	var candidates []Candidate
	for _, s := range d.active() {
		if c, ok := s.candidate(backendName); ok {
			c.StreamID = strconv.Itoa(len(candidates))
			streams[c.StreamID] = s
			candidates = append(candidates, c)
		}
	}
	for _, a := range PlanReclaim(now, deadline, candidates, d.opts.Costs) {
		streams[a.StreamID].post(d.reclaimPlanned(now, streams[a.StreamID], backendName, deadline, a))
	}
}

// replanInterval is the time between two plans for a notice. The first plan may
// be wrong, because the token rate of a stream that has just started is hardly
// known.
const replanInterval = 250 * time.Millisecond

// planUntilDeadline computes a new plan in every replanInterval until the
// deadline of the notice.
func (d *Driver) planUntilDeadline(backendName string) {
	ticker := d.opts.Clock.NewTicker(replanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-d.ctx.Done():
			return
		}
		deadline, ok := d.noticeDeadline(backendName)
		if !ok || !d.opts.Clock.Now().Before(deadline) {
			return
		}
		d.replan(backendName)
	}
}

// replan computes a new plan, periodically and after each transfer: streams
// that have finished since the last plan release their share of the transfer
// time.
func (d *Driver) replan(backendName string) {
	now := d.opts.Clock.Now()
	if deadline, ok := d.noticeDeadline(backendName); ok && now.Before(deadline) {
		d.plan(now, backendName, deadline)
	}
}

// reclaimPlanned returns the event for a stream's choice. It records the choice
// in the metrics and the decision log if it has changed.
func (d *Driver) reclaimPlanned(now time.Time, s *stream, backend string, deadline time.Time, a Assignment) ReclaimPlanned {
	reclaimPlanned := ReclaimPlanned{Backend: backend, Deadline: deadline, Choice: a.Choice, StartAt: a.StartAt}
	if !s.setChoice(a.Choice) {
		return reclaimPlanned
	}
	d.metrics.reclaims.WithLabelValues(string(a.Choice)).Inc()
	d.opts.Recorder.Record(decision.Decision{
		Time: now, Kind: decision.KindReclaim, RequestID: s.request.ID, Chosen: string(a.Choice),
		Alternatives: []decision.Alternative{{Name: "lost_per_second", Score: a.SavedTokensPerSecond}}, Reason: a.Reason,
	})
	return reclaimPlanned
}

// setChoice stores the choice for the current attempt and reports whether it
// has changed.
func (s *stream) setChoice(choice ReclaimChoice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.choice != choice
	s.choice = choice
	return changed
}

// noticeDeadline returns the announced shutdown time of a BackendServer. It
// returns false if there is no notice or the notice has expired.
func (d *Driver) noticeDeadline(backend string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline, ok := d.notices[backend]
	return deadline, ok && d.opts.Clock.Now().Sub(deadline) <= noticeRetention
}

// candidate returns the planner's description of the stream, or false if the
// stream does not run on the BackendServer or is already migrating.
func (s *stream) candidate(backend string) (Candidate, bool) {
	s.mu.Lock()
	onBackend, perToken, count := s.backend == backend && !s.migrating, s.progress.perToken(), s.progress.count
	s.mu.Unlock()
	if !onBackend {
		return Candidate{}, false
	}
	emitted := s.log.length()
	cached := 0
	if estimator, ok := s.d.opts.Router.(PrefixEstimator); ok {
		cached = estimator.CachedTokens(s.pickRequest(emitted, []string{backend}, false))
	}
	return Candidate{
		ContextTokens:   s.promptTokens + emitted,
		CachedElsewhere: cached,
		RemainingTokens: max(s.maxTokens()-emitted, 1),
		DecodePerToken:  max(perToken, minDecodePerToken(count)),
	}, true
}

// The first tokens may arrive in one burst after a delay, which makes the token
// rate look higher than it is. With fewer than minObservedTokens tokens, at
// least typicalDecodePerToken is assumed.
const (
	minObservedTokens     = 8
	typicalDecodePerToken = 37 * time.Millisecond
)

// minDecodePerToken returns the lower bound of the time per token after count
// observed tokens.
func minDecodePerToken(count int) time.Duration {
	if count < minObservedTokens {
		return typicalDecodePerToken
	}
	return 0
}

// perToken returns the mean time between tokens, or 0 before the second token.
func (p progress) perToken() time.Duration {
	if p.count < 2 {
		return 0
	}
	return max(p.last.Sub(p.first)/time.Duration(p.count-1), time.Microsecond)
}

// defaultMaxTokens is the assumed maximum length of an answer whose request
// sets no limit.
const defaultMaxTokens = 4096

func (s *stream) maxTokens() int {
	if s.request.MaxTokens > 0 {
		return s.request.MaxTokens
	}
	return defaultMaxTokens
}

// planSingleStream plans for a stream that was dispatched to an engine that has
// already received a reclaim notice.
func (s *stream) planSingleStream(now time.Time, backend string, deadline time.Time) Event {
	c, _ := s.candidate(backend)
	plan := PlanReclaim(now, deadline, []Candidate{c}, s.d.opts.Costs)
	return s.d.reclaimPlanned(now, s, backend, deadline, plan[0])
}

// migrate starts moving the KV cache of an attempt to another engine.
func (s *stream) migrate(m Migrate) []Event {
	now := s.d.opts.Clock.Now()
	source := s.attempts[m.AttemptID]
	target, err := s.d.opts.Router.Pick(now, s.pickRequest(len(s.machine.Tokens()), m.Exclude, false))
	if err != nil || target.Name == m.Backend || source == nil {
		return []Event{MigrationFailed{AttemptID: m.AttemptID, Detail: "no target"}}
	}
	// Registers the target without a reader, so that knownBackend finds it at
	// the next dispatch.
	s.attempts["target/"+m.AttemptID] = &runningAttempt{id: m.AttemptID, backend: target, cancel: func(error) {}}
	ctx, cancel := context.WithTimeout(s.d.ctx, max(m.Deadline.Sub(now), 0))
	s.cancelMigration = cancel
	s.mu.Lock()
	s.migrating = true
	s.mu.Unlock()
	s.d.tasks.Go(func() {
		defer cancel()
		s.post(s.transfer(ctx, m.AttemptID, source.backend, target))
		s.d.replan(source.backend.Name)
	})
	return nil
}

// transfer copies the KV cache of an attempt from source to target and returns
// the event that reports the result.
func (s *stream) transfer(ctx context.Context, attempt string, source, target membership.BackendServer) Event {
	export, err := s.d.opts.Client.ExportKV(ctx, source.Address, attempt)
	if err == nil {
		err = s.d.opts.Client.ImportKV(ctx, target.Address, source.Address, export.Handle)
	}
	if err != nil {
		s.d.metrics.migrations.WithLabelValues("failed").Inc()
		return MigrationFailed{AttemptID: attempt, Detail: err.Error()}
	}
	s.d.metrics.migrations.WithLabelValues("done").Inc()
	return Migrated{AttemptID: attempt, Backend: target.Name, Handle: export.Handle}
}

func (s *stream) abandonMigration() {
	if s.cancelMigration != nil {
		s.cancelMigration()
	}
}
