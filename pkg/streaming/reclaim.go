package streaming

import (
	"context"
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/coordination/membership"
	"github.com/monsooncrank/monsooncrank/pkg/decision"
)

// noticeKept is how long after its deadline a notice still counts, so that the
// end of an announced engine is not taken for a crash.
const noticeKept = time.Minute

// ReclaimNotice plans what becomes of the streams on a BackendServer that leaves
// at deadline. A repeated notice plans again.
func (d *Driver) ReclaimNotice(backendName string, deadline time.Time) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	for name, at := range d.notices {
		if now.Sub(at) > noticeKept {
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

// plan gives the streams on a BackendServer their part of the plan.
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
		streams[a.StreamID].post(d.planned(now, streams[a.StreamID], backendName, deadline, a))
	}
}

// planInterval is the time between two plans for a notice. The speed of a stream
// that has just started is hardly known, so that the first plan may be wrong.
const planInterval = 250 * time.Millisecond

func (d *Driver) planUntilDeadline(backendName string) {
	ticker := d.opts.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-d.ctx.Done():
			return
		}
		deadline, ok := d.notice(backendName)
		if !ok || !d.opts.Clock.Now().Before(deadline) {
			return
		}
		d.replan(backendName)
	}
}

// replan plans again when a transfer has ended: streams that have finished since
// have left their part of the transfer time to others.
func (d *Driver) replan(backendName string) {
	now := d.opts.Clock.Now()
	if deadline, ok := d.notice(backendName); ok && now.Before(deadline) {
		d.plan(now, backendName, deadline)
	}
}

func (d *Driver) planned(now time.Time, s *stream, backend string, deadline time.Time, a Assignment) ReclaimPlanned {
	planned := ReclaimPlanned{Backend: backend, Deadline: deadline, Choice: a.Choice, StartAt: a.StartAt}
	if !s.note(a.Choice) {
		return planned
	}
	d.metrics.reclaims.WithLabelValues(string(a.Choice)).Inc()
	d.opts.Recorder.Record(decision.Decision{
		Time: now, Kind: decision.KindReclaim, RequestID: s.request.ID, Chosen: string(a.Choice),
		Alternatives: []decision.Alternative{{Name: "lost_per_second", Score: a.LostPerSecond}}, Reason: a.Reason,
	})
	return planned
}

// note keeps the choice for the current attempt and reports whether it is new.
func (s *stream) note(choice ReclaimChoice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.choice != choice
	s.choice = choice
	return changed
}

// notice returns the deadline of a BackendServer that has been announced to
// leave.
func (d *Driver) notice(backend string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	deadline, ok := d.notices[backend]
	return deadline, ok && d.opts.Clock.Now().Sub(deadline) <= noticeKept
}

// candidate describes the stream to the planner if it runs on a BackendServer.
func (s *stream) candidate(backend string) (Candidate, bool) {
	s.mu.Lock()
	here, perToken, count := s.backend == backend && !s.moving, s.progress.perToken(), s.progress.count
	s.mu.Unlock()
	if !here {
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
		DecodePerToken:  max(perToken, minDecode(count)),
	}, true
}

// A few tokens may arrive together after a wait and look faster than they are.
const (
	fewTokens   = 8
	usualDecode = 37 * time.Millisecond
)

// minDecode is the least time per token to expect after count tokens.
func minDecode(count int) time.Duration {
	if count < fewTokens {
		return usualDecode
	}
	return 0
}

func (p progress) perToken() time.Duration {
	if p.count < 2 {
		return 0
	}
	return max(p.last.Sub(p.first)/time.Duration(p.count-1), time.Microsecond)
}

// unlimitedTokens is taken as the length of an answer whose request sets no
// limit.
const unlimitedTokens = 4096

func (s *stream) maxTokens() int {
	if s.request.MaxTokens > 0 {
		return s.request.MaxTokens
	}
	return unlimitedTokens
}

// planAlone plans for a stream that reached an engine after its notice.
func (s *stream) planAlone(now time.Time, backend string, deadline time.Time) Event {
	c, _ := s.candidate(backend)
	plan := PlanReclaim(now, deadline, []Candidate{c}, s.d.opts.Costs)
	return s.d.planned(now, s, backend, deadline, plan[0])
}

// migrate moves the KV cache of an attempt to another engine.
func (s *stream) migrate(m Migrate) []Event {
	now := s.d.opts.Clock.Now()
	source := s.attempts[m.AttemptID]
	target, err := s.d.opts.Router.Pick(now, s.pickRequest(len(s.machine.Tokens()), m.Exclude, false))
	if err != nil || target.Name == m.Backend || source == nil {
		return []Event{MigrationFailed{AttemptID: m.AttemptID, Detail: "no target"}}
	}
	// An entry without a reader makes the target known to the next dispatch.
	s.attempts["target/"+m.AttemptID] = &running{id: m.AttemptID, backend: target, cancel: func(error) {}}
	ctx, cancel := context.WithTimeout(s.d.ctx, max(m.Deadline.Sub(now), 0))
	s.migration = cancel
	s.mu.Lock()
	s.moving = true
	s.mu.Unlock()
	s.d.tasks.Go(func() {
		defer cancel()
		s.post(s.transfer(ctx, m.AttemptID, source.backend, target))
		s.d.replan(source.backend.Name)
	})
	return nil
}

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
	if s.migration != nil {
		s.migration()
	}
}
