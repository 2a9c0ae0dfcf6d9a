package measure

import (
	"strconv"
	"time"

	core "github.com/monsooncrank/monsooncrank/pkg/admission"
)

// admission decides when a request may be routed. It calls the experiment back.
type admission interface {
	submit(q *request)
	finish(q *request)
	// setSlots tells the slots of all daemons together.
	setSlots(slots int)
	tick()
}

// passThrough accepts every request at once, as a simple policy does.
type passThrough struct{ experiment *experiment }

func (p passThrough) submit(q *request) { p.experiment.dispatch(q, 0, false) }
func (passThrough) finish(*request)     {}
func (passThrough) setSlots(int)        {}
func (passThrough) tick()               {}

const (
	// reconcileInterval and tickInterval are those of the daemon.
	reconcileInterval = 200 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	// occupancyWeight and optimism are those of the daemon's admitter.
	occupancyWeight = 0.05
	optimism        = 0.5
	// unlimited is a limit that no account reaches: the shares are measured,
	// not the limits.
	unlimited = 1_000_000
)

// accountWeights are the weights of the example configuration.
var accountWeights = []float64{4, 3, 3, 1, 1}

// gate is one daemon's admission core, wired as in the daemon.
type gate struct {
	experiment *experiment
	core       *core.Core
	// perToken is the moving average of the occupancy per requested token.
	perToken time.Duration
	// prefill is the moving average of the time from the slot to the first
	// token.
	prefill  time.Duration
	requests map[string]*request
	admitted map[*request]time.Duration
}

func newGate(x *experiment) *gate {
	g := &gate{
		experiment: x, core: core.NewCore(core.DefaultOptions()),
		requests: make(map[string]*request), admitted: make(map[*request]time.Duration),
	}
	accounts := make(map[string]core.Account)
	for i := range x.operator.AccountShares {
		accounts[strconv.Itoa(i)] = core.Account{Weight: accountWeights[i], MaxInFlight: unlimited, RequestsPerSecond: unlimited}
	}
	g.core.SetDaemons(x.now(), x.operator.Daemons)
	g.core.SetAccounts(x.now(), accounts)
	return g
}

// startBy keeps the target for the first token of interactive requests.
func (g *gate) startBy(q *request) time.Time {
	if !g.experiment.operator.Interactive {
		return time.Time{}
	}
	// A request that starts at once is admitted however long prefills took:
	// without new observations the average would stay high for ever.
	return epoch.Add(q.arrival + max(firstTokenTarget-g.prefill, 0))
}

func (g *gate) submit(q *request) {
	id := strconv.Itoa(q.id)
	g.requests[id] = q
	g.apply(g.core.Submit(g.experiment.now(), core.Request{
		ID: id, Resource: groupName, ClientAccount: strconv.Itoa(q.account), Priority: q.priority,
		Deadline: epoch.Add(q.deadline), ExpectedDuration: g.expected(q), StartBy: g.startBy(q), Deferred: !g.experiment.operator.Interactive,
	}))
}

func (g *gate) expected(q *request) time.Duration {
	return time.Duration(optimism * float64(g.perToken) * float64(q.maxTokens))
}

func (g *gate) finish(q *request) {
	id := strconv.Itoa(q.id)
	g.observe(q)
	delete(g.requests, id)
	delete(g.admitted, q)
	g.apply(g.core.Finish(g.experiment.now(), id))
}

func (g *gate) observe(q *request) {
	perToken := (g.experiment.loop.now - g.admitted[q]) / time.Duration(q.maxTokens)
	if g.perToken == 0 {
		g.perToken = perToken
	}
	g.perToken += time.Duration(occupancyWeight * float64(perToken-g.perToken))
	prefill := q.firstToken - g.admitted[q]
	g.prefill += time.Duration(occupancyWeight * float64(prefill-g.prefill))
}

func (g *gate) setSlots(slots int) {
	g.apply(g.core.SetSlots(g.experiment.now(), groupName, slots))
}

func (g *gate) tick() { g.apply(g.core.Tick(g.experiment.now())) }

// apply carries out the core's decisions. A preempted request is submitted
// again when the others are carried out and goes on from its tokens.
func (g *gate) apply(outcomes []core.Outcome) {
	var preempted []*request
	for _, o := range outcomes {
		q := g.requests[o.ID]
		switch {
		case o.Admitted:
			g.admitted[q] = g.experiment.loop.now
			g.experiment.dispatch(q, q.delivered, false)
		case o.Refused != nil:
			delete(g.requests, o.ID)
			q.refused = true
		case o.Preempted && g.experiment.preempt(q):
			preempted = append(preempted, q)
		}
	}
	for _, q := range preempted {
		g.submit(q)
	}
}

// newAdmission returns the admission of one daemon.
func (x *experiment) newAdmission() admission {
	if x.policy.Admission {
		return newGate(x)
	}
	return passThrough{x}
}

// scheduleAdmission gives the admission of each daemon its slots and its time.
func (x *experiment) scheduleAdmission() {
	if !x.policy.Admission {
		return
	}
	var reconcile, tick func()
	reconcile = func() {
		for _, d := range x.daemons {
			d.admission.setSlots(x.slots())
		}
		x.loop.after(reconcileInterval, reconcile)
	}
	tick = func() {
		for _, d := range x.daemons {
			d.admission.tick()
		}
		x.loop.after(tickInterval, tick)
	}
	x.loop.at(0, reconcile)
	x.loop.at(0, tick)
}

// slots is the sum over the servers that may get new work.
func (x *experiment) slots() int {
	slots := 0
	for _, h := range x.hosts {
		if h.available() {
			slots += h.server.MaxSequences
		}
	}
	return slots
}

// preempt cancels the attempt of a deferred request. It reports whether there
// was one.
func (x *experiment) preempt(q *request) bool {
	for _, a := range x.daemons[q.daemon].streams {
		if a.request == q {
			a.engine.remove(a)
			x.abandon(a)
			return true
		}
	}
	return false
}
