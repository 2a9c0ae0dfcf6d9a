package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// smallShare is the fraction of the permitted share that a version gets until its
	// traffic is shifted. Most of the rest is for the time from the shift to the deadline.
	smallShare = 0.3
	// usableShare is the fraction of the permitted requests that is planned for. The rest
	// covers requests under way and a rate that rises.
	usableShare = 0.9
	// rateMargin is the factor by which the rate of requests may rise during the shift.
	rateMargin = 1.25
	// minServers is the least number of servers that get the small share, if there are as
	// many: with one, a bad server cannot be told from a bad version.
	minServers = 3
	// directiveValidity is how long a daemon applies a directive without a further one. It
	// is longer than the time in which every daemon hears of the decider twice.
	directiveValidity = 2500 * time.Millisecond
	// announcement is how long before the shift all daemons are told of it. It is longer
	// than directives take to reach every daemon.
	announcement = 1500 * time.Millisecond
	// maxShift is the longest time from the shift to the deadline. It is longer than
	// requests in progress usually last.
	maxShift = 4 * time.Second
	// lateShift is the time for the shift of an order whose deadline has passed, and for how
	// long a shift goes on after the deadline: if the decider fails then, another one can
	// still complete the roll-out.
	lateShift = 3 * time.Second
	// completionMargin is how long before the deadline the outcome is stated at the latest;
	// it covers the time from the order's acknowledgement until it was known, and the write.
	completionMargin = 500 * time.Millisecond
	// spreadTime is the time in which all daemons learn that the shift has begun and report
	// that they have nothing running at the old servers.
	spreadTime = 600 * time.Millisecond
	// evidencePeriod is the time between two looks at the evidence.
	evidencePeriod = 500 * time.Millisecond
	// inForceDelay is how long no other version must be in use for an order for the only
	// version to be complete.
	inForceDelay = 2 * time.Second
	// minTrial is the least fraction of the duration for which a version must have got its
	// small share before it may get everything.
	minTrial = 0.25
	// rateWindow is the time over which the rate of requests is measured.
	rateWindow = 2 * time.Second
	// minRateTime is the least time over which a rate is measured: daemons report their
	// counts every 0.4 s.
	minRateTime = time.Second
	// maxRouteShare is the largest share of a rare route.
	maxRouteShare = 0.15
	// minRouteAnswers is how many answers must be known before routes get their own shares.
	minRouteAnswers = 50
)

// Input is what a Decider learns at a time.
type Input struct {
	// Sum holds the answers that all daemons have counted; it may be nil.
	Sum *Sum
	// NewServers and OldServers are the numbers of servers of the new and of all other
	// versions.
	NewServers, OldServers int
	// OldRunning is the number of requests in progress at servers of other versions.
	OldRunning int
	// AllTakePart is set if all daemons apply directives. An earlier build does not.
	AllTakePart bool
	// Alone is set if less than half of the other daemons are heard.
	Alone bool
}

// Outcome is a final decision and what it rests on.
type Outcome struct {
	State  State
	Reason string
	// Evidence is the logarithm of the strongest statistic, and Threshold the value from
	// which on a version is found bad.
	Evidence, Threshold float64
}

// Decider decides on one order. It is not safe for concurrent use.
type Decider struct {
	order     Order
	bounds    Bounds
	term      uint64
	startedAt time.Time
	denied    []string
	sequence  uint64
	state     State
	outcome   Outcome
	// pending is the decision that was taken and is not in force yet.
	pending  *Outcome
	evidence *evidence
	// trialSince is when the version began to get its small share, and tried the time for
	// which it got it before.
	trialSince time.Time
	tried      time.Duration
	observedAt time.Time
	// aloneSince is when the version of the order became the only one.
	aloneSince time.Time
	// shiftAt and shiftEnd limit the announced shift, at whose end daemons return to the
	// small share.
	shiftAt, shiftEnd time.Time
	rates             []rateSample
}

type rateSample struct {
	at   time.Time
	sent uint64
}

