package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/monsooncrank/monsooncrank/pkg/engine"
	"github.com/monsooncrank/monsooncrank/pkg/routing"
)

const (
	// firstTokenTarget and betweenTokensTarget are the latency target of the
	// design page, for 95 in 100.
	firstTokenTarget    = 860 * time.Millisecond
	betweenTokensTarget = 37 * time.Millisecond
	targetShare         = 0.95

	reportInterval = 500 * time.Millisecond
	eventsInterval = time.Second
	// eventLoss is the share of cache events that never arrive.
	eventLoss = 0.05
	// drainTime bounds how long a run goes on after the last arrival.
	drainTime = 10 * time.Minute
)

var epoch = time.Unix(1_800_000_000, 0)

// daemon is one daemon with its own policy state and its own streams.
type daemon struct {
	name      string
	policy    policy
	streams   map[string]*attempt
	admission admission
	// meanOutput is a moving mean of output lengths by priority.
	meanOutput map[int]float64
}

// experiment is one run of a policy in a scenario.
type experiment struct {
	operator *Operator
	scenario *Scenario
	policy   *Policy
	model    engineModel
	random   *rand.Rand
	loop     loop
	hosts    []*host
	byName   map[string]*host
	daemons  []*daemon
	planner  reclaimPlanner
	requests []*request
	attempts int
	result   *runResult
	// computed are the prefixes that some engine has computed.
	computed map[uint64]bool
}

// run measures one policy on a trace at a share of the capacity.
func run(o *Operator, s *Scenario, p *Policy, load float64, seed uint64) *runResult {
	x := &experiment{
		operator: o, scenario: s, policy: p, model: defaultEngineModel,
		random: rand.New(rand.NewPCG(seed, worldStream)), byName: make(map[string]*host),
		result: newRunResult(), computed: make(map[uint64]bool),
	}
	x.planner = newStreamingPlanner(x.model.TransferPerToken, 1/float64(o.Daemons))
	rate := load * o.capacity(x.model) * float64(o.Zones*o.WorkersPerZone)
	x.requests = o.trace(seed, rate, func(account int, at time.Duration) float64 {
		return s.factor(account, float64(at)/float64(o.Horizon))
	})
	x.startDaemons(seed)
	x.startFleet()
	x.scheduleFaults()
	x.scheduleReports()
	x.scheduleAdmission()
	for _, q := range x.requests {
		x.loop.at(q.arrival, func() { x.arrive(q) })
	}
	x.loop.runUntil(o.Horizon)
	x.result.cost = x.cost(o.WarmUp, o.Horizon)
	x.drain()
	x.summarise()
	return x.result
}

const (
	worldStream  = 2
	daemonStream = 100
)

func (x *experiment) now() time.Time { return epoch.Add(x.loop.now) }

func (x *experiment) startDaemons(seed uint64) {
	for i := range x.operator.Daemons {
		name := fmt.Sprintf("daemon-%d", i)
		random := rand.New(rand.NewPCG(seed, daemonStream+uint64(i)))
		x.daemons = append(x.daemons, &daemon{
			name: name, policy: x.policy.make(name, zoneName(i%x.operator.Zones), random),
			streams: make(map[string]*attempt), meanOutput: make(map[int]float64),
			admission: x.newAdmission(),
		})
	}
}

// drain runs on until all requests have ended.
func (x *experiment) drain() {
	for end := x.operator.Horizon + drainTime; x.loop.now < end; {
		x.loop.runUntil(x.loop.now + time.Second)
		if !slices.ContainsFunc(x.requests, func(q *request) bool { return !q.done && !q.refused }) {
			return
		}
	}
}

// scheduleReports delivers load reports and cache events with their lag.
func (x *experiment) scheduleReports() {
	var reports, events func()
	reports = func() {
		for _, h := range x.hosts {
			if h.up && h.stopped < 0 {
				x.reportLoad(h, h.engine.load(x.now()))
			}
		}
		x.loop.after(reportInterval, reports)
	}
	events = func() {
		for _, h := range x.hosts {
			if h.up && h.stopped < 0 {
				x.reportEvents(h, h.engine.eventsBetween(x.loop.now-eventsInterval, x.loop.now))
			}
		}
		x.loop.after(eventsInterval, events)
	}
	reports()
	x.loop.after(eventsInterval, events)
}

func (x *experiment) reportLoad(h *host, load engine.Load) {
	x.loop.after(x.scenario.ReportLag, func() {
		for _, d := range x.daemons {
			d.policy.loadReported(x.now(), h.server.Name, load)
		}
	})
}

func (x *experiment) reportEvents(h *host, events []engine.CacheEvent) {
	events = slices.DeleteFunc(events, func(engine.CacheEvent) bool { return x.random.Float64() < eventLoss })
	x.loop.after(x.scenario.ReportLag, func() {
		for _, d := range x.daemons {
			d.policy.cacheReported(x.now(), h.server.Name, events)
		}
	})
}

func (x *experiment) arrive(q *request) {
	x.daemons[q.daemon].admission.submit(q)
}

