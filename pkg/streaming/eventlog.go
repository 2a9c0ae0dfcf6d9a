package streaming

import "sync"

// eventLog stores the tokens of one stream and notifies its readers of changes.
type eventLog struct {
	mu           sync.Mutex
	tokens       []string
	finishReason string
	end          *End
	changed      chan struct{}
}

func newEventLog(tokens []string) *eventLog {
	return &eventLog{tokens: append([]string(nil), tokens...), changed: make(chan struct{})}
}

func (l *eventLog) append(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = append(l.tokens, token)
	l.notifyReaders()
}

func (l *eventLog) setFinishReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishReason = reason
}

func (l *eventLog) close(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = &end
	l.notifyReaders()
}

func (l *eventLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// logSnapshot is the content of an eventLog from an offset on. The channel
// changed is closed at the next change of the log.
type logSnapshot struct {
	tokens       []string
	finishReason string
	end          *End
	changed      <-chan struct{}
}

// read returns the tokens from an offset on. The caller must not modify them.
func (l *eventLog) read(from int) logSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = min(max(from, 0), len(l.tokens))
	return logSnapshot{tokens: l.tokens[from:len(l.tokens):len(l.tokens)], finishReason: l.finishReason, end: l.end, changed: l.changed}
}

func (l *eventLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tokens)
}