// NewDecider returns a Decider for an order that was given at a time. Term is the fencing
// number of this daemon, and denied holds versions of earlier orders that were not completed.
func NewDecider(order Order, bounds Bounds, term uint64, startedAt time.Time, state State, denied []string) *Decider {
	d := &Decider{order: order, bounds: bounds, term: term, startedAt: startedAt, state: state, evidence: newEvidence()}
	for _, v := range denied {
		if v != order.To {
			d.denied = append(d.denied, v)
		}
	}
	return d
}

// Adopt continues a shift that an earlier decider has announced in a directive.
func (d *Decider) Adopt(directive *Directive, issuedAt time.Time) {
	if directive.State == Running && directive.ShiftFor > 0 && !issuedAt.IsZero() {
		d.shiftAt = issuedAt.Add(directive.ShiftIn)
		d.shiftEnd = d.shiftAt.Add(directive.ShiftFor)
	}
	if directive.State == Running && directive.Share > 0 {
		// The version got its share until now, but for the time without a decider.
		d.tried = issuedAt.Sub(d.startedAt)
	}
}

// Order returns the order, and State the state of its roll-out.
func (d *Decider) Order() Order { return d.order }

// State returns the state of the roll-out.
func (d *Decider) State() State { return d.state }

// Denied returns the versions of earlier orders that were not completed.
func (d *Decider) Denied() []string { return slices.Clone(d.denied) }

// StartedAt returns when the order was given as far as is known.
func (d *Decider) StartedAt() time.Time { return d.startedAt }

// Step looks at what is known now and returns the final decision if there is one. It takes
// effect with Settle, once it is stored. Until then every step returns it, and directives give
// the version nothing. Only a version that is found bad replaces a pending completion. A
// decider that hears too few daemons decides nothing new and gives the version nothing.
func (d *Decider) Step(now time.Time, in Input) (Outcome, bool) {
	if d.state != Running {
		return Outcome{}, false
	}
	if in.Alone && !d.Withholds() {
		d.interrupt(now)
		return Outcome{}, false
	}
	if !d.Withholds() {
		if o, final := d.step(now, in); final && (d.pending == nil || o.State == RolledBack) {
			d.pending = &o
		}
	}
	if d.pending == nil {
		return Outcome{}, false
	}
	return *d.pending, true
}

// step returns the decision that follows from what is known now.
func (d *Decider) step(now time.Time, in Input) (Outcome, bool) {
	d.measureRate(now, in.Sum)
	if d.order.Duration <= 0 {
		return Outcome{State: RolledBack, Reason: "order without a duration"}, true
	}
	if in.Sum != nil && now.Sub(d.observedAt) >= evidencePeriod {
		d.observedAt = now
		d.evidence.observe(in.Sum)
		if o, bad := d.judge(); bad {
			return o, true
		}
	}
	if d.isOnlyVersion(now, in) {
		return d.conclude(Completed, "no other version in use"), true
	}
	d.updateTrial(now, in)
	deadline := d.startedAt.Add(d.order.Duration)
	if !now.Before(deadline) {
		if o, final := d.untried(in); final {
			return o, true
		}
	}
	if d.trialSince.IsZero() {
		return Outcome{}, false
	}
	d.planShift(now, deadline, in.Sum)
	return d.shifted(now, deadline, in)
}

// untried returns the decision at the deadline if the version can't be tried then, so that no
// order is left open.
func (d *Decider) untried(in Input) (Outcome, bool) {
	switch {
	case in.NewServers == 0:
		return d.conclude(RolledBack, "no server of the version at the deadline"), true
	case !d.trialSince.IsZero():
		return Outcome{}, false
	case in.OldServers == 0:
		return d.conclude(Completed, "no other version in use at the deadline"), true
	}
	return d.conclude(RolledBack, "version could not be tried before the deadline"), true
}

// judge returns the decision against the version if the evidence is strong enough.
func (d *Decider) judge() (Outcome, bool) {
	periods := int(d.order.Duration/evidencePeriod) + 1
	strongest, strength := d.evidence.strongest()
	if strength < d.evidence.threshold(periods) {
		return Outcome{}, false
	}
	return d.conclude(RolledBack, strongest.String()), true
}

