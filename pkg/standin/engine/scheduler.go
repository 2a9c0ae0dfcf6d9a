package engine

import (
	"sort"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// sequence is one attempt in the engine. Its fields are guarded by Engine.mu,
// apart from events, which has room for the whole answer.
type sequence struct {
	attempt  string
	model    string
	messages []api.Message
	priority int
	arrival  uint64
	hashes   []uint64
	context  int
	cached   int
	// prefill counts the context tokens that are still to be computed.
	prefill  int
	imported int
	answer   []string
	finish   string
	first    int
	next     int
	entry    *Entry
	events   chan engine.ChunkBody
	done     bool
}

// schedule runs the batch until the engine stops.
func (e *Engine) schedule() {
	for {
		cost, busy := e.step()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				e.endAll()
				return
			}
		}
		if !e.sleep(cost) {
			e.endAll()
			return
		}
		e.decode()
	}
}

// sleep returns false when the engine stops.
func (e *Engine) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-e.stop:
			return false
		default:
			return true
		}
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-e.stop:
		return false
	}
}

// step admits waiting sequences, prefills a chunk and returns the cost of the
// step.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.recordLoad()
	if len(e.running) == 0 {
		return 0, false
	}
	prefilled := e.prefillChunk()
	cost := time.Duration(prefilled) * e.opts.PrefillPerToken
	for _, s := range e.running {
		if s.prefill == 0 {
			return cost + e.opts.DecodeStep, true
		}
	}
	return cost, true
}

func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.arrival < b.arrival
	})
	for len(e.waiting) > 0 && len(e.running) < e.opts.BatchSize {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.done {
			continue
		}
		if e.opts.CrashMarker != "" && s.contains(e.opts.CrashMarker) {
			e.ledger.crashed()
			e.tasks.Go(e.Kill)
			return
		}
		e.beginPrefill(s)
		e.running = append(e.running, s)
	}
}

func (s *sequence) contains(marker string) bool {
	for _, m := range s.messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (e *Engine) beginPrefill(s *sequence) {
	s.cached = max(e.cache.match(s.hashes)-s.imported, 0)
	s.prefill = max(s.context-s.imported-s.cached, 0)
	e.ledger.update(s.entry, func(entry *Entry) {
		entry.CachedTokens = s.cached
		entry.ImportedTokens = s.imported
	})
}

func (e *Engine) prefillChunk() int {
	budget := e.opts.PrefillChunk
	for _, s := range e.running {
		n := min(s.prefill, budget)
		if n == 0 || s.done {
			continue
		}
		s.prefill -= n
		budget -= n
		e.ledger.prefill(s.entry, n)
		if s.prefill == 0 {
			e.ledger.prefillDone(s.entry)
			e.cache.store(e.clock.Now(), s.hashes)
		}
	}
	return e.opts.PrefillChunk - budget
}

// decode emits one token of every sequence whose prefill has ended.
func (e *Engine) decode() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.done {
			continue
		}
		if s.prefill > 0 || !e.emit(s) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// emit sends the next event of a sequence and reports whether it was the last.
func (e *Engine) emit(s *sequence) bool {
	if s.next < len(s.answer) {
		s.events <- s.chunk(s.next, s.answer[s.next])
		e.ledger.generate(s.entry, s.next)
		s.next++
		return false
	}
	last := s.chunk(s.next, "")
	last.Choices[0].FinishReason = &s.finish
	last.Usage = &engine.UsageBody{
		PromptTokens:     s.context,
		CompletionTokens: s.next - s.first,
		TotalTokens:      s.context + s.next - s.first,
		Details:          engine.UsageDetails{CachedTokens: s.cached + s.imported},
	}
	s.events <- last
	e.finish(s, EndFinished)
	return true
}

func (s *sequence) chunk(offset int, text string) engine.ChunkBody {
	return engine.ChunkBody{
		ID: s.attempt, Object: "chat.completion.chunk", Model: s.model, Offset: offset,
		Choices: []engine.ChunkChoice{{Delta: engine.DeltaBody{Content: text}}},
	}
}

// finish ends a sequence; the caller holds e.mu.
func (e *Engine) finish(s *sequence, end End) {
	if s.done {
		return
	}
	s.done = true
	delete(e.byID, s.attempt)
	e.ledger.end(s.entry, end)
	close(s.events)
}

func (e *Engine) endAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.byID {
		e.finish(s, EndKilled)
	}
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxLoadReports bounds the history that LoadLag reads from.
const maxLoadReports = 4096

func (e *Engine) recordLoad() {
	e.loads = append(e.loads, engine.LoadBody{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsedShare: e.cache.usedShare(), MeasuredAt: e.clock.Now(),
	})
	if len(e.loads) > 2*maxLoadReports {
		e.loads = append([]engine.LoadBody(nil), e.loads[maxLoadReports:]...)
	}
}

// load returns the newest report that is at least LoadLag old.
func (e *Engine) load() engine.LoadBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	limit := e.clock.Now().Add(-e.opts.LoadLag)
	i := sort.Search(len(e.loads), func(i int) bool { return e.loads[i].MeasuredAt.After(limit) })
	if i == 0 {
		return engine.LoadBody{MeasuredAt: limit}
	}
	return e.loads[i-1]
}
