package streaming

import "time"

func (m *Machine) onReclaimPlanned(e ReclaimPlanned) {
	if e.Backend != m.Backend() || m.phase == phaseMigrating {
		return
	}
	m.reclaim = &reclaim{deadline: e.Deadline.Add(-m.opts.ReclaimMargin), choice: e.Choice, at: e.StartAt}
}

// reclaimWake returns when the reclaim next needs a step.
func (m *Machine) reclaimWake() time.Time {
	if m.reclaim.choice == ReclaimFinish || m.phase == phaseMigrating {
		return m.reclaim.deadline
	}
	return earliest(m.reclaim.at, m.reclaim.deadline)
}

func (m *Machine) onReclaimTime(now time.Time) {
	r := m.reclaim
	if r == nil || now.Before(m.reclaimWake()) {
		return
	}
	if m.phase == phaseRunning && r.choice == ReclaimMigrate && now.Before(r.deadline) {
		m.phase = phaseMigrating
		m.exclude(m.current.backend)
		m.do(Migrate{AttemptID: m.current.id, Backend: m.current.backend, Exclude: m.excluded, Deadline: r.deadline})
		return
	}
	m.moveAway(now, "the host is reclaimed")
}

// moveAway resumes an announced reclaim's stream on another BackendServer. The
// retry budget does not pay for it: an accepted request survives an announced
// reclaim.
func (m *Machine) moveAway(now time.Time, reason string) {
	m.exclude(m.current.backend)
	m.leave()
	m.schedule(now, Dispatch{Reason: reason})
}

func (m *Machine) onMigrated(now time.Time, e Migrated) {
	if m.phase != phaseMigrating || e.AttemptID != m.current.id {
		return
	}
	m.mayHaveRun = true
	m.do(Cancel{AttemptID: m.current.id, Backend: m.current.backend})
	m.schedule(now, Dispatch{Backend: e.Backend, KVHandle: e.Handle, Reason: "the KV cache was moved"})
}

func (m *Machine) onMigrationFailed(now time.Time, e MigrationFailed) {
	if m.phase != phaseMigrating || e.AttemptID != m.current.id {
		return
	}
	m.phase = phaseRunning
	m.moveAway(now, "the KV cache was not moved: "+e.Detail)
}
