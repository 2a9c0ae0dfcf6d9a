package plainservice

import (
	"encoding/json"
	"sync"

	"github.com/monsooncrank/monsooncrank/pkg/api"
)

// Run is one execution of a call.
type Run struct {
	AttemptID string
	// Key is the idempotency key.
	Key  string
	Path string
	// Object is the business object that the call changed, such as a seat.
	Object string
	Answer api.CallAnswer
}

// Ledger records which calls actually ran. It represents the database of the
// service and keeps its content when a server crashes. It is safe for concurrent
// use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
	// byAttempt and byKey hold the indexes in runs by attempt ID and by idempotency
	// key.
	byAttempt map[string][]int
	byKey     map[string][]int
	// byObject holds the number of executions by business object.
	byObject map[string]int
	// barred holds the IDs of attempts that must not run if they arrive later.
	barred map[string]struct{}
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

// Runs returns all executions in the order in which they ran.
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

// RunsOfKey returns how often calls with an idempotency key ran.
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

// Objects returns the number of executions for each business object.
func (l *Ledger) Objects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.byObject))
	for object, n := range l.byObject {
		counts[object] = n
	}
	return counts
}

// AttemptsByKey returns the IDs of the attempts that ran for each idempotency key,
// in the order in which they ran.
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

// record adds an execution, or returns false if the attempt is barred. If
// deduplicate is set and the idempotency key has run before, it returns the first
// execution of the key and adds none.
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

// find returns the first execution of an attempt or, if there is none, of an
// idempotency key. If neither has run and bar is set, the attempt is barred: the
// answer "did not run" must stay true if the attempt arrives later.
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

// objectOf returns the business object that the "object" member of a JSON body
// names. For other bodies it returns the body itself.
func objectOf(body []byte) string {
	var parsed struct {
		Object string `json:"object"`
	}
	if err := json.Unmarshal(body, &parsed); err == nil && parsed.Object != "" {
		return parsed.Object
	}
	return string(body)
}