func (d *Decider) conclude(state State, reason string) Outcome {
	_, strength := d.evidence.strongest()
	return Outcome{State: state, Reason: reason, Evidence: strength, Threshold: d.evidence.threshold(int(d.order.Duration/evidencePeriod) + 1)}
}

// isOnlyVersion reports whether no other version has been in use for a while and the new one
// never got a part of the traffic, as when the version is in force already.
func (d *Decider) isOnlyVersion(now time.Time, in Input) bool {
	if in.NewServers == 0 || in.OldServers > 0 || d.triedFor(now) > 0 {
		d.aloneSince = time.Time{}
		return false
	}
	if d.aloneSince.IsZero() {
		d.aloneSince = now
	}
	return now.Sub(d.aloneSince) >= inForceDelay
}

// updateTrial begins or interrupts the time in which the version gets its small share.
func (d *Decider) updateTrial(now time.Time, in Input) {
	possible := in.NewServers > 0 && in.OldServers > 0 && in.AllTakePart
	switch {
	case possible && d.trialSince.IsZero():
		d.trialSince = now
	case !possible && d.shiftAt.IsZero():
		d.interrupt(now)
	}
}

// interrupt ends the time in which the version gets something. A shift is announced anew.
func (d *Decider) interrupt(now time.Time) {
	d.shiftAt, d.shiftEnd = time.Time{}, time.Time{}
	if !d.trialSince.IsZero() {
		d.tried += now.Sub(d.trialSince)
		d.trialSince = time.Time{}
	}
}

func (d *Decider) triedFor(now time.Time) time.Duration {
	if d.trialSince.IsZero() {
		return d.tried
	}
	return d.tried + now.Sub(d.trialSince)
}

func (d *Decider) requiredTrial() time.Duration {
	return time.Duration(minTrial * float64(d.order.Duration))
}

// measureRate records how many requests were sent to the service.
func (d *Decider) measureRate(now time.Time, s *Sum) {
	if s == nil {
		return
	}
	d.rates = append(d.rates, rateSample{now, s.Sent})
	for len(d.rates) > 2 && now.Sub(d.rates[1].at) >= rateWindow {
		d.rates = d.rates[1:]
	}
}

// rate returns the requests per second: the mean since the order, or the present one if that
// is higher.
func (d *Decider) rate(now time.Time, s *Sum) float64 {
	mean := float64(s.Sent) / max(now.Sub(d.startedAt).Seconds(), 1)
	first, last := d.rates[0], d.rates[len(d.rates)-1]
	elapsed := last.at.Sub(first.at).Seconds()
	if elapsed < minRateTime.Seconds() || last.sent < first.sent {
		return mean
	}
	return max(mean, float64(last.sent-first.sent)/elapsed)
}

// shiftTime returns for how long the version may get all requests before the deadline.
func (d *Decider) shiftTime(now time.Time, s *Sum) time.Duration {
	if s == nil {
		return 2 * spreadTime
	}
	rate := d.rate(now, s)
	if rate == 0 {
		return maxShift
	}
	left := usableShare*(d.bounds.MaxShare*float64(s.Sent)+d.bounds.Slack) - float64(s.SentNew)
	seconds := math.Max(left, 0) / (rateMargin * rate)
	return time.Duration(math.Min(seconds, maxShift.Seconds()) * float64(time.Second))
}

