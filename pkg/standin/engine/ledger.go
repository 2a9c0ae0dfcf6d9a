package engine

import (
	"strings"
	"sync"
)

// End says how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndRunning   End = "running"
	EndFinished  End = "finished"
	EndCancelled End = "cancelled"
	EndKilled    End = "killed"
)

// Entry is what one attempt really did.
type Entry struct {
	AttemptID string
	Engine    string
	Model     string
	// ContextTokens is the prompt plus the resumed tokens. CachedTokens of
	// them came from the prefix cache and ImportedTokens from an imported KV
	// cache; PrefilledTokens were computed.
	ContextTokens   int
	CachedTokens    int
	ImportedTokens  int
	PrefilledTokens int
	// FirstOffset is the offset of the first generated token.
	FirstOffset int
	Generated   int
	// WrongResume is set when the resumed tokens were not the beginning of
	// the answer.
	WrongResume bool
	End         End
}

// Totals sums up a Ledger.
type Totals struct {
	Attempts int
	Refused  int
	// PrefilledTokens and GeneratedTokens are all computed tokens.
	PrefilledTokens int
	GeneratedTokens int
	// RecomputedTokens are tokens that a later attempt of the same request
	// prefilled or generated again.
	RecomputedTokens int
	WrongResumes     int
	Crashes          int
}

// Ledger records what really ran, over all engines that share it. It is safe
// for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []*Entry
	// generated is the highest offset generated so far by request, and
	// prefilled says which requests have been prefilled once.
	generated map[string]int
	prefilled map[string]bool
	totals    Totals
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{generated: make(map[string]int), prefilled: make(map[string]bool)}
}

// RequestOf returns the request part of an attempt ID: what stands before the
// last dot.
func RequestOf(attemptID string) string {
	if i := strings.LastIndexByte(attemptID, '.'); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}

// Entries returns a copy of all entries in the order of their start.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]Entry, len(l.entries))
	for i, e := range l.entries {
		entries[i] = *e
	}
	return entries
}

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Running returns the attempts that have not ended.
func (l *Ledger) Running() []Entry {
	var running []Entry
	for _, e := range l.Entries() {
		if e.End == EndRunning {
			running = append(running, e)
		}
	}
	return running
}

func (l *Ledger) start(e Entry) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.End = EndRunning
	entry := &e
	l.entries = append(l.entries, entry)
	l.totals.Attempts++
	if e.WrongResume {
		l.totals.WrongResumes++
	}
	return entry
}

func (l *Ledger) update(e *Entry, change func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(e)
}

func (l *Ledger) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Refused++
}

func (l *Ledger) crashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Crashes++
}

// prefill records computed context tokens; those of a later attempt of the same
// request are recomputed.
func (l *Ledger) prefill(e *Entry, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.PrefilledTokens += tokens
	l.totals.PrefilledTokens += tokens
	if l.prefilled[RequestOf(e.AttemptID)] || e.FirstOffset > 0 {
		l.totals.RecomputedTokens += tokens
	}
}

func (l *Ledger) prefillDone(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefilled[RequestOf(e.AttemptID)] = true
}

func (l *Ledger) generate(e *Entry, offset int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Generated++
	l.totals.GeneratedTokens++
	request := RequestOf(e.AttemptID)
	if offset < l.generated[request] {
		l.totals.RecomputedTokens++
		return
	}
	l.generated[request] = offset + 1
}

func (l *Ledger) end(e *Entry, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.End == EndRunning {
		e.End = end
	}
}
