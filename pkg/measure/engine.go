package measure

import (
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// engineModel is the cost model of a fake engine. An iteration takes Base plus
// PerSequence for each decoding request plus PerPrefillToken for each token of
// the prefill chunk. TransferPerToken is the time to export the KV cache of one
// token.
type engineModel struct {
	Base             time.Duration `json:"base_nanoseconds"`
	PerSequence      time.Duration `json:"per_sequence_nanoseconds"`
	PerPrefillToken  time.Duration `json:"per_prefill_token_nanoseconds"`
	ChunkTokens      int           `json:"chunk_tokens"`
	MaxSequences     int           `json:"sequences"`
	MemoryTokens     int           `json:"memory_tokens"`
	TransferPerToken time.Duration `json:"transfer_per_token_nanoseconds"`
}

var defaultEngineModel = engineModel{
	Base:             9 * time.Millisecond,
	PerSequence:      250 * time.Microsecond,
	PerPrefillToken:  60 * time.Microsecond,
	ChunkTokens:      256,
	MaxSequences:     48,
	MemoryTokens:     160_000,
	TransferPerToken: 100 * time.Microsecond,
}

// timedEvent is a cache event with the virtual time at which it occurred.
type timedEvent struct {
	at    time.Duration
	event engine.CacheEvent
}

// attempt is one execution of a request on a fake engine.
type attempt struct {
	id      string
	request *request
	engine  *fakeEngine
	// resumedTokens is the number of output tokens of earlier attempts that the
	// attempt continues from.
	resumedTokens int
	// imported is set if the attempt starts with a migrated KV cache and therefore
	// needs no prefill.
	imported bool
	// prefillTokens is the number of tokens to prefill, which are those that the
	// prefix cache does not hold. prefilledTokens is the part that is done.
	prefillTokens   int
	prefilledTokens int
	cachedTokens    int
	// emittedTokens includes resumedTokens.
	emittedTokens int
	running       bool
	exporting     bool
	ended         bool
	order         uint64
}

// heldTokens returns the number of tokens for which the attempt itself occupies
// memory, without those in the prefix cache.
func (a *attempt) heldTokens() int { return a.prefillTokens + a.emittedTokens - a.resumedTokens }

// observer receives the events that engines report to daemons.
type observer interface {
	tokenEmitted(a *attempt)
	finished(a *attempt)
	attemptFailed(a *attempt)
	// prefillStarted is called when an attempt that needs a prefill enters the
	// batch.
	prefillStarted(a *attempt)
}

// fakeEngine simulates an engine with continuous batching on the virtual clock.
type fakeEngine struct {
	name          string
	model         engineModel
	loop          *loop
	observer      observer
	waiting       []*attempt
	running       []*attempt
	runningTokens int
	cache         *prefixCache
	// busy is set while an iteration runs.
	busy      bool
	stopped   bool
	lastOrder uint64
	// linkFreeAt is the time at which the last scheduled KV cache export ends.
	linkFreeAt time.Duration
}

func newFakeEngine(name string, model engineModel, l *loop, o observer) *fakeEngine {
	return &fakeEngine{name: name, model: model, loop: l, observer: o, cache: newPrefixCache(model.MemoryTokens)}
}

// submit queues an attempt behind all attempts of the same or a higher priority.
// A lower number is a higher priority.
func (e *fakeEngine) submit(a *attempt) {
	if e.stopped {
		e.loop.after(0, func() { e.observer.attemptFailed(a) })
		return
	}
	e.lastOrder++
	a.engine, a.order = e, e.lastOrder
	i, _ := slices.BinarySearchFunc(e.waiting, a, func(x, y *attempt) int {
		if x.request.priority != y.request.priority {
			return x.request.priority - y.request.priority
		}
		return int(x.order) - int(y.order)
	})
	e.waiting = slices.Insert(e.waiting, i, a)
	e.startIfIdle()
}

// startIfIdle starts an iteration if none is running.
func (e *fakeEngine) startIfIdle() {
	if !e.busy && !e.stopped {
		e.startIteration()
	}
}

// startIteration admits waiting attempts and schedules the end of the next
// iteration of the batch. If there is no work, the engine becomes idle.
func (e *fakeEngine) startIteration() {
	e.admit()
	chunk, decoding := e.prefill(), 0
	for _, a := range e.running {
		if a.prefilledTokens == a.prefillTokens && !a.exporting {
			decoding++
		}
	}
	if chunk == 0 && decoding == 0 {
		e.busy = false
		return
	}
	e.busy = true
	duration := e.model.Base + time.Duration(decoding)*e.model.PerSequence + time.Duration(chunk)*e.model.PerPrefillToken
	e.loop.after(duration, e.finishIteration)
}

// admit moves waiting attempts into the batch while it has fewer than
// MaxSequences attempts and their tokens fit into the memory. A single attempt
// is admitted whatever its size.
func (e *fakeEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxSequences {
		a := e.waiting[0]
		needed := a.request.promptTokens + a.resumedTokens
		if len(e.running) > 0 && e.runningTokens+needed > e.model.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		a.running = true
		if a.imported {
			a.emittedTokens = a.resumedTokens
			a.prefillTokens = a.request.promptTokens + a.resumedTokens
			a.prefilledTokens = a.prefillTokens
		} else {
			a.cachedTokens = e.cache.lookup(a.request.prefixes)
			a.prefillTokens = max(a.request.promptTokens-a.cachedTokens, 0) + a.resumedTokens
			a.emittedTokens = a.resumedTokens
			e.observer.prefillStarted(a)
		}
		e.running = append(e.running, a)
		e.runningTokens += a.heldTokens()
		e.cache.evict(e)
	}
}

// prefill distributes the tokens of the iteration's prefill chunk over the
// attempts in batch order and returns the number of tokens used.
func (e *fakeEngine) prefill() int {
	remaining := e.model.ChunkTokens
	for _, a := range e.running {
		n := min(remaining, a.prefillTokens-a.prefilledTokens)
		a.prefilledTokens += n
		remaining -= n
		if remaining == 0 {
			break
		}
	}
	return e.model.ChunkTokens - remaining
}

// finishIteration ends an iteration: each attempt whose prefill is done emits a
// token. It then starts the next iteration.
func (e *fakeEngine) finishIteration() {
	if e.stopped {
		return
	}
	batch := slices.Clone(e.running)
	for _, a := range batch {
		if a.ended || a.exporting || a.prefilledTokens < a.prefillTokens {
			continue
		}
		if a.emittedTokens == a.resumedTokens && !a.imported {
			e.cache.store(e, a.request.prefixes)
		}
		a.emittedTokens++
		e.runningTokens++
		e.observer.tokenEmitted(a)
		if a.emittedTokens == a.request.outputTokens {
			e.remove(a)
			e.cache.store(e, append(slices.Clone(a.request.prefixes), a.request.answer))
			e.observer.finished(a)
		}
	}
	e.startIteration()
}

// remove ends an attempt and removes it from the batch or the queue.
func (e *fakeEngine) remove(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.running {
		e.runningTokens -= a.heldTokens()
		e.running = slices.DeleteFunc(e.running, func(x *attempt) bool { return x == a })
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(x *attempt) bool { return x == a })
}

// export pauses an attempt and calls done when its KV cache has been
// transferred, unless the engine stops or the attempt ends before that. Exports
// run one after the other over a single link.
func (e *fakeEngine) export(a *attempt, done func()) {
	a.exporting = true
	tokens := a.request.promptTokens + a.emittedTokens
	e.linkFreeAt = max(e.linkFreeAt, e.loop.now) + time.Duration(tokens)*e.model.TransferPerToken
	e.loop.at(e.linkFreeAt, func() {
		if e.stopped || a.ended {
			return
		}
		e.remove(a)
		done()
	})
}

// kill stops the engine and reports all its attempts as failed.
func (e *fakeEngine) kill() {
	if e.stopped {
		return
	}
	e.stopped = true
	for _, a := range append(slices.Clone(e.running), e.waiting...) {
		a.ended = true
		e.observer.attemptFailed(a)
	}
	e.running, e.waiting = nil, nil
}

// load returns the load report of the engine with the measurement time at.
func (e *fakeEngine) load(at time.Time) engine.Load {
	return engine.Load{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsedShare: float64(e.runningTokens+e.cache.usedTokens) / float64(e.model.MemoryTokens), MeasuredAt: at,
	}
}

// eventsBetween returns the cache events from from (inclusive) to to (exclusive).
func (e *fakeEngine) eventsBetween(from, to time.Duration) []engine.CacheEvent {
	first, _ := slices.BinarySearchFunc(e.cache.events, from, func(t timedEvent, at time.Duration) int { return int(t.at - at) })
	var events []engine.CacheEvent
	for _, t := range e.cache.events[first:] {
		if t.at >= to {
			break
		}
		events = append(events, t.event)
	}
	return events
}