// planShift announces the shift once it is near. A shift whose time has passed without a
// decision is planned again.
func (d *Decider) planShift(now, deadline time.Time, s *Sum) {
	if !d.shiftAt.IsZero() && now.Before(d.shiftEnd) || d.triedFor(now) < d.requiredTrial() {
		return
	}
	d.shiftAt, d.shiftEnd = time.Time{}, time.Time{}
	if !now.Add(announcement).Before(deadline) {
		// The deadline is too near or has passed: what the version gets after it is not
		// bounded by the share.
		d.shiftAt = now.Add(announcement)
		d.shiftEnd = d.shiftAt.Add(lateShift)
		return
	}
	shift := d.shiftTime(now, s)
	if start := deadline.Add(-shift); !now.Before(start.Add(-announcement)) {
		d.shiftAt, d.shiftEnd = later(start, now.Add(announcement)), deadline.Add(lateShift)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shifted returns the decision for the version at the end of the shift: as soon as the old
// servers have nothing left to do, or shortly before the shift ends.
func (d *Decider) shifted(now, deadline time.Time, in Input) (Outcome, bool) {
	if d.shiftAt.IsZero() || now.Before(d.shiftAt) || in.NewServers == 0 {
		return Outcome{}, false
	}
	end := d.shiftEnd
	if d.shiftAt.Before(deadline) {
		end = deadline
	}
	margin := min(completionMargin, end.Sub(d.shiftAt)/2)
	switch {
	case in.OldRunning == 0 && now.Sub(d.shiftAt) >= spreadTime:
		return d.conclude(Completed, "old servers have nothing left to do"), true
	case !now.Before(end.Add(-margin)):
		return d.conclude(Completed, "deadline"), true
	}
	return Outcome{}, false
}

// Settle puts a decision in force.
func (d *Decider) Settle(o Outcome) { d.state, d.outcome, d.pending = o.State, o, nil }

// Withholds reports whether the version has been found unfit and the outcome is not in force
// yet. Directives then stop it at once.
func (d *Decider) Withholds() bool { return d.pending != nil && d.pending.State == RolledBack }

// Entry returns the directive for all daemons. Excess is the excess of bad answers that the
// evidence includes.
func (d *Decider) Entry(now time.Time, in Input) Entry {
	d.sequence++
	directive := Directive{Term: d.term, Sequence: d.sequence, State: d.state, Denied: d.denied}
	if d.state == Running && d.pending == nil && !d.trialSince.IsZero() {
		share := smallShare * d.bounds.MaxShare
		directive.Share = share * d.remaining(in.Sum)
		directive.Servers = max(minServers, int(math.Round(share*float64(in.OldServers))))
		directive.ValidFor = d.validity()
		if in.Sum != nil {
			directive.Cleared = max(in.Sum.Excess(), 0)
			directive.RouteShares = routeShares(in.Sum, share)
			for route := range directive.RouteShares {
				directive.RouteShares[route] *= d.remaining(in.Sum)
			}
		}
		if !d.shiftAt.IsZero() {
			directive.ShiftIn, directive.ShiftFor = d.shiftAt.Sub(now), d.shiftEnd.Sub(d.shiftAt)
		}
	}
	return Entry{Order: d.order, Directive: directive}
}

// remaining returns the factor of the share: it falls from 1 to 0 while what the version got
// goes from the planned part of the permitted number to all of it.
func (d *Decider) remaining(s *Sum) float64 {
	if s == nil {
		return 1
	}
	permitted := d.bounds.MaxShare*float64(s.Sent) + d.bounds.Slack
	left, reserve := permitted-float64(s.SentNew), (1-usableShare)*permitted
	if left >= reserve {
		return 1
	}
	return max(left/reserve, 0)
}

// validity returns how long a directive holds: a daemon that hears of no further one must have
// stopped long before a version may get nothing more.
func (d *Decider) validity() time.Duration {
	if d.bounds.StopTime > 0 {
		return min(directiveValidity, d.bounds.StopTime/2)
	}
	return directiveValidity
}

// routeShares returns the shares of routes: a quarter of the requests for the new version is
// taken from all routes by their rates, and the rest from each route alike.
func routeShares(s *Sum, share float64) map[string]float64 {
	answers, total := make(map[string]float64), 0.0
	for key, c := range s.cells {
		answers[key.route] += float64(c.Answered)
		total += float64(c.Answered)
	}
	if total < minRouteAnswers || len(answers) < 2 {
		return nil
	}
	shares := make(map[string]float64, len(answers))
	for route, n := range answers {
		if n > 0 {
			shares[route] = min(0.25*share+0.75*share*total/(float64(len(answers))*n), max(maxRouteShare, share))
		}
	}
	return shares
}

// Evidence returns the strongest test and its statistic, for logs.
func (d *Decider) Evidence() (name string, strength float64, compared int) {
	t, strength := d.evidence.strongest()
	return t.String(), strength, int(d.evidence.compared)
}
