package streaming

import "sync"

// eventLog keeps the tokens of one stream and wakes its readers.
type eventLog struct {
	mu      sync.Mutex
	tokens  []string
	finish  string
	end     *End
	changed chan struct{}
}

func newEventLog(tokens []string) *eventLog {
	return &eventLog{tokens: append([]string(nil), tokens...), changed: make(chan struct{})}
}

func (l *eventLog) append(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = append(l.tokens, token)
	l.wake()
}

func (l *eventLog) setFinish(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finish = reason
}

func (l *eventLog) close(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = &end
	l.wake()
}

func (l *eventLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// view is what a reader sees from an offset.
type view struct {
	tokens  []string
	finish  string
	end     *End
	changed <-chan struct{}
}

// read returns the tokens from an offset; the reader must not change them.
func (l *eventLog) read(from int) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = min(max(from, 0), len(l.tokens))
	return view{tokens: l.tokens[from:len(l.tokens):len(l.tokens)], finish: l.finish, end: l.end, changed: l.changed}
}

func (l *eventLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tokens)
}
