package plainservice

import (
	"encoding/json"
	"sync"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Run is one execution of a call.
type Run struct {
	AttemptID string
	Key       string
	Path      string
	// Object is the business object that the call changed, such as a seat.
	Object string
	Answer api.CallAnswer
}

// Ledger records what really ran. It stands for the service's database and
// survives its crashes. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	runs      []Run
	byAttempt map[string][]int
	byKey     map[string][]int
	byObject  map[string]int
	barred    map[string]struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		byAttempt: make(map[string][]int),
		byKey:     make(map[string][]int),
		byObject:  make(map[string]int),
		barred:    make(map[string]struct{}),
	}
}

// Runs returns all executions in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// RunsOfAttempt returns how often an attempt ran.
func (l *Ledger) RunsOfAttempt(attemptID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byAttempt[attemptID])
}

// RunsOfKey returns how often a key ran.
func (l *Ledger) RunsOfKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byKey[key])
}

// RunsOfObject returns how often a business object was changed.
func (l *Ledger) RunsOfObject(object string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byObject[object]
}

// Objects returns the number of executions by business object.
func (l *Ledger) Objects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.byObject))
	for object, n := range l.byObject {
		counts[object] = n
	}
	return counts
}

// AttemptsByKey returns the attempts that ran by key, in order.
func (l *Ledger) AttemptsByKey() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempts := make(map[string][]string, len(l.byKey))
	for key, indexes := range l.byKey {
		for _, index := range indexes {
			attempts[key] = append(attempts[key], l.runs[index].AttemptID)
		}
	}
	return attempts
}

// record adds an execution unless the attempt was barred. With deduplicate set,
// a key that has run returns its first execution and is not run again.
func (l *Ledger) record(run Run, deduplicate bool) (Run, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.barred[run.AttemptID]; ok {
		return Run{}, false
	}
	if previous := l.byKey[run.Key]; deduplicate && run.Key != "" && len(previous) > 0 {
		return l.runs[previous[0]], true
	}
	index := len(l.runs)
	l.runs = append(l.runs, run)
	l.byAttempt[run.AttemptID] = append(l.byAttempt[run.AttemptID], index)
	l.byObject[run.Object]++
	if run.Key != "" {
		l.byKey[run.Key] = append(l.byKey[run.Key], index)
	}
	return run, true
}

// find returns the execution of an attempt or, without one, of a key. An
// attempt that has not run is barred if bar is set, so that "did not run" stays
// true.
func (l *Ledger) find(attemptID, key string, bar bool) (Run, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if indexes := l.byAttempt[attemptID]; len(indexes) > 0 {
		return l.runs[indexes[0]], true
	}
	if indexes := l.byKey[key]; key != "" && len(indexes) > 0 {
		return l.runs[indexes[0]], true
	}
	if bar {
		l.barred[attemptID] = struct{}{}
	}
	return Run{}, false
}

// objectOf reads the business object from a JSON body's "object" member; other
// bodies are their own object.
func objectOf(body []byte) string {
	var parsed struct {
		Object string `json:"object"`
	}
	if err := json.Unmarshal(body, &parsed); err == nil && parsed.Object != "" {
		return parsed.Object
	}
	return string(body)
}
