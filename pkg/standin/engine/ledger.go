package engine

import (
	"strings"
	"sync"
)

// End is the way in which an attempt ended.
type End string

// The values of End. EndRunning marks an attempt that has not ended.
const (
	EndRunning   End = "running"
	EndFinished  End = "finished"
	EndCancelled End = "cancelled"
	EndKilled    End = "killed"
)

// Entry records what one attempt actually did.
type Entry struct {
	AttemptID string
	Engine    string
	Model     string
	// ContextTokens is the number of prompt tokens and resumed tokens. Of these,
	// CachedTokens came from the prefix cache, ImportedTokens from an imported KV
	// cache, and PrefilledTokens were computed.
	ContextTokens   int
	CachedTokens    int
	ImportedTokens  int
	PrefilledTokens int
	// FirstOffset is the offset of the first generated token.
	FirstOffset int
	// Generated is the number of generated tokens.
	Generated int
	// WrongResume is set if the resumed tokens were not the beginning of the
	// answer.
	WrongResume bool
	End         End
}

// Totals are the sums over all attempts of a Ledger.
type Totals struct {
	Attempts int
	Refused  int
	// PrefilledTokens and GeneratedTokens count all computed tokens.
	PrefilledTokens int
	GeneratedTokens int
	// RecomputedTokens counts the tokens that a later attempt of the same request
	// prefilled or generated again.
	RecomputedTokens int
	WrongResumes     int
	Crashes          int
}

// Ledger records what actually ran on all engines that share it. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []*Entry
	// generated holds the number of leading answer tokens generated so far, by
	// request. prefilled holds the requests whose prefill has ended once.
	generated map[string]int
	prefilled map[string]bool
	totals    Totals
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{generated: make(map[string]int), prefilled: make(map[string]bool)}
}

// RequestOf returns the request ID of an attempt ID, which is the part before the
// last dot.
func RequestOf(attemptID string) string {
	if i := strings.LastIndexByte(attemptID, '.'); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}

// Entries returns a copy of all entries in the order in which they started.
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

// Running returns the entries of attempts that have not ended.
func (l *Ledger) Running() []Entry {
	var running []Entry
	for _, e := range l.Entries() {
		if e.End == EndRunning {
			running = append(running, e)
		}
	}
	return running
}

// start adds the entry of an attempt that is accepted.
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

// update changes an entry under the lock.
func (l *Ledger) update(e *Entry, change func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(e)
}

func (l *Ledger) countRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Refused++
}

func (l *Ledger) countCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Crashes++
}

// prefill records computed context tokens. They count as recomputed if the request
// was prefilled before or resumes an answer.
func (l *Ledger) prefill(e *Entry, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.PrefilledTokens += tokens
	l.totals.PrefilledTokens += tokens
	if l.prefilled[RequestOf(e.AttemptID)] || e.FirstOffset > 0 {
		l.totals.RecomputedTokens += tokens
	}
}

// prefillDone records that the prefill of a request has ended.
func (l *Ledger) prefillDone(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefilled[RequestOf(e.AttemptID)] = true
}

// generate records a generated token. It counts as recomputed if an attempt of the
// same request has generated this offset before.
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

// end records how an attempt ended. Later calls for the attempt have no effect.
func (l *Ledger) end(e *Entry, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.End == EndRunning {
		e.End = end
	}
}
