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
	// firstTokenTarget and betweenTokensTarget are the latency targets of the design
	// page. A share of targetShareInTime of the requests must meet them.
	firstTokenTarget    = 860 * time.Millisecond
	betweenTokensTarget = 37 * time.Millisecond
	targetShareInTime   = 0.95

	reportInterval = 500 * time.Millisecond
	eventsInterval = time.Second
	// eventLoss is the share of cache events that are lost on the way to the daemons.
	eventLoss = 0.05
	// maxDrainTime is the longest time that a run continues after the horizon.
	maxDrainTime = 10 * time.Minute
)

// epoch is the wall-clock time at the start of the virtual clock.
var epoch = time.Unix(1_800_000_000, 0)

// daemon is a simulated daemon with its own policy state and its own streams.
type daemon struct {
	name      string
	policy    policy
	streams   map[string]*attempt
	admission admission
	// meanOutputTokens is the moving average of output lengths by priority.
	meanOutputTokens map[int]float64
}

// experiment holds the state of one run of a policy in a scenario.
type experiment struct {
	operator    *Operator
	scenario    *Scenario
	policy      *Policy
	model       engineModel
	random      *rand.Rand
	loop        loop
	hosts       []*host
	hostsByName map[string]*host
	daemons     []*daemon
	planner     reclaimPlanner
	requests    []*request
	attempts    int
	result      *runResult
	// computedPrefixes is the set of hashes of the prefixes that any engine has
	// computed.
	computedPrefixes map[uint64]bool
}

