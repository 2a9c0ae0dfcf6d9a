package measure

import (
	"slices"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
)

// engineModel is the cost model of a fake engine. An iteration takes Base plus
// PerSequence for each decoding request plus PerPrefillToken for each token of
// the prefill chunk.
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

type timedEvent struct {
	at    time.Duration
	event engine.CacheEvent
}

// attempt is one attempt of a request on a fake engine.
type attempt struct {
	id      string
	request *request
	engine  *fakeEngine
	// resumed is the number of emitted tokens that the attempt starts from.
	resumed  int
	imported bool
	// toPrefill and prefilled count the tokens that the cache does not serve.
	toPrefill int
	prefilled int
	cached    int
	emitted   int
	running   bool
	exporting bool
	ended     bool
	order     uint64
}

// context returns the tokens that the attempt holds in memory besides those in
// the prefix cache.
func (a *attempt) context() int { return a.toPrefill + a.emitted - a.resumed }

// observer takes what engines report to daemons.
type observer interface {
	token(a *attempt)
	finished(a *attempt)
	broken(a *attempt)
	// prefillStarted is told when an attempt enters the batch.
	prefillStarted(a *attempt)
}

// fakeEngine batches continuously on the virtual clock.
type fakeEngine struct {
	name          string
	model         engineModel
	loop          *loop
	observer      observer
	waiting       []*attempt
	running       []*attempt
	runningTokens int
	cache         *prefixCache
	busy          bool
	dead          bool
	nextOrder     uint64
	// transferFree is when the export link is free again.
	transferFree time.Duration
}

func newFakeEngine(name string, model engineModel, l *loop, o observer) *fakeEngine {
	return &fakeEngine{name: name, model: model, loop: l, observer: o, cache: newPrefixCache(model.MemoryTokens)}
}

// submit queues an attempt behind those of the same or a better priority.
func (e *fakeEngine) submit(a *attempt) {
	if e.dead {
		e.loop.after(0, func() { e.observer.broken(a) })
		return
	}
	e.nextOrder++
	a.engine, a.order = e, e.nextOrder
	i, _ := slices.BinarySearchFunc(e.waiting, a, func(x, y *attempt) int {
		if x.request.priority != y.request.priority {
			return x.request.priority - y.request.priority
		}
		return int(x.order) - int(y.order)
	})
	e.waiting = slices.Insert(e.waiting, i, a)
	e.wake()
}

func (e *fakeEngine) wake() {
	if !e.busy && !e.dead {
		e.iterate()
	}
}

// iterate runs one iteration of the batch.
func (e *fakeEngine) iterate() {
	e.admit()
	chunk, decoding := e.prefill(), 0
	for _, a := range e.running {
		if a.prefilled == a.toPrefill && !a.exporting {
			decoding++
		}
	}
	if chunk == 0 && decoding == 0 {
		e.busy = false
		return
	}
	e.busy = true
	took := e.model.Base + time.Duration(decoding)*e.model.PerSequence + time.Duration(chunk)*e.model.PerPrefillToken
	e.loop.after(took, e.complete)
}

// admit moves waiting attempts into the batch while there is room.
func (e *fakeEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxSequences {
		a := e.waiting[0]
		needed := a.request.promptTokens + a.resumed
		if len(e.running) > 0 && e.runningTokens+needed > e.model.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		a.running = true
		if a.imported {
			a.emitted = a.resumed
			a.toPrefill = a.request.promptTokens + a.resumed
			a.prefilled = a.toPrefill
		} else {
			a.cached = e.cache.hit(a.request.prefixes)
			a.toPrefill = max(a.request.promptTokens-a.cached, 0) + a.resumed
			a.emitted = a.resumed
			e.observer.prefillStarted(a)
		}
		e.running = append(e.running, a)
		e.runningTokens += a.context()
		e.cache.evict(e)
	}
}

// prefill spends the iteration's chunk on the attempts in their order.
func (e *fakeEngine) prefill() int {
	left := e.model.ChunkTokens
	for _, a := range e.running {
		n := min(left, a.toPrefill-a.prefilled)
		a.prefilled += n
		left -= n
		if left == 0 {
			break
		}
	}
	return e.model.ChunkTokens - left
}

// complete ends an iteration: each attempt whose prefill is done emits a token.
func (e *fakeEngine) complete() {
	if e.dead {
		return
	}
	batch := slices.Clone(e.running)
	for _, a := range batch {
		if a.ended || a.exporting || a.prefilled < a.toPrefill {
			continue
		}
		if a.emitted == a.resumed && !a.imported {
			e.cache.store(e, a.request.prefixes)
		}
		a.emitted++
		e.runningTokens++
		e.observer.token(a)
		if a.emitted == a.request.outputTokens {
			e.remove(a)
			e.cache.store(e, append(slices.Clone(a.request.prefixes), a.request.answer))
			e.observer.finished(a)
		}
	}
	e.iterate()
}

// remove takes an attempt off the engine.
func (e *fakeEngine) remove(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.running {
		e.runningTokens -= a.context()
		e.running = slices.DeleteFunc(e.running, func(x *attempt) bool { return x == a })
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(x *attempt) bool { return x == a })
}

// export pauses an attempt and calls done when its KV cache has been
// transferred, unless the engine dies before. Exports share one link.
func (e *fakeEngine) export(a *attempt, done func()) {
	a.exporting = true
	tokens := a.request.promptTokens + a.emitted
	e.transferFree = max(e.transferFree, e.loop.now) + time.Duration(tokens)*e.model.TransferPerToken
	e.loop.at(e.transferFree, func() {
		if e.dead || a.ended {
			return
		}
		e.remove(a)
		done()
	})
}

// kill stops the engine; its attempts break.
func (e *fakeEngine) kill() {
	if e.dead {
		return
	}
	e.dead = true
	for _, a := range append(slices.Clone(e.running), e.waiting...) {
		a.ended = true
		e.observer.broken(a)
	}
	e.running, e.waiting = nil, nil
}

func (e *fakeEngine) load(at time.Time) engine.Load {
	return engine.Load{
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsedShare: float64(e.runningTokens+e.cache.used) / float64(e.model.MemoryTokens), MeasuredAt: at,
	}
}

// eventsBetween returns the cache events of a time span.
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
