package measure

import (
	"strconv"
	"time"

	core "github.com/monsooncrank/monsooncrank/pkg/admission"
)

// admission decides when a request is dispatched. It then calls
// experiment.dispatch.
type admission interface {
	submit(q *request)
	finish(q *request)
	// setSlots sets the total number of slots that all daemons share.
	setSlots(slots int)
	tick()
}

// passThrough dispatches every request immediately. It serves policies without
// admission control, such as the baselines.
type passThrough struct{ experiment *experiment }

func (p passThrough) submit(q *request) { p.experiment.dispatch(q, 0, false) }
func (passThrough) finish(*request)     {}
func (passThrough) setSlots(int)        {}
func (passThrough) tick()               {}

const (
	// reconcileInterval and tickInterval have the same values as in the daemon.
	reconcileInterval = 200 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	// averageWeight and minExpectedFraction have the same values as in the daemon's
	// admitter.
	averageWeight       = 0.05
	minExpectedFraction = 0.5
	// unlimitedRequests is a limit that no account reaches, because the experiments
	// measure the shares of the accounts and not their limits.
	unlimitedRequests = 1_000_000
)

// accountWeights are the weights of the accounts in the example configuration.
var accountWeights = []float64{4, 3, 3, 1, 1}

// coreAdmission runs the production admission core of one daemon with the same
// inputs as in the daemon.
type coreAdmission struct {
	experiment *experiment
	core       *core.Core
	// perToken is the moving average of the time that a request occupies its slot,
	// per requested token.
	perToken time.Duration
	// prefillTime is the moving average of the time from the assignment of a slot
	// to the first token.
	prefillTime time.Duration
	requests    map[string]*request
	admittedAt  map[*request]time.Duration
}

func newCoreAdmission(x *experiment) *coreAdmission {
	a := &coreAdmission{
		experiment: x, core: core.NewCore(core.DefaultOptions()),
		requests: make(map[string]*request), admittedAt: make(map[*request]time.Duration),
	}
	accounts := make(map[string]core.Account)
	for i := range x.operator.AccountShares {
		accounts[strconv.Itoa(i)] = core.Account{Weight: accountWeights[i], MaxInFlight: unlimitedRequests, RequestsPerSecond: unlimitedRequests}
	}
	a.core.SetDaemons(x.now(), x.operator.Daemons)
	a.core.SetAccounts(x.now(), accounts)
	return a
}

// startBy returns the latest start time at which an interactive request can meet
// the target for the first token, or zero for deferred requests.
func (a *coreAdmission) startBy(q *request) time.Time {
	if !a.experiment.operator.Interactive {
		return time.Time{}
	}
	// The start time is never before the arrival, so a request that can start
	// immediately is always admitted: without new observations a high average
	// prefill time would never come down.
	return epoch.Add(q.arrival + max(firstTokenTarget-a.prefillTime, 0))
}

func (a *coreAdmission) submit(q *request) {
	id := strconv.Itoa(q.id)
	a.requests[id] = q
	a.apply(a.core.Submit(a.experiment.now(), core.Request{
		ID: id, Resource: groupName, ClientAccount: strconv.Itoa(q.account), Priority: q.priority,
		Deadline: epoch.Add(q.deadline), ExpectedDuration: a.expectedDuration(q), StartBy: a.startBy(q), Deferred: !a.experiment.operator.Interactive,
	}))
}

// expectedDuration returns the shortest time for which the request is expected to
// occupy its slot.
func (a *coreAdmission) expectedDuration(q *request) time.Duration {
	return time.Duration(minExpectedFraction * float64(a.perToken) * float64(q.maxTokens))
}

func (a *coreAdmission) finish(q *request) {
	id := strconv.Itoa(q.id)
	a.updateAverages(q)
	delete(a.requests, id)
	delete(a.admittedAt, q)
	a.apply(a.core.Finish(a.experiment.now(), id))
}

// updateAverages adds a finished request to the moving averages.
func (a *coreAdmission) updateAverages(q *request) {
	perToken := (a.experiment.loop.now - a.admittedAt[q]) / time.Duration(q.maxTokens)
	if a.perToken == 0 {
		a.perToken = perToken
	}
	a.perToken += time.Duration(averageWeight * float64(perToken-a.perToken))
	prefillTime := q.firstToken - a.admittedAt[q]
	a.prefillTime += time.Duration(averageWeight * float64(prefillTime-a.prefillTime))
}

func (a *coreAdmission) setSlots(slots int) {
	a.apply(a.core.SetSlots(a.experiment.now(), groupName, slots))
}

func (a *coreAdmission) tick() { a.apply(a.core.Tick(a.experiment.now())) }

// apply carries out the decisions of the admission core. Preempted requests are
// submitted again after all other decisions have been carried out; they resume
// from the tokens that were already delivered.
func (a *coreAdmission) apply(outcomes []core.Outcome) {
	var preempted []*request
	for _, o := range outcomes {
		q := a.requests[o.ID]
		switch {
		case o.Admitted:
			a.admittedAt[q] = a.experiment.loop.now
			a.experiment.dispatch(q, q.deliveredTokens, false)
		case o.Refused != nil:
			delete(a.requests, o.ID)
			q.refused = true
		case o.Preempted && a.experiment.preempt(q):
			preempted = append(preempted, q)
		}
	}
	for _, q := range preempted {
		a.submit(q)
	}
}

// newAdmission returns the admission of one daemon according to the policy.
func (x *experiment) newAdmission() admission {
	if x.policy.Admission {
		return newCoreAdmission(x)
	}
	return passThrough{x}
}

// scheduleAdmission schedules the periodic slot updates and ticks of the admission
// of each daemon.
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

// slots returns the number of sequences that all available servers can run
// concurrently.
func (x *experiment) slots() int {
	slots := 0
	for _, h := range x.hosts {
		if h.available() {
			slots += h.server.MaxSequences
		}
	}
	return slots
}

// preempt cancels the attempt of a deferred request. It reports whether
// there was one.
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