// run measures one policy on one trace. load is the request rate as a share of the
// capacity of all engines.
func run(o *Operator, s *Scenario, p *Policy, load float64, seed uint64) *runResult {
	x := &experiment{
		operator: o, scenario: s, policy: p, model: defaultEngineModel,
		random: rand.New(rand.NewPCG(seed, eventLossRandomStream)), hostsByName: make(map[string]*host),
		result: newRunResult(), computedPrefixes: make(map[uint64]bool),
	}
	x.planner = newStreamingPlanner(x.model.TransferPerToken, 1/float64(o.Daemons))
	rate := load * o.engineCapacity(x.model) * float64(o.Zones*o.WorkersPerZone)
	x.requests = o.trace(seed, rate, func(account int, at time.Duration) float64 {
		return s.rateFactor(account, float64(at)/float64(o.Horizon))
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

// eventLossRandomStream and firstDaemonRandomStream select random number streams.
// Daemon i uses the stream firstDaemonRandomStream+i.
const (
	eventLossRandomStream   = 2
	firstDaemonRandomStream = 100
)

func (x *experiment) now() time.Time { return epoch.Add(x.loop.now) }

func (x *experiment) startDaemons(seed uint64) {
	for i := range x.operator.Daemons {
		name := fmt.Sprintf("daemon-%d", i)
		random := rand.New(rand.NewPCG(seed, firstDaemonRandomStream+uint64(i)))
		x.daemons = append(x.daemons, &daemon{
			name: name, policy: x.policy.make(name, zoneName(i%x.operator.Zones), random),
			streams: make(map[string]*attempt), meanOutputTokens: make(map[int]float64),
			admission: x.newAdmission(),
		})
	}
}

// drain continues the run until all requests have ended or maxDrainTime is over.
func (x *experiment) drain() {
	for end := x.operator.Horizon + maxDrainTime; x.loop.now < end; {
		x.loop.runUntil(x.loop.now + time.Second)
		if !slices.ContainsFunc(x.requests, func(q *request) bool { return !q.done && !q.refused }) {
			return
		}
	}
}

// scheduleReports schedules the periodic load reports and cache events.
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

// arrive submits a request to the admission of its daemon.
func (x *experiment) arrive(q *request) {
	x.daemons[q.daemon].admission.submit(q)
}

// dispatch starts an attempt on the server that the daemon's policy picks. The
// attempt continues from resumedTokens output tokens; an imported attempt starts
// with a migrated KV cache. If there is no server, it retries after a second
// without excluding servers.
func (x *experiment) dispatch(q *request, resumedTokens int, imported bool) {
	d := x.daemons[q.daemon]
	query := &routing.Query{
		Group: groupName, Prefixes: q.prefixes, PromptTokens: q.promptTokens,
		ResumeTokens: resumedTokens, ExcludeNames: q.excluded,
	}
	if imported {
		query.Prefixes, query.PromptTokens, query.ResumeTokens = nil, 0, 0
		if x.policy.Recovery == RecoveryRestart {
			panic("baseline policies do not migrate streams")
		}
	}
	name, err := d.policy.pick(x.now(), query)
	if err != nil {
		q.excluded = nil
		x.loop.after(time.Second, func() { x.dispatch(q, resumedTokens, imported) })
		return
	}
	x.attempts++
	a := &attempt{id: strconv.Itoa(x.attempts), request: q, resumedTokens: resumedTokens, emittedTokens: resumedTokens, imported: imported}
	q.attempts++
	d.streams[a.id] = a
	d.policy.started(x.now(), a.id, name, query)
	x.hostsByName[name].engine.submit(a)
}

// tokenEmitted delivers a token to the caller, or counts it as recomputed if it
// was delivered before.
func (x *experiment) tokenEmitted(a *attempt) {
	q := a.request
	if a.emittedTokens == a.resumedTokens+1 {
		x.daemons[q.daemon].policy.firstToken(x.now(), a.id)
		x.prefillEnded(a)
	}
	if a.emittedTokens <= q.deliveredTokens {
		x.result.addRecomputedAfterLoss(x, 1)
		return
	}
	q.deliveredTokens++
	if q.deliveredTokens == 1 {
		q.firstToken = x.loop.now
	} else {
		x.result.addTokenInterval(x, q, x.loop.now-q.lastToken)
	}
	q.lastToken = x.loop.now
}

// finished completes the request of an attempt whose answer is complete.
func (x *experiment) finished(a *attempt) {
	q := a.request
	d := x.daemons[q.daemon]
	delete(d.streams, a.id)
	x.computedPrefixes[q.answer.Hash] = true
	d.policy.finished(x.now(), a.id, routing.Usage{
		PromptTokens: q.promptTokens, CachedTokens: a.cachedTokens, Answer: q.answer,
	})
	q.done, q.endedAt = true, x.loop.now
	d.admission.finish(q)
	mean := d.meanOutputTokens[q.priority]
	if mean == 0 {
		mean = float64(q.outputTokens)
	}
	d.meanOutputTokens[q.priority] = mean + (float64(q.outputTokens)-mean)*outputMeanWeight
}

// outputMeanWeight is the weight of a new answer in the moving average of output
// lengths.
const outputMeanWeight = 0.05

// attemptFailed dispatches a request again after its engine has failed.
func (x *experiment) attemptFailed(a *attempt) {
	q := a.request
	x.abandon(a)
	q.excluded = []string{a.engine.name}
	if x.policy.Recovery == RecoveryResume {
		x.dispatch(q, q.deliveredTokens, false)
		return
	}
	x.dispatch(q, 0, false)
}

// abandon removes an attempt from its daemon and reports it to the policy as
// failed.
func (x *experiment) abandon(a *attempt) {
	d := x.daemons[a.request.daemon]
	delete(d.streams, a.id)
	d.policy.failed(x.now(), a.id)
	if a.running && a.emittedTokens == a.resumedTokens && !a.imported {
		// The tokens that were already prefilled are lost.
		x.result.addRecomputedAfterLoss(x, a.prefilledTokens)
	}
}

// planReclaim plans and schedules the actions for a daemon's streams on a host
// that is reclaimed after the remaining time.
func (x *experiment) planReclaim(d *daemon, h *host, remaining time.Duration) {
	var streams []reclaimStream
	for _, a := range d.streams {
		if a.engine == h.engine {
			expected := max(int(d.meanOutputTokens[a.request.priority])-a.emittedTokens, 1)
			streams = append(streams, reclaimStream{
				attempt: a, tokens: a.request.promptTokens + a.emittedTokens, remaining: expected,
			})
		}
	}
	slices.SortFunc(streams, func(a, b reclaimStream) int { return a.attempt.request.id - b.attempt.request.id })
	for _, decision := range x.planner.plan(remaining, streams) {
		a := decision.stream.attempt
		x.result.actions[decision.action]++
		switch decision.action {
		case actionMigrate:
			x.loop.after(decision.delay, func() { x.migrate(a) })
		case actionResume:
			x.loop.after(decision.delay, func() { x.resume(a) })
		}
	}
}

// migrate exports an attempt's KV cache and continues with it on another server.
// An attempt that has not emitted a token yet has no complete KV cache to move and
// is resumed instead.
func (x *experiment) migrate(a *attempt) {
	if a.ended {
		return
	}
	if a.emittedTokens == a.resumedTokens {
		x.resume(a)
		return
	}
	a.engine.export(a, func() {
		x.abandon(a)
		a.request.excluded = []string{a.engine.name}
		x.dispatch(a.request, a.emittedTokens, true)
	})
}

// resume cancels an attempt and continues from the prompt and the emitted tokens
// on another server.
func (x *experiment) resume(a *attempt) {
	if a.ended {
		return
	}
	a.engine.remove(a)
	x.abandon(a)
	a.request.excluded = []string{a.engine.name}
	x.dispatch(a.request, a.request.deliveredTokens, false)
}
