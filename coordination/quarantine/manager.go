package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"k8s.io/utils/clock"

	"github.com/monsooncrank/monsooncrank/coordination/changelog"
	"github.com/monsooncrank/monsooncrank/coordination/table"
)

const (
	// DefaultSettleDelay is the time that a crash takes to reach all daemons,
	// including one retransmission.
	DefaultSettleDelay = 300 * time.Millisecond
	// maxSettleWaits limits how often a request waits for a decision that is put
	// off by further crashes.
	maxSettleWaits = 2
)

// ManagerOptions configures a Manager. Store and Clock are required.
type ManagerOptions struct {
	Core  Options
	Store table.Store
	Clock clock.WithTicker
	// Probe checks on a new connection whether a server runs. The default is
	// ProbeTCP.
	Probe func(ctx context.Context, address string) ServerState
	// OnChange is called after each change of an entry, and OnCrash after each
	// crash that was discovered. They may call the Manager.
	OnChange func(Change)
	OnCrash  func(Crash)
	// OnError is called if the table cannot be read or written; the call is
	// repeated later.
	OnError func(error)
	// Isolated reports whether this daemon receives nothing from other daemons.
	Isolated func() bool
}

func (o ManagerOptions) withDefaults() ManagerOptions {
	if o.Probe == nil {
		o.Probe = ProbeTCP
	}
	if o.OnChange == nil {
		o.OnChange = func(Change) {}
	}
	if o.OnCrash == nil {
		o.OnCrash = func(Crash) {}
	}
	if o.OnError == nil {
		o.OnError = func(error) {}
	}
	if o.Isolated == nil {
		o.Isolated = func() bool { return false }
	}
	return o
}

// Manager keeps requests that crash servers from running again. It discovers
// crashes, decides together with the other daemons which request caused them, and
// stores the entries from which a daemon needs to decide after a restart. It is
// safe for concurrent use.
type Manager struct {
	options ManagerOptions
	probes  singleflight.Group
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	// wake makes the loop write unsaved entries.
	wake chan struct{}

	mu       sync.Mutex
	closed   bool
	core     *Core
	attempts *Attempts
	// unsaved holds the entries that must be written to the table, and saved those
	// that it contains.
	unsaved, saved map[Fingerprint]struct{}
}

// NewManager returns a running Manager. The caller must Close it.
func NewManager(options ManagerOptions) *Manager {
	m := &Manager{options: options.withDefaults(), wake: make(chan struct{}, 1), core: New(options.Core), attempts: NewAttempts(),
		unsaved: make(map[Fingerprint]struct{}), saved: make(map[Fingerprint]struct{})}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.tasks.Go(m.run)
	return m
}

// Close stops the Manager.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
	m.tasks.Wait()
}

// start runs a task in the background unless the Manager is closed.
func (m *Manager) start(task func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.tasks.Go(task)
	}
}

