package streaming

import "time"

func (m *Machine) onReclaimPlanned(e ReclaimPlanned) {
	if e.Backend != m.Backend() || m.phase == phaseMigrating {
		return
	}
	m.reclaim = &reclaim{deadline: e.Deadline.Add(-m.opts.ReclaimMargin), choice: e.Choice, startAt: e.StartAt}
}

// nextReclaimTime returns when the reclaim next needs an action.
func (m *Machine) nextReclaimTime() time.Time {
	if m.reclaim.choice == ReclaimFinish || m.phase == phaseMigrating {
		return m.reclaim.deadline
	}
	return earliest(m.reclaim.startAt, m.reclaim.deadline)
}

// handleReclaimTimer starts the planned migration or resume when it is due, and
// resumes the stream elsewhere at the deadline of the reclaim.
func (m *Machine) handleReclaimTimer(now time.Time) {
	r := m.reclaim
	if r == nil || now.Before(m.nextReclaimTime()) {
		return
	}
	if m.phase == phaseRunning && r.choice == ReclaimMigrate && now.Before(r.deadline) {
		m.phase = phaseMigrating
		m.exclude(m.current.backend)
		m.emit(Migrate{AttemptID: m.current.id, Backend: m.current.backend, Exclude: m.excluded, Deadline: r.deadline})
		return
	}
	m.resumeElsewhere(now, "the host is reclaimed")
}

// resumeElsewhere cancels the current attempt and resumes the stream on another
// BackendServer. The attempt is not charged to the retry budget, because an
// accepted request must survive an announced reclaim.
func (m *Machine) resumeElsewhere(now time.Time, reason string) {
	m.exclude(m.current.backend)
	m.cancelAttempt()
	m.schedule(now, Dispatch{Reason: reason})
}

func (m *Machine) onMigrated(now time.Time, e Migrated) {
	if m.phase != phaseMigrating || e.AttemptID != m.current.id {
		return
	}
	m.mayHaveRun = true
	m.emit(Cancel{AttemptID: m.current.id, Backend: m.current.backend})
	m.schedule(now, Dispatch{Backend: e.Backend, KVHandle: e.Handle, Reason: "the KV cache was moved"})
}

func (m *Machine) onMigrationFailed(now time.Time, e MigrationFailed) {
	if m.phase != phaseMigrating || e.AttemptID != m.current.id {
		return
	}
	m.phase = phaseRunning
	m.resumeElsewhere(now, "the KV cache was not moved: "+e.Detail)
}