// dispatch sends an attempt to the server that the daemon's policy picks. It
// starts from the given number of emitted tokens; an imported attempt brings
// its KV cache along.
func (x *experiment) dispatch(q *request, resumed int, imported bool) {
	d := x.daemons[q.daemon]
	query := &routing.Query{
		Group: groupName, Prefixes: q.prefixes, PromptTokens: q.promptTokens,
		ResumeTokens: resumed, ExcludeNames: q.excluded,
	}
	if imported {
		query.Prefixes, query.PromptTokens, query.ResumeTokens = nil, 0, 0
		if x.policy.Recovery == RecoveryRestart {
			panic("a baseline does not migrate")
		}
	}
	name, err := d.policy.pick(x.now(), query)
	if err != nil {
		q.excluded = nil
		x.loop.after(time.Second, func() { x.dispatch(q, resumed, imported) })
		return
	}
	x.attempts++
	a := &attempt{id: strconv.Itoa(x.attempts), request: q, resumed: resumed, emitted: resumed, imported: imported}
	q.attempts++
	d.streams[a.id] = a
	d.policy.started(x.now(), a.id, name, query)
	x.byName[name].engine.submit(a)
}

// token takes one token of an attempt.
func (x *experiment) token(a *attempt) {
	q := a.request
	if a.emitted == a.resumed+1 {
		x.daemons[q.daemon].policy.firstToken(x.now(), a.id)
		x.prefillEnded(a)
	}
	if a.emitted <= q.delivered {
		x.result.recomputedReclaim(x, 1)
		return
	}
	q.delivered++
	if q.delivered == 1 {
		q.firstToken = x.loop.now
	} else {
		x.result.gap(x, q, x.loop.now-q.lastToken)
	}
	q.lastToken = x.loop.now
}

// finished takes the end of an answer.
func (x *experiment) finished(a *attempt) {
	q := a.request
	d := x.daemons[q.daemon]
	delete(d.streams, a.id)
	x.computed[q.answer.Hash] = true
	d.policy.finished(x.now(), a.id, routing.Usage{
		PromptTokens: q.promptTokens, CachedTokens: a.cached, Answer: q.answer,
	})
	q.done, q.ended = true, x.loop.now
	d.admission.finish(q)
	mean := d.meanOutput[q.priority]
	if mean == 0 {
		mean = float64(q.outputTokens)
	}
	d.meanOutput[q.priority] = mean + (float64(q.outputTokens)-mean)*outputStep
}

// outputStep is the weight of one answer in the mean output length.
const outputStep = 0.05

// broken takes the end of an attempt whose engine died.
func (x *experiment) broken(a *attempt) {
	q := a.request
	x.abandon(a)
	q.excluded = []string{a.engine.name}
	if x.policy.Recovery == RecoveryResume {
		x.dispatch(q, q.delivered, false)
		return
	}
	x.dispatch(q, 0, false)
}

// abandon ends an attempt without an answer.
func (x *experiment) abandon(a *attempt) {
	d := x.daemons[a.request.daemon]
	delete(d.streams, a.id)
	d.policy.failed(x.now(), a.id)
	if a.running && a.emitted == a.resumed && !a.imported {
		// The part of the prefill that was computed is lost.
		x.result.recomputedReclaim(x, a.prefilled)
	}
}

// planReclaim decides about a daemon's streams on a leaving server.
func (x *experiment) planReclaim(d *daemon, h *host, remaining time.Duration) {
	var streams []reclaimStream
	for _, a := range d.streams {
		if a.engine == h.engine {
			expected := max(int(d.meanOutput[a.request.priority])-a.emitted, 1)
			streams = append(streams, reclaimStream{
				attempt: a, tokens: a.request.promptTokens + a.emitted, remaining: expected,
			})
		}
	}
	slices.SortFunc(streams, func(a, b reclaimStream) int { return a.attempt.request.id - b.attempt.request.id })
	for _, decision := range x.planner.plan(remaining, streams) {
		a := decision.stream.attempt
		x.result.actions[decision.action]++
		switch decision.action {
		case actionMigrate:
			x.loop.after(decision.at, func() { x.migrate(a) })
		case actionResume:
			x.loop.after(decision.at, func() { x.resume(a) })
		}
	}
}

// migrate exports an attempt's KV cache and goes on with it on another server.
// An attempt that has not emitted a token has no KV cache worth moving.
func (x *experiment) migrate(a *attempt) {
	if a.ended {
		return
	}
	if a.emitted == a.resumed {
		x.resume(a)
		return
	}
	a.engine.export(a, func() {
		x.abandon(a)
		a.request.excluded = []string{a.engine.name}
		x.dispatch(a.request, a.emitted, true)
	})
}

// resume cancels an attempt and goes on from the prompt and the emitted tokens
// on another server.
func (x *experiment) resume(a *attempt) {
	if a.ended {
		return
	}
	a.engine.remove(a)
	x.abandon(a)
	a.request.excluded = []string{a.engine.name}
	x.dispatch(a.request, a.request.delivered, false)
}