// Check returns whether and how a request may run. If a decision on the request
// is due, it waits until the other daemons have reported their suspects.
func (m *Manager) Check(ctx context.Context, fingerprint Fingerprint) Verdict {
	for range maxSettleWaits {
		m.mu.Lock()
		now := m.options.Clock.Now()
		verdict, pending := m.core.Check(now, fingerprint), m.core.Pending(now, fingerprint)
		m.mu.Unlock()
		if !pending {
			return verdict
		}
		select {
		case <-m.options.Clock.After(m.options.Core.SettleDelay):
		case <-ctx.Done():
			return verdict
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Check(m.options.Clock.Now(), fingerprint)
}

// CheckParts returns whether a request with the parts may run. If a decision on one of
// them is due, it waits until the other daemons have reported their suspects.
func (m *Manager) CheckParts(ctx context.Context, parts []Fingerprint) Verdict {
	if len(parts) == 0 {
		return VerdictRun
	}
	for waited := false; ; waited = true {
		m.mu.Lock()
		verdict, pending := m.core.checkParts(m.options.Clock.Now(), parts)
		m.mu.Unlock()
		if !pending || waited {
			return verdict
		}
		select {
		case <-m.options.Clock.After(m.options.Core.SettleDelay):
		case <-ctx.Done():
			return verdict
		}
	}
}

// Running returns the number of attempts that have started and not ended.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.attempts.running)
}

// Started records the start of an attempt. It is followed by one call of Resolved,
// Completed, Abandoned or Broken.
func (m *Manager) Started(a Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.starts = m.core.partStarts(a.Parts)
	m.attempts.Start(a)
}

// Progressed records that the server of an attempt has produced several parts of its
// answer, so that it did not crash when it began it.
func (m *Manager) Progressed(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts.Progressed(id)
}

// Completed records that a server has run the request of an attempt to its end. It clears
// the request and the parts of its prompt.
func (m *Manager) Completed(id string) {
	m.mu.Lock()
	attempt, ok := m.attempts.Resolve(id, true)
	var changes []Change
	if ok {
		now := m.options.Clock.Now()
		if entry, cleared := m.core.RecordSuccess(now, attempt.Fingerprint); cleared {
			changes = append(changes, m.cleared(entry))
		}
		for i, part := range attempt.Parts {
			if entry, cleared := m.core.recordPartSuccess(now, part, attempt.starts[i]); cleared {
				changes = append(changes, m.cleared(entry))
			}
		}
	}
	m.mu.Unlock()
	for _, change := range changes {
		m.options.OnChange(change)
	}
}

// cleared returns the change of an entry that a success has cleared. The table is told if
// it holds the entry.
func (m *Manager) cleared(entry Entry) Change {
	if _, saved := m.saved[entry.Fingerprint]; saved {
		m.unsaved[entry.Fingerprint] = struct{}{}
	}
	return Change{Entry: entry, Source: SourceSuccess}
}

// Resolved records that an attempt was answered, or that it did not run.
func (m *Manager) Resolved(id string, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts.Resolve(id, answered)
}

// Succeeded clears a request that ran to completion of its crashes.
func (m *Manager) Succeeded(fingerprint Fingerprint) {
	m.mu.Lock()
	entry, cleared := m.core.RecordSuccess(m.options.Clock.Now(), fingerprint)
	var change Change
	if cleared {
		change = m.cleared(entry)
	}
	m.mu.Unlock()
	if cleared {
		m.options.OnChange(change)
	}
}

// Abandoned records that an attempt ended without an answer after position parts,
// because the caller has gone or its deadline has passed. The server may have
// crashed; that shows later.
func (m *Manager) Abandoned(id string, position int) { m.endWithoutAnswer(id, position) }

// Broken handles an attempt whose connection broke, or whose server was silent,
// after position parts of the answer. It probes the server and reports whether it
// has crashed.
func (m *Manager) Broken(ctx context.Context, id string, position int) bool {
	suspect, known, crashed := m.endWithoutAnswer(id, position)
	if known {
		return crashed
	}
	if m.probe(ctx, suspect.Server, suspect.Address) != ServerDown {
		return false
	}
	m.serverCrashed(suspect.Server, EvidenceRefusedConnection)
	return true
}

// endWithoutAnswer records the end of an attempt. It reports whether the end of
// its server is known already, and whether that was a crash.
func (m *Manager) endWithoutAnswer(id string, position int) (suspect Suspect, known, crashed bool) {
	m.mu.Lock()
	suspect, crashed, shutDown := m.attempts.EndWithoutAnswer(m.options.Clock.Now(), id, position)
	var changes []Change
	if crashed {
		changes = m.recordCrash(&suspect)
	}
	m.mu.Unlock()
	m.crashesRecorded(changes)
	return suspect, crashed || shutDown || suspect.ID == "", crashed
}

// probe checks whether a server runs. Concurrent probes of one server share one
// connection.
func (m *Manager) probe(ctx context.Context, server, address string) ServerState {
	state, _, _ := m.probes.Do(server, func() (any, error) { return m.options.Probe(context.WithoutCancel(ctx), address), nil })
	return state.(ServerState)
}

// serverCrashed suspects all requests that were running on a server that has
// crashed.
func (m *Manager) serverCrashed(server string, evidence Evidence) {
	m.mu.Lock()
	suspects := m.attempts.Crashed(m.options.Clock.Now(), server)
	var changes []Change
	for i := range suspects {
		changes = append(changes, m.recordCrash(&suspects[i])...)
	}
	m.mu.Unlock()
	if len(suspects) > 0 {
		m.options.OnCrash(Crash{Server: server, Evidence: evidence, Suspects: len(suspects)})
	}
	m.crashesRecorded(changes)
}

// recordCrash records the crash of a suspect's server, for the request and for the parts
// of its prompt.
func (m *Manager) recordCrash(s *Suspect) []Change {
	now := m.options.Clock.Now()
	m.core.setParts(now, s.Fingerprint, s.Parts)
	entry, _ := m.core.RecordCrash(now, s.Fingerprint, s.Server, s.Position)
	changes := []Change{m.changed(entry, Change{Entry: entry, Source: SourceCrash, Request: s.Request})}
	if s.progressed {
		return changes
	}
	for i, part := range s.Parts {
		if entry, changed := m.core.recordPartCrash(now, part, s.Server, s.starts[i]); changed {
			changes = append(changes, m.changed(entry, Change{Entry: entry, Source: SourceCrash, Request: s.Request}))
		}
	}
	return changes
}

// changed completes a change. An entry that is needed to decide about the request
// is written to the table by the daemon that recorded its last crash.
func (m *Manager) changed(entry Entry, change Change) Change {
	decisive := m.core.isDecisive(&entry)
	change.Urgent = decisive || entry.Released || entry.isNearlyDecisivePart()
	if decisive && change.Source == SourceCrash {
		m.unsaved[entry.Fingerprint] = struct{}{}
	}
	return change
}

// crashesRecorded reports recorded crashes and decides about the requests once the other
// daemons have reported their suspects.
func (m *Manager) crashesRecorded(changes []Change) {
	for i := range changes {
		m.options.OnChange(changes[i])
		if changes[i].Urgent {
			m.requestSave()
			m.decideLater(&changes[i].Entry)
		}
	}
}

// decideLater decides about an entry after the settle delay.
func (m *Manager) decideLater(e *Entry) {
	if e.Quarantined || !m.core.isDecisive(e) {
		return
	}
	fingerprint := e.Fingerprint
	m.start(func() {
		select {
		case <-m.options.Clock.After(m.options.Core.SettleDelay):
		case <-m.ctx.Done():
			return
		}
		m.mu.Lock()
		refused := m.core.decide(m.options.Clock.Now(), fingerprint)
		entry, _ := m.core.Entry(fingerprint)
		change := Change{}
		if refused {
			change = m.changed(entry, Change{Entry: entry, Source: SourceSettled})
		}
		m.mu.Unlock()
		if refused {
			m.options.OnChange(change)
			m.requestSave()
		}
	})
}

// ServerJoined records that a server has an entry. If another server was known at
// its address, that one has ended.
func (m *Manager) ServerJoined(server, address string) {
	m.mu.Lock()
	m.attempts.Joined(server)
	earlier := m.attempts.ServersAt(address)
	m.mu.Unlock()
	for _, other := range earlier {
		if other != server {
			m.serverCrashedLater(other, EvidenceAddressReused)
		}
	}
}

// ServerLeaving records that a server is being shut down as planned.
func (m *Manager) ServerLeaving(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts.ShutDown(m.options.Clock.Now(), server)
}

// ServerRestarted records that a server has started again under its name.
func (m *Manager) ServerRestarted(server string) {
	m.serverCrashedLater(server, EvidenceNewIncarnation)
}

// serverCrashedLater calls serverCrashed without holding up the caller, which may
// hold locks that OnChange needs.
func (m *Manager) serverCrashedLater(server string, evidence Evidence) {
	m.start(func() { m.serverCrashed(server, evidence) })
}

// ServerRemoved records that the entry of a server was removed although the
// server had not announced its shutdown. A server that still accepts connections
// shuts down without notice, or is silent and returns; otherwise it has crashed.
func (m *Manager) ServerRemoved(server, address string) {
	m.mu.Lock()
	inDoubt := m.attempts.InDoubt(server)
	m.mu.Unlock()
	if !inDoubt {
		return
	}
	m.start(func() {
		if m.probe(m.ctx, server, address) == ServerRuns {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.attempts.AssumeShutDown(m.options.Clock.Now(), server)
			return
		}
		m.serverCrashed(server, EvidenceRemovedEntry)
	})
}

// MergeFrom merges entries that were received from another daemon.
func (m *Manager) MergeFrom(from string, entries ...Entry) { m.merge(from, SourcePeer, entries) }

func (m *Manager) merge(from string, source Source, entries []Entry) {
	var changes []Change
	m.mu.Lock()
	now := m.options.Clock.Now()
	for _, e := range entries {
		if e.Fingerprint == "" || !m.core.Merge(now, from, e) {
			continue
		}
		merged, known := m.core.Entry(e.Fingerprint)
		if known {
			changes = append(changes, m.changed(merged, Change{Entry: merged, Source: source, From: from}))
		}
	}
	m.mu.Unlock()
	for _, change := range changes {
		m.options.OnChange(change)
		m.decideLater(&change.Entry)
	}
}

// EntriesFor returns the entries to send to a daemon that has acknowledged a
// position, and the span that they cover (see Core.Since).
func (m *Manager) EntriesFor(daemon string, acknowledged changelog.Position, forward bool, limit int) ([]Entry, changelog.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Since(acknowledged, daemon, forward, limit)
}

// Entry returns the entry of a request.
func (m *Manager) Entry(fingerprint Fingerprint) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Entry(fingerprint)
}

// List returns the entries of the quarantined requests.
func (m *Manager) List() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.List()
}

// Release removes a request from the quarantine, at this daemon at once and in the
// table before it returns.
func (m *Manager) Release(ctx context.Context, fingerprint Fingerprint) error {
	m.mu.Lock()
	entry, err := m.core.Release(m.options.Clock.Now(), fingerprint)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.options.OnChange(Change{Entry: entry, Source: SourceRelease, Urgent: true})
	return m.save(ctx, fingerprint)
}
