package engine

import (
	"sort"
	"strings"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/api"
	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// sequence is one attempt in the engine. Engine.mu guards its fields except events,
// whose buffer holds the complete answer so that sending never blocks.
type sequence struct {
	attempt  string
	model    string
	messages []api.Message
	priority int
	// arrival is the order of arrival.
	arrival uint64
	// hashes are the prefix hashes of the context.
	hashes        []uint64
	contextTokens int
	// cached is the number of context tokens that came from the prefix cache.
	cached int
	// prefill is the number of context tokens that are still to be computed.
	prefill int
	// imported is the number of context tokens that came from an imported KV cache.
	imported int
	answer   []string
	// finish is the finish reason of the answer.
	finish string
	// firstOffset and nextOffset are the offsets in the answer of the first
	// token that this attempt generates and of the next one.
	firstOffset int
	nextOffset  int
	entry       *Entry
	events      chan engine.ChunkBody
	// done is set when the sequence has ended for any reason.
	done bool
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

// sleep waits for d and returns false if the engine stops meanwhile.
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

// step admits waiting sequences and prefills a chunk. It returns how long the step
// takes and whether any sequence is running.
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

// admit moves waiting sequences into the batch while it has room, by priority
// (lowest value first) and then by arrival. A sequence with the crash marker kills
// the engine.
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
			e.ledger.countCrash()
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

// beginPrefill computes how many context tokens must be prefilled.
func (e *Engine) beginPrefill(s *sequence) {
	s.cached = max(e.cache.match(s.hashes)-s.imported, 0)
	s.prefill = max(s.contextTokens-s.imported-s.cached, 0)
	e.ledger.update(s.entry, func(entry *Entry) {
		entry.CachedTokens = s.cached
		entry.ImportedTokens = s.imported
	})
}

// prefillChunk prefills up to PrefillChunk tokens in the order of the batch and
// returns their number.
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

// decode emits one event of every sequence whose prefill has ended and removes the
// sequences that have finished.
func (e *Engine) decode() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return
	}
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.done {
			continue
		}
		if s.prefill > 0 || !e.emit(s) {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// emit sends the next event of a sequence and reports whether it was the last.
func (e *Engine) emit(s *sequence) bool {
	if s.nextOffset < len(s.answer) {
		s.events <- s.chunk(s.nextOffset, s.answer[s.nextOffset])
		e.ledger.generate(s.entry, s.nextOffset)
		s.nextOffset++
		return false
	}
	last := s.chunk(s.nextOffset, "")
	last.Choices[0].FinishReason = &s.finish
	last.Usage = &engine.UsageBody{
		PromptTokens:     s.contextTokens,
		CompletionTokens: s.nextOffset - s.firstOffset,
		TotalTokens:      s.contextTokens + s.nextOffset - s.firstOffset,
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

// finish ends a sequence. The caller holds e.mu.
func (e *Engine) finish(s *sequence, end End) {
	if s.done {
		return
	}
	s.done = true
	delete(e.byID, s.attempt)
	e.ledger.end(s.entry, end)
	close(s.events)
}

// endAll ends all sequences because the engine stops.
func (e *Engine) endAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.byID {
		e.finish(s, EndKilled)
	}
}

// wakeScheduler wakes the scheduler if it is idle.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxLoadReports limits the history of load reports from which LoadLag selects. A
// history that is more than twice as long is cut by this number of reports.
const maxLoadReports = 4096

// recordLoad appends the current load to the history. The caller holds e.mu.
func (e *Engine) recordLoad() {
	e.loadHistory = append(e.loadHistory, engine.LoadBody{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsedShare: e.cache.usedShare(), MeasuredAt: e.clock.Now(),
	})
	if len(e.loadHistory) > 2*maxLoadReports {
		e.loadHistory = append([]engine.LoadBody(nil), e.loadHistory[maxLoadReports:]...)
	}
}

// load returns the newest load report that is at least LoadLag old, or a report of
// no load if there is none.
func (e *Engine) load() engine.LoadBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	limit := e.clock.Now().Add(-e.opts.LoadLag)
	i := sort.Search(len(e.loadHistory), func(i int) bool { return e.loadHistory[i].MeasuredAt.After(limit) })
	if i == 0 {
		return engine.LoadBody{MeasuredAt: limit}
	}
	return e.loadHistory[i-1]
}
